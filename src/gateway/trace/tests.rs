//! How a request ends that is answered, and one that is not.

use super::*;
use crate::{
    clock::SystemClock,
    gateway::{settings::GatewaySettings, tests::MINIMAL_SETTINGS},
};

fn gateway() -> Arc<Gateway> {
    let settings = GatewaySettings::from_ini(MINIMAL_SETTINGS).unwrap();
    Gateway::new(settings, Arc::new(SystemClock))
}

/// Begins the trace of a request on a connection that ended for `cause`.
fn trace(gateway: &Arc<Gateway>, cause: Option<AnswerLoss>) -> Trace {
    let end = Arc::new(ConnectionEnd::default());
    if let Some(loss) = cause {
        end.record(loss, "");
    }
    Trace::new("r-1", gateway.clock.clone(), gateway.metrics.clone())
        .received(gateway.clone(), end)
}

fn lost(gateway: &Gateway, loss: AnswerLoss) -> u64 {
    gateway.metrics.unanswered.with_label_values(&[loss.label()]).get()
}

/// Guards against blaming the caller for a connection that this VM closed.
#[test]
fn a_request_that_ends_for_an_unknown_reason_is_not_blamed_on_its_caller() {
    let gateway = gateway();
    drop(trace(&gateway, None));
    drop(trace(&gateway, None).end(RequestEnd::Answered(200)));
    drop(trace(&gateway, Some(AnswerLoss::CallerLeft)));
    assert_eq!(lost(&gateway, AnswerLoss::ClosedHere), 2);
    assert_eq!(lost(&gateway, AnswerLoss::CallerLeft), 1);
}

#[test]
fn a_request_is_counted_once_as_answered_or_lost() {
    let gateway = gateway();
    let counted = |code: &str| {
        let requests = &gateway.metrics.requests;
        requests.with_label_values(&[OTHER, OTHER, code]).get()
    };
    trace(&gateway, None).end(RequestEnd::Answered(200)).complete();
    let aborted = trace(&gateway, None);
    aborted.lose(AnswerLoss::StreamLost, String::new());
    assert_eq!((counted("answered"), counted("broken_off")), (1, 1));
    assert_eq!(lost(&gateway, AnswerLoss::StreamLost), 1);
    assert_eq!(lost(&gateway, AnswerLoss::ClosedHere), 0);
    assert_eq!(gateway.cut_requests(), 0);
}

#[test]
fn the_phase_is_what_the_request_waits_for() {
    let gateway = gateway();
    let mut trace = trace(&gateway, None);
    assert_eq!(trace.phase(), "request");
    trace.record_read();
    assert_eq!((trace.phase(), trace.upstream_silence_ms()), ("slot", None));
    trace.record_body_part();
    assert_eq!(trace.phase(), "answer");
}

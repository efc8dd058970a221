//! Checks whether an upstream has crashed while running a request.
//!
//! A broken connection alone proves nothing: it may have been reset while the
//! upstream is healthy, and an upstream that shuts down closes its remaining
//! connections. An upstream that has crashed refuses the next connection, or
//! has started again.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    clock::BootInstant,
    crashes::{subject::Subject, tracker::NextStep},
    event::Event,
    gateway::{Gateway, fields},
    http_client::Listening,
    placing::member::Member,
    task,
};

/// Time after which an upstream that still takes connections is probed once
/// more, and one that has closed a connection is probed first: a process that
/// exits closes its sockets one after the other.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(150);

/// Records that an attempt which began at `began_at` was lost, and checks in
/// the background whether the upstream has crashed.
pub(crate) fn record_lost_attempt(
    gateway: &Arc<Gateway>,
    member: &Arc<Member>,
    subjects: &[Subject],
    began_at: BootInstant,
) {
    let now = gateway.clock.now();
    let incarnation = member.upstream.short_hash;
    let has_crashed = member.has_crashed();
    if !has_crashed && !member.takes_requests(now) {
        // It was shutting down gracefully, which is no crash.
        return;
    }
    let (next, changes) = gateway.crashes.record_lost_attempt(
        subjects,
        incarnation,
        began_at,
        now,
    );
    gateway.log_quarantine_changes(&changes);
    let request = subjects.first().copied();
    match next {
        NextStep::Nothing => gateway.early_heartbeat.wake(),
        NextStep::Check if has_crashed => {
            record_crash(gateway, member, request)
        }
        NextStep::Check => {
            let (gateway, member) = (gateway.clone(), member.clone());
            task::spawn(check(gateway, member, request)).detach();
        }
    }
}

/// Records that an upstream completed an attempt which began at `began_at`,
/// unless it has crashed: the connection that ended the answer also closes in
/// a crash. Checks that in the background.
pub(crate) fn record_end_at_close(
    gateway: &Arc<Gateway>,
    member: &Arc<Member>,
    subjects: &[Subject],
    began_at: BootInstant,
) {
    let (gateway, member) = (gateway.clone(), member.clone());
    let subjects = subjects.to_vec();
    task::spawn(async move {
        task::sleep(SECOND_PROBE_DELAY).await;
        let listening = gateway.http.probe(member.entry.address).await;
        match listening == Listening::Yes && !member.has_crashed() {
            true => record_completion(&gateway, &subjects),
            false => {
                record_lost_attempt(&gateway, &member, &subjects, began_at);
            }
        }
    })
    .detach();
}

/// Records that an upstream ran a request to a successful end.
pub(crate) fn record_completion(gateway: &Gateway, subjects: &[Subject]) {
    let now = gateway.clock.now();
    if let Some(changes) = gateway.crashes.record_completed(subjects, now) {
        gateway.log_quarantine_changes(&changes);
        gateway.early_heartbeat.wake();
    }
}

async fn check(
    gateway: Arc<Gateway>,
    member: Arc<Member>,
    request: Option<Subject>,
) {
    let address = member.entry.address;
    let mut listening = gateway.http.probe(address).await;
    if listening == Listening::Yes {
        task::sleep(SECOND_PROBE_DELAY).await;
        listening = gateway.http.probe(address).await;
    }
    if listening == Listening::No || member.has_crashed() {
        record_crash(&gateway, &member, request);
        return;
    }
    let now = gateway.clock.now();
    let incarnation = member.upstream.short_hash;
    let changes = gateway.crashes.record_probe(incarnation, listening, now);
    gateway.log_quarantine_changes(&changes);
}

/// Records that an upstream has crashed.
fn record_crash(gateway: &Gateway, member: &Member, request: Option<Subject>) {
    Event::UpstreamEnded.record(fields(json!({
        "upstream": member.entry.incarnation().to_string(),
        "request": request.map(|request| request.to_string()),
    })));
    gateway.metrics.upstreams_ended.inc();
    let now = gateway.clock.now();
    let incarnation = member.upstream.short_hash;
    let changes =
        gateway.crashes.record_probe(incarnation, Listening::No, now);
    gateway.log_quarantine_changes(&changes);
    gateway.early_heartbeat.wake();
}

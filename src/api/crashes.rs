//! Detects requests that crash upstreams: see [`crate::crashes`].
//!
//! VMs report crashes and completions to each other by gossip. They are not
//! kept in the store, so a VM that starts learns of a quarantine once it sends
//! such a request.

use std::{sync::Arc, time::Duration};

use crate::{
    api::{
        dispatch::{AttemptFault, SelectedUpstream},
        gossip::Gossiper,
        request::RequestContext,
        vm::Vm,
    },
    clock::BootInstant,
    crashes::{
        broadcast_queue::Source,
        observation::SubjectObservation,
        subject::Subject,
        tracker::{NextStep, QuarantineChange},
    },
    error::{Error, ErrorKind},
    event::Event,
    http_client::Listening,
    placing::upstream::Upstream,
    task,
};

/// Time after which an upstream that still takes connections is probed once
/// more: a process that exits closes its sockets one after the other.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(150);

/// The service in the subjects of chat prompts, which all models share.
const CHAT_SERVICE: &str = "chat";

impl RequestContext {
    /// Sets what a crash under the request may be attributed to: the whole
    /// request and these shared segments of its prompt.
    pub(crate) fn set_subjects(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        segments: impl IntoIterator<Item = u64>,
    ) {
        let organisation = self.decision.organisation.as_ref();
        let whole = Subject::of_request(method, path, organisation, body);
        let service = CHAT_SERVICE.parse().expect("a valid service id");
        let segments = segments.into_iter();
        let segments = Subject::of_segments(&service, organisation, segments);
        self.subjects = std::iter::once(whole).chain(segments).collect();
    }

    /// Rejects a request that is known to crash upstreams.
    pub(crate) fn check_not_quarantined(&self) -> Result<(), Error> {
        let crashes = &self.vm.crashes;
        if !crashes.has_quarantined() {
            return Ok(());
        }
        let now = self.vm.clock.now();
        crashes.admit(&self.subjects, now).map_err(|subject| {
            Error::new(ErrorKind::CrashesUpstreams).context(format!(
                "upstreams crashed while they ran {} {subject}",
                subject.kind().as_str()
            ))
        })
    }

    /// Records that an upstream ran the request to a successful end.
    pub(crate) fn record_completion(&self) {
        let now = self.vm.clock.now();
        let crashes = &self.vm.crashes;
        if let Some(changes) = crashes.record_completed(&self.subjects, now) {
            report_changes(&self.vm, &changes);
        }
    }

    /// Records a stream that failed, as lost if its connection broke.
    pub(crate) fn record_broken_stream(
        &self,
        selected: &SelectedUpstream,
        fault: AttemptFault,
    ) {
        if fault == AttemptFault::Broken {
            self.record_lost_attempt(selected);
        }
    }

    /// Records that an attempt was lost, and checks in the background whether
    /// the upstream has crashed.
    pub(crate) fn record_lost_attempt(&self, selected: &SelectedUpstream) {
        let upstream = selected.upstream.clone();
        if upstream.is_leaving() {
            // It was shutting down gracefully, which is no crash.
            return;
        }
        let now = self.vm.clock.now();
        let (next, changes) = self.vm.crashes.record_lost_attempt(
            &self.subjects,
            upstream.short_hash,
            selected.selected_at,
            now,
        );
        match next {
            NextStep::Nothing => report_changes(&self.vm, &changes),
            NextStep::Check => {
                task::spawn(check(self.vm.clone(), upstream)).detach();
            }
        }
    }
}

async fn check(vm: Arc<Vm>, upstream: Arc<Upstream>) {
    let address = upstream.record.address;
    let mut listening = vm.http.probe(address).await;
    if listening == Listening::Yes {
        task::sleep(SECOND_PROBE_DELAY).await;
        listening = vm.http.probe(address).await;
    }
    if listening == Listening::No {
        Event::UpstreamEnded
            .log(format_args!("upstream {}", upstream.record.id));
        vm.metrics.upstreams_ended.inc();
    }
    let now = vm.clock.now();
    let hash = upstream.short_hash;
    let changes = vm.crashes.record_probe(hash, listening, now);
    report_changes(&vm, &changes);
}

/// Merges what other VMs report. Whatever is new is passed on.
pub(crate) fn merge_observations(
    vm: &Vm,
    observations: &[SubjectObservation],
    now: BootInstant,
) {
    let crashes = &vm.crashes;
    let source = Source::OtherHall;
    log_changes(vm, &crashes.merge_observations(observations, source, now));
}

/// Drops expired entries.
pub(crate) fn expire(vm: &Vm) {
    log_changes(vm, &vm.crashes.expire(vm.clock.now()));
}

/// Logs what changed, and reports this VM's observations at once.
fn report_changes(vm: &Arc<Vm>, changes: &[QuarantineChange]) {
    log_changes(vm, changes);
    let vm = vm.clone();
    task::spawn(async move { Gossiper::broadcast_observations(&vm).await })
        .detach();
}

fn log_changes(vm: &Vm, changes: &[QuarantineChange]) {
    for change in changes {
        match change {
            QuarantineChange::Added { subject, crashes } => {
                vm.metrics.requests_held.inc();
                let kind = subject.kind().as_str();
                Event::RequestHeld.log(format_args!(
                    "{kind} {subject}, {crashes} upstreams ended"
                ));
            }
            QuarantineChange::Released(subject) => {
                vm.metrics.requests_held.dec();
                let kind = subject.kind().as_str();
                Event::RequestReleased.log(format_args!("{kind} {subject}"));
            }
        }
    }
}

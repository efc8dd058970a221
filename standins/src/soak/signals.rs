//! Backoff and leaving signals that upstreams send in responses, and the check
//! that the VMs that received them respect them.

use std::{collections::HashMap, time::Duration};

use super::{
    check::{Promise, SLACK, Violation, violation},
    evidence::{Call, Evidence, Run},
};

/// Time after a VM has forwarded a response with a leaving signal in which new
/// calls at this VM may still go to the upstream.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// First part of a backoff, in which requests in flight may still arrive, and
/// the number of requests that may arrive in the remainder of the backoff.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
const MAX_IN_BACKOFF: usize = 2;

/// A backoff or leaving signal that an upstream sent in a response.
#[derive(Clone, Debug)]
pub struct UpstreamSignal {
    /// The ID of the call that the response belongs to.
    pub id: String,
    /// The ID of the upstream.
    pub upstream: String,
    /// The incarnation of the upstream.
    pub life: u64,
    /// When the upstream sent it.
    pub at: Duration,
    /// The backoff that it asked for; `None` if it signalled that it is
    /// leaving.
    pub rest: Option<Duration>,
}

/// Requests that VMs sent in spite of a signal, in the worst case.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IgnoredSignals {
    /// The most requests that one VM sent to one upstream in one backoff.
    pub sent_during_backoff: usize,
    /// The most requests that one VM sent to one upstream after the upstream
    /// had signalled that it is leaving.
    pub sent_after_leaving: usize,
}

/// The link between one incarnation of a VM and one of an upstream.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Link<'a> {
    vm: usize,
    vm_incarnation: u32,
    upstream: &'a str,
    upstream_incarnation: u64,
}

/// The evidence, indexed by call ID and by link.
pub(super) struct IndexedEvidence<'a> {
    pub(super) evidence: &'a Evidence,
    pub(super) calls: HashMap<&'a str, &'a Call>,
    /// Arrivals at upstreams by link, with the calls that they belong to;
    /// declined requests count too.
    arrivals: HashMap<Link<'a>, Vec<(&'a Call, &'a Run)>>,
}

impl<'a> IndexedEvidence<'a> {
    pub(super) fn new(evidence: &'a Evidence) -> IndexedEvidence<'a> {
        let calls = evidence.calls_by_id();
        let mut arrivals: HashMap<_, Vec<_>> = HashMap::new();
        for run in evidence.runs.iter().chain(&evidence.declined) {
            if let Some(call) = calls.get(run.id.as_str()) {
                let link = link(call, &run.upstream, run.life);
                arrivals.entry(link).or_default().push((*call, run));
            }
        }
        IndexedEvidence { evidence, calls, arrivals }
    }

    /// Returns whether a VM is excused for a time, as it may not have received
    /// a signal: it was frozen, connections to upstreams were faulty, or the
    /// soak's own machine was too slow.
    pub(super) fn is_excused(
        &self,
        vm: usize,
        from: Duration,
        to: Duration,
    ) -> bool {
        self.evidence.troubles.iter().any(|trouble| {
            let is_relevant = trouble.what == format!("PauseVm({vm})")
                || trouble.what.starts_with("UpstreamWay")
                || trouble.what == "late tick";
            is_relevant && trouble.from <= to && trouble.to + SLACK >= from
        })
    }

    /// Returns the arrivals on the signal's link after the signal and up to
    /// `to`, except those for which the VM is excused.
    fn arrivals_after(
        &self,
        signal: &'a UpstreamSignal,
        to: Duration,
    ) -> Vec<(&Call, &Run)> {
        let Some(call) = self.calls.get(signal.id.as_str()) else {
            return Vec::new();
        };
        let link = link(call, &signal.upstream, signal.life);
        let on_link = self.arrivals.get(&link).into_iter().flatten();
        on_link
            .filter(|(_, run)| {
                run.at > signal.at
                    && run.at <= to
                    && !self.is_excused(call.vm, signal.at, run.at)
            })
            .copied()
            .collect()
    }

    /// Counts the arrivals in a backoff, without those that may have been in
    /// flight.
    fn count_in_backoff(
        &self,
        signal: &'a UpstreamSignal,
        backoff: Duration,
    ) -> usize {
        let arrivals = self.arrivals_after(signal, signal.at + backoff);
        let from = signal.at + IN_FLIGHT_TIME;
        arrivals.iter().filter(|(_, run)| run.at > from).count()
    }

    /// Counts the arrivals of calls made too late after a leaving signal. The
    /// bound starts when the VM had forwarded the whole response.
    fn count_after_leaving(&self, signal: &'a UpstreamSignal) -> usize {
        let Some(call) = self.calls.get(signal.id.as_str()) else { return 0 };
        let is_forwarded = call.status == 200 && call.is_whole && call.is_own;
        if !is_forwarded {
            return 0;
        }
        let bound = call.ended_at + LEAVE_TIME;
        let arrivals = self.arrivals_after(signal, Duration::MAX);
        arrivals.iter().filter(|(call, _)| call.sent_at > bound).count()
    }
}

fn link<'a>(
    call: &Call,
    upstream: &'a str,
    upstream_incarnation: u64,
) -> Link<'a> {
    Link {
        vm: call.vm,
        vm_incarnation: call.life,
        upstream,
        upstream_incarnation,
    }
}

/// Returns the worst case of each kind of ignored signal.
pub fn summary(evidence: &Evidence) -> IgnoredSignals {
    let index = IndexedEvidence::new(evidence);
    let mut most = IgnoredSignals::default();
    for signal in &evidence.signals {
        match signal.rest {
            Some(backoff) => {
                let sent = index.count_in_backoff(signal, backoff);
                most.sent_during_backoff = most.sent_during_backoff.max(sent);
            }
            None => {
                let sent = index.count_after_leaving(signal);
                most.sent_after_leaving = most.sent_after_leaving.max(sent);
            }
        }
    }
    most
}

/// Checks that VMs respect the backoff and leaving signals of upstreams.
pub(super) fn signals_are_respected(evidence: &Evidence) -> Vec<Violation> {
    let IgnoredSignals { sent_during_backoff, sent_after_leaving } =
        summary(evidence);
    let mut found = Vec::new();
    if sent_during_backoff > MAX_IN_BACKOFF {
        let what =
            format!("{sent_during_backoff} requests of one VM in one backoff");
        found.push(violation(Promise::RestKept, what));
    }
    if sent_after_leaving > 0 {
        let what =
            format!("{sent_after_leaving} requests after a leaving signal");
        found.push(violation(Promise::LeavingHeard, what));
    }
    found
}

//! What upstreams of a soak say of themselves in answers, and whether the VMs
//! that were told heed it.

use std::{collections::HashMap, time::Duration};

use super::{
    check::{Promise, SLACK, Violation, violation},
    evidence::{Call, Evidence, Run},
};

/// Time after an answer that was passed on in which requests may still go to
/// an upstream that has said in it that it leaves.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// Part of a rest in which requests that were on their way may still come,
/// and requests that may come in the rest of it.
const ON_THE_WAY: Duration = Duration::from_millis(500);
const MOST_IN_REST: usize = 2;

/// What an upstream has said of itself in an answer.
#[derive(Clone, Debug)]
pub struct UpstreamSignal {
    /// The id of the call that it answered.
    pub id: String,
    /// The upstream.
    pub upstream: String,
    /// Which life of it.
    pub life: u64,
    /// When it answered.
    pub at: Duration,
    /// The rest that it asked for; without one it said that it leaves.
    pub rest: Option<Duration>,
}

/// What was sent to upstreams although they had said that they want none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IgnoredSignals {
    /// The most that one VM sent to one upstream in a rest.
    pub sent_into_rest: usize,
    /// Requests that one VM sent to one upstream after it had said that it
    /// leaves.
    pub sent_after_leaving: usize,
}

/// One VM's process and one life of an upstream.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Way<'a> {
    vm: usize,
    process: u32,
    upstream: &'a str,
    life: u64,
}

pub(super) struct Seen<'a> {
    pub(super) evidence: &'a Evidence,
    pub(super) calls: HashMap<&'a str, &'a Call>,
    /// Arrivals by their way, with the calls that they belong to.
    arrivals: HashMap<Way<'a>, Vec<(&'a Call, &'a Run)>>,
}

impl<'a> Seen<'a> {
    pub(super) fn new(evidence: &'a Evidence) -> Seen<'a> {
        let calls = evidence.calls_by_id();
        let mut arrivals: HashMap<_, Vec<_>> = HashMap::new();
        for run in evidence.runs.iter().chain(&evidence.declined) {
            if let Some(call) = calls.get(run.id.as_str()) {
                let way = way(call, &run.upstream, run.life);
                arrivals.entry(way).or_default().push((*call, run));
            }
        }
        Seen { evidence, calls, arrivals }
    }

    /// Whether a VM may not have heard something, or is excused for that time:
    /// it was frozen, or the ways to upstreams were struck.
    pub(super) fn is_excused(
        &self,
        vm: usize,
        from: Duration,
        to: Duration,
    ) -> bool {
        self.evidence.troubles.iter().any(|trouble| {
            let struck = trouble.what == format!("PauseVm({vm})")
                || trouble.what.starts_with("UpstreamWay")
                || trouble.what == "late tick";
            struck && trouble.from <= to && trouble.to + SLACK >= from
        })
    }

    /// The arrivals that came after `said` on its way, up to `to`.
    fn after(
        &self,
        said: &'a UpstreamSignal,
        to: Duration,
    ) -> Vec<(&Call, &Run)> {
        let Some(call) = self.calls.get(said.id.as_str()) else {
            return Vec::new();
        };
        let way = way(call, &said.upstream, said.life);
        let on_way = self.arrivals.get(&way).into_iter().flatten();
        on_way
            .filter(|(_, run)| {
                run.at > said.at
                    && run.at <= to
                    && !self.is_excused(call.vm, said.at, run.at)
            })
            .copied()
            .collect()
    }

    fn in_rest(&self, said: &'a UpstreamSignal, rest: Duration) -> usize {
        let came = self.after(said, said.at + rest);
        let from = said.at + ON_THE_WAY;
        came.iter().filter(|(_, run)| run.at > from).count()
    }

    fn after_leaving(&self, said: &'a UpstreamSignal) -> usize {
        let Some(told) = self.calls.get(said.id.as_str()) else { return 0 };
        let is_passed_on = told.status == 200 && told.is_whole && told.is_own;
        if !is_passed_on {
            return 0;
        }
        let bound = told.ended_at + LEAVE_TIME;
        let came = self.after(said, Duration::MAX);
        came.iter().filter(|(call, _)| call.sent_at > bound).count()
    }
}

fn way<'a>(call: &Call, upstream: &'a str, life: u64) -> Way<'a> {
    Way { vm: call.vm, process: call.life, upstream, life }
}

/// The most that was sent somewhere against an upstream's word.
pub fn summary(evidence: &Evidence) -> IgnoredSignals {
    let seen = Seen::new(evidence);
    let mut most = IgnoredSignals::default();
    for said in &evidence.signals {
        match said.rest {
            Some(rest) => {
                let sent = seen.in_rest(said, rest);
                most.sent_into_rest = most.sent_into_rest.max(sent);
            }
            None => {
                let sent = seen.after_leaving(said);
                most.sent_after_leaving = most.sent_after_leaving.max(sent);
            }
        }
    }
    most
}

/// Requests go nowhere where an upstream has said to the VM that it wants
/// none.
pub(super) fn heeded(evidence: &Evidence) -> Vec<Violation> {
    let IgnoredSignals { sent_into_rest, sent_after_leaving } =
        summary(evidence);
    let mut found = Vec::new();
    if sent_into_rest > MOST_IN_REST {
        let what = format!("{sent_into_rest} came in one rest from one VM");
        found.push(violation(Promise::RestKept, what));
    }
    if sent_after_leaving > 0 {
        let what = format!("{sent_after_leaving} came after it was told");
        found.push(violation(Promise::LeavingHeard, what));
    }
    found
}

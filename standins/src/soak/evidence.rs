//! What a soak has seen: calls of its callers, runs at its upstreams, changes
//! that the operator made, and troubles that were under way.
//!
//! All times are counted from the start of the soak.

use std::{collections::HashMap, time::Duration};

use super::{
    deadly,
    own_words::UpstreamSignal,
    rate_limits::{RateLimitPeriod, RateLimitSignal},
};

/// Trouble at a VM or the store excuses it for this long afterwards; the
/// platform's `contact_ms`.
pub const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May be repeated.
    Read,
    /// Must not run twice.
    Once,
    /// A stream that may be resumed.
    Write,
    /// A stream that may not.
    Tell,
    /// A question on a route that was added; the number names the route.
    Probe(u64),
    /// Crashes each upstream that runs it; the number names it.
    Deadly(u64),
}

impl Kind {
    /// Whether it goes to a model.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Write | Kind::Tell)
    }

    /// Whether it may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(
            self,
            Kind::Read | Kind::Write | Kind::Probe(_) | Kind::Deadly(_)
        )
    }

    /// Whether its route is open to keyholders only.
    pub fn needs_key(self) -> bool {
        self != Kind::Tell
    }

    /// The path of a request of this kind.
    pub fn path(self, id: &str) -> String {
        match self {
            Kind::Read => format!("/read/{id}"),
            Kind::Once => format!("/once/{id}"),
            Kind::Write => format!("/write/{id}"),
            Kind::Tell => format!("/tell/{id}"),
            Kind::Probe(number) => format!("/added-{number}/{id}"),
            Kind::Deadly(number) => deadly::path(number),
        }
    }
}

/// A call as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id, which no other call has.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The VM that it was sent to.
    pub vm: usize,
    /// Which process of that VM, counted from 1.
    pub life: u32,
    /// The key that it carried.
    pub key: String,
    /// The session that it belongs to.
    pub session: Option<String>,
    /// When it was sent.
    pub sent_at: Duration,
    /// When its answer ended.
    pub ended_at: Duration,
    /// The status; 0 when no answer came.
    pub status: u16,
    /// Whether the answer seems whole.
    pub is_whole: bool,
    /// Whether the answer is all of what an upstream made for this call.
    pub is_own: bool,
    /// Whether it was refused as one that crashes what runs it.
    pub is_held_back: bool,
}

/// A run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// The id of the call.
    pub id: String,
    /// The upstream.
    pub upstream: String,
    /// Which life of the upstream, counted from 1.
    pub life: u64,
    /// The version of its software.
    pub software: String,
    /// When it began.
    pub at: Duration,
    /// The path as it arrived.
    pub path: String,
    /// The organisation that the router stated.
    pub organisation: String,
}

/// Something that the operator or an upstream changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was taken away.
    KeyRemoved(String),
    /// A route was added.
    RouteAdded(u64),
    /// An upstream said that it leaves.
    Leaving(String),
    /// A version was recorded as reverted.
    Reverted(String),
    /// A version was ordered.
    Ordered(Order),
}

/// An operator's order of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The version.
    pub software: String,
    /// The time allowed for it.
    pub allowed: Duration,
    /// Whether most of its answers are failures.
    pub is_bad: bool,
}

/// What a trouble strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One VM or its ways.
    Vm(usize),
    /// A planned stop of one VM.
    PlannedStop(usize),
    /// The store, or the machine that the soak runs on.
    Everyone,
    /// Upstreams.
    Upstreams,
}

/// A trouble, from when it began to when it was over.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// When it began.
    pub from: Duration,
    /// When it was over.
    pub to: Duration,
    /// What it struck.
    pub scope: Scope,
    /// What it was.
    pub what: String,
}

/// Everything that a soak has seen.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Calls, as they ended.
    pub calls: Vec<Call>,
    /// Runs, as they began.
    pub runs: Vec<Run>,
    /// Requests that upstreams declined.
    pub declined: Vec<Run>,
    /// What upstreams have said of themselves.
    pub signals: Vec<UpstreamSignal>,
    /// Rate limits that upstreams had.
    pub rate_limits: Vec<RateLimitPeriod>,
    /// Answers that named one.
    pub rate_limit_signals: Vec<RateLimitSignal>,
    /// Changes, with when they were in the store.
    pub changes: Vec<(Duration, Change)>,
    /// Troubles.
    pub troubles: Vec<Trouble>,
    /// Calls that were made after all troubles were over, and of those the
    /// ones that were answered well.
    pub recovery: (usize, usize),
}

impl Evidence {
    /// The calls by id.
    pub fn calls_by_id(&self) -> HashMap<&str, &Call> {
        self.calls.iter().map(|call| (call.id.as_str(), call)).collect()
    }

    /// The runs by the id of their call.
    pub fn runs_by_id(&self) -> HashMap<&str, Vec<&Run>> {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        runs
    }

    /// Whether a VM has had no trouble, nor the store, from `CONTACT_TIME`
    /// before `from` up to `to`.
    pub fn is_undisturbed(
        &self,
        vm: usize,
        from: Duration,
        to: Duration,
    ) -> bool {
        !self.any_trouble(from, to, |scope| match scope {
            Scope::Vm(at) | Scope::PlannedStop(at) => at == vm,
            Scope::Everyone => true,
            Scope::Upstreams => false,
        })
    }

    /// Whether a trouble of such a scope was under way from `CONTACT_TIME`
    /// before `from` up to `to`.
    pub fn any_trouble(
        &self,
        from: Duration,
        to: Duration,
        counts: impl Fn(Scope) -> bool,
    ) -> bool {
        let since = from.saturating_sub(CONTACT_TIME);
        self.troubles.iter().any(|trouble| {
            counts(trouble.scope) && trouble.from <= to && trouble.to >= since
        })
    }
}

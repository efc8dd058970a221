//! Evidence that a soak run collects: calls of the callers, runs at the
//! upstreams, changes by operators and upstreams, and periods of trouble.
//!
//! All times are relative to the start of the run. The files of a failed run
//! show the fields under their names here, in `Debug` format.

use std::{collections::HashMap, time::Duration};

use super::{
    crashing,
    load::Overfill,
    preferences::Preference,
    rate_limits::{RateLimitPeriod, RateLimitSignal},
    signals::UpstreamSignal,
    unruly::MostHeld,
};

/// Time for which a trouble at a VM or the store still counts after its end;
/// equal to the platform's `contact_ms`.
pub const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// The kind of a request; decides its route, method and whether it may be
/// repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// An idempotent plain request.
    Read,
    /// A plain request that must not run twice.
    Once,
    /// A model request whose streamed response may be resumed.
    Write,
    /// A model request whose streamed response may not be resumed; its route
    /// needs no key.
    Tell,
    /// A request to the added route with this number; checks whether a VM
    /// knows the route.
    Probe(u64),
    /// A crashing request with this number: it crashes each upstream that
    /// runs it.
    Deadly(u64),
}

impl Kind {
    /// Returns whether it goes to a model, which streams its response.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Write | Kind::Tell)
    }

    /// Returns whether it may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(
            self,
            Kind::Read | Kind::Write | Kind::Probe(_) | Kind::Deadly(_)
        )
    }

    /// Returns whether its route requires an API key.
    pub fn needs_key(self) -> bool {
        self != Kind::Tell
    }

    /// Returns the path of a request of this kind with this call ID.
    pub fn path(self, id: &str) -> String {
        match self {
            Kind::Read => format!("/read/{id}"),
            Kind::Once => format!("/once/{id}"),
            Kind::Write => format!("/write/{id}"),
            Kind::Tell => format!("/tell/{id}"),
            Kind::Probe(number) => format!("/added-{number}/{id}"),
            Kind::Deadly(number) => crashing::path(number, id),
        }
    }
}

/// A request and its response, as the caller saw them.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its ID, unique within the run; sent as the attempt ID.
    pub id: String,
    /// What kind of request it was.
    pub kind: Kind,
    /// Index of the VM that it was sent to.
    pub vm: usize,
    /// The incarnation of that VM's process, counted from 1.
    pub life: u32,
    /// The API key that it carried.
    pub key: String,
    /// The path that it was sent with.
    pub path: String,
    /// The session that it belongs to; only model requests have one.
    pub session: Option<String>,
    /// When it was sent.
    pub sent_at: Duration,
    /// When its response ended.
    pub ended_at: Duration,
    /// The HTTP status; 0 when there was no response.
    pub status: u16,
    /// Whether the response was complete according to HTTP framing.
    pub is_whole: bool,
    /// Whether the body is exactly what an upstream generates for this call.
    pub is_own: bool,
    /// Whether it was rejected because it is quarantined.
    pub is_held_back: bool,
}

/// An arrival of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// The ID of the call.
    pub id: String,
    /// The ID of the upstream.
    pub upstream: String,
    /// The incarnation of the upstream, counted from 1.
    pub life: u64,
    /// The software version of the upstream.
    pub software: String,
    /// When the request arrived.
    pub at: Duration,
    /// The path as received.
    pub path: String,
    /// The organisation that the router put into the request.
    pub organisation: String,
}

/// A change made by an operator or an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This API key was removed.
    KeyRemoved(String),
    /// The route with this number was added.
    RouteAdded(u64),
    /// The record of this upstream says that it is leaving.
    Leaving(String),
    /// The rollout of this version was seen as reverted.
    Reverted(String),
    /// The operator ordered the rollout of a version.
    Ordered(Order),
}

/// An operator's order to roll out a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The version to roll out.
    pub software: String,
    /// The time that the rollout may take.
    pub allowed: Duration,
    /// Whether most responses of this version are failures.
    pub is_bad: bool,
}

/// What a trouble affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One VM, or the connections of its callers or to the store.
    Vm(usize),
    /// A VM in a graceful shutdown.
    PlannedStop(usize),
    /// All VMs, the store, or the machine that the soak runs on.
    Everyone,
    /// Upstreams, or the connections to them.
    Upstreams,
}

/// A period in which an injected fault, or a delay of the soak's own machine,
/// affects the site.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub to: Duration,
    /// What it affected.
    pub scope: Scope,
    /// Its cause: the `Debug` text of a fault, or a fixed text.
    pub what: String,
}

/// Everything that a soak run has collected for the checks.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Calls, in the order in which they ended.
    pub calls: Vec<Call>,
    /// Requests that upstreams ran, in the order of arrival.
    pub runs: Vec<Run>,
    /// Requests that upstreams declined without running them.
    pub declined: Vec<Run>,
    /// Backoff and leaving signals that upstreams sent in responses.
    pub signals: Vec<UpstreamSignal>,
    /// Periods in which upstreams had a rate limit.
    pub rate_limits: Vec<RateLimitPeriod>,
    /// Responses that stated a rate limit.
    pub rate_limit_signals: Vec<RateLimitSignal>,
    /// Arrivals at upstreams that had too many requests.
    pub overfills: Vec<Overfill>,
    /// Periods in which every VM had the plain requests coordinated.
    pub coordinated: Vec<(Duration, Duration)>,
    /// Whether one organisation is overloading.
    pub has_overload: bool,
    /// Changes, with the time at which the soak recorded them.
    pub changes: Vec<(Duration, Change)>,
    /// Periods of trouble.
    pub troubles: Vec<Trouble>,
    /// Periods in which the load balancer preferred a VM.
    pub preferences: Vec<Preference>,
    /// The most that VMs held, in a run with unruly callers.
    pub most_held: MostHeld,
    /// The number of calls made after all faults had ended, and of those the
    /// number that got status 200.
    pub recovery: (usize, usize),
}

impl Evidence {
    /// Returns the calls by ID.
    pub fn calls_by_id(&self) -> HashMap<&str, &Call> {
        self.calls.iter().map(|call| (call.id.as_str(), call)).collect()
    }

    /// Returns the runs by the ID of their call; a retried call has several.
    pub fn runs_by_id(&self) -> HashMap<&str, Vec<&Run>> {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        runs
    }

    /// Returns whether neither the VM nor the store was in trouble between
    /// `CONTACT_TIME` before `from` and `to`.
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

    /// Returns whether there was a trouble whose scope `counts` accepts at any
    /// time between `CONTACT_TIME` before `from` and `to`.
    pub fn any_trouble(
        &self,
        from: Duration,
        to: Duration,
        counts: impl Fn(Scope) -> bool,
    ) -> bool {
        self.troubles_between(from, to).any(|trouble| counts(trouble.scope))
    }

    /// Returns the troubles at any time between `CONTACT_TIME` before `from`
    /// and `to`.
    pub fn troubles_between(
        &self,
        from: Duration,
        to: Duration,
    ) -> impl Iterator<Item = &Trouble> {
        let since = from.saturating_sub(CONTACT_TIME);
        let troubles = self.troubles.iter();
        troubles.filter(move |t| t.from <= to && t.to >= since)
    }

    /// Returns whether all VMs had the plain requests coordinated at a time.
    pub fn is_coordinated(&self, at: Duration) -> bool {
        self.coordinated.iter().any(|(from, to)| (*from..*to).contains(&at))
    }
}

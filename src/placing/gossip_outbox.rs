//! The reports about upstreams that this VM owes the other VMs. VMs share what
//! they observe because, in a large fleet, one VM receives few responses from
//! each upstream.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::BootInstant,
    message::{
        RateLimitReport, ShortHash, UpstreamFailureReport, UpstreamLoadReport,
    },
    placing::{health::AttemptOutcome, member::LoadReport},
    unit::RequestRate,
};

/// Maximum number of loads in one heartbeat; a VM receives few responses
/// between two heartbeats.
const MAX_LOADS: usize = 48;

/// Minimum time between two reports of failures of the same upstream.
const FAILURE_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of failures in one heartbeat.
const MAX_FAILURES: usize = 64;

/// How long an upstream is reported as leaving: datagrams get lost,
/// and in a large fleet each heartbeat reaches few VMs of other data halls.
const LEAVING_TTL: Duration = Duration::from_secs(10);

/// Maximum number of leaving incarnations in one heartbeat.
const MAX_LEAVING: usize = 64;

/// How long a rate limit is reported to the VMs of this data hall: two
/// heartbeats, as a datagram may get lost.
const OWN_HALL_LIMIT_TTL: Duration = Duration::from_millis(1200);

/// How long a rate limit is reported to other data halls, of which each
/// heartbeat reaches few VMs; counted from the upstream's announcement.
const OTHER_HALLS_LIMIT_TTL: Duration = Duration::from_secs(10);

/// Maximum number of rate limits in one heartbeat, the newest first.
const MAX_LIMITS: usize = 64;

/// A rate limit that is due for gossip.
#[derive(Clone, Copy, Debug)]
struct PendingLimit {
    rate: Option<RequestRate>,
    announced_at: BootInstant,
    /// Since when it has been reported within this data hall; `None` if it is
    /// reported to other halls only.
    own_hall_since: Option<BootInstant>,
}

/// The reports about upstreams that are due for gossip.
#[derive(Debug, Default)]
pub(crate) struct GossipOutbox {
    /// The last load that each upstream has reported, and when.
    loads: HashMap<ShortHash, (LoadReport, BootInstant)>,
    /// Upstreams that have failed since the last heartbeat.
    failures: HashMap<ShortHash, AttemptOutcome>,
    /// When a failure of each upstream was last reported.
    failure_sent_at: HashMap<ShortHash, BootInstant>,
    /// Incarnations that are leaving, and when this became known.
    leaving: HashMap<ShortHash, BootInstant>,
    /// The last announced rate limit of each incarnation.
    limits: HashMap<ShortHash, PendingLimit>,
    /// When an upstream last answered this VM.
    answered_at: Option<BootInstant>,
}

impl GossipOutbox {
    /// Adds a load that an upstream has reported.
    pub(crate) fn add_load(
        &mut self,
        upstream: ShortHash,
        load: LoadReport,
        now: BootInstant,
    ) {
        self.loads.insert(upstream, (load, now));
    }

    /// Adds the outcome of an attempt; returns whether the other VMs should be
    /// notified at once.
    pub(crate) fn record_outcome(
        &mut self,
        upstream: ShortHash,
        outcome: AttemptOutcome,
        now: BootInstant,
    ) -> bool {
        if outcome == AttemptOutcome::Success {
            self.answered_at = Some(now);
            return false;
        }
        let sent_at = self.failure_sent_at.get(&upstream);
        if sent_at.is_some_and(|at| is_recent(*at, now)) {
            return false;
        }
        self.failures.insert(upstream, outcome);
        matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::Unreachable)
    }

    /// Adds an incarnation that has reported that it is leaving.
    pub(crate) fn add_leaving(
        &mut self,
        incarnation: ShortHash,
        now: BootInstant,
    ) {
        self.leaving.insert(incarnation, now);
    }

    /// Returns the leaving incarnations that are due, which stay due until
    /// [`LEAVING_TTL`] has passed.
    pub(crate) fn due_leaving(&mut self, now: BootInstant) -> Vec<ShortHash> {
        self.leaving.retain(|_, reported_at| {
            now.saturating_duration_since(*reported_at) < LEAVING_TTL
        });
        self.leaving.keys().copied().take(MAX_LEAVING).collect()
    }

    /// Adds the rate limit that was announced at `announced_at`, `None` if it
    /// was lifted,
    /// unless a newer one is known. `for_own_hall` says whether the VMs of
    /// this data hall need to be notified as well.
    pub(crate) fn add_rate_limit(
        &mut self,
        incarnation: ShortHash,
        rate: Option<RequestRate>,
        announced_at: BootInstant,
        for_own_hall: bool,
        now: BootInstant,
    ) {
        let known = self.limits.get(&incarnation);
        if known.is_some_and(|known| known.announced_at >= announced_at) {
            return;
        }
        let own_hall_since = for_own_hall.then_some(now);
        let limit = PendingLimit { rate, announced_at, own_hall_since };
        self.limits.insert(incarnation, limit);
    }

    /// Returns the rate limits that are due for the VMs of this data hall, or
    /// of the others, the newest first. They stay due until their TTL has
    /// passed.
    pub(crate) fn due_rate_limits(
        &mut self,
        for_own_hall: bool,
        now: BootInstant,
    ) -> Vec<RateLimitReport> {
        let age = |at: BootInstant| now.saturating_duration_since(at);
        self.limits.retain(|_, limit| {
            age(limit.announced_at) < OTHER_HALLS_LIMIT_TTL
        });
        let is_due = |limit: &PendingLimit| {
            let is_new = |at| age(at) < OWN_HALL_LIMIT_TTL;
            !for_own_hall || limit.own_hall_since.is_some_and(is_new)
        };
        let due = self.limits.iter().filter(|(_, limit)| is_due(limit));
        let due = due.map(|(upstream, limit)| RateLimitReport {
            upstream: *upstream,
            rate: limit.rate,
            age_ms: u16::try_from(age(limit.announced_at).as_millis())
                .unwrap_or(u16::MAX),
        });
        let mut due: Vec<RateLimitReport> = due.collect();
        due.sort_by_key(|limit| limit.age_ms);
        due.truncate(MAX_LIMITS);
        due
    }

    /// Takes the loads that upstreams have reported since the last call.
    pub(crate) fn take_loads(
        &mut self,
        now: BootInstant,
    ) -> Vec<UpstreamLoadReport> {
        let bounded = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let taken = self.loads.drain().map(|(upstream, (load, at))| {
            let age = now.saturating_duration_since(at).as_millis();
            UpstreamLoadReport {
                upstream,
                running: bounded(load.running),
                waiting: bounded(load.waiting),
                age_ms: u16::try_from(age).unwrap_or(u16::MAX),
                slowdown: load.slowdown,
            }
        });
        taken.take(MAX_LOADS).collect()
    }

    /// Takes the failures that are due.
    ///
    /// Returns none if no upstream has answered this VM recently: the fault is
    /// then more likely its own than that of everything around it.
    pub(crate) fn take_failures(
        &mut self,
        now: BootInstant,
    ) -> Vec<UpstreamFailureReport> {
        let failures = std::mem::take(&mut self.failures);
        let is_connected =
            self.answered_at.is_some_and(|at| is_recent(at, now));
        if !is_connected {
            return Vec::new();
        }
        let sent_now = failures.keys().map(|upstream| (*upstream, now));
        self.failure_sent_at.extend(sent_now);
        self.failure_sent_at.retain(|_, at| is_recent(*at, now));
        let due = failures.into_iter();
        due.map(|(upstream, outcome)| UpstreamFailureReport {
            upstream,
            outcome,
        })
        .take(MAX_FAILURES)
        .collect()
    }
}

fn is_recent(at: BootInstant, now: BootInstant) -> bool {
    now.saturating_duration_since(at) < FAILURE_REPEAT_INTERVAL
}

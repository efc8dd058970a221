//! What this VM has seen of upstreams since its last beat, for the others of
//! its data hall: one VM of many gets few answers from each upstream.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::BootInstant,
    message::{
        RateLimitReport, ShortHash, UpstreamFailureReport, UpstreamLoadReport,
    },
    placing::{health::AttemptOutcome, member::LoadReport},
    unit::RequestRate,
};

/// Loads stated by upstreams that one beat tells; a VM gets few answers
/// between two beats.
const MAX_LOADS: usize = 48;

/// Time after which another failure at the same upstream is told.
const FAILURE_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Failures that one beat tells.
const MAX_FAILURES: usize = 64;

/// Time for which it is told that an upstream leaves: datagrams get lost, and
/// in a large fleet each reaches few VMs of the other data halls.
const LEAVING_TTL: Duration = Duration::from_secs(10);

/// Lives that leave which one beat tells.
const MAX_LEAVING: usize = 64;

/// Time for which the VMs of the own data hall are told of a rate limit after
/// it was named: two beats, as a datagram may get lost.
const LIMIT_TTL_OWN_HALL: Duration = Duration::from_millis(1200);

/// The same for other data halls, of which each beat reaches few VMs.
const LIMIT_TTL_OTHER_HALLS: Duration = Duration::from_secs(10);

/// Rate limits that one beat tells, the newest first.
const MAX_LIMITS: usize = 64;

/// What an upstream said of its rate limit.
#[derive(Clone, Copy, Debug)]
struct PendingLimit {
    rate: Option<RequestRate>,
    stated_at: BootInstant,
    /// When the own data hall was first to be told of it, if it is.
    own_hall_since: Option<BootInstant>,
}

/// What is to be told of upstreams.
#[derive(Debug, Default)]
pub(crate) struct GossipOutbox {
    /// What each upstream stated last, and when.
    loads: HashMap<ShortHash, (LoadReport, BootInstant)>,
    /// Upstreams that have failed since the last beat.
    failures: HashMap<ShortHash, AttemptOutcome>,
    /// When a failure of each upstream was last told.
    failure_sent_at: HashMap<ShortHash, BootInstant>,
    /// Lives that are leaving, and when that was heard.
    leaving: HashMap<ShortHash, BootInstant>,
    /// The rate limits that were named last.
    limits: HashMap<ShortHash, PendingLimit>,
    /// When an upstream last answered this VM.
    answered_at: Option<BootInstant>,
}

impl GossipOutbox {
    /// Notes what an upstream stated.
    pub(crate) fn add_load(
        &mut self,
        upstream: ShortHash,
        load: LoadReport,
        now: BootInstant,
    ) {
        self.loads.insert(upstream, (load, now));
    }

    /// Notes how an attempt ended; returns whether the others should hear of
    /// it at once.
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
        let told_at = self.failure_sent_at.get(&upstream);
        if told_at.is_some_and(|at| is_recent(*at, now)) {
            return false;
        }
        self.failures.insert(upstream, outcome);
        matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::Unreachable)
    }

    /// Notes that a life is leaving, as it has said itself.
    pub(crate) fn add_leaving(&mut self, life: ShortHash, now: BootInstant) {
        self.leaving.insert(life, now);
    }

    /// The lives that are leaving which the others are to hear of.
    pub(crate) fn take_leaving(&mut self, now: BootInstant) -> Vec<ShortHash> {
        self.leaving.retain(|_, reported_at| {
            now.saturating_duration_since(*reported_at) < LEAVING_TTL
        });
        self.leaving.keys().copied().take(MAX_LEAVING).collect()
    }

    /// Notes which rate limit, or that none, was named at a time; the VMs of
    /// the own data hall are told as well where they may not know it.
    pub(crate) fn add_rate_limit(
        &mut self,
        life: ShortHash,
        rate: Option<RequestRate>,
        stated_at: BootInstant,
        for_own_hall: bool,
        now: BootInstant,
    ) {
        let held = self.limits.get(&life);
        if held.is_some_and(|held| held.stated_at >= stated_at) {
            return;
        }
        let own_hall_since = for_own_hall.then_some(now);
        let seen = PendingLimit { rate, stated_at, own_hall_since };
        self.limits.insert(life, seen);
    }

    /// The rate limits of which the VMs of the own data hall, or of the
    /// others, are to hear.
    pub(crate) fn take_rate_limits(
        &mut self,
        for_own_hall: bool,
        now: BootInstant,
    ) -> Vec<RateLimitReport> {
        let age = |at: BootInstant| now.saturating_duration_since(at);
        self.limits
            .retain(|_, seen| age(seen.stated_at) < LIMIT_TTL_OTHER_HALLS);
        let is_told = |seen: &PendingLimit| {
            let is_new = |at| age(at) < LIMIT_TTL_OWN_HALL;
            !for_own_hall || seen.own_hall_since.is_some_and(is_new)
        };
        let told = self.limits.iter().filter(|(_, seen)| is_told(seen));
        let told = told.map(|(upstream, seen)| RateLimitReport {
            upstream: *upstream,
            rate: seen.rate,
            age_ms: u16::try_from(age(seen.stated_at).as_millis())
                .unwrap_or(u16::MAX),
        });
        let mut told: Vec<RateLimitReport> = told.collect();
        told.sort_by_key(|limit| limit.age_ms);
        told.truncate(MAX_LIMITS);
        told
    }

    /// Takes what upstreams have stated since this was last asked.
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
            }
        });
        taken.take(MAX_LOADS).collect()
    }

    /// Takes the failures that the others are to hear of.
    ///
    /// None if nothing has answered this VM for a while either: it is then
    /// more likely to be at fault than everything around it.
    pub(crate) fn take_failures(
        &mut self,
        now: BootInstant,
    ) -> Vec<UpstreamFailureReport> {
        let failed = std::mem::take(&mut self.failures);
        let is_well = self.answered_at.is_some_and(|at| is_recent(at, now));
        if !is_well {
            return Vec::new();
        }
        let told_now = failed.keys().map(|upstream| (*upstream, now));
        self.failure_sent_at.extend(told_now);
        self.failure_sent_at.retain(|_, at| is_recent(*at, now));
        let told = failed.into_iter();
        told.map(|(upstream, verdict)| UpstreamFailureReport {
            upstream,
            verdict,
        })
        .take(MAX_FAILURES)
        .collect()
    }
}

fn is_recent(at: BootInstant, now: BootInstant) -> bool {
    now.saturating_duration_since(at) < FAILURE_REPEAT_INTERVAL
}

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
const STATED_MOST: usize = 48;

/// Time after which another failure at the same upstream is told.
const FAILURE_TOLD_AGAIN: Duration = Duration::from_secs(1);

/// Failures that one beat tells.
const FAILURES_MOST: usize = 64;

/// Time for which it is told that an upstream leaves: datagrams get lost, and
/// in a large fleet each reaches few VMs of the other data halls.
const LEAVING_TOLD: Duration = Duration::from_secs(10);

/// Lives that leave which one beat tells.
const LEAVING_MOST: usize = 64;

/// Time for which the VMs of the own data hall are told of a rate limit after
/// it was named: two beats, as a datagram may get lost.
const LIMIT_TOLD_NEAR: Duration = Duration::from_millis(1200);

/// The same for other data halls, of which each beat reaches few VMs.
const LIMIT_TOLD_FAR: Duration = Duration::from_secs(10);

/// Rate limits that one beat tells, the newest first.
const LIMITS_MOST: usize = 64;

/// What an upstream said of its rate limit.
#[derive(Clone, Copy, Debug)]
struct SeenLimit {
    rate: Option<RequestRate>,
    stated_at: BootInstant,
    /// When the own data hall was first to be told of it, if it is.
    near_from: Option<BootInstant>,
}

/// What is to be told of upstreams.
#[derive(Debug, Default)]
pub(crate) struct SeenLately {
    /// What each upstream stated last, and when.
    stated: HashMap<ShortHash, (LoadReport, BootInstant)>,
    /// Upstreams that have failed since the last beat.
    failed: HashMap<ShortHash, AttemptOutcome>,
    /// When a failure of each upstream was last told.
    told_at: HashMap<ShortHash, BootInstant>,
    /// Lives that are leaving, and when that was heard.
    leaving: HashMap<ShortHash, BootInstant>,
    /// The rate limits that were named last.
    limits: HashMap<ShortHash, SeenLimit>,
    /// When an upstream last answered this VM.
    answered_at: Option<BootInstant>,
}

impl SeenLately {
    /// Notes what an upstream stated.
    pub(crate) fn note_load(
        &mut self,
        upstream: ShortHash,
        load: LoadReport,
        now: BootInstant,
    ) {
        self.stated.insert(upstream, (load, now));
    }

    /// Notes how an attempt ended; returns whether the others should hear of
    /// it at once.
    pub(crate) fn record_outcome(
        &mut self,
        upstream: ShortHash,
        verdict: AttemptOutcome,
        now: BootInstant,
    ) -> bool {
        if verdict == AttemptOutcome::Success {
            self.answered_at = Some(now);
            return false;
        }
        let told_at = self.told_at.get(&upstream);
        if told_at.is_some_and(|at| is_recent(*at, now)) {
            return false;
        }
        self.failed.insert(upstream, verdict);
        matches!(verdict, AttemptOutcome::Lost | AttemptOutcome::Unreachable)
    }

    /// Notes that a life is leaving, as it has said itself.
    pub(crate) fn note_leaving(&mut self, life: ShortHash, now: BootInstant) {
        self.leaving.insert(life, now);
    }

    /// The lives that are leaving which the others are to hear of.
    pub(crate) fn take_leaving(&mut self, now: BootInstant) -> Vec<ShortHash> {
        self.leaving.retain(|_, heard_at| {
            now.saturating_duration_since(*heard_at) < LEAVING_TOLD
        });
        self.leaving.keys().copied().take(LEAVING_MOST).collect()
    }

    /// Notes which rate limit, or that none, was named at a time; the VMs of
    /// the own data hall are told as well where they may not know it.
    pub(crate) fn note_limit(
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
        let near_from = for_own_hall.then_some(now);
        let seen = SeenLimit { rate, stated_at, near_from };
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
        self.limits.retain(|_, seen| age(seen.stated_at) < LIMIT_TOLD_FAR);
        let is_told = |seen: &SeenLimit| {
            let is_new = |at| age(at) < LIMIT_TOLD_NEAR;
            !for_own_hall || seen.near_from.is_some_and(is_new)
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
        told.truncate(LIMITS_MOST);
        told
    }

    /// Takes what upstreams have stated since this was last asked.
    pub(crate) fn take_loads(
        &mut self,
        now: BootInstant,
    ) -> Vec<UpstreamLoadReport> {
        let bounded = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let taken = self.stated.drain().map(|(upstream, (load, at))| {
            let age = now.saturating_duration_since(at).as_millis();
            UpstreamLoadReport {
                upstream,
                running: bounded(load.running),
                waiting: bounded(load.waiting),
                age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            }
        });
        taken.take(STATED_MOST).collect()
    }

    /// Takes the failures that the others are to hear of.
    ///
    /// None if nothing has answered this VM for a while either: it is then
    /// more likely to be at fault than everything around it.
    pub(crate) fn take_failures(
        &mut self,
        now: BootInstant,
    ) -> Vec<UpstreamFailureReport> {
        let failed = std::mem::take(&mut self.failed);
        let is_well = self.answered_at.is_some_and(|at| is_recent(at, now));
        if !is_well {
            return Vec::new();
        }
        let told_now = failed.keys().map(|upstream| (*upstream, now));
        self.told_at.extend(told_now);
        self.told_at.retain(|_, at| is_recent(*at, now));
        let told = failed.into_iter();
        told.map(|(upstream, outcome)| UpstreamFailureReport {
            upstream,
            outcome,
        })
        .take(FAILURES_MOST)
        .collect()
    }
}

fn is_recent(at: BootInstant, now: BootInstant) -> bool {
    now.saturating_duration_since(at) < FAILURE_TOLD_AGAIN
}

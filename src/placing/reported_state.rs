//! The state that one incarnation of an upstream has reported about itself.
//!
//! It outlives the upstream's record: the record in the platform's store is
//! updated later, may expire, and is read again, and none of that revokes what
//! the upstream itself has reported. It is leaving until it stops, backs off
//! until its `Retry-After` has passed, and keeps its rate limit until it
//! announces none.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    clock::BootInstant,
    id::DataHallId,
    message::ShortHash,
    placing::{
        owners::Roster,
        rate_limit::{self, LimitChange, LimitState},
        signals::{RateLimit, ReportedChange, RetryAfter, UpstreamSignals},
    },
    unit::RequestRate,
};

/// Longest backoff that is honoured; an upstream that asks for more is tried
/// again after this time.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Jitter added to a backoff, as a share of it, and its maximum. It spreads
/// the return of VMs that were asked to back off at the same time.
const JITTER_RATIO: f64 = 0.15;
const MAX_JITTER: Duration = Duration::from_secs(1);

/// Interval between requests after a backoff until the first response: a
/// repeated rejection arrives within this time.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How long the state of an incarnation is kept while it is not in the pool. A
/// leaving upstream stops within seconds, and an expired record returns within
/// seconds as well.
const UNLISTED_TTL: Duration = Duration::from_secs(600);

/// Maximum number of incarnations outside the pool whose state is kept.
const MAX_UNLISTED: usize = 4096;

/// The state that an upstream has reported about itself.
#[derive(Debug, Default)]
pub struct ReportedState {
    is_leaving: AtomicBool,
    /// Whether `backoff` is set; lets a selection among hundreds of upstreams
    /// skip most locks.
    has_backoff: AtomicBool,
    backoff: Mutex<Option<Backoff>>,
    /// Whether it has sent a `Retry-After` that could not be parsed.
    was_retry_after_unreadable: AtomicBool,
    limit: LimitState,
    /// Whether it has sent a rate limit that could not be parsed.
    was_limit_unreadable: AtomicBool,
}

/// A backoff that has not been confirmed as over by a response.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: BootInstant,
    /// When the last probe was sent, which finds out whether the upstream
    /// takes requests again.
    probed_at: Option<BootInstant>,
}

impl Backoff {
    fn left(&self, now: BootInstant) -> Duration {
        let probed_at = self.probed_at.filter(|at| *at >= self.until);
        let until = probed_at.map_or(self.until, |at| at + PROBE_INTERVAL);
        until.saturating_duration_since(now)
    }
}

impl ReportedState {
    /// Marks it as leaving; returns whether it was not marked before.
    pub fn mark_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::Relaxed)
    }

    /// Whether it has reported that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Applies the signals in its response to a request that was sent at
    /// `sent_at`; returns what has changed.
    ///
    /// `jitter`, from 0 to 1, spreads the reaction of VMs that receive the
    /// same signals at the same time.
    pub fn apply(
        &self,
        signals: &UpstreamSignals,
        jitter: f64,
        sent_at: BootInstant,
        now: BootInstant,
    ) -> Vec<ReportedChange> {
        let is_new = signals.is_leaving && self.mark_leaving();
        let leaving = is_new.then_some(ReportedChange::Leaving);
        let backoff = self.apply_retry_after(
            signals.retry_after.as_ref(),
            jitter,
            sent_at,
            now,
        );
        let limit = signals.rate_limit.as_ref();
        let limit =
            limit.and_then(|limit| self.apply_rate_limit(limit, jitter, now));
        [leaving, backoff, limit].into_iter().flatten().collect()
    }

    fn apply_rate_limit(
        &self,
        limit: &RateLimit,
        jitter: f64,
        now: BootInstant,
    ) -> Option<ReportedChange> {
        match limit {
            RateLimit::Unlimited => {
                self.update_rate_limit(None, now, jitter, now)
            }
            RateLimit::At(rate) => {
                self.update_rate_limit(Some(*rate), now, jitter, now)
            }
            RateLimit::Unreadable(text) => {
                let was_unreadable = &self.was_limit_unreadable;
                let is_new = !was_unreadable.swap(true, Ordering::Relaxed);
                is_new
                    .then(|| ReportedChange::RateLimitUnreadable(text.clone()))
            }
        }
    }

    /// Applies the rate limit that it announced at `announced_at`, or `None`
    /// if it announced none; returns what has changed.
    pub(crate) fn update_rate_limit(
        &self,
        rate: Option<RequestRate>,
        announced_at: BootInstant,
        jitter: f64,
        now: BootInstant,
    ) -> Option<ReportedChange> {
        let change = self.limit.update(rate, announced_at, jitter, now)?;
        Some(match change {
            LimitChange::Started(rate) => ReportedChange::RateLimited(rate),
            LimitChange::Ended => ReportedChange::RateLimitLifted,
        })
    }

    /// How long `vm` must not send a request to it because of its rate limit;
    /// zero if it may send one. `upstream` and `hall` are the hash and the
    /// data hall of this upstream.
    pub(crate) fn rate_limit_wait(
        &self,
        roster: &RwLock<Roster>,
        vm: &str,
        upstream: ShortHash,
        hall: &DataHallId,
        now: BootInstant,
    ) -> Duration {
        let Some(max_owners) = self.max_owners(now) else {
            return Duration::ZERO;
        };
        let roster = roster.read().expect("roster lock");
        let owners = roster.owners(vm, upstream, hall, max_owners);
        self.limit.wait(owners, now)
    }

    /// How long an owner of its rate limit must not send a request to it,
    /// given the number of owners; zero if it may send one.
    pub(crate) fn owner_wait(
        &self,
        owners: usize,
        now: BootInstant,
    ) -> Duration {
        self.limit.owner_wait(owners, now)
    }

    /// The maximum number of VMs that own its rate limit; `None` if it has no
    /// limit.
    pub(crate) fn max_owners(&self, now: BootInstant) -> Option<usize> {
        self.limit.per_s(now).map(rate_limit::max_owners)
    }

    /// The rate that it takes from all VMs together, in requests per second;
    /// `None` if it has no limit.
    pub fn rate_limit_per_s(&self, now: BootInstant) -> Option<f64> {
        self.limit.per_s(now)
    }

    /// Applies the `Retry-After`, or its absence, in the response to a request
    /// that was sent at `sent_at`; returns what has changed.
    pub(super) fn apply_retry_after(
        &self,
        retry_after: Option<&RetryAfter>,
        jitter: f64,
        sent_at: BootInstant,
        now: BootInstant,
    ) -> Option<ReportedChange> {
        match retry_after {
            Some(RetryAfter::For(time)) => {
                self.begin_backoff(*time, jitter, now).then(|| {
                    ReportedChange::BackoffStarted(self.backoff_left(now))
                })
            }
            Some(RetryAfter::Unreadable(text)) => self
                .mark_retry_after_unreadable()
                .then(|| ReportedChange::RetryAfterUnreadable(text.clone())),
            None => self
                .record_served(sent_at)
                .then_some(ReportedChange::BackoffEnded),
        }
    }

    /// Starts or extends a backoff from `now`; returns whether none was
    /// running.
    ///
    /// A longer backoff that is already running is not shortened.
    fn begin_backoff(
        &self,
        time: Duration,
        jitter: f64,
        now: BootInstant,
    ) -> bool {
        if time.is_zero() {
            return false;
        }
        let time = time.min(MAX_BACKOFF);
        let spread = time.mul_f64(JITTER_RATIO).min(MAX_JITTER);
        let until = now + time + spread.mul_f64(jitter);
        let mut backoff = self.backoff.lock().expect("backoff lock");
        let running_until = backoff.map(|backoff| backoff.until);
        let is_new = running_until.is_none_or(|running| running <= now);
        let until = running_until.map_or(until, |running| running.max(until));
        *backoff = Some(Backoff { until, probed_at: None });
        self.has_backoff.store(true, Ordering::Relaxed);
        is_new
    }

    /// Marks that a `Retry-After` could not be parsed; returns whether this is
    /// the first time, since every response may repeat it.
    fn mark_retry_after_unreadable(&self) -> bool {
        !self.was_retry_after_unreadable.swap(true, Ordering::Relaxed)
    }

    /// How long the backoff lasts; zero if a request may be sent now.
    pub fn backoff_left(&self, now: BootInstant) -> Duration {
        if !self.has_backoff.load(Ordering::Relaxed) {
            return Duration::ZERO;
        }
        let backoff = *self.backoff.lock().expect("backoff lock");
        backoff.map_or(Duration::ZERO, |backoff| backoff.left(now))
    }

    /// Records that a request is sent to it. The first one after a backoff is
    /// a probe that delays the others: requests that were delayed for seconds
    /// would otherwise arrive all at once.
    pub fn record_sent(&self, now: BootInstant) {
        self.limit.record_sent(now);
        if !self.has_backoff.load(Ordering::Relaxed) {
            return;
        }
        if let Some(backoff) = &mut *self.backoff.lock().expect("backoff lock")
        {
            backoff.probed_at = Some(now);
        }
    }

    /// Records a response without `Retry-After` to a request that was sent at
    /// `sent_at`; returns whether this ended a backoff.
    fn record_served(&self, sent_at: BootInstant) -> bool {
        if !self.has_backoff.load(Ordering::Relaxed) {
            return false;
        }
        let mut backoff = self.backoff.lock().expect("backoff lock");
        let is_over = backoff.is_some_and(|backoff| sent_at >= backoff.until);
        if is_over {
            *backoff = None;
            self.has_backoff.store(false, Ordering::Relaxed);
        }
        is_over
    }

    /// Whether any of the reported state is in force.
    pub fn is_in_force(&self, now: BootInstant) -> bool {
        self.is_leaving()
            || !self.backoff_left(now).is_zero()
            || self.rate_limit_per_s(now).is_some()
    }
}

/// Reported state of incarnations that are not in the pool, because their
/// record has expired or has not arrived yet.
#[derive(Debug, Default)]
pub(super) struct UnlistedStates(HashMap<ShortHash, Unlisted>);

#[derive(Debug)]
struct Unlisted {
    state: Arc<ReportedState>,
    since: BootInstant,
}

impl UnlistedStates {
    /// Keeps the state of an incarnation whose record is gone, if any of it is
    /// in force.
    pub(super) fn keep(
        &mut self,
        incarnation: ShortHash,
        state: Arc<ReportedState>,
        now: BootInstant,
    ) {
        self.0.retain(|_, kept| {
            now.saturating_duration_since(kept.since) < UNLISTED_TTL
        });
        if self.0.len() < MAX_UNLISTED && state.is_in_force(now) {
            self.0.insert(incarnation, Unlisted { state, since: now });
        }
    }

    /// Takes the state of an incarnation that enters the pool; empty if none
    /// was kept.
    pub(super) fn take(
        &mut self,
        incarnation: ShortHash,
    ) -> Arc<ReportedState> {
        self.0.remove(&incarnation).map(|kept| kept.state).unwrap_or_default()
    }

    /// Updates the state of an incarnation from a report of another VM, and
    /// keeps it if any of it is in force.
    pub(super) fn update(
        &mut self,
        incarnation: ShortHash,
        now: BootInstant,
        update: impl FnOnce(&ReportedState),
    ) {
        let state = self.take(incarnation);
        update(&state);
        self.keep(incarnation, state, now);
    }
}

#[cfg(test)]
mod tests;

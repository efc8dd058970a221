//! The rate limit that an upstream sets for all VMs together.
//!
//! An overloaded upstream announces in its responses how many requests per
//! second it takes from all VMs together. If each VM kept to that rate by
//! itself, the fleet would send a multiple of it.
//!
//! # How the limit is kept
//!
//! A few [owners](super::owners) share the rate equally, and each leaves the
//! same interval after every request. In any time `t` the owners send no more
//! than `rate * t` plus one request each, whatever came before, so the number
//! of owners may grow with the rate.
//!
//! # How a limit begins and ends
//!
//! VMs learn of a limit from responses and from each other; the most recently
//! announced limit counts. It holds until a response to a request that ran
//! announces none.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{clock::BootInstant, unit::RequestRate};

/// Owners of an upstream at any rate; more than one, so that the loss of an
/// owner does not stop its requests.
const MIN_OWNERS: usize = 3;

/// Additional owners for each request per second. Within four seconds each
/// owner may exceed its share by one request; operators allow half of the rate
/// and five requests more than the upstream has announced.
const OWNERS_PER_RATE: f64 = 2.0;

/// Lowest rate that is enforced, in requests per second: an upstream that
/// announces less is still tried, because only its responses show whether it
/// takes requests again.
const MIN_RATE_PER_S: f64 = 0.1;

/// How long a limit holds that is not announced again.
const LIMIT_TTL: Duration = Duration::from_secs(600);

/// Returns the maximum number of VMs that own an upstream at a rate.
pub(crate) fn max_owners(per_s: f64) -> usize {
    MIN_OWNERS + (OWNERS_PER_RATE * per_s) as usize
}

/// The rate limit of an upstream as this VM knows it, and when this VM last
/// sent it a request.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    /// Whether a limit may be in force; lets a selection among hundreds of
    /// upstreams skip most locks.
    may_be_limited: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the upstream announced the limit that is known.
    announced_at: Option<BootInstant>,
    limit: Option<Limit>,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: RequestRate,
    /// When this VM learned of the limit.
    since: BootInstant,
    /// Share of the interval to wait before the first request, from 0 to 1.
    jitter: f64,
    /// When this VM last sent a request.
    sent_at: Option<BootInstant>,
}

impl Limit {
    /// The rate that all VMs together keep to, in requests per second.
    fn per_s(&self) -> f64 {
        self.rate.per_s().max(MIN_RATE_PER_S)
    }

    /// When one of `owners` owners may send its next request.
    fn next_at(&self, owners: usize) -> BootInstant {
        let interval = Duration::from_secs_f64(owners as f64 / self.per_s());
        match self.sent_at {
            Some(sent_at) => sent_at + interval,
            None => self.since + interval.mul_f64(self.jitter),
        }
    }
}

/// A change of the rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The upstream has a limit now.
    Started(RequestRate),
    /// The upstream no longer has a limit.
    Ended,
}

impl LimitState {
    /// Applies the rate that the upstream announced at `announced_at`, `None`
    /// if it announced none, unless a newer announcement is known; returns
    /// what has changed.
    ///
    /// `jitter`, from 0 to 1, spreads the first requests of the owners.
    pub(crate) fn update(
        &self,
        rate: Option<RequestRate>,
        announced_at: BootInstant,
        jitter: f64,
        now: BootInstant,
    ) -> Option<LimitChange> {
        let mut state = self.state.lock().expect("limit lock");
        if state.announced_at.is_some_and(|known| known > announced_at) {
            return None;
        }
        state.expire(now);
        state.announced_at = Some(announced_at);
        let change = match rate {
            Some(rate) => state.start(rate, jitter, now),
            None => state.limit.take().map(|_| LimitChange::Ended),
        };
        self.may_be_limited.store(state.limit.is_some(), Ordering::Relaxed);
        change
    }

    /// The rate that the upstream takes from all VMs together, in requests per
    /// second; `None` if there is no limit.
    pub(crate) fn per_s(&self, now: BootInstant) -> Option<f64> {
        if !self.may_be_limited.load(Ordering::Relaxed) {
            return None;
        }
        let mut state = self.state.lock().expect("limit lock");
        state.expire(now);
        self.may_be_limited.store(state.limit.is_some(), Ordering::Relaxed);
        state.limit.map(|limit| limit.per_s())
    }

    /// How long this VM must not send a request; zero if it may send one.
    /// `owners` is the number of owners, `None` if this VM is not one.
    ///
    /// Callers that receive this time may retry at any VM, so it never exceeds
    /// the interval at which all owners together send.
    pub(crate) fn wait(
        &self,
        owners: Option<usize>,
        now: BootInstant,
    ) -> Duration {
        let Some(interval_of_all) = self.interval_of_all() else {
            return Duration::ZERO;
        };
        owners.map_or(interval_of_all, |owners| {
            self.owner_wait(owners, now).min(interval_of_all)
        })
    }

    /// How long this VM, one of `owners` owners, must not send a request; zero
    /// if it may send one.
    pub(crate) fn owner_wait(
        &self,
        owners: usize,
        now: BootInstant,
    ) -> Duration {
        let state = self.state.lock().expect("limit lock");
        state.limit.map_or(Duration::ZERO, |limit| {
            limit.next_at(owners).saturating_duration_since(now)
        })
    }

    /// The interval at which all owners together send; `None` if there is no
    /// limit.
    fn interval_of_all(&self) -> Option<Duration> {
        let state = self.state.lock().expect("limit lock");
        state.limit.map(|limit| Duration::from_secs_f64(1.0 / limit.per_s()))
    }

    /// Records that this VM sends a request.
    pub(crate) fn record_sent(&self, now: BootInstant) {
        if !self.may_be_limited.load(Ordering::Relaxed) {
            return;
        }
        let mut state = self.state.lock().expect("limit lock");
        if let Some(limit) = &mut state.limit {
            limit.sent_at = Some(now);
        }
    }
}

impl State {
    /// Ends the limit if it was not announced again within [`LIMIT_TTL`].
    fn expire(&mut self, now: BootInstant) {
        let is_old = self
            .announced_at
            .is_some_and(|at| now.saturating_duration_since(at) >= LIMIT_TTL);
        if is_old {
            self.limit = None;
        }
    }

    /// Starts the limit or changes its rate; returns the change if there was
    /// no limit before.
    fn start(
        &mut self,
        rate: RequestRate,
        jitter: f64,
        now: BootInstant,
    ) -> Option<LimitChange> {
        if let Some(limit) = &mut self.limit {
            limit.rate = rate;
            return None;
        }
        self.limit = Some(Limit { rate, since: now, jitter, sent_at: None });
        Some(LimitChange::Started(rate))
    }
}

#[cfg(test)]
mod tests;

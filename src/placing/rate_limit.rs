//! How the VMs together keep to the request rate that an upstream names.
//!
//! An upstream in need names in its answers how many requests a second it
//! takes from all VMs together. Any VM alone could keep to that, and a fleet
//! of them would send a multiple.
//!
//! # How the bound is kept
//!
//! A few [owners](super::owners) share the rate equally, and each leaves the
//! same gap after every request. In any time `t` the owners send no more than
//! `rate * t` and one each, whatever came before, so the number of owners may
//! grow with the rate.
//!
//! # How a limit begins and ends
//!
//! VMs learn of a limit by answers and from each other, and the newest word
//! counts. It holds until an answer to a request that ran names none.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{clock::BootInstant, unit::RequestRate};

/// Owners of an upstream whatever its rate; the others are there for the loss
/// of one.
const MIN_OWNERS: usize = 3;

/// Owners besides, for each request a second. In four seconds each may send
/// one request beyond its part, and operators allow half of the rate and five
/// requests more than an upstream has named.
const OWNERS_PER_RATE: f64 = 2.0;

/// Lowest rate in requests a second, at which an upstream is asked that names
/// a lower one: whether it takes requests again shows in its answers only.
const MIN_RATE_PER_S: f64 = 0.1;

/// Time for which a limit is believed that nobody has been told again.
const LIMIT_LIFETIME: Duration = Duration::from_secs(600);

/// The most VMs that may own an upstream at a rate.
pub(crate) fn max_owners(per_s: f64) -> usize {
    MIN_OWNERS + (OWNERS_PER_RATE * per_s) as usize
}

/// What is known of an upstream's rate limit, and when this VM has sent it
/// requests since.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    /// Whether a limit may be in force, so that a choice among hundreds of
    /// upstreams takes the lock of few.
    may_be_limited: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the newest word of the upstream was given.
    stated_at: Option<BootInstant>,
    limit: Option<Limit>,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: RequestRate,
    /// When this VM learnt of it.
    since: BootInstant,
    /// Part of the gap before the first request, from 0 to 1.
    jitter: f64,
    /// When this VM last sent a request.
    sent_at: Option<BootInstant>,
}

impl Limit {
    /// The rate that all VMs keep to together, in requests a second.
    fn per_s(&self) -> f64 {
        self.rate.per_s().max(MIN_RATE_PER_S)
    }

    /// When one of so many owners may send the next request.
    fn next_at(&self, owners: usize) -> BootInstant {
        let gap = Duration::from_secs_f64(owners as f64 / self.per_s());
        match self.sent_at {
            Some(sent_at) => sent_at + gap,
            None => self.since + gap.mul_f64(self.jitter),
        }
    }
}

/// A change of what an upstream takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It has a limit now.
    Started(RequestRate),
    /// It has none any more.
    Ended,
}

impl LimitState {
    /// Takes in the rate that the upstream named at a time, `None` where it
    /// named none, unless a newer word is known; returns what has changed.
    ///
    /// `jitter`, from 0 to 1, spreads the first requests of the owners.
    pub(crate) fn update(
        &self,
        rate: Option<RequestRate>,
        stated_at: BootInstant,
        jitter: f64,
        now: BootInstant,
    ) -> Option<LimitChange> {
        let mut state = self.state.lock().expect("limit lock");
        if state.stated_at.is_some_and(|known| known > stated_at) {
            return None;
        }
        state.expire(now);
        state.stated_at = Some(stated_at);
        let change = match rate {
            Some(rate) => state.start(rate, jitter, now),
            None => state.limit.take().map(|_| LimitChange::Ended),
        };
        self.may_be_limited.store(state.limit.is_some(), Ordering::Relaxed);
        change
    }

    /// The rate that the upstream takes from all VMs together, in requests a
    /// second, if there is a limit.
    pub(crate) fn per_s(&self, now: BootInstant) -> Option<f64> {
        if !self.may_be_limited.load(Ordering::Relaxed) {
            return None;
        }
        let mut state = self.state.lock().expect("limit lock");
        state.expire(now);
        self.may_be_limited.store(state.limit.is_some(), Ordering::Relaxed);
        state.limit.map(|limit| limit.per_s())
    }

    /// How long this VM, one of so many owners if it is any, is to send no
    /// request; zero if it may send one.
    ///
    /// Callers that are told this time may come back at any VM, so it is at
    /// most the time in which all owners together send one.
    pub(crate) fn wait(
        &self,
        owners: Option<usize>,
        now: BootInstant,
    ) -> Duration {
        let state = self.state.lock().expect("limit lock");
        let Some(limit) = state.limit else { return Duration::ZERO };
        let interval_of_all = Duration::from_secs_f64(1.0 / limit.per_s());
        owners.map_or(interval_of_all, |owners| {
            let own = limit.next_at(owners);
            own.saturating_duration_since(now).min(interval_of_all)
        })
    }

    /// Notes that this VM sends a request.
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
    fn expire(&mut self, now: BootInstant) {
        let is_old = self.stated_at.is_some_and(|at| {
            now.saturating_duration_since(at) >= LIMIT_LIFETIME
        });
        if is_old {
            self.limit = None;
        }
    }

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

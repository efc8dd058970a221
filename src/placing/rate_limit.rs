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
const OWNERS_LEAST: usize = 3;

/// Owners besides, for each request a second. In four seconds each may send
/// one request beyond its part, and operators allow half of the rate and five
/// requests more than an upstream has named.
const OWNERS_PER_RATE: f64 = 2.0;

/// Lowest rate in requests a second, at which an upstream is asked that names
/// a lower one: whether it takes requests again shows in its answers only.
const RATE_LEAST_PER_S: f64 = 0.1;

/// Time for which a limit is believed that nobody has been told again.
const BELIEVED_FOR: Duration = Duration::from_secs(600);

/// The most VMs that may own an upstream at a rate.
pub(crate) fn owners_most(per_s: f64) -> usize {
    OWNERS_LEAST + (OWNERS_PER_RATE * per_s) as usize
}

/// What is known of an upstream's rate limit, and when this VM has sent it
/// requests since.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    /// Whether a limit may be in force, so that a choice among hundreds of
    /// upstreams takes the lock of few.
    may_hold: AtomicBool,
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
    draw: f64,
    /// When this VM last sent a request.
    sent_at: Option<BootInstant>,
}

impl Limit {
    /// The rate that all VMs keep to together, in requests a second.
    fn per_s(&self) -> f64 {
        self.rate.per_s().max(RATE_LEAST_PER_S)
    }

    /// When one of so many owners may send the next request.
    fn next_at(&self, owners: usize) -> BootInstant {
        let gap = Duration::from_secs_f64(owners as f64 / self.per_s());
        match self.sent_at {
            Some(sent_at) => sent_at + gap,
            None => self.since + gap.mul_f64(self.draw),
        }
    }
}

/// A change of what an upstream takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It has a limit now.
    Begun(RequestRate),
    /// It has none any more.
    Ended,
}

impl LimitState {
    /// Takes in the rate that the upstream named at a time, `None` where it
    /// named none, unless a newer word is known; returns what has changed.
    ///
    /// `draw`, from 0 to 1, spreads the first requests of the owners.
    pub(crate) fn take(
        &self,
        rate: Option<RequestRate>,
        stated_at: BootInstant,
        draw: f64,
        now: BootInstant,
    ) -> Option<LimitChange> {
        let mut state = self.state.lock().expect("limit lock");
        if state.stated_at.is_some_and(|held| held > stated_at) {
            return None;
        }
        state.forget_old(now);
        state.stated_at = Some(stated_at);
        let change = match rate {
            Some(rate) => state.begin(rate, draw, now),
            None => state.limit.take().map(|_| LimitChange::Ended),
        };
        self.may_hold.store(state.limit.is_some(), Ordering::Relaxed);
        change
    }

    /// The rate that the upstream takes from all VMs together, in requests a
    /// second, if there is a limit.
    pub(crate) fn per_s(&self, now: BootInstant) -> Option<f64> {
        if !self.may_hold.load(Ordering::Relaxed) {
            return None;
        }
        let mut state = self.state.lock().expect("limit lock");
        state.forget_old(now);
        self.may_hold.store(state.limit.is_some(), Ordering::Relaxed);
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
        let next_of_all = Duration::from_secs_f64(1.0 / limit.per_s());
        owners.map_or(next_of_all, |owners| {
            let own = limit.next_at(owners);
            own.saturating_duration_since(now).min(next_of_all)
        })
    }

    /// Notes that this VM sends a request.
    pub(crate) fn record_sent(&self, now: BootInstant) {
        if !self.may_hold.load(Ordering::Relaxed) {
            return;
        }
        let mut state = self.state.lock().expect("limit lock");
        if let Some(limit) = &mut state.limit {
            limit.sent_at = Some(now);
        }
    }
}

impl State {
    fn forget_old(&mut self, now: BootInstant) {
        let is_old = self.stated_at.is_some_and(|at| {
            now.saturating_duration_since(at) >= BELIEVED_FOR
        });
        if is_old {
            self.limit = None;
        }
    }

    fn begin(
        &mut self,
        rate: RequestRate,
        draw: f64,
        now: BootInstant,
    ) -> Option<LimitChange> {
        if let Some(limit) = &mut self.limit {
            limit.rate = rate;
            return None;
        }
        self.limit = Some(Limit { rate, since: now, draw, sent_at: None });
        Some(LimitChange::Begun(rate))
    }
}

#[cfg(test)]
mod tests;

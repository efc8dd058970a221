//! How many requests a second an overloaded VM takes on.
//!
//! The limiter has to find what the VM bears, which differs by VM, by request
//! and by moment. While the VM is overloaded, next to no connection is
//! accepted, until it has done what it has taken on. How many requests that
//! were is what it bears. From then on the rate grows until the VM is
//! overloaded again, or until no more connections come.
//!
//! Requests on connections that are open already count as well. New
//! connections get what is left.

use std::time::Duration;

use crate::{
    clock::BootInstant, intake::recent_requests::RecentRequests,
    token_bucket::TokenBucket,
};

/// Connections a second that are accepted at least. A VM that is ready must
/// not look to the load balancer as if it were gone.
const MIN_RATE_PER_S: f64 = 2.0;

/// Time before everything was late in which the VM has already taken on more
/// than it bears.
const ONSET_TIME: Duration = Duration::from_millis(300);

/// Part of what the VM has just borne that it takes on after an overload.
const SAFETY_FACTOR: f64 = 0.9;

/// Smallest part of its rate that a VM takes on after a further overload: by
/// then the rate is nearly right.
const MIN_DECREASE_FACTOR: f64 = 0.7;

/// Factor on the rate in each [`GROWTH_INTERVAL`] in which it was too small
/// for the connections that came.
const GROWTH_FACTOR: f64 = 1.02;

/// Interval between two increases of the rate.
const GROWTH_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the rate must have been large enough before the limit ends.
const RELEASE_TIME: Duration = Duration::from_secs(2);

/// Time whose connections are accepted at once. Whatever is on its way when
/// the listener closes is refused after its caller has sent the request, so
/// the listener should close rarely.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Smallest number of connections that are accepted at once. If a single one
/// used up the burst, the limit of a slow VM would not end for as long as any
/// connections come.
const MIN_BURST: f64 = 3.0;

/// Part of the burst that must be available before connections are accepted
/// again.
const REOPEN_FRACTION: f64 = 0.9;

/// Limits the new connections of a VM.
#[derive(Debug, Default)]
pub(crate) struct ConnectionLimiter {
    state: State,
    recent: RecentRequests,
}

#[derive(Debug, Default)]
enum State {
    /// Every connection is accepted.
    #[default]
    Unlimited,
    /// The VM is overloaded.
    Draining(Draining),
    /// As many are accepted as the VM seems to bear.
    Limited(Limited),
}

#[derive(Debug)]
struct Draining {
    /// Since when everything has been late.
    since: BootInstant,
    /// The rate that was too large, if there was one.
    rate_before_per_s: Option<f64>,
    bucket: TokenBucket,
}

#[derive(Debug)]
struct Limited {
    rate_per_s: f64,
    bucket: TokenBucket,
    /// Whether connections are accepted until the bucket is empty.
    is_open: bool,
    /// When connections were last refused.
    refused_at: BootInstant,
    grown_at: BootInstant,
}

impl Limited {
    fn new(rate_per_s: f64, now: BootInstant) -> Limited {
        let rate_per_s = rate_per_s.max(MIN_RATE_PER_S);
        Limited {
            rate_per_s,
            bucket: TokenBucket::new(rate_per_s, burst(rate_per_s), now),
            is_open: true,
            refused_at: now,
            grown_at: now,
        }
    }

    fn may_accept(&mut self, now: BootInstant) -> bool {
        let needed = match self.is_open {
            true => 1.0,
            false => burst(self.rate_per_s) * REOPEN_FRACTION,
        };
        self.is_open = self.bucket.has(needed, now);
        if !self.is_open {
            self.refused_at = now;
            self.grow(now);
        }
        self.is_open
    }

    fn grow(&mut self, now: BootInstant) {
        let since_growth = now.saturating_duration_since(self.grown_at);
        if since_growth < GROWTH_INTERVAL {
            return;
        }
        self.grown_at = now;
        self.rate_per_s *= GROWTH_FACTOR;
        let rate_per_s = self.rate_per_s;
        self.bucket.set_rate(rate_per_s, burst(rate_per_s), now);
    }
}

fn burst(rate_per_s: f64) -> f64 {
    (rate_per_s * BURST_TIME.as_secs_f64()).max(MIN_BURST)
}

impl ConnectionLimiter {
    /// Returns the requests a second that the VM takes on; `None` if there is
    /// no limit.
    pub(crate) fn rate_per_s(&self) -> Option<f64> {
        match &self.state {
            State::Unlimited => None,
            State::Draining(_) => Some(MIN_RATE_PER_S),
            State::Limited(limited) => Some(limited.rate_per_s),
        }
    }

    /// Returns whether another connection may be accepted. `overloaded_since`
    /// says since when the VM has been overloaded, if it is.
    pub(crate) fn may_accept(
        &mut self,
        overloaded_since: Option<BootInstant>,
        now: BootInstant,
    ) -> bool {
        match (overloaded_since, &mut self.state) {
            (Some(_), State::Draining(draining)) => {
                draining.bucket.has(1.0, now)
            }
            (Some(since), _) => {
                let rate_before_per_s = self.rate_per_s();
                let bucket = TokenBucket::new(MIN_RATE_PER_S, 1.0, now);
                self.state = State::Draining(Draining {
                    since,
                    rate_before_per_s,
                    bucket,
                });
                true
            }
            (None, State::Draining(drained)) => {
                let rate = rate_after(drained, &self.recent, now);
                self.state = State::Limited(Limited::new(rate, now));
                true
            }
            (None, State::Limited(limited)) => {
                let may_accept = limited.may_accept(now);
                let since = limited.refused_at;
                if now.saturating_duration_since(since) >= RELEASE_TIME {
                    self.state = State::Unlimited;
                }
                may_accept
            }
            (None, State::Unlimited) => true,
        }
    }

    /// Counts a request that is taken on: an accepted connection stands for
    /// its first one. It may be more than allowed, since connections that
    /// arrive at the same time are accepted together, and connections that are
    /// open already cannot be refused.
    pub(crate) fn record_request(&mut self, now: BootInstant) {
        self.recent.record(now);
        match &mut self.state {
            State::Unlimited => {}
            State::Draining(draining) => draining.bucket.spend(now),
            State::Limited(limited) => limited.bucket.spend(now),
        }
    }
}

/// Returns the rate that a VM bears after it has drained.
fn rate_after(
    drained: &Draining,
    recent: &RecentRequests,
    now: BootInstant,
) -> f64 {
    let began = drained.since.checked_sub(ONSET_TIME);
    let began = began.unwrap_or(drained.since);
    let rate = recent.rate_per_s(began, now) * SAFETY_FACTOR;
    match drained.rate_before_per_s {
        Some(before) => {
            rate.min(before * SAFETY_FACTOR).max(before * MIN_DECREASE_FACTOR)
        }
        None => rate,
    }
}

#[cfg(test)]
mod tests;

//! Whether a request is sent on to wait for its turn at an upstream, or
//! turned away at once, and when its caller should come back.
//!
//! Pure decisions: what is known of the upstreams comes in, nothing is sent.
//!
//! # The load that this answers
//!
//! A burst of short calls at few upstreams: 1.8 times the usual calls of 60 ms
//! at six replicas of six slots keep all slots busy for three seconds, while
//! the calls have 300 ms to be in time. Whoever is turned away there as soon
//! as all slots are taken could have been served in time after a short wait,
//! and whoever is let in although the line is longer than that comes late and
//! makes everybody behind it late.
//!
//! # The reason for the limits
//!
//! A request waits in the upstream's own line for about its length over the
//! slots, times what one request takes. It is let in while that, and the
//! request itself, fit into [`AIM_PART`] of its aim: the rest is for what one
//! VM cannot see of the others. What a request takes is learned for each
//! service, so calls of 15 ms, of 60 ms and streams of seconds each find their
//! own limit.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::id::ServiceId;

/// Part of its aim that a request may spend in the line and being served. The
/// rest is for callers that were turned away once, for requests that take
/// longer than others, and for what a VM does not see of the other VMs.
///
/// In the replay of a burst that asks for all that the replicas can do, 0.96
/// of the callers are served in time with this (which is a line of as many
/// requests as slots), 0.83 with a line of a quarter of the slots and callers
/// that come back after 400 ms, and 0.97 with no limit; with 1.4 times as many
/// callers it is 0.48, 0.45 and 0.16.
const AIM_PART: f64 = 0.4;

/// Requests for each slot up to which none is turned away, whatever is known:
/// what other VMs have there is known late, and may have ended.
pub(super) const FILL_LEAST: f64 = 1.25;

/// Requests for each slot from which all are turned away, whatever is known:
/// upstreams hold a line of a few requests for each slot.
const FILL_MOST: f64 = 4.0;

/// Weight of one more answer in what a service is known to take.
const WEIGHT: f64 = 0.05;

/// Shortest and longest time after which a caller is asked to come back.
const RETURN_LEAST: Duration = Duration::from_millis(20);
const RETURN_MOST: Duration = Duration::from_millis(400);

/// When callers that were turned away come back, in times that a request
/// takes: when about half of the places have become free, and not together.
/// Later costs them their aim: in the replay of a burst of 1.1 times what the
/// replicas can do, 0.75 of the callers are served in time with these, and
/// 0.70 with one to three times.
const RETURN_FROM: f64 = 0.5;
const RETURN_SPREAD: f64 = 1.0;

/// Part of the time for which upstreams are to get no request over which the
/// callers spread that come back after it, and the least time that this takes.
const BACKOFF_SPREAD_PART: f64 = 0.2;
const BACKOFF_SPREAD_LEAST: Duration = Duration::from_millis(100);

/// How long the requests of each service take an upstream that has a free
/// slot for them.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes(Mutex<HashMap<ServiceId, f64>>);

impl ServiceTimes {
    /// What a request of the service takes, if any was seen.
    pub(crate) fn of(&self, service: &ServiceId) -> Option<Duration> {
        let times = self.0.lock().expect("times lock");
        times.get(service).copied().map(Duration::from_secs_f64)
    }

    /// Takes in what one more request took.
    pub(crate) fn record(&self, service: &ServiceId, took: Duration) {
        let mut times = self.0.lock().expect("times lock");
        let took_s = took.as_secs_f64();
        let held_s = times.entry(service.clone()).or_insert(took_s);
        *held_s += (took_s - *held_s) * WEIGHT;
    }
}

/// Requests for each slot, at the least full upstream, from which a request
/// with this aim is turned away.
pub(crate) fn utilization_limit(
    aim: Duration,
    takes: Option<Duration>,
) -> f64 {
    let Some(takes) = takes.filter(|takes| !takes.is_zero()) else {
        return FILL_LEAST;
    };
    let in_time = aim.as_secs_f64() * AIM_PART / takes.as_secs_f64();
    in_time.clamp(FILL_LEAST, FILL_MOST)
}

/// The time for which a request waits at an upstream that is so full.
pub(crate) fn queue_wait(fill: f64, takes: Option<Duration>) -> Duration {
    let takes = takes.unwrap_or_default();
    takes.mul_f64((fill - 1.0).clamp(0.0, FILL_MOST))
}

/// When a caller that was turned away should come back: once places have
/// become free, `draw` (0 to 1) spreading those of one moment.
pub(crate) fn retry_after(takes: Option<Duration>, draw: f64) -> Duration {
    let Some(takes) = takes else { return RETURN_MOST };
    let wait = takes.mul_f64(RETURN_FROM + draw * RETURN_SPREAD);
    wait.clamp(RETURN_LEAST, RETURN_MOST)
}

/// When a caller should come back that was turned away because every upstream
/// has asked for fewer requests: once the first may get one, `draw` (0 to 1)
/// spreading those who were told together.
pub(crate) fn retry_after_backoff(left: Duration, draw: f64) -> Duration {
    let spread = left.mul_f64(BACKOFF_SPREAD_PART).max(BACKOFF_SPREAD_LEAST);
    left + spread.mul_f64(draw)
}

#[cfg(test)]
mod tests;

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
//! slots, times what one request service_time. It is let in while that, and the
//! request itself, fit into [`LATENCY_TARGET_SHARE`] of its latency_target: the rest is for what one
//! VM cannot see of the others. What a request service_time is learned for each
//! service, so calls of 15 ms, of 60 ms and streams of seconds each find their
//! own limit.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::id::ServiceId;

/// Part of its latency_target that a request may spend in the line and being served. The
/// rest is for callers that were turned away once, for requests that take
/// longer than others, and for what a VM does not see of the other VMs.
///
/// In the replay of a burst that asks for all that the replicas can do, 0.96
/// of the callers are served in time with this (which is a line of as many
/// requests as slots), 0.83 with a line of a quarter of the slots and callers
/// that come back after 400 ms, and 0.97 with no limit; with 1.4 times as many
/// callers it is 0.48, 0.45 and 0.16.
const LATENCY_TARGET_SHARE: f64 = 0.4;

/// Requests for each slot up to which none is turned away, whatever is known:
/// what other VMs have there is known late, and may have ended.
pub(super) const MIN_UTILIZATION_LIMIT: f64 = 1.25;

/// Requests for each slot from which all are turned away, whatever is known:
/// upstreams hold a line of a few requests for each slot.
const MAX_UTILIZATION_LIMIT: f64 = 4.0;

/// Weight of one more answer in what a service is known to take.
const MEAN_WEIGHT: f64 = 0.05;

/// Shortest and longest time after which a caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(400);

/// When callers that were turned away come back, in times that a request
/// service_time: when about half of the places have become free, and not together.
/// Later costs them their latency_target: in the replay of a burst of 1.1 times what the
/// replicas can do, 0.75 of the callers are served in time with these, and
/// 0.70 with one to three times.
const RETRY_AFTER_FROM: f64 = 0.5;
const RETRY_AFTER_SPREAD: f64 = 1.0;

/// Part of the time for which upstreams are to get no request over which the
/// callers spread that come back after it, and the least time that this service_time.
const BACKOFF_JITTER_RATIO: f64 = 0.2;
const MIN_BACKOFF_JITTER: Duration = Duration::from_millis(100);

/// How long the requests of each service take an upstream that has a free
/// slot for them.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes(Mutex<HashMap<ServiceId, f64>>);

impl ServiceTimes {
    /// What a request of the service service_time, if any was seen.
    pub(crate) fn of(&self, service: &ServiceId) -> Option<Duration> {
        let times = self.0.lock().expect("times lock");
        times.get(service).copied().map(Duration::from_secs_f64)
    }

    /// Takes in what one more request took.
    pub(crate) fn record(&self, service: &ServiceId, took: Duration) {
        let mut times = self.0.lock().expect("times lock");
        let took_s = took.as_secs_f64();
        let held_s = times.entry(service.clone()).or_insert(took_s);
        *held_s += (took_s - *held_s) * MEAN_WEIGHT;
    }
}

/// Requests for each slot, at the least full upstream, from which a request
/// with this latency_target is turned away.
pub(crate) fn utilization_limit(
    latency_target: Duration,
    service_time: Option<Duration>,
) -> f64 {
    let Some(service_time) =
        service_time.filter(|service_time| !service_time.is_zero())
    else {
        return MIN_UTILIZATION_LIMIT;
    };
    let in_time = latency_target.as_secs_f64() * LATENCY_TARGET_SHARE
        / service_time.as_secs_f64();
    in_time.clamp(MIN_UTILIZATION_LIMIT, MAX_UTILIZATION_LIMIT)
}

/// The time for which a request waits at an upstream that is so full.
pub(crate) fn queue_wait(
    fill: f64,
    service_time: Option<Duration>,
) -> Duration {
    let service_time = service_time.unwrap_or_default();
    service_time.mul_f64((fill - 1.0).clamp(0.0, MAX_UTILIZATION_LIMIT))
}

/// When a caller that was turned away should come back: once places have
/// become free, `jitter` (0 to 1) spreading those of one moment.
pub(crate) fn retry_after(
    service_time: Option<Duration>,
    jitter: f64,
) -> Duration {
    let Some(service_time) = service_time else { return MAX_RETRY_AFTER };
    let wait =
        service_time.mul_f64(RETRY_AFTER_FROM + jitter * RETRY_AFTER_SPREAD);
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// When a caller should come back that was turned away because every upstream
/// has asked for fewer requests: once the first may get one, `jitter` (0 to 1)
/// spreading those who were told together.
pub(crate) fn retry_after_backoff(left: Duration, jitter: f64) -> Duration {
    let spread = left.mul_f64(BACKOFF_JITTER_RATIO).max(MIN_BACKOFF_JITTER);
    left + spread.mul_f64(jitter)
}

#[cfg(test)]
mod tests;

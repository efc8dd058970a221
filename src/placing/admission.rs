//! Admission control: whether a request is sent on to queue at an upstream or
//! rejected at once, and when its caller should retry.
//!
//! Pure functions of what is known about the upstreams; nothing is sent from
//! here.
//!
//! # The problem
//!
//! A burst of short calls at few upstreams: 1.8 times the usual rate of 60 ms
//! calls at six replicas with six slots each keeps all slots busy for three
//! seconds, while the calls have a latency target of 300 ms. A call that is
//! rejected as soon as all slots are taken could have been served in time
//! after a short wait; a call that is admitted to a longer queue is late, and
//! makes every call behind it late.
//!
//! # How the limit is derived
//!
//! The wait in the upstream's queue is about the queue length divided by the
//! slots, times the service time. A request is admitted while this wait and
//! its own service time fit into [`LATENCY_TARGET_SHARE`] of its latency
//! target; the rest is a reserve for what one VM cannot see of the others. The
//! service time is learned per service, so calls of 15 ms, calls of 60 ms and
//! streams of seconds each get their own limit.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::id::ServiceId;

/// Share of its latency target that a request may spend in the queue and being
/// served. The rest is a reserve for callers that were rejected once, for
/// requests that take longer than average, and for requests of other VMs that
/// this VM cannot see.
///
/// In the simulation of a burst that uses the full capacity of the replicas,
/// 0.96 of the callers are served in time with this share (a queue as long as
/// the number of slots), 0.83 with a queue of a quarter of the slots and
/// callers that retry after 400 ms, and 0.97 without a limit; with 1.4 times
/// as many callers, 0.48, 0.45 and 0.16.
const LATENCY_TARGET_SHARE: f64 = 0.4;

/// Requests per slot up to which a request is always admitted: work reported
/// by other VMs arrives late and may have ended.
pub(super) const MIN_UTILIZATION_LIMIT: f64 = 1.25;

/// Requests per slot from which a request is always rejected: upstreams have a
/// queue for a few requests per slot.
const MAX_UTILIZATION_LIMIT: f64 = 4.0;

/// Weight of a new sample in the moving average of the service time.
const MEAN_WEIGHT: f64 = 0.05;

/// Shortest and longest time after which a rejected caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(400);

/// When rejected callers retry, in service times: once about half of the slots
/// have become free, and not all at the same time. A later retry misses the
/// latency target: in the simulation of a burst of 1.1 times the capacity of
/// the replicas, 0.75 of the callers are served in time with these values, and
/// 0.70 with one to three service times.
const RETRY_AFTER_FROM: f64 = 0.5;
const RETRY_AFTER_SPREAD: f64 = 1.0;

/// Jitter added to the backoff of upstreams when it is passed on to callers,
/// as a share of the backoff, and its minimum.
const BACKOFF_JITTER_RATIO: f64 = 0.2;
const MIN_BACKOFF_JITTER: Duration = Duration::from_millis(100);

/// Moving average of the service time of each service, at an upstream that has
/// a free slot.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes(Mutex<HashMap<ServiceId, f64>>);

impl ServiceTimes {
    /// Returns the mean service time of a service; `None` if no response was
    /// seen yet.
    pub(crate) fn of(&self, service: &ServiceId) -> Option<Duration> {
        let times = self.0.lock().expect("times lock");
        times.get(service).copied().map(Duration::from_secs_f64)
    }

    /// Adds the service time of one request to the average.
    pub(crate) fn record(&self, service: &ServiceId, took: Duration) {
        let mut times = self.0.lock().expect("times lock");
        let took_s = took.as_secs_f64();
        let mean_s = times.entry(service.clone()).or_insert(took_s);
        *mean_s += (took_s - *mean_s) * MEAN_WEIGHT;
    }
}

/// Returns the utilization (requests per slot) of the least utilized upstream
/// from which a request with this latency target is rejected.
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

/// Returns the expected time in the queue of an upstream with this
/// utilization.
pub(crate) fn queue_wait(
    utilization: f64,
    service_time: Option<Duration>,
) -> Duration {
    let service_time = service_time.unwrap_or_default();
    service_time.mul_f64((utilization - 1.0).clamp(0.0, MAX_UTILIZATION_LIMIT))
}

/// When a rejected caller should retry: after some slots have become free.
/// `jitter` (0 to 1) spreads the callers that are rejected together.
pub(crate) fn retry_after(
    service_time: Option<Duration>,
    jitter: f64,
) -> Duration {
    let Some(service_time) = service_time else { return MAX_RETRY_AFTER };
    let wait =
        service_time.mul_f64(RETRY_AFTER_FROM + jitter * RETRY_AFTER_SPREAD);
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// When a caller should retry that was rejected because all upstreams have
/// asked to back off: once the first of them may be sent a request. `jitter`
/// (0 to 1) spreads the callers that are rejected together.
pub(crate) fn retry_after_backoff(left: Duration, jitter: f64) -> Duration {
    let spread = left.mul_f64(BACKOFF_JITTER_RATIO).max(MIN_BACKOFF_JITTER);
    left + spread.mul_f64(jitter)
}

#[cfg(test)]
mod tests;

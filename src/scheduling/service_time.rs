//! How long the work of a service takes, learned from finished requests.

use std::time::Duration;

/// Weight of a new sample in the moving averages. Samples spread by half of
/// the mean, so the mean is accurate to a twentieth.
const WEIGHT: f64 = 0.02;

/// Service time that is assumed until a request has finished.
const ASSUMED: Duration = Duration::from_millis(50);

/// Share of the mean that is assumed as the mean deviation from it.
const ASSUMED_DEVIATION: f64 = 0.25;

/// Mean deviations above the mean within which nearly all requests end: all of
/// those that are spread evenly over 0.5 to 1.5 times the mean.
const SLOW_DEVIATIONS: f64 = 2.0;

/// The mean service time and the mean deviation from it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTime {
    mean_s: f64,
    deviation_s: f64,
    is_assumed: bool,
}

impl ServiceTime {
    /// Starts from a mean, if one is known.
    pub(super) fn new(mean: Option<Duration>) -> ServiceTime {
        let mean = mean.filter(|mean| !mean.is_zero());
        let mean_s = mean.unwrap_or(ASSUMED).as_secs_f64();
        ServiceTime {
            mean_s,
            deviation_s: mean_s * ASSUMED_DEVIATION,
            is_assumed: mean.is_none(),
        }
    }

    /// Adds the service time of one request.
    pub(super) fn record(&mut self, took: Duration) {
        let took = took.max(Duration::from_millis(1));
        if self.is_assumed {
            *self = ServiceTime::new(Some(took));
            return;
        }
        let took_s = took.as_secs_f64();
        let deviation_s = (took_s - self.mean_s).abs();
        self.deviation_s += (deviation_s - self.deviation_s) * WEIGHT;
        self.mean_s += (took_s - self.mean_s) * WEIGHT;
    }

    /// Returns the mean.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the time within which nearly all requests end.
    pub(super) fn slow(&self) -> Duration {
        let slow_s = self.mean_s + SLOW_DEVIATIONS * self.deviation_s;
        Duration::from_secs_f64(slow_s)
    }
}

//! The rate at which slots become free, and what of it is left for late
//! requests.

use std::time::Duration;

use crate::clock::BootInstant;

/// Time constant of the averages. At the 113 to 188 requests a second of the
/// load pattern, it holds enough of them for an accuracy of a tenth, and it
/// follows bursts of a few seconds.
const WINDOW: Duration = Duration::from_secs(1);

/// Time for which the rate is assumed to have been that of slots and mean
/// service time, before it was measured.
const PRIOR: Duration = Duration::from_millis(200);

/// The rate at which slots have become free while requests waited, and that at
/// which requests arrived that could be in time.
///
/// Slots that become free while nothing waits say how many requests arrived,
/// not how many could have been served.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    /// Slots that became free while requests waited, and the time for which
    /// any waited, both fading with that time.
    freed: f64,
    busy_s: f64,
    observed_until: Option<BootInstant>,
    /// Requests that arrived in time, fading.
    arrivals: f64,
    arrived_at: Option<BootInstant>,
}

impl Drain {
    /// Advances to `now`; `is_busy` says whether any request has waited since
    /// the last call.
    pub(super) fn observe(&mut self, is_busy: bool, now: BootInstant) {
        let since = self.observed_until.replace(now).unwrap_or(now);
        if is_busy {
            let passed = now.saturating_duration_since(since);
            let kept = fading(passed);
            self.freed *= kept;
            self.busy_s = self.busy_s * kept + passed.as_secs_f64();
        }
    }

    /// Counts a slot that has become free while requests waited.
    pub(super) fn count_freed(&mut self) {
        self.freed += 1.0;
    }

    /// Counts a request that can be in time.
    pub(super) fn count_arrival(&mut self, now: BootInstant) {
        self.arrivals = self.arrivals_at(now) + 1.0;
        self.arrived_at = Some(now);
    }

    fn arrivals_at(&self, now: BootInstant) -> f64 {
        let Some(at) = self.arrived_at else { return 0.0 };
        self.arrivals * fading(now.saturating_duration_since(at))
    }

    /// Adapts to the loss of slots, of which this share is left.
    pub(super) fn scale(&mut self, share: f64) {
        self.freed *= share;
    }

    /// Returns how many slots become free per second while requests wait.
    /// `expected_per_s` is the rate by the slots and the mean service time.
    pub(super) fn rate_per_s(&self, expected_per_s: f64) -> f64 {
        let prior_s = PRIOR.as_secs_f64();
        (self.freed + expected_per_s * prior_s) / (self.busy_s + prior_s)
    }

    /// Returns how many of these slots requests that are in time leave over.
    pub(super) fn rest_per_s(
        &self,
        expected_per_s: f64,
        now: BootInstant,
    ) -> f64 {
        let arrivals_per_s = self.arrivals_at(now) / WINDOW.as_secs_f64();
        (self.rate_per_s(expected_per_s) - arrivals_per_s).max(0.0)
    }
}

/// The share of a count that is left after some time.
fn fading(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / WINDOW.as_secs_f64()).exp()
}

//! The usual time to the first part of the old version's answers, as this VM
//! has seen them on one route.

/// Factor by which a time may exceed the mean before the answer counts as bad.
const SLOW_FACTOR: f64 = 4.0;

/// Weight of a new time in the moving average.
const MEAN_WEIGHT: f64 = 0.1;

/// The usual time of the old version on one route, as a multiple of the
/// expected one; `None` before the first answer.
#[derive(Debug, Default)]
pub(super) struct Baseline(Option<f64>);

impl Baseline {
    /// Adds a time of the old version.
    pub(super) fn record(&mut self, ratio: f64) {
        let mean = self.0.get_or_insert(ratio);
        *mean += (ratio - *mean) * MEAN_WEIGHT;
    }

    /// Whether a time is far above the mean.
    pub(super) fn is_slow(&self, ratio: f64) -> bool {
        self.0.is_some_and(|mean| ratio > mean * SLOW_FACTOR)
    }
}

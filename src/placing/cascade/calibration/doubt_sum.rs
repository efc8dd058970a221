//! The doubt in the answers to this VM's own requests.

use std::time::Duration;

use crate::clock::BootInstant;

/// Weight that earlier samples keep with each new one: the last hundred or so
/// count.
const DECAY: f64 = 0.99;

/// Time after the last sample from which a sum is empty again. A model whose
/// answers left too much doubt is no longer asked, so nothing else would show
/// that it has improved; it costs some tens of requests to find that it has
/// not.
pub(super) const FORGET_AFTER: Duration = Duration::from_secs(600);

/// The doubt (the probability that an answer is poor, by its confidence) in a
/// number of answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct DoubtSum {
    /// The sum of the doubts, by weight.
    pub(super) doubt: f64,
    /// The weight of all samples.
    pub(super) weight: f64,
    /// Number of samples, whatever their weight.
    pub(super) count: u32,
    last_at: BootInstant,
}

impl DoubtSum {
    /// Creates a sum without samples.
    pub(super) fn new(now: BootInstant) -> DoubtSum {
        DoubtSum { doubt: 0.0, weight: 0.0, count: 0, last_at: now }
    }

    /// Adds a sample.
    pub(super) fn add(&mut self, doubt: f64, now: BootInstant) {
        *self = self.at(now);
        self.doubt = self.doubt * DECAY + doubt;
        self.weight = self.weight * DECAY + 1.0;
        self.count = self.count.saturating_add(1);
        self.last_at = now;
    }

    /// Returns the sum as it counts at a time.
    pub(super) fn at(self, now: BootInstant) -> DoubtSum {
        let idle = now.saturating_duration_since(self.last_at);
        if idle >= FORGET_AFTER { DoubtSum::new(now) } else { self }
    }
}

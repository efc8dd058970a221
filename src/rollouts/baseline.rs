//! The old version's times to the first part of an answer, as this VM has seen
//! them on one route, and how the new version's times compare.

use std::{collections::VecDeque, time::Duration};

/// Factor by which a time may exceed the mean before the answer counts as bad.
const SLOW_FACTOR: f64 = 4.0;

/// Factor by which a new version may be slower than the old one in general.
const TOLERATED_FACTOR: f64 = 1.5;

/// Weight of a new time in the moving average.
const MEAN_WEIGHT: f64 = 0.1;

/// Number of times that are kept.
const MAX_RECENT: usize = 64;

/// Number of kept times from which others are compared with them.
const MIN_RECENT: usize = 4;

/// The times of the old version on one route.
#[derive(Debug, Default)]
pub(super) struct Baseline {
    /// The moving average; `None` before the first time.
    mean_s: Option<f64>,
    /// The latest times, the most recent one last.
    recent_s: VecDeque<f64>,
}

impl Baseline {
    /// Adds a time of the old version.
    pub(super) fn record(&mut self, first_part: Duration) {
        let first_part_s = first_part.as_secs_f64();
        let mean_s = self.mean_s.get_or_insert(first_part_s);
        *mean_s += (first_part_s - *mean_s) * MEAN_WEIGHT;
        if self.recent_s.len() == MAX_RECENT {
            self.recent_s.pop_front();
        }
        self.recent_s.push_back(first_part_s);
    }

    /// Whether a time is far above the mean.
    pub(super) fn is_slow(&self, first_part: Duration) -> bool {
        let limit_s = self.mean_s.map(|mean_s| mean_s * SLOW_FACTOR);
        limit_s.is_some_and(|limit_s| first_part.as_secs_f64() > limit_s)
    }

    /// Returns the share, in percent, of the old version's times that a time
    /// of the new one exceeds by [`TOLERATED_FACTOR`]; `None` if too few are
    /// known.
    pub(super) fn exceeded_percent(
        &self,
        first_part: Duration,
    ) -> Option<u32> {
        let first_part_s = first_part.as_secs_f64();
        let known = self.recent_s.len();
        let exceeds = |old_s: &&f64| first_part_s > **old_s * TOLERATED_FACTOR;
        let exceeded = self.recent_s.iter().filter(exceeds).count();
        (known >= MIN_RECENT).then(|| (exceeded * 100 / known) as u32)
    }
}

//! Counts of answers by their time, as a multiple of the expected one.
//!
//! VMs add up each other's histograms, so that a version is compared by all of
//! its answers even if each VM has seen few of them.

use serde::{Deserialize, Serialize};

/// Number of buckets.
const BUCKETS: usize = 44;

/// Number of buckets in which the time doubles.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Bucket of the times that are as expected.
const EXPECTED_BUCKET: f64 = 8.0;

/// Number of buckets by which a time clearly exceeds another one: a factor of
/// 1.4 to 2.
const CLEARLY_MORE: usize = 3;

/// Counts of answers by their time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "SparseCounts", into = "SparseCounts")]
pub struct TimeHistogram([u32; BUCKETS]);

/// The buckets that are not empty, with their counts.
type SparseCounts = Vec<(u8, u32)>;

impl TimeHistogram {
    /// Adds an answer whose time is this multiple of the expected one.
    pub(super) fn record(&mut self, ratio: f64) {
        let doublings = ratio.max(f64::MIN_POSITIVE).log2();
        let bucket = doublings * BUCKETS_PER_DOUBLING + EXPECTED_BUCKET;
        let bucket = bucket.clamp(0.0, (BUCKETS - 1) as f64);
        self.0[bucket as usize] += 1;
    }

    /// Returns the number of answers.
    pub(crate) fn count(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Returns the sum of all counts, however large they are.
    pub(super) fn total(&self) -> u64 {
        self.0.iter().copied().map(u64::from).sum()
    }

    /// Returns, summed over the answers of the new version, which this is, the
    /// number of the old one's answers whose time each clearly exceeds.
    pub(super) fn exceeded(&self, old: &TimeHistogram) -> u64 {
        let mut exceeded = 0;
        let mut pairs: u64 = 0;
        for (bucket, count) in self.0.iter().enumerate() {
            if let Some(before) = bucket.checked_sub(CLEARLY_MORE) {
                exceeded += old.0[before];
            }
            pairs += u64::from(*count) * u64::from(exceeded);
        }
        pairs
    }

    /// Returns the first bucket whose times are later than all but this share
    /// of the answers, by a factor of 1.4 to 1.7.
    pub(super) fn later_from(&self, share: f64) -> usize {
        self.first_beyond(share) + CLEARLY_MORE - 1
    }

    /// Returns the same for a factor of 1.7 to 2.
    pub(super) fn much_later_from(&self, share: f64) -> usize {
        self.first_beyond(share) + CLEARLY_MORE
    }

    /// Returns the first bucket from which there is at most this share of the
    /// answers.
    fn first_beyond(&self, share: f64) -> usize {
        let most = f64::from(self.count()) * share;
        let is_beyond =
            |bucket: &usize| f64::from(self.since(*bucket)) <= most;
        (0..BUCKETS).find(is_beyond).unwrap_or(BUCKETS)
    }

    /// Returns the number of answers in a bucket and the later ones.
    pub(super) fn since(&self, bucket: usize) -> u32 {
        self.0.iter().skip(bucket).sum()
    }

    /// Returns the maximum of each count.
    pub(super) fn max(self, other: TimeHistogram) -> TimeHistogram {
        let both = |bucket: usize| self.0[bucket].max(other.0[bucket]);
        TimeHistogram(std::array::from_fn(both))
    }

    /// Adds the counts of other answers.
    pub(super) fn add(&mut self, other: TimeHistogram) {
        for (count, more) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(more);
        }
    }
}

impl Default for TimeHistogram {
    fn default() -> TimeHistogram {
        TimeHistogram([0; BUCKETS])
    }
}

impl From<SparseCounts> for TimeHistogram {
    /// Counts in buckets that this release does not know are dropped.
    fn from(sparse: SparseCounts) -> TimeHistogram {
        let mut histogram = TimeHistogram::default();
        for (bucket, count) in sparse {
            if let Some(known) = histogram.0.get_mut(usize::from(bucket)) {
                *known = count;
            }
        }
        histogram
    }
}

impl From<TimeHistogram> for SparseCounts {
    fn from(histogram: TimeHistogram) -> SparseCounts {
        let counts = (0_u8..).zip(histogram.0);
        counts.filter(|(_, count)| *count > 0).collect()
    }
}

#[cfg(test)]
mod tests;

//! Detects a lasting delay by its smallest samples.
//!
//! A burst delays some of what arrives with it; only while everything is
//! delayed, more arrives than this VM can handle.

use std::time::Duration;

use crate::clock::BootInstant;

/// Longest delay that this VM may add to everything that it does: a quarter of
/// the latency target of the shortest requests, and more than the round trip
/// between two regions.
const MAX_DELAY: Duration = Duration::from_millis(30);

/// Time for which every sample must exceed it.
const MIN_LATE_TIME: Duration = Duration::from_millis(100);

/// Minimum number of samples within that time.
const MIN_LATE_SAMPLES: u32 = 5;

/// Time without a sample after which the last one says nothing any more.
const SAMPLE_TTL: Duration = Duration::from_millis(500);

/// A time in which every sample exceeded the longest delay.
#[derive(Clone, Copy, Debug)]
struct LatePeriod {
    since: BootInstant,
    last_at: BootInstant,
    samples: u32,
}

/// Monitors one kind of delay.
#[derive(Debug, Default)]
pub(crate) struct DelayMonitor {
    late: Option<LatePeriod>,
}

impl DelayMonitor {
    /// Records that something took `delay` longer than its own work.
    pub(crate) fn record(&mut self, delay: Duration, now: BootInstant) {
        if delay <= MAX_DELAY {
            self.late = None;
            return;
        }
        match &mut self.late {
            Some(late) if is_recent(late.last_at, now) => {
                late.last_at = now;
                late.samples += 1;
            }
            _ => {
                let samples = 1;
                let since = now;
                self.late = Some(LatePeriod { since, last_at: now, samples });
            }
        }
    }

    /// Returns since when everything has been late, however short that is.
    pub(crate) fn late_since(&self, now: BootInstant) -> Option<BootInstant> {
        self.late
            .filter(|late| is_recent(late.last_at, now))
            .map(|late| late.since)
    }

    /// Returns whether everything has been late for so long that it will not
    /// pass like a burst.
    pub(crate) fn is_late(&self, now: BootInstant) -> bool {
        self.late.is_some_and(|late| {
            is_recent(late.last_at, now)
                && now.saturating_duration_since(late.since) >= MIN_LATE_TIME
                && late.samples >= MIN_LATE_SAMPLES
        })
    }
}

fn is_recent(at: BootInstant, now: BootInstant) -> bool {
    now.saturating_duration_since(at) < SAMPLE_TTL
}

#[cfg(test)]
mod tests;

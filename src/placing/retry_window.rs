//! The retry budget of a service on one VM, over a sliding window.
//!
//! All VMs together may send a service no more further attempts than a share
//! of its requests and a few besides, within any window. Each VM keeps to the
//! share of its own requests and to its bucket of the rest, so that the bound
//! holds whether or not the VMs can hear each other.

use std::{sync::Mutex, time::Duration};

use crate::clock::BootInstant;

/// Parts that a window is counted in.
const BUCKETS: u64 = 100;

/// Bucket of the allowed share that is used; the rest covers a window that
/// begins within a bucket.
const SHARE_FACTOR: f64 = 0.98;

/// Bucket of the allowed extra attempts that is used, for the same reason.
const EXTRA_FACTOR: f64 = 0.9;

/// What a platform allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Further attempts as a share of the requests.
    pub share: f64,
    /// Further attempts besides, of all VMs together.
    pub extra: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and further attempts of one service.
#[derive(Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    since: BootInstant,
    buckets: Mutex<[Bucket; BUCKETS as usize + 1]>,
}

impl RetryWindow {
    /// Creates a window in which nothing has happened yet.
    pub fn new(bound: RetryBound, now: BootInstant) -> RetryWindow {
        RetryWindow {
            bound,
            since: now,
            buckets: Mutex::new([Bucket::default(); BUCKETS as usize + 1]),
        }
    }

    /// Counts a request.
    pub fn count_request(&self, now: BootInstant) {
        self.with_bucket(now, |bucket| bucket.requests += 1);
    }

    /// Counts a further attempt, whether or not one was left.
    pub fn count_retry(&self, now: BootInstant) {
        self.with_bucket(now, |bucket| bucket.retries += 1);
    }

    /// Whether a further attempt may be made by one of `vms` VMs.
    pub fn allows_retry(&self, vms: usize, now: BootInstant) -> bool {
        let number = self.bucket_number(now);
        let buckets = self.buckets.lock().expect("buckets lock");
        let recent = |bucket: &&Bucket| bucket.number + BUCKETS >= number;
        let retries: u32 =
            buckets.iter().filter(recent).map(|p| p.retries).sum();
        // The oldest bucket is only partly within the window, so its requests
        // are left out while its retries count.
        let within = |bucket: &&Bucket| bucket.number + BUCKETS > number;
        let requests: u32 =
            buckets.iter().filter(within).map(|p| p.requests).sum();
        let share = self.bound.share * SHARE_FACTOR * f64::from(requests);
        let extra = self.bound.extra * EXTRA_FACTOR / vms.max(1) as f64;
        f64::from(retries) + 1.0 <= share + extra
    }

    /// Takes a further attempt for one of `vms` VMs, if one is left.
    pub fn try_retry(&self, vms: usize, now: BootInstant) -> bool {
        let allows_retry = self.allows_retry(vms, now);
        if allows_retry {
            self.count_retry(now);
        }
        allows_retry
    }

    /// The number of the bucket that `now` falls in; the first is 1.
    fn bucket_number(&self, now: BootInstant) -> u64 {
        let passed = now.saturating_duration_since(self.since);
        let bucket = self.bound.window.as_secs_f64() / BUCKETS as f64;
        (passed.as_secs_f64() / bucket) as u64 + 1
    }

    fn with_bucket(&self, now: BootInstant, count: impl FnOnce(&mut Bucket)) {
        let number = self.bucket_number(now);
        let mut buckets = self.buckets.lock().expect("buckets lock");
        let at = (number % (BUCKETS + 1)) as usize;
        if buckets[at].number != number {
            buckets[at] = Bucket { number, ..Bucket::default() };
        }
        count(&mut buckets[at]);
    }
}

#[cfg(test)]
mod tests;

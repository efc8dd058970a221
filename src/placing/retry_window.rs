//! The retry budget of a service on one VM, over a sliding window.
//!
//! Within any window, all VMs together may send a service no more retries than
//! a share of its requests plus a fixed number. Each VM keeps to the share of
//! its own requests and to its part of the fixed number, so the bound holds
//! whether or not the VMs can reach each other. A VM uses its part of the fixed
//! number only once it has run for a whole window, since the retries of its
//! previous incarnation count until then.

use std::{sync::Mutex, time::Duration};

use crate::clock::BootInstant;

/// Buckets into which a window is divided.
const BUCKETS: u64 = 100;

/// Fraction of the allowed share that is used; the rest covers windows that
/// begin within a bucket.
const SHARE_FACTOR: f64 = 0.98;

/// Fraction of the fixed number that is used, for the same reason.
const EXTRA_FACTOR: f64 = 0.9;

/// Minimum time between two reports that the budget is spent.
const REFUSAL_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The retries that a platform allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries as a share of the requests.
    pub share: f64,
    /// Additional retries, of all VMs together.
    pub extra: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

/// A VM's retries and requests in the window that ends now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RetryUsage {
    /// Its retries.
    pub(crate) retries: u32,
    /// Its requests.
    pub(crate) requests: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts the requests and retries of one service.
#[derive(Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    since: BootInstant,
    buckets: Mutex<[Bucket; BUCKETS as usize + 1]>,
    refusal_reported_at: Mutex<Option<BootInstant>>,
}

impl RetryWindow {
    /// Creates an empty window of a VM that started at `since`.
    pub fn new(bound: RetryBound, since: BootInstant) -> RetryWindow {
        RetryWindow {
            bound,
            since,
            buckets: Mutex::new([Bucket::default(); BUCKETS as usize + 1]),
            refusal_reported_at: Mutex::new(None),
        }
    }

    /// Counts a request.
    pub fn count_request(&self, now: BootInstant) {
        self.with_bucket(now, |bucket| bucket.requests += 1);
    }

    /// Counts a retry, whether or not the budget allowed it.
    pub fn count_retry(&self, now: BootInstant) {
        self.with_bucket(now, |bucket| bucket.retries += 1);
    }

    /// Whether the budget allows a retry to one of `vms` VMs.
    pub fn allows_retry(&self, vms: usize, now: BootInstant) -> bool {
        let RetryUsage { retries, requests } = self.usage(now);
        let share = self.bound.share * SHARE_FACTOR * f64::from(requests);
        let extra = match self.covers_a_window(now) {
            true => self.bound.extra * EXTRA_FACTOR / vms.max(1) as f64,
            false => 0.0,
        };
        f64::from(retries) + 1.0 <= share + extra
    }

    /// Counts what lies in the window that ends at `now`.
    fn usage(&self, now: BootInstant) -> RetryUsage {
        let number = self.bucket_number(now);
        let buckets = self.buckets.lock().expect("buckets lock");
        let recent = |bucket: &&Bucket| bucket.number + BUCKETS >= number;
        let retries =
            buckets.iter().filter(recent).map(|bucket| bucket.retries).sum();
        // The oldest bucket is only partly within the window, so its requests
        // are left out while its retries count.
        let within = |bucket: &&Bucket| bucket.number + BUCKETS > number;
        let requests =
            buckets.iter().filter(within).map(|bucket| bucket.requests).sum();
        RetryUsage { retries, requests }
    }

    /// Returns what the window holds when a retry has been refused, or `None`
    /// if that was reported within the last second.
    pub(crate) fn report_refusal(
        &self,
        now: BootInstant,
    ) -> Option<RetryUsage> {
        let mut reported_at =
            self.refusal_reported_at.lock().expect("refusal lock");
        let is_recent = reported_at.is_some_and(|at| {
            now.saturating_duration_since(at) < REFUSAL_REPORT_INTERVAL
        });
        if is_recent {
            return None;
        }
        *reported_at = Some(now);
        Some(self.usage(now))
    }

    /// Whether every retry of this VM within the window was counted here.
    fn covers_a_window(&self, now: BootInstant) -> bool {
        now.saturating_duration_since(self.since) >= self.bound.window
    }

    /// Counts a retry of one of `vms` VMs if the budget allows it; returns
    /// whether it does.
    pub fn try_retry(&self, vms: usize, now: BootInstant) -> bool {
        let allows_retry = self.allows_retry(vms, now);
        if allows_retry {
            self.count_retry(now);
        }
        allows_retry
    }

    /// The number of the bucket that contains `now`; the first is 1.
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
mod fleet_tests;
#[cfg(test)]
mod tests;

//! The retry budget of a service on one VM, over sliding windows.
//!
//! Within any window, all VMs together may send a service no more retries than
//! a share of its requests plus a fixed number. No VM knows the others'
//! counts, so each keeps to a part of the bound, and the parts have to add up:
//! whatever moves requests from one VM to another, and however often VMs
//! restart.
//!
//! A VM therefore looks at *every* window that contains the retry, not only at
//! the one that ends with it. For each, it goes by its own requests within
//! that window and within the window before, in fixed proportions. The
//! platform goes by the larger of the two sums over all VMs, which is at least
//! any mean of them. If each VM went by the larger of its own two numbers
//! instead, demand that moves from one VM to another would be counted twice.
//!
//! Of its part of the fixed number, a VM uses a fifth until it has run for a
//! whole window, since the retries of its previous incarnations count until
//! then. With what it uses later, that adds up to the whole part for a VM that
//! starts twice within a window.

use std::{sync::Mutex, time::Duration};

use crate::clock::BootInstant;

/// Buckets into which a window is divided.
const BUCKETS: u64 = 100;

/// Buckets that are kept: those of a window that contains the current one, and
/// of the window before.
const KEPT_BUCKETS: usize = 2 * BUCKETS as usize + 1;

/// Proportion of the requests within a window that count for its retries; the
/// remainder is that of the window before.
///
/// The larger it is, the more retries a VM may send that has just started. The
/// smaller it is, the more requests may be retried at the same moment: while
/// demand is steady, those of a second and a half of a window of ten.
const CURRENT_WEIGHT: f64 = 0.85;

/// Fraction of the allowed share that is used; the rest covers the time
/// between the decision for a retry and its arrival.
const SHARE_FACTOR: f64 = 0.98;

/// Fraction of its part of the fixed number that a VM uses once it has run for
/// a whole window.
const EXTRA_FACTOR: f64 = 0.6;

/// The same fraction until then. The first requests of a VM are too few for
/// their share to allow a single retry.
const STARTUP_EXTRA_FACTOR: f64 = 0.2;

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
    buckets: Mutex<[Bucket; KEPT_BUCKETS]>,
    refusal_reported_at: Mutex<Option<BootInstant>>,
}

impl RetryWindow {
    /// Creates an empty window of a VM that started at `since`.
    pub fn new(bound: RetryBound, since: BootInstant) -> RetryWindow {
        RetryWindow {
            bound,
            since,
            buckets: Mutex::new([Bucket::default(); KEPT_BUCKETS]),
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
        let factor = match self.covers_a_window(now) {
            true => EXTRA_FACTOR,
            false => STARTUP_EXTRA_FACTOR,
        };
        let extra = self.bound.extra * factor / vms.max(1) as f64;
        let share = self.bound.share * SHARE_FACTOR;
        let current = self.bucket_number(now);
        let buckets = self.buckets.lock().expect("buckets lock");
        let requests_in = |number| bucket(&buckets, number).requests;
        // A window begins somewhere within its first bucket. All retries of
        // that bucket count, and its requests like those of the window before.
        let mut retries = 1;
        let mut requests = 0;
        let before = current - BUCKETS + 1..=current;
        let mut requests_before: u32 = before.map(requests_in).sum();
        for first in (current - BUCKETS..=current).rev() {
            retries += bucket(&buckets, first).retries;
            let counted = CURRENT_WEIGHT * f64::from(requests)
                + (1.0 - CURRENT_WEIGHT) * f64::from(requests_before);
            if f64::from(retries) > share * counted + extra {
                return false;
            }
            requests += requests_in(first);
            requests_before += requests_in(first - BUCKETS);
            requests_before -= requests_in(first);
        }
        true
    }

    /// Counts what lies in the window that ends at `now`.
    fn usage(&self, now: BootInstant) -> RetryUsage {
        let current = self.bucket_number(now);
        let buckets = self.buckets.lock().expect("buckets lock");
        let mut usage = RetryUsage::default();
        for number in current - BUCKETS..=current {
            let Bucket { requests, retries, .. } = bucket(&buckets, number);
            usage.requests += requests;
            usage.retries += retries;
        }
        usage
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

    /// The number of the bucket that contains `now`. The first is so large
    /// that the buckets of the windows before it have numbers as well.
    fn bucket_number(&self, now: BootInstant) -> u64 {
        let passed = now.saturating_duration_since(self.since);
        let bucket = self.bound.window.as_secs_f64() / BUCKETS as f64;
        (passed.as_secs_f64() / bucket) as u64 + KEPT_BUCKETS as u64 + 1
    }

    fn with_bucket(&self, now: BootInstant, count: impl FnOnce(&mut Bucket)) {
        let number = self.bucket_number(now);
        let mut buckets = self.buckets.lock().expect("buckets lock");
        let at = index(number);
        if buckets[at].number != number {
            buckets[at] = Bucket { number, ..Bucket::default() };
        }
        count(&mut buckets[at]);
    }
}

/// Returns where the bucket with this number is kept.
fn index(number: u64) -> usize {
    (number % KEPT_BUCKETS as u64) as usize
}

/// Returns the bucket with this number; empty if nothing was counted in it.
fn bucket(buckets: &[Bucket; KEPT_BUCKETS], number: u64) -> Bucket {
    let bucket = buckets[index(number)];
    match bucket.number == number {
        true => bucket,
        false => Bucket::default(),
    }
}

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod tests;

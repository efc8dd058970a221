//! The retry budget of a service on one VM, over a sliding window.
//!
//! All VMs together may send a service no more further attempts than a share
//! of its requests and a few besides, within any window. Each VM keeps to the
//! share of its own requests and to its part of the rest, so that the bound
//! holds whether or not the VMs can hear each other.

use std::{sync::Mutex, time::Duration};

use crate::clock::BootInstant;

/// Parts that a window is counted in.
const PARTS: u64 = 100;

/// Part of the allowed share that is used; the rest covers a window that
/// begins within a part.
const USED_SHARE: f64 = 0.98;

/// Part of the allowed extra attempts that is used, for the same reason.
const USED_EXTRA: f64 = 0.9;

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
struct Part {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and further attempts of one service.
#[derive(Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    since: BootInstant,
    parts: Mutex<[Part; PARTS as usize + 1]>,
}

impl RetryWindow {
    /// Creates a window in which nothing has happened yet.
    pub fn new(bound: RetryBound, now: BootInstant) -> RetryWindow {
        RetryWindow {
            bound,
            since: now,
            parts: Mutex::new([Part::default(); PARTS as usize + 1]),
        }
    }

    /// Counts a request.
    pub fn count_request(&self, now: BootInstant) {
        self.with_part(now, |part| part.requests += 1);
    }

    /// Counts a further attempt, whether or not one was left.
    pub fn count_retry(&self, now: BootInstant) {
        self.with_part(now, |part| part.retries += 1);
    }

    /// Whether a further attempt may be made by one of `vms` VMs.
    pub fn allows_retry(&self, vms: usize, now: BootInstant) -> bool {
        let number = self.number(now);
        let parts = self.parts.lock().expect("parts lock");
        let recent = |part: &&Part| part.number + PARTS >= number;
        let retries: u32 =
            parts.iter().filter(recent).map(|p| p.retries).sum();
        // The oldest part is only partly within the window, so its requests
        // are left out while its retries count.
        let within = |part: &&Part| part.number + PARTS > number;
        let requests: u32 =
            parts.iter().filter(within).map(|p| p.requests).sum();
        let share = self.bound.share * USED_SHARE * f64::from(requests);
        let extra = self.bound.extra * USED_EXTRA / vms.max(1) as f64;
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

    /// The number of the part that `now` falls in; the first is 1.
    fn number(&self, now: BootInstant) -> u64 {
        let passed = now.saturating_duration_since(self.since);
        let part = self.bound.window.as_secs_f64() / PARTS as f64;
        (passed.as_secs_f64() / part) as u64 + 1
    }

    fn with_part(&self, now: BootInstant, count: impl FnOnce(&mut Part)) {
        let number = self.number(now);
        let mut parts = self.parts.lock().expect("parts lock");
        let at = (number % (PARTS + 1)) as usize;
        if parts[at].number != number {
            parts[at] = Part { number, ..Part::default() };
        }
        count(&mut parts[at]);
    }
}

#[cfg(test)]
mod tests;

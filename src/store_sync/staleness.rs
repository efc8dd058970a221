//! How stale a VM's copy of the store may become.
//!
//! Operators state within what time VMs must act on a change: on a new
//! configuration, on an upstream that leaves, on a revoked key. A VM that has
//! not learned of a change goes by a copy of the store that was proven current
//! before it. Every VM therefore has its copy proven again in time, by its own
//! call to the store if no other VM does it.

use std::time::Duration;

/// Age at which the first VM of a data hall renews the proof, as a fraction of
/// the bound.
const FIRST_RENEWAL: f64 = 0.35;

/// The same for the VM that follows it, which renews the proof if the first
/// one is lost.
const SECOND_RENEWAL: f64 = 0.5;

/// What each further VM waits in addition: time for a call to the store, and
/// for the notice of the one before it.
const RENEWAL_STEP: f64 = 0.05;

/// The rank from which all VMs renew the proof at the same age. The rest of
/// the bound is left for a slow call to the store, and for requests that are
/// on their way when it returns.
const LAST_RANK: usize = 4;

/// Largest random addition for the first VM of a data hall, so that the first
/// ones of several halls rarely ask at the same time.
const FIRST_SPREAD: f64 = 0.1;

/// The same for the other VMs.
const SPREAD: f64 = 0.05;

/// Age at which a VM asks the store although a renewal may be under way: the
/// call may hang.
const OVERDUE: f64 = 0.75;

/// Age of a change up to which a VM may go on as before it, so that what it
/// sends then arrives in time.
const LAST_USE: f64 = 0.9;

/// Time that the push of a change may take before a VM that is behind others
/// asks the store.
const PUSH_TIME: f64 = 0.4;

/// The time within which a VM must act on any change in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StalenessBound(Duration);

impl StalenessBound {
    /// Returns the strictest of the bounds that the operators state.
    pub(crate) fn strictest(limits: [Duration; 3]) -> StalenessBound {
        let [first, others @ ..] = limits;
        StalenessBound(others.into_iter().fold(first, Duration::min))
    }

    /// Returns the age at which a VM renews the proof of its copy, and the
    /// largest random addition.
    ///
    /// `rank` is the number of VMs of its data hall that do so before it. A VM
    /// that has renewed the proof notifies the others, so one call serves all.
    pub(crate) fn renewal(self, rank: usize) -> (Duration, Duration) {
        let (age, spread) = match rank {
            0 => (FIRST_RENEWAL, FIRST_SPREAD),
            rank => {
                let steps = rank.min(LAST_RANK) - 1;
                (SECOND_RENEWAL + RENEWAL_STEP * steps as f64, SPREAD)
            }
        };
        (self.0.mul_f64(age), self.0.mul_f64(spread))
    }

    /// Returns whether a VM tells others what it finds when its copy is that
    /// old: the VMs that usually tell them seem to be lost. Of the VMs that
    /// renew the proof at the same age, the first one does.
    pub(crate) fn tells_others(self, rank: usize, age: Duration) -> bool {
        let (second_age, _) = self.renewal(1);
        rank <= LAST_RANK && age >= second_age
    }

    /// Returns the age of the copy at which its renewal is overdue.
    pub(crate) fn overdue_age(self) -> Duration {
        self.0.mul_f64(OVERDUE)
    }

    /// Returns for how long a VM may go on as before a change that is at most
    /// `age` old; `None` if that exceeds the bound.
    pub(crate) fn use_left(self, age: Duration) -> Option<Duration> {
        let left = self.0.mul_f64(LAST_USE).saturating_sub(age);
        (age < self.0).then_some(left)
    }

    /// Returns the time that the push of a change may take to arrive.
    pub(crate) fn push_time(self) -> Duration {
        self.0.mul_f64(PUSH_TIME)
    }
}

#[cfg(test)]
mod tests;

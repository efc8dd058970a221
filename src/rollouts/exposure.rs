//! How many requests a new version may get before the time allowed for its
//! rollout is over.
//!
//! The operator bounds them by a share of all requests of the service, plus a
//! fixed number. The bound holds for any version, also for one that no
//! comparison can tell from a good one: only the last part of the allowed time
//! is left for moving all requests.

use crate::unit::Share;

/// Part of the bound that is used: the others are for requests in flight and
/// for VMs that count late.
const USED_PART: f64 = 0.95;

/// Part of the fixed number that is used.
const USED_TOLERANCE_PART: f64 = 0.7;

/// Part of it that remains for moving all requests.
const MOVE_TOLERANCE_PART: f64 = 0.3;

/// Largest part of the share that a version on trial gets; the rest is for
/// moving all requests.
const MAX_TRIAL_PART: f64 = 0.5;

/// Smallest part of the share that it gets.
const MIN_TRIAL_PART: f64 = 0.15;

/// Requests that suffice for a trial.
const ENOUGH_REQUESTS: f64 = 200.0;

/// Requests that a trial needs; the fixed number is used for them.
const NEEDED_REQUESTS: f64 = 32.0;

/// Largest share that a version on trial gets.
const MAX_TRIAL_SHARE: f64 = 0.25;

/// Share of all requests that arrive after the last moment for completing a
/// rollout, with the time until all VMs have learned of it.
const RESERVED_SHARE: f64 = 0.045;

/// Smallest part of the allowed time after which all sessions may move to the
/// new version.
const MIN_MOVE_PART: f64 = 0.55;

/// Factor on the current rate by which it may still rise.
const RATE_RESERVE: f64 = 1.5;

/// Requests that a VM may send beyond its part of the bound.
const VM_ALLOWANCE: f64 = 1.0;

/// The bound for the requests that a new version gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of the service's requests.
    pub share: f64,
    /// Number of requests in addition.
    pub tolerance: f64,
}

/// Requests of a service since a rollout began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct SentRequests {
    /// Those at other versions.
    pub(super) old: f64,
    /// Those at the new version.
    pub(super) new: f64,
}

impl ExposureLimit {
    /// Returns the share of the requests without a session for a version on
    /// trial, given how many requests are expected in all, if that is known.
    pub(super) fn trial_share(self, expected: Option<f64>) -> Share {
        let Some(expected) = expected else { return self.session_share() };
        let share = self.trial_share_of(expected);
        Share::try_from(share).unwrap_or(Share::ZERO)
    }

    /// Returns the share of the sessions for a version on trial. It is the
    /// same at all VMs and times, so that each of them assigns a session to
    /// the same version.
    pub(super) fn session_share(self) -> Share {
        let share = self.share * MAX_TRIAL_PART;
        Share::try_from(share).unwrap_or(Share::ZERO)
    }

    fn trial_share_of(self, expected: f64) -> f64 {
        let most = self.share * MAX_TRIAL_PART;
        let expected = expected.max(1.0);
        let usual = (ENOUGH_REQUESTS / expected)
            .clamp(self.share * MIN_TRIAL_PART, most);
        let extra = self.tolerance * USED_TOLERANCE_PART / expected;
        let needed = NEEDED_REQUESTS / expected;
        needed.min(usual + extra).min(MAX_TRIAL_SHARE).max(usual)
    }

    /// Whether a VM, one of `vms`, may send another request to the new
    /// version before all requests move there, given those that it has sent.
    ///
    /// The share of the requests that arrive at the VM does not bound it:
    /// while the old version's upstreams cannot be reached, few of them are
    /// sent.
    pub(super) fn may_send(self, sent: SentRequests, vms: usize) -> bool {
        let share = (self.share * USED_PART - RESERVED_SHARE)
            .max(self.share * MAX_TRIAL_PART);
        self.is_within(share, sent, vms)
    }

    /// Whether a request of a session on trial may be sent to the new version,
    /// given those that all VMs have sent.
    ///
    /// Sessions change their version when it may not, so what is reserved for
    /// the end may be used as well.
    pub(super) fn may_send_session(self, sent: SentRequests) -> bool {
        self.is_within(self.share * USED_PART, sent, 1)
    }

    /// Returns the part of the allowed time after which all sessions move to
    /// the new version, so that this takes what the trial leaves of the share.
    pub(super) fn move_part(self) -> f64 {
        let left = self.share * USED_PART - self.session_share().value();
        (1.0 - left).clamp(MIN_MOVE_PART, 1.0 - RESERVED_SHARE)
    }

    /// Whether another request at the new version keeps to this share of the
    /// requests of a VM, and its part of the fixed number.
    fn is_within(self, share: f64, sent: SentRequests, vms: usize) -> bool {
        let own_tolerance =
            self.tolerance * USED_TOLERANCE_PART / vms.max(1) as f64;
        let most = share * (sent.old + sent.new + 1.0);
        sent.new + 1.0 <= most + own_tolerance + VM_ALLOWANCE
    }

    /// Whether all requests until the end of the allowed time may go to the
    /// new version, given those of all VMs in the elapsed part of it.
    pub(super) fn may_send_all(
        self,
        sent: SentRequests,
        elapsed_part: f64,
    ) -> bool {
        let elapsed = elapsed_part.clamp(0.001, 1.0);
        let expected = (sent.old + sent.new) / elapsed;
        let left = expected * (1.0 - elapsed) * RATE_RESERVE;
        let most = self.share * USED_PART * expected
            + self.tolerance * MOVE_TOLERANCE_PART;
        sent.new + left <= most
    }
}

#[cfg(test)]
mod tests;

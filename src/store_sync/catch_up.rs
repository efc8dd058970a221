//! Tracks whether a VM that does not watch the store knows what the watchers
//! know.
//!
//! A VM that has just read everything waits for a watcher's report before it
//! polls the store again. Otherwise hundreds of VMs that start together would
//! each poll it three times until the records of all have settled.

use std::time::Duration;

use crate::clock::BootInstant;

/// Time for which a watcher's agreement counts, equal to the age of the last
/// heartbeat from which a VM counts as gone.
pub(crate) const AGREEMENT_LIFETIME: Duration = Duration::from_millis(2600);

/// Time after a poll of the store in which a watcher may confirm that it knows
/// no more: three heartbeats at the usual period. It is part of the time in
/// which a configuration must be in force, so it stays below the two seconds
/// that the strictest operators allow.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Time that a watcher's push may take to arrive before a VM that is behind
/// others polls the store itself.
pub(crate) const PUSH_TIMEOUT: Duration = Duration::from_millis(800);

/// Evidence that this VM is up to date without watching the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    /// When a watcher last knew exactly what this VM knows.
    agreed_at: Option<BootInstant>,
    /// When this VM last polled the store for all changes.
    polled_at: Option<BootInstant>,
    /// Since when another VM is known to know more.
    behind_since: Option<BootInstant>,
}

impl Freshness {
    /// Records that a watcher knows what this VM knows.
    pub(crate) fn record_agreement(&mut self, now: BootInstant) {
        self.agreed_at = Some(now);
        self.behind_since = None;
    }

    /// Records that the store was polled for all changes at that time.
    pub(crate) fn record_poll(&mut self, polled_at: BootInstant) {
        self.polled_at = Some(polled_at);
        self.behind_since = None;
    }

    /// Records that another VM knows more. The push of a watcher may still be
    /// on its way, so that alone does not make this VM poll.
    pub(crate) fn record_behind(&mut self, now: BootInstant) {
        self.behind_since.get_or_insert(now);
    }

    /// Returns whether this VM is up to date, so that it need not poll the
    /// store.
    pub(crate) fn is_current(&self, now: BootInstant) -> bool {
        let within = |at: Option<BootInstant>, limit: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        let is_behind = self.behind_since.is_some()
            && !within(self.behind_since, PUSH_TIMEOUT);
        let is_confirmed = within(self.agreed_at, AGREEMENT_LIFETIME)
            || within(self.polled_at, SETTLE_TIME);
        is_confirmed && !is_behind
    }
}

#[cfg(test)]
mod tests;

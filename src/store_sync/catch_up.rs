//! Tracks whether a VM is known to lack changes that others have.

use std::time::Duration;

use crate::clock::BootInstant;

/// What this VM knows of changes that it lacks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CatchUp {
    /// Since when another VM is known to know more.
    behind_since: Option<BootInstant>,
    /// Whether this VM is to ask the store, whatever others report.
    is_requested: bool,
}

impl CatchUp {
    /// Records that this VM knows what a watcher knows.
    pub(crate) fn record_agreement(&mut self) {
        self.behind_since = None;
    }

    /// Records that this VM has asked for all changes.
    pub(crate) fn record_poll(&mut self) {
        *self = CatchUp::default();
    }

    /// Records that another VM knows more. The push of a watcher may still be
    /// on its way, so that alone does not make this VM poll.
    pub(crate) fn record_behind(&mut self, now: BootInstant) {
        self.behind_since.get_or_insert(now);
    }

    /// Makes this VM poll the store, whatever other VMs report.
    pub(crate) fn request_poll(&mut self) {
        self.is_requested = true;
    }

    /// Returns whether this VM has to poll the store, if a push may take
    /// `push_time` to arrive.
    pub(crate) fn is_due(
        &self,
        push_time: Duration,
        now: BootInstant,
    ) -> bool {
        let is_overdue = self.behind_since.is_some_and(|since| {
            now.saturating_duration_since(since) >= push_time
        });
        self.is_requested || is_overdue
    }
}

#[cfg(test)]
mod tests;

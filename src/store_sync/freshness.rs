//! Whether a VM knows what the VMs that watch the store know.
//!
//! Hundreds of VMs that start together each asked the store three times until
//! the records of all had settled, so a VM that has just asked for everything
//! waits for the word of a watcher before it asks again.

use std::time::Duration;

use crate::clock::BootInstant;

/// Age of a watcher's word up to which it counts: that of the last beat from
/// which a VM counts as gone.
pub(crate) const AGREED_TIME: Duration = Duration::from_millis(2600);

/// Time after this VM has asked the store for all changes in which a watcher
/// gets to say that it knows no more: three beats of the usual period. It is
/// part of the time in which a configuration must be in force, so it stays
/// below the two seconds that the strictest operators allow.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Time that what a watcher tells may be on its way before a VM that others
/// are ahead of asks the store itself.
pub(crate) const NEWS_TIME: Duration = Duration::from_millis(800);

/// What a VM has to go by instead of watching the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    /// When a watcher last knew what this VM knows.
    agreed_at: Option<BootInstant>,
    /// When this VM last asked the store for everything that had changed.
    looked_at: Option<BootInstant>,
    /// Since when another VM has been known to know more.
    behind_since: Option<BootInstant>,
}

impl Freshness {
    /// Notes that a watcher knows what this VM knows.
    pub(crate) fn note_agreed(&mut self, now: BootInstant) {
        self.agreed_at = Some(now);
        self.behind_since = None;
    }

    /// Notes that the store was asked for all changes.
    pub(crate) fn record_poll(&mut self, asked_at: BootInstant) {
        self.looked_at = Some(asked_at);
        self.behind_since = None;
    }

    /// Notes that another VM knows more. What a watcher tells may be on its
    /// way, so that alone says nothing yet.
    pub(crate) fn note_behind(&mut self, now: BootInstant) {
        self.behind_since.get_or_insert(now);
    }

    /// Whether the store need not be asked for what has changed.
    pub(crate) fn is_current(&self, now: BootInstant) -> bool {
        let within = |at: Option<BootInstant>, limit: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        let is_behind = self.behind_since.is_some()
            && !within(self.behind_since, NEWS_TIME);
        let has_word = within(self.agreed_at, AGREED_TIME)
            || within(self.looked_at, SETTLE_TIME);
        has_word && !is_behind
    }
}

#[cfg(test)]
mod tests;

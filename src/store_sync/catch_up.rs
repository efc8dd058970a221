//! Tracks whether a VM is known to lack changes that others have.

use std::time::Duration;

use crate::{clock::BootInstant, store_sync::store_position::StorePosition};

/// What this VM knows of changes that it lacks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CatchUp {
    /// Since when another VM is known to have a copy up to a position that
    /// this VM's copy had not reached.
    behind: Option<(BootInstant, StorePosition)>,
    /// Whether this VM is to ask the store, whatever others report.
    is_requested: bool,
}

impl CatchUp {
    /// Records that this VM has asked for all changes.
    pub(crate) fn record_poll(&mut self) {
        *self = CatchUp::default();
    }

    /// Records that another VM's copy is complete up to a position, while this
    /// one's is up to `own`. A push may still be on its way, so that alone does
    /// not make this VM poll.
    pub(crate) fn record_behind(
        &mut self,
        position: StorePosition,
        own: StorePosition,
        now: BootInstant,
    ) {
        if !self.is_behind(own) {
            self.behind = Some((now, position));
        }
    }

    /// Makes this VM poll the store, whatever other VMs report.
    pub(crate) fn request_poll(&mut self) {
        self.is_requested = true;
    }

    /// Returns whether this VM, whose copy is complete up to `own`, has to poll
    /// the store, if a push may take `push_time` to arrive.
    pub(crate) fn is_due(
        &self,
        own: StorePosition,
        push_time: Duration,
        now: BootInstant,
    ) -> bool {
        let is_late = self.behind.is_some_and(|(since, _)| {
            now.saturating_duration_since(since) >= push_time
        });
        self.is_requested || (is_late && self.is_behind(own))
    }

    fn is_behind(&self, own: StorePosition) -> bool {
        self.behind.is_some_and(|(_, position)| own < position)
    }
}

#[cfg(test)]
mod tests;

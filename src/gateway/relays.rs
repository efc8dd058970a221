//! The connections to upstreams that are open for other VMs.

use std::sync::Mutex;

use crate::gateway::{InFlightCount, RequestGuard};

/// Counts the connections to upstreams for other VMs, and admits no more once
/// a graceful shutdown waits for them alone: new ones would hold it up, and
/// might be cut at its end.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    open: InFlightCount,
    is_closed: Mutex<bool>,
}

impl Relays {
    /// Counts one more connection until the guard is dropped; `None` if no
    /// more are admitted.
    pub(crate) fn enter(&self) -> Option<RequestGuard> {
        let is_closed = self.is_closed.lock().expect("relays lock");
        (!*is_closed).then(|| self.open.enter())
    }

    /// Admits no more connections, and returns how many are open.
    pub(crate) fn close(&self) -> usize {
        *self.is_closed.lock().expect("relays lock") = true;
        self.open.count()
    }
}

#[cfg(test)]
mod tests;

//! How many connections of callers a VM may hold at the same time.

use crate::unit::Megabytes;

/// Memory of a VM that is not for connections: its code, its copy of the store
/// and what other VMs report.
pub(crate) const RESERVED_BYTES: u64 = 24 << 20;

/// Memory for each connection of a caller, with its request and its connection
/// to an upstream.
pub(crate) const CONNECTION_BYTES: u64 = 64 << 10;

/// Descriptors of a VM that are not for connections of callers and to
/// upstreams: files, listeners, other VMs.
const RESERVED_FILES: u32 = 400;

/// Descriptors for each connection of a caller: its own and that to an
/// upstream.
const FILES_PER_CONNECTION: u32 = 2;

/// Part of the capacity from which connections are closed after a response, so
/// that those that rest make room for new ones.
const CLOSE_FRACTION: f64 = 0.75;

/// Part of the capacity from which connections are closed that stand still.
const NEARLY_FULL_FRACTION: f64 = 0.94;

/// The connections of callers that a VM may hold; unlimited if nothing is
/// known of its memory and its descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionCapacity(Option<u32>);

impl ConnectionCapacity {
    /// Returns the capacity of a VM; a limit of 0 is unknown.
    pub(crate) fn new(memory: Megabytes, max_open_files: u32) -> Self {
        let by_memory = (memory.0 > 0).then(|| {
            let memory_bytes = u64::from(memory.0) << 20;
            let left = memory_bytes.saturating_sub(RESERVED_BYTES);
            u32::try_from(left / CONNECTION_BYTES).unwrap_or(u32::MAX)
        });
        let by_files = (max_open_files > 0).then(|| {
            max_open_files.saturating_sub(RESERVED_FILES)
                / FILES_PER_CONNECTION
        });
        let smallest = [by_memory, by_files].into_iter().flatten().min();
        ConnectionCapacity(smallest.map(|capacity| capacity.max(1)))
    }

    /// Returns whether there is room for one more.
    pub(crate) fn has_room(self, open: usize) -> bool {
        self.0.is_none_or(|capacity| open < capacity as usize)
    }

    /// Returns whether little room is left, so that connections that stand
    /// still are to be closed.
    pub(crate) fn is_nearly_full(self, open: usize) -> bool {
        self.0.is_some_and(|capacity| {
            open as f64 >= f64::from(capacity) * NEARLY_FULL_FRACTION
        })
    }

    /// Returns whether connections are to be closed after a response.
    pub(crate) fn is_scarce(self, open: usize) -> bool {
        self.0.is_some_and(|capacity| {
            open as f64 >= f64::from(capacity) * CLOSE_FRACTION
        })
    }
}

#[cfg(test)]
mod tests;

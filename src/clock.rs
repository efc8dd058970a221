//! Time as an interface, so that rules about time can be tested without it.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A source of time.
///
/// Deadlines, ages and leases use [`Clock::now`], which never goes back.
/// Only what people read uses [`Clock::system_time`].
pub trait Clock: Send + Sync {
    /// The monotonic time of this process.
    fn now(&self) -> Instant;

    /// The time of day.
    fn system_time(&self) -> SystemTime;

    /// The time of day in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64 {
        let since = self.system_time().duration_since(UNIX_EPOCH);
        since.unwrap_or(Duration::ZERO).as_millis() as u64
    }
}

/// A clock that is shared between tasks.
pub type SharedClock = Arc<dyn Clock>;

/// The clock of the operating system.
#[derive(Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

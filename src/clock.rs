//! Time behind a trait, so that tests can control it.
//!
//! A VM may be suspended for seconds. The monotonic clock of the operating
//! system stops meanwhile, so that everything learned before would seem as
//! recent as it was: revoked keys would still be accepted, and leases that
//! others hold by now would seem valid. [`BootInstant`] includes the time of
//! suspension. It is a separate type so that no other clock is used by
//! mistake.

use std::{
    ops::{Add, AddAssign, Sub},
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

const NANOS_IN_SECOND: i64 = 1_000_000_000;

/// An instant of a monotonic clock that also counts the time for which the
/// machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant {
    /// Time since the machine was booted; negative for an earlier instant,
    /// which another VM may report.
    since_boot_ns: i64,
}

impl BootInstant {
    /// Returns the time from `earlier` to this instant, zero if `earlier` is
    /// later.
    pub fn saturating_duration_since(self, earlier: BootInstant) -> Duration {
        let passed_ns =
            self.since_boot_ns.saturating_sub(earlier.since_boot_ns);
        Duration::from_nanos(passed_ns.max(0) as u64)
    }

    /// Returns the instant `time` before this one; `None` if that cannot be
    /// represented, which takes three centuries.
    pub fn checked_sub(self, time: Duration) -> Option<BootInstant> {
        let since_boot_ns = self.since_boot_ns.checked_sub(nanos(time))?;
        Some(BootInstant { since_boot_ns })
    }
}

/// Converts a duration to nanoseconds, saturating at three centuries.
fn nanos(time: Duration) -> i64 {
    i64::try_from(time.as_nanos()).unwrap_or(i64::MAX)
}

#[cfg(test)]
impl BootInstant {
    /// Returns the current instant of the system clock, for tests.
    pub(crate) fn now() -> BootInstant {
        SystemClock.now()
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, time: Duration) -> BootInstant {
        let since_boot_ns = self.since_boot_ns.saturating_add(nanos(time));
        BootInstant { since_boot_ns }
    }
}

impl AddAssign<Duration> for BootInstant {
    fn add_assign(&mut self, time: Duration) {
        *self = *self + time;
    }
}

impl Sub<Duration> for BootInstant {
    type Output = BootInstant;

    fn sub(self, time: Duration) -> BootInstant {
        let since_boot_ns = self.since_boot_ns.saturating_sub(nanos(time));
        BootInstant { since_boot_ns }
    }
}

impl Sub for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: BootInstant) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// A source of time.
///
/// Deadlines, ages and leases use [`Clock::now`]. Only output for people uses
/// [`Clock::system_time`].
pub trait Clock: Send + Sync {
    /// Returns the current instant.
    fn now(&self) -> BootInstant;

    /// Returns the current date and time, which may jump.
    fn system_time(&self) -> SystemTime;

    /// Returns the current date and time in milliseconds since the Unix epoch.
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
    fn now(&self) -> BootInstant {
        let time = clock_gettime(ClockId::Boottime);
        let whole_ns = time.tv_sec.saturating_mul(NANOS_IN_SECOND);
        BootInstant { since_boot_ns: whole_ns.saturating_add(time.tv_nsec) }
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

#[cfg(test)]
mod tests;

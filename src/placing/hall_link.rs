//! Detects whether the link to another data hall is up, as one VM sees it.
//!
//! A partitioned hall answers nothing while its connections stay open, so each
//! request that is sent there waits until it times out. Two signs distinguish
//! a partition from busy engines: connections that cannot be opened, and
//! heartbeats of the hall's VMs that stop while nothing else arrives from
//! there either.

use std::{sync::Mutex, time::Duration};

use crate::clock::BootInstant;

/// Consecutive connection failures at upstreams of a data hall, without any
/// activity from there, after which the hall counts as partitioned.
const PARTITION_FAILURES: u32 = 2;

/// How long a hall with connection failures is avoided, unless something
/// arrives from it earlier: about the length of a short partition, since each
/// attempt costs a request the connect timeout.
pub(crate) const PARTITION_PAUSE: Duration = Duration::from_millis(3000);

/// Minimum time without any activity after which a hall that sent heartbeats
/// counts as partitioned: two regular heartbeats and some network delay.
const MIN_SILENCE: Duration = Duration::from_millis(1100);

/// Silence that indicates a partition, as a multiple of the mean time between
/// two heartbeats. In a large fleet, the VMs of another hall send a given VM a
/// heartbeat only occasionally.
const SILENCE_FACTOR: f64 = 5.0;

/// Silence beyond which missing heartbeats are no longer evidence: the VMs
/// there may be gone for good while the upstreams are healthy, which only a
/// request can show.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// Weight that the moving average of the heartbeat interval keeps with each
/// new sample.
const INTERVAL_DECAY: f64 = 0.8;

#[derive(Debug, Default)]
struct State {
    failures: u32,
    partitioned_until: Option<BootInstant>,
    /// When anything last arrived from there.
    active_at: Option<BootInstant>,
    /// When the last heartbeat arrived.
    heartbeat_at: Option<BootInstant>,
    /// Moving average of the time between two heartbeats.
    heartbeat_interval: Option<Duration>,
}

/// The state of the link to one data hall.
#[derive(Debug, Default)]
pub struct HallLink(Mutex<State>);

impl HallLink {
    /// Records that data arrived from an upstream there.
    pub fn record_activity(&self, now: BootInstant) {
        self.0.lock().expect("link lock").record_activity(now);
    }

    /// Records a heartbeat from a VM there.
    pub fn record_heartbeat(&self, now: BootInstant) {
        let mut state = self.0.lock().expect("link lock");
        state.record_activity(now);
        if let Some(before) = state.heartbeat_at.replace(now) {
            let interval = now.saturating_duration_since(before);
            let mean = state.heartbeat_interval.unwrap_or(interval);
            let updated = mean.mul_f64(INTERVAL_DECAY)
                + interval.mul_f64(1.0 - INTERVAL_DECAY);
            state.heartbeat_interval = Some(updated);
        }
    }

    /// Whether anything has arrived from there after a time.
    pub fn is_active_since(&self, at: BootInstant) -> bool {
        let active_at = self.0.lock().expect("link lock").active_at;
        active_at.is_some_and(|active_at| active_at > at)
    }

    /// Records that a connection to an upstream there could not be opened.
    pub fn record_connect_failure(&self, now: BootInstant) {
        let mut state = self.0.lock().expect("link lock");
        state.failures += 1;
        if state.failures >= PARTITION_FAILURES {
            state.partitioned_until = Some(now + PARTITION_PAUSE);
        }
    }

    /// Whether the hall seems to be partitioned from this VM.
    pub fn is_partitioned(&self, now: BootInstant) -> bool {
        let state = self.0.lock().expect("link lock");
        let was_unreachable =
            state.partitioned_until.is_some_and(|until| now < until);
        was_unreachable || state.is_silent(now)
    }
}

impl State {
    fn record_activity(&mut self, now: BootInstant) {
        self.failures = 0;
        self.partitioned_until = None;
        self.active_at = Some(now);
    }

    /// Whether heartbeats came from there, but nothing has arrived for too
    /// long.
    fn is_silent(&self, now: BootInstant) -> bool {
        let (Some(active_at), Some(interval)) =
            (self.active_at, self.heartbeat_interval)
        else {
            return false;
        };
        let silence = now.saturating_duration_since(active_at);
        let limit = interval.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE);
        silence > limit && silence < MAX_SILENCE
    }
}

#[cfg(test)]
mod tests;

//! Whether the way to another data hall is open, as one VM sees it.
//!
//! A hall that is cut off answers nothing, and its connections stay open, so
//! each request that is sent there waits until it is given up. Two things
//! tell a cut from engines that are busy: connections that cannot be opened,
//! and beats of the hall's VMs that stop while nothing else comes from there
//! either.

use std::{sync::Mutex, time::Duration};

use crate::clock::BootInstant;

/// Upstreams of a data hall that cannot be reached, one after the other and
/// without a sign of life from any other there, before the hall counts as cut
/// off.
const PARTITION_FAILURES: u32 = 2;

/// Time for which a data hall that could not be reached is left alone, unless
/// something there is heard before: about the length of a short cut, since
/// each try costs a request the time to connect.
pub(crate) const PARTITION_PAUSE: Duration = Duration::from_millis(3000);

/// Least time without any sign of life after which a hall whose VMs were
/// heard counts as cut off: two regular beats, and a little for their link.
const MIN_SILENCE: Duration = Duration::from_millis(1100);

/// How many times the usual time between two beats that silence must last.
/// In a large fleet the VMs of another hall beat a VM only now and then.
const SILENCE_FACTOR: f64 = 5.0;

/// Silence beyond which its lack of beats says no more: the VMs there may be
/// gone for good while its upstreams are well, and only trying tells.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// What the usual time between two beats still counts when one more has come.
const INTERVAL_DECAY: f64 = 0.8;

#[derive(Debug, Default)]
struct State {
    failures: u32,
    partitioned_until: Option<BootInstant>,
    /// The last sign of life of any kind.
    active_at: Option<BootInstant>,
    /// The last beat.
    heartbeat_at: Option<BootInstant>,
    /// The usual time between two beats.
    heartbeat_interval: Option<Duration>,
}

/// How the way to one data hall has been.
#[derive(Debug, Default)]
pub struct HallLink(Mutex<State>);

impl HallLink {
    /// Notes that something came from an upstream there.
    pub fn record_activity(&self, now: BootInstant) {
        self.0.lock().expect("link lock").record_activity(now);
    }

    /// Notes that a VM there was heard.
    pub fn record_heartbeat(&self, now: BootInstant) {
        let mut state = self.0.lock().expect("link lock");
        state.record_activity(now);
        if let Some(before) = state.heartbeat_at.replace(now) {
            let interval = now.saturating_duration_since(before);
            let usual = state.heartbeat_interval.unwrap_or(interval);
            let decayed = usual.mul_f64(INTERVAL_DECAY)
                + interval.mul_f64(1.0 - INTERVAL_DECAY);
            state.heartbeat_interval = Some(decayed);
        }
    }

    /// Notes that a connection to an upstream there could not be opened.
    pub fn record_connect_failure(&self, now: BootInstant) {
        let mut state = self.0.lock().expect("link lock");
        state.failures += 1;
        if state.failures >= PARTITION_FAILURES {
            state.partitioned_until = Some(now + PARTITION_PAUSE);
        }
    }

    /// Whether the hall seems cut off.
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

    /// Whether beats came from there, and for too long nothing has.
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

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
const CUT_FAILURES: u32 = 2;

/// Time for which a data hall that could not be reached is left alone, unless
/// something there is heard before: about the length of a short cut, since
/// each try costs a request the time to connect.
pub(crate) const CUT_PAUSE: Duration = Duration::from_millis(3000);

/// Least time without any sign of life after which a hall whose VMs were
/// heard counts as cut off: two regular beats, and a little for their way.
const SILENCE_LEAST: Duration = Duration::from_millis(1100);

/// How many times the usual time between two beats that silence must last.
/// In a large fleet the VMs of another hall beat a VM only now and then.
const SILENCE_FACTOR: f64 = 5.0;

/// Silence beyond which its lack of beats says no more: the VMs there may be
/// gone for good while its upstreams are well, and only trying tells.
const SILENCE_MOST: Duration = Duration::from_secs(10);

/// What the usual time between two beats still counts when one more has come.
const GAP_FADE: f64 = 0.8;

#[derive(Debug, Default)]
struct State {
    failures: u32,
    cut_until: Option<BootInstant>,
    /// The last sign of life of any kind.
    heard_at: Option<BootInstant>,
    /// The last beat.
    beat_at: Option<BootInstant>,
    /// The usual time between two beats.
    beat_gap: Option<Duration>,
}

/// How the way to one data hall has been.
#[derive(Debug, Default)]
pub struct HallWay(Mutex<State>);

impl HallWay {
    /// Notes that something came from an upstream there.
    pub fn record_activity(&self, now: BootInstant) {
        self.0.lock().expect("way lock").hear(now);
    }

    /// Notes that a VM there was heard.
    pub fn note_beat(&self, now: BootInstant) {
        let mut state = self.0.lock().expect("way lock");
        state.hear(now);
        if let Some(before) = state.beat_at.replace(now) {
            let gap = now.saturating_duration_since(before);
            let usual = state.beat_gap.unwrap_or(gap);
            let faded = usual.mul_f64(GAP_FADE) + gap.mul_f64(1.0 - GAP_FADE);
            state.beat_gap = Some(faded);
        }
    }

    /// Notes that a connection to an upstream there could not be opened.
    pub fn record_connect_failure(&self, now: BootInstant) {
        let mut state = self.0.lock().expect("way lock");
        state.failures += 1;
        if state.failures >= CUT_FAILURES {
            state.cut_until = Some(now + CUT_PAUSE);
        }
    }

    /// Whether the hall seems cut off.
    pub fn is_cut_off(&self, now: BootInstant) -> bool {
        let state = self.0.lock().expect("way lock");
        let was_unreachable = state.cut_until.is_some_and(|until| now < until);
        was_unreachable || state.is_silent(now)
    }
}

impl State {
    fn hear(&mut self, now: BootInstant) {
        self.failures = 0;
        self.cut_until = None;
        self.heard_at = Some(now);
    }

    /// Whether beats came from there, and for too long nothing has.
    fn is_silent(&self, now: BootInstant) -> bool {
        let (Some(heard_at), Some(gap)) = (self.heard_at, self.beat_gap)
        else {
            return false;
        };
        let silence = now.saturating_duration_since(heard_at);
        let limit = gap.mul_f64(SILENCE_FACTOR).max(SILENCE_LEAST);
        silence > limit && silence < SILENCE_MOST
    }
}

#[cfg(test)]
mod tests;

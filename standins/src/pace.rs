//! How fast a stand-in upstream works.

use std::time::Duration;

use rand::Rng;

#[cfg(test)]
mod tests;

/// Range of the speeds of uneven upstreams, as factors of the usual speed.
const SPEEDS: std::ops::Range<f64> = 0.55..1.2;

/// Time between two slow phases, the length of a slow phase, and by how much
/// work takes longer in it: a noisy neighbour that slows down one upstream in
/// seven.
const PHASE_PERIOD_MS: u64 = 2100;
const PHASE_MS: u64 = 300;
const PHASE_PERCENT: u64 = 250;

/// Time after which the slowdown outside of slow phases changes.
const CHANGE_MS: u64 = 50;

/// The pace of an upstream.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Its usual service time.
    usual: Duration,
    /// The offset of its slow phases; `None` if its pace never changes.
    offset_ms: Option<u64>,
    /// Whether it states its slowdown in `Lupinseam-Instance-Load`.
    pub states_slowdown: bool,
}

impl Pace {
    /// Returns a pace at which each request takes this long.
    pub fn steady(usual: Duration) -> Pace {
        Pace { usual, offset_ms: None, states_slowdown: false }
    }

    /// Draws the pace of one of several uneven upstreams, whose requests take
    /// this long on average; half of them state their slowdown.
    pub fn uneven(usual: Duration, rng: &mut impl Rng) -> Pace {
        Pace {
            usual: usual.div_f64(rng.random_range(SPEEDS)),
            offset_ms: Some(rng.random_range(0..PHASE_PERIOD_MS)),
            states_slowdown: rng.random(),
        }
    }

    /// Returns how long work takes at a time since the start of the upstream,
    /// in percent of its usual service time.
    pub fn slowdown_percent(&self, at: Duration) -> u64 {
        let Some(offset_ms) = self.offset_ms else { return 100 };
        let at_ms = at.as_millis() as u64 + offset_ms;
        match at_ms % PHASE_PERIOD_MS < PHASE_MS {
            true => PHASE_PERCENT,
            // Changes many times a second.
            false => 90 + at_ms / CHANGE_MS % 5 * 5,
        }
    }

    /// Returns the service time of a request that starts at a time.
    pub fn service_time(&self, at: Duration) -> Duration {
        self.usual.mul_f64(self.slowdown_percent(at) as f64 / 100.0)
    }
}

//! How the price of a model grows while engines are busy.
//!
//! An engine can lack two things. Slots are held while tokens are generated,
//! and prompts are read one after the other. The price of each kind of token
//! grows with the shortage that it adds to, so that a long prompt with a short
//! output costs little more while slots are scarce.

use std::time::Duration;

/// Utilization up to which a larger model delays nobody.
const UNLOADED_UTILIZATION: f64 = 0.75;

/// Utilization from which requests wait for slots.
const FULL_UTILIZATION: f64 = 1.0;

/// Mean prefill backlog, as a share of the latency target, up to which prompts
/// hardly wait for each other.
const UNLOADED_BACKLOG: f64 = 0.6;

/// The same from which the wait leaves no time that is safe.
const FULL_BACKLOG: f64 = 1.2;

/// Increase of the price of a generated token at full engines, as a multiple
/// of the price. The largest model holds an engine as long as ten answers of
/// the smallest. Requests that wait lose half of their value by lateness, and
/// the value is about five times the cost of the largest model.
const FULL_INCREASE: f64 = 25.0;

/// The same for a token of the prompt. A prompt delays others only while it is
/// read, not for as long as its answer is generated.
const FULL_PREFILL_INCREASE: f64 = 4.0;

/// Largest shortage: utilization is not reported beyond a few times the slots.
const MAX_SHORTAGE: f64 = 10.0;

/// What the engines of a service lack for further requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EnginePressure {
    /// Shortage of slots: 0 on unloaded engines, 1 on full ones.
    slots: f64,
    /// Shortage of time to read prompts.
    prefill: f64,
}

impl EnginePressure {
    /// Creates the pressure at a mean utilization in requests per slot, and a
    /// mean prefill backlog, for requests with a latency target.
    pub(crate) fn new(
        utilization: f64,
        prefill_backlog: Duration,
        target: Duration,
    ) -> EnginePressure {
        let target_s = target.as_secs_f64().max(f64::MIN_POSITIVE);
        let backlog = prefill_backlog.as_secs_f64() / target_s;
        EnginePressure {
            slots: shortage(
                utilization,
                UNLOADED_UTILIZATION,
                FULL_UTILIZATION,
            ),
            prefill: shortage(backlog, UNLOADED_BACKLOG, FULL_BACKLOG),
        }
    }

    /// Returns the price of a request whose prompt and whose output have these
    /// costs.
    pub(crate) fn price(self, prompt_cost: f64, output_cost: f64) -> f64 {
        prompt_cost * (1.0 + FULL_PREFILL_INCREASE * self.prefill)
            + output_cost * (1.0 + FULL_INCREASE * self.slots)
    }
}

fn shortage(used: f64, unloaded: f64, full: f64) -> f64 {
    let shortage =
        ((used - unloaded) / (full - unloaded)).clamp(0.0, MAX_SHORTAGE);
    // The probability that a request waits grows faster than utilization.
    shortage * shortage
}

#[cfg(test)]
mod tests;

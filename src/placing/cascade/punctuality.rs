//! What lateness leaves of the value of an answer.

use std::time::Duration;

/// Part of its value that an answer keeps just after the latency target.
/// Callers that state a target lose at least half of what they wanted when it
/// is missed.
const LATE_WORTH: f64 = 0.5;

/// Share of the latency target up to which an answer is expected to be in
/// time: a noisy neighbour slows an upstream down by a factor of 2.5. Beyond
/// it, an answer is late the more often the less time is left.
const SAFE_SHARE: f64 = 0.4;

/// The times by which the caller of one request wants its answer, counted
/// from the arrival of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Punctuality {
    /// Target for the first event.
    pub(crate) target: Duration,
    /// Time after which the caller is gone.
    pub(crate) deadline: Duration,
}

impl Punctuality {
    /// Returns what is left of the value of an answer that arrives at a time,
    /// from 0 to 1.
    pub(crate) fn worth(&self, at: Duration) -> f64 {
        match at <= self.target {
            _ if at >= self.deadline => 0.0,
            true => 1.0,
            // Falls with the square, so that an answer that is late by a
            // factor of two is worth an eighth.
            false => LATE_WORTH / self.used(at).powi(2),
        }
    }

    /// Returns the same for an answer that is expected at a time.
    pub(crate) fn expected_worth(&self, at: Duration) -> f64 {
        if at > self.target || at >= self.deadline {
            return self.worth(at);
        }
        let late_chance = (self.used(at) - SAFE_SHARE) / (1.0 - SAFE_SHARE);
        1.0 - late_chance.max(0.0) * (1.0 - LATE_WORTH)
    }

    /// Returns the time as a multiple of the latency target.
    fn used(&self, at: Duration) -> f64 {
        at.as_secs_f64() / self.target.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

#[cfg(test)]
mod tests;

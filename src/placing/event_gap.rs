//! How likely the streams of an engine pause for too long while it reads
//! prompts.
//!
//! The load pattern: an engine reads prompts in pieces, between the tokens of
//! the streams that it runs. While it reads a long prompt with the largest
//! model, a step of its streams takes up to 90 ms instead of 2 ms, and an
//! event of 13 tokens up to 1.2 s. Callers accept pauses of 1 s to 1.2 s.

use std::time::Duration;

use crate::store_sync::{engine::Engine, route::Route};

/// Share of the accepted pause up to which no stream is late: a noisy
/// neighbour slows down an engine by a factor of 2.5 at most.
const SAFE_SHARE: f64 = 0.4;

/// Returns the longest pause that callers of the route accept between two
/// events; `None` if it has no streams, or if the engine runs no models.
pub(crate) fn target(route: &Route, engine: &Engine) -> Option<Duration> {
    let has_pauses = route.is_stream && !engine.models.is_empty();
    route.event_gap_target.filter(|_| has_pauses)
}

/// Returns the probability that a stream on an engine that has `prefill` to
/// read has a pause longer than `gap_target`.
///
/// A target of zero is exceeded by any prefill.
pub(crate) fn late_chance(prefill: Duration, gap_target: Duration) -> f64 {
    let safe = gap_target.mul_f64(SAFE_SHARE);
    if prefill <= safe {
        return 0.0;
    }
    if prefill >= gap_target {
        return 1.0;
    }
    (prefill - safe).div_duration_f64(gap_target - safe)
}

#[cfg(test)]
mod tests;

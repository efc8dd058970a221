//! Model cascade: which model answers a request whose caller does not name
//! one.
//!
//! The smallest model is asked first: it costs a fraction of the largest one,
//! in money and in upstream time, and the headers of its response state its
//! confidence. The response is dropped before any of it reaches the caller if
//! a larger model is worth asking.
//!
//! Where the configuration states the cost of every model of a route,
//! [`rule`] weighs the gain of each larger model against its price. Without
//! costs, a confidence that is too low escalates the request to the largest
//! model, unless that would be too late ([`escalation_target`]). Models in
//! between are skipped by the latter: they answer few requests well that the
//! smallest one does not.
//!
//! A request that may run only once is answered by the model that it is sent
//! to first. With costs, that is the one with the largest expected gain less
//! price, and the largest one that answers in time without ([`only_model`]).
//!
//! * [`rule`]: the decisions by gain and price.
//! * [`model_costs`]: what asking each model costs.
//! * [`poor_shares`]: the value of a good answer.
//! * [`punctuality`]: what lateness leaves of that value.
//! * [`engine_pressure`]: how the price grows while engines are busy.
//! * [`confidence_curve`]: what the confidence of a model means.
//! * [`calibration`]: how often an answer is expected to be poor.
//! * [`prefill_times`]: how long each model takes to read a prompt.

use std::time::Duration;

use crate::{
    clock::BootInstant, id::ModelId, store_sync::route::Route, unit::Percent,
};

pub(crate) mod calibration;
pub(crate) mod confidence_curve;
pub(crate) mod engine_pressure;
pub(crate) mod model_costs;
pub(crate) mod poor_shares;
pub(crate) mod prefill_times;
pub(crate) mod punctuality;
pub(crate) mod rule;

pub(crate) use prefill_times::PrefillTimes;

/// Confidence from which the response of a smaller model is passed on.
///
/// Below it, so many responses are poor that the largest model is worth its
/// price and the engine time that it takes from other requests. With 50
/// instead of 57, the mean score of simulated days with faults on held-out
/// seeds was 0.670 instead of 0.661 on a third customer's site (25 days),
/// 0.630 instead of 0.626 and 0.644 instead of 0.638 on two others (10 days
/// each), and 0.543 instead of 0.544 on a fourth (20 days); with 44 it was
/// 0.669 and, on the fourth, 0.529 (15 and 12 days).
const MIN_CONFIDENCE: u8 = 50;

/// Share of the latency target up to which the expected time to the first
/// event of the largest model does not matter. Beyond it, the less time is
/// left, the lower the confidence must be to escalate: the largest model may
/// answer too late, and delays other requests when upstreams are busy.
const RELAXED_SHARE: f64 = 0.5;

/// Returns the first model to ask if the caller names none.
pub(crate) fn first_model(route: &Route) -> Option<ModelId> {
    route.models.first().cloned()
}

/// Returns the model to ask if no larger one may follow and the costs are
/// unknown: the largest that is expected to answer well within the latency
/// target after a wait of `waiting`, or else the smallest.
pub(crate) fn only_model(
    route: &Route,
    times: &PrefillTimes,
    prompt_tokens: u64,
    waiting: Duration,
) -> Option<ModelId> {
    let limit = route.latency_target.mul_f64(RELAXED_SHARE);
    let in_time = |model: &&ModelId| {
        waiting + times.expected(Some(model), prompt_tokens) <= limit
    };
    let largest = route.models.iter().rev().find(in_time);
    largest.or(route.models.first()).cloned()
}

/// The input of the decision whether to escalate.
pub(crate) struct EscalationInput<'a> {
    /// The route of the request.
    pub(crate) route: &'a Route,
    /// The model that has answered.
    pub(crate) model: &'a ModelId,
    /// Its confidence in the response.
    pub(crate) confidence: Percent,
    /// When the request arrived.
    pub(crate) started_at: BootInstant,
    /// Whether another attempt is allowed.
    pub(crate) has_attempt: bool,
    /// Prompt tokens that the larger model would have to prefill.
    pub(crate) tokens: u64,
}

/// Why a response is passed on instead of escalating the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoEscalation {
    /// The largest model has answered.
    Largest,
    /// The confidence is high enough.
    Confident,
    /// The larger model would answer too late.
    NoTime,
    /// No attempt is left.
    NoAttempt,
    /// No upstream can be asked.
    NoUpstream,
    /// The expected gain of each larger model is below its price.
    Price,
    /// The gain exceeds the price on unloaded engines, but these are busy.
    Room,
}

impl NoEscalation {
    /// The name of this reason in the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            NoEscalation::Largest => "largest",
            NoEscalation::Confident => "sure",
            NoEscalation::NoTime => "no_time",
            NoEscalation::NoAttempt => "no_attempt",
            NoEscalation::NoUpstream => "no_upstream",
            NoEscalation::Price => "price",
            NoEscalation::Room => "room",
        }
    }
}

/// Returns the model to which the request should be escalated. `waiting` is
/// the expected wait before its prefill.
///
/// # Errors
///
/// Returns the reason for passing on the response at hand.
pub(crate) fn escalation_target(
    input: &EscalationInput<'_>,
    times: &PrefillTimes,
    waiting: Duration,
    now: BootInstant,
) -> Result<ModelId, NoEscalation> {
    let largest = input.route.models.last().ok_or(NoEscalation::Largest)?;
    if input.model == largest {
        return Err(NoEscalation::Largest);
    }
    let confidence = f64::from(input.confidence.value());
    let min_confidence = f64::from(MIN_CONFIDENCE);
    if confidence >= min_confidence {
        return Err(NoEscalation::Confident);
    }
    if !input.has_attempt {
        return Err(NoEscalation::NoAttempt);
    }
    let passed = now.saturating_duration_since(input.started_at);
    let prefill = times.expected(Some(largest), input.tokens);
    let expected = passed + waiting + prefill;
    let used =
        expected.as_secs_f64() / input.route.latency_target.as_secs_f64();
    let headroom = ((1.0 - used) / (1.0 - RELAXED_SHARE)).clamp(0.0, 1.0);
    if confidence >= min_confidence * headroom {
        return Err(NoEscalation::NoTime);
    }
    Ok(largest.clone())
}

#[cfg(test)]
mod load_replay_tests;
#[cfg(test)]
pub(crate) mod test_site;
#[cfg(test)]
mod tests;

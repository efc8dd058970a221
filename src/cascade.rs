//! Which model answers a request whose caller leaves the choice.
//!
//! The smallest model is asked first: it costs a small part of what the
//! largest does, in money and in an upstream's time, and the head of its
//! answer says how sure it is. If it is not sure enough, the answer is
//! dropped before the caller has any of it, and the largest is asked, unless
//! that would come too late. Models between them are passed over: they answer
//! few requests well that the smallest does not.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::{
    id::ModelId,
    inbound::{Inbound, ModelWish},
    route::Route,
    unit::Percent,
};

/// Confidence from which an answer of a smaller model is passed on.
///
/// Measured in `docs/ROUNDS.md`: below it, more answers are poor than the
/// largest model's price is worth.
const ENOUGH_CONFIDENCE: u8 = 65;

/// Part of the aim that may be used up by the expected time to the first
/// event of the largest model.
const AIM_PART: f64 = 0.9;

/// Milliseconds that a token of a prompt takes to be read until something
/// has been learned.
const USUAL_READ_MS: f64 = 0.02;

/// Weight of one more measured time in the mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Prompts shorter than this say little about the time for a token.
const LEAST_TOKENS: u64 = 300;

/// Time to the first event of the shortest prompt.
const FIRST_EVENT: Duration = Duration::from_millis(10);

/// What is known of the models' speeds, learned from answers.
#[derive(Debug, Default)]
pub(crate) struct ReadTimes(Mutex<HashMap<ModelId, f64>>);

impl ReadTimes {
    /// The time that a model takes to read so many tokens.
    pub(crate) fn expected(
        &self,
        model: Option<&ModelId>,
        tokens: u64,
    ) -> Duration {
        let times = self.0.lock().expect("times lock");
        let known = model.and_then(|model| times.get(model));
        let ms = known.copied().unwrap_or(USUAL_READ_MS) * tokens as f64;
        FIRST_EVENT + Duration::from_secs_f64(ms / 1000.0)
    }

    /// Takes in how long a model took until the first event, when nothing
    /// else was being read before it.
    pub(crate) fn learn(
        &self,
        model: &ModelId,
        tokens: u64,
        first_event: Duration,
    ) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let reading = first_event.saturating_sub(FIRST_EVENT);
        let ms = reading.as_secs_f64() * 1000.0 / tokens as f64;
        let mut times = self.0.lock().expect("times lock");
        let known = times.entry(model.clone()).or_insert(ms);
        *known += (ms - *known) * MEAN_WEIGHT;
    }
}

/// The first model to ask, where the caller leaves the choice.
pub(crate) fn first_model(
    inbound: &Inbound,
    route: &Route,
) -> Option<ModelId> {
    match inbound.model {
        Some(ModelWish::Any) => route.sizes.first().cloned(),
        _ => None,
    }
}

/// What decides whether a larger model is asked.
pub(crate) struct Doubt<'a> {
    /// The route.
    pub(crate) route: &'a Route,
    /// The model that has answered.
    pub(crate) model: &'a ModelId,
    /// What it thinks of its answer.
    pub(crate) confidence: Percent,
    /// When the request came.
    pub(crate) started_at: Instant,
    /// Tokens of the prompt that the larger model would have to read.
    pub(crate) tokens: u64,
}

/// The larger model to ask instead, if one is worth it.
pub(crate) fn larger_model(
    doubt: &Doubt<'_>,
    times: &ReadTimes,
    waiting: impl Fn(&ModelId) -> Duration,
    now: Instant,
) -> Option<ModelId> {
    let largest = doubt.route.sizes.last()?;
    if doubt.model == largest || doubt.confidence.value() >= ENOUGH_CONFIDENCE
    {
        return None;
    }
    let passed = now.saturating_duration_since(doubt.started_at);
    let reading = times.expected(Some(largest), doubt.tokens);
    let expected = passed + waiting(largest) + reading;
    let is_in_time = expected <= doubt.route.aim.mul_f64(AIM_PART);
    is_in_time.then(|| largest.clone())
}

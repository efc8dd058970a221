//! How long each model takes to read a prompt.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::id::ModelId;

/// Prefill time per token in milliseconds, until it has been learned.
const DEFAULT_TOKEN_MS: f64 = 0.02;

/// Weight that earlier samples keep with each new one.
const DECAY: f64 = 0.97;

/// Prompts with fewer tokens are ignored: they reveal little about the time
/// per token.
const MIN_TOKENS: u64 = 300;

/// Tokens of the prompts that must have been measured before the speed of a
/// model counts as learned.
const MIN_LEARNED_TOKENS: f64 = 3000.0;

/// Time to the first event of the shortest prompt.
const MIN_FIRST_EVENT: Duration = Duration::from_millis(10);

/// The prefill speed of each model, learned from responses.
#[derive(Debug, Default)]
pub(crate) struct PrefillTimes(Mutex<HashMap<ModelId, PrefillSum>>);

/// Total tokens and total prefill time. Sums instead of a mean of ratios, so
/// that a short prompt that had to wait weighs little.
#[derive(Clone, Copy, Debug, Default)]
struct PrefillSum {
    ms: f64,
    tokens: f64,
}

impl PrefillTimes {
    /// Returns the expected time to the first event of a model, for a prompt
    /// of `tokens` tokens that does not have to wait.
    pub(crate) fn expected(
        &self,
        model: Option<&ModelId>,
        tokens: u64,
    ) -> Duration {
        let times = self.0.lock().expect("times lock");
        let known = model.and_then(|model| times.get(model));
        let Some(known) = known else {
            return PrefillTimes::unlearned(tokens);
        };
        let ms = known.ms / known.tokens * tokens as f64;
        MIN_FIRST_EVENT + Duration::from_secs_f64(ms / 1000.0)
    }

    /// Returns the time to the first event that any VM expects of a model whose
    /// speed is not known, for a prompt that does not have to wait.
    pub(crate) fn unlearned(tokens: u64) -> Duration {
        let ms = DEFAULT_TOKEN_MS * tokens as f64;
        MIN_FIRST_EVENT + Duration::from_secs_f64(ms / 1000.0)
    }

    /// Whether the speed of a model has been learned, from more than one or
    /// two prompts.
    pub(crate) fn is_learned(&self, model: &ModelId) -> bool {
        let times = self.0.lock().expect("times lock");
        times.get(model).is_some_and(|sum| sum.tokens >= MIN_LEARNED_TOKENS)
    }

    /// Records the time to the first event of a prompt that did not wait for
    /// the prefill of others.
    pub(crate) fn record(
        &self,
        model: &ModelId,
        tokens: u64,
        first_event: Duration,
    ) {
        if tokens < MIN_TOKENS {
            return;
        }
        let prefill = first_event.saturating_sub(MIN_FIRST_EVENT);
        let mut times = self.0.lock().expect("times lock");
        let known = times.entry(model.clone()).or_default();
        known.ms = known.ms * DECAY + prefill.as_secs_f64() * 1000.0;
        known.tokens = known.tokens * DECAY + tokens as f64;
    }
}

//! How an upstream has been answering, and whether it is fit for requests.

use std::{sync::Mutex, time::Duration};

use crate::clock::BootInstant;

use serde::{Deserialize, Serialize};

/// Time in which evidence loses half its weight; a fault of an upstream is
/// to be seen, and its end too, within a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Share of failures from which an upstream is unfit.
const MAX_FAILURE_RATIO: f64 = 0.3;

/// Failures that it takes, so that one alone says nothing.
const MIN_FAILURES: f64 = 2.5;

/// Failures in a row, without any answer, from which it is unfit.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Time that an unfit upstream is left alone; one request then tries it.
const BASE_EJECTION: Duration = Duration::from_millis(1500);

/// Longest ejection, after one trial after the other has failed.
const MAX_EJECTION: Duration = Duration::from_secs(6);

/// Answers that an upstream is taken to have given before any was seen, so
/// that its first failure does not count for all.
const PRIOR_SUCCESSES: f64 = 2.0;

/// Chance of failing from which an upstream is to blame for its failures, and
/// not the version of its software: a version that is bad fails at all of its
/// upstreams, at most of them for the first time.
const SUSPECT_FAILURE_RATE: f64 = 0.2;

/// What a failure counts that another VM of the data hall tells, as a part of
/// one of its own: the fault may be that VM's. Four tell enough, or two that
/// could not open a connection.
const PEER_FAILURE_WEIGHT: f64 = 0.7;
const PEER_UNREACHABLE_WEIGHT: f64 = 1.3;

/// How one attempt ended, as far as its upstream is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It answered.
    Success,
    /// It answered that it failed.
    Failed,
    /// It broke off or stayed silent.
    Lost,
    /// No connection to it could be opened.
    Unreachable,
}

#[derive(Debug)]
struct State {
    successes: f64,
    failures: f64,
    consecutive_failures: u32,
    decayed_at: BootInstant,
    ejection: Duration,
    ejected_until: Option<BootInstant>,
}

/// The recent record of one upstream.
#[derive(Debug)]
pub struct Health(Mutex<State>);

/// A change worth logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// It is unfit and left alone for a while.
    Unhealthy,
    /// It answers again.
    Healthy,
}

impl Health {
    /// Creates a record with nothing in it.
    pub fn new(now: BootInstant) -> Health {
        Health(Mutex::new(State {
            successes: 0.0,
            failures: 0.0,
            consecutive_failures: 0,
            decayed_at: now,
            ejection: BASE_EJECTION,
            ejected_until: None,
        }))
    }

    /// Whether requests may go there.
    pub fn is_healthy(&self, now: BootInstant) -> bool {
        let state = self.0.lock().expect("health lock");
        state.ejected_until.is_none_or(|until| now >= until)
    }

    /// The chance that the next attempt there fails, from what was seen and
    /// told of the last ones.
    pub fn failure_chance(&self, now: BootInstant) -> f64 {
        let state = self.0.lock().expect("health lock");
        let factor = state.decay_factor(now);
        let (successes, failures) =
            (state.successes * factor, state.failures * factor);
        failures / (PRIOR_SUCCESSES + successes + failures)
    }

    /// Whether it failed lately, here or by another VM's word.
    ///
    /// One more failure of it then says little of the version of its software:
    /// four failures of one or two faulty upstreams would take back a good
    /// version that has answered 13 requests.
    pub fn is_suspect(&self, now: BootInstant) -> bool {
        self.failure_chance(now) >= SUSPECT_FAILURE_RATE
    }

    /// Takes in how an attempt of another VM of the data hall ended.
    pub fn record_from_peer(
        &self,
        outcome: AttemptOutcome,
        now: BootInstant,
    ) -> Option<HealthChange> {
        let mut state = self.0.lock().expect("health lock");
        state.decay(now);
        match outcome {
            AttemptOutcome::Success => {
                state.successes += 1.0;
                return None;
            }
            AttemptOutcome::Failed | AttemptOutcome::Lost => {
                state.failures += PEER_FAILURE_WEIGHT
            }
            AttemptOutcome::Unreachable => {
                state.failures += PEER_UNREACHABLE_WEIGHT
            }
        }
        let is_news = state.ejected_until.is_none_or(|until| now >= until);
        if !is_news || !state.is_failing() {
            return None;
        }
        state.ejected_until = Some(now + state.ejection);
        Some(HealthChange::Unhealthy)
    }

    /// Takes in how an attempt ended.
    pub fn record(
        &self,
        outcome: AttemptOutcome,
        now: BootInstant,
    ) -> Option<HealthChange> {
        let mut state = self.0.lock().expect("health lock");
        state.decay(now);
        match outcome {
            AttemptOutcome::Success => state.record_success(now),
            AttemptOutcome::Failed | AttemptOutcome::Lost => {
                state.record_failure(now)
            }
            AttemptOutcome::Unreachable => {
                // One such failure says enough: the next request would wait
                // for it as well.
                state.consecutive_failures = MAX_CONSECUTIVE_FAILURES;
                state.record_failure(now)
            }
        }
    }
}

impl State {
    /// What is left of the weight of earlier evidence.
    fn decay_factor(&self, now: BootInstant) -> f64 {
        let passed = now.saturating_duration_since(self.decayed_at);
        0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Whether a part of the attempts fails that is too large.
    fn is_failing(&self) -> bool {
        let share = self.failures / (self.successes + self.failures);
        self.failures >= MIN_FAILURES && share >= MAX_FAILURE_RATIO
    }

    fn decay(&mut self, now: BootInstant) {
        let factor = self.decay_factor(now);
        self.successes *= factor;
        self.failures *= factor;
        self.decayed_at = now;
    }

    fn record_success(&mut self, now: BootInstant) -> Option<HealthChange> {
        self.successes += 1.0;
        self.consecutive_failures = 0;
        let was_tried = self.ejected_until.is_some_and(|until| now >= until);
        if !was_tried {
            return None;
        }
        self.ejected_until = None;
        self.ejection = BASE_EJECTION;
        self.failures = 0.0;
        Some(HealthChange::Healthy)
    }

    fn record_failure(&mut self, now: BootInstant) -> Option<HealthChange> {
        self.failures += 1.0;
        self.consecutive_failures += 1;
        if let Some(until) = self.ejected_until {
            if now >= until {
                self.ejection = (self.ejection * 2).min(MAX_EJECTION);
                self.ejected_until = Some(now + self.ejection);
            }
            return None;
        }
        if !self.is_failing()
            && self.consecutive_failures < MAX_CONSECUTIVE_FAILURES
        {
            return None;
        }
        self.ejected_until = Some(now + self.ejection);
        Some(HealthChange::Unhealthy)
    }
}

#[cfg(test)]
mod tests;

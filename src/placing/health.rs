//! The recent health of an upstream: detects outliers from the outcomes of
//! attempts and ejects them for a while.

use std::{sync::Mutex, time::Duration};

use crate::clock::BootInstant;

use serde::{Deserialize, Serialize};

/// Time in which evidence loses half its weight, so that a fault of an
/// upstream, and its end, are detected within a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Failure ratio from which an upstream is unhealthy.
const MAX_FAILURE_RATIO: f64 = 0.3;

/// Minimum weight of failures for [`MAX_FAILURE_RATIO`] to apply, so that a
/// single failure is not enough.
const MIN_FAILURES: f64 = 2.5;

/// Consecutive failures from which an upstream is unhealthy.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// First ejection of an unhealthy upstream; after it, the upstream gets
/// requests again, as a trial.
const BASE_EJECTION: Duration = Duration::from_millis(1500);

/// Longest ejection; the time doubles with each failed trial.
const MAX_EJECTION: Duration = Duration::from_secs(6);

/// Successes assumed before any outcome is known, so that the first failure
/// does not weigh too much.
const PRIOR_SUCCESSES: f64 = 2.0;

/// Failure probability from which failures are blamed on the upstream and not
/// on its software version: a faulty version fails on all of its upstreams, on
/// most of them for the first time.
const SUSPECT_FAILURE_RATE: f64 = 0.2;

/// Weight of a failure reported by another VM of the data hall, relative to
/// one seen here: that VM itself may be at fault. Four reports are enough, or
/// two of failed connections.
const PEER_FAILURE_WEIGHT: f64 = 0.7;
const PEER_UNREACHABLE_WEIGHT: f64 = 1.3;

/// The outcome of one attempt, as far as it depends on the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It answered.
    Success,
    /// It answered with an error of its own.
    Failed,
    /// It aborted the response or stayed silent.
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

/// The recent health of one upstream.
#[derive(Debug)]
pub struct Health(Mutex<State>);

/// A change that is worth logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// It became unhealthy and is ejected for a while.
    Unhealthy,
    /// It answers again.
    Healthy,
}

impl Health {
    /// Creates the state of an upstream without any outcomes.
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

    /// Whether it is not ejected.
    pub fn is_healthy(&self, now: BootInstant) -> bool {
        let state = self.0.lock().expect("health lock");
        state.ejected_until.is_none_or(|until| now >= until)
    }

    /// The probability that the next attempt fails, from the recent outcomes
    /// that this and other VMs have seen.
    pub fn failure_chance(&self, now: BootInstant) -> f64 {
        let state = self.0.lock().expect("health lock");
        let factor = state.decay_factor(now);
        let (successes, failures) =
            (state.successes * factor, state.failures * factor);
        failures / (PRIOR_SUCCESSES + successes + failures)
    }

    /// Whether it has failed recently, here or at another VM.
    ///
    /// Another failure is then little evidence against its software version.
    /// Otherwise, four failures of one or two faulty upstreams would withdraw
    /// a good version that has answered 13 requests.
    pub fn is_suspect(&self, now: BootInstant) -> bool {
        self.failure_chance(now) >= SUSPECT_FAILURE_RATE
    }

    /// Records the outcome of an attempt by another VM of the data hall.
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
        let is_new = state.ejected_until.is_none_or(|until| now >= until);
        if !is_new || !state.is_failing() {
            return None;
        }
        state.ejected_until = Some(now + state.ejection);
        Some(HealthChange::Unhealthy)
    }

    /// Records the outcome of an attempt by this VM.
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
                // One such failure is enough: the next request would wait for
                // the connect timeout as well.
                state.consecutive_failures = MAX_CONSECUTIVE_FAILURES;
                state.record_failure(now)
            }
        }
    }
}

impl State {
    /// The weight that is left of earlier outcomes.
    fn decay_factor(&self, now: BootInstant) -> f64 {
        let passed = now.saturating_duration_since(self.decayed_at);
        0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Whether the failure ratio is too high.
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

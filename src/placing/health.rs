//! How an upstream has been answering, and whether it is fit for requests.

use std::{sync::Mutex, time::Duration};

use crate::clock::BootInstant;

use serde::{Deserialize, Serialize};

/// Time in which evidence loses half its weight; a fault of an upstream is
/// to be seen, and its end too, within a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Share of failures from which an upstream is unfit.
const UNFIT_SHARE: f64 = 0.3;

/// Failures that it takes, so that one alone says nothing.
const UNFIT_FAILURES: f64 = 2.5;

/// Failures in a row, without any answer, from which it is unfit.
const UNFIT_IN_A_ROW: u32 = 3;

/// Time that an unfit upstream is left alone; one request then tries it.
const PAUSE: Duration = Duration::from_millis(1500);

/// Longest pause, after one trial after the other has failed.
const PAUSE_MOST: Duration = Duration::from_secs(6);

/// Answers that an upstream is taken to have given before any was seen, so
/// that its first failure does not count for all.
const PRIOR_ANSWERS: f64 = 2.0;

/// Chance of failing from which an upstream is to blame for its failures, and
/// not the version of its software: a version that is bad fails at all of its
/// upstreams, at most of them for the first time.
const SUSPECT_CHANCE: f64 = 0.2;

/// What a failure counts that another VM of the data hall tells, as a part of
/// one of its own: the fault may be that VM's. Four tell enough, or two that
/// could not open a connection.
const TOLD_FAILURE: f64 = 0.7;
const TOLD_UNREACHABLE: f64 = 1.3;

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
    good: f64,
    bad: f64,
    in_a_row: u32,
    weighed_at: BootInstant,
    pause: Duration,
    out_until: Option<BootInstant>,
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
            good: 0.0,
            bad: 0.0,
            in_a_row: 0,
            weighed_at: now,
            pause: PAUSE,
            out_until: None,
        }))
    }

    /// Whether requests may go there.
    pub fn is_healthy(&self, now: BootInstant) -> bool {
        let state = self.0.lock().expect("health lock");
        state.out_until.is_none_or(|until| now >= until)
    }

    /// The chance that the next attempt there fails, from what was seen and
    /// told of the last ones.
    pub fn failure_chance(&self, now: BootInstant) -> f64 {
        let state = self.0.lock().expect("health lock");
        let factor = state.factor(now);
        let (good, bad) = (state.good * factor, state.bad * factor);
        bad / (PRIOR_ANSWERS + good + bad)
    }

    /// Whether it failed lately, here or by another VM's word.
    ///
    /// One more failure of it then says little of the version of its software:
    /// four failures of one or two faulty upstreams would take back a good
    /// version that has answered 13 requests.
    pub fn is_suspect(&self, now: BootInstant) -> bool {
        self.failure_chance(now) >= SUSPECT_CHANCE
    }

    /// Takes in how an attempt of another VM of the data hall ended.
    pub fn hear(
        &self,
        verdict: AttemptOutcome,
        now: BootInstant,
    ) -> Option<HealthChange> {
        let mut state = self.0.lock().expect("health lock");
        state.fade(now);
        match verdict {
            AttemptOutcome::Success => {
                state.good += 1.0;
                return None;
            }
            AttemptOutcome::Failed | AttemptOutcome::Lost => {
                state.bad += TOLD_FAILURE
            }
            AttemptOutcome::Unreachable => state.bad += TOLD_UNREACHABLE,
        }
        let is_news = state.out_until.is_none_or(|until| now >= until);
        if !is_news || !state.fails() {
            return None;
        }
        state.out_until = Some(now + state.pause);
        Some(HealthChange::Unhealthy)
    }

    /// Takes in how an attempt ended.
    pub fn record(
        &self,
        verdict: AttemptOutcome,
        now: BootInstant,
    ) -> Option<HealthChange> {
        let mut state = self.0.lock().expect("health lock");
        state.fade(now);
        match verdict {
            AttemptOutcome::Success => state.record_good(now),
            AttemptOutcome::Failed | AttemptOutcome::Lost => {
                state.record_bad(now)
            }
            AttemptOutcome::Unreachable => {
                // One such failure says enough: the next request would wait
                // for it as well.
                state.in_a_row = UNFIT_IN_A_ROW;
                state.record_bad(now)
            }
        }
    }
}

impl State {
    /// What is left of the weight of earlier evidence.
    fn factor(&self, now: BootInstant) -> f64 {
        let passed = now.saturating_duration_since(self.weighed_at);
        0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Whether a part of the attempts fails that is too large.
    fn fails(&self) -> bool {
        let share = self.bad / (self.good + self.bad);
        self.bad >= UNFIT_FAILURES && share >= UNFIT_SHARE
    }

    fn fade(&mut self, now: BootInstant) {
        let factor = self.factor(now);
        self.good *= factor;
        self.bad *= factor;
        self.weighed_at = now;
    }

    fn record_good(&mut self, now: BootInstant) -> Option<HealthChange> {
        self.good += 1.0;
        self.in_a_row = 0;
        let was_tried = self.out_until.is_some_and(|until| now >= until);
        if !was_tried {
            return None;
        }
        self.out_until = None;
        self.pause = PAUSE;
        self.bad = 0.0;
        Some(HealthChange::Healthy)
    }

    fn record_bad(&mut self, now: BootInstant) -> Option<HealthChange> {
        self.bad += 1.0;
        self.in_a_row += 1;
        if let Some(until) = self.out_until {
            if now >= until {
                self.pause = (self.pause * 2).min(PAUSE_MOST);
                self.out_until = Some(now + self.pause);
            }
            return None;
        }
        if !self.fails() && self.in_a_row < UNFIT_IN_A_ROW {
            return None;
        }
        self.out_until = Some(now + self.pause);
        Some(HealthChange::Unhealthy)
    }
}

#[cfg(test)]
mod tests;

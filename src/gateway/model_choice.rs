//! Which model a request is sent to: collects what the cascade's decisions
//! depend on.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    clock::BootInstant,
    gateway::{
        Gateway,
        forward::{Attempt, Job},
    },
    id::ModelId,
    placing::{
        cascade::{
            self, EscalationInput, NoEscalation,
            calibration::RatedAnswer,
            engine_pressure::EnginePressure,
            model_costs::ModelCosts,
            punctuality::Punctuality,
            rule::{
                CascadeRule, Delay, Escalation, FirstChoice, fits_in_sequence,
            },
        },
        pool::ServiceLoad,
    },
    store_sync::route::Route,
};

impl Gateway {
    /// Updates the gauges of what was learned of larger models; called before
    /// the metrics are rendered.
    pub(crate) fn update_doubt_gauges(&self) {
        let metrics = &self.metrics;
        let (percent, samples) =
            (&metrics.cascade_doubt_percent, &metrics.cascade_doubt_samples);
        percent.reset();
        samples.reset();
        let now = self.clock.now();
        let Some(table) = self.knowledge.table() else { return };
        let pairs: BTreeSet<(&ModelId, &ModelId)> =
            table.routes().flat_map(|route| model_pairs(route)).collect();
        for (smaller, larger) in pairs {
            for learned in
                self.calibration.learned_doubts(smaller, larger, now)
            {
                let from = learned.from_confidence.to_string();
                let labels = [smaller.as_str(), larger.as_str(), &from];
                let doubt_percent = (learned.doubt * 100.0).round() as i64;
                percent.with_label_values(&labels).set(doubt_percent);
                let count = learned.samples as i64;
                samples.with_label_values(&labels).set(count);
            }
        }
    }
}

/// Returns each model of a route with each larger one.
fn model_pairs(route: &Route) -> impl Iterator<Item = (&ModelId, &ModelId)> {
    let models = &route.models;
    models.iter().enumerate().flat_map(move |(index, smaller)| {
        models[index + 1..].iter().map(move |larger| (smaller, larger))
    })
}

impl Job {
    /// Returns the model to ask first.
    pub(crate) fn first_model(&self, now: BootInstant) -> Option<FirstChoice> {
        let model = cascade::first_model(&self.route)?;
        let smallest = Some(FirstChoice { model, nets: None });
        // Only streams are escalated, and only their prefills are timed.
        if !self.route.is_stream || self.route.models.len() < 2 {
            return smallest;
        }
        let tokens = self.request.prompt_tokens.unwrap_or(0);
        let times = &self.gateway.prefill_times;
        let may_escalate = self.route.may_escalate();
        // Most requests need no look at the load of all upstreams.
        if may_escalate && fits_in_sequence(&self.route, times, tokens) {
            return smallest;
        }
        let costs = self.model_costs();
        if may_escalate && costs.is_none() {
            return smallest;
        }
        let load = self.service_load(now);
        let Some(costs) = costs else {
            let waiting = load.least_prefill_backlog;
            let model =
                cascade::only_model(&self.route, times, tokens, waiting)?;
            return Some(FirstChoice { model, nets: None });
        };
        let rule = self.cascade_rule(costs, load, now);
        rule.first_model(load.least_prefill_backlog)
    }

    /// Decides whether a larger model is asked instead of passing on an answer
    /// that has just begun.
    pub(crate) fn escalation(
        &self,
        attempt: &Attempt,
        answer: &RatedAnswer,
    ) -> Escalation {
        let now = self.gateway.clock.now();
        let mut escalation = match self.model_costs() {
            Some(costs) => {
                let passed = now.saturating_duration_since(self.started_at);
                let waiting = attempt.prefill_before;
                let load = self.service_load(now);
                let rule = self.cascade_rule(costs, load, now);
                let delay = Delay { passed, waiting };
                let has_attempt = self.has_attempt_left();
                rule.escalation(answer, delay, has_attempt)
            }
            None => {
                let decision = self.escalation_by_threshold(attempt, answer);
                Escalation { best: None, decision }
            }
        };
        // The answer at hand is better than none: it is given up only if an
        // upstream can take the larger request.
        if escalation.decision.is_ok() && !self.has_upstream_for_retry(now) {
            escalation.decision = Err(NoEscalation::NoUpstream);
        }
        escalation
    }

    fn escalation_by_threshold(
        &self,
        attempt: &Attempt,
        answer: &RatedAnswer,
    ) -> Result<ModelId, NoEscalation> {
        let input = EscalationInput {
            route: &self.route,
            model: &answer.model,
            confidence: answer.confidence,
            started_at: self.started_at,
            has_attempt: self.has_attempt_left(),
            tokens: attempt.prompt_tokens,
        };
        let times = &self.gateway.prefill_times;
        let now = self.gateway.clock.now();
        cascade::escalation_target(&input, times, attempt.prefill_before, now)
    }

    fn model_costs(&self) -> Option<ModelCosts> {
        ModelCosts::of_request(
            &self.route,
            self.engine.as_deref()?,
            self.request.prompt_tokens.unwrap_or(0),
            self.request.expected_output_tokens(),
        )
    }

    fn cascade_rule(
        &self,
        costs: ModelCosts,
        load: ServiceLoad,
        now: BootInstant,
    ) -> CascadeRule<'_> {
        let gateway = &self.gateway;
        CascadeRule {
            route: &self.route,
            costs,
            // What a poor answer costs follows from what was asked, not from
            // how urgent its organisation is.
            poor_share: gateway.settings.poor_shares.of(self.route.priority),
            punctuality: Punctuality {
                target: self.route.latency_target,
                deadline: self.time_allowed(),
            },
            prompt_tokens: self.request.prompt_tokens.unwrap_or(0),
            pressure: EnginePressure::new(
                load.utilization,
                load.mean_prefill_backlog,
                self.route.latency_target,
            ),
            calibration: &gateway.calibration,
            times: &gateway.prefill_times,
            now,
        }
    }

    /// Returns the time from the arrival of the request to its deadline.
    fn time_allowed(&self) -> Duration {
        self.deadline.saturating_duration_since(self.started_at)
    }
}

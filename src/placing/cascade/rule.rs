//! Which model answers, by gain, price, time and capacity.
//!
//! Addresses a mixed load on engines that are sometimes full: short urgent
//! answers are worth far more than a larger model costs, long prompts of least
//! urgent requests are not, and two models in sequence read a prompt of 12,000
//! tokens too late.

use std::time::Duration;

use crate::{
    clock::BootInstant,
    id::ModelId,
    placing::cascade::{
        NoEscalation, PrefillTimes,
        calibration::{Calibration, RatedAnswer, poor_after_prior},
        engine_pressure::EnginePressure,
        model_costs::ModelCosts,
        punctuality::Punctuality,
    },
    store_sync::route::Route,
    unit::Share,
};

/// What the decisions about one request depend on.
pub(crate) struct CascadeRule<'a> {
    /// The route of the request.
    pub(crate) route: &'a Route,
    /// What each model costs.
    pub(crate) costs: ModelCosts,
    /// The share of poor answers that its caller accepts; above zero.
    pub(crate) poor_share: Share,
    /// When its caller wants the answer.
    pub(crate) punctuality: Punctuality,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// How busy the engines are.
    pub(crate) pressure: EnginePressure,
    /// How often answers are expected to be poor.
    pub(crate) calibration: &'a Calibration,
    /// How long each model takes to read a prompt.
    pub(crate) times: &'a PrefillTimes,
    /// The present.
    pub(crate) now: BootInstant,
}

/// A larger model that could be asked.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Offer {
    /// The model.
    pub(crate) model: ModelId,
    /// The expected gain over the answer at hand, in the unit of costs.
    pub(crate) gain: f64,
    /// The price, increased while engines are busy, in the same unit.
    pub(crate) price: f64,
    /// The gain if the answer were in time.
    gain_in_time: f64,
    /// The price on unloaded engines.
    unloaded_price: f64,
}

impl Offer {
    /// Returns the gain less the price.
    fn net(&self) -> f64 {
        self.gain - self.price
    }
}

/// The model to ask first.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FirstChoice {
    /// The model.
    pub(crate) model: ModelId,
    /// The expected gains less price of this model and of the smallest one,
    /// in the unit of costs; `None` if they were not compared.
    pub(crate) nets: Option<(f64, f64)>,
}

/// The decision about an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Escalation {
    /// The larger model with the largest gain less price; `None` if there is
    /// no larger one.
    pub(crate) best: Option<Offer>,
    /// The model to ask instead, or why the answer is kept.
    pub(crate) decision: Result<ModelId, NoEscalation>,
}

/// Times from which the lateness of an answer follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delay {
    /// Time since the request has arrived.
    pub(crate) passed: Duration,
    /// Expected wait at an engine before a prefill.
    pub(crate) waiting: Duration,
}

impl CascadeRule<'_> {
    /// Decides whether a larger model is asked instead of passing on an
    /// answer.
    pub(crate) fn escalation(
        &self,
        answer: &RatedAnswer,
        delay: Delay,
        has_attempt: bool,
    ) -> Escalation {
        let models = &self.route.models;
        let index = models.iter().position(|model| *model == answer.model);
        let index = index.unwrap_or(models.len());
        let offers: Vec<Offer> = (index + 1..models.len())
            .map(|larger| self.offer(answer, index, larger, delay))
            .collect();
        let best = offers.iter().max_by(|a, b| a.net().total_cmp(&b.net()));
        let Some(best) = best else {
            let decision = Err(NoEscalation::Largest);
            return Escalation { best: None, decision };
        };
        let decision = match best.net() > 0.0 {
            true if has_attempt => Ok(best.model.clone()),
            true => Err(NoEscalation::NoAttempt),
            false => Err(reason_to_keep(&offers)),
        };
        Escalation { best: Some(best.clone()), decision }
    }

    /// Returns the model to ask first: the smallest, unless the smallest
    /// followed by the largest would miss the latency target and another one
    /// has a larger expected gain less price. Where no larger model may follow,
    /// it is the one with the largest expected gain less price.
    ///
    /// `waiting` is the expected wait at an engine. As long as the speed of a
    /// model that may follow is unknown, the smallest is asked.
    pub(crate) fn first_model(
        &self,
        waiting: Duration,
    ) -> Option<FirstChoice> {
        let models = &self.route.models;
        let smallest = models.first()?;
        if self.route.may_escalate()
            && fits_in_sequence(self.route, self.times, self.prompt_tokens)
        {
            return Some(FirstChoice { model: smallest.clone(), nets: None });
        }
        let smallest_net = self.net_of_first(0, waiting);
        let mut best = (smallest_net, smallest);
        for (index, model) in models.iter().enumerate().skip(1) {
            let net = self.net_of_first(index, waiting);
            if net > best.0 {
                best = (net, model);
            }
        }
        let nets = Some((best.0, smallest_net));
        Some(FirstChoice { model: best.1.clone(), nets })
    }

    /// Returns the offer of a larger model after an answer of the model
    /// `index`.
    fn offer(
        &self,
        answer: &RatedAnswer,
        index: usize,
        larger: usize,
        delay: Delay,
    ) -> Offer {
        let model = &self.route.models[larger];
        let rank = self.rank(index, larger);
        let poor = answer.poor_probability;
        let larger_poor =
            self.calibration.poor_after(answer, model, rank, self.now);
        let expected = delay.passed + delay.waiting + self.prefill(model);
        let kept = (1.0 - poor) * self.punctuality.worth(delay.passed);
        let larger_worth = self.punctuality.expected_worth(expected);
        let unloaded_price = self.costs.of_model(larger).total();
        Offer {
            model: model.clone(),
            gain: ((1.0 - larger_poor) * larger_worth - kept) * self.value(),
            gain_in_time: (poor - larger_poor) * self.value(),
            price: self.price(larger),
            unloaded_price,
        }
    }

    /// Returns the expected value of an answer less its price if a model is
    /// asked first and, where that may be and is expected to pay, one larger
    /// model after it.
    fn net_of_first(&self, index: usize, waiting: Duration) -> f64 {
        let models = &self.route.models;
        let rank = self.rank(0, index);
        let poor =
            self.calibration.poor_at_first(&models[index], rank, self.now);
        let arrival = waiting + self.prefill(&models[index]);
        let worth = self.punctuality.expected_worth(arrival);

        let kept = (1.0 - poor) * worth;
        let net = kept * self.value() - self.price(index);
        if !self.route.may_escalate() {
            return net;
        }
        // What was learned by the confidence of a smaller model does not apply
        // here: that confidence is not known yet, and only requests with a low
        // one have been answered by the larger model too.
        let next = (index + 1..models.len()).map(|larger| {
            let larger_poor = poor_after_prior(poor, self.rank(index, larger));
            let arrival = arrival + waiting + self.prefill(&models[larger]);
            let worth = self.punctuality.expected_worth(arrival);
            ((1.0 - larger_poor) * worth - kept) * self.value()
                - self.price(larger)
        });
        net + next.fold(0.0, f64::max)
    }

    /// Returns the price of asking a model at the present load.
    fn price(&self, index: usize) -> f64 {
        let cost = self.costs.of_model(index);
        self.pressure.price(cost.prompt, cost.output)
    }

    /// Returns the value of a good answer, in the unit of costs.
    fn value(&self) -> f64 {
        self.costs.of_largest() / self.poor_share.value()
    }

    /// Returns where a model is between the model `from`, 0, and the largest,
    /// 1.
    fn rank(&self, from: usize, index: usize) -> f64 {
        let steps = (self.route.models.len() - 1).saturating_sub(from);
        (index - from) as f64 / steps.max(1) as f64
    }

    fn prefill(&self, model: &ModelId) -> Duration {
        self.times.expected(Some(model), self.prompt_tokens)
    }
}

/// Whether the smallest model followed by the largest is expected to read a
/// prompt within the latency target, or nothing else is known.
///
/// The wait at the engines does not count: while requests wait, larger models
/// would make them wait longer.
pub(crate) fn fits_in_sequence(
    route: &Route,
    times: &PrefillTimes,
    prompt_tokens: u64,
) -> bool {
    let models = &route.models;
    let ends = models.first().into_iter().chain(models.last());
    let both = ends.map(|model| times.expected(Some(model), prompt_tokens));
    both.sum::<Duration>() <= route.latency_target
        || !models.iter().all(|model| times.is_learned(model))
}

/// Returns why an answer is kept although larger models could be asked.
fn reason_to_keep(offers: &[Offer]) -> NoEscalation {
    if offers.iter().all(|offer| offer.gain_in_time <= 0.0) {
        return NoEscalation::Confident;
    }
    if offers.iter().any(|offer| offer.gain > offer.unloaded_price) {
        return NoEscalation::Room;
    }
    if offers.iter().any(|offer| offer.gain_in_time > offer.unloaded_price) {
        return NoEscalation::NoTime;
    }
    NoEscalation::Price
}

#[cfg(test)]
mod tests;

//! What asking each model of a route costs for one request.

use crate::store_sync::{engine::Engine, route::Route};

/// Generated tokens that are assumed for a request whose size is unknown.
/// Gain and price are proportional to the size, so the choice is the same for
/// any number.
const UNKNOWN_SIZE_TOKENS: f64 = 1000.0;

/// Generated tokens that are assumed for a request that states a prompt alone.
const UNKNOWN_OUTPUT_TOKENS: f64 = 256.0;

/// The cost of one request at each model of its route, in the operators'
/// unit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModelCosts {
    /// In the order of the route's models; at least one.
    costs: Vec<ModelCost>,
}

/// The cost of one request at one model, in the operators' unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ModelCost {
    /// For reading its prompt.
    pub(crate) prompt: f64,
    /// For generating its output.
    pub(crate) output: f64,
}

impl ModelCost {
    /// Returns the sum of both.
    pub(crate) fn total(self) -> f64 {
        self.prompt + self.output
    }
}

impl ModelCosts {
    /// Computes the costs of a request that reads and generates this many
    /// tokens.
    ///
    /// Returns `None` unless the configuration states a cost above zero for
    /// every model of the route: a cost that is not stated is read as zero,
    /// and such a model would be asked for every doubt.
    pub(crate) fn of_request(
        route: &Route,
        engine: &Engine,
        prompt_tokens: u64,
        output_tokens: u64,
    ) -> Option<ModelCosts> {
        let (prompt, mut output) =
            (prompt_tokens as f64, output_tokens as f64);
        if output_tokens == 0 {
            output = match prompt_tokens {
                0 => UNKNOWN_SIZE_TOKENS,
                _ => UNKNOWN_OUTPUT_TOKENS,
            };
        }
        let costs = route.models.iter().map(|model| {
            let cost = engine.model_cost(model)?;
            Some(ModelCost {
                prompt: cost.of_request(prompt, 0.0),
                output: cost.of_request(0.0, output),
            })
        });
        let costs: Vec<ModelCost> = costs.collect::<Option<_>>()?;
        let is_priced = costs.iter().all(|cost| cost.total() > 0.0);
        (is_priced && !costs.is_empty()).then_some(ModelCosts { costs })
    }

    /// Returns the cost at the model with this index in the route.
    pub(crate) fn of_model(&self, index: usize) -> ModelCost {
        self.costs[index]
    }

    /// Returns the cost at the largest model.
    pub(crate) fn of_largest(&self) -> f64 {
        self.costs[self.costs.len() - 1].total()
    }
}

#[cfg(test)]
mod tests;

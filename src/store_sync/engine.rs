//! The inference engine of a service, as operators configure it.

use crate::{id::ModelId, unit::TokenCost};

/// What every upstream of a service offers to the models that it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// How many requests it processes in one batch; `None` if it is not
    /// stated.
    pub slots: Option<u32>,
    /// The tokens that its memory holds, for running requests and cached
    /// prompts together; `None` if it is not stated.
    pub memory_tokens: Option<u64>,
    /// The models that it runs.
    pub models: Vec<EngineModel>,
}

impl Engine {
    /// Returns the cost of a model; `None` if the configuration states none.
    pub fn model_cost(&self, model: &ModelId) -> Option<TokenCost> {
        let found = self.models.iter().find(|known| known.id == *model);
        found.map(|model| model.cost)
    }
}

/// A model that an engine runs.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Its name.
    pub id: ModelId,
    /// What its tokens cost.
    pub cost: TokenCost,
}

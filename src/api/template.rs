//! Templates and versions: what operators state, checked when it is put.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    id::{ModelId, OrganisationId, ServiceId, VersionId},
    secret::KeyHash,
    unit::{MicroCost, Share},
};

/// The most bearer keys of one organisation.
pub const KEY_LIMIT: usize = 16;

/// The most models or services of one template.
pub const RULE_LIMIT: usize = 64;

/// The most stages of a roll-out.
pub const STAGE_LIMIT: usize = 16;

/// How urgent a request is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// The answer may take hours.
    Batch,
}

impl Priority {
    /// Every priority, most urgent first.
    pub const ALL: [Priority; 2] = [Priority::Interactive, Priority::Batch];

    /// The word used in headers and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Interactive => "interactive",
            Priority::Batch => "batch",
        }
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Priority {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Priority::ALL
            .into_iter()
            .find(|priority| priority.as_str() == text)
            .ok_or_else(|| {
                invalid(format!("`{text}` is neither interactive nor batch"))
            })
    }
}

/// A model that an organisation may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// The model.
    pub model: ModelId,
    /// The versions allowed; none named means every version.
    #[serde(default)]
    pub versions: Vec<VersionId>,
    /// Whether a request to this model may be sent more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

/// A plain service that an organisation may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// The service.
    pub service: ServiceId,
    /// Whether a call other than GET or HEAD may be sent more than once.
    pub repeatable: bool,
    /// The price of one call.
    #[serde(default)]
    pub call_price_micro: MicroCost,
}

/// What one organisation may use, at which quality and price.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Hashes of its bearer keys.
    pub key_hashes: Vec<KeyHash>,
    /// The models it may use.
    #[serde(default)]
    pub models: Vec<ModelRule>,
    /// The plain services it may use.
    #[serde(default)]
    pub services: Vec<ServiceRule>,
    /// The least rating that an answer should reach.
    #[serde(default = "default_quality")]
    pub quality_target: Share,
    /// The most that one request may be expected to cost.
    #[serde(default = "no_cost_limit")]
    pub request_price_limit_micro: MicroCost,
    /// The most that an hour may cost.
    #[serde(default = "no_cost_limit")]
    pub hour_price_limit_micro: MicroCost,
    /// Requests a second, over the whole fleet.
    #[serde(default = "default_rate")]
    pub rate_per_s: f64,
    /// Requests at once, over the whole fleet.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Its share of a full queue, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The priority of requests that name none.
    #[serde(default)]
    pub default_priority: Priority,
    /// Share of its sessions on a version that is rolling out, by stage.
    #[serde(default = "default_stages")]
    pub rollout_stages: Vec<Share>,
}

fn yes() -> bool {
    true
}

fn default_quality() -> Share {
    Share::new(0.7).expect("constant")
}

fn no_cost_limit() -> MicroCost {
    MicroCost(u64::MAX)
}

fn default_rate() -> f64 {
    100.0
}

fn default_concurrency() -> u32 {
    256
}

fn default_weight() -> u32 {
    1
}

fn default_stages() -> Vec<Share> {
    [0.05, 0.25, 1.0]
        .into_iter()
        .map(|share| Share::new(share).expect("constant"))
        .collect()
}

fn invalid(reason: impl Into<String>) -> Error {
    Error::new(ErrorKind::InvalidInput).context(reason)
}

impl Template {
    /// Reads a template from JSON and checks it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] naming the first field that is wrong.
    pub fn from_json(bytes: &[u8]) -> Result<Template, Error> {
        let template: Template = serde_json::from_slice(bytes)
            .map_err(|error| invalid(error.to_string()))?;
        template.validate()?;
        Ok(template)
    }

    /// Checks what the types alone do not.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] naming the first field that is wrong.
    pub fn validate(&self) -> Result<(), Error> {
        if self.key_hashes.is_empty() || self.key_hashes.len() > KEY_LIMIT {
            return Err(invalid(format!(
                "key_hashes must hold 1 to {KEY_LIMIT} hashes"
            )));
        }
        if self.models.len() > RULE_LIMIT || self.services.len() > RULE_LIMIT {
            return Err(invalid(format!(
                "at most {RULE_LIMIT} models and services"
            )));
        }
        check_unique("models", self.models.iter().map(|r| &r.model))?;
        check_unique("services", self.services.iter().map(|r| &r.service))?;
        if !(self.rate_per_s > 0.0 && self.rate_per_s <= 1e6) {
            return Err(invalid("rate_per_s must be above 0, up to 1e6"));
        }
        if self.concurrency == 0 {
            return Err(invalid("concurrency must be at least 1"));
        }
        if !(1..=1000).contains(&self.weight) {
            return Err(invalid("weight must be 1 to 1000"));
        }
        self.check_stages()
    }

    fn check_stages(&self) -> Result<(), Error> {
        let stages = &self.rollout_stages;
        if stages.is_empty() || stages.len() > STAGE_LIMIT {
            return Err(invalid(format!(
                "rollout_stages must hold 1 to {STAGE_LIMIT} shares"
            )));
        }
        if stages.windows(2).any(|pair| pair[1] < pair[0]) {
            return Err(invalid("rollout_stages must not fall"));
        }
        Ok(())
    }

    /// The rule for a model, if the organisation may use it.
    pub fn model_rule(&self, model: &ModelId) -> Option<&ModelRule> {
        self.models.iter().find(|rule| rule.model == *model)
    }

    /// The rule for a service, if the organisation may use it.
    pub fn service_rule(&self, service: &ServiceId) -> Option<&ServiceRule> {
        self.services.iter().find(|rule| rule.service == *service)
    }

    /// The share of sessions on a version at `stage` of its roll-out.
    pub fn stage_share(&self, stage: u8) -> Share {
        let last = self.rollout_stages.len() - 1;
        self.rollout_stages[usize::from(stage).min(last)]
    }
}

impl ModelRule {
    /// Whether the rule allows a version.
    pub fn allows(&self, version: &VersionId) -> bool {
        self.versions.is_empty() || self.versions.contains(version)
    }
}

fn check_unique<'a, T: Ord + fmt::Display + 'a>(
    field: &str,
    names: impl Iterator<Item = &'a T>,
) -> Result<(), Error> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(invalid(format!("{field} names `{name}` twice")));
        }
    }
    Ok(())
}

/// Where a version stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Takes a share of new sessions, by stage.
    RollingOut {
        /// The stage, from 0.
        stage: u8,
    },
    /// Takes new sessions.
    Serving,
    /// Takes the requests of its sessions and no new session.
    Draining,
    /// Takes nothing.
    Withdrawn,
}

impl VersionState {
    /// Whether a request of a session on this version may run.
    pub fn serves_existing_sessions(self) -> bool {
        self != VersionState::Withdrawn
    }
}

impl fmt::Display for VersionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VersionState::RollingOut { stage } => {
                write!(f, "rolling out, stage {stage}")
            }
            VersionState::Serving => f.write_str("serving"),
            VersionState::Draining => f.write_str("draining"),
            VersionState::Withdrawn => f.write_str("withdrawn"),
        }
    }
}

/// One version of a model: its state, its prices, what is expected of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionEntry {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Where it stands.
    pub state: VersionState,
    /// Price of a thousand tokens read.
    pub input_price_micro_per_1k: MicroCost,
    /// Price of a thousand tokens written.
    pub output_price_micro_per_1k: MicroCost,
    /// Chance that an answer meets a usual target, before any rating.
    #[serde(default = "default_quality")]
    pub prior_quality: Share,
}

impl VersionEntry {
    /// Reads an entry from JSON.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] naming the field that is wrong.
    pub fn from_json(bytes: &[u8]) -> Result<VersionEntry, Error> {
        serde_json::from_slice(bytes)
            .map_err(|error| invalid(error.to_string()))
    }

    /// The price of a request of these sizes.
    pub fn price(&self, input_tokens: u64, output_tokens: u64) -> MicroCost {
        let input = self.input_price_micro_per_1k.0 * input_tokens;
        let output = self.output_price_micro_per_1k.0 * output_tokens;
        MicroCost((input + output).div_ceil(1000))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn template() -> Template {
        let text = format!(
            r#"{{"organisation":"desk","key_hashes":["{}"],
                "models":[{{"model":"large","versions":["v1"]}}]}}"#,
            KeyHash::of("k")
        );
        Template::from_json(text.as_bytes()).unwrap()
    }

    #[test]
    fn defaults_fill_a_short_template() {
        let template = template();
        assert_eq!(template.concurrency, 256);
        let rule = template.model_rule(&"large".parse().unwrap()).unwrap();
        assert!(rule.repeatable);
        assert!(rule.allows(&"v1".parse().unwrap()));
        assert!(!rule.allows(&"v2".parse().unwrap()));
    }

    #[test]
    fn wrong_templates_are_refused() {
        let mut doubled = template();
        doubled.models.push(doubled.models[0].clone());
        assert!(doubled.validate().is_err());
        let mut falling = template();
        falling.rollout_stages.reverse();
        assert!(falling.validate().is_err());
        let mut rateless = template();
        rateless.rate_per_s = f64::NAN;
        assert!(rateless.validate().is_err());
        let unknown = br#"{"organisation":"desk","colour":1}"#;
        assert!(Template::from_json(unknown).is_err());
    }

    #[test]
    fn the_last_stage_holds_for_later_ones() {
        assert_eq!(template().stage_share(200), Share::ONE);
    }
}

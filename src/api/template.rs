//! Templates of organisations and entries of model versions, as operators
//! write them; they are validated before they are stored.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    id::{ModelId, OrganisationId, ServiceId, VersionId},
    secret::KeyHash,
    unit::{MicroCost, Share},
};

/// The maximum number of bearer keys of an organisation.
pub const MAX_KEYS: usize = 16;

/// The maximum number of models, and of services, in a template.
pub const MAX_RULES: usize = 64;

/// The maximum number of stages of a rollout.
pub const MAX_STAGES: usize = 16;

/// The priority of a request.
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
    /// A user waits for the answer.
    #[default]
    Interactive,
    /// The answer may take hours.
    Batch,
}

impl Priority {
    /// All priorities, the highest first.
    pub const ALL: [Priority; 2] = [Priority::Interactive, Priority::Batch];

    /// Returns the name used in headers and metric labels.
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

/// Permission to use a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// The model.
    pub model: ModelId,
    /// The allowed versions; if empty, all versions are allowed.
    #[serde(default)]
    pub versions: Vec<VersionId>,
    /// Whether a request to this model is idempotent, so that it may be sent
    /// more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

/// Permission to use a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// The service.
    pub service: ServiceId,
    /// Whether a call other than GET or HEAD is idempotent, so that it may be
    /// sent more than once.
    pub repeatable: bool,
    /// The price of one call.
    #[serde(default)]
    pub call_price_micro: MicroCost,
}

/// The configuration of one organisation: its keys, the models and services
/// that it may use, its quality target and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Hashes of its bearer keys.
    pub key_hashes: Vec<KeyHash>,
    /// The models that it may use.
    #[serde(default)]
    pub models: Vec<ModelRule>,
    /// The plain services that it may use.
    #[serde(default)]
    pub services: Vec<ServiceRule>,
    /// The rating that an answer should reach at least.
    #[serde(default = "default_quality")]
    pub quality_target: Share,
    /// The upper limit of the expected cost of one request, in millionths of
    /// a currency unit.
    #[serde(default = "no_cost_limit")]
    pub request_price_limit_micro: MicroCost,
    /// The upper limit of the cost per hour, in millionths of a currency
    /// unit.
    #[serde(default = "no_cost_limit")]
    pub hour_price_limit_micro: MicroCost,
    /// The rate limit over the whole fleet, in requests per second.
    #[serde(default = "default_rate")]
    pub rate_per_s: f64,
    /// The limit of concurrent requests over the whole fleet.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Its weight in the fair queue, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The priority of requests that do not set one.
    #[serde(default)]
    pub default_priority: Priority,
    /// The share of new sessions that go to a version in rollout, by stage.
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
    /// Parses a template from JSON and validates it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] with the first invalid field.
    pub fn from_json(bytes: &[u8]) -> Result<Template, Error> {
        let template: Template = serde_json::from_slice(bytes)
            .map_err(|error| invalid(error.to_string()))?;
        template.validate()?;
        Ok(template)
    }

    /// Validates the rules that the types do not enforce.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] with the first invalid field.
    pub fn validate(&self) -> Result<(), Error> {
        if self.key_hashes.is_empty() || self.key_hashes.len() > MAX_KEYS {
            return Err(invalid(format!(
                "key_hashes must hold 1 to {MAX_KEYS} hashes"
            )));
        }
        if self.models.len() > MAX_RULES || self.services.len() > MAX_RULES {
            return Err(invalid(format!(
                "models and services may have at most {MAX_RULES} entries each"
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
        self.validate_stages()
    }

    fn validate_stages(&self) -> Result<(), Error> {
        let stages = &self.rollout_stages;
        if stages.is_empty() || stages.len() > MAX_STAGES {
            return Err(invalid(format!(
                "rollout_stages must hold 1 to {MAX_STAGES} shares"
            )));
        }
        if stages.windows(2).any(|pair| pair[1] < pair[0]) {
            return Err(invalid("rollout_stages must not decrease"));
        }
        Ok(())
    }

    /// Returns the rule for a model, if the organisation may use it.
    pub fn model_rule(&self, model: &ModelId) -> Option<&ModelRule> {
        self.models.iter().find(|rule| rule.model == *model)
    }

    /// Returns the rule for a service, if the organisation may use it.
    pub fn service_rule(&self, service: &ServiceId) -> Option<&ServiceRule> {
        self.services.iter().find(|rule| rule.service == *service)
    }

    /// Returns the share of new sessions for a version at `stage` of its
    /// rollout; stages past the last one use the last share.
    pub fn stage_share(&self, stage: u8) -> Share {
        let last = self.rollout_stages.len() - 1;
        self.rollout_stages[usize::from(stage).min(last)]
    }
}

impl ModelRule {
    /// Returns whether the rule allows a version.
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
            return Err(invalid(format!("{field} lists `{name}` twice")));
        }
    }
    Ok(())
}

/// The lifecycle state of a model version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Gets a share of new sessions that depends on the stage.
    RollingOut {
        /// The stage, from 0.
        stage: u8,
    },
    /// Gets new sessions.
    Serving,
    /// Gets requests of existing sessions, but no new session.
    Draining,
    /// Gets no requests.
    Withdrawn,
}

impl VersionState {
    /// Returns whether requests of existing sessions may run on the version.
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

/// The configuration of a model version: its state, prices and expected
/// quality.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionEntry {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Its lifecycle state.
    pub state: VersionState,
    /// The price of 1000 input tokens, in millionths of a currency unit.
    pub input_price_micro_per_1k: MicroCost,
    /// The price of 1000 output tokens, in millionths of a currency unit.
    pub output_price_micro_per_1k: MicroCost,
    /// The prior probability that an answer meets the quality target.
    #[serde(default = "default_quality")]
    pub prior_quality: Share,
}

impl VersionEntry {
    /// Parses an entry from JSON.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] with the invalid field.
    pub fn from_json(bytes: &[u8]) -> Result<VersionEntry, Error> {
        serde_json::from_slice(bytes)
            .map_err(|error| invalid(error.to_string()))
    }

    /// Returns the price of a request with these token counts, rounded up.
    pub fn price(&self, input_tokens: u64, output_tokens: u64) -> MicroCost {
        let part = |price: MicroCost, tokens| price.0.saturating_mul(tokens);
        let input = part(self.input_price_micro_per_1k, input_tokens);
        let output = part(self.output_price_micro_per_1k, output_tokens);
        MicroCost(input.saturating_add(output).div_ceil(1000))
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
    fn omitted_fields_take_their_defaults() {
        let template = template();
        assert_eq!(template.concurrency, 256);
        let rule = template.model_rule(&"large".parse().unwrap()).unwrap();
        assert!(rule.repeatable);
        assert!(rule.allows(&"v1".parse().unwrap()));
        assert!(!rule.allows(&"v2".parse().unwrap()));
    }

    #[test]
    fn invalid_templates_are_rejected() {
        let mut duplicated = template();
        duplicated.models.push(duplicated.models[0].clone());
        assert!(duplicated.validate().is_err());
        let mut decreasing = template();
        decreasing.rollout_stages.reverse();
        assert!(decreasing.validate().is_err());
        let mut without_rate = template();
        without_rate.rate_per_s = f64::NAN;
        assert!(without_rate.validate().is_err());
        let unknown = br#"{"organisation":"desk","colour":1}"#;
        assert!(Template::from_json(unknown).is_err());
    }

    #[test]
    fn stages_past_the_last_use_its_share() {
        assert_eq!(template().stage_share(200), Share::ONE);
    }

    #[test]
    fn prices_of_too_many_tokens_do_not_overflow() {
        let text = r#"{"model":"m","version":"v1","state":"serving",
            "input_price_micro_per_1k":3,"output_price_micro_per_1k":5,
            "prior_quality":0.5}"#;
        let entry = VersionEntry::from_json(text.as_bytes()).unwrap();
        let most = MicroCost(u64::MAX.div_ceil(1000));
        assert_eq!(entry.price(1, u64::MAX), most);
        assert_eq!(entry.price(u64::MAX, 1), most);
        assert_eq!(entry.price(u64::MAX, u64::MAX), most);
        assert!(entry.price(u64::MAX / 5, u64::MAX / 5) <= most);
    }
}

//! Builders of the templates and versions that tests configure.

use lupinseam::secret::KeyHash;
use serde_json::{Value, json};

/// Returns the template of an organisation, with the default limits of the
/// tests. Each service comes with whether its calls may be repeated.
pub fn template(
    organisation: &str,
    models: &[&str],
    services: &[(&str, bool)],
) -> Value {
    let models: Vec<Value> =
        models.iter().map(|model| json!({ "model": model })).collect();
    let services: Vec<Value> = services
        .iter()
        .map(|(service, repeatable)| {
            json!({
                "service": service,
                "repeatable": repeatable,
                "call_price_micro": 50,
            })
        })
        .collect();
    json!({
        "organisation": organisation,
        "key_hashes": [KeyHash::of(&bearer_key(organisation))],
        "models": models,
        "services": services,
        "quality_target": 0.7,
        "rate_per_s": 100_000.0,
        "concurrency": 100_000,
    })
}

/// Returns the bearer key of an organisation of the tests.
pub fn bearer_key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

/// Returns a model version. `price` is that of 1000 input tokens, in
/// millionths; output tokens cost three times as much.
pub fn version(
    model: &str,
    version: &str,
    state: Value,
    price: u64,
    prior: f64,
) -> Value {
    json!({
        "model": model,
        "version": version,
        "state": state,
        "input_price_micro_per_1k": price,
        "output_price_micro_per_1k": price * 3,
        "prior_quality": prior,
    })
}

//! Templates and versions as operators of the tests write them.

use lupinseam::secret::KeyHash;
use serde_json::{Value, json};

/// A template with usual limits, for organisations of the tests.
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

/// The bearer key of an organisation of the tests.
pub fn bearer_key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

/// A version with usual prices.
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

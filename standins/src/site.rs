//! The default site of the tests: two organisations, three models and plain
//! services.

use std::collections::HashSet;

use serde_json::json;

use crate::{
    check::Rules,
    documents::{template, version},
    fleet::{EnginePlan, Fleet, FleetPlan, ServicePlan},
    process::FleetResult,
    traffic::{ONCE_SERVICES, ORGANISATIONS, READ_SERVICE},
};

/// The models, with the `NAME:STRENGTH` of the versions that engines can load.
const MODELS: [(&str, &str); 3] = [
    ("tiny", "v1:0.35"),
    ("writer", "v1:0.62,v2:0.66"),
    ("scholar", "v1:0.92"),
];

/// Returns the fleet plan of the default site, with every model and service in
/// each of these data halls.
pub fn plan(halls: &[&str], vms_each: usize, seed: u64) -> FleetPlan {
    let mut plan =
        FleetPlan { seed, ..FleetPlan::default() }.with_vms(halls, vms_each);
    for hall in halls {
        for (model, versions) in MODELS {
            plan.engines.push(EnginePlan {
                name: format!("{model}-{hall}"),
                hall: (*hall).to_owned(),
                model: model.to_owned(),
                versions: versions.to_owned(),
                loaded: "v1".to_owned(),
                slots: 16,
                fenced: true,
                first_token_ms: 10,
                token_ms: 1,
            });
        }
        for service in services() {
            plan.services.push(ServicePlan {
                name: format!("{service}-{hall}"),
                service: service.to_owned(),
                hall: (*hall).to_owned(),
                latency_ms: 2,
            });
        }
    }
    plan
}

fn services() -> impl Iterator<Item = &'static str> {
    ONCE_SERVICES.into_iter().chain([READ_SERVICE])
}

/// Writes the templates and versions of the default site, and waits until all
/// VMs have the same revision.
///
/// # Errors
///
/// When a write is rejected, a VM cannot be reached or revisions still differ
/// at the time limit.
pub async fn configure(fleet: &Fleet) -> FleetResult<()> {
    let vm = fleet.plan.vms[0].0.clone();
    let serving = || json!("serving");
    let versions = [
        version("tiny", "v1", serving(), 100, 0.5),
        version("writer", "v1", serving(), 400, 0.8),
        version("scholar", "v1", serving(), 2000, 0.95),
    ];
    for entry in &versions {
        fleet.put_version(&vm, entry).await?;
    }
    let models = ["tiny", "writer", "scholar"];
    for (index, organisation) in ORGANISATIONS.into_iter().enumerate() {
        let services = [(ONCE_SERVICES[index], false), (READ_SERVICE, true)];
        let template = template(organisation, &models, &services);
        fleet.put_template(&vm, &template).await?;
    }
    fleet.wait_same_revision().await?;
    Ok(())
}

/// Returns the rules that the checks apply to the default site.
pub fn rules() -> Rules {
    let all: HashSet<String> =
        ["tiny@v1", "writer@v1", "writer@v2", "scholar@v1"]
            .map(str::to_owned)
            .into();
    Rules {
        allowed: ORGANISATIONS
            .map(|organisation| (organisation.to_owned(), all.clone()))
            .into(),
        once: ONCE_SERVICES.map(str::to_owned).into(),
        ..Rules::default()
    }
}

use super::*;
use crate::{
    chains::configuration::{Change, Edit},
    id::Revision,
    secret::KeyHash,
    unit::Share,
};

/// The models with the probability that an answer meets the target; each costs
/// ten times as much as the one before.
const MODELS: [(&str, f64); 3] =
    [("small", 0.6), ("middle", 0.8), ("large", 0.97)];

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    for (revision, (model, quality)) in (1..).zip(MODELS) {
        let price = MicroCost(10_u64.pow(revision as u32));
        let entry = VersionEntry {
            model: model.parse().unwrap(),
            version: "v1".parse().unwrap(),
            state: VersionState::Serving,
            input_price_micro_per_1k: price,
            output_price_micro_per_1k: price,
            prior_quality: Share::new(quality).unwrap(),
        };
        let change = Change {
            revision: Revision(revision),
            vm: "vm-1".parse().unwrap(),
            at_unix_ms: 0,
            reason: String::new(),
            edit: Edit::PutVersion(entry),
        };
        configuration = configuration.apply(&change).unwrap();
    }
    configuration
}

/// Returns the template of an organisation whose requests to one of the models
/// may run only once.
fn template(once: Option<&str>) -> Template {
    let models = MODELS.map(|(model, _)| {
        let repeatable = Some(model) != once;
        format!(r#"{{"model":"{model}","repeatable":{repeatable}}}"#)
    });
    let text = format!(
        r#"{{"organisation":"desk","key_hashes":["{}"],"models":[{}]}}"#,
        KeyHash::of("k"),
        models.join(",")
    );
    Template::from_json(text.as_bytes()).unwrap()
}

/// Returns the models of plans with many seeds, and whether the request may be
/// repeated.
fn plans(template: &Template) -> Vec<(Vec<String>, bool)> {
    let configuration = configuration();
    let request = RequestProperties {
        model: None,
        task: ShortHash::of("draft"),
        session: SessionUse::None,
        input_tokens: 1000,
        output_tokens: Some(1000),
        can_escalate: true,
    };
    let input = PlanInput {
        configuration: &configuration,
        is_fresh: true,
        template,
        tallies: &Tallies::new(ShortHash(1)),
        stopped: &HashSet::new(),
        has_upstream: &|_| true,
        now: BootInstant::now(),
    };
    let plan = |seed| {
        let planned = plan_runs(request.clone(), &input, seed);
        let (plan, repeatable) = planned.ok().unwrap();
        let steps = plan.steps.iter();
        let models = steps.map(|step| step.entry.model.to_string());
        (models.collect(), repeatable)
    };
    (0..200).map(plan).collect()
}

fn count(plans: &[(Vec<String>, bool)], models: &[&str]) -> usize {
    plans.iter().filter(|(planned, _)| planned == models).count()
}

/// Guards against the start of a cascade for a request that no second model
/// may answer, and against a second run of it.
#[test]
fn a_request_that_may_run_once_is_planned_for_a_sufficient_model() {
    // Some plans explore at random.
    const MOST: usize = 180;
    let repeatable = plans(&template(None));
    assert!(count(&repeatable, &["small", "middle", "large"]) > MOST);
    let once = plans(&template(Some("large")));
    assert!(count(&once, &["large"]) > MOST);
    for (models, repeatable) in once {
        assert!(models.len() == 1 || repeatable, "{models:?}");
    }
}

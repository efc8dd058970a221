use super::*;
use crate::store_sync::route::{Repeat, Target};

fn route() -> Route {
    Route {
        name: "write".to_owned(),
        host: "site.example".to_owned(),
        path_prefix: "/".to_owned(),
        repeat: Repeat::Any,
        is_stream: true,
        time_limit: Duration::from_secs(20),
        latency_target: Duration::from_secs(2),
        event_gap_target: None,
        priority: 0,
        attempts: 3,
        targets: vec![Target { service: "w".parse().unwrap(), weight: 1 }],
        models: ["small", "middle", "large"]
            .iter()
            .map(|name| name.parse().unwrap())
            .collect(),
        is_public: true,
    }
}

/// The decision about a response of the smallest model.
fn decide(
    confidence: u8,
    waiting: Duration,
    has_attempt: bool,
) -> Result<ModelId, NoEscalation> {
    let now = BootInstant::now();
    let input = EscalationInput {
        route: &route(),
        model: &"small".parse().unwrap(),
        confidence: Percent::new(confidence).unwrap(),
        started_at: now,
        has_attempt,
        tokens: 1000,
    };
    escalation_target(&input, &PrefillTimes::default(), waiting, now)
}

/// The highest confidence that is escalated if there is enough time.
const MAX_ESCALATED_CONFIDENCE: u8 = MIN_CONFIDENCE - 1;

#[test]
fn only_a_response_with_low_confidence_is_escalated() {
    let large = "large".parse().unwrap();
    assert_eq!(decide(10, Duration::ZERO, true), Ok(large));
    assert!(decide(MAX_ESCALATED_CONFIDENCE, Duration::ZERO, true).is_ok());
    let sure = decide(MIN_CONFIDENCE, Duration::ZERO, true);
    assert_eq!(sure, Err(NoEscalation::Confident));
    assert_eq!(decide(90, Duration::ZERO, true), Err(NoEscalation::Confident));
    assert_eq!(
        decide(10, Duration::ZERO, false),
        Err(NoEscalation::NoAttempt)
    );
}

#[test]
fn less_time_left_requires_a_lower_confidence_to_escalate() {
    let near = Duration::from_millis(1500);
    assert_eq!(
        decide(MAX_ESCALATED_CONFIDENCE, near, true),
        Err(NoEscalation::NoTime)
    );
    assert!(decide(5, near, true).is_ok());
    let gone = Duration::from_secs(2);
    assert_eq!(decide(0, gone, true), Err(NoEscalation::NoTime));
}

#[test]
fn a_response_of_the_largest_model_is_never_escalated() {
    let now = BootInstant::now();
    let input = EscalationInput {
        route: &route(),
        model: &"large".parse().unwrap(),
        confidence: Percent::new(0).unwrap(),
        started_at: now,
        has_attempt: true,
        tokens: 1000,
    };
    let times = PrefillTimes::default();
    let decision = escalation_target(&input, &times, Duration::ZERO, now);
    assert_eq!(decision, Err(NoEscalation::Largest));
}

#[test]
fn prefill_times_are_learned_and_short_prompts_are_ignored() {
    let times = PrefillTimes::default();
    let model = "large".parse().unwrap();
    for _ in 0..50 {
        times.record(&model, 10_000, Duration::from_millis(610));
        times.record(&model, 300, Duration::from_millis(300));
    }
    let expected = times.expected(Some(&model), 10_000).as_millis();
    assert!((600..1000).contains(&expected), "{expected} ms");
}

/// Guards against judging upstreams by the default time of a model that takes
/// ten times as long.
#[test]
fn a_prefill_time_is_known_after_some_prompts() {
    let times = PrefillTimes::default();
    let model: ModelId = "large".parse().unwrap();
    assert!(!times.is_learned(&model));
    times.record(&model, 2000, Duration::from_millis(300));
    assert!(!times.is_learned(&model));
    times.record(&model, 2000, Duration::from_millis(300));
    assert!(times.is_learned(&model));
}

/// Guards against the smallest model where no larger one may follow and nothing
/// is known of the costs, and against one that answers too late.
#[test]
fn without_costs_the_only_model_is_the_largest_in_time() {
    let times = PrefillTimes::default();
    let large = "large".parse().unwrap();
    // The largest model reads 10,000 tokens in 1.2 s, the target is 2 s.
    times.record(&large, 10_000, Duration::from_millis(1210));
    let only = |tokens, waiting_ms| {
        let waiting = Duration::from_millis(waiting_ms);
        only_model(&route(), &times, tokens, waiting).unwrap().to_string()
    };
    assert_eq!(only(1_000, 0), "large");
    assert_eq!(only(10_000, 0), "middle");
    assert_eq!(only(1_000, 950), "middle");
    assert_eq!(only(1_000, 1_000), "small");
}

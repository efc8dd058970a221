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

/// What is done about an answer of the smallest model.
fn decide(
    confidence: u8,
    waiting: Duration,
    has_attempt: bool,
) -> Result<ModelId, NoEscalation> {
    let now = BootInstant::now();
    let doubt = EscalationInput {
        route: &route(),
        model: &"small".parse().unwrap(),
        confidence: Percent::new(confidence).unwrap(),
        started_at: now,
        has_attempt,
        tokens: 1000,
    };
    escalation_target(&doubt, &PrefillTimes::default(), waiting, now)
}

/// The largest confidence at which another model is asked, given time.
const DOUBTFUL: u8 = ENOUGH_CONFIDENCE - 1;

#[test]
fn only_a_doubtful_answer_is_asked_again() {
    let large = "large".parse().unwrap();
    assert_eq!(decide(10, Duration::ZERO, true), Ok(large));
    assert!(decide(DOUBTFUL, Duration::ZERO, true).is_ok());
    let sure = decide(ENOUGH_CONFIDENCE, Duration::ZERO, true);
    assert_eq!(sure, Err(NoEscalation::Sure));
    assert_eq!(decide(90, Duration::ZERO, true), Err(NoEscalation::Sure));
    assert_eq!(
        decide(10, Duration::ZERO, false),
        Err(NoEscalation::NoAttempt)
    );
}

#[test]
fn the_less_time_is_left_the_more_doubtful_it_must_be() {
    let near = Duration::from_millis(1500);
    assert_eq!(decide(DOUBTFUL, near, true), Err(NoEscalation::NoTime));
    assert!(decide(5, near, true).is_ok());
    let gone = Duration::from_secs(2);
    assert_eq!(decide(0, gone, true), Err(NoEscalation::NoTime));
}

#[test]
fn the_largest_model_has_the_last_word() {
    let now = BootInstant::now();
    let doubt = EscalationInput {
        route: &route(),
        model: &"large".parse().unwrap(),
        confidence: Percent::new(0).unwrap(),
        started_at: now,
        has_attempt: true,
        tokens: 1000,
    };
    let times = PrefillTimes::default();
    let kept = escalation_target(&doubt, &times, Duration::ZERO, now);
    assert_eq!(kept, Err(NoEscalation::Largest));
}

#[test]
fn reading_times_are_learned_and_short_prompts_say_little() {
    let times = PrefillTimes::default();
    let model = "large".parse().unwrap();
    for _ in 0..50 {
        times.record(&model, 10_000, Duration::from_millis(610));
        times.record(&model, 300, Duration::from_millis(300));
    }
    let expected = times.expected(Some(&model), 10_000).as_millis();
    assert!((600..1000).contains(&expected), "{expected} ms");
}

use super::*;

#[test]
fn one_failure_says_nothing_and_three_in_a_row_do() {
    let now = BootInstant::now();
    let health = Health::new(now);
    assert_eq!(health.record(AttemptOutcome::Failed, now), None);
    assert_eq!(health.record(AttemptOutcome::Failed, now), None);
    assert!(health.is_healthy(now));
    assert_eq!(
        health.record(AttemptOutcome::Failed, now),
        Some(HealthChange::Unhealthy)
    );
    assert!(!health.is_healthy(now));
    assert!(health.is_healthy(now + PAUSE));
}

#[test]
fn a_connection_that_cannot_be_opened_says_enough() {
    let now = BootInstant::now();
    let health = Health::new(now);
    let change = health.record(AttemptOutcome::Unreachable, now);
    assert_eq!(change, Some(HealthChange::Unhealthy));
}

#[test]
fn failing_a_part_of_the_requests_is_noticed() {
    let now = BootInstant::now();
    let health = Health::new(now);
    let changes = (0..20).filter_map(|number| {
        let verdict = if number % 5 < 2 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Success
        };
        health.record(verdict, now)
    });
    assert!(changes.collect::<Vec<_>>().contains(&HealthChange::Unhealthy));
}

#[test]
fn an_answer_after_the_pause_brings_it_back() {
    let now = BootInstant::now();
    let health = Health::new(now);
    health.record(AttemptOutcome::Unreachable, now);
    // An answer from before the pause's end is old news.
    assert_eq!(health.record(AttemptOutcome::Success, now), None);
    assert!(!health.is_healthy(now));
    let later = now + PAUSE;
    let change = health.record(AttemptOutcome::Success, later);
    assert_eq!(change, Some(HealthChange::Healthy));
    assert!(health.is_healthy(later));
}

#[test]
fn failing_again_after_the_pause_doubles_it() {
    let now = BootInstant::now();
    let health = Health::new(now);
    health.record(AttemptOutcome::Unreachable, now);
    let later = now + PAUSE;
    health.record(AttemptOutcome::Unreachable, later);
    assert!(!health.is_healthy(later + PAUSE));
    assert!(health.is_healthy(later + PAUSE * 2));
}

#[test]
fn failures_told_by_others_count_less_and_end_likewise() {
    let now = BootInstant::now();
    let health = Health::new(now);
    assert_eq!(health.failure_chance(now), 0.0);
    for _ in 0..3 {
        assert_eq!(health.hear(AttemptOutcome::Lost, now), None);
    }
    let change = health.hear(AttemptOutcome::Lost, now);
    assert_eq!(change, Some(HealthChange::Unhealthy));
    assert!(!health.is_healthy(now));
    let later = now + HALF_LIFE * 10;
    assert!(health.is_healthy(later));
    assert!(health.failure_chance(later) < 0.01);
    // Answers that others tell of keep it fit.
    let answering = Health::new(now);
    for _ in 0..12 {
        answering.hear(AttemptOutcome::Success, now);
    }
    let changes =
        (0..5).filter_map(|_| answering.hear(AttemptOutcome::Lost, now));
    assert_eq!(changes.count(), 0);
    assert!(answering.is_healthy(now));
}

#[test]
fn two_that_cannot_connect_tell_enough() {
    let now = BootInstant::now();
    let health = Health::new(now);
    assert_eq!(health.hear(AttemptOutcome::Unreachable, now), None);
    let change = health.hear(AttemptOutcome::Unreachable, now);
    assert_eq!(change, Some(HealthChange::Unhealthy));
}

/// Twenty upstreams of a new version, one of them faulty: by its failures
/// alone the version would be taken back. Where the version is bad, each of
/// its upstreams fails for a first time.
#[test]
fn a_faulty_upstream_is_told_from_a_bad_version() {
    let now = BootInstant::now();
    let counted = |is_bad: fn(usize) -> bool| {
        let upstreams: Vec<Health> =
            (0..20).map(|_| Health::new(now)).collect();
        let mut counted = 0;
        for number in 0..40 {
            let at = if number < 6 { 0 } else { number % 20 };
            let health = &upstreams[at];
            if !is_bad(at) {
                health.record(AttemptOutcome::Success, now);
                continue;
            }
            counted += u32::from(!health.is_suspect(now));
            health.record(AttemptOutcome::Failed, now);
        }
        counted
    };
    assert_eq!(counted(|at| at == 0), 1);
    assert!(counted(|_| true) >= 4);
}

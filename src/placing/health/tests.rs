use super::*;

#[test]
fn three_consecutive_failures_eject_and_fewer_do_not() {
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
    assert!(health.is_healthy(now + BASE_EJECTION));
}

#[test]
fn one_connection_failure_ejects() {
    let now = BootInstant::now();
    let health = Health::new(now);
    let change = health.record(AttemptOutcome::Unreachable, now);
    assert_eq!(change, Some(HealthChange::Unhealthy));
}

#[test]
fn a_high_failure_ratio_ejects() {
    let now = BootInstant::now();
    let health = Health::new(now);
    let changes = (0..20).filter_map(|number| {
        let outcome = if number % 5 < 2 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Success
        };
        health.record(outcome, now)
    });
    assert!(changes.collect::<Vec<_>>().contains(&HealthChange::Unhealthy));
}

#[test]
fn a_success_after_the_ejection_restores() {
    let now = BootInstant::now();
    let health = Health::new(now);
    health.record(AttemptOutcome::Unreachable, now);
    // A response from before the end of the ejection does not count.
    assert_eq!(health.record(AttemptOutcome::Success, now), None);
    assert!(!health.is_healthy(now));
    let later = now + BASE_EJECTION;
    let change = health.record(AttemptOutcome::Success, later);
    assert_eq!(change, Some(HealthChange::Healthy));
    assert!(health.is_healthy(later));
}

#[test]
fn a_failure_after_the_ejection_doubles_it() {
    let now = BootInstant::now();
    let health = Health::new(now);
    health.record(AttemptOutcome::Unreachable, now);
    let later = now + BASE_EJECTION;
    health.record(AttemptOutcome::Unreachable, later);
    assert!(!health.is_healthy(later + BASE_EJECTION));
    assert!(health.is_healthy(later + BASE_EJECTION * 2));
}

#[test]
fn failures_reported_by_peers_weigh_less_and_decay() {
    let now = BootInstant::now();
    let health = Health::new(now);
    assert_eq!(health.failure_chance(now), 0.0);
    for _ in 0..3 {
        assert_eq!(health.record_from_peer(AttemptOutcome::Lost, now), None);
    }
    let change = health.record_from_peer(AttemptOutcome::Lost, now);
    assert_eq!(change, Some(HealthChange::Unhealthy));
    assert!(!health.is_healthy(now));
    let later = now + HALF_LIFE * 10;
    assert!(health.is_healthy(later));
    assert!(health.failure_chance(later) < 0.01);
    // Successes that other VMs report keep it healthy.
    let answering = Health::new(now);
    for _ in 0..12 {
        answering.record_from_peer(AttemptOutcome::Success, now);
    }
    let changes = (0..5)
        .filter_map(|_| answering.record_from_peer(AttemptOutcome::Lost, now));
    assert_eq!(changes.count(), 0);
    assert!(answering.is_healthy(now));
}

#[test]
fn two_connection_failures_reported_by_peers_eject() {
    let now = BootInstant::now();
    let health = Health::new(now);
    assert_eq!(
        health.record_from_peer(AttemptOutcome::Unreachable, now),
        None
    );
    let change = health.record_from_peer(AttemptOutcome::Unreachable, now);
    assert_eq!(change, Some(HealthChange::Unhealthy));
}

/// Twenty upstreams of a new version, one of them faulty: its failures alone
/// must not withdraw the version. If the version is faulty, each of its
/// upstreams fails for the first time, and these failures count.
#[test]
fn a_faulty_upstream_is_distinguished_from_a_faulty_version() {
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

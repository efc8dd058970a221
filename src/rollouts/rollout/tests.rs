use super::*;
use crate::{
    id::ServiceId,
    rollouts::{comparison::MIN_BAD_ANSWERS, registry::Rollouts},
};

/// Time for which a session goes on after its last request.
const SESSION_TIME: Duration = Duration::from_secs(5);

const ALLOWED: Duration = Duration::from_secs(20);

fn service() -> ServiceId {
    "writers".parse().unwrap()
}

fn version(name: &str) -> VersionId {
    name.parse().unwrap()
}

fn running(now: BootInstant) -> Rollouts {
    let rollouts = Rollouts::new(SESSION_TIME);
    let order = RolloutOrder { target: version("v2"), time_allowed: ALLOWED };
    assert!(rollouts.apply_order(service(), order, now));
    let status = RolloutStatus {
        target: version("v2"),
        progress: RolloutProgress::Running,
    };
    rollouts.set_status(&service(), &status);
    rollouts
}

/// The share of sessions that the new version gets at a time.
fn share(rollouts: &Rollouts, now: BootInstant) -> f64 {
    let new = (0..10_000).filter(|number| {
        let session = format!("session-{number}");
        let choice =
            rollouts.choose_version(&service(), Some(&session), "r", now);
        choice.rule == VersionRule::Prefer(version("v2"))
    });
    new.count() as f64 / 10_000.0
}

#[test]
fn a_new_version_gets_a_small_share_and_then_everything() {
    let now = BootInstant::now();
    let rollouts = running(now);
    assert_eq!(share(&rollouts, now), 0.0);
    let on_trial = share(&rollouts, now + ALLOWED / 4);
    assert!((0.06..0.1).contains(&on_trial), "{on_trial}");
    answer(&rollouts, CANARY_MIN_ANSWERS);
    rollouts.evaluate(now + ALLOWED / 4);
    let still = share(&rollouts, now + ALLOWED / 2);
    assert!((0.06..0.1).contains(&still), "{still}");
    rollouts.evaluate(now + ALLOWED.mul_f64(CANARY_MIN_PART));
    let part = share(&rollouts, now + ALLOWED.mul_f64(CANARY_MIN_PART + 0.01));
    assert!((0.3..0.5).contains(&part), "{part}");
    assert_eq!(share(&rollouts, now + ALLOWED.mul_f64(0.7)), 1.0);
}

/// Good answers of the new version.
fn answer(rollouts: &Rollouts, count: u32) {
    let new = version("v2");
    for _ in 0..count {
        let verdict = AttemptOutcome::Success;
        rollouts.record_answer(&service(), &new, "write", verdict, None);
    }
}

/// Few requests come: a version that hardly anybody has asked yet does not
/// rise by the time alone, but a good one is completed all the same.
#[test]
fn a_version_rises_once_enough_answers_have_shown_it() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let at = |part: f64| now + ALLOWED.mul_f64(part);
    answer(&rollouts, CANARY_MIN_ANSWERS - 1);
    rollouts.evaluate(at(0.7));
    let on_trial = share(&rollouts, at(0.7));
    assert!((0.06..0.1).contains(&on_trial), "{on_trial}");
    answer(&rollouts, 1);
    rollouts.evaluate(at(0.71));
    let moved = at(0.711 + PARTIAL_PART);
    assert_eq!(share(&rollouts, moved), 1.0);
    // A VM that has seen less goes by what the first one found.
    let other = running(now);
    other.merge_evidence("vm-2", &rollouts.evidence(|_, _| 0, moved), moved);
    assert_eq!(share(&other, moved), 1.0);

    let unasked = running(now);
    unasked.evaluate(at(CANARY_MAX_PART - 0.01));
    let on_trial = share(&unasked, at(CANARY_MAX_PART - 0.01));
    assert!((0.06..0.1).contains(&on_trial), "{on_trial}");
    unasked.evaluate(at(CANARY_MAX_PART));
    assert_eq!(
        share(&unasked, at(CANARY_MAX_PART + 0.001 + PARTIAL_PART)),
        1.0
    );
    let due =
        unasked.pending_statuses(true, |_, _| 0, &[], at(COMPLETE_AT_PART));
    assert_eq!(due[0].status.progress, RolloutProgress::Completed);
}

#[test]
fn a_session_keeps_its_version_through_the_trial() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let at = now + ALLOWED / 4;
    for number in 0..1000 {
        let session = format!("session-{number}");
        let old = version("v1");
        rollouts.begin_session(&service(), &session, &old, at);
        rollouts.end_session(&service(), &session, at);
        let later = at + Duration::from_secs(4);
        let rule = rollouts
            .choose_version(&service(), Some(&session), "r", later)
            .rule;
        assert_eq!(rule, VersionRule::Avoid(version("v2")));
    }
}

#[test]
fn a_session_that_began_before_the_order_on_another_vm_stays() {
    let now = BootInstant::now();
    let here = Rollouts::new(SESSION_TIME);
    let there = Rollouts::new(SESSION_TIME);
    let old = version("v1");
    let names: Vec<String> =
        (0..500).map(|number| format!("session-{number}")).collect();
    for name in &names {
        there.begin_session(&service(), name, &old, now);
        there.end_session(&service(), name, now);
    }
    let order = RolloutOrder { target: version("v2"), time_allowed: ALLOWED };
    for rollouts in [&here, &there] {
        rollouts.apply_order(service(), order.clone(), now);
    }
    let told = there.evidence(|_, _| 0, now);
    here.merge_evidence("vm-2", &told, now);
    let at = now + Duration::from_secs(3);
    for name in &names {
        let rule = here.choose_version(&service(), Some(name), "r", at).rule;
        assert_eq!(rule, VersionRule::Avoid(version("v2")), "{name}");
    }
}

#[test]
fn a_version_is_stopped_by_the_evidence_of_all_vms() {
    let now = BootInstant::now();
    let here = running(now);
    let there = running(now);
    for rollouts in [&here, &there] {
        for _ in 0..40 {
            let old = version("v1");
            rollouts.record_answer(
                &service(),
                &old,
                "a",
                AttemptOutcome::Success,
                None,
            );
        }
        for _ in 0..2 {
            let new = version("v2");
            rollouts.record_answer(
                &service(),
                &new,
                "a",
                AttemptOutcome::Failed,
                None,
            );
        }
    }
    assert_eq!(here.evaluate(now), []);
    here.merge_evidence("vm-2", &there.evidence(|_, _| 0, now), now);
    assert_eq!(here.evaluate(now).len(), 1);
    let at = now + ALLOWED / 4;
    let rule = here.choose_version(&service(), None, "r", at).rule;
    assert_eq!(rule, VersionRule::Never(version("v2")));
    let due = here.pending_statuses(true, |_, _| 0, &[], now);
    assert_eq!(due[0].status.progress, RolloutProgress::Reverted);
    // The other VM stops as soon as it hears of it.
    there.merge_evidence("vm-1", &here.evidence(|_, _| 0, now), now);
    let rule = there.choose_version(&service(), None, "r", at).rule;
    assert_eq!(rule, VersionRule::Never(version("v2")));
}

#[test]
fn lost_answers_speak_of_machines_until_there_are_many() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let record = |software: &str, verdict, count| {
        for _ in 0..count {
            let software = version(software);
            rollouts.record_answer(&service(), &software, "a", verdict, None);
        }
    };
    // A quarter of all machines is lost, and of the new version's three two.
    record("v1", AttemptOutcome::Success, 100);
    record("v1", AttemptOutcome::Lost, 30);
    record("v2", AttemptOutcome::Success, 2);
    record("v2", AttemptOutcome::Lost, 8);
    assert_eq!(rollouts.evaluate(now), []);
    // Only the new version goes on losing answers.
    record("v1", AttemptOutcome::Success, 300);
    record("v2", AttemptOutcome::Lost, 30);
    assert_eq!(rollouts.evaluate(now).len(), 1);
}

#[test]
fn others_record_a_stop_only_later() {
    let now = BootInstant::now();
    let rollouts = running(now);
    for _ in 0..MIN_BAD_ANSWERS {
        let new = version("v2");
        rollouts.record_answer(
            &service(),
            &new,
            "a",
            AttemptOutcome::Failed,
            None,
        );
    }
    assert_eq!(rollouts.evaluate(now).len(), 1);
    assert_eq!(rollouts.pending_statuses(false, |_, _| 0, &[], now), []);
    assert_eq!(rollouts.pending_statuses(true, |_, _| 0, &[], now).len(), 1);
    let later = now + FALLBACK_RECORD_DELAY;
    assert_eq!(
        rollouts.pending_statuses(false, |_, _| 0, &[], later).len(),
        1
    );
}

#[test]
fn failures_that_the_old_version_has_too_stop_nothing() {
    let now = BootInstant::now();
    let rollouts = running(now);
    for name in ["v1", "v2"] {
        for number in 0..100 {
            let verdict = match number % 5 {
                0 => AttemptOutcome::Failed,
                _ => AttemptOutcome::Success,
            };
            let version = version(name);
            rollouts.record_answer(&service(), &version, "a", verdict, None);
        }
    }
    assert_eq!(rollouts.evaluate(now), []);
}

#[test]
fn a_version_that_is_much_slower_on_one_route_is_stopped() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let record = |name: &str, route: &str, ms: u64| {
        let first_part = Some(Duration::from_millis(ms));
        let version = version(name);
        rollouts.record_answer(
            &service(),
            &version,
            route,
            AttemptOutcome::Success,
            first_part,
        );
    };
    for _ in 0..30 {
        record("v1", "a", 50);
        record("v1", "b", 50);
        record("v2", "a", 60);
    }
    for _ in 0..6 {
        record("v2", "b", 400);
    }
    assert_eq!(rollouts.evaluate(now).len(), 1);
}

/// Prompts differ in length, so a part of any version's answers takes far
/// longer than the mean. Such answers counted as bad for the new version only,
/// and a good one was stopped in one hall:
///
/// ```text
/// E084 RolloutStopped "4 of 19 answers bad on one route, 0 of 317 of the old
/// version"
/// ```
#[test]
fn a_good_version_whose_times_spread_as_the_old_ones_do_is_kept() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let record = |name: &str, number: u64| {
        let ms = if number.is_multiple_of(5) { 5000 } else { 50 };
        let first_part = Some(Duration::from_millis(ms));
        let (version, good) = (version(name), AttemptOutcome::Success);
        rollouts.record_answer(&service(), &version, "a", good, first_part);
    };
    for number in 0..317 {
        record("v1", number);
    }
    for number in 0..19 {
        record("v2", number);
    }
    assert_eq!(rollouts.evaluate(now), []);
}

#[test]
fn completed_waits_for_the_old_versions_last_requests() {
    let now = BootInstant::now();
    let rollouts = running(now);
    answer(&rollouts, CANARY_MIN_ANSWERS);
    rollouts.evaluate(now + ALLOWED.mul_f64(CANARY_MIN_PART));
    let at = now + ALLOWED.mul_f64(0.7);
    assert_eq!(rollouts.pending_statuses(true, |_, _| 1, &[], at), []);
    assert_eq!(rollouts.pending_statuses(false, |_, _| 0, &[], at), []);
    let due = rollouts.pending_statuses(true, |_, _| 0, &[], at);
    assert_eq!(due[0].status.progress, RolloutProgress::Completed);
    let late = now + ALLOWED.mul_f64(0.95);
    let due = rollouts.pending_statuses(true, |_, _| 1, &[], late);
    assert_eq!(due[0].status.progress, RolloutProgress::Completed);
}

#[test]
fn a_vm_that_was_restarted_learns_how_long_it_has_been() {
    let now = BootInstant::now();
    let old = running(now);
    answer(&old, CANARY_MIN_ANSWERS);
    old.evaluate(now + ALLOWED.mul_f64(CANARY_MIN_PART));
    let at = now + ALLOWED.mul_f64(0.7);
    let restarted = running(at);
    assert!(share(&restarted, at) < 0.2);
    restarted.merge_evidence("vm-2", &old.evidence(|_, _| 0, at), at);
    assert_eq!(share(&restarted, at), 1.0);
}

/// It starts in the middle of a trial, and is told by one VM how long that has
/// been on before it has heard of the sessions of all.
#[test]
fn a_vm_that_learns_of_a_trial_late_listens_first() {
    let now = BootInstant::now();
    let other = running(now);
    let at = now + ALLOWED / 4;
    let late = running(at);
    late.merge_evidence("vm-2", &other.evidence(|_, _| 0, at), at);
    assert_eq!(share(&late, at), 0.0);
    assert!(share(&late, at + SYNC_TIME) > 0.06);
}

#[test]
fn a_roll_out_that_has_ended_stays_ended() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let reverted = RolloutStatus {
        target: version("v2"),
        progress: RolloutProgress::Reverted,
    };
    rollouts.set_status(&service(), &reverted);
    assert!(!rollouts.any_running());
    assert_eq!(rollouts.pending_statuses(true, |_, _| 0, &[], now), []);
    let order = RolloutOrder { target: version("v2"), time_allowed: ALLOWED };
    assert!(!rollouts.apply_order(service(), order, now), "the same order");
    let order = RolloutOrder { target: version("v3"), time_allowed: ALLOWED };
    assert!(rollouts.apply_order(service(), order, now), "another order");
}

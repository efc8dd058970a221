use super::{version_choice::SYNC_DELAY, *};
use crate::{
    id::ServiceId,
    placing::pool::VersionRule,
    rollouts::{comparison::MIN_BAD_ANSWERS, registry::Rollouts},
};

/// Time after its last request for which a session lasts.
const SESSION_TIMEOUT: Duration = Duration::from_secs(5);

const ALLOWED: Duration = Duration::from_secs(20);

const LIMIT: ExposureLimit = ExposureLimit { share: 0.15, tolerance: 0.0 };

fn service() -> ServiceId {
    "writers".parse().unwrap()
}

fn version(name: &str) -> VersionId {
    name.parse().unwrap()
}

fn running(now: BootInstant) -> Rollouts {
    running_with(LIMIT, now)
}

fn running_with(limit: ExposureLimit, now: BootInstant) -> Rollouts {
    let rollouts = Rollouts::new(SESSION_TIMEOUT, limit);
    let order = RolloutOrder { target: version("v2"), time_allowed: ALLOWED };
    assert!(rollouts.apply_order(service(), order, now));
    let status = RolloutStatus {
        target: version("v2"),
        progress: RolloutProgress::Running,
    };
    rollouts.apply_status(&service(), &status);
    rollouts
}

/// Returns a time without a prompt.
fn time(ms: f64) -> Option<AnswerTime> {
    let waited = Duration::from_secs_f64(ms / 1000.0);
    Some(AnswerTime::of_service(waited))
}

/// Returns the share of sessions that the new version gets at `now`.
fn share(rollouts: &Rollouts, now: BootInstant) -> f64 {
    let new = (0..10_000).filter(|number| {
        let session = format!("session-{number}");
        let choice =
            rollouts.choose_version(&service(), "a", Some(&session), "r", now);
        matches!(choice.rule, VersionRule::Prefer(_))
    });
    new.count() as f64 / 10_000.0
}

/// Evaluates a rollout that began at `began_at` often between two parts of its
/// allowed time.
fn evaluate_between(
    rollouts: &Rollouts,
    began_at: BootInstant,
    [from, to]: [f64; 2],
) {
    const STEPS: u32 = 100;
    for step in 0..=STEPS {
        let part = from + (to - from) * f64::from(step) / f64::from(STEPS);
        rollouts.evaluate(began_at + ALLOWED.mul_f64(part));
    }
}

#[test]
fn a_new_version_gets_a_small_share_and_then_all_requests() {
    let now = BootInstant::now();
    let rollouts = running(now);
    assert_eq!(share(&rollouts, now), 0.0);
    let in_canary = share(&rollouts, now + ALLOWED / 4);
    assert!((0.06..0.1).contains(&in_canary), "{in_canary}");
    record(&rollouts, "v1", AttemptOutcome::Success, 600);
    record(&rollouts, "v2", AttemptOutcome::Success, MIN_MOVE_ANSWERS);
    for percent in 25..=92 {
        let part = f64::from(percent) / 100.0;
        let at = now + ALLOWED.mul_f64(part);
        rollouts.evaluate(at);
        let partial = share(&rollouts, at);
        assert!((0.06..0.1).contains(&partial), "{partial} at {part}");
    }
    let at = now + ALLOWED.mul_f64(0.95);
    rollouts.evaluate(at);
    assert_eq!(share(&rollouts, at), 1.0);
}

/// VMs see different numbers of requests, and more over time.
#[test]
fn the_number_of_requests_moves_no_session() {
    const LIMIT: ExposureLimit =
        ExposureLimit { share: 0.15, tolerance: 30.0 };
    let now = BootInstant::now();
    let at = now + ALLOWED / 4;
    let sessions = |requests: u32| -> Vec<bool> {
        let rollouts = running_with(LIMIT, now);
        record(&rollouts, "v1", AttemptOutcome::Success, requests);
        rollouts.evaluate(at);
        let is_new = |number| {
            let session = format!("session-{number}");
            let session = Some(session.as_str());
            let choice =
                rollouts.choose_version(&service(), "a", session, "r", at);
            matches!(choice.rule, VersionRule::Prefer(_))
        };
        (0..1000).map(is_new).collect()
    };
    let of_few = sessions(40);
    assert!(of_few.contains(&true));
    assert_eq!(of_few, sessions(400));
    assert_eq!(of_few, sessions(4000));
}

/// Another VM, which has sent less, may have sent a request of the session to
/// the new version.
#[test]
fn a_vm_that_has_sent_its_share_moves_no_session() {
    let now = BootInstant::now();
    let at = now + ALLOWED / 4;
    let counts = |new: u32| -> [usize; 2] {
        let rollouts = running(now);
        for _ in 0..100 {
            rollouts.record_sent(&service(), &version("v1"), "a");
        }
        for _ in 0..new {
            rollouts.record_sent(&service(), &version("v2"), "a");
        }
        [true, false].map(|has_session| {
            let is_new = |number: &u32| {
                let id = format!("id-{number}");
                let session = has_session.then_some(id.as_str());
                let choice =
                    rollouts.choose_version(&service(), "a", session, &id, at);
                matches!(choice.rule, VersionRule::Prefer(_))
            };
            (0..1000).filter(is_new).count()
        })
    };
    let [sessions, others] = counts(4);
    assert!(sessions > 50 && others > 50, "{sessions}, {others}");
    assert_eq!(counts(14), [sessions, 0]);
    // Beyond the operator's bound.
    assert_eq!(counts(20), [0, 0]);
}

/// The old version's upstreams stop when a rollout is completed.
#[test]
fn requests_that_would_outlast_the_rollout_go_to_a_proven_version() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let at = now + ALLOWED.mul_f64(0.8);
    for _ in 0..20 {
        let took = ALLOWED.mul_f64(0.2);
        rollouts.record_duration(&service(), "long", took);
        rollouts.record_duration(&service(), "a", ALLOWED.mul_f64(0.1));
    }
    let rule = |route: &str| {
        let request = "not in the canary";
        rollouts.choose_version(&service(), route, None, request, at).rule
    };
    record(&rollouts, "v1", AttemptOutcome::Success, 600);
    record(&rollouts, "v2", AttemptOutcome::Success, MIN_MOVE_ANSWERS - 1);
    rollouts.evaluate(at);
    assert_eq!(rule("long"), VersionRule::Avoid(version("v2")));
    record(&rollouts, "v2", AttemptOutcome::Success, 1);
    rollouts.evaluate(at);
    assert_eq!(rule("long"), VersionRule::Prefer(version("v2")));
    assert_eq!(rule("a"), VersionRule::Avoid(version("v2")));
}

/// Records the outcomes of attempts at a version on one route.
fn record(
    rollouts: &Rollouts,
    software: &str,
    outcome: AttemptOutcome,
    count: u32,
) {
    let software = version(software);
    for _ in 0..count {
        rollouts.record_sent(&service(), &software, "a");
        rollouts.record_answer(&service(), &software, "a", outcome, None);
    }
}

/// With few requests, a version must not get all of them by time alone, before
/// it has given enough answers; a good one must be completed all the same.
#[test]
fn the_canary_phase_ends_after_enough_answers_or_at_the_latest_time() {
    let now = BootInstant::now();
    let at = |part: f64| now + ALLOWED.mul_f64(part);
    let has_ended = |rollouts: &Rollouts, part: f64| {
        rollouts.evaluate(at(part));
        let evidence = rollouts.evidence(|_, _| 0, at(part));
        evidence[0].canary_ended_ms.is_some()
    };
    let rollouts = running(now);
    record(&rollouts, "v1", AttemptOutcome::Success, 600);
    record(&rollouts, "v2", AttemptOutcome::Success, MIN_CANARY_ANSWERS - 1);
    assert!(!has_ended(&rollouts, 0.7));
    record(&rollouts, "v2", AttemptOutcome::Success, 1);
    assert!(has_ended(&rollouts, 0.71));
    let missing = MIN_MOVE_ANSWERS - MIN_CANARY_ANSWERS;
    record(&rollouts, "v2", AttemptOutcome::Success, missing);
    evaluate_between(&rollouts, now, [0.72, 0.95]);
    assert_eq!(share(&rollouts, at(0.95)), 1.0);
    // A VM with fewer answers adopts the end that the first one found.
    let other = running(now);
    other.merge_evidence(
        "vm-2",
        &rollouts.evidence(|_, _| 0, at(0.95)),
        at(0.95),
    );
    other.evaluate(at(0.95));
    assert_eq!(share(&other, at(0.95)), 1.0);

    let idle = running(now);
    assert!(!has_ended(&idle, FEW_ANSWERS_PART - 0.01));
    let in_canary = share(&idle, at(FEW_ANSWERS_PART - 0.01));
    assert!((0.06..0.1).contains(&in_canary), "{in_canary}");
    assert!(has_ended(&idle, FEW_ANSWERS_PART));
    let early = at(COMPLETE_AT_PART - 0.005);
    let pending = idle.pending_statuses(true, |_, _| 0, &[], early);
    assert_eq!(pending, []);
    let late = at(COMPLETE_AT_PART + 0.005);
    let pending = idle.pending_statuses(true, |_, _| 0, &[], late);
    assert_eq!(pending[0].status.progress, RolloutProgress::Completed);
}

#[test]
fn a_session_keeps_its_version_during_the_canary_phase() {
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
            .choose_version(&service(), "a", Some(&session), "r", later)
            .rule;
        assert_eq!(rule, VersionRule::Avoid(version("v2")));
    }
}

#[test]
fn a_session_begun_on_another_vm_before_the_order_keeps_its_version() {
    let now = BootInstant::now();
    let here = Rollouts::new(SESSION_TIMEOUT, LIMIT);
    let there = Rollouts::new(SESSION_TIMEOUT, LIMIT);
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
    let evidence = there.evidence(|_, _| 0, now);
    here.merge_evidence("vm-2", &evidence, now);
    let at = now + Duration::from_secs(3);
    for name in &names {
        let rule =
            here.choose_version(&service(), "a", Some(name), "r", at).rule;
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
    let rule = here.choose_version(&service(), "a", None, "r", at).rule;
    assert_eq!(rule, VersionRule::Never(version("v2")));
    let pending = here.pending_statuses(true, |_, _| 0, &[], now);
    assert_eq!(pending[0].status.progress, RolloutProgress::Reverted);
    // The other VM stops as soon as it receives the report.
    there.merge_evidence("vm-1", &here.evidence(|_, _| 0, now), now);
    let rule = there.choose_version(&service(), "a", None, "r", at).rule;
    assert_eq!(rule, VersionRule::Never(version("v2")));
}

/// Guards against a service that every VM refuses: the old version's upstreams
/// stop when a rollout is recorded as completed, so a VM that has stopped the
/// new one has no other.
#[test]
fn a_version_that_is_recorded_as_completed_is_used_despite_a_stop() {
    let now = BootInstant::now();
    let at = now + ALLOWED;
    let [before, after] = [running(now), running(now)];
    let completed = RolloutStatus {
        target: version("v2"),
        progress: RolloutProgress::Completed,
    };
    record(&before, "v1", AttemptOutcome::Success, 600);
    record(&before, "v2", AttemptOutcome::Failed, MIN_BAD_ANSWERS);
    assert_eq!(before.evaluate(now).len(), 1);
    let rule = before.choose_version(&service(), "a", None, "r", at).rule;
    assert_eq!(rule, VersionRule::Never(version("v2")));
    let stopped = before.evidence(|_, _| 0, now);
    before.apply_status(&service(), &completed);
    // Another VM hears of the stop only after the outcome.
    after.apply_status(&service(), &completed);
    after.merge_evidence("vm-2", &stopped, now);
    for rollouts in [&before, &after] {
        for session in [None, Some("s")] {
            let choice =
                rollouts.choose_version(&service(), "a", session, "r", at);
            assert_eq!(choice.rule, VersionRule::Prefer(version("v2")));
            assert!(choice.withdrawn.is_empty());
        }
    }
}

#[test]
fn lost_answers_stop_a_version_only_if_there_are_many() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let record = |software: &str, outcome, count| {
        for _ in 0..count {
            let software = version(software);
            rollouts.record_answer(&service(), &software, "a", outcome, None);
        }
    };
    // A quarter of all machines fails, among them two of the new version's
    // three.
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
fn vms_other_than_the_steward_record_a_stop_later() {
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
fn failures_that_both_versions_have_do_not_stop_the_new_one() {
    let now = BootInstant::now();
    let rollouts = running(now);
    for name in ["v1", "v2"] {
        for number in 0..100 {
            let outcome = match number % 5 {
                0 => AttemptOutcome::Failed,
                _ => AttemptOutcome::Success,
            };
            let version = version(name);
            rollouts.record_answer(&service(), &version, "a", outcome, None);
        }
    }
    assert_eq!(rollouts.evaluate(now), []);
}

#[test]
fn a_version_that_is_much_slower_on_one_route_is_stopped() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let record = |name: &str, route: &str, ms: u64| {
        let first_part = time(ms as f64);
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

/// Records answers whose times vary, each `factor` times as long as those of
/// the old version.
fn record_times(rollouts: &Rollouts, name: &str, factor: f64, count: u64) {
    for number in 0..count {
        // 60 ms to 1.2 s, most of them short.
        let ms = 60.0 * 20.0_f64.powf((number % 10) as f64 / 9.0) * factor;
        let first_part = time(ms);
        let (version, good) = (version(name), AttemptOutcome::Success);
        rollouts.record_sent(&service(), &version, "a");
        rollouts.record_answer(&service(), &version, "a", good, first_part);
    }
}

/// Few of its answers take far longer than the old version's mean.
#[test]
fn a_version_that_is_slower_in_general_is_neither_moved_to_nor_completed() {
    let now = BootInstant::now();
    let rollouts = running(now);
    record_times(&rollouts, "v1", 1.0, 300);
    record_times(&rollouts, "v2", 2.0, 20);
    let at = now + ALLOWED.mul_f64(0.7);
    rollouts.evaluate(at);
    let share = share(&rollouts, at);
    assert!(share < 0.1, "{share}");
    record_times(&rollouts, "v2", 2.0, 20);
    assert_eq!(written(&rollouts, now), [RolloutProgress::Reverted]);
}

/// Returns the share of requests without a session that the new version gets
/// at `now`.
fn share_without_session(rollouts: &Rollouts, now: BootInstant) -> f64 {
    let new = (0..10_000).filter(|number| {
        let id = format!("request-{number}");
        let choice = rollouts.choose_version(&service(), "a", None, &id, now);
        matches!(choice.rule, VersionRule::Prefer(_))
    });
    new.count() as f64 / 10_000.0
}

/// Returns a rollout whose new version has given enough answers to be proven,
/// as fast as the old one's.
fn running_with_good_answers(now: BootInstant) -> Rollouts {
    let rollouts = running(now);
    record_times(&rollouts, "v1", 1.0, 600);
    record_times(&rollouts, "v2", 1.0, 40);
    rollouts
}

#[test]
fn a_version_whose_answers_turn_slow_after_the_canary_phase_gets_less() {
    let now = BootInstant::now();
    let rollouts = running_with_good_answers(now);
    evaluate_between(&rollouts, now, [0.6, 0.95]);
    let at = now + ALLOWED.mul_f64(0.95);
    assert_eq!(share(&rollouts, at), 1.0);
    record_times(&rollouts, "v2", 3.0, 40);
    rollouts.evaluate(at);
    let doubted = share(&rollouts, at);
    assert!(doubted < 0.1, "{doubted}");
}

/// VMs learn of slow answers at different times, so a session that has moved
/// stays until the version is stopped or reverted.
#[test]
fn a_version_that_turns_doubtful_after_the_move_keeps_its_sessions() {
    let now = BootInstant::now();
    let rollouts = running_with_good_answers(now);
    evaluate_between(&rollouts, now, [0.6, 0.95]);
    let at = now + ALLOWED.mul_f64(0.95);
    assert_eq!(share(&rollouts, at), 1.0);
    assert_eq!(share_without_session(&rollouts, at), 1.0);
    record_times(&rollouts, "v2", 2.0, 40);
    assert_eq!(rollouts.evaluate(at), []);
    let doubted = share_without_session(&rollouts, at);
    assert!(doubted < 0.1, "{doubted}");
    assert_eq!(share(&rollouts, at), 1.0);
    let late = now + ALLOWED.mul_f64(REVERT_AT_PART + 0.001);
    let pending = rollouts.pending_statuses(true, |_, _| 0, &[], late);
    assert_eq!(pending[0].status.progress, RolloutProgress::Reverted);
}

/// The version became doubtful before the other VMs could learn of the move.
#[test]
fn no_session_moves_to_a_version_that_is_doubtful_before_the_move() {
    let now = BootInstant::now();
    let rollouts = running_with_good_answers(now);
    evaluate_between(&rollouts, now, [0.6, 0.75]);
    record_times(&rollouts, "v2", 2.0, 40);
    evaluate_between(&rollouts, now, [0.76, 0.97]);
    let at = now + ALLOWED.mul_f64(0.97);
    let share = share(&rollouts, at);
    assert!((0.06..0.1).contains(&share), "{share}");
}

/// The VM itself has seen neither the order's beginning nor any answer.
#[test]
fn a_vm_moves_sessions_when_another_one_scheduled_it() {
    let now = BootInstant::now();
    let scheduled = running(now);
    record(&scheduled, "v1", AttemptOutcome::Success, 600);
    record(&scheduled, "v2", AttemptOutcome::Success, MIN_MOVE_ANSWERS);
    evaluate_between(&scheduled, now, [0.6, 0.85]);
    let learned = now + ALLOWED.mul_f64(0.85);
    let other = running(learned);
    let evidence = scheduled.evidence(|_, _| 0, learned);
    other.merge_evidence("vm-2", &evidence, learned);
    for percent in 86..=97 {
        let at = now + ALLOWED.mul_f64(f64::from(percent) / 100.0);
        assert_eq!(share(&scheduled, at), share(&other, at), "{percent} %");
    }
}

#[test]
fn a_version_that_is_much_slower_in_general_is_stopped() {
    let now = BootInstant::now();
    let rollouts = running(now);
    record_times(&rollouts, "v1", 1.0, 300);
    record_times(&rollouts, "v2", 5.0, 20);
    let stopped = rollouts.evaluate(now);
    assert_eq!(stopped.len(), 1);
}

/// A new version begins without cached prompts.
#[test]
fn a_version_that_is_a_little_slower_is_completed() {
    let now = BootInstant::now();
    let rollouts = running(now);
    record_times(&rollouts, "v1", 1.0, 300);
    record_times(&rollouts, "v2", 1.3, u64::from(MIN_MOVE_ANSWERS));
    assert_eq!(written(&rollouts, now), [RolloutProgress::Completed]);
}

/// Prompts differ in length, so some answers of any version take far longer
/// than the mean. If those counted as bad for the new version only, a good one
/// would be stopped with "4 of 19 answers bad on one route, 0 of 317 of the
/// old version".
#[test]
fn a_version_whose_times_vary_like_the_old_ones_is_kept() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let record = |name: &str, number: u64| {
        let ms = if number.is_multiple_of(5) { 5000 } else { 50 };
        let first_part = time(ms as f64);
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
fn completion_waits_for_the_old_versions_last_requests() {
    let now = BootInstant::now();
    let rollouts = running(now);
    record(&rollouts, "v1", AttemptOutcome::Success, 1200);
    record(&rollouts, "v2", AttemptOutcome::Success, MIN_MOVE_ANSWERS);
    evaluate_between(&rollouts, now, [0.6, 0.93]);
    let at = now + ALLOWED.mul_f64(0.96);
    rollouts.evaluate(at);
    assert_eq!(rollouts.pending_statuses(true, |_, _| 1, &[], at), []);
    assert_eq!(rollouts.pending_statuses(false, |_, _| 0, &[], at), []);
    let pending = rollouts.pending_statuses(true, |_, _| 0, &[], at);
    assert_eq!(pending[0].status.progress, RolloutProgress::Completed);
    let late = now + ALLOWED.mul_f64(0.97);
    let pending = rollouts.pending_statuses(true, |_, _| 1, &[], late);
    assert_eq!(pending[0].status.progress, RolloutProgress::Completed);
}

#[test]
fn a_restarted_vm_learns_when_the_rollout_began() {
    let now = BootInstant::now();
    let old = running(now);
    record(&old, "v1", AttemptOutcome::Success, 600);
    record(&old, "v2", AttemptOutcome::Success, MIN_MOVE_ANSWERS);
    evaluate_between(&old, now, [MIN_CANARY_PART, 0.95]);
    let at = now + ALLOWED.mul_f64(0.95);
    let restarted = running(at);
    assert!(share(&restarted, at) < 0.2);
    restarted.merge_evidence("vm-2", &old.evidence(|_, _| 0, at), at);
    restarted.evaluate(at);
    assert_eq!(share(&restarted, at), 1.0);
}

/// A VM that starts during the canary phase learns from one VM when the phase
/// began before it has received the sessions of all others.
#[test]
fn a_vm_that_gets_the_order_late_waits_for_the_reports_of_others() {
    let now = BootInstant::now();
    let other = running(now);
    let at = now + ALLOWED / 4;
    let late = running(at);
    late.merge_evidence("vm-2", &other.evidence(|_, _| 0, at), at);
    assert_eq!(share(&late, at), 0.0);
    assert!(share(&late, at + SYNC_DELAY) > 0.06);
}

#[test]
fn an_ended_rollout_stays_ended() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let reverted = RolloutStatus {
        target: version("v2"),
        progress: RolloutProgress::Reverted,
    };
    rollouts.apply_status(&service(), &reverted);
    assert!(!rollouts.any_running());
    assert_eq!(rollouts.pending_statuses(true, |_, _| 0, &[], now), []);
    let order = RolloutOrder { target: version("v2"), time_allowed: ALLOWED };
    assert!(!rollouts.apply_order(service(), order, now), "the same order");
    let order = RolloutOrder { target: version("v3"), time_allowed: ALLOWED };
    assert!(rollouts.apply_order(service(), order, now), "another order");
}

/// Behind a partition, both versions lose most of their answers.
#[test]
fn attempts_without_an_answer_do_not_end_the_canary_phase() {
    let now = BootInstant::now();
    let rollouts = running(now);
    record(&rollouts, "v1", AttemptOutcome::Lost, 600);
    record(&rollouts, "v2", AttemptOutcome::Success, 2);
    record(&rollouts, "v2", AttemptOutcome::Lost, MIN_CANARY_ANSWERS);
    for part in [MIN_CANARY_PART, 0.7, FEW_ANSWERS_PART, 0.9] {
        let at = now + ALLOWED.mul_f64(part);
        rollouts.evaluate(at);
        let share = share(&rollouts, at + ALLOWED.mul_f64(0.06));
        assert!((0.06..0.1).contains(&share), "{share} at {part}");
    }
}

/// A version that lost most of its answers is withdrawn, not completed.
#[test]
fn a_version_without_enough_answers_is_reverted_at_the_end() {
    let written = written_after(&[
        ("v1", AttemptOutcome::Lost, 60),
        ("v2", AttemptOutcome::Lost, MIN_CANARY_ANSWERS),
    ]);
    assert_eq!(written, [RolloutProgress::Reverted]);
}

/// A version that is slow under load was completed after fourteen answers,
/// beside hundreds of the old one.
#[test]
fn a_version_with_few_answers_beside_many_of_the_old_one_is_reverted() {
    for answers in [MIN_CANARY_ANSWERS - 1, MIN_CANARY_ANSWERS + 2] {
        let written = written_after(&[
            ("v1", AttemptOutcome::Success, 318),
            ("v2", AttemptOutcome::Success, answers),
            ("v2", AttemptOutcome::Lost, 2),
        ]);
        assert_eq!(written, [RolloutProgress::Reverted]);
    }
}

/// Its times are known to be those of the old version.
#[test]
fn a_version_with_half_of_the_answers_is_completed_if_they_compare_well() {
    for (factor, progress) in
        [(1.0, RolloutProgress::Completed), (2.0, RolloutProgress::Reverted)]
    {
        let now = BootInstant::now();
        let rollouts = running(now);
        record_times(&rollouts, "v1", 1.0, 300);
        let half = u64::from(MIN_MOVE_ANSWERS) / 2;
        record_times(&rollouts, "v2", factor, half);
        assert_eq!(written(&rollouts, now), [progress], "{factor}");
    }
}

/// Enough of its answers came, beside too many that were bad or lost.
#[test]
fn a_version_with_doubtful_answers_is_reverted_at_the_end() {
    let written = written_after(&[
        ("v1", AttemptOutcome::Success, 316),
        ("v1", AttemptOutcome::Lost, 16),
        ("v2", AttemptOutcome::Success, 31),
        ("v2", AttemptOutcome::Failed, 7),
        ("v2", AttemptOutcome::Lost, 9),
    ]);
    assert_eq!(written, [RolloutProgress::Reverted]);
}

/// A partition takes answers from both versions alike.
#[test]
fn a_version_that_loses_as_many_answers_as_the_old_one_is_completed() {
    let written = written_after(&[
        ("v1", AttemptOutcome::Success, 200),
        ("v1", AttemptOutcome::Lost, 100),
        ("v2", AttemptOutcome::Success, MIN_MOVE_ANSWERS),
        ("v2", AttemptOutcome::Lost, 18),
    ]);
    assert_eq!(written, [RolloutProgress::Completed]);
}

/// A service that hardly gets requests cannot prove its new version.
#[test]
fn a_version_with_few_answers_beside_few_of_the_old_one_is_completed() {
    let written = written_after(&[
        ("v1", AttemptOutcome::Success, 60),
        ("v2", AttemptOutcome::Success, 5),
    ]);
    assert_eq!(written, [RolloutProgress::Completed]);
}

/// Returns the progress that the steward writes if these are the outcomes.
fn written_after(
    outcomes: &[(&str, AttemptOutcome, u32)],
) -> Vec<RolloutProgress> {
    let now = BootInstant::now();
    let rollouts = running(now);
    for (software, outcome, count) in outcomes {
        record(&rollouts, software, *outcome, *count);
    }
    written(&rollouts, now)
}

/// Returns the progress that the steward writes during the allowed time.
fn written(rollouts: &Rollouts, now: BootInstant) -> Vec<RolloutProgress> {
    let mut written = Vec::new();
    for step in 0..100 {
        let at = now + ALLOWED.mul_f64(f64::from(step) / 100.0);
        rollouts.evaluate(at);
        let pending = rollouts.pending_statuses(true, |_, _| 0, &[], at);
        written.extend(pending.into_iter().map(|due| due.status.progress));
    }
    written.dedup();
    written
}

/// All VMs that have seen answers of the version are gone.
#[test]
fn a_vm_that_has_just_started_does_not_complete_a_rollout() {
    let now = BootInstant::now();
    let at = |part: f64| now + ALLOWED.mul_f64(part);
    let first = running(now);
    let second = running(at(0.6));
    second.merge_evidence("vm-1", &first.evidence(|_, _| 0, at(0.6)), at(0.6));
    let third = running(at(0.84));
    third.merge_evidence(
        "vm-2",
        &second.evidence(|_, _| 0, at(0.84)),
        at(0.84),
    );
    for part in [0.85, 0.9, 0.94] {
        third.evaluate(at(part));
        let pending = third.pending_statuses(true, |_, _| 0, &[], at(part));
        assert_eq!(pending, [], "at {part}");
        let share = share(&third, at(part));
        assert!(share < 0.1, "{share} at {part}");
    }
}

/// The VM knows that the canary phase has ended, and no answers.
#[test]
fn a_vm_that_has_just_started_does_not_move_all_requests() {
    let now = BootInstant::now();
    let at = |part: f64| now + ALLOWED.mul_f64(part);
    let first = running(now);
    first.evaluate(at(FEW_ANSWERS_PART));
    let evidence = first.evidence(|_, _| 0, at(0.84));
    assert!(evidence[0].canary_ended_ms.is_some());
    let second = running(at(0.84));
    second.merge_evidence("vm-1", &evidence, at(0.84));
    for part in [0.91, 0.94, 0.96] {
        second.evaluate(at(part));
        let share = share(&second, at(part));
        assert!((0.06..0.1).contains(&share), "{share} at {part}");
        let pending = second.pending_statuses(true, |_, _| 0, &[], at(part));
        assert_eq!(pending, [], "at {part}");
    }
}

/// The old version's upstreams cannot be reached; the new version's can.
#[test]
fn a_version_on_trial_keeps_to_its_share_of_what_reaches_upstreams() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let at = now + ALLOWED / 4;
    let (old, new) = (version("v1"), version("v2"));
    let (mut sent_old, mut sent_new) = (0, 0);
    for number in 0..2000 {
        let session = format!("session-{number}");
        let choice =
            rollouts.choose_version(&service(), "a", Some(&session), "r", at);
        let is_reached = number % 20 == 0;
        match choice.rule {
            VersionRule::Prefer(_) => {
                rollouts.record_sent(&service(), &new, "a");
                sent_new += 1;
            }
            VersionRule::Avoid(_) if !is_reached => {}
            _ => {
                rollouts.record_sent(&service(), &old, "a");
                sent_old += 1;
            }
        }
    }
    let share = f64::from(sent_new) / f64::from(sent_new + sent_old);
    assert!(sent_new > 0 && share <= 0.15, "{sent_new} beside {sent_old}");
}

/// Its answers are given up before their first part.
#[test]
fn a_version_that_keeps_callers_waiting_too_long_is_stopped() {
    let now = BootInstant::now();
    let rollouts = running(now);
    let lose = |name: &str, waited_ms: u64| {
        let waited = time(waited_ms as f64);
        let (software, lost) = (version(name), AttemptOutcome::Lost);
        rollouts.record_answer(&service(), &software, "a", lost, waited);
    };
    for number in 0..100 {
        let (old, good) = (version("v1"), AttemptOutcome::Success);
        let first_part = time(100.0 + number as f64);
        rollouts.record_answer(&service(), &old, "a", good, first_part);
    }
    // An attempt that is given up early says nothing of the version.
    for _ in 0..10 {
        lose("v2", 200);
    }
    lose("v2", 1000);
    lose("v2", 1000);
    lose("v2", 1000);
    assert_eq!(rollouts.evaluate(now), []);
    lose("v2", 1000);
    assert_eq!(rollouts.evaluate(now).len(), 1);
}

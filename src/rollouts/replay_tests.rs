//! Replays of rollouts: a fleet gets the requests of a service, whose old
//! version has queues, and tries a new one.
//!
//! The times are those of upstreams that read prompts. A prompt takes a time
//! per token that depends on the model, and waits for the prompts before it.
//! A VM knows of some of them. The old version has nearly all of the load, so
//! nearly all of the queues.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    clock::{BootInstant, Clock},
    gateway::{rollout_status, test_fleet::Fleet},
    id::{ServiceId, VersionId},
    placing::{health::AttemptOutcome, pool::VersionRule},
    rollouts::{
        answer_time::AnswerTime,
        fleet_place::FleetPlace,
        rollout::{RolloutOrder, RolloutProgress, RolloutStatus},
    },
};

/// Time between the order and the deadline.
const ALLOWED: Duration = Duration::from_secs(15);

/// The operator's bound for a new version.
const SETTINGS: &str =
    "\n[rollouts]\ncanary_share = 0.15\ncanary_tolerance = 30\n";
const SHARE: f64 = 0.15;
const TOLERANCE: f64 = 30.0;

/// Interval between two evaluations of a VM.
const CHECK_MS: u64 = 100;

/// A service and its new version.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    halls: usize,
    vms_per_hall: usize,
    requests_per_s: f64,
    /// Whether requests have prompts.
    is_model: bool,
    /// Share of the requests at the old version that wait for others.
    old_queued: f64,
    /// Share of them that meet an upstream that is four times slower.
    old_disturbed: f64,
    /// Share of the new version's answers that are slow.
    slow_share: f64,
    slow_factor: f64,
    /// Whether only one of the three routes is slow.
    is_one_route: bool,
    /// When the answers become slow, after the order.
    slow_from: Duration,
}

const GOOD: Scenario = Scenario {
    halls: 3,
    vms_per_hall: 3,
    requests_per_s: 95.0,
    is_model: true,
    old_queued: 0.5,
    old_disturbed: 0.0,
    slow_share: 0.0,
    slow_factor: 1.0,
    is_one_route: false,
    slow_from: Duration::ZERO,
};

/// What became of a rollout.
#[derive(Debug)]
struct Outcome {
    progress: Option<RolloutProgress>,
    /// Requests that reached the new version before the deadline, and all.
    new: u32,
    all: u32,
}

impl Outcome {
    fn keeps_to_bound(&self) -> bool {
        f64::from(self.new) <= SHARE * f64::from(self.all) + TOLERANCE
    }
}

/// An answer on its way, with what its VM will record.
struct Answer {
    vm: usize,
    software: VersionId,
    route: &'static str,
    time: AnswerTime,
    took: Duration,
}

fn service() -> ServiceId {
    "writers".parse().unwrap()
}

fn version(name: &str) -> VersionId {
    name.parse().unwrap()
}

impl Scenario {
    /// Draws the time to the first part of an answer, and the time to its end.
    fn draw(
        &self,
        is_new: bool,
        route: usize,
        since_order: Duration,
        random: &mut StdRng,
    ) -> (AnswerTime, Duration) {
        let noise = 0.85 + 0.5 * random.random::<f64>().powi(2);
        let is_slow = is_new
            && since_order >= self.slow_from
            && (route == 0 || !self.is_one_route)
            && random.random_bool(self.slow_share);
        let is_disturbed = !is_new && random.random_bool(self.old_disturbed);
        let factor = match (is_slow, is_disturbed) {
            (true, _) => self.slow_factor,
            (_, true) => 4.0,
            _ => 1.0,
        };
        if !self.is_model {
            let waited = Duration::from_millis(18).mul_f64(noise * factor);
            return (AnswerTime::of_service(waited), waited);
        }
        // Prompts of 200 to 20,000 tokens, and a model of three.
        let tokens = 200.0 * 100.0_f64.powf(random.random::<f64>());
        let token_ms = [0.008, 0.06, 0.2][random.random_range(0..3)];
        let expected =
            Duration::from_secs_f64((10.0 + tokens * token_ms) / 1000.0);
        let queued = match is_new {
            true => 0.05,
            false => self.old_queued,
        };
        let wait = match random.random_bool(queued) {
            true => expected.mul_f64(4.0 * random.random::<f64>()),
            false => Duration::ZERO,
        };
        let is_known = random.random_bool(0.7);
        let own = expected.mul_f64(noise * factor);
        let time = AnswerTime {
            waited: wait + own,
            expected: expected + if is_known { wait } else { Duration::ZERO },
            is_unqueued: !is_known || wait <= expected / 2,
        };
        let rest = Duration::from_secs_f64(3.0 * random.random::<f64>());
        (time, time.waited + rest)
    }
}

/// Plays a rollout until its deadline.
fn play(scenario: Scenario, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let (halls, vms_per_hall) = (scenario.halls, scenario.vms_per_hall);
    let mut fleet = Fleet::with_settings(halls, vms_per_hall, SETTINGS);
    let ordered_at = fleet.clock.now();
    let status = |progress| RolloutStatus { target: version("v2"), progress };
    for vm in &fleet.vms {
        let order =
            RolloutOrder { target: version("v2"), time_allowed: ALLOWED };
        vm.rollouts.apply_order(service(), order, ordered_at);
        vm.rollouts
            .apply_status(&service(), &status(RolloutProgress::Running));
    }
    let mut answers: BinaryHeap<Reverse<(BootInstant, usize)>> =
        BinaryHeap::new();
    let mut sent: Vec<Option<Answer>> = Vec::new();
    let mut outcome = Outcome { progress: None, new: 0, all: 0 };
    let mut next_at = ordered_at;
    loop {
        fleet.step();
        let now = fleet.clock.now();
        let elapsed = now.saturating_duration_since(ordered_at);
        if elapsed >= ALLOWED {
            return outcome;
        }
        while next_at <= now {
            let gap = -random.random::<f64>().max(1e-9).ln();
            next_at += Duration::from_secs_f64(gap / scenario.requests_per_s);
            let vm = random.random_range(0..fleet.vms.len());
            let route = random.random_range(0..3);
            let name = ["a", "b", "c"][route];
            let id = format!("request-{}", outcome.all);
            let rollouts = &fleet.vms[vm].rollouts;
            let choice =
                rollouts.choose_version(&service(), name, None, &id, now);
            let is_new = matches!(choice.rule, VersionRule::Prefer(_));
            let software = version(if is_new { "v2" } else { "v1" });
            rollouts.record_sent(&service(), &software, name);
            outcome.all += 1;
            outcome.new += u32::from(is_new);
            let (time, took) =
                scenario.draw(is_new, route, elapsed, &mut random);
            answers.push(Reverse((now + time.waited, sent.len())));
            sent.push(Some(Answer { vm, software, route: name, time, took }));
        }
        while let Some(Reverse((at, number))) = answers.peek().copied()
            && at <= now
        {
            answers.pop();
            let Some(answer) = sent[number].take() else { continue };
            let rollouts = &fleet.vms[answer.vm].rollouts;
            rollouts.record_answer(
                &service(),
                &answer.software,
                answer.route,
                AttemptOutcome::Success,
                Some(answer.time),
            );
            rollouts.record_duration(&service(), answer.route, answer.took);
        }
        if !fleet.elapsed_ms.is_multiple_of(CHECK_MS) {
            continue;
        }
        let mut written = None;
        for vm in &fleet.vms {
            vm.knowledge.prove(now);
            vm.rollouts.set_fleet_place(FleetPlace {
                vms: fleet.vms.len(),
                is_deputy: false,
            });
            vm.rollouts.evaluate(now);
            let due = rollout_status::due_records(vm, now);
            written = written.or(due.first().map(|due| due.status.progress));
        }
        if let (None, Some(progress)) = (outcome.progress, written)
            && progress != RolloutProgress::Running
        {
            outcome.progress = Some(progress);
            for vm in &fleet.vms {
                vm.rollouts.apply_status(&service(), &status(progress));
            }
        }
    }
}

/// Fleets of 6, 9 and 84 VMs, with the requests of their services.
fn fleets(scenario: Scenario) -> [Scenario; 3] {
    let size = |halls, vms_per_hall, requests_per_s| Scenario {
        halls,
        vms_per_hall,
        requests_per_s,
        ..scenario
    };
    [size(3, 2, 40.0), size(3, 3, 95.0), size(4, 21, 900.0)]
}

fn seeds(scenario: Scenario) -> std::ops::RangeInclusive<u64> {
    // A large fleet takes long to simulate.
    if scenario.halls * scenario.vms_per_hall > 20 { 1..=1 } else { 1..=3 }
}

/// Plays a rollout, which must end like this and keep to the bound.
fn assert_end(scenario: Scenario, seed: u64, progress: RolloutProgress) {
    let outcome = play(scenario, seed);
    let case = format!("{scenario:?}, seed {seed}: {outcome:?}");
    assert_eq!(outcome.progress, Some(progress), "{case}");
    assert!(outcome.keeps_to_bound(), "{case}");
}

/// Plays it with fleets of several sizes.
fn assert_ends(scenario: Scenario, progress: RolloutProgress) {
    for scenario in fleets(scenario) {
        for seed in seeds(scenario) {
            assert_end(scenario, seed, progress);
        }
    }
}

fn assert_reverted(scenario: Scenario) {
    assert_ends(scenario, RolloutProgress::Reverted);
}

fn assert_completed(scenario: Scenario) {
    assert_ends(scenario, RolloutProgress::Completed);
}

/// The old version's waits hide that the new one is slow.
#[test]
fn a_slow_version_is_not_completed_beside_queues_of_the_old_one() {
    for (slow_share, slow_factor) in [(0.5, 3.0), (0.25, 8.0), (1.0, 2.5)] {
        assert_reverted(Scenario { slow_share, slow_factor, ..GOOD });
    }
}

#[test]
fn a_version_that_is_slow_on_one_route_or_later_is_not_completed() {
    let slow = Scenario { slow_share: 0.5, slow_factor: 8.0, ..GOOD };
    assert_reverted(Scenario { is_one_route: true, ..slow });
    assert_reverted(Scenario { slow_from: Duration::from_secs(7), ..slow });
}

/// Eight requests a second, of which a usual share would give too few answers.
#[test]
fn a_slow_version_of_a_service_with_few_requests_is_not_completed() {
    let few = Scenario { requests_per_s: 8.7, is_model: false, ..GOOD };
    for (slow_share, slow_factor) in [(0.5, 8.0), (0.5, 4.0), (1.0, 3.0)] {
        let slow = Scenario { slow_share, slow_factor, ..few };
        for seed in 1..=5 {
            assert_end(slow, seed, RolloutProgress::Reverted);
        }
    }
    for seed in 1..=5 {
        assert_end(few, seed, RolloutProgress::Completed);
    }
}

/// No comparison can tell a version that is slow only under more load than it
/// gets from a good one.
#[test]
fn any_version_keeps_to_its_bound_until_the_deadline() {
    assert_completed(GOOD);
    assert_completed(Scenario { is_model: false, ..GOOD });
}

/// The old version is disturbed itself.
#[test]
fn a_good_version_is_completed_beside_a_disturbed_old_one() {
    assert_completed(Scenario { old_queued: 0.9, ..GOOD });
    assert_completed(Scenario { old_disturbed: 0.5, ..GOOD });
}

#[test]
fn a_slow_version_is_not_completed_beside_a_disturbed_old_one() {
    let slow = Scenario { slow_share: 1.0, slow_factor: 2.5, ..GOOD };
    assert_reverted(Scenario { old_disturbed: 0.5, ..slow });
}

#[test]
fn large_fleets_tell_slow_versions_from_good_ones() {
    let large = Scenario {
        halls: 6,
        vms_per_hall: 50,
        requests_per_s: 1500.0,
        ..GOOD
    };
    let slow = Scenario { slow_share: 0.5, slow_factor: 3.0, ..large };
    assert_end(large, 1, RolloutProgress::Completed);
    assert_end(slow, 1, RolloutProgress::Reverted);
}

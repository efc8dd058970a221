//! Replays of requests and prompt segments that crash upstreams, in a whole
//! fleet of VMs that exchange heartbeats, with a simulated clock.
//!
//! An upstream runs many requests at once, and a crash breaks off all of them.
//! They are retried at the remaining upstreams, beside the culprit. Each
//! replay counts the upstreams that crashed, the sends of culprits that are
//! later than operators allow, and the rejections of bystanders. All requests
//! of a replay share their first segment, and some share a second one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    clock::Clock,
    crashes::{
        broadcast_queue::Source,
        subject::{Subject, SubjectKind},
        tracker::NextStep,
    },
    gateway::test_fleet::Fleet,
    http_client::Listening,
    message::ShortHash,
};

/// Time that operators allow for all VMs to learn of a culprit.
const DETECTION_MS: u64 = 3_000;

/// Number of sends of one culprit that operators allow later than that after
/// its third crash, or its fifth one for a segment.
const MAX_LATE_SENDS: usize = 3;

/// Crashes of a culprit from which on that time is counted.
const REQUEST_CRASHES: usize = 3;
const SEGMENT_CRASHES: usize = 5;

/// Number of attempts that a route allows.
const ATTEMPTS: u32 = 3;

/// Time until a crashed upstream is back.
const RESTART_MS: u64 = 3_000;

/// Time until an upstream that runs a culprit crashes.
const CRASH_AFTER_MS: u64 = 60;

/// Time after which a caller sends a failed request once more, to any VM.
const CALLER_RETRY_MS: u64 = 200;

/// Time for which other requests run.
const BYSTANDER_RUN_MS: u64 = 1_000;

/// Length of a replay.
const REPLAY_MS: u64 = 12_000;

/// When the first culprit is sent.
const FIRST_CULPRIT_MS: u64 = 1_000;

/// The same if other requests have been completed for a while by then.
const LATE_FIRST_CULPRIT_MS: u64 = 3_000;

/// The subject of a request that many callers of one organisation send
/// identically. Lower ones are culprits', higher ones bystanders', and the
/// highest those of different requests that share a crashing segment.
const POPULAR: u64 = 100;
const FIRST_BYSTANDER: u64 = 1_000;
const FIRST_WITH_CRASHING_SEGMENT: u64 = 1_000_000;

/// Added to the subjects of segments.
const SEGMENT: u64 = 1 << 63;

/// The first segment of all requests, and the first of the crashing ones.
const FIRST_SEGMENT: Subject = Subject(SEGMENT);
const CRASHING_SEGMENT: u64 = SEGMENT + 10_000;

/// Number of different second segments.
const SECOND_SEGMENTS: u64 = 20;

/// When a rack loses power, right after the first culprit was sent.
const RACK_FAILURE_MS: u64 = 1_100;

/// When a rack loses power in the replay of identical requests, the first of
/// which have completed by then.
const LATE_RACK_FAILURE_MS: u64 = 2_100;

/// Time within which an observation reaches all connected VMs: two
/// heartbeats.
const HEARTBEATS_MS: u64 = 1_000;

/// The parameters of a replay.
struct Plan {
    halls: usize,
    vms_per_hall: usize,
    upstreams: usize,
    /// Bystanders per second, all different.
    bystanders_per_s: u64,
    culprits: u64,
    /// Interval at which each culprit is sent, each time to any VM.
    culprit_every_ms: u64,
    /// When the first of them is sent.
    first_culprit_ms: u64,
    /// Segments that crash upstreams, each in different requests sent at the
    /// same interval.
    crashing_segments: u64,
    /// Time until which upstreams complete these segments.
    segments_sound_until_ms: u64,
    /// A data hall that exchanges no heartbeats with others.
    partitioned_hall: Option<usize>,
    /// Interval at which one VM after the other restarts.
    restart_every_ms: Option<u64>,
    /// Identical requests per second.
    popular_per_s: u64,
    /// Number of upstreams that lose power together, and when.
    rack_failure: Option<(usize, u64)>,
}

impl Default for Plan {
    /// A small site: nine VMs in front of eighteen engines.
    fn default() -> Plan {
        Plan {
            halls: 3,
            vms_per_hall: 3,
            upstreams: 18,
            bystanders_per_s: 100,
            culprits: 1,
            culprit_every_ms: 300,
            first_culprit_ms: FIRST_CULPRIT_MS,
            crashing_segments: 0,
            segments_sound_until_ms: 0,
            partitioned_hall: None,
            restart_every_ms: None,
            popular_per_s: 0,
            rack_failure: None,
        }
    }
}

/// The results of a replay.
#[derive(Debug, Default)]
struct Outcome {
    /// Upstreams crashed by culprits.
    crashed: usize,
    /// Maximum over all culprits of the sends later than operators allow.
    late_sends: usize,
    /// Other requests, and how many of them were rejected as culprits.
    bystanders: usize,
    bystanders_rejected: usize,
    /// Those of them that were rejected because of a segment.
    rejected_for_segment: usize,
    /// When the last of them was rejected.
    last_rejected_ms: u64,
    /// Other requests without an answer from any attempt.
    bystanders_failed: usize,
    /// First sends of other requests from twice [`DETECTION_MS`] after the
    /// crashes of the last culprit that count, and those that were accepted.
    late_bystanders: usize,
    late_accepted: usize,
}

/// An attempt in flight at an upstream.
#[derive(Clone, Copy, Debug)]
struct Run {
    vm: usize,
    request: Subject,
    began_ms: u64,
    attempts_left: u32,
}

#[derive(Debug, Default)]
struct Upstream {
    incarnation: u32,
    down_until_ms: u64,
    runs: Vec<Run>,
}

struct Replay {
    plan: Plan,
    fleet: Fleet,
    random: StdRng,
    upstreams: Vec<Upstream>,
    next_incarnation: u32,
    next_bystander: u64,
    next_with_crashing_segment: u64,
    /// Requests that are to be sent once more, and when.
    caller_retries: Vec<(u64, Subject)>,
    /// Requests that were sent once more.
    retried: BTreeSet<Subject>,
    /// The times of the crashes under each culprit.
    crashes_by_culprit: BTreeMap<Subject, Vec<u64>>,
    /// The times of the sends of each culprit.
    sends_by_culprit: BTreeMap<Subject, Vec<u64>>,
    /// The times of the first sends of other requests, and whether each was
    /// accepted.
    first_sends: Vec<(u64, bool)>,
    outcome: Outcome,
}

impl Replay {
    fn new(plan: Plan, seed: u64) -> Replay {
        let mut fleet = Fleet::new(plan.halls, plan.vms_per_hall);
        fleet.partitioned_hall = plan.partitioned_hall;
        let upstreams = (1..=plan.upstreams as u32).map(|incarnation| {
            Upstream { incarnation, ..Upstream::default() }
        });
        Replay {
            upstreams: upstreams.collect(),
            next_incarnation: plan.upstreams as u32 + 1,
            next_bystander: FIRST_BYSTANDER,
            next_with_crashing_segment: FIRST_WITH_CRASHING_SEGMENT,
            random: StdRng::seed_from_u64(seed),
            caller_retries: Vec::new(),
            retried: BTreeSet::new(),
            crashes_by_culprit: BTreeMap::new(),
            sends_by_culprit: BTreeMap::new(),
            first_sends: Vec::new(),
            outcome: Outcome::default(),
            fleet,
            plan,
        }
    }

    /// Returns what crashes the upstreams that run a request.
    fn culprit_in(&self, request: Subject) -> Option<Subject> {
        if request.0 < self.plan.culprits {
            return Some(request);
        }
        let number = request.0.checked_sub(FIRST_WITH_CRASHING_SEGMENT)?;
        let segment = number % self.plan.crashing_segments.max(1);
        Some(Subject(CRASHING_SEGMENT + segment))
    }

    fn is_culprit(&self, request: Subject) -> bool {
        self.culprit_in(request).is_some()
    }

    /// Whether an upstream that runs a request now crashes.
    fn crashes_upstreams(&self, request: Subject) -> bool {
        let is_sound_yet =
            self.fleet.elapsed_ms < self.plan.segments_sound_until_ms;
        self.culprit_in(request)
            .is_some_and(|culprit| culprit == request || !is_sound_yet)
    }

    /// Returns the subjects of a request: itself and its segments.
    fn subjects(&self, request: Subject) -> Vec<Subject> {
        let second = SEGMENT + 1 + request.0 % SECOND_SEGMENTS;
        let mut subjects = vec![request, FIRST_SEGMENT, Subject(second)];
        let culprit = self.culprit_in(request);
        subjects.extend(culprit.filter(|culprit| *culprit != request));
        subjects
    }

    fn run(mut self) -> Outcome {
        while self.fleet.elapsed_ms < REPLAY_MS {
            self.fleet.step();
            self.restart_due();
            self.send_due();
            self.complete_runs();
            self.fail_rack();
            self.restart_upstreams();
        }
        self.outcome.late_sends = self.late_sends();
        self.count_late_bystanders();
        self.outcome
    }

    /// Restarts the VM that is due. It asks another one for all that it knows,
    /// and loses its attempts.
    fn restart_due(&mut self) {
        let Some(every_ms) = self.plan.restart_every_ms else { return };
        let now_ms = self.fleet.elapsed_ms;
        if !now_ms.is_multiple_of(every_ms) {
            return;
        }
        let count = self.fleet.vms.len();
        let vm = (now_ms / every_ms) as usize % count;
        self.fleet.restart(vm);
        let other = &self.fleet.vms[(vm + 1) % count].crashes;
        self.fleet.vms[vm].crashes.merge_observations(
            &other.quarantine_observations(self.fleet.clock.now()),
            Source::Snapshot,
            self.fleet.clock.now(),
        );
        for upstream in &mut self.upstreams {
            upstream.runs.retain(|run| run.vm != vm);
        }
    }

    /// Sends the requests that are due in this step.
    fn send_due(&mut self) {
        let now_ms = self.fleet.elapsed_ms;
        for _ in 0..self.count_of(self.plan.bystanders_per_s) {
            let request = Subject(self.next_bystander);
            self.next_bystander += 1;
            self.send_to_any_vm(request);
        }
        for _ in 0..self.count_of(self.plan.popular_per_s) {
            self.send_to_any_vm(Subject(POPULAR));
        }
        let is_due = |(at_ms, _): &(u64, Subject)| *at_ms <= now_ms;
        let (due, later) = self.caller_retries.drain(..).partition(is_due);
        self.caller_retries = later;
        let due: Vec<(u64, Subject)> = due;
        for (_, request) in due {
            let vm = self.random.random_range(0..self.fleet.vms.len());
            self.attempt(vm, request, ATTEMPTS);
        }
        let every_ms = self.plan.culprit_every_ms;
        for culprit in 0..self.plan.culprits {
            let is_due = (now_ms + culprit * 70).is_multiple_of(every_ms);
            if now_ms >= self.plan.first_culprit_ms && is_due {
                self.send_to_any_vm(Subject(culprit));
            }
        }
        for segment in 0..self.plan.crashing_segments {
            let is_due = (now_ms + segment * 70).is_multiple_of(every_ms);
            if now_ms >= self.plan.first_culprit_ms && is_due {
                let number = self.next_with_crashing_segment;
                let count = self.plan.crashing_segments;
                self.next_with_crashing_segment += count;
                self.send_to_any_vm(Subject(number + segment));
            }
        }
    }

    /// Returns the number of requests in one step, for a rate per second.
    fn count_of(&mut self, per_s: u64) -> u64 {
        let (whole, remainder) = (per_s / 100, per_s % 100);
        whole + u64::from(self.random.random_range(0..100) < remainder)
    }

    fn send_to_any_vm(&mut self, request: Subject) {
        let vm = self.random.random_range(0..self.fleet.vms.len());
        if !self.is_culprit(request) {
            self.outcome.bystanders += 1;
        }
        self.attempt(vm, request, ATTEMPTS);
    }

    /// Sends a request to any upstream, unless the VM has quarantined it.
    fn attempt(&mut self, vm: usize, request: Subject, left: u32) {
        let is_culprit = self.is_culprit(request);
        let now_ms = self.fleet.elapsed_ms;
        let now = self.fleet.clock.now();
        let subjects = self.subjects(request);
        let crashes = &self.fleet.vms[vm].crashes;
        let admitted = crashes.admit(&subjects, now);
        if !is_culprit && left == ATTEMPTS {
            self.first_sends.push((now_ms, admitted.is_ok()));
        }
        if let Err(subject) = admitted
            && left > 0
        {
            self.record_rejected(request, subject);
            return;
        }
        let running: Vec<usize> = (0..self.upstreams.len())
            .filter(|at| self.upstreams[*at].down_until_ms <= now_ms)
            .collect();
        if left == 0 || running.is_empty() {
            self.record_failed(request);
            return;
        }
        if is_culprit {
            self.record_culprit_send(request);
        }
        let at = running[self.random.random_range(0..running.len())];
        let run =
            Run { vm, request, began_ms: now_ms, attempts_left: left - 1 };
        self.upstreams[at].runs.push(run);
    }

    fn record_culprit_send(&mut self, request: Subject) {
        if !self.crashes_upstreams(request) {
            return;
        }
        let Some(culprit) = self.culprit_in(request) else { return };
        let sends = self.sends_by_culprit.entry(culprit).or_default();
        sends.push(self.fleet.elapsed_ms);
    }

    /// Records that no attempt brought an answer; the caller sends the request
    /// once more.
    fn record_failed(&mut self, request: Subject) {
        if self.is_culprit(request) {
            return;
        }
        if self.retried.insert(request) {
            let at_ms = self.fleet.elapsed_ms + CALLER_RETRY_MS;
            self.caller_retries.push((at_ms, request));
        } else {
            self.outcome.bystanders_failed += 1;
        }
    }

    /// Records that a request was rejected because of a subject.
    fn record_rejected(&mut self, request: Subject, subject: Subject) {
        if !self.is_culprit(request) {
            let is_segment = subject.kind() == SubjectKind::Segment;
            self.outcome.rejected_for_segment += usize::from(is_segment);
            self.outcome.bystanders_rejected += 1;
            self.outcome.last_rejected_ms = self.fleet.elapsed_ms;
        }
    }

    /// Completes requests that have run for long enough, and crashes the
    /// upstreams of culprits.
    fn complete_runs(&mut self) {
        let now_ms = self.fleet.elapsed_ms;
        for at in 0..self.upstreams.len() {
            let culprit = self.upstreams[at].runs.iter().find(|run| {
                let ran_ms = now_ms - run.began_ms;
                self.crashes_upstreams(run.request) && ran_ms >= CRASH_AFTER_MS
            });
            let culprit = culprit.and_then(|run| self.culprit_in(run.request));
            if let Some(culprit) = culprit {
                self.crashes_by_culprit
                    .entry(culprit)
                    .or_default()
                    .push(now_ms);
                self.outcome.crashed += 1;
                self.crash(at);
                continue;
            }
            let is_over =
                |run: &Run| now_ms - run.began_ms >= BYSTANDER_RUN_MS;
            let runs = &mut self.upstreams[at].runs;
            let over: Vec<Run> =
                runs.iter().copied().filter(is_over).collect();
            runs.retain(|run| !is_over(run));
            let now = self.fleet.clock.now();
            for run in over {
                let subjects = self.subjects(run.request);
                let crashes = &self.fleet.vms[run.vm].crashes;
                if crashes.record_completed(&subjects, now).is_some() {
                    self.fleet.schedule_early_heartbeat(run.vm);
                }
            }
        }
    }

    /// Crashes an upstream: each VM loses its attempts there and finds that it
    /// takes no connections.
    fn crash(&mut self, at: usize) {
        let now_ms = self.fleet.elapsed_ms;
        let now = self.fleet.clock.now();
        let upstream = &mut self.upstreams[at];
        let incarnation = ShortHash(upstream.incarnation);
        upstream.down_until_ms = now_ms + RESTART_MS;
        let runs = std::mem::take(&mut upstream.runs);
        for run in &runs {
            let subjects = self.subjects(run.request);
            let crashes = &self.fleet.vms[run.vm].crashes;
            let began_at = now - Duration::from_millis(now_ms - run.began_ms);
            let (next, _) = crashes.record_lost_attempt(
                &subjects,
                incarnation,
                began_at,
                now,
            );
            if next == NextStep::Check {
                crashes.record_probe(incarnation, Listening::No, now);
            }
            self.fleet.schedule_early_heartbeat(run.vm);
        }
        for run in runs {
            self.attempt(run.vm, run.request, run.attempts_left);
        }
    }

    fn fail_rack(&mut self) {
        if let Some((size, at_ms)) = self.plan.rack_failure
            && self.fleet.elapsed_ms == at_ms
        {
            (0..size).for_each(|at| self.crash(at));
        }
    }

    /// Gives a new incarnation to the upstreams that are back.
    fn restart_upstreams(&mut self) {
        let now_ms = self.fleet.elapsed_ms;
        for upstream in &mut self.upstreams {
            if upstream.down_until_ms == now_ms {
                upstream.incarnation = self.next_incarnation;
                self.next_incarnation += 1;
            }
        }
    }

    /// Returns the time from which on late sends of a culprit count: that of
    /// its last crash that is allowed, or of its last one if there are fewer.
    fn counted_from_ms(&self, culprit: &Subject) -> Option<u64> {
        let crashes = self.crashes_by_culprit.get(culprit)?;
        let allowed = match culprit.0 < SEGMENT {
            true => REQUEST_CRASHES,
            false => SEGMENT_CRASHES,
        };
        crashes.get(allowed - 1).or(crashes.last()).copied()
    }

    /// Returns the maximum over all culprits of the sends that are later than
    /// operators allow.
    fn late_sends(&self) -> usize {
        let later = self.sends_by_culprit.iter().map(|(culprit, sends)| {
            self.counted_from_ms(culprit).map_or(0, |from_ms| {
                let allowed = from_ms + DETECTION_MS;
                sends.iter().filter(|at| **at > allowed).count()
            })
        });
        later.max().unwrap_or(0)
    }

    fn count_late_bystanders(&mut self) {
        let culprits = self.crashes_by_culprit.keys();
        let last = culprits.filter_map(|c| self.counted_from_ms(c)).max();
        let Some(last_ms) = last else { return };
        let from_ms = last_ms + 2 * DETECTION_MS;
        let late = self.first_sends.iter().filter(|(at, _)| *at >= from_ms);
        let late: Vec<bool> = late.map(|(_, accepted)| *accepted).collect();
        self.outcome.late_bystanders = late.len();
        self.outcome.late_accepted = late.iter().filter(|a| **a).count();
    }
}

/// Runs a replay with several seeds and sums up the outcomes.
fn replay(plan: impl Fn() -> Plan, seeds: u64) -> Outcome {
    let mut sum = Outcome::default();
    let mut crashes = BTreeSet::new();
    for seed in 0..seeds {
        let outcome = Replay::new(plan(), seed).run();
        crashes.insert(outcome.crashed);
        sum.crashed += outcome.crashed;
        sum.late_sends = sum.late_sends.max(outcome.late_sends);
        sum.bystanders += outcome.bystanders;
        sum.bystanders_rejected += outcome.bystanders_rejected;
        sum.rejected_for_segment += outcome.rejected_for_segment;
        sum.last_rejected_ms =
            sum.last_rejected_ms.max(outcome.last_rejected_ms);
        sum.bystanders_failed += outcome.bystanders_failed;
        sum.late_bystanders += outcome.late_bystanders;
        sum.late_accepted += outcome.late_accepted;
    }
    println!("{seeds} seeds, crashed {crashes:?}: {sum:?}");
    sum
}

#[test]
fn a_culprit_at_a_small_site_is_quarantined_in_time() {
    let outcome = replay(Plan::default, 10);
    assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
    assert_eq!(outcome.bystanders_rejected, 0, "{outcome:?}");
}

#[test]
fn three_culprits_at_once_are_quarantined_in_time() {
    let plan = || Plan { culprits: 3, ..Plan::default() };
    let outcome = replay(plan, 10);
    assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
    assert_eq!(outcome.bystanders_rejected, 0, "{outcome:?}");
}

/// A bystander that was in the rack and then beside the culprit in two crashes
/// may be rejected until its VM learns that the culprit was in flight there.
#[test]
fn a_culprit_is_quarantined_in_time_while_a_rack_loses_power() {
    let plan = || Plan {
        rack_failure: Some((6, RACK_FAILURE_MS)),
        ..Plan::default()
    };
    let outcome = replay(plan, 10);
    assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
    assert!(
        outcome.last_rejected_ms <= RACK_FAILURE_MS + HEARTBEATS_MS,
        "{outcome:?}"
    );
}

/// A request that many callers send identically is in flight at every upstream
/// of a rack that loses power. A VM that has not completed it yet quarantines
/// it until another VM reports that it was completed.
#[test]
fn an_identical_request_of_many_callers_is_released_after_a_rack_failure() {
    let plan = || Plan {
        culprits: 0,
        popular_per_s: 30,
        rack_failure: Some((6, LATE_RACK_FAILURE_MS)),
        ..Plan::default()
    };
    let outcome = replay(plan, 10);
    assert!(
        outcome.last_rejected_ms <= LATE_RACK_FAILURE_MS + HEARTBEATS_MS,
        "{outcome:?}"
    );
}

#[test]
fn eighty_vms_in_four_halls_quarantine_a_culprit_in_time() {
    let plan = || Plan {
        halls: 4,
        vms_per_hall: 20,
        upstreams: 60,
        bystanders_per_s: 300,
        ..Plan::default()
    };
    let outcome = replay(plan, 2);
    assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
    assert_eq!(outcome.bystanders_rejected, 0, "{outcome:?}");
}

#[test]
fn three_hundred_vms_in_six_halls_quarantine_culprits_in_time() {
    let plan = || Plan {
        halls: 6,
        vms_per_hall: 50,
        upstreams: 160,
        bystanders_per_s: 700,
        culprits: 3,
        ..Plan::default()
    };
    let outcome = replay(plan, 1);
    assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
    assert_eq!(outcome.bystanders_rejected, 0, "{outcome:?}");
}

/// Checks both sides of the promise about crashing segments.
fn assert_segments_are_quarantined(outcome: &Outcome) {
    assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
    assert!(outcome.late_bystanders >= 20, "{outcome:?}");
    assert!(
        outcome.late_accepted * 2 >= outcome.late_bystanders,
        "{outcome:?}"
    );
}

fn seven_vms() -> Plan {
    Plan {
        halls: 7,
        vms_per_hall: 1,
        upstreams: 12,
        culprits: 0,
        crashing_segments: 1,
        ..Plan::default()
    }
}

fn eighty_four_vms() -> Plan {
    Plan {
        halls: 4,
        vms_per_hall: 21,
        upstreams: 60,
        bystanders_per_s: 300,
        ..seven_vms()
    }
}

fn three_hundred_vms() -> Plan {
    Plan {
        halls: 6,
        vms_per_hall: 50,
        upstreams: 160,
        bystanders_per_s: 700,
        ..seven_vms()
    }
}

#[test]
fn seven_vms_quarantine_a_crashing_segment_and_serve_what_shares_the_rest() {
    assert_segments_are_quarantined(&replay(seven_vms, 10));
}

#[test]
fn eighty_four_vms_quarantine_a_crashing_segment_and_serve_the_rest() {
    assert_segments_are_quarantined(&replay(eighty_four_vms, 2));
}

#[test]
fn three_hundred_vms_quarantine_a_crashing_segment_and_serve_the_rest() {
    assert_segments_are_quarantined(&replay(three_hundred_vms, 1));
}

#[test]
fn two_crashing_segments_and_a_request_at_once_are_quarantined() {
    let plan = || Plan {
        culprits: 1,
        crashing_segments: 2,
        first_culprit_ms: LATE_FIRST_CULPRIT_MS,
        ..seven_vms()
    };
    assert_segments_are_quarantined(&replay(plan, 10));
}

#[test]
fn a_segment_that_completed_before_it_crashed_upstreams_is_quarantined() {
    let plan = || Plan { segments_sound_until_ms: 3_000, ..seven_vms() };
    assert_segments_are_quarantined(&replay(plan, 10));
    let plan = || Plan { segments_sound_until_ms: 3_000, ..eighty_four_vms() };
    assert_segments_are_quarantined(&replay(plan, 1));
}

#[test]
fn a_crashing_segment_is_quarantined_on_both_sides_of_a_partition() {
    let plan = || Plan { partitioned_hall: Some(1), ..eighty_four_vms() };
    assert_segments_are_quarantined(&replay(plan, 2));
}

#[test]
fn a_crashing_segment_is_quarantined_while_vms_restart() {
    let plan = || Plan { restart_every_ms: Some(700), ..seven_vms() };
    assert_segments_are_quarantined(&replay(plan, 10));
}

/// No segment completes at a service all of whose upstreams are down.
#[test]
fn the_loss_of_all_upstreams_at_once_quarantines_no_segment() {
    let plan = || Plan {
        crashing_segments: 0,
        rack_failure: Some((12, LATE_RACK_FAILURE_MS)),
        ..seven_vms()
    };
    let outcome = replay(plan, 10);
    assert_eq!(outcome.rejected_for_segment, 0, "{outcome:?}");
}

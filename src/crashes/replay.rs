//! Replays of requests that crash upstreams, with the VMs of a whole fleet
//! that tell each other what they see, by a clock.
//!
//! Upstreams run many requests at once, and all of them end with one. What
//! broke off is tried again at those that are left, beside what ended the
//! first. Each replay counts the upstreams that ended, the sends of culprits
//! later than operators allow, and the refusals of requests that were only
//! there by chance.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    clock::Clock,
    crashes::{digest::RequestDigest, tracker::NextStep},
    gateway::test_fleet::Fleet,
    http_client::Listening,
    message::ShortHash,
};

/// Time in which all VMs are to know what they need, as operators state it.
const CONTACT_MS: u64 = 3_000;

/// Sends that operators allow after that time, once three have ended.
const SENDS_MOST: usize = 3;

/// Attempts that a route allows.
const ATTEMPTS: u32 = 3;

/// Time that an upstream is gone which has crashed.
const BACK_AFTER_MS: u64 = 3_000;

/// Time until an upstream that runs a culprit ends.
const CRASH_AFTER_MS: u64 = 60;

/// Time after which a caller whose request failed sends it once more, to any
/// VM.
const RETURN_AFTER_MS: u64 = 200;

/// Time that other requests run.
const RUN_MS: u64 = 1_000;

/// Length of a replay.
const LENGTH_MS: u64 = 12_000;

/// When the first culprit comes.
const BEGIN_MS: u64 = 1_000;

/// The first digests are those of culprits, and the next that of a request
/// that many callers of one organisation send alike.
const HOT: u64 = 100;
const FIRST_USUAL: u64 = 1_000;

/// When a rack is lost, right after the first culprit has come.
const RACK_MS: u64 = 1_100;

/// When one is lost beside requests that are alike, the first of which have
/// ended by then.
const LATE_RACK_MS: u64 = 2_100;

/// Time in which VMs that hear each other know what one of them does: two
/// beats.
const TOLD_MS: u64 = 1_000;

/// What is played.
struct Plan {
    halls: usize,
    vms_of_hall: usize,
    upstreams: usize,
    /// Usual requests in a second.
    usual_per_s: u64,
    culprits: u64,
    /// Time between two tries of each culprit, at any VM.
    culprit_every_ms: u64,
    /// Requests in a second that are alike.
    hot_per_s: u64,
    /// Upstreams that lose power together, and when.
    rack: Option<(usize, u64)>,
}

impl Default for Plan {
    /// A small site: nine VMs before eighteen engines.
    fn default() -> Plan {
        Plan {
            halls: 3,
            vms_of_hall: 3,
            upstreams: 18,
            usual_per_s: 100,
            culprits: 1,
            culprit_every_ms: 300,
            hot_per_s: 0,
            rack: None,
        }
    }
}

/// What a replay has shown.
#[derive(Debug, Default)]
struct Outcome {
    /// Upstreams that ended under culprits.
    ended: usize,
    /// The most sends of one culprit later than operators allow.
    sends_later: usize,
    /// Other requests that came, and how many of them were refused as if they
    /// were culprits.
    others: usize,
    others_refused: usize,
    /// When the last of them was refused.
    last_refused_ms: u64,
    /// Others of which no attempt brought an answer.
    others_failed: usize,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    vm: usize,
    request: RequestDigest,
    began_ms: u64,
    attempts_left: u32,
}

#[derive(Debug, Default)]
struct Upstream {
    life: u32,
    down_until_ms: u64,
    runs: Vec<Run>,
}

struct Replay {
    plan: Plan,
    fleet: Fleet,
    random: StdRng,
    upstreams: Vec<Upstream>,
    next_life: u32,
    next_usual: u64,
    /// Requests that are sent once more, and when; and all that were.
    returns: Vec<(u64, RequestDigest)>,
    returned: BTreeSet<RequestDigest>,
    /// The ends under each culprit, and its sends, by time.
    ends: BTreeMap<RequestDigest, Vec<u64>>,
    sends: BTreeMap<RequestDigest, Vec<u64>>,
    outcome: Outcome,
}

impl Replay {
    fn new(plan: Plan, seed: u64) -> Replay {
        let fleet = Fleet::new(plan.halls, plan.vms_of_hall);
        let upstreams = (1..=plan.upstreams as u32)
            .map(|life| Upstream { life, ..Upstream::default() });
        Replay {
            upstreams: upstreams.collect(),
            next_life: plan.upstreams as u32 + 1,
            next_usual: FIRST_USUAL,
            random: StdRng::seed_from_u64(seed),
            returns: Vec::new(),
            returned: BTreeSet::new(),
            ends: BTreeMap::new(),
            sends: BTreeMap::new(),
            outcome: Outcome::default(),
            fleet,
            plan,
        }
    }

    fn is_culprit(&self, request: RequestDigest) -> bool {
        request.0 < self.plan.culprits
    }

    fn run(mut self) -> Outcome {
        while self.fleet.elapsed_ms < LENGTH_MS {
            self.fleet.step();
            self.arrive();
            self.end_runs();
            self.lose_rack();
            self.come_back();
        }
        self.outcome.sends_later = self.sends_later();
        self.outcome
    }

    fn arrive(&mut self) {
        let now_ms = self.fleet.elapsed_ms;
        for _ in 0..self.count_of(self.plan.usual_per_s) {
            let request = RequestDigest(self.next_usual);
            self.next_usual += 1;
            self.come(request);
        }
        for _ in 0..self.count_of(self.plan.hot_per_s) {
            self.come(RequestDigest(HOT));
        }
        let is_due = |(at_ms, _): &(u64, RequestDigest)| *at_ms <= now_ms;
        let (due, later) = self.returns.drain(..).partition(is_due);
        self.returns = later;
        let due: Vec<(u64, RequestDigest)> = due;
        for (_, request) in due {
            let vm = self.random.random_range(0..self.fleet.vms.len());
            self.attempt(vm, request, ATTEMPTS);
        }
        let every_ms = self.plan.culprit_every_ms;
        for culprit in 0..self.plan.culprits {
            let is_due = (now_ms + culprit * 70).is_multiple_of(every_ms);
            if now_ms >= BEGIN_MS && is_due {
                self.come(RequestDigest(culprit));
            }
        }
    }

    /// How many of so many in a second come in one step.
    fn count_of(&mut self, per_s: u64) -> u64 {
        let (whole, rest) = (per_s / 100, per_s % 100);
        whole + u64::from(self.random.random_range(0..100) < rest)
    }

    fn come(&mut self, request: RequestDigest) {
        let vm = self.random.random_range(0..self.fleet.vms.len());
        if !self.is_culprit(request) {
            self.outcome.others += 1;
        }
        self.attempt(vm, request, ATTEMPTS);
    }

    /// Sends a request to any upstream, unless the VM holds it back.
    fn attempt(&mut self, vm: usize, request: RequestDigest, left: u32) {
        let is_culprit = self.is_culprit(request);
        let now_ms = self.fleet.elapsed_ms;
        let now = self.fleet.clock.now();
        let is_held = self.fleet.vms[vm].crashes.is_quarantined(request, now);
        if is_held && left > 0 {
            self.note_refused(request);
            return;
        }
        let living: Vec<usize> = (0..self.upstreams.len())
            .filter(|at| self.upstreams[*at].down_until_ms <= now_ms)
            .collect();
        if left == 0 || living.is_empty() {
            self.note_failed(request);
            return;
        }
        if is_culprit {
            self.sends.entry(request).or_default().push(now_ms);
        }
        let at = living[self.random.random_range(0..living.len())];
        let run =
            Run { vm, request, began_ms: now_ms, attempts_left: left - 1 };
        self.upstreams[at].runs.push(run);
    }

    /// No attempt has brought an answer; its caller tries once more.
    fn note_failed(&mut self, request: RequestDigest) {
        if self.is_culprit(request) {
            return;
        }
        if self.returned.insert(request) {
            let at_ms = self.fleet.elapsed_ms + RETURN_AFTER_MS;
            self.returns.push((at_ms, request));
        } else {
            self.outcome.others_failed += 1;
        }
    }

    fn note_refused(&mut self, request: RequestDigest) {
        if !self.is_culprit(request) {
            self.outcome.others_refused += 1;
            self.outcome.last_refused_ms = self.fleet.elapsed_ms;
        }
    }

    /// Ends what has run for long enough, and the upstreams of culprits.
    fn end_runs(&mut self) {
        let now_ms = self.fleet.elapsed_ms;
        for at in 0..self.upstreams.len() {
            let culprit = self.upstreams[at].runs.iter().find(|run| {
                let ran_ms = now_ms - run.began_ms;
                self.is_culprit(run.request) && ran_ms >= CRASH_AFTER_MS
            });
            if let Some(request) = culprit.map(|run| run.request) {
                self.ends.entry(request).or_default().push(now_ms);
                self.outcome.ended += 1;
                self.crash(at);
                continue;
            }
            let is_over = |run: &Run| now_ms - run.began_ms >= RUN_MS;
            let runs = &mut self.upstreams[at].runs;
            let over: Vec<Run> =
                runs.iter().copied().filter(is_over).collect();
            runs.retain(|run| !is_over(run));
            let now = self.fleet.clock.now();
            for run in over {
                let crashes = &self.fleet.vms[run.vm].crashes;
                crashes.record_completed(run.request, now);
            }
        }
    }

    /// An upstream ends; each VM sees its attempts there lost, and that it
    /// takes no connections.
    fn crash(&mut self, at: usize) {
        let now_ms = self.fleet.elapsed_ms;
        let now = self.fleet.clock.now();
        let upstream = &mut self.upstreams[at];
        let life = ShortHash(upstream.life);
        upstream.down_until_ms = now_ms + BACK_AFTER_MS;
        let runs = std::mem::take(&mut upstream.runs);
        for run in &runs {
            let crashes = &self.fleet.vms[run.vm].crashes;
            let began_at = now - Duration::from_millis(now_ms - run.began_ms);
            let (next, _) =
                crashes.record_lost_attempt(run.request, life, began_at, now);
            if next == NextStep::Check {
                crashes.record_probe(life, Listening::No, now);
            }
            self.fleet.schedule_early_heartbeat(run.vm);
        }
        for run in runs {
            self.attempt(run.vm, run.request, run.attempts_left);
        }
    }

    fn lose_rack(&mut self) {
        if let Some((size, at_ms)) = self.plan.rack
            && self.fleet.elapsed_ms == at_ms
        {
            (0..size).for_each(|at| self.crash(at));
        }
    }

    /// Gives upstreams that are back a new life.
    fn come_back(&mut self) {
        let now_ms = self.fleet.elapsed_ms;
        for upstream in &mut self.upstreams {
            if upstream.down_until_ms == now_ms {
                upstream.life = self.next_life;
                self.next_life += 1;
            }
        }
    }

    fn sends_later(&self) -> usize {
        let later = self.sends.iter().map(|(request, sends)| {
            let ends = self.ends.get(request);
            let third = ends.and_then(|ends| ends.get(2));
            third.map_or(0, |third| {
                let allowed = third + CONTACT_MS;
                sends.iter().filter(|at| **at > allowed).count()
            })
        });
        later.max().unwrap_or(0)
    }
}

/// Plays a plan with some seeds, and adds up what they show.
fn play(plan: impl Fn() -> Plan, seeds: u64) -> Outcome {
    let mut sum = Outcome::default();
    let mut culprits = BTreeSet::new();
    for seed in 0..seeds {
        let outcome = Replay::new(plan(), seed).run();
        culprits.insert(outcome.ended);
        sum.ended += outcome.ended;
        sum.sends_later = sum.sends_later.max(outcome.sends_later);
        sum.others += outcome.others;
        sum.others_refused += outcome.others_refused;
        sum.last_refused_ms = sum.last_refused_ms.max(outcome.last_refused_ms);
        sum.others_failed += outcome.others_failed;
    }
    println!("{seeds} seeds, ended {culprits:?}: {sum:?}");
    sum
}

#[test]
fn one_culprit_at_a_small_site() {
    let outcome = play(Plan::default, 10);
    assert!(outcome.sends_later <= SENDS_MOST, "{outcome:?}");
    assert_eq!(outcome.others_refused, 0, "{outcome:?}");
}

#[test]
fn three_culprits_at_once() {
    let plan = || Plan { culprits: 3, ..Plan::default() };
    let outcome = play(plan, 10);
    assert!(outcome.sends_later <= SENDS_MOST, "{outcome:?}");
    assert_eq!(outcome.others_refused, 0, "{outcome:?}");
}

/// What saw the rack end and then two upstreams of the culprit may be refused
/// until the culprit's part in those is told.
#[test]
fn a_culprit_while_a_rack_is_lost() {
    let plan = || Plan { rack: Some((6, RACK_MS)), ..Plan::default() };
    let outcome = play(plan, 10);
    assert!(outcome.sends_later <= SENDS_MOST, "{outcome:?}");
    assert!(outcome.last_refused_ms <= RACK_MS + TOLD_MS, "{outcome:?}");
}

/// Many callers of one organisation send alike, so that it is at every
/// upstream of a rack that is lost. A VM that has not had it yet holds it back
/// until another tells that it has run.
#[test]
fn a_request_that_many_send_is_taken_again_at_once_after_a_rack() {
    let plan = || Plan {
        culprits: 0,
        hot_per_s: 30,
        rack: Some((6, LATE_RACK_MS)),
        ..Plan::default()
    };
    let outcome = play(plan, 10);
    assert!(outcome.last_refused_ms <= LATE_RACK_MS + TOLD_MS, "{outcome:?}");
}

#[test]
fn eighty_vms_in_four_halls() {
    let plan = || Plan {
        halls: 4,
        vms_of_hall: 20,
        upstreams: 60,
        usual_per_s: 300,
        ..Plan::default()
    };
    let outcome = play(plan, 2);
    assert!(outcome.sends_later <= SENDS_MOST, "{outcome:?}");
    assert_eq!(outcome.others_refused, 0, "{outcome:?}");
}

#[test]
fn three_hundred_vms_in_six_halls() {
    let plan = || Plan {
        halls: 6,
        vms_of_hall: 50,
        upstreams: 160,
        usual_per_s: 700,
        culprits: 3,
        ..Plan::default()
    };
    let outcome = play(plan, 1);
    assert!(outcome.sends_later <= SENDS_MOST, "{outcome:?}");
    assert_eq!(outcome.others_refused, 0, "{outcome:?}");
}

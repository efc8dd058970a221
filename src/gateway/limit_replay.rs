//! Upstreams that name a rate limit for twelve seconds, before fleets whose
//! VMs tell each other what real ones do: one upstream, those of a data hall,
//! and all of a service.
//!
//! Requests of 40 ms come at all VMs alike. Each answer says what the upstream takes at that moment.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    clock::{BootInstant, Clock},
    gateway::test_fleet::{Fleet, STEP_MS},
    placing::{
        member::{Member, UpstreamEntry, UpstreamState},
        pool::PickCriteria,
        signals::{RateLimit, UpstreamSignals},
        upstream::InFlightGuard,
    },
    unit::RequestRate,
};

const WORK: Duration = Duration::from_millis(40);

/// Requests that come for each upstream in a second.
const PER_UPSTREAM_S: f64 = 15.0;

/// When the limits begin and end.
const LIMITED_FROM_MS: u64 = 2_000;
const LIMITED_TO_MS: u64 = 14_000;
const LENGTH_MS: u64 = 20_000;

/// When VMs start again, and from when to when a data hall is cut off.
const RESTARTS_MS: [u64; 2] = [6_000, 9_000];
const CUT_OFF_MS: std::ops::Range<u64> = 4_000..11_000;

/// Time after which all VMs are to keep to a limit, as operators state it.
const CONTACT_MS: u64 = 3_000;

/// Time after which a VM that was told counts.
const TOLD_MS: u64 = 500;

/// The span over which operators count, and what they allow in it.
const WINDOW_MS: u64 = 4_000;
const FACTOR: f64 = 1.5;
const TOLERANCE: f64 = 5.0;

/// The span in which an upstream's load is looked at, and the part of the
/// usual that it has to have to be even again.
const LOOK_MS: u64 = 250;
const EVEN_LEAST: f64 = 0.6;

/// Part of what a limit allows that is to be used.
const USED_LEAST: f64 = 0.8;

/// Which upstreams name a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Limited {
    One,
    Hall,
    All,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    halls: usize,
    vms_of_hall: usize,
    upstreams: usize,
    limited: Limited,
    per_s: f64,
    trouble: Option<Trouble>,
}

/// What goes wrong while the limits hold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// A third of the VMs start again, and then another third.
    Restarts,
    /// No beat reaches or leaves a data hall.
    HallCutOff,
}

/// What came of it.
#[derive(Debug, Default)]
#[expect(dead_code, reason = "printed for the design page")]
struct Figures {
    asked: usize,
    refused: usize,
    /// The most in one window at one upstream, of VMs that it had told, and
    /// of all.
    most: usize,
    most_of_all: usize,
    /// Part of what the limits allow that was used.
    used: f64,
    /// Until the upstreams have their load again.
    even_after_ms: u64,
    /// The most at one upstream in a look after the end, in requests that
    /// usually come.
    peak: f64,
}

/// A request that is worked on.
struct Work {
    ends_at: BootInstant,
    vm: usize,
    member: Arc<Member>,
    _in_flight: InFlightGuard,
}

struct Replay {
    case: Case,
    fleet: Fleet,
    rng: StdRng,
    working: VecDeque<Work>,
    /// When each VM was first told by each upstream.
    told_at_ms: HashMap<(usize, usize), u64>,
    /// What came at each upstream, when, and whether its VM had been told.
    arrivals: Vec<Vec<(u64, bool)>>,
    asked: usize,
    refused: usize,
}

impl Replay {
    fn new(case: Case) -> Replay {
        let replay = Replay {
            fleet: Fleet::new(case.halls, case.vms_of_hall),
            rng: StdRng::seed_from_u64(7),
            working: VecDeque::new(),
            told_at_ms: HashMap::new(),
            arrivals: vec![Vec::new(); case.upstreams],
            asked: 0,
            refused: 0,
            case,
        };
        for number in 0..replay.fleet.vms.len() {
            replay.learn_from_store(number);
        }
        replay
    }

    /// Has a VM know all records.
    fn learn_from_store(&self, number: usize) {
        let (fleet, pool) = (&self.fleet, &self.fleet.vms[number].pool);
        for other in 0..fleet.vms.len() {
            let hall = fleet.hall_name(other).parse().unwrap();
            pool.add_vm(&format!("vm-{other}"), &hall);
        }
        for upstream in 0..self.case.upstreams {
            let entry = entry(upstream, self.case.halls);
            pool.set(entry, fleet.clock.now());
        }
    }

    fn make_trouble(&mut self) {
        let passed_ms = self.fleet.elapsed_ms;
        match self.case.trouble {
            None => {}
            Some(Trouble::HallCutOff) => {
                let is_cut = CUT_OFF_MS.contains(&passed_ms);
                self.fleet.partitioned_hall = is_cut.then_some(0);
            }
            Some(Trouble::Restarts) => {
                let at = RESTARTS_MS.iter().position(|at| *at == passed_ms);
                let Some(third) = at else { return };
                for number in (third..self.fleet.vms.len()).step_by(3) {
                    self.restart(number);
                }
            }
        }
    }

    /// Starts a VM again, which counts as told by nobody.
    fn restart(&mut self, number: usize) {
        self.fleet.restart(number);
        self.learn_from_store(number);
        self.told_at_ms.retain(|(vm, _), _| *vm != number);
        self.working.retain(|work| work.vm != number);
    }

    fn is_limited(&self, upstream: usize) -> bool {
        match self.case.limited {
            Limited::One => upstream == 0,
            Limited::Hall => upstream.is_multiple_of(self.case.halls),
            Limited::All => true,
        }
    }

    fn names_limit(&self, upstream: usize) -> bool {
        let is_time =
            (LIMITED_FROM_MS..LIMITED_TO_MS).contains(&self.fleet.elapsed_ms);
        is_time && self.is_limited(upstream)
    }

    fn run(mut self) -> Figures {
        let mut due = 0.0;
        while self.fleet.elapsed_ms < LENGTH_MS {
            self.fleet.step();
            self.make_trouble();
            self.answer();
            let rate = PER_UPSTREAM_S * self.case.upstreams as f64;
            due += rate * STEP_MS as f64 / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
        }
        self.sum_up()
    }

    fn answer(&mut self) {
        let now = self.fleet.clock.now();
        while self.working.front().is_some_and(|work| work.ends_at <= now) {
            let Some(work) = self.working.pop_front() else { break };
            let upstream = number(&work.member);
            let limit = match self.names_limit(upstream) {
                true => RateLimit::At(rate(self.case.per_s)),
                false => RateLimit::Unlimited,
            };
            if limit != RateLimit::Unlimited {
                let passed_ms = self.fleet.elapsed_ms;
                let told = self.told_at_ms.entry((work.vm, upstream));
                told.or_insert(passed_ms);
            }
            let statement = UpstreamSignals {
                rate_limit: Some(limit),
                ..UpstreamSignals::default()
            };
            let vm = self.fleet.vms[work.vm].clone();
            let news = vm.pool.apply_signals(
                &work.member,
                &statement,
                now.checked_sub(WORK).unwrap(),
                now,
            );
            if !news.is_empty() {
                self.fleet.schedule_early_heartbeat(work.vm);
            }
        }
    }

    fn request(&mut self) {
        self.asked += 1;
        let at = self.rng.random_range(0..self.fleet.vms.len());
        let vm = self.fleet.vms[at].clone();
        let service = "writers".parse().unwrap();
        let now = self.fleet.clock.now();
        let picked = vm.pool.pick(&service, &PickCriteria::default(), now);
        let Ok(member) = picked else {
            self.refused += 1;
            return;
        };
        let upstream = number(&member);
        let passed_ms = self.fleet.elapsed_ms;
        let told_ms = self.told_at_ms.get(&(at, upstream));
        let was_told = told_ms.is_some_and(|told| passed_ms >= told + TOLD_MS);
        self.arrivals[upstream].push((passed_ms, was_told));
        self.working.push_back(Work {
            ends_at: now + WORK,
            vm: at,
            _in_flight: member.upstream.begin(),
            member,
        });
    }

    fn sum_up(self) -> Figures {
        let limited: Vec<&Vec<(u64, bool)>> = (0..self.case.upstreams)
            .filter(|upstream| self.is_limited(*upstream))
            .map(|upstream| &self.arrivals[upstream])
            .collect();
        let kept_from = LIMITED_FROM_MS + CONTACT_MS;
        let most = limited.iter().map(|arrivals| {
            let told = arrivals.iter().filter(|(_, was_told)| *was_told);
            most_in_window(told)
        });
        let all =
            limited.iter().map(|arrivals| most_in_window(arrivals.iter()));
        let used = limited.iter().flat_map(|arrivals| arrivals.iter());
        let used = used
            .filter(|(at, _)| (kept_from..LIMITED_TO_MS).contains(at))
            .count() as f64;
        let span_s = (LIMITED_TO_MS - kept_from) as f64 / 1000.0;
        let allowed = self.case.per_s.min(PER_UPSTREAM_S) * span_s;
        let usual = PER_UPSTREAM_S * LOOK_MS as f64 / 1000.0;
        let looks = (LIMITED_TO_MS..LENGTH_MS).step_by(LOOK_MS as usize);
        let came = |arrivals: &Vec<(u64, bool)>, from: u64| {
            let within = from..from + LOOK_MS;
            arrivals.iter().filter(|(at, _)| within.contains(at)).count()
        };
        let of_all = |from: u64| -> usize {
            limited.iter().map(|arrivals| came(arrivals, from)).sum()
        };
        let even = usual * limited.len() as f64 * EVEN_LEAST;
        let even_at = looks.clone().find(|from| of_all(*from) as f64 >= even);
        let peak = looks
            .flat_map(|from| limited.iter().map(move |a| came(a, from)))
            .max()
            .unwrap_or(0);
        Figures {
            asked: self.asked,
            refused: self.refused,
            most: most.max().unwrap_or(0),
            most_of_all: all.max().unwrap_or(0),
            used: used / (allowed * limited.len() as f64),
            even_after_ms: even_at.unwrap_or(LENGTH_MS) - LIMITED_TO_MS,
            peak: peak as f64 / usual,
        }
    }
}

fn rate(per_s: f64) -> RequestRate {
    per_s.to_string().parse().unwrap()
}

fn number(member: &Member) -> usize {
    member.entry.id.as_str()[2..].parse().unwrap()
}

fn entry(upstream: usize, halls: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("i-{upstream}").parse().unwrap(),
        started: None,
        service: "writers".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_hall: format!("hall-{}", upstream % halls).parse().unwrap(),
        software: "v1".parse().unwrap(),
        slots: 10,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
    }
}

/// The most in a window that ends once all VMs are to keep to the limit.
fn most_in_window<'a>(
    arrivals: impl Iterator<Item = &'a (u64, bool)>,
) -> usize {
    let arrivals: Vec<u64> = arrivals.map(|(at, _)| *at).collect();
    let kept = LIMITED_FROM_MS + CONTACT_MS..LIMITED_TO_MS;
    let ends = arrivals.iter().filter(|at| kept.contains(at));
    let counts = ends.map(|end| {
        let within = end.saturating_sub(WINDOW_MS) + 1..=*end;
        arrivals.iter().filter(|at| within.contains(at)).count()
    });
    counts.max().unwrap_or(0)
}

/// What is allowed and what came of it.
fn play(case: Case) -> (f64, Figures) {
    let figures = Replay::new(case).run();
    println!("{case:?}: {figures:?}");
    let window_s = WINDOW_MS as f64 / 1000.0;
    (case.per_s * window_s * FACTOR + TOLERANCE, figures)
}

fn is_kept(case: Case) {
    let (allowed, figures) = play(case);
    assert!(figures.most as f64 <= allowed, "{case:?}: {figures:?}");
    // Where others have room, nobody needs what is left of a limit.
    let is_enough = figures.refused == 0 || figures.used >= USED_LEAST;
    assert!(is_enough, "{case:?}: {figures:?}");
}

const SMALL: Case = Case {
    halls: 4,
    vms_of_hall: 2,
    upstreams: 12,
    limited: Limited::One,
    per_s: 1.1,
    trouble: None,
};

const MEDIUM: Case = Case { vms_of_hall: 21, upstreams: 40, ..SMALL };

const LARGE: Case = Case { halls: 6, vms_of_hall: 50, upstreams: 60, ..SMALL };

#[test]
fn eight_vms_keep_to_the_limits_of_upstreams() {
    for limited in [Limited::One, Limited::Hall, Limited::All] {
        for per_s in [1.1, 5.0, 40.0] {
            is_kept(Case { limited, per_s, ..SMALL });
        }
    }
}

#[test]
fn eighty_four_vms_keep_to_the_limits_of_upstreams() {
    is_kept(Case { limited: Limited::Hall, ..MEDIUM });
    is_kept(Case { limited: Limited::All, per_s: 5.0, ..MEDIUM });
}

#[test]
fn three_hundred_vms_keep_to_the_limits_of_upstreams() {
    is_kept(Case { limited: Limited::All, ..LARGE });
}

#[test]
fn limits_are_kept_while_vms_start_again_and_while_a_hall_is_cut_off() {
    for trouble in [Trouble::Restarts, Trouble::HallCutOff] {
        for fleet in [SMALL, MEDIUM] {
            let trouble = Some(trouble);
            is_kept(Case { limited: Limited::All, trouble, ..fleet });
        }
    }
}

#[test]
#[ignore = "takes minutes; prints the table of the design page"]
fn every_fleet_keeps_to_every_limit() {
    for fleet in [SMALL, MEDIUM, LARGE] {
        for limited in [Limited::One, Limited::Hall, Limited::All] {
            for per_s in [0.3, 1.1, 5.0, 40.0] {
                is_kept(Case { limited, per_s, ..fleet });
            }
        }
    }
}

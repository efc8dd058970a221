//! Simulates fleets whose upstreams report a rate limit for twelve seconds:
//! one upstream, those of a data hall, or all of a service. The VMs gossip as
//! real ones do.
//!
//! Requests of 40 ms arrive evenly at all VMs, or most of them at one. Each
//! response carries the rate limit of the upstream at that moment.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    clock::{BootInstant, Clock},
    gateway::{
        Gateway,
        test_fleet::{Fleet, STEP_MS},
    },
    placing::{
        member::{Member, UpstreamEntry, UpstreamState},
        permit_lenders::MAX_ASKED,
        pool::PickCriteria,
        signals::{RateLimit, UpstreamSignals},
        upstream::InFlightGuard,
    },
    unit::RequestRate,
};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(40);

/// Requests per second that arrive for each upstream.
const RATE_PER_UPSTREAM: f64 = 15.0;

/// When the limits begin and end.
const LIMITED_FROM_MS: u64 = 2_000;
const LIMITED_TO_MS: u64 = 14_000;
const DURATION_MS: u64 = 20_000;

/// When VMs restart, and when a data hall is partitioned.
const RESTARTS_MS: [u64; 2] = [6_000, 9_000];
const PARTITION_MS: std::ops::Range<u64> = 4_000..11_000;

/// Time after which all VMs have to respect a limit, as operators state it.
const LIMIT_GRACE_MS: u64 = 3_000;

/// Time after which a VM that has received a limit has to respect it.
const INFORMED_GRACE_MS: u64 = 500;

/// The window over which operators count requests, and the factor and the
/// tolerance that they allow in it.
const WINDOW_MS: u64 = 4_000;
const FACTOR: f64 = 1.5;
const TOLERANCE: f64 = 5.0;

/// The interval over which the load of an upstream is sampled, and the
/// fraction of the usual load at which it counts as recovered.
const SAMPLE_MS: u64 = 250;
const MIN_RECOVERED_FRACTION: f64 = 0.6;

/// The VM that a load balancer prefers.
const PREFERRED_VM: usize = 1;

/// Fraction of a limit that has to be used.
const MIN_USED_FRACTION: f64 = 0.8;

/// Which upstreams report a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Limited {
    One,
    Hall,
    All,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    halls: usize,
    vms_per_hall: usize,
    upstreams: usize,
    limited: Limited,
    per_s: f64,
    disruption: Option<Disruption>,
    /// The part of the requests that arrives at one VM, beside its part of the
    /// others.
    preferred_share: f64,
}

/// A disruption while the limits are in force.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disruption {
    /// A third of the VMs restart, and later another third.
    Restarts,
    /// No heartbeat reaches or leaves a data hall.
    HallPartitioned,
}

/// The results of a simulation.
#[derive(Debug, Default)]
#[expect(dead_code, reason = "printed for the design page")]
struct Results {
    requests: usize,
    rejected: usize,
    /// The largest number of requests in one window at one upstream, from VMs
    /// that had received the limit, and from all VMs.
    max_informed: usize,
    max_of_all: usize,
    /// Fraction of the limits that was used.
    used: f64,
    /// Time until the upstreams have their usual load again.
    recovered_after_ms: u64,
    /// The largest load of one upstream in a sample after the limits end, as a
    /// multiple of the usual load.
    peak: f64,
}

/// A request in progress.
struct Running {
    ends_at: BootInstant,
    vm: usize,
    member: Arc<Member>,
    _in_flight: InFlightGuard,
}

struct Simulation {
    case: Case,
    fleet: Fleet,
    rng: StdRng,
    in_progress: VecDeque<Running>,
    /// When each VM first received a limit from each upstream.
    informed_at_ms: HashMap<(usize, usize), u64>,
    /// The requests at each upstream: when each arrived, and whether its VM
    /// had received the limit.
    arrivals: Vec<Vec<(u64, bool)>>,
    requests: usize,
    rejected: usize,
}

impl Simulation {
    fn new(case: Case) -> Simulation {
        let simulation = Simulation {
            fleet: Fleet::new(case.halls, case.vms_per_hall),
            rng: StdRng::seed_from_u64(7),
            in_progress: VecDeque::new(),
            informed_at_ms: HashMap::new(),
            arrivals: vec![Vec::new(); case.upstreams],
            requests: 0,
            rejected: 0,
            case,
        };
        for number in 0..simulation.fleet.vms.len() {
            simulation.learn_from_store(number);
        }
        simulation
    }

    /// Applies all records of the store to a VM.
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

    fn apply_disruption(&mut self) {
        let now_ms = self.fleet.elapsed_ms;
        match self.case.disruption {
            None => {}
            Some(Disruption::HallPartitioned) => {
                let is_partitioned = PARTITION_MS.contains(&now_ms);
                self.fleet.partitioned_hall = is_partitioned.then_some(0);
            }
            Some(Disruption::Restarts) => {
                let at = RESTARTS_MS.iter().position(|at| *at == now_ms);
                let Some(third) = at else { return };
                for number in (third..self.fleet.vms.len()).step_by(3) {
                    self.restart(number);
                }
            }
        }
    }

    /// Restarts a VM, which then counts as having received no limit.
    fn restart(&mut self, number: usize) {
        self.fleet.restart(number);
        self.learn_from_store(number);
        self.informed_at_ms.retain(|(vm, _), _| *vm != number);
        self.in_progress.retain(|work| work.vm != number);
    }

    fn is_limited(&self, upstream: usize) -> bool {
        match self.case.limited {
            Limited::One => upstream == 0,
            Limited::Hall => upstream.is_multiple_of(self.case.halls),
            Limited::All => true,
        }
    }

    fn reports_limit(&self, upstream: usize) -> bool {
        let is_in_force =
            (LIMITED_FROM_MS..LIMITED_TO_MS).contains(&self.fleet.elapsed_ms);
        is_in_force && self.is_limited(upstream)
    }

    fn run(mut self) -> Results {
        let mut due = 0.0;
        while self.fleet.elapsed_ms < DURATION_MS {
            self.fleet.step();
            self.apply_disruption();
            self.end_due_requests();
            let rate = RATE_PER_UPSTREAM * self.case.upstreams as f64;
            due += rate * STEP_MS as f64 / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.send_request();
            }
        }
        self.into_results()
    }

    /// Ends the requests that are due; their VMs receive the signals of the
    /// responses.
    fn end_due_requests(&mut self) {
        let now = self.fleet.clock.now();
        while self.in_progress.front().is_some_and(|work| work.ends_at <= now)
        {
            let Some(work) = self.in_progress.pop_front() else { break };
            let upstream = number(&work.member);
            let limit = match self.reports_limit(upstream) {
                true => RateLimit::At(rate(self.case.per_s)),
                false => RateLimit::Unlimited,
            };
            if limit != RateLimit::Unlimited {
                let now_ms = self.fleet.elapsed_ms;
                let informed = self.informed_at_ms.entry((work.vm, upstream));
                informed.or_insert(now_ms);
            }
            let signals = UpstreamSignals {
                rate_limit: Some(limit),
                ..UpstreamSignals::default()
            };
            let vm = self.fleet.vms[work.vm].clone();
            let changes = vm.pool.apply_signals(
                &work.member,
                &signals,
                now.checked_sub(WORK).unwrap(),
                now,
            );
            if !changes.is_empty() {
                self.fleet.schedule_early_heartbeat(work.vm);
            }
        }
    }

    /// Sends one request through a random VM, or the preferred one.
    fn send_request(&mut self) {
        self.requests += 1;
        let at = match self.rng.random_bool(self.case.preferred_share) {
            true => PREFERRED_VM,
            false => self.rng.random_range(0..self.fleet.vms.len()),
        };
        let vm = self.fleet.vms[at].clone();
        let service = "writers".parse().unwrap();
        let now = self.fleet.clock.now();
        let picked = vm.pool.pick(&service, &PickCriteria::default(), now);
        let picked = picked.ok().or_else(|| self.borrow_permit(&vm, now));
        let Some(member) = picked else {
            self.rejected += 1;
            return;
        };
        let upstream = number(&member);
        let now_ms = self.fleet.elapsed_ms;
        let informed_ms = self.informed_at_ms.get(&(at, upstream));
        let was_informed = informed_ms
            .is_some_and(|informed| now_ms >= informed + INFORMED_GRACE_MS);
        self.arrivals[upstream].push((now_ms, was_informed));
        self.in_progress.push_back(Running {
            ends_at: now + WORK,
            vm: at,
            _in_flight: member.upstream.begin(),
            member,
        });
    }

    /// Picks an upstream with a permit of another VM.
    fn borrow_permit(
        &self,
        vm: &Gateway,
        now: BootInstant,
    ) -> Option<Arc<Member>> {
        let service = "writers".parse().unwrap();
        let criteria = PickCriteria::default();
        let upstreams = vm.pool.permit_candidates(&service, &criteria, now);
        let owners = vm.pool.permit_owners(&upstreams, now);
        for _ in 0..MAX_ASKED {
            let lender = vm.permit_lenders.choose(&service, &owners, now)?;
            let number: usize = lender["vm-".len()..].parse().unwrap();
            let pool = &self.fleet.vms[number].pool;
            match pool.lend_permit(&upstreams, now) {
                Ok(upstream) => {
                    let pool = &vm.pool;
                    return pool
                        .pick_permitted(&service, upstream, &criteria, now);
                }
                Err(wait) => {
                    let lenders = &vm.permit_lenders;
                    lenders.record_wait(&service, lender, wait, now);
                }
            }
        }
        None
    }

    fn into_results(self) -> Results {
        let limited: Vec<&Vec<(u64, bool)>> = (0..self.case.upstreams)
            .filter(|upstream| self.is_limited(*upstream))
            .map(|upstream| &self.arrivals[upstream])
            .collect();
        let enforced_from = LIMITED_FROM_MS + LIMIT_GRACE_MS;
        let max_informed = limited.iter().map(|arrivals| {
            let informed =
                arrivals.iter().filter(|(_, was_informed)| *was_informed);
            most_in_window(informed)
        });
        let all =
            limited.iter().map(|arrivals| most_in_window(arrivals.iter()));
        let used = limited.iter().flat_map(|arrivals| arrivals.iter());
        let used = used
            .filter(|(at, _)| (enforced_from..LIMITED_TO_MS).contains(at))
            .count() as f64;
        let span_s = (LIMITED_TO_MS - enforced_from) as f64 / 1000.0;
        let allowed = self.case.per_s.min(RATE_PER_UPSTREAM) * span_s;
        let usual = RATE_PER_UPSTREAM * SAMPLE_MS as f64 / 1000.0;
        let samples = (LIMITED_TO_MS..DURATION_MS).step_by(SAMPLE_MS as usize);
        let count = |arrivals: &Vec<(u64, bool)>, from: u64| {
            let within = from..from + SAMPLE_MS;
            arrivals.iter().filter(|(at, _)| within.contains(at)).count()
        };
        let of_all = |from: u64| -> usize {
            limited.iter().map(|arrivals| count(arrivals, from)).sum()
        };
        let recovered = usual * limited.len() as f64 * MIN_RECOVERED_FRACTION;
        let recovered_at =
            samples.clone().find(|from| of_all(*from) as f64 >= recovered);
        let peak = samples
            .flat_map(|from| limited.iter().map(move |a| count(a, from)))
            .max()
            .unwrap_or(0);
        Results {
            requests: self.requests,
            rejected: self.rejected,
            max_informed: max_informed.max().unwrap_or(0),
            max_of_all: all.max().unwrap_or(0),
            used: used / (allowed * limited.len() as f64),
            recovered_after_ms: recovered_at.unwrap_or(DURATION_MS)
                - LIMITED_TO_MS,
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
        sequence: 1,
    }
}

/// Returns the largest number of arrivals in a window that ends while all VMs
/// have to respect the limit.
fn most_in_window<'a>(
    arrivals: impl Iterator<Item = &'a (u64, bool)>,
) -> usize {
    let arrivals: Vec<u64> = arrivals.map(|(at, _)| *at).collect();
    let enforced = LIMITED_FROM_MS + LIMIT_GRACE_MS..LIMITED_TO_MS;
    let ends = arrivals.iter().filter(|at| enforced.contains(at));
    let counts = ends.map(|end| {
        let within = end.saturating_sub(WINDOW_MS) + 1..=*end;
        arrivals.iter().filter(|at| within.contains(at)).count()
    });
    counts.max().unwrap_or(0)
}

/// Runs a case; returns the number of requests allowed per window and the
/// results.
fn simulate(case: Case) -> (f64, Results) {
    let results = Simulation::new(case).run();
    println!("{case:?}: {results:?}");
    let window_s = WINDOW_MS as f64 / 1000.0;
    (case.per_s * window_s * FACTOR + TOLERANCE, results)
}

fn check_limits(case: Case) {
    let (allowed, results) = simulate(case);
    assert!(results.max_informed as f64 <= allowed, "{case:?}: {results:?}");
    // If no request is rejected, the limits need not be used up.
    let is_enough = results.rejected == 0 || results.used >= MIN_USED_FRACTION;
    assert!(is_enough, "{case:?}: {results:?}");
}

const SMALL: Case = Case {
    halls: 4,
    vms_per_hall: 2,
    upstreams: 12,
    limited: Limited::One,
    per_s: 1.1,
    disruption: None,
    preferred_share: 0.0,
};

const MEDIUM: Case = Case { vms_per_hall: 21, upstreams: 40, ..SMALL };

const LARGE: Case =
    Case { halls: 6, vms_per_hall: 50, upstreams: 60, ..SMALL };

#[test]
fn eight_vms_respect_upstream_rate_limits() {
    for limited in [Limited::One, Limited::Hall, Limited::All] {
        for per_s in [1.1, 5.0, 40.0] {
            check_limits(Case { limited, per_s, ..SMALL });
        }
    }
}

#[test]
fn eighty_four_vms_respect_upstream_rate_limits() {
    check_limits(Case { limited: Limited::Hall, ..MEDIUM });
    check_limits(Case { limited: Limited::All, per_s: 5.0, ..MEDIUM });
}

#[test]
fn three_hundred_vms_respect_upstream_rate_limits() {
    check_limits(Case { limited: Limited::All, ..LARGE });
}

#[test]
fn rate_limits_hold_during_restarts_and_a_hall_partition() {
    for disruption in [Disruption::Restarts, Disruption::HallPartitioned] {
        for fleet in [SMALL, MEDIUM] {
            let disruption = Some(disruption);
            check_limits(Case { limited: Limited::All, disruption, ..fleet });
        }
    }
}

/// A VM that gets most of the requests must not be left with its own share of
/// the limits.
#[test]
fn limits_are_used_where_most_requests_arrive_at_one_vm() {
    for fleet in [SMALL, MEDIUM, LARGE] {
        for per_s in [5.0, 20.0] {
            let limited = Limited::All;
            let preferred_share = 0.9;
            check_limits(Case { limited, per_s, preferred_share, ..fleet });
        }
    }
}

#[test]
#[ignore = "takes minutes; prints the table of the design page"]
fn every_fleet_keeps_to_every_limit() {
    for fleet in [SMALL, MEDIUM, LARGE] {
        for limited in [Limited::One, Limited::Hall, Limited::All] {
            for per_s in [0.3, 1.1, 5.0, 40.0] {
                check_limits(Case { limited, per_s, ..fleet });
            }
        }
    }
}

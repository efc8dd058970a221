//! Simulates upstreams that reject everything for nine seconds, each time with
//! a `Retry-After` of three seconds: one of them, a third, and all of a
//! service.
//!
//! Requests of 40 ms arrive at all VMs equally and are tried at up to three
//! upstreams. The VMs of a hall report their work to each other every half
//! second. The strategies compared:
//!
//! * **Ignore**: no VM honours `Retry-After`.
//! * **PerVm**: each VM honours the backoffs in its own responses.
//! * **PerHall**: a quarter of a second later, all VMs of a hall honour the
//!   backoff that one of them was asked for.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    tests::{SLACK, entry},
    *,
};
use crate::placing::{
    reported_state::ReportedState,
    signals::{RetryAfter, UpstreamSignals},
    upstream::InFlightGuard,
};

const STEP: Duration = Duration::from_millis(5);
const WORK: Duration = Duration::from_millis(40);
const BACKOFF: Duration = Duration::from_secs(3);
const IN_TRANSIT: Duration = Duration::from_millis(500);
const REPORT_DELAY: Duration = Duration::from_millis(250);
const HEARTBEAT: Duration = Duration::from_millis(500);
const REJECTS_FROM: Duration = Duration::from_secs(1);
const REJECTS_TO: Duration = Duration::from_secs(10);
const LENGTH: Duration = Duration::from_secs(16);
const ATTEMPTS: usize = 3;
const PER_UPSTREAM_S: f64 = 15.0;

/// Requests that one VM may send to an upstream during a backoff.
const MAX_DURING_BACKOFF: usize = 2;

/// A window over which arrivals are counted, and the share of the usual
/// arrivals in it from which an upstream counts as back at its usual load.
const WINDOW: Duration = Duration::from_millis(250);
const RECOVERED_SHARE: f64 = 0.6;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    Ignore,
    PerVm,
    PerHall,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests of callers.
    requests: usize,
    /// Attempts that upstreams rejected.
    upstream_rejections: usize,
    /// Requests that were rejected to their callers.
    rejected: usize,
    /// Most requests that one VM sent to one upstream during a backoff.
    during_backoff: usize,
    /// Time until the upstreams that rejected requests are back at their usual
    /// load.
    recovered_after_ms: u128,
    /// Most arrivals at one of them in a window after they recovered.
    peak: usize,
}

struct Simulation {
    strategy: Strategy,
    vms: Vec<Pool>,
    upstreams: usize,
    rejecting: usize,
    /// Number of VMs in each data hall.
    vms_per_hall: usize,
    rng: StdRng,
    began_at: BootInstant,
    now: BootInstant,
    /// Requests in progress, with the time at which they end.
    working: VecDeque<(BootInstant, InFlightGuard)>,
    /// Rejections that the other VMs of a hall learn of later.
    reports: VecDeque<(BootInstant, usize, usize)>,
    /// When each VM was last asked to back off by each upstream, and the
    /// requests that it has sent there since.
    backoffs: HashMap<(usize, usize), (BootInstant, usize)>,
    windows: Vec<Vec<usize>>,
    outcome: Outcome,
}

impl Simulation {
    fn new(
        strategy: Strategy,
        vms: usize,
        upstreams: usize,
        rejecting: usize,
    ) -> Simulation {
        let now = BootInstant::now();
        let vms_per_hall = vms.div_ceil(4).max(3);
        let pools = (0..vms).map(|vm| {
            let name = format!("vm-{vm}");
            let pool = Pool::new(&name, "a".parse().unwrap(), SLACK);
            for upstream in 0..upstreams {
                let id = format!("i-{upstream}");
                pool.set(entry(&id, "a", "v1"), now);
            }
            pool
        });
        Simulation {
            strategy,
            vms: pools.collect(),
            upstreams,
            rejecting,
            vms_per_hall,
            rng: StdRng::seed_from_u64(7),
            began_at: now,
            now,
            working: VecDeque::new(),
            reports: VecDeque::new(),
            backoffs: HashMap::new(),
            windows: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn passed(&self) -> Duration {
        self.now.saturating_duration_since(self.began_at)
    }

    fn is_rejecting(&self, upstream: usize) -> bool {
        let passed = self.passed();
        upstream < self.rejecting
            && passed >= REJECTS_FROM
            && passed < REJECTS_TO
    }

    fn run(mut self) -> Outcome {
        let mut due = 0.0;
        let mut next_heartbeat = self.now;
        while self.passed() < LENGTH {
            self.now += STEP;
            while self.working.front().is_some_and(|w| w.0 <= self.now) {
                self.working.pop_front();
            }
            self.deliver_reports();
            if self.now >= next_heartbeat {
                next_heartbeat = self.now + HEARTBEAT;
                self.send_heartbeats();
            }
            let rate = PER_UPSTREAM_S * self.upstreams as f64;
            due += rate * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
        }
        self.finish()
    }

    fn deliver_reports(&mut self) {
        while self.reports.front().is_some_and(|report| report.0 <= self.now) {
            let Some((_, from, upstream)) = self.reports.pop_front() else {
                break;
            };
            let first = from / self.vms_per_hall * self.vms_per_hall;
            for vm in first..(first + self.vms_per_hall).min(self.vms.len()) {
                self.apply_backoff(vm, upstream, BACKOFF - REPORT_DELAY);
            }
        }
    }

    fn apply_backoff(
        &mut self,
        vm: usize,
        upstream: usize,
        backoff: Duration,
    ) {
        let id = format!("i-{upstream}").parse().unwrap();
        let member = self.vms[vm].member(&id).unwrap();
        let signals = UpstreamSignals {
            retry_after: Some(RetryAfter::For(backoff)),
            ..UpstreamSignals::default()
        };
        let (pool, now) = (&self.vms[vm], self.now);
        pool.apply_signals(&member, &signals, now, now);
    }

    fn send_heartbeats(&mut self) {
        for from in 0..self.vms.len() {
            let work = self.vms[from].local_work();
            let first = from / self.vms_per_hall * self.vms_per_hall;
            for vm in first..(first + self.vms_per_hall).min(self.vms.len()) {
                if vm != from {
                    let name = format!("vm-{from}");
                    self.vms[vm].set_peer_work(&name, &work, self.now);
                }
            }
        }
    }

    fn request(&mut self) {
        self.outcome.requests += 1;
        let vm = self.rng.random_range(0..self.vms.len());
        let service = "writers".parse().unwrap();
        let mut tried = Vec::new();
        for _ in 0..ATTEMPTS {
            let criteria =
                PickCriteria { tried: &tried, ..PickCriteria::default() };
            let picked = self.vms[vm].pick(&service, &criteria, self.now);
            let Ok(member) = picked else { break };
            tried.push(member.upstream.short_hash);
            let number = member.entry.id.as_str()[2..].parse().unwrap();
            self.record_arrival(vm, number);
            if !self.is_rejecting(number) {
                let ends_at = self.now + WORK;
                self.working.push_back((ends_at, member.upstream.begin()));
                let served = UpstreamSignals::default();
                let (pool, now) = (&self.vms[vm], self.now);
                pool.apply_signals(&member, &served, now, now);
                return;
            }
            self.reject(vm, number);
        }
        self.outcome.rejected += 1;
    }

    fn record_arrival(&mut self, vm: usize, upstream: usize) {
        let window = (self.passed().as_millis() / WINDOW.as_millis()) as usize;
        self.windows.resize_with(window + 1, || vec![0; self.upstreams]);
        self.windows[window][upstream] += 1;
        if let Some((began_at, sent)) = self.backoffs.get_mut(&(vm, upstream))
        {
            let age = self.now.saturating_duration_since(*began_at);
            if age > IN_TRANSIT && age < BACKOFF {
                *sent += 1;
                let max = &mut self.outcome.during_backoff;
                *max = (*max).max(*sent);
            }
        }
    }

    fn reject(&mut self, vm: usize, upstream: usize) {
        self.outcome.upstream_rejections += 1;
        let entry = self.backoffs.entry((vm, upstream));
        let last = entry.or_insert((self.now, 0));
        if self.now.saturating_duration_since(last.0) >= BACKOFF {
            *last = (self.now, 0);
        }
        if self.strategy != Strategy::Ignore {
            self.apply_backoff(vm, upstream, BACKOFF);
        }
        if self.strategy == Strategy::PerHall {
            self.reports.push_back((self.now + REPORT_DELAY, vm, upstream));
        }
    }

    fn finish(mut self) -> Outcome {
        let window_s = WINDOW.as_secs_f64();
        let usual = PER_UPSTREAM_S * window_s * self.rejecting as f64;
        let from = (REJECTS_TO.as_millis() / WINDOW.as_millis()) as usize;
        let after = &self.windows[from..];
        let is_recovered = |window: &Vec<usize>| {
            let arrivals: usize = window[..self.rejecting].iter().sum();
            arrivals as f64 >= usual * RECOVERED_SHARE
        };
        let recovered =
            after.iter().position(is_recovered).unwrap_or(after.len());
        self.outcome.recovered_after_ms =
            recovered as u128 * WINDOW.as_millis();
        let peaks = after.iter().flat_map(|w| w[..self.rejecting].iter());
        self.outcome.peak = peaks.max().copied().unwrap_or(0);
        self.outcome
    }
}

fn outcomes(vms: usize, upstreams: usize, rejecting: usize) -> [Outcome; 3] {
    [Strategy::Ignore, Strategy::PerVm, Strategy::PerHall].map(|strategy| {
        let outcome =
            Simulation::new(strategy, vms, upstreams, rejecting).run();
        println!(
            "{vms} VMs, {rejecting} of {upstreams}, {strategy:?}: {outcome:?}"
        );
        outcome
    })
}

/// Checks what must hold however many upstreams reject requests: backoffs are
/// honoured, upstreams reject fewer requests, and no additional caller is
/// rejected.
fn check_improvement(vms: usize, upstreams: usize, rejecting: usize) {
    let [ignore, per_vm, _] = outcomes(vms, upstreams, rejecting);
    assert!(per_vm.during_backoff <= MAX_DURING_BACKOFF, "{per_vm:?}");
    assert!(
        per_vm.upstream_rejections < ignore.upstream_rejections,
        "{per_vm:?}"
    );
    assert!(per_vm.rejected <= ignore.rejected, "{per_vm:?}");
}

#[test]
fn seven_vms_honour_the_backoffs_of_some_upstreams() {
    check_improvement(7, 12, 1);
    check_improvement(7, 12, 4);
}

#[test]
fn eighty_vms_honour_the_backoffs_of_some_upstreams() {
    check_improvement(80, 60, 1);
    check_improvement(80, 60, 20);
}

#[test]
fn three_hundred_vms_honour_the_backoffs_of_some_upstreams() {
    check_improvement(300, 40, 13);
}

/// Nothing can be served: each VM tries each upstream about once in a backoff,
/// and rejects all other requests without an attempt.
#[test]
fn few_requests_reach_a_service_whose_upstreams_all_back_off() {
    let [ignore, per_vm, _] = outcomes(7, 12, 12);
    assert!(per_vm.during_backoff <= MAX_DURING_BACKOFF, "{per_vm:?}");
    assert!(
        per_vm.upstream_rejections * 4 < ignore.upstream_rejections,
        "{per_vm:?}"
    );
    let max_rejected = ignore.rejected + ignore.rejected / 4;
    assert!(per_vm.rejected <= max_rejected, "{per_vm:?} {ignore:?}");
    assert!(per_vm.recovered_after_ms <= 4_000, "{per_vm:?}");
}

/// VMs that were asked to back off at the same moment return one by one.
#[test]
fn backoffs_started_together_end_spread_out() {
    let now = BootInstant::now();
    let states: Vec<ReportedState> =
        (0..300).map(|_| ReportedState::default()).collect();
    for state in &states {
        let retry_after = RetryAfter::For(BACKOFF);
        state.apply_retry_after(Some(&retry_after), rand::random(), now, now);
    }
    let ended = |at: Duration| {
        let has_ended =
            |state: &&ReportedState| state.backoff_left(now + at).is_zero();
        states.iter().filter(has_ended).count()
    };
    assert_eq!(ended(BACKOFF - STEP), 0);
    assert_eq!(ended(BACKOFF * 2), states.len());
    let mut at = BACKOFF;
    while at < BACKOFF * 2 {
        let newly_ended = ended(at + WORK) - ended(at);
        assert!(newly_ended < states.len() / 5, "{newly_ended} at {at:?}");
        at += WORK;
    }
}

//! A fleet in front of engines, without a network.
//!
//! 90 upstreams with 24 slots each serve requests of 300 to 900 ms; 24 more
//! wait at each, and any beyond are declined and go to another upstream, at
//! most twice. VMs learn of each other's requests from heartbeats every
//! 1,200 ms: all of their data hall, and a few of the others, in rotation. The
//! load that an upstream reports counts less and less, as in `Member`. Callers
//! that are rejected return once, after 0.5 to 1.5 service times.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    fmt,
    rc::Rc,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::OrganisationShares;
use crate::scheduling::organisation_reserve::OrganisationReserve;

pub(super) const ORGANISATIONS: usize = 24;
const UPSTREAMS: usize = 90;
const SLOTS: u32 = 24;
const QUEUE: u32 = 24;
const SERVICE_US: u64 = 600_000;
const HALLS: usize = 3;
const HEARTBEAT_US: u64 = 1_200_000;
const REPORT_TTL_US: u64 = 2_500_000;
const LOAD_HALF_LIFE_US: f64 = 200_000.0;
/// VMs that get a heartbeat in one round, those of the own hall first.
const RECEIVERS: usize = 32;
/// Utilization at which an upstream counts as full, for streams of 600 ms.
const MAX_UTILIZATION: f64 = 1.25;
const LOAD_US: u64 = 9_000_000;
/// Calls before this time are not counted: the VMs know nothing of each other.
const WARM_UP_US: u64 = 3_000_000;

/// What is replayed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) vms: usize,
    /// Usual load of all organisations, as a multiple of the capacity.
    pub(super) load: f64,
    /// Load of the first organisation, as a multiple of its usual load.
    pub(super) excess: f64,
    /// Whether the other organisations send requests.
    pub(super) has_others: bool,
    pub(super) reserve: OrganisationReserve,
    /// Share of the heartbeats that are lost.
    pub(super) lost: f64,
}

/// How the calls ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    /// Served share of the calls of the other organisations.
    pub(super) others: f64,
    /// Least served share of the calls of one of the others.
    pub(super) least_other: f64,
    /// Served share of the calls of the first organisation.
    pub(super) first: f64,
    /// Share of the slots in use.
    pub(super) busy: f64,
    /// Rejections since an organisation was over its share.
    pub(super) over_share: u64,
    /// Those of the other organisations.
    pub(super) others_over_share: u64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "others {:.4} (least {:.4}), first {:.4}, busy {:.3}, over share \
             {} (others {})",
            self.others,
            self.least_other,
            self.first,
            self.busy,
            self.over_share,
            self.others_over_share
        )
    }
}

#[derive(Clone, Copy)]
struct Call {
    organisation: usize,
    is_counted: bool,
    has_returned: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    End { upstream: usize, vm: usize, call: usize },
    Heartbeat(usize),
}

#[derive(Clone)]
struct Report {
    by_upstream: [u32; UPSTREAMS],
    by_organisation: [u32; ORGANISATIONS],
}

impl Report {
    const EMPTY: Report = Report {
        by_upstream: [0; UPSTREAMS],
        by_organisation: [0; ORGANISATIONS],
    };

    fn add(&mut self, other: &Report) {
        let pairs = self.by_upstream.iter_mut().zip(other.by_upstream);
        pairs.for_each(|(sum, n)| *sum += n);
        let pairs = self.by_organisation.iter_mut().zip(other.by_organisation);
        pairs.for_each(|(sum, n)| *sum += n);
    }

    fn subtract(&mut self, other: &Report) {
        let pairs = self.by_upstream.iter_mut().zip(other.by_upstream);
        pairs.for_each(|(sum, n)| *sum -= n);
        let pairs = self.by_organisation.iter_mut().zip(other.by_organisation);
        pairs.for_each(|(sum, n)| *sum -= n);
    }
}

#[derive(Clone)]
struct Vm {
    own: Report,
    peers: Report,
    reports: HashMap<usize, (Rc<Report>, u64)>,
    /// Requests of others that each upstream has reported, and when.
    loads: Vec<(u32, u64)>,
    /// What upstreams have reported since the last heartbeat.
    new_loads: HashMap<usize, (u32, u64)>,
    next_receiver: usize,
}

impl Vm {
    fn new(number: usize) -> Vm {
        Vm {
            own: Report::EMPTY,
            peers: Report::EMPTY,
            reports: HashMap::new(),
            loads: vec![(0, 0); UPSTREAMS],
            new_loads: HashMap::new(),
            next_receiver: number,
        }
    }

    fn utilization(&self, upstream: usize, now: u64) -> f64 {
        let (reported, at) = self.loads[upstream];
        let halves = (now - at) as f64 / LOAD_HALF_LIFE_US;
        let weight = 0.5_f64.powf(halves);
        let by_peers = f64::from(self.peers.by_upstream[upstream]);
        let peers = f64::from(reported) * weight + by_peers * (1.0 - weight);
        let own = f64::from(self.own.by_upstream[upstream]);
        (own + peers.round()) / f64::from(SLOTS)
    }

    /// How full the service is, as [`Pool::fullness`] has it.
    ///
    /// [`Pool::fullness`]: crate::placing::pool::Pool::fullness
    fn fullness(&self, now: u64) -> f64 {
        let parts = (0..UPSTREAMS).map(|upstream| {
            let (reported, at) = self.loads[upstream];
            let used = match at > 0 && now - at < REPORT_TTL_US {
                true => {
                    let own = self.own.by_upstream[upstream];
                    f64::from(reported + own) / f64::from(SLOTS)
                }
                false => self.utilization(upstream, now),
            };
            (used / MAX_UTILIZATION).min(1.0)
        });
        parts.sum::<f64>() / UPSTREAMS as f64
    }

    fn set_load(&mut self, upstream: usize, all: u32, at: u64) {
        if at > self.loads[upstream].1 {
            let own = self.own.by_upstream[upstream];
            self.loads[upstream] = (all.saturating_sub(own), at);
        }
    }

    fn receive(&mut self, from: usize, report: &Rc<Report>, now: u64) {
        if let Some((old, _)) = self.reports.remove(&from) {
            self.peers.subtract(&old);
        }
        self.peers.add(report);
        self.reports.insert(from, (report.clone(), now));
    }

    fn expire(&mut self, now: u64) {
        let peers = &mut self.peers;
        self.reports.retain(|_, (report, at)| {
            let is_recent = now - *at < REPORT_TTL_US;
            if !is_recent {
                peers.subtract(report);
            }
            is_recent
        });
    }

    /// Picks the least utilized upstream, or none if all are full for the
    /// organisation; says whether that is because it is over its share.
    fn pick(
        &self,
        call: Call,
        tried: &[usize],
        reserve: OrganisationReserve,
        rng: &mut StdRng,
        now: u64,
    ) -> Result<usize, bool> {
        let used = (0..UPSTREAMS).filter(|u| !tried.contains(u));
        let used = used.map(|u| (u, self.utilization(u, now)));
        let used: Vec<(usize, f64)> = used.collect();
        let least = used.iter().map(|(_, n)| *n).fold(f64::MAX, f64::min);
        let is_near = !reserve.is_off()
            && tried.is_empty()
            && self.fullness(now) >= reserve.fullness_limit(rng.random());
        if is_near {
            let mut counts = self.own.clone();
            counts.add(&self.peers);
            let counts = counts.by_organisation;
            let full = (UPSTREAMS as u32 * SLOTS) as f64 * MAX_UTILIZATION;
            let shares = OrganisationShares::new(&counts, full, reserve);
            if shares.is_above(counts[call.organisation], rng.random()) {
                return Err(true);
            }
        }
        if least >= MAX_UTILIZATION {
            return Err(false);
        }
        let noisy =
            used.iter().map(|(u, n)| (*u, n + rng.random::<f64>() * 0.02));
        let best = noisy.min_by(|a, b| a.1.total_cmp(&b.1));
        Ok(best.expect("there is an upstream").0)
    }
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    calls: Vec<Call>,
    vms: Vec<Vm>,
    running: [u32; UPSTREAMS],
    queues: Vec<VecDeque<(usize, usize)>>,
    served: [u32; ORGANISATIONS],
    busy_us: u64,
    over_share: [u64; ORGANISATIONS],
}

/// Replays a scenario.
pub(super) fn simulate(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation {
        scenario,
        rng: StdRng::seed_from_u64(7),
        events: BinaryHeap::new(),
        calls: Vec::new(),
        vms: (0..scenario.vms).map(Vm::new).collect(),
        running: [0; UPSTREAMS],
        queues: vec![VecDeque::new(); UPSTREAMS],
        served: [0; ORGANISATIONS],
        busy_us: 0,
        over_share: [0; ORGANISATIONS],
    };
    simulation.add_calls();
    for vm in 0..scenario.vms {
        let at = HEARTBEAT_US * vm as u64 / scenario.vms as u64;
        simulation.events.push(Reverse((at, Event::Heartbeat(vm))));
    }
    simulation.run();
    simulation.outcome()
}

impl Simulation {
    fn add_calls(&mut self) {
        let Scenario { load, excess, has_others, .. } = self.scenario;
        let slots = UPSTREAMS as f64 * f64::from(SLOTS);
        let usual = load * slots / SERVICE_US as f64 / ORGANISATIONS as f64;
        for organisation in 0..ORGANISATIONS {
            let rate = match organisation {
                0 => usual * excess,
                _ if has_others => usual,
                _ => continue,
            };
            // The others send the same calls whatever the first one sends.
            let mut rng = StdRng::seed_from_u64(organisation as u64);
            let mut at = 0.0;
            loop {
                at -= (1.0 - rng.random::<f64>()).ln() / rate;
                let at = at as u64;
                if at >= LOAD_US {
                    break;
                }
                let is_counted = at >= WARM_UP_US;
                let call =
                    Call { organisation, is_counted, has_returned: false };
                self.events.push(Reverse((at, Event::Call(self.calls.len()))));
                self.calls.push(call);
            }
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now >= LOAD_US {
                return;
            }
            match event {
                Event::Call(call) => self.call(call, now),
                Event::End { upstream, vm, call } => {
                    self.running[upstream] -= 1;
                    let organisation = self.calls[call].organisation;
                    let own = &mut self.vms[vm].own;
                    own.by_upstream[upstream] -= 1;
                    own.by_organisation[organisation] -= 1;
                    if let Some((vm, call)) = self.queues[upstream].pop_front()
                    {
                        self.start(upstream, vm, call, now);
                    }
                }
                Event::Heartbeat(vm) => self.heartbeat(vm, now),
            }
        }
    }

    fn call(&mut self, number: usize, now: u64) {
        let call = self.calls[number];
        let vm = self.rng.random_range(0..self.vms.len());
        let reserve = self.scenario.reserve;
        let mut tried = Vec::new();
        while tried.len() < 3 {
            let rng = &mut self.rng;
            match self.vms[vm].pick(call, &tried, reserve, rng, now) {
                Ok(upstream) => {
                    let waiting = self.queues[upstream].len() as u32;
                    if waiting >= QUEUE {
                        self.report(vm, upstream, now);
                        tried.push(upstream);
                        continue;
                    }
                    let own = &mut self.vms[vm].own;
                    own.by_upstream[upstream] += 1;
                    own.by_organisation[call.organisation] += 1;
                    if call.is_counted {
                        self.served[call.organisation] += 1;
                    }
                    match self.running[upstream] < SLOTS {
                        true => self.start(upstream, vm, number, now),
                        false => self.queues[upstream].push_back((vm, number)),
                    }
                    return;
                }
                Err(is_over_share) => {
                    let over = &mut self.over_share[call.organisation];
                    *over += u64::from(is_over_share);
                    break;
                }
            }
        }
        if !call.has_returned {
            self.calls[number].has_returned = true;
            let share = 0.5 + self.rng.random::<f64>();
            let wait = (SERVICE_US as f64 * share).min(400_000.0);
            let at = now + wait as u64;
            self.events.push(Reverse((at, Event::Call(number))));
        }
    }

    /// Starts a call in a slot; the head of its response reports the load.
    fn start(&mut self, upstream: usize, vm: usize, call: usize, now: u64) {
        self.running[upstream] += 1;
        self.report(vm, upstream, now);
        let took = SERVICE_US as f64 * (0.5 + self.rng.random::<f64>());
        let end = now + took as u64;
        let counted = end.min(LOAD_US).saturating_sub(now.max(WARM_UP_US));
        self.busy_us += counted;
        let ended = Event::End { upstream, vm, call };
        self.events.push(Reverse((end, ended)));
    }

    fn report(&mut self, vm: usize, upstream: usize, now: u64) {
        let waiting = self.queues[upstream].len() as u32;
        let all = self.running[upstream] + waiting;
        self.vms[vm].set_load(upstream, all, now);
        self.vms[vm].new_loads.insert(upstream, (all, now));
    }

    fn heartbeat(&mut self, number: usize, now: u64) {
        let next = now + HEARTBEAT_US;
        self.events.push(Reverse((next, Event::Heartbeat(number))));
        let count = self.vms.len();
        let sender = &mut self.vms[number];
        sender.expire(now);
        let report = Rc::new(sender.own.clone());
        let loads = std::mem::take(&mut sender.new_loads);
        let others = (0..count).filter(|vm| *vm != number);
        let (near, far): (Vec<usize>, Vec<usize>) =
            others.partition(|vm| vm % HALLS == number % HALLS);
        let far_count =
            RECEIVERS.saturating_sub(near.len()).max(1).min(far.len());
        let first = sender.next_receiver;
        sender.next_receiver += far_count;
        let chosen = far.iter().cycle().skip(first % far.len().max(1));
        for receiver in near.iter().chain(chosen.take(far_count)) {
            if self.rng.random::<f64>() < self.scenario.lost {
                continue;
            }
            let receiver = &mut self.vms[*receiver];
            receiver.receive(number, &report, now);
            for (upstream, (all, at)) in &loads {
                receiver.set_load(*upstream, *all, *at);
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let mut sent = [0_u32; ORGANISATIONS];
        for call in self.calls.iter().filter(|call| call.is_counted) {
            sent[call.organisation] += 1;
        }
        let share = |range: std::ops::Range<usize>| {
            let served: u32 = self.served[range.clone()].iter().sum();
            let sent: u32 = sent[range].iter().sum();
            f64::from(served) / f64::from(sent.max(1))
        };
        let each = (1..ORGANISATIONS).map(|at| share(at..at + 1));
        let slots_us = (LOAD_US - WARM_UP_US) as f64
            * UPSTREAMS as f64
            * f64::from(SLOTS);
        Outcome {
            others: share(1..ORGANISATIONS),
            least_other: each.fold(1.0, f64::min),
            first: share(0..1),
            busy: self.busy_us as f64 / slots_us,
            over_share: self.over_share.iter().sum(),
            others_over_share: self.over_share[1..].iter().sum(),
        }
    }
}

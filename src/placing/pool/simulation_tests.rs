//! Simulates load on the upstream selection of many VMs, against a simple
//! model of engines that prefill one prompt after the other.
//!
//! The load pattern: every VM receives heartbeats from the VMs of its own data
//! hall twice a second and from others every 2.6 s, and all VMs send to the
//! same engines.

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{tests::SLACK, *};
use crate::placing::{
    health::AttemptOutcome,
    member::{LoadReport, PrefillGuard},
};

const HALLS: usize = 4;
const VMS_OF_HALL: usize = 8;
const ENGINES_OF_HALL: usize = 8;

/// Interval of the heartbeats to a VM of the own data hall and of another.
const OWN_HALL_INTERVAL_MS: u64 = 500;
const OTHER_HALL_INTERVAL_MS: u64 = 2600;

/// Prefill time of every prompt.
const PREFILL_MS: u64 = 100;

/// Duration of the load.
const LOAD_MS: u64 = 6000;

/// Duration of one simulation step.
const STEP_MS: u64 = 2;

/// Seeds of the runs that are averaged.
const SEEDS: std::ops::Range<u64> = 0..4;

struct Vm {
    hall: usize,
    pool: Pool,
}

/// A prompt whose prefill ends at a time; its VM receives the response then.
struct Done {
    at_ms: u64,
    vm: usize,
    engine: usize,
    prefill: PrefillGuard,
}

/// Result of a simulation.
#[derive(Debug)]
struct Outcome {
    /// Mean time that prompts waited for their prefill to begin.
    mean_wait_ms: f64,
    /// Share of the prompts that waited for more than half a second, after
    /// which a VM considers an engine silent.
    late_share: f64,
}

fn hall_name(hall: usize) -> DataHallId {
    format!("hall-{hall}").parse().unwrap()
}

fn engine(number: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("i-{number}").parse().unwrap(),
        started: None,
        service: "writers".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        data_hall: hall_name(number / ENGINES_OF_HALL),
        software: "v1".parse().unwrap(),
        slots: 200,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
        sequence: 1,
    }
}

fn vms(start: BootInstant) -> Vec<Vm> {
    let vm = |number: usize| {
        let hall = number / VMS_OF_HALL;
        let name = format!("vm-{number}");
        let pool = Pool::new(&name, hall_name(hall), SLACK);
        for number in 0..HALLS * ENGINES_OF_HALL {
            pool.set(engine(number), start);
        }
        pool.record_expected_prefill(Duration::from_millis(PREFILL_MS));
        Vm { hall, pool }
    };
    (0..HALLS * VMS_OF_HALL).map(vm).collect()
}

/// Runs the simulation with prompts of several shared prefixes that keep the
/// engines busy for `load` of the time; VMs use the load reports of engines if
/// `uses_reports`.
fn simulate(load: f64, uses_reports: bool) -> Outcome {
    let outcomes: Vec<Outcome> =
        SEEDS.map(|seed| simulate_once(load, uses_reports, seed)).collect();
    let mean = |of: fn(&Outcome) -> f64| {
        outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64
    };
    Outcome {
        mean_wait_ms: mean(|outcome| outcome.mean_wait_ms),
        late_share: mean(|outcome| outcome.late_share),
    }
}

fn simulate_once(load: f64, uses_reports: bool, seed: u64) -> Outcome {
    let start = BootInstant::now();
    let vms = vms(start);
    let mut random = StdRng::seed_from_u64(seed);
    let engines = HALLS * ENGINES_OF_HALL;
    let mut free_at_ms: Vec<u64> = vec![0; engines];
    let mut queue: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut done: Vec<Option<Done>> = Vec::new();
    let mut waits_ms = Vec::new();
    let arrivals = load * engines as f64 / PREFILL_MS as f64;
    for now_ms in (0..LOAD_MS).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(now_ms);
        while queue.peek().is_some_and(|Reverse((at, _))| *at <= now_ms) {
            let Some(Reverse((_, place))) = queue.pop() else { break };
            let Some(ended) = done[place].take() else { continue };
            drop(ended.prefill);
            let left = free_at_ms[ended.engine].saturating_sub(ended.at_ms);
            let report = LoadReport {
                running: 0,
                waiting: left.div_ceil(PREFILL_MS) as u32,
                ..LoadReport::default()
            };
            let id = format!("i-{}", ended.engine).parse().unwrap();
            let pool = &vms[ended.vm].pool;
            if let (true, Some(member)) = (uses_reports, pool.member(&id)) {
                pool.record_load(&member, report, now);
            }
        }
        send_heartbeats(&vms, now_ms, now);
        let expected = arrivals * STEP_MS as f64;
        let count = expected as usize
            + usize::from(random.random::<f64>() < expected.fract());
        for _ in 0..count {
            let vm = random.random_range(0..vms.len());
            let affinity = PrefixAffinity {
                prefix_hash: random.random_range(0..400),
                cache_miss_cost: Duration::from_millis(60),
            };
            let criteria = PickCriteria {
                affinity: Some(affinity),
                ..PickCriteria::default()
            };
            let service = "writers".parse().unwrap();
            let member = vms[vm].pool.pick(&service, &criteria, now).unwrap();
            let id = member.entry.id.to_string();
            let engine: usize = id["i-".len()..].parse().unwrap();
            let begins = free_at_ms[engine].max(now_ms);
            waits_ms.push(begins - now_ms);
            let at_ms = begins + PREFILL_MS;
            free_at_ms[engine] = at_ms;
            let prefill =
                member.begin_prefill(Duration::from_millis(PREFILL_MS));
            queue.push(Reverse((at_ms, done.len())));
            done.push(Some(Done { at_ms, vm, engine, prefill }));
        }
    }
    let count = waits_ms.len() as f64;
    let late = waits_ms.iter().filter(|wait| **wait > 500).count();
    Outcome {
        mean_wait_ms: waits_ms.iter().sum::<u64>() as f64 / count,
        late_share: late as f64 / count,
    }
}

/// Sends the heartbeats that are due, with the work and load reports of each
/// VM.
fn send_heartbeats(vms: &[Vm], now_ms: u64, now: BootInstant) {
    for (from, sender) in vms.iter().enumerate() {
        // The heartbeats of different VMs are staggered.
        let offset = from as u64 * 14;
        let is_own_hall_due =
            (now_ms + offset).is_multiple_of(OWN_HALL_INTERVAL_MS);
        let is_other_hall_due =
            (now_ms + offset).is_multiple_of(OTHER_HALL_INTERVAL_MS);
        if !is_own_hall_due && !is_other_hall_due {
            continue;
        }
        let work = sender.pool.local_work();
        let loads = match is_own_hall_due {
            true => sender.pool.take_loads(now),
            false => Vec::new(),
        };
        let name = format!("vm-{from}");
        for (to, receiver) in vms.iter().enumerate() {
            let is_own_hall = receiver.hall == sender.hall;
            let is_due =
                if is_own_hall { is_own_hall_due } else { is_other_hall_due };
            if to != from && is_due {
                receiver.pool.set_peer_work(&name, &work, now);
                receiver.pool.merge_peer_loads(&loads, now);
            }
        }
    }
}

/// Guards against VMs of several halls that send prompts to the same engines
/// and leave others idle: work reported by other halls counts down between
/// reports, and engines report what those halls have not.
#[test]
fn peer_work_counts_down_and_load_reports_are_used() {
    for (load, max_without_ms, max_with_ms) in
        [(0.5, 60.0, 47.0), (0.7, 130.0, 90.0)]
    {
        let without = simulate(load, false);
        let with = simulate(load, true);
        println!(
            "load {load}: without reports {without:?}, with reports {with:?}"
        );
        assert!(without.mean_wait_ms < max_without_ms);
        assert!(with.mean_wait_ms < max_with_ms);
        assert!(with.late_share <= without.late_share);
    }
}

/// Counts the attempts that fail in the first second after some engines die
/// and reject everything immediately; VMs report failures to each other if
/// `shares_failures`.
fn simulate_crash(dead: &[usize], shares_failures: bool) -> usize {
    let start = BootInstant::now();
    let vms = vms(start);
    let service = "writers".parse().unwrap();
    let mut random = StdRng::seed_from_u64(3);
    let mut failed = 0;
    for now_ms in (0..LOAD_MS).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(now_ms);
        let is_dead = now_ms >= LOAD_MS / 2;
        for _ in 0..2 {
            let number = random.random_range(0..vms.len());
            let pool = &vms[number].pool;
            let affinity = PrefixAffinity {
                prefix_hash: random.random_range(0..400),
                cache_miss_cost: Duration::from_millis(60),
            };
            let criteria = PickCriteria {
                affinity: Some(affinity),
                ..PickCriteria::default()
            };
            let member = pool.pick(&service, &criteria, now).unwrap();
            let id = member.entry.id.to_string();
            let engine: usize = id["i-".len()..].parse().unwrap();
            let fails = is_dead && dead.contains(&engine);
            let outcome = if fails {
                AttemptOutcome::Lost
            } else {
                AttemptOutcome::Success
            };
            failed += usize::from(fails && now_ms < LOAD_MS / 2 + 1000);
            member.health.record(outcome, now);
            pool.record_outcome(&member, outcome, now);
            if !fails {
                let load = LoadReport { running: 1, ..LoadReport::default() };
                pool.record_load(&member, load, now);
            }
        }
        if shares_failures && now_ms.is_multiple_of(MIN_INTERVAL_MS) {
            share_failures(&vms, now);
        }
    }
    failed
}

/// Minimum interval between two heartbeats, for one that a failure has
/// triggered early.
const MIN_INTERVAL_MS: u64 = 50;

fn share_failures(vms: &[Vm], now: BootInstant) {
    for (from, sender) in vms.iter().enumerate() {
        let failures = sender.pool.take_failures(now);
        let loads = sender.pool.take_loads(now);
        for (to, receiver) in vms.iter().enumerate() {
            if to != from && receiver.hall == sender.hall {
                receiver.pool.merge_peer_loads(&loads, now);
                receiver.pool.merge_peer_failures(&failures, now);
            }
        }
    }
}

/// Guards against each VM finding out for itself, with three failures, that an
/// engine is dead: an engine that rejects immediately always looks idle.
#[test]
fn shared_failures_reduce_failed_attempts_at_dead_engines() {
    let dead = [1, 9, 17, 25];
    let alone = simulate_crash(&dead, false);
    let together = simulate_crash(&dead, true);
    println!("failed attempts: alone {alone}, together {together}");
    assert!(alone <= 90, "{alone}");
    assert!(together <= 55, "{together}");
}

//! Load replayed through the choice of upstreams of many VMs, against a small
//! model of engines that read one prompt after the other.
//!
//! The load pattern: so many VMs that each hears those of its own data hall
//! twice a second, and those of others every 2.6 s, all before the same
//! engines.

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

/// Time between two beats to a VM of the own data hall, and of another.
const NEAR_BEAT_MS: u64 = 500;
const FAR_BEAT_MS: u64 = 2600;

/// Time that every prompt takes to be read.
const READING_MS: u64 = 100;

/// Milliseconds of load.
const LOAD_MS: u64 = 6000;

/// Time of one step.
const STEP_MS: u64 = 2;

/// Days like this that are played, of which the mean counts.
const SEEDS: std::ops::Range<u64> = 0..4;

struct Vm {
    hall: usize,
    pool: Pool,
}

/// A prompt that an engine has read at that time, and whose VM hears of it.
struct Done {
    at_ms: u64,
    vm: usize,
    engine: usize,
    reading: PrefillGuard,
}

/// What came of a replay.
#[derive(Debug)]
struct Outcome {
    /// Mean time that prompts waited before their engine began with them.
    mean_wait_ms: f64,
    /// Share of the prompts that waited for more than half a second, from
    /// where a VM takes an engine for silent.
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
        pool.record_expected_prefill(Duration::from_millis(READING_MS));
        Vm { hall, pool }
    };
    (0..HALLS * VMS_OF_HALL).map(vm).collect()
}

/// Plays prompts about a few subjects that keep the engines busy for `load`
/// of the time; VMs take in what engines state if `reads_stated`.
fn play(load: f64, reads_stated: bool) -> Outcome {
    let outcomes: Vec<Outcome> =
        SEEDS.map(|seed| play_once(load, reads_stated, seed)).collect();
    let mean = |of: fn(&Outcome) -> f64| {
        outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64
    };
    Outcome {
        mean_wait_ms: mean(|outcome| outcome.mean_wait_ms),
        late_share: mean(|outcome| outcome.late_share),
    }
}

fn play_once(load: f64, reads_stated: bool, seed: u64) -> Outcome {
    let start = BootInstant::now();
    let vms = vms(start);
    let mut random = StdRng::seed_from_u64(seed);
    let engines = HALLS * ENGINES_OF_HALL;
    let mut free_at_ms: Vec<u64> = vec![0; engines];
    let mut queue: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut done: Vec<Option<Done>> = Vec::new();
    let mut waits_ms = Vec::new();
    let arrivals = load * engines as f64 / READING_MS as f64;
    for now_ms in (0..LOAD_MS).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(now_ms);
        while queue.peek().is_some_and(|Reverse((at, _))| *at <= now_ms) {
            let Some(Reverse((_, place))) = queue.pop() else { break };
            let Some(ended) = done[place].take() else { continue };
            drop(ended.reading);
            let left = free_at_ms[ended.engine].saturating_sub(ended.at_ms);
            let stated = LoadReport {
                running: 0,
                waiting: left.div_ceil(READING_MS) as u32,
            };
            let id = format!("i-{}", ended.engine).parse().unwrap();
            let pool = &vms[ended.vm].pool;
            if let (true, Some(member)) = (reads_stated, pool.member(&id)) {
                pool.note_load(&member, stated, now);
            }
        }
        exchange(&vms, now_ms, now);
        let expected = arrivals * STEP_MS as f64;
        let count = expected as usize
            + usize::from(random.random::<f64>() < expected.fract());
        for _ in 0..count {
            let vm = random.random_range(0..vms.len());
            let prompt = PrefixAffinity {
                prefix_hash: random.random_range(0..400),
                cache_miss_cost: Duration::from_millis(60),
            };
            let want = PickCriteria {
                affinity: Some(prompt),
                ..PickCriteria::default()
            };
            let service = "writers".parse().unwrap();
            let member = vms[vm].pool.pick(&service, &want, now).unwrap();
            let id = member.entry.id.to_string();
            let engine: usize = id["i-".len()..].parse().unwrap();
            let begins = free_at_ms[engine].max(now_ms);
            waits_ms.push(begins - now_ms);
            let at_ms = begins + READING_MS;
            free_at_ms[engine] = at_ms;
            let reading =
                member.begin_prefill(Duration::from_millis(READING_MS));
            queue.push(Reverse((at_ms, done.len())));
            done.push(Some(Done { at_ms, vm, engine, reading }));
        }
    }
    let count = waits_ms.len() as f64;
    let late = waits_ms.iter().filter(|wait| **wait > 500).count();
    Outcome {
        mean_wait_ms: waits_ms.iter().sum::<u64>() as f64 / count,
        late_share: late as f64 / count,
    }
}

/// Lets the VMs whose turn it is tell the others what they have and heard.
fn exchange(vms: &[Vm], now_ms: u64, now: BootInstant) {
    for (from, sender) in vms.iter().enumerate() {
        // Beats of different VMs do not come together.
        let offset = from as u64 * 14;
        let is_near_turn = (now_ms + offset).is_multiple_of(NEAR_BEAT_MS);
        let is_far_turn = (now_ms + offset).is_multiple_of(FAR_BEAT_MS);
        if !is_near_turn && !is_far_turn {
            continue;
        }
        let work = sender.pool.local_work();
        let stated = match is_near_turn {
            true => sender.pool.take_loads(now),
            false => Vec::new(),
        };
        let name = format!("vm-{from}");
        for (to, receiver) in vms.iter().enumerate() {
            let is_near = receiver.hall == sender.hall;
            let is_turn = if is_near { is_near_turn } else { is_far_turn };
            if to != from && is_turn {
                receiver.pool.set_peer_work(&name, &work, now);
                receiver.pool.apply_peer_loads(&stated, now);
            }
        }
    }
}

/// What far halls told long ago is read meanwhile, and what they have not told
/// engines state: otherwise VMs of several halls send prompts to the same
/// engines and leave others idle.
#[test]
fn what_is_told_runs_out_and_what_is_stated_counts() {
    for (load, told_most_ms, stated_most_ms) in
        [(0.5, 60.0, 47.0), (0.7, 130.0, 90.0)]
    {
        let told = play(load, false);
        let stated = play(load, true);
        println!("load {load}: told {told:?}, stated {stated:?}");
        assert!(told.mean_wait_ms < told_most_ms);
        assert!(stated.mean_wait_ms < stated_most_ms);
        assert!(stated.late_share <= told.late_share);
    }
}

/// Attempts that failed in the first second after engines have died that
/// refuse at once whatever comes; VMs tell each other of it if `tells`.
fn play_crash(dead: &[usize], tells: bool) -> usize {
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
            let prompt = PrefixAffinity {
                prefix_hash: random.random_range(0..400),
                cache_miss_cost: Duration::from_millis(60),
            };
            let want = PickCriteria {
                affinity: Some(prompt),
                ..PickCriteria::default()
            };
            let member = pool.pick(&service, &want, now).unwrap();
            let id = member.entry.id.to_string();
            let engine: usize = id["i-".len()..].parse().unwrap();
            let fails = is_dead && dead.contains(&engine);
            let verdict = if fails {
                AttemptOutcome::Lost
            } else {
                AttemptOutcome::Success
            };
            failed += usize::from(fails && now_ms < LOAD_MS / 2 + 1000);
            member.health.record(verdict, now);
            pool.record_outcome(&member, verdict, now);
            if !fails {
                let load = LoadReport { running: 1, waiting: 0 };
                pool.note_load(&member, load, now);
            }
        }
        if tells && now_ms.is_multiple_of(BEAT_GAP_MS) {
            tell_failures(&vms, now);
        }
    }
    failed
}

/// Least time between two beats, which a failure has sent early.
const BEAT_GAP_MS: u64 = 50;

fn tell_failures(vms: &[Vm], now: BootInstant) {
    for (from, sender) in vms.iter().enumerate() {
        let failures = sender.pool.take_failures(now);
        let stated = sender.pool.take_loads(now);
        for (to, receiver) in vms.iter().enumerate() {
            if to != from && receiver.hall == sender.hall {
                receiver.pool.apply_peer_loads(&stated, now);
                receiver.pool.apply_peer_failures(&failures, now);
            }
        }
    }
}

/// An engine that refuses at once is always free, and each VM would find out
/// for itself, three times.
#[test]
fn a_few_failures_tell_a_hall_that_engines_are_dead() {
    let dead = [1, 9, 17, 25];
    let alone = play_crash(&dead, false);
    let together = play_crash(&dead, true);
    println!("failed attempts: alone {alone}, together {together}");
    assert!(alone <= 90, "{alone}");
    assert!(together <= 55, "{together}");
}

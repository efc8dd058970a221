//! A burst of short calls, replayed against a small model of replicas.

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;

const REPLICAS: usize = 6;
const SLOTS: usize = 6;
const AIM_MS: u64 = 300;
const TAKES: Duration = Duration::from_millis(60);

/// Milliseconds of the burst.
const BURST_MS: u64 = 3000;

/// Age of what a VM knows of a replica.
const KNOWN_AGE_MS: u64 = 40;

/// A way to turn callers away.
struct Way {
    utilization_limit: f64,
    /// When they come back, in milliseconds, by a draw from 0 to 1.
    return_ms: fn(f64) -> u64,
}

/// What became of the calls.
#[derive(Debug)]
struct Outcome {
    in_time: f64,
    late: f64,
    refused: f64,
}

fn return_ms(draw: f64) -> u64 {
    retry_after(Some(TAKES), draw).as_millis() as u64
}

/// One replica: when each of its slots is free, and what it held lately.
#[derive(Default)]
struct Replica {
    free_at_ms: [u64; SLOTS],
    /// When each call there began and ended.
    held: Vec<(u64, u64)>,
}

impl Replica {
    fn fill(&self, at_ms: u64) -> f64 {
        let there = |call: &&(u64, u64)| call.0 <= at_ms && at_ms < call.1;
        self.held.iter().rev().filter(there).count() as f64 / SLOTS as f64
    }

    /// Takes a call; returns when it ends.
    fn take(&mut self, now_ms: u64, work_ms: u64) -> u64 {
        let slot = self.free_at_ms.iter_mut().min().expect("a slot");
        let end_ms = now_ms.max(*slot) + work_ms;
        *slot = end_ms;
        self.held.push((now_ms, end_ms));
        end_ms
    }
}

/// Plays calls that come at `load` times what the replicas can do; callers
/// that are turned away come back once.
fn play(load: f64, way: &Way) -> Outcome {
    let mut random = StdRng::seed_from_u64(5);
    let mut replicas: Vec<Replica> =
        (0..REPLICAS).map(|_| Replica::default()).collect();
    let capacity = (REPLICAS * SLOTS) as f64 / TAKES.as_millis() as f64;
    // When a call comes, when its caller first came, and whether it is back.
    let mut calls: BinaryHeap<Reverse<(u64, u64, bool)>> = BinaryHeap::new();
    for now_ms in 0..BURST_MS {
        let expected = capacity * load;
        let count = expected as u64
            + u64::from(random.random::<f64>() < expected.fract());
        for _ in 0..count {
            calls.push(Reverse((now_ms, now_ms, false)));
        }
    }
    let total = calls.len() as f64;
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    while let Some(Reverse((now_ms, first_ms, is_back))) = calls.pop() {
        let seen_ms = now_ms.saturating_sub(KNOWN_AGE_MS);
        let (fill, chosen) = replicas
            .iter_mut()
            .map(|replica| (replica.fill(seen_ms), replica))
            .map(|(fill, r)| (fill + random.random::<f64>() * 0.3, r))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .expect("a replica");
        if fill < way.utilization_limit {
            let work_ms = random.random_range(30..90);
            let end_ms = chosen.take(now_ms, work_ms);
            match end_ms - first_ms <= AIM_MS {
                true => in_time += 1,
                false => late += 1,
            }
        } else if is_back {
            refused += 1;
        } else {
            let back_ms = now_ms + (way.return_ms)(random.random());
            calls.push(Reverse((back_ms, first_ms, true)));
        }
    }
    Outcome {
        in_time: f64::from(in_time) / total,
        late: f64::from(late) / total,
        refused: f64::from(refused) / total,
    }
}

/// Slots alone turn away callers who could be served in time; without a limit
/// everybody is let in, and comes late.
#[test]
fn a_short_line_serves_more_callers_in_time() {
    let limit = utilization_limit(Duration::from_millis(AIM_MS), Some(TAKES));
    let by_slots = Way { utilization_limit: FILL_LEAST, return_ms: |_| 400 };
    let by_aim = Way { utilization_limit: limit, return_ms };
    let unlimited = Way { utilization_limit: f64::MAX, return_ms };
    for (load, gain) in [(0.9, 0.02), (1.0, 0.1), (1.1, 0.04), (1.4, 0.02)] {
        let slots = play(load, &by_slots);
        let aim = play(load, &by_aim);
        let all = play(load, &unlimited);
        println!("load {load}: {slots:?}, {aim:?}, {all:?}");
        assert!(aim.in_time > slots.in_time + gain);
        assert!(aim.in_time > all.in_time - 0.01);
        assert!(aim.late + aim.refused < slots.late + slots.refused);
    }
}

#[test]
fn the_limit_follows_what_a_request_takes() {
    let aim = Duration::from_millis(150);
    let limit = |ms| utilization_limit(aim, Some(Duration::from_millis(ms)));
    assert_eq!(utilization_limit(aim, None), FILL_LEAST);
    assert_eq!(limit(0), FILL_LEAST);
    assert!((limit(30) - 2.0).abs() < 1e-9);
    assert_eq!(limit(1), FILL_MOST);
    assert_eq!(limit(3000), FILL_LEAST);
    assert_eq!(queue_wait(0.5, Some(TAKES)), Duration::ZERO);
    assert_eq!(queue_wait(3.0, Some(TAKES)), TAKES * 2);
    assert_eq!(queue_wait(3.0, None), Duration::ZERO);
}

#[test]
fn callers_come_back_when_places_are_free_and_not_together() {
    assert_eq!(retry_after(Some(TAKES), 0.0), TAKES / 2);
    assert_eq!(retry_after(Some(TAKES), 1.0), TAKES * 3 / 2);
    assert_eq!(retry_after(None, 0.0), RETURN_MOST);
    let stream = Some(Duration::from_secs(4));
    assert_eq!(retry_after(stream, 0.5), RETURN_MOST);
}

#[test]
fn what_a_service_takes_is_learned() {
    let times = ServiceTimes::default();
    let service: ServiceId = "portal".parse().unwrap();
    assert_eq!(times.of(&service), None);
    times.record(&service, TAKES);
    assert_eq!(times.of(&service), Some(TAKES));
    for _ in 0..200 {
        times.record(&service, TAKES * 2);
    }
    let learned = times.of(&service).unwrap();
    assert!(learned > TAKES.mul_f64(1.99), "{learned:?}");
}

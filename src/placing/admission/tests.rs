//! Simulates a burst of short calls against a simple model of replicas.

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;

const REPLICAS: usize = 6;
const SLOTS: usize = 6;
const LATENCY_TARGET_MS: u64 = 300;
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// Duration of the burst.
const BURST_MS: u64 = 3000;

/// Age of a VM's view of a replica.
const VIEW_AGE_MS: u64 = 40;

/// An admission policy.
struct Policy {
    utilization_limit: f64,
    /// When a rejected caller retries, in milliseconds, by a jitter from 0 to
    /// 1.
    retry_after_ms: fn(f64) -> u64,
}

/// Shares of the calls by their result.
#[derive(Debug)]
struct Outcome {
    in_time: f64,
    late: f64,
    rejected: f64,
}

fn retry_after_ms(jitter: f64) -> u64 {
    retry_after(Some(SERVICE_TIME), jitter).as_millis() as u64
}

/// A replica: when each of its slots becomes free, and the calls it was given.
#[derive(Default)]
struct Replica {
    free_at_ms: [u64; SLOTS],
    /// When each call there began and ended.
    calls: Vec<(u64, u64)>,
}

impl Replica {
    fn utilization(&self, at_ms: u64) -> f64 {
        let there = |call: &&(u64, u64)| call.0 <= at_ms && at_ms < call.1;
        self.calls.iter().rev().filter(there).count() as f64 / SLOTS as f64
    }

    /// Queues a call; returns when it ends.
    fn take(&mut self, now_ms: u64, work_ms: u64) -> u64 {
        let slot = self.free_at_ms.iter_mut().min().expect("a slot");
        let end_ms = now_ms.max(*slot) + work_ms;
        *slot = end_ms;
        self.calls.push((now_ms, end_ms));
        end_ms
    }
}

/// Simulates calls that arrive at `load` times the capacity of the replicas;
/// rejected callers retry once.
fn simulate(load: f64, policy: &Policy) -> Outcome {
    let mut random = StdRng::seed_from_u64(5);
    let mut replicas: Vec<Replica> =
        (0..REPLICAS).map(|_| Replica::default()).collect();
    let capacity = (REPLICAS * SLOTS) as f64 / SERVICE_TIME.as_millis() as f64;
    // Arrival of the call, first arrival of its caller, and whether it is a
    // retry.
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
    let (mut in_time, mut late, mut rejected) = (0, 0, 0);
    while let Some(Reverse((now_ms, first_ms, is_retry))) = calls.pop() {
        let seen_ms = now_ms.saturating_sub(VIEW_AGE_MS);
        let (utilization, chosen) = replicas
            .iter_mut()
            .map(|replica| (replica.utilization(seen_ms), replica))
            .map(|(utilization, r)| {
                (utilization + random.random::<f64>() * 0.3, r)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .expect("a replica");
        if utilization < policy.utilization_limit {
            let work_ms = random.random_range(30..90);
            let end_ms = chosen.take(now_ms, work_ms);
            match end_ms - first_ms <= LATENCY_TARGET_MS {
                true => in_time += 1,
                false => late += 1,
            }
        } else if is_retry {
            rejected += 1;
        } else {
            let retry_ms = now_ms + (policy.retry_after_ms)(random.random());
            calls.push(Reverse((retry_ms, first_ms, true)));
        }
    }
    Outcome {
        in_time: f64::from(in_time) / total,
        late: f64::from(late) / total,
        rejected: f64::from(rejected) / total,
    }
}

/// Guards against both extremes: admission by free slots alone rejects callers
/// that could be served in time, and admission without a limit serves everyone
/// late.
#[test]
fn a_short_queue_serves_more_callers_in_time() {
    let limit = utilization_limit(
        Duration::from_millis(LATENCY_TARGET_MS),
        Some(SERVICE_TIME),
    );
    let by_slots = Policy {
        utilization_limit: MIN_UTILIZATION_LIMIT,
        retry_after_ms: |_| 400,
    };
    let by_target = Policy { utilization_limit: limit, retry_after_ms };
    let unlimited = Policy { utilization_limit: f64::MAX, retry_after_ms };
    for (load, gain) in [(0.9, 0.02), (1.0, 0.1), (1.1, 0.04), (1.4, 0.02)] {
        let slots = simulate(load, &by_slots);
        let target = simulate(load, &by_target);
        let all = simulate(load, &unlimited);
        println!("load {load}: {slots:?}, {target:?}, {all:?}");
        assert!(target.in_time > slots.in_time + gain);
        assert!(target.in_time > all.in_time - 0.01);
        assert!(target.late + target.rejected < slots.late + slots.rejected);
    }
}

#[test]
fn the_utilization_limit_depends_on_the_service_time() {
    let latency_target = Duration::from_millis(150);
    let limit = |ms| {
        utilization_limit(latency_target, Some(Duration::from_millis(ms)))
    };
    assert_eq!(utilization_limit(latency_target, None), MIN_UTILIZATION_LIMIT);
    assert_eq!(limit(0), MIN_UTILIZATION_LIMIT);
    assert!((limit(30) - 2.0).abs() < 1e-9);
    assert_eq!(limit(1), MAX_UTILIZATION_LIMIT);
    assert_eq!(limit(3000), MIN_UTILIZATION_LIMIT);
    assert_eq!(queue_wait(0.5, Some(SERVICE_TIME)), Duration::ZERO);
    assert_eq!(queue_wait(3.0, Some(SERVICE_TIME)), SERVICE_TIME * 2);
    assert_eq!(queue_wait(3.0, None), Duration::ZERO);
}

#[test]
fn rejected_callers_retry_when_slots_are_free_and_spread_out() {
    assert_eq!(retry_after(Some(SERVICE_TIME), 0.0), SERVICE_TIME / 2);
    assert_eq!(retry_after(Some(SERVICE_TIME), 1.0), SERVICE_TIME * 3 / 2);
    assert_eq!(retry_after(None, 0.0), MAX_RETRY_AFTER);
    let stream = Some(Duration::from_secs(4));
    assert_eq!(retry_after(stream, 0.5), MAX_RETRY_AFTER);
}

#[test]
fn the_service_time_is_learned() {
    let times = ServiceTimes::default();
    let service: ServiceId = "portal".parse().unwrap();
    assert_eq!(times.of(&service), None);
    times.record(&service, SERVICE_TIME);
    assert_eq!(times.of(&service), Some(SERVICE_TIME));
    for _ in 0..200 {
        times.record(&service, SERVICE_TIME * 2);
    }
    let learned = times.of(&service).unwrap();
    assert!(learned > SERVICE_TIME.mul_f64(1.99), "{learned:?}");
}

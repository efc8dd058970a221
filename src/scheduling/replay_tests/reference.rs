//! The share of requests that the best order without knowledge of the single
//! service times serves in time: one queue in front of all slots, without
//! message delays, that drops what can no longer be in time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use super::load::{Load, SLOTS, UPSTREAMS};

/// Times that a request must have left to be started, as shares of the mean
/// service time.
const MARGINS: [f64; 6] = [0.5, 0.75, 1.0, 1.25, 1.5, 2.0];

/// Returns the best share over both orders (earliest or latest arrival first)
/// and all margins.
pub(super) fn best_in_time(load: &Load) -> f64 {
    let orders = MARGINS.iter().flat_map(|margin| {
        [false, true].map(|is_latest_first| (*margin, is_latest_first))
    });
    let shares = orders.map(|(margin, latest)| in_time(load, margin, latest));
    shares.fold(0.0, f64::max)
}

fn in_time(load: &Load, margin: f64, is_latest_first: bool) -> f64 {
    let target_us = load.service.latency_target_ms * 1000;
    let margin_us = (load.service.mean_ms as f64 * 1000.0 * margin) as u64;
    let mut free: BinaryHeap<Reverse<u64>> =
        (0..UPSTREAMS * SLOTS).map(|_| Reverse(0)).collect();
    let mut waiting: VecDeque<usize> = VecDeque::new();
    let mut next = 0;
    let mut in_time = 0;
    while let Some(Reverse(mut now)) = free.pop() {
        if waiting.is_empty() {
            let Some(call) = load.calls.get(next) else { break };
            now = now.max(call.at_us);
        }
        while load.calls.get(next).is_some_and(|call| call.at_us <= now) {
            waiting.push_back(next);
            next += 1;
        }
        waiting.retain(|call| {
            load.calls[*call].at_us + target_us >= now + margin_us
        });
        let first = match is_latest_first {
            true => waiting.pop_back(),
            false => waiting.pop_front(),
        };
        let Some(first) = first else {
            free.push(Reverse(now));
            if next == load.calls.len() {
                break;
            }
            continue;
        };
        let call = &load.calls[first];
        let end = now + call.work_us;
        in_time += usize::from(end <= call.at_us + target_us);
        free.push(Reverse(end));
    }
    in_time as f64 / load.calls.len() as f64
}

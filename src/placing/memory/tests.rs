use std::time::Duration;

use super::*;
use crate::placing::{
    member::{UpstreamEntry, UpstreamState},
    pool::{PickCriteria, Pool, PrefixAffinity},
    warm_up::WarmUpSlack,
};

const UPSTREAM: ShortHash = ShortHash(1);

fn need(own_tokens: u64, shared: Option<(u64, u64)>) -> MemoryNeed {
    MemoryNeed { own_tokens, shared, capacity_tokens: 10_000 }
}

/// Guards against counting a shared prefix once for each request: engines
/// would look full that are not.
#[test]
fn a_shared_prefix_counts_once() {
    let memory = OwnMemory::default();
    let first = need(100, Some((7, 5000)));
    let second = need(200, Some((7, 5000)));
    assert_eq!(memory.tokens_with(&first), 5100);
    memory.add(&first);
    assert_eq!(memory.tokens_with(&second), 5300);
    memory.add(&second);
    assert_eq!(memory.tokens(), 5300);
    memory.remove(&first);
    assert_eq!(memory.tokens(), 5200);
    memory.remove(&second);
    assert_eq!(memory.tokens(), 0);
}

#[test]
fn a_request_larger_than_the_memory_fits_nowhere() {
    assert!(need(4000, Some((7, 6000))).fits_any());
    assert!(!need(4001, Some((7, 6000))).fits_any());
    assert!(!need(u64::MAX, Some((7, 6000))).fits_any());
}

/// Guards against memory that stays occupied by a VM that has stopped, or
/// whose requests have ended, and against counting a repeated report twice.
#[test]
fn reports_replace_each_other_and_expire() {
    let now = BootInstant::now();
    let mut memory = PeerMemory::default();
    let (a, b) = (ShortHash(10), ShortHash(11));
    memory.set(a, &[(UPSTREAM, 500)], now);
    memory.set(a, &[(UPSTREAM, 500)], now);
    memory.set(b, &[(UPSTREAM, 300), (ShortHash(2), 50)], now);
    assert_eq!(memory.tokens(UPSTREAM), 800);
    memory.set(b, &[(ShortHash(2), 50)], now);
    assert_eq!(memory.tokens(UPSTREAM), 500);
    memory.expire(now + PEER_WORK_TTL - Duration::from_millis(1));
    assert_eq!(memory.tokens(UPSTREAM), 500);
    memory.expire(now + PEER_WORK_TTL);
    assert_eq!(memory.tokens(UPSTREAM), 0);
    assert!(memory.totals.is_empty() && memory.by_vm.is_empty());
}

/// Guards against a request that is rejected, or sent to a full engine while
/// another one has room, since memory is full somewhere.
#[test]
fn full_engines_are_left_out_unless_all_are_full() {
    let now = BootInstant::now();
    let slack = WarmUpSlack { overshoot: 1.5, tolerance: 5.0 };
    let pool = Pool::new("vm-1", "a".parse().unwrap(), slack);
    for name in ["i-1", "i-2"] {
        let entry = UpstreamEntry {
            id: name.parse().unwrap(),
            started: None,
            service: "writers".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_hall: "a".parse().unwrap(),
            software: "v1".parse().unwrap(),
            slots: 64,
            state: UpstreamState::Ready,
            warm_up_left: Duration::ZERO,
            sequence: 1,
        };
        pool.set(entry, now);
    }
    let service = "writers".parse().unwrap();
    let pick = |memory| {
        let affinity = PrefixAffinity {
            prefix_hash: 7,
            cache_miss_cost: Duration::from_millis(50),
        };
        let criteria = PickCriteria {
            affinity: Some(affinity),
            memory,
            ..PickCriteria::default()
        };
        pool.pick(&service, &criteria, now).unwrap()
    };
    let request = need(6000, None);
    let first = pick(Some(request));
    let occupied = first.occupy_memory(request);
    let second = pick(Some(request));
    assert_ne!(first.entry.id, second.entry.id);
    // A service without an engine, and a request that still fits.
    assert_eq!(pick(None).entry.id, first.entry.id);
    assert_eq!(pick(Some(need(4000, None))).entry.id, first.entry.id);
    let by_peer = [(second.upstream.short_hash, 9000)];
    pool.set_peer_memory("vm-2", &by_peer, now);
    assert_eq!(pick(Some(request)).entry.id, first.entry.id, "all are full");
    assert_eq!(pool.local_memory(), [(first.upstream.short_hash, 6000)]);
    drop(occupied);
    assert!(pool.local_memory().is_empty());
}

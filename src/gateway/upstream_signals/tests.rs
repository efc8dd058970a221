//! One VM learns from a response that an upstream is leaving or has a rate
//! limit, and the others learn it by gossip, without the store. The large
//! fleet has six data halls with forty VMs each, where a VM sends heartbeats
//! to one VM of other halls in each round.

use std::time::Duration;

use crate::{
    clock::Clock,
    gateway::{test_fleet::Fleet, upstream_signals::processed_tokens},
    placing::{
        member::{UpstreamEntry, UpstreamState},
        signals::{RateLimit, UpstreamSignals},
    },
};

const HALLS: usize = 6;
const VMS_PER_HALL: usize = 40;

/// Time within which all VMs of the hall, and nearly all of the others, have
/// to know.
const HALL_LIMIT_MS: u64 = 1_000;
const FLEET_LIMIT_MS: u64 = 4_000;

/// Fraction of the VMs of other halls that have to know by then.
const MIN_OTHERS_FRACTION: f64 = 0.95;

fn entry(id: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        started: None,
        service: "writers".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_hall: "hall-0".parse().unwrap(),
        software: "v1".parse().unwrap(),
        slots: 10,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
        sequence: 1,
    }
}

fn run_until(fleet: &mut Fleet, until_ms: u64) {
    while fleet.elapsed_ms < until_ms {
        fleet.step();
    }
}

/// Returns how many of these VMs would send a request to the upstream.
fn senders(fleet: &Fleet, vms: std::ops::Range<usize>) -> usize {
    let now = fleet.clock.now();
    let id = "i-1".parse().unwrap();
    let accepts = |vm: &usize| {
        let member = fleet.vms[*vm].pool.member(&id);
        member.is_some_and(|member| member.takes_requests(now))
    };
    vms.filter(accepts).count()
}

#[test]
fn a_leaving_upstream_becomes_known_to_all_vms() {
    let mut fleet = Fleet::new(HALLS, VMS_PER_HALL);
    let last = fleet.vms.len() - 1;
    for (number, vm) in fleet.vms.iter().enumerate() {
        let now = fleet.clock.now();
        vm.pool.set(entry("i-2"), now);
        // One VM does not have its entry yet.
        if number != last {
            vm.pool.set(entry("i-1"), now);
        }
    }
    run_until(&mut fleet, 2_000);
    let all = 0..fleet.vms.len();
    assert_eq!(senders(&fleet, all.clone()), all.len() - 1);
    let first = &fleet.vms[0];
    let now = fleet.clock.now();
    let member = first.pool.member(&"i-1".parse().unwrap()).unwrap();
    let leaves =
        UpstreamSignals { is_leaving: true, ..UpstreamSignals::default() };
    first.apply_signals(&member, &leaves, now);
    fleet.schedule_early_heartbeat(0);
    let reported_ms = fleet.elapsed_ms;
    run_until(&mut fleet, reported_ms + HALL_LIMIT_MS);
    assert_eq!(
        senders(&fleet, 0..VMS_PER_HALL),
        0,
        "VMs of the same hall still send there"
    );
    run_until(&mut fleet, reported_ms + FLEET_LIMIT_MS);
    let others = all.len() - VMS_PER_HALL;
    let left = senders(&fleet, VMS_PER_HALL..all.len());
    let most = others as f64 * (1.0 - MIN_OTHERS_FRACTION);
    assert!(left as f64 <= most, "{left} of {others} still send there");
    // A VM that gets the entry late already knows that the upstream leaves.
    let late = &fleet.vms[last];
    late.pool.set(entry("i-1"), fleet.clock.now());
    assert_eq!(senders(&fleet, last..all.len()), 0, "the entry came late");
}

#[test]
fn a_leaving_upstream_is_announced_for_a_limited_time() {
    let mut fleet = Fleet::new(1, 2);
    for vm in &fleet.vms {
        vm.pool.set(entry("i-1"), fleet.clock.now());
    }
    let first = fleet.vms[0].clone();
    let member = first.pool.member(&"i-1".parse().unwrap()).unwrap();
    let leaves =
        UpstreamSignals { is_leaving: true, ..UpstreamSignals::default() };
    first.apply_signals(&member, &leaves, fleet.clock.now());
    let announced =
        |fleet: &Fleet| first.pool.due_leaving(fleet.clock.now()).len();
    run_until(&mut fleet, 5_000);
    assert_eq!(announced(&fleet), 1, "repeated, since a datagram may be lost");
    run_until(&mut fleet, 20_000);
    assert_eq!(announced(&fleet), 0);
}

/// Returns the number of VMs that know of a rate limit in force.
fn limited(fleet: &Fleet) -> usize {
    let now = fleet.clock.now();
    let id = "i-1".parse().unwrap();
    let members = fleet.vms.iter().filter_map(|vm| vm.pool.member(&id));
    let limits = members.filter_map(|member| {
        member.upstream.reported_state.rate_limit_per_s(now)
    });
    limits.count()
}

#[test]
fn a_rate_limit_and_its_end_become_known_to_all_vms() {
    for (halls, vms_per_hall) in [(4, 2), (HALLS, VMS_PER_HALL)] {
        let mut fleet = Fleet::new(halls, vms_per_hall);
        for vm in &fleet.vms {
            vm.pool.set(entry("i-1"), fleet.clock.now());
        }
        run_until(&mut fleet, 2_000);
        let first = fleet.vms[0].clone();
        let member = first.pool.member(&"i-1".parse().unwrap()).unwrap();
        let signals_with = |limit| UpstreamSignals {
            rate_limit: Some(limit),
            ..UpstreamSignals::default()
        };
        let limited_signals =
            signals_with(RateLimit::At("1.4".parse().unwrap()));
        let unlimited = signals_with(RateLimit::Unlimited);
        // Repeating that there is no limit changes nothing.
        first.apply_signals(&member, &unlimited, fleet.clock.now());
        for signals in [&limited_signals, &unlimited] {
            first.apply_signals(&member, signals, fleet.clock.now());
            fleet.schedule_early_heartbeat(0);
            let reported_ms = fleet.elapsed_ms;
            run_until(&mut fleet, reported_ms + FLEET_LIMIT_MS);
            let informed = limited(&fleet);
            let all = fleet.vms.len();
            let expected = if signals == &limited_signals { all } else { 0 };
            assert!(
                informed.abs_diff(expected) as f64
                    <= all as f64 * (1.0 - MIN_OTHERS_FRACTION),
                "{informed} of {all} know of a limit"
            );
            run_until(&mut fleet, reported_ms + FLEET_LIMIT_MS * 2);
            assert_eq!(limited(&fleet), expected);
        }
    }
}

/// Guards against an upstream that looks fast because it has prompts cached.
#[test]
fn cached_tokens_do_not_count_as_processed() {
    assert_eq!(processed_tokens(900, 600, Some(0)), Some(300));
    assert_eq!(processed_tokens(900, 600, Some(1)), None);
    assert_eq!(processed_tokens(900, 600, Some(2)), Some(900));
    assert_eq!(processed_tokens(900, 0, None), Some(900));
}

//! One VM hears from an upstream that it leaves, while the store is away; six
//! data halls with forty VMs each, where a beat goes to one VM of another hall
//! in each round.

use std::time::Duration;

use crate::{
    clock::Clock,
    gateway::test_fleet::Fleet,
    placing::{
        member::{UpstreamEntry, UpstreamState},
        statement::{RateLimit, Statement},
    },
};

const HALLS: usize = 6;
const VMS_OF_HALL: usize = 40;

/// Time in which all VMs of the hall are to know, and nearly all of the others.
const HALL_MS: u64 = 1_000;
const FLEET_MS: u64 = 4_000;

/// Part of the VMs of other halls that are to know by then.
const OTHERS_LEAST: f64 = 0.95;

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
    }
}

fn run_until(fleet: &mut Fleet, until_ms: u64) {
    while fleet.elapsed_ms < until_ms {
        fleet.step();
    }
}

/// How many of these VMs would send it a request.
fn senders(fleet: &Fleet, vms: std::ops::Range<usize>) -> usize {
    let now = fleet.clock.now();
    let id = "i-1".parse().unwrap();
    let takes = |vm: &usize| {
        let member = fleet.vms[*vm].pool.member(&id);
        member.is_some_and(|member| member.takes_requests(now))
    };
    vms.filter(takes).count()
}

#[test]
fn what_one_vm_hears_of_leaving_all_know_soon() {
    let mut fleet = Fleet::new(HALLS, VMS_OF_HALL);
    let last = fleet.vms.len() - 1;
    for (number, vm) in fleet.vms.iter().enumerate() {
        let now = fleet.clock.now();
        vm.pool.set(entry("i-2"), now);
        // One VM has not heard of it yet.
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
    let leaves = Statement { is_leaving: true, ..Statement::default() };
    first.apply_signals(&member, &leaves, now);
    fleet.schedule_early_heartbeat(0);
    let told_ms = fleet.elapsed_ms;
    run_until(&mut fleet, told_ms + HALL_MS);
    assert_eq!(senders(&fleet, 0..VMS_OF_HALL), 0, "its own hall");
    run_until(&mut fleet, told_ms + FLEET_MS);
    let others = all.len() - VMS_OF_HALL;
    let left = senders(&fleet, VMS_OF_HALL..all.len());
    let most = others as f64 * (1.0 - OTHERS_LEAST);
    assert!(left as f64 <= most, "{left} of {others} still send there");
    // Those that hear of its record later know it by then.
    let late = &fleet.vms[last];
    late.pool.set(entry("i-1"), fleet.clock.now());
    assert_eq!(senders(&fleet, last..all.len()), 0, "its record came late");
}

#[test]
fn it_is_told_for_a_while_and_not_for_ever() {
    let mut fleet = Fleet::new(1, 2);
    for vm in &fleet.vms {
        vm.pool.set(entry("i-1"), fleet.clock.now());
    }
    let first = fleet.vms[0].clone();
    let member = first.pool.member(&"i-1".parse().unwrap()).unwrap();
    let leaves = Statement { is_leaving: true, ..Statement::default() };
    first.apply_signals(&member, &leaves, fleet.clock.now());
    let told =
        |fleet: &Fleet| first.pool.take_leaving(fleet.clock.now()).len();
    run_until(&mut fleet, 5_000);
    assert_eq!(told(&fleet), 1, "a datagram may be lost");
    run_until(&mut fleet, 20_000);
    assert_eq!(told(&fleet), 0);
}

/// How many VMs know of a limit that holds.
fn limited(fleet: &Fleet) -> usize {
    let now = fleet.clock.now();
    let id = "i-1".parse().unwrap();
    let members = fleet.vms.iter().filter_map(|vm| vm.pool.member(&id));
    let limits =
        members.filter_map(|member| member.upstream.own_word.limit_per_s(now));
    limits.count()
}

#[test]
fn what_one_vm_hears_of_a_limit_and_of_its_end_all_know_soon() {
    for (halls, vms_of_hall) in [(4, 2), (HALLS, VMS_OF_HALL)] {
        let mut fleet = Fleet::new(halls, vms_of_hall);
        for vm in &fleet.vms {
            vm.pool.set(entry("i-1"), fleet.clock.now());
        }
        run_until(&mut fleet, 2_000);
        let first = fleet.vms[0].clone();
        let member = first.pool.member(&"i-1".parse().unwrap()).unwrap();
        let says = |limit| Statement {
            rate_limit: Some(limit),
            ..Statement::default()
        };
        let named = says(RateLimit::At("1.4".parse().unwrap()));
        let unlimited = says(RateLimit::Unlimited);
        // What is said before and after is no news.
        first.apply_signals(&member, &unlimited, fleet.clock.now());
        for statement in [&named, &unlimited] {
            first.apply_signals(&member, statement, fleet.clock.now());
            fleet.schedule_early_heartbeat(0);
            let told_ms = fleet.elapsed_ms;
            run_until(&mut fleet, told_ms + FLEET_MS);
            let know = limited(&fleet);
            let all = fleet.vms.len();
            let expected = if statement == &named { all } else { 0 };
            assert!(
                know.abs_diff(expected) as f64
                    <= all as f64 * (1.0 - OTHERS_LEAST),
                "{know} of {all} know of a limit"
            );
            run_until(&mut fleet, told_ms + FLEET_MS * 2);
            assert_eq!(limited(&fleet), expected);
        }
    }
}

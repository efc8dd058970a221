//! Tests of the warm-up limit with many VMs: their shares alone, and whole
//! pools before cold upstreams.

use std::{collections::HashMap, sync::Arc};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;
use crate::placing::{
    member::{Member, UpstreamEntry, UpstreamState},
    permit_lenders::{MAX_ASKED, PermitLenders},
    pool::{PickCriteria, PickError, Pool},
};

const SLACK: WarmUpSlack = WarmUpSlack { overshoot: 1.5, tolerance: 5.0 };

const WARM_UP: WarmUp = WarmUp { time: Duration::from_secs(3), per_s: 8.8 };

fn own_hall() -> DataHallId {
    "a".parse().unwrap()
}

fn roster(vms: &[String]) -> Roster {
    let mut roster = Roster::default();
    for vm in vms {
        roster.add(vm, &own_hall());
    }
    roster
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("vm-{n}")).collect()
}

#[test]
fn the_shares_of_all_vms_are_within_the_limit() {
    for count in [0, 1, 2, 3, 5, 21, 80] {
        let vms = names(count);
        let roster = roster(&vms);
        for upstream in 0..200 {
            let share = |vm: &String| {
                super::vm_share(
                    &roster,
                    vm,
                    ShortHash(upstream),
                    &own_hall(),
                    WARM_UP.max_requests(SLACK),
                )
            };
            let shares: Vec<usize> = vms.iter().map(share).collect();
            assert!(shares.iter().sum::<usize>() <= 18);
            let owners = shares.iter().filter(|share| **share > 0).count();
            assert_eq!(owners, count.min(MAX_OWNERS));
        }
    }
}

#[test]
fn a_vm_without_a_record_has_no_share() {
    let vms = names(5);
    let roster = roster(&vms);
    let share = super::vm_share(
        &roster,
        "vm-new",
        ShortHash(7),
        &own_hall(),
        WARM_UP.max_requests(SLACK),
    );
    assert_eq!(share, 0);
}

/// One VM in three has not seen a new VM record yet, and one has already seen
/// the removal of another.
#[test]
fn vms_with_different_rosters_stay_within_the_limit() {
    let vms = names(22);
    let (old, new) = (roster(&vms[..21]), roster(&vms));
    let mut newest = roster(&vms);
    newest.remove("vm-3");
    for upstream in 0..2000 {
        let shares = vms.iter().enumerate().map(|(n, vm)| {
            let known_roster = match n {
                21 => &new,
                _ if n % 3 == 0 => &old,
                _ if n == 7 => &newest,
                _ => &new,
            };
            vm_share(
                known_roster,
                vm,
                ShortHash(upstream),
                &own_hall(),
                WARM_UP.max_requests(SLACK),
            )
        });
        assert!(shares.sum::<usize>() <= 18, "upstream {upstream}");
    }
}

#[test]
fn sent_requests_count_for_one_second() {
    let start = BootInstant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let mut sent = SendWindow::default();
    for ms in [0, 100, 200] {
        assert!(sent.has_capacity(3, after(ms)));
        sent.record(after(ms));
    }
    assert!(!sent.has_capacity(3, after(999)));
    assert!(sent.has_capacity(3, after(1000)));
    assert!(!sent.has_capacity(0, after(5000)));
}

#[test]
fn a_full_window_states_when_the_next_request_may_be_sent() {
    let start = BootInstant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let ms = |ms| Some(Duration::from_millis(ms));
    let mut sent = SendWindow::default();
    assert_eq!(sent.wait(2, start), ms(0));
    assert_eq!(sent.wait(0, start), None);
    for at in [0, 100, 200] {
        sent.record(after(at));
    }
    assert_eq!(sent.wait(4, after(200)), ms(0));
    assert_eq!(sent.wait(3, after(200)), ms(800));
    assert_eq!(sent.wait(2, after(200)), ms(900));
    assert_eq!(sent.wait(0, after(200)), None);
    // A request that will be sent later counts until a second after that.
    sent.record(after(350));
    assert_eq!(sent.wait(1, after(250)), ms(1100));
}

fn cold(id: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("i-{id}").parse().unwrap(),
        started: None,
        service: "writers".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        data_hall: "a".parse().unwrap(),
        software: "v1".parse().unwrap(),
        slots: 16,
        state: UpstreamState::Ready,
        warm_up_left: WARM_UP.time,
        sequence: 1,
    }
}

/// The pools of the VMs of one data hall, with cold upstreams.
fn hall(vms: &[String], upstreams: usize, now: BootInstant) -> Vec<Pool> {
    let pool = |vm: &String| {
        let pool = Pool::new(vm, "a".parse().unwrap(), SLACK);
        let service = "writers".parse().unwrap();
        pool.set_warm_ups(HashMap::from([(service, WARM_UP)]));
        for known in vms {
            pool.add_vm(known, &"a".parse().unwrap());
        }
        for id in 0..upstreams {
            pool.set(cold(id), now);
        }
        pool
    };
    vms.iter().map(pool).collect()
}

/// Picks an upstream with a permit of another VM, as a VM that has not asked
/// for one before.
fn pick_with_permit(
    pool: &Pool,
    pools: &[Pool],
    now: BootInstant,
) -> Option<Arc<Member>> {
    let service = "writers".parse().unwrap();
    let criteria = PickCriteria::default();
    let upstreams = pool.permit_candidates(&service, &criteria, now);
    let owners = pool.permit_owners(&upstreams, now);
    let lenders = PermitLenders::default();
    for _ in 0..MAX_ASKED {
        let lender = lenders.choose(&service, &owners, now)?;
        let number: usize = lender["vm-".len()..].parse().unwrap();
        match pools[number].lend_permit(&upstreams, now) {
            Ok(upstream) => {
                return pool
                    .pick_permitted(&service, upstream, &criteria, now);
            }
            Err(wait) => lenders.record_wait(&service, lender, wait, now),
        }
    }
    None
}

/// The load after the evacuation of a data hall ends: all of its upstreams are
/// idle and cold, and its VMs send three times what they can take, for three
/// seconds. `preferred_share` of the requests arrives at one VM, beside its
/// part of the others.
///
/// Returns how many requests found an upstream, and the most that one upstream
/// received within a second.
fn simulate(
    pools: &[Pool],
    preferred_share: f64,
    start: BootInstant,
) -> (usize, usize) {
    let service = "writers".parse().unwrap();
    let mut random = StdRng::seed_from_u64(7);
    let mut sent: HashMap<String, Vec<u64>> = HashMap::new();
    for ms in (0..3000).step_by(5) {
        let now = start + Duration::from_millis(ms);
        let pool = match random.random_bool(preferred_share) {
            true => &pools[0],
            false => &pools[random.random_range(0..pools.len())],
        };
        let picked = pool.pick(&service, &PickCriteria::default(), now).ok();
        let picked = picked.or_else(|| pick_with_permit(pool, pools, now));
        if let Some(member) = picked {
            let id = member.entry.id.to_string();
            sent.entry(id).or_default().push(ms);
        }
    }
    let busiest = |times: &Vec<u64>| {
        let within = |from: &u64| {
            let window = *from..*from + 1000;
            times.iter().filter(|at| window.contains(at)).count()
        };
        times.iter().map(within).max()
    };
    let max = sent.values().filter_map(busiest).max();
    (sent.values().map(Vec::len).sum(), max.unwrap_or(0))
}

#[test]
fn no_cold_upstream_exceeds_its_limit_in_any_second() {
    let start = BootInstant::now();
    let pools = hall(&names(21), 8, start);
    let (served, max) = simulate(&pools, 0.0, start);
    assert!(max <= 18, "{max}");
    // The rate that they can take is used: 8.8 per second for each of eight.
    assert!(served >= 200, "{served}");
    let service = "writers".parse().unwrap();
    let later = start + WARM_UP.time;
    let picked = pools[0].pick(&service, &PickCriteria::default(), later);
    assert!(picked.is_ok(), "they are warm");
    // Without a limit the same load exceeds it.
    let unbounded = hall(&names(21), 8, start);
    for pool in &unbounded {
        pool.set_warm_ups(HashMap::new());
    }
    assert!(simulate(&unbounded, 0.0, start).1 > 18);
}

/// A VM that gets most of the requests must not be left with its own share.
#[test]
fn cold_upstreams_are_used_where_most_requests_arrive_at_one_vm() {
    let start = BootInstant::now();
    let results = [3, 21, 50].map(|vms| {
        let (served, max) = simulate(&hall(&names(vms), 8, start), 0.9, start);
        (vms, served, max)
    });
    let is_kept = |(_, served, max): &(usize, usize, usize)| {
        *served >= 200 && *max <= 18
    };
    assert!(results.iter().all(is_kept), "{results:?}");
}

#[test]
fn a_vm_of_another_hall_sends_to_cold_upstreams_with_permits() {
    let start = BootInstant::now();
    let mut pools = hall(&names(3), 8, start);
    let elsewhere = Pool::new("vm-3", "b".parse().unwrap(), SLACK);
    let service = "writers".parse().unwrap();
    elsewhere.set_warm_ups(HashMap::from([(service, WARM_UP)]));
    for known in names(3) {
        elsewhere.add_vm(&known, &own_hall());
    }
    for pool in pools.iter().chain([&elsewhere]) {
        pool.add_vm("vm-3", &"b".parse().unwrap());
    }
    for id in 0..8 {
        elsewhere.set(cold(id), start);
    }
    pools.push(elsewhere);
    let service = "writers".parse().unwrap();
    let picked = pools[3].pick(&service, &PickCriteria::default(), start);
    assert_eq!(picked.unwrap_err(), PickError::Cold);
    let mut taken = 0;
    while pick_with_permit(&pools[3], &pools, start).is_some() {
        taken += 1;
    }
    // Each of three owners may send four requests to each of eight upstreams;
    // when no permit is found, the two VMs that were asked have none left.
    assert!((64..=96).contains(&taken), "{taken}");
}

#[test]
fn a_hall_is_cold_after_its_evacuation_ends() {
    let start = BootInstant::now();
    let later = start + Duration::from_secs(60);
    let vms = names(21);
    let pool = &hall(&vms, 1, start)[0];
    let member = pool.member(&"i-0".parse().unwrap()).unwrap();
    let hall = "a".parse().unwrap();
    pool.evacuate(&hall);
    assert!(!member.is_cold(later));
    pool.end_evacuation(&hall, later);
    assert!(member.is_cold(later));
    assert!(!member.is_cold(later + WARM_UP.time));
}

#[test]
fn an_upstream_turns_cold_again_by_its_record() {
    let start = BootInstant::now();
    let later = start + Duration::from_secs(60);
    let pool = &hall(&names(3), 1, start)[0];
    let member = pool.member(&"i-0".parse().unwrap()).unwrap();
    assert!(!member.is_cold(later));
    pool.set(cold(0), later);
    assert!(member.is_cold(later + Duration::from_secs(2)));
}

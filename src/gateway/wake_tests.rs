//! A VM that has just been woken decides as one whose timers have run.
//!
//! While a VM is suspended its timers stand still, and a request or a message
//! of another VM may be handled before the first of them. So no decision may
//! rest on a timer having cleared away what is too old: a request was held
//! back for as long as the timer that forgets had not run, and one that ran
//! whole counted as such.

use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::{
    clock::Clock,
    crashes::digest::RequestDigest,
    gateway::test_fleet::Fleet,
    http_client::Listening,
    id::UpstreamId,
    message::ShortHash,
    placing::{member::UpstreamEntry, pool::PickCriteria},
    store_sync::{
        gossip::{self, HeartbeatRound},
        route::{InputLimits, RouteTable, TableVersion},
    },
};

const REQUEST: RequestDigest = RequestDigest(1);

/// The VM whose timers run, the one whose do not, and one that beats to both.
const WOKEN: usize = 0;
const AWAKE: usize = 1;
const OTHER: usize = 2;

/// What a VM takes in.
#[derive(Clone, Copy, Debug)]
enum Act {
    Prove,
    Retry,
    End(u32),
    Completed,
    List,
    Vanish,
    Hear,
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        Just(Act::Prove),
        Just(Act::Retry),
        (0..6_u32).prop_map(Act::End),
        (0..6_u32).prop_map(Act::End),
        Just(Act::Completed),
        Just(Act::List),
        Just(Act::Vanish),
        Just(Act::Hear),
    ]
}

fn upstream() -> UpstreamId {
    "i-1".parse().unwrap()
}

fn service() -> ServiceId {
    "writers".parse().unwrap()
}

fn entry() -> UpstreamEntry {
    UpstreamEntry {
        id: upstream(),
        started: None,
        service: service(),
        address: "127.0.0.1:7".parse().unwrap(),
        data_hall: "hall-0".parse().unwrap(),
        software: "v1".parse().unwrap(),
        slots: 8,
        state: UpstreamState::Ready,
        warm_up_left: Duration::from_secs(2),
    }
}

fn take(fleet: &Fleet, vm: usize, act: Act) {
    let gateway = &fleet.vms[vm];
    let now = fleet.clock.now();
    match act {
        Act::Prove => gateway.knowledge.prove(now),
        Act::Retry => {
            gateway.try_retry(&service());
        }
        Act::End(number) => {
            let life = ShortHash(number);
            gateway.crashes.record_lost_attempt(REQUEST, life, now, now);
            gateway.crashes.record_probe(life, Listening::No, now);
        }
        Act::Completed => {
            gateway.crashes.record_completed(REQUEST, now);
        }
        Act::List => {
            gateway.pool.set(entry(), now);
        }
        Act::Vanish => gateway.pool.remove(&upstream(), false, now),
        Act::Hear => {
            let mut round = HeartbeatRound::new(&fleet.vms[OTHER]);
            while let Some((address, beat)) = round.next_heartbeat() {
                if address == gateway.settings.peer_address {
                    gossip::receive_heartbeat(gateway, beat);
                }
            }
        }
    }
}

/// What the timers of a VM do.
fn run_timers(gateway: &Gateway) {
    let now = gateway.clock.now();
    gateway.crashes.expire(now);
    gateway.pool.sweep(now);
    gateway.peers.sweep(now);
    gateway.note_freshness();
}

/// What a VM decides at the present moment.
fn decisions(gateway: &Gateway) -> Vec<(&'static str, bool)> {
    let now = gateway.clock.now();
    let own_proof = gateway.knowledge.proof_age(now);
    let want = PickCriteria::default();
    let picked = gateway.pool.pick(&service(), &want, now);
    vec![
        ("accepts keys", gateway.may_accept_keys(now)),
        ("is ready", gateway.is_ready()),
        ("holds back", gateway.crashes.is_quarantined(REQUEST, now)),
        ("may retry", gateway.has_retry(&service())),
        ("has an upstream", picked.is_ok()),
        ("is cold", picked.is_ok_and(|member| member.is_cold(now))),
        ("is steward", gateway.peers.is_steward(own_proof, now)),
        ("follows the store", gateway.peers.is_first_of_hall(now)),
    ]
}

fn site() -> Fleet {
    let fleet = Fleet::new(1, 3);
    for vm in &fleet.vms {
        let limits = InputLimits::default();
        let version = TableVersion(1);
        let none = (Vec::new(), Vec::new());
        vm.knowledge
            .install(RouteTable::new(version, none.0, none.1, None, limits));
        vm.knowledge.prove(fleet.clock.now());
        vm.pool.set(entry(), fleet.clock.now());
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn a_woken_vm_decides_as_one_whose_timers_have_run(
        before in prop::collection::vec((1..700_u64, act()), 1..20),
        suspended_ms in prop_oneof![0..12_000_u64, 0..900_000_u64],
        after in prop::collection::vec(act(), 0..3),
    ) {
        let fleet = site();
        for (gap_ms, act) in before {
            fleet.clock.advance(Duration::from_millis(gap_ms));
            take(&fleet, WOKEN, act);
            take(&fleet, AWAKE, act);
        }
        fleet.clock.advance(Duration::from_millis(suspended_ms));
        run_timers(&fleet.vms[AWAKE]);
        let woken = decisions(&fleet.vms[WOKEN]);
        // Stewards and watchers are found by name: one of the two is first.
        let of_both = |name: &str| !matches!(
            name, "is steward" | "follows the store"
        );
        let awake = decisions(&fleet.vms[AWAKE]);
        for (own, other) in woken.iter().zip(&awake) {
            prop_assert!(!of_both(own.0) || own == other, "{own:?} {other:?}");
        }
        // What comes first after waking is judged by the age of what is known.
        for act in after {
            take(&fleet, WOKEN, act);
            take(&fleet, AWAKE, act);
        }
        let woken = decisions(&fleet.vms[WOKEN]);
        for (own, other) in woken.iter().zip(&decisions(&fleet.vms[AWAKE])) {
            prop_assert!(!of_both(own.0) || own == other, "{own:?} {other:?}");
        }
    }

    /// A VM that was suspended for longer than any of its proofs hold accepts
    /// nothing and keeps no record before it has asked again.
    #[test]
    fn nothing_old_is_acted_on_in_the_first_moment(
        suspended_ms in 4_700..900_000_u64,
        // What it is told afterwards is young.
        act in act().prop_filter("is told", |act| {
            !matches!(act, Act::Prove | Act::Hear)
        }),
    ) {
        let fleet = site();
        fleet.clock.advance(Duration::from_millis(suspended_ms));
        take(&fleet, WOKEN, act);
        let decided = decisions(&fleet.vms[WOKEN]);
        for name in ["accepts keys", "is ready", "is steward"] {
            prop_assert!(decided.contains(&(name, false)), "{decided:?}");
        }
    }
}

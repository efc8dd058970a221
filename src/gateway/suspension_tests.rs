//! A VM that resumes from suspension decides like one whose timers have run.
//!
//! While a VM is suspended, its timers do not run, and after it resumes, a
//! request or a message of another VM may be handled before the first timer.
//! So no decision may rely on a timer having removed expired state. Otherwise
//! a request stays quarantined until the timer that expires quarantines has
//! run, and a completed run that has expired still counts.

use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::{
    clock::Clock,
    crashes::subject::Subject,
    gateway::test_fleet::Fleet,
    http_client::Listening,
    id::UpstreamId,
    message::ShortHash,
    placing::{
        member::UpstreamEntry, pool::PickCriteria, retry_reason::RetryReason,
    },
    store_sync::{
        gossip::{self, HeartbeatRound},
        route::{InputLimits, RouteTable, TableVersion},
    },
};

const REQUEST: Subject = Subject(1);

/// The VM whose timers have not run, the one whose timers have, and a third
/// one that sends heartbeats to both.
const RESUMED: usize = 0;
const AWAKE: usize = 1;
const OTHER: usize = 2;

/// An input of a VM.
#[derive(Clone, Copy, Debug)]
enum Input {
    Prove,
    Retry,
    Crash(u32),
    Complete,
    AddEntry,
    RemoveEntry,
    Heartbeat,
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        Just(Input::Prove),
        Just(Input::Retry),
        (0..6_u32).prop_map(Input::Crash),
        (0..6_u32).prop_map(Input::Crash),
        Just(Input::Complete),
        Just(Input::AddEntry),
        Just(Input::RemoveEntry),
        Just(Input::Heartbeat),
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
        sequence: 1,
    }
}

fn apply(fleet: &Fleet, vm: usize, input: Input) {
    let gateway = &fleet.vms[vm];
    let now = fleet.clock.now();
    match input {
        Input::Prove => gateway.knowledge.prove(now),
        Input::Retry => {
            gateway.try_retry(&service(), RetryReason::Failed);
        }
        Input::Crash(number) => {
            let incarnation = ShortHash(number);
            gateway.crashes.record_lost_attempt(
                &[REQUEST],
                incarnation,
                now,
                now,
            );
            gateway.crashes.record_probe(incarnation, Listening::No, now);
        }
        Input::Complete => {
            gateway.crashes.record_completed(&[REQUEST], now);
        }
        Input::AddEntry => {
            gateway.pool.set(entry(), now);
        }
        Input::RemoveEntry => {
            gateway.pool.remove(&upstream(), VANISHED_GRACE, now)
        }
        Input::Heartbeat => {
            let mut round = HeartbeatRound::new(&fleet.vms[OTHER]);
            while let Some((address, heartbeat)) = round.next_heartbeat() {
                if address == gateway.settings.peer_address {
                    gossip::receive_heartbeat(gateway, heartbeat);
                }
            }
        }
    }
}

/// Does what the timers of a VM do.
fn run_timers(gateway: &Gateway) {
    let now = gateway.clock.now();
    gateway.crashes.expire(now);
    gateway.pool.sweep(now);
    gateway.peers.sweep(now);
    gateway.log_freshness();
}

/// Returns what a VM decides now.
fn decisions(gateway: &Gateway) -> Vec<(&'static str, bool)> {
    let now = gateway.clock.now();
    let own_proof = gateway.knowledge.copy_age(now);
    let criteria = PickCriteria::default();
    let picked = gateway.pool.pick(&service(), &criteria, now);
    vec![
        ("accepts keys", gateway.may_accept_keys(now)),
        ("is ready", gateway.is_ready()),
        (
            "quarantines the request",
            gateway.crashes.first_quarantined(&[REQUEST], now).is_some(),
        ),
        ("may retry", gateway.can_retry(&service())),
        ("has an upstream", picked.is_ok()),
        ("is cold", picked.is_ok_and(|member| member.is_cold(now))),
        ("is steward", gateway.peers.is_steward(own_proof, now)),
        ("follows the store", gateway.peers.is_first_of_hall(now)),
    ]
}

fn fleet() -> Fleet {
    let fleet = Fleet::new(1, 3);
    for vm in &fleet.vms {
        let limits = InputLimits::default();
        let version = TableVersion(1);
        let empty = (Vec::new(), Vec::new());
        vm.knowledge
            .install(RouteTable::new(version, empty.0, empty.1, None, limits));
        vm.knowledge.prove(fleet.clock.now());
        vm.pool.set(entry(), fleet.clock.now());
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn a_resumed_vm_decides_like_one_whose_timers_have_run(
        before in prop::collection::vec((1..700_u64, input()), 1..20),
        suspended_ms in prop_oneof![0..12_000_u64, 0..900_000_u64],
        after in prop::collection::vec(input(), 0..3),
    ) {
        let fleet = fleet();
        for (gap_ms, input) in before {
            fleet.clock.advance(Duration::from_millis(gap_ms));
            apply(&fleet, RESUMED, input);
            apply(&fleet, AWAKE, input);
        }
        fleet.clock.advance(Duration::from_millis(suspended_ms));
        run_timers(&fleet.vms[AWAKE]);
        let resumed = decisions(&fleet.vms[RESUMED]);
        // Stewards and watchers are chosen by the names of the VMs, so these
        // two decisions differ between the VMs.
        let common = |name: &str| !matches!(
            name, "is steward" | "follows the store"
        );
        let awake = decisions(&fleet.vms[AWAKE]);
        for (own, other) in resumed.iter().zip(&awake) {
            prop_assert!(!common(own.0) || own == other, "{own:?} {other:?}");
        }
        // The first inputs after the VM resumes are handled before its timers
        // have run as well; expired state must not affect them.
        for input in after {
            apply(&fleet, RESUMED, input);
            apply(&fleet, AWAKE, input);
        }
        let resumed = decisions(&fleet.vms[RESUMED]);
        for (own, other) in resumed.iter().zip(&decisions(&fleet.vms[AWAKE])) {
            prop_assert!(!common(own.0) || own == other, "{own:?} {other:?}");
        }
    }

    /// A VM that was suspended for longer than its proof of freshness is valid
    /// accepts no keys and is not the steward before it has asked the store
    /// again.
    #[test]
    fn no_stale_state_is_used_right_after_a_suspension(
        suspended_ms in 4_700..900_000_u64,
        // These two inputs bring fresh state.
        input in input().prop_filter("brings fresh state", |input| {
            !matches!(input, Input::Prove | Input::Heartbeat)
        }),
    ) {
        let fleet = fleet();
        fleet.clock.advance(Duration::from_millis(suspended_ms));
        apply(&fleet, RESUMED, input);
        let decided = decisions(&fleet.vms[RESUMED]);
        for name in ["accepts keys", "is ready", "is steward"] {
            prop_assert!(decided.contains(&(name, false)), "{decided:?}");
        }
    }
}

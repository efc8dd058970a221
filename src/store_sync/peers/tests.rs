//! Tests of the choice of watchers, of liveness and of the receivers of
//! heartbeats.

use std::{sync::Arc, time::Duration};

use super::*;
use crate::{
    chains::store::StoreVersion,
    clock::SystemClock,
    gateway::{Gateway, tests::MINIMAL_SETTINGS},
    message::InFlightWork,
    platform::store::StoreItems,
    store_sync::store_position::StorePosition,
};

fn gateway() -> Arc<Gateway> {
    let settings =
        GatewaySettings::from_ini(MINIMAL_SETTINGS).expect("settings");
    Gateway::new(settings, Arc::new(SystemClock))
}

fn heartbeat(
    vm: usize,
    hall: &str,
    incarnation: u64,
    number: u32,
) -> Heartbeat {
    Heartbeat {
        vm: format!("vm-{vm}"),
        data_hall: hall.parse().unwrap(),
        link_mbps: Mbps(20),
        cores: MilliCores(0),
        peer_address: format!("127.0.0.1:{}", 1000 + vm).parse().unwrap(),
        incarnation: Incarnation(incarnation),
        number,
        echo: None,
        leaving: false,
        as_of: StorePosition::default(),
        digest: 0,
        configuration_version: 0,
        proof_age_ms: None,
        can_watch: true,
        in_flight: Vec::<(crate::message::ShortHash, InFlightWork)>::new(),
        load_reports: Vec::new(),
        failures: Vec::new(),
        leaving_upstreams: Vec::new(),
        rate_limits: Vec::new(),
        evidence: Vec::new(),
        observations: Vec::new(),
        hall_evidence: Vec::new(),
        slowness: Vec::new(),
        memory_tokens: Vec::new(),
        doubts: Vec::new(),
        organisation_requests: Vec::new(),
    }
}

/// Makes a VM receive a heartbeat.
fn receive(gateway: &Gateway, heartbeat: &Heartbeat) {
    let now = gateway.clock.now();
    gateway.peers.merge_heartbeat(heartbeat, &gateway.knowledge, now);
}

/// Creates a VM that has received heartbeats from `count` others, spread over
/// the halls.
fn gateway_with_peers(count: usize, halls: &[&str]) -> Arc<Gateway> {
    let gateway = gateway();
    for vm in 1..=count {
        let hall = halls[vm % halls.len()];
        receive(&gateway, &heartbeat(vm, hall, 1, 1));
    }
    gateway
}

fn is_alive(gateway: &Gateway, vm: &str) -> bool {
    let now = gateway.clock.now();
    gateway.peers.known.lock().unwrap()[vm].is_alive(now)
}

#[test]
fn an_earlier_incarnation_is_accepted_once_the_later_is_silent() {
    let gateway = gateway();
    let peers = &gateway.peers;
    // The time of day was ahead when this incarnation began, and was set back
    // before the next one.
    receive(&gateway, &heartbeat(1, "hall-b", 900, 50));
    receive(&gateway, &heartbeat(1, "hall-b", 100, 1));
    let incarnation = || {
        let known = peers.known.lock().unwrap();
        known["vm-1"].last_heartbeat.clone().unwrap().incarnation
    };
    assert_eq!(
        incarnation(),
        Incarnation(900),
        "a delayed heartbeat of the old incarnation"
    );
    let earlier =
        BootInstant::now().checked_sub(INCARNATION_RESET_AFTER * 2).unwrap();
    let mut known = peers.known.lock().unwrap();
    known.get_mut("vm-1").unwrap().last_heartbeat.as_mut().unwrap().at =
        earlier;
    drop(known);
    receive(&gateway, &heartbeat(1, "hall-b", 900, 49));
    assert_eq!(
        incarnation(),
        Incarnation(900),
        "an old heartbeat of the same incarnation"
    );
    receive(&gateway, &heartbeat(1, "hall-b", 100, 2));
    assert_eq!(incarnation(), Incarnation(100));
}

#[test]
fn watchers_are_in_several_halls_and_can_watch() {
    let halls = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let gateway = gateway_with_peers(40, &halls);
    let peers = &gateway.peers;
    let now = gateway.clock.now();
    let before = peers.find_watchers(now);
    assert_eq!(before.len(), WATCHERS);
    let hall = |vm: &String| match vm == peers.vm() {
        true => peers.data_hall.clone(),
        false => peers.known.lock().unwrap()[vm].data_hall.clone(),
    };
    let distinct: HashSet<_> = before.iter().map(hall).collect();
    assert_eq!(distinct.len(), WATCHERS, "each in a different hall");
    // A watcher that the store does not answer is replaced.
    let first = before.iter().find(|vm| *vm != peers.vm()).unwrap();
    let number = first.strip_prefix("vm-").unwrap().parse().unwrap();
    let hall = hall(first).to_string();
    let unable =
        Heartbeat { can_watch: false, ..heartbeat(number, &hall, 1, 2) };
    receive(&gateway, &unable);
    let after = peers.find_watchers(gateway.clock.now());
    assert_eq!(after.len(), WATCHERS);
    assert!(!after.contains(first));
}

/// Where the store is silent towards all watchers, the first VM of a hall is
/// the next to learn of a change, since it polls more often than the rest.
#[test]
fn the_first_vm_of_a_hall_tells_others_what_it_learns() {
    let gateway = gateway();
    let now = gateway.clock.now() + STARTUP_TIME;
    for vm in 1..=9 {
        let hall = ["hall-b", "hall-c", "hall-d"][vm % 3];
        let mut heartbeat = heartbeat(vm, hall, 1, 1);
        heartbeat.link_mbps = Mbps(1_000);
        gateway.peers.merge_heartbeat(&heartbeat, &gateway.knowledge, now);
    }
    let peers = &gateway.peers;
    assert!(!peers.find_watchers(now).iter().any(|vm| vm == peers.vm()));
    assert!(peers.is_first_of_hall(now));
    let receivers = |age_ms| {
        let age = Duration::from_millis(age_ms);
        let bound = gateway.settings.staleness_bound;
        peers.change_receivers(Some(age), bound, now)
    };
    assert_eq!(receivers(100).len(), 9);
    // A VM that ranks before it in its hall leaves it nothing to do.
    let mut before = heartbeat(10, "hall-a", 1, 1);
    before.link_mbps = Mbps(1_000);
    peers.merge_heartbeat(&before, &gateway.knowledge, now);
    assert!(!peers.is_first_of_hall(now));
    assert!(receivers(100).is_empty());
    assert_eq!(receivers(1_100).len(), 10, "nobody tells the others");
}

/// In a fleet of hundreds, the heartbeats of another hall arrive only every
/// two minutes, so no VM can choose watchers for the whole fleet.
#[test]
fn in_a_large_fleet_each_hall_has_its_own_watchers() {
    let halls = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-e", "hall-f"];
    let gateway = gateway_with_peers(294, &halls);
    let peers = &gateway.peers;
    let watchers = peers.find_watchers(gateway.clock.now());
    assert_eq!(watchers.len(), WATCHERS_PER_HALL);
    let known = peers.known.lock().unwrap();
    let is_in_hall = |vm: &String| {
        known.get(vm).is_none_or(|peer| peer.data_hall == peers.data_hall)
    };
    assert!(watchers.iter().all(is_in_hall), "{watchers:?}");
}

#[test]
fn vms_with_the_fastest_links_rank_first() {
    let gateway = gateway_with_peers(294, &["hall-a", "hall-b", "hall-c"]);
    let now = gateway.clock.now();
    for vm in [3, 42] {
        let mut fast = heartbeat(vm, "hall-a", 1, 2);
        fast.link_mbps = Mbps(200);
        receive(&gateway, &fast);
    }
    let mut watchers = gateway.peers.find_watchers(now).to_vec();
    watchers.sort();
    assert_eq!(watchers, ["vm-3", "vm-42"]);
    assert!(!gateway.peers.is_first_watcher(now));
}

/// The watchers that rank before this VM are lost, as when a hall loses power.
#[test]
fn a_vm_is_the_first_watcher_when_those_before_it_are_lost() {
    let gateway = gateway_with_peers(3, &["hall-a"]);
    let peers = &gateway.peers;
    let now = gateway.clock.now();
    let ahead = peers.known.lock().unwrap().len();
    assert_eq!(ahead, 3);
    assert!(!peers.is_first_watcher(now), "faster links rank before it");
    let later = now + HEARTBEAT_TIMEOUT + WATCHERS_CACHE_TIME;
    assert!(peers.is_first_watcher(later));
    assert!(peers.is_outage_prober(later));
}

#[test]
fn a_starting_vm_asks_the_readers_of_its_hall() {
    let gateway = gateway();
    let peers = &gateway.peers;
    let add_record = |vm: usize, link| {
        let record = PeerRecord {
            peers: format!("127.0.0.1:{}", 1000 + vm).parse().unwrap(),
            data_hall: "hall-a".parse().unwrap(),
            link_mbps: Mbps(link),
            cores: MilliCores(0),
        };
        peers.set_record(&format!("vm-{vm}"), &record);
    };
    add_record(1, 200);
    assert!(peers.snapshot_readers().is_empty(), "the only one may be gone");
    add_record(2, 200);
    add_record(3, 20);
    let mut readers = peers.snapshot_readers();
    readers.sort();
    let expected: Vec<SocketAddr> = vec![
        "127.0.0.1:1001".parse().unwrap(),
        "127.0.0.1:1002".parse().unwrap(),
    ];
    assert_eq!(readers, expected);
}

#[test]
fn seeds_divide_the_vms_that_they_record() {
    let seeds = "127.0.0.1:9, 127.0.0.7:9, 127.0.0.8:9";
    let text = MINIMAL_SETTINGS
        .replace("[keys]", &format!("[peers]\nseeds = {seeds}\n[keys]"));
    let settings = GatewaySettings::from_ini(&text).expect("settings");
    let gateway = Gateway::new(settings, Arc::new(SystemClock));
    let peers = &gateway.peers;
    assert!(peers.is_seed());
    for vm in 1..=90 {
        receive(&gateway, &heartbeat(vm, "hall-a", 1, 1));
    }
    let now = gateway.clock.now();
    let own = peers.unrecorded(false, now).len();
    assert!((15..=45).contains(&own), "{own} of 90 are its share");
    assert_eq!(peers.unrecorded(true, now).len(), 90);
    let (vm, record) = peers.unrecorded(true, now).remove(0);
    peers.set_record(&vm, &record);
    assert_eq!(peers.unrecorded(true, now).len(), 89);
    assert!(
        peers.unrecorded(true, now + HEARTBEAT_TIMEOUT).is_empty(),
        "silent"
    );
}

#[test]
fn a_vm_that_sends_heartbeats_outlives_its_record() {
    let gateway = gateway_with_peers(1, &["hall-a"]);
    let peers = &gateway.peers;
    peers.remove_record("vm-1");
    peers.sweep(gateway.clock.now());
    assert!(is_alive(&gateway, "vm-1"));
    peers.sweep(gateway.clock.now() + FORGET_AFTER);
    assert_eq!(peers.fleet_size(), 1, "neither record nor heartbeat");
}

#[test]
fn heartbeats_reach_every_vm_in_turn() {
    let gateway =
        gateway_with_peers(100, &["hall-a", "hall-b", "hall-c", "hall-d"]);
    let now = gateway.clock.now();
    let local = 25;
    let rounds = 100_usize.div_ceil(HEARTBEATS_PER_ROUND - local);
    let mut reached = HashSet::new();
    for _ in 0..rounds {
        let receivers = gateway.peers.receivers(now);
        assert!(receivers.len() <= HEARTBEATS_PER_ROUND);
        reached.extend(receivers.into_iter().map(|r| r.address));
    }
    assert_eq!(reached.len(), 100);
}

#[test]
fn a_small_fleet_gets_all_heartbeats_each_round() {
    let gateway =
        gateway_with_peers(8, &["hall-a", "hall-b", "hall-c", "hall-d"]);
    let receivers = gateway.peers.receivers(gateway.clock.now());
    assert_eq!(receivers.len(), 8);
}

/// Returns the role that this VM has `later` from now, with a proof of the
/// given age in milliseconds, or without one.
fn role(
    gateway: &Gateway,
    age_ms: impl Into<Option<u64>>,
    later: Duration,
) -> WatchRole {
    let age = age_ms.into().map(Duration::from_millis);
    let now = gateway.clock.now() + later;
    let bound = gateway.settings.staleness_bound;
    let as_of = gateway.knowledge.as_of();
    gateway.peers.watch_role(as_of, age, bound, now)
}

#[test]
fn a_vm_is_idle_only_while_others_watch_and_the_proof_is_recent() {
    let gateway =
        gateway_with_peers(40, &["hall-a", "hall-b", "hall-c", "hall-d"]);
    let peers = &gateway.peers;
    let now = gateway.clock.now();
    let role = |age_ms: Option<u64>| role(&gateway, age_ms, Duration::ZERO);
    let watchers = peers.find_watchers(now);
    assert!(!watchers.iter().any(|vm| vm == peers.vm()), "it does not watch");
    assert_eq!(role(None), WatchRole::Idle, "it has just started");
    assert_eq!(role(Some(100)), WatchRole::Idle);
    assert_eq!(role(Some(1_500)), WatchRole::Poll, "the proof is old");
    peers.request_poll();
    assert_eq!(role(Some(100)), WatchRole::Poll, "a poll was requested");
}

/// Hundreds of VMs that start at once, for the first time or after a power
/// loss, poll the store once each until they receive each other's heartbeats,
/// instead of all watching it.
#[test]
fn vms_that_start_together_do_not_all_watch() {
    let record = |vm: usize| PeerRecord {
        peers: format!("127.0.0.1:{}", 1000 + vm).parse().unwrap(),
        data_hall: "hall-a".parse().unwrap(),
        link_mbps: Mbps(0),
        cores: MilliCores(0),
    };
    // The rank of this VM, `vm-0`, among those of its hall is fixed.
    let rank = |vm: usize| Rank::of(&format!("vm-{vm}"), Mbps(0));
    let (before, after): (Vec<usize>, Vec<usize>) =
        (1..50).partition(|vm| rank(*vm) < rank(0));
    let gateway = gateway();
    let peers = &gateway.peers;
    let now = Duration::ZERO;
    assert_eq!(role(&gateway, 0, now), WatchRole::Watch, "it is alone");
    peers.set_record(&format!("vm-{}", after[0]), &record(after[0]));
    assert_eq!(role(&gateway, 0, now), WatchRole::Watch, "it ranks first");
    peers.set_record(&format!("vm-{}", before[0]), &record(before[0]));
    assert_eq!(role(&gateway, None, now), WatchRole::Idle);
    let unproven = gateway.settings.staleness_bound.overdue_age();
    assert_eq!(role(&gateway, None, unproven), WatchRole::Poll);
    assert_eq!(role(&gateway, 0, unproven), WatchRole::Idle);
    assert!(
        !peers.is_first_of_hall(gateway.clock.now()),
        "another ranks before it"
    );
    // It never received heartbeats from those before it.
    assert_eq!(role(&gateway, 0, STARTUP_TIME), WatchRole::Watch);
    assert!(peers.is_first_of_hall(gateway.clock.now() + STARTUP_TIME));
}

/// When all VMs of a site start for the first time, none is recorded. If each
/// waits four seconds for the others to follow the store, VMs keep using an
/// upstream that leaves in the first second for up to 3.1 s.
#[test]
fn a_starting_site_follows_the_store_once_its_vms_discover_each_other() {
    let text = MINIMAL_SETTINGS
        .replace("[keys]", "[peers]\nseeds = 127.0.0.9:1\n[keys]");
    let settings = GatewaySettings::from_ini(&text).expect("settings");
    let gateway = Gateway::new(settings, Arc::new(SystemClock));
    gateway.peers.record_poll();
    for vm in 1..=2 {
        receive(&gateway, &heartbeat(vm, "hall-a", 1, 1));
    }
    let soon = Duration::from_millis(100);
    assert_eq!(role(&gateway, 0, soon), WatchRole::Idle, "more may appear");
    assert_eq!(role(&gateway, 0, DISCOVERY_TIME), WatchRole::Watch);
}

#[test]
fn a_vm_that_knows_only_seeds_waits_for_them() {
    let text = MINIMAL_SETTINGS
        .replace("[keys]", "[peers]\nseeds = 127.0.0.9:1\n[keys]");
    let settings = GatewaySettings::from_ini(&text).expect("settings");
    let gateway = Gateway::new(settings, Arc::new(SystemClock));
    gateway.peers.record_poll();
    assert_eq!(role(&gateway, 0, Duration::ZERO), WatchRole::Idle);
    assert_eq!(role(&gateway, 0, STARTUP_TIME), WatchRole::Watch);
}

/// Returns the names of the VMs that may coordinate slots.
fn slot_vms(gateway: &Gateway, now: BootInstant) -> Vec<String> {
    let mut names: Vec<String> =
        gateway.peers.slot_vms(now).into_iter().map(|vm| vm.vm).collect();
    names.sort();
    names
}

/// Guards against slots that are asked of VMs that are gone or leaving.
#[test]
fn vms_that_are_silent_or_leaving_do_not_coordinate() {
    let gateway = gateway();
    let own = "vm-0".to_owned();
    receive(&gateway, &heartbeat(1, "hall-a", 1, 1));
    receive(&gateway, &heartbeat(2, "hall-b", 1, 1));
    let now = gateway.clock.now();
    let names = |numbers: &[usize]| -> Vec<String> {
        let others = numbers.iter().map(|vm| format!("vm-{vm}"));
        std::iter::once(own.clone()).chain(others).collect()
    };
    assert_eq!(slot_vms(&gateway, now), names(&[1, 2]));
    let leaving = Heartbeat { leaving: true, ..heartbeat(1, "hall-a", 1, 2) };
    receive(&gateway, &leaving);
    assert_eq!(slot_vms(&gateway, now), names(&[2]));
    let later = now + HEARTBEAT_TIMEOUT + Duration::from_secs(1);
    assert_eq!(slot_vms(&gateway, later), names(&[]));
}

/// Guards against VMs of other halls that count as gone between two of their
/// heartbeats, which they send to each VM only once per rotation.
#[test]
fn a_vm_of_another_hall_may_coordinate_for_two_rotations() {
    let gateway = gateway();
    for vm in 1..=20 {
        receive(&gateway, &heartbeat(vm, "hall-a", 1, 1));
    }
    for vm in 21..=80 {
        receive(&gateway, &heartbeat(vm, "hall-b", 1, 1));
    }
    let now = gateway.clock.now();
    assert_eq!(slot_vms(&gateway, now).len(), 81);
    // A round reaches 12 of the 60 VMs of the other hall, so that a rotation
    // takes five rounds of 500 ms.
    let later = now + Duration::from_millis(4_900);
    let count = slot_vms(&gateway, later).len();
    assert_eq!(count, 61, "the VMs of the own hall are gone");
    let much_later = now + Duration::from_millis(5_200);
    assert_eq!(slot_vms(&gateway, much_later).len(), 1);
}

/// Guards against a VM that ranks by what it happens to have heard: a recorded
/// VM has a share of a core before its first heartbeat.
#[test]
fn a_recorded_vm_of_another_hall_may_coordinate_before_its_first_heartbeat() {
    let gateway = gateway();
    let record = |hall: &str| PeerRecord {
        peers: "127.0.0.1:1001".parse().unwrap(),
        data_hall: hall.parse().unwrap(),
        link_mbps: Mbps(0),
        cores: MilliCores(500),
    };
    gateway.peers.set_record("vm-1", &record("hall-b"));
    gateway.peers.set_record("vm-2", &record("hall-a"));
    let vms = gateway.peers.slot_vms(gateway.clock.now());
    let found = vms.iter().find(|vm| vm.vm == "vm-1").expect("vm-1");
    assert_eq!(found.cores, MilliCores(500));
    assert_eq!(vms.len(), 2, "a VM of the own hall is heard when it is live");
    gateway.peers.remove_record("vm-1");
    assert_eq!(slot_vms(&gateway, gateway.clock.now()), ["vm-0"]);
}

/// A heartbeat may overtake the push of what its sender has learned. Its proof
/// counts once the push has arrived.
#[test]
fn the_proof_of_a_heartbeat_counts_once_its_changes_have_arrived() {
    let gateway = gateway();
    let (peers, knowledge) = (&gateway.peers, &gateway.knowledge);
    let now = gateway.clock.now();
    let number = peers.next_number(now);
    let as_of =
        StorePosition { version: StoreVersion(7), ..StorePosition::default() };
    let incarnation = gateway.incarnation;
    let ahead = Heartbeat {
        as_of,
        digest: 1,
        echo: Some(HeartbeatEcho { incarnation, number, elapsed_ms: 0 }),
        proof_age_ms: Some(1),
        ..heartbeat(1, "hall-a", 1, 1)
    };
    assert!(peers.merge_heartbeat(&ahead, knowledge, now), "it knows more");
    assert_eq!(knowledge.copy_age(now), None);
    let changes = StoreItems { as_of, ..StoreItems::default() };
    knowledge.merge_peer_changes(knowledge.digest(), changes);
    peers.prove_by_heartbeats(knowledge);
    assert!(knowledge.copy_age(now).is_some());
}

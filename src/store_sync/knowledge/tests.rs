use std::{sync::mpsc, thread, time::Duration};

use serde_json::json;

use super::*;
use crate::{
    frame::FrameCodec, platform::document, rendezvous,
    store_sync::store_position::StoreEra,
};

fn configuration(version: u64) -> Vec<u8> {
    json!({
        "version": version,
        "routes": [],
        "services": [],
        "limits": {},
        "tenants": [{"name": "village", "api_keys": ["key-1"]}],
    })
    .to_string()
    .into_bytes()
}

fn item(key: &str, value: Option<Vec<u8>>, version: u64) -> StoreItem {
    StoreItem { key: key.to_owned(), value, version: StoreVersion(version) }
}

fn items(items: Vec<StoreItem>, as_of: u64) -> StoreItems {
    items_of_era(0, items, as_of)
}

fn items_of_era(era: u64, items: Vec<StoreItem>, as_of: u64) -> StoreItems {
    let as_of = position(era, as_of);
    StoreItems { items, as_of, ..StoreItems::default() }
}

fn position(era: u64, version: u64) -> StorePosition {
    let (era, version) = (StoreEra(era), StoreVersion(version));
    StorePosition { era, version }
}

fn install(knowledge: &Knowledge, applied: AppliedItems) -> usize {
    let updates = applied.updates.into_iter();
    updates
        .filter(|update| match update {
            StoreUpdate::Configuration(table) => {
                knowledge.install(table.clone())
            }
            _ => false,
        })
        .count()
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let knowledge = Knowledge::default();
    let key = document::CONFIGURATION_KEY;
    let new = items(vec![item(key, Some(configuration(9)), 20)], 20);
    assert_eq!(install(&knowledge, knowledge.apply_changes(new)), 1);
    // A delayed response, from a watch, a read or another VM.
    let old = items(vec![item(key, Some(configuration(7)), 10)], 10);
    assert_eq!(install(&knowledge, knowledge.apply_changes(old.clone())), 0);
    assert_eq!(
        install(&knowledge, knowledge.apply_snapshot(old, BootInstant::now())),
        0
    );
    // Written later, but with a lower configuration version.
    let lower = items(vec![item(key, Some(configuration(8)), 30)], 30);
    assert_eq!(install(&knowledge, knowledge.apply_changes(lower)), 0);
    assert_eq!(knowledge.table_version(), Some(TableVersion(9)));
}

#[test]
fn a_malformed_configuration_changes_nothing() {
    let knowledge = Knowledge::default();
    let key = document::CONFIGURATION_KEY;
    let good = items(vec![item(key, Some(configuration(1)), 1)], 1);
    install(&knowledge, knowledge.apply_changes(good));
    let bad = items(vec![item(key, Some(b"{".to_vec()), 2)], 2);
    let applied = knowledge.apply_changes(bad);
    assert_eq!(applied.unreadable.len(), 1);
    assert_eq!(knowledge.table_version(), Some(TableVersion(1)));
}

#[test]
fn a_snapshot_removes_the_keys_that_it_lacks() {
    let knowledge = Knowledge::default();
    let record = json!({
        "service": "portal", "address": "127.0.0.1:1", "zone": "a",
        "version": "v1", "capacity": 2, "state": "ready",
        "warmup_left_ms": 0, "sequence": 1,
    });
    let record = record.to_string().into_bytes();
    let both = vec![
        item("servers/i-1", Some(record.clone()), 1),
        item("servers/i-2", Some(record.clone()), 2),
    ];
    knowledge.apply_snapshot(items(both, 2), BootInstant::now());
    let one = vec![item("servers/i-2", Some(record), 2)];
    let applied = knowledge.apply_snapshot(items(one, 5), BootInstant::now());
    assert!(matches!(
        applied.updates.as_slice(),
        [StoreUpdate::UpstreamGone(id)] if id.as_str() == "i-1"
    ));
}

#[test]
fn a_copy_has_the_same_digest_whatever_its_source() {
    let one = Knowledge::default();
    let other = Knowledge::default();
    let key = document::CONFIGURATION_KEY;
    one.apply_changes(items(vec![item(key, Some(configuration(1)), 1)], 1));
    one.apply_changes(items(vec![item("x", Some(vec![1]), 2)], 2));
    one.apply_changes(items(vec![item(key, Some(configuration(2)), 3)], 3));
    assert_ne!(one.digest(), other.digest());
    let (as_of, packed) = one.packed();
    let all = knowledge_pack::unpack(&packed)
        .expect("it was packed here")
        .into_iter()
        .map(|mirrored| {
            item(&mirrored.key, Some(mirrored.value), mirrored.version)
        });
    let items = all.collect();
    let all = StoreItems { items, as_of, ..StoreItems::default() };
    other.apply_snapshot(all, BootInstant::now());
    assert_eq!(one.digest(), other.digest());
}

#[test]
fn duplicate_or_incomplete_changes_are_merged_by_version() {
    let knowledge = Knowledge::default();
    let push = |digest, items: StoreItems| {
        knowledge.merge_peer_changes(digest, items);
    };
    let one = items(vec![item("x", Some(vec![1]), 1)], 10);
    push(knowledge.digest(), one.clone());
    assert_eq!(knowledge.as_of(), position(0, 10));
    // From a second VM, which batched one more change.
    let both = vec![item("x", Some(vec![1]), 1), item("y", Some(vec![2]), 12)];
    push(0, items(both, 20));
    let complete = knowledge.digest();
    assert_eq!(knowledge.version_of("y"), Some(StoreVersion(12)));
    // Changes in between may be missing, so a watch must begin before.
    assert_eq!(knowledge.as_of(), position(0, 10));
    push(0, one);
    assert_eq!(knowledge.digest(), complete);
}

#[test]
fn changes_that_are_already_known_are_not_new() {
    let knowledge = Knowledge::default();
    let changes = items(
        vec![item("x", Some(vec![1]), 1), item("y", Some(vec![2]), 2)],
        2,
    );
    assert!(knowledge.has_new(&changes));
    knowledge.apply_changes(changes.clone());
    assert!(!knowledge.has_new(&changes));
    let removed = items(vec![item("x", None, 3)], 3);
    assert!(knowledge.has_new(&removed));
    knowledge.apply_changes(removed.clone());
    assert!(!knowledge.has_new(&removed));
}

#[test]
fn the_latest_proof_counts() {
    let knowledge = Knowledge::default();
    let now = BootInstant::now();
    assert_eq!(knowledge.proof_age(now), None);
    let second = Duration::from_secs(1);
    knowledge.prove(now + second);
    knowledge.prove(now);
    assert_eq!(knowledge.proof_age(now + second * 3), Some(second * 2));
}

#[test]
fn a_delayed_change_does_not_restore_a_removed_key() {
    let knowledge = Knowledge::default();
    let key = "op/evacuate/hall-a";
    let ordered = items(vec![item(key, Some(b"{}".to_vec()), 5)], 5);
    let applied = knowledge.apply_changes(ordered.clone());
    assert!(matches!(
        applied.updates[..],
        [StoreUpdate::EvacuationOrdered(_)]
    ));
    let digest_before = knowledge.digest();
    let removed = items(vec![item(key, None, 8)], 8);
    let applied = knowledge.apply_changes(removed);
    assert!(matches!(
        applied.updates[..],
        [StoreUpdate::EvacuationOrderRemoved(_)]
    ));
    assert!(
        knowledge
            .merge_peer_changes(digest_before, ordered)
            .updates
            .is_empty()
    );
    // The operator may order it again.
    let again = items(vec![item(key, Some(b"{}".to_vec()), 9)], 9);
    assert_eq!(knowledge.apply_changes(again).updates.len(), 1);
}

#[test]
fn an_evacuation_ends_when_a_snapshot_lacks_its_key() {
    let knowledge = Knowledge::default();
    let key = "op/evacuate/hall-a";
    let ordered = items(vec![item(key, Some(b"{}".to_vec()), 5)], 5);
    knowledge.apply_changes(ordered);
    let applied =
        knowledge.apply_snapshot(items(Vec::new(), 30), BootInstant::now());
    assert!(matches!(
        applied.updates[..],
        [StoreUpdate::EvacuationOrderRemoved(_)]
    ));
}

fn upstream(state: &str) -> Option<Vec<u8>> {
    let record = json!({
        "service": "portal", "address": "127.0.0.1:1", "zone": "a",
        "version": "v1", "capacity": 2, "state": state,
        "warmup_left_ms": 0, "sequence": 1,
    });
    Some(record.to_string().into_bytes())
}

/// Returns the updates as text, without their contents.
fn names(applied: &AppliedItems) -> Vec<String> {
    let updates = applied.updates.iter();
    let names = updates.map(|update| match update {
        StoreUpdate::Upstream(entry) => {
            format!("{} {:?}", entry.id, entry.state)
        }
        StoreUpdate::UpstreamGone(id) => format!("{id} gone"),
        StoreUpdate::EvacuationOrdered(hall) => format!("{hall} evacuated"),
        StoreUpdate::EvacuationOrderRemoved(hall) => format!("{hall} back"),
        StoreUpdate::RolloutOrdered(service, _) => format!("{service} order"),
        StoreUpdate::RolloutOrderRemoved(service) => {
            format!("{service} no order")
        }
        StoreUpdate::PeerUnrecorded(vm) => format!("{vm} unrecorded"),
        StoreUpdate::PeerGone(vm) => format!("{vm} gone"),
        StoreUpdate::Peer(vm, _) => vm.clone(),
        StoreUpdate::Configuration(table) => {
            format!("configuration {}", table.version().0)
        }
        other => format!("{other:?}"),
    });
    names.collect()
}

/// A copy as of version 90 of the first era: `i-1` is leaving, `i-2` has gone,
/// `i-3` is new, an evacuation of hall `b` has ended, one of hall `c` has
/// begun.
fn known() -> Knowledge {
    let knowledge = Knowledge::default();
    let key = document::CONFIGURATION_KEY;
    let peer = json!({"peers": "127.0.0.1:7", "data_hall": "a"});
    let peer = peer.to_string().into_bytes();
    let all = vec![
        item(key, Some(configuration(9)), 80),
        item("servers/i-1", upstream("draining"), 85),
        item("servers/i-3", upstream("ready"), 88),
        item("op/evacuate/c", Some(b"{}".to_vec()), 90),
        item("lupinseam/vm/a/vm-1", Some(peer), 60),
    ];
    let applied = knowledge.apply_snapshot(items(all, 90), BootInstant::now());
    install(&knowledge, applied);
    knowledge
}

/// The store as it was at version 50, in the next era.
fn older_copy() -> StoreItems {
    let key = document::CONFIGURATION_KEY;
    let all = vec![
        item(key, Some(configuration(7)), 40),
        item("servers/i-1", upstream("ready"), 41),
        item("servers/i-2", upstream("ready"), 42),
        item("op/evacuate/b", Some(b"{}".to_vec()), 43),
    ];
    items_of_era(1, all, 50)
}

#[test]
fn an_older_copy_takes_nothing_back_until_it_is_due() {
    let now = BootInstant::now();
    let knowledge = known();
    let applied = knowledge.apply_snapshot(older_copy(), now);
    assert!(applied.begins_era);
    assert_eq!(names(&applied), ["vm-1 unrecorded"]);
    assert_eq!(knowledge.as_of(), position(1, 50));
    assert_eq!(knowledge.table_version(), Some(TableVersion(9)));
    let early = knowledge.take_due(now + Duration::from_secs(2));
    assert_eq!(names(&early), Vec::<String>::new());
    let due = knowledge.take_due(now + Duration::from_secs(3));
    assert_eq!(names(&due), ["b evacuated", "c back", "i-3 gone"]);
    let due = knowledge.take_due(now + Duration::from_secs(6));
    assert_eq!(names(&due), ["i-1 Ready", "i-2 Ready"]);
    let due = knowledge.take_due(now + Duration::from_secs(11));
    assert_eq!(names(&due), ["vm-1 gone"]);
}

#[test]
fn what_is_written_again_takes_effect_at_once() {
    let now = BootInstant::now();
    let knowledge = known();
    knowledge.apply_snapshot(older_copy(), now);
    let key = document::CONFIGURATION_KEY;
    let again = vec![
        item(key, Some(configuration(9)), 51),
        item("servers/i-1", upstream("draining"), 52),
        item("servers/i-2", None, 53),
        item("op/evacuate/b", None, 54),
        // Only the VM itself knew of it.
        item("op/evacuate/c", None, 55),
        item("servers/i-3", upstream("ready"), 56),
    ];
    let applied = knowledge.apply_changes(items_of_era(1, again, 56));
    assert_eq!(
        names(&applied),
        [
            "configuration 9",
            "i-1 Leaving",
            "i-2 gone",
            "b back",
            "c back",
            "i-3 Ready",
        ]
    );
    let due = knowledge.take_due(now + Duration::from_secs(3));
    assert_eq!(names(&due), Vec::<String>::new());
}

/// Versions of the new era are lower than those of the one before.
#[test]
fn a_change_with_a_version_that_was_given_out_before_takes_effect() {
    let knowledge = known();
    knowledge.apply_snapshot(older_copy(), BootInstant::now());
    let key = document::CONFIGURATION_KEY;
    let change = vec![item(key, Some(configuration(10)), 80)];
    let change = items_of_era(1, change, 80);
    assert!(knowledge.has_new(&change));
    assert_eq!(install(&knowledge, knowledge.apply_changes(change)), 1);
    assert_eq!(knowledge.table_version(), Some(TableVersion(10)));
}

#[test]
fn changes_of_another_era_are_ignored() {
    let knowledge = known();
    let early = vec![item("servers/i-9", upstream("ready"), 95)];
    let early = items_of_era(1, early, 95);
    assert!(!knowledge.has_new(&early));
    let digest = knowledge.digest();
    assert!(knowledge.merge_peer_changes(digest, early).is_outdated);
    assert_eq!(knowledge.as_of(), position(0, 90));
    knowledge.apply_snapshot(older_copy(), BootInstant::now());
    let late = vec![item("servers/i-9", upstream("ready"), 95)];
    let late = items(late, 95);
    assert!(!knowledge.has_new(&late));
    assert!(knowledge.apply_changes(late.clone()).is_outdated);
    assert!(knowledge.apply_snapshot(late, BootInstant::now()).is_outdated);
    assert_eq!(knowledge.as_of(), position(1, 50));
}

/// Two copies of different eras must not look alike, even if all versions are.
#[test]
fn copies_of_two_eras_have_different_digests() {
    let one = Knowledge::default();
    let other = Knowledge::default();
    let now = BootInstant::now();
    let all = vec![item("x", Some(vec![1]), 5)];
    one.apply_snapshot(items(all.clone(), 5), now);
    other.apply_snapshot(items_of_era(1, all, 5), now);
    assert_ne!(one.digest(), other.digest());
}

/// What a VM goes by must outlast a second return of the store.
#[test]
fn beliefs_outlast_two_eras() {
    let now = BootInstant::now();
    let knowledge = known();
    knowledge.apply_snapshot(older_copy(), now);
    let again = StoreItems { as_of: position(2, 50), ..older_copy() };
    let later = now + Duration::from_secs(1);
    let applied = knowledge.apply_snapshot(again, later);
    assert_eq!(names(&applied), ["vm-1 unrecorded"]);
    let early = knowledge.take_due(now + Duration::from_secs(3));
    assert_eq!(names(&early), Vec::<String>::new());
    let due = knowledge.take_due(later + Duration::from_secs(6));
    assert_eq!(names(&due).len(), 5);
}

/// A VM that starts must not begin with the older configuration.
#[test]
fn a_snapshot_for_other_vms_holds_the_newest_configuration() {
    let now = BootInstant::now();
    let knowledge = known();
    knowledge.apply_snapshot(older_copy(), now);
    let (as_of, packed) = knowledge.packed();
    let all = knowledge_pack::unpack(&packed).expect("it was packed here");
    let newest = all
        .iter()
        .find(|item| item.key == document::CONFIGURATION_KEY)
        .expect("the configuration");
    // Whose copy of the store is the same, but for the configuration.
    let other = Knowledge::default();
    install(&other, other.apply_snapshot(older_copy(), now));
    assert_eq!(other.digest(), knowledge.digest());
    assert_eq!(other.as_of(), as_of);
    let applied = other.apply_configuration(newest.value.clone());
    assert_eq!(install(&other, applied), 1);
    assert_eq!(other.table_version(), Some(TableVersion(9)));
    // A VM that has the older one changes nothing.
    let applied = knowledge.apply_configuration(configuration(7));
    assert_eq!(install(&knowledge, applied), 0);
}

/// While the VMs of a hall fetch a new era from each other, each packs its
/// copy for some and takes the configurations of others.
#[test]
fn a_copy_can_be_packed_while_a_configuration_is_applied() {
    const ROUNDS: u64 = 20_000;
    let knowledge = Arc::new(Knowledge::default());
    let (done, all_done) = mpsc::channel();
    let packing = (knowledge.clone(), done.clone());
    thread::spawn(move || {
        let (knowledge, done) = packing;
        for _ in 0..ROUNDS {
            knowledge.packed();
        }
        done.send(())
    });
    thread::spawn(move || {
        for _ in 0..ROUNDS {
            knowledge.apply_configuration(configuration(7));
        }
        done.send(())
    });
    for _ in 0..2 {
        let ended = all_done.recv_timeout(Duration::from_secs(60));
        ended.expect("the threads wait for each other");
    }
}

/// Sends changes to another VM in a frame, as a push does.
fn push(to: &Knowledge, digest_before: u64, changes: &StoreItems) {
    let codec = FrameCodec::new(&"1".repeat(64).parse().unwrap());
    let items = changes.items.iter().map(|item| ChangedItem {
        key: item.key.clone(),
        value: item.value.clone(),
        version: item.version.0,
    });
    let sent: Vec<ChangedItem> = items.collect();
    let received: Vec<ChangedItem> = codec.open(&codec.seal(&sent)).unwrap();
    let items = received
        .into_iter()
        .map(|changed| item(&changed.key, changed.value, changed.version));
    let items = items.collect();
    let as_of = changes.as_of;
    let changes = StoreItems { items, as_of, ..StoreItems::default() };
    to.merge_peer_changes(digest_before, changes);
}

/// Returns the copy of a VM that starts from the snapshot of another one.
fn started_from(other: &Knowledge) -> Option<Knowledge> {
    let (as_of, packed) = other.packed();
    let items = knowledge_pack::unpack(&packed)?.into_iter();
    let items = items.map(|mirrored| {
        item(&mirrored.key, Some(mirrored.value), mirrored.version)
    });
    let items = items.collect();
    let started = Knowledge::default();
    let all = StoreItems { items, as_of, ..StoreItems::default() };
    started.apply_snapshot(all, BootInstant::now());
    Some(started)
}

/// Guards against VMs that ask each other for snapshots for ever, since one
/// has left out what another one holds.
#[test]
fn vms_agree_on_values_that_they_cannot_decode() {
    let start = items(vec![item("servers/i-1", upstream("ready"), 1)], 1);
    for odd in [
        Some(Vec::new()),
        Some(b"[".repeat(100_000)),
        Some(br#"{"capacity":70000}"#.to_vec()),
        Some(b"\xff".to_vec()),
        None,
    ] {
        let changes = items(
            vec![
                item("servers/i-1", odd, 5),
                item("servers/i-2", upstream("ready"), 6),
            ],
            6,
        );
        let [watching, pushed, reading] =
            std::array::from_fn(|_| Knowledge::default());
        for knowledge in [&watching, &pushed] {
            knowledge.apply_snapshot(start.clone(), BootInstant::now());
        }
        push(&pushed, watching.digest(), &changes);
        watching.apply_changes(changes.clone());
        let present =
            changes.items.into_iter().filter(|item| item.value.is_some());
        let all = items(present.collect(), 6);
        reading.apply_snapshot(all, BootInstant::now());
        let started = started_from(&watching).expect("a snapshot");
        for other in [&pushed, &reading, &started] {
            assert_eq!(other.digest(), watching.digest());
            assert_eq!(other.as_of(), position(0, 6));
            assert!(other.version_of("servers/i-2").is_some());
        }
    }
}

/// Guards against a snapshot that other VMs cannot unpack, for one value that
/// no VM uses.
#[test]
fn a_large_value_of_another_writer_is_not_in_snapshots() {
    let random = (0..9_u64 << 20).map(|n| rendezvous::mix(n, 7) as u8);
    let knowledge = Knowledge::default();
    let all = vec![
        item("notes/of-others", Some(random.collect()), 1),
        item("servers/i-1", upstream("ready"), 2),
    ];
    knowledge.apply_snapshot(items(all, 2), BootInstant::now());
    let started = started_from(&knowledge).expect("it can be unpacked");
    assert_eq!(started.digest(), knowledge.digest());
}

#[test]
fn an_upstream_that_an_older_copy_states_unreadably_is_gone_when_due() {
    let now = BootInstant::now();
    let knowledge = known();
    let mut copy = older_copy();
    copy.items.push(item("servers/i-3", Some(b"[".to_vec()), 44));
    let applied = knowledge.apply_snapshot(copy, now);
    assert_eq!(applied.unreadable.len(), 1);
    let due = knowledge.take_due(now + Duration::from_secs(6));
    let is_unreadable = |update: &StoreUpdate| {
        matches!(update, StoreUpdate::UpstreamUnreadable(id)
            if id.as_str() == "i-3")
    };
    assert!(due.updates.iter().any(is_unreadable), "{due:?}");
}

/// Guards against a log line at each write of a writer that goes on.
#[test]
fn a_key_that_stays_unreadable_is_reported_once() {
    let knowledge = Knowledge::default();
    let put = |value: Option<Vec<u8>>, version| {
        let item = item("servers/i-1", value, version);
        let applied = knowledge.apply_changes(items(vec![item], version));
        (applied.unreadable.len(), applied.still_unreadable)
    };
    let odd = || Some(format!("{{\"{}\":", "x".repeat(9_000)).into_bytes());
    assert_eq!(put(odd(), 1), (1, 0));
    assert_eq!(put(odd(), 2), (0, 1));
    assert_eq!(put(upstream("ready"), 3), (0, 0));
    assert_eq!(put(odd(), 4), (1, 0));
}

/// Guards against log lines of the size of a value.
#[test]
fn the_description_of_an_unreadable_value_is_short() {
    let knowledge = Knowledge::default();
    let mut entry: serde_json::Value =
        serde_json::from_slice(&upstream("ready").unwrap()).unwrap();
    entry["state"] = "x".repeat(1 << 20).into();
    let value = Some(entry.to_string().into_bytes());
    let item = item("servers/i-1", value, 1);
    let applied = knowledge.apply_changes(items(vec![item], 1));
    let [unreadable] = applied.unreadable.as_slice() else {
        panic!("{applied:?}");
    };
    assert_eq!(unreadable.key, "servers/i-1");
    assert!(unreadable.reason.len() <= 200);
}

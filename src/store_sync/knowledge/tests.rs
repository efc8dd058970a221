use serde_json::json;

use super::*;

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
    StoreItems { items, as_of: StoreVersion(as_of) }
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
    assert_eq!(install(&knowledge, knowledge.apply_snapshot(old)), 0);
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
    knowledge.apply_snapshot(items(both, 2));
    let one = vec![item("servers/i-2", Some(record), 2)];
    let applied = knowledge.apply_snapshot(items(one, 5));
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
    other.apply_snapshot(StoreItems { items: all.collect(), as_of });
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
    assert_eq!(knowledge.as_of(), StoreVersion(10));
    // From a second VM, which batched one more change.
    let both = vec![item("x", Some(vec![1]), 1), item("y", Some(vec![2]), 12)];
    push(0, items(both, 20));
    let complete = knowledge.digest();
    assert_eq!(knowledge.version_of("y"), Some(StoreVersion(12)));
    // Changes in between may be missing, so a watch must begin before.
    assert_eq!(knowledge.as_of(), StoreVersion(10));
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
    let applied = knowledge.apply_snapshot(items(Vec::new(), 30));
    assert!(matches!(
        applied.updates[..],
        [StoreUpdate::EvacuationOrderRemoved(_)]
    ));
}

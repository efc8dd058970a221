use std::{sync::Arc, time::Duration};

use proptest::prelude::*;

use super::*;
use crate::{
    api::view::FleetView, clock::BootInstant, placing::upstream::Upstream,
    settings::PeerSettings,
};

/// Levels of nesting that overflow the stack of a recursive parser.
const DEEP: usize = 100_000;

fn view() -> FleetView {
    let settings = PeerSettings {
        gossip: Duration::from_millis(500),
        suspect_after: Duration::from_secs(2),
        dead_after: Duration::from_secs(5),
    };
    let hall = "h-1".parse().unwrap();
    FleetView::new("vm-1".parse().unwrap(), hall, &settings)
}

/// Returns the entry of a replica with these texts as `slots`, port and
/// `state`.
fn entry(id: &str, slots: &str, port: &str, state: &str) -> String {
    format!(
        r#"{{"role":{{"model":{{"upstream":"{id}","model":"small","slots":{slots},"checks_fence":false}}}},"data_hall":"h-1","address":"127.0.0.1:{port}","state":"{state}"}}"#
    )
}

/// Returns the entry of a replica that serves at a port of its own.
fn good(id: &str) -> String {
    entry(id, "4", &good_port(id).to_string(), "live")
}

fn good_port(id: &str) -> u16 {
    8000 + id.bytes().map(u16::from).sum::<u16>()
}

fn entry_vm(id: &str, port: &str) -> String {
    format!(
        r#"{{"role":{{"entry":{{"vm":"{id}"}}}},"data_hall":"h-1","address":"127.0.0.1:{port}","state":"live"}}"#
    )
}

fn nested(depth: usize) -> String {
    ["[".repeat(depth), "]".repeat(depth)].concat()
}

fn nested_objects(depth: usize) -> String {
    [&r#"{"role":"#.repeat(depth), "1", &"}".repeat(depth)].concat()
}

/// Returns entries that name no replica, each odd in another way.
fn odd_entries() -> Vec<String> {
    let mut odd: Vec<String> = [
        nested(DEEP),
        nested_objects(DEEP),
        format!(r#"{{"role":{}}}"#, nested(DEEP)),
        entry("x", "70000", "8001", "live"),
        entry("x", "-1", "8001", "live"),
        entry("x", "1e999", "8001", "live"),
        entry("x", &"9".repeat(100_000), "8001", "live"),
        entry("x", &nested(DEEP), "8001", "live"),
        entry("x", "4", "70000", "live"),
        entry("x", "4", "-1", "live"),
        entry("x", "4", "0", "live"),
        entry("x", "4", "8001", "asleep"),
        entry("", "4", "8001", "live"),
        entry(&"x".repeat(1 << 20), "4", "8001", "live"),
        entry("a b\\u0000", "4", "8001", "live"),
        entry("\\ud800", "4", "8001", "live"),
        entry("x", "4", "8001", "live").replace("127.0.0.1", "0.0.0.0"),
        entry("x", "4", "8001", "live").replace("model\"", "modell\""),
        entry("x", "4", "8001", "live").replace("data_hall", "\\ud800"),
        entry_vm("vm-9", "70000"),
        entry_vm("", "8001"),
    ]
    .into();
    odd.extend(
        ["null", "0", "-1e999", "true", "\"\"", "[]", "{}", "[[],{}]"]
            .map(str::to_owned),
    );
    odd
}

fn list(entries: &[String]) -> Vec<u8> {
    format!("[{}]", entries.join(",")).into_bytes()
}

/// Applies a list of these entries.
fn apply(view: &FleetView, entries: &[String]) -> VmList {
    let list = VmList::parse(&list(entries)).unwrap();
    view.apply_list(&list, BootInstant::now());
    list
}

/// Returns the names of the replicas of the model, sorted.
fn replicas(view: &FleetView) -> Vec<String> {
    let model = "small".parse().unwrap();
    let name =
        |upstream: &Arc<Upstream>| upstream.record.id.as_str().to_owned();
    let mut names: Vec<String> =
        view.model_upstreams(&model).iter().map(name).collect();
    names.sort();
    names
}

fn port_of(view: &FleetView, id: &str) -> u16 {
    let upstreams = view.all_upstreams();
    let found = upstreams.iter().find(|u| u.record.id.as_str() == id);
    found.unwrap().record.address.port()
}

#[test]
fn entries_beside_an_odd_one_are_followed() {
    for odd in odd_entries() {
        let shown: String = odd.chars().take(120).collect();
        for position in 0..=2 {
            let view = view();
            let mut entries = vec![good("a"), good("b")];
            entries.insert(position, odd.clone());
            let parsed = VmList::parse(&list(&entries));
            let parsed = parsed.unwrap_or_else(|error| {
                panic!("{shown} at {position}: {error}")
            });
            view.apply_list(&parsed, BootInstant::now());
            assert_eq!(replicas(&view), ["a", "b"], "{shown}");
            assert!(view.peers().is_empty(), "{shown}");
            assert_eq!(parsed.unreadable_count(), 1, "{shown}");
        }
    }
}

#[test]
fn a_whole_list_of_odd_entries_is_read() {
    let entries = odd_entries();
    let view = view();
    let list = apply(&view, &entries);
    assert_eq!(list.unreadable_count(), entries.len());
    assert_eq!(replicas(&view), [""; 0]);
}

#[test]
fn bytes_that_are_no_text_make_one_entry_odd() {
    let mut body = list(&[good("a"), good("xxx"), good("b")]);
    let at = body.windows(3).position(|bytes| bytes == b"xxx").unwrap();
    body[at] = 0xff;
    let view = view();
    let list = VmList::parse(&body).unwrap();
    view.apply_list(&list, BootInstant::now());
    assert_eq!(replicas(&view), ["a", "b"]);
    assert_eq!(list.unreadable_count(), 1);
}

#[test]
fn a_list_that_is_not_whole_is_an_error() {
    let whole = list(&[good("a"), nested(DEEP), good("b")]);
    for length in [0, 1, 50, 1_000, whole.len() - 1] {
        let error = VmList::parse(&whole[..length]).unwrap_err();
        assert!(error.len() < 1000, "{error}");
    }
    let deep = nested(DEEP);
    for other in ["{}", "null", "[] x", "[1 2]", &format!("{deep}]")] {
        assert!(VmList::parse(other.as_bytes()).is_err(), "{other}");
    }
    let text = format!("\"{}\"", "x".repeat(1 << 20));
    let error = VmList::parse(text.as_bytes()).unwrap_err();
    assert!(error.len() < 1000, "{} bytes", error.len());
}

#[test]
fn a_known_replica_outlasts_an_entry_that_cannot_be_read() {
    let odd = [
        entry("a", "70000", "8002", "live"),
        entry("a", "1e999", "8002", "live"),
        entry("a", "4", "70000", "live"),
        entry("a", "4", "8002", "asleep"),
        entry("a", &nested(DEEP), "8002", "live"),
        entry("a", "4", "8002", "live").replace("model\"", "modell\""),
        r#"{"role":{"model":{"upstream":"a"}}}"#.to_owned(),
    ];
    for odd in odd {
        let shown: String = odd.chars().take(120).collect();
        let view = view();
        apply(&view, &[good("a"), good("b")]);
        let before = view.all_upstreams();
        for _ in 0..2 {
            apply(&view, &[odd.clone(), good("b"), good("c")]);
            assert_eq!(replicas(&view), ["a", "b", "c"], "{shown}");
            assert_eq!(port_of(&view, "a"), good_port("a"), "{shown}");
        }
        let after = view.all_upstreams();
        let is_kept =
            |upstream| after.iter().any(|u| Arc::ptr_eq(u, upstream));
        assert!(before.iter().all(is_kept), "{shown}");
        apply(&view, &[good("b")]);
        assert_eq!(replicas(&view), ["b"], "{shown}");
    }
}

#[test]
fn a_known_replica_is_gone_once_another_has_its_address() {
    let view = view();
    apply(&view, &[good("a"), good("b")]);
    let port = good_port("a").to_string();
    let successor = entry("c", "4", &port, "live");
    apply(&view, &[entry("a", "70000", &port, "live"), successor, good("b")]);
    assert_eq!(replicas(&view), ["b", "c"]);
}

#[test]
fn a_replica_leaves_by_an_entry_that_cannot_be_read() {
    let view = view();
    apply(&view, &[good("a")]);
    let odd = entry("a", "70000", "8001", "leaving");
    let list = VmList::parse(&list(&[odd])).unwrap();
    assert_eq!(view.apply_list(&list, BootInstant::now()).len(), 1);
    assert_eq!(view.apply_list(&list, BootInstant::now()).len(), 0);
    assert!(view.all_upstreams()[0].is_leaving());
}

#[test]
fn a_known_vm_outlasts_an_entry_that_cannot_be_read() {
    let view = view();
    apply(&view, &[entry_vm("vm-1", "7001"), entry_vm("vm-2", "7002")]);
    let before = view.peers();
    for _ in 0..2 {
        apply(&view, &[entry_vm("vm-2", "70000"), entry_vm("vm-1", "70000")]);
        assert_eq!(view.peers(), before);
    }
    apply(&view, &[entry_vm("vm-1", "7001")]);
    assert!(view.peers().is_empty());
}

#[test]
fn an_entry_that_appears_twice_names_one_replica() {
    let other = entry("a", "4", "8002", "live");
    let leaving = entry("a", "4", "8003", "leaving");
    let known = good("a");
    // The first one, where none is known.
    let first = view();
    let list = apply(&first, &[known.clone(), other.clone()]);
    assert_eq!(replicas(&first), ["a"]);
    assert_eq!(port_of(&first, "a"), good_port("a"));
    assert_eq!(list.unreadable_count(), 1);
    // The known one, wherever it is, with its state.
    let before = first.all_upstreams();
    for entries in [[&known, &other], [&other, &known], [&leaving, &known]] {
        apply(&first, &entries.map(Clone::clone));
        assert_eq!(replicas(&first), ["a"]);
        let after = first.all_upstreams();
        assert!(Arc::ptr_eq(&before[0], &after[0]));
        assert!(!after[0].is_leaving());
    }
    // The one in service, where the known one leaves.
    let known_leaving = known.replace("live", "leaving");
    apply(&first, &[known_leaving, other.clone()]);
    assert_eq!(replicas(&first), ["a"]);
    assert_eq!(port_of(&first, "a"), 8002);
    // A repetition is no contradiction.
    let list = apply(&first, &[other.clone(), other]);
    assert_eq!(replicas(&first), ["a"]);
    assert_eq!(list.unreadable_count(), 0);
    // One that cannot be read does not hide another that can.
    let odd = entry("a", "70000", "8001", "leaving");
    apply(&first, &[odd, entry("a", "4", "8004", "live")]);
    assert_eq!(port_of(&first, "a"), 8004);
    assert!(!first.all_upstreams()[0].is_leaving());
    // The same for VMs.
    let vms = [entry_vm("vm-2", "7001"), entry_vm("vm-2", "7002")];
    let list = apply(&first, &vms);
    assert_eq!(first.peers().len(), 1);
    assert_eq!(list.unreadable_count(), 1);
}

#[test]
fn an_odd_entry_is_reported_once_and_briefly() {
    let mut reported = ReportedEntries::default();
    let read = |entries: &[String]| VmList::parse(&list(entries)).unwrap();
    let odd = entry("a", "70000", "8001", "live");
    let list = read(&[odd.clone(), good("b")]);
    let new = reported.newly_unreadable(&list);
    assert_eq!(new.entries.len(), 1);
    assert_eq!(new.count, 1);
    assert_eq!(new.entries[0].entry, "upstream a");
    assert_eq!(reported.newly_unreadable(&list).count, 0);
    // Another place in the list is no news.
    let list = read(&[good("b"), good("c"), odd.clone()]);
    assert_eq!(reported.newly_unreadable(&list).count, 0);
    assert_eq!(reported.newly_unreadable(&read(&[good("b")])).count, 0);
    assert_eq!(reported.newly_unreadable(&read(&[odd])).count, 1);

    let list = read(&odd_entries());
    let new = reported.newly_unreadable(&list);
    for one in &new.entries {
        assert!(one.entry.len() < 500, "{}", one.entry);
        assert!(one.reason.len() < 500, "{}", one.reason);
    }
    let text = format!("\"{}\"", "é".repeat(1 << 20));
    let many = vec![text; 3].join(",");
    let flood = format!("[{many}{}]", ",0".repeat(100_000));
    let list = VmList::parse(flood.as_bytes()).unwrap();
    let new = reported.newly_unreadable(&list);
    assert_eq!(new.entries.len(), 2);
    assert_eq!(list.unreadable_count(), 100_003);
    assert_eq!(reported.newly_unreadable(&list).count, 0);
}

/// Returns texts of JSON values of all kinds, often with the names of the
/// list's fields.
fn any_json() -> impl Strategy<Value = String> {
    let number = prop_oneof![
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>()
            .prop_filter("finite", |number| number.is_finite())
            .prop_map(|number| format!("{number:e}")),
        Just("1e999".to_owned()),
        Just("-1e-999".to_owned()),
        (1_usize..2000).prop_map(|digits| "9".repeat(digits)),
    ];
    let word = || {
        prop_oneof![
            prop::sample::select(vec![
                "role",
                "model",
                "entry",
                "service",
                "upstream",
                "vm",
                "slots",
                "checks_fence",
                "data_hall",
                "address",
                "state",
                "live",
                "leaving",
                "a",
                "b",
                "c",
                "vm-1",
                "vm-2",
                "small",
                "127.0.0.1:8001",
                "127.0.0.1:0",
                "[::1]:65536",
                "",
                "h-1",
                "\u{0}",
                "\u{202e}",
            ])
            .prop_map(|text| serde_json::to_string(text).unwrap()),
            any::<String>()
                .prop_map(|text| serde_json::to_string(&text).unwrap()),
            Just(r#""\ud800""#.to_owned()),
        ]
    };
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<bool>().prop_map(|value| value.to_string()),
        number,
        word(),
        (1_usize..3000).prop_map(nested),
        (1_usize..3000).prop_map(nested_objects),
    ];
    leaf.prop_recursive(5, 40, 6, move |inner| {
        let field = (word(), inner.clone())
            .prop_map(|(key, value)| format!("{key}:{value}"));
        prop_oneof![
            prop::collection::vec(inner, 0..6)
                .prop_map(|items| format!("[{}]", items.join(","))),
            prop::collection::vec(field, 0..6)
                .prop_map(|fields| format!("{{{}}}", fields.join(","))),
        ]
    })
}

/// Returns an entry of `c` of which any part may be any value.
fn any_entry() -> impl Strategy<Value = String> {
    let part = |usual: &'static str| prop_oneof![3 => Just(usual.to_owned()), 1 => any_json()];
    let parts = (
        part("\"c\""),
        part("4"),
        part("\"h-1\""),
        part("\"127.0.0.1:8001\""),
        part("\"live\""),
        any_json(),
    );
    parts.prop_map(|(id, slots, hall, address, state, more)| {
        format!(
            r#"{{"role":{{"model":{{"upstream":{id},"model":"small","slots":{slots},"checks_fence":true}}}},"data_hall":{hall},"address":{address},"state":{state},"more":{more}}}"#
        )
    })
}

proptest! {
    #[test]
    fn any_entries_leave_the_others_in_the_list(
        odd in prop::collection::vec(
            (prop_oneof![any_json(), any_entry()], 0_usize..4),
            1..6,
        ),
    ) {
        let view = view();
        let known = [good("good-1"), good("good-2"), good("good-3")];
        apply(&view, &known);
        let mut entries = known.to_vec();
        for (odd, position) in odd {
            entries.insert(position, odd);
        }
        let parsed = VmList::parse(&list(&entries)).unwrap();
        for _ in 0..2 {
            view.apply_list(&parsed, BootInstant::now());
            let names = replicas(&view);
            for id in ["good-1", "good-2", "good-3"] {
                let found = names.iter().filter(|name| *name == id);
                prop_assert_eq!(found.count(), 1);
                prop_assert_eq!(port_of(&view, id), good_port(id));
            }
        }
        let mut reported = ReportedEntries::default();
        let new = reported.newly_unreadable(&parsed);
        prop_assert_eq!(new.count, parsed.unreadable_count());
        prop_assert_eq!(reported.newly_unreadable(&parsed).count, 0);
    }
}

use super::*;
use crate::{
    api::{platform_list::VmList, view::FleetView},
    clock::BootInstant,
    frame::MAX_DATAGRAM_BYTES,
    settings::PeerSettings,
};

/// The share of a datagram that the load of one upstream may take.
const MAX_SHARE: usize = 4;

/// Returns a view with one upstream.
fn view() -> FleetView {
    let settings = PeerSettings {
        gossip: Duration::from_millis(500),
        suspect_after: Duration::from_secs(2),
        dead_after: Duration::from_secs(5),
    };
    let hall = "h-1".parse().unwrap();
    let view = FleetView::new("vm-1".parse().unwrap(), hall, &settings);
    let list = br#"[{"role":{"service":{"upstream":"a","service":"s",
        "slots":4}},"data_hall":"h-1","address":"127.0.0.1:8001",
        "state":"live"}]"#;
    view.apply_list(&VmList::parse(list).unwrap(), BootInstant::now());
    view
}

#[test]
fn a_report_of_many_versions_leaves_room_for_other_loads() {
    let names: Vec<String> =
        (0..5_000).map(|number| format!("\"m@{number}\"")).collect();
    let versions = names.join(",");
    let text =
        format!(r#"{{"running":1,"waiting":0,"versions":[{versions}]}}"#);
    assert!((text.len() as u64) < REPORT_LIMIT_BYTES);
    let report: LoadReport = serde_json::from_str(&text).unwrap();
    let view = view();
    let upstream = view.all_upstreams().remove(0);
    let versions: Vec<ShortHash> =
        report.versions.iter().map(|name| ShortHash::of(name)).collect();
    let now = BootInstant::now();
    upstream.set_load(1, 0, versions.clone(), now);
    let loads = view.loads(1, 1, now);
    assert_eq!(loads.len(), 1);
    let bytes = postcard::to_stdvec(&loads).unwrap().len();
    assert!(bytes < MAX_DATAGRAM_BYTES / MAX_SHARE, "{bytes} bytes");
    assert_eq!(upstream.load().unwrap().versions, versions);
}

#[test]
fn reports_that_state_no_load_are_not_read() {
    let deep = ["[".repeat(30_000), "]".repeat(30_000)].concat();
    let reads = |running: &str, more: &str| {
        let text =
            format!(r#"{{"running":{running},"waiting":0,"x":{more}}}"#);
        serde_json::from_str::<LoadReport>(&text).is_ok()
    };
    assert!(reads("4294967295", "1"));
    assert!(reads("0", &deep));
    for running in ["4294967296", "-1", "0.5", "1e999", "null", &deep] {
        assert!(!reads(running, "1"));
    }
}

//! How long keys are accepted without a new proof of freshness, and how the
//! link rate is read.

use super::*;
use crate::{
    clock::SystemClock,
    store_sync::route::{InputLimits, RouteTable, TableVersion},
    unit::Mbps,
};

/// A settings file with the required keys alone.
pub(crate) const MINIMAL_SETTINGS: &str = "[vm]\nid = vm-0\ndata_hall = hall-a\n[listen]\n\
    callers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n\
    peers = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n[cluster]\n\
    key = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n\
    [platform]\nstore = 127.0.0.1:5\n[keys]\nrevoke_ms = 5000\n\
    [retries]\nshare = 1\nextra = 1\nwindow_s = 10\n[stop]\ngrace_s = 8\n";

fn table() -> RouteTable {
    let version = TableVersion(1);
    let limits = InputLimits::default();
    RouteTable::new(version, Vec::new(), Vec::new(), None, limits)
}

/// If the store stops responding, keys are accepted for almost as long as the
/// operators allow, and never for longer.
#[test]
fn keys_are_accepted_until_shortly_before_the_revocation_limit() {
    let settings =
        GatewaySettings::from_ini(MINIMAL_SETTINGS).expect("settings");
    let gateway = Gateway::new(settings, Arc::new(SystemClock));
    gateway.knowledge.install(table());
    let proven_at = gateway.clock.now();
    assert!(!gateway.may_accept_keys(proven_at), "accepted without a proof");
    gateway.knowledge.prove(proven_at);
    let after = |ms| proven_at + Duration::from_millis(ms);
    assert!(gateway.may_accept_keys(after(4_500)));
    assert!(!gateway.may_accept_keys(after(4_900)));
    assert!(!gateway.may_accept_keys(after(60_000)));
}

#[test]
fn the_link_rate_is_read_and_defaults_to_unknown() {
    let link = |text: &str| {
        let settings = MINIMAL_SETTINGS.replace("data_hall", text);
        GatewaySettings::from_ini(&settings).map(|settings| settings.link_rate)
    };
    assert_eq!(link("data_hall"), Ok(Mbps(0)));
    assert_eq!(link("link_mbps = 20.0\ndata_hall"), Ok(Mbps(20)));
    assert!(link("link_mbps = fast\ndata_hall").is_err());
    assert!(link("link_mbps = -1\ndata_hall").is_err());
}

//! Runs gateway VMs whose store comes back from an older copy: what was
//! written since is gone, versions are given out again, and the era of the
//! store rises.

use std::{
    path::PathBuf,
    sync::{Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use standins::{
    gateway_site::{
        MODELS, PLAIN, Site, configuration_with, request, route,
        stream_request, wait_until,
    },
    platform_store::{StoreCopy, StoreMode},
    scripted::{Streamed, Upstream, always_responds, streams},
};

/// Revocation limit of the sites; no test reaches it.
const REVOKE_MS: u64 = 20_000;

/// The VMs of a site. The first two are seeds.
const VMS: usize = 3;

/// Time for which the store is away before it comes back.
const OUTAGE: Duration = Duration::from_millis(300);

/// Time in which nothing that the older copy lacks may be taken back.
const WATCHED_TIME: Duration = Duration::from_millis(1500);

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: sites side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// Starts a site of which all VMs know these upstreams.
fn start(upstreams: &[(&Upstream, &str)]) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let mut site = Site::new(program, &["vm"], REVOKE_MS);
    for (upstream, service) in upstreams {
        site.register(upstream, service, "v1");
    }
    for _ in 0..VMS {
        site.start_vm();
    }
    wait_until("all VMs are recorded", || recorded_vms(&site) == VMS);
    for (upstream, _) in upstreams {
        wait_for_upstream(&site, upstream, false);
    }
    site
}

fn recorded_vms(site: &Site) -> usize {
    let keys = site.store.keys();
    keys.iter().filter(|key| key.starts_with("lupinseam/vm/")).count()
}

/// Waits until all VMs know an upstream as leaving, or as ready.
fn wait_for_upstream(site: &Site, upstream: &Upstream, is_leaving: bool) {
    for vm in &site.vms {
        wait_until("the VM knows the upstream", || {
            vm.lines("E043").iter().any(|line| {
                line["upstream"] == upstream.id
                    && line["leaving"] == is_leaving
            })
        });
    }
}

/// Sets a configuration with these keys, and with a route of this name.
fn configure(site: &Site, version: u64, keys: &[&str], name: &str) {
    let added = route(name, "idempotent", PLAIN, 2, 1000);
    let configuration = configuration_with(version, keys, vec![added]);
    site.store.put("op/config", &configuration);
}

/// Waits until a configuration is in force on all VMs.
fn wait_for_configuration(site: &Site, version: u64) {
    for vm in &site.vms {
        wait_until("the configuration is in force", || {
            vm.lines("E010").iter().any(|line| line["table"] == version)
        });
    }
}

/// Has the store come back from a copy after a short outage.
fn come_back(site: &Site, copy: &StoreCopy) {
    site.store.set_mode(StoreMode::Busy);
    thread::sleep(OUTAGE);
    site.store.restore(copy);
    site.store.set_mode(StoreMode::Normal);
}

/// A change whose version had been given out before was dropped.
#[test]
fn changes_take_effect_after_the_store_came_back_from_an_older_copy() {
    let _guard = lock_site();
    let kept = Upstream::start("i-1", always_responds(200, "one"));
    let leaving = Upstream::start("i-2", always_responds(200, "two"));
    let site = start(&[(&kept, PLAIN), (&leaving, PLAIN)]);
    let copy = site.store.copy();
    for version in 2..30 {
        configure(&site, version, &["key-1"], "early");
    }
    wait_for_configuration(&site, 29);
    come_back(&site, &copy);
    configure(&site, 30, &["key-1"], "late");
    site.register_as(&leaving, PLAIN, "v1", "draining");
    wait_for_configuration(&site, 30);
    wait_for_upstream(&site, &leaving, true);
    for (number, vm) in site.vms.iter().enumerate() {
        let id = format!("late-{number}");
        let got = vm.ask(&request("GET", "/late/x", &id, ""));
        assert_eq!(got.status, 200, "{got:?}");
    }
}

/// Until the operator and the upstreams have written again, the older copy
/// says nothing of what a VM knows better.
#[test]
fn an_older_copy_of_the_store_takes_nothing_back() {
    let _guard = lock_site();
    let kept = Upstream::start("i-1", always_responds(200, "one"));
    let leaving = Upstream::start("i-2", always_responds(200, "two"));
    let gone = Upstream::start("i-3", always_responds(200, "three"));
    let site = start(&[(&kept, PLAIN), (&leaving, PLAIN), (&gone, PLAIN)]);
    site.evacuate("hall-b");
    let copy = site.store.copy();
    configure(&site, 2, &["key-1"], "added");
    site.register_as(&leaving, PLAIN, "v1", "draining");
    site.store.remove(&format!("servers/{}", gone.id));
    site.end_evacuation("hall-b");
    let late = Upstream::start("i-4", always_responds(200, "four"));
    site.register_in_hall(&late, PLAIN, "hall-b", Duration::ZERO);
    wait_for_configuration(&site, 2);
    wait_for_upstream(&site, &leaving, true);
    wait_for_upstream(&site, &late, false);
    // The removal comes after the record.
    thread::sleep(Duration::from_millis(500));
    let before = [leaving.received().len(), gone.received().len()];
    come_back(&site, &copy);
    let until = Instant::now() + WATCHED_TIME;
    let mut number = 0;
    while Instant::now() < until {
        for vm in &site.vms {
            number += 1;
            let id = format!("r-{number}");
            let got = vm.ask(&request("GET", "/added/x", &id, ""));
            assert_eq!(got.status, 200, "{got:?}");
            let revoked = request("GET", "/added/x", &id, "")
                .replace("Api-Key: key-1", "Api-Key: key-2");
            assert_eq!(vm.ask(&revoked).status, 401);
        }
        thread::sleep(Duration::from_millis(10));
    }
    let after = [leaving.received().len(), gone.received().len()];
    assert_eq!(after, before, "requests at upstreams that left");
    // Only the upstream in the hall that was evacuated is left.
    site.register_as(&kept, PLAIN, "v1", "draining");
    wait_for_upstream(&site, &kept, true);
    for vm in &site.vms {
        number += 1;
        let id = format!("r-{number}");
        let got = vm.ask(&request("GET", "/added/x", &id, ""));
        assert_eq!(got.status, 200, "{}: {got:?}", vm.name);
        assert_eq!(got.body, "four", "{}: {got:?}", vm.name);
    }
}

/// What the VMs wrote themselves is written again by nobody else.
#[test]
fn vms_write_their_records_again_after_an_older_copy() {
    let _guard = lock_site();
    let upstream = Upstream::start("i-1", always_responds(200, "one"));
    let site = start(&[(&upstream, PLAIN)]);
    let copy = site.store.copy();
    // Later versions than those of the copy.
    for version in 2..30 {
        configure(&site, version, &["key-1"], "early");
    }
    wait_for_configuration(&site, 29);
    come_back(&site, &copy);
    assert_eq!(recorded_vms(&site), 0);
    wait_until("all VMs are recorded again", || recorded_vms(&site) == VMS);
}

/// A rollout that was recorded as completed must not read as running.
#[test]
fn the_outcome_of_a_rollout_is_recorded_again_after_an_older_copy() {
    let _guard = lock_site();
    let good = || streams(|_| Streamed::default());
    let old = Upstream::start("i-1", good());
    let new = Upstream::start("i-2", good());
    let site = start(&[(&old, MODELS)]);
    site.register(&new, MODELS, "v2");
    wait_for_upstream(&site, &new, false);
    let order = json!({
        "service": MODELS, "target_version": "v2", "duration_s": 4,
    });
    site.store.put(&format!("op/rollout/{MODELS}"), &order);
    let key = format!("status/rollout/{MODELS}");
    let state = || {
        let status = site.store.get(&key).unwrap_or_default();
        status["state"].as_str().unwrap_or("").to_owned()
    };
    wait_until("the rollout is under way", || state() == "in_progress");
    let copy = site.store.copy();
    let mut number = 0;
    wait_until("the rollout is completed", || {
        number += 1;
        let id = format!("r-{number}");
        site.vms[0].ask(&stream_request("/write/x", &id));
        state() == "completed"
    });
    come_back(&site, &copy);
    assert_eq!(state(), "in_progress");
    wait_until("the outcome is recorded again", || state() == "completed");
}

//! Runs gateway VMs before a store that has lost its history.

use std::path::PathBuf;

use standins::{
    gateway_site::{PLAIN, Site, wait_until},
    platform_store::StoreMode,
    scripted::{Upstream, always_responds},
};

/// The VMs of the site, three of which watch the store.
const VMS: usize = 6;
const WATCHERS: usize = 3;

/// Returns how the VMs have learned of an upstream's record, in the state
/// asked for.
fn learned_by(site: &Site, upstream: &Upstream, state: &str) -> Vec<String> {
    let is_leaving = state == "draining";
    let lines = site.vms.iter().filter_map(|vm| {
        vm.lines("E043").into_iter().find(|line| {
            line["upstream"] == upstream.id && line["leaving"] == is_leaving
        })
    });
    lines
        .map(|line| line["learned_by"].as_str().unwrap_or("").to_owned())
        .collect()
}

/// Registers an upstream, waits until all VMs know of it, and returns how many
/// have been told by another VM.
fn told(site: &Site, upstream: &Upstream, state: &str) -> usize {
    site.register_as(upstream, PLAIN, "v1", state);
    wait_until("all VMs know the upstream", || {
        learned_by(site, upstream, state).len() == VMS
    });
    let ways = learned_by(site, upstream, state);
    ways.iter().filter(|way| *way == "push").count()
}

/// While a watcher learns by reading alone, the other VMs must not have to
/// find out by themselves that they are behind.
#[test]
fn vms_are_told_what_a_watcher_learns_by_reading() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let mut site = Site::new(program, &["vm"], 20_000);
    for _ in 0..VMS {
        site.start_vm();
    }
    // The VMs agree on the watchers once they know each other.
    let mut number = 0;
    wait_until("the watchers tell the others", || {
        number += 1;
        let id = format!("i-{number}");
        let upstream = Upstream::start(&id, always_responds(200, "hello"));
        told(&site, &upstream, "ready") >= VMS - WATCHERS
    });
    site.store.set_mode(StoreMode::Forgetful);
    let upstream = Upstream::start("late", always_responds(200, "hello"));
    let told = told(&site, &upstream, "draining");
    assert!(told >= VMS - WATCHERS, "{told} VMs were told");
}

//! The machines that follow the store for the others are killed at the same
//! moment, right before the configuration changes.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::site::{CONFIG_APPLY, PLAIN, Site, ZONES};

/// How often the machines are killed.
const ROUNDS: u64 = 7;

/// How long the killed machines are down.
const DOWN: Duration = Duration::from_millis(2000);

/// Interval between two requests to each of the other machines.
const INTERVAL: Duration = Duration::from_millis(20);

/// What a client sent: to which VM, its id, when, and the status.
type Sent = (usize, String, Instant, u16);

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::new(folder)?;
    site.configure(1, &["read", "dropped"]);
    for number in 0..4 {
        let id = format!("i-p{number}");
        let replica = site.start_replica(&id, Duration::from_millis(15));
        site.register(&replica, PLAIN, "ready");
    }
    site.start()?;
    thread::sleep(Duration::from_secs(8));
    let killed = followers(&site);
    let names: Vec<&str> =
        killed.iter().map(|vm| site.vms[*vm].name.as_str()).collect();
    // herd_kill: share (.6) at most; the site file has 0.55.
    if killed.is_empty() || killed.len() * 100 > ZONES.len() * 55 {
        return Err(format!("the store is followed by {names:?}"));
    }
    site.record.line(&format!("{names:?} follow the store"));
    let mut broken = 0;
    for round in 0..ROUNDS {
        broken += play(&mut site, &killed, round, has_trouble);
    }
    let verdict = format!(
        "CONFIG: in {ROUNDS} rounds, {broken} requests ran with a dropped \
         route at a VM in touch, sent later than config_apply_ms after the \
         configuration without it was acknowledged"
    );
    site.record.line(&verdict);
    println!("{verdict}");
    Ok(broken > 0)
}

/// Returns the VM of each zone that has watched the store most often in the
/// last seconds: those that follow it for the others.
fn followers(site: &Site) -> Vec<usize> {
    let since = Instant::now() - Duration::from_secs(7);
    let mut calls: BTreeMap<usize, u32> = BTreeMap::new();
    for (vm, call) in site.store.calls_since(since) {
        if call.contains("kv-watch") {
            *calls.entry(vm).or_default() += 1;
        }
    }
    let mut most: BTreeMap<&str, (u32, usize)> = BTreeMap::new();
    for (vm, count) in calls {
        let known = most.entry(ZONES[vm]).or_default();
        *known = (*known).max((count, vm));
    }
    most.into_values().map(|(_, vm)| vm).collect()
}

fn play(
    site: &mut Site,
    killed: &[usize],
    round: u64,
    has_trouble: bool,
) -> usize {
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for vm in (0..site.vms.len()).filter(|vm| !killed.contains(vm)) {
        let (stop, sent) = (stop.clone(), sent.clone());
        let record = site.record.clone();
        let (name, callers) =
            (site.vms[vm].name.clone(), site.vms[vm].callers);
        clients.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let (id, at, status) =
                    Site::request(&record, &name, callers, "dropped");
                sent.lock().unwrap().push((vm, id, at, status));
                thread::sleep(INTERVAL);
            }
        }));
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        for vm in killed {
            site.vms[*vm].signal("KILL");
        }
        site.record.line("they are killed");
    }
    let killed_at = Instant::now();
    let version = 2 + 2 * round;
    let acknowledged = site.configure(version, &["read"]);
    site.record.line_at(
        acknowledged,
        &format!("configuration {version} drops the route /dropped/"),
    );
    if has_trouble {
        thread::sleep(DOWN.saturating_sub(killed_at.elapsed()));
        for vm in killed {
            site.vms[*vm].wait();
            site.vms[*vm].start();
        }
        site.record.line("they are started");
    }
    thread::sleep(Duration::from_millis(2500));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = site.runs();
    let mut late = 0;
    let mut latest = BTreeMap::new();
    for (vm, id, at, status) in sent.lock().unwrap().iter() {
        let has_run = runs.iter().any(|run| run.id == *id);
        if !has_run || *at < acknowledged {
            continue;
        }
        let after = at.duration_since(acknowledged);
        let name = site.vms[*vm].name.clone();
        let last = latest.entry(name).or_insert(Duration::ZERO);
        *last = (*last).max(after);
        if after > CONFIG_APPLY {
            late += 1;
            site.record.line(&format!(
                "{id} ran, answered {status}, sent {after:?} after the \
                 acknowledgement"
            ));
        }
    }
    site.record.line(&format!(
        "round {round}: the last requests on the dropped route that ran were \
         sent so long after the acknowledgement: {latest:?}; {late} too late"
    ));
    println!("round {round}: {latest:?}; {late} too late");
    site.configure(version + 1, &["read", "dropped"]);
    // Until the VMs are in touch again, and follow the store as before.
    thread::sleep(Duration::from_secs(8));
    late
}

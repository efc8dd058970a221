//! A VM is stopped and started while a replica leaves, and reads the store
//! page by page from followers of which one is behind.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::site::{CONTACT, DRAIN, ONCE, PLAIN, Site};

/// How far stale reads are behind.
const LAG: Duration = Duration::from_secs(3);

/// How long the leaving replica serves after it has said so.
const SERVES_ON: Duration = Duration::from_secs(12);

/// The time that a replica works on a request.
const WORK: Duration = Duration::from_millis(50);

/// Clients of the VM.
const CLIENTS: usize = 4;

/// The VM that is stopped and started: the only one of its zone.
const VM: usize = 6;

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::new(folder)?;
    site.configure(1, &[ONCE]);
    for number in 0..46 {
        let replica = site.start_replica(&format!("i-a{number:02}"), WORK);
        site.register(&replica, "redaction", "ready");
    }
    let mut portal = Vec::new();
    for number in 0..4 {
        let replica = site.start_replica(&format!("i-p{number}"), WORK);
        site.register(&replica, PLAIN, "ready");
        portal.push(replica);
    }
    site.start()?;
    thread::sleep(Duration::from_secs(8));
    site.record.line(&format!("{} entries in the store", site.store.count()));

    site.record.line("SIGTERM to the VM");
    site.vms[VM].signal("TERM");
    site.vms[VM].wait();
    let leaving = portal[3].clone();
    let acknowledged = site.register(&leaving, PLAIN, "draining");
    site.record.line_at(acknowledged, &format!("{} drains", leaving.id));
    thread::sleep(Duration::from_millis(200));
    if has_trouble {
        site.record.line("a follower of the store is 3 s behind");
        site.store.set_lag(LAG);
    }
    thread::sleep(Duration::from_millis(500));
    let started_at = Instant::now();
    site.record.line("the VM is started");
    site.vms[VM].start();
    while !site.vms[VM].is_ready() {
        if started_at.elapsed() > Duration::from_secs(4) {
            return Err("the VM did not become ready".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    site.store.set_lag(Duration::ZERO);
    let calm_since = Instant::now();
    site.record.line("the VM is ready; all followers are up to date");

    let judged_since = (calm_since + CONTACT).max(acknowledged + DRAIN);
    let ends_at = acknowledged + SERVES_ON;
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (sent, record) = (sent.clone(), site.record.clone());
            let (name, callers) =
                (site.vms[VM].name.clone(), site.vms[VM].callers);
            thread::spawn(move || {
                while Instant::now() < ends_at + Duration::from_secs(1) {
                    let done = Site::request(&record, &name, callers, ONCE);
                    sent.lock().unwrap().push(done);
                    thread::sleep(Duration::from_millis(25));
                }
            })
        })
        .collect();
    thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    site.record.line(&format!("{} ends", leaving.id));
    leaving.end();
    site.store.remove(&format!("servers/{}", leaving.id));
    for client in clients {
        let _ = client.join();
    }

    let there: HashSet<String> = site
        .runs()
        .into_iter()
        .filter(|run| run.replica == leaving.id)
        .map(|run| run.id)
        .collect();
    let sent = sent.lock().unwrap();
    let judged = sent.iter().filter(|(_, at, _)| *at > judged_since);
    let late = judged.clone().filter(|(id, ..)| there.contains(id));
    let lost = late.clone().filter(|(.., status)| *status != 200).count();
    let (judged, late) = (judged.count(), late.count());
    let verdict = format!(
        "DRAIN: of {judged} requests that the VM, in touch, got later than \
         drain_ms after {} was acknowledged as draining, {late} ran there; \
         {lost} of these were cut by its end, and may not be repeated",
        leaving.id,
    );
    site.record.line(&verdict);
    println!("{verdict}");
    if judged == 0 {
        return Err("no request was judged".to_owned());
    }
    Ok(late > 0)
}

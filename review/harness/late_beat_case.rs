//! A write of a replica to the store is carried out late, after the replica
//! has said that it is draining.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::site::{CONTACT, DRAIN, ONCE, PLAIN, Site};

/// How much later a lost write is carried out.
const LATE: Duration = Duration::from_millis(6000);

/// Interval between two writes of a replica (`heartbeat_ms`).
const BEAT: Duration = Duration::from_millis(1200);

/// The time that a replica works on a request.
const WORK: Duration = Duration::from_millis(15);

/// How long the replica serves after it has said that it is draining.
const SERVES_ON: Duration = Duration::from_secs(8);

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::new(folder)?;
    site.configure(1, &[ONCE]);
    let mut portal = Vec::new();
    for number in 0..4 {
        let replica = site.start_replica(&format!("i-p{number}"), WORK);
        site.register(&replica, PLAIN, "ready");
        portal.push(replica);
    }
    site.start()?;
    thread::sleep(Duration::from_secs(8));

    let leaving = portal[3].clone();
    let stop_at = Instant::now() + LATE + Duration::from_secs(7);
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = site
        .vms
        .iter()
        .map(|vm| {
            let (sent, record) = (sent.clone(), site.record.clone());
            let (name, callers) = (vm.name.clone(), vm.callers);
            thread::spawn(move || {
                while Instant::now() < stop_at {
                    let done = Site::request(&record, &name, callers, ONCE);
                    sent.lock().unwrap().push(done);
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();

    let lost_at = Instant::now();
    let sequence = 5;
    if has_trouble {
        site.record.line(&format!(
            "the answer to the write {sequence} of {} is lost; it is carried \
             out {LATE:?} later",
            leaving.id
        ));
    }
    // The store has answered all other calls by then.
    let calm_since = lost_at + Duration::from_millis(100);
    let mut next = sequence + 1;
    let mut acknowledged = None;
    let mut is_done = !has_trouble;
    let mut beat_at = lost_at + Duration::from_millis(900);
    loop {
        let now = Instant::now();
        if !is_done && now >= lost_at + LATE {
            is_done = true;
            site.beat(&leaving, PLAIN, "ready", sequence);
            site.record.line(&format!("the write {sequence} is carried out"));
        }
        if now >= beat_at {
            let drains = now >= calm_since + CONTACT;
            let state = if drains { "draining" } else { "ready" };
            let at = site.beat(&leaving, PLAIN, state, next);
            if drains && acknowledged.is_none() {
                acknowledged = Some(at);
                site.record.line_at(at, &format!("{} drains", leaving.id));
            }
            next += 1;
            beat_at = now + BEAT;
        }
        if acknowledged.is_some_and(|at| at.elapsed() > SERVES_ON) {
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    site.store.remove(&format!("servers/{}", leaving.id));
    site.record.line(&format!("{} ends", leaving.id));
    for client in clients {
        let _ = client.join();
    }

    let judged_since = acknowledged.ok_or("it did not drain")? + DRAIN;
    let there: HashSet<String> = site
        .runs()
        .into_iter()
        .filter(|run| run.replica == leaving.id)
        .map(|run| run.id)
        .collect();
    let sent = sent.lock().unwrap();
    let judged = sent.iter().filter(|(_, at, _)| *at > judged_since);
    let late = judged.clone().filter(|(id, ..)| there.contains(id)).count();
    let verdict = format!(
        "DRAIN: of {} requests that VMs in touch got later than drain_ms \
         after {} was acknowledged as draining, {late} ran there",
        judged.count(),
        leaving.id,
    );
    site.record.line(&verdict);
    println!("{verdict}");
    Ok(late > 0)
}

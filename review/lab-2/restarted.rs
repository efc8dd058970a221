//! Case: a replica crashes, starts again under its id, and records that at its
//! next heartbeat.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    http,
    record::Record,
    replica::{unix_ms, Arrivals, Replica},
    site::{Sheet, Site, HOST, KEY, MODELS},
    Verdict,
};

const VMS: usize = 2;
/// One of them that crashes is a share of 0.25.
const REPLICAS: usize = 4;
const MEMORY_MB: u64 = 110;
/// Clients of each VM: as many as the zone `plateau` has.
const CLIENTS: usize = 28;
/// Time from the start of a replica until its entry says so: its next
/// heartbeat, `beat_ms` 1,200, and `lag_ms` 800 of the site file.
const LISTED_AFTER: Duration = Duration::from_millis(2000);
/// How often a replica crashes, and the time from one crash to the next.
const CRASHES: usize = 12;
const CRASH_INTERVAL: Duration = Duration::from_secs(6);
/// Time for which the replica is down.
const DOWN: Duration = Duration::from_secs(1);
/// Longer than any answer takes.
const LONGEST_ANSWER: Duration = Duration::from_secs(3);
/// Connections that a VM may close without an answer.
const ALLOWED: usize = 3;

/// A request whose answer a client did not get whole.
struct Cut {
    id: String,
    vm: usize,
    status: u16,
}

pub fn run(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let mut site = Site::new(VMS, &Sheet { memory_mb: MEMORY_MB })?;
    let arrivals = Arrivals::default();
    let mut replicas = Vec::new();
    for at in 0..REPLICAS {
        let id = format!("i-{at}");
        let replica =
            Replica::start(&id, Duration::ZERO, "", &arrivals, &record)
                .map_err(|error| error.to_string())?;
        let zone = at % VMS;
        let address = replica.address;
        site.register(&id, MODELS, address, zone, 64, unix_ms(), "ready");
        replicas.push(replica);
    }
    site.start()?;
    let cuts = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..VMS * CLIENTS)
        .map(|client| {
            let vm = client % VMS;
            let address = site.vms[vm].callers;
            let (record, cuts) = (record.clone(), cuts.clone());
            let (served, is_over) = (served.clone(), is_over.clone());
            let next_id = next_id.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(30 * client as u64));
                while !is_over.load(Ordering::Relaxed) {
                    let number = next_id.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{number:016x}");
                    let head = head(&id, client);
                    let limit = Duration::from_secs(20);
                    let answer = http::call(address, &head, b"text", limit);
                    record.line(&format!(
                        "client request {id} at edge-{vm}: status {}, whole {}",
                        answer.status, answer.is_whole
                    ));
                    if answer.status == 200 && answer.is_whole {
                        served.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                    let status = answer.status;
                    cuts.lock().unwrap().push(Cut { id, vm, status });
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    // From when to when each replica was down.
    let mut downs = Vec::new();
    for crash in 0..CRASHES {
        let at = crash % REPLICAS;
        let replica = &replicas[at];
        if !trouble {
            thread::sleep(CRASH_INTERVAL);
            continue;
        }
        record.line(&format!("{} crashes", replica.id));
        let down_at = record.elapsed();
        replica.crash();
        thread::sleep(DOWN);
        replica.start_again().map_err(|error| error.to_string())?;
        downs.push((replica.id.clone(), down_at, record.elapsed()));
        let born_ms = unix_ms();
        record.line(&format!("{} has started again", replica.id));
        thread::sleep(LISTED_AFTER);
        record.line(&format!("{} writes its entry", replica.id));
        let (id, address) = (&replica.id, replica.address);
        let zone = at % VMS;
        site.register(id, MODELS, address, zone, 64, born_ms, "ready");
        thread::sleep(CRASH_INTERVAL - DOWN - LISTED_AFTER);
    }
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    // A request that was under way at a replica when that crashed is not the
    // VM's fault.
    let arrivals = arrivals.lock().unwrap();
    let is_sound = |id: &str| {
        let runs = arrivals.iter().filter(|run| run.id == id);
        runs.into_iter().all(|run| {
            let mut downs = downs.iter().filter(|(id, ..)| *id == run.replica);
            downs.all(|(_, from, to)| {
                run.at >= *to || run.at + LONGEST_ANSWER < *from
            })
        })
    };
    let cuts = cuts.lock().unwrap();
    let mut most = 0;
    for vm in 0..VMS {
        let of_vm = cuts.iter().filter(|cut| cut.vm == vm);
        let by_vm: Vec<&Cut> = of_vm.filter(|cut| is_sound(&cut.id)).collect();
        for cut in &by_vm {
            record.line(&format!(
                "edge-{vm} cut {} (status {})",
                cut.id, cut.status
            ));
        }
        let closed = by_vm.iter().filter(|cut| cut.status == 200).count();
        record.line(&format!(
            "edge-{vm}: {} requests that were sent to sound replicas alone \
             got no whole answer, {closed} of them by a closed connection",
            by_vm.len()
        ));
        most = most.max(closed);
    }
    record.line(&format!("served {}", served.load(Ordering::Relaxed)));
    Ok(match most > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn head(id: &str, client: usize) -> String {
    // Clients ask about different things, whose prompts begin differently.
    let shared = (client as u32 + 1).wrapping_mul(2_654_435_761);
    format!(
        "POST /once/{client} HTTP/1.1\r\nHost: {HOST}\r\n\
         Lupinseam-Attempt-Id: {id}\r\nLupinseam-Deadline-Ms: 20000\r\n\
         Lupinseam-Token-Count: 826,294\r\n\
         Lupinseam-Prefix-Hash: {shared:x}:198,{id}:628\r\n\
         Api-Key: {KEY}\r\nContent-Length: 4\r\n\r\n"
    )
}

//! Case: a write of a replica is carried out late, after the replica's entry
//! has gone.

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
    site::{Sheet, Site, HOST, KEY, PLAIN},
    Verdict,
};

const VMS: usize = 3;
const REPLICAS: usize = 4;
const MEMORY_MB: u64 = 110;
/// Bounds of the sheet.
const DRAIN: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);
/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How much later the lost write is carried out.
const LATE: Duration = Duration::from_millis(6000);
/// How long the replica serves after its entry has gone.
const SERVES_ON: Duration = Duration::from_secs(8);
/// Time that a request takes, and the pause of each VM's client between two:
/// together they send about as many as the portal gets by the sheet, 34 a
/// second.
const WORK: Duration = Duration::from_millis(15);
const PAUSE: Duration = Duration::from_millis(70);

/// A request that a client sent.
struct Call {
    id: String,
    sent_at: Duration,
}

pub fn run(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let mut site = Site::new(VMS, &Sheet { memory_mb: MEMORY_MB })?;
    let arrivals = Arrivals::default();
    let mut replicas = Vec::new();
    for at in 0..REPLICAS {
        let id = format!("i-{at}");
        let replica = Replica::start(&id, WORK, "", &arrivals, &record)
            .map_err(|error| error.to_string())?;
        let zone = at % VMS;
        let address = replica.address;
        site.register(&id, PLAIN, address, zone, 6, unix_ms(), "ready");
        replicas.push(replica);
    }
    let leaver = replicas[0].clone();
    let born_ms = unix_ms();
    let beat = |sequence: u64| {
        let document = format!(
            r#"{{"service":"{PLAIN}","address":"{}","zone":"zone-0","version":"v1","capacity":6,"state":"ready","warmup_left_ms":0,"sequence":{sequence},"born":{born_ms}}}"#,
            leaver.address
        );
        site.store.put("servers/i-0", &document);
        record.line(&format!("the store carries out write {sequence} of i-0"));
    };
    beat(1);
    for vm in &mut site.vms {
        vm.start()?;
    }
    site.wait_until_ready()?;
    let calls = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = begin_clients(&site, &record, &calls, &is_over);
    for sequence in 2..=4 {
        thread::sleep(HEARTBEAT);
        beat(sequence);
    }
    thread::sleep(HEARTBEAT);
    let lost_at = record.elapsed();
    match trouble {
        true => record.line("write 5 of i-0 gets no answer"),
        false => beat(5),
    }
    for sequence in 6..=7 {
        thread::sleep(HEARTBEAT);
        beat(sequence);
    }
    // The store answers all calls from then on.
    let calm_at = lost_at + Duration::from_millis(100);
    sleep_until(&record, calm_at + CONTACT + Duration::from_millis(400));
    leaver.leave();
    site.store.remove("servers/i-0");
    let gone_at = record.elapsed();
    record.line("i-0 leaves: its entry has gone, and its answers say so");
    if trouble {
        sleep_until(&record, lost_at + LATE);
        beat(5);
        // An entry goes after three heartbeats without a write.
        thread::sleep(3 * HEARTBEAT);
        site.store.remove("servers/i-0");
        record.line("the entry of i-0 has lapsed");
    }
    sleep_until(&record, gone_at + SERVES_ON);
    leaver.crash();
    record.line("i-0 ends");
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let calls = calls.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let mut late = 0;
    for arrival in arrivals.iter().filter(|a| a.replica == "i-0") {
        let call = calls.iter().find(|call| call.id == arrival.id);
        let Some(call) = call else { continue };
        if call.sent_at > gone_at + DRAIN {
            late += 1;
            record.line(&format!(
                "request {} sent at {:.3} reached i-0 at {:.3}, {:.3} after \
                 its entry had gone",
                call.id,
                call.sent_at.as_secs_f64(),
                arrival.at.as_secs_f64(),
                (arrival.at - gone_at).as_secs_f64()
            ));
        }
    }
    record.line(&format!("{late} requests came too late"));
    Ok(match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn sleep_until(record: &Record, until: Duration) {
    thread::sleep(until.saturating_sub(record.elapsed()));
}

fn begin_clients(
    site: &Site,
    record: &Record,
    calls: &Arc<Mutex<Vec<Call>>>,
    is_over: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let next_id = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for (vm, machine) in site.vms.iter().enumerate() {
        let address = machine.callers;
        let (record, calls) = (record.clone(), calls.clone());
        let (is_over, next_id) = (is_over.clone(), next_id.clone());
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let number = next_id.fetch_add(1, Ordering::Relaxed);
                let id = format!("{number:016x}");
                let head = head(&id, number);
                let sent_at = record.elapsed();
                calls.lock().unwrap().push(Call { id: id.clone(), sent_at });
                let limit = Duration::from_secs(2);
                let answer = http::call(address, &head, &[], limit);
                record.line(&format!(
                    "client request {id} at edge-{vm}: status {}",
                    answer.status
                ));
                thread::sleep(PAUSE);
            }
        }));
    }
    clients
}

fn head(id: &str, number: u64) -> String {
    format!(
        "GET /receipt/{number} HTTP/1.1\r\nHost: {HOST}\r\n\
         Lupinseam-Attempt-Id: {id}\r\nLupinseam-Deadline-Ms: 1500\r\n\
         Api-Key: {KEY}\r\nConnection: close\r\n\r\n"
    )
}

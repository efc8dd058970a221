//! Case: a replica starts again under its id while the store is silent, and
//! then announces in its answers that it leaves.

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

const VMS: usize = 2;
const REPLICAS: usize = 3;
const MEMORY_MB: u64 = 110;
/// `drain_ms` of the sheet.
const DRAIN: Duration = Duration::from_millis(2000);
/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Clients of each VM, and the pause between two requests of one.
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(2);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);

/// A request that a client sent.
struct Call {
    id: String,
    vm: usize,
    sent_at: Duration,
    answered_at: Duration,
    is_served: bool,
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
        site.register(
            &id,
            PLAIN,
            replica.address,
            at % VMS,
            6,
            unix_ms(),
            "ready",
        );
        replicas.push(replica);
    }
    site.start()?;
    let calls = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = begin_clients(&site, &record, &calls, &is_over);
    thread::sleep(Duration::from_secs(3));
    let leaver = replicas[0].clone();
    if trouble {
        record.line("the store is silent");
        site.store.set_silent(true);
    }
    thread::sleep(Duration::from_millis(200));
    record.line("i-0 crashes");
    leaver.crash();
    thread::sleep(Duration::from_secs(1));
    leaver.start_again().map_err(|error| error.to_string())?;
    let born_ms = unix_ms();
    record.line("i-0 starts again under its id, and writes its entry");
    let write = |state: &str| {
        record.line(&format!("the store carries out: i-0 is {state}"));
        let address = leaver.address;
        site.register("i-0", PLAIN, address, 0, 6, born_ms, state);
    };
    if !trouble {
        write("ready");
    }
    thread::sleep(Duration::from_millis(1300));
    record.line("i-0 is to leave; its answers say so");
    leaver.leave();
    if !trouble {
        thread::sleep(Duration::from_millis(100));
        write("draining");
    }
    thread::sleep(Duration::from_millis(3500));
    if trouble {
        record.line("the store answers again");
        site.store.set_silent(false);
        // The write that it had taken while it was silent.
        write("ready");
        // The replica writes again about every heartbeat.
        thread::sleep(HEARTBEAT);
        write("draining");
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let calls = calls.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let mut late = 0;
    for vm in 0..VMS {
        let of_vm = |id: &str| {
            calls.iter().find(|call| call.id == id && call.vm == vm)
        };
        // When this VM had passed on the first answer that said so.
        let told = arrivals.iter().filter(|arrival| arrival.said_leaving);
        let told = told.filter_map(|arrival| of_vm(&arrival.id));
        let told = told.filter(|call| call.is_served);
        let Some(told_at) = told.map(|call| call.answered_at).min() else {
            record.line(&format!("edge-{vm} passed on no such answer"));
            continue;
        };
        record.line(&format!(
            "edge-{vm} had passed on an answer with `Server-Leaving` at {:.3}",
            told_at.as_secs_f64()
        ));
        for arrival in arrivals.iter().filter(|a| a.replica == "i-0") {
            let Some(call) = of_vm(&arrival.id) else { continue };
            if call.sent_at > told_at + DRAIN {
                late += 1;
                record.line(&format!(
                    "edge-{vm}: request {} sent at {:.3} reached i-0 at {:.3}",
                    call.id,
                    call.sent_at.as_secs_f64(),
                    arrival.at.as_secs_f64()
                ));
            }
        }
    }
    record.line(&format!("{late} requests came too late"));
    Ok(match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn begin_clients(
    site: &Site,
    record: &Record,
    calls: &Arc<Mutex<Vec<Call>>>,
    is_over: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let next_id = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for client in 0..VMS * CLIENTS {
        let vm = client % VMS;
        let address = site.vms[vm].callers;
        let (record, calls) = (record.clone(), calls.clone());
        let (is_over, next_id) = (is_over.clone(), next_id.clone());
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let number = next_id.fetch_add(1, Ordering::Relaxed);
                let id = format!("{number:016x}");
                let head = head(&id, number);
                let sent_at = record.elapsed();
                let limit = Duration::from_secs(2);
                let answer = http::call(address, &head, &[], limit);
                let answered_at = record.elapsed();
                record.line(&format!(
                    "client request {id} at edge-{vm}: status {}",
                    answer.status
                ));
                let is_served = answer.status == 200 && answer.is_whole;
                calls.lock().unwrap().push(Call {
                    id,
                    vm,
                    sent_at,
                    answered_at,
                    is_served,
                });
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

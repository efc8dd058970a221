//! Case: clients whose request bodies are as large as the operator's limit
//! allows, on machines with the memory of the sheet.

use std::{
    io::Write,
    net::TcpStream,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    record::Record,
    replica::{unix_ms, Arrivals, Replica},
    site::{Sheet, Site, HOST, KEY, MODELS, PLAIN},
    Verdict,
};

/// Memory of a machine of `cps-lupinseam`.
const MEMORY_MB: u64 = 110;
/// Largest body that the operator's limits allow.
const LARGE_BODY_BYTES: usize = 4 << 20;
/// Mean size of the bodies of a drafting request on the sheet.
const USUAL_BODY_BYTES: usize = 12_000;
const VMS: usize = 3;
const REPLICAS: usize = 6;
/// Replicas of the plain service, and clients of each VM that record
/// signatures there.
const PLAIN_REPLICAS: usize = 4;
const SIGNERS: usize = 2;
/// For each VM as many as the zone `plateau` of `cps-lupinseam` has clients.
const CLIENTS: usize = 84;
/// Events of an answer, and the pause between two: 6 tokens of 3.4 ms and more
/// each, beside other requests.
const EVENTS: u64 = 64;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(50);
/// Ends of one process by itself on two machines that are a fault.
const FAULT_ENDS: u64 = 3;

pub fn run(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let sheet = Sheet { memory_mb: MEMORY_MB };
    let mut site = Site::new(VMS, &sheet)?;
    for at in 0..REPLICAS {
        let address = http::serve("127.0.0.1:0", stream_events)
            .map_err(|error| error.to_string())?;
        let id = format!("i-{at}");
        site.register(&id, MODELS, address, at % VMS, 64, unix_ms(), "ready");
    }
    let arrivals = Arrivals::default();
    for at in 0..PLAIN_REPLICAS {
        let id = format!("p-{at}");
        let work = Duration::from_millis(15);
        let replica = Replica::start(&id, work, "", &arrivals, &record)
            .map_err(|error| error.to_string())?;
        let zone = at % VMS;
        site.register(
            &id,
            PLAIN,
            replica.address,
            zone,
            6,
            unix_ms(),
            "ready",
        );
    }
    site.start()?;
    let body_bytes = match trouble {
        true => LARGE_BODY_BYTES,
        false => USUAL_BODY_BYTES,
    };
    record.line(&format!(
        "{VMS} VMs ready; {CLIENTS} clients with bodies of {body_bytes} bytes"
    ));
    let addresses: Vec<_> = site.vms.iter().map(|vm| vm.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let ends = Arc::new(Mutex::new(vec![0_u64; VMS]));
    let watching = watch_memory(site, &record, &ends, &is_over);
    let next_id = Arc::new(AtomicU64::new(1));
    let cut = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = addresses[client % VMS];
            let (record, next_id) = (record.clone(), next_id.clone());
            let (cut, served) = (cut.clone(), served.clone());
            let body = vec![b'x'; body_bytes];
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(10 * client as u64));
                while Instant::now() < until {
                    let id = next_id.fetch_add(1, Ordering::Relaxed);
                    let head = head(id, client, body.len());
                    let limit = Duration::from_secs(25);
                    let answer = http::call(address, &head, &body, limit);
                    let is_served = answer.status == 200 && answer.is_whole;
                    record.line(&format!(
                        "client {client} request {id:016x} at {address}: \
                         status {} whole {}",
                        answer.status, answer.is_whole
                    ));
                    match is_served {
                        true => served.fetch_add(1, Ordering::Relaxed),
                        false => cut.fetch_add(1, Ordering::Relaxed),
                    };
                    let pause = if is_served { 200 } else { 500 };
                    thread::sleep(Duration::from_millis(pause));
                }
            })
        })
        .collect();
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let signers: Vec<_> = (0..VMS * SIGNERS)
        .map(|signer| {
            let address = addresses[signer % VMS];
            let (record, next_id) = (record.clone(), next_id.clone());
            let unanswered = unanswered.clone();
            thread::spawn(move || {
                while Instant::now() < until {
                    let id = next_id.fetch_add(1, Ordering::Relaxed);
                    let limit = Duration::from_secs(2);
                    let head = sign_head(id);
                    let answer = http::call(address, &head, b"name", limit);
                    if answer.status == 0 {
                        unanswered.lock().unwrap().push(format!("{id:016x}"));
                    }
                    record.line(&format!(
                        "signature {id:016x} at {address}: status {}",
                        answer.status
                    ));
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    for client in clients.into_iter().chain(signers) {
        let _ = client.join();
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = watching.join();
    let ends = ends.lock().unwrap().clone();
    record.line(&format!(
        "served {}, without a whole answer {}; ends over {MEMORY_MB} MB: {ends:?}",
        served.load(Ordering::Relaxed),
        cut.load(Ordering::Relaxed)
    ));
    let unanswered = unanswered.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let lost = arrivals.iter().filter(|run| unanswered.contains(&run.id));
    record.line(&format!(
        "signatures that a replica ran and that got no answer: {}",
        lost.count()
    ));
    let faulty = ends.iter().filter(|count| **count >= FAULT_ENDS).count();
    Ok(match faulty >= 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Does what the platform does: kills a process that exceeds its memory, and
/// starts it again after a short delay.
fn watch_memory(
    mut site: Site,
    record: &Record,
    ends: &Arc<Mutex<Vec<u64>>>,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, ends) = (record.clone(), ends.clone());
    let is_over = is_over.clone();
    thread::spawn(move || {
        let mut peaks = [0; VMS];
        while !is_over.load(Ordering::Relaxed) {
            for (at, vm) in site.vms.iter_mut().enumerate() {
                let kib = vm.memory_kib();
                peaks[at] = kib.max(peaks[at]);
                let is_too_large = kib > MEMORY_MB << 10;
                if !is_too_large && vm.runs() {
                    continue;
                }
                vm.kill();
                ends.lock().unwrap()[at] += 1;
                record.line(&format!(
                    "{} ends: {kib} KiB resident of {MEMORY_MB} MB",
                    vm.name
                ));
                thread::sleep(Duration::from_millis(300));
                if let Err(reason) = vm.start() {
                    record.line(&reason);
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        record.line(&format!("most resident, KiB: {peaks:?}"));
    })
}

fn head(id: u64, client: usize, body_bytes: usize) -> String {
    format!(
        "POST /draft/{client} HTTP/1.1\r\nHost: {HOST}\r\n\
         Lupinseam-Attempt-Id: {id:016x}\r\nLupinseam-Deadline-Ms: 25000\r\n\
         Lupinseam-Token-Count: 11992,384\r\n\
         Lupinseam-Prefix-Hash: 5c1e07a2:5382,{id:x}:6610\r\n\
         Api-Key: {KEY}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

fn sign_head(id: u64) -> String {
    format!(
        "POST /sign/{id} HTTP/1.1\r\nHost: {HOST}\r\n\
         Lupinseam-Attempt-Id: {id:016x}\r\nLupinseam-Deadline-Ms: 1500\r\n\
         Api-Key: {KEY}\r\nConnection: close\r\nContent-Length: 4\r\n\r\n"
    )
}

/// A replica: answers a request with events, as an engine that runs several
/// requests does.
fn stream_events(request: Request, stream: &mut TcpStream) -> bool {
    if request.path.starts_with("/healthz") {
        return stream.write_all(&http::answer(200, &[], "")).is_ok();
    }
    let id = request.header("lupinseam-attempt-id").to_owned();
    let last = request.header("last-event-id").parse().unwrap_or(0);
    // The body has been read, and is not kept.
    drop(request);
    thread::sleep(Duration::from_millis(200));
    let head = format!(
        "HTTP/1.1 200 OK\r\nLupinseam-Attempt-Id: {id}\r\n\
         Lupinseam-Response-Seal: seal.{id}\r\n\
         Lupinseam-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

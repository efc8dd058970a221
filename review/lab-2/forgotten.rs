//! Case: requests that crash the replicas that run them, beside a store that is
//! silent and VMs that are killed at the same moment.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
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
const REPLICAS: usize = 12;
const MEMORY_MB: u64 = 110;
/// Path of the request that crashes its replica.
const POISON: &str = "/receipt/poison";
/// Time until a crashed replica is back.
const BACK_AFTER: Duration = Duration::from_millis(2500);
/// `contact_ms` of the sheet.
const CONTACT: Duration = Duration::from_secs(3);
/// Retries that the rule allows.
const ALLOWED: usize = 3;

pub fn run(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let mut site = Site::new(VMS, &Sheet { memory_mb: MEMORY_MB })?;
    let arrivals = Arrivals::default();
    let mut replicas = Vec::new();
    for at in 0..REPLICAS {
        let id = format!("i-{at}");
        let work = Duration::from_millis(15);
        let replica = Replica::start(&id, work, "poison", &arrivals, &record)
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
        replicas.push(replica);
    }
    site.start()?;
    let is_over = Arc::new(AtomicBool::new(false));
    let bringing_back = bring_back(&site, &replicas, &record, &is_over);
    let addresses: Vec<_> = site.vms.iter().map(|vm| vm.callers).collect();
    let next_id = AtomicU64::new(1);
    let ask = |vm: usize, path: &str| {
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        let head = head(id, path);
        let limit = Duration::from_secs(2);
        let answer = http::call(addresses[vm], &head, &[], limit);
        record.line(&format!(
            "client request {id:016x} {path} at edge-{vm}: status {}",
            answer.status
        ));
        answer.status
    };
    // The VMs learn what the replicas usually do.
    for number in 0..60 {
        ask(number % VMS, &format!("/receipt/{number}"));
        thread::sleep(Duration::from_millis(20));
    }
    if trouble {
        record.line("the store is silent");
        site.store.set_silent(true);
        thread::sleep(Duration::from_millis(500));
    }
    ask(0, POISON);
    thread::sleep(Duration::from_millis(1500));
    for vm in 0..VMS {
        ask(vm, POISON);
    }
    let before = count(&arrivals);
    record.line(&format!("{before} replicas have crashed under the request"));
    if before < ALLOWED {
        return Err("fewer than three replicas crashed".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    if trouble {
        record.line("all VMs are killed");
        for vm in &mut site.vms {
            vm.kill();
        }
        thread::sleep(Duration::from_millis(500));
        for vm in &mut site.vms {
            vm.start()?;
        }
        thread::sleep(Duration::from_millis(500));
        record.line("the store answers again");
        site.store.set_silent(false);
    }
    site.wait_until_ready()?;
    record.line("the VMs are ready");
    // The core is stable after one `contact_ms`, and the VMs have been in touch
    // with a stable core for another one after that.
    thread::sleep(2 * CONTACT + Duration::from_secs(1));
    record.line("the VMs are in touch; the request comes again");
    let since = count(&arrivals);
    for _ in 0..4 {
        thread::scope(|scope| {
            for vm in 0..VMS {
                let ask = &ask;
                scope.spawn(move || ask(vm, POISON));
            }
        });
        thread::sleep(Duration::from_secs(1));
    }
    let later = count(&arrivals) - since;
    is_over.store(true, Ordering::Relaxed);
    let _ = bringing_back.join();
    record.line(&format!(
        "{later} arrivals from VMs in touch after the third crash; \
         {ALLOWED} are allowed"
    ));
    Ok(match later > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn count(arrivals: &Arrivals) -> usize {
    let arrivals = arrivals.lock().unwrap();
    arrivals.iter().filter(|arrival| arrival.path == POISON).count()
}

/// Starts crashed replicas again, under their ids.
fn bring_back(
    site: &Site,
    replicas: &[Replica],
    record: &Record,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (store, replicas) = (site.store.clone(), replicas.to_vec());
    let (record, is_over) = (record.clone(), is_over.clone());
    thread::spawn(move || {
        let mut crashed_at = vec![None; replicas.len()];
        while !is_over.load(Ordering::Relaxed) {
            for (at, replica) in replicas.iter().enumerate() {
                if !replica.is_down() {
                    continue;
                }
                let now = record.elapsed();
                let since = *crashed_at[at].get_or_insert(now);
                if now < since + BACK_AFTER || replica.start_again().is_err() {
                    continue;
                }
                crashed_at[at] = None;
                record.line(&format!("{} is back", replica.id));
                Site::register_in(
                    &store,
                    &replica.id,
                    PLAIN,
                    replica.address,
                    at % VMS,
                    6,
                    unix_ms(),
                    "ready",
                );
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

fn head(id: u64, path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\
         Lupinseam-Attempt-Id: {id:016x}\r\nLupinseam-Deadline-Ms: 1500\r\n\
         Api-Key: {KEY}\r\nConnection: close\r\n\r\n"
    )
}

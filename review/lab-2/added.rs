//! Case: a machine is added just after the store has come back from an older
//! copy, which still holds a key that was taken away.

use std::{
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use crate::{
    http,
    record::Record,
    replica::{unix_ms, Arrivals, Replica},
    site::{configuration_with_keys, Sheet, Site, HOST, KEY, PLAIN},
    Verdict,
};

const VMS: usize = 3;
const REPLICAS: usize = 4;
const MEMORY_MB: u64 = 110;
/// A key that is taken away.
const REVOKED: &str = "anfqasnmgkcuyj8pjbvk";
/// `revoke_ms` of the sheet.
const REVOKE: Duration = Duration::from_millis(5000);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// Time from the copy until the key is taken away, and from then until the
/// store is back: the copy is 4.5 s old.
const COPIED_BEFORE: Duration = Duration::from_millis(200);
const BACK_AFTER: Duration = Duration::from_millis(4300);
/// Time from the return of the store until the operator has written again: a
/// heartbeat of the replicas, which write again as well.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1200);

pub fn run(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(folder)?;
    let mut site = Site::new(VMS, &Sheet { memory_mb: MEMORY_MB })?;
    site.store.put("op/config", &configuration_with_keys(1, &[KEY, REVOKED]));
    let arrivals = Arrivals::default();
    for at in 0..REPLICAS {
        let id = format!("i-{at}");
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
    let added = VMS - 1;
    for vm in &mut site.vms[..added] {
        vm.start()?;
    }
    site.wait_until_ready()?;
    let addresses: Vec<_> = site.vms.iter().map(|vm| vm.callers).collect();
    let next_id = AtomicU64::new(1);
    let ask = |vm: usize, key: &str| {
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        let head = head(id, key);
        let limit = Duration::from_secs(2);
        let answer = http::call(addresses[vm], &head, &[], limit);
        let name = if key == REVOKED { "revoked key" } else { "valid key" };
        record.line(&format!(
            "client request {id:016x} with the {name} at edge-{vm}: status {}",
            answer.status
        ));
        (format!("{id:016x}"), answer.status)
    };
    thread::sleep(Duration::from_secs(2));
    if ask(0, REVOKED).1 != 200 {
        return Err("the key is not accepted".to_owned());
    }
    let copy = site.store.copy();
    record.line("the store keeps a copy");
    thread::sleep(COPIED_BEFORE);
    site.store.put("op/config", &configuration_with_keys(2, &[KEY]));
    let revoked_at = record.elapsed();
    record.line("the key is taken away, by version 2; acknowledged");
    thread::sleep(Duration::from_millis(1500));
    for vm in 0..added {
        ask(vm, REVOKED);
    }
    let away_at = revoked_at + BACK_AFTER - AWAY;
    thread::sleep(away_at.saturating_sub(record.elapsed()));
    if trouble {
        record.line("the store is away");
        site.store.set_silent(true);
    }
    thread::sleep(AWAY);
    if trouble {
        site.store.restore(copy);
        site.store.set_silent(false);
        record.line("the store is back, from the copy, in a new era");
    }
    let back_at = record.elapsed();
    record.line("a machine is added: edge-2 starts");
    site.vms[added].start()?;
    let mut sent = Vec::new();
    while record.elapsed() < back_at + WRITTEN_AGAIN {
        let sent_at = record.elapsed();
        let (id, status) = ask(added, REVOKED);
        sent.push((id, sent_at, status));
        ask(0, REVOKED);
        thread::sleep(Duration::from_millis(20));
    }
    site.store.put("op/config", &configuration_with_keys(2, &[KEY]));
    record.line("the operator has written version 2 again");
    thread::sleep(Duration::from_secs(1));
    ask(added, REVOKED);
    ask(added, KEY);
    let arrivals = arrivals.lock().unwrap();
    let mut ran = 0;
    for (id, sent_at, _) in &sent {
        let has_run = arrivals.iter().any(|arrival| arrival.id == *id);
        if has_run && *sent_at > revoked_at + REVOKE {
            ran += 1;
            let late = *sent_at - revoked_at;
            record.line(&format!(
                "{id}, sent {:.3} s after the key was taken away, has run",
                late.as_secs_f64()
            ));
        }
    }
    record.line(&format!(
        "{ran} requests with the revoked key ran that were sent later than \
         revoke_ms"
    ));
    Ok(match ran > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn head(id: u64, key: &str) -> String {
    format!(
        "GET /receipt/{id} HTTP/1.1\r\nHost: {HOST}\r\n\
         Lupinseam-Attempt-Id: {id:016x}\r\nLupinseam-Deadline-Ms: 1500\r\n\
         Api-Key: {key}\r\nConnection: close\r\n\r\n"
    )
}

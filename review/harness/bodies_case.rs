//! Callers send large bodies at the same time, within the limit of the
//! configuration. As the platform does, this ends a VM's process that takes
//! more memory than it has, and starts it again.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::read_answer,
    site::{ONCE, PLAIN, Record, Site},
};

/// The memory of a VM of the site.
const MEMORY_MB: u64 = 110;

/// Size of a body: as large as the configuration allows.
const BODY_BYTES: usize = 4 << 20;

/// The VMs whose callers send large bodies, and the callers of each.
const VMS: usize = 2;
const CALLERS: usize = 40;

/// Ends of processes on each of two VMs from which the rule is broken.
const MAX_ENDS: usize = 3;

const WORK: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_secs(40);

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::new(folder)?;
    site.configure(1, &[ONCE]);
    for number in 0..4 {
        let replica = site.start_replica(&format!("i-p{number}"), WORK);
        site.register(&replica, PLAIN, "ready");
    }
    site.start()?;
    thread::sleep(Duration::from_secs(5));
    let callers = if has_trouble { CALLERS } else { 1 };
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let is_over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for vm in 0..VMS {
        for _ in 0..callers {
            let (body, is_over) = (body.clone(), is_over.clone());
            let answered = answered.clone();
            let record = site.record.clone();
            let address = site.vms[vm].callers;
            clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let status = send(&record, address, &body);
                    if status == Some(200) {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            }));
        }
    }
    let mut ends = [0; VMS];
    let began_at = Instant::now();
    while began_at.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(20));
        for (number, ends) in ends.iter_mut().enumerate() {
            let vm = &mut site.vms[number];
            let memory_mb = vm.memory_mb();
            if memory_mb <= MEMORY_MB {
                continue;
            }
            *ends += 1;
            site.record.line(&format!(
                "{} takes {memory_mb} MB and is ended",
                vm.name
            ));
            vm.kill();
            thread::sleep(Duration::from_millis(500));
            vm.start();
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    site.record.line(&format!(
        "ends of processes: {ends:?}; {} requests were answered with 200",
        answered.load(Ordering::Relaxed)
    ));
    if answered.load(Ordering::Relaxed) == 0 {
        return Err("nothing was answered".to_owned());
    }
    Ok(ends.iter().all(|ends| *ends >= MAX_ENDS))
}

/// Sends a request with a large body; returns the status of a whole answer.
fn send(record: &Record, address: SocketAddr, body: &[u8]) -> Option<u16> {
    let (id, text) = Site::request_text(ONCE, "Connection: close\r\n");
    let length = format!("Content-Length: {}\r\n", body.len());
    let text = text.replace("Content-Length: 0\r\n", &length);
    let limit = Duration::from_secs(3);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let answer = read_answer(&mut BufReader::new(stream));
    let status = answer.map(|(status, _)| status);
    record.line(&format!("{id} answered {}", status.unwrap_or(0)));
    status
}

//! The configuration allows larger heads of requests while clients hold open
//! connections.

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use crate::{
    http,
    site::{CONFIG_APPLY, PLAIN, Site},
};

/// Connections that clients hold to each VM.
const CONNECTIONS: usize = 5;

/// `max_header_bytes` before and after the change.
const HEADER_BYTES: [usize; 2] = [16384, 32768];

/// Size of the header that makes a head larger than before, but not larger
/// than allowed.
const LARGE_HEADER_BYTES: usize = 20_000;

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::new(folder)?;
    site.configure_limits(1, &["read"], HEADER_BYTES[0]);
    for number in 0..4 {
        let id = format!("i-p{number}");
        let replica = site.start_replica(&id, Duration::from_millis(15));
        site.register(&replica, PLAIN, "ready");
    }
    site.start()?;
    thread::sleep(Duration::from_secs(5));

    let mut held = Vec::new();
    for vm in &site.vms {
        for _ in 0..CONNECTIONS {
            let stream = TcpStream::connect(vm.callers);
            let stream = stream.map_err(|e| e.to_string())?;
            held.push((vm.name.clone(), vm.callers, stream));
        }
    }
    let limit = Duration::from_secs(2);
    for (name, _, stream) in &mut held {
        stream.set_read_timeout(Some(limit)).map_err(|e| e.to_string())?;
        let (id, request) = Site::request_text("read", "");
        let status = send(stream, &request);
        site.record.line(&format!("{id} to {name}: {status}"));
        if status != 200 {
            return Err(format!("the first request got {status}"));
        }
    }
    if has_trouble {
        let bytes = HEADER_BYTES[1];
        let acknowledged = site.configure_limits(2, &["read"], bytes);
        let line = format!("configuration 2: max_header_bytes is {bytes}");
        site.record.line_at(acknowledged, &line);
    }
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    let size = match has_trouble {
        true => LARGE_HEADER_BYTES,
        false => HEADER_BYTES[0] / 2,
    };
    let more = format!("Lupinseam-Trace: {}\r\n", "a".repeat(size));
    let (mut sent, mut denied) = (held.len(), 0);
    for (name, callers, stream) in &mut held {
        let (id, request) = Site::request_text("read", &more);
        let status = send(stream, &request);
        site.record.line(&format!(
            "{id} to {name}, header of {size} bytes, open connection: {status}"
        ));
        denied += usize::from((300..500).contains(&status));
        let mut stream =
            TcpStream::connect(*callers).map_err(|e| e.to_string())?;
        stream.set_read_timeout(Some(limit)).map_err(|e| e.to_string())?;
        let (id, request) = Site::request_text("read", &more);
        let status = send(&mut stream, &request);
        site.record.line(&format!(
            "{id} to {name}, header of {size} bytes, new connection: {status}"
        ));
        denied += usize::from((300..500).contains(&status));
        sent += 2;
    }
    let allowed = 5 + sent / 500;
    let verdict = format!(
        "DENIED: of {sent} proper requests, {denied} were ended with a 4xx of \
         the router's own; allowed {allowed}"
    );
    site.record.line(&verdict);
    println!("{verdict}");
    Ok(denied > allowed)
}

/// Sends a request; returns the status, 0 without a whole answer.
fn send(stream: &mut TcpStream, request: &str) -> u16 {
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let Ok(copy) = stream.try_clone() else { return 0 };
    http::read_answer(&mut BufReader::new(copy))
        .map_or(0, |(status, _)| status)
}

//! A VM gets SIGTERM while a stream of it is preempted at its replica for
//! less than the pause that its caller accepts, and the only other replica is
//! full.

use std::{thread, time::Duration};

use crate::{
    site::Site,
    streams::{Size, StreamReplica, Streamed, read_stream},
};

/// The service and the model of the streams.
const SERVICE: &str = "redaction";
const MODEL: &str = "m0";

/// Bounds of the site: `grace_s`, and the end of the time in which a replica
/// that is still at work excuses a cut.
const GRACE: Duration = Duration::from_secs(8);
const LAST_SIXTH: Duration = Duration::from_millis(6667);

/// The VM that is stopped, and the one that serves the other clients.
const STOPPED: usize = 0;
const OTHER: usize = 3;

/// Memory of a replica in which all requests have room.
const AMPLE: u64 = 431_395;

/// Memory in which the urgent streams have room, but not for the whole time
/// beside the large one.
const SCARCE: u64 = 3 * (600 + 6 * URGENT_EVENTS) + 1060;

/// Events of an urgent stream.
const URGENT_EVENTS: u64 = 25;

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::new(folder)?;
    configure(&site);
    let full = Size { slots: 6, tokens: AMPLE };
    let full = StreamReplica::start("i-full", full, &site.record);
    full.register(&site, SERVICE, MODEL);
    site.start()?;
    thread::sleep(Duration::from_secs(11));

    // Six clients take the slots of the first replica for 6 s, and two more
    // the places of its queue.
    let mut clients = Vec::new();
    for _ in 0..6 {
        clients.push(client(&site, OTHER, "brief", 200, 60));
    }
    thread::sleep(Duration::from_millis(200));
    for _ in 0..2 {
        clients.push(client(&site, OTHER, "brief", 200, 5));
    }
    thread::sleep(Duration::from_millis(500));
    let tokens = if has_trouble { SCARCE } else { AMPLE };
    let second = Size { slots: 6, tokens };
    let second = StreamReplica::start("i-second", second, &site.record);
    second.register(&site, SERVICE, MODEL);
    thread::sleep(Duration::from_millis(1200));

    // Three urgent streams of 2.5 s, then a large one beside them.
    for _ in 0..3 {
        clients.push(client(&site, OTHER, "brief", 600, URGENT_EVENTS));
    }
    thread::sleep(Duration::from_millis(600));
    let large = client(&site, STOPPED, "dossier", 1200, 22);
    thread::sleep(Duration::from_millis(400));
    site.record.line("SIGTERM to the VM of the large stream");
    let stopped_at = std::time::Instant::now();
    site.vms[STOPPED].signal("TERM");

    let large = large.join().map_err(|_| "a client failed")?;
    let large = large.ok_or("no connection to the VM")?;
    site.vms[STOPPED].wait();
    for other in clients {
        let other = other.join().map_err(|_| "a client failed")?;
        let other = other.ok_or("no connection to a VM")?;
        if !other.is_whole || other.status != 200 {
            return Err("a stream of another VM was not served".to_owned());
        }
    }
    let cut_after = large.ended_at.saturating_duration_since(stopped_at);
    site.record.line(&format!(
        "the client of the large stream got {} with {} of 22 events, {}, \
         {:.1} s after the SIGTERM",
        large.status,
        large.ids.len(),
        if large.is_whole { "whole" } else { "cut" },
        cut_after.as_secs_f64(),
    ));
    if large.ended_at < stopped_at {
        return Err("the large stream ended before the SIGTERM".to_owned());
    }
    // Its deadline is far away, its replica did not break it off, and no
    // replica was at work on it in the last sixth of the grace.
    let is_counted = cut_after < LAST_SIXTH.min(GRACE);
    Ok(!large.is_whole && is_counted)
}

fn configure(site: &Site) {
    let route = |name: &str, timeout: u64, aim: u64, priority: u8| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"site.example\",\
             \"path_prefix\":\"/{name}/\",\"type\":\"streaming\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\
             \"priority\":{priority},\"service\":\"{SERVICE}\",\
             \"max_attempts\":3,\"public\":false,\"session_affinity\":true,\
             \"stream_resume\":true,\"itl_target_ms\":1200}}"
        )
    };
    let value = format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[\
         {{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":370,\"inference_engine\":{{\"capacity\":6,\
         \"kv_capacity_tokens\":431395,\
         \"models\":[{{\"name\":\"{MODEL}\",\"cost\":0.023}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"village\",\"api_keys\":[\"key-1\"]}}]}}",
        route("brief", 20_000, 1500, 0),
        route("dossier", 25_000, 3000, 1),
    );
    site.store.put("op/config", &value);
}

/// Starts a client that asks a VM for a stream of so many events.
fn client(
    site: &Site,
    vm: usize,
    route: &str,
    prompt: u64,
    events: u64,
) -> thread::JoinHandle<Option<Streamed>> {
    let (id, request) = stream_request(route, prompt, events);
    let (callers, name) = (site.vms[vm].callers, site.vms[vm].name.clone());
    let record = site.record.clone();
    record.line(&format!("{id} /{route}/ sent to {name}"));
    thread::spawn(move || {
        let limit = Duration::from_secs(25);
        let streamed = read_stream(callers, &request, limit)?;
        record.line(&format!(
            "{id} answered {}, {} events, {}, after {:.1} s",
            streamed.status,
            streamed.ids.len(),
            if streamed.is_whole { "whole" } else { "cut" },
            (streamed.ended_at - streamed.sent_at).as_secs_f64(),
        ));
        Some(streamed)
    })
}

/// Returns the id of a new request and its text.
fn stream_request(route: &str, prompt: u64, events: u64) -> (String, String) {
    let (id, _) = Site::request_text(route, "");
    let text = format!(
        "POST /{route}/{id}?events={events} HTTP/1.1\r\n\
         Host: site.example\r\nLupinseam-Attempt-Id: {id}\r\n\
         Lupinseam-Deadline-Ms: 20000\r\nApi-Key: key-1\r\n\
         Lupinseam-Model: {MODEL}\r\n\
         Lupinseam-Token-Count: {prompt},{}\r\n\
         Lupinseam-Prefix-Hash: {id}:{prompt}\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n",
        events * 6
    );
    (id, text)
}

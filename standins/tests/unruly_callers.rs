//! Checks that a gateway VM stays within the memory and the descriptors of its
//! settings, and serves other callers, while a crowd of callers sends it
//! bodies, heads and connections without end, or reads no answers.

use std::{
    path::PathBuf,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use serde_json::json;
use standins::{
    crowd::{self, Bounds, Form, ask_until_served},
    gateway_site::{
        KEY, MODELS, PLAIN, Site, SiteVm, configuration, request,
        stream_request, upstream_record, wait_until,
    },
    http_raw::{RawRequest, chunk},
    scripted::{Script, Step, Upstream, response_headers},
};

/// Time within which a revoked key must be rejected everywhere; long enough
/// that no test reaches it.
const REVOKE_MS: u64 = 30_000;

/// Memory in the VM's settings.
const MEMORY_MB: u32 = 64;

/// Descriptors in the VM's settings.
const MAX_OPEN_FILES: u32 = 1000;

/// Largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Callers that send bodies or read no answers: together they send twice the
/// memory of the VM.
const CALLERS: usize = 128;

/// Callers that only connect: more than the VM has descriptors for.
const CONNECTIONS: usize = 1200;

/// Size of an answer to a path that ends in `/large`.
const LARGE_ANSWER_BYTES: usize = 1 << 20;

/// Time for which the upstream waits before it answers a path that ends in
/// `/late`.
const LATE: Duration = Duration::from_millis(2500);

/// Pause between the bytes of a body that creeps.
const CREEP_PAUSE: Duration = Duration::from_millis(200);

static SITE_LOCK: Mutex<()> = Mutex::new(());

/// Serializes the tests: crowds side by side would slow each other down.
fn lock_site() -> MutexGuard<'static, ()> {
    SITE_LOCK.lock().unwrap_or_else(|failed| failed.into_inner())
}

/// Answers with the number of bytes that came, or with a large body.
fn script() -> Script {
    Box::new(|request: &RawRequest| {
        let body = match request.path.ends_with("/large") {
            true => "a".repeat(LARGE_ANSWER_BYTES),
            false => request.body.len().to_string(),
        };
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in response_headers(request, &[]) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let wait = match request.path.ends_with("/late") {
            true => LATE,
            false => Duration::ZERO,
        };
        head.push_str(&body);
        vec![Step::Wait(wait), Step::Send(head.into_bytes())]
    })
}

/// Streams events without end.
fn endless_events() -> Script {
    Box::new(|request: &RawRequest| {
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\nLupinseam-Confidence: 100\r\n",
        );
        for (name, value) in response_headers(request, &[]) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let event = chunk(&format!("data: {}\n\n", "a".repeat(4 << 10)));
        let events = Step::SendEndlessly(event, Duration::ZERO);
        vec![Step::Send(head.into_bytes()), events]
    })
}

fn start_site(upstream: &Upstream, model: &Upstream) -> Site {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_standins"));
    let mut site = Site::new(program, &["vm"], REVOKE_MS);
    site.memory_mb = MEMORY_MB;
    site.max_open_files = MAX_OPEN_FILES;
    let mut configuration = configuration(2);
    configuration["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    configuration["services"][0]["max_connections"] = json!(4000);
    for route in 0..2 {
        configuration["routes"][route]["timeout_ms"] = json!(10_000);
    }
    site.store.put("op/config", &configuration);
    for (upstream, service) in [(upstream, PLAIN), (model, MODELS)] {
        let address = upstream.address;
        let mut record = upstream_record(address, service, "v1", "ready");
        record["capacity"] = json!(1000);
        site.store.put(&format!("servers/{}", upstream.id), &record);
    }
    site.start_vm();
    wait_until("the VM has read the upstreams' records", || {
        site.vms[0].lines("E043").len() >= 2
    });
    site
}

/// Returns the head of a request with these lines.
fn head(path: &str, more: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\n\
         Lupinseam-Attempt-Id: r-crowd\r\nLupinseam-Deadline-Ms: 10000\r\n\
         Api-Key: {KEY}\r\n{more}\r\n"
    )
    .into_bytes()
}

fn with_length(length: u64, sent: usize) -> Form {
    Form::new(
        head("/once/x", &format!("Content-Length: {length}\r\n")),
        "a",
        sent,
    )
}

fn in_chunks(chunk_bytes: usize, repetitions: usize) -> Form {
    let start = head("/once/x", "Transfer-Encoding: chunked\r\n");
    Form::new(start, chunk(&"a".repeat(chunk_bytes)), repetitions)
}

/// Checks that an ordinary request and the largest one allowed are served.
fn assert_others_served(vm: &SiteVm, when: &str) {
    let small = request("GET", "/read/x", "r-small", "");
    let reply = ask_until_served(vm.callers, small.as_bytes());
    assert_eq!(reply.status, 200, "an ordinary request {when}: {reply:?}");
    let length = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
    let mut large =
        request("POST", "/read/x", "r-large", &length).into_bytes();
    large.resize(large.len() + MAX_BODY_BYTES, b'a');
    let reply = ask_until_served(vm.callers, &large);
    assert_eq!(reply.status, 200, "a large request {when}: {reply:?}");
    assert_eq!(reply.body, MAX_BODY_BYTES.to_string());
}

/// Lets a crowd loose on a VM, and checks what the VM holds and that others
/// are served, while the crowd is there and afterwards.
fn assert_bounded(callers: usize, form: &Form) {
    let _guard = lock_site();
    let upstream = Upstream::start("i-1", script());
    let model = Upstream::start("m-1", endless_events());
    let mut site = start_site(&upstream, &model);
    let vm = &site.vms[0];
    let (id, address) = (vm.process_id(), vm.callers);
    let bounds = Bounds {
        memory_bytes: u64::from(MEMORY_MB) << 20,
        descriptors: u64::from(MAX_OPEN_FILES),
    };
    let others = |when: &str| assert_others_served(vm, when);
    crowd::assert_bounded(id, address, callers, form, bounds, &others);
    assert!(!site.vms[0].has_ended());
    assert_eq!(site.vms[0].process_id(), id);
}

#[test]
fn bodies_with_a_length_that_stop_short() {
    let form = with_length(MAX_BODY_BYTES as u64, MAX_BODY_BYTES - 1);
    assert_bounded(CALLERS, &form);
}

#[test]
fn bodies_that_creep() {
    let slow_bytes = 1000;
    let length = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
    let mut start = head("/once/x", &length);
    start.resize(start.len() + MAX_BODY_BYTES - slow_bytes, b'a');
    let mut form = Form::new(start, "a", slow_bytes);
    form.pause = CREEP_PAUSE;
    assert_bounded(CALLERS, &form);
}

#[test]
fn large_chunks_that_stop_short() {
    let chunk_bytes = 64 << 10;
    let form = in_chunks(chunk_bytes, MAX_BODY_BYTES / chunk_bytes - 1);
    assert_bounded(CALLERS, &form);
}

#[test]
fn chunks_of_one_byte_that_stop_short() {
    assert_bounded(CALLERS, &in_chunks(1, MAX_BODY_BYTES / 4));
}

#[test]
fn bodies_over_the_limit_that_are_announced() {
    assert_bounded(CALLERS, &with_length(1 << 30, 8 * MAX_BODY_BYTES));
}

#[test]
fn bodies_over_the_limit_in_chunks() {
    let chunk_bytes = 64 << 10;
    let form = in_chunks(chunk_bytes, 8 * MAX_BODY_BYTES / chunk_bytes);
    assert_bounded(CALLERS, &form);
}

#[test]
fn whole_bodies_that_wait_for_their_answers() {
    let length = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
    let form = Form::new(head("/read/late", &length), "a", MAX_BODY_BYTES);
    assert_bounded(CALLERS, &form);
}

#[test]
fn requests_behind_one_that_waits_for_its_answer() {
    let length = format!("Content-Length: {}\r\n", 8 << 10);
    let mut rest = head("/read/late", &length);
    rest.resize(rest.len() + (8 << 10), b'a');
    let form = Form::new("", rest, 128);
    assert_bounded(CALLERS, &form);
}

#[test]
fn answers_that_are_not_read() {
    let rest = head("/read/large", "Content-Length: 0\r\n");
    let mut form = Form::new("", rest, 8);
    form.reads = false;
    assert_bounded(CALLERS, &form);
}

#[test]
fn streams_that_are_not_read() {
    let rest = stream_request("/tell/x", "r-crowd").into_bytes();
    let mut form = Form::new("", rest, 1);
    form.reads = false;
    assert_bounded(CALLERS, &form);
}

#[test]
fn connections_without_a_request() {
    let form = Form::new("POST /once/x HTTP/1.1\r\nHost: site", "", 0);
    assert_bounded(CONNECTIONS, &form);
}

#[test]
fn heads_that_stop_short() {
    let form = Form::new("POST /once/x HTTP/1.1\r\nX-Long: ", "a", 15 << 10);
    assert_bounded(CONNECTIONS, &form);
}

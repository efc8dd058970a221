//! Checks that a VM of `serve` stays within the memory and the descriptors of
//! its settings, and serves other callers, while a crowd of callers sends it
//! bodies, heads and connections without end.

mod common;

use std::{net::SocketAddr, time::Duration};

use standins::{
    crowd::{self, Bounds, Form, ask_until_served},
    documents::bearer_key,
    fleet::{Fleet, FleetPlan},
    http_raw::chunk,
    site,
    traffic::{ONCE_SERVICES, ORGANISATIONS, READ_SERVICE},
};

/// Memory in the VM's settings.
const MEMORY_MB: u32 = 64;

/// Descriptors in the VM's settings.
const MAX_OPEN_FILES: u32 = 1000;

/// Largest body that the VM's settings allow.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Callers that send bodies: together they send twice the memory of the VM.
const CALLERS: usize = 128;

/// Callers that only connect: more than the VM has descriptors for.
const CONNECTIONS: usize = 1200;

/// Time that the services take to answer.
const SERVICE_LATENCY_MS: u64 = 500;

/// Pause between the bytes of a body that creeps.
const CREEP_PAUSE: Duration = Duration::from_millis(200);

fn plan() -> FleetPlan {
    let mut plan = site::plan(&["hall-a"], 1, 1);
    for service in &mut plan.services {
        service.latency_ms = SERVICE_LATENCY_MS;
    }
    plan.without_records = true;
    plan.with_setting("vm", "memory_mb", &MEMORY_MB.to_string())
        .with_setting("vm", "max_open_files", &MAX_OPEN_FILES.to_string())
        .with_setting(
            "requests",
            "body_limit_bytes",
            &MAX_BODY_BYTES.to_string(),
        )
}

/// Returns the head of a request with these lines.
fn head(path: &str, more: &str) -> Vec<u8> {
    let key = bearer_key(ORGANISATIONS[0]);
    format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\n\
         Authorization: Bearer {key}\r\n{more}\r\n"
    )
    .into_bytes()
}

fn service_path() -> String {
    format!("/services/{}/x", ONCE_SERVICES[0])
}

fn with_length(length: u64, sent: usize) -> Form {
    let lines = format!("Content-Length: {length}\r\n");
    Form::new(head(&service_path(), &lines), "a", sent)
}

fn in_chunks(chunk_bytes: usize, repetitions: usize) -> Form {
    let start = head(&service_path(), "Transfer-Encoding: chunked\r\n");
    Form::new(start, chunk(&"a".repeat(chunk_bytes)), repetitions)
}

/// Checks that an ordinary request and the largest one allowed are served.
fn assert_others_served(callers: SocketAddr, when: &str) {
    let path = format!("/services/{READ_SERVICE}/x");
    let lines = "Connection: close\r\nContent-Length: 0\r\n";
    let reply = ask_until_served(callers, &head(&path, lines));
    assert_eq!(reply.status, 200, "an ordinary request {when}: {reply:?}");
    let lines =
        format!("Connection: close\r\nContent-Length: {MAX_BODY_BYTES}\r\n");
    let mut large = head(&path, &lines);
    large.resize(large.len() + MAX_BODY_BYTES, b'a');
    let reply = ask_until_served(callers, &large);
    assert_eq!(reply.status, 200, "a large request {when}: {reply:?}");
    let received = format!("\"received_bytes\":{MAX_BODY_BYTES}");
    assert!(reply.body.contains(&received), "{reply:?}");
}

/// Lets a crowd loose on a VM, and checks what the VM holds and that others
/// are served, while the crowd is there and afterwards.
fn assert_bounded(callers: usize, form: &Form) {
    let form = form.clone();
    common::run(async move {
        let fleet = Fleet::start(plan()).await.expect("the fleet starts");
        site::configure(&fleet).await.expect("the fleet is configured");
        check(fleet, callers, &form);
    });
}

fn check(mut fleet: Fleet, callers: usize, form: &Form) {
    let vm = fleet.vms.values_mut().next().expect("a VM");
    let address = vm.callers;
    let process = vm.process.as_mut().expect("a running VM");
    let id = process.id();
    let bounds = Bounds {
        memory_bytes: u64::from(MEMORY_MB) << 20,
        descriptors: u64::from(MAX_OPEN_FILES),
    };
    let others = |when: &str| assert_others_served(address, when);
    crowd::assert_bounded(id, address, callers, form, bounds, &others);
}

#[test]
fn serve_bodies_with_a_length_that_stop_short() {
    let form = with_length(MAX_BODY_BYTES as u64, MAX_BODY_BYTES - 1);
    assert_bounded(CALLERS, &form);
}

#[test]
fn serve_bodies_that_creep() {
    let slow_bytes = 1000;
    let lines = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
    let mut start = head(&service_path(), &lines);
    start.resize(start.len() + MAX_BODY_BYTES - slow_bytes, b'a');
    let mut form = Form::new(start, "a", slow_bytes);
    form.pause = CREEP_PAUSE;
    assert_bounded(CALLERS, &form);
}

#[test]
fn serve_large_chunks_that_stop_short() {
    let chunk_bytes = 64 << 10;
    let form = in_chunks(chunk_bytes, MAX_BODY_BYTES / chunk_bytes - 1);
    assert_bounded(CALLERS, &form);
}

#[test]
fn serve_chunks_of_one_byte_that_stop_short() {
    assert_bounded(CALLERS, &in_chunks(1, MAX_BODY_BYTES / 4));
}

#[test]
fn serve_bodies_over_the_limit_that_are_announced() {
    assert_bounded(CALLERS, &with_length(8 << 20, 7 << 20));
}

#[test]
fn serve_bodies_over_the_limit_in_chunks() {
    let chunk_bytes = 64 << 10;
    let form = in_chunks(chunk_bytes, 8 * MAX_BODY_BYTES / chunk_bytes);
    assert_bounded(CALLERS, &form);
}

#[test]
fn serve_whole_bodies_that_wait_for_their_answers() {
    let form = with_length(MAX_BODY_BYTES as u64, MAX_BODY_BYTES);
    assert_bounded(CALLERS, &form);
}

#[test]
fn serve_chat_bodies_of_many_values() {
    let body_bytes = MAX_BODY_BYTES / 2;
    let first = "{\"model\":\"writer\",\"max_tokens\":2000,\
                 \"messages\":[{\"role\":\"user\",\"content\":\"a\"}],\
                 \"more\":[0";
    let last = "]}";
    let rest = ",0";
    let repetitions = (body_bytes - first.len() - last.len()) / rest.len();
    let length = first.len() + repetitions * rest.len() + last.len();
    let lines = format!("Content-Length: {length}\r\n");
    let mut start = head("/v1/chat/completions", &lines);
    start.extend_from_slice(first.as_bytes());
    start.extend_from_slice(rest.repeat(repetitions).as_bytes());
    let rest = last.as_bytes().to_vec();
    let form = Form::new(start, rest, 1);
    assert_bounded(CALLERS, &form);
}

#[test]
fn serve_connections_without_a_request() {
    let form = Form::new("POST /x HTTP/1.1\r\nHost: site", "", 0);
    assert_bounded(CONNECTIONS, &form);
}

#[test]
fn serve_heads_that_stop_short() {
    let form = Form::new("POST /x HTTP/1.1\r\nX-Long: ", "a", 60 << 10);
    assert_bounded(CONNECTIONS, &form);
}

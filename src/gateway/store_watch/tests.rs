//! What a VM learns from a store that has lost its history.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    thread,
};

use data_encoding::BASE64;
use serde_json::Value;

use super::*;
use crate::{
    clock::SystemClock,
    gateway::{settings::GatewaySettings, tests::MINIMAL_SETTINGS},
    id::UpstreamId,
};

/// An upstream's record.
fn upstream(state: &str) -> Value {
    json!({
        "service": "portal", "address": "127.0.0.1:9", "zone": "hall-a",
        "version": "v1", "capacity": 8, "state": state,
        "warmup_left_ms": 0, "sequence": 1,
    })
}

fn item(key: &str, document: &Value, version: u64) -> Value {
    let value = BASE64.encode(document.to_string().as_bytes());
    json!({"key_file": key, "value": value, "revision": version})
}

/// Starts a store that answers each call by its path; returns the settings of
/// a VM that uses it.
fn start_store(
    answer: impl Fn(&str) -> (u16, Value) + Send + 'static,
) -> GatewaySettings {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut lines = BufReader::new(&stream).lines();
            let Some(Ok(request)) = lines.next() else { continue };
            while lines
                .next()
                .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
            {
            }
            let path = request.split(' ').nth(1).unwrap_or("").to_owned();
            let (status, body) = answer(&path);
            let body = body.to_string();
            // Fails only if the VM has given up.
            let _ = write!(
                &stream,
                "HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\
                 connection: close\r\n\r\n{body}",
                body.len()
            );
        }
    });
    let settings = MINIMAL_SETTINGS.replace("127.0.0.1:5", &address);
    GatewaySettings::from_ini(&settings).unwrap()
}

/// A VM that renews its proof must not take its whole copy for current when it
/// has read the configuration alone.
#[test]
fn a_vm_learns_what_has_changed_in_a_history_that_is_lost() {
    let configuration = json!({
        "version": 1, "routes": [], "services": [], "limits": {},
    });
    let settings = start_store(move |path| {
        let configuration = item("op/config", &configuration, 1);
        let upstream = item("servers/i-1", &upstream("draining"), 7);
        match path.split('?').next() {
            Some("/lupinseam/kv-watch") => (410, json!({})),
            Some("/lupinseam/kv-key") => (200, configuration),
            _ => {
                let entries = [configuration, upstream];
                (200, json!({"entries": entries, "timestamp": 9}))
            }
        }
    });
    let gateway = Gateway::new(settings, Arc::new(SystemClock));
    let id: UpstreamId = "i-1".parse().unwrap();
    task::block_on(revalidate(&gateway)).unwrap();
    let now = gateway.clock.now();
    assert!(gateway.knowledge.proof_age(now).is_some());
    let member = gateway.pool.member(&id).expect("the upstream is known");
    assert!(!member.takes_requests(now));
}

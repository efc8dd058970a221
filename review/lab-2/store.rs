//! A stand-in for the platform's store.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, answer, Request},
    json,
};

#[derive(Default)]
struct Content {
    /// Value in Base64 and revision of each key.
    items: BTreeMap<String, (String, u64)>,
    /// Key, value (`None` if it was removed) and revision of each change.
    events: Vec<(String, Option<String>, u64)>,
    revision: u64,
    next_lease: u64,
    is_silent: bool,
    /// How often the store has come back from an older copy.
    era: u64,
}

/// What the store held at a moment, for it to come back from.
pub struct Copy {
    items: BTreeMap<String, (String, u64)>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start() -> Result<Store, String> {
        let content: Arc<(Mutex<Content>, Condvar)> = Arc::default();
        let served = content.clone();
        let address = http::serve("127.0.0.1:0", move |request, stream| {
            respond(&served, &request, stream)
        });
        let address = address.map_err(|error| error.to_string())?;
        Ok(Store { address, content })
    }

    /// Writes a document, as the operator or a replica does.
    pub fn put(&self, key: &str, document: &str) {
        let mut content = self.content.0.lock().unwrap();
        content.write(key, Some(base64(document.as_bytes())));
        self.content.1.notify_all();
    }

    /// Returns a copy without what was written under a lease: the records of
    /// VMs.
    pub fn copy(&self) -> Copy {
        let content = self.content.0.lock().unwrap();
        let mut items = content.items.clone();
        items.retain(|key, _| !key.starts_with("lupinseam/"));
        Copy { items, revision: content.revision }
    }

    /// Has the store come back from a copy, in a new era.
    pub fn restore(&self, copy: Copy) {
        let mut content = self.content.0.lock().unwrap();
        content.items = copy.items;
        content.revision = copy.revision;
        content.events.retain(|(_, _, at)| *at <= copy.revision);
        content.era += 1;
        self.content.1.notify_all();
    }

    /// Sets whether the store answers nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.content.0.lock().unwrap().is_silent = is_silent;
        self.content.1.notify_all();
    }
}

impl Content {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        match &value {
            Some(value) => {
                let item = (value.clone(), self.revision);
                self.items.insert(key.to_owned(), item);
            }
            None => {
                self.items.remove(key);
            }
        }
        self.events.push((key.to_owned(), value, self.revision));
    }
}

fn respond(
    content: &(Mutex<Content>, Condvar),
    request: &Request,
    stream: &mut TcpStream,
) -> bool {
    if content.0.lock().unwrap().is_silent {
        // A connection on which an answer is lost says nothing further.
        thread::sleep(Duration::from_secs(60));
        return false;
    }
    let (path, query) =
        request.path.split_once('?').unwrap_or((&request.path, ""));
    let (status, body) = match path {
        "/lupinseam/kv-key" => key(content, query),
        "/lupinseam/kv-range" => range(content, query),
        "/lupinseam/kv-watch" => watch(content, query),
        "/lupinseam/kv-txn" => transact(content, request),
        "/lupinseam/kv-lease" => {
            let mut content = content.0.lock().unwrap();
            content.next_lease += 1;
            let lease = content.next_lease;
            (200, format!(r#"{{"lease_id":{lease},"ttl_ms":600000}}"#))
        }
        path if path.starts_with("/lupinseam/kv-keep/") => {
            (200, r#"{"ttl_ms":600000}"#.to_owned())
        }
        _ => (404, "{}".to_owned()),
    };
    if content.0.lock().unwrap().is_silent {
        thread::sleep(Duration::from_secs(60));
        return false;
    }
    let era = content.0.lock().unwrap().era.to_string();
    let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
    stream.write_all(&answer(status, &headers, &body)).is_ok()
}

fn key(content: &(Mutex<Content>, Condvar), query: &str) -> (u16, String) {
    let content = content.0.lock().unwrap();
    let key = parameter(query, "key_file");
    match content.items.get(&key) {
        None => (404, "{}".to_owned()),
        Some((value, revision)) => (200, item(&key, Some(value), *revision)),
    }
}

fn range(content: &(Mutex<Content>, Condvar), query: &str) -> (u16, String) {
    let content = content.0.lock().unwrap();
    let prefix = parameter(query, "path_prefix");
    let after = parameter(query, "since_revision");
    let found = content.items.iter().filter(|(key, _)| {
        key.starts_with(&prefix) && (after.is_empty() || **key > after)
    });
    let found: Vec<String> = found
        .map(|(key, (value, revision))| item(key, Some(value), *revision))
        .collect();
    let body = format!(
        r#"{{"entries":[{}],"has_more":false,"timestamp":{}}}"#,
        found.join(","),
        content.revision
    );
    (200, body)
}

fn watch(content: &(Mutex<Content>, Condvar), query: &str) -> (u16, String) {
    let since: u64 = parameter(query, "since_revision").parse().unwrap_or(0);
    let wait_ms = parameter(query, "wait_ms").parse().unwrap_or(0);
    let prefix = parameter(query, "path_prefix");
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let (lock, changed) = content;
    let mut content = lock.lock().unwrap();
    loop {
        // After a return from an older copy.
        if since > content.revision {
            return (410, "{}".to_owned());
        }
        let events: Vec<String> = content
            .events
            .iter()
            .filter(|(key, _, at)| *at > since && key.starts_with(&prefix))
            .map(|(key, value, at)| item(key, value.as_deref(), *at))
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let body = format!(
                r#"{{"events":[{}],"timestamp":{}}}"#,
                events.join(","),
                content.revision
            );
            return (200, body);
        }
        content = changed.wait_timeout(content, left).unwrap().0;
    }
}

fn transact(
    content: &(Mutex<Content>, Condvar),
    request: &Request,
) -> (u16, String) {
    let text = String::from_utf8_lossy(&request.body);
    let Some(body) = json::parse(&text) else {
        return (400, "{}".to_owned());
    };
    let (lock, changed) = content;
    let mut content = lock.lock().unwrap();
    let holds = body.get("expected_revision").list().iter().all(|row| {
        let current = content.items.get(row.get("key_file").text());
        row.get("revision").number() == current.map_or(0, |(_, at)| *at)
    });
    if !holds {
        return (412, r#"{"entries":[]}"#.to_owned());
    }
    for row in body.get("write").list() {
        let value = row.get("value").text().to_owned();
        content.write(row.get("key_file").text(), Some(value));
    }
    for key in body.get("remove").list() {
        content.write(key.text(), None);
    }
    changed.notify_all();
    (200, format!(r#"{{"revision":{}}}"#, content.revision))
}

fn item(key: &str, value: Option<&str>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            r#"{{"key_file":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease_id":0}}"#
        ),
        None => format!(
            r#"{{"key_file":"{key}","revision":{revision},"deleted":true}}"#
        ),
    }
}

/// Returns a parameter of a query, decoded; empty if there is none.
fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next();
    let bytes = found.unwrap_or("").as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for sign in 0..4 {
            let index = (bits >> (18 - 6 * sign)) & 63;
            match sign <= part.len() {
                true => text.push(SIGNS[index as usize].into()),
                false => text.push('='),
            }
        }
    }
    text
}

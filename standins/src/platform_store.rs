//! Stand-in for the platform's key-value store: the calls that a VM makes, and
//! injected faults.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use data_encoding::BASE64;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use crate::http_raw::{RawRequest, answer, read_request};

/// Maximum entries of one transaction, conditions and writes together.
const MAX_TRANSACTION_ENTRIES: usize = 32;

/// Extra latency of each call in [`StoreMode::Slow`].
pub const SLOW_TIME: Duration = Duration::from_millis(150);

/// How the store responds to calls: normally or with an injected fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers every call.
    #[default]
    Normal,
    /// Closes every connection without a response.
    Resetting,
    /// Answers every call with 503.
    Busy,
    /// Keeps each connection open for a minute without responding.
    Silent,
    /// Applies transactions and closes the connection without a response.
    LosingAnswers,
    /// Answers watches with 410, as when the watched history was compacted.
    Forgetful,
    /// Delays every response by [`SLOW_TIME`].
    Slow,
}

/// A document under a key.
#[derive(Clone)]
struct Item {
    text: String,
    version: u64,
    /// Whether it was written under a lease.
    is_leased: bool,
}

/// A copy of the store's documents, from which it may come back.
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    version: u64,
}

#[derive(Default)]
struct Content {
    items: BTreeMap<String, Item>,
    /// What operators and upstreams have written last under each key; `None`
    /// if they removed it.
    written: BTreeMap<String, Option<String>>,
    /// A field of the items with these versions that does not hold what the
    /// store states, and what it holds.
    odd_fields: BTreeMap<u64, (&'static str, Value)>,
    /// Key, document (`None` when deleted) and version of each change.
    events: Vec<(String, Option<String>, u64)>,
    version: u64,
    /// How often the store has come back from an older copy.
    era: u64,
    mode: StoreMode,
    calls: Vec<String>,
    /// A follower that is behind, which answers some stale reads.
    late_follower: Option<StoreCopy>,
}

/// An address of a running store; clones share the address.
#[derive(Clone)]
pub struct PlatformStore {
    /// The address on which it listens.
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
    is_rejecting: Arc<AtomicBool>,
    /// Number of watches that were asked for at this address.
    watches: Arc<AtomicUsize>,
}

impl PlatformStore {
    /// Starts an empty store on an ephemeral port of the loopback address.
    ///
    /// # Panics
    ///
    /// When no port can be bound.
    pub fn start() -> PlatformStore {
        PlatformStore::open(Arc::default())
    }

    /// Opens another address of the same store, with its own
    /// [`PlatformStore::reject`].
    ///
    /// # Panics
    ///
    /// When no port can be bound.
    pub fn second_endpoint(&self) -> PlatformStore {
        PlatformStore::open(self.content.clone())
    }

    fn open(content: Arc<(Mutex<Content>, Condvar)>) -> PlatformStore {
        let listener = TcpListener::bind("127.0.0.1:0")
            .expect("a loopback port can be bound");
        let address =
            listener.local_addr().expect("a bound listener has an address");
        let store = PlatformStore {
            address,
            content,
            is_rejecting: Arc::default(),
            watches: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(&stream));
            }
        });
        store
    }

    /// Writes a document, as an operator or an upstream would.
    pub fn put(&self, key: &str, document: &Value) {
        let mut content = self.content.0.lock().unwrap();
        content.write_outside(key, Some(document.to_string()));
        self.content.1.notify_all();
    }

    /// Writes a malformed document whose item in addition holds this value in
    /// a field, such as a `value` that is not Base64.
    pub fn put_odd(&self, key: &str, field: &'static str, value: Value) {
        let mut content = self.content.0.lock().unwrap();
        content.write_outside(key, Some("[]".to_owned()));
        let version = content.version;
        content.odd_fields.insert(version, (field, value));
        self.content.1.notify_all();
    }

    /// Removes a document.
    pub fn remove(&self, key: &str) {
        let mut content = self.content.0.lock().unwrap();
        content.write_outside(key, None);
        self.content.1.notify_all();
    }

    /// Returns the document of a key; `None` when there is none.
    pub fn get(&self, key: &str) -> Option<Value> {
        let content = self.content.0.lock().unwrap();
        let item = content.items.get(key)?;
        serde_json::from_str(&item.text).ok()
    }

    /// Returns all keys that have a document.
    pub fn keys(&self) -> Vec<String> {
        self.content.0.lock().unwrap().items.keys().cloned().collect()
    }

    /// Returns a copy of the store as it is now.
    pub fn copy(&self) -> StoreCopy {
        let content = self.content.0.lock().unwrap();
        let (items, version) = (content.items.clone(), content.version);
        StoreCopy { items, version }
    }

    /// Has the store come back from a copy, in a new era. Later writes are
    /// lost, and so are all leases; versions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut content = self.content.0.lock().unwrap();
        let kept = copy.items.iter().filter(|(_, item)| !item.is_leased);
        content.items =
            kept.map(|(key, item)| (key.clone(), item.clone())).collect();
        content.version = copy.version;
        content.odd_fields.retain(|version, _| *version <= copy.version);
        content.events.retain(|(_, _, version)| *version <= copy.version);
        content.era += 1;
        self.content.1.notify_all();
    }

    /// Has operators and upstreams write again what the store has lost.
    pub fn write_again(&self) {
        let mut content = self.content.0.lock().unwrap();
        let lost: Vec<(String, Option<String>)> = content
            .written
            .iter()
            .filter(|(key, text)| {
                let kept = content.items.get(*key).map(|item| &item.text);
                kept != text.as_ref()
            })
            .map(|(key, text)| (key.clone(), text.clone()))
            .collect();
        for (key, text) in lost {
            content.write(&key, text, false);
        }
        self.content.1.notify_all();
    }

    /// Sets how the store responds to calls, at all its addresses.
    pub fn set_mode(&self, mode: StoreMode) {
        self.content.0.lock().unwrap().mode = mode;
        self.content.1.notify_all();
    }

    /// Has every page of a stale read but the first come from a follower that
    /// is behind and has this copy; `None` for none.
    pub fn set_late_follower(&self, copy: Option<StoreCopy>) {
        self.content.0.lock().unwrap().late_follower = copy;
    }

    /// Sets whether every call to this address is answered with 503.
    pub fn reject(&self, is_rejecting: bool) {
        self.is_rejecting.store(is_rejecting, Ordering::Relaxed);
        self.content.1.notify_all();
    }

    /// Returns how often this address was asked for changes.
    pub fn watches(&self) -> usize {
        self.watches.load(Ordering::Relaxed)
    }

    /// Returns the path and query of each call, in order of arrival.
    pub fn calls(&self) -> Vec<String> {
        self.content.0.lock().unwrap().calls.clone()
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut writer = stream;
        while let Ok(Some(request)) = read_request(&mut reader) {
            let response = match self.is_rejecting.load(Ordering::Relaxed) {
                true => Some(self.answer(503, "")),
                false => self.respond(&request),
            };
            let Some(bytes) = response else {
                // Fails only when the peer has closed the connection already.
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Returns the response, or `None` to close the connection without one.
    fn respond(&self, request: &RawRequest) -> Option<Vec<u8>> {
        let mode = {
            let mut content = self.content.0.lock().unwrap();
            content.calls.push(request.path.clone());
            content.mode
        };
        match mode {
            StoreMode::Resetting => return None,
            StoreMode::Busy => return Some(self.answer(503, "")),
            StoreMode::Silent => {
                thread::sleep(Duration::from_secs(60));
                return None;
            }
            StoreMode::Slow => thread::sleep(SLOW_TIME),
            _ => {}
        }
        let path = request.path.split('?').next().unwrap_or("");
        let (status, body) = match path {
            "/lupinseam/kv-key" => self.key(request),
            "/lupinseam/kv-range" => self.range(request),
            "/lupinseam/kv-watch" => {
                self.watches.fetch_add(1, Ordering::Relaxed);
                self.watch(request)
            }
            "/lupinseam/kv-txn" => self.transact(request),
            "/lupinseam/kv-lease" => {
                (200, json!({"lease_id": 7, "ttl_ms": 600_000}))
            }
            _ => (404, json!({})),
        };
        let is_write = path == "/lupinseam/kv-txn";
        if mode == StoreMode::LosingAnswers && is_write {
            return None;
        }
        Some(self.answer(status, &body.to_string()))
    }

    fn answer(&self, status: u16, body: &str) -> Vec<u8> {
        let era = self.content.0.lock().unwrap().era.to_string();
        let kind = ("content-type", "application/json");
        answer(status, &[kind, ("store-era", &era)], body)
    }

    fn key(&self, request: &RawRequest) -> (u16, Value) {
        let content = self.content.0.lock().unwrap();
        let key = parameter(request, "key_file");
        match content.items.get(&key) {
            None => (404, json!({"timestamp": content.version})),
            Some(Item { text, version, .. }) => {
                let mut item = content.item(&key, Some(text), *version);
                item["timestamp"] = content.version.into();
                (200, item)
            }
        }
    }

    fn range(&self, request: &RawRequest) -> (u16, Value) {
        // Small pages, so that tests cover the reading of a next page.
        const PAGE_ENTRIES: usize = 3;
        let content = self.content.0.lock().unwrap();
        let prefix = parameter(request, "path_prefix");
        let after = parameter(request, "since_revision");
        let is_stale = request.parameter("serializable") == "1";
        let follower = content.late_follower.as_ref();
        let follower = follower.filter(|_| is_stale && !after.is_empty());
        let (items, version) = match follower {
            Some(copy) => (&copy.items, copy.version),
            None => (&content.items, content.version),
        };
        let matching: Vec<_> = items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| **key > after)
            .collect();
        let entries: Vec<Value> = matching
            .iter()
            .take(PAGE_ENTRIES)
            .map(|(key, found)| {
                content.item(key, Some(&found.text), found.version)
            })
            .collect();
        let body = json!({
            "entries": entries,
            "has_more": matching.len() > PAGE_ENTRIES,
            "timestamp": version,
        });
        (200, body)
    }

    fn watch(&self, request: &RawRequest) -> (u16, Value) {
        let since: u64 =
            request.parameter("since_revision").parse().unwrap_or(0);
        let wait_ms = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.content.0.lock().unwrap();
        loop {
            if content.mode == StoreMode::Forgetful || since > content.version
            {
                return (410, json!({}));
            }
            let events: Vec<Value> = content
                .events
                .iter()
                .filter(|(_, _, version)| *version > since)
                .map(|(key, text, at)| content.item(key, text.as_ref(), *at))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body =
                    json!({"events": events, "timestamp": content.version});
                return (200, body);
            }
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, request: &RawRequest) -> (u16, Value) {
        let body: Value =
            serde_json::from_slice(&request.body).unwrap_or_default();
        let mut content = self.content.0.lock().unwrap();
        let rows =
            |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let names = ["expected_revision", "write", "remove"];
        let entries: usize = names.iter().map(|name| rows(name).len()).sum();
        if entries > MAX_TRANSACTION_ENTRIES {
            return (400, json!({}));
        }
        let holds = rows("expected_revision").iter().all(|row| {
            let key = row["key_file"].as_str().unwrap_or("");
            let current =
                content.items.get(key).map_or(0, |item| item.version);
            row["revision"] == current
        });
        if !holds {
            return (412, json!({"entries": []}));
        }
        for row in rows("write") {
            let key = row["key_file"].as_str().unwrap_or("").to_owned();
            let value = row["value"].as_str().unwrap_or("");
            let bytes = BASE64.decode(value.as_bytes()).unwrap_or_default();
            let text = String::from_utf8(bytes).unwrap_or_default();
            let is_leased = row["lease_id"].as_u64().unwrap_or(0) != 0;
            content.write(&key, Some(text), is_leased);
        }
        self.content.1.notify_all();
        (200, json!({"revision": content.version}))
    }
}

impl Content {
    /// Returns an item as answers hold it.
    fn item(&self, key: &str, text: Option<&String>, version: u64) -> Value {
        let mut item = item(key, text, version);
        if let Some((field, value)) = self.odd_fields.get(&version) {
            item[field] = value.clone();
        }
        item
    }

    /// Writes on behalf of an operator or an upstream.
    fn write_outside(&mut self, key: &str, text: Option<String>) {
        self.written.insert(key.to_owned(), text.clone());
        self.write(key, text, false);
    }

    /// Stores a document, or deletes it when `text` is `None`, under a new
    /// version.
    fn write(&mut self, key: &str, text: Option<String>, is_leased: bool) {
        self.version += 1;
        let version = self.version;
        match &text {
            Some(text) => {
                let item = Item { text: text.clone(), version, is_leased };
                self.items.insert(key.to_owned(), item);
            }
            None => {
                self.items.remove(key);
            }
        }
        self.events.push((key.to_owned(), text, version));
    }
}

/// Returns a parameter of the query, decoded; empty when absent.
fn parameter(request: &RawRequest, name: &str) -> String {
    let encoded = percent_decode_str(request.parameter(name));
    encoded.decode_utf8_lossy().into_owned()
}

fn item(key: &str, text: Option<&String>, version: u64) -> Value {
    match text {
        Some(text) => json!({
            "key_file": key,
            "value": BASE64.encode(text.as_bytes()),
            "revision": version,
            "created": version,
            "lease_id": 0,
        }),
        None => json!({"key_file": key, "revision": version, "deleted": true}),
    }
}

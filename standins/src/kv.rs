//! Stand-in for the key-value store: conditional writes, watches, rate limits
//! and injected faults.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use async_trait::async_trait;
use futures_lite::FutureExt;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};
use trillium::{Conn, Handler, KnownHeaderName, Method};

use crate::web;

/// Size of the largest value that a write may store, in bytes.
const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// Run the key-value service.
#[derive(FromArgs)]
#[argh(subcommand, name = "kv")]
pub struct Kv {
    /// port; 0 lets the kernel choose
    #[argh(option, default = "0")]
    port: u16,
    /// writes a second
    #[argh(option, default = "300.0")]
    writes_per_s: f64,
    /// reads a second, a waiting watch counted as one
    #[argh(option, default = "2000.0")]
    reads_per_s: f64,
}

/// Faults to inject into the store, set through `/admin/faults`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct KvFaults {
    /// Closes the connection of every call, which then has no effect.
    pub outage: bool,
    /// Extra latency of every call, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes, from 0 to 1, that take effect but whose response is
    /// lost.
    pub lost_answers: f64,
    /// How many of the next writes take effect but lose their response.
    pub lose_next: u32,
}

/// Number of calls received, to check the router's budget of store calls.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct KvCounts {
    /// Writes and deletions, rate-limited ones included.
    pub writes: u64,
    /// Reads, listings and watches, rate-limited ones included.
    pub reads: u64,
    /// Calls rejected with 429 by the rate limits.
    pub limited: u64,
}

#[derive(Clone)]
struct Value {
    version: u64,
    text: String,
}

#[derive(Default)]
struct Content {
    values: BTreeMap<String, Value>,
    last_version: u64,
    /// Wakes the reads that wait for a key to be created.
    watchers: BTreeMap<String, Vec<Sender<()>>>,
}

/// A token bucket that holds the tokens of one second.
struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(per_s: f64) -> TokenBucket {
        TokenBucket { per_s, tokens: per_s, refilled_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let passed = self.refilled_at.elapsed().as_secs_f64();
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + passed * self.per_s).min(self.per_s);
        let has_one = self.tokens >= 1.0;
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }
}

struct Service {
    content: Mutex<Content>,
    faults: Mutex<KvFaults>,
    writes: Mutex<TokenBucket>,
    reads: Mutex<TokenBucket>,
    write_count: AtomicU64,
    read_count: AtomicU64,
    limited_count: AtomicU64,
}

impl Kv {
    /// Serves until the process ends.
    pub fn run(self) {
        let service = Service {
            content: Mutex::default(),
            faults: Mutex::default(),
            writes: Mutex::new(TokenBucket::new(self.writes_per_s)),
            reads: Mutex::new(TokenBucket::new(self.reads_per_s)),
            write_count: AtomicU64::new(0),
            read_count: AtomicU64::new(0),
            limited_count: AtomicU64::new(0),
        };
        web::run(self.port, Shared(Arc::new(service)));
    }
}

struct Shared(Arc<Service>);

#[async_trait]
impl Handler for Shared {
    async fn run(&self, mut conn: Conn) -> Conn {
        let path = conn.path().to_owned();
        match path.as_str() {
            "/admin/faults" => {
                if let Some(faults) = web::read_json(&mut conn).await {
                    *self.0.faults.lock().unwrap() = faults;
                }
                return conn.ok("");
            }
            "/admin/counts" => {
                return web::json(conn, 200, &self.0.counts());
            }
            _ => {}
        }
        let faults = *self.0.faults.lock().unwrap();
        if faults.slow_ms > 0 {
            Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage {
            return web::abort_connection(conn);
        }
        match (conn.method(), path.strip_prefix("/kv/")) {
            (Method::Get, Some(key)) => self.0.get(conn, key).await,
            (Method::Put, Some(key)) => self.0.put(conn, key).await,
            (Method::Delete, Some(key)) => self.0.delete(conn, key),
            (Method::Get, None) if path == "/kv" => self.0.list(conn),
            _ => conn.with_status(404).halt(),
        }
    }
}

impl Service {
    fn counts(&self) -> KvCounts {
        KvCounts {
            writes: self.write_count.load(Ordering::Relaxed),
            reads: self.read_count.load(Ordering::Relaxed),
            limited: self.limited_count.load(Ordering::Relaxed),
        }
    }

    fn may_read(&self) -> bool {
        self.read_count.fetch_add(1, Ordering::Relaxed);
        let allowed = self.reads.lock().unwrap().take();
        self.count_limited(allowed)
    }

    fn may_write(&self) -> bool {
        self.write_count.fetch_add(1, Ordering::Relaxed);
        let allowed = self.writes.lock().unwrap().take();
        self.count_limited(allowed)
    }

    fn count_limited(&self, allowed: bool) -> bool {
        if !allowed {
            self.limited_count.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    async fn get(&self, conn: Conn, key: &str) -> Conn {
        if !self.may_read() {
            return conn.with_status(429).halt();
        }
        let limit = query_parameter(&conn, "wait_ms")
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis);
        if let Some(limit) = limit {
            self.wait_until_created(key, limit).await;
            if self.faults.lock().unwrap().outage {
                return web::abort_connection(conn);
            }
        }
        let value = self.content.lock().unwrap().values.get(key).cloned();
        match value {
            Some(value) => with_etag(conn, value.version)
                .with_status(200)
                .with_body(value.text)
                .halt(),
            None => conn.with_status(404).halt(),
        }
    }

    /// Waits until `key` exists, the limit has passed or an outage begins.
    async fn wait_until_created(&self, key: &str, limit: Duration) {
        let end = Instant::now() + limit;
        loop {
            let Some(changed) = self.watch(key) else { return };
            let woken = async { changed.recv().await.is_ok() };
            let timer = async {
                Timer::at(end).await;
                false
            };
            // Polls for an outage, which closes the connections of waiting
            // calls too.
            let poll = async {
                Timer::after(Duration::from_millis(100)).await;
                true
            };
            if !woken.or(timer).or(poll).await {
                return;
            }
            if self.faults.lock().unwrap().outage {
                return;
            }
        }
    }

    /// Returns a channel that is notified when `key` is created; `None` when
    /// it exists already.
    fn watch(&self, key: &str) -> Option<Receiver<()>> {
        let mut content = self.content.lock().unwrap();
        if content.values.contains_key(key) {
            return None;
        }
        let (sender, receiver) = bounded(1);
        let watchers = content.watchers.entry(key.to_owned()).or_default();
        watchers.retain(|sender| !sender.is_closed());
        watchers.push(sender);
        Some(receiver)
    }

    async fn put(&self, mut conn: Conn, key: &str) -> Conn {
        if !self.may_write() {
            return conn.with_status(429).halt();
        }
        let text = match web::body(&mut conn).await {
            Ok(bytes) if bytes.len() <= VALUE_LIMIT_BYTES => {
                String::from_utf8_lossy(&bytes).into_owned()
            }
            Ok(_) => return conn.with_status(413).halt(),
            Err(_) => return conn.with_status(400).halt(),
        };
        let expected = web::header(&conn, "if-match")
            .and_then(|tag| tag.trim_matches('"').parse::<u64>().ok());
        let must_be_new = web::header(&conn, "if-none-match").is_some();
        let written = {
            let mut content = self.content.lock().unwrap();
            content.put(key, text, expected, must_be_new)
        };
        if self.loses_response() {
            return web::abort_connection(conn);
        }
        match written {
            Some(version) => with_etag(conn, version).with_status(200).halt(),
            None => conn.with_status(412).halt(),
        }
    }

    /// Whether an injected fault drops the response of the current write.
    fn loses_response(&self) -> bool {
        let mut faults = self.faults.lock().unwrap();
        if faults.lose_next > 0 {
            faults.lose_next -= 1;
            return true;
        }
        let share = faults.lost_answers;
        share > 0.0 && rand::rng().random_bool(share.min(1.0))
    }

    fn delete(&self, conn: Conn, key: &str) -> Conn {
        if !self.may_write() {
            return conn.with_status(429).halt();
        }
        self.content.lock().unwrap().values.remove(key);
        conn.with_status(200).halt()
    }

    fn list(&self, conn: Conn) -> Conn {
        if !self.may_read() {
            return conn.with_status(429).halt();
        }
        let text = |name| query_parameter(&conn, name).unwrap_or_default();
        let prefix = text("prefix");
        let after = text("after");
        let limit = text("limit").parse().unwrap_or(256);
        let content = self.content.lock().unwrap();
        let from = Bound::Included(after.clone().max(prefix.clone()));
        let entries: Vec<serde_json::Value> = content
            .values
            .range((from, Bound::Unbounded))
            .filter(|(key, _)| **key > after)
            .take_while(|(key, _)| key.starts_with(&prefix))
            .take(limit)
            .map(|(key, value)| {
                json!({
                    "key": key,
                    "version": value.version,
                    "value": value.text,
                })
            })
            .collect();
        drop(content);
        web::json(conn, 200, &entries)
    }
}

impl Content {
    /// Returns the new version, or `None` when a condition does not hold.
    fn put(
        &mut self,
        key: &str,
        text: String,
        expected: Option<u64>,
        must_be_new: bool,
    ) -> Option<u64> {
        let current = self.values.get(key).map(|value| value.version);
        let conflicts = (must_be_new && current.is_some())
            || (expected.is_some() && expected != current);
        if conflicts {
            return None;
        }
        self.last_version += 1;
        let version = self.last_version;
        self.values.insert(key.to_owned(), Value { version, text });
        for watcher in self.watchers.remove(key).unwrap_or_default() {
            let _ = watcher.try_send(());
        }
        Some(version)
    }
}

fn with_etag(conn: Conn, version: u64) -> Conn {
    conn.with_response_header(KnownHeaderName::Etag, format!("\"{version}\""))
}

fn query_parameter(conn: &Conn, name: &str) -> Option<String> {
    conn.querystring().split('&').find_map(|pair| {
        let (found, value) = pair.split_once('=')?;
        (found == name).then(|| value.to_owned())
    })
}

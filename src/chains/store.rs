//! The client of the platform's key-value service, behind the trait [`Store`].
//!
//! Everything that VMs must agree on or persist goes through it. Its error
//! type separates calls that had no effect from calls whose outcome is
//! unknown; after the latter the caller reads back before it decides.
//!
//! Values are JSON text, so that an operator can read them with `curl`. The
//! HTTP protocol is described in `docs/PLATFORM.md`.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    clock::SharedClock,
    http_client::{Call, FullResponse, HttpClient, SendError},
    settings::StoreSettings,
    task,
    token_bucket::TokenBucket,
};

/// Maximum size of a value that the service accepts, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// Maximum size of a response that is read from the service, in bytes; a
/// listing holds several values.
const ANSWER_LIMIT_BYTES: u64 = 64 << 20;

/// Maximum number of entries in one page of a listing.
const LIST_LIMIT: usize = 256;

/// Time added to the limit of a watch before its response counts as lost.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Maximum time that a call waits for this VM's own rate limit, as a multiple
/// of the call deadline. Waiting longer would hide that the call budget is
/// exceeded.
const MAX_WAIT_IN_DEADLINES: u32 = 4;

/// The version that the service assigns to a value. It grows with each write.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct StoreVersion(pub u64);

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A value and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The version of the value.
    pub version: StoreVersion,
    /// The value as JSON text.
    pub value: String,
}

/// One entry of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StoreEntry {
    /// The whole key, prefix included.
    pub key: String,
    /// The version of the value.
    pub version: StoreVersion,
    /// The value as JSON text.
    pub value: String,
}

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value was written and has this version.
    Written(StoreVersion),
    /// The condition did not hold, and nothing was written.
    Conflict,
}

/// The condition on which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The key must not exist.
    Absent,
    /// The value of the key must have this version.
    VersionIs(StoreVersion),
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect and will have none.
    NotApplied(String),
    /// The call may have taken effect or may still do so.
    OutcomeUnknown(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::NotApplied(reason) => {
                write!(f, "not applied: {reason}")
            }
            StoreError::OutcomeUnknown(reason) => {
                write!(f, "outcome unknown: {reason}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// The operations of the key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads the value of a key. Returns `None` if the key doesn't exist.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; for reads, both kinds mean the same.
    async fn get(
        &self,
        key: &str,
    ) -> Result<Option<VersionedValue>, StoreError>;

    /// Waits until the key exists, and reads its value. Returns `None` if it
    /// doesn't exist after `limit`.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    async fn wait(
        &self,
        key: &str,
        limit: Duration,
    ) -> Result<Option<VersionedValue>, StoreError>;

    /// Lists one page of entries under `prefix` after the key `after`, sorted
    /// by key.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    async fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<Vec<StoreEntry>, StoreError>;

    /// Writes a value if `condition` holds.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; after [`StoreError::OutcomeUnknown`] the caller must
    /// read the key back.
    async fn put(
        &self,
        key: &str,
        value: &str,
        condition: Condition,
    ) -> Result<PutOutcome, StoreError>;

    /// Removes a key, whether or not it exists.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; the removal can be repeated safely.
    async fn delete(&self, key: &str) -> Result<(), StoreError>;
}

/// A store that is shared between tasks.
pub type SharedStore = Arc<dyn Store>;

/// Reads all entries under `prefix` after the key `after`, page by page.
pub(crate) async fn list_all(
    store: &dyn Store,
    prefix: &str,
    after: &str,
) -> Result<Vec<StoreEntry>, StoreError> {
    let mut entries = Vec::new();
    let mut after = after.to_owned();
    loop {
        let page = store.list(prefix, &after).await?;
        let Some(last) = page.last() else { return Ok(entries) };
        after = last.key.clone();
        let full = page.len() >= LIST_LIMIT;
        entries.extend(page);
        if !full {
            return Ok(entries);
        }
    }
}

/// Counts of the calls of this VM, for the budget of store calls of the fleet.
#[derive(Debug, Default)]
pub struct StoreCounts {
    /// Writes and removals sent.
    pub writes: AtomicU64,
    /// Reads, listings and watches sent.
    pub reads: AtomicU64,
    /// Calls that failed.
    pub failures: AtomicU64,
    /// Calls that were not sent because of this VM's own rate limit.
    pub limited: AtomicU64,
}

/// A [`Store`] that calls the key-value service over HTTP.
pub struct HttpStore {
    client: HttpClient,
    address: SocketAddr,
    base_path: String,
    settings: StoreSettings,
    clock: SharedClock,
    writes: Mutex<TokenBucket>,
    reads: Mutex<TokenBucket>,
    counts: Arc<StoreCounts>,
}

impl HttpStore {
    /// Creates a client for the service at `url` (`http://IP:PORT[/path]`).
    ///
    /// # Panics
    ///
    /// If `url` has another form; the settings are validated before.
    pub fn new(
        url: &str,
        settings: StoreSettings,
        clock: SharedClock,
    ) -> HttpStore {
        let (address, base_path) = split_url(url);
        let now = clock.now();
        let bucket = |rate: f64| Mutex::new(TokenBucket::new(rate, rate, now));
        HttpStore {
            client: HttpClient::new(settings.deadline, clock.clone()),
            address,
            base_path,
            writes: bucket(settings.writes_per_s),
            reads: bucket(settings.reads_per_s),
            settings,
            clock,
            counts: Arc::default(),
        }
    }

    /// Returns the call counts, which are shared with the metrics.
    pub fn counts(&self) -> Arc<StoreCounts> {
        self.counts.clone()
    }

    async fn wait_for_rate_limit(
        &self,
        bucket: &Mutex<TokenBucket>,
    ) -> Result<(), StoreError> {
        let max_wait = self.settings.deadline * MAX_WAIT_IN_DEADLINES;
        let give_up_at = self.clock.now() + max_wait;
        loop {
            let now = self.clock.now();
            let taken = bucket.lock().expect("bucket lock").take(1.0, now);
            match taken {
                Ok(()) => return Ok(()),
                Err(wait) if now + wait > give_up_at => break,
                Err(wait) => task::sleep(wait).await,
            }
        }
        self.counts.limited.fetch_add(1, Ordering::Relaxed);
        Err(StoreError::NotApplied(
            "this VM's rate limit for store calls is exceeded".into(),
        ))
    }

    async fn call(
        &self,
        call: Call,
        limit: Duration,
    ) -> Result<FullResponse, StoreError> {
        let sent = self.client.fetch(call, limit, ANSWER_LIMIT_BYTES).await;
        let outcome = match sent {
            Err(SendError::NotSent(reason)) => {
                Err(StoreError::NotApplied(reason))
            }
            Err(error) => Err(StoreError::OutcomeUnknown(error.to_string())),
            Ok(answer) if answer.status == 429 => Err(StoreError::NotApplied(
                "the service's rate limit is exceeded".into(),
            )),
            Ok(answer) if answer.status >= 500 => {
                Err(StoreError::OutcomeUnknown(format!(
                    "the service answered {}",
                    answer.status
                )))
            }
            Ok(answer) => Ok(answer),
        };
        if outcome.is_err() {
            self.counts.failures.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }

    async fn read(
        &self,
        path: String,
        limit: Duration,
    ) -> Result<FullResponse, StoreError> {
        self.wait_for_rate_limit(&self.reads).await?;
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        self.call(Call::new(self.address, Method::GET, path), limit).await
    }

    async fn write(&self, call: Call) -> Result<FullResponse, StoreError> {
        self.wait_for_rate_limit(&self.writes).await?;
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        self.call(call, self.settings.deadline).await
    }

    fn key_path(&self, key: &str) -> String {
        format!("{}/kv/{key}", self.base_path)
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(
        &self,
        key: &str,
    ) -> Result<Option<VersionedValue>, StoreError> {
        let path = self.key_path(key);
        parse_value(self.read(path, self.settings.deadline).await?)
    }

    async fn wait(
        &self,
        key: &str,
        limit: Duration,
    ) -> Result<Option<VersionedValue>, StoreError> {
        let wait_ms = limit.as_millis();
        let path = format!("{}?wait_ms={wait_ms}", self.key_path(key));
        parse_value(self.read(path, limit + WATCH_GRACE).await?)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<Vec<StoreEntry>, StoreError> {
        let base = &self.base_path;
        let path = format!(
            "{base}/kv?prefix={prefix}&after={after}&limit={LIST_LIMIT}"
        );
        let answer = self.read(path, self.settings.deadline).await?;
        if answer.status != 200 {
            return Err(unexpected_status(answer.status));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|e| StoreError::OutcomeUnknown(e.to_string()))
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        condition: Condition,
    ) -> Result<PutOutcome, StoreError> {
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(StoreError::NotApplied(
                "the value is too large".into(),
            ));
        }
        let path = self.key_path(key);
        let call = Call::new(self.address, Method::PUT, path)
            .body(value.as_bytes().to_vec());
        let call = match condition {
            Condition::Absent => call.header("if-none-match", "*"),
            Condition::VersionIs(version) => {
                call.header("if-match", &format!("\"{version}\""))
            }
        };
        let answer = self.write(call).await?;
        match answer.status {
            200 | 201 => Ok(PutOutcome::Written(parse_etag(&answer)?)),
            412 => Ok(PutOutcome::Conflict),
            status => Err(unexpected_status(status)),
        }
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        let path = self.key_path(key);
        let call = Call::new(self.address, Method::DELETE, path);
        let answer = self.write(call).await?;
        match answer.status {
            200 | 204 | 404 => Ok(()),
            status => Err(unexpected_status(status)),
        }
    }
}

/// Splits `http://IP:PORT/path` into its address and path, without a trailing
/// slash.
///
/// # Panics
///
/// If the URL has another form; the settings are validated before.
pub(crate) fn split_url(url: &str) -> (SocketAddr, String) {
    let rest = url.strip_prefix("http://").expect("checked URL");
    let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
    let address = host.parse().expect("checked URL");
    let path = path.trim_end_matches('/');
    let path =
        if path.is_empty() { String::new() } else { format!("/{path}") };
    (address, path)
}

fn unexpected_status(status: u16) -> StoreError {
    StoreError::OutcomeUnknown(format!("unexpected status {status}"))
}

fn parse_etag(answer: &FullResponse) -> Result<StoreVersion, StoreError> {
    let text = answer.header("etag").map(|tag| tag.trim_matches('"'));
    text.and_then(|text| text.parse().ok()).map(StoreVersion).ok_or_else(
        || StoreError::OutcomeUnknown("the response has no valid ETag".into()),
    )
}

fn parse_value(
    answer: FullResponse,
) -> Result<Option<VersionedValue>, StoreError> {
    match answer.status {
        200 => {
            let version = parse_etag(&answer)?;
            let value = String::from_utf8(answer.body.to_vec())
                .map_err(|e| StoreError::OutcomeUnknown(e.to_string()))?;
            Ok(Some(VersionedValue { version, value }))
        }
        404 => Ok(None),
        status => Err(unexpected_status(status)),
    }
}

/// Exponential backoff with jitter between attempts.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    next: Duration,
    min: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a backoff that starts at `min` and doubles up to `max`.
    pub(crate) fn new(min: Duration, max: Duration) -> Backoff {
        Backoff { next: min, min, max }
    }

    /// Returns the next wait, of which half is fixed and half is random.
    pub(crate) fn wait(&mut self) -> Duration {
        let half = self.next / 2;
        self.next = (self.next * 2).min(self.max);
        half + half.mul_f64(rand::random::<f64>())
    }

    /// Restarts at the minimum wait.
    pub(crate) fn reset(&mut self) {
        self.next = self.min;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{clock::SystemClock, http_client::endless_peer::Endless};

    /// Returns a client of the store at an address.
    fn store_at(address: SocketAddr) -> HttpStore {
        let settings = StoreSettings {
            deadline: Duration::from_millis(200),
            writes_per_s: 10.0,
            reads_per_s: 10.0,
            watch: Duration::from_millis(200),
        };
        let url = format!("http://{address}/store");
        HttpStore::new(&url, settings, Arc::new(SystemClock))
    }

    /// Reads, lists, watches and writes at a store that sends these bytes, and
    /// returns the largest number of bytes that one call was sent.
    fn most_sent(bytes: Endless) -> u64 {
        let watch = Duration::from_millis(50);
        let calls: [fn(&HttpStore, Duration) -> bool; 4] = [
            |store, _| smol::block_on(store.get("key")).is_err(),
            |store, _| smol::block_on(store.list("key", "")).is_err(),
            |store, watch| smol::block_on(store.wait("key", watch)).is_err(),
            |store, _| {
                let put = store.put("key", "value", Condition::Absent);
                smol::block_on(put).is_err()
            },
        ];
        let sent = calls.map(|call| {
            let (address, peer) = bytes.serve();
            let store = store_at(address);
            assert!(call(&store, watch), "{bytes:?}: accepted");
            drop(store);
            peer.join().unwrap()
        });
        sent.into_iter().max().unwrap()
    }

    /// An answer may have [`ANSWER_LIMIT_BYTES`], here in chunks that take six
    /// bytes each; the rest are buffers.
    #[test]
    fn answers_without_end_are_given_up() {
        let forms: [(&[u8], &[u8]); 4] = [
            (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a"),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (b"HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\n", b"a"),
            (
                b"HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\
                  Transfer-Encoding: chunked\r\n\r\n",
                b"1\r\na\r\n",
            ),
        ];
        for (start, rest) in forms {
            for pause in [Duration::ZERO, Duration::from_millis(20)] {
                let sent = most_sent(Endless { start, rest, pause });
                assert!(sent <= 8 * ANSWER_LIMIT_BYTES, "sent {sent} bytes");
            }
        }
    }

    #[test]
    fn urls_are_split() {
        let (address, path) = split_url("http://127.0.0.1:80/a/b/");
        assert_eq!(address.port(), 80);
        assert_eq!(path, "/a/b");
        assert_eq!(split_url("http://127.0.0.1:80").1, "");
    }

    #[test]
    fn waits_stay_within_the_bounds() {
        let second = Duration::from_secs(1);
        let mut backoff = Backoff::new(second / 4, second);
        for _ in 0..5 {
            let wait = backoff.wait();
            assert!(wait >= second / 8 && wait <= second);
        }
        backoff.reset();
        assert!(backoff.wait() <= second / 4);
    }
}

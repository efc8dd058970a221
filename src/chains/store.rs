//! The platform's key-value service, behind one trait.
//!
//! What VMs must agree on or keep goes through here and nowhere else. The
//! error type separates calls that did not happen from calls that may have
//! happened; after the latter the caller reads back before it decides.
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
use serde::Deserialize;

use crate::{
    clock::SharedClock,
    http_client::{Call, FullResponse, HttpClient, SendError},
    settings::StoreSettings,
    task,
    token_bucket::TokenBucket,
};

/// The largest value that the service takes, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// Largest answer read from the service; a listing holds several values.
const ANSWER_LIMIT_BYTES: u64 = 64 << 20;

/// Entries asked for in one listing.
const LIST_LIMIT: usize = 256;

/// Added to a watch's own time before it counts as lost.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// How long a call waits for this VM's own rate limit, as a share of its
/// deadline; waiting longer would hide an overload of the budget.
const LIMIT_PATIENCE: u32 = 4;

/// The version that the service gives a value; it grows with each write.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize,
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
pub struct Stored {
    /// The version of the value.
    pub version: StoreVersion,
    /// The value, JSON text.
    pub value: String,
}

/// One entry of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StoredEntry {
    /// The key.
    pub key: String,
    /// The version of the value.
    pub version: StoreVersion,
    /// The value, JSON text.
    pub value: String,
}

/// The answer to a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The write took effect.
    Done(StoreVersion),
    /// The condition did not hold; nothing was written.
    Conflict,
}

/// What a write demands of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The key must not exist.
    Absent,
    /// The key must hold this version.
    Is(StoreVersion),
}

/// Why a call brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect and will have none.
    NotDone(String),
    /// The call may have had, or may yet have, its effect.
    MaybeDone(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::NotDone(reason) => write!(f, "not done: {reason}"),
            StoreError::MaybeDone(reason) => {
                write!(f, "may be done: {reason}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// The operations of the key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads a value.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; for reads both kinds mean the same.
    async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError>;

    /// Waits until the key exists or `limit` has passed.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    async fn wait(
        &self,
        key: &str,
        limit: Duration,
    ) -> Result<Option<Stored>, StoreError>;

    /// Lists a page of entries under `prefix`, after the key `after`.
    ///
    /// # Errors
    ///
    /// As [`Store::get`].
    async fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<Vec<StoredEntry>, StoreError>;

    /// Writes a value if `condition` holds.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; after [`StoreError::MaybeDone`] the caller must
    /// read back.
    async fn put(
        &self,
        key: &str,
        value: &str,
        condition: Condition,
    ) -> Result<Written, StoreError>;

    /// Removes a key, whether or not it exists.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; removing again is harmless.
    async fn delete(&self, key: &str) -> Result<(), StoreError>;
}

/// A store that is shared between tasks.
pub type SharedStore = Arc<dyn Store>;

/// Reads every entry under `prefix` after the key `after`, page by page.
pub(crate) async fn list_all(
    store: &dyn Store,
    prefix: &str,
    after: &str,
) -> Result<Vec<StoredEntry>, StoreError> {
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

/// Counts of calls made, for the store budget of the fleet.
#[derive(Debug, Default)]
pub struct StoreCounts {
    /// Writes and removals sent.
    pub writes: AtomicU64,
    /// Reads, listings and watches sent.
    pub reads: AtomicU64,
    /// Calls that brought no answer.
    pub failures: AtomicU64,
    /// Calls that were refused by this VM's own rate limit.
    pub limited: AtomicU64,
}

/// The key-value service over HTTP.
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
    /// When `url` has not that form; the settings reader has checked it.
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

    /// The counts of calls, shared with the metrics.
    pub fn counts(&self) -> Arc<StoreCounts> {
        self.counts.clone()
    }

    async fn admit(
        &self,
        bucket: &Mutex<TokenBucket>,
    ) -> Result<(), StoreError> {
        let patience = self.settings.deadline * LIMIT_PATIENCE;
        let give_up_at = self.clock.now() + patience;
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
        Err(StoreError::NotDone("over this VM's call rate".into()))
    }

    async fn call(
        &self,
        call: Call,
        limit: Duration,
    ) -> Result<FullResponse, StoreError> {
        let sent = self.client.fetch(call, limit, ANSWER_LIMIT_BYTES).await;
        let outcome = match sent {
            Err(SendError::NotSent(reason)) => {
                Err(StoreError::NotDone(reason))
            }
            Err(error) => Err(StoreError::MaybeDone(error.to_string())),
            Ok(answer) if answer.status == 429 => {
                Err(StoreError::NotDone("over the service's rate".into()))
            }
            Ok(answer) if answer.status >= 500 => Err(StoreError::MaybeDone(
                format!("the service answered {}", answer.status),
            )),
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
        self.admit(&self.reads).await?;
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        self.call(Call::new(self.address, Method::GET, path), limit).await
    }

    async fn write(&self, call: Call) -> Result<FullResponse, StoreError> {
        self.admit(&self.writes).await?;
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        self.call(call, self.settings.deadline).await
    }

    fn key_path(&self, key: &str) -> String {
        format!("{}/kv/{key}", self.base_path)
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError> {
        let path = self.key_path(key);
        stored(self.read(path, self.settings.deadline).await?)
    }

    async fn wait(
        &self,
        key: &str,
        limit: Duration,
    ) -> Result<Option<Stored>, StoreError> {
        let wait_ms = limit.as_millis();
        let path = format!("{}?wait_ms={wait_ms}", self.key_path(key));
        stored(self.read(path, limit + WATCH_GRACE).await?)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<Vec<StoredEntry>, StoreError> {
        let base = &self.base_path;
        let path = format!(
            "{base}/kv?prefix={prefix}&after={after}&limit={LIST_LIMIT}"
        );
        let answer = self.read(path, self.settings.deadline).await?;
        if answer.status != 200 {
            return Err(unexpected(answer.status));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|e| StoreError::MaybeDone(e.to_string()))
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        condition: Condition,
    ) -> Result<Written, StoreError> {
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(StoreError::NotDone("value too large".into()));
        }
        let path = self.key_path(key);
        let call = Call::new(self.address, Method::PUT, path)
            .body(value.as_bytes().to_vec());
        let call = match condition {
            Condition::Absent => call.header("if-none-match", "*"),
            Condition::Is(version) => {
                call.header("if-match", &format!("\"{version}\""))
            }
        };
        let answer = self.write(call).await?;
        match answer.status {
            200 | 201 => Ok(Written::Done(etag(&answer)?)),
            412 => Ok(Written::Conflict),
            status => Err(unexpected(status)),
        }
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        let path = self.key_path(key);
        let call = Call::new(self.address, Method::DELETE, path);
        let answer = self.write(call).await?;
        match answer.status {
            200 | 204 | 404 => Ok(()),
            status => Err(unexpected(status)),
        }
    }
}

/// Splits `http://IP:PORT/path` into its address and path.
///
/// # Panics
///
/// When the URL has not that form; settings are checked before.
pub(crate) fn split_url(url: &str) -> (SocketAddr, String) {
    let rest = url.strip_prefix("http://").expect("checked URL");
    let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
    let address = host.parse().expect("checked URL");
    let path = path.trim_end_matches('/');
    let path =
        if path.is_empty() { String::new() } else { format!("/{path}") };
    (address, path)
}

fn unexpected(status: u16) -> StoreError {
    StoreError::MaybeDone(format!("unexpected status {status}"))
}

fn etag(answer: &FullResponse) -> Result<StoreVersion, StoreError> {
    let text = answer.header("etag").map(|tag| tag.trim_matches('"'));
    text.and_then(|text| text.parse().ok())
        .map(StoreVersion)
        .ok_or_else(|| StoreError::MaybeDone("no version given".into()))
}

fn stored(answer: FullResponse) -> Result<Option<Stored>, StoreError> {
    match answer.status {
        200 => {
            let version = etag(&answer)?;
            let value = String::from_utf8(answer.body.to_vec())
                .map_err(|e| StoreError::MaybeDone(e.to_string()))?;
            Ok(Some(Stored { version, value }))
        }
        404 => Ok(None),
        status => Err(unexpected(status)),
    }
}

/// A growing, jittered wait between tries.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    next: Duration,
    least: Duration,
    most: Duration,
}

impl Backoff {
    /// Creates a back-off from `least` that doubles up to `most`.
    pub(crate) fn new(least: Duration, most: Duration) -> Backoff {
        Backoff { next: least, least, most }
    }

    /// The next wait: half fixed, half random.
    pub(crate) fn wait(&mut self) -> Duration {
        let half = self.next / 2;
        self.next = (self.next * 2).min(self.most);
        half + half.mul_f64(rand::random::<f64>())
    }

    /// Starts again from the least wait.
    pub(crate) fn reset(&mut self) {
        self.next = self.least;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn urls_are_split() {
        let (address, path) = split_url("http://127.0.0.1:80/a/b/");
        assert_eq!(address.port(), 80);
        assert_eq!(path, "/a/b");
        assert_eq!(split_url("http://127.0.0.1:80").1, "");
    }

    #[test]
    fn waits_grow_to_their_bound() {
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

//! Stand-in for an inference engine: continuous batching, a prefix cache, load
//! reports that lag, streams that can be resumed and cancelled, and orders to
//! load or unload versions, with or without fencing by epoch.
//!
//! The quality of a response follows from the strength of the model version
//! and the difficulty that the caller embeds in the prompt. The engine embeds
//! the quality in its response, where the rating service and the checks read
//! it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use argh::FromArgs;
use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol::{
    Timer,
    channel::{Sender, bounded},
};
use trillium::{Body, Conn, Handler, KnownHeaderName};

use crate::web::{self, ChannelBody, Record, RecordKind, Records};

/// Capacity of the prefix cache, in prompt prefixes.
const PREFIX_CACHE_CAPACITY: usize = 64;

/// Factor on the time to the first token when the prefix is cached.
const CACHED_PREFIX_FACTOR: f64 = 0.3;

/// Length of the start of a prompt that the prefix cache keys on, in bytes.
const PREFIX_BYTES: usize = 256;

/// Tokens generated for a request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 24;

/// Relative increase of the time between tokens when the batch is full.
const BATCH_SLOWDOWN: f64 = 0.5;

/// Run a model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct Engine {
    /// port; 0 lets the kernel choose
    #[argh(option, default = "0")]
    port: u16,
    /// name
    #[argh(option)]
    name: String,
    /// model
    #[argh(option)]
    model: String,
    /// versions that can be loaded: NAME:STRENGTH[:ERROR_SHARE],…
    #[argh(option)]
    versions: String,
    /// versions that are loaded at the start, by name
    #[argh(option, default = "String::new()")]
    loaded: String,
    /// requests worked on at once
    #[argh(option, default = "8")]
    slots: usize,
    /// time to the first token, in milliseconds
    #[argh(option, default = "20")]
    first_token_ms: u64,
    /// time between tokens, in milliseconds
    #[argh(option, default = "2")]
    token_ms: u64,
    /// time that an order to load takes, in milliseconds
    #[argh(option, default = "300")]
    load_order_ms: u64,
    /// age of the load that is reported, in milliseconds
    #[argh(option, default = "200")]
    load_lag_ms: u64,
    /// take any order, whatever its epoch
    #[argh(switch)]
    unfenced: bool,
    /// file for the records of what ran
    #[argh(option)]
    records: Option<PathBuf>,
}

/// Faults to inject into the engine, set through `/admin/faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Share of requests that fail, from 0 to 1, by version; overrides
    /// `--versions`.
    pub errors: HashMap<String, f64>,
    /// Strength by version; overrides `--versions`.
    pub strength: HashMap<String, f64>,
    /// Events that each of the next streams sends before its connection is
    /// closed; the last entry applies first. Resumed streams are exempt.
    pub break_next: Vec<u64>,
    /// Text in a request at which the engine crashes; empty for none.
    pub crash_on: String,
}

/// What `--versions` says of a version.
#[derive(Clone, Copy, Debug)]
struct VersionTraits {
    strength: f64,
    error_share: f64,
}

#[derive(Default)]
struct Batch {
    running: usize,
    /// Queued requests by priority and order of arrival; the lowest is next.
    waiting: BTreeMap<(i64, u64), Sender<()>>,
    next_number: u64,
    /// The cached prefixes' hashes, least recently used first.
    prefixes: VecDeque<u64>,
}

struct State {
    name: String,
    model: String,
    slots: usize,
    first_token: Duration,
    token: Duration,
    load_order: Duration,
    unfenced: bool,
    known: HashMap<String, VersionTraits>,
    loaded: Mutex<Vec<String>>,
    batch: Mutex<Batch>,
    faults: Mutex<EngineFaults>,
    /// The load that `/load` reports, which lags behind the real one.
    reported: Mutex<Value>,
    /// The highest epoch of the orders accepted so far.
    epoch: AtomicU64,
    /// Milliseconds since the Unix epoch; zero when the engine isn't leaving.
    leaving_since: AtomicU64,
    is_loading: AtomicBool,
    records: Records,
}

impl Engine {
    /// Serves until the process ends.
    ///
    /// # Panics
    ///
    /// When `--versions` cannot be parsed.
    pub fn run(self) {
        let known: HashMap<String, VersionTraits> = self
            .versions
            .split(',')
            .map(|text| parse_version(text).expect("NAME:STRENGTH[:ERRORS]"))
            .collect();
        let loaded = match self.loaded.is_empty() {
            true => known.keys().cloned().collect(),
            false => self.loaded.split(',').map(str::to_owned).collect(),
        };
        let state = Arc::new(State {
            name: self.name,
            model: self.model,
            slots: self.slots,
            first_token: Duration::from_millis(self.first_token_ms),
            token: Duration::from_millis(self.token_ms),
            load_order: Duration::from_millis(self.load_order_ms),
            unfenced: self.unfenced,
            known,
            loaded: Mutex::new(loaded),
            batch: Mutex::default(),
            faults: Mutex::default(),
            reported: Mutex::new(Value::Null),
            epoch: AtomicU64::new(0),
            leaving_since: AtomicU64::new(0),
            is_loading: AtomicBool::new(false),
            records: Records::open(self.records.as_deref()),
        });
        let lag = Duration::from_millis(self.load_lag_ms.max(1));
        *state.reported.lock().unwrap() = state.load();
        let reporting = state.clone();
        async_global_executor::spawn(async move {
            loop {
                let load = reporting.load();
                Timer::after(lag).await;
                *reporting.reported.lock().unwrap() = load;
            }
        })
        .detach();
        web::run(self.port, Shared(state));
    }
}

fn parse_version(text: &str) -> Option<(String, VersionTraits)> {
    let mut parts = text.split(':');
    let name = parts.next()?.to_owned();
    let strength = parts.next()?.parse().ok()?;
    let error_share = match parts.next() {
        Some(text) => text.parse().ok()?,
        None => 0.0,
    };
    Some((name, VersionTraits { strength, error_share }))
}

struct Shared(Arc<State>);

#[async_trait]
impl Handler for Shared {
    async fn run(&self, mut conn: Conn) -> Conn {
        let state = &self.0;
        match conn.path() {
            "/v1/chat/completions" => state.clone().chat(conn).await,
            "/load" => {
                let reported = state.reported.lock().unwrap().clone();
                web::json(conn, 200, &reported)
            }
            "/orders" => state.clone().order(conn).await,
            "/admin/leave" => {
                let now = web::unix_ms();
                state.leaving_since.store(now, Ordering::Relaxed);
                conn.ok("")
            }
            "/admin/faults" => {
                if let Some(faults) = web::read_json(&mut conn).await {
                    *state.faults.lock().unwrap() = faults;
                }
                conn.ok("")
            }
            _ => conn.with_status(404).halt(),
        }
    }
}

/// A parsed chat request.
struct Job {
    /// The router's id of the request.
    request: String,
    attempt: u32,
    key: Option<String>,
    version: String,
    quality: f64,
    /// The nonce in the prompt, repeated in the response for the caller.
    nonce: u64,
    prompt_tokens: u64,
    /// Hash of the prompt's first [`PREFIX_BYTES`].
    prefix: u64,
    tokens: u64,
    priority: i64,
    /// Id of the last event that the client has, when it resumes a stream.
    resume_after: Option<u64>,
}

/// A slot in the batch. Dropping it hands the slot to the next queued request.
struct Slot(Arc<State>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut batch = self.0.batch.lock().unwrap();
        batch.running -= 1;
        while let Some((_, next)) = batch.waiting.pop_first() {
            if next.try_send(()).is_ok() {
                batch.running += 1;
                break;
            }
        }
    }
}

impl State {
    fn load(&self) -> Value {
        let batch = self.batch.lock().unwrap();
        let names = self.loaded.lock().unwrap();
        let versions: Vec<String> =
            names.iter().map(|v| format!("{}@{v}", self.model)).collect();
        json!({
            "running": batch.running,
            "waiting": batch.waiting.len(),
            "versions": versions,
            "leaving": self.leaving_since.load(Ordering::Relaxed) > 0,
        })
    }

    async fn chat(self: Arc<State>, mut conn: Conn) -> Conn {
        let Some(body) = web::read_json::<Value>(&mut conn).await else {
            return conn.with_status(400).halt();
        };
        let Some(job) = self.parse_job(&conn, &body) else {
            return conn.with_status(400).halt();
        };
        let crash_on = self.faults.lock().unwrap().crash_on.clone();
        if !crash_on.is_empty() && body.to_string().contains(&crash_on) {
            std::process::exit(1);
        }
        if !self.loaded.lock().unwrap().contains(&job.version) {
            let reason = json!({ "error": "version not loaded" });
            return web::json(conn, 409, &reason);
        }
        let slot = self.clone().acquire_slot(job.priority).await;
        self.write_record(&job, RecordKind::Run);
        if self.fails(&job.version) {
            drop(slot);
            let reason = json!({ "error": "the model failed" });
            return web::json(conn, 500, &reason);
        }
        let first = self.time_to_first_token(job.prefix);
        if body["stream"] == true {
            return self.stream(conn, job, slot, first);
        }
        Timer::after(first).await;
        let remaining =
            self.token_time() * (job.tokens.saturating_sub(1)) as u32;
        let completed = conn
            .cancel_on_disconnect(async {
                Timer::after(remaining).await;
            })
            .await;
        drop(slot);
        if completed.is_none() {
            return conn;
        }
        self.write_record(&job, RecordKind::Done);
        let text: String =
            (1..=job.tokens).map(|n| job.token_text(n)).collect();
        let answer = json!({
            "object": "chat.completion",
            "model": format!("{}@{}", self.model, job.version),
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
            "usage": job.usage(),
        });
        web::json(conn, 200, &answer)
    }

    /// Returns `None` for a malformed request or an unknown model or version.
    fn parse_job(&self, conn: &Conn, body: &Value) -> Option<Job> {
        let model = body["model"].as_str()?;
        let (model, version) = model.split_once('@')?;
        if model != self.model {
            return None;
        }
        let messages = body["messages"].as_array()?;
        let prompt: String = messages
            .iter()
            .filter_map(|message| message["content"].as_str())
            .collect();
        let mut hasher = DefaultHasher::new();
        prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)].hash(&mut hasher);
        let difficulty = hidden_number(&prompt, "difficulty=").unwrap_or(0.5);
        let strength = self.strength(version)?;
        Some(Job {
            request: web::header(conn, "lupinseam-request")
                .unwrap_or_default(),
            attempt: web::header(conn, "lupinseam-attempt")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            key: web::header(conn, "idempotency-key"),
            version: version.to_owned(),
            quality: quality(strength, difficulty),
            nonce: hidden_number(&prompt, "nonce=").unwrap_or(0.0) as u64,
            prompt_tokens: prompt.len() as u64 / 4 + 1,
            prefix: hasher.finish(),
            tokens: body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS),
            priority: body["priority"].as_i64().unwrap_or(0),
            resume_after: web::header(conn, "last-event-id")
                .and_then(|text| text.parse().ok()),
        })
    }

    fn strength(&self, version: &str) -> Option<f64> {
        let overridden =
            self.faults.lock().unwrap().strength.get(version).copied();
        overridden.or(self.known.get(version).map(|v| v.strength))
    }

    fn fails(&self, version: &str) -> bool {
        let overridden =
            self.faults.lock().unwrap().errors.get(version).copied();
        let configured = self.known.get(version).map(|v| v.error_share);
        let share = overridden.or(configured).unwrap_or(0.0);
        share > 0.0 && rand::random::<f64>() < share
    }

    /// Waits for a slot in the batch, by priority and then order of arrival.
    async fn acquire_slot(self: Arc<State>, priority: i64) -> Slot {
        let woken = {
            let mut batch = self.batch.lock().unwrap();
            if batch.running < self.slots {
                batch.running += 1;
                None
            } else {
                let (sender, receiver) = bounded(1);
                let number = batch.next_number;
                batch.next_number += 1;
                batch.waiting.insert((priority, number), sender);
                Some(receiver)
            }
        };
        if let Some(woken) = woken {
            let _ = woken.recv().await;
        }
        Slot(self)
    }

    /// Returns the time to the first token, and caches the prefix.
    fn time_to_first_token(&self, prefix: u64) -> Duration {
        let mut batch = self.batch.lock().unwrap();
        let cached = batch.prefixes.iter().position(|p| *p == prefix);
        if let Some(index) = cached {
            batch.prefixes.remove(index);
        }
        batch.prefixes.push_back(prefix);
        if batch.prefixes.len() > PREFIX_CACHE_CAPACITY {
            batch.prefixes.pop_front();
        }
        match cached {
            Some(_) => self.first_token.mul_f64(CACHED_PREFIX_FACTOR),
            None => self.first_token,
        }
    }

    /// Returns the time between tokens at the current utilization.
    fn token_time(&self) -> Duration {
        let running = self.batch.lock().unwrap().running;
        let utilization = running as f64 / self.slots as f64;
        self.token.mul_f64(1.0 + BATCH_SLOWDOWN * utilization)
    }

    fn stream(
        self: Arc<State>,
        conn: Conn,
        job: Job,
        slot: Slot,
        first: Duration,
    ) -> Conn {
        let (sender, receiver) = bounded(16);
        let breaks_after = {
            let mut faults = self.faults.lock().unwrap();
            let resumed = job.resume_after.is_some();
            (!resumed).then(|| faults.break_next.pop()).flatten()
        };
        async_global_executor::spawn(async move {
            let _slot = slot;
            let sent =
                self.send_events(&job, first, breaks_after, &sender).await;
            if sent.is_ok() {
                self.write_record(&job, RecordKind::Done);
            }
        })
        .detach();
        let body = Body::new_streaming(ChannelBody::new(receiver), None);
        conn.with_status(200)
            .with_response_header(
                KnownHeaderName::ContentType,
                "text/event-stream",
            )
            .with_body(body)
            .halt()
    }

    /// Sends the events of a stream; fails when the client has disconnected or
    /// an injected fault closes the connection.
    async fn send_events(
        &self,
        job: &Job,
        first: Duration,
        breaks_after: Option<u64>,
        sender: &Sender<Option<Bytes>>,
    ) -> Result<(), ()> {
        let from = job.resume_after.unwrap_or(0) + 1;
        Timer::after(first).await;
        for number in from..=job.tokens {
            if breaks_after.is_some_and(|after| number > after) {
                let _ = sender.send(None).await;
                return Err(());
            }
            let mut event = json!({
                "object": "chat.completion.chunk",
                "model": format!("{}@{}", self.model, job.version),
                "choices": [{
                    "index": 0,
                    "delta": { "content": job.token_text(number) },
                }],
            });
            if number == job.tokens {
                event["usage"] = job.usage();
            }
            let text = format!("id: {number}\ndata: {event}\n\n");
            sender.send(Some(Bytes::from(text))).await.map_err(|_| ())?;
            Timer::after(self.token_time()).await;
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        sender.send(Some(done)).await.map_err(|_| ())
    }

    async fn order(self: Arc<State>, mut conn: Conn) -> Conn {
        let Some(order) = web::read_json::<Value>(&mut conn).await else {
            return conn.with_status(400).halt();
        };
        let epoch = order["epoch"].as_u64().unwrap_or(0);
        let action = order["action"].as_str().unwrap_or_default().to_owned();
        let name = order["version"].as_str().unwrap_or_default();
        let version = name.split_once('@').map_or(name, |(_, v)| v).to_owned();
        let what = format!("{action} {version} by {}", order["steward"]);
        let is_old = epoch < self.epoch.load(Ordering::Relaxed);
        if is_old && !self.unfenced {
            self.write_order(RecordKind::OrderRefused, epoch, what);
            return conn.with_status(409).halt();
        }
        self.epoch.fetch_max(epoch, Ordering::Relaxed);
        self.write_order(RecordKind::Order, epoch, what);
        if action == "unload" {
            self.loaded.lock().unwrap().retain(|loaded| *loaded != version);
        } else if self.known.contains_key(&version) {
            self.start_loading(version);
        }
        conn.ok("")
    }

    /// Loads a version after the load time; ignored while another one loads.
    fn start_loading(self: Arc<State>, version: String) {
        if self.is_loading.swap(true, Ordering::Relaxed) {
            return;
        }
        async_global_executor::spawn(async move {
            Timer::after(self.load_order).await;
            let mut loaded = self.loaded.lock().unwrap();
            if !loaded.contains(&version) {
                loaded.push(version);
            }
            self.is_loading.store(false, Ordering::Relaxed);
        })
        .detach();
    }

    fn write_record(&self, job: &Job, happened: RecordKind) {
        self.records.write(&Record {
            request: job.request.clone(),
            attempt: job.attempt,
            key: job.key.clone(),
            resumed: job.resume_after.is_some(),
            ..self.record(happened, format!("{}@{}", self.model, job.version))
        });
    }

    fn write_order(&self, happened: RecordKind, epoch: u64, what: String) {
        let record = self.record(happened, what);
        self.records.write(&Record { epoch: Some(epoch), ..record });
    }

    fn record(&self, happened: RecordKind, what: String) -> Record {
        let leaving = self.leaving_since.load(Ordering::Relaxed);
        Record {
            at_unix_ms: web::unix_ms(),
            upstream: self.name.clone(),
            happened,
            request: String::new(),
            attempt: 0,
            key: None,
            what,
            leaving_since_unix_ms: (leaving > 0).then_some(leaving),
            epoch: None,
            resumed: false,
        }
    }
}

impl Job {
    /// Returns the text of token `number`. The first one also carries the
    /// quality and the caller's nonce.
    fn token_text(&self, number: u64) -> String {
        match number {
            1 => {
                format!("quality={:.3} nonce={} w1", self.quality, self.nonce)
            }
            number => format!(" w{number}"),
        }
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
        })
    }
}

/// Returns the quality of a response, from 0 to 1: a strong version does well
/// on hard prompts too, a weak one only on easy ones.
pub fn quality(strength: f64, difficulty: f64) -> f64 {
    let margin = strength - difficulty;
    1.0 / (1.0 + (-8.0 * margin - 1.0).exp())
}

/// Returns the number that follows `marker` in a text; `None` without one.
pub fn hidden_number(text: &str, marker: &str) -> Option<f64> {
    let (_, after) = text.split_once(marker)?;
    let digits: String = after
        .chars()
        .take_while(|c| c.is_ascii_digit() || *c == '.')
        .collect();
    digits.parse().ok()
}

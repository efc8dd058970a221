//! A model engine: continuous batching, a prefix cache, lagging load,
//! streams that resume and cancel, orders with and without a fence.
//!
//! What a run is worth is decided by the strength of its version and the
//! difficulty that the caller hid in the prompt; the engine hides the result
//! in its answer, for the rating service and the checks to read.

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

use crate::web::{self, ChannelBody, Happened, Record, Records};

/// Prefixes that the cache holds.
const CACHED_PREFIXES: usize = 64;

/// Part of the time to the first token that a cached prefix leaves.
const CACHED_SHARE: f64 = 0.3;

/// Bytes of a prompt that make its prefix.
const PREFIX_BYTES: usize = 256;

/// Tokens written when the caller names no limit.
const USUAL_TOKENS: u64 = 24;

/// Slow-down of a full batch against a single request.
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

/// What goes wrong at the engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Share of failures of a version, by name.
    pub errors: HashMap<String, f64>,
    /// Strength of a version from now on, by name.
    pub strength: HashMap<String, f64>,
    /// The next streams break off after this many events.
    pub break_next: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Quality {
    strength: f64,
    error_share: f64,
}

#[derive(Default)]
struct Batch {
    running: usize,
    waiting: BTreeMap<(i64, u64), Sender<()>>,
    next_number: u64,
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
    known: HashMap<String, Quality>,
    loaded: Mutex<Vec<String>>,
    batch: Mutex<Batch>,
    faults: Mutex<EngineFaults>,
    reported: Mutex<Value>,
    epoch: AtomicU64,
    leaving_since: AtomicU64,
    is_loading: AtomicBool,
    records: Records,
}

impl Engine {
    /// Serves until it is ended.
    ///
    /// # Panics
    ///
    /// When `--versions` cannot be read.
    pub fn run(self) {
        let known: HashMap<String, Quality> = self
            .versions
            .split(',')
            .map(|text| read_version(text).expect("NAME:STRENGTH[:ERRORS]"))
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

fn read_version(text: &str) -> Option<(String, Quality)> {
    let mut parts = text.split(':');
    let name = parts.next()?.to_owned();
    let strength = parts.next()?.parse().ok()?;
    let error_share = match parts.next() {
        Some(text) => text.parse().ok()?,
        None => 0.0,
    };
    Some((name, Quality { strength, error_share }))
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

/// One request as the engine reads it.
struct Job {
    request: String,
    attempt: u32,
    key: Option<String>,
    version: String,
    quality: f64,
    nonce: u64,
    prompt_tokens: u64,
    prefix: u64,
    tokens: u64,
    priority: i64,
    resume_after: Option<u64>,
}

/// A place in the batch, given back when it is dropped.
struct Place(Arc<State>);

impl Drop for Place {
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
        let Some(job) = self.read(&conn, &body) else {
            return conn.with_status(400).halt();
        };
        if !self.loaded.lock().unwrap().contains(&job.version) {
            let reason = json!({ "error": "version not loaded" });
            return web::json(conn, 409, &reason);
        }
        let place = self.clone().enter(job.priority).await;
        self.write(&job, Happened::Run);
        if self.fails(&job.version) {
            drop(place);
            let reason = json!({ "error": "the model failed" });
            return web::json(conn, 500, &reason);
        }
        let first = self.time_to_first_token(job.prefix);
        if body["stream"] == true {
            return self.stream(conn, job, place, first);
        }
        Timer::after(first).await;
        let rest = self.token_time() * (job.tokens.saturating_sub(1)) as u32;
        let answered = conn
            .cancel_on_disconnect(async {
                Timer::after(rest).await;
            })
            .await;
        drop(place);
        if answered.is_none() {
            return conn;
        }
        self.write(&job, Happened::Done);
        let words: String = (1..=job.tokens).map(|n| job.word(n)).collect();
        let answer = json!({
            "object": "chat.completion",
            "model": format!("{}@{}", self.model, job.version),
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": words },
                "finish_reason": "stop",
            }],
            "usage": job.usage(),
        });
        web::json(conn, 200, &answer)
    }

    fn read(&self, conn: &Conn, body: &Value) -> Option<Job> {
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
            tokens: body["max_tokens"].as_u64().unwrap_or(USUAL_TOKENS),
            priority: body["priority"].as_i64().unwrap_or(0),
            resume_after: web::header(conn, "last-event-id")
                .and_then(|text| text.parse().ok()),
        })
    }

    fn strength(&self, version: &str) -> Option<f64> {
        let changed =
            self.faults.lock().unwrap().strength.get(version).copied();
        changed.or(self.known.get(version).map(|q| q.strength))
    }

    fn fails(&self, version: &str) -> bool {
        let changed = self.faults.lock().unwrap().errors.get(version).copied();
        let usual = self.known.get(version).map(|q| q.error_share);
        let share = changed.or(usual).unwrap_or(0.0);
        share > 0.0 && rand::random::<f64>() < share
    }

    async fn enter(self: Arc<State>, priority: i64) -> Place {
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
        Place(self)
    }

    fn time_to_first_token(&self, prefix: u64) -> Duration {
        let mut batch = self.batch.lock().unwrap();
        let held = batch.prefixes.iter().position(|held| *held == prefix);
        if let Some(at) = held {
            batch.prefixes.remove(at);
        }
        batch.prefixes.push_back(prefix);
        if batch.prefixes.len() > CACHED_PREFIXES {
            batch.prefixes.pop_front();
        }
        match held {
            Some(_) => self.first_token.mul_f64(CACHED_SHARE),
            None => self.first_token,
        }
    }

    fn token_time(&self) -> Duration {
        let running = self.batch.lock().unwrap().running;
        let fill = running as f64 / self.slots as f64;
        self.token.mul_f64(1.0 + BATCH_SLOWDOWN * fill)
    }

    fn stream(
        self: Arc<State>,
        conn: Conn,
        job: Job,
        place: Place,
        first: Duration,
    ) -> Conn {
        let (sender, receiver) = bounded(16);
        let breaks_after = {
            let mut faults = self.faults.lock().unwrap();
            let resumed = job.resume_after.is_some();
            (!resumed).then(|| faults.break_next.pop()).flatten()
        };
        async_global_executor::spawn(async move {
            let _place = place;
            let sent =
                self.send_events(&job, first, breaks_after, &sender).await;
            if sent.is_ok() {
                self.write(&job, Happened::Done);
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

    /// Sends the events; fails when the caller has gone or it breaks off.
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
                    "delta": { "content": job.word(number) },
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
            self.write_order(Happened::OrderRefused, epoch, what);
            return conn.with_status(409).halt();
        }
        self.epoch.fetch_max(epoch, Ordering::Relaxed);
        self.write_order(Happened::Order, epoch, what);
        if action == "unload" {
            self.loaded.lock().unwrap().retain(|held| *held != version);
        } else if self.known.contains_key(&version) {
            self.start_loading(version);
        }
        conn.ok("")
    }

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

    fn write(&self, job: &Job, happened: Happened) {
        self.records.write(&Record {
            request: job.request.clone(),
            attempt: job.attempt,
            key: job.key.clone(),
            resumed: job.resume_after.is_some(),
            ..self.record(happened, format!("{}@{}", self.model, job.version))
        });
    }

    fn write_order(&self, happened: Happened, epoch: u64, what: String) {
        let record = self.record(happened, what);
        self.records.write(&Record { epoch: Some(epoch), ..record });
    }

    fn record(&self, happened: Happened, what: String) -> Record {
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
    /// The text of one token; the first also holds the hidden quality and
    /// the caller's nonce.
    fn word(&self, number: u64) -> String {
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

/// The quality of an answer: a strong version does well on hard prompts
/// too, a weak one only on easy ones.
pub fn quality(strength: f64, difficulty: f64) -> f64 {
    let margin = strength - difficulty;
    1.0 / (1.0 + (-8.0 * margin - 1.0).exp())
}

/// The number that follows a mark in a text.
pub fn hidden_number(text: &str, mark: &str) -> Option<f64> {
    let (_, after) = text.split_once(mark)?;
    let digits: String = after
        .chars()
        .take_while(|c| c.is_ascii_digit() || *c == '.')
        .collect();
    digits.parse().ok()
}

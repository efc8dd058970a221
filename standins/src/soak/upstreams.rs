//! Upstreams of a soak: they answer by their behaviour, and note every run.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::Rng;
use serde_json::json;

use super::{
    deadly::is_crashing, evidence::Run, own_words::UpstreamSignal,
    rate_limits::RateLimitSignal,
};
use crate::{
    gateway_site::{MODELS, PLAIN, upstream_record},
    http_raw::{RawRequest, answer, chunk},
    platform_store::PlatformStore,
    proxy::{Mode, Proxy},
    scripted::{Act, Script, Upstream, stamped},
};

/// Events of a stream.
pub const EVENTS: u64 = 8;

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(25);

/// Time that a plain request takes.
const WORK_TIME: Duration = Duration::from_millis(12);

/// Longest time until an upstream is gone that runs a deadly request.
const CRASH_TIME: Duration = Duration::from_millis(200);

/// The rest that a resting upstream asks for.
const REST: Duration = Duration::from_secs(2);

/// Share of the requests that a failing upstream treats badly.
const FAULTY_SHARE: f64 = 0.6;

/// How an upstream treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behaviour {
    /// As it should.
    Well,
    /// Many of its answers are failures.
    Failing,
    /// Many of its answers are lost after it ran the request.
    LosingAnswers,
    /// Many of its answers carry another request's id.
    Foreign,
    /// Many of its answers are followed by bytes of no request.
    Surplus,
    /// It takes nothing.
    Declining,
    /// Many of its streams break off within an event.
    BreakingOff,
    /// It turns many requests away and asks for rest.
    Resting,
}

impl Behaviour {
    /// Every behaviour that is a fault.
    pub const FAULTS: [Behaviour; 7] = [
        Behaviour::Failing,
        Behaviour::LosingAnswers,
        Behaviour::Foreign,
        Behaviour::Surplus,
        Behaviour::Declining,
        Behaviour::BreakingOff,
        Behaviour::Resting,
    ];

    fn from_number(number: u8) -> Behaviour {
        let found = Behaviour::FAULTS.iter().find(|b| **b as u8 == number);
        found.copied().unwrap_or(Behaviour::Well)
    }
}

/// An upstream behind a proxy.
pub struct Worker {
    /// The upstream.
    pub upstream: Upstream,
    /// Its service.
    pub service: &'static str,
    /// The version of its software.
    pub software: String,
    behaviour: Arc<AtomicU8>,
    way: Proxy,
    /// When its present life began, in milliseconds; rises with each.
    born: Arc<AtomicU64>,
    /// Whether it runs a request that crashes it.
    is_hit: Arc<AtomicBool>,
    says_leaving: Arc<AtomicBool>,
    /// The rate that it names, as it stands in a header.
    rate_limit: Arc<Mutex<Option<String>>>,
}

/// The upstream whose entries cannot be read.
pub const UNREADABLE: &str = "i-unreadable";

/// What all upstreams have received.
#[derive(Default)]
pub struct Received {
    /// Runs, as they began.
    pub runs: Vec<Run>,
    /// Requests that were declined.
    pub declined: Vec<Run>,
    /// What was said in answers.
    pub signals: Vec<UpstreamSignal>,
    /// Answers that named a rate limit.
    pub rate_limit_signals: Vec<RateLimitSignal>,
}

/// Shared by all upstreams.
pub type Runs = Arc<Mutex<Received>>;

impl Worker {
    /// Starts an upstream and records it in the store.
    ///
    /// # Panics
    ///
    /// When no port can be bound.
    pub fn start(
        id: &str,
        service: &'static str,
        software: &str,
        started_at: Instant,
        runs: &Runs,
        store: &PlatformStore,
    ) -> Worker {
        let worker =
            Worker::unrecorded(id, service, software, started_at, runs);
        worker.record(store, "ready");
        worker
    }

    /// Starts an upstream that the store knows nothing of.
    ///
    /// # Panics
    ///
    /// When no port can be bound.
    pub fn unrecorded(
        id: &str,
        service: &'static str,
        software: &str,
        started_at: Instant,
        runs: &Runs,
    ) -> Worker {
        let behaviour = Arc::new(AtomicU8::new(Behaviour::Well as u8));
        let born = Arc::new(AtomicU64::new(1));
        let is_hit = Arc::new(AtomicBool::new(false));
        let says_leaving = Arc::new(AtomicBool::new(false));
        let rate_limit = Arc::new(Mutex::new(None));
        let script = Serving {
            id: id.to_owned(),
            software: software.to_owned(),
            started_at,
            runs: runs.clone(),
            behaviour: behaviour.clone(),
            born: born.clone(),
            is_hit: is_hit.clone(),
            says_leaving: says_leaving.clone(),
            rate_limit: rate_limit.clone(),
        };
        let upstream = Upstream::start(id, script.into_script());
        let way = Proxy::tcp(upstream.address).expect("a port");
        let software = software.to_owned();
        Worker {
            upstream,
            service,
            software,
            behaviour,
            way,
            born,
            is_hit,
            says_leaving,
            rate_limit,
        }
    }

    /// Names a rate limit in all its answers from now on, or none.
    pub fn name_limit(&self, per_s: Option<f64>) {
        let text = per_s.map(|per_s| per_s.to_string());
        *self.rate_limit.lock().unwrap() = text;
    }

    /// Says in all its answers from now on that it leaves.
    pub fn say_leaving(&self) {
        self.says_leaving.store(true, Ordering::Relaxed);
    }

    /// Crashes: its connections break, and it is gone until it starts again.
    pub fn crash(&self) {
        self.way.set(Mode::Gone);
    }

    /// Whether a request is about to crash it; it is only once.
    pub fn takes_deadly(&self) -> bool {
        self.is_hit.swap(false, Ordering::Relaxed)
    }

    /// Starts again under its name, at its address.
    pub fn start_again(&self, store: &PlatformStore) {
        self.born.fetch_add(1, Ordering::Relaxed);
        self.way.set(Mode::Pass);
        self.record(store, "ready");
    }

    /// Writes an entry for it that cannot be read, with another name: a field
    /// is missing, or of another type, or nothing of it can be read.
    pub fn record_unreadable(&self, store: &PlatformStore, kind: u64) {
        let address = self.way.address;
        let mut record =
            upstream_record(address, self.service, &self.software, "ready");
        let key = format!("servers/{UNREADABLE}");
        match kind % 3 {
            0 => record["capacity"] = json!("many"),
            1 => record["state"] = json!("resting"),
            _ => record = json!([address.to_string()]),
        }
        store.put(&key, &record);
    }

    /// Writes its record.
    pub fn record(&self, store: &PlatformStore, state: &str) {
        let address = self.way.address;
        let mut record =
            upstream_record(address, self.service, &self.software, state);
        record["born"] = json!(self.born.load(Ordering::Relaxed));
        store.put(&self.key(), &record);
    }

    /// The key of its record.
    pub fn key(&self) -> String {
        format!("servers/{}", self.upstream.id)
    }

    /// Changes how it treats requests.
    pub fn behave(&self, behaviour: Behaviour) {
        self.behaviour.store(behaviour as u8, Ordering::Relaxed);
    }

    /// Changes what happens on the way to it.
    pub fn set_way(&self, mode: Mode) {
        self.way.set(mode);
    }
}

/// What a script knows.
struct Serving {
    id: String,
    software: String,
    started_at: Instant,
    runs: Runs,
    behaviour: Arc<AtomicU8>,
    born: Arc<AtomicU64>,
    is_hit: Arc<AtomicBool>,
    says_leaving: Arc<AtomicBool>,
    rate_limit: Arc<Mutex<Option<String>>>,
}

impl Serving {
    fn into_script(self) -> Script {
        Box::new(move |request| self.serve(request))
    }

    fn serve(&self, request: &RawRequest) -> Vec<Act> {
        let behaviour = self.behaviour.load(Ordering::Relaxed);
        let mut behaviour = Behaviour::from_number(behaviour);
        if rand::rng().random::<f64>() > FAULTY_SHARE {
            behaviour = Behaviour::Well;
        }
        let expected = request.header("lupinseam-expected-instance");
        let declined = [("Lupinseam-Not-Executed", "1")];
        if !expected.is_empty() && expected != self.id {
            self.note(request, |received| &mut received.declined);
            let head = stamped(request, &declined);
            return vec![Act::Send(answer(421, &head, ""))];
        }
        if behaviour == Behaviour::Declining {
            self.note(request, |received| &mut received.declined);
            let head = stamped(request, &declined);
            return vec![Act::Send(answer(503, &head, ""))];
        }
        if behaviour == Behaviour::Resting {
            self.note(request, |received| &mut received.declined);
            self.say(request, Some(REST));
            let seconds = REST.as_secs().to_string();
            let more = [declined[0], ("Retry-After", seconds.as_str())];
            let head = stamped(request, &more);
            return vec![Act::Send(answer(503, &head, ""))];
        }
        self.note(request, |received| &mut received.runs);
        if is_crashing(&request.path) {
            self.is_hit.store(true, Ordering::Relaxed);
            return vec![Act::Wait(CRASH_TIME), Act::Close];
        }
        let is_stream = self.serves_streams(request);
        let rate_limit = self.rate_limit.lock().unwrap().clone();
        let mut says = Vec::new();
        if let Some(rate) = &rate_limit {
            self.say_limit(request);
            says.push(("Server-Limit", rate.as_str()));
        }
        if self.says_leaving.load(Ordering::Relaxed) {
            self.say(request, None);
            says.push(("Server-Leaving", "1"));
        }
        match behaviour {
            Behaviour::LosingAnswers => {
                vec![Act::Wait(WORK_TIME), Act::Close]
            }
            Behaviour::Failing => {
                let head = stamped(request, &says);
                vec![Act::Wait(WORK_TIME), Act::Send(answer(500, &head, ""))]
            }
            _ if is_stream => stream(request, behaviour, &says),
            _ => plain(request, behaviour, &says),
        }
    }

    /// Notes what it says of itself in its answer.
    fn say(&self, request: &RawRequest, rest: Option<Duration>) {
        let said = UpstreamSignal {
            id: request.header("lupinseam-attempt-id").to_owned(),
            upstream: self.id.clone(),
            life: self.born.load(Ordering::Relaxed),
            at: self.started_at.elapsed(),
            rest,
        };
        self.runs.lock().unwrap().signals.push(said);
    }

    /// Notes that its answer names its rate limit.
    fn say_limit(&self, request: &RawRequest) {
        let said = RateLimitSignal {
            id: request.header("lupinseam-attempt-id").to_owned(),
            upstream: self.id.clone(),
            life: self.born.load(Ordering::Relaxed),
            at: self.started_at.elapsed(),
        };
        self.runs.lock().unwrap().rate_limit_signals.push(said);
    }

    fn serves_streams(&self, request: &RawRequest) -> bool {
        ["/write/", "/tell/"].iter().any(|p| request.path.starts_with(p))
    }

    fn note(
        &self,
        request: &RawRequest,
        list: impl FnOnce(&mut Received) -> &mut Vec<Run>,
    ) {
        let run = Run {
            id: request.header("lupinseam-attempt-id").to_owned(),
            upstream: self.id.clone(),
            life: self.born.load(Ordering::Relaxed),
            software: self.software.clone(),
            at: self.started_at.elapsed(),
            path: request.path.clone(),
            organisation: request.header("lupinseam-tenant").to_owned(),
        };
        list(&mut self.runs.lock().unwrap()).push(run);
    }
}

/// The body that an upstream makes for a plain request.
pub fn plain_body(id: &str) -> String {
    format!("made for {id}")
}

/// One event that an upstream makes for a stream.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

fn plain(
    request: &RawRequest,
    behaviour: Behaviour,
    says: &[(&str, &str)],
) -> Vec<Act> {
    let id = request.header("lupinseam-attempt-id");
    let whole = match behaviour {
        Behaviour::Foreign => {
            let head = [("Lupinseam-Attempt-Id", "another")];
            answer(200, &head, "made for another")
        }
        _ => answer(200, &stamped(request, says), &plain_body(id)),
    };
    let mut acts = vec![Act::Wait(WORK_TIME), Act::Send(whole)];
    if behaviour == Behaviour::Surplus {
        let head = [("Lupinseam-Attempt-Id", "another")];
        acts.push(Act::Send(answer(200, &head, "made for another")));
    }
    acts
}

fn stream(
    request: &RawRequest,
    behaviour: Behaviour,
    says: &[(&str, &str)],
) -> Vec<Act> {
    let id = request.header("lupinseam-attempt-id");
    let named = match behaviour {
        Behaviour::Foreign => "another",
        _ => id,
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nLupinseam-Attempt-Id: {named}\r\n\
         Lupinseam-Response-Seal: s\r\nLupinseam-Confidence: 90\r\n\
         Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n"
    );
    let says = says.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    let head = format!("{head}{}\r\n", says.collect::<String>());
    let mut acts = vec![Act::Wait(WORK_TIME), Act::Send(head.into_bytes())];
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for number in after + 1..=EVENTS {
        acts.push(Act::Wait(EVENT_PAUSE));
        let event = event(id, number);
        if behaviour == Behaviour::BreakingOff && number > after + 2 {
            acts.push(Act::Send(chunk(&event[..event.len() / 2])));
            acts.push(Act::Close);
            return acts;
        }
        acts.push(Act::Send(chunk(&event)));
    }
    acts.push(Act::Send(b"0\r\n\r\n".to_vec()));
    if behaviour == Behaviour::Surplus {
        acts.push(Act::Send(chunk("surplus")));
    }
    acts
}

/// The services of a soak, with how many upstreams each has.
pub const SERVICES: [(&str, usize); 2] = [(PLAIN, 4), (MODELS, 5)];

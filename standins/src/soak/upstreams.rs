//! Upstreams of a soak: they respond according to their behaviour and record
//! every request.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::Rng;
use serde_json::{Value, json};

use super::{
    crashing::is_crashing,
    evidence::Run,
    load::{Overfill, most_held},
    rate_limits::RateLimitSignal,
    signals::UpstreamSignal,
};
use crate::{
    gateway_site::{MODELS, PLAIN, SMALLEST_MODEL, upstream_record},
    http_raw::{RawRequest, answer, chunk},
    pace::Pace,
    platform_store::PlatformStore,
    proxy::{Mode, Proxy},
    scripted::{Script, Step, Upstream, response_headers},
    slots::Slots,
};

/// Number of events of a streamed response.
pub const EVENTS: u64 = 8;

/// Pause before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(25);

/// Time until an upstream sends a plain response or the head of a stream.
const WORK_TIME: Duration = Duration::from_millis(12);

/// Longest time that an upstream keeps running after it has received a
/// crashing request.
const CRASH_TIME: Duration = Duration::from_millis(200);

/// Pause between bytes without end.
const ENDLESS_PAUSE: Duration = Duration::from_millis(10);

/// Number of repetitions between two pauses where bytes come fast.
const FAST_COUNT: usize = 4096;

/// Share of the streams within which an upstream is silent for a while, and
/// range of that silence, in milliseconds. It goes on afterwards.
const SILENT_SHARE: f64 = 0.03;
const SILENCE_MS: std::ops::Range<u64> = 500..1300;

/// Event after which it is silent.
const SILENT_AFTER: u64 = 3;

/// Share of the answers of the smallest model to requests that may run once in
/// which it states a low confidence.
const UNSURE_SHARE: f64 = 0.5;

/// Backoff that an upstream asks for with `Retry-After`.
const BACKOFF: Duration = Duration::from_secs(2);

/// Header with the requests that run and wait, the slots and the slowdown.
const INSTANCE_LOAD: &str = "Lupinseam-Instance-Load";

/// Share of the requests to which a faulty behaviour applies.
const FAULTY_SHARE: f64 = 0.6;

/// How an upstream treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behaviour {
    /// It responds correctly.
    Well,
    /// Many of its responses have status 500.
    Failing,
    /// It runs many requests and closes the connection without a response, or
    /// sends bytes that are none until the router closes it.
    LosingAnswers,
    /// Many of its responses carry another request's attempt ID.
    Foreign,
    /// Many of its responses are followed by bytes that belong to no request.
    Surplus,
    /// It declines many requests with status 503, without running them.
    Declining,
    /// Many of its streams break off in the middle of an event.
    BreakingOff,
    /// It declines many requests and asks for a backoff.
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

/// An upstream behind a proxy of its own.
pub struct Worker {
    /// The scripted server.
    pub upstream: Upstream,
    /// The service that it belongs to.
    pub service: &'static str,
    /// Its software version.
    pub software: String,
    behaviour: Arc<AtomicU8>,
    proxy: Proxy,
    /// The `born` value of its record; rises with each restart and so
    /// identifies its incarnation.
    born: Arc<AtomicU64>,
    /// The number of its next write to the store.
    sequence: AtomicU64,
    /// Whether it has received a crashing request and not crashed yet.
    has_crashing_request: Arc<AtomicBool>,
    signals_leaving: Arc<AtomicBool>,
    /// The rate limit that its responses state, as header text.
    rate_limit: Arc<Mutex<Option<String>>>,
    limited: Option<Arc<Limited>>,
}

/// The slots of an upstream and its pace.
pub struct Limited {
    count: u16,
    /// The slots of its present incarnation.
    slots: Mutex<Arc<Slots>>,
    pace: Pace,
}

impl Limited {
    /// Returns this number of free slots.
    pub fn new(count: u16, pace: Pace) -> Limited {
        let slots = Mutex::new(Arc::new(Slots::new(count)));
        Limited { count, slots, pace }
    }

    /// Returns the load that the upstream states.
    fn load(&self, slots: &Slots, now: Duration) -> String {
        let load = slots.load();
        match self.pace.states_slowdown {
            true => format!("{load},{}", self.pace.slowdown_percent(now)),
            false => load,
        }
    }
}

/// The ID of the upstream for which only malformed records are written.
pub const UNREADABLE: &str = "i-unreadable";

/// The record of what all upstreams have received and signalled.
#[derive(Default)]
pub struct Received {
    /// Requests that were run, in the order of arrival.
    pub runs: Vec<Run>,
    /// Requests that were declined without being run.
    pub declined: Vec<Run>,
    /// Backoff and leaving signals sent in responses.
    pub signals: Vec<UpstreamSignal>,
    /// Responses that stated a rate limit.
    pub rate_limit_signals: Vec<RateLimitSignal>,
    /// Arrivals at upstreams that had too many requests.
    pub overfills: Vec<Overfill>,
}

/// The record, shared by all upstreams.
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
        limited: Option<Limited>,
    ) -> Worker {
        let worker = Worker::unrecorded(
            id, service, software, started_at, runs, limited,
        );
        worker.record(store, "ready");
        worker
    }

    /// Starts an upstream without a record in the store.
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
        limited: Option<Limited>,
    ) -> Worker {
        let limited = limited.map(Arc::new);
        let behaviour = Arc::new(AtomicU8::new(Behaviour::Well as u8));
        let born = Arc::new(AtomicU64::new(1));
        let has_crashing_request = Arc::new(AtomicBool::new(false));
        let signals_leaving = Arc::new(AtomicBool::new(false));
        let rate_limit = Arc::new(Mutex::new(None));
        let script = ScriptState {
            id: id.to_owned(),
            software: software.to_owned(),
            started_at,
            runs: runs.clone(),
            behaviour: behaviour.clone(),
            born: born.clone(),
            has_crashing_request: has_crashing_request.clone(),
            signals_leaving: signals_leaving.clone(),
            rate_limit: rate_limit.clone(),
            limited: limited.clone(),
        };
        let upstream = Upstream::start(id, script.into_script());
        let proxy = Proxy::tcp(upstream.address).expect("a port");
        let software = software.to_owned();
        Worker {
            upstream,
            service,
            software,
            behaviour,
            proxy,
            born,
            sequence: AtomicU64::new(1),
            has_crashing_request,
            signals_leaving,
            rate_limit,
            limited,
        }
    }

    /// States this rate limit, in requests per second, in all its responses
    /// from now on, or none.
    pub fn set_rate_limit(&self, per_s: Option<f64>) {
        let text = per_s.map(|per_s| per_s.to_string());
        *self.rate_limit.lock().unwrap() = text;
    }

    /// Signals in all its responses from now on that it is leaving.
    pub fn signal_leaving(&self) {
        self.signals_leaving.store(true, Ordering::Relaxed);
    }

    /// Simulates a crash: its connections close, and it accepts none until it
    /// starts again.
    pub fn crash(&self) {
        self.proxy.set_mode(Mode::Gone);
    }

    /// Returns whether it has received a crashing request, and resets that, so
    /// that each crash is reported once.
    pub fn take_crash(&self) -> bool {
        self.has_crashing_request.swap(false, Ordering::Relaxed)
    }

    /// Starts again as a new incarnation with the same ID and address.
    pub fn restart(&self, store: &PlatformStore) {
        self.born.fetch_add(1, Ordering::Relaxed);
        if let Some(Limited { count, slots, .. }) = self.limited.as_deref() {
            *slots.lock().unwrap() = Arc::new(Slots::new(*count));
        }
        self.proxy.set_mode(Mode::Pass);
        self.record(store, "ready");
    }

    /// Writes a malformed record under the ID [`UNREADABLE`]: a field has the
    /// wrong type or an unknown value, the record is no object at all, or its
    /// item in the store is malformed itself. Some go under a key that no
    /// router uses.
    pub fn record_unreadable(&self, store: &PlatformStore, kind: u64) {
        let address = self.proxy.address;
        let mut record =
            upstream_record(address, self.service, &self.software, "ready");
        let key = format!("servers/{UNREADABLE}");
        match kind % 9 {
            0 => record["capacity"] = json!("many"),
            1 => record["state"] = json!("resting"),
            2 => record["address"] = json!("127.0.0.1:0"),
            3 => record["warmup_left_ms"] = json!(null),
            4 => record = json!([address.to_string()]),
            5 => return store.put_odd(&key, "value", json!("%")),
            6 => return store.put_odd(&key, "revision", json!(-1)),
            7 => return store.put_odd(&key, "key_file", json!(null)),
            _ => return store.put(&format!("{key} &#%+\u{e9}"), &record),
        }
        store.put(&key, &record);
    }

    /// Writes its record with this state to the store.
    pub fn record(&self, store: &PlatformStore, state: &str) {
        let address = self.proxy.address;
        let mut record =
            upstream_record(address, self.service, &self.software, state);
        if let Some(limited) = &self.limited {
            record["capacity"] = json!(limited.count);
        }
        record["born"] = json!(self.born.load(Ordering::Relaxed));
        record["sequence"] = json!(self.next_sequence());
        store.put(&self.key(), &record);
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns three records without a start time: one that says that it is
    /// ready, and two that say that it is leaving.
    pub fn quiet_records(&self) -> [Value; 3] {
        ["ready", "draining", "draining"].map(|state| {
            let (address, software) = (self.proxy.address, &self.software);
            let mut record =
                upstream_record(address, self.service, software, state);
            if let Some(limited) = &self.limited {
                record["capacity"] = json!(limited.count);
            }
            record["sequence"] = json!(self.next_sequence());
            record
        })
    }

    /// Returns the store key of its record.
    pub fn key(&self) -> String {
        format!("servers/{}", self.upstream.id)
    }

    /// Sets how it treats requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.behaviour.store(behaviour as u8, Ordering::Relaxed);
    }

    /// Sets the mode of the proxy before it.
    pub fn set_mode(&self, mode: Mode) {
        self.proxy.set_mode(mode);
    }
}

/// The state that an upstream's script shares with its [`Worker`].
struct ScriptState {
    id: String,
    software: String,
    started_at: Instant,
    runs: Runs,
    behaviour: Arc<AtomicU8>,
    born: Arc<AtomicU64>,
    has_crashing_request: Arc<AtomicBool>,
    signals_leaving: Arc<AtomicBool>,
    rate_limit: Arc<Mutex<Option<String>>>,
    limited: Option<Arc<Limited>>,
}

impl ScriptState {
    fn into_script(self) -> Script {
        Box::new(move |request| self.serve(request))
    }

    fn serve(&self, request: &RawRequest) -> Vec<Step> {
        let behaviour = self.behaviour.load(Ordering::Relaxed);
        let mut behaviour = Behaviour::from_number(behaviour);
        if rand::rng().random::<f64>() > FAULTY_SHARE {
            behaviour = Behaviour::Well;
        }
        let expected = request.header("lupinseam-expected-instance");
        let declined = [("Lupinseam-Not-Executed", "1")];
        if !expected.is_empty() && expected != self.id {
            self.record_request(request, |received| &mut received.declined);
            let head = response_headers(request, &declined);
            return vec![Step::Send(answer(421, &head, ""))];
        }
        if behaviour == Behaviour::Declining {
            self.record_request(request, |received| &mut received.declined);
            let head = response_headers(request, &declined);
            return vec![Step::Send(answer(503, &head, ""))];
        }
        if behaviour == Behaviour::Resting {
            self.record_request(request, |received| &mut received.declined);
            self.record_signal(request, Some(BACKOFF));
            let seconds = BACKOFF.as_secs().to_string();
            let more = [declined[0], ("Retry-After", seconds.as_str())];
            let head = response_headers(request, &more);
            return vec![Step::Send(answer(503, &head, ""))];
        }
        // Crashing requests need no slot, so that each crashes its upstream.
        if is_crashing(&request.path) {
            self.record_request(request, |received| &mut received.runs);
            self.has_crashing_request.store(true, Ordering::Relaxed);
            return vec![Step::Wait(CRASH_TIME), Step::Close];
        }
        let (mut work_time, mut load) = (WORK_TIME, None);
        if let Some(limited) = &self.limited {
            match self.work(request, limited) {
                Ok(with_load) => load = Some(with_load),
                Err(with_load) => {
                    let more =
                        [declined[0], (INSTANCE_LOAD, with_load.as_str())];
                    let head = response_headers(request, &more);
                    return vec![Step::Send(answer(503, &head, ""))];
                }
            }
            work_time = Duration::ZERO;
        } else {
            self.record_request(request, |received| &mut received.runs);
        }
        let is_stream = self.is_stream_request(request);
        let rate_limit = self.rate_limit.lock().unwrap().clone();
        let mut signal_headers = Vec::new();
        if let Some(load) = &load {
            signal_headers.push((INSTANCE_LOAD, load.as_str()));
        }
        if let Some(rate) = &rate_limit {
            self.record_rate_limit(request);
            signal_headers.push(("Server-Limit", rate.as_str()));
        }
        if self.signals_leaving.load(Ordering::Relaxed) {
            self.record_signal(request, None);
            signal_headers.push(("Server-Leaving", "1"));
        }
        match behaviour {
            Behaviour::LosingAnswers => {
                let work = [Step::Wait(work_time)];
                work.into_iter().chain(no_response(request)).collect()
            }
            Behaviour::Failing => {
                let head = response_headers(request, &signal_headers);
                vec![Step::Wait(work_time), Step::Send(answer(500, &head, ""))]
            }
            _ if is_stream => stream(request, behaviour, &signal_headers),
            _ => plain(request, behaviour, work_time, &signal_headers),
        }
    }

    /// Runs a request once it has a slot, or declines it if the queue is full;
    /// returns the load to state in the response.
    fn work(
        &self,
        request: &RawRequest,
        limited: &Limited,
    ) -> Result<String, String> {
        let slots = limited.slots.lock().unwrap().clone();
        let Some((place, held)) = slots.admit() else {
            self.record_request(request, |received| &mut received.declined);
            return Err(limited.load(&slots, self.started_at.elapsed()));
        };
        if held > most_held(limited.count) {
            let (upstream, at) = (self.id.clone(), self.started_at.elapsed());
            let overfill = Overfill { upstream, at, held };
            self.runs.lock().unwrap().overfills.push(overfill);
        }
        // From here on, the VM cannot know whether the request will run.
        self.record_request(request, |received| &mut received.runs);
        place.wait();
        let now = self.started_at.elapsed();
        thread::sleep(limited.pace.service_time(now));
        drop(place);
        Ok(limited.load(&slots, self.started_at.elapsed()))
    }

    /// Records a signal of its response: a backoff, or that it is leaving if
    /// `backoff` is `None`.
    fn record_signal(&self, request: &RawRequest, backoff: Option<Duration>) {
        let signal = UpstreamSignal {
            id: request.header("lupinseam-attempt-id").to_owned(),
            upstream: self.id.clone(),
            life: self.born.load(Ordering::Relaxed),
            at: self.started_at.elapsed(),
            rest: backoff,
        };
        self.runs.lock().unwrap().signals.push(signal);
    }

    /// Records that its response states its rate limit.
    fn record_rate_limit(&self, request: &RawRequest) {
        let signal = RateLimitSignal {
            id: request.header("lupinseam-attempt-id").to_owned(),
            upstream: self.id.clone(),
            life: self.born.load(Ordering::Relaxed),
            at: self.started_at.elapsed(),
        };
        self.runs.lock().unwrap().rate_limit_signals.push(signal);
    }

    fn is_stream_request(&self, request: &RawRequest) -> bool {
        ["/write/", "/tell/"].iter().any(|p| request.path.starts_with(p))
    }

    /// Records a request in the list that `list` selects.
    fn record_request(
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

/// Returns the body that an upstream generates for a plain request.
pub fn plain_body(id: &str) -> String {
    format!("made for {id}")
}

/// Returns one event that an upstream generates for a stream.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// Returns what a request gets in place of a response: the connection is
/// closed, also within the head, or bytes come without end, fast or slowly, in
/// a head or a body.
fn no_response(request: &RawRequest) -> Vec<Step> {
    let mut rng = rand::rng();
    if rng.random() {
        let mut head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n".to_vec();
        head.truncate(rng.random_range(0..=head.len()));
        return vec![Step::Send(head), Step::Close];
    }
    let count = if rng.random() { FAST_COUNT } else { 1 };
    let without_end =
        |bytes: &[u8]| Step::SendEndlessly(bytes.repeat(count), ENDLESS_PAUSE);
    match rng.random_range(0..3) {
        0 => vec![without_end(b"HTTP/1.1 100 Continue\r\n\r\n")],
        1 => vec![without_end(b"no response ")],
        _ => {
            let more = [("Transfer-Encoding", "chunked")];
            let mut head = String::from("HTTP/1.1 200 OK\r\n");
            for (name, value) in response_headers(request, &more) {
                head += &format!("{name}: {value}\r\n");
            }
            let head = Step::Send((head + "\r\n").into_bytes());
            vec![head, without_end(b"1\r\na\r\n")]
        }
    }
}

fn plain(
    request: &RawRequest,
    behaviour: Behaviour,
    work_time: Duration,
    signal_headers: &[(&str, &str)],
) -> Vec<Step> {
    let id = request.header("lupinseam-attempt-id");
    let response = match behaviour {
        Behaviour::Foreign => {
            let head = [("Lupinseam-Attempt-Id", "another")];
            answer(200, &head, "made for another")
        }
        _ => answer(
            200,
            &response_headers(request, signal_headers),
            &plain_body(id),
        ),
    };
    let mut steps = vec![Step::Wait(work_time), Step::Send(response)];
    if behaviour == Behaviour::Surplus {
        let head = [("Lupinseam-Attempt-Id", "another")];
        steps.push(Step::Send(answer(200, &head, "made for another")));
    }
    steps
}

fn stream(
    request: &RawRequest,
    behaviour: Behaviour,
    signal_headers: &[(&str, &str)],
) -> Vec<Step> {
    let id = request.header("lupinseam-attempt-id");
    let attempt_id = match behaviour {
        Behaviour::Foreign => "another",
        _ => id,
    };
    let mut rng = rand::rng();
    let may_be_unsure = request.path.starts_with("/tell/")
        && request.header("lupinseam-model") == SMALLEST_MODEL;
    let is_unsure = may_be_unsure && rng.random_bool(UNSURE_SHARE);
    let confidence = if is_unsure { 20 } else { 90 };
    let silence = rng.random_bool(SILENT_SHARE).then(|| {
        Step::Wait(Duration::from_millis(rng.random_range(SILENCE_MS)))
    });
    let head = format!(
        "HTTP/1.1 200 OK\r\nLupinseam-Attempt-Id: {attempt_id}\r\n\
         Lupinseam-Response-Seal: s\r\nLupinseam-Confidence: {confidence}\r\n\
         Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n"
    );
    let signal_headers = signal_headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    let head = format!("{head}{}\r\n", signal_headers.collect::<String>());
    let mut steps = vec![Step::Wait(WORK_TIME), Step::Send(head.into_bytes())];
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for number in after + 1..=EVENTS {
        steps.push(Step::Wait(EVENT_PAUSE));
        let event = event(id, number);
        if behaviour == Behaviour::BreakingOff && number > after + 2 {
            steps.push(Step::Send(chunk(&event[..event.len() / 2])));
            steps.push(Step::Close);
            return steps;
        }
        steps.push(Step::Send(chunk(&event)));
        if number == SILENT_AFTER {
            steps.extend(silence.clone());
        }
    }
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    if behaviour == Behaviour::Surplus {
        steps.push(Step::Send(chunk("surplus")));
    }
    steps
}

/// The services of the site with their numbers of upstreams.
pub const SERVICES: [(&str, usize); 2] = [(PLAIN, 4), (MODELS, 5)];

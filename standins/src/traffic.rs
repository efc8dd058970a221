//! Mixed traffic of two organisations, generated from a seed.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_global_executor::spawn;
use hyper::Method;
use lupinseam::{clock::SystemClock, http_client::HttpClient};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use smol::Timer;

use crate::caller::{Ask, CallRecord, Request, send};

/// The organisations of the default site.
pub const ORGANISATIONS: [&str; 2] = ["collectif", "frachtwacht"];

/// The service of each organisation whose calls must run at most once, in the
/// order of [`ORGANISATIONS`].
pub const ONCE_SERVICES: [&str; 2] = ["signatures", "alerts"];

/// The service whose calls are idempotent reads.
pub const READ_SERVICE: &str = "positions";

/// Number of newest session tokens from which a session is continued.
const MAX_OPEN_SESSIONS: usize = 16;

/// Number of newest idempotency keys from which a request is repeated.
const MAX_RECENT_KEYS: usize = 32;

/// Longest time that a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// A generator of random requests.
pub struct RequestGenerator {
    rng: ChaCha8Rng,
    next_nonce: u64,
    /// Organisation and token of sessions that can be continued.
    sessions: VecDeque<(String, String)>,
    /// Organisation, nonce and key of requests that can be repeated.
    keys: VecDeque<(String, u64, String)>,
}

impl RequestGenerator {
    /// Creates a generator whose requests depend only on the seed, except for
    /// session tokens, which come from responses.
    pub fn new(seed: u64) -> RequestGenerator {
        RequestGenerator {
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_nonce: seed.wrapping_mul(1_000_000) % (1 << 40) + 1,
            sessions: VecDeque::new(),
            keys: VecDeque::new(),
        }
    }

    /// Generates the next request.
    pub fn generate(&mut self) -> Request {
        let at = self.rng.random_range(0..ORGANISATIONS.len());
        let organisation = ORGANISATIONS[at].to_owned();
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        let kind = self.rng.random_range(0..100);
        let request = |nonce, ask| Request {
            organisation: organisation.clone(),
            nonce,
            ask,
            limit: CALLER_TIMEOUT,
        };
        match kind {
            0..25 => request(nonce, self.chat(None, false)),
            25..40 => request(nonce, self.chat(None, true)),
            40..55 => {
                let stream = self.rng.random_bool(0.5);
                let session = self.choose_session(&organisation);
                request(nonce, self.chat(Some(session), stream))
            }
            55..75 => request(nonce, read_call()),
            75..80 => request(nonce, once_call(at, None)),
            80..85 => self
                .repeat_request(&organisation)
                .unwrap_or_else(|| request(nonce, once_call(at, None))),
            _ => {
                let key = format!("k{nonce}");
                let kept = (organisation.clone(), nonce, key.clone());
                self.keys.push_back(kept);
                if self.keys.len() > MAX_RECENT_KEYS {
                    self.keys.pop_front();
                }
                request(nonce, once_call(at, Some(key)))
            }
        }
    }

    /// Records the session token of a response, to continue its session.
    pub fn record_session(&mut self, record: &CallRecord) {
        let Some(token) = &record.session else { return };
        let organisation = record.request.organisation.clone();
        self.sessions.push_back((organisation, token.clone()));
        if self.sessions.len() > MAX_OPEN_SESSIONS {
            self.sessions.pop_front();
        }
    }

    fn chat(&mut self, session: Option<String>, stream: bool) -> Ask {
        let tasks = ["draft", "summary", "tags"];
        let task = tasks.choose(&mut self.rng).copied().unwrap_or("draft");
        // Streams and sessions name a model; for other requests, the router
        // chooses one.
        let named = stream || session.is_some();
        Ask::Chat {
            model: named.then(|| "writer".to_owned()),
            task: task.to_owned(),
            difficulty: self.rng.random_range(0.0..0.9),
            tokens: self.rng.random_range(4..24),
            stream,
            session,
            priority: self.rng.random_bool(0.2).then(|| "batch".to_owned()),
        }
    }

    /// Returns the token of an open session of the organisation, or `new`.
    fn choose_session(&mut self, organisation: &str) -> String {
        let own: Vec<&(String, String)> = self
            .sessions
            .iter()
            .filter(|(owner, _)| owner == organisation)
            .collect();
        let continues = self.rng.random_bool(0.7);
        match own.choose(&mut self.rng) {
            Some((_, token)) if continues => token.clone(),
            _ => "new".to_owned(),
        }
    }

    /// Returns an earlier request of the organisation again, with the same
    /// idempotency key.
    fn repeat_request(&mut self, organisation: &str) -> Option<Request> {
        let own: Vec<&(String, u64, String)> = self
            .keys
            .iter()
            .filter(|(owner, ..)| owner == organisation)
            .collect();
        let (_, nonce, key) = own.choose(&mut self.rng)?;
        let at = ORGANISATIONS.iter().position(|o| *o == organisation)?;
        Some(Request {
            organisation: organisation.to_owned(),
            nonce: *nonce,
            ask: once_call(at, Some(key.clone())),
            limit: CALLER_TIMEOUT,
        })
    }
}

/// Returns an idempotent read call.
pub fn read_call() -> Ask {
    Ask::Service {
        service: READ_SERVICE.to_owned(),
        method: Method::GET,
        key: None,
    }
}

/// Returns a call that must run at most once, of the organisation with this
/// index in [`ORGANISATIONS`].
pub fn once_call(organisation: usize, key: Option<String>) -> Ask {
    Ask::Service {
        service: ONCE_SERVICES[organisation].to_owned(),
        method: Method::POST,
        key,
    }
}

/// Sends generated requests from several concurrent callers.
pub struct Traffic {
    client: HttpClient,
    vms: Arc<Mutex<Vec<SocketAddr>>>,
    generator: Arc<Mutex<RequestGenerator>>,
    records: Arc<Mutex<Vec<CallRecord>>>,
    remaining: Arc<AtomicU64>,
    is_ended: Arc<AtomicBool>,
}

impl Traffic {
    /// Creates traffic of at most `requests` requests to these VMs.
    pub fn new(seed: u64, requests: u64, vms: Vec<SocketAddr>) -> Traffic {
        Traffic {
            client: HttpClient::new(
                Duration::from_secs(1),
                Arc::new(SystemClock),
            ),
            vms: Arc::new(Mutex::new(vms)),
            generator: Arc::new(Mutex::new(RequestGenerator::new(seed))),
            records: Arc::default(),
            remaining: Arc::new(AtomicU64::new(requests)),
            is_ended: Arc::default(),
        }
    }

    /// Starts callers. Each has one request in flight at a time and waits for
    /// `pause` between two.
    pub fn start(
        &self,
        callers: usize,
        pause: Duration,
    ) -> Vec<async_global_executor::Task<()>> {
        (0..callers).map(|n| spawn(self.caller(n, pause).run())).collect()
    }

    /// Replaces the VMs that requests are sent to, as a load balancer in front
    /// of them would.
    pub fn set_vms(&self, vms: Vec<SocketAddr>) {
        *self.vms.lock().unwrap() = vms;
    }

    /// Stops new requests; those in flight are completed.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }

    /// Returns the number of completed requests.
    pub fn done(&self) -> usize {
        self.records.lock().unwrap().len()
    }

    /// Returns the records of the completed requests.
    pub fn records(&self) -> Vec<CallRecord> {
        self.records.lock().unwrap().clone()
    }

    fn caller(&self, number: usize, pause: Duration) -> Caller {
        Caller {
            number,
            pause,
            client: self.client.clone(),
            vms: self.vms.clone(),
            generator: self.generator.clone(),
            records: self.records.clone(),
            remaining: self.remaining.clone(),
            is_ended: self.is_ended.clone(),
        }
    }
}

/// One of the concurrent callers; it rotates through the VMs.
struct Caller {
    number: usize,
    pause: Duration,
    client: HttpClient,
    vms: Arc<Mutex<Vec<SocketAddr>>>,
    generator: Arc<Mutex<RequestGenerator>>,
    records: Arc<Mutex<Vec<CallRecord>>>,
    remaining: Arc<AtomicU64>,
    is_ended: Arc<AtomicBool>,
}

impl Caller {
    async fn run(self) {
        let mut next_vm = self.number;
        while self.claim_request() {
            let vm = {
                let vms = self.vms.lock().unwrap();
                vms[next_vm % vms.len()]
            };
            next_vm += 1;
            let request = self.generator.lock().unwrap().generate();
            let record = send(&self.client, vm, &request).await;
            self.generator.lock().unwrap().record_session(&record);
            self.records.lock().unwrap().push(record);
            if !self.pause.is_zero() {
                Timer::after(self.pause).await;
            }
        }
    }

    /// Returns whether another request may be sent, and counts it.
    fn claim_request(&self) -> bool {
        if self.is_ended.load(Ordering::Relaxed) {
            return false;
        }
        let claimed = self.remaining.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |remaining| remaining.checked_sub(1),
        );
        claimed.is_ok()
    }
}

//! Mixed traffic of two organisations, drawn from a seed.

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

/// The organisations of the usual fleet.
pub const ORGANISATIONS: [&str; 2] = ["collectif", "frachtwacht"];

/// The service whose calls must not run twice, of each organisation.
pub const ONCE_SERVICES: [&str; 2] = ["signatures", "alerts"];

/// The service that only reads.
pub const READ_SERVICE: &str = "positions";

/// Sessions that are kept to go on with.
const OPEN_SESSIONS: usize = 16;

/// Keys that are kept to be repeated.
const OPEN_KEYS: usize = 32;

/// Longest time that a caller waits for an answer.
const CALLER_LIMIT: Duration = Duration::from_secs(30);

/// A source of requests.
pub struct Mix {
    rng: ChaCha8Rng,
    next_nonce: u64,
    sessions: VecDeque<(String, String)>,
    keys: VecDeque<(String, u64, String)>,
}

impl Mix {
    /// Creates a source whose requests depend on the seed alone, but for
    /// the tokens of sessions.
    pub fn new(seed: u64) -> Mix {
        Mix {
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_nonce: seed.wrapping_mul(1_000_000) % (1 << 40) + 1,
            sessions: VecDeque::new(),
            keys: VecDeque::new(),
        }
    }

    /// The next request.
    pub fn draw(&mut self) -> Request {
        let at = self.rng.random_range(0..ORGANISATIONS.len());
        let organisation = ORGANISATIONS[at].to_owned();
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        let kind = self.rng.random_range(0..100);
        let request = |nonce, ask| Request {
            organisation: organisation.clone(),
            nonce,
            ask,
            limit: CALLER_LIMIT,
        };
        match kind {
            0..25 => request(nonce, self.chat(None, false)),
            25..40 => request(nonce, self.chat(None, true)),
            40..55 => {
                let stream = self.rng.random_bool(0.5);
                let session = self.session(&organisation);
                request(nonce, self.chat(Some(session), stream))
            }
            55..75 => request(nonce, read_call()),
            75..80 => request(nonce, once_call(at, None)),
            80..85 => self
                .repeat(&organisation)
                .unwrap_or_else(|| request(nonce, once_call(at, None))),
            _ => {
                let key = format!("k{nonce}");
                let kept = (organisation.clone(), nonce, key.clone());
                self.keys.push_back(kept);
                if self.keys.len() > OPEN_KEYS {
                    self.keys.pop_front();
                }
                request(nonce, once_call(at, Some(key)))
            }
        }
    }

    /// Takes in what came back, to go on with its session.
    pub fn take(&mut self, record: &CallRecord) {
        let Some(token) = &record.session else { return };
        let organisation = record.request.organisation.clone();
        self.sessions.push_back((organisation, token.clone()));
        if self.sessions.len() > OPEN_SESSIONS {
            self.sessions.pop_front();
        }
    }

    fn chat(&mut self, session: Option<String>, stream: bool) -> Ask {
        let tasks = ["draft", "summary", "tags"];
        let task = tasks.choose(&mut self.rng).copied().unwrap_or("draft");
        // Streams and sessions ask for a model; the rest is left open.
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

    fn session(&mut self, organisation: &str) -> String {
        let own: Vec<&(String, String)> = self
            .sessions
            .iter()
            .filter(|(owner, _)| owner == organisation)
            .collect();
        let goes_on = self.rng.random_bool(0.7);
        match own.choose(&mut self.rng) {
            Some((_, token)) if goes_on => token.clone(),
            _ => "new".to_owned(),
        }
    }

    fn repeat(&mut self, organisation: &str) -> Option<Request> {
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
            limit: CALLER_LIMIT,
        })
    }
}

/// A call that only reads.
pub fn read_call() -> Ask {
    Ask::Service {
        service: READ_SERVICE.to_owned(),
        method: Method::GET,
        key: None,
    }
}

/// A call that must not run twice, of the organisation at a position.
pub fn once_call(organisation: usize, key: Option<String>) -> Ask {
    Ask::Service {
        service: ONCE_SERVICES[organisation].to_owned(),
        method: Method::POST,
        key,
    }
}

/// Sends a mix of requests from several callers at once.
pub struct Traffic {
    client: HttpClient,
    vms: Arc<Mutex<Vec<SocketAddr>>>,
    mix: Arc<Mutex<Mix>>,
    records: Arc<Mutex<Vec<CallRecord>>>,
    left: Arc<AtomicU64>,
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
            mix: Arc::new(Mutex::new(Mix::new(seed))),
            records: Arc::default(),
            left: Arc::new(AtomicU64::new(requests)),
            is_ended: Arc::default(),
        }
    }

    /// Starts callers, each with one request at a time and a pause between.
    pub fn start(
        &self,
        callers: usize,
        pause: Duration,
    ) -> Vec<async_global_executor::Task<()>> {
        (0..callers).map(|n| spawn(self.caller(n, pause).run())).collect()
    }

    /// Changes the VMs that are asked, as a balancer would.
    pub fn set_vms(&self, vms: Vec<SocketAddr>) {
        *self.vms.lock().unwrap() = vms;
    }

    /// Ends the traffic after the requests under way.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }

    /// The number of requests that have come back.
    pub fn done(&self) -> usize {
        self.records.lock().unwrap().len()
    }

    /// What has come back.
    pub fn records(&self) -> Vec<CallRecord> {
        self.records.lock().unwrap().clone()
    }

    fn caller(&self, number: usize, pause: Duration) -> Caller {
        Caller {
            number,
            pause,
            client: self.client.clone(),
            vms: self.vms.clone(),
            mix: self.mix.clone(),
            records: self.records.clone(),
            left: self.left.clone(),
            is_ended: self.is_ended.clone(),
        }
    }
}

struct Caller {
    number: usize,
    pause: Duration,
    client: HttpClient,
    vms: Arc<Mutex<Vec<SocketAddr>>>,
    mix: Arc<Mutex<Mix>>,
    records: Arc<Mutex<Vec<CallRecord>>>,
    left: Arc<AtomicU64>,
    is_ended: Arc<AtomicBool>,
}

impl Caller {
    async fn run(self) {
        let mut turn = self.number;
        while self.take_one() {
            let vm = {
                let vms = self.vms.lock().unwrap();
                vms[turn % vms.len()]
            };
            turn += 1;
            let request = self.mix.lock().unwrap().draw();
            let record = send(&self.client, vm, &request).await;
            self.mix.lock().unwrap().take(&record);
            self.records.lock().unwrap().push(record);
            if !self.pause.is_zero() {
                Timer::after(self.pause).await;
            }
        }
    }

    fn take_one(&self) -> bool {
        if self.is_ended.load(Ordering::Relaxed) {
            return false;
        }
        let taken = self.left.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |left| left.checked_sub(1),
        );
        taken.is_ok()
    }
}

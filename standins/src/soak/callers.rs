//! Callers of a soak: each sends one request after the other and keeps its
//! connections open for reuse for as long as the VM allows it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    client::Connection,
    crashing::crashing_segment,
    evidence::{Call, Kind},
    load::{self, Load},
    preferences::PREFERRED_SHARE,
    upstreams::{EVENTS, event, plain_body},
};
use crate::gateway_site::{HttpReply, KEY};

/// Deadline that each request states to the VM; the caller itself waits
/// [`RETRY_PAUSE`] longer.
const DEADLINE: Duration = Duration::from_millis(5000);

/// Longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;

/// Probability that a caller begins another session before a call.
const NEW_SESSION_SHARE: f64 = 0.1;

/// Text in the body of a response that rejects a quarantined request.
const QUARANTINE_ERROR: &str = "crashes_upstreams";

/// Pause after a 503 or a missing response; also the time beyond the deadline
/// that a caller waits for a response.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// A VM as its callers see it.
pub struct VmEndpoint {
    /// Where callers connect: the proxy before the VM.
    pub address: SocketAddr,
    /// Whether the load balancer sends new connections to it.
    pub is_ready: AtomicBool,
    /// The incarnation of its process, counted from 1; 0 before the first.
    pub incarnation: AtomicU32,
}

/// State that all callers of a run share.
pub struct Callers {
    /// The VMs, by index.
    pub endpoints: Vec<VmEndpoint>,
    /// API keys to use besides the one that is never removed; at least all but
    /// the last have been removed.
    pub keys: Mutex<Vec<String>>,
    /// The number of the route added last; 0 if none was.
    pub last_route: AtomicU64,
    /// Calls, in the order in which they ended.
    pub calls: Mutex<Vec<Call>>,
    /// The VM that gets most new connections, if the load balancer prefers
    /// one.
    pub preferred: Mutex<Option<usize>>,
    load: Load,
    started_at: Instant,
    next_id: AtomicU64,
    is_stopping: AtomicBool,
}

impl Callers {
    /// Creates the shared state; starts no caller yet.
    pub fn new(
        endpoints: Vec<VmEndpoint>,
        load: Load,
        started_at: Instant,
    ) -> Arc<Callers> {
        Arc::new(Callers {
            endpoints,
            keys: Mutex::default(),
            last_route: AtomicU64::new(0),
            calls: Mutex::default(),
            preferred: Mutex::default(),
            load,
            started_at,
            next_id: AtomicU64::new(1),
            is_stopping: AtomicBool::new(false),
        })
    }

    /// Starts `count` callers and those of the load, which run until
    /// [`Callers::stop`].
    pub fn run(
        self: &Arc<Callers>,
        count: u64,
        seed: u64,
    ) -> Vec<thread::JoinHandle<()>> {
        let caller = |number| {
            let callers = self.clone();
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32));
            let key = self.load.key(number, count);
            let is_loud = number > count;
            thread::spawn(move || {
                callers.call_repeatedly(number, &key, is_loud, rng);
            })
        };
        (1..=count + self.load.extra_callers(count)).map(caller).collect()
    }

    /// Returns whether the callers are to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Stops the callers after their current request.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Makes one call after the other; if it is overloading, in bursts only.
    fn call_repeatedly(
        &self,
        number: u64,
        permanent_key: &str,
        is_loud: bool,
        mut rng: ChaCha8Rng,
    ) {
        let mut connections = HashMap::new();
        let mut session = 0;
        while !self.is_stopping() {
            if is_loud && !load::is_burst(self.started_at.elapsed()) {
                thread::sleep(RETRY_PAUSE);
                continue;
            }
            let kind = self.draw_kind(&mut rng);
            let key = match permanent_key {
                KEY => self.draw_key(kind, &mut rng),
                other => other.to_owned(),
            };
            // Most requests reuse an open connection, even if the load
            // balancer sends no new connections to its VM.
            let is_preferring = self.preferred.lock().unwrap().is_some();
            let reuses = !is_preferring && rng.random::<f64>() < 0.7;
            let used: Vec<usize> = connections.keys().copied().collect();
            let vm = match used.choose(&mut rng).filter(|_| reuses) {
                Some(vm) => *vm,
                None => self.draw_vm(&mut rng),
            };
            if rng.random::<f64>() < NEW_SESSION_SHARE {
                session += 1;
            }
            let name = format!("s-{number}-{session}");
            let session_name = kind.is_stream().then_some(name);
            let status =
                self.call(vm, kind, &key, session_name, &mut connections);
            if matches!(status, 0 | 503) {
                thread::sleep(RETRY_PAUSE);
            }
            let pause_ms = rng.random_range(0..MAX_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    fn draw_kind(&self, rng: &mut ChaCha8Rng) -> Kind {
        let last_route = self.last_route.load(Ordering::Relaxed);
        match rng.random_range(0..10) {
            0..3 => Kind::Read,
            3..5 => Kind::Once,
            5..7 => Kind::Write,
            7..8 => Kind::Tell,
            _ if last_route > 0 => {
                // Mostly the newest; the others show whether a VM has lost an
                // older route.
                let newest = rng.random::<f64>() < 0.7;
                let any = rng.random_range(1..=last_route);
                Kind::Probe(if newest { last_route } else { any })
            }
            _ => Kind::Read,
        }
    }

    fn draw_key(&self, kind: Kind, rng: &mut ChaCha8Rng) -> String {
        let keys = self.keys.lock().unwrap();
        let other = keys.choose(rng).filter(|_| {
            !matches!(kind, Kind::Probe(_)) && rng.random::<f64>() < 0.4
        });
        other.cloned().unwrap_or_else(|| KEY.to_owned())
    }

    /// Draws a VM that the load balancer uses, or any VM if it uses none.
    fn draw_vm(&self, rng: &mut ChaCha8Rng) -> usize {
        let is_ready = |vm: &usize| {
            let endpoint = &self.endpoints[*vm];
            endpoint.is_ready.load(Ordering::Relaxed)
        };
        let preferred = *self.preferred.lock().unwrap();
        if let Some(vm) = preferred.filter(is_ready)
            && rng.random::<f64>() < PREFERRED_SHARE
        {
            return vm;
        }
        let open: Vec<usize> =
            (0..self.endpoints.len()).filter(is_ready).collect();
        let any = rng.random_range(0..self.endpoints.len());
        open.choose(rng).copied().unwrap_or(any)
    }

    /// Makes one call and records it; returns its status.
    ///
    /// Returns 0 without a record if no connection could be opened. Where load
    /// exceeds the slots, a caller whose plain request is rejected returns
    /// once, after the time in `Retry-After`.
    pub fn call(
        &self,
        vm: usize,
        kind: Kind,
        key: &str,
        session: Option<String>,
        connections: &mut HashMap<usize, Connection>,
    ) -> u16 {
        let (path, response) =
            self.send(vm, kind, key, session, None, connections);
        let returns = self.load.slots.is_some()
            && matches!(kind, Kind::Read | Kind::Once)
            && matches!(response.status, 429 | 503);
        let retry_after = response.header("retry-after").parse();
        match retry_after.map(Duration::try_from_secs_f64) {
            Ok(Ok(wait)) if returns => {
                thread::sleep(wait.min(DEADLINE / 3));
                let path = Some(path);
                let sent = self.send(vm, kind, key, None, path, connections);
                sent.1.status
            }
            _ => response.status,
        }
    }

    /// Sends a request, with this path if it was rejected before, and records
    /// it; returns its path and the response.
    fn send(
        &self,
        vm: usize,
        kind: Kind,
        key: &str,
        session: Option<String>,
        path: Option<String>,
        connections: &mut HashMap<usize, Connection>,
    ) -> (String, HttpReply) {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("c-{number}");
        let path = path.unwrap_or_else(|| kind.path(&id));
        let endpoint = &self.endpoints[vm];
        let opened = connections
            .remove(&vm)
            .map_or_else(|| Connection::open(endpoint.address), Ok);
        let Ok(mut connection) = opened else {
            return (path, HttpReply::default());
        };
        let incarnation = endpoint.incarnation.load(Ordering::Relaxed);
        let sent_at = self.started_at.elapsed();
        let request = request(kind, &path, &id, key, session.as_deref());
        let (response, is_reusable) =
            connection.send(&request, DEADLINE + RETRY_PAUSE);
        if is_reusable {
            connections.insert(vm, connection);
        }
        self.calls.lock().unwrap().push(Call {
            is_own: is_own(kind, &id, &response),
            is_whole: response.whole,
            is_held_back: response.body.contains(QUARANTINE_ERROR),
            status: response.status,
            id,
            kind,
            vm,
            life: incarnation,
            key: key.to_owned(),
            path: path.clone(),
            session,
            sent_at,
            ended_at: self.started_at.elapsed(),
        });
        (path, response)
    }
}

fn request(
    kind: Kind,
    path: &str,
    id: &str,
    key: &str,
    session: Option<&str>,
) -> String {
    let session = session.map(|name| format!("Session: {name}\r\n"));
    let session = session.unwrap_or_default();
    let deadline_ms = DEADLINE.as_millis();
    let prompt = prompt(kind, id);
    let (method, more) = match kind {
        Kind::Read | Kind::Probe(_) | Kind::Deadly(_) => {
            ("GET", prompt.as_str())
        }
        Kind::Once => ("POST", "Content-Length: 0\r\n"),
        Kind::Write | Kind::Tell => (
            "POST",
            "Lupinseam-Model: *\r\nLupinseam-Token-Count: 100,50\r\n\
             Lupinseam-Prefix-Hash: a1:40,b2:40,c3:20\r\n\
             Content-Length: 0\r\n",
        ),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\n\
         Lupinseam-Attempt-Id: {id}\r\n\
         Lupinseam-Deadline-Ms: {deadline_ms}\r\nApi-Key: {key}\r\n\
         {session}{more}\r\n"
    )
}

/// Returns the header with the prompt of a plain request: two segments that
/// all share, the crashing one of some, and its own.
fn prompt(kind: Kind, id: &str) -> String {
    let crashing = match kind {
        Kind::Deadly(number) => crashing_segment(number),
        _ => None,
    };
    let crashing = crashing.map(|segment| format!("{segment:x}:40,"));
    let crashing = crashing.unwrap_or_default();
    let own = id.trim_start_matches("c-");
    format!("Lupinseam-Prefix-Hash: a1:40,b2:40,{crashing}{own}:20\r\n")
}

/// Returns whether a response body is exactly what an upstream generates for
/// this call.
fn is_own(kind: Kind, id: &str, response: &HttpReply) -> bool {
    match kind {
        Kind::Write | Kind::Tell => {
            let events = (1..=EVENTS).map(|number| event(id, number));
            response.body == events.collect::<String>()
        }
        _ => response.body == plain_body(id),
    }
}

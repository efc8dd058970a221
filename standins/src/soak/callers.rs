//! Callers of a soak: each sends one request after the other, over
//! connections that it keeps until the VM's process is gone.

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
    evidence::{Call, Kind},
    upstreams::{EVENTS, event, plain_body},
};
use crate::gateway_site::{Got, KEY};

/// Time that a caller gives a request; callers and VMs are told the same.
const DEADLINE: Duration = Duration::from_millis(5000);

/// Longest pause between two requests of a caller.
const PAUSE_MOST_MS: u64 = 60;

/// Share of the calls before which a caller begins another session.
const SESSION_ENDS: f64 = 0.1;

/// What says that a request is held back.
const HELD_BACK: &str = "crashes_upstreams";

/// Pause after a refusal or a connection that did not open.
const REST: Duration = Duration::from_millis(60);

/// How a VM is seen by callers.
pub struct Door {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Whether the balancer gives it connections.
    pub is_open: AtomicBool,
    /// Its process, counted from 1.
    pub life: AtomicU32,
}

/// What all callers share.
pub struct Callers {
    /// The VMs.
    pub doors: Vec<Door>,
    /// Keys besides the one that is never taken away; the last may have been.
    pub keys: Mutex<Vec<String>>,
    /// The number of the last route that was added.
    pub last_route: AtomicU64,
    /// Calls, as they ended.
    pub calls: Mutex<Vec<Call>>,
    started_at: Instant,
    next_id: AtomicU64,
    is_over: AtomicBool,
}

impl Callers {
    /// Callers of these VMs, none of which runs yet.
    pub fn new(doors: Vec<Door>, started_at: Instant) -> Arc<Callers> {
        Arc::new(Callers {
            doors,
            keys: Mutex::default(),
            last_route: AtomicU64::new(0),
            calls: Mutex::default(),
            started_at,
            next_id: AtomicU64::new(1),
            is_over: AtomicBool::new(false),
        })
    }

    /// Runs so many callers until they are told to stop.
    pub fn run(
        self: &Arc<Callers>,
        count: u64,
        seed: u64,
    ) -> Vec<thread::JoinHandle<()>> {
        let caller = |number| {
            let callers = self.clone();
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32));
            thread::spawn(move || callers.call_on(number, rng))
        };
        (1..=count).map(caller).collect()
    }

    /// Whether they are to stop.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Tells the callers to stop after the request at hand.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    fn call_on(&self, number: u64, mut rng: ChaCha8Rng) {
        let mut kept = HashMap::new();
        let mut session = 0;
        while !self.is_over() {
            let kind = self.draw_kind(&mut rng);
            let key = self.draw_key(kind, &mut rng);
            // Most requests stay on a connection that is open already, also
            // when the balancer gives the VM no new ones.
            let keeps = rng.random::<f64>() < 0.7;
            let used: Vec<usize> = kept.keys().copied().collect();
            let vm = match used.choose(&mut rng).filter(|_| keeps) {
                Some(vm) => *vm,
                None => self.draw_door(&mut rng),
            };
            if rng.random::<f64>() < SESSION_ENDS {
                session += 1;
            }
            let name = format!("s-{number}-{session}");
            let session_of = kind.is_stream().then_some(name);
            let status = self.call(vm, kind, &key, session_of, &mut kept);
            if matches!(status, 0 | 503) {
                thread::sleep(REST);
            }
            let pause_ms = rng.random_range(0..PAUSE_MOST_MS);
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
                // Mostly the newest; any of the others may have been lost.
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

    fn draw_door(&self, rng: &mut ChaCha8Rng) -> usize {
        let is_open = |vm: &usize| {
            let door = &self.doors[*vm];
            door.is_open.load(Ordering::Relaxed)
        };
        let open: Vec<usize> = (0..self.doors.len()).filter(is_open).collect();
        let any = rng.random_range(0..self.doors.len());
        open.choose(rng).copied().unwrap_or(any)
    }

    /// Makes one call and notes it; returns its status.
    pub fn call(
        &self,
        vm: usize,
        kind: Kind,
        key: &str,
        session: Option<String>,
        kept: &mut HashMap<usize, Connection>,
    ) -> u16 {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("c-{number}");
        let door = &self.doors[vm];
        let opened = kept
            .remove(&vm)
            .map_or_else(|| Connection::open(door.address), Ok);
        let Ok(mut connection) = opened else { return 0 };
        let life = door.life.load(Ordering::Relaxed);
        let sent_at = self.started_at.elapsed();
        let text = request(kind, &id, key, session.as_deref());
        let (got, is_kept) = connection.ask(&text, DEADLINE + REST);
        let status = got.status;
        if is_kept {
            kept.insert(vm, connection);
        }
        self.calls.lock().unwrap().push(Call {
            is_own: is_own(kind, &id, &got),
            is_whole: got.whole,
            is_held_back: got.body.contains(HELD_BACK),
            status,
            id,
            kind,
            vm,
            life,
            key: key.to_owned(),
            session,
            sent_at,
            ended_at: self.started_at.elapsed(),
        });
        status
    }
}

fn request(kind: Kind, id: &str, key: &str, session: Option<&str>) -> String {
    let session = session.map(|name| format!("Session: {name}\r\n"));
    let session = session.unwrap_or_default();
    let deadline_ms = DEADLINE.as_millis();
    let path = kind.path(id);
    let (method, more) = match kind {
        Kind::Read | Kind::Probe(_) | Kind::Deadly(_) => ("GET", ""),
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

/// Whether an answer is all of what an upstream made for this call.
fn is_own(kind: Kind, id: &str, got: &Got) -> bool {
    match kind {
        Kind::Write | Kind::Tell => {
            let events = (1..=EVENTS).map(|number| event(id, number));
            got.body == events.collect::<String>()
        }
        _ => got.body == plain_body(id),
    }
}

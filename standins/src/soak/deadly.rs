//! Requests of a soak that crash each upstream that runs them, and whether
//! they are stopped.
//!
//! There are a few in a soak. Each comes again and again, at any VM, in series
//! and several at once, always under another id.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    thread,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    callers::Callers,
    check::{Promise, SLACK, Violation, violation},
    evidence::{CONTACT_TIME, Evidence, Kind, Run},
};
use crate::gateway_site::KEY;

/// The most that come in one soak.
const MOST: u64 = 3;

/// Longest pause between two sends of one of them, in milliseconds.
const PAUSE_MOST_MS: u64 = 1500;

/// Sends of one of them at once, at most.
const AT_ONCE_MOST: usize = 3;

/// Upstreams that may end under one before its time counts.
const ENDS: usize = 3;

/// Further sends that are allowed once that time is over.
const SENDS_MOST: usize = 3;

/// The path of the deadly request with this number.
pub fn path(number: u64) -> String {
    format!("/read/deadly-{number}")
}

/// Whether a path is that of a deadly request.
pub fn is_deadly(path: &str) -> bool {
    path.starts_with("/read/deadly-")
}

/// Sends deadly requests until the callers stop, each from its own thread.
pub fn run(callers: &Arc<Callers>, seed: u64) -> Vec<thread::JoinHandle<()>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (u64::MAX << 48));
    let count = rng.random_range(1..=MOST);
    let sender = |number| {
        let callers = callers.clone();
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 52));
        thread::spawn(move || send_on(&callers, number, rng))
    };
    (1..=count).map(sender).collect()
}

fn send_on(callers: &Arc<Callers>, number: u64, mut rng: ChaCha8Rng) {
    while !callers.is_over() {
        let pause_ms = rng.random_range(0..PAUSE_MOST_MS);
        thread::sleep(Duration::from_millis(pause_ms));
        let count = rng.random_range(1..=AT_ONCE_MOST);
        let sends = (0..count).map(|_| {
            let vm = rng.random_range(0..callers.doors.len());
            let callers = callers.clone();
            thread::spawn(move || {
                let kind = Kind::Deadly(number);
                callers.call(vm, kind, KEY, None, &mut HashMap::new());
            })
        });
        for send in sends.collect::<Vec<_>>() {
            // One that panicked has printed why.
            let _ = send.join();
        }
    }
}

/// How many deadly requests were sent, and the most upstreams that ended
/// under one of them.
pub fn summary(evidence: &Evidence) -> (usize, usize) {
    let by_path = runs_by_path(evidence);
    let sent: HashSet<Kind> = evidence
        .calls
        .iter()
        .filter(|call| matches!(call.kind, Kind::Deadly(_)))
        .map(|call| call.kind)
        .collect();
    let ended = by_path.values().map(|runs| ends(runs).len()).max();
    (sent.len(), ended.unwrap_or(0))
}

fn runs_by_path(evidence: &Evidence) -> BTreeMap<&str, Vec<&Run>> {
    let mut by_path: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in evidence.runs.iter().filter(|run| is_deadly(&run.path)) {
        by_path.entry(&run.path).or_default().push(run);
    }
    for runs in by_path.values_mut() {
        runs.sort_by_key(|run| run.at);
    }
    by_path
}

/// When the upstreams of these runs ended; two runs in one life end it once.
fn ends(runs: &[&Run]) -> Vec<Duration> {
    let mut lives = HashSet::new();
    let first = runs
        .iter()
        .filter(|run| lives.insert((run.upstream.as_str(), run.life)));
    first.map(|run| run.at).collect()
}

/// A request is sent no more once three upstreams have ended under it, by VMs
/// that have been in touch.
pub(super) fn stopped(evidence: &Evidence) -> Vec<Violation> {
    let calls = evidence.calls_by_id();
    let mut found = Vec::new();
    for (path, runs) in runs_by_path(evidence) {
        let Some(third) = ends(&runs).get(ENDS - 1).copied() else { continue };
        let from = third + CONTACT_TIME + SLACK;
        let later = runs.iter().filter(|run| {
            let call = calls.get(run.id.as_str());
            run.at > from
                && call.is_some_and(|call| {
                    evidence.is_undisturbed(call.vm, call.sent_at, run.at)
                })
        });
        let later: Vec<&str> = later.map(|run| run.id.as_str()).collect();
        if later.len() > SENDS_MOST {
            let what = format!("{path} ended three by {third:?}: {later:?}");
            found.push(violation(Promise::Deadly, what));
        }
    }
    found
}

/// No other request is refused for what one of them did.
pub(super) fn others_taken(evidence: &Evidence) -> Vec<Violation> {
    let others = evidence.calls.iter().filter(|call| {
        call.is_held_back && !matches!(call.kind, Kind::Deadly(_))
    });
    let broken = |id: &str| {
        let what = format!("{id} is held back and ends nothing");
        violation(Promise::OthersTaken, what)
    };
    others.map(|call| broken(&call.id)).collect()
}

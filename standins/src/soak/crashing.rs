//! Crashing requests, which crash each upstream that runs them, and the check
//! that the VMs quarantine them.
//!
//! A run has a few different ones. Each is sent again and again to random VMs,
//! one after the other and several at once, always with another attempt ID.
//! Some are sent identically; of others, no two are alike, but their prompts
//! share the segment that crashes upstreams.
//! [`Kind::Deadly`] and the paths call such a request "deadly".

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

/// Largest number of different crashing requests in a run.
const MAX_REQUESTS: u64 = 3;

/// Longest pause between two batches of the same request, in milliseconds.
const MAX_PAUSE_MS: u64 = 1500;

/// Largest number of concurrent sends of the same request.
const MAX_CONCURRENT: usize = 3;

/// Upstream crashes after which a request must be quarantined.
const MAX_CRASHES: usize = 3;

/// Upstream crashes after which a shared segment must be quarantined.
const MAX_SEGMENT_CRASHES: usize = 5;

/// Added to the number of crashing requests that share only a segment.
const SEGMENT_OFFSET: u64 = 100;

/// Added to that number for the ID of the segment.
const FIRST_SEGMENT: u64 = 0xdead_0000;

/// Arrivals that are still allowed once the request must be quarantined.
const MAX_LATE_ARRIVALS: usize = 3;

/// Returns whether the crashing requests with this number share only a
/// segment of their prompts.
fn shares_only_segment(number: u64) -> bool {
    number > SEGMENT_OFFSET
}

/// Returns the path of the crashing request with this number and call ID.
pub fn path(number: u64, id: &str) -> String {
    match shares_only_segment(number) {
        true => format!("/read/deadly-{number}/{id}"),
        false => format!("/read/deadly-{number}"),
    }
}

/// Returns the prompt segment with which the requests with this number crash
/// upstreams, if they share only that.
pub fn crashing_segment(number: u64) -> Option<u64> {
    shares_only_segment(number).then_some(FIRST_SEGMENT + number)
}

/// Returns what the paths of all crashing requests with the same number begin
/// with, and that number.
fn group(path: &str) -> (&str, u64) {
    let rest = path.strip_prefix("/read/deadly-").unwrap_or_default();
    let digits = rest.split('/').next().unwrap_or_default();
    let length = path.len() - rest.len() + digits.len();
    (&path[..length], digits.parse().unwrap_or(0))
}

/// Returns whether a path is that of a crashing request.
pub fn is_crashing(path: &str) -> bool {
    path.starts_with("/read/deadly-")
}

/// Returns the numbers of the crashing requests of a run. Those of odd seeds
/// are all sent identically.
pub fn numbers(seed: u64) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (u64::MAX << 48));
    let count = rng.random_range(1..=MAX_REQUESTS);
    let mut offset = || match seed.is_multiple_of(2) && rng.random() {
        true => SEGMENT_OFFSET,
        false => 0,
    };
    (1..=count).map(|number| number + offset()).collect()
}

/// Starts a thread for each crashing request, which sends it until the callers
/// stop.
pub fn run(callers: &Arc<Callers>, seed: u64) -> Vec<thread::JoinHandle<()>> {
    let sender = |number| {
        let callers = callers.clone();
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 52));
        thread::spawn(move || send_repeatedly(&callers, number, rng))
    };
    numbers(seed).into_iter().map(sender).collect()
}

fn send_repeatedly(callers: &Arc<Callers>, number: u64, mut rng: ChaCha8Rng) {
    while !callers.is_stopping() {
        let pause_ms = rng.random_range(0..MAX_PAUSE_MS);
        thread::sleep(Duration::from_millis(pause_ms));
        let count = rng.random_range(1..=MAX_CONCURRENT);
        let sends = (0..count).map(|_| {
            let vm = rng.random_range(0..callers.endpoints.len());
            let callers = callers.clone();
            thread::spawn(move || {
                let kind = Kind::Deadly(number);
                callers.call(vm, kind, KEY, None, &mut HashMap::new());
            })
        });
        for send in sends.collect::<Vec<_>>() {
            // A panicking thread has printed its message already.
            let _ = send.join();
        }
    }
}

/// Returns the number of different crashing requests that were sent, and the
/// largest number of upstream crashes that one of them caused.
pub fn summary(evidence: &Evidence) -> (usize, usize) {
    let by_path = runs_by_path(evidence);
    let sent: HashSet<Kind> = evidence
        .calls
        .iter()
        .filter(|call| matches!(call.kind, Kind::Deadly(_)))
        .map(|call| call.kind)
        .collect();
    let crashes = by_path.values().map(|runs| crash_times(runs).len()).max();
    (sent.len(), crashes.unwrap_or(0))
}

fn runs_by_path(evidence: &Evidence) -> BTreeMap<&str, Vec<&Run>> {
    let mut by_path: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in evidence.runs.iter().filter(|run| is_crashing(&run.path)) {
        by_path.entry(group(&run.path).0).or_default().push(run);
    }
    for runs in by_path.values_mut() {
        runs.sort_by_key(|run| run.at);
    }
    by_path
}

/// Returns when the upstreams of these runs crashed, in the order of the runs.
/// Several runs in one incarnation of an upstream count as one crash.
fn crash_times(runs: &[&Run]) -> Vec<Duration> {
    let mut incarnations = HashSet::new();
    let first = runs
        .iter()
        .filter(|run| incarnations.insert((run.upstream.as_str(), run.life)));
    first.map(|run| run.at).collect()
}

/// Checks that undisturbed VMs stop sending a request once it has crashed
/// three upstreams, or different ones once their segment has crashed five.
pub(super) fn crashing_requests_are_quarantined(
    evidence: &Evidence,
) -> Vec<Violation> {
    let calls = evidence.calls_by_id();
    let mut found = Vec::new();
    for (path, runs) in runs_by_path(evidence) {
        let allowed = match shares_only_segment(group(path).1) {
            true => MAX_SEGMENT_CRASHES,
            false => MAX_CRASHES,
        };
        let Some(last) = crash_times(&runs).get(allowed - 1).copied() else {
            continue;
        };
        let from = last + CONTACT_TIME + SLACK;
        let later = runs.iter().filter(|run| {
            let call = calls.get(run.id.as_str());
            run.at > from
                && call.is_some_and(|call| {
                    evidence.is_undisturbed(call.vm, call.sent_at, run.at)
                })
        });
        let later: Vec<&str> = later.map(|run| run.id.as_str()).collect();
        if later.len() > MAX_LATE_ARRIVALS {
            let what = format!(
                "{path} crashed {allowed} by {last:?}, then ran as {later:?}"
            );
            found.push(violation(Promise::Deadly, what));
        }
    }
    found
}

/// Checks that no other request is quarantined.
pub(super) fn others_are_not_quarantined(
    evidence: &Evidence,
) -> Vec<Violation> {
    let others = evidence.calls.iter().filter(|call| {
        call.is_held_back && !matches!(call.kind, Kind::Deadly(_))
    });
    let quarantined = |id: &str| {
        let what = format!("{id} is quarantined but crashes nothing");
        violation(Promise::OthersTaken, what)
    };
    others.map(|call| quarantined(&call.id)).collect()
}

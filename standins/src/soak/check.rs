//! Whether what a soak has seen keeps every promise.

use std::{collections::HashMap, fmt, time::Duration};

use super::evidence::{Change, Evidence, Kind, Run, Scope};

/// Time within which a key that was taken away is refused everywhere.
pub const REVOKE_TIME: Duration = Duration::from_secs(5);

/// Time within which a configuration is in force at VMs in touch.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// Time within which an upstream that is leaving gets nothing new.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// Time within which a version that was reverted gets nothing new.
const REVERT_TIME: Duration = Duration::from_secs(2);

/// Added to bounds in time: what a call takes within the soak itself.
const SLACK: Duration = Duration::from_millis(300);

/// The organisation of every key.
const ORGANISATION: &str = "village";

/// Share of the calls after all troubles that must be answered well.
const RECOVERED_SHARE: f64 = 0.9;

/// A promise of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// A caller gets the whole answer to its own request.
    OwnAnswer,
    /// An upstream gets what a caller sent, for the organisation of its key.
    AsSent,
    /// A key that was taken away opens nothing.
    RevokedKey,
    /// What every configuration allows is not denied.
    NotDenied,
    /// A configuration is in force soon and is never taken back.
    Configuration,
    /// An upstream that is leaving gets nothing new.
    LeftAlone,
    /// A version that was reverted gets nothing new.
    Withdrawn,
    /// A planned stop cuts no request.
    PlannedStop,
    /// When all troubles are over, requests are served.
    Recovery,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// By what.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.what)
    }
}

/// Everything that was violated.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let checks = [
        at_most_once,
        true_refusals,
        own_answers,
        as_sent,
        revoked_keys,
        not_denied,
        configuration_in_force,
        configuration_kept,
        left_alone,
        withdrawn,
        planned_stops,
        recovery,
    ];
    checks.iter().flat_map(|check| check(evidence)).collect()
}

fn violation(promise: Promise, what: impl Into<String>) -> Violation {
    Violation { promise, what: what.into() }
}

fn at_most_once(evidence: &Evidence) -> Vec<Violation> {
    let runs = evidence.runs_by_id();
    let once = evidence.calls.iter().filter(|c| !c.kind.may_repeat());
    once.filter_map(|call| {
        let runs = runs.get(call.id.as_str())?;
        let what = format!("{} ran {} times", call.id, runs.len());
        (runs.len() > 1).then(|| violation(Promise::AtMostOnce, what))
    })
    .collect()
}

fn true_refusals(evidence: &Evidence) -> Vec<Violation> {
    let runs = evidence.runs_by_id();
    let refused = evidence
        .calls
        .iter()
        .filter(|call| matches!(call.status, 408 | 421 | 429 | 503));
    refused
        .filter(|call| runs.contains_key(call.id.as_str()))
        .map(|call| {
            let what = format!("{} got {} and ran", call.id, call.status);
            violation(Promise::TrueRefusal, what)
        })
        .collect()
}

fn own_answers(evidence: &Evidence) -> Vec<Violation> {
    let whole = evidence.calls.iter().filter(|call| call.is_whole);
    whole
        .filter(|call| (200..300).contains(&call.status) && !call.is_own)
        .map(|call| {
            let what = format!("{} got {}, not its own", call.id, call.status);
            violation(Promise::OwnAnswer, what)
        })
        .collect()
}

fn as_sent(evidence: &Evidence) -> Vec<Violation> {
    let calls = evidence.calls_by_id();
    let is_as_sent = |run: &&Run| {
        calls.get(run.id.as_str()).is_some_and(|call| {
            let organisation = match call.kind.needs_key() {
                true => ORGANISATION,
                false => "",
            };
            run.path == call.kind.path(&run.id)
                && run.organisation == organisation
        })
    };
    let changed = evidence.runs.iter().filter(|run| !is_as_sent(run));
    changed.map(|run| violation(Promise::AsSent, format!("{run:?}"))).collect()
}

fn revoked_keys(evidence: &Evidence) -> Vec<Violation> {
    let removed: HashMap<&str, Duration> = evidence
        .changes
        .iter()
        .filter_map(|(at, change)| match change {
            Change::KeyRemoved(key) => Some((key.as_str(), *at)),
            _ => None,
        })
        .collect();
    let calls = evidence.calls_by_id();
    evidence
        .runs
        .iter()
        .filter_map(|run| {
            let call = calls.get(run.id.as_str())?;
            if !call.kind.needs_key() {
                return None;
            }
            let removed_at = *removed.get(call.key.as_str())?;
            let late = call.sent_at.checked_sub(removed_at)?;
            let what = format!(
                "{} ran under a key removed {late:?} before, by VM {}",
                run.id, call.vm
            );
            (late > REVOKE_TIME).then(|| violation(Promise::RevokedKey, what))
        })
        .collect()
}

fn not_denied(evidence: &Evidence) -> Vec<Violation> {
    let stable = evidence.calls.iter().filter(|call| {
        !matches!(call.kind, Kind::Probe(_))
            && call.key == crate::gateway_site::KEY
    });
    stable
        .filter(|call| matches!(call.status, 400 | 401 | 403 | 404))
        .map(|call| {
            let what = format!("{} got {}", call.id, call.status);
            violation(Promise::NotDenied, what)
        })
        .collect()
}

fn configuration_in_force(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (added_at, change) in &evidence.changes {
        let Change::RouteAdded(number) = change else { continue };
        let due_at = *added_at + CONFIGURATION_TIME + SLACK;
        let late = evidence.calls.iter().filter(|call| {
            call.kind == Kind::Probe(*number)
                && call.status == 404
                && call.sent_at > due_at
                && evidence.is_in_touch(call.vm, *added_at, call.sent_at)
        });
        found.extend(late.map(|call| {
            let age = call.sent_at - *added_at;
            let what =
                format!("VM {} has no route {number} {age:?} on", call.vm);
            violation(Promise::Configuration, what)
        }));
    }
    found
}

fn configuration_kept(evidence: &Evidence) -> Vec<Violation> {
    let mut known: HashMap<(usize, u32, u64), Duration> = HashMap::new();
    let mut found = Vec::new();
    for call in &evidence.calls {
        let Kind::Probe(number) = call.kind else { continue };
        let at = (call.vm, call.life, number);
        match call.status {
            404 if known.get(&at).is_some_and(|at| *at < call.sent_at) => {
                let what = format!("VM {} lost route {number}", call.vm);
                found.push(violation(Promise::Configuration, what));
            }
            200 => {
                known.entry(at).or_insert(call.ended_at);
            }
            _ => {}
        }
    }
    found
}

fn left_alone(evidence: &Evidence) -> Vec<Violation> {
    let is_at = |change: &Change, run: &Run| match change {
        Change::Leaving(upstream) => run.upstream == *upstream,
        _ => false,
    };
    run_too_late(evidence, Promise::LeftAlone, LEAVE_TIME, is_at)
}

fn withdrawn(evidence: &Evidence) -> Vec<Violation> {
    let is_of = |change: &Change, run: &Run| match change {
        Change::Reverted(software) => run.software == *software,
        _ => false,
    };
    run_too_late(evidence, Promise::Withdrawn, REVERT_TIME, is_of)
}

/// Runs that a change forbids, later than `allowed` after it, by VMs that have
/// been in touch since.
fn run_too_late(
    evidence: &Evidence,
    promise: Promise,
    allowed: Duration,
    forbids: impl Fn(&Change, &Run) -> bool,
) -> Vec<Violation> {
    let calls = evidence.calls_by_id();
    let was_in_touch = |since: Duration, run: &Run| {
        let call = calls.get(run.id.as_str());
        call.is_some_and(|call| evidence.is_in_touch(call.vm, since, run.at))
    };
    let mut found = Vec::new();
    for (at, change) in &evidence.changes {
        let late = evidence.runs.iter().filter(|run| {
            run.at > *at + allowed + SLACK
                && forbids(change, run)
                && was_in_touch(*at, run)
        });
        found.extend(late.map(|run| violation(promise, format!("{run:?}"))));
    }
    found
}

fn planned_stops(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for stop in &evidence.troubles {
        let Scope::PlannedStop(vm) = stop.scope else { continue };
        let cut = evidence.calls.iter().filter(|call| {
            call.vm == vm
                && call.sent_at < stop.from
                && call.ended_at > stop.from
                && !call.is_whole
                && !evidence.any_trouble(call.sent_at, call.ended_at, |s| {
                    !matches!(s, Scope::PlannedStop(_))
                })
        });
        found.extend(cut.map(|call| {
            let what = format!("{} was cut by a stop of VM {vm}", call.id);
            violation(Promise::PlannedStop, what)
        }));
    }
    found
}

fn recovery(evidence: &Evidence) -> Vec<Violation> {
    let (made, served) = evidence.recovery;
    let is_short = (served as f64) < made as f64 * RECOVERED_SHARE;
    let what = format!("{served} of {made} calls were served at the end");
    is_short.then(|| violation(Promise::Recovery, what)).into_iter().collect()
}

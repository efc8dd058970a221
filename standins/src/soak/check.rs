//! Whether what a soak has seen keeps every promise.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    time::Duration,
};

use super::{
    deadly,
    evidence::{Call, Change, Evidence, Kind, Order, Run, Scope},
    own_words, rate_limits,
    upstreams::UNREADABLE,
};

/// Time within which a key that was taken away is refused everywhere.
pub const REVOKE_TIME: Duration = Duration::from_secs(5);

/// Time within which a configuration is in force at VMs in touch.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// Time within which an upstream that is leaving gets nothing new.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// Time within which a version that was reverted gets nothing new.
const REVERT_TIME: Duration = Duration::from_secs(2);

/// Time after the end of a call in which the next one belongs to its session.
const SESSION_TIME: Duration = Duration::from_secs(5);

/// Calls of a session that may go to another version than the one before.
const SESSION_CHANGES: usize = 3;

/// Share of a service's requests that a bad version may get, and requests
/// besides.
const BAD_SHARE: f64 = 0.15;
const BAD_REQUESTS: f64 = 30.0;

/// Attempts beyond the first, as a share of a service's requests within a
/// window; the VMs' settings say the same.
pub const RETRY_SHARE: f64 = 0.3;

/// Attempts beyond the first besides.
pub const RETRY_EXTRA: u32 = 20;

/// The window over which both are counted, as in the VMs' settings.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Added to bounds in time: what a call takes within the soak itself.
pub(super) const SLACK: Duration = Duration::from_millis(300);

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
    /// A session keeps its version in the first half of a roll-out, and the
    /// new one if that is good.
    SessionVersion,
    /// A bad version gets a small share of the requests.
    Exposure,
    /// Attempts beyond the first stay within their budget.
    RetryBudget,
    /// An entry that cannot be read names no upstream.
    Unreadable,
    /// A request that crashes what runs it is sent no more.
    Deadly,
    /// An upstream that asks a VM for rest is left alone by it.
    RestKept,
    /// An upstream that says in an answer that it leaves gets nothing new.
    LeavingHeard,
    /// An upstream that names a rate gets no more from all VMs together.
    LimitKept,
    /// No request is held back for what another did.
    OthersTaken,
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
        session_versions,
        exposure,
        retry_budget,
        unreadable,
        deadly::stopped,
        deadly::others_taken,
        own_words::heeded,
        rate_limits::kept,
        planned_stops,
        recovery,
    ];
    checks.iter().flat_map(|check| check(evidence)).collect()
}

pub(super) fn violation(
    promise: Promise,
    what: impl Into<String>,
) -> Violation {
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
                && evidence.is_undisturbed(call.vm, *added_at, call.sent_at)
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

fn orders(evidence: &Evidence) -> Vec<(Duration, &Order)> {
    let ordered = evidence.changes.iter().filter_map(|(at, change)| {
        let Change::Ordered(order) = change else { return None };
        Some((*at, order))
    });
    ordered.collect()
}

fn session_versions(evidence: &Evidence) -> Vec<Violation> {
    let runs = evidence.runs_by_id();
    let mut sessions: HashMap<&str, Vec<(&Call, &Run)>> = HashMap::new();
    for call in &evidence.calls {
        let Some(session) = &call.session else { continue };
        for run in runs.get(call.id.as_str()).into_iter().flatten() {
            sessions.entry(session).or_default().push((call, run));
        }
    }
    let orders = orders(evidence);
    let mut changed = Vec::new();
    for runs in sessions.values_mut() {
        runs.sort_by_key(|(_, run)| run.at);
        for pair in runs.windows(2) {
            let ((before, old), (call, run)) = (pair[0], pair[1]);
            let goes_on = call.sent_at < before.ended_at + SESSION_TIME;
            let is_wrong = |(at, order): &(Duration, &Order)| {
                is_early(*at, order, run)
                    || is_back(evidence, *at, order, old, run)
            };
            if goes_on
                && old.software != run.software
                && orders.iter().any(is_wrong)
                && evidence.is_undisturbed(call.vm, before.sent_at, run.at)
            {
                changed.push(format!("{} after {}", call.id, before.id));
            }
        }
    }
    let is_broken = changed.len() > SESSION_CHANGES;
    let what = format!("sessions that changed version: {changed:?}");
    let found = violation(Promise::SessionVersion, what);
    is_broken.then_some(found).into_iter().collect()
}

/// Whether a run is at a new version in the first half of its roll-out.
fn is_early(ordered_at: Duration, order: &Order, run: &Run) -> bool {
    let half = ordered_at + order.allowed / 2;
    run.software == order.software && run.at < half
}

/// Whether a run is no longer at a new version that is good and stays.
fn is_back(
    evidence: &Evidence,
    ordered_at: Duration,
    order: &Order,
    before: &Run,
    run: &Run,
) -> bool {
    let reverted = Change::Reverted(order.software.clone());
    let stays =
        !evidence.changes.iter().any(|(_, change)| *change == reverted);
    let is_meant = before.software == order.software && run.at > ordered_at;
    let is_next = orders(evidence)
        .iter()
        .any(|(at, next)| *at > ordered_at && next.software == run.software);
    is_meant && stays && !order.is_bad && !is_next
}

fn exposure(evidence: &Evidence) -> Vec<Violation> {
    let calls = evidence.calls_by_id();
    let is_undisturbed = |run: &Run| {
        let call = calls.get(run.id.as_str());
        call.is_some_and(|c| evidence.is_undisturbed(c.vm, c.sent_at, run.at))
    };
    let mut found = Vec::new();
    for (at, order) in orders(evidence) {
        let meanwhile = |run: &&Run| {
            (at..at + order.allowed).contains(&run.at)
                && calls
                    .get(run.id.as_str())
                    .is_some_and(|c| c.kind.is_stream())
        };
        let all = evidence.runs.iter().filter(meanwhile).count();
        let new = evidence.runs.iter().filter(meanwhile).filter(|run| {
            run.software == order.software && is_undisturbed(run)
        });
        let new = new.count();
        let most = all as f64 * BAD_SHARE + BAD_REQUESTS;
        if order.is_bad && new as f64 > most {
            let what = format!("{} got {new} of {all}", order.software);
            found.push(violation(Promise::Exposure, what));
        }
    }
    found
}

fn retry_budget(evidence: &Evidence) -> Vec<Violation> {
    let calls = evidence.calls_by_id();
    let mut found = Vec::new();
    for is_stream in [true, false] {
        let is_of = |id: &str| {
            calls.get(id).is_some_and(|c| c.kind.is_stream() == is_stream)
        };
        let mut arrivals: Vec<(Duration, &str)> = evidence
            .runs
            .iter()
            .chain(&evidence.declined)
            .filter(|run| is_of(&run.id))
            .map(|run| (run.at, run.id.as_str()))
            .collect();
        arrivals.sort();
        let mut seen = HashSet::new();
        let again = arrivals.iter().filter(|(_, id)| !seen.insert(*id));
        let again: Vec<Duration> = again.map(|(at, _)| *at).collect();
        let mut asked: Vec<Duration> = evidence
            .calls
            .iter()
            .filter(|call| call.kind.is_stream() == is_stream)
            .map(|call| call.sent_at)
            .collect();
        asked.sort();
        found.extend(again.iter().filter_map(|from| {
            over_budget(*from, &again, &asked)
                .map(|what| violation(Promise::RetryBudget, what))
        }));
        found.truncate(1);
    }
    found
}

/// What is over the budget of the window from `from`, if anything is.
fn over_budget(
    from: Duration,
    again: &[Duration],
    asked: &[Duration],
) -> Option<String> {
    let count = |times: &[Duration], from: Duration| {
        let to = from + RETRY_WINDOW;
        times.iter().filter(|at| (from..to).contains(*at)).count()
    };
    let extra = count(again, from);
    let windows = [
        from,
        from.saturating_sub(RETRY_WINDOW / 2),
        from.saturating_sub(RETRY_WINDOW),
    ];
    let requests = windows.map(|from| count(asked, from)).into_iter().max();
    let requests = requests.unwrap_or(0);
    let most = requests as f64 * RETRY_SHARE + f64::from(RETRY_EXTRA);
    let what = format!("{extra} further attempts for {requests} requests");
    (extra as f64 > most).then_some(what)
}

fn unreadable(evidence: &Evidence) -> Vec<Violation> {
    let at = evidence.runs.iter().filter(|run| run.upstream == UNREADABLE);
    at.map(|run| violation(Promise::Unreadable, format!("{run:?}"))).collect()
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
        call.is_some_and(|call| {
            evidence.is_undisturbed(call.vm, since, run.at)
        })
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

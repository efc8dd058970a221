//! Invariant checks over the evidence that a soak run has collected.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    time::Duration,
};

use super::{
    crashing,
    evidence::{Call, Change, Evidence, Kind, Order, Run, Scope},
    load, preferences, rate_limits, signals, unruly,
    upstreams::UNREADABLE,
};
use crate::gateway_site::KEY;

/// Time within which every VM rejects a key that was removed.
pub const REVOKE_TIME: Duration = Duration::from_secs(5);

/// Time within which undisturbed VMs apply a new configuration.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// Time after which a leaving upstream receives no new requests.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// Time after which a reverted version receives no new requests.
const REVERT_TIME: Duration = Duration::from_secs(2);

/// Longest gap between the end of a call and the start of the next one for
/// both to count as the same session.
const SESSION_GAP: Duration = Duration::from_secs(5);

/// Calls, over all sessions, that may go to another version than the call
/// before them in their session.
const MAX_SESSION_CHANGES: usize = 3;

/// Share of the model requests that a bad version may receive during its
/// rollout, and a number of requests that is allowed on top of that share.
const MAX_BAD_SHARE: f64 = 0.15;
const EXTRA_BAD_REQUESTS: f64 = 30.0;

/// Retry budget: retries as a share of a service's requests within a window.
/// The VMs are configured with the same value.
pub const RETRY_SHARE: f64 = 0.3;

/// Retry budget: retries that are allowed on top of that share. The VMs are
/// configured with the same value.
pub const RETRY_EXTRA: u32 = 20;

/// Window over which retries and requests are counted, as in the VMs'
/// settings.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Tolerance added to time bounds for the delay of a call in the soak itself.
pub(super) const SLACK: Duration = Duration::from_millis(300);

/// Share of the recovery calls that must get status 200.
const MIN_RECOVERED_SHARE: f64 = 0.9;

/// An invariant of the router that a soak checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A request whose response status says that it was not run did not run.
    TrueRefusal,
    /// A complete 2xx response belongs to the caller's own request.
    OwnAnswer,
    /// An upstream receives the path that the caller sent and the organisation
    /// that owns the caller's key.
    AsSent,
    /// A removed key gives no access.
    RevokedKey,
    /// A request that every configuration allows is not denied.
    NotDenied,
    /// A VM applies a new configuration in time and never goes back to an
    /// older one.
    Configuration,
    /// An upstream whose record says that it is leaving receives no new
    /// requests.
    LeftAlone,
    /// A reverted version receives no new requests.
    Withdrawn,
    /// A session does not move to the new version in the first half of a
    /// rollout, nor back from a good new version.
    SessionVersion,
    /// A bad version receives only a small share of the requests.
    Exposure,
    /// Retries stay within the retry budget.
    RetryBudget,
    /// A malformed upstream record is never used to route a request.
    Unreadable,
    /// A request that crashes upstreams is quarantined.
    Deadly,
    /// A VM sends nothing to an upstream during the backoff that the upstream
    /// asked for.
    RestKept,
    /// An upstream that signals in a response that it is leaving receives no
    /// new requests.
    LeavingHeard,
    /// All VMs together stay within the rate limit that an upstream states.
    LimitKept,
    /// A request that crashes nothing is not quarantined.
    OthersTaken,
    /// A request that cannot be served is not held until its deadline.
    EarlyRejection,
    /// No organisation is starved by an overloading one.
    FairShare,
    /// While one or two VMs coordinate, no upstream gets more than both may
    /// grant.
    Overfill,
    /// A VM that the load balancer prefers serves its callers like the others.
    Preferred,
    /// A graceful shutdown cuts off no request.
    PlannedStop,
    /// A VM holds no more memory and descriptors than its settings allow.
    WithinSettings,
    /// Requests are served again once all faults have ended.
    Recovery,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise that was broken.
    pub promise: Promise,
    /// What broke it, for a human reader.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.what)
    }
}

/// Runs every check and returns all violations.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let checks = [
        at_most_once,
        rejected_requests_did_not_run,
        responses_match_requests,
        requests_arrive_unchanged,
        removed_keys_give_no_access,
        allowed_requests_are_not_denied,
        configuration_is_applied_in_time,
        configuration_never_regresses,
        leaving_upstreams_get_nothing_new,
        reverted_versions_get_nothing_new,
        sessions_keep_their_version,
        bad_versions_get_a_small_share,
        retries_stay_within_budget,
        malformed_records_are_not_used,
        crashing::crashing_requests_are_quarantined,
        crashing::others_are_not_quarantined,
        signals::signals_are_respected,
        rate_limits::limits_are_respected,
        load::rejections_come_early,
        load::no_organisation_is_starved,
        load::upstreams_are_not_overfilled,
        preferences::preferred_vms_serve_their_callers,
        unruly::within_settings,
        shutdowns_cut_off_no_request,
        site_recovers,
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
    let calls = evidence.calls_by_id();
    // A caller that was rejected sends its request again, with another ID.
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for run in &evidence.runs {
        let call = calls.get(run.id.as_str());
        if call.is_some_and(|call| !call.kind.may_repeat()) {
            *runs.entry(&run.path).or_default() += 1;
        }
    }
    let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
    repeated
        .map(|(path, count)| {
            let what = format!("{path} ran {count} times");
            violation(Promise::AtMostOnce, what)
        })
        .collect()
}

fn rejected_requests_did_not_run(evidence: &Evidence) -> Vec<Violation> {
    let runs = evidence.runs_by_id();
    let refused = evidence
        .calls
        .iter()
        .filter(|call| matches!(call.status, 408 | 421 | 429 | 503));
    refused
        .filter(|call| runs.contains_key(call.id.as_str()))
        .map(|call| {
            let what = format!("{} got {} but ran", call.id, call.status);
            violation(Promise::TrueRefusal, what)
        })
        .collect()
}

fn responses_match_requests(evidence: &Evidence) -> Vec<Violation> {
    let whole = evidence.calls.iter().filter(|call| call.is_whole);
    whole
        .filter(|call| (200..300).contains(&call.status) && !call.is_own)
        .map(|call| {
            let what = format!(
                "{} got {} with a response that is not its own",
                call.id, call.status
            );
            violation(Promise::OwnAnswer, what)
        })
        .collect()
}

fn requests_arrive_unchanged(evidence: &Evidence) -> Vec<Violation> {
    let calls = evidence.calls_by_id();
    let is_as_sent = |run: &&Run| {
        calls.get(run.id.as_str()).is_some_and(|call| {
            let organisation = match call.kind.needs_key() {
                true => load::organisation(&call.key),
                false => "",
            };
            run.path == call.path && run.organisation == organisation
        })
    };
    let changed = evidence.runs.iter().filter(|run| !is_as_sent(run));
    changed.map(|run| violation(Promise::AsSent, format!("{run:?}"))).collect()
}

fn removed_keys_give_no_access(evidence: &Evidence) -> Vec<Violation> {
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
                "{} ran with a key removed {late:?} earlier, via VM {}",
                run.id, call.vm
            );
            (late > REVOKE_TIME).then(|| violation(Promise::RevokedKey, what))
        })
        .collect()
}

fn allowed_requests_are_not_denied(evidence: &Evidence) -> Vec<Violation> {
    let stable = evidence.calls.iter().filter(|call| {
        let is_permanent = call.key == KEY
            || load::organisation(&call.key) != load::ORGANISATIONS[0];
        !matches!(call.kind, Kind::Probe(_)) && is_permanent
    });
    stable
        .filter(|call| matches!(call.status, 400 | 401 | 403 | 404))
        .map(|call| {
            let what = format!("{} got {}", call.id, call.status);
            violation(Promise::NotDenied, what)
        })
        .collect()
}

fn configuration_is_applied_in_time(evidence: &Evidence) -> Vec<Violation> {
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
                format!("VM {} lacks route {number} after {age:?}", call.vm);
            violation(Promise::Configuration, what)
        }));
    }
    found
}

fn configuration_never_regresses(evidence: &Evidence) -> Vec<Violation> {
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

fn leaving_upstreams_get_nothing_new(evidence: &Evidence) -> Vec<Violation> {
    let is_at = |change: &Change, run: &Run| match change {
        Change::Leaving(upstream) => run.upstream == *upstream,
        _ => false,
    };
    runs_after_change(evidence, Promise::LeftAlone, LEAVE_TIME, is_at)
}

fn reverted_versions_get_nothing_new(evidence: &Evidence) -> Vec<Violation> {
    let is_of = |change: &Change, run: &Run| match change {
        Change::Reverted(software) => run.software == *software,
        _ => false,
    };
    runs_after_change(evidence, Promise::Withdrawn, REVERT_TIME, is_of)
}

fn rollout_orders(evidence: &Evidence) -> Vec<(Duration, &Order)> {
    let ordered = evidence.changes.iter().filter_map(|(at, change)| {
        let Change::Ordered(order) = change else { return None };
        Some((*at, order))
    });
    ordered.collect()
}

fn sessions_keep_their_version(evidence: &Evidence) -> Vec<Violation> {
    let runs = evidence.runs_by_id();
    let mut sessions: HashMap<&str, Vec<(&Call, &Run)>> = HashMap::new();
    for call in &evidence.calls {
        let Some(session) = &call.session else { continue };
        for run in runs.get(call.id.as_str()).into_iter().flatten() {
            sessions.entry(session).or_default().push((call, run));
        }
    }
    let rollout_orders = rollout_orders(evidence);
    let mut changed = Vec::new();
    for runs in sessions.values_mut() {
        runs.sort_by_key(|(_, run)| run.at);
        for pair in runs.windows(2) {
            let ((before, old), (call, run)) = (pair[0], pair[1]);
            let is_same_session = call.sent_at < before.ended_at + SESSION_GAP;
            let is_wrong = |(at, order): &(Duration, &Order)| {
                is_in_first_half(*at, order, run)
                    || is_moved_back(evidence, *at, order, old, run)
            };
            if is_same_session
                && old.software != run.software
                && rollout_orders.iter().any(is_wrong)
                && evidence.is_undisturbed(call.vm, before.sent_at, run.at)
            {
                changed.push(format!("{} after {}", call.id, before.id));
            }
        }
    }
    let is_broken = changed.len() > MAX_SESSION_CHANGES;
    let what =
        format!("calls that changed their session's version: {changed:?}");
    let found = violation(Promise::SessionVersion, what);
    is_broken.then_some(found).into_iter().collect()
}

/// Returns whether a run is at the new version in the first half of its
/// rollout.
fn is_in_first_half(ordered_at: Duration, order: &Order, run: &Run) -> bool {
    let half = ordered_at + order.allowed / 2;
    run.software == order.software && run.at < half
}

/// Returns whether a session went back from a new version that is good and
/// was not reverted. A move to the version of a later order does not count.
fn is_moved_back(
    evidence: &Evidence,
    ordered_at: Duration,
    order: &Order,
    before: &Run,
    run: &Run,
) -> bool {
    let reverted = Change::Reverted(order.software.clone());
    let stays =
        !evidence.changes.iter().any(|(_, change)| *change == reverted);
    let was_at_new_version =
        before.software == order.software && run.at > ordered_at;
    let is_later_order = rollout_orders(evidence)
        .iter()
        .any(|(at, next)| *at > ordered_at && next.software == run.software);
    was_at_new_version && stays && !order.is_bad && !is_later_order
}

fn bad_versions_get_a_small_share(evidence: &Evidence) -> Vec<Violation> {
    let calls = evidence.calls_by_id();
    let is_undisturbed = |run: &Run| {
        let call = calls.get(run.id.as_str());
        call.is_some_and(|c| evidence.is_undisturbed(c.vm, c.sent_at, run.at))
    };
    let mut found = Vec::new();
    for (at, order) in rollout_orders(evidence) {
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
        let most = all as f64 * MAX_BAD_SHARE + EXTRA_BAD_REQUESTS;
        if order.is_bad && new as f64 > most {
            let what =
                format!("{} got {new} of {all} requests", order.software);
            found.push(violation(Promise::Exposure, what));
        }
    }
    found
}

fn retries_stay_within_budget(evidence: &Evidence) -> Vec<Violation> {
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
        let retries = arrivals.iter().filter(|(_, id)| !seen.insert(*id));
        let retries: Vec<Duration> = retries.map(|(at, _)| *at).collect();
        let mut requests_at: Vec<Duration> = evidence
            .calls
            .iter()
            .filter(|call| call.kind.is_stream() == is_stream)
            .map(|call| call.sent_at)
            .collect();
        requests_at.sort();
        found.extend(retries.iter().filter_map(|from| {
            budget_excess(*from, &retries, &requests_at)
                .map(|what| violation(Promise::RetryBudget, what))
        }));
        found.truncate(1);
    }
    found
}

/// Returns a description if the retries within the window that starts at
/// `from` exceed the retry budget.
///
/// The budget is computed from the largest number of requests in this window
/// and in the windows that start half a window and a whole window earlier.
fn budget_excess(
    from: Duration,
    retries: &[Duration],
    requests_at: &[Duration],
) -> Option<String> {
    let count = |times: &[Duration], from: Duration| {
        let to = from + RETRY_WINDOW;
        times.iter().filter(|at| (from..to).contains(*at)).count()
    };
    let extra = count(retries, from);
    let windows = [
        from,
        from.saturating_sub(RETRY_WINDOW / 2),
        from.saturating_sub(RETRY_WINDOW),
    ];
    let requests =
        windows.map(|from| count(requests_at, from)).into_iter().max();
    let requests = requests.unwrap_or(0);
    let most = requests as f64 * RETRY_SHARE + f64::from(RETRY_EXTRA);
    let what = format!("{extra} retries for {requests} requests");
    (extra as f64 > most).then_some(what)
}

fn malformed_records_are_not_used(evidence: &Evidence) -> Vec<Violation> {
    let at = evidence.runs.iter().filter(|run| run.upstream == UNREADABLE);
    at.map(|run| violation(Promise::Unreadable, format!("{run:?}"))).collect()
}

/// Returns a violation for each run that a change forbids, that began more
/// than `allowed` after it, and whose VM was undisturbed since the change.
fn runs_after_change(
    evidence: &Evidence,
    promise: Promise,
    allowed: Duration,
    forbids: impl Fn(&Change, &Run) -> bool,
) -> Vec<Violation> {
    let calls = evidence.calls_by_id();
    let was_undisturbed = |since: Duration, run: &Run| {
        let call = calls.get(run.id.as_str());
        call.is_some_and(|c| evidence.is_undisturbed(c.vm, since, run.at))
    };
    let mut found = Vec::new();
    for (at, change) in &evidence.changes {
        let late = evidence.runs.iter().filter(|run| {
            run.at > *at + allowed + SLACK
                && forbids(change, run)
                && was_undisturbed(*at, run)
        });
        found.extend(late.map(|run| violation(promise, format!("{run:?}"))));
    }
    found
}

fn shutdowns_cut_off_no_request(evidence: &Evidence) -> Vec<Violation> {
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
            let what =
                format!("{} was cut off by the shutdown of VM {vm}", call.id);
            violation(Promise::PlannedStop, what)
        }));
    }
    found
}

fn site_recovers(evidence: &Evidence) -> Vec<Violation> {
    let (made, served) = evidence.recovery;
    let is_short = (served as f64) < made as f64 * MIN_RECOVERED_SHARE;
    let what = format!("{served} of {made} recovery calls were served");
    is_short.then(|| violation(Promise::Recovery, what)).into_iter().collect()
}

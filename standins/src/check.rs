//! The invariant checker: compares what callers and bills report with what
//! the upstreams really ran.
//!
//! It is a black-box check: it reads only the records of the stand-in
//! upstreams, the records of the callers and the bills, and doesn't depend on
//! how the router works.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt,
};

use serde::Serialize;
use serde_json::Value;

use crate::{
    caller::{Ask, CallOutcome, CallRecord},
    web::{Record, RecordKind},
};

/// How long after an upstream started to leave it may still get new requests,
/// in milliseconds: VMs learn that it is leaving with a delay.
pub const LEAVING_GRACE_MS: u64 = 2500;

/// An invariant that was violated, with details for the reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A request that must run at most once ran more than once.
    DoubleRun(String),
    /// A request ran although its error response said `not_run`.
    FalseNotRun(String),
    /// A request or an idempotency key was billed more than once.
    DoubleBill(String),
    /// A request ran and there is no bill for it.
    LostBill(String),
    /// A caller got a response that looked complete but was truncated, or
    /// belonged to another request.
    BrokenAsWhole(String),
    /// A model version ran that the organisation's template doesn't allow.
    VersionNotAllowed(String),
    /// A model version ran after it was withdrawn.
    WithdrawnRan(String),
    /// Two responses of one session came from different model versions.
    SessionChanged(String),
    /// An upstream got a new request after [`LEAVING_GRACE_MS`] of leaving.
    LeavingGotWork(String),
    /// A VM went back to an older configuration revision.
    ConfigurationReverted(String),
    /// An upstream accepted an order with a lower epoch than an earlier one,
    /// which means that a replaced steward sent it.
    StaleOrder(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Expectations that the checker can't derive from the records.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// The versions that each organisation may use, as `model@version`. An
    /// organisation without an entry isn't checked.
    pub allowed: HashMap<String, HashSet<String>>,
    /// Services whose calls, except GET, must run at most once.
    pub once: HashSet<String>,
    /// Time from which a withdrawn version, as `model@version`, must not run.
    pub withdrawn_at_unix_ms: HashMap<String, u64>,
    /// The configuration revisions that each incarnation of a VM reported, in
    /// the order in which they were sampled.
    pub revisions: Vec<(String, Vec<u64>)>,
}

/// The input of [`check`].
pub struct Evidence<'a> {
    /// What the upstreams ran, by their own records.
    pub records: &'a [Record],
    /// What the callers sent and got.
    pub calls: &'a [CallRecord],
    /// The bills in the ledger, as a VM lists them.
    pub bills: &'a [Value],
    /// The expectations to check against.
    pub rules: &'a Rules,
}

/// Checks all invariants and returns every violation.
pub fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    found.extend(double_runs(evidence));
    found.extend(runs_reported_as_not_run(evidence));
    found.extend(billing_errors(evidence));
    found.extend(undetected_broken_responses(evidence));
    found.extend(version_violations(evidence));
    found.extend(session_changes(evidence));
    found.extend(late_runs_at_leaving_upstreams(evidence));
    found.extend(configuration_reverts(evidence));
    found.extend(stale_orders(evidence));
    found
}

fn runs<'a>(
    evidence: &Evidence<'a>,
) -> impl Iterator<Item = &'a Record> + use<'a> {
    let records = evidence.records.iter();
    records.filter(|record| record.happened == RecordKind::Run)
}

/// Finds calls that must run at most once and ran more often. Runs are grouped
/// by idempotency key where there is one, otherwise by request.
fn double_runs(evidence: &Evidence<'_>) -> Vec<Violation> {
    let once_nonces: HashSet<u64> = evidence
        .calls
        .iter()
        .filter(|call| is_at_most_once(call, evidence.rules))
        .map(|call| call.request.nonce)
        .collect();
    let mut by_subject: BTreeMap<String, Vec<&Record>> = BTreeMap::new();
    for record in runs(evidence) {
        let subject = match (&record.key, nonce_of(&record.what)) {
            (Some(key), _) => format!("key {key}"),
            (None, Some(nonce)) if once_nonces.contains(&nonce) => {
                format!("request {}", record.request)
            }
            _ => continue,
        };
        by_subject.entry(subject).or_default().push(record);
    }
    let repeated = by_subject.into_iter().filter(|(_, runs)| runs.len() > 1);
    repeated
        .map(|(subject, runs)| {
            let at: Vec<String> = runs
                .iter()
                .map(|r| format!("{} {}", r.upstream, r.request))
                .collect();
            Violation::DoubleRun(format!("{subject}: {at:?}"))
        })
        .collect()
}

fn is_at_most_once(call: &CallRecord, rules: &Rules) -> bool {
    match &call.request.ask {
        Ask::Service { service, method, .. } => {
            rules.once.contains(service) && *method != hyper::Method::GET
        }
        Ask::Chat { .. } => false,
    }
}

/// Returns the nonce at the end of a service call's path.
fn nonce_of(what: &str) -> Option<u64> {
    what.rsplit('/').next()?.parse().ok()
}

/// Finds requests that ran although their error response said `not_run`.
fn runs_reported_as_not_run(evidence: &Evidence<'_>) -> Vec<Violation> {
    let ran: HashSet<&str> =
        runs(evidence).map(|record| record.request.as_str()).collect();
    let refused = evidence
        .calls
        .iter()
        .filter(|call| call.run_status() == Some("not_run"));
    refused
        .filter_map(|call| call.decision.as_deref())
        .filter(|decision| ran.contains(decision))
        .map(|decision| Violation::FalseNotRun(decision.to_owned()))
        .collect()
}

/// Finds runs without a bill, and requests or keys that were billed twice.
fn billing_errors(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut billed: HashMap<&str, u32> = HashMap::new();
    for bill in evidence.bills {
        let request = bill["request"].as_str().unwrap_or_default();
        *billed.entry(request).or_default() += 1;
    }
    for (request, times) in &billed {
        if *times > 1 {
            let reason = format!("{request}: {times} bills");
            found.push(Violation::DoubleBill(reason));
        }
    }
    let mut by_key: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut missing = BTreeSet::new();
    for record in runs(evidence) {
        let request = record.request.as_str();
        if !billed.contains_key(request) {
            missing.insert(request);
        }
        if let Some(key) = &record.key {
            by_key.entry(key).or_default().insert(request);
        }
    }
    for request in missing {
        let call = evidence
            .calls
            .iter()
            .find(|call| call.decision.as_deref() == Some(request));
        let seen = call.map(|call| &call.outcome);
        let reason = format!("{request}: its caller saw {seen:?}");
        found.push(Violation::LostBill(reason));
    }
    for (key, requests) in by_key {
        let charged = requests.iter().filter(|r| billed.contains_key(**r));
        if charged.count() > 1 {
            let reason = format!("key {key}: {requests:?}");
            found.push(Violation::DoubleBill(reason));
        }
    }
    found
}

/// Finds responses that looked complete to the caller and weren't.
fn undetected_broken_responses(evidence: &Evidence<'_>) -> Vec<Violation> {
    evidence
        .calls
        .iter()
        .filter_map(|call| match &call.outcome {
            CallOutcome::Wrong(reason) => Some(Violation::BrokenAsWhole(
                format!("{:?}: {reason}", call.decision),
            )),
            _ => None,
        })
        .collect()
}

/// Finds runs of versions that aren't allowed or were already withdrawn.
fn version_violations(evidence: &Evidence<'_>) -> Vec<Violation> {
    let organisations: HashMap<&str, &str> = evidence
        .calls
        .iter()
        .filter_map(|call| {
            let decision = call.decision.as_deref()?;
            Some((decision, call.request.organisation.as_str()))
        })
        .collect();
    let mut found = Vec::new();
    for record in runs(evidence).filter(|r| r.what.contains('@')) {
        let organisation = organisations.get(record.request.as_str());
        let allowed =
            organisation.and_then(|o| evidence.rules.allowed.get(*o));
        if allowed.is_some_and(|a| !a.contains(&record.what)) {
            found.push(Violation::VersionNotAllowed(format!(
                "{organisation:?} ran {}",
                record.what
            )));
        }
        let withdrawn = evidence.rules.withdrawn_at_unix_ms.get(&record.what);
        if withdrawn.is_some_and(|at| record.at_unix_ms > *at) {
            found.push(Violation::WithdrawnRan(format!(
                "{} for {}",
                record.what, record.request
            )));
        }
    }
    found
}

/// Finds sessions whose responses come from more than one version. Each
/// response carries the token that the session's next request sends.
fn session_changes(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut version_of: HashMap<&str, &str> = HashMap::new();
    let mut found = Vec::new();
    for call in evidence.calls.iter().filter(|call| call.is_whole()) {
        let Some(answered) = call.answered_by.as_deref() else { continue };
        if let Ask::Chat { session: Some(token), .. } = &call.request.ask
            && let Some(version) = version_of.get(token.as_str())
            && *version != answered
        {
            found.push(Violation::SessionChanged(format!(
                "from {version} to {answered}"
            )));
        }
        if let Some(token) = &call.session {
            version_of.insert(token, answered);
        }
    }
    found
}

/// Finds runs at an upstream that began too long after it started to leave.
fn late_runs_at_leaving_upstreams(evidence: &Evidence<'_>) -> Vec<Violation> {
    runs(evidence)
        .filter_map(|record| {
            let since = record.leaving_since_unix_ms?;
            let late = record.at_unix_ms.saturating_sub(since);
            (late > LEAVING_GRACE_MS).then(|| {
                Violation::LeavingGotWork(format!(
                    "{} after {late} ms",
                    record.upstream
                ))
            })
        })
        .collect()
}

/// Finds VM incarnations whose configuration revision decreased.
fn configuration_reverts(evidence: &Evidence<'_>) -> Vec<Violation> {
    evidence
        .rules
        .revisions
        .iter()
        .filter(|(_, seen)| seen.windows(2).any(|pair| pair[1] < pair[0]))
        .map(|(incarnation, seen)| {
            Violation::ConfigurationReverted(format!(
                "{incarnation}: {seen:?}"
            ))
        })
        .collect()
}

/// Finds orders that an upstream accepted with a lower epoch than an earlier
/// one.
fn stale_orders(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    let mut found = Vec::new();
    for record in evidence.records {
        let (RecordKind::Order, Some(epoch)) = (record.happened, record.epoch)
        else {
            continue;
        };
        let highest_seen = highest.entry(&record.upstream).or_insert(epoch);
        if epoch < *highest_seen {
            found.push(Violation::StaleOrder(format!(
                "{}: epoch {epoch} after {highest_seen}",
                record.upstream
            )));
        }
        *highest_seen = epoch.max(*highest_seen);
    }
    found
}

//! The checker: compares what callers and bills say with what really ran.
//!
//! It reads only the stand-ins' records, the callers' records and the bills,
//! and knows nothing of how the router works.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt,
};

use serde::Serialize;
use serde_json::Value;

use crate::{
    caller::{Ask, CallOutcome, CallRecord},
    web::{Happened, Record},
};

/// Time after which an upstream known as leaving must get no new work.
pub const LEAVING_GRACE_MS: u64 = 2500;

/// What must hold and did not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// Something that may run once ran more often.
    DoubleRun(String),
    /// A refusal said `not_run`, and it ran.
    FalseNotRun(String),
    /// A request or key was billed more than once.
    DoubleBill(String),
    /// Something ran and nobody is billed.
    LostBill(String),
    /// Something that was not whole, or another's, looked like an answer.
    BrokenAsWhole(String),
    /// A version ran that the template does not allow.
    VersionNotAllowed(String),
    /// A version ran after it was withdrawn.
    WithdrawnRan(String),
    /// A session changed its version.
    SessionChanged(String),
    /// A leaving upstream got new work.
    LeavingGotWork(String),
    /// A VM went back to an older configuration.
    ConfigurationReverted(String),
    /// An upstream took an order of an old steward.
    StaleOrder(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// What the checker needs to know beside the records.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// The versions that each organisation may use, as `model@version`.
    pub allowed: HashMap<String, HashSet<String>>,
    /// Services whose calls other than GET must not run twice.
    pub once: HashSet<String>,
    /// From when a version must not run any more.
    pub withdrawn_at_unix_ms: HashMap<String, u64>,
    /// Revisions seen at each life of a VM, in order.
    pub revisions: Vec<(String, Vec<u64>)>,
}

/// Everything that is checked.
pub struct Evidence<'a> {
    /// What really ran.
    pub records: &'a [Record],
    /// What callers saw.
    pub calls: &'a [CallRecord],
    /// What is billed.
    pub bills: &'a [Value],
    /// The rules.
    pub rules: &'a Rules,
}

/// Finds everything that must hold and did not.
pub fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    found.extend(double_runs(evidence));
    found.extend(false_not_runs(evidence));
    found.extend(bills(evidence));
    found.extend(broken_as_whole(evidence));
    found.extend(versions(evidence));
    found.extend(sessions(evidence));
    found.extend(leaving(evidence));
    found.extend(reverts(evidence));
    found.extend(stale_orders(evidence));
    found
}

fn runs<'a>(
    evidence: &Evidence<'a>,
) -> impl Iterator<Item = &'a Record> + use<'a> {
    let records = evidence.records.iter();
    records.filter(|record| record.happened == Happened::Run)
}

/// Runs of calls that may run once, by key where there is one.
fn double_runs(evidence: &Evidence<'_>) -> Vec<Violation> {
    let once: HashSet<u64> = evidence
        .calls
        .iter()
        .filter(|call| is_once(call, evidence.rules))
        .map(|call| call.request.nonce)
        .collect();
    let mut by_subject: BTreeMap<String, Vec<&Record>> = BTreeMap::new();
    for record in runs(evidence) {
        let subject = match (&record.key, nonce_of(&record.what)) {
            (Some(key), _) => format!("key {key}"),
            (None, Some(nonce)) if once.contains(&nonce) => {
                format!("request {}", record.request)
            }
            _ => continue,
        };
        by_subject.entry(subject).or_default().push(record);
    }
    let doubled = by_subject.into_iter().filter(|(_, runs)| runs.len() > 1);
    doubled
        .map(|(subject, runs)| {
            let at: Vec<String> = runs
                .iter()
                .map(|r| format!("{} {}", r.upstream, r.request))
                .collect();
            Violation::DoubleRun(format!("{subject}: {at:?}"))
        })
        .collect()
}

fn is_once(call: &CallRecord, rules: &Rules) -> bool {
    match &call.request.ask {
        Ask::Service { service, method, .. } => {
            rules.once.contains(service) && *method != hyper::Method::GET
        }
        Ask::Chat { .. } => false,
    }
}

/// The nonce in the path of a service call.
fn nonce_of(what: &str) -> Option<u64> {
    what.rsplit('/').next()?.parse().ok()
}

fn false_not_runs(evidence: &Evidence<'_>) -> Vec<Violation> {
    let ran: HashSet<&str> =
        runs(evidence).map(|record| record.request.as_str()).collect();
    let refused =
        evidence.calls.iter().filter(|call| call.run() == Some("not_run"));
    refused
        .filter_map(|call| call.decision.as_deref())
        .filter(|decision| ran.contains(decision))
        .map(|decision| Violation::FalseNotRun(decision.to_owned()))
        .collect()
}

fn bills(evidence: &Evidence<'_>) -> Vec<Violation> {
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

fn broken_as_whole(evidence: &Evidence<'_>) -> Vec<Violation> {
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

fn versions(evidence: &Evidence<'_>) -> Vec<Violation> {
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

/// A session's answers come from one version; each answer's token leads to
/// the next request of the session.
fn sessions(evidence: &Evidence<'_>) -> Vec<Violation> {
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

fn leaving(evidence: &Evidence<'_>) -> Vec<Violation> {
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

fn reverts(evidence: &Evidence<'_>) -> Vec<Violation> {
    evidence
        .rules
        .revisions
        .iter()
        .filter(|(_, seen)| seen.windows(2).any(|pair| pair[1] < pair[0]))
        .map(|(life, seen)| {
            Violation::ConfigurationReverted(format!("{life}: {seen:?}"))
        })
        .collect()
}

/// Orders that an upstream took with a lower epoch than one before.
fn stale_orders(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    let mut found = Vec::new();
    for record in evidence.records {
        let (Happened::Order, Some(epoch)) = (record.happened, record.epoch)
        else {
            continue;
        };
        let before = highest.entry(&record.upstream).or_insert(epoch);
        if epoch < *before {
            found.push(Violation::StaleOrder(format!(
                "{}: epoch {epoch} after {before}",
                record.upstream
            )));
        }
        *before = epoch.max(*before);
    }
    found
}

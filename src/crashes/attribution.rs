//! Attributes the crashes of upstreams to the requests that caused them.
//!
//! An engine runs sixteen requests and more at once, and a crash breaks off
//! all of them. Bystanders that are retried beside the culprit see the next
//! crash as well: of 585 bystanders in the logs of an incident, 164 saw three
//! crashes and more. So a crash that is explained by a request with more
//! crashes does not count against any other request.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::crashes::{digest::RequestDigest, observation::CrashId};

/// Crashes that no other request explains after which a request is
/// quarantined. Operators allow three.
pub(crate) const MIN_CRASHES: usize = 3;

/// The crashes under one request, each with the time for which the upstream
/// had been running the request, in milliseconds.
pub(crate) type Crashes = BTreeMap<CrashId, u16>;

/// Returns the requests that explain the crashes: repeatedly the request with
/// the most unexplained crashes. Of two with as many it takes the one that
/// had been running for less time, since an upstream crashes soon after it
/// begins to run the culprit.
///
/// A request in `quarantined` stays a culprit while any of its crashes is not
/// explained by others. Otherwise two culprits that sometimes run on the same
/// upstream would release each other, and each release costs three more
/// upstreams.
pub(crate) fn culprits<'a>(
    crashes: impl Iterator<Item = (RequestDigest, &'a Crashes)>,
    quarantined: &BTreeSet<RequestDigest>,
) -> BTreeSet<RequestDigest> {
    let is_candidate = |request: &RequestDigest, crashes: &Crashes| {
        let least =
            if quarantined.contains(request) { 1 } else { MIN_CRASHES };
        crashes.len() >= least
    };
    let mut candidates: BTreeMap<RequestDigest, Crashes> = crashes
        .filter(|(request, crashes)| is_candidate(request, crashes))
        .map(|(request, crashes)| (request, crashes.clone()))
        .collect();
    let mut found = BTreeSet::new();
    while let Some(request) = most_crashes(&candidates) {
        let Some(explained) = candidates.remove(&request) else { break };
        found.insert(request);
        candidates.retain(|request, crashes| {
            crashes.retain(|crash, _| !explained.contains_key(crash));
            is_candidate(request, crashes)
        });
    }
    found
}

fn most_crashes(
    candidates: &BTreeMap<RequestDigest, Crashes>,
) -> Option<RequestDigest> {
    let weight = |crashes: &Crashes| {
        let in_flight_ms: u64 =
            crashes.values().map(|ms| u64::from(*ms)).sum();
        (crashes.len(), Reverse(in_flight_ms))
    };
    let most = candidates.iter().max_by_key(|(_, crashes)| weight(crashes));
    most.map(|(request, _)| *request)
}

#[cfg(test)]
mod tests;

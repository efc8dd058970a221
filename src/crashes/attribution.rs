//! Which requests crash the upstreams that run them, by who was there when
//! upstreams ended.
//!
//! An engine has sixteen requests and more at once, and all of them break off
//! with it. Those that are then tried again beside the culprit see the next
//! one end as well: of 585 requests in the logs of an incident that were there
//! by chance, 164 saw three upstreams end and more. So ends that a request
//! with more of them explains count against nobody else.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::crashes::{digest::RequestDigest, observation::End};

/// Upstreams that must have ended under a request, with no other to explain
/// it, before it is held back. Operators allow three.
pub(crate) const ENDS_HELD: usize = 3;

/// The upstreams that ended while they had one request, each with how long it
/// had it, in milliseconds.
pub(crate) type Ends = BTreeMap<End, u16>;

/// The requests that explain the ends of upstreams, the one with the most
/// ends first; of two with as many, the one that was there for less long, as
/// an upstream ends when it begins to run the culprit.
///
/// One that is held back already stays so while any of its ends is not
/// explained by others: two culprits that meet now and then would release each
/// other, and end three more each time.
pub(crate) fn culprits<'a>(
    ends: impl Iterator<Item = (RequestDigest, &'a Ends)>,
    held: &BTreeSet<RequestDigest>,
) -> BTreeSet<RequestDigest> {
    let is_open = |request: &RequestDigest, ends: &Ends| {
        let least = if held.contains(request) { 1 } else { ENDS_HELD };
        ends.len() >= least
    };
    let mut open: BTreeMap<RequestDigest, Ends> = ends
        .filter(|(request, ends)| is_open(request, ends))
        .map(|(request, ends)| (request, ends.clone()))
        .collect();
    let mut found = BTreeSet::new();
    while let Some(request) = most_ends(&open) {
        let Some(explained) = open.remove(&request) else { break };
        found.insert(request);
        open.retain(|request, ends| {
            ends.retain(|end, _| !explained.contains_key(end));
            is_open(request, ends)
        });
    }
    found
}

fn most_ends(open: &BTreeMap<RequestDigest, Ends>) -> Option<RequestDigest> {
    let weight = |ends: &Ends| {
        let had_ms: u64 = ends.values().map(|ms| u64::from(*ms)).sum();
        (ends.len(), Reverse(had_ms))
    };
    let most = open.iter().max_by_key(|(_, ends)| weight(ends));
    most.map(|(request, _)| *request)
}

#[cfg(test)]
mod tests;

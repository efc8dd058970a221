//! Which VM coordinates the slots of a service.
//!
//! Every VM computes the same ranking from the same candidates, and the first
//! one coordinates. While VMs know different candidates, two of them may
//! coordinate; each then grants up to the number of slots.

use std::cmp::Reverse;

use crate::{id::ServiceId, rendezvous, unit::MilliCores};

/// A VM that may coordinate: it is live, not leaving and not marked
/// unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub vm: &'a str,
    /// Its share of processor time; 0 if unknown.
    pub cores: MilliCores,
}

/// Returns the candidates in the order in which they are asked to coordinate a
/// service.
///
/// The largest share of a core comes first, since work of 0.1 ms takes 1.1 ms
/// on a VM with 0.09 of a core. Rendezvous hashing spreads the services over
/// VMs of the same size.
pub fn rank<'a>(
    service: &ServiceId,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Vec<&'a str> {
    let mut ranked: Vec<Candidate<'a>> = candidates.into_iter().collect();
    let subject = service.as_str().as_bytes();
    ranked.sort_by_cached_key(|candidate| {
        let score = rendezvous::score(subject, candidate.vm.as_bytes());
        (Reverse(candidate.cores), Reverse(score), candidate.vm)
    });
    ranked.into_iter().map(|candidate| candidate.vm).collect()
}

#[cfg(test)]
mod tests;

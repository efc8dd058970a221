//! Fair shares of organisations at a service whose slots are not coordinated.
//!
//! The load pattern: 24 organisations send requests to engines with 2,160 or
//! 3,840 slots; one of them sends 6 to 8 times its usual rate, through all
//! VMs. Each VM admits requests by the utilization of the upstreams alone, so
//! that this organisation takes the slots of all others.
//!
//! # The level
//!
//! The part of the service that is not reserved is shared equally, and what
//! one organisation does not use is shared by the others (max-min fairness).
//! It is computed from the requests in flight when the service is near its
//! limit, that is, while these requests use up the service. A VM may hear of a
//! part of them only: in large fleets, most VMs of other data halls report to
//! a given VM less often than reports expire. The part to share is therefore
//! taken from the requests that are known, and at most from the whole service.

use crate::scheduling::organisation_reserve::OrganisationReserve;

/// Standard errors by which an organisation has to exceed the level, at least,
/// and the largest random part that is added. With a margin of one in place of
/// two, five times as many requests of the other organisations are rejected in
/// the replay of 71 VMs at 0.9 times the capacity (2,518 and 501).
const MIN_MARGIN: f64 = 1.0;
const MARGIN_SPREAD: f64 = 2.0;

/// The fair level of a service: the requests in flight that each organisation
/// may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationShares {
    level: f64,
}

impl OrganisationShares {
    /// Computes the level from the requests in flight of each organisation,
    /// and from the number of requests at which the service counts as full.
    pub fn new(
        in_flight: &[u32],
        full_requests: f64,
        reserve: OrganisationReserve,
    ) -> OrganisationShares {
        let known: f64 = in_flight.iter().copied().map(f64::from).sum();
        let shared = reserve.unreserved(known.min(full_requests));
        OrganisationShares { level: max_min_level(in_flight, shared) }
    }

    /// Returns the requests in flight that each organisation may have;
    /// infinite if all of them fit.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether an organisation with this many requests in flight is above the
    /// level.
    ///
    /// The count is a sample of requests that come and go, so it has to
    /// exceed the level by one to three standard errors. Organisations that
    /// send alike are therefore rarely told apart by chance, and a VM that
    /// hears of few requests rejects fewer. `jitter` (0 to 1) spreads the
    /// decisions of VMs that have heard the same reports.
    pub fn is_above(&self, in_flight: u32, jitter: f64) -> bool {
        let count = f64::from(in_flight);
        let margin = MIN_MARGIN + jitter * MARGIN_SPREAD;
        count - margin * count.sqrt() > self.level
    }
}

/// Returns the level at which the demands, each cut off at it, add up to the
/// capacity; infinite if they do not exceed it.
fn max_min_level(demands: &[u32], capacity: f64) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_unstable();
    let mut left = capacity;
    for (at, demand) in sorted.iter().copied().enumerate() {
        let level = left / (sorted.len() - at) as f64;
        if f64::from(demand) > level {
            return level;
        }
        left -= f64::from(demand);
    }
    f64::INFINITY
}

#[cfg(test)]
mod replay_tests;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;

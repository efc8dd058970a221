//! How many requests an upstream gets while it is cold.
//!
//! An upstream is cold for some seconds after it started, when its data hall
//! is given back after an evacuation, or when its record says so. It bears
//! few requests a second then, over all VMs, and falls over beyond.
//!
//! # The load that this answers
//!
//! A cold upstream is empty, so it looks like the best choice to every VM at
//! the same moment: 84 VMs that choose by load alone sent 20 requests within
//! a second to one that bears 18.
//!
//! # How the VMs keep to the bound together
//!
//! For each upstream, a few VMs of its data hall [own](super::owners) it while
//! it is cold. Each has an equal part of the bound, as if there were one owner
//! more than there are: a VM that has not yet heard of a new record may take
//! itself for one.
//!
//! # Why not otherwise
//!
//! An equal part for each VM of the fleet is a fraction of one request a
//! second: rounded down nothing is sent, and rounded up 84 VMs may send 84 at
//! once. Permits lent by one VM to the others cost a message and a wait for
//! each request, and are lost with their lender.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::BootInstant, id::DataHallId, message::ShortHash,
    placing::owners::Roster,
};

/// The span over which the requests to a cold upstream are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// VMs that own a cold upstream; the others are there for the loss of one,
/// and so that more VMs have an upstream at hand while a whole data hall is
/// cold.
const OWNERS: usize = 3;

/// What the platform lets a cold upstream have beyond what it bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpSlack {
    /// Factor on the requests that it bears in a second.
    pub overshoot: f64,
    /// Requests besides, in any second.
    pub tolerance: f64,
}

/// How the upstreams of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long one stays cold.
    pub time: Duration,
    /// Requests that a cold one bears in a second.
    pub per_s: f64,
}

impl WarmUp {
    /// Requests that a cold upstream may have within a second, of all VMs.
    pub(super) fn max_requests(&self, slack: WarmUpSlack) -> usize {
        (self.per_s * slack.overshoot + slack.tolerance) as usize
    }
}

/// Requests that a VM may send within a second to a cold upstream of `hall`;
/// none if it does not own it.
pub(crate) fn vm_share(
    roster: &Roster,
    vm: &str,
    upstream: ShortHash,
    hall: &DataHallId,
    most: usize,
) -> usize {
    let owners = roster.owners_in_hall(vm, upstream, hall, OWNERS);
    owners.map_or(0, |owners| most / (owners + 1))
}

/// What this VM has sent to one upstream within the last second.
#[derive(Debug, Default)]
pub(crate) struct SendWindow(VecDeque<BootInstant>);

impl SendWindow {
    /// Whether less than `most` was sent.
    pub(crate) fn has_capacity(
        &mut self,
        most: usize,
        now: BootInstant,
    ) -> bool {
        while self
            .0
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW)
        {
            self.0.pop_front();
        }
        self.0.len() < most
    }

    /// Counts a request.
    pub(crate) fn record(&mut self, now: BootInstant) {
        self.0.push_back(now);
    }
}

#[cfg(test)]
mod tests;

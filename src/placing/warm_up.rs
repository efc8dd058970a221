//! Limits the requests that an upstream receives while it is cold.
//!
//! An upstream is cold for some seconds after its start, after the evacuation
//! of its data hall has ended, or when its record says so. It can take only
//! few requests per second then, over all VMs, and fails beyond that.
//!
//! # The problem
//!
//! A cold upstream is idle, so it looks like the best choice to every VM at
//! the same moment: 84 VMs that select by load alone sent 20 requests within a
//! second to an upstream that can take 18.
//!
//! # How the VMs keep to the limit together
//!
//! A few VMs of its data hall [own](super::owners) a cold upstream. Each has
//! an equal share of the limit, as if there were one more owner than there
//! are: a VM that has not yet seen a new VM record may consider itself an
//! owner. The other VMs, and owners whose share is used up, [borrow
//! permits](super::permit_lenders) of an owner.
//!
//! # Rejected alternatives
//!
//! An equal share for every VM of the fleet is a fraction of one request per
//! second: rounded down, nothing is sent, and rounded up, 84 VMs may send 84
//! requests at once. One VM that lends permits for all requests costs a
//! message and a wait for each, and all permits are lost with it.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::BootInstant, id::DataHallId, message::ShortHash,
    placing::owners::Roster,
};

/// The window over which requests to a cold upstream are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of VMs that own a cold upstream; more than one, to survive the loss
/// of an owner and to give more VMs access to an upstream while a whole data
/// hall is cold.
const MAX_OWNERS: usize = 3;

/// By how much the platform lets VMs exceed the warm-up rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpSlack {
    /// Factor on the warm-up rate.
    pub overshoot: f64,
    /// Additional requests in any second.
    pub tolerance: f64,
}

/// How the upstreams of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long an upstream stays cold.
    pub time: Duration,
    /// Requests per second that a cold upstream can take.
    pub per_s: f64,
}

impl WarmUp {
    /// Requests within a second that a cold upstream may receive from all VMs.
    pub(super) fn max_requests(&self, slack: WarmUpSlack) -> usize {
        (self.per_s * slack.overshoot + slack.tolerance) as usize
    }
}

/// Requests within a second that `vm` may send to a cold upstream of `hall`;
/// zero if it is not an owner.
pub(crate) fn vm_share(
    roster: &Roster,
    vm: &str,
    upstream: ShortHash,
    hall: &DataHallId,
    max: usize,
) -> usize {
    let owners = roster.owners_in_hall(vm, upstream, hall, MAX_OWNERS);
    owners.map_or(0, |owners| max / (owners + 1))
}

/// Returns the names of the VMs that own a cold upstream of `hall`.
pub(crate) fn owner_names<'a>(
    roster: &'a Roster,
    upstream: ShortHash,
    hall: &DataHallId,
) -> Vec<&'a str> {
    roster.owner_names_in_hall(upstream, hall, MAX_OWNERS)
}

/// The requests to one upstream within the last second that count against
/// this VM's share.
#[derive(Debug, Default)]
pub(crate) struct SendWindow(VecDeque<BootInstant>);

impl SendWindow {
    /// Whether fewer than `max` requests were sent within the window.
    pub(crate) fn has_capacity(
        &mut self,
        max: usize,
        now: BootInstant,
    ) -> bool {
        self.wait(max, now).is_some_and(|wait| wait.is_zero())
    }

    /// How long no further request may be sent, given the most within the
    /// window; `None` if that is zero.
    pub(crate) fn wait(
        &mut self,
        max: usize,
        now: BootInstant,
    ) -> Option<Duration> {
        while self
            .0
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW)
        {
            self.0.pop_front();
        }
        let blocking = match self.0.len().checked_sub(max) {
            Some(excess) => self.0.get(excess)?,
            None => return Some(Duration::ZERO),
        };
        Some((*blocking + WINDOW).saturating_duration_since(now))
    }

    /// Counts a request that is sent at a time, which may be ahead.
    pub(crate) fn record(&mut self, at: BootInstant) {
        self.0.push_back(at);
    }
}

#[cfg(test)]
mod tests;

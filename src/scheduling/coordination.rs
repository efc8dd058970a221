//! Whether the slots of a service are coordinated by one VM.
//!
//! Coordination costs each request a round trip to the coordinator. It is
//! worth that where the slots are so few that a VM's view of them is older
//! than most requests, and possible where one VM keeps up with the requests.

use std::time::Duration;

/// Completions per second, at full utilization, from which a service is not
/// coordinated: one VM coordinates no more.
const MAX_RATE_PER_S: f64 = 1000.0;

/// By how much a limit must be exceeded before coordination ends, so that the
/// restart of one VM does not switch it.
const HYSTERESIS: f64 = 1.2;

/// What a VM knows about a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceView {
    /// Whether its responses are streams, which are never coordinated.
    pub is_stream: bool,
    /// The slots of all its upstreams.
    pub slots: u32,
    /// The number of live VMs, this one included.
    pub live_vms: u32,
    /// The mean service time; `None` if no response was seen yet.
    pub service_time: Option<Duration>,
}

/// The change of a service's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoordinationChange {
    /// Its slots are coordinated from now on.
    Coordinated,
    /// Its slots are no longer coordinated.
    Uncoordinated,
}

/// Whether a service is coordinated, as one VM sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coordination {
    is_coordinated: bool,
}

impl Coordination {
    /// Returns whether the service is coordinated.
    pub fn is_coordinated(&self) -> bool {
        self.is_coordinated
    }

    /// Applies the current view of the service; returns the change of state,
    /// if any.
    ///
    /// A service is coordinated where there are more than `vms_per_slot` live
    /// VMs for each slot; 0 disables coordination.
    pub fn update(
        &mut self,
        view: &ServiceView,
        vms_per_slot: u32,
    ) -> Option<CoordinationChange> {
        let slack = if self.is_coordinated { HYSTERESIS } else { 1.0 };
        let is_coordinated = is_within_limits(view, vms_per_slot, slack);
        if is_coordinated == self.is_coordinated {
            return None;
        }
        self.is_coordinated = is_coordinated;
        Some(match is_coordinated {
            true => CoordinationChange::Coordinated,
            false => CoordinationChange::Uncoordinated,
        })
    }
}

/// Whether a service may be coordinated, with limits multiplied by `slack`.
fn is_within_limits(
    view: &ServiceView,
    vms_per_slot: u32,
    slack: f64,
) -> bool {
    if view.is_stream || view.slots == 0 {
        return false;
    }
    let slots = f64::from(view.slots);
    // A VM that has just started has no service time, and under overload it
    // would learn none by itself: it measures only where a slot is free.
    let rate_per_s = view
        .service_time
        .map_or(0.0, |service_time| slots / service_time.as_secs_f64());
    slots * f64::from(vms_per_slot) < f64::from(view.live_vms) * slack
        && vms_per_slot > 0
        && rate_per_s < MAX_RATE_PER_S * slack
}

#[cfg(test)]
mod tests;

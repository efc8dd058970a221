//! Rollouts of new versions of a service's software, and their reversal.
//!
//! * [`registry`]: all known rollouts, shared by a VM's tasks.
//! * [`rollout`]: one rollout: the requests that the new version gets, and its
//!   progress.
//! * `baseline`: the old version's times, and how the new one's compare.
//! * [`choice`]: the version chosen for a request, and the reason.
//! * [`comparison`]: whether the new version's answers are worse than the old
//!   one's.
//! * [`evidence`]: what VMs report to each other about a rollout.
//! * `peer_evidence`: the reports of other VMs, and which are relayed.
//! * `sessions`: the version that each session is on.
//! * [`stored_evidence`]: what the store keeps of the evidence.

mod baseline;
pub mod choice;
pub mod comparison;
pub mod evidence;
pub(crate) mod peer_evidence;
pub mod registry;
pub mod rollout;
pub(crate) mod sessions;
pub mod stored_evidence;

#[cfg(test)]
mod fleet_tests;

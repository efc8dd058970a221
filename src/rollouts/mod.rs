//! Rollouts of new versions of a service's software, and their reversal.
//!
//! * [`registry`]: all known rollouts, shared by a VM's tasks.
//! * [`rollout`]: one rollout: the requests that the new version gets, and its
//!   progress.
//! * [`answer_time`]: the time to the first part of an answer, beside the time
//!   to expect.
//! * `baseline`: the usual time of the old version's answers.
//! * [`choice`]: the version chosen for a request, and the reason.
//! * [`comparison`]: whether the new version's answers are worse than the old
//!   one's.
//! * `durations`: how long requests take to the end of their answers.
//! * [`evidence`]: what VMs report to each other about a rollout.
//! * [`exposure`]: how many requests a new version may get.
//! * [`fleet_place`]: the place of a VM in its fleet.
//! * `peer_evidence`: the reports of other VMs, and which are relayed.
//! * `sessions`: the version that each session is on.
//! * `significance`: whether a count of answers can be chance.
//! * [`stored_evidence`]: what the store keeps of the evidence.
//! * [`time_histogram`]: counts of answers by their time.

pub mod answer_time;
mod baseline;
pub mod choice;
pub mod comparison;
mod durations;
pub mod evidence;
pub mod exposure;
pub mod fleet_place;
pub(crate) mod peer_evidence;
pub mod registry;
pub mod rollout;
pub(crate) mod sessions;
mod significance;
pub mod stored_evidence;
pub mod time_histogram;

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod replay_tests;
#[cfg(test)]
mod session_replay_tests;

//! Bringing a new version of a service's software in, or taking it back.
//!
//! * [`registry`]: all that are known, shared by a VM's tasks.
//! * [`rollout`]: one of them: which requests it gets, and how far it is.
//! * [`choice`]: which version a request goes to, and why.
//! * [`comparison`]: whether its answers are worse than the old one's.
//! * [`evidence`]: what VMs tell each other of it.
//! * `peer_evidence`: what others have told, and what of that is passed on.
//! * `sessions`: which version each session is at.

pub mod choice;
pub mod comparison;
pub mod evidence;
pub(crate) mod peer_evidence;
pub mod registry;
pub mod rollout;
pub(crate) mod sessions;

#[cfg(test)]
mod fleet_tests;

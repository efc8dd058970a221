//! Bringing a new version of a service's software in, or taking it back.
//!
//! * [`rollout`]: which requests it gets, and how far it is.
//! * [`comparison`]: whether its answers are worse than the old one's.
//! * [`evidence`]: what VMs tell each other of it.
//! * `told`: what others have told, and what of that is passed on.
//! * `sessions`: which version each session is at.

pub mod comparison;
pub mod evidence;
pub mod rollout;
pub(crate) mod sessions;
pub(crate) mod told;

#[cfg(test)]
mod fleet_tests;

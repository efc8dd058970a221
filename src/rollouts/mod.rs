//! Bringing a new version of a service's software in, or taking it back.
//!
//! * [`rollout`]: which requests it gets, and how far it is.
//! * [`comparison`]: whether its answers are worse than the old one's.
//! * `sessions`: which version each session is at.

pub mod comparison;
pub mod rollout;
pub(crate) mod sessions;

#[cfg(test)]
mod fleet_tests;

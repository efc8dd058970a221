//! Detects requests that crash the upstreams that run them, also known as
//! queries of death, and keeps them from further upstreams.
//!
//! The caller of such a request sends it again, to any VM and under a new id,
//! and each crash looks like a fault of the upstream alone. This module
//! recognizes the request by its content and quarantines it on all VMs once
//! three upstreams have crashed while running it.
//!
//! # From a crash to a quarantine
//!
//! * [`digest`]: identifies a request by its content.
//! * [`crash_check`]: after a lost attempt, checks whether the upstream has
//!   crashed.
//! * [`tracker`]: the crashes and completed requests that this VM knows of,
//!   and the requests that it quarantines.
//! * [`attribution`]: distinguishes the requests that cause crashes from
//!   bystanders.
//! * [`observation`], [`broadcast_queue`]: what VMs report to each other
//!   about crashes, in their heartbeats.
//! * [`persistence`]: writes the quarantine to the platform's store, for VMs
//!   that start later, even if none of the present ones is left by then.

pub(crate) mod attribution;
pub(crate) mod broadcast_queue;
pub(crate) mod crash_check;
pub mod digest;
pub mod observation;
pub(crate) mod persistence;
pub(crate) mod tracker;

#[cfg(test)]
mod replay;

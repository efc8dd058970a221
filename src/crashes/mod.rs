//! Detects requests that crash the upstreams that run them, also known as
//! queries of death, and keeps them from further upstreams.
//!
//! The caller of such a request sends it again, to any VM and under a new id,
//! and each crash looks like a fault of the upstream alone. Or one segment of
//! a prompt crashes upstreams, in requests that share nothing else. This
//! module recognizes both, the *subjects* of a crash, and quarantines them on
//! all VMs once several upstreams have crashed while running them.
//!
//! # From a crash to a quarantine
//!
//! * [`subject`]: identifies a request or a prompt segment.
//! * [`crash_check`]: after a lost attempt, checks whether the upstream has
//!   crashed.
//! * [`tracker`]: the crashes and completions that this VM knows of, and the
//!   subjects that it quarantines.
//! * `suspect`: what is known of one subject.
//! * [`attribution`]: distinguishes the subjects that cause crashes from
//!   bystanders.
//! * [`observation`], [`broadcast_queue`]: what VMs report to each other
//!   about crashes, in their heartbeats.
//! * [`persistence`]: writes the quarantine to the platform's store, for VMs
//!   that start later, even if none of the present ones is left by then.

pub(crate) mod attribution;
pub(crate) mod broadcast_queue;
pub(crate) mod crash_check;
pub mod observation;
pub(crate) mod persistence;
pub mod subject;
mod suspect;
pub(crate) mod tracker;

#[cfg(test)]
mod replay;

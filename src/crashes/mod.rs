//! What one request may do to the fleet: requests that crash the upstreams
//! that run them, known elsewhere as queries of death.
//!
//! Such a request comes again, at any VM and under another id, and each time
//! the blame went to the upstream alone. Here it is known again, and held back
//! everywhere once three upstreams have ended under it.
//!
//! # The way of a crash
//!
//! * [`digest`]: a request is known again by what it holds.
//! * [`crash_check`]: an attempt is lost; has its upstream ended?
//! * [`tracker`]: what this VM knows of requests and of upstreams that ended,
//!   and which requests it holds back.
//! * [`attribution`]: the culprit is told from those that were there by chance.
//! * [`observation`], [`tellings`]: what VMs tell each other of it, in their
//!   beats.
//! * [`persistence`]: what is held back lies in the platform's store as well, for
//!   VMs that start later, if need be all of them.

pub(crate) mod attribution;
pub(crate) mod broadcast_queue;
pub(crate) mod crash_check;
pub mod digest;
pub mod observation;
pub(crate) mod persistence;
pub(crate) mod tracker;

#[cfg(test)]
mod replay;

//! Slot coordination: one VM decides which request gets the next free slot of
//! a service that has far fewer slots than there are VMs.
//!
//! The load pattern: 71 VMs in front of 3 upstreams with 6 slots each, and
//! requests of 30 to 60 ms. Heartbeats tell a VM of the requests of others
//! after those have ended, so that some VMs reject requests while slots are
//! free and others overfill the queues of the upstreams.
//!
//! Nothing here does any I/O.
//!
//! * [`coordination`]: whether a service is coordinated.
//! * [`coordinator`]: which VM coordinates it.
//! * [`slot_request`], [`slot_decision`], [`release`]: what entry VMs and the
//!   coordinator tell each other.
//! * [`slot_queue`]: the queue of one service on its coordinator.
//!   `waiting_requests` has the order in which requests are served,
//!   `upstream_slots` the slots that are granted, `service_time` how long work
//!   takes there, `drain` the rate at which slots become free, `kept_places`
//!   the places of callers that were told to return.
//! * [`fair_queue`]: weighted fair queueing between organisations.
//!
//! Where slots are not coordinated:
//!
//! * [`organisation_shares`]: whether an organisation is above its fair share;
//!   `organisation_requests` counts the requests in flight,
//!   [`organisation_reserve`] is the part that is kept for the others.

pub mod coordination;
pub mod coordinator;
mod drain;
pub mod fair_queue;
mod kept_places;
pub(crate) mod organisation_requests;
pub mod organisation_reserve;
pub mod organisation_shares;
pub mod release;
mod service_time;
pub mod slot_decision;
pub mod slot_queue;
pub mod slot_request;
mod upstream_slots;
mod waiting_requests;

#[cfg(test)]
mod replay_tests;

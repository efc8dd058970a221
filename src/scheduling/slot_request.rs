//! A request for a slot, as an entry VM sends it to the coordinator.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    crashes::subject::Subject,
    id::{Incarnation, OrganisationId},
    message::ShortHash,
    rendezvous,
};

/// Identifies one attempt of a request to get a slot.
///
/// It is a hash of the entry VM, its incarnation and a number that the VM does
/// not use twice.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Ticket(pub u64);

impl Ticket {
    /// Returns the ticket with this number of an incarnation of a VM.
    pub fn new(vm: &str, incarnation: Incarnation, number: u64) -> Ticket {
        let mut subject = [0; 16];
        subject[..8].copy_from_slice(&incarnation.0.to_le_bytes());
        subject[8..].copy_from_slice(&number.to_le_bytes());
        Ticket(rendezvous::score(&subject, vm.as_bytes()))
    }
}

/// An upstream that may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EligibleUpstream {
    /// Its incarnation.
    pub upstream: ShortHash,
    /// How many requests it processes concurrently.
    pub slots: u16,
}

/// A request for a slot of a service.
///
/// Times are relative, since the clocks of VMs differ; the coordinator adds
/// them to the time at which it receives the message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifies this attempt; a message that asks again has the same ticket.
    pub ticket: Ticket,
    /// The urgency, from 0 (most urgent) to 9.
    pub priority: u8,
    /// The organisation; see [`SlotRequest::organisation_hash`].
    pub organisation: ShortHash,
    /// The digest of the request, by which a returning caller is recognised.
    pub digest: Subject,
    /// Time left until the latency target, in milliseconds; 0 if it has
    /// passed.
    pub latency_target_ms: u32,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// The upstreams that may take it.
    pub upstreams: Vec<EligibleUpstream>,
}

impl SlotRequest {
    /// Returns the hash of an organisation, or that of all requests without
    /// one.
    pub fn organisation_hash(
        organisation: Option<&OrganisationId>,
    ) -> ShortHash {
        ShortHash::of(organisation.map_or("", OrganisationId::as_str))
    }

    /// Returns the time left until the latency target.
    pub fn latency_target(&self) -> Duration {
        Duration::from_millis(self.latency_target_ms.into())
    }

    /// Returns the time left until the deadline.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.into())
    }
}

//! The messages between VMs: datagrams, and requests with their replies.
//!
//! Messages are encoded without field names, so the order of fields and
//! variants is part of the format.
//!
//! Datagrams carry short hashes in place of the names of VMs, upstreams and
//! organisations, to stay within the byte budget of control traffic. A
//! receiver ignores a hash that it cannot resolve.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    api::{
        decision::Decision,
        tally::{Tally, TallyKey},
    },
    chains::{
        bill::Bill,
        claim::{ClaimOutcome, ClaimRequest, ClaimVerdict, OfflineClaim},
        configuration::Change,
    },
    crashes::observation::SubjectObservation,
    id::{DataHallId, Incarnation, RequestId, Revision, ServiceId, VmId},
    placing::health::AttemptOutcome,
    rollouts::evidence::{Evidence, HallEvidence},
    scheduling::{
        release::Release,
        slot_decision::RefusalReason,
        slot_request::{SlotRequest, Ticket},
    },
    store_sync::{knowledge::ChangedItem, store_position::StorePosition},
    unit::{Mbps, MilliCores, RequestRate, Slowdown},
};

/// A 32-bit hash of a name.
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
pub struct ShortHash(pub u32);

impl ShortHash {
    /// Returns the hash of a name.
    pub fn of(name: &str) -> ShortHash {
        ShortHash(crate::rendezvous::short_hash(name.as_bytes()))
    }
}

/// The requests that one VM has in flight at an upstream.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct InFlightWork {
    /// Number of requests in flight.
    pub requests: u16,
    /// Expected prefill time of their prompts that are still being processed,
    /// in milliseconds.
    pub prefill_ms: u16,
}

/// A failed attempt at an upstream, reported to the other VMs of the data
/// hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamFailureReport {
    /// The upstream.
    pub upstream: ShortHash,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// The rate limit that an upstream announced, reported to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// The incarnation of the upstream.
    pub upstream: ShortHash,
    /// The limit; `None` once the upstream no longer announces one.
    pub rate: Option<RequestRate>,
    /// Time since the upstream's announcement, in milliseconds.
    pub age_ms: u16,
}

/// The load that an upstream announced, reported to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoadReport {
    /// The upstream.
    pub upstream: ShortHash,
    /// Requests that it was running.
    pub running: u16,
    /// Requests in its queue.
    pub waiting: u16,
    /// Time since the upstream's announcement, in milliseconds.
    pub age_ms: u16,
    /// How long work took there; `None` if it did not state that.
    pub slowdown: Option<Slowdown>,
}

/// How long requests took at an upstream compared with what a VM expected,
/// reported to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlownessReport {
    /// The incarnation of the upstream.
    pub upstream: ShortHash,
    /// The mean ratio of the measured to the expected time, in percent.
    pub percent: u16,
    /// Number of its recent requests there; older ones count for less.
    pub samples: u16,
}

/// The doubt of a larger model in its answers to a VM's requests that a
/// smaller model had answered before, reported to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtReport {
    /// The model that answered before.
    pub smaller: ShortHash,
    /// The model that was asked instead.
    pub larger: ShortHash,
    /// The range of the smaller model's confidence, from 0 for the lowest.
    pub range: u8,
    /// The mean probability that the larger model's answer was poor, by its
    /// confidence, in percent.
    pub doubt_percent: u8,
    /// Number of its recent answers; older ones count for less.
    pub samples: u16,
}

/// The latest heartbeat of one VM, relayed by others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEntry {
    /// The VM.
    pub vm: ShortHash,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// A counter that grows with each heartbeat of this incarnation.
    pub counter: u32,
    /// Whether it is shutting down gracefully.
    pub leaving: bool,
}

/// The load of one upstream, relayed by other VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// The upstream.
    pub upstream: ShortHash,
    /// The age of the figures, in milliseconds.
    pub age_ms: u16,
    /// Requests that it is running.
    pub running: u16,
    /// Requests in its queue.
    pub waiting: u16,
    /// Requests that it can run at the same time.
    pub slots: u16,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The versions that it has loaded.
    pub versions: Vec<ShortHash>,
}

/// A tally over one data hall, relayed by other VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TallyEntry {
    /// The data hall.
    pub data_hall: ShortHash,
    /// What is counted.
    pub key: TallyKey,
    /// The age of the tally, in milliseconds.
    pub age_ms: u16,
    /// The counts.
    pub tally: Tally,
}

/// The message that one VM sends to another in a gossip round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub vm: VmId,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The address at which it listens for other VMs.
    pub peer_address: SocketAddr,
    /// The configuration revision that it has in force.
    pub revision: Revision,
    /// The age of the last proof that this revision is current, in
    /// milliseconds; `None` without any.
    pub proof_age_ms: Option<u32>,
    /// Heartbeats of VMs.
    pub heartbeats: Vec<HeartbeatEntry>,
    /// Loads of upstreams.
    pub loads: Vec<LoadEntry>,
    /// Tallies over data halls.
    pub tallies: Vec<TallyEntry>,
}

/// A change announced by an upstream, sent to the data hall at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpstreamNotice {
    /// It is shutting down.
    Leaving(ShortHash),
    /// It has begun or ceased to announce a rate limit.
    RateLimit(RateLimitReport),
}

impl UpstreamNotice {
    /// Returns the notice as it is sent again after `time`, with the age of
    /// the announcement increased accordingly.
    pub(crate) fn aged_by(self, time: Duration) -> UpstreamNotice {
        match self {
            UpstreamNotice::Leaving(_) => self,
            UpstreamNotice::RateLimit(report) => {
                let later_ms = u16::try_from(time.as_millis());
                let later_ms = later_ms.unwrap_or(u16::MAX);
                let age_ms = report.age_ms.saturating_add(later_ms);
                UpstreamNotice::RateLimit(RateLimitReport { age_ms, ..report })
            }
        }
    }
}

/// A message sent by UDP, which may be lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A gossip round.
    Gossip(Gossip),
    /// A change that an upstream has announced.
    Notice(UpstreamNotice),
    /// One VM's tallies, for the VM that adds up those of the data hall.
    TallyReport {
        /// The sender.
        vm: VmId,
        /// Its tallies.
        tallies: Vec<(TallyKey, Tally)>,
    },
    /// Recent crashes and completions, by what was running.
    Observations(Vec<SubjectObservation>),
}

/// Identifies the last heartbeat received from a VM, echoed back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// The incarnation of the VM that sent the heartbeat.
    pub incarnation: Incarnation,
    /// The number of the heartbeat.
    pub number: u32,
    /// Time since the heartbeat was received, in milliseconds.
    pub elapsed_ms: u32,
}

/// The message that a VM in front of a platform sends to other VMs a few times
/// a second.
///
/// It echoes the receiver's last heartbeat, so that the receiver knows that
/// its contents are more recent than that heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub vm: String,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// The rate of its network link.
    pub link_mbps: Mbps,
    /// Its share of processor time; 0 if unknown.
    pub cores: MilliCores,
    /// The address at which it listens for other VMs.
    pub peer_address: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// A number that grows with each heartbeat of this incarnation.
    pub number: u32,
    /// The last heartbeat that it received from the receiver.
    pub echo: Option<HeartbeatEcho>,
    /// Whether it is shutting down gracefully.
    pub leaving: bool,
    /// The position of the platform's store that it has read completely.
    pub as_of: StorePosition,
    /// A digest of everything that it has read from the store.
    pub digest: u64,
    /// The version of the configuration that it has in force.
    pub configuration_version: u64,
    /// The age of the last proof that all that it has read from the store is
    /// current, in milliseconds; `None` without any.
    pub proof_age_ms: Option<u32>,
    /// Whether it can reach the platform's store, as far as it knows.
    pub can_watch: bool,
    /// Its requests in flight, for each upstream that has any.
    pub in_flight: Vec<(ShortHash, InFlightWork)>,
    /// Loads that upstreams have announced to it since its last heartbeat.
    pub load_reports: Vec<UpstreamLoadReport>,
    /// Recent failures of its attempts, for the VMs of its data hall.
    pub failures: Vec<UpstreamFailureReport>,
    /// Incarnations of upstreams that have recently announced their shutdown.
    pub leaving_upstreams: Vec<ShortHash>,
    /// Recently announced rate limits: for the VMs of its data hall those
    /// announced to it, for other halls also those that others reported to it.
    pub rate_limits: Vec<RateLimitReport>,
    /// Its evidence on the running rollouts, for the VMs of its data hall.
    pub evidence: Vec<Evidence>,
    /// Recent crashes and completions, by what was running.
    pub observations: Vec<SubjectObservation>,
    /// The evidence of whole data halls: that of its own hall for the VMs of
    /// other halls, and that received from other halls for the VMs of its own.
    pub hall_evidence: Vec<HallEvidence>,
    /// How slow upstreams were at its recent requests.
    pub slowness: Vec<SlownessReport>,
    /// The memory that its requests in flight occupy at each engine, in
    /// tokens.
    pub memory_tokens: Vec<(ShortHash, u32)>,
    /// The doubt of larger models in its own requests; empty if it reports
    /// nothing new this time.
    pub doubts: Vec<DoubtReport>,
    /// Its requests in flight by service and organisation, the largest
    /// numbers.
    pub organisation_requests: Vec<(ShortHash, ShortHash, u16)>,
}

/// A request from one VM to another, over a TCP connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the configuration changes after a revision.
    Changes {
        /// The revision that the sender has.
        after: Revision,
    },
    /// Decides a claim; the receiver should own the claim's slot.
    Claim(ClaimRequest),
    /// Records the outcome of a claim.
    Settle {
        /// The claim.
        claim: ClaimRequest,
        /// Its outcome.
        outcome: ClaimOutcome,
    },
    /// Replicates the claims of a slot's owner while the store is unavailable.
    ReplicateClaims {
        /// The slot.
        slot: u32,
        /// The index of the slot's chain that the owner has read.
        index: u64,
        /// The owner.
        owner: VmId,
        /// The owner's incarnation.
        incarnation: Incarnation,
        /// The position of the first of `claims` among all claims since the
        /// store became unavailable.
        first: u64,
        /// The claims from that position on.
        claims: Vec<OfflineClaim>,
    },
    /// Hands over bills to keep, and to commit if the receiver is a writer.
    Bills(Vec<Bill>),
    /// Asks for the decision on a request.
    Decision(RequestId),
    /// Asks for everything that the receiver has read from the platform's
    /// store.
    Knowledge,
    /// Tells the receiver to fetch the sender's [`PeerReply::Knowledge`],
    /// which is too large to be sent to every VM unasked.
    PullKnowledge {
        /// The address at which the sender listens for other VMs.
        from: SocketAddr,
    },
    /// Sends the changes that the sender has read from the platform's store.
    KnowledgeDelta {
        /// The digest of the sender's knowledge before the changes.
        digest_before: u64,
        /// The position of the store that the changes lead up to.
        as_of: StorePosition,
        /// The changed entries.
        items: Vec<ChangedItem>,
    },
    /// Asks the receiver to connect to an upstream; after
    /// [`PeerReply::Done`], the connection is a [`crate::tunnel`] to it.
    ConnectUpstream {
        /// The incarnation of the upstream.
        upstream: ShortHash,
    },
    /// Asks the coordinator of a service for a slot, or again with the same
    /// ticket after [`PeerReply::SlotWaiting`].
    AcquireSlot {
        /// The service.
        service: ServiceId,
        /// The request for the slot.
        request: Box<SlotRequest>,
    },
    /// Tells the coordinator that a granted slot is free; gets no reply.
    ReleaseSlot {
        /// The service.
        service: ServiceId,
        /// The ticket of the grant.
        ticket: Ticket,
        /// How the request ended.
        release: Release,
    },
    /// Tells the coordinator that a caller has disconnected; gets no reply.
    CancelSlot {
        /// The service.
        service: ServiceId,
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// Asks an owner of limited upstreams to let the sender send one request
    /// in its place.
    BorrowPermit {
        /// The incarnations of the upstreams, the preferred one first.
        upstreams: Vec<ShortHash>,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The requested changes, in order.
    Changes(Vec<Change>),
    /// The whole configuration, if the requested changes are no longer kept.
    Snapshot(String),
    /// The decision on a claim.
    Verdict(ClaimVerdict),
    /// The request was carried out.
    Done,
    /// The bills are kept; some may have been committed to the store already.
    BillsKept {
        /// Requests whose bill has been committed.
        committed: Vec<RequestId>,
    },
    /// The decision on the request, if it is known.
    Decision(Option<Box<Decision>>),
    /// Everything that the VM has read from the platform's store.
    Knowledge {
        /// The position of the store that was read completely.
        as_of: StorePosition,
        /// The entries, as [`crate::store_sync::knowledge_pack`] packs them.
        packed: Vec<u8>,
        /// The age of the proof that they are current, in milliseconds.
        proof_age_ms: u32,
        /// The crashes under all quarantined subjects.
        observations: Vec<SubjectObservation>,
    },
    /// The receiver cannot or may not carry out the request, for this reason.
    Rejected(String),
    /// The request may be sent to this incarnation of an upstream.
    SlotGranted(ShortHash),
    /// The request waits for a slot, and keeps its place if the sender asks
    /// again at once.
    SlotWaiting,
    /// The request gets no slot.
    SlotRefused {
        /// When the caller should return, in milliseconds.
        retry_after_ms: u32,
        /// Whether the request will start at about that time.
        has_place: bool,
        /// Why it was refused.
        reason: RefusalReason,
    },
    /// One request may be sent to this incarnation of an upstream, at once.
    PermitLent(ShortHash),
    /// No request may be sent to any of the upstreams.
    NoPermit {
        /// When to ask again, in milliseconds.
        wait_ms: u32,
    },
}

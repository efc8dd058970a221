//! The messages between VMs: datagrams, and requests with their replies.
//!
//! VMs, upstreams and organisations stand in datagrams as short hashes of
//! their names, to keep within the byte budget of control traffic. A hash
//! that the receiver cannot resolve is skipped.

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
    crashes::observation::RequestObservation,
    id::{DataHallId, Incarnation, RequestId, Revision, VmId},
    placing::health::AttemptOutcome,
    rollouts::evidence::{Evidence, HallEvidence},
    store_sync::knowledge::ChangedItem,
    unit::{Mbps, RequestRate},
};

/// The short hash of a name.
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
    /// Hashes a name.
    pub fn of(name: &str) -> ShortHash {
        ShortHash(crate::rendezvous::short_hash(name.as_bytes()))
    }
}

/// What one VM has at an upstream.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct InFlightWork {
    /// Requests.
    pub requests: u16,
    /// Time that the prompts take which are being read, in milliseconds.
    pub prefill_ms: u16,
}

/// A failure at an upstream, as one VM tells it to the others of its data
/// hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamFailureReport {
    /// The upstream.
    pub upstream: ShortHash,
    /// How the attempt ended.
    pub verdict: AttemptOutcome,
}

/// The rate limit that an upstream named, as one VM tells it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// The life of the upstream.
    pub upstream: ShortHash,
    /// The rate; `None` where it named none any more.
    pub rate: Option<RequestRate>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u16,
}

/// What an upstream stated of its load, as one VM tells it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoadReport {
    /// The upstream.
    pub upstream: ShortHash,
    /// Requests that it worked on.
    pub running: u16,
    /// Requests that waited there.
    pub waiting: u16,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u16,
}

/// A sign of life of one VM, passed on by others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEntry {
    /// The VM.
    pub vm: ShortHash,
    /// Its life.
    pub incarnation: Incarnation,
    /// A number that grows while it lives.
    pub counter: u32,
    /// Whether it is in a planned stop.
    pub leaving: bool,
}

/// The load of one upstream, passed on by others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// The upstream.
    pub upstream: ShortHash,
    /// The age of the figures.
    pub age_ms: u16,
    /// Requests that it works on.
    pub running: u16,
    /// Requests that wait there.
    pub waiting: u16,
    /// Requests that it can work on at once.
    pub slots: u16,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The versions that it has loaded.
    pub versions: Vec<ShortHash>,
}

/// A sum over one data hall, passed on by others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TallyEntry {
    /// The data hall.
    pub data_hall: ShortHash,
    /// What is summed.
    pub key: TallyKey,
    /// The age of the sum.
    pub age_ms: u16,
    /// The sum.
    pub tally: Tally,
}

/// What one VM tells another in a gossip round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub vm: VmId,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it listens for other VMs.
    pub peer_address: SocketAddr,
    /// The configuration revision in force there.
    pub revision: Revision,
    /// The age of the last proof that this revision is current.
    pub proof_age_ms: Option<u32>,
    /// Signs of life.
    pub heartbeats: Vec<HeartbeatEntry>,
    /// Loads.
    pub loads: Vec<LoadEntry>,
    /// Sums over data halls.
    pub tallies: Vec<TallyEntry>,
}

/// What a VM has heard from an upstream that its data hall is to know at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpstreamNotice {
    /// It is leaving.
    Leaving(ShortHash),
    /// It has begun to name a rate limit, or names none any more.
    RateLimit(RateLimitReport),
}

impl UpstreamNotice {
    /// The same, told again some time later.
    pub(crate) fn aged_by(self, time: Duration) -> UpstreamNotice {
        match self {
            UpstreamNotice::Leaving(_) => self,
            UpstreamNotice::RateLimit(told) => {
                let later_ms = u16::try_from(time.as_millis());
                let later_ms = later_ms.unwrap_or(u16::MAX);
                let age_ms = told.age_ms.saturating_add(later_ms);
                UpstreamNotice::RateLimit(RateLimitReport { age_ms, ..told })
            }
        }
    }
}

/// A message that may be lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A gossip round.
    Gossip(Gossip),
    /// An upstream has said something of itself.
    Notice(UpstreamNotice),
    /// One VM's own sums, for the VM that adds up its data hall.
    TallyReport {
        /// The sender.
        vm: VmId,
        /// Its sums.
        tallies: Vec<(TallyKey, Tally)>,
    },
}

/// The last beat that a VM has had from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// The other VM's life.
    pub incarnation: Incarnation,
    /// The number of the beat.
    pub number: u32,
    /// How long it has been here.
    pub elapsed_ms: u32,
}

/// What a VM before a platform tells each other VM a few times a second.
///
/// It carries an echo of the receiver's last beat, so that the receiver knows
/// that everything in it is younger than that beat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub vm: String,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// The rate of its network link.
    pub link_mbps: Mbps,
    /// Where it listens for other VMs.
    pub peer_address: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// A number that grows while it lives.
    pub number: u32,
    /// The receiver's last beat that arrived.
    pub echo: Option<HeartbeatEcho>,
    /// Whether it is in a planned stop.
    pub leaving: bool,
    /// The version of the platform's store up to which it knows all.
    pub as_of: u64,
    /// A digest of all that it knows.
    pub digest: u64,
    /// The version of the configuration in force there.
    pub configuration_version: u64,
    /// The age of the last proof that this configuration is current.
    pub proof_age_ms: Option<u32>,
    /// Whether the platform's store answers it, as far as it knows.
    pub can_watch: bool,
    /// What it has at each upstream that has any of it.
    pub in_flight: Vec<(ShortHash, InFlightWork)>,
    /// What upstreams have stated to it since its last beat.
    pub load_reports: Vec<UpstreamLoadReport>,
    /// Upstreams at which its attempts have failed lately, for the VMs of its
    /// data hall.
    pub failures: Vec<UpstreamFailureReport>,
    /// Lives of upstreams that have said lately that they are leaving.
    pub leaving_upstreams: Vec<ShortHash>,
    /// Rate limits that upstreams have named lately: to it, for the VMs of its
    /// data hall; to any VM that it has heard, for those of other halls.
    pub rate_limits: Vec<RateLimitReport>,
    /// What it has seen of the roll-outs that are running, for the VMs of its
    /// data hall.
    pub evidence: Vec<Evidence>,
    /// What was seen lately of requests and of upstreams that ended.
    pub observations: Vec<RequestObservation>,
    /// What the VMs of a whole data hall have seen: of its own for the VMs of
    /// other halls, and of other halls, which it was told, for those of its
    /// own.
    pub hall_evidence: Vec<HallEvidence>,
}

/// What one VM asks of another over a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The changes after a revision.
    Changes {
        /// The revision that the asker has.
        after: Revision,
    },
    /// Settle a claim; the receiver should own its slot.
    Claim(ClaimRequest),
    /// Record the outcome of a claim.
    Settle {
        /// The claim.
        claim: ClaimRequest,
        /// What became of it.
        outcome: ClaimOutcome,
    },
    /// Hold claims for a slot's owner while the store is out.
    HoldClaims {
        /// The slot.
        slot: u32,
        /// The index of the slot's chain that the owner has read.
        index: u64,
        /// The owner.
        owner: VmId,
        /// The owner's life.
        incarnation: Incarnation,
        /// The position of the first claim in all since the store went
        /// out.
        first: u64,
        /// The claims from there on.
        claims: Vec<OfflineClaim>,
    },
    /// Hold bills, and commit them if the receiver is a writer.
    Bills(Vec<Bill>),
    /// Find a decision.
    Decision(RequestId),
    /// Everything that is known from the platform's store.
    Knowledge,
    /// Take everything from the sender, which knows more than it can tell
    /// every VM unasked.
    PullKnowledge {
        /// Where the sender listens for other VMs.
        from: SocketAddr,
    },
    /// Take in what has changed in the platform's store.
    KnowledgeDelta {
        /// The digest of what was known before.
        digest_before: u64,
        /// The version of the store up to which it holds.
        as_of: u64,
        /// What has changed.
        items: Vec<ChangedItem>,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The changes asked for, in order.
    Changes(Vec<Change>),
    /// A whole configuration, when the changes are no longer at hand.
    Snapshot(String),
    /// The verdict on a claim.
    Verdict(ClaimVerdict),
    /// Done.
    Done,
    /// The bills are held; those committed to the store are named.
    BillsHeld {
        /// Requests whose bill is in the store.
        committed: Vec<RequestId>,
    },
    /// The decision, if it is known.
    Decision(Option<Box<Decision>>),
    /// Everything that is known from the platform's store.
    Knowledge {
        /// The version of the store up to which it holds.
        as_of: u64,
        /// The values, as [`crate::store_sync::knowledge_pack`] packs them.
        packed: Vec<u8>,
        /// The age of the proof that they are current.
        proof_age_ms: u32,
        /// The requests that are held back, and why.
        observations: Vec<RequestObservation>,
    },
    /// The receiver cannot or may not do it.
    Refused(String),
}

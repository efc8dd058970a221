//! Messages between the VMs before a platform: heartbeats by datagram, and
//! changes and snapshots of the store over connections.
//!
//! A heartbeat reports the VM's requests in flight, its observations of
//! rollouts, and the age of the proof of its copy. Since it echoes
//! the receiver's last heartbeat, the receiver knows that it was made after
//! that one was sent, however long the network delayed it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::future;
use serde_json::json;
use smol::net::UdpSocket;

use crate::{
    chains::store::StoreVersion,
    crashes::{
        broadcast_queue::{Audience, Source},
        observation::SubjectObservation,
    },
    event::Event,
    gateway::{Gateway, fields},
    message::{
        DoubtReport, Heartbeat, PeerReply, PeerRequest, RateLimitReport,
        ShortHash,
    },
    metrics::Metrics,
    peer::{PeerService, RelayedUpstream},
    placing::cascade::calibration::ReportId,
    platform::{
        document,
        store::{StoreItem, StoreItems},
    },
    rollouts::{evidence::HallEvidence, peer_evidence::Delivery},
    scheduling::slot_decision::SlotDecision,
    store_sync::{
        knowledge::{ChangedItem, MirroredItem},
        knowledge_pack,
        learned_by::LearnedBy,
        peers::Receiver,
    },
    task,
    upstream_dialer::connect_for_peer,
};

/// Timeout of a request to another VM for its snapshot of the store.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time for which a starting VM delays its reply to another VM that
/// asks it for a snapshot.
const PROOF_WAIT_LIMIT: Duration = Duration::from_millis(400);

/// Interval at which a starting VM checks whether it has a proof, while such
/// a reply is delayed.
const PROOF_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time for which a starting VM asks others of its data hall for a
/// snapshot before it reads the store itself. VMs that start together do so
/// within a third of a second, and know everything a sixth of a second later.
const STARTUP_FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which a second VM is asked in parallel; a VM that replies does
/// so within this time.
const SECOND_SOURCE_AFTER: Duration = Duration::from_millis(200);

/// Delay before a VM that returned no snapshot is asked again.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time over which the VMs of a data hall spread their requests when all of
/// them fetch the same snapshot: 50 replies of 40 KB fill a link of 200 Mbit/s
/// for 80 ms.
const FETCH_SPREAD: Duration = Duration::from_millis(100);

/// Largest values that are pushed together, in bytes before compression. A
/// configuration may have hundreds of routes; VMs pull larger ones as a
/// snapshot, which is packed once for all of them.
const PUSH_LIMIT_BYTES: usize = 24 << 10;

/// Timeout of a request that pushes changes to another VM.
const PUSH_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 64 << 10;

/// Minimum time between two rounds of heartbeats, however much there is to
/// report.
const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(50);

/// Sends a round of heartbeats at every heartbeat interval, and sooner when
/// something has happened that other VMs should know at once.
pub(crate) async fn send_heartbeats(gateway: Arc<Gateway>, socket: UdpSocket) {
    loop {
        let jitter = 0.9 + 0.2 * rand::random::<f64>();
        let regular =
            task::sleep(gateway.settings.heartbeat_interval.mul_f64(jitter));
        let early = async {
            task::sleep(MIN_HEARTBEAT_GAP).await;
            gateway.early_heartbeat.woken().await;
        };
        future::or(regular, early).await;
        send_round(&gateway, &socket).await;
    }
}

async fn send_round(gateway: &Gateway, socket: &UdpSocket) {
    let mut round = HeartbeatRound::new(gateway);
    while let Some((address, heartbeat)) = round.next_heartbeat() {
        let frame = gateway.peers.codec.seal(heartbeat);
        let counter = gateway.metrics.peer_bytes.with_label_values(&["udp"]);
        counter.inc_by(frame.len() as u64);
        // A datagram that cannot be sent is treated as lost; the next
        // heartbeat repeats its contents.
        let _ = socket.send_to(&frame, address).await;
    }
}

/// One round of heartbeats. Those for the VMs of the own data hall differ from
/// each other only in their echo, and so do those for other data halls.
pub(crate) struct HeartbeatRound {
    heartbeat: Heartbeat,
    /// Fields for other halls, until the round reaches the first of them.
    other_hall: Option<OtherHallFields>,
    receivers: std::vec::IntoIter<Receiver>,
}

/// Fields of a heartbeat whose values differ for other data halls.
struct OtherHallFields {
    hall_evidence: Vec<HallEvidence>,
    observations: Vec<SubjectObservation>,
    rate_limits: Vec<RateLimitReport>,
    doubts: Vec<DoubtReport>,
}

impl HeartbeatRound {
    /// Collects what this VM has to report now, and the receivers.
    pub(crate) fn new(gateway: &Gateway) -> HeartbeatRound {
        let now = gateway.clock.now();
        let mut heartbeat = own_heartbeat(gateway);
        let hall = ShortHash::of(gateway.settings.data_hall.as_str());
        let rollouts = &gateway.rollouts;
        let other_hall = OtherHallFields {
            hall_evidence: rollouts.hall_evidence(
                hall,
                &heartbeat.evidence,
                now,
            ),
            observations: gateway
                .crashes
                .next_broadcasts(Audience::OtherHalls, now),
            rate_limits: gateway.pool.due_rate_limits(false, now),
            // Each VM of another hall gets few heartbeats, so all have them.
            doubts: gateway.calibration.reports(now),
        };
        heartbeat.hall_evidence =
            rollouts.relayed_evidence(&heartbeat.evidence, now);
        heartbeat.observations =
            gateway.crashes.next_broadcasts(Audience::OwnHall, now);
        let receivers = gateway.peers.receivers(now);
        HeartbeatRound {
            heartbeat,
            other_hall: Some(other_hall),
            receivers: receivers.into_iter(),
        }
    }

    /// Returns the next heartbeat and the address that it goes to.
    pub(crate) fn next_heartbeat(
        &mut self,
    ) -> Option<(SocketAddr, &Heartbeat)> {
        let receiver = self.receivers.next()?;
        if !receiver.is_same_hall
            && let Some(other_hall) = self.other_hall.take()
        {
            self.heartbeat.evidence = Vec::new();
            self.heartbeat.hall_evidence = other_hall.hall_evidence;
            self.heartbeat.observations = other_hall.observations;
            self.heartbeat.rate_limits = other_hall.rate_limits;
            self.heartbeat.doubts = other_hall.doubts;
        }
        self.heartbeat.echo = receiver.echo;
        Some((receiver.address, &self.heartbeat))
    }
}

/// Returns this VM's heartbeat for its own data hall, without the fields that
/// the round fills in.
fn own_heartbeat(gateway: &Gateway) -> Heartbeat {
    let peers = &gateway.peers;
    let now = gateway.clock.now();
    let number = peers.next_number(now);
    let in_flight = |service: &_, target: &_| {
        gateway.in_flight_at_other_versions(service, target)
    };
    // Taken before the position, so that the proof is never of less.
    let age = gateway.knowledge.copy_age(now);
    Heartbeat {
        vm: peers.vm().to_owned(),
        data_hall: gateway.settings.data_hall.clone(),
        link_mbps: gateway.settings.link_rate,
        cores: gateway.settings.cores,
        peer_address: gateway.settings.peer_address,
        incarnation: gateway.incarnation,
        number,
        echo: None,
        leaving: gateway.is_stopping(),
        as_of: gateway.knowledge.as_of(),
        digest: gateway.knowledge.digest(),
        configuration_version: gateway
            .knowledge
            .table_version()
            .unwrap_or_default()
            .0,
        // Rounded up, so that a proof never seems more recent than it is.
        proof_age_ms: age.map(|age| age.as_millis() as u32 + 1),
        can_watch: peers.can_watch(now),
        in_flight: gateway.pool.local_work(),
        load_reports: gateway.pool.take_loads(now),
        failures: gateway.pool.take_failures(now),
        leaving_upstreams: gateway.pool.due_leaving(now),
        rate_limits: gateway.pool.due_rate_limits(true, now),
        evidence: gateway.rollouts.evidence(in_flight, now),
        observations: Vec::new(),
        hall_evidence: Vec::new(),
        slowness: gateway.pool.slowness_reports(now),
        memory_tokens: gateway.pool.local_memory(),
        doubts: gateway.calibration.due_reports(now),
        organisation_requests: gateway.organisation_requests.report(),
    }
}

/// Receives heartbeats for as long as it is polled. Frames that cannot be
/// opened are counted and dropped.
pub(crate) async fn receive_heartbeats(
    gateway: Arc<Gateway>,
    socket: UdpSocket,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            task::sleep(Duration::from_millis(50)).await;
            continue;
        };
        match gateway.peers.codec.open::<Heartbeat>(&buffer[..length]) {
            Ok(heartbeat) => receive_heartbeat(&gateway, &heartbeat),
            Err(fault) => {
                let dropped = &gateway.metrics.frames_dropped;
                dropped.with_label_values(&[fault.as_str()]).inc();
            }
        }
    }
}

/// Merges the state that a heartbeat reports. If its sender has a newer copy
/// of the store and this VM's proof is old, fetches the sender's snapshot.
pub(crate) fn receive_heartbeat(
    gateway: &Arc<Gateway>,
    heartbeat: &Heartbeat,
) {
    if heartbeat.vm == gateway.peers.vm() {
        return;
    }
    let now = gateway.clock.now();
    let knows_more =
        gateway.peers.merge_heartbeat(heartbeat, &gateway.knowledge, now);
    gateway.pool.record_hall_heartbeat(&heartbeat.data_hall, now);
    gateway.pool.set_peer_work(&heartbeat.vm, &heartbeat.in_flight, now);
    gateway.pool.merge_peer_loads(&heartbeat.load_reports, now);
    gateway.pool.set_peer_memory(&heartbeat.vm, &heartbeat.memory_tokens, now);
    gateway.organisation_requests.merge_report(
        &heartbeat.vm,
        &heartbeat.organisation_requests,
        now,
    );
    gateway.pool.merge_peer_slowness(&heartbeat.vm, &heartbeat.slowness, now);
    gateway.calibration.merge_peer_doubts(
        &heartbeat.vm,
        ReportId {
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
        },
        &heartbeat.doubts,
        now,
    );
    let is_same_hall = heartbeat.data_hall == gateway.settings.data_hall;
    gateway
        .merge_leaving_upstreams(&heartbeat.vm, &heartbeat.leaving_upstreams);
    gateway.merge_rate_limits(
        &heartbeat.vm,
        &heartbeat.rate_limits,
        is_same_hall,
    );
    if is_same_hall {
        for upstream in
            gateway.pool.merge_peer_failures(&heartbeat.failures, now)
        {
            Event::UpstreamUnfit.record(fields(json!({
                "upstream": upstream,
                "told_by": heartbeat.vm,
            })));
        }
    }
    merge_evidence(gateway, heartbeat, is_same_hall);
    let source =
        if is_same_hall { Source::OwnHall } else { Source::OtherHall };
    gateway.merge_observations(&heartbeat.observations, source);
    if !knows_more {
        return;
    }
    let own_as_of = gateway.knowledge.as_of();
    gateway.peers.record_behind(heartbeat.as_of, own_as_of, now);
    // No push brings this VM into a new era of the store.
    let is_new_era = heartbeat.as_of.era > own_as_of.era;
    let age = gateway.knowledge.copy_age(now);
    // Below that age, this VM's own calls keep it up to date.
    let overdue_age = gateway.settings.staleness_bound.overdue_age();
    let is_due = is_new_era || age.is_none_or(|age| age > overdue_age);
    if is_due && gateway.snapshot_fetches.count() == 0 {
        let fetching = gateway.snapshot_fetches.enter();
        let (gateway, from) = (gateway.clone(), heartbeat.peer_address);
        let work = async move {
            // If this fails, the next heartbeat shows again that this VM is
            // behind.
            let _ = fetch(&gateway, from).await;
            drop(fetching);
        };
        task::spawn(work).detach();
    }
}

/// Merges the evidence on running rollouts that a heartbeat reports.
fn merge_evidence(
    gateway: &Gateway,
    heartbeat: &Heartbeat,
    is_same_hall: bool,
) {
    let now = gateway.clock.now();
    let rollouts = &gateway.rollouts;
    let own_hall = ShortHash::of(gateway.settings.data_hall.as_str());
    if is_same_hall {
        rollouts.merge_evidence(&heartbeat.vm, &heartbeat.evidence, now);
    }
    let delivery =
        if is_same_hall { Delivery::Relayed } else { Delivery::Direct };
    for sum in &heartbeat.hall_evidence {
        // Evidence on this hall comes from a VM that took this hall for
        // another one.
        if sum.data_hall != own_hall {
            rollouts.merge_hall_evidence(sum, delivery, now);
        }
    }
}

/// Pushes changes to the VMs that receive them from this one.
///
/// `digest_before` is the digest of this VM's copy before the changes.
pub(crate) fn push_changes(
    gateway: &Arc<Gateway>,
    digest_before: u64,
    changes: &StoreItems,
) {
    if changes.items.is_empty() {
        return;
    }
    let own = gateway.settings.peer_address;
    let request = push_request(digest_before, changes, own);
    send_to_receivers(gateway, &request);
}

/// Tells the VMs that receive this one's changes to fetch its snapshot.
pub(crate) fn push_snapshot(gateway: &Arc<Gateway>) {
    let from = gateway.settings.peer_address;
    send_to_receivers(gateway, &PeerRequest::PullKnowledge { from });
}

/// Sends a request to the VMs to which this one pushes changes.
fn send_to_receivers(gateway: &Arc<Gateway>, request: &PeerRequest) {
    let now = gateway.clock.now();
    let age = gateway.knowledge.copy_age(now);
    let bound = gateway.settings.staleness_bound;
    for address in gateway.peers.change_receivers(age, bound, now) {
        let request = request.clone();
        let gateway = gateway.clone();
        task::spawn(async move {
            // A VM that misses the push learns from the next heartbeat that it
            // is behind.
            let client = &gateway.peers.client;
            let _ = client.call(address, request, PUSH_CALL_TIMEOUT).await;
        })
        .detach();
    }
}

fn push_request(
    digest_before: u64,
    changes: &StoreItems,
    own: SocketAddr,
) -> PeerRequest {
    let bytes = |item: &StoreItem| item.value.as_ref().map_or(0, Vec::len);
    let all_bytes: usize = changes.items.iter().map(bytes).sum();
    if all_bytes > PUSH_LIMIT_BYTES {
        return PeerRequest::PullKnowledge { from: own };
    }
    let items = changes.items.iter().map(|item| ChangedItem {
        key: item.key.clone(),
        value: item.value.clone(),
        version: item.version.0,
    });
    PeerRequest::KnowledgeDelta {
        digest_before,
        as_of: changes.as_of,
        items: items.collect(),
    }
}

/// Waits briefly for the first proof of this VM's copy, in case it has just
/// started and reads the store for the others.
async fn wait_for_proof(gateway: &Gateway) {
    let proven = async {
        while gateway.knowledge.is_empty()
            || gateway.knowledge.copy_age(gateway.clock.now()).is_none()
        {
            task::sleep(PROOF_POLL_INTERVAL).await;
        }
    };
    // Without a proof, the caller replies that nothing is known.
    let _ = task::within(PROOF_WAIT_LIMIT, proven).await;
}

/// Fetches the snapshot of a VM that has new changes, or makes this VM poll
/// the store if that fails.
async fn fetch_or_poll(gateway: Arc<Gateway>, from: SocketAddr) {
    task::sleep(FETCH_SPREAD.mul_f64(rand::random())).await;
    if !fetch(&gateway, from).await {
        gateway.peers.request_poll();
    }
}

/// Fetches a snapshot from the first of two VMs that replies; returns whether
/// one did.
pub(crate) async fn fetch_from_either(
    gateway: &Gateway,
    sources: &[SocketAddr],
) -> bool {
    let [first, others @ ..] = sources else { return false };
    let ask = |from: SocketAddr| async move {
        while !fetch(gateway, from).await {
            task::sleep(FETCH_RETRY_DELAY).await;
        }
    };
    let second = async {
        task::sleep(SECOND_SOURCE_AFTER).await;
        match others.first() {
            Some(from) => ask(*from).await,
            None => future::pending().await,
        }
    };
    let either = future::or(ask(*first), second);
    task::within(STARTUP_FETCH_TIMEOUT, either).await.is_some()
}

/// Fetches and applies another VM's snapshot; returns whether this VM now
/// knows at least as much as it.
async fn fetch(gateway: &Gateway, from: SocketAddr) -> bool {
    let asked_at = gateway.clock.now();
    let client = &gateway.peers.client;
    let reply =
        client.call(from, PeerRequest::Knowledge, SNAPSHOT_TIMEOUT).await;
    let Ok(PeerReply::Knowledge { as_of, packed, proof_age_ms, observations }) =
        reply
    else {
        return false;
    };
    gateway.merge_observations(&observations, Source::Snapshot);
    let Some(items) = knowledge_pack::unpack(&packed) else {
        return false;
    };
    if as_of <= gateway.knowledge.as_of() {
        let is_configuration =
            |item: &MirroredItem| item.key == document::CONFIGURATION_KEY;
        if let Some(item) = items.into_iter().find(is_configuration) {
            let applied = gateway.knowledge.apply_configuration(item.value);
            gateway.apply_items(applied, LearnedBy::Snapshot);
        }
        return true;
    }
    let items = items.into_iter().map(|item| StoreItem {
        key: item.key,
        value: Some(item.value),
        version: StoreVersion(item.version),
    });
    let items = items.collect();
    let all = StoreItems { items, as_of, ..StoreItems::default() };
    let now = gateway.clock.now();
    let applied = gateway.knowledge.apply_snapshot(all, now);
    if applied.is_outdated {
        return true;
    }
    gateway.apply_items(applied, LearnedBy::Snapshot);
    let age = Duration::from_millis(proof_age_ms.into());
    if let Some(proven_at) = asked_at.checked_sub(age) {
        gateway.knowledge.prove(proven_at);
        gateway.peers.record_poll();
    }
    Event::KnowledgeFromPeer.record(fields(json!({
        "from": from.to_string(),
        "as_of": as_of.to_string(),
        "proof_age_ms": proof_age_ms,
    })));
    true
}

impl PeerService for Gateway {
    async fn answer(self: Arc<Gateway>, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Knowledge => {
                wait_for_proof(&self).await;
                let now = self.clock.now();
                // The age is read before the values, so that it is never
                // younger than they are.
                let Some(age) = self.knowledge.copy_age(now) else {
                    return PeerReply::Rejected("nothing is known".into());
                };
                let (as_of, packed) = self.knowledge.packed();
                PeerReply::Knowledge {
                    as_of,
                    packed: packed.to_vec(),
                    proof_age_ms: age.as_millis() as u32 + 1,
                    observations: self
                        .crashes
                        .quarantine_observations(self.clock.now()),
                }
            }
            PeerRequest::KnowledgeDelta { digest_before, as_of, items } => {
                let items = items.into_iter().map(|item| StoreItem {
                    key: item.key,
                    value: item.value,
                    version: StoreVersion(item.version),
                });
                let items = items.collect();
                let changes =
                    StoreItems { items, as_of, ..StoreItems::default() };
                // If changes are missing, the next heartbeat shows it.
                let applied =
                    self.knowledge.merge_peer_changes(digest_before, changes);
                self.apply_items(applied, LearnedBy::Push);
                self.peers.prove_by_heartbeats(&self.knowledge);
                PeerReply::Done
            }
            PeerRequest::PullKnowledge { from } => {
                task::spawn(fetch_or_poll(self, from)).detach();
                PeerReply::Done
            }
            PeerRequest::AcquireSlot { service, request } => {
                let coordinator = &self.slot_coordinator;
                let decision =
                    coordinator.acquire(&self, &service, *request).await;
                slot_reply(decision)
            }
            PeerRequest::ReleaseSlot { service, ticket, release } => {
                let now = self.clock.now();
                let coordinator = &self.slot_coordinator;
                coordinator.release(&service, ticket, release, now);
                PeerReply::Done
            }
            PeerRequest::CancelSlot { service, ticket } => {
                let now = self.clock.now();
                self.slot_coordinator.cancel(&service, ticket, now);
                PeerReply::Done
            }
            PeerRequest::BorrowPermit { upstreams } => {
                let now = self.clock.now();
                match self.pool.lend_permit(&upstreams, now) {
                    Ok(upstream) => PeerReply::PermitLent(upstream),
                    Err(wait) => {
                        let wait_ms = u32::try_from(wait.as_millis());
                        let wait_ms = wait_ms.unwrap_or(u32::MAX);
                        PeerReply::NoPermit { wait_ms }
                    }
                }
            }
            _ => PeerReply::Rejected("not a request for this VM".into()),
        }
    }

    async fn connect_upstream(
        self: Arc<Gateway>,
        upstream: ShortHash,
    ) -> Result<RelayedUpstream, String> {
        let Some(relay) = self.relays.enter() else {
            return Err("this VM only waits for open connections".to_owned());
        };
        let memory = self.memory.claim_connection().ok_or_else(|| {
            "this VM has no memory for another connection".to_owned()
        })?;
        let stream = connect_for_peer(&*self, upstream).await?;
        let guard = Box::new((relay, memory, self.in_flight.enter()));
        Ok(RelayedUpstream { stream, _guard: guard })
    }
}

/// Returns the reply for the decision on a slot; `None` if this VM does not
/// coordinate.
fn slot_reply(decision: Option<SlotDecision>) -> PeerReply {
    match decision {
        None => PeerReply::Rejected("stopping".into()),
        Some(SlotDecision::Granted(upstream)) => {
            PeerReply::SlotGranted(upstream)
        }
        Some(SlotDecision::Waiting) => PeerReply::SlotWaiting,
        Some(SlotDecision::Refused { retry_after, has_place, reason }) => {
            let retry_after_ms = u32::try_from(retry_after.as_millis());
            PeerReply::SlotRefused {
                retry_after_ms: retry_after_ms.unwrap_or(u32::MAX),
                has_place,
                reason,
            }
        }
    }
}

/// Serves requests of the other VMs for as long as it is polled.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    listener: smol::net::TcpListener,
) {
    let codec = gateway.peers.codec.clone();
    let metrics: Arc<Metrics> = gateway.metrics.clone();
    crate::peer::serve(listener, codec, metrics, gateway).await;
}

//! What VMs before a platform tell each other: beats by datagram, and whole
//! knowledge over a connection when one of them is behind.
//!
//! A beat tells where a VM's requests are, what it has seen of roll-outs, and
//! how old its proof of the configuration is. Since it carries an echo of the
//! receiver's last beat, the receiver knows that it was made after that beat
//! was sent, whatever the network did with it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::future;
use serde_json::json;
use smol::net::UdpSocket;

use crate::{
    chains::store::StoreVersion,
    crashes::{
        broadcast_queue::{Audience, Source},
        observation::RequestObservation,
    },
    event::Event,
    gateway::{Gateway, fields},
    message::{Heartbeat, PeerReply, PeerRequest, RateLimitReport, ShortHash},
    metrics::Metrics,
    peer::PeerService,
    platform::store::{StoreItem, StoreItems},
    rollouts::{evidence::HallEvidence, peer_evidence::Delivery},
    store_sync::{knowledge::ChangedItem, knowledge_pack, peers::Receiver},
    task,
};

/// Longest time that another VM may take to tell all that it knows.
const KNOWLEDGE_LIMIT: Duration = Duration::from_millis(800);

/// Longest time for which a VM that starts lets another wait that asks it for
/// everything.
const PROOF_WAIT: Duration = Duration::from_millis(400);

/// Time between two looks at whether it knows.
const PROOF_LOOK: Duration = Duration::from_millis(10);

/// Longest time for which a VM that starts asks others of its data hall for
/// everything before it reads it itself: they start within a third of a second
/// of it and know everything a sixth of a second later.
const TAKE_LIMIT: Duration = Duration::from_millis(800);

/// Time after which the second VM is asked as well; one that answers does so
/// within it.
const SECOND_SOURCE_AFTER: Duration = Duration::from_millis(200);

/// Time after which a VM is asked again that could not tell.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(40);

/// Time over which the VMs of a data hall spread when all of them take the
/// same: 50 replies of 40 KB fill a link of 200 Mbit/s for 80 ms.
const TAKE_SPREAD: Duration = Duration::from_millis(100);

/// Proof age from which a VM takes knowledge from others; below it, its own
/// watch is at work.
const BEHIND_AFTER: Duration = Duration::from_millis(1500);

/// Largest value that is told unasked, before it is deflated. A configuration
/// may have hundreds of routes; VMs take what is larger when they can, packed
/// once for all.
const TOLD_BYTES: usize = 24 << 10;

/// Longest time that telling another VM what has changed may take.
const NEWS_LIMIT: Duration = Duration::from_millis(500);

/// Largest datagram read, in bytes.
const DATAGRAM_BYTES: usize = 64 << 10;

/// Least time between two beats, however much there is to tell.
const BEAT_GAP: Duration = Duration::from_millis(50);

/// Sends beats again and again: at every beat period, and sooner when
/// something was begun that the others should know of.
pub(crate) async fn send_heartbeats(gateway: Arc<Gateway>, socket: UdpSocket) {
    loop {
        let jitter = 0.9 + 0.2 * rand::random::<f64>();
        let regular =
            task::sleep(gateway.settings.heartbeat_interval.mul_f64(jitter));
        let early = async {
            task::sleep(BEAT_GAP).await;
            gateway.early_heartbeat.woken().await;
        };
        future::or(regular, early).await;
        send_beats(&gateway, &socket).await;
    }
}

async fn send_beats(gateway: &Gateway, socket: &UdpSocket) {
    let mut round = HeartbeatRound::new(gateway);
    while let Some((address, beat)) = round.next_heartbeat() {
        let frame = gateway.peers.codec.seal(beat);
        let counter = gateway.metrics.peer_bytes.with_label_values(&["udp"]);
        counter.inc_by(frame.len() as u64);
        // A datagram that cannot be sent is like one that is lost; the next
        // beat says all of it again.
        let _ = socket.send_to(&frame, address).await;
    }
}

/// The beats of one round: one for the VMs of the own data hall and one for
/// those of others, which differ only in their echo.
pub(crate) struct HeartbeatRound {
    beat: Heartbeat,
    /// What only other halls are told, until the first of them is reached.
    for_others: Option<ForOthers>,
    receivers: std::vec::IntoIter<Receiver>,
}

/// What the VMs of other data halls are told in place of what those of the
/// own one are.
struct ForOthers {
    hall_evidence: Vec<HallEvidence>,
    observations: Vec<RequestObservation>,
    rate_limits: Vec<RateLimitReport>,
}

impl HeartbeatRound {
    /// What a VM has to tell now, and whom.
    pub(crate) fn new(gateway: &Gateway) -> HeartbeatRound {
        let now = gateway.clock.now();
        let mut beat = beat(gateway);
        let hall = ShortHash::of(gateway.settings.data_hall.as_str());
        let rollouts = &gateway.rollouts;
        let for_others = ForOthers {
            hall_evidence: rollouts.hall_evidence(hall, &beat.evidence, now),
            observations: gateway
                .crashes
                .next_broadcasts(Audience::OtherHalls),
            rate_limits: gateway.pool.take_rate_limits(false, now),
        };
        beat.hall_evidence = rollouts.relayed_evidence(&beat.evidence, now);
        beat.observations = gateway.crashes.next_broadcasts(Audience::OwnHall);
        let receivers = gateway.peers.receivers(now);
        HeartbeatRound {
            beat,
            for_others: Some(for_others),
            receivers: receivers.into_iter(),
        }
    }

    /// The next beat, and the VM that it goes to.
    pub(crate) fn next_heartbeat(
        &mut self,
    ) -> Option<(SocketAddr, &Heartbeat)> {
        let receiver = self.receivers.next()?;
        if !receiver.is_same_hall
            && let Some(told) = self.for_others.take()
        {
            self.beat.evidence = Vec::new();
            self.beat.hall_evidence = told.hall_evidence;
            self.beat.observations = told.observations;
            self.beat.rate_limits = told.rate_limits;
        }
        self.beat.echo = receiver.echo;
        Some((receiver.address, &self.beat))
    }
}

/// What a VM has to tell the others now.
fn beat(gateway: &Gateway) -> Heartbeat {
    let peers = &gateway.peers;
    let now = gateway.clock.now();
    let number = peers.next_number(now);
    let old = |service: &_, target: &_| {
        gateway.in_flight_at_other_versions(service, target)
    };
    let age = gateway.knowledge.proof_age(now);
    Heartbeat {
        vm: peers.vm().to_owned(),
        data_hall: gateway.settings.data_hall.clone(),
        link_mbps: gateway.settings.link_rate,
        peer_address: gateway.settings.peer_address,
        incarnation: gateway.incarnation,
        number,
        echo: None,
        leaving: gateway.is_stopping(),
        as_of: gateway.knowledge.as_of().0,
        digest: gateway.knowledge.digest(),
        configuration_version: gateway
            .knowledge
            .table_version()
            .unwrap_or_default()
            .0,
        // Rounded up, so that a proof never seems younger than it is.
        proof_age_ms: age.map(|age| age.as_millis() as u32 + 1),
        can_watch: peers.can_watch(now),
        in_flight: gateway.pool.local_work(),
        load_reports: gateway.pool.take_loads(now),
        failures: gateway.pool.take_failures(now),
        leaving_upstreams: gateway.pool.take_leaving(now),
        rate_limits: gateway.pool.take_rate_limits(true, now),
        evidence: gateway.rollouts.evidence(old, now),
        observations: Vec::new(),
        hall_evidence: Vec::new(),
    }
}

/// Takes in beats for as long as it is polled.
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
            Ok(beat) => receive_heartbeat(&gateway, &beat),
            Err(fault) => {
                let dropped = &gateway.metrics.frames_dropped;
                dropped.with_label_values(&[fault.as_str()]).inc();
            }
        }
    }
}

/// Takes in a beat.
pub(crate) fn receive_heartbeat(gateway: &Arc<Gateway>, beat: &Heartbeat) {
    if beat.vm == gateway.peers.vm() {
        return;
    }
    let now = gateway.clock.now();
    let knows_more =
        gateway.peers.merge_heartbeat(beat, &gateway.knowledge, now);
    if beat.digest == gateway.knowledge.digest() {
        gateway.peers.record_agreement(&beat.vm, now);
    }
    gateway.pool.record_hall_heartbeat(&beat.data_hall, now);
    gateway.pool.set_peer_work(&beat.vm, &beat.in_flight, now);
    gateway.pool.apply_peer_loads(&beat.load_reports, now);
    let is_same_hall = beat.data_hall == gateway.settings.data_hall;
    gateway.merge_leaving_upstreams(&beat.vm, &beat.leaving_upstreams);
    gateway.merge_rate_limits(&beat.vm, &beat.rate_limits, is_same_hall);
    if is_same_hall {
        for unfit in gateway.pool.apply_peer_failures(&beat.failures, now) {
            Event::UpstreamUnfit.record(fields(json!({
                "upstream": unfit,
                "told_by": beat.vm,
            })));
        }
    }
    hear_evidence(gateway, beat, is_same_hall);
    let source =
        if is_same_hall { Source::OwnHall } else { Source::OtherHall };
    gateway.merge_sightings(&beat.observations, source);
    if !knows_more {
        return;
    }
    gateway.peers.record_behind(now);
    let age = gateway.knowledge.proof_age(now);
    if age.is_none_or(|age| age > BEHIND_AFTER) {
        let (gateway, from) = (gateway.clone(), beat.peer_address);
        let work = async move {
            // If it fails, the next beat says again that this VM is behind.
            let _ = fetch(&gateway, from).await;
        };
        task::spawn(work).detach();
    }
}

/// Takes in what a beat tells of the roll-outs that are running.
fn hear_evidence(gateway: &Gateway, beat: &Heartbeat, is_same_hall: bool) {
    let now = gateway.clock.now();
    let rollouts = &gateway.rollouts;
    let own_hall = ShortHash::of(gateway.settings.data_hall.as_str());
    if is_same_hall {
        rollouts.merge_evidence(&beat.vm, &beat.evidence, now);
    }
    let way = if is_same_hall { Delivery::Relayed } else { Delivery::Direct };
    for sum in &beat.hall_evidence {
        // One of this hall comes from a VM that took it for another.
        if sum.data_hall != own_hall {
            rollouts.merge_hall_evidence(sum, way, now);
        }
    }
}

/// Tells the other VMs what has changed.
pub(crate) fn push_changes(
    gateway: &Arc<Gateway>,
    digest_before: u64,
    changes: &StoreItems,
) {
    if changes.items.is_empty() {
        return;
    }
    let own = gateway.settings.peer_address;
    let request = news(digest_before, changes, own);
    for address in gateway.peers.change_receivers(gateway.clock.now()) {
        let request = request.clone();
        let gateway = gateway.clone();
        task::spawn(async move {
            // One that does not hear it learns from the next beat that it
            // is behind.
            let client = &gateway.peers.client;
            let _ = client.call(address, request, NEWS_LIMIT).await;
        })
        .detach();
    }
}

fn news(
    digest_before: u64,
    changes: &StoreItems,
    own: SocketAddr,
) -> PeerRequest {
    let bytes = |item: &StoreItem| item.value.as_ref().map_or(0, Vec::len);
    if changes.items.iter().any(|item| bytes(item) > TOLD_BYTES) {
        return PeerRequest::PullKnowledge { from: own };
    }
    let items = changes.items.iter().map(|item| ChangedItem {
        key: item.key.clone(),
        value: item.value.clone(),
        version: item.version.0,
    });
    PeerRequest::KnowledgeDelta {
        digest_before,
        as_of: changes.as_of.0,
        items: items.collect(),
    }
}

/// Waits a moment for the first proof of what this VM knows, if it has only
/// just started and reads for the others.
async fn wait_for_proof(gateway: &Gateway) {
    let proven = async {
        while gateway.knowledge.is_empty()
            || gateway.knowledge.proof_age(gateway.clock.now()).is_none()
        {
            task::sleep(PROOF_LOOK).await;
        }
    };
    // Without one it is told that nothing is known.
    let _ = task::within(PROOF_WAIT, proven).await;
}

/// Takes what the VM has that says it knows more, or else asks the store.
async fn take_or_look(gateway: Arc<Gateway>, from: SocketAddr) {
    task::sleep(TAKE_SPREAD.mul_f64(rand::random())).await;
    if !fetch(&gateway, from).await {
        gateway.peers.request_poll();
    }
}

/// Takes everything from the first of two VMs that tells it; returns whether
/// one did.
pub(crate) async fn fetch_from_either(
    gateway: &Gateway,
    sources: &[SocketAddr],
) -> bool {
    let [first, others @ ..] = sources else { return false };
    let ask = |from: SocketAddr| async move {
        while !fetch(gateway, from).await {
            task::sleep(ASK_AGAIN_AFTER).await;
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
    task::within(TAKE_LIMIT, either).await.is_some()
}

/// Takes over what another VM knows; returns whether it knows all that now.
async fn fetch(gateway: &Gateway, from: SocketAddr) -> bool {
    let asked_at = gateway.clock.now();
    let client = &gateway.peers.client;
    let reply =
        client.call(from, PeerRequest::Knowledge, KNOWLEDGE_LIMIT).await;
    let Ok(PeerReply::Knowledge { as_of, packed, proof_age_ms, observations }) =
        reply
    else {
        return false;
    };
    gateway.merge_sightings(&observations, Source::Snapshot);
    if StoreVersion(as_of) <= gateway.knowledge.as_of() {
        return true;
    }
    let Some(items) = knowledge_pack::unpack(&packed) else {
        return false;
    };
    let items = items.into_iter().map(|item| StoreItem {
        key: item.key,
        value: Some(item.value),
        version: StoreVersion(item.version),
    });
    let all =
        StoreItems { items: items.collect(), as_of: StoreVersion(as_of) };
    let news = gateway.knowledge.apply_snapshot(all);
    gateway.apply_news(news);
    let age = Duration::from_millis(proof_age_ms.into());
    if let Some(proven_at) = asked_at.checked_sub(age) {
        gateway.knowledge.prove(proven_at);
        gateway.peers.record_poll(proven_at);
    }
    Event::KnowledgeFromPeer.record(fields(json!({
        "from": from.to_string(),
        "as_of": as_of,
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
                // The age is taken before the values, so that it is not
                // younger than they are.
                let Some(age) = self.knowledge.proof_age(now) else {
                    return PeerReply::Refused("nothing is known".into());
                };
                let (as_of, packed) = self.knowledge.packed();
                PeerReply::Knowledge {
                    as_of: as_of.0,
                    packed: packed.to_vec(),
                    proof_age_ms: age.as_millis() as u32 + 1,
                    observations: self.crashes.quarantine_observations(),
                }
            }
            PeerRequest::KnowledgeDelta { digest_before, as_of, items } => {
                let items = items.into_iter().map(|item| StoreItem {
                    key: item.key,
                    value: item.value,
                    version: StoreVersion(item.version),
                });
                let as_of = StoreVersion(as_of);
                let changes = StoreItems { items: items.collect(), as_of };
                // Whether anything is missing shows in the next beat.
                let news =
                    self.knowledge.merge_peer_changes(digest_before, changes);
                self.apply_news(news);
                PeerReply::Done
            }
            PeerRequest::PullKnowledge { from } => {
                task::spawn(take_or_look(self, from)).detach();
                PeerReply::Done
            }
            _ => PeerReply::Refused("not a request for this VM".into()),
        }
    }
}

/// Serves the other VMs for as long as it is polled.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    listener: smol::net::TcpListener,
) {
    let codec = gateway.peers.codec.clone();
    let metrics: Arc<Metrics> = gateway.metrics.clone();
    crate::peer::serve(listener, codec, metrics, gateway).await;
}

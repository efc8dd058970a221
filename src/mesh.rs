//! What VMs before a platform tell each other: beats by datagram, and whole
//! knowledge over a connection when one of them is behind.
//!
//! A beat tells where a VM's requests are, what it has seen of roll-outs, and
//! how old its proof of the configuration is. Since it carries an echo of the
//! receiver's last beat, the receiver knows that it was made after that beat
//! was sent, whatever the network did with it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::json;
use smol::net::UdpSocket;

use crate::{
    event::Event,
    frame::FrameCodec,
    gateway::{Gateway, fields, settings::GatewaySettings},
    id::{DataHallId, Incarnation},
    knowledge::{ChangedItem, PeerRecord},
    message::{Echo, PeerReply, PeerRequest, VmBeat},
    metrics::Metrics,
    peer::{PeerClient, PeerService},
    platform::store::{Item, Items},
    rendezvous,
    route::TableVersion,
    store::StoreVersion,
    task,
};

/// Age of the last beat from which a VM counts as gone.
const SILENT_AFTER: Duration = Duration::from_millis(1800);

/// Beats of its own that a VM remembers, to know when an echoed one left.
const BEATS_REMEMBERED: usize = 16;

/// Age of the proof of a VM that may keep the records of roll-outs.
const STEWARD_PROOF: Duration = Duration::from_millis(2800);

/// Longest time that another VM may take to tell all that it knows.
const KNOWLEDGE_LIMIT: Duration = Duration::from_millis(800);

/// Proof age from which a VM takes knowledge from others; below it, its own
/// watch is at work.
const BEHIND_AFTER: Duration = Duration::from_millis(1500);

/// VMs of a data hall that watch the store; the others are told by them. Each
/// watch has its price, and two are enough to lose one.
const WATCHERS: usize = 2;

/// Part of the time in which a key that was taken away must be refused, up to
/// which the proof of a VM that does not watch may age before it does.
const REST_PROOF_PART: f64 = 0.45;

/// Longest time that telling another VM what has changed may take.
const NEWS_LIMIT: Duration = Duration::from_millis(500);

/// Largest datagram read, in bytes.
const DATAGRAM_BYTES: usize = 64 << 10;

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    data_hall: DataHallId,
    heard: Option<Heard>,
}

#[derive(Clone, Debug)]
struct Heard {
    at: Instant,
    incarnation: Incarnation,
    number: u32,
    is_leaving: bool,
    proven_at: Option<Instant>,
}

impl Heard {
    fn echo(&self, now: Instant) -> Echo {
        let held = now.saturating_duration_since(self.at);
        Echo {
            incarnation: self.incarnation,
            number: self.number,
            held_ms: held.as_millis() as u32,
        }
    }
}

/// The other VMs that this one knows of.
pub(crate) struct Peers {
    vm: String,
    data_hall: DataHallId,
    seeds: Vec<SocketAddr>,
    known: Mutex<HashMap<String, Peer>>,
    sent: Mutex<Vec<(u32, Instant)>>,
    agreed_at: Mutex<Option<Instant>>,
    next_number: AtomicU32,
    codec: FrameCodec,
    client: PeerClient,
}

impl Peers {
    /// Creates the list with nobody on it but the seeds.
    pub(crate) fn new(
        settings: &GatewaySettings,
        metrics: Arc<Metrics>,
    ) -> Peers {
        let codec = FrameCodec::new(&settings.cluster_key);
        let own = settings.peers;
        let seeds = settings.seeds.iter().copied();
        Peers {
            vm: settings.vm.to_string(),
            data_hall: settings.data_hall.clone(),
            seeds: seeds.filter(|seed| *seed != own).collect(),
            known: Mutex::default(),
            sent: Mutex::default(),
            agreed_at: Mutex::new(None),
            next_number: AtomicU32::new(1),
            client: PeerClient::new(codec.clone(), metrics),
            codec,
        }
    }

    /// Takes in the record of a VM.
    pub(crate) fn learn(&self, vm: &str, record: &PeerRecord) {
        if vm == self.vm {
            return;
        }
        let mut known = self.known.lock().expect("peers lock");
        let peer = known.entry(vm.to_owned()).or_insert_with(|| Peer {
            address: record.peers,
            data_hall: record.data_hall.clone(),
            heard: None,
        });
        peer.address = record.peers;
    }

    /// How many VMs there are, with this one.
    pub(crate) fn fleet_size(&self) -> usize {
        self.known.lock().expect("peers lock").len() + 1
    }

    /// Takes a VM off the list.
    pub(crate) fn forget(&self, vm: &str) {
        self.known.lock().expect("peers lock").remove(vm);
    }

    /// Whether this VM is the one that keeps the records of roll-outs: the
    /// first, in a fixed order, of those that hear each other and know the
    /// store well.
    pub(crate) fn is_steward(&self, gateway: &Gateway) -> bool {
        let now = gateway.clock.now();
        let is_able = |proven_at: Option<Instant>| {
            proven_at.is_some_and(|at| {
                now.saturating_duration_since(at) <= STEWARD_PROOF
            })
        };
        let own_proof = gateway.knowledge.proof_age(now);
        if own_proof.is_none_or(|age| age > STEWARD_PROOF) {
            return false;
        }
        let known = self.known.lock().expect("peers lock");
        let able = known.iter().filter(|(_, peer)| {
            peer.heard.as_ref().is_some_and(|heard| {
                let age = now.saturating_duration_since(heard.at);
                age < SILENT_AFTER && is_able(heard.proven_at)
            })
        });
        let names = able.map(|(vm, _)| vm.as_str());
        let all = names.chain([self.vm.as_str()]);
        let first = all.min_by_key(|vm| rendezvous::short_hash(vm.as_bytes()));
        first == Some(self.vm.as_str())
    }

    /// The VMs of this data hall that watch the store: the first few, in a
    /// fixed order, of those that are heard.
    fn watchers(&self, now: Instant) -> Vec<String> {
        let known = self.known.lock().expect("peers lock");
        let alive = known.iter().filter(|(_, peer)| {
            peer.data_hall == self.data_hall
                && peer.heard.as_ref().is_some_and(|heard| {
                    let age = now.saturating_duration_since(heard.at);
                    age < SILENT_AFTER && !heard.is_leaving
                })
        });
        let mut names: Vec<String> = alive.map(|(vm, _)| vm.clone()).collect();
        names.push(self.vm.clone());
        names.sort_by_key(|vm| rendezvous::short_hash(vm.as_bytes()));
        names.truncate(WATCHERS);
        names
    }

    /// Whether this VM may leave watching the store to others: enough of its
    /// data hall do, they know what it knows, and the configuration was
    /// proven a short while ago.
    pub(crate) fn may_rest(&self, gateway: &Gateway) -> bool {
        let now = gateway.clock.now();
        let limit = gateway.settings.revoke.mul_f64(REST_PROOF_PART);
        let age = gateway.knowledge.proof_age(now);
        if gateway.is_stopping() || age.is_none_or(|age| age > limit) {
            return false;
        }
        let watchers = self.watchers(now);
        if watchers.len() < WATCHERS || watchers.contains(&self.vm) {
            return false;
        }
        let agreed_at = *self.agreed_at.lock().expect("agreed lock");
        agreed_at
            .is_some_and(|at| now.saturating_duration_since(at) < SILENT_AFTER)
    }

    /// Notes that a watcher of this data hall knows what this VM knows.
    fn note_agreed(&self, vm: &str, now: Instant) {
        if self.watchers(now).iter().any(|watcher| watcher == vm) {
            *self.agreed_at.lock().expect("agreed lock") = Some(now);
        }
    }

    /// The VMs of this data hall that a watcher tells what has changed.
    fn resting(&self, now: Instant) -> Vec<SocketAddr> {
        let watchers = self.watchers(now);
        if !watchers.contains(&self.vm) {
            return Vec::new();
        }
        let known = self.known.lock().expect("peers lock");
        let others = known.iter().filter(|(vm, peer)| {
            peer.data_hall == self.data_hall && !watchers.contains(vm)
        });
        others.map(|(_, peer)| peer.address).collect()
    }

    /// Takes in a beat; returns whether its sender knows more than this VM.
    fn hear(&self, gateway: &Gateway, beat: &VmBeat) -> bool {
        let now = gateway.clock.now();
        let mut known = self.known.lock().expect("peers lock");
        let peer = known.entry(beat.vm.clone()).or_insert_with(|| Peer {
            address: beat.peers,
            data_hall: beat.data_hall.clone(),
            heard: None,
        });
        let is_old = peer.heard.as_ref().is_some_and(|heard| {
            (heard.incarnation, heard.number)
                >= (beat.incarnation, beat.number)
        });
        if is_old {
            return false;
        }
        peer.address = beat.peers;
        let proven_at = self.proven_at(gateway, beat);
        peer.heard = Some(Heard {
            at: now,
            incarnation: beat.incarnation,
            number: beat.number,
            is_leaving: beat.leaving,
            proven_at,
        });
        drop(known);
        let knowledge = &gateway.knowledge;
        if let Some(proven_at) = proven_at
            && knowledge.table_version() == Some(TableVersion(beat.table))
        {
            knowledge.prove(proven_at);
        }
        beat.digest != knowledge.digest() && beat.as_of > knowledge.as_of().0
    }

    /// When what the sender knows was current, by this VM's clock.
    ///
    /// The beat was made once the echoed one had been there for as long as it
    /// says, and the echoed one arrived after it was sent from here.
    fn proven_at(&self, gateway: &Gateway, beat: &VmBeat) -> Option<Instant> {
        let echo = beat.echo?;
        if echo.incarnation != gateway.incarnation {
            return None;
        }
        let sent_at = self.sent_at(echo.number)?;
        let held = Duration::from_millis(echo.held_ms.into());
        let age = Duration::from_millis(beat.proof_age_ms?.into());
        (sent_at + held).checked_sub(age)
    }

    fn sent_at(&self, number: u32) -> Option<Instant> {
        let sent = self.sent.lock().expect("sent lock");
        sent.iter().find(|(n, _)| *n == number).map(|(_, at)| *at)
    }

    fn note_sent(&self, number: u32, now: Instant) {
        let mut sent = self.sent.lock().expect("sent lock");
        if sent.len() >= BEATS_REMEMBERED {
            sent.remove(0);
        }
        sent.push((number, now));
    }

    /// Whom to send a beat to, each with the echo of its own last one.
    fn receivers(&self, now: Instant) -> Vec<(SocketAddr, Option<Echo>)> {
        let known = self.known.lock().expect("peers lock");
        let mut receivers: Vec<_> = known
            .values()
            .map(|peer| {
                let heard = peer.heard.as_ref();
                (peer.address, heard.map(|heard| heard.echo(now)))
            })
            .collect();
        for seed in &self.seeds {
            if !receivers.iter().any(|(address, _)| address == seed) {
                receivers.push((*seed, None));
            }
        }
        receivers
    }
}

/// Sends a beat to every other VM, again and again.
pub(crate) async fn beat_loop(gateway: Arc<Gateway>, socket: UdpSocket) {
    loop {
        let jitter = 0.9 + 0.2 * rand::random::<f64>();
        task::sleep(gateway.settings.beat.mul_f64(jitter)).await;
        send_beats(&gateway, &socket).await;
    }
}

async fn send_beats(gateway: &Gateway, socket: &UdpSocket) {
    let peers = &gateway.peers;
    let now = gateway.clock.now();
    let number = peers.next_number.fetch_add(1, Ordering::Relaxed);
    peers.note_sent(number, now);
    let old =
        |service: &_, target: &_| gateway.in_flight_at_old(service, target);
    let age = gateway.knowledge.proof_age(now);
    let mut beat = VmBeat {
        vm: peers.vm.clone(),
        data_hall: gateway.settings.data_hall.clone(),
        peers: gateway.settings.peers,
        incarnation: gateway.incarnation,
        number,
        echo: None,
        leaving: gateway.is_stopping(),
        as_of: gateway.knowledge.as_of().0,
        digest: gateway.knowledge.digest(),
        table: gateway.knowledge.table_version().unwrap_or_default().0,
        // Rounded up, so that a proof never seems younger than it is.
        proof_age_ms: age.map(|age| age.as_millis() as u32 + 1),
        work: gateway.pool.own_work(),
        evidence: gateway.rollouts.evidence(old, now),
    };
    for (address, echo) in peers.receivers(now) {
        beat.echo = echo;
        let frame = peers.codec.seal(&beat);
        let counter = gateway.metrics.peer_bytes.with_label_values(&["udp"]);
        counter.inc_by(frame.len() as u64);
        // A datagram that cannot be sent is like one that is lost; the next
        // beat says all of it again.
        let _ = socket.send_to(&frame, address).await;
    }
}

/// Takes in beats for as long as it is polled.
pub(crate) async fn hear_loop(gateway: Arc<Gateway>, socket: UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            task::sleep(Duration::from_millis(50)).await;
            continue;
        };
        match gateway.peers.codec.open::<VmBeat>(&buffer[..length]) {
            Ok(beat) => hear(&gateway, &beat),
            Err(fault) => {
                let dropped = &gateway.metrics.frames_dropped;
                dropped.with_label_values(&[fault.as_str()]).inc();
            }
        }
    }
}

fn hear(gateway: &Arc<Gateway>, beat: &VmBeat) {
    if beat.vm == gateway.peers.vm {
        return;
    }
    let now = gateway.clock.now();
    let knows_more = gateway.peers.hear(gateway, beat);
    if beat.digest == gateway.knowledge.digest() {
        gateway.peers.note_agreed(&beat.vm, now);
    }
    gateway.pool.set_peer_work(&beat.vm, &beat.work, now);
    gateway.rollouts.hear(&beat.vm, &beat.evidence, now);
    if !knows_more {
        return;
    }
    // A VM that watches hears it from the store in a moment.
    let age = gateway.knowledge.proof_age(now);
    let is_cut_off = age.is_none_or(|age| age > BEHIND_AFTER);
    if is_cut_off || gateway.peers.may_rest(gateway) {
        let (gateway, from) = (gateway.clone(), beat.peers);
        task::spawn(async move { fetch(&gateway, from).await }).detach();
    }
}

/// Tells the VMs of this data hall that do not watch what has changed.
pub(crate) fn tell_news(
    gateway: &Arc<Gateway>,
    digest_before: u64,
    changes: &Items,
) {
    if changes.items.is_empty() {
        return;
    }
    let items: Vec<ChangedItem> = changes
        .items
        .iter()
        .map(|item| ChangedItem {
            key: item.key.clone(),
            value: item.value.clone(),
            version: item.version.0,
        })
        .collect();
    let as_of = changes.as_of.0;
    for address in gateway.peers.resting(gateway.clock.now()) {
        let request =
            PeerRequest::News { digest_before, as_of, items: items.clone() };
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

/// Takes over what another VM knows.
async fn fetch(gateway: &Gateway, from: SocketAddr) {
    let asked_at = gateway.clock.now();
    let client = &gateway.peers.client;
    let reply =
        client.call(from, PeerRequest::Knowledge, KNOWLEDGE_LIMIT).await;
    let Ok(PeerReply::Knowledge { as_of, items, proof_age_ms }) = reply else {
        return;
    };
    if StoreVersion(as_of) <= gateway.knowledge.as_of() {
        return;
    }
    let items = items.into_iter().map(|item| Item {
        key: item.key,
        value: Some(item.value),
        version: StoreVersion(item.version),
    });
    let all = Items { items: items.collect(), as_of: StoreVersion(as_of) };
    let news = gateway.knowledge.take_all(all);
    gateway.take_news(news);
    let age = Duration::from_millis(proof_age_ms.into());
    if let Some(proven_at) = asked_at.checked_sub(age) {
        gateway.knowledge.prove(proven_at);
    }
    Event::KnowledgeFromPeer.record(fields(json!({
        "from": from.to_string(),
        "as_of": as_of,
        "proof_age_ms": proof_age_ms,
    })));
}

impl PeerService for Gateway {
    async fn answer(self: Arc<Gateway>, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Knowledge => {
                let now = self.clock.now();
                // The age is taken before the values, so that it is not
                // younger than they are.
                let Some(age) = self.knowledge.proof_age(now) else {
                    return PeerReply::Refused("nothing is known".into());
                };
                let (as_of, items) = self.knowledge.mirrored();
                PeerReply::Knowledge {
                    as_of: as_of.0,
                    items,
                    proof_age_ms: age.as_millis() as u32 + 1,
                }
            }
            PeerRequest::News { digest_before, as_of, items } => {
                let items = items.into_iter().map(|item| Item {
                    key: item.key,
                    value: item.value,
                    version: StoreVersion(item.version),
                });
                let as_of = StoreVersion(as_of);
                let changes = Items { items: items.collect(), as_of };
                match self.knowledge.take_told(digest_before, changes) {
                    Some(news) => {
                        self.take_news(news);
                        PeerReply::Done
                    }
                    None => PeerReply::Refused("something is missing".into()),
                }
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

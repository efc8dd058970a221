//! Gossip between VMs over UDP: heartbeats, upstream loads, tallies and the
//! configuration revision.
//!
//! In each round a VM sends a datagram to [`FANOUT`] random VMs of its hall,
//! and in every second round one to a random VM of another hall. A datagram
//! holds a bounded number of the newest items of each kind, so updates spread
//! within a few rounds and the cost per VM does not grow with the fleet.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::seq::IndexedRandom;
use smol::net::UdpSocket;

use crate::{
    api::{
        crashes,
        view::{Peer, log_liveness_changes},
        vm::Vm,
    },
    clock::BootInstant,
    crashes::broadcast_queue::Audience,
    event::Event,
    frame::{FrameError, MAX_DATAGRAM_BYTES},
    id::VmId,
    message::{Datagram, Gossip, HeartbeatEntry, ShortHash, UpstreamNotice},
    placing::upstream::Upstream,
    task,
};

/// The most heartbeats in one datagram, the sender's own included.
const MAX_HEARTBEATS: usize = 24;

/// The most loads of local upstreams in one datagram.
const MAX_LOADS: usize = 14;

/// The most loads of other halls' upstreams in one datagram within the hall.
const MAX_REMOTE_LOADS: usize = 6;

/// The most tallies in one datagram.
const MAX_TALLIES: usize = 10;

/// The most tallies in one report to the hall's aggregator.
const MAX_REPORT_TALLIES: usize = 30;

/// A datagram is sent to another hall once in this many rounds.
const ROUNDS_PER_REMOTE: u32 = 2;

/// Tallies are reported to the aggregator once in this many rounds.
const ROUNDS_PER_REPORT: u32 = 2;

/// The number of VMs of the hall that get a datagram each round.
const FANOUT: usize = 2;

/// Half-life of the evidence about model versions.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(600);

/// A notice is sent a second time after this delay, in case the first
/// datagram was lost.
const NOTICE_RESEND_DELAY: Duration = Duration::from_millis(150);

/// Minimum time between two log lines about dropped frames.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Large enough for any UDP datagram.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// Sends and receives the gossip of one VM.
pub(crate) struct Gossiper {
    socket: UdpSocket,
    drop_logged_at: Mutex<Option<BootInstant>>,
}

impl Gossiper {
    pub(crate) fn new(socket: UdpSocket) -> Gossiper {
        Gossiper { socket, drop_logged_at: Mutex::new(None) }
    }

    /// Sends a datagram. Send errors are ignored: later datagrams make up for
    /// a lost one.
    async fn send(&self, vm: &Vm, to: SocketAddr, datagram: &Datagram) {
        let frame = vm.codec.seal(datagram);
        let sent_bytes = &vm.metrics.peer_bytes;
        sent_bytes.with_label_values(&["udp"]).inc_by(frame.len() as u64);
        let _ = self.socket.send_to(&frame, to).await;
    }

    /// Sends a notice to every live peer of the hall, twice.
    pub(crate) async fn broadcast_notice(
        vm: &Arc<Vm>,
        mut notice: UpstreamNotice,
    ) {
        for attempt in 0..2 {
            if attempt > 0 {
                task::sleep(NOTICE_RESEND_DELAY).await;
                notice = notice.aged_by(NOTICE_RESEND_DELAY);
            }
            for peer in vm.view.live_hall_peers() {
                let datagram = Datagram::Notice(notice);
                vm.gossiper.send(vm, peer.address, &datagram).await;
            }
        }
    }

    /// Sends this VM's observations of crashes to every live peer of the hall
    /// and to a random VM of another hall.
    pub(crate) async fn broadcast_observations(vm: &Arc<Vm>) {
        let now = vm.clock.now();
        let own_hall = vm.crashes.next_broadcasts(Audience::OwnHall, now);
        if !own_hall.is_empty() {
            let datagram = Datagram::Observations(own_hall);
            for peer in vm.view.live_hall_peers() {
                vm.gossiper.send(vm, peer.address, &datagram).await;
            }
        }
        let others = vm.crashes.next_broadcasts(Audience::OtherHalls, now);
        if !others.is_empty()
            && let Some(peer) = pick_remote_peer(vm)
        {
            let datagram = Datagram::Observations(others);
            vm.gossiper.send(vm, peer.address, &datagram).await;
        }
    }

    /// Runs a gossip round every `peers.gossip`, with 10 % jitter; never
    /// returns.
    pub(crate) async fn round_loop(vm: Arc<Vm>) {
        let mut round = 0_u32;
        loop {
            let jitter = 0.9 + 0.2 * rand::random::<f64>();
            task::sleep(vm.settings.peers.gossip.mul_f64(jitter)).await;
            round = round.wrapping_add(1);
            vm.gossiper.run_round(&vm, round).await;
            crashes::expire(&vm);
            Gossiper::broadcast_observations(&vm).await;
        }
    }

    /// Gossips to every live peer of the hall at once, when a graceful
    /// shutdown or a new configuration should not wait for the next rounds.
    pub(crate) async fn gossip_to_hall(vm: &Arc<Vm>) {
        let counter = vm.next_heartbeat();
        for peer in vm.view.live_hall_peers() {
            let gossip = Datagram::Gossip(build_gossip(vm, counter));
            vm.gossiper.send(vm, peer.address, &gossip).await;
        }
    }

    async fn run_round(&self, vm: &Arc<Vm>, round: u32) {
        let now = vm.clock.now();
        log_liveness_changes(&vm.view, &vm.view.tick(now));
        decay_evidence(vm);
        let counter = vm.next_heartbeat();
        for peer in pick_hall_peers(vm) {
            let gossip = Datagram::Gossip(build_gossip(vm, counter));
            self.send(vm, peer.address, &gossip).await;
        }
        if round.is_multiple_of(ROUNDS_PER_REMOTE)
            && let Some(peer) = pick_remote_peer(vm)
        {
            let mut gossip = build_gossip(vm, counter);
            // Liveness is tracked only within a hall.
            gossip.heartbeats.clear();
            gossip.loads = vm.view.loads(MAX_LOADS, 0, vm.clock.now());
            let datagram = Datagram::Gossip(gossip);
            self.send(vm, peer.address, &datagram).await;
        }
        if round.is_multiple_of(ROUNDS_PER_REPORT) {
            self.report_tallies(vm).await;
        }
    }

    /// Reports this VM's own tallies to the hall's aggregator.
    async fn report_tallies(&self, vm: &Arc<Vm>) {
        let now = vm.clock.now();
        let due = {
            let mut tallies = vm.tallies.lock().expect("tallies lock");
            tallies.take_due(MAX_REPORT_TALLIES, now)
        };
        if due.is_empty() {
            return;
        }
        let own_id = vm.view.vm().clone();
        let Some(aggregator) = hall_aggregator(vm) else { return };
        if aggregator == own_id {
            let mut tallies = vm.tallies.lock().expect("tallies lock");
            tallies.record_report(ShortHash::of(own_id.as_str()), &due, now);
            return;
        }
        if let Some(peer) = vm.view.peer(&aggregator) {
            let datagram = Datagram::TallyReport { vm: own_id, tallies: due };
            self.send(vm, peer.address, &datagram).await;
        }
    }

    /// Receives and handles datagrams; never returns.
    pub(crate) async fn receive_loop(vm: Arc<Vm>) {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            let received = vm.gossiper.socket.recv_from(&mut buffer).await;
            let Ok((length, _)) = received else {
                task::sleep(Duration::from_millis(10)).await;
                continue;
            };
            match vm.codec.open::<Datagram>(&buffer[..length]) {
                Ok(datagram) => handle_datagram(&vm, datagram).await,
                Err(fault) => vm.gossiper.record_dropped_frame(&vm, fault),
            }
        }
    }

    fn record_dropped_frame(&self, vm: &Vm, fault: FrameError) {
        let label = fault.as_str();
        vm.metrics.frames_dropped.with_label_values(&[label]).inc();
        let now = vm.clock.now();
        let mut logged_at = self.drop_logged_at.lock().expect("gossip lock");
        if logged_at.is_none_or(|at| now - at >= DROP_LOG_INTERVAL) {
            *logged_at = Some(now);
            Event::FrameDropped.log(format_args!("fault {label}"));
        }
    }
}

async fn handle_datagram(vm: &Arc<Vm>, datagram: Datagram) {
    let now = vm.clock.now();
    match datagram {
        Datagram::Gossip(gossip) => handle_gossip(vm, &gossip, now).await,
        Datagram::Notice(notice) => handle_notice(vm, notice, now),
        Datagram::Observations(observations) => {
            crashes::merge_observations(vm, &observations, now);
        }
        Datagram::TallyReport { vm: from, tallies } => {
            let mut own_tallies = vm.tallies.lock().expect("tallies lock");
            own_tallies.record_report(
                ShortHash::of(from.as_str()),
                &tallies,
                now,
            );
        }
    }
}

fn handle_notice(vm: &Vm, notice: UpstreamNotice, now: BootInstant) {
    match notice {
        UpstreamNotice::Leaving(hash) => {
            let found = vm.view.upstream_by_hash(hash);
            if let Some(upstream) = found
                && upstream.mark_leaving()
            {
                log_leaving(&upstream, "reported by another VM");
            }
        }
        UpstreamNotice::RateLimit(reported) => {
            let age = Duration::from_millis(reported.age_ms.into());
            let found = vm.view.upstream_by_hash(reported.upstream);
            let (Some(upstream), Some(at)) = (found, now.checked_sub(age))
            else {
                return;
            };
            let state = &upstream.reported_state;
            let draw = rand::random();
            if let Some(change) =
                state.update_rate_limit(reported.rate, at, draw, now)
            {
                let id = &upstream.record.id;
                let event = change.event();
                event.log(format_args!(
                    "upstream {id}, reported by another VM"
                ));
            }
        }
    }
}

async fn handle_gossip(vm: &Arc<Vm>, gossip: &Gossip, now: BootInstant) {
    if gossip.data_hall == *vm.view.data_hall() {
        let changes = vm.view.observe_heartbeats(&gossip.heartbeats, now);
        log_liveness_changes(&vm.view, &changes);
    }
    for upstream in vm.view.merge_loads(&gossip.loads, now) {
        log_leaving(&upstream, "reported by another VM");
    }
    vm.tallies.lock().expect("tallies lock").merge(&gossip.tallies, now);
    let revision = vm.configuration.current().revision();
    if gossip.revision > revision {
        vm.request_configuration_fetch(gossip.vm.clone());
    } else if gossip.revision == revision
        && let Some(age_ms) = gossip.proof_age_ms
    {
        let age = Duration::from_millis(age_ms.into());
        if let Some(at) = now.checked_sub(age) {
            vm.configuration.record_proof(at);
        }
    }
}

pub(crate) fn log_leaving(upstream: &Upstream, how: &str) {
    Event::UpstreamLeaving
        .log(format_args!("upstream {}, {how}", upstream.record.id));
}

/// Builds the gossip message for one round; `counter` is this VM's heartbeat.
pub(crate) fn build_gossip(vm: &Vm, counter: u32) -> Gossip {
    let now = vm.clock.now();
    let own_identity = vm.identity();
    let own_heartbeat = HeartbeatEntry {
        vm: ShortHash::of(own_identity.vm.as_str()),
        incarnation: own_identity.incarnation,
        counter,
        leaving: vm.is_stopping(),
    };
    let mut heartbeats = vm.view.heartbeats(MAX_HEARTBEATS - 1);
    heartbeats.push(own_heartbeat);
    let proof_age = vm.configuration.proof_age(now);
    let mut gossip = Gossip {
        vm: own_identity.vm,
        data_hall: vm.view.data_hall().clone(),
        incarnation: own_identity.incarnation,
        peer_address: vm.peer_address,
        revision: vm.configuration.current().revision(),
        proof_age_ms: proof_age
            .map(|age| age.as_millis().min(u32::MAX.into()) as u32),
        heartbeats,
        loads: vm.view.loads(MAX_LOADS, MAX_REMOTE_LOADS, now),
        tallies: {
            let tallies = vm.tallies.lock().expect("tallies lock");
            tallies.entries(MAX_TALLIES, now)
        },
    };
    shrink_to_fit(vm, &mut gossip);
    gossip
}

/// Drops items until the message fits into a datagram: the last of the loads
/// or of the tallies, whichever are more, and heartbeats once both are empty.
fn shrink_to_fit(vm: &Vm, gossip: &mut Gossip) {
    let sealed_length = |gossip: &Gossip| {
        vm.codec.seal(&Datagram::Gossip(gossip.clone())).len()
    };
    while sealed_length(gossip) > MAX_DATAGRAM_BYTES {
        let longest = gossip.loads.len().max(gossip.tallies.len());
        if longest == 0 {
            gossip.heartbeats.remove(0);
        } else if gossip.loads.len() == longest {
            gossip.loads.pop();
        } else {
            gossip.tallies.pop();
        }
    }
}

fn pick_hall_peers(vm: &Vm) -> Vec<Peer> {
    let hall = vm.view.data_hall();
    // Suspected and dead VMs are included, so that they can recover.
    let peers = vm.view.peers();
    let local: Vec<&Peer> =
        peers.iter().filter(|peer| peer.data_hall == *hall).collect();
    let mut rng = rand::rng();
    local.choose_multiple(&mut rng, FANOUT).map(|p| (*p).clone()).collect()
}

fn pick_remote_peer(vm: &Vm) -> Option<Peer> {
    let hall = vm.view.data_hall();
    let peers = vm.view.peers();
    let remote: Vec<&Peer> =
        peers.iter().filter(|peer| peer.data_hall != *hall).collect();
    remote.choose(&mut rand::rng()).map(|peer| (*peer).clone())
}

/// Returns the VM that aggregates the tallies of this hall: the first live
/// one in rendezvous order.
fn hall_aggregator(vm: &Vm) -> Option<VmId> {
    let subject = format!("tallies of {}", vm.view.data_hall());
    vm.view.ranked_hall_vms(subject.as_bytes()).into_iter().next()
}

fn decay_evidence(vm: &Vm) {
    let round = vm.settings.peers.gossip.as_secs_f64();
    let half_life = EVIDENCE_HALF_LIFE.as_secs_f64();
    let factor = 0.5_f64.powf(round / half_life) as f32;
    vm.tallies.lock().expect("tallies lock").decay(factor);
}

//! Gossip between VMs: signs of life, loads, sums and revisions, by UDP.
//!
//! Each round a VM sends one datagram to a VM of its hall, chosen at random,
//! and every other round one to a VM of another hall. A datagram holds the
//! newest items of each kind, so that news spreads in a few rounds at a cost
//! that does not grow with the fleet.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::seq::IndexedRandom;
use smol::net::UdpSocket;

use crate::{
    api::{
        view::{Peer, log_life_changes},
        vm::Vm,
    },
    clock::BootInstant,
    event::Event,
    frame::{DATAGRAM_LIMIT_BYTES, FrameError},
    id::VmId,
    message::{Datagram, Gossip, HeartbeatEntry, ShortHash, UpstreamNotice},
    placing::upstream::Upstream,
    task,
};

/// Signs of life in one datagram.
const BEATS: usize = 24;

/// Loads of the own hall in one datagram.
const LOADS: usize = 14;

/// Loads of other halls in one datagram to the own hall.
const LOADS_REMOTE: usize = 6;

/// Sums in one datagram.
const TALLIES: usize = 10;

/// Sums in one report to the VM that adds up the hall.
const REPORT_TALLIES: usize = 30;

/// Rounds between two datagrams to another hall.
const REMOTE_EVERY: u32 = 2;

/// Rounds between two reports.
const REPORT_EVERY: u32 = 2;

/// VMs of the hall that get a datagram each round.
const FAN_OUT: usize = 2;

/// Time over which evidence fades to half.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(600);

/// A notice is repeated after this time, in case the first was lost.
const NOTICE_REPEAT: Duration = Duration::from_millis(150);

/// Dropped frames are logged at most this often.
const DROP_LOG_PAUSE: Duration = Duration::from_secs(60);

/// The largest datagram that can arrive.
const RECEIVE_BYTES: usize = 65_536;

/// The state of one VM's gossip.
pub(crate) struct Gossiper {
    socket: UdpSocket,
    drop_logged_at: Mutex<Option<BootInstant>>,
}

impl Gossiper {
    pub(crate) fn new(socket: UdpSocket) -> Gossiper {
        Gossiper { socket, drop_logged_at: Mutex::new(None) }
    }

    /// Sends a datagram; one that is lost is repaired by later ones.
    async fn send(&self, vm: &Vm, to: SocketAddr, datagram: &Datagram) {
        let frame = vm.codec.seal(datagram);
        let sent = &vm.metrics.peer_bytes;
        sent.with_label_values(&["udp"]).inc_by(frame.len() as u64);
        let _ = self.socket.send_to(&frame, to).await;
    }

    /// Tells the hall what an upstream has said of itself.
    pub(crate) async fn notify(vm: &Arc<Vm>, mut notice: UpstreamNotice) {
        for attempt in 0..2 {
            if attempt > 0 {
                task::sleep(NOTICE_REPEAT).await;
                notice = notice.aged_by(NOTICE_REPEAT);
            }
            for peer in vm.view.live_hall_peers() {
                let datagram = Datagram::Notice(notice);
                vm.gossiper.send(vm, peer.address, &datagram).await;
            }
        }
    }

    /// Runs the rounds, for as long as polled.
    pub(crate) async fn round_loop(vm: Arc<Vm>) {
        let mut round = 0_u32;
        loop {
            let jitter = 0.9 + 0.2 * rand::random::<f64>();
            task::sleep(vm.settings.peers.gossip.mul_f64(jitter)).await;
            round = round.wrapping_add(1);
            vm.gossiper.round(&vm, round).await;
        }
    }

    /// Tells some VMs at once that this one is leaving, or has news.
    pub(crate) async fn gossip_to_hall(vm: &Arc<Vm>) {
        let counter = vm.next_beat();
        for peer in vm.view.live_hall_peers() {
            let gossip = Datagram::Gossip(message(vm, counter));
            vm.gossiper.send(vm, peer.address, &gossip).await;
        }
    }

    async fn round(&self, vm: &Arc<Vm>, round: u32) {
        let now = vm.clock.now();
        log_life_changes(&vm.view, &vm.view.tick(now));
        fade_evidence(vm);
        let counter = vm.next_beat();
        for peer in pick_hall_peers(vm) {
            let gossip = Datagram::Gossip(message(vm, counter));
            self.send(vm, peer.address, &gossip).await;
        }
        if round.is_multiple_of(REMOTE_EVERY)
            && let Some(peer) = pick_remote_peer(vm)
        {
            let mut gossip = message(vm, counter);
            // Signs of life matter in their own hall only.
            gossip.heartbeats.clear();
            gossip.loads = vm.view.loads(LOADS, 0, vm.clock.now());
            let datagram = Datagram::Gossip(gossip);
            self.send(vm, peer.address, &datagram).await;
        }
        if round.is_multiple_of(REPORT_EVERY) {
            self.report(vm).await;
        }
    }

    /// Reports this VM's own sums to the VM that adds up the hall.
    async fn report(&self, vm: &Arc<Vm>) {
        let now = vm.clock.now();
        let due = {
            let mut tallies = vm.tallies.lock().expect("tallies lock");
            tallies.due(REPORT_TALLIES, now)
        };
        if due.is_empty() {
            return;
        }
        let me = vm.view.vm().clone();
        let Some(adder) = hall_adder(vm) else { return };
        if adder == me {
            let mut tallies = vm.tallies.lock().expect("tallies lock");
            tallies.report(ShortHash::of(me.as_str()), &due, now);
            return;
        }
        if let Some(peer) = vm.view.peer(&adder) {
            let datagram = Datagram::TallyReport { vm: me, tallies: due };
            self.send(vm, peer.address, &datagram).await;
        }
    }

    /// Receives datagrams, for as long as polled.
    pub(crate) async fn receive_loop(vm: Arc<Vm>) {
        let mut buffer = vec![0; RECEIVE_BYTES];
        loop {
            let received = vm.gossiper.socket.recv_from(&mut buffer).await;
            let Ok((length, _)) = received else {
                task::sleep(Duration::from_millis(10)).await;
                continue;
            };
            match vm.codec.open::<Datagram>(&buffer[..length]) {
                Ok(datagram) => take(&vm, datagram).await,
                Err(fault) => vm.gossiper.drop_frame(&vm, fault),
            }
        }
    }

    fn drop_frame(&self, vm: &Vm, fault: FrameError) {
        let label = fault.as_str();
        vm.metrics.frames_dropped.with_label_values(&[label]).inc();
        let now = vm.clock.now();
        let mut logged = self.drop_logged_at.lock().expect("gossip lock");
        if logged.is_none_or(|at| now - at >= DROP_LOG_PAUSE) {
            *logged = Some(now);
            Event::FrameDropped.log(format_args!("fault {label}"));
        }
    }
}

async fn take(vm: &Arc<Vm>, datagram: Datagram) {
    let now = vm.clock.now();
    match datagram {
        Datagram::Gossip(gossip) => take_gossip(vm, &gossip, now).await,
        Datagram::Notice(notice) => take_notice(vm, notice, now),
        Datagram::TallyReport { vm: from, tallies } => {
            let mut own = vm.tallies.lock().expect("tallies lock");
            own.report(ShortHash::of(from.as_str()), &tallies, now);
        }
    }
}

fn take_notice(vm: &Vm, notice: UpstreamNotice, now: BootInstant) {
    match notice {
        UpstreamNotice::Leaving(short) => {
            let found = vm.view.upstream_by_short(short);
            if let Some(upstream) = found
                && upstream.mark_leaving()
            {
                log_leaving(&upstream, "told by another VM");
            }
        }
        UpstreamNotice::RateLimit(told) => {
            let age = Duration::from_millis(told.age_ms.into());
            let found = vm.view.upstream_by_short(told.upstream);
            let (Some(upstream), Some(at)) = (found, now.checked_sub(age))
            else {
                return;
            };
            let word = &upstream.reported_state;
            let draw = rand::random();
            if let Some(news) =
                word.update_rate_limit(told.rate, at, draw, now)
            {
                let id = &upstream.record.id;
                let event = news.event();
                event.log(format_args!("upstream {id}, told by another VM"));
            }
        }
    }
}

async fn take_gossip(vm: &Arc<Vm>, gossip: &Gossip, now: BootInstant) {
    if gossip.data_hall == *vm.view.data_hall() {
        let changes = vm.view.observe_beats(&gossip.heartbeats, now);
        log_life_changes(&vm.view, &changes);
    }
    for upstream in vm.view.take_loads(&gossip.loads, now) {
        log_leaving(&upstream, "told by another VM");
    }
    vm.tallies.lock().expect("tallies lock").merge(&gossip.tallies, now);
    let revision = vm.configuration.current().revision();
    if gossip.revision > revision {
        vm.wake_configuration(gossip.vm.clone());
    } else if gossip.revision == revision
        && let Some(age_ms) = gossip.proof_age_ms
    {
        let age = Duration::from_millis(age_ms.into());
        if let Some(at) = now.checked_sub(age) {
            vm.configuration.prove(at);
        }
    }
}

pub(crate) fn log_leaving(upstream: &Upstream, how: &str) {
    Event::UpstreamLeaving
        .log(format_args!("upstream {}, {how}", upstream.record.id));
}

/// What this VM tells in one round.
pub(crate) fn message(vm: &Vm, counter: u32) -> Gossip {
    let now = vm.clock.now();
    let me = vm.identity();
    let own = HeartbeatEntry {
        vm: ShortHash::of(me.vm.as_str()),
        incarnation: me.incarnation,
        counter,
        leaving: vm.is_stopping(),
    };
    let mut beats = vm.view.beats(BEATS - 1);
    beats.push(own);
    let proof_age = vm.configuration.proof_age(now);
    let mut gossip = Gossip {
        vm: me.vm,
        data_hall: vm.view.data_hall().clone(),
        incarnation: me.incarnation,
        peer_address: vm.peer_address,
        revision: vm.configuration.current().revision(),
        proof_age_ms: proof_age
            .map(|age| age.as_millis().min(u32::MAX.into()) as u32),
        heartbeats: beats,
        loads: vm.view.loads(LOADS, LOADS_REMOTE, now),
        tallies: {
            let tallies = vm.tallies.lock().expect("tallies lock");
            tallies.entries(TALLIES, now)
        },
    };
    shrink_to_fit(vm, &mut gossip);
    gossip
}

/// Leaves out the oldest items until the message fits a datagram.
fn shrink_to_fit(vm: &Vm, gossip: &mut Gossip) {
    let length = |gossip: &Gossip| {
        vm.codec.seal(&Datagram::Gossip(gossip.clone())).len()
    };
    while length(gossip) > DATAGRAM_LIMIT_BYTES {
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
    // Silent VMs are told too: that is how they come back.
    let peers = vm.view.peers();
    let there: Vec<&Peer> =
        peers.iter().filter(|peer| peer.data_hall == *hall).collect();
    let mut rng = rand::rng();
    there.choose_multiple(&mut rng, FAN_OUT).map(|p| (*p).clone()).collect()
}

fn pick_remote_peer(vm: &Vm) -> Option<Peer> {
    let hall = vm.view.data_hall();
    let peers = vm.view.peers();
    let away: Vec<&Peer> =
        peers.iter().filter(|peer| peer.data_hall != *hall).collect();
    away.choose(&mut rand::rng()).map(|peer| (*peer).clone())
}

/// The VM that adds up the sums of this hall.
fn hall_adder(vm: &Vm) -> Option<VmId> {
    let subject = format!("tallies of {}", vm.view.data_hall());
    vm.view.ranked_hall_vms(subject.as_bytes()).into_iter().next()
}

fn fade_evidence(vm: &Vm) {
    let round = vm.settings.peers.gossip.as_secs_f64();
    let half_life = EVIDENCE_HALF_LIFE.as_secs_f64();
    let factor = 0.5_f64.powf(round / half_life) as f32;
    vm.tallies.lock().expect("tallies lock").fade(factor);
}

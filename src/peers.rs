//! The other VMs before a platform that one VM knows of: who is alive, what
//! their beats prove, who watches the store and who keeps records.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    frame::FrameCodec,
    gateway::{Gateway, settings::GatewaySettings},
    id::{DataHallId, Incarnation},
    knowledge::PeerRecord,
    message::{Echo, VmBeat},
    metrics::Metrics,
    peer::PeerClient,
    rendezvous,
    route::TableVersion,
};

/// Age of the last beat from which a VM counts as gone.
const SILENT_AFTER: Duration = Duration::from_millis(1800);

/// Beats of its own that a VM remembers, to know when an echoed one left.
const BEATS_REMEMBERED: usize = 16;

/// Age of the proof of a VM that may keep the records of roll-outs.
const STEWARD_PROOF: Duration = Duration::from_millis(2800);

/// VMs of a data hall that watch the store; the others are told by them. Each
/// watch has its price, and two are enough to lose one.
const WATCHERS: usize = 2;

/// Time that what a watcher tells may be on its way before a VM that others
/// are ahead of asks the store itself.
const NEWS_TIME: Duration = Duration::from_millis(800);

/// Part of the time in which a key that was taken away must be refused, up to
/// which the proof of a VM that does not watch may age before it does.
const REST_PROOF_PART: f64 = 0.45;

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

/// Whether this VM knows what the watchers of its data hall know.
#[derive(Clone, Copy, Debug, Default)]
struct Agreement {
    /// When that last was so.
    at: Option<Instant>,
    /// Since when another VM has been known to know more.
    behind_since: Option<Instant>,
}

impl Agreement {
    fn holds(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        let is_recent = self.at.is_some_and(|at| since(at) < SILENT_AFTER);
        let is_behind =
            self.behind_since.is_some_and(|at| since(at) >= NEWS_TIME);
        is_recent && !is_behind
    }
}

/// The other VMs that this one knows of.
pub(crate) struct Peers {
    vm: String,
    data_hall: DataHallId,
    seeds: Vec<SocketAddr>,
    known: Mutex<HashMap<String, Peer>>,
    sent: Mutex<Vec<(u32, Instant)>>,
    agreement: Mutex<Agreement>,
    next_number: AtomicU32,
    /// Seals and opens what VMs send each other.
    pub(crate) codec: FrameCodec,
    /// Asks other VMs.
    pub(crate) client: PeerClient,
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
            agreement: Mutex::default(),
            next_number: AtomicU32::new(1),
            client: PeerClient::new(codec.clone(), metrics),
            codec,
        }
    }

    /// This VM's name.
    pub(crate) fn vm(&self) -> &str {
        &self.vm
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
        self.agreement.lock().expect("agreement lock").holds(now)
    }

    /// Has this VM ask the store itself for what has changed.
    pub(crate) fn look(&self) {
        *self.agreement.lock().expect("agreement lock") = Agreement::default();
    }

    /// Notes that another VM knows more than this one. What a watcher tells
    /// may be on its way, so that alone says nothing yet.
    pub(crate) fn note_behind(&self, now: Instant) {
        let mut agreement = self.agreement.lock().expect("agreement lock");
        agreement.behind_since.get_or_insert(now);
    }

    /// Notes that a watcher of this data hall knows what this VM knows.
    pub(crate) fn note_agreed(&self, vm: &str, now: Instant) {
        if self.watchers(now).iter().any(|watcher| watcher == vm) {
            let agreed = Agreement { at: Some(now), behind_since: None };
            *self.agreement.lock().expect("agreement lock") = agreed;
        }
    }

    /// The VMs of this data hall that a watcher tells what has changed.
    pub(crate) fn resting(&self, now: Instant) -> Vec<SocketAddr> {
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
    pub(crate) fn hear(&self, gateway: &Gateway, beat: &VmBeat) -> bool {
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

    /// The number of the next beat, sent at `now`.
    pub(crate) fn next_number(&self, now: Instant) -> u32 {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.note_sent(number, now);
        number
    }

    fn note_sent(&self, number: u32, now: Instant) {
        let mut sent = self.sent.lock().expect("sent lock");
        if sent.len() >= BEATS_REMEMBERED {
            sent.remove(0);
        }
        sent.push((number, now));
    }

    /// Whom to send a beat to, each with the echo of its own last one.
    pub(crate) fn receivers(
        &self,
        now: Instant,
    ) -> Vec<(SocketAddr, Option<Echo>)> {
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

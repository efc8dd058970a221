//! The other VMs before a platform that one VM knows of: who is alive, what
//! their beats prove, who watches the store and who keeps records.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::{
    clock::BootInstant,
    frame::FrameCodec,
    gateway::settings::GatewaySettings,
    id::{DataHallId, Incarnation},
    message::{Heartbeat, HeartbeatEcho},
    metrics::Metrics,
    peer::PeerClient,
    rendezvous,
    store_sync::{
        freshness::{self, Freshness},
        knowledge::{Knowledge, PeerRecord},
        route::TableVersion,
    },
    unit::Mbps,
};

/// Age of the last beat from which a VM counts as gone. A VM of another data
/// hall may send one only every few rounds.
const SILENT_AFTER: Duration = freshness::AGREED_TIME;

/// Age of the last beat from which one of an earlier life is believed again:
/// the time of day, which tells lives apart, may have been set back.
const LIFE_OPEN_AFTER: Duration = Duration::from_millis(1200);

/// Age of the last beat from which a VM that is not recorded is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Beats that a VM sends in one round. Those of its own data hall get one
/// each time, the others in turn, so that the cost does not grow with the
/// fleet.
const BEATS_A_ROUND: usize = 32;

/// Time for which a VM that the store turned away does not count as one that
/// can watch it.
const WATCH_PAUSE: Duration = Duration::from_secs(3);

/// Age up to which the list of the VMs that watch is used again.
const WATCHERS_KEPT: Duration = Duration::from_millis(100);

/// Beats of its own that a VM remembers, to know when an echoed one left: at
/// the least gap between two, those of about three seconds.
const BEATS_REMEMBERED: usize = 64;

/// Age of the proof of a VM that may keep the records of roll-outs.
const STEWARD_PROOF: Duration = Duration::from_millis(2800);

/// VMs that watch the store, each of another data hall if there are as many;
/// the others are told by them. Each watch has its price, and three are enough
/// to lose two.
const WATCHERS: usize = 3;

/// VMs of each data hall that watch the store in a fleet that is too large for
/// each VM to hear all of the other halls; the second is there for the loss of
/// the first.
const WATCHERS_OF_HALL: usize = 2;

/// Rounds of beats within which a VM of another data hall must be heard; with
/// the usual two beats a second, they take less than [`SILENT_AFTER`].
const ROUNDS_HEARD: usize = 4;

/// VMs of a data hall that read everything from the store when they start,
/// for the others.
const READERS_OF_HALL: usize = 2;

/// VMs of a data hall that ask a store that does not answer more often.
const FORWARD: usize = 2;

/// Time after its start by which a VM has heard the others of its data hall
/// that start with it: two beats of each.
const HEAR_TIME: Duration = Duration::from_millis(1200);

/// Time after its start for which a VM takes those that it knows of for alive
/// although their beats are still to come.
const START_TIME: Duration = Duration::from_secs(4);

/// Part of the time in which a key that was taken away must be refused, up to
/// which the proof of a VM that does not watch may age before it does.
const REST_PROOF_PART: f64 = 0.52;

/// The place of a VM in an order that all VMs find.
///
/// Those with the fastest links come first, since they read from the store
/// for the others: of 50 VMs of a hall that start together, three with links
/// of 200 Mbit/s know everything after 0.13 s, and the others, with 20 Mbit/s
/// and the store's link shared by all, after 0.9 to 1.15 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    link: Reverse<Mbps>,
    hash: u32,
}

impl Place {
    fn of(vm: &str, link: Mbps) -> Place {
        let hash = rendezvous::short_hash(vm.as_bytes());
        Place { link: Reverse(link), hash }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    data_hall: DataHallId,
    link: Mbps,
    is_recorded: bool,
    heard: Option<Heard>,
}

impl Peer {
    fn place(&self, vm: &str) -> Place {
        Place::of(vm, self.link)
    }

    /// Whether it was heard a short while ago.
    fn is_alive(&self, now: BootInstant) -> bool {
        self.heard_within(SILENT_AFTER, now)
    }

    fn heard_within(&self, limit: Duration, now: BootInstant) -> bool {
        self.heard.as_ref().is_some_and(|heard| {
            now.saturating_duration_since(heard.at) < limit
        })
    }

    /// Whether it was heard, is not leaving, and the store answers it.
    fn can_watch(&self, now: BootInstant) -> bool {
        let may = |heard: &Heard| heard.can_watch && !heard.is_leaving;
        self.is_alive(now) && self.heard.as_ref().is_some_and(may)
    }
}

#[derive(Clone, Debug)]
struct Heard {
    at: BootInstant,
    incarnation: Incarnation,
    number: u32,
    is_leaving: bool,
    can_watch: bool,
    proven_at: Option<BootInstant>,
}

impl Heard {
    /// Whether a beat was sent before this one.
    ///
    /// Lives are told apart by the time of day at which they began, which may
    /// have been set back meanwhile; a life that has fallen silent gives way
    /// to any other.
    fn is_after(&self, beat: &Heartbeat, now: BootInstant) -> bool {
        let silent = now.saturating_duration_since(self.at);
        if self.incarnation != beat.incarnation && silent > LIFE_OPEN_AFTER {
            return false;
        }
        (self.incarnation, self.number) >= (beat.incarnation, beat.number)
    }

    fn echo(&self, now: BootInstant) -> HeartbeatEcho {
        let held = now.saturating_duration_since(self.at);
        HeartbeatEcho {
            incarnation: self.incarnation,
            number: self.number,
            elapsed_ms: held.as_millis() as u32,
        }
    }
}

/// A VM that a beat goes to.
#[derive(Clone, Debug)]
pub(crate) struct Receiver {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Its last beat that arrived.
    pub(crate) echo: Option<HeartbeatEcho>,
    /// Whether it is known to stand in the sender's data hall.
    pub(crate) is_near: bool,
}

/// What a VM does to know what has changed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchRole {
    /// Nothing: others watch, and it knows what they know.
    Idle,
    /// Ask once for what has changed.
    Poll,
    /// Watch, and tell the others.
    Watch,
}

/// The other VMs that this one knows of.
pub(crate) struct Peers {
    vm: String,
    data_hall: DataHallId,
    /// The place of this VM.
    place: Place,
    /// Other VMs whose addresses are told to those that start.
    seeds: Vec<SocketAddr>,
    /// The place of this VM among them, if it is one.
    seed_place: Option<usize>,
    /// This VM's life.
    incarnation: Incarnation,
    started_at: BootInstant,
    /// In the order of their names, so that each has its turn.
    known: Mutex<BTreeMap<String, Peer>>,
    sent: Mutex<Vec<(u32, BootInstant)>>,
    freshness: Mutex<Freshness>,
    /// When the store last did not answer this VM as it should.
    turned_away_at: Mutex<Option<BootInstant>>,
    /// The VMs that watch, as found at that time.
    watchers: Mutex<Option<(BootInstant, Arc<[String]>)>>,
    /// Where the next round of beats to other data halls begins.
    next_receiver: AtomicUsize,
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
        incarnation: Incarnation,
        metrics: Arc<Metrics>,
        now: BootInstant,
    ) -> Peers {
        let codec = FrameCodec::new(&settings.cluster_key);
        let own = settings.peer_address;
        let seeds = settings.seeds.iter().copied();
        Peers {
            vm: settings.vm.to_string(),
            place: Place::of(settings.vm.as_str(), settings.link_rate),
            data_hall: settings.data_hall.clone(),
            seed_place: settings.seeds.iter().position(|seed| *seed == own),
            seeds: seeds.filter(|seed| *seed != own).collect(),
            incarnation,
            started_at: now,
            known: Mutex::default(),
            sent: Mutex::default(),
            freshness: Mutex::default(),
            turned_away_at: Mutex::default(),
            watchers: Mutex::default(),
            next_receiver: AtomicUsize::new(rendezvous::short_hash(
                settings.vm.as_str().as_bytes(),
            ) as usize),
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
    pub(crate) fn set_record(&self, vm: &str, record: &PeerRecord) {
        if vm == self.vm {
            return;
        }
        let mut known = self.known.lock().expect("peers lock");
        let peer = known.entry(vm.to_owned()).or_insert_with(|| Peer {
            address: record.peers,
            data_hall: record.data_hall.clone(),
            link: record.link_mbps,
            is_recorded: true,
            heard: None,
        });
        peer.is_recorded = true;
        peer.link = record.link_mbps;
        peer.address = record.peers;
    }

    /// How many VMs there are, with this one.
    pub(crate) fn fleet_size(&self) -> usize {
        self.known.lock().expect("peers lock").len() + 1
    }

    /// Whether VMs that start are told this one's address.
    pub(crate) fn is_seed(&self) -> bool {
        self.seed_place.is_some()
    }

    /// The VMs that are heard and not recorded, as far as they are this seed's
    /// to record, or all of them. None if it is no seed.
    pub(crate) fn unrecorded(
        &self,
        with_others: bool,
        now: BootInstant,
    ) -> Vec<(String, PeerRecord)> {
        let Some(seed_place) = self.seed_place else { return Vec::new() };
        let seeds = self.seeds.len() + 1;
        let is_mine = |vm: &str| {
            let hash = rendezvous::short_hash(vm.as_bytes()) as usize;
            with_others || hash % seeds == seed_place
        };
        let known = self.known.lock().expect("peers lock");
        let missing = known.iter().filter(|(vm, peer)| {
            !peer.is_recorded && peer.is_alive(now) && is_mine(vm)
        });
        let records = missing.map(|(vm, peer)| {
            let record = PeerRecord {
                peers: peer.address,
                data_hall: peer.data_hall.clone(),
                link_mbps: peer.link,
            };
            (vm.clone(), record)
        });
        records.collect()
    }

    /// Notes that a VM's record is gone. One that still is heard stays known:
    /// its lease may have run out while it could not be renewed.
    pub(crate) fn remove_record(&self, vm: &str) {
        let mut known = self.known.lock().expect("peers lock");
        if let Some(peer) = known.get_mut(vm) {
            peer.is_recorded = false;
        }
    }

    /// Forgets the VMs that are neither recorded nor heard.
    pub(crate) fn sweep(&self, now: BootInstant) {
        let mut known = self.known.lock().expect("peers lock");
        known.retain(|_, peer| {
            peer.is_recorded || peer.heard_within(FORGET_AFTER, now)
        });
    }

    /// Whether this VM is the one that keeps the records of roll-outs: the
    /// first, in a fixed order, of those that hear each other and know the
    /// store well.
    pub(crate) fn is_steward(
        &self,
        own_proof: Option<Duration>,
        now: BootInstant,
    ) -> bool {
        let is_able = |proven_at: Option<BootInstant>| {
            proven_at.is_some_and(|at| {
                now.saturating_duration_since(at) <= STEWARD_PROOF
            })
        };
        if own_proof.is_none_or(|age| age > STEWARD_PROOF) {
            return false;
        }
        let known = self.known.lock().expect("peers lock");
        let able = known.iter().filter(|(_, peer)| {
            let proven_at = peer.heard.as_ref().and_then(|h| h.proven_at);
            peer.is_alive(now) && is_able(proven_at)
        });
        let names = able.map(|(vm, _)| vm.as_str());
        let all = names.chain([self.vm.as_str()]);
        let first = all.min_by_key(|vm| rendezvous::short_hash(vm.as_bytes()));
        first == Some(self.vm.as_str())
    }

    /// Notes that the store did not answer this VM as it should at that time,
    /// or that it does.
    pub(crate) fn set_store_failure(
        &self,
        turned_away_at: Option<BootInstant>,
    ) {
        *self.turned_away_at.lock().expect("watch lock") = turned_away_at;
    }

    /// Whether the store answers this VM, as far as it knows.
    pub(crate) fn can_watch(&self, now: BootInstant) -> bool {
        let at = *self.turned_away_at.lock().expect("watch lock");
        at.is_none_or(|at| now.saturating_duration_since(at) > WATCH_PAUSE)
    }

    /// Whether this VM is the first of its data hall, in a fixed order of
    /// those that are heard and that the store answers.
    pub(crate) fn is_first_of_hall(&self, now: BootInstant) -> bool {
        self.can_watch(now)
            && !self.expects_others(now)
            && self.count_before(|p| p.can_watch(now)) == 0
    }

    /// Whether this VM has only just started, and others that are to come
    /// before it in its data hall have not been heard yet. Where none of them
    /// is recorded, all may be starting for the first time: they find out by
    /// their beats who comes first, or else each would wait for the others to
    /// follow the store.
    fn expects_others(&self, now: BootInstant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        if age >= START_TIME {
            return false;
        }
        let known = self.known.lock().expect("peers lock");
        let mut recorded = known.iter().filter(|(_, peer)| {
            peer.is_recorded && peer.data_hall == self.data_hall
        });
        let is_any_heard = known.values().any(|peer| peer.heard.is_some());
        match recorded.clone().next() {
            None if is_any_heard => age < HEAR_TIME,
            None => !self.seeds.is_empty(),
            Some(_) => recorded.any(|(vm, peer)| peer.place(vm) < self.place),
        }
    }

    /// Whether this VM is one of the first of its data hall, in the same order
    /// of all that are heard: those ask a store that does not answer more
    /// often, and tell the others when it does.
    pub(crate) fn is_outage_prober(&self, now: BootInstant) -> bool {
        self.count_before(|peer| peer.is_alive(now)) < FORWARD
    }

    /// VMs of this data hall before this one that meet a condition.
    fn count_before(&self, meets: impl Fn(&Peer) -> bool) -> usize {
        let known = self.known.lock().expect("peers lock");
        let before = known.iter().filter(|(vm, peer)| {
            peer.data_hall == self.data_hall
                && peer.place(vm) < self.place
                && meets(peer)
        });
        before.count()
    }

    /// The VMs that watch the store: the first few, in a fixed order, of those
    /// that are heard and that the store answers, of as many data halls as
    /// possible.
    fn watchers(&self, now: BootInstant) -> Arc<[String]> {
        let mut held = self.watchers.lock().expect("watchers lock");
        if let Some((at, watchers)) = &*held
            && now.saturating_duration_since(*at) < WATCHERS_KEPT
        {
            return watchers.clone();
        }
        let watchers = self.find_watchers(now);
        *held = Some((now, watchers.clone()));
        watchers
    }

    /// Whether this VM is the first of those that watch, as far as it hears.
    pub(crate) fn is_first_watcher(&self, now: BootInstant) -> bool {
        let watchers = self.watchers(now);
        watchers.first().is_none_or(|first| *first == self.vm)
    }

    fn find_watchers(&self, now: BootInstant) -> Arc<[String]> {
        let known = self.known.lock().expect("peers lock");
        let hears_all = self.hears_all(&known);
        let able = known.iter().filter(|(_, peer)| {
            let is_near = peer.data_hall == self.data_hall;
            peer.can_watch(now) && (is_near || hears_all)
        });
        let mut able: Vec<(Place, &str, &DataHallId)> = able
            .map(|(vm, peer)| (peer.place(vm), vm.as_str(), &peer.data_hall))
            .collect();
        if self.can_watch(now) {
            able.push((self.place, &self.vm, &self.data_hall));
        }
        able.sort();
        let mut halls = HashSet::new();
        let (firsts, others): (Vec<_>, Vec<_>) =
            able.into_iter().partition(|(_, _, hall)| halls.insert(*hall));
        let wanted = watchers_wanted(hears_all);
        let chosen = firsts.into_iter().chain(others).take(wanted);
        chosen.map(|(_, vm, _)| vm.to_owned()).collect()
    }

    /// Whether the beats of all VMs of the other data halls arrive before
    /// their senders count as gone. Where they do not, each hall looks after
    /// itself.
    fn hears_all(&self, known: &BTreeMap<String, Peer>) -> bool {
        let is_near = |peer: &&Peer| peer.data_hall == self.data_hall;
        let near = known.values().filter(is_near).count();
        let far = known.len() - near;
        let far_a_round = BEATS_A_ROUND.saturating_sub(near).max(1);
        far <= far_a_round * ROUNDS_HEARD
    }

    /// What this VM does to know what has changed; `proof_age` is that of the
    /// configuration.
    pub(crate) fn watch_role(
        &self,
        proof_age: Option<Duration>,
        revoke: Duration,
        now: BootInstant,
    ) -> WatchRole {
        let watchers = self.watchers(now);
        let hears_all =
            self.hears_all(&self.known.lock().expect("peers lock"));
        let are_enough = watchers.len() >= watchers_wanted(hears_all);
        let others_watch = self.expects_others(now)
            || (are_enough && !watchers.contains(&self.vm));
        if !others_watch {
            return WatchRole::Watch;
        }
        let limit = revoke.mul_f64(REST_PROOF_PART);
        // Nothing was proven as long as there is nothing to prove.
        let is_proven = proof_age.is_none_or(|age| age <= limit);
        let freshness = *self.freshness.lock().expect("freshness lock");
        match is_proven && freshness.is_current(now) {
            true => WatchRole::Idle,
            false => WatchRole::Poll,
        }
    }

    /// The VMs that this one asks for everything when it starts: those of its
    /// data hall that read it from the store for the others. None if this VM
    /// is one of them.
    pub(crate) fn snapshot_readers(&self) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("peers lock");
        let hall = known.iter().filter(|(_, peer)| {
            peer.is_recorded && peer.data_hall == self.data_hall
        });
        let mut hall: Vec<(Place, SocketAddr)> =
            hall.map(|(vm, peer)| (peer.place(vm), peer.address)).collect();
        hall.sort();
        hall.truncate(READERS_OF_HALL);
        let is_reader = hall.len() < READERS_OF_HALL
            || hall.iter().any(|(place, _)| self.place < *place);
        if is_reader {
            return Vec::new();
        }
        // Half of the hall begins with each.
        let first = self.place.hash as usize % hall.len();
        hall.rotate_left(first);
        hall.into_iter().map(|(_, address)| address).collect()
    }

    /// Has this VM ask the store itself for what has changed.
    pub(crate) fn request_poll(&self) {
        *self.freshness.lock().expect("freshness lock") = Freshness::default();
    }

    /// Notes that another VM knows more than this one. What a watcher tells
    /// may be on its way, so that alone says nothing yet.
    pub(crate) fn note_behind(&self, now: BootInstant) {
        self.freshness.lock().expect("freshness lock").note_behind(now);
    }

    /// Notes that this VM asked the store for all changes at that time.
    pub(crate) fn record_poll(&self, asked_at: BootInstant) {
        let mut freshness = self.freshness.lock().expect("freshness lock");
        freshness.record_poll(asked_at);
    }

    /// Notes that a VM knows what this VM knows, which counts if it watches.
    pub(crate) fn note_agreed(&self, vm: &str, now: BootInstant) {
        if self.watchers(now).iter().any(|watcher| watcher == vm) {
            self.freshness.lock().expect("freshness lock").note_agreed(now);
        }
    }

    /// The VMs that a watcher tells what has changed: the other watchers too,
    /// which are there for its loss and ask less often.
    pub(crate) fn change_receivers(
        &self,
        now: BootInstant,
    ) -> Vec<SocketAddr> {
        if !self.watchers(now).contains(&self.vm) {
            return Vec::new();
        }
        let known = self.known.lock().expect("peers lock");
        let hears_all = self.hears_all(&known);
        let others = known.values().filter(|peer| {
            let is_near = peer.data_hall == self.data_hall;
            peer.is_alive(now) && (is_near || hears_all)
        });
        others.map(|peer| peer.address).collect()
    }

    /// Takes in a beat, and what it proves of what this VM knows; returns
    /// whether its sender knows more.
    pub(crate) fn merge_heartbeat(
        &self,
        beat: &Heartbeat,
        knowledge: &Knowledge,
        now: BootInstant,
    ) -> bool {
        let mut known = self.known.lock().expect("peers lock");
        let peer = known.entry(beat.vm.clone()).or_insert_with(|| Peer {
            address: beat.peer_address,
            data_hall: beat.data_hall.clone(),
            link: beat.link_mbps,
            is_recorded: false,
            heard: None,
        });
        if peer.heard.as_ref().is_some_and(|heard| heard.is_after(beat, now)) {
            return false;
        }
        peer.address = beat.peer_address;
        peer.link = beat.link_mbps;
        let proven_at = self.proven_at(beat);
        peer.heard = Some(Heard {
            at: now,
            incarnation: beat.incarnation,
            number: beat.number,
            is_leaving: beat.leaving,
            can_watch: beat.can_watch,
            proven_at,
        });
        drop(known);
        if let Some(proven_at) = proven_at
            && knowledge.table_version()
                == Some(TableVersion(beat.configuration_version))
        {
            knowledge.prove(proven_at);
        }
        let table = knowledge.table_version().unwrap_or_default();
        beat.digest != knowledge.digest()
            && (beat.as_of > knowledge.as_of().0
                || beat.configuration_version > table.0)
    }

    /// When what the sender knows was current, by this VM's clock.
    ///
    /// The beat was made once the echoed one had been there for as long as it
    /// says, and the echoed one arrived after it was sent from here.
    fn proven_at(&self, beat: &Heartbeat) -> Option<BootInstant> {
        let echo = beat.echo?;
        if echo.incarnation != self.incarnation {
            return None;
        }
        let sent_at = self.sent_at(echo.number)?;
        let held = Duration::from_millis(echo.elapsed_ms.into());
        let age = Duration::from_millis(beat.proof_age_ms?.into());
        (sent_at + held).checked_sub(age)
    }

    fn sent_at(&self, number: u32) -> Option<BootInstant> {
        let sent = self.sent.lock().expect("sent lock");
        sent.iter().find(|(n, _)| *n == number).map(|(_, at)| *at)
    }

    /// The number of the next beat, sent at `now`.
    pub(crate) fn next_number(&self, now: BootInstant) -> u32 {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.note_sent(number, now);
        number
    }

    fn note_sent(&self, number: u32, now: BootInstant) {
        let mut sent = self.sent.lock().expect("sent lock");
        if sent.len() >= BEATS_REMEMBERED {
            sent.remove(0);
        }
        sent.push((number, now));
    }

    /// Other data halls in which there are VMs.
    pub(crate) fn other_halls(&self) -> BTreeSet<DataHallId> {
        let known = self.known.lock().expect("peers lock");
        let halls = known.values().map(|peer| peer.data_hall.clone());
        halls.filter(|hall| *hall != self.data_hall).collect()
    }

    /// Whom to send a beat to, each with the echo of its own last one: first
    /// the VMs of the own data hall.
    ///
    /// Each VM begins with another of the other halls, so that the beats of a
    /// whole hall, one from each of fifty VMs in half a second, reach all
    /// other halls at any time.
    pub(crate) fn receivers(&self, now: BootInstant) -> Vec<Receiver> {
        let known = self.known.lock().expect("peers lock");
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            known.values().partition(|peer| peer.data_hall == self.data_hall);
        let far_count = BEATS_A_ROUND.saturating_sub(near.len()).max(1);
        let far_count = far_count.min(far.len());
        let first = self.next_receiver.fetch_add(far_count, Ordering::Relaxed);
        let far = far.iter().cycle().skip(first % far.len().max(1));
        let chosen = near.iter().chain(far.take(far_count));
        let mut receivers: Vec<Receiver> = chosen
            .map(|peer| Receiver {
                address: peer.address,
                echo: peer.heard.as_ref().map(|heard| heard.echo(now)),
                is_near: peer.data_hall == self.data_hall,
            })
            .collect();
        for seed in &self.seeds {
            // One that is known has its turn with the others.
            if !known.values().any(|peer| peer.address == *seed) {
                let address = *seed;
                receivers.push(Receiver {
                    address,
                    echo: None,
                    is_near: false,
                });
            }
        }
        receivers
    }
}

fn watchers_wanted(hears_all: bool) -> usize {
    if hears_all { WATCHERS } else { WATCHERS_OF_HALL }
}

#[cfg(test)]
mod tests;

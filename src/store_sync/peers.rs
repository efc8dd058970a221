//! Tracks the other VMs that stand before the same platform: which are alive,
//! what their heartbeats prove, which watch the store and which one keeps the
//! records of rollouts.

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
    placing::paths::RelayVm,
    rendezvous,
    store_sync::{
        catch_up::CatchUp,
        knowledge::{Knowledge, PeerRecord},
        route::TableVersion,
        staleness::StalenessBound,
        store_position::StorePosition,
    },
    unit::{Mbps, MilliCores},
};

/// Age of the last heartbeat from which a VM counts as gone. A VM of another
/// data hall may send one only every few rounds.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2600);

/// Age of the last heartbeat from which an earlier incarnation is accepted
/// again. Incarnations are ordered by the time of day, which may have been set
/// back.
const INCARNATION_RESET_AFTER: Duration = Duration::from_millis(1200);

/// Age of the last heartbeat from which a VM without a record is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Heartbeats that a VM sends in one round. Each VM of its own data hall gets
/// one in every round and the others take turns, so the cost does not grow
/// with the fleet.
const HEARTBEATS_PER_ROUND: usize = 32;

/// Time for which a VM that the store failed to answer is not chosen as a
/// watcher.
const WATCH_RETRY_PAUSE: Duration = Duration::from_secs(3);

/// Time for which the list of watchers is cached.
const WATCHERS_CACHE_TIME: Duration = Duration::from_millis(100);

/// Number of sent heartbeats whose send time a VM remembers, to look up the
/// time of an echoed one. At the minimum gap between two heartbeats, these
/// cover about three seconds.
const SENT_HISTORY_LENGTH: usize = 64;

/// Oldest proof of its copy with which a VM may keep the records of rollouts.
const STEWARD_MAX_PROOF_AGE: Duration = Duration::from_millis(2800);

/// Number of VMs that watch the store, in different data halls if there are
/// enough; these push changes to the others. Each watch loads the store, and
/// three tolerate the loss of two.
const WATCHERS: usize = 3;

/// Number of watchers per data hall in a fleet that is too large for each VM
/// to receive the heartbeats of all other halls. The second tolerates the loss
/// of the first.
const WATCHERS_PER_HALL: usize = 2;

/// Rounds of heartbeats after which a VM of another data hall counts as gone,
/// in rotations over the VMs of the other halls; a heartbeat may get lost.
const ROTATIONS_UNTIL_GONE: u32 = 2;

/// Rounds within which a VM must reach every VM of the other data halls. At
/// the usual two heartbeats per second they take less than
/// [`HEARTBEAT_TIMEOUT`].
const MAX_ROTATION_ROUNDS: usize = 4;

/// Number of VMs per data hall that read everything from the store at startup,
/// on behalf of the others.
const READERS_PER_HALL: usize = 2;

/// Number of VMs per data hall that retry more often while the store does not
/// answer.
const OUTAGE_PROBERS_PER_HALL: usize = 2;

/// Time after startup by which a VM has received heartbeats from the VMs of
/// its data hall that started with it: two heartbeats of each.
const DISCOVERY_TIME: Duration = Duration::from_millis(1200);

/// Time after startup for which a VM treats recorded VMs as alive although it
/// has not received their heartbeats yet.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// The rank of a VM in an order on which all VMs agree.
///
/// VMs with the fastest links come first, since they read from the store for
/// the others: of 50 VMs of a hall that start together, three with links of
/// 200 Mbit/s know everything after 0.13 s, and the others, with 20 Mbit/s and
/// the store's link shared by all, after 0.9 to 1.15 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    link: Reverse<Mbps>,
    hash: u32,
}

impl Rank {
    fn of(vm: &str, link: Mbps) -> Rank {
        let hash = rendezvous::short_hash(vm.as_bytes());
        Rank { link: Reverse(link), hash }
    }
}

/// What this VM knows of another one.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    data_hall: DataHallId,
    link: Mbps,
    cores: MilliCores,
    /// Whether it has a record in the store.
    is_recorded: bool,
    last_heartbeat: Option<LastHeartbeat>,
}

impl Peer {
    fn rank(&self, vm: &str) -> Rank {
        Rank::of(vm, self.link)
    }

    /// Returns whether the last heartbeat is recent enough.
    fn is_alive(&self, now: BootInstant) -> bool {
        self.has_heartbeat_within(HEARTBEAT_TIMEOUT, now)
    }

    fn has_heartbeat_within(&self, limit: Duration, now: BootInstant) -> bool {
        self.last_heartbeat
            .as_ref()
            .is_some_and(|last| now.saturating_duration_since(last.at) < limit)
    }

    /// Returns whether the VM is alive, is not leaving and reports that the
    /// store answers it.
    fn can_watch(&self, now: BootInstant) -> bool {
        let is_eligible =
            |last: &LastHeartbeat| last.can_watch && !last.is_leaving;
        self.is_alive(now)
            && self.last_heartbeat.as_ref().is_some_and(is_eligible)
    }
}

/// What the last heartbeat received from a VM reported.
#[derive(Clone, Debug)]
struct LastHeartbeat {
    /// When it was received.
    at: BootInstant,
    incarnation: Incarnation,
    number: u32,
    is_leaving: bool,
    can_watch: bool,
    /// When the sender's copy was proven current, by this VM's clock.
    proven_at: Option<BootInstant>,
    /// The position of the store up to which the sender's copy is complete.
    as_of: StorePosition,
    /// The configuration that the sender has in force.
    table: TableVersion,
}

impl LastHeartbeat {
    /// Returns whether the given heartbeat is stale, because this one was sent
    /// after it or is the same.
    ///
    /// Incarnations are ordered by the time of day at which they began, which
    /// may have been set back meanwhile. An incarnation that has gone silent
    /// is therefore replaced by any other.
    fn is_newer_than(&self, heartbeat: &Heartbeat, now: BootInstant) -> bool {
        let silence = now.saturating_duration_since(self.at);
        if self.incarnation != heartbeat.incarnation
            && silence > INCARNATION_RESET_AFTER
        {
            return false;
        }
        (self.incarnation, self.number)
            >= (heartbeat.incarnation, heartbeat.number)
    }

    /// Takes over the proof of the sender's copy for what it proves of this
    /// VM's.
    fn prove(&self, knowledge: &Knowledge) {
        let Some(proven_at) = self.proven_at else { return };
        let own_as_of = knowledge.as_of();
        let table = knowledge.table_version();
        // This copy has every change that the sender's had when it was proven.
        let is_covered =
            self.as_of.era == own_as_of.era && self.as_of <= own_as_of;
        if is_covered && table.unwrap_or_default() >= self.table {
            knowledge.prove(proven_at);
        } else if self.as_of.era >= own_as_of.era && table == Some(self.table)
        {
            knowledge.prove_configuration(proven_at);
        }
    }

    fn echo(&self, now: BootInstant) -> HeartbeatEcho {
        let elapsed = now.saturating_duration_since(self.at);
        HeartbeatEcho {
            incarnation: self.incarnation,
            number: self.number,
            elapsed_ms: elapsed.as_millis() as u32,
        }
    }
}

/// A live VM that may coordinate the slots of services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SlotVm {
    /// Its name.
    pub(crate) vm: String,
    /// Its share of processor time; 0 if unknown.
    pub(crate) cores: MilliCores,
    /// Its data hall.
    pub(crate) data_hall: DataHallId,
    /// Address on which it listens for other VMs; `None` for this VM.
    pub(crate) address: Option<SocketAddr>,
}

/// A VM that a heartbeat is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Receiver {
    /// Address on which it listens for other VMs.
    pub(crate) address: SocketAddr,
    /// Echo of the last heartbeat received from it, if any.
    pub(crate) echo: Option<HeartbeatEcho>,
    /// Whether it is known to be in the sender's data hall.
    pub(crate) is_same_hall: bool,
}

/// How a VM learns of changes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchRole {
    /// Does not contact the store: others watch it, and this VM is up to date
    /// with them.
    Idle,
    /// Asks the store once for all changes.
    Poll,
    /// Watches the store and pushes changes to the other VMs.
    Watch,
}

/// The other VMs that this one knows of, with its own part in watching the
/// store.
pub(crate) struct Peers {
    vm: String,
    data_hall: DataHallId,
    /// Share of processor time of this VM; 0 if unknown.
    cores: MilliCores,
    heartbeat_interval: Duration,
    /// Rank of this VM.
    rank: Rank,
    /// Addresses of the other seeds, which VMs contact at startup.
    seeds: Vec<SocketAddr>,
    /// Index of this VM among the seeds, if it is one.
    seed_index: Option<usize>,
    /// Incarnation of this VM.
    incarnation: Incarnation,
    started_at: BootInstant,
    /// Ordered by name, so that heartbeats can go round in a fixed order.
    known: Mutex<BTreeMap<String, Peer>>,
    /// Numbers and send times of the latest heartbeats.
    sent: Mutex<Vec<(u32, BootInstant)>>,
    catch_up: Mutex<CatchUp>,
    /// When the store last failed to answer this VM, until it answers again.
    store_failed_at: Mutex<Option<BootInstant>>,
    /// Cached list of the watchers and when it was computed.
    watchers: Mutex<Option<(BootInstant, Arc<[String]>)>>,
    /// Index at which the next round of heartbeats to other data halls begins.
    next_receiver: AtomicUsize,
    next_number: AtomicU32,
    /// Seals and opens messages between VMs.
    pub(crate) codec: FrameCodec,
    /// Sends requests to other VMs.
    pub(crate) client: PeerClient,
}

impl Peers {
    /// Creates the list, which knows no VM but the addresses of the seeds.
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
            cores: settings.cores,
            heartbeat_interval: settings.heartbeat_interval,
            rank: Rank::of(settings.vm.as_str(), settings.link_rate),
            data_hall: settings.data_hall.clone(),
            seed_index: settings.seeds.iter().position(|seed| *seed == own),
            seeds: seeds.filter(|seed| *seed != own).collect(),
            incarnation,
            started_at: now,
            known: Mutex::default(),
            sent: Mutex::default(),
            catch_up: Mutex::default(),
            store_failed_at: Mutex::default(),
            watchers: Mutex::default(),
            next_receiver: AtomicUsize::new(rendezvous::short_hash(
                settings.vm.as_str().as_bytes(),
            ) as usize),
            next_number: AtomicU32::new(1),
            client: PeerClient::new(codec.clone(), metrics),
            codec,
        }
    }

    /// Returns the name of this VM.
    pub(crate) fn vm(&self) -> &str {
        &self.vm
    }

    /// Sets the record of a VM, adding the VM if it is unknown.
    pub(crate) fn set_record(&self, vm: &str, record: &PeerRecord) {
        if vm == self.vm {
            return;
        }
        let mut known = self.known.lock().expect("peers lock");
        let peer = known.entry(vm.to_owned()).or_insert_with(|| Peer {
            address: record.peers,
            data_hall: record.data_hall.clone(),
            link: record.link_mbps,
            cores: record.cores,
            is_recorded: true,
            last_heartbeat: None,
        });
        peer.is_recorded = true;
        peer.link = record.link_mbps;
        peer.cores = record.cores;
        peer.address = record.peers;
    }

    /// Returns the number of known VMs, including this one.
    pub(crate) fn fleet_size(&self) -> usize {
        self.known.lock().expect("peers lock").len() + 1
    }

    /// Returns whether this VM is a seed, whose address other VMs know at
    /// startup.
    pub(crate) fn is_seed(&self) -> bool {
        self.seed_index.is_some()
    }

    /// Returns the live VMs that have no record in the store and that this
    /// seed is responsible for, or all of them if `with_others` is set. Empty
    /// if this VM is no seed.
    pub(crate) fn unrecorded(
        &self,
        with_others: bool,
        now: BootInstant,
    ) -> Vec<(String, PeerRecord)> {
        let Some(seed_index) = self.seed_index else { return Vec::new() };
        let seeds = self.seeds.len() + 1;
        let is_mine = |vm: &str| {
            let hash = rendezvous::short_hash(vm.as_bytes()) as usize;
            with_others || hash % seeds == seed_index
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
                cores: peer.cores,
            };
            (vm.clone(), record)
        });
        records.collect()
    }

    /// Marks a VM as having no record. A VM that still sends heartbeats stays
    /// known: its lease may have expired while it could not renew it.
    pub(crate) fn remove_record(&self, vm: &str) {
        let mut known = self.known.lock().expect("peers lock");
        if let Some(peer) = known.get_mut(vm) {
            peer.is_recorded = false;
        }
    }

    /// Forgets the VMs that have neither a record nor a recent heartbeat.
    pub(crate) fn sweep(&self, now: BootInstant) {
        let mut known = self.known.lock().expect("peers lock");
        known.retain(|_, peer| {
            peer.is_recorded || peer.has_heartbeat_within(FORGET_AFTER, now)
        });
    }

    /// Returns the live VMs that may connect to upstreams for this one.
    pub(crate) fn relay_candidates(&self, now: BootInstant) -> Vec<RelayVm> {
        let known = self.known.lock().expect("peers lock");
        let alive = known.values().filter(|peer| peer.is_alive(now));
        let relays = alive.filter_map(|peer| {
            let last = peer.last_heartbeat.as_ref()?;
            Some(RelayVm {
                address: peer.address,
                is_same_hall: peer.data_hall == self.data_hall,
                is_leaving: last.is_leaving,
            })
        });
        relays.collect()
    }

    /// Returns the VMs that may coordinate the slots of services: this one and
    /// the other live ones that are not leaving.
    ///
    /// All VMs should agree on these, but in a large fleet a VM receives the
    /// heartbeats of another data hall only once per rotation: of 71 VMs in
    /// three halls with heartbeats every 1.2 s, every 7 s. A VM of another
    /// hall therefore counts as live for two rotations, and if it is recorded,
    /// also before its first heartbeat. A VM of the same hall sends a
    /// heartbeat in every round.
    pub(crate) fn slot_vms(&self, now: BootInstant) -> Vec<SlotVm> {
        let known = self.known.lock().expect("peers lock");
        let remote_timeout = self.remote_timeout(&known);
        let others = known
            .iter()
            .filter(|(_, peer)| self.may_be_live(peer, remote_timeout, now));
        let others = others.map(|(vm, peer)| SlotVm {
            vm: vm.clone(),
            cores: peer.cores,
            data_hall: peer.data_hall.clone(),
            address: Some(peer.address),
        });
        let own = SlotVm {
            vm: self.vm.clone(),
            cores: self.cores,
            data_hall: self.data_hall.clone(),
            address: None,
        };
        others.chain([own]).collect()
    }

    /// Returns the address at which a VM listens for other VMs, unless it is
    /// leaving or seems to be lost.
    pub(crate) fn live_address(
        &self,
        vm: &str,
        now: BootInstant,
    ) -> Option<SocketAddr> {
        let known = self.known.lock().expect("peers lock");
        let peer = known.get(vm)?;
        let remote_timeout = self.remote_timeout(&known);
        let is_live = self.may_be_live(peer, remote_timeout, now);
        is_live.then_some(peer.address)
    }

    /// Returns whether a VM is not leaving and may be live, if a VM of another
    /// data hall counts as lost after `remote_timeout`.
    fn may_be_live(
        &self,
        peer: &Peer,
        remote_timeout: Duration,
        now: BootInstant,
    ) -> bool {
        match &peer.last_heartbeat {
            Some(last) if last.is_leaving => false,
            Some(_) if peer.data_hall == self.data_hall => peer.is_alive(now),
            Some(_) => peer.has_heartbeat_within(remote_timeout, now),
            None => peer.is_recorded && peer.data_hall != self.data_hall,
        }
    }

    /// Returns the age of the last heartbeat from which a VM of another data
    /// hall counts as lost.
    fn remote_timeout(&self, known: &BTreeMap<String, Peer>) -> Duration {
        let is_local = |peer: &&Peer| peer.data_hall == self.data_hall;
        let local = known.values().filter(is_local).count();
        let remote = known.len() - local;
        let rounds = remote.div_ceil(remote_per_round(local)).max(1);
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let rotations =
            self.heartbeat_interval * (rounds * ROTATIONS_UNTIL_GONE);
        rotations.max(HEARTBEAT_TIMEOUT)
    }

    /// Returns whether this VM is the one that keeps the records of rollouts:
    /// the first, in a fixed order, of the live VMs whose copy was proven
    /// current recently.
    pub(crate) fn is_steward(
        &self,
        own_proof: Option<Duration>,
        now: BootInstant,
    ) -> bool {
        let is_eligible = |proven_at: Option<BootInstant>| {
            proven_at.is_some_and(|at| {
                now.saturating_duration_since(at) <= STEWARD_MAX_PROOF_AGE
            })
        };
        if own_proof.is_none_or(|age| age > STEWARD_MAX_PROOF_AGE) {
            return false;
        }
        let known = self.known.lock().expect("peers lock");
        let eligible = known.iter().filter(|(_, peer)| {
            let proven_at =
                peer.last_heartbeat.as_ref().and_then(|last| last.proven_at);
            peer.is_alive(now) && is_eligible(proven_at)
        });
        let names = eligible.map(|(vm, _)| vm.as_str());
        let all = names.chain([self.vm.as_str()]);
        let first = all.min_by_key(|vm| rendezvous::short_hash(vm.as_bytes()));
        first == Some(self.vm.as_str())
    }

    /// Records when the store failed to answer this VM, or clears that with
    /// `None` once it answers.
    pub(crate) fn set_store_failure(
        &self,
        store_failed_at: Option<BootInstant>,
    ) {
        *self.store_failed_at.lock().expect("watch lock") = store_failed_at;
    }

    /// Returns when the store last failed to answer this VM, unless it has
    /// answered since.
    pub(crate) fn store_failed_at(&self) -> Option<BootInstant> {
        *self.store_failed_at.lock().expect("watch lock")
    }

    /// Returns whether the store answers this VM, as far as this VM knows.
    pub(crate) fn can_watch(&self, now: BootInstant) -> bool {
        self.store_failed_at().is_none_or(|at| {
            now.saturating_duration_since(at) > WATCH_RETRY_PAUSE
        })
    }

    /// Returns whether this VM has the first rank in its data hall, among the
    /// live VMs that the store answers.
    pub(crate) fn is_first_of_hall(&self, now: BootInstant) -> bool {
        self.renewal_rank(now) == 0
    }

    /// Returns the number of VMs of this data hall that renew the proof of
    /// their copies before this one.
    pub(crate) fn renewal_rank(&self, now: BootInstant) -> usize {
        match self.can_watch(now) && !self.expects_others(now) {
            true => self.count_ranked_before(|peer| peer.can_watch(now)),
            false => usize::MAX,
        }
    }

    /// Returns whether this VM has just started and expects others that rank
    /// before it in its data hall, even if it has not received their
    /// heartbeats yet.
    ///
    /// If none is recorded, all may be starting for the first time. They learn
    /// from their heartbeats which one ranks first; otherwise each would wait
    /// for the others to follow the store.
    fn expects_others(&self, now: BootInstant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        if age >= STARTUP_TIME {
            return false;
        }
        let known = self.known.lock().expect("peers lock");
        let mut recorded = known.iter().filter(|(_, peer)| {
            peer.is_recorded && peer.data_hall == self.data_hall
        });
        let has_any_heartbeat =
            known.values().any(|peer| peer.last_heartbeat.is_some());
        match recorded.clone().next() {
            None if has_any_heartbeat => age < DISCOVERY_TIME,
            None => !self.seeds.is_empty(),
            Some(_) => recorded.any(|(vm, peer)| peer.rank(vm) < self.rank),
        }
    }

    /// Returns whether this VM is among the first of its data hall, in the
    /// rank order of its live VMs. These VMs retry more often while the store
    /// does not answer, and notify the others when it answers.
    pub(crate) fn is_outage_prober(&self, now: BootInstant) -> bool {
        self.count_ranked_before(|peer| peer.is_alive(now))
            < OUTAGE_PROBERS_PER_HALL
    }

    /// Returns the number of VMs of this data hall that rank before this one
    /// and meet a condition.
    fn count_ranked_before(&self, meets: impl Fn(&Peer) -> bool) -> usize {
        let known = self.known.lock().expect("peers lock");
        let before = known.iter().filter(|(vm, peer)| {
            peer.data_hall == self.data_hall
                && peer.rank(vm) < self.rank
                && meets(peer)
        });
        before.count()
    }

    /// Returns the VMs that watch the store: the first, in rank order, of the
    /// live VMs that the store answers, spread over as many data halls as
    /// possible.
    fn watchers(&self, now: BootInstant) -> Arc<[String]> {
        let mut cached = self.watchers.lock().expect("watchers lock");
        if let Some((at, watchers)) = &*cached
            && now.saturating_duration_since(*at) < WATCHERS_CACHE_TIME
        {
            return watchers.clone();
        }
        let watchers = self.find_watchers(now);
        *cached = Some((now, watchers.clone()));
        watchers
    }

    /// Returns whether this VM is the first of the watchers that it knows of.
    pub(crate) fn is_first_watcher(&self, now: BootInstant) -> bool {
        let watchers = self.watchers(now);
        watchers.first().is_none_or(|first| *first == self.vm)
    }

    fn find_watchers(&self, now: BootInstant) -> Arc<[String]> {
        let known = self.known.lock().expect("peers lock");
        let receives_all = self.receives_all(&known);
        let eligible = known.iter().filter(|(_, peer)| {
            let is_same_hall = peer.data_hall == self.data_hall;
            peer.can_watch(now) && (is_same_hall || receives_all)
        });
        let mut eligible: Vec<(Rank, &str, &DataHallId)> = eligible
            .map(|(vm, peer)| (peer.rank(vm), vm.as_str(), &peer.data_hall))
            .collect();
        if self.can_watch(now) {
            eligible.push((self.rank, &self.vm, &self.data_hall));
        }
        eligible.sort();
        let mut halls = HashSet::new();
        let (firsts, others): (Vec<_>, Vec<_>) =
            eligible.into_iter().partition(|(_, _, hall)| halls.insert(*hall));
        let wanted = wanted_watchers(receives_all);
        let chosen = firsts.into_iter().chain(others).take(wanted);
        chosen.map(|(_, vm, _)| vm.to_owned()).collect()
    }

    /// Returns whether the heartbeats of all VMs of the other data halls
    /// arrive before their senders count as gone. If they do not, each hall
    /// has its own watchers.
    fn receives_all(&self, known: &BTreeMap<String, Peer>) -> bool {
        let is_same_hall = |peer: &&Peer| peer.data_hall == self.data_hall;
        let local = known.values().filter(is_same_hall).count();
        let remote = known.len() - local;
        remote <= remote_per_round(local) * MAX_ROTATION_ROUNDS
    }

    /// Returns how this VM learns of changes in the store.
    ///
    /// Its copy of the store is complete up to `as_of`; `copy_age` is the time
    /// since it was proven current, if it ever was.
    pub(crate) fn watch_role(
        &self,
        as_of: StorePosition,
        copy_age: Option<Duration>,
        bound: StalenessBound,
        now: BootInstant,
    ) -> WatchRole {
        let watchers = self.watchers(now);
        let receives_all =
            self.receives_all(&self.known.lock().expect("peers lock"));
        let are_enough = watchers.len() >= wanted_watchers(receives_all);
        let others_watch = self.expects_others(now)
            || (are_enough && !watchers.contains(&self.vm));
        if !others_watch {
            return WatchRole::Watch;
        }
        // Of the VMs that start together, some prove the copies of all.
        let unproven = now.saturating_duration_since(self.started_at);
        let is_proven = copy_age.unwrap_or(unproven) < bound.overdue_age();
        let catch_up = *self.catch_up.lock().expect("catch-up lock");
        match is_proven && !catch_up.is_due(as_of, bound.push_time(), now) {
            true => WatchRole::Idle,
            false => WatchRole::Poll,
        }
    }

    /// Returns the addresses of the VMs that this one asks for everything at
    /// startup: those of its data hall that read it from the store for the
    /// others. Empty if this VM is one of them.
    pub(crate) fn snapshot_readers(&self) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("peers lock");
        let hall = known.iter().filter(|(_, peer)| {
            peer.is_recorded && peer.data_hall == self.data_hall
        });
        let mut hall: Vec<(Rank, SocketAddr)> =
            hall.map(|(vm, peer)| (peer.rank(vm), peer.address)).collect();
        hall.sort();
        hall.truncate(READERS_PER_HALL);
        let is_reader = hall.len() < READERS_PER_HALL
            || hall.iter().any(|(rank, _)| self.rank < *rank);
        if is_reader {
            return Vec::new();
        }
        // Spreads the VMs evenly over the readers.
        let first = self.rank.hash as usize % hall.len();
        hall.rotate_left(first);
        hall.into_iter().map(|(_, address)| address).collect()
    }

    /// Makes this VM poll the store for changes, whatever other VMs report.
    pub(crate) fn request_poll(&self) {
        self.catch_up.lock().expect("catch-up lock").request_poll();
    }

    /// Records that another VM's copy is complete up to a position, while this
    /// one's is up to `own`.
    pub(crate) fn record_behind(
        &self,
        position: StorePosition,
        own: StorePosition,
        now: BootInstant,
    ) {
        let mut catch_up = self.catch_up.lock().expect("catch-up lock");
        catch_up.record_behind(position, own, now);
    }

    /// Records that this VM has asked the store, or another VM, for all
    /// changes.
    pub(crate) fn record_poll(&self) {
        self.catch_up.lock().expect("catch-up lock").record_poll();
    }

    /// Returns the addresses to which this VM pushes changes that it has found
    /// with a copy of this age; empty unless it is a watcher, the first of its
    /// data hall, which polls most often and so learns first where the
    /// watchers are cut off, or one that nobody has told anything for long.
    /// They include the other watchers, which take over if it is lost and until
    /// then poll less often.
    pub(crate) fn change_receivers(
        &self,
        copy_age: Option<Duration>,
        bound: StalenessBound,
        now: BootInstant,
    ) -> Vec<SocketAddr> {
        let rank = self.renewal_rank(now);
        let pushes = self.watchers(now).contains(&self.vm)
            || rank == 0
            || copy_age.is_some_and(|age| bound.tells_others(rank, age));
        if !pushes {
            return Vec::new();
        }
        let known = self.known.lock().expect("peers lock");
        let receives_all = self.receives_all(&known);
        let others = known.values().filter(|peer| {
            let is_same_hall = peer.data_hall == self.data_hall;
            peer.is_alive(now) && (is_same_hall || receives_all)
        });
        others.map(|peer| peer.address).collect()
    }

    /// Merges a heartbeat and what it proves about this VM's knowledge.
    /// Returns whether its sender knows more than this VM; a stale heartbeat
    /// is ignored.
    pub(crate) fn merge_heartbeat(
        &self,
        heartbeat: &Heartbeat,
        knowledge: &Knowledge,
        now: BootInstant,
    ) -> bool {
        let mut known = self.known.lock().expect("peers lock");
        let peer = known.entry(heartbeat.vm.clone()).or_insert_with(|| Peer {
            address: heartbeat.peer_address,
            data_hall: heartbeat.data_hall.clone(),
            link: heartbeat.link_mbps,
            cores: heartbeat.cores,
            is_recorded: false,
            last_heartbeat: None,
        });
        if peer
            .last_heartbeat
            .as_ref()
            .is_some_and(|last| last.is_newer_than(heartbeat, now))
        {
            return false;
        }
        peer.address = heartbeat.peer_address;
        peer.link = heartbeat.link_mbps;
        peer.cores = heartbeat.cores;
        let proven_at = self.proven_at(heartbeat);
        let last = LastHeartbeat {
            at: now,
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
            is_leaving: heartbeat.leaving,
            can_watch: heartbeat.can_watch,
            proven_at,
            as_of: heartbeat.as_of,
            table: TableVersion(heartbeat.configuration_version),
        };
        let is_same = heartbeat.digest == knowledge.digest();
        if is_same {
            knowledge.complete_to(heartbeat.as_of, heartbeat.digest);
        }
        last.prove(knowledge);
        let is_ahead = !is_same && last.as_of > knowledge.as_of();
        let table = knowledge.table_version().unwrap_or_default();
        let knows_more = is_ahead || last.table > table;
        peer.last_heartbeat = Some(last);
        knows_more
    }

    /// Takes over the proofs of the last heartbeats, after changes that their
    /// senders had already have arrived.
    pub(crate) fn prove_by_heartbeats(&self, knowledge: &Knowledge) {
        let known = self.known.lock().expect("peers lock");
        let heartbeats =
            known.values().filter_map(|peer| peer.last_heartbeat.as_ref());
        for last in heartbeats {
            last.prove(knowledge);
        }
    }

    /// Returns when the sender's copy was proven current, by this VM's clock.
    ///
    /// The sender made the heartbeat `elapsed_ms` after it received the echoed
    /// one, which it cannot have received before this VM sent it. The result
    /// is thus never later than the actual time.
    fn proven_at(&self, heartbeat: &Heartbeat) -> Option<BootInstant> {
        let echo = heartbeat.echo?;
        if echo.incarnation != self.incarnation {
            return None;
        }
        let sent_at = self.sent_at(echo.number)?;
        let elapsed = Duration::from_millis(echo.elapsed_ms.into());
        let age = Duration::from_millis(heartbeat.proof_age_ms?.into());
        (sent_at + elapsed).checked_sub(age)
    }

    fn sent_at(&self, number: u32) -> Option<BootInstant> {
        let sent = self.sent.lock().expect("sent lock");
        sent.iter().find(|(n, _)| *n == number).map(|(_, at)| *at)
    }

    /// Returns the number of the next heartbeat, and records that it is sent
    /// at `now`.
    pub(crate) fn next_number(&self, now: BootInstant) -> u32 {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.record_sent(number, now);
        number
    }

    fn record_sent(&self, number: u32, now: BootInstant) {
        let mut sent = self.sent.lock().expect("sent lock");
        if sent.len() >= SENT_HISTORY_LENGTH {
            sent.remove(0);
        }
        sent.push((number, now));
    }

    /// Returns the number of known VMs, with this one.
    pub(crate) fn vm_count(&self) -> usize {
        self.known.lock().expect("peers lock").len() + 1
    }

    /// Returns the other data halls that have known VMs.
    pub(crate) fn other_halls(&self) -> BTreeSet<DataHallId> {
        let known = self.known.lock().expect("peers lock");
        let halls = known.values().map(|peer| peer.data_hall.clone());
        halls.filter(|hall| *hall != self.data_hall).collect()
    }

    /// Returns the VMs to send a heartbeat to, each with the echo of its own
    /// last one. Those of this data hall come first.
    ///
    /// Each VM starts its rotation at a different VM of the other halls, so
    /// that the heartbeats of a whole hall, one from each of fifty VMs in half
    /// a second, reach all other halls at any time.
    pub(crate) fn receivers(&self, now: BootInstant) -> Vec<Receiver> {
        let known = self.known.lock().expect("peers lock");
        let (local, remote): (Vec<&Peer>, Vec<&Peer>) =
            known.values().partition(|peer| peer.data_hall == self.data_hall);
        let remote_count = remote_per_round(local.len()).min(remote.len());
        let first =
            self.next_receiver.fetch_add(remote_count, Ordering::Relaxed);
        let remote = remote.iter().cycle().skip(first % remote.len().max(1));
        let chosen = local.iter().chain(remote.take(remote_count));
        let mut receivers: Vec<Receiver> = chosen
            .map(|peer| Receiver {
                address: peer.address,
                echo: peer.last_heartbeat.as_ref().map(|last| last.echo(now)),
                is_same_hall: peer.data_hall == self.data_hall,
            })
            .collect();
        for seed in &self.seeds {
            // A known seed already takes part in the rotation.
            if !known.values().any(|peer| peer.address == *seed) {
                let address = *seed;
                receivers.push(Receiver {
                    address,
                    echo: None,
                    is_same_hall: false,
                });
            }
        }
        receivers
    }
}

/// Returns how many VMs of other data halls get a heartbeat in one round, of a
/// VM that knows `local` others in its own.
fn remote_per_round(local: usize) -> usize {
    HEARTBEATS_PER_ROUND.saturating_sub(local).max(1)
}

fn wanted_watchers(receives_all: bool) -> usize {
    if receives_all { WATCHERS } else { WATCHERS_PER_HALL }
}

#[cfg(test)]
mod tests;

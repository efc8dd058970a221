//! This VM's eventually consistent view of the fleet.
//!
//! The view is updated from the platform's list, load reports, upstream
//! responses and gossip. Requests never wait for an update: each item carries
//! its age, and upstream selection uses whatever is known.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use rand::seq::IndexedRandom;

use crate::{
    api::{
        membership::{Liveness, LivenessChange, Membership},
        platform_list::{ListedName, ListedRole, ListedState, VmList},
    },
    clock::BootInstant,
    event::Event,
    id::{DataHallId, Incarnation, ModelId, ServiceId, UpstreamId, VmId},
    message::{HeartbeatEntry, LoadEntry, ShortHash},
    placing::{
        owners::Roster,
        paths::RelayVm,
        upstream::{Serves, Upstream, UpstreamRecord, UpstreamSnapshot},
    },
    rendezvous,
    settings::PeerSettings,
};

/// Loads of local upstreams older than this are not gossiped on.
const LOCAL_MAX_AGE: Duration = Duration::from_secs(3);

/// Loads of upstreams in other halls older than this are not gossiped on.
const REMOTE_MAX_AGE: Duration = Duration::from_secs(30);

/// Maximum number of an upstream's versions that are gossiped on, so that its
/// load leaves room for those of others in a datagram.
const MAX_GOSSIPED_VERSIONS: usize = 32;

/// A listed entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub vm: VmId,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// Whether the platform lists it as about to stop.
    pub leaving: bool,
}

/// The listed upstreams, indexed by name, hash, model and service.
#[derive(Debug, Default)]
struct Upstreams {
    by_id: HashMap<UpstreamId, Arc<Upstream>>,
    by_hash: HashMap<ShortHash, Arc<Upstream>>,
    by_address: HashMap<SocketAddr, Arc<Upstream>>,
    by_model: HashMap<ModelId, Vec<Arc<Upstream>>>,
    by_service: HashMap<ServiceId, Vec<Arc<Upstream>>>,
}

impl Upstreams {
    fn new(all: Vec<Arc<Upstream>>) -> Upstreams {
        let mut upstreams = Upstreams::default();
        for upstream in all {
            let record = &upstream.record;
            match &record.serves {
                Serves::Model(model) => upstreams
                    .by_model
                    .entry(model.clone())
                    .or_default()
                    .push(upstream.clone()),
                Serves::Service(service) => upstreams
                    .by_service
                    .entry(service.clone())
                    .or_default()
                    .push(upstream.clone()),
            }
            upstreams.by_address.insert(record.address, upstream.clone());
            upstreams.by_hash.insert(upstream.short_hash, upstream.clone());
            upstreams.by_id.insert(record.id.clone(), upstream);
        }
        upstreams
    }
}

/// The upstreams and entry VMs that this VM knows, and their state.
pub struct FleetView {
    vm: VmId,
    data_hall: DataHallId,
    upstreams: RwLock<Arc<Upstreams>>,
    /// The listed entry VMs, this one included.
    vms: RwLock<Arc<Vec<Peer>>>,
    /// Those without this one.
    peers: RwLock<Arc<Vec<Peer>>>,
    /// The entry VMs, this one included, among which the owners of an
    /// upstream's rate limit are chosen.
    roster: RwLock<Roster>,
    members: Mutex<Membership>,
    list_read_at: Mutex<Option<BootInstant>>,
}

impl FleetView {
    /// Creates an empty view; `vm` is this VM.
    pub fn new(
        vm: VmId,
        data_hall: DataHallId,
        settings: &PeerSettings,
    ) -> FleetView {
        let members = Membership::new(
            ShortHash::of(vm.as_str()),
            settings.suspect_after,
            settings.dead_after,
        );
        FleetView {
            vm,
            data_hall,
            upstreams: RwLock::default(),
            vms: RwLock::default(),
            peers: RwLock::default(),
            roster: RwLock::default(),
            members: Mutex::new(members),
            list_read_at: Mutex::new(None),
        }
    }

    /// Returns this VM's name.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Returns this VM's data hall.
    pub fn data_hall(&self) -> &DataHallId {
        &self.data_hall
    }

    /// Replaces the known upstreams and peers by those of the platform's
    /// list.
    ///
    /// An upstream whose record is unchanged, or whose entry cannot be read,
    /// keeps its state. Returns the upstreams that are newly known to be
    /// leaving.
    pub fn apply_list(
        &self,
        list: &VmList,
        now: BootInstant,
    ) -> Vec<Arc<Upstream>> {
        let known = self.upstreams();
        let is_first_list = self.list_read_at().is_none();
        let mut newly_leaving = Vec::new();
        let mut all = Vec::new();
        let existing = |record: &UpstreamRecord| {
            let upstream = known.by_id.get(&record.id)?;
            (upstream.record == *record).then(|| upstream.clone())
        };
        let known_vms = self.vms.read().expect("view lock").clone();
        let entries = list.entries(|listed| match &listed.role {
            ListedRole::Entry { vm } => known_vms.iter().any(|known| {
                known.vm == *vm && known.address == listed.address
            }),
            _ => listed.upstream().is_some_and(|r| existing(&r).is_some()),
        });
        let mut vms = Vec::new();
        for listed in entries {
            let is_leaving = listed.state == ListedState::Leaving;
            if let ListedRole::Entry { vm } = &listed.role {
                vms.push(Peer {
                    vm: vm.clone(),
                    data_hall: listed.data_hall.clone(),
                    address: listed.address,
                    leaving: is_leaving,
                });
            }
            let Some(record) = listed.upstream() else { continue };
            let upstream = existing(&record).unwrap_or_else(|| {
                Arc::new(Upstream::new(record, !is_first_list, now))
            });
            // The list lags behind the other sources, so `Live` does not
            // clear a known `leaving`; only a changed record does.
            if is_leaving && upstream.mark_leaving() {
                newly_leaving.push(upstream.clone());
            }
            all.push(upstream);
        }
        let addresses: HashSet<SocketAddr> =
            all.iter().map(|upstream| upstream.record.address).collect();
        for (name, is_leaving) in list.unreadable_names() {
            match name {
                ListedName::Upstream(id) => {
                    let known = known.by_id.get(id).filter(|upstream| {
                        !addresses.contains(&upstream.record.address)
                    });
                    let Some(upstream) = known else { continue };
                    if is_leaving && upstream.mark_leaving() {
                        newly_leaving.push(upstream.clone());
                    }
                    all.push(upstream.clone());
                }
                ListedName::Vm(vm) => {
                    let known = known_vms.iter().find(|peer| peer.vm == *vm);
                    vms.extend(known.map(|peer| Peer {
                        leaving: peer.leaving || is_leaving,
                        ..peer.clone()
                    }));
                }
            }
        }
        *self.upstreams.write().expect("view lock") =
            Arc::new(Upstreams::new(all));
        *self.roster.write().expect("view lock") = build_roster(&vms);
        let peers = vms.iter().filter(|peer| peer.vm != self.vm).cloned();
        *self.peers.write().expect("view lock") = Arc::new(peers.collect());
        *self.vms.write().expect("view lock") = Arc::new(vms);
        *self.list_read_at.lock().expect("view lock") = Some(now);
        newly_leaving
    }

    /// Returns what upstream selection needs to know about an upstream,
    /// including the wait that its rate limit imposes on this VM.
    pub fn snapshot(
        &self,
        upstream: &Upstream,
        now: BootInstant,
    ) -> UpstreamSnapshot {
        let snapshot = upstream.snapshot(&self.data_hall, now);
        let (vm, hall) = (self.vm.as_str(), &upstream.record.data_hall);
        let state = &upstream.reported_state;
        let wait = state.rate_limit_wait(
            &self.roster,
            vm,
            upstream.short_hash,
            hall,
            now,
        );
        UpstreamSnapshot { backoff: snapshot.backoff.max(wait), ..snapshot }
    }

    /// Records that the list was read at `now` and had not changed.
    pub fn mark_list_unchanged(&self, now: BootInstant) {
        *self.list_read_at.lock().expect("view lock") = Some(now);
    }

    /// Returns when the list was last read; `None` before the first time.
    pub fn list_read_at(&self) -> Option<BootInstant> {
        *self.list_read_at.lock().expect("view lock")
    }

    /// Returns the replicas of a model.
    pub fn model_upstreams(&self, model: &ModelId) -> Vec<Arc<Upstream>> {
        self.upstreams().by_model.get(model).cloned().unwrap_or_default()
    }

    /// Returns the replicas of a plain service.
    pub fn service_upstreams(
        &self,
        service: &ServiceId,
    ) -> Vec<Arc<Upstream>> {
        let upstreams = self.upstreams();
        upstreams.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Returns all listed upstreams, in no particular order.
    pub fn all_upstreams(&self) -> Vec<Arc<Upstream>> {
        self.upstreams().by_id.values().cloned().collect()
    }

    /// Returns the upstream whose name has this short hash.
    pub fn upstream_by_hash(&self, hash: ShortHash) -> Option<Arc<Upstream>> {
        self.upstreams().by_hash.get(&hash).cloned()
    }

    /// Returns the upstream that listens at an address, if one is listed.
    pub(crate) fn upstream_at(
        &self,
        address: SocketAddr,
    ) -> Option<Arc<Upstream>> {
        self.upstreams().by_address.get(&address).cloned()
    }

    /// Returns the VMs that may connect to upstreams for this one. Heartbeats
    /// of other data halls may not reach this VM, so their VMs count as alive.
    pub(crate) fn relay_candidates(&self) -> Vec<RelayVm> {
        let members = self.members.lock().expect("members lock");
        let peers = self.peers();
        let candidates = peers.iter().filter(|peer| {
            let hash = ShortHash::of(peer.vm.as_str());
            let known = members.get(hash);
            known.is_none_or(|member| member.liveness == Liveness::Alive)
        });
        let relays = candidates.map(|peer| RelayVm {
            address: peer.address,
            is_same_hall: peer.data_hall == self.data_hall,
            is_leaving: peer.leaving,
        });
        relays.collect()
    }

    /// Returns the local upstreams whose load this VM polls.
    ///
    /// Each upstream is assigned to one live VM of the hall by rendezvous
    /// hashing.
    pub fn upstreams_to_poll(&self) -> Vec<Arc<Upstream>> {
        let vms = self.live_hall_vms();
        let is_assigned = |upstream: &Arc<Upstream>| {
            upstream.record.data_hall == self.data_hall && {
                let subject = upstream.record.id.as_str().as_bytes();
                let ranked =
                    rendezvous::rank(subject, vms.iter().map(VmId::as_str));
                ranked.first() == Some(&self.vm.as_str())
            }
        };
        self.all_upstreams().into_iter().filter(is_assigned).collect()
    }

    /// Returns all other entry VMs that the platform lists.
    pub fn peers(&self) -> Arc<Vec<Peer>> {
        self.peers.read().expect("view lock").clone()
    }

    /// Returns another entry VM by name, if it is listed.
    pub fn peer(&self, vm: &VmId) -> Option<Peer> {
        self.peers().iter().find(|peer| peer.vm == *vm).cloned()
    }

    /// Returns the other entry VMs of this hall that are believed alive.
    pub fn live_hall_peers(&self) -> Vec<Peer> {
        let members = self.members.lock().expect("members lock");
        self.peers()
            .iter()
            .filter(|peer| peer.data_hall == self.data_hall)
            .filter(|peer| members.is_alive(ShortHash::of(peer.vm.as_str())))
            .cloned()
            .collect()
    }

    /// Returns the live entry VMs of this hall, this one included, by name.
    pub fn live_hall_vms(&self) -> Vec<VmId> {
        let peers = self.live_hall_peers();
        let mut vms: Vec<VmId> =
            peers.into_iter().map(|peer| peer.vm).collect();
        vms.push(self.vm.clone());
        vms.sort();
        vms
    }

    /// Returns the live entry VMs of this hall, this one included, in
    /// rendezvous order for `subject`, the preferred one first.
    pub fn ranked_hall_vms(&self, subject: &[u8]) -> Vec<VmId> {
        let mut vms = self.live_hall_vms();
        vms.sort_by_cached_key(|vm| {
            let score = rendezvous::score(subject, vm.as_str().as_bytes());
            std::cmp::Reverse(score)
        });
        vms
    }

    /// Returns the data halls with listed entry VMs and this VM's own, by
    /// name.
    pub fn data_halls(&self) -> Vec<DataHallId> {
        let mut halls: BTreeSet<DataHallId> =
            self.peers().iter().map(|peer| peer.data_hall.clone()).collect();
        halls.insert(self.data_hall.clone());
        halls.into_iter().collect()
    }

    /// Records heartbeats and returns the changes in liveness.
    pub fn observe_heartbeats(
        &self,
        heartbeats: &[HeartbeatEntry],
        now: BootInstant,
    ) -> Vec<LivenessChange> {
        let mut members = self.members.lock().expect("members lock");
        heartbeats
            .iter()
            .filter_map(|heartbeat| members.observe(heartbeat, now))
            .collect()
    }

    /// Runs the failure detector; see [`Membership::tick`].
    pub fn tick(&self, now: BootInstant) -> Vec<LivenessChange> {
        self.members.lock().expect("members lock").tick(now)
    }

    /// Returns the latest heartbeats, to be gossiped on.
    pub fn heartbeats(&self, limit: usize) -> Vec<HeartbeatEntry> {
        self.members.lock().expect("members lock").heartbeats(limit)
    }

    /// Returns the latest known incarnation of another VM of this hall and
    /// its liveness; `None` where no heartbeat of it is known.
    pub fn liveness(&self, vm: &VmId) -> Option<(Incarnation, Liveness)> {
        let members = self.members.lock().expect("members lock");
        let member = members.get(ShortHash::of(vm.as_str()))?;
        Some((member.incarnation, member.liveness))
    }

    /// Returns the number of other VMs of this hall with this liveness.
    pub fn count(&self, liveness: Liveness) -> usize {
        self.members.lock().expect("members lock").count(liveness)
    }

    /// Merges the loads that another VM gossiped.
    ///
    /// Returns the upstreams that are newly known to be leaving.
    pub fn merge_loads(
        &self,
        entries: &[LoadEntry],
        now: BootInstant,
    ) -> Vec<Arc<Upstream>> {
        let mut newly_leaving = Vec::new();
        for entry in entries {
            let found = self.upstream_by_hash(entry.upstream);
            let Some(upstream) = found else { continue };
            let age = Duration::from_millis(entry.age_ms.into());
            let Some(at) = now.checked_sub(age) else { continue };
            upstream.set_load(
                entry.running.into(),
                entry.waiting.into(),
                entry.versions.clone(),
                at,
            );
            if entry.leaving && upstream.mark_leaving() {
                newly_leaving.push(upstream);
            }
        }
        newly_leaving
    }

    /// Returns loads to be gossiped on: the newest of local upstreams, and a
    /// random sample of those in other halls.
    ///
    /// A sample is enough for other halls: their load matters only when this
    /// hall cannot serve a request, and which versions they have loaded
    /// changes rarely.
    pub fn loads(
        &self,
        local_limit: usize,
        remote_limit: usize,
        now: BootInstant,
    ) -> Vec<LoadEntry> {
        let (local_upstreams, remote_upstreams): (Vec<_>, Vec<_>) = self
            .all_upstreams()
            .into_iter()
            .partition(|u| u.record.data_hall == self.data_hall);
        let mut entries: Vec<LoadEntry> = local_upstreams
            .iter()
            .filter_map(|upstream| load_entry(upstream, LOCAL_MAX_AGE, now))
            .collect();
        entries.sort_by_key(|entry| entry.age_ms);
        entries.truncate(local_limit);
        let sampled =
            remote_upstreams.choose_multiple(&mut rand::rng(), remote_limit);
        entries.extend(
            sampled.filter_map(|upstream| {
                load_entry(upstream, REMOTE_MAX_AGE, now)
            }),
        );
        entries
    }

    fn upstreams(&self) -> Arc<Upstreams> {
        self.upstreams.read().expect("view lock").clone()
    }
}

/// Collects the entry VMs that the platform lists as live.
fn build_roster(vms: &[Peer]) -> Roster {
    let mut roster = Roster::default();
    for vm in vms.iter().filter(|vm| !vm.leaving) {
        roster.add(vm.vm.as_str(), &vm.data_hall);
    }
    roster
}

fn load_entry(
    upstream: &Upstream,
    max_age: Duration,
    now: BootInstant,
) -> Option<LoadEntry> {
    let load = upstream.load()?;
    let age = now.saturating_duration_since(load.at);
    if age > max_age {
        return None;
    }
    let saturate = |value: u32| value.min(u16::MAX.into()) as u16;
    let mut versions = load.versions;
    versions.truncate(MAX_GOSSIPED_VERSIONS);
    Some(LoadEntry {
        upstream: upstream.short_hash,
        age_ms: age.as_millis() as u16,
        running: saturate(load.running),
        waiting: saturate(load.waiting),
        slots: upstream.record.slots,
        leaving: upstream.is_leaving(),
        versions,
    })
}

/// Logs an event for each change in the liveness of another VM.
pub(crate) fn log_liveness_changes(
    view: &FleetView,
    changes: &[LivenessChange],
) {
    for change in changes {
        let peers = view.peers();
        let name = peers
            .iter()
            .find(|peer| ShortHash::of(peer.vm.as_str()) == change.vm)
            .map_or("(not listed)", |peer| peer.vm.as_str());
        let event = match change.liveness {
            Liveness::Alive => Event::PeerAlive,
            Liveness::Suspected => Event::PeerSuspected,
            Liveness::Dead => Event::PeerDead,
            Liveness::Leaving => Event::PeerLeaving,
        };
        event.log(format_args!(
            "vm {name}, incarnation {}",
            change.incarnation
        ));
    }
}

//! What this VM believes about the fleet: always usable, never waited for.
//!
//! The view is fed by the platform's list, load reports, answers and gossip.
//! Each item carries its age, and the choice of an upstream reads them as
//! they are.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use rand::seq::IndexedRandom;

use crate::{
    api::{
        membership::{LifeChange, Liveness, Membership},
        platform_list::{ListedRole, ListedState, ListedVm},
    },
    clock::BootInstant,
    event::Event,
    id::{DataHallId, Incarnation, ModelId, ServiceId, UpstreamId, VmId},
    message::{HeartbeatEntry, LoadEntry, ShortHash},
    placing::{
        owners::Roster,
        upstream::{Serves, Upstream, UpstreamSnapshot},
    },
    rendezvous,
    settings::PeerSettings,
};

/// Load figures of the own hall older than this are not passed on.
const PASS_ON_AGE: Duration = Duration::from_secs(3);

/// Load figures of other halls older than this are not passed on.
const PASS_ON_AGE_REMOTE: Duration = Duration::from_secs(30);

/// Another entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub vm: VmId,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// The upstreams, by what they serve.
#[derive(Debug, Default)]
struct Upstreams {
    by_id: HashMap<UpstreamId, Arc<Upstream>>,
    by_short: HashMap<ShortHash, Arc<Upstream>>,
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
            upstreams.by_short.insert(upstream.short_hash, upstream.clone());
            upstreams.by_id.insert(record.id.clone(), upstream);
        }
        upstreams
    }
}

/// What this VM believes about the fleet.
pub struct View {
    vm: VmId,
    data_hall: DataHallId,
    upstreams: RwLock<Arc<Upstreams>>,
    peers: RwLock<Arc<Vec<Peer>>>,
    /// The entry VMs that may own a rate limit, this one included.
    roster: RwLock<Roster>,
    members: Mutex<Membership>,
    list_read_at: Mutex<Option<BootInstant>>,
}

impl View {
    /// Creates the view of a VM that knows nothing yet.
    pub fn new(
        vm: VmId,
        data_hall: DataHallId,
        settings: &PeerSettings,
    ) -> View {
        let members = Membership::new(
            ShortHash::of(vm.as_str()),
            settings.suspect_after,
            settings.dead_after,
        );
        View {
            vm,
            data_hall,
            upstreams: RwLock::default(),
            peers: RwLock::default(),
            roster: RwLock::default(),
            members: Mutex::new(members),
            list_read_at: Mutex::new(None),
        }
    }

    /// This VM's name.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// This VM's data hall.
    pub fn data_hall(&self) -> &DataHallId {
        &self.data_hall
    }

    /// Takes in the platform's list.
    ///
    /// Returns the upstreams that are leaving and were not known to be.
    pub fn take_list(
        &self,
        list: &[ListedVm],
        now: BootInstant,
    ) -> Vec<Arc<Upstream>> {
        let known = self.upstreams();
        let first = self.list_read_at().is_none();
        let mut newly_leaving = Vec::new();
        let mut all = Vec::new();
        for listed in list {
            let Some(record) = listed.upstream() else { continue };
            let held = known.by_id.get(&record.id);
            let upstream = match held.filter(|u| u.record == record) {
                Some(upstream) => upstream.clone(),
                None => Arc::new(Upstream::new(record, !first, now)),
            };
            match listed.state {
                ListedState::Leaving if upstream.mark_leaving() => {
                    newly_leaving.push(upstream.clone());
                }
                ListedState::Leaving => {}
                // The list lags: another source may know better for a while,
                // so only a replaced entry starts afresh.
                ListedState::Live => {}
            }
            all.push(upstream);
        }
        *self.upstreams.write().expect("view lock") =
            Arc::new(Upstreams::new(all));
        *self.peers.write().expect("view lock") =
            Arc::new(self.listed_peers(list));
        *self.roster.write().expect("view lock") = listed_roster(list);
        *self.list_read_at.lock().expect("view lock") = Some(now);
        newly_leaving
    }

    /// What the choice needs to know of an upstream.
    pub fn facts(
        &self,
        upstream: &Upstream,
        now: BootInstant,
    ) -> UpstreamSnapshot {
        let facts = upstream.snapshot(&self.data_hall, now);
        let (vm, hall) = (self.vm.as_str(), &upstream.record.data_hall);
        let word = &upstream.reported_state;
        let limit = word.rate_limit_wait(
            &self.roster,
            vm,
            upstream.short_hash,
            hall,
            now,
        );
        UpstreamSnapshot { backoff: facts.backoff.max(limit), ..facts }
    }

    /// Notes that the list was read and had not changed.
    pub fn list_unchanged(&self, now: BootInstant) {
        *self.list_read_at.lock().expect("view lock") = Some(now);
    }

    /// When the list was last read.
    pub fn list_read_at(&self) -> Option<BootInstant> {
        *self.list_read_at.lock().expect("view lock")
    }

    /// The replicas of a model.
    pub fn model_upstreams(&self, model: &ModelId) -> Vec<Arc<Upstream>> {
        self.upstreams().by_model.get(model).cloned().unwrap_or_default()
    }

    /// The replicas of a plain service.
    pub fn service_upstreams(
        &self,
        service: &ServiceId,
    ) -> Vec<Arc<Upstream>> {
        let upstreams = self.upstreams();
        upstreams.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Every upstream.
    pub fn all_upstreams(&self) -> Vec<Arc<Upstream>> {
        self.upstreams().by_id.values().cloned().collect()
    }

    /// The upstream of a short hash.
    pub fn upstream_by_short(
        &self,
        short: ShortHash,
    ) -> Option<Arc<Upstream>> {
        self.upstreams().by_short.get(&short).cloned()
    }

    /// The upstreams of this hall whose load this VM should ask for.
    pub fn upstreams_to_poll(&self) -> Vec<Arc<Upstream>> {
        let members = self.live_hall_vms();
        let mine = |upstream: &Arc<Upstream>| {
            upstream.record.data_hall == self.data_hall && {
                let subject = upstream.record.id.as_str().as_bytes();
                let ranked = rendezvous::rank(
                    subject,
                    members.iter().map(VmId::as_str),
                );
                ranked.first() == Some(&self.vm.as_str())
            }
        };
        self.all_upstreams().into_iter().filter(mine).collect()
    }

    /// All other entry VMs that the platform lists.
    pub fn peers(&self) -> Arc<Vec<Peer>> {
        self.peers.read().expect("view lock").clone()
    }

    /// The entry VM of a name.
    pub fn peer(&self, vm: &VmId) -> Option<Peer> {
        self.peers().iter().find(|peer| peer.vm == *vm).cloned()
    }

    /// The other entry VMs of this hall that live, as far as known.
    pub fn live_hall_peers(&self) -> Vec<Peer> {
        let members = self.members.lock().expect("members lock");
        self.peers()
            .iter()
            .filter(|peer| peer.data_hall == self.data_hall)
            .filter(|peer| members.is_alive(ShortHash::of(peer.vm.as_str())))
            .cloned()
            .collect()
    }

    /// The live entry VMs of this hall, this one included, sorted.
    pub fn live_hall_vms(&self) -> Vec<VmId> {
        let peers = self.live_hall_peers();
        let mut vms: Vec<VmId> =
            peers.into_iter().map(|peer| peer.vm).collect();
        vms.push(self.vm.clone());
        vms.sort();
        vms
    }

    /// The live entry VMs of this hall in the order in which they come into
    /// question for `subject`.
    pub fn ranked_hall_vms(&self, subject: &[u8]) -> Vec<VmId> {
        let mut vms = self.live_hall_vms();
        vms.sort_by_cached_key(|vm| {
            let score = rendezvous::score(subject, vm.as_str().as_bytes());
            std::cmp::Reverse(score)
        });
        vms
    }

    /// The data halls with entry VMs, this one included, sorted.
    pub fn data_halls(&self) -> Vec<DataHallId> {
        let mut halls: BTreeSet<DataHallId> =
            self.peers().iter().map(|peer| peer.data_hall.clone()).collect();
        halls.insert(self.data_hall.clone());
        halls.into_iter().collect()
    }

    /// Takes in signs of life.
    pub fn observe_beats(
        &self,
        beats: &[HeartbeatEntry],
        now: BootInstant,
    ) -> Vec<LifeChange> {
        let mut members = self.members.lock().expect("members lock");
        beats.iter().filter_map(|beat| members.observe(beat, now)).collect()
    }

    /// Judges silence.
    pub fn tick(&self, now: BootInstant) -> Vec<LifeChange> {
        self.members.lock().expect("members lock").tick(now)
    }

    /// The latest signs of life.
    pub fn beats(&self, limit: usize) -> Vec<HeartbeatEntry> {
        self.members.lock().expect("members lock").beats(limit)
    }

    /// The life that is believed of a VM of this hall.
    pub fn liveness(&self, vm: &VmId) -> Option<(Incarnation, Liveness)> {
        let members = self.members.lock().expect("members lock");
        let member = members.get(ShortHash::of(vm.as_str()))?;
        Some((member.incarnation, member.life))
    }

    /// The number of other VMs of this hall, by belief.
    pub fn count(&self, life: Liveness) -> usize {
        self.members.lock().expect("members lock").count(life)
    }

    /// Takes in load figures that another VM passed on.
    ///
    /// Returns the upstreams that are leaving and were not known to be.
    pub fn take_loads(
        &self,
        entries: &[LoadEntry],
        now: BootInstant,
    ) -> Vec<Arc<Upstream>> {
        let mut newly_leaving = Vec::new();
        for entry in entries {
            let found = self.upstream_by_short(entry.upstream);
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

    /// Loads for passing on: the newest of this hall's upstreams, and some
    /// of other halls' drawn at random.
    ///
    /// What other halls have loaded changes rarely, and matters when this
    /// hall cannot serve a request.
    pub fn loads(
        &self,
        local: usize,
        remote: usize,
        now: BootInstant,
    ) -> Vec<LoadEntry> {
        let (near, far): (Vec<_>, Vec<_>) = self
            .all_upstreams()
            .into_iter()
            .partition(|u| u.record.data_hall == self.data_hall);
        let mut entries: Vec<LoadEntry> = near
            .iter()
            .filter_map(|upstream| load_entry(upstream, PASS_ON_AGE, now))
            .collect();
        entries.sort_by_key(|entry| entry.age_ms);
        entries.truncate(local);
        let drawn = far.choose_multiple(&mut rand::rng(), remote);
        entries.extend(drawn.filter_map(|upstream| {
            load_entry(upstream, PASS_ON_AGE_REMOTE, now)
        }));
        entries
    }

    fn upstreams(&self) -> Arc<Upstreams> {
        self.upstreams.read().expect("view lock").clone()
    }

    fn listed_peers(&self, list: &[ListedVm]) -> Vec<Peer> {
        let peers = list.iter().filter_map(|listed| {
            let ListedRole::Entry { vm } = &listed.role else {
                return None;
            };
            (*vm != self.vm).then(|| Peer {
                vm: vm.clone(),
                data_hall: listed.data_hall.clone(),
                address: listed.address,
                leaving: listed.state == ListedState::Leaving,
            })
        });
        peers.collect()
    }
}

/// The entry VMs that the platform lists and that take requests.
fn listed_roster(list: &[ListedVm]) -> Roster {
    let mut roster = Roster::default();
    for listed in list.iter().filter(|one| one.state == ListedState::Live) {
        if let ListedRole::Entry { vm } = &listed.role {
            roster.add(vm.as_str(), &listed.data_hall);
        }
    }
    roster
}

fn load_entry(
    upstream: &Upstream,
    oldest: Duration,
    now: BootInstant,
) -> Option<LoadEntry> {
    let load = upstream.load()?;
    let age = now.saturating_duration_since(load.at);
    if age > oldest {
        return None;
    }
    let small = |value: u32| value.min(u16::MAX.into()) as u16;
    Some(LoadEntry {
        upstream: upstream.short_hash,
        age_ms: age.as_millis() as u16,
        running: small(load.running),
        waiting: small(load.waiting),
        slots: upstream.record.slots,
        leaving: upstream.is_leaving(),
        versions: load.versions,
    })
}

/// Logs what changed in the belief about other VMs.
pub(crate) fn log_life_changes(view: &View, changes: &[LifeChange]) {
    for change in changes {
        let peers = view.peers();
        let name = peers
            .iter()
            .find(|peer| ShortHash::of(peer.vm.as_str()) == change.vm)
            .map_or("(not listed)", |peer| peer.vm.as_str());
        let event = match change.life {
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

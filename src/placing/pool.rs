//! The upstream pool: all upstreams of all services as this VM sees them, and
//! the selection of one for each attempt.
//!
//! The member table is copied on write, so that each selection works on one
//! consistent snapshot.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    clock::BootInstant,
    id::{DataHallId, ServiceId, UpstreamId, VersionId},
    message::ShortHash,
    placing::{
        admission::MIN_UTILIZATION_LIMIT,
        event_gap,
        gossip_outbox::GossipOutbox,
        hall_link::HallLink,
        member::{EntryRelation, Member, UpstreamEntry, UpstreamState},
        memory::{MemoryNeed, PeerMemory},
        owners::Roster,
        recent_version::RecentVersions,
        reported_state::UnlistedStates,
        slowness,
        warm_up::{self, WarmUp, WarmUpSlack},
    },
    rendezvous,
    scheduling::slot_request::EligibleUpstream,
};

/// Penalty, in requests per slot, for an upstream in another data hall: the
/// link adds a few milliseconds and uses bandwidth between halls.
const OTHER_HALL_UTILIZATION: f64 = 0.05;

/// Estimated time that each running request adds to the prefill of a prompt on
/// the same engine.
const RUNNING_REQUEST_COST: Duration = Duration::from_micros(600);

/// Share of the cache miss cost that is charged to the second upstream in the
/// order of a prefix: it receives the prompt when the first one is busy, and
/// so often has it cached as well.
const SECOND_CHOICE_MISS_SHARE: f64 = 0.5;

/// Silence after which the streams of an upstream in a partitioned data hall
/// are given up.
const PARTITION_SILENCE: Duration = Duration::from_millis(250);

/// Cost of a failed attempt, as the extra wait that is accepted to avoid one:
/// an attempt of the retry budget, and the time until the failure is detected.
/// An upstream that fails immediately always looks idle, and would be the
/// first choice of every VM. In the simulation in `pool::simulation_tests` (32
/// VMs, 32 engines, four of which die), 72 attempts fail in the first second
/// with this cost and 106 without; 39 if VMs also report failures to each
/// other.
const FAILURE_COST: Duration = Duration::from_millis(500);

/// The same cost for selection by utilization, in requests per slot.
const FAILURE_UTILIZATION: f64 = 1.0;

/// Interval at which work reported by VMs that have since fallen silent is
/// expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Weight of a new sample in the moving average of the prefill time.
const MEAN_PREFILL_WEIGHT: f64 = 0.05;

/// Interval at which the slowness of the upstreams is derived from the
/// recorded times.
const SLOWNESS_INTERVAL: Duration = Duration::from_millis(500);

/// Upstreams at the head of the order of a prefix for which it counts that
/// they are faster than others.
const FAST_CHOICES: usize = 3;

/// Share of the prompt's own prefill time that counts for the choice between
/// upstreams of different speed. With the whole time, slow upstreams are idle
/// while prompts wait at the others, since backlogs are known late.
const OWN_PREFILL_SHARE: f64 = 0.3;

/// Own prefill time, in mean prefill times, of which only this share counts.
/// The backlog that is not known yet is about one or two prompts; what the
/// prompt itself takes beyond that is the larger part of its wait.
const SHARED_OWN_PREFILLS: u32 = 2;

/// Price of one stream with a pause above its target, in seconds of wait: the
/// order of magnitude of the latency targets (1.5 s to 4 s), at which a caller
/// loses at least half of the value of its answer.
const LATE_STREAM_COST_S: f64 = 1.0;

/// Expected times to the first event that are taken for equal if upstreams
/// have reported how slow they are: VMs that read the same reports would
/// otherwise all choose the same upstream.
const EQUAL_WAIT: Duration = Duration::from_millis(10);

/// The same for selection by utilization, in requests per slot.
const EQUAL_UTILIZATION: f64 = 0.1;

/// Which software versions of a service may answer a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version.
    #[default]
    Any,
    /// This version, or any other if it has no usable upstream.
    Prefer(VersionId),
    /// Any version but this one, or this one if no other has an upstream that
    /// takes requests.
    Avoid(VersionId),
    /// Any version but this one, without exception.
    Never(VersionId),
}

/// A prompt prefix that an upstream may have in its prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixAffinity {
    /// Hash of the longest prefix that is shared with other requests.
    pub prefix_hash: u64,
    /// Cost of a cache miss, as the extra wait that is accepted to avoid one.
    pub cache_miss_cost: Duration,
}

/// How busy the upstreams are that may take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Their mean utilization, in requests per slot.
    pub utilization: f64,
    /// Their mean prefill backlog.
    pub mean_prefill_backlog: Duration,
    /// The prefill backlog of the one with the smallest.
    pub least_prefill_backlog: Duration,
}

/// How full the upstreams are that may take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fullness {
    /// Their mean number of requests per slot, as a share of the utilization
    /// at which an upstream counts as full. Requests beyond that leave the
    /// slots of the other upstreams free, and do not count.
    pub(crate) share: f64,
    /// Their slots.
    pub(crate) slots: u32,
}

impl ServiceLoad {
    /// The load of a service of which no upstream may take a request.
    const FULL: ServiceLoad = ServiceLoad {
        utilization: 1.0,
        mean_prefill_backlog: Duration::ZERO,
        least_prefill_backlog: Duration::ZERO,
    };
}

/// The criteria by which an upstream is picked for one attempt.
#[derive(Clone, Debug)]
pub struct PickCriteria<'a> {
    /// Which software versions may answer.
    pub rule: VersionRule,
    /// The prefix that the chosen upstream should have cached.
    pub affinity: Option<PrefixAffinity>,
    /// Expected prefill time of the part of the prompt that no upstream has
    /// cached; matters only if upstreams differ in speed, or with a target for
    /// pauses.
    pub own_prefill: Duration,
    /// Expected prefill time of the prefix where it is not cached; matters
    /// only with a target for pauses.
    pub prefix_prefill: Duration,
    /// The longest pause between two events that the caller of the stream
    /// accepts; `None` if pauses do not matter.
    pub event_gap_target: Option<Duration>,
    /// The memory that the request needs; `None` if it does not matter.
    pub memory: Option<MemoryNeed>,
    /// Withdrawn software versions, which never answer.
    pub withdrawn: &'a [VersionId],
    /// Hashes of the upstream incarnations that were tried before.
    pub tried: &'a [ShortHash],
    /// Utilization (requests per slot) at which an upstream counts as full;
    /// the request is rejected if every upstream has reached it.
    pub max_utilization: f64,
}

impl PickCriteria<'_> {
    /// Whether the rule is to avoid the version of an upstream.
    fn avoids(&self, member: &Member) -> bool {
        match &self.rule {
            VersionRule::Avoid(version) | VersionRule::Never(version) => {
                member.entry.software == *version
            }
            VersionRule::Any | VersionRule::Prefer(_) => false,
        }
    }
}

impl Default for PickCriteria<'_> {
    /// Criteria that accept any upstream that is not full.
    fn default() -> Self {
        PickCriteria {
            rule: VersionRule::Any,
            affinity: None,
            own_prefill: Duration::ZERO,
            prefix_prefill: Duration::ZERO,
            event_gap_target: None,
            memory: None,
            withdrawn: &[],
            tried: &[],
            max_utilization: MIN_UTILIZATION_LIMIT,
        }
    }
}

/// Which VM's share of a limit over all VMs a request counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitShare {
    /// This VM's.
    Own,
    /// That of another VM, which lends a permit.
    Lender,
}

/// Why no upstream could be picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// No known upstream may take the request.
    NoCandidate,
    /// All upstreams are in evacuated data halls.
    Evacuated,
    /// All upstreams have asked to back off; the earliest one may be sent a
    /// request after this time.
    BackingOff(Duration),
    /// All upstreams are cold and have as many requests as their warm-up limit
    /// allows.
    Cold,
    /// All upstreams have reached the utilization limit.
    Full,
}

#[derive(Debug, Default)]
struct Members {
    by_id: HashMap<UpstreamId, Arc<Member>>,
    by_service: HashMap<ServiceId, Vec<Arc<Member>>>,
    by_short_hash: HashMap<ShortHash, Arc<Member>>,
    by_address: HashMap<SocketAddr, Arc<Member>>,
    recent_versions: RecentVersions,
}

/// The upstreams at which each other VM has last reported work, so that its
/// next report is applied without visiting every upstream: with 3,000
/// upstreams, a heartbeat is applied within 10 µs instead of 285 µs (loop in a
/// release build).
#[derive(Debug, Default)]
struct PeerWorkIndex {
    upstreams_by_vm: HashMap<String, Vec<ShortHash>>,
    expired_at: Option<BootInstant>,
}

impl PeerWorkIndex {
    /// Whether expired work should be removed now; if so, restarts the
    /// interval.
    fn is_due(&mut self, now: BootInstant) -> bool {
        let is_due = self.expired_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= EXPIRY_INTERVAL
        });
        if is_due {
            self.expired_at = Some(now);
        }
        is_due
    }
}

/// The upstreams of all services.
#[derive(Debug)]
pub struct Pool {
    vm: String,
    data_hall: DataHallId,
    slack: WarmUpSlack,
    /// Warm-up settings of each service that limits requests to cold
    /// upstreams.
    warm_ups: RwLock<HashMap<ServiceId, WarmUp>>,
    roster: RwLock<Roster>,
    members: RwLock<Arc<Members>>,
    /// Data halls whose upstreams receive no new requests.
    evacuated: RwLock<HashSet<DataHallId>>,
    links: Mutex<HashMap<DataHallId, Arc<HallLink>>>,
    /// Moving average of the prefill time of a prompt, in microseconds.
    mean_prefill_us: AtomicU32,
    /// What is due to be reported to the other VMs.
    outbox: Mutex<GossipOutbox>,
    peer_work: Mutex<PeerWorkIndex>,
    peer_memory: Mutex<PeerMemory>,
    /// Whether any times of requests were recorded since all upstreams were
    /// last known to be equally fast.
    has_time_ratios: AtomicBool,
    /// When the slowness of the upstreams was last derived.
    slowness_updated_at: Mutex<Option<BootInstant>>,
    /// Number of choices that the price of pauses has changed.
    choices_changed_by_pauses: AtomicU64,
    /// Reported state of incarnations that are not in the pool.
    unlisted: Mutex<UnlistedStates>,
}

impl Pool {
    /// Creates an empty pool for a VM in `data_hall`.
    pub fn new(vm: &str, data_hall: DataHallId, slack: WarmUpSlack) -> Pool {
        Pool {
            vm: vm.to_owned(),
            data_hall,
            slack,
            warm_ups: RwLock::default(),
            roster: RwLock::default(),
            members: RwLock::default(),
            evacuated: RwLock::default(),
            links: Mutex::default(),
            mean_prefill_us: AtomicU32::new(0),
            outbox: Mutex::default(),
            peer_work: Mutex::default(),
            peer_memory: Mutex::default(),
            has_time_ratios: AtomicBool::new(false),
            slowness_updated_at: Mutex::default(),
            choices_changed_by_pauses: AtomicU64::new(0),
            unlisted: Mutex::default(),
        }
    }

    /// Adds or updates the record of an upstream; returns whether this began
    /// an incarnation that was not known before.
    ///
    /// Nothing that is known of one incarnation carries over to the next. A
    /// record of an earlier incarnation is ignored, however late it arrives.
    pub fn set(&self, entry: UpstreamEntry, now: BootInstant) -> bool {
        let known = self.member(&entry.id);
        let Some(known) = known else {
            self.add_incarnation(entry, now);
            return true;
        };
        match entry.relation_to(&known.recorded_entry()) {
            EntryRelation::Earlier => return false,
            EntryRelation::Same => {
                known.update(&entry, now);
                return false;
            }
            EntryRelation::Changed => {
                known.upstream.mark_leaving();
            }
            EntryRelation::Later => known.mark_superseded(),
        }
        self.add_incarnation(entry, now);
        true
    }

    fn add_incarnation(&self, entry: UpstreamEntry, now: BootInstant) {
        let link = self.link(&entry.data_hall);
        let incarnation = ShortHash::of(&entry.incarnation().to_string());
        let reported_state =
            self.unlisted.lock().expect("unlisted lock").take(incarnation);
        let member = Arc::new(Member::new(entry, reported_state, link, now));
        if member.entry.state == UpstreamState::Leaving {
            member.upstream.mark_leaving();
        }
        self.update_members(|by_id| {
            by_id.insert(member.entry.id.clone(), member.clone());
        });
    }

    /// Handles the deletion of an upstream's record.
    ///
    /// The upstream is used for `grace` unless its record returns; none if the
    /// deletion can only mean that it is leaving.
    pub fn remove(&self, id: &UpstreamId, grace: Duration, now: BootInstant) {
        let Some(member) = self.member(id) else { return };
        if grace.is_zero() {
            member.upstream.mark_leaving();
            // The record may merely have expired, so the reported state is
            // kept in case it returns.
            let state = member.upstream.reported_state.clone();
            let mut unlisted = self.unlisted.lock().expect("unlisted lock");
            unlisted.keep(member.upstream.short_hash, state, now);
            self.update_members(|by_id| {
                by_id.remove(id);
            });
            return;
        }
        let mut used_until = member.used_until.lock().expect("use lock");
        used_until.get_or_insert(now + grace);
    }

    /// Removes upstreams whose record vanished and did not return within the
    /// grace period; returns their names.
    pub fn sweep(&self, now: BootInstant) -> Vec<UpstreamId> {
        let gone: Vec<UpstreamId> = self
            .all()
            .iter()
            .filter(|member| {
                let until = *member.used_until.lock().expect("use lock");
                until.is_some_and(|until| until <= now)
            })
            .map(|member| member.entry.id.clone())
            .collect();
        for id in &gone {
            self.remove(id, Duration::ZERO, now);
        }
        gone
    }

    /// Records a heartbeat from a VM in a data hall: the link to the hall is
    /// up, and failures to connect are the fault of single upstreams.
    pub fn record_hall_heartbeat(&self, hall: &DataHallId, now: BootInstant) {
        self.link(hall).record_heartbeat(now);
    }

    /// Stops sending requests to the upstreams of a data hall; returns whether
    /// it was not evacuated before. Requests in flight run to completion.
    pub fn evacuate(&self, hall: &DataHallId) -> bool {
        let mut evacuated = self.evacuated.write().expect("halls lock");
        evacuated.insert(hall.clone())
    }

    /// Resumes sending requests to the upstreams of a data hall; returns
    /// whether it was evacuated.
    ///
    /// The upstreams may have gone cold just before, which their records show
    /// up to a heartbeat later; until then they are treated as cold.
    pub fn end_evacuation(&self, hall: &DataHallId, now: BootInstant) -> bool {
        let was_evacuated =
            self.evacuated.write().expect("halls lock").remove(hall);
        if was_evacuated {
            let members = self.all();
            let there = members.iter().filter(|m| m.entry.data_hall == *hall);
            for member in there {
                if let Some(warm_up) = self.warm_up(&member.entry.service) {
                    member.mark_cold_until(now + warm_up.time);
                }
            }
        }
        was_evacuated
    }

    /// Sets the warm-up settings of the services for which operators limit
    /// requests to cold upstreams.
    pub fn set_warm_ups(&self, warm_ups: HashMap<ServiceId, WarmUp>) {
        *self.warm_ups.write().expect("warm-up lock") = warm_ups;
    }

    fn warm_up(&self, service: &ServiceId) -> Option<WarmUp> {
        let warm_ups = self.warm_ups.read().expect("warm-up lock");
        warm_ups.get(service).copied()
    }

    /// Adds a VM that is recorded in the store.
    pub fn add_vm(&self, vm: &str, hall: &DataHallId) {
        self.roster.write().expect("roster lock").add(vm, hall);
    }

    /// Removes a VM that is no longer recorded in the store.
    pub fn remove_vm(&self, vm: &str) {
        self.roster.write().expect("roster lock").remove(vm);
    }

    /// Whether this VM's share of the warm-up limit allows another request to
    /// a cold upstream.
    fn may_send_cold(
        &self,
        member: &Member,
        warm_up: WarmUp,
        now: BootInstant,
    ) -> bool {
        let share = self.cold_share(member, warm_up);
        let mut sends = member.cold_sends.lock().expect("cold sends lock");
        sends.has_capacity(share, now)
    }

    /// Requests within a second that this VM may send to a cold upstream, or
    /// lend permits for; zero if it is not an owner.
    fn cold_share(&self, member: &Member, warm_up: WarmUp) -> usize {
        let roster = self.roster.read().expect("roster lock");
        let (short_hash, hall) =
            (member.upstream.short_hash, &member.entry.data_hall);
        let most = warm_up.max_requests(self.slack);
        warm_up::vm_share(&roster, &self.vm, short_hash, hall, most)
    }

    /// How long this VM must not send requests to an upstream, because of its
    /// `Retry-After` or rate limit; zero if it may send one now.
    pub fn backoff(&self, member: &Member, now: BootInstant) -> Duration {
        member.backoff_left(now).max(self.rate_limit_wait(member, now))
    }

    fn rate_limit_wait(&self, member: &Member, now: BootInstant) -> Duration {
        let (short_hash, hall) =
            (member.upstream.short_hash, &member.entry.data_hall);
        let state = &member.upstream.reported_state;
        state.rate_limit_wait(&self.roster, &self.vm, short_hash, hall, now)
    }

    fn link(&self, hall: &DataHallId) -> Arc<HallLink> {
        let mut links = self.links.lock().expect("links lock");
        if let Some(link) = links.get(hall) {
            return link.clone();
        }
        links.entry(hall.clone()).or_default().clone()
    }

    /// Whether the data hall of an upstream seems to be partitioned from this
    /// VM. The VM's own hall never does: if its upstreams cannot be reached,
    /// the fault is theirs.
    fn is_partitioned(&self, member: &Member, now: BootInstant) -> bool {
        member.entry.data_hall != self.data_hall
            && member.link.is_partitioned(now)
    }

    /// Whether an upstream from which a response has been awaited for `waited`
    /// has been silent for too long to expect one. `limit` applies while the
    /// link to its data hall is up.
    pub fn seems_dead(
        &self,
        member: &Member,
        waited: Duration,
        limit: Duration,
        now: BootInstant,
    ) -> bool {
        let limit = match self.is_partitioned(member, now) {
            true => limit.min(PARTITION_SILENCE),
            false => limit,
        };
        // An upstream that had nothing to answer may be silent.
        member.silence(now).min(waited) >= limit
    }

    /// Returns the upstream with this name.
    pub fn member(&self, id: &UpstreamId) -> Option<Arc<Member>> {
        self.members().by_id.get(id).cloned()
    }

    /// Returns the upstream that listens at an address, if one is known.
    pub(crate) fn member_at(
        &self,
        address: SocketAddr,
    ) -> Option<Arc<Member>> {
        self.members().by_address.get(&address).cloned()
    }

    /// Returns the upstream of an incarnation, if it is known.
    pub(crate) fn incarnation(
        &self,
        upstream: ShortHash,
    ) -> Option<Arc<Member>> {
        self.members().by_short_hash.get(&upstream).cloned()
    }

    /// Returns all upstreams.
    pub fn all(&self) -> Vec<Arc<Member>> {
        self.members().by_id.values().cloned().collect()
    }

    /// Returns the upstreams of a service.
    pub fn of_service(&self, service: &ServiceId) -> Vec<Arc<Member>> {
        self.members().by_service.get(service).cloned().unwrap_or_default()
    }

    /// Returns the version of a service whose first upstream was listed only
    /// recently, and after another version's.
    pub fn recent_version(
        &self,
        service: &ServiceId,
        now: BootInstant,
    ) -> Option<VersionId> {
        self.members().recent_versions.of(service, now).cloned()
    }

    /// Picks the upstream for one attempt, and counts the request against its
    /// warm-up, backoff and rate limits.
    ///
    /// # Errors
    ///
    /// Returns a [`PickError`] if no upstream may take the request.
    pub fn pick(
        &self,
        service: &ServiceId,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Result<Arc<Member>, PickError> {
        let members = self.members();
        self.update_slowness(now);
        let eligible = self.candidates(&members, service, criteria, now)?;
        let chosen = match criteria.affinity {
            Some(affinity) => {
                self.shortest_wait(affinity, criteria, &eligible, now)
            }
            None => self.least_utilized(&eligible, now),
        };
        count_request(chosen, now);
        Ok(chosen.clone())
    }

    /// Returns the upstreams that may take an attempt, whatever the
    /// utilization of each is, without counting a request.
    ///
    /// # Errors
    ///
    /// Returns a [`PickError`] other than [`PickError::Full`] if there are
    /// none.
    pub(crate) fn eligible_upstreams(
        &self,
        service: &ServiceId,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Result<Vec<EligibleUpstream>, PickError> {
        let members = self.members();
        let all = members.by_service.get(service);
        let all = all.map_or(&[][..], Vec::as_slice);
        let eligible =
            self.eligible(all, service, criteria, LimitShare::Own, now)?;
        let upstreams = eligible.iter().map(|member| EligibleUpstream {
            upstream: member.upstream.short_hash,
            slots: member.entry.slots,
        });
        Ok(upstreams.collect())
    }

    /// Picks a given upstream for one attempt whatever its utilization is, and
    /// counts the request as [`Pool::pick`] does; returns `None` if the
    /// upstream may not take it.
    pub(crate) fn pick_upstream(
        &self,
        service: &ServiceId,
        upstream: ShortHash,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Option<Arc<Member>> {
        let share = LimitShare::Own;
        let chosen =
            self.find_eligible(service, upstream, criteria, share, now)?;
        count_request(&chosen, now);
        Some(chosen)
    }

    /// Returns a given upstream if it may take a request.
    fn find_eligible(
        &self,
        service: &ServiceId,
        upstream: ShortHash,
        criteria: &PickCriteria<'_>,
        share: LimitShare,
        now: BootInstant,
    ) -> Option<Arc<Member>> {
        let members = self.members();
        let all = members.by_service.get(service)?;
        let eligible = self.eligible(all, service, criteria, share, now);
        let mut eligible = eligible.ok()?.into_iter();
        let chosen =
            eligible.find(|member| member.upstream.short_hash == upstream)?;
        Some(chosen.clone())
    }

    /// Returns the number of slots of the upstreams of a service that take
    /// requests and are not partitioned from this VM.
    pub(crate) fn slots(&self, service: &ServiceId, now: BootInstant) -> u32 {
        let members = self.members();
        let Some(all) = members.by_service.get(service) else { return 0 };
        let taking = all.iter().filter(|member| {
            member.takes_requests(now) && !self.is_partitioned(member, now)
        });
        taking.map(|member| u32::from(member.entry.slots)).sum()
    }

    /// Returns how full the upstreams are that may take an attempt; `None` if
    /// there are none.
    ///
    /// In large fleets, most VMs of other data halls report less often than
    /// reports expire. What an upstream has last reported of all its requests
    /// therefore counts for as long as those reports; with the shorter time
    /// for which it counts when an upstream is picked, services that are full
    /// would seem to have room.
    pub(crate) fn fullness(
        &self,
        service: &ServiceId,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Option<Fullness> {
        let members = self.members();
        let all = members.by_service.get(service)?;
        let eligible = self
            .eligible(all, service, criteria, LimitShare::Own, now)
            .ok()?;
        let used = eligible.iter().map(|member| {
            let used = member.last_reported_utilization(now);
            (used / criteria.max_utilization).min(1.0)
        });
        let slots = eligible.iter().map(|m| u32::from(m.entry.slots));
        Some(Fullness {
            share: used.sum::<f64>() / eligible.len() as f64,
            slots: slots.sum(),
        })
    }

    /// Whether the link to a data hall seems to be down, as seen by this VM;
    /// never for its own.
    pub(crate) fn is_hall_partitioned(
        &self,
        hall: &DataHallId,
        now: BootInstant,
    ) -> bool {
        *hall != self.data_hall && self.link(hall).is_partitioned(now)
    }

    /// Whether anything has arrived from a data hall after a time.
    pub(crate) fn is_hall_active_since(
        &self,
        hall: &DataHallId,
        at: BootInstant,
    ) -> bool {
        self.link(hall).is_active_since(at)
    }

    /// Whether [`Pool::pick`] would find an upstream, without counting a
    /// request.
    pub fn can_pick(
        &self,
        service: &ServiceId,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> bool {
        self.candidates(&self.members(), service, criteria, now).is_ok()
    }

    /// Returns the load of the upstreams of which an attempt may pick one.
    pub fn service_load(
        &self,
        service: &ServiceId,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> ServiceLoad {
        let members = self.members();
        let candidates = self.candidates(&members, service, criteria, now);
        let Ok(candidates) = candidates else { return ServiceLoad::FULL };
        let used = candidates.iter().map(|member| member.utilization(now));
        let backlogs = candidates.iter().map(|m| m.prefill_backlog(now));
        let backlogs: Vec<Duration> = backlogs.collect();
        let count = candidates.len();
        ServiceLoad {
            utilization: used.sum::<f64>() / count as f64,
            mean_prefill_backlog: backlogs
                .iter()
                .sum::<Duration>()
                .div_f64(count as f64),
            least_prefill_backlog: backlogs
                .into_iter()
                .min()
                .unwrap_or_default(),
        }
    }

    /// Returns the upstreams from which an attempt may pick, or the reason why
    /// there are none.
    fn candidates<'a>(
        &self,
        members: &'a Members,
        service: &ServiceId,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Result<Vec<&'a Arc<Member>>, PickError> {
        let all = members.by_service.get(service);
        let all = all.map_or(&[][..], Vec::as_slice);
        let eligible =
            self.eligible(all, service, criteria, LimitShare::Own, now)?;
        if eligible
            .iter()
            .all(|member| member.utilization(now) >= criteria.max_utilization)
        {
            return Err(PickError::Full);
        }
        Ok(self.with_free_memory(eligible, criteria.memory.as_ref()))
    }

    /// Excludes the upstreams whose memory a request would exceed, unless that
    /// excludes all.
    fn with_free_memory<'a>(
        &self,
        eligible: Vec<&'a Arc<Member>>,
        need: Option<&MemoryNeed>,
    ) -> Vec<&'a Arc<Member>> {
        let Some(need) = need else { return eligible };
        let peers = self.peer_memory.lock().expect("peer memory lock");
        let has_room = |member: &&Arc<Member>| {
            let by_peers = peers.tokens(member.upstream.short_hash);
            member.own_memory.tokens_with(need) + by_peers
                <= need.capacity_tokens
        };
        let free: Vec<&Arc<Member>> =
            eligible.iter().copied().filter(has_room).collect();
        if free.is_empty() { eligible } else { free }
    }

    /// Returns the upstreams of `all` that may take a request: the healthy
    /// ones, or all of them if none is healthy.
    fn eligible<'a>(
        &self,
        all: &'a [Arc<Member>],
        service: &ServiceId,
        criteria: &PickCriteria<'_>,
        share: LimitShare,
        now: BootInstant,
    ) -> Result<Vec<&'a Arc<Member>>, PickError> {
        let may_answer =
            |m: &&Arc<Member>| !criteria.withdrawn.contains(&m.entry.software);
        let eligible: Vec<&Arc<Member>> = all
            .iter()
            .filter(|m| is_eligible(m, criteria.tried, now))
            .filter(may_answer)
            .collect();
        if eligible.is_empty() {
            return Err(PickError::NoCandidate);
        }
        let eligible = self.without_evacuated(eligible);
        if eligible.is_empty() {
            return Err(PickError::Evacuated);
        }
        // This comes before the temporary exclusions below, so that a canary
        // version gets no more than its share while the upstreams of other
        // versions back off or are full. Those that the request has tried
        // count as well, so that its retries do not all go to the canary.
        let has_other = has_other_version(all, criteria, now);
        let eligible = without_avoided(eligible, &criteria.rule, has_other);
        if eligible.is_empty() {
            return Err(PickError::NoCandidate);
        }
        let eligible = self
            .without_backoff(eligible, share, now)
            .map_err(PickError::BackingOff)?;
        let eligible = match share {
            LimitShare::Own => self.without_cold(eligible, service, now),
            LimitShare::Lender => eligible,
        };
        if eligible.is_empty() {
            return Err(PickError::Cold);
        }
        let eligible = preferred(eligible, &criteria.rule);
        let is_healthy = |member: &&Arc<Member>| {
            member.health.is_healthy(now) && !self.is_partitioned(member, now)
        };
        let healthy: Vec<&Arc<Member>> =
            eligible.iter().copied().filter(is_healthy).collect();
        Ok(if healthy.is_empty() { eligible } else { healthy })
    }

    /// Whether an upstream that has not been tried, of a version that the rule
    /// allows, may take a request.
    pub fn has_untried(
        &self,
        service: &ServiceId,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> bool {
        let members = self.members();
        let all = members.by_service.get(service);
        let all = all.map_or(&[][..], Vec::as_slice);
        let has_other = has_other_version(all, criteria, now);
        let evacuated = self.evacuated.read().expect("halls lock");
        all.iter().any(|member| {
            is_eligible(member, criteria.tried, now)
                && !(has_other && criteria.avoids(member))
                && self.backoff(member, now).is_zero()
                && !evacuated.contains(&member.entry.data_hall)
        })
    }

    /// The time until the first upstream of a service may be sent a request,
    /// if all of them have asked to back off.
    pub fn service_backoff(
        &self,
        service: &ServiceId,
        now: BootInstant,
    ) -> Option<Duration> {
        let members = self.members();
        let all = members.by_service.get(service)?.iter();
        let taking = all.filter(|m| m.takes_requests(now)).collect();
        let taking = self.without_evacuated(taking);
        self.without_backoff(taking, LimitShare::Own, now).err()
    }

    /// Excludes the upstreams that must not be sent a request now.
    ///
    /// If that excludes all, returns the shortest remaining backoff as the
    /// error.
    fn without_backoff<'a>(
        &self,
        eligible: Vec<&'a Arc<Member>>,
        share: LimitShare,
        now: BootInstant,
    ) -> Result<Vec<&'a Arc<Member>>, Duration> {
        let mut free = Vec::with_capacity(eligible.len());
        let mut soonest: Option<Duration> = None;
        for member in eligible {
            let left = match share {
                LimitShare::Own => self.backoff(member, now),
                LimitShare::Lender => member.backoff_left(now),
            };
            if left.is_zero() {
                free.push(member);
            } else {
                soonest = Some(soonest.map_or(left, |least| least.min(left)));
            }
        }
        match soonest {
            Some(left) if free.is_empty() => Err(left),
            _ => Ok(free),
        }
    }

    /// Excludes the upstreams of evacuated data halls.
    fn without_evacuated<'a>(
        &self,
        eligible: Vec<&'a Arc<Member>>,
    ) -> Vec<&'a Arc<Member>> {
        let evacuated = self.evacuated.read().expect("halls lock");
        let is_kept = |member: &&Arc<Member>| {
            !evacuated.contains(&member.entry.data_hall)
        };
        eligible.into_iter().filter(is_kept).collect()
    }

    /// Excludes the cold upstreams to which this VM may not send another
    /// request.
    fn without_cold<'a>(
        &self,
        eligible: Vec<&'a Arc<Member>>,
        service: &ServiceId,
        now: BootInstant,
    ) -> Vec<&'a Arc<Member>> {
        let Some(warm_up) = self.warm_up(service) else { return eligible };
        let may_take = |member: &&Arc<Member>| {
            !member.is_cold(now) || self.may_send_cold(member, warm_up, now)
        };
        eligible.into_iter().filter(may_take).collect()
    }

    /// Derives the slowness of the upstreams from the recorded times, at most
    /// once in [`SLOWNESS_INTERVAL`].
    pub(crate) fn update_slowness(&self, now: BootInstant) {
        if !self.has_time_ratios.load(Ordering::Relaxed) {
            return;
        }
        let mut updated_at =
            self.slowness_updated_at.lock().expect("slowness lock");
        let is_due = updated_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= SLOWNESS_INTERVAL
        });
        if !is_due {
            return;
        }
        *updated_at = Some(now);
        let mut is_any_known = false;
        self.has_time_ratios.store(false, Ordering::Relaxed);
        for members in self.members().by_service.values() {
            let ratios: Vec<_> =
                members.iter().map(|member| member.time_ratio(now)).collect();
            is_any_known |= ratios.iter().any(Option::is_some);
            let relative = slowness::relative(&ratios);
            for (member, slowness) in members.iter().zip(relative) {
                member.set_learned_slowness(slowness);
            }
        }
        if is_any_known {
            self.has_time_ratios.store(true, Ordering::Relaxed);
        }
    }

    /// Returns the number of upstreams that are known to be slower or faster
    /// than the others of their service.
    pub(crate) fn uneven_count(&self, now: BootInstant) -> usize {
        self.update_slowness(now);
        let members = self.members();
        let uneven =
            members.by_id.values().filter(|m| m.learned_slowness() != 1.0);
        uneven.count()
    }

    /// Returns the number of choices that the price of pauses has changed
    /// since the last call.
    pub(crate) fn take_choices_changed_by_pauses(&self) -> u64 {
        self.choices_changed_by_pauses.swap(0, Ordering::Relaxed)
    }

    /// Returns the least utilized upstream, with penalties for recent failures
    /// and for other data halls, and for the time that a request takes longer
    /// at a slow upstream, in service times.
    fn least_utilized<'a>(
        &self,
        eligible: &[&'a Arc<Member>],
        now: BootInstant,
    ) -> &'a Arc<Member> {
        let score = |member: &'a Arc<Member>| {
            let is_near = member.entry.data_hall == self.data_hall;
            let distance = if is_near { 0.0 } else { OTHER_HALL_UTILIZATION };
            // A little random noise keeps VMs with the same view from all
            // choosing the same upstream.
            let risk = member.health.failure_chance(now) * FAILURE_UTILIZATION;
            let utilization = member.utilization(now);
            // The request is served, and before it what is in the queue.
            let queued = (utilization - 1.0).max(0.0);
            let extra = |slowness: f64| (slowness - 1.0) * (1.0 + queued);
            let equal =
                utilization + risk + distance + rand::random::<f64>() * 0.02;
            Candidate {
                member,
                cost: equal + extra(member.slowness(now)),
                unreported: equal + extra(member.learned_slowness()),
                pauses: 0.0,
            }
        };
        let scored = eligible.iter().map(|member| score(member));
        cheapest(&scored.collect::<Vec<_>>(), EQUAL_UTILIZATION)
    }

    /// Returns the upstream that can start generating first, by its slowness,
    /// its prefill backlog, and the prefill of this prompt: of its prefix
    /// where that is not cached, and of the rest, which takes `own_prefill`.
    ///
    /// Every VM derives the same order of upstreams for a prefix (rendezvous
    /// hashing), so the first ones are likely to have it cached.
    ///
    /// That a fast upstream takes less time for this prompt counts only among
    /// the first of the order: what other VMs have just sent there is not
    /// known yet, and all prompts would go to the few fastest upstreams.
    ///
    /// For a stream with a target for pauses, the streams that would pause for
    /// too long while this prompt is read have a price.
    fn shortest_wait<'a>(
        &self,
        affinity: PrefixAffinity,
        criteria: &PickCriteria<'_>,
        eligible: &[&'a Arc<Member>],
        now: BootInstant,
    ) -> &'a Arc<Member> {
        let waits = self.waits(affinity, criteria, eligible, now);
        if is_changed_by_pauses(&waits) {
            self.choices_changed_by_pauses.fetch_add(1, Ordering::Relaxed);
        }
        cheapest(&waits, EQUAL_WAIT.as_secs_f64())
    }

    /// Returns the upstreams with their costs, in the order for the prefix.
    fn waits<'a>(
        &self,
        affinity: PrefixAffinity,
        criteria: &PickCriteria<'_>,
        eligible: &[&'a Arc<Member>],
        now: BootInstant,
    ) -> Vec<Candidate<'a>> {
        let order = prefix_order(affinity.prefix_hash, eligible);
        let miss_cost = affinity.cache_miss_cost;
        let own_prefill =
            counted_own_prefill(criteria.own_prefill, self.mean_prefill());
        let wait = |rank: usize, member: &'a Arc<Member>| {
            let miss_share = match rank {
                0 => 0.0,
                1 => SECOND_CHOICE_MISS_SHARE,
                _ => 1.0,
            };
            let requests = member.requests(now);
            let running = RUNNING_REQUEST_COST * requests;
            let risk = FAILURE_COST.mul_f64(member.health.failure_chance(now));
            let backlog = member.prefill_backlog(now);
            let work = backlog + running + miss_cost.mul_f64(miss_share);
            let to_read = backlog
                + criteria.prefix_prefill.mul_f64(miss_share)
                + criteria.own_prefill;
            let pauses = |slowness: f64| {
                criteria.event_gap_target.map_or(0.0, |target| {
                    let chance = |prefill: Duration| {
                        let prefill = prefill.mul_f64(slowness);
                        event_gap::late_chance(prefill, target)
                    };
                    // Streams that the backlog interrupts anyway are late
                    // wherever the prompt goes.
                    let added = chance(to_read) - chance(backlog);
                    LATE_STREAM_COST_S * added * f64::from(requests)
                })
            };
            let cost = |slowness: f64| {
                let own_slowness = match rank < FAST_CHOICES {
                    true => slowness,
                    false => slowness.max(1.0),
                };
                let wait = work.mul_f64(slowness)
                    + own_prefill.mul_f64(own_slowness)
                    + risk;
                wait.as_secs_f64()
            };
            let (slowness, learned) =
                (member.slowness(now), member.learned_slowness());
            Candidate {
                member,
                cost: cost(slowness) + pauses(slowness),
                unreported: cost(learned) + pauses(learned),
                pauses: pauses(slowness),
            }
        };
        let ranked = order.iter().enumerate();
        ranked.map(|(rank, member)| wait(rank, member)).collect()
    }

    /// Returns the position of an upstream in the order for a prefix, among
    /// all upstreams of its service. The first one probably has it cached.
    pub(crate) fn prefix_rank(
        &self,
        member: &Member,
        prefix_hash: u64,
    ) -> usize {
        let members = self.members();
        let all = members.by_service.get(&member.entry.service);
        let all: Vec<&Arc<Member>> = all.into_iter().flatten().collect();
        let order = prefix_order(prefix_hash, &all);
        let own = member.upstream.short_hash;
        let is_own = |other: &&Arc<Member>| other.upstream.short_hash == own;
        order.iter().position(is_own).unwrap_or(order.len())
    }

    /// Adds the expected prefill time of one prompt to the moving average.
    pub fn record_expected_prefill(&self, expected: Duration) {
        let us = u32::try_from(expected.as_micros()).unwrap_or(u32::MAX);
        let current = self.mean_prefill_us.load(Ordering::Relaxed);
        let mean = match current {
            0 => f64::from(us),
            current => {
                let current = f64::from(current);
                current + (f64::from(us) - current) * MEAN_PREFILL_WEIGHT
            }
        };
        self.mean_prefill_us.store(mean as u32, Ordering::Relaxed);
    }

    fn mean_prefill(&self) -> Duration {
        let us = self.mean_prefill_us.load(Ordering::Relaxed);
        Duration::from_micros(us.into())
    }

    /// Whether an upstream has failed recently while most upstreams with the
    /// same software have not, so that its failures are no evidence against
    /// the software.
    pub fn is_isolated_failure(
        &self,
        member: &Member,
        now: BootInstant,
    ) -> bool {
        if !member.health.is_suspect(now) {
            return false;
        }
        let software = &member.entry.software;
        let alike: Vec<Arc<Member>> = self
            .of_service(&member.entry.service)
            .into_iter()
            .filter(|other| other.entry.software == *software)
            .collect();
        let suspects = alike.iter().filter(|m| m.health.is_suspect(now));
        suspects.count() * 2 < alike.len()
    }

    fn members(&self) -> Arc<Members> {
        self.members.read().expect("members lock").clone()
    }

    fn update_members(
        &self,
        change: impl FnOnce(&mut HashMap<UpstreamId, Arc<Member>>),
    ) {
        let mut current = self.members.write().expect("members lock");
        let mut by_id = current.by_id.clone();
        change(&mut by_id);
        let mut by_service: HashMap<ServiceId, Vec<Arc<Member>>> =
            HashMap::new();
        for member in by_id.values() {
            let service = member.entry.service.clone();
            by_service.entry(service).or_default().push(member.clone());
        }
        let by_short_hash = by_id.values();
        let by_short_hash = by_short_hash
            .map(|m| (m.upstream.short_hash, m.clone()))
            .collect();
        let by_address = by_id.values();
        let by_address =
            by_address.map(|m| (m.entry.address, m.clone())).collect();
        let recent_versions =
            RecentVersions::new(by_id.values().map(|member| &**member));
        *current = Arc::new(Members {
            by_id,
            by_service,
            by_short_hash,
            by_address,
            recent_versions,
        });
    }
}

/// Counts a request against the warm-up, backoff and rate limits of its
/// upstream.
fn count_request(chosen: &Member, now: BootInstant) {
    if chosen.is_cold(now) {
        chosen.cold_sends.lock().expect("cold sends lock").record(now);
    }
    chosen.upstream.reported_state.record_sent(now);
}

/// Returns the part of the prompt's own prefill time that counts for the
/// choice between upstreams of different speed, given the mean prefill time of
/// a prompt; zero means that no prompt is known.
fn counted_own_prefill(own: Duration, mean: Duration) -> Duration {
    let usual = match mean.is_zero() {
        true => own,
        false => own.min(mean * SHARED_OWN_PREFILLS),
    };
    usual.mul_f64(OWN_PREFILL_SHARE) + (own - usual)
}

/// Returns the upstreams in the order in which a prefix is sent to them
/// (rendezvous hashing). It does not depend on their speed: estimates of it
/// differ between VMs and change within seconds, and a prefix whose first
/// upstream changes has to be read again.
fn prefix_order<'a>(
    prefix_hash: u64,
    members: &[&'a Arc<Member>],
) -> Vec<&'a Arc<Member>> {
    let mut order: Vec<&'a Arc<Member>> = members.to_vec();
    order.sort_by_cached_key(|member| {
        let id = u64::from(member.upstream.short_hash.0);
        std::cmp::Reverse(rendezvous::mix(prefix_hash, id))
    });
    order
}

/// An upstream that may be picked, with its cost for the request: a wait in
/// seconds, or a utilization.
struct Candidate<'a> {
    member: &'a Arc<Member>,
    cost: f64,
    /// The cost without what upstreams report of their speed at the moment.
    unreported: f64,
    /// The share of the cost that is the price of pauses.
    pauses: f64,
}

/// Whether another of the candidates, which must not be empty, would be the
/// cheapest without the price of pauses.
fn is_changed_by_pauses(candidates: &[Candidate<'_>]) -> bool {
    if candidates.iter().all(|candidate| candidate.pauses == 0.0) {
        return false;
    }
    let chosen = least(candidates, |candidate| candidate.cost);
    let without = least(candidates, |c| c.cost - c.pauses);
    !Arc::ptr_eq(chosen.member, without.member)
}

/// Returns the candidate, of at least one, whose cost is the least.
fn least<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    cost: impl Fn(&Candidate<'a>) -> f64,
) -> &'b Candidate<'a> {
    candidates
        .iter()
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
        .expect("there is a candidate")
}

/// Returns the cheapest of the candidates, which must not be empty.
///
/// If it is the cheapest only because of what upstreams have reported, other
/// VMs that have read the same reports would choose it as well. Then, a random
/// one is returned whose cost exceeds the lowest by `margin` at most.
fn cheapest<'a>(candidates: &[Candidate<'a>], margin: f64) -> &'a Arc<Member> {
    let chosen = least(candidates, |candidate| candidate.cost);
    let unreported = least(candidates, |candidate| candidate.unreported);
    if Arc::ptr_eq(chosen.member, unreported.member) {
        return chosen.member;
    }
    let most = chosen.cost + margin;
    let close: Vec<&Candidate<'a>> =
        candidates.iter().filter(|c| c.cost <= most).collect();
    close[rand::random_range(0..close.len())].member
}

/// Whether an upstream takes new requests and was not tried before.
fn is_eligible(
    member: &Member,
    tried: &[ShortHash],
    now: BootInstant,
) -> bool {
    member.takes_requests(now) && !tried.contains(&member.upstream.short_hash)
}

/// Whether an upstream of a version that need not be avoided takes requests,
/// tried or not.
fn has_other_version(
    all: &[Arc<Member>],
    criteria: &PickCriteria<'_>,
    now: BootInstant,
) -> bool {
    all.iter().any(|member| {
        member.takes_requests(now)
            && !criteria.withdrawn.contains(&member.entry.software)
            && !criteria.avoids(member)
    })
}

/// Excludes the upstreams whose software version is to be avoided.
///
/// If no upstream of another version is left at all, the avoided one is kept.
fn without_avoided<'a>(
    eligible: Vec<&'a Arc<Member>>,
    rule: &VersionRule,
    has_other: bool,
) -> Vec<&'a Arc<Member>> {
    let (VersionRule::Avoid(version) | VersionRule::Never(version)) = rule
    else {
        return eligible;
    };
    let kept = of_version(&eligible, version, false);
    let or_else_all = matches!(rule, VersionRule::Avoid(_)) && !has_other;
    if kept.is_empty() && or_else_all { eligible } else { kept }
}

/// Keeps the upstreams that run the preferred version, if there are any.
fn preferred<'a>(
    eligible: Vec<&'a Arc<Member>>,
    rule: &VersionRule,
) -> Vec<&'a Arc<Member>> {
    let VersionRule::Prefer(version) = rule else { return eligible };
    let kept = of_version(&eligible, version, true);
    if kept.is_empty() { eligible } else { kept }
}

/// Returns the upstreams that run a version, or those that run another one.
fn of_version<'a>(
    eligible: &[&'a Arc<Member>],
    version: &VersionId,
    is_wanted: bool,
) -> Vec<&'a Arc<Member>> {
    let is_kept = |member: &&Arc<Member>| {
        (member.entry.software == *version) == is_wanted
    };
    eligible.iter().copied().filter(is_kept).collect()
}

mod gossip;
mod permits;

#[cfg(test)]
mod backoff_simulation_tests;
#[cfg(test)]
mod event_gap_simulation_tests;
#[cfg(test)]
mod event_gap_tests;
#[cfg(test)]
mod memory_simulation_tests;
#[cfg(test)]
mod signals_tests;
#[cfg(test)]
mod simulation_tests;
#[cfg(test)]
mod slowness_service_tests;
#[cfg(test)]
mod slowness_simulation_tests;
#[cfg(test)]
mod slowness_tests;
#[cfg(test)]
mod tests;

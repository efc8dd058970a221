//! The upstreams of every service, as this VM sees them, and the choice
//! among them.
//!
//! The pool is replaced as a whole when a record changes, so that a choice
//! looks at one state of things.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::{
    clock::BootInstant,
    id::{DataHallId, ServiceId, UpstreamId, VersionId},
    message::ShortHash,
    placing::{
        admission::FILL_LEAST,
        hall_way::HallWay,
        member::{
            Member, Succession, UpstreamEntry, UpstreamState, VANISHED_GRACE,
        },
        owners::Roster,
        reported_state::UnlistedWords,
        seen::SeenLately,
        warm_up::{self, WarmUp, WarmUpSlack},
    },
    rendezvous,
};

/// Added to the fill of an upstream in another data hall: the way there
/// costs a few milliseconds and bytes between halls.
const OTHER_HALL_FILL: f64 = 0.05;

/// Time that a running request adds to the reading of a prompt beside it,
/// for each millisecond of reading.
const RUNNING_SLOWS: Duration = Duration::from_micros(600);

/// Part of the saved reading that counts for the second upstream in a
/// prompt's order, which gets it when the first is busy.
const SECOND_HOME_PART: f64 = 0.5;

/// Silence of an upstream in a data hall that is cut off after which its
/// streams are given up.
const CUT_SILENCE: Duration = Duration::from_millis(250);

/// What a failed attempt costs a request, as a wait that is worth taking to
/// be spared it: an attempt of the retry budget, and the time until the
/// failure shows. An upstream that fails at once is always free, and would be
/// the first choice of every VM. In the replay of 32 VMs before 32 engines, of
/// which four die, 72 attempts fail in the first second with this and 106
/// without; 39 where VMs also tell each other of failures.
const FAILURE_COST: Duration = Duration::from_millis(500);

/// The same where the least full upstream is chosen, in requests for each
/// slot.
const FAILURE_FILL: f64 = 1.0;

/// Time between two looks for what VMs have told that fell silent since.
const FORGET_PERIOD: Duration = Duration::from_millis(500);

/// Weight of one more prompt in the mean time that one takes to be read.
const MEAN_READING_WEIGHT: f64 = 0.05;

/// Which versions of a service's software may answer a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// Any.
    #[default]
    Any,
    /// This one, or any other if it has no usable upstream.
    Prefer(VersionId),
    /// Any but this one, or this one if no other has a usable upstream.
    Avoid(VersionId),
    /// Any but this one.
    Never(VersionId),
}

/// A prompt that an upstream may have in its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixAffinity {
    /// What identifies the longest part shared with other requests.
    pub prefix_hash: u64,
    /// The wait that is worth taking to find it there.
    pub cache_miss_cost: Duration,
}

/// What a request asks of the choice.
#[derive(Clone, Debug)]
pub struct PickCriteria<'a> {
    /// Which software may answer it.
    pub rule: VersionRule,
    /// What it would like to find in an upstream's memory.
    pub affinity: Option<PrefixAffinity>,
    /// Versions of software that may not answer it at all.
    pub withdrawn: &'a [VersionId],
    /// Lives of upstreams that were asked already.
    pub tried: &'a [ShortHash],
    /// Requests for each slot of every upstream from which it is turned away.
    pub max_utilization: f64,
}

impl Default for PickCriteria<'_> {
    /// Whatever is free.
    fn default() -> Self {
        PickCriteria {
            rule: VersionRule::Any,
            affinity: None,
            withdrawn: &[],
            tried: &[],
            max_utilization: FILL_LEAST,
        }
    }
}

/// Why there is no upstream for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// None is known that may take it.
    NoCandidate,
    /// All are in data halls whose upstreams are to get no requests.
    Evacuated,
    /// All have asked for fewer requests, and the first of them may get one
    /// after this time.
    BackingOff(Duration),
    /// All are cold, and have as many requests as they bear.
    Cold,
    /// All are full.
    Full,
}

#[derive(Debug, Default)]
struct Members {
    by_id: HashMap<UpstreamId, Arc<Member>>,
    by_service: HashMap<ServiceId, Vec<Arc<Member>>>,
    by_short: HashMap<ShortHash, Arc<Member>>,
}

/// Where each other VM has told that it has work, so that what it tells next
/// is taken in without a look at every upstream: before 3,000 of them, a beat
/// is taken in within 10 µs in place of 285 (loop in a release build).
#[derive(Debug, Default)]
struct ToldWork {
    at: HashMap<String, Vec<ShortHash>>,
    forgotten_at: Option<BootInstant>,
}

impl ToldWork {
    /// Whether what is old is to be forgotten once more.
    fn is_due(&mut self, now: BootInstant) -> bool {
        let is_due = self.forgotten_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= FORGET_PERIOD
        });
        if is_due {
            self.forgotten_at = Some(now);
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
    /// How the upstreams of each service that has a bound warm up.
    warm_ups: RwLock<HashMap<ServiceId, WarmUp>>,
    roster: RwLock<Roster>,
    members: RwLock<Arc<Members>>,
    /// Data halls whose upstreams are to get no requests.
    evacuated: RwLock<HashSet<DataHallId>>,
    ways: Mutex<HashMap<DataHallId, Arc<HallWay>>>,
    /// The mean time that a prompt takes to be read, in microseconds.
    mean_reading_us: AtomicU32,
    /// What the other VMs are to hear of.
    seen: Mutex<SeenLately>,
    told: Mutex<ToldWork>,
    /// What lives that are not listed have said of themselves.
    unlisted: Mutex<UnlistedWords>,
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
            ways: Mutex::default(),
            mean_reading_us: AtomicU32::new(0),
            seen: Mutex::default(),
            told: Mutex::default(),
            unlisted: Mutex::default(),
        }
    }

    /// Takes in the record of an upstream, new or changed; returns whether it
    /// began a life that was not known before.
    ///
    /// Nothing that is known of one life is kept for the next. An earlier one
    /// is never believed again, however late it is told of.
    pub fn set(&self, entry: UpstreamEntry, now: BootInstant) -> bool {
        let held = self.member(&entry.id);
        let Some(held) = held else {
            self.begin_life(entry, now);
            return true;
        };
        match entry.succession(&held.told()) {
            Succession::Earlier => return false,
            Succession::Same => {
                held.take(&entry, now);
                return false;
            }
            Succession::Changed => {
                held.upstream.mark_leaving();
            }
            Succession::Later => held.note_over(),
        }
        self.begin_life(entry, now);
        true
    }

    fn begin_life(&self, entry: UpstreamEntry, now: BootInstant) {
        let way = self.way(&entry.data_hall);
        let life = ShortHash::of(&entry.life().to_string());
        let reported_state =
            self.unlisted.lock().expect("words lock").take(life);
        let member = Arc::new(Member::new(entry, reported_state, way, now));
        if member.entry.state == UpstreamState::Leaving {
            member.upstream.mark_leaving();
        }
        self.change(|by_id| {
            by_id.insert(member.entry.id.clone(), member.clone());
        });
    }

    /// Notes that an upstream's record is gone.
    ///
    /// `is_sure` says whether the store has been well for long enough that
    /// this can only mean that the upstream leaves.
    pub fn remove(&self, id: &UpstreamId, is_sure: bool, now: BootInstant) {
        let Some(member) = self.member(id) else { return };
        if is_sure {
            member.upstream.mark_leaving();
            // Its record may only have lapsed.
            let word = member.upstream.reported_state.clone();
            let mut unlisted = self.unlisted.lock().expect("words lock");
            unlisted.keep(member.upstream.short_hash, word, now);
            self.change(|by_id| {
                by_id.remove(id);
            });
            return;
        }
        let mut vanished = member.vanished_at.lock().expect("vanished lock");
        vanished.get_or_insert(now);
    }

    /// Forgets upstreams that vanished and did not come back.
    pub fn sweep(&self, now: BootInstant) -> Vec<UpstreamId> {
        let gone: Vec<UpstreamId> = self
            .all()
            .iter()
            .filter(|member| {
                let at = *member.vanished_at.lock().expect("vanished lock");
                at.is_some_and(|at| {
                    now.saturating_duration_since(at) >= VANISHED_GRACE
                })
            })
            .map(|member| member.entry.id.clone())
            .collect();
        for id in &gone {
            self.remove(id, true, now);
        }
        gone
    }

    /// Notes that a VM of a data hall was heard, so that the way there is open
    /// and failures to connect are the upstreams' own.
    pub fn record_hall_heartbeat(&self, hall: &DataHallId, now: BootInstant) {
        self.way(hall).note_beat(now);
    }

    /// Sends no more requests to the upstreams of a data hall; returns
    /// whether that is news. What they have begun goes on to its end.
    pub fn evacuate(&self, hall: &DataHallId) -> bool {
        let mut evacuated = self.evacuated.write().expect("halls lock");
        evacuated.insert(hall.clone())
    }

    /// Lets the upstreams of a data hall have requests again; returns whether
    /// that is news.
    ///
    /// They may have turned cold just before, and their records say so up to
    /// a heartbeat later: until then they are taken for cold.
    pub fn end_evacuation(&self, hall: &DataHallId, now: BootInstant) -> bool {
        let is_news = self.evacuated.write().expect("halls lock").remove(hall);
        if is_news {
            let members = self.all();
            let there = members.iter().filter(|m| m.entry.data_hall == *hall);
            for member in there {
                if let Some(warm_up) = self.warm_up(&member.entry.service) {
                    member.note_cold(now + warm_up.time);
                }
            }
        }
        is_news
    }

    /// Takes in how the upstreams of each service warm up, where the operators
    /// state a bound.
    pub fn set_warm_ups(&self, warm_ups: HashMap<ServiceId, WarmUp>) {
        *self.warm_ups.write().expect("warm-up lock") = warm_ups;
    }

    fn warm_up(&self, service: &ServiceId) -> Option<WarmUp> {
        let warm_ups = self.warm_ups.read().expect("warm-up lock");
        warm_ups.get(service).copied()
    }

    /// Notes that the store records a VM.
    pub fn add_vm(&self, vm: &str, hall: &DataHallId) {
        self.roster.write().expect("roster lock").add(vm, hall);
    }

    /// Notes that the store no longer records a VM.
    pub fn remove_vm(&self, vm: &str) {
        self.roster.write().expect("roster lock").remove(vm);
    }

    /// Whether an upstream that is cold may have one more request of this VM.
    fn has_cold_room(
        &self,
        member: &Member,
        warm_up: WarmUp,
        now: BootInstant,
    ) -> bool {
        let roster = self.roster.read().expect("roster lock");
        let (short, hall) =
            (member.upstream.short_hash, &member.entry.data_hall);
        let most = warm_up.most(self.slack);
        let part = warm_up::part(&roster, &self.vm, short, hall, most);
        member.sent_cold.lock().expect("sent lock").has_room(part, now)
    }

    /// How long an upstream is to get no request of this VM, by what it has
    /// asked for; zero if it may have one.
    pub fn backoff(&self, member: &Member, now: BootInstant) -> Duration {
        member.rest_left(now).max(self.rate_limit_wait(member, now))
    }

    fn rate_limit_wait(&self, member: &Member, now: BootInstant) -> Duration {
        let (short, hall) =
            (member.upstream.short_hash, &member.entry.data_hall);
        let word = &member.upstream.reported_state;
        word.rate_limit_wait(&self.roster, &self.vm, short, hall, now)
    }

    fn way(&self, hall: &DataHallId) -> Arc<HallWay> {
        let mut ways = self.ways.lock().expect("ways lock");
        ways.entry(hall.clone()).or_default().clone()
    }

    /// Whether the data hall of an upstream seems cut off. This VM's own never
    /// does: when its upstreams cannot be reached, they are at fault.
    fn is_cut_off(&self, member: &Member, now: BootInstant) -> bool {
        member.entry.data_hall != self.data_hall && member.way.is_cut_off(now)
    }

    /// Whether an upstream, of which something has been awaited for `waited`,
    /// has been silent for too long to expect more from it; `limit` holds
    /// while the way to its data hall is open.
    pub fn seems_dead(
        &self,
        member: &Member,
        waited: Duration,
        limit: Duration,
        now: BootInstant,
    ) -> bool {
        let limit = match self.is_cut_off(member, now) {
            true => limit.min(CUT_SILENCE),
            false => limit,
        };
        // One that nothing was asked of has a right to be silent.
        member.silence(now).min(waited) >= limit
    }

    /// One upstream.
    pub fn member(&self, id: &UpstreamId) -> Option<Arc<Member>> {
        self.read().by_id.get(id).cloned()
    }

    /// All upstreams.
    pub fn all(&self) -> Vec<Arc<Member>> {
        self.read().by_id.values().cloned().collect()
    }

    /// The upstreams of a service.
    pub fn of_service(&self, service: &ServiceId) -> Vec<Arc<Member>> {
        self.read().by_service.get(service).cloned().unwrap_or_default()
    }

    /// Chooses the upstream for one attempt.
    ///
    /// # Errors
    ///
    /// A [`PickError`] when none may take it.
    pub fn pick(
        &self,
        service: &ServiceId,
        want: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Result<Arc<Member>, PickError> {
        let members = self.read();
        let open = self.candidates(&members, service, want, now)?;
        let chosen = match want.affinity {
            Some(prompt) => self.soonest(prompt, &open, now),
            None => self.emptiest(&open, now),
        };
        if chosen.is_cold(now) {
            chosen.sent_cold.lock().expect("sent lock").count(now);
        }
        chosen.upstream.reported_state.record_sent(now);
        Ok(chosen.clone())
    }

    /// Whether there is an upstream for one more attempt.
    pub fn can_pick(
        &self,
        service: &ServiceId,
        want: &PickCriteria<'_>,
        now: BootInstant,
    ) -> bool {
        self.candidates(&self.read(), service, want, now).is_ok()
    }

    /// The upstreams among which an attempt may choose.
    fn candidates<'a>(
        &self,
        members: &'a Members,
        service: &ServiceId,
        want: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Result<Vec<&'a Arc<Member>>, PickError> {
        let all = members.by_service.get(service);
        let all = all.map_or(&[][..], Vec::as_slice);
        let open = self.open_to(all, service, want, now)?;
        if open
            .iter()
            .all(|member| member.utilization(now) >= want.max_utilization)
        {
            return Err(PickError::Full);
        }
        Ok(open)
    }

    /// The upstreams of `all` that may take a request, the sound ones if there
    /// are any.
    fn open_to<'a>(
        &self,
        all: &'a [Arc<Member>],
        service: &ServiceId,
        want: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Result<Vec<&'a Arc<Member>>, PickError> {
        let may_answer =
            |m: &&Arc<Member>| !want.withdrawn.contains(&m.entry.software);
        let open: Vec<&Arc<Member>> = all
            .iter()
            .filter(|m| is_open(m, want.tried, now))
            .filter(may_answer)
            .collect();
        if open.is_empty() {
            return Err(PickError::NoCandidate);
        }
        let open = self.without_evacuated(open);
        if open.is_empty() {
            return Err(PickError::Evacuated);
        }
        // Before what is open only for now: a version on trial gets its share
        // also while the others can take no more.
        let open = without_avoided(open, &want.rule);
        if open.is_empty() {
            return Err(PickError::NoCandidate);
        }
        let open =
            self.without_backoff(open, now).map_err(PickError::BackingOff)?;
        let open = self.without_cold(open, service, now);
        if open.is_empty() {
            return Err(PickError::Cold);
        }
        let open = preferred(open, &want.rule);
        let is_healthy = |member: &&Arc<Member>| {
            member.health.is_healthy(now) && !self.is_cut_off(member, now)
        };
        let sound: Vec<&Arc<Member>> =
            open.iter().copied().filter(is_healthy).collect();
        Ok(if sound.is_empty() { open } else { sound })
    }

    /// Whether an upstream whose life is not among `tried` may take a request.
    pub fn has_untried(
        &self,
        service: &ServiceId,
        tried: &[ShortHash],
        now: BootInstant,
    ) -> bool {
        let members = self.read();
        let all = members.by_service.get(service);
        let evacuated = self.evacuated.read().expect("halls lock");
        all.into_iter().flatten().any(|member| {
            is_open(member, tried, now)
                && self.backoff(member, now).is_zero()
                && !evacuated.contains(&member.entry.data_hall)
        })
    }

    /// The time until the first upstream of a service may get a request, if
    /// all of them have asked for fewer.
    pub fn service_backoff(
        &self,
        service: &ServiceId,
        now: BootInstant,
    ) -> Option<Duration> {
        let members = self.read();
        let all = members.by_service.get(service)?.iter();
        let taking = all.filter(|m| m.takes_requests(now)).collect();
        self.without_backoff(self.without_evacuated(taking), now).err()
    }

    /// Leaves out the upstreams that are to get no request now; the time that
    /// the first of them has left if none else is there.
    fn without_backoff<'a>(
        &self,
        open: Vec<&'a Arc<Member>>,
        now: BootInstant,
    ) -> Result<Vec<&'a Arc<Member>>, Duration> {
        let mut free = Vec::with_capacity(open.len());
        let mut soonest: Option<Duration> = None;
        for member in open {
            let left = self.backoff(member, now);
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

    /// Leaves out the upstreams of data halls that are evacuated.
    fn without_evacuated<'a>(
        &self,
        open: Vec<&'a Arc<Member>>,
    ) -> Vec<&'a Arc<Member>> {
        let evacuated = self.evacuated.read().expect("halls lock");
        let is_left = |member: &&Arc<Member>| {
            !evacuated.contains(&member.entry.data_hall)
        };
        open.into_iter().filter(is_left).collect()
    }

    /// Leaves out the upstreams that are cold and not to get one more request
    /// of this VM.
    fn without_cold<'a>(
        &self,
        open: Vec<&'a Arc<Member>>,
        service: &ServiceId,
        now: BootInstant,
    ) -> Vec<&'a Arc<Member>> {
        let Some(warm_up) = self.warm_up(service) else { return open };
        let may_take = |member: &&Arc<Member>| {
            !member.is_cold(now) || self.has_cold_room(member, warm_up, now)
        };
        open.into_iter().filter(may_take).collect()
    }

    /// The least full, another data hall counting as a little fuller.
    fn emptiest<'a>(
        &self,
        open: &[&'a Arc<Member>],
        now: BootInstant,
    ) -> &'a Arc<Member> {
        let fill = |member: &Arc<Member>| {
            let is_near = member.entry.data_hall == self.data_hall;
            let way = if is_near { 0.0 } else { OTHER_HALL_FILL };
            // Slightly shuffled, so that VMs that know the same do not all
            // go to the same place.
            let risk = member.health.failure_chance(now) * FAILURE_FILL;
            member.utilization(now) + risk + way + rand::random::<f64>() * 0.02
        };
        let filled = open.iter().map(|member| (fill(member), *member));
        let least = filled.min_by(|a, b| a.0.total_cmp(&b.0));
        least.expect("there is an open upstream").1
    }

    /// The one that can begin with the prompt first: what others have it
    /// read, and the prompt itself where it is not in memory.
    ///
    /// Every VM finds the same order of upstreams for a prompt, so the first
    /// of them is likely to have it.
    fn soonest<'a>(
        &self,
        prompt: PrefixAffinity,
        open: &[&'a Arc<Member>],
        now: BootInstant,
    ) -> &'a Arc<Member> {
        let mut order: Vec<&'a Arc<Member>> = open.to_vec();
        order.sort_by_cached_key(|member| {
            let id = u64::from(member.upstream.short_hash.0);
            std::cmp::Reverse(rendezvous::mix(prompt.prefix_hash, id))
        });
        let away = prompt.cache_miss_cost;
        let wait = |place: usize, member: &Arc<Member>| {
            let read = match place {
                0 => Duration::ZERO,
                1 => away.mul_f64(SECOND_HOME_PART),
                _ => away,
            };
            let running = RUNNING_SLOWS * member.requests(now);
            let risk = FAILURE_COST.mul_f64(member.health.failure_chance(now));
            member.prefill_backlog(now) + running + read + risk
        };
        let waits = order
            .iter()
            .enumerate()
            .map(|(place, member)| (wait(place, member), *member));
        let least = waits.min_by_key(|(wait, _)| *wait);
        least.expect("there is an open upstream").1
    }

    /// Takes in the time that one more prompt is expected to take to be read.
    pub fn record_expected_prefill(&self, expected: Duration) {
        let us = u32::try_from(expected.as_micros()).unwrap_or(u32::MAX);
        let held = self.mean_reading_us.load(Ordering::Relaxed);
        let mean = match held {
            0 => f64::from(us),
            held => {
                let held = f64::from(held);
                held + (f64::from(us) - held) * MEAN_READING_WEIGHT
            }
        };
        self.mean_reading_us.store(mean as u32, Ordering::Relaxed);
    }

    fn mean_reading(&self) -> Duration {
        let us = self.mean_reading_us.load(Ordering::Relaxed);
        Duration::from_micros(us.into())
    }

    /// Whether an upstream has failed lately while most of those with its
    /// software have not, so that its failures say nothing of the software.
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

    fn read(&self) -> Arc<Members> {
        self.members.read().expect("members lock").clone()
    }

    fn change(
        &self,
        change: impl FnOnce(&mut HashMap<UpstreamId, Arc<Member>>),
    ) {
        let mut held = self.members.write().expect("members lock");
        let mut by_id = held.by_id.clone();
        change(&mut by_id);
        let mut by_service: HashMap<ServiceId, Vec<Arc<Member>>> =
            HashMap::new();
        for member in by_id.values() {
            let service = member.entry.service.clone();
            by_service.entry(service).or_default().push(member.clone());
        }
        let by_short = by_id.values();
        let by_short =
            by_short.map(|m| (m.upstream.short_hash, m.clone())).collect();
        *held = Arc::new(Members { by_id, by_service, by_short });
    }
}

/// Whether an upstream takes requests and was not asked.
fn is_open(member: &Member, tried: &[ShortHash], now: BootInstant) -> bool {
    member.takes_requests(now) && !tried.contains(&member.upstream.short_hash)
}

/// Leaves out the upstreams whose software is to be avoided.
fn without_avoided<'a>(
    open: Vec<&'a Arc<Member>>,
    rule: &VersionRule,
) -> Vec<&'a Arc<Member>> {
    let (VersionRule::Avoid(version) | VersionRule::Never(version)) = rule
    else {
        return open;
    };
    let kept = of_version(&open, version, false);
    let or_else_all = matches!(rule, VersionRule::Avoid(_));
    if kept.is_empty() && or_else_all { open } else { kept }
}

/// Keeps the upstreams whose software is preferred, if there are any.
fn preferred<'a>(
    open: Vec<&'a Arc<Member>>,
    rule: &VersionRule,
) -> Vec<&'a Arc<Member>> {
    let VersionRule::Prefer(version) = rule else { return open };
    let kept = of_version(&open, version, true);
    if kept.is_empty() { open } else { kept }
}

/// The upstreams that run a version, or those that don't.
fn of_version<'a>(
    open: &[&'a Arc<Member>],
    version: &VersionId,
    is_wanted: bool,
) -> Vec<&'a Arc<Member>> {
    let is_kept = |member: &&Arc<Member>| {
        (member.entry.software == *version) == is_wanted
    };
    open.iter().copied().filter(is_kept).collect()
}

mod told;

#[cfg(test)]
mod replay;
#[cfg(test)]
mod rest_replay;
#[cfg(test)]
mod signals_tests;
#[cfg(test)]
mod tests;

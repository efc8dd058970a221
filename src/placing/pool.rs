//! The upstreams of every service, as this VM sees them, and the choice
//! among them.
//!
//! An [`Upstream`] carries load and health; a [`Member`] adds what the
//! platform's record says. The pool is replaced as a whole when a record
//! changes, so that a choice looks at one state of things.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{DataHallId, ServiceId, UpstreamId, VersionId},
    message::ShortHash,
    placing::{
        hall_way::HallWay,
        health::{Health, Verdict},
        upstream::{Serves, Upstream, UpstreamRecord},
        warm_up::{Roster, SentLately, WarmUp, WarmUpSlack},
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

/// Age at which what another VM told of its requests counts no more.
const PEER_COUNT_LIFETIME: Duration = Duration::from_millis(2500);

/// Time that an upstream whose record vanished while the store was away
/// may still be used; a live one is back within about two seconds.
const VANISHED_GRACE: Duration = Duration::from_millis(1500);

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

/// Time after which another failure at the same upstream is told.
const FAILURE_TOLD_AGAIN: Duration = Duration::from_secs(1);

/// Failures that one beat tells.
const FAILURES_MOST: usize = 64;

/// Time in which what an upstream stated of its requests loses half of its
/// weight; short calls come and go meanwhile.
const STATED_HALF_LIFE: Duration = Duration::from_millis(200);

/// Weight of one more prompt in the mean time that one takes to be read.
const MEAN_READING_WEIGHT: f64 = 0.05;

/// Loads stated by upstreams that one beat tells; a VM gets few answers
/// between two beats.
const STATED_MOST: usize = 48;

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It is leaving, and gets none.
    Leaving,
}

/// An upstream as the platform records it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Its name, which no other upstream and no later life of it has.
    pub id: UpstreamId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// The version of its software.
    pub software: VersionId,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// How much longer it is cold.
    pub warm_up_left: Duration,
}

/// The load that an upstream states in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

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

/// One upstream, with its record and what this VM has seen of it.
#[derive(Debug)]
pub struct Member {
    /// Its record.
    pub entry: UpstreamEntry,
    /// Its load.
    pub upstream: Arc<Upstream>,
    /// How it has been answering.
    pub health: Health,
    way: Arc<HallWay>,
    reading_ms: AtomicU32,
    others: AtomicU32,
    others_reading: Mutex<ToldReading>,
    counts: Mutex<HashMap<String, PeerCount>>,
    vanished_at: Mutex<Option<Instant>>,
    heard_at: Mutex<Instant>,
    cold_until: Mutex<Option<Instant>>,
    sent_cold: Mutex<SentLately>,
    stated: Mutex<Option<Stated>>,
}

/// Time that the prompts of the other VMs take to be read, as of some moment.
#[derive(Clone, Copy, Debug)]
struct ToldReading {
    /// What is left of it.
    left_ms: u32,
    /// All of it, as it was told.
    told_ms: u32,
    at: Instant,
}

/// What an upstream's own word says that it had.
#[derive(Clone, Copy, Debug)]
struct Stated {
    /// When it said so.
    at: Instant,
    /// Requests of other VMs.
    others: u32,
    /// The time that the prompts take which it had still to read.
    reading: Duration,
}

#[derive(Clone, Copy, Debug)]
struct PeerCount {
    work: Work,
    at: Instant,
}

impl PeerCount {
    /// What is left of the reading that was told: an upstream goes on with it
    /// while nothing more is heard, and beats of other data halls are rare.
    ///
    /// In the replay of 32 VMs before 32 engines that are busy for half of
    /// the time, prompts wait for 47 ms with this and for 76 ms without; busy
    /// for 0.7 of it, for 95 and 195 ms.
    fn reading_left_ms(&self, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        u32::from(self.work.reading_ms).saturating_sub(age_ms)
    }
}

impl Member {
    fn new(entry: UpstreamEntry, way: Arc<HallWay>, now: Instant) -> Member {
        let record = UpstreamRecord {
            id: entry.id.clone(),
            data_hall: entry.data_hall.clone(),
            address: entry.address,
            serves: Serves::Service(entry.service.clone()),
            slots: entry.slots,
            checks_fence: false,
        };
        Member {
            upstream: Arc::new(Upstream::new(record, false, now)),
            health: Health::new(now),
            way,
            reading_ms: AtomicU32::new(0),
            others: AtomicU32::new(0),
            others_reading: Mutex::new(ToldReading {
                left_ms: 0,
                told_ms: 0,
                at: now,
            }),
            counts: Mutex::default(),
            vanished_at: Mutex::new(None),
            heard_at: Mutex::new(now),
            cold_until: Mutex::new(Some(now + entry.warm_up_left)),
            sent_cold: Mutex::default(),
            stated: Mutex::default(),
            entry,
        }
    }

    /// Whether new requests may go there.
    pub fn takes_requests(&self, now: Instant) -> bool {
        let vanished = *self.vanished_at.lock().expect("vanished lock");
        let is_there = vanished.is_none_or(|at| {
            now.saturating_duration_since(at) < VANISHED_GRACE
        });
        is_there && !self.upstream.is_leaving()
    }

    /// Requests that it probably holds, of all VMs: those of the others by
    /// what they have told, or by what the upstream has stated as long as
    /// that is fresh.
    pub fn requests(&self, now: Instant) -> u32 {
        let told = f64::from(self.others.load(Ordering::Relaxed));
        let stated = *self.stated.lock().expect("stated lock");
        let others = stated.map_or(told, |stated| {
            let age = now.saturating_duration_since(stated.at);
            let halves = age.as_secs_f64() / STATED_HALF_LIFE.as_secs_f64();
            let weight = 0.5_f64.powf(halves);
            f64::from(stated.others) * weight + told * (1.0 - weight)
        });
        self.upstream.in_flight() + others.round() as u32
    }

    /// How full it is: requests for each slot.
    pub fn fill(&self, now: Instant) -> f64 {
        f64::from(self.requests(now)) / f64::from(self.entry.slots.max(1))
    }

    /// Whether it bears only few requests for now.
    pub fn is_cold(&self, now: Instant) -> bool {
        let until = *self.cold_until.lock().expect("cold lock");
        until.is_some_and(|until| now < until)
    }

    /// Notes that it is cold until then, if not for longer already.
    fn note_cold(&self, until: Instant) {
        let mut held = self.cold_until.lock().expect("cold lock");
        *held = Some(held.map_or(until, |held| held.max(until)));
    }

    /// Notes that something came from it.
    pub fn note_heard(&self, now: Instant) {
        *self.heard_at.lock().expect("heard lock") = now;
        self.way.note_heard(now);
    }

    /// Notes that no connection to it could be opened.
    pub fn note_unreachable(&self, now: Instant) {
        self.way.note_unreachable(now);
    }

    /// How long nothing has come from it.
    pub fn silence(&self, now: Instant) -> Duration {
        let heard_at = *self.heard_at.lock().expect("heard lock");
        now.saturating_duration_since(heard_at)
    }

    /// Time that the prompts take which are being read there, or wait to be,
    /// by what the VMs have told each other or by what the upstream has stated
    /// of all of them, whichever is more.
    ///
    /// VMs of other data halls are heard rarely in a large fleet, and what
    /// they send there is not known here: in the same replay prompts wait for
    /// 44 ms with what engines state and 47 ms without, and 78 and 95 ms.
    pub fn reading(&self, now: Instant) -> Duration {
        let own = self.reading_ms.load(Ordering::Relaxed);
        let others = *self.others_reading.lock().expect("told lock");
        let passed = now.saturating_duration_since(others.at);
        let others = Duration::from_millis(others.left_ms.into());
        let told =
            Duration::from_millis(own.into()) + others.saturating_sub(passed);
        let stated = *self.stated.lock().expect("stated lock");
        let stated = stated.map_or(Duration::ZERO, |stated| {
            let passed = now.saturating_duration_since(stated.at);
            stated.reading.saturating_sub(passed)
        });
        told.max(stated)
    }

    /// The most that it may still have to read: what other VMs have told may
    /// take longer than expected, or more may have come after it.
    pub fn reading_most(&self, now: Instant) -> Duration {
        let own = self.reading_ms.load(Ordering::Relaxed);
        let told = self.others_reading.lock().expect("told lock").told_ms;
        let told = Duration::from_millis(u64::from(own) + u64::from(told));
        told.max(self.reading(now))
    }

    /// Takes in what the upstream stated at that time, where each request
    /// that waits takes `each` to read; returns whether that is news.
    fn note_stated(
        &self,
        load: LoadReport,
        each: Duration,
        at: Instant,
    ) -> bool {
        let mut stated = self.stated.lock().expect("stated lock");
        if stated.is_some_and(|stated| stated.at >= at) {
            return false;
        }
        let all = load.running + load.waiting;
        *stated = Some(Stated {
            at,
            others: all.saturating_sub(self.upstream.in_flight()),
            reading: each.saturating_mul(load.waiting),
        });
        true
    }

    /// Counts a prompt as being read there while the guard lives.
    pub fn read(self: &Arc<Self>, expected: Duration) -> Reading {
        let ms = u32::try_from(expected.as_millis()).unwrap_or(u32::MAX);
        self.reading_ms.fetch_add(ms, Ordering::Relaxed);
        Reading { member: self.clone(), ms }
    }

    /// Takes in what another VM has there.
    pub fn set_peer_work(&self, vm: &str, work: Work, now: Instant) {
        let mut counts = self.counts.lock().expect("counts lock");
        if work == Work::default() {
            counts.remove(vm);
        } else {
            counts.insert(vm.to_owned(), PeerCount { work, at: now });
        }
        counts.retain(|_, count| {
            now.saturating_duration_since(count.at) < PEER_COUNT_LIFETIME
        });
        let requests = counts.values().map(|c| u32::from(c.work.requests));
        self.others.store(requests.sum(), Ordering::Relaxed);
        let left_ms = counts.values().map(|c| c.reading_left_ms(now)).sum();
        let told_ms =
            counts.values().map(|c| u32::from(c.work.reading_ms)).sum();
        let told = ToldReading { left_ms, told_ms, at: now };
        *self.others_reading.lock().expect("told lock") = told;
    }
}

/// What one VM has at an upstream.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct Work {
    /// Requests.
    pub requests: u16,
    /// Time that the prompts take which are being read, in milliseconds.
    pub reading_ms: u16,
}

/// A failure at an upstream, as one VM tells it to the others of its data
/// hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldFailure {
    /// The upstream.
    pub upstream: ShortHash,
    /// How the attempt ended.
    pub verdict: Verdict,
}

/// Failures that this VM has seen and is to tell.
#[derive(Debug, Default)]
struct Failures {
    /// Those since the last beat.
    pending: HashMap<ShortHash, Verdict>,
    /// When one at each upstream was last told.
    told_at: HashMap<ShortHash, Instant>,
    /// When an upstream last answered this VM.
    answered_at: Option<Instant>,
}

/// What an upstream stated of its load, as one VM tells it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedLoad {
    /// The upstream.
    pub upstream: ShortHash,
    /// Requests that it worked on.
    pub running: u16,
    /// Requests that waited there.
    pub waiting: u16,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u16,
}

/// Counts a prompt as being read while it lives.
#[derive(Debug)]
pub struct Reading {
    member: Arc<Member>,
    ms: u32,
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.member.reading_ms.fetch_sub(self.ms, Ordering::Relaxed);
    }
}

/// A prompt that an upstream may have in its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrompt {
    /// What identifies the longest part shared with other requests.
    pub subject: u64,
    /// The wait that is worth taking to find it there.
    pub worth_waiting: Duration,
}

/// What a request asks of the choice.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// Which software may answer it.
    pub rule: VersionRule,
    /// What it would like to find in an upstream's memory.
    pub prompt: Option<SharedPrompt>,
    /// Upstreams that were asked already.
    pub tried: &'a [UpstreamId],
    /// Requests for each slot of every upstream from which it is turned away.
    pub most_fill: f64,
}

impl Default for Want<'_> {
    /// Whatever is free.
    fn default() -> Self {
        Want {
            rule: VersionRule::Any,
            prompt: None,
            tried: &[],
            most_fill: 1.25,
        }
    }
}

/// Why there is no upstream for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoMember {
    /// None is known that may take it.
    Unknown,
    /// All are in data halls whose upstreams are to get no requests.
    Evacuated,
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
    /// What upstreams have stated since the last beat.
    stated: Mutex<HashMap<ShortHash, (LoadReport, Instant)>>,
    failures: Mutex<Failures>,
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
            stated: Mutex::default(),
            failures: Mutex::default(),
        }
    }

    /// Takes in the record of an upstream, new or changed.
    pub fn set(&self, entry: UpstreamEntry, now: Instant) {
        let held = self.member(&entry.id);
        match held {
            Some(member) if member.entry.address == entry.address => {
                *member.vanished_at.lock().expect("vanished lock") = None;
                member.note_cold(now + entry.warm_up_left);
                if entry.state == UpstreamState::Leaving {
                    member.upstream.mark_leaving();
                }
            }
            _ => {
                let is_leaving = entry.state == UpstreamState::Leaving;
                let way = self.way(&entry.data_hall);
                let member = Arc::new(Member::new(entry, way, now));
                if is_leaving {
                    member.upstream.mark_leaving();
                }
                self.change(|by_id| {
                    by_id.insert(member.entry.id.clone(), member.clone());
                });
            }
        }
    }

    /// Notes that an upstream's record is gone.
    ///
    /// `is_sure` says whether the store has been well for long enough that
    /// this can only mean that the upstream leaves.
    pub fn remove(&self, id: &UpstreamId, is_sure: bool, now: Instant) {
        let Some(member) = self.member(id) else { return };
        if is_sure {
            member.upstream.mark_leaving();
            self.change(|by_id| {
                by_id.remove(id);
            });
            return;
        }
        let mut vanished = member.vanished_at.lock().expect("vanished lock");
        vanished.get_or_insert(now);
    }

    /// Forgets upstreams that vanished and did not come back.
    pub fn sweep(&self, now: Instant) -> Vec<UpstreamId> {
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
    pub fn note_hall_heard(&self, hall: &DataHallId, now: Instant) {
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
    pub fn end_evacuation(&self, hall: &DataHallId, now: Instant) -> bool {
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
        if *hall == self.data_hall {
            self.roster.write().expect("roster lock").add(vm);
        }
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
        now: Instant,
    ) -> bool {
        if member.entry.data_hall != self.data_hall {
            return false;
        }
        let roster = self.roster.read().expect("roster lock");
        let short = member.upstream.short;
        let part = roster.part(&self.vm, short, warm_up, self.slack);
        member.sent_cold.lock().expect("sent lock").has_room(part, now)
    }

    fn way(&self, hall: &DataHallId) -> Arc<HallWay> {
        let mut ways = self.ways.lock().expect("ways lock");
        ways.entry(hall.clone()).or_default().clone()
    }

    /// Whether the data hall of an upstream seems cut off. This VM's own never
    /// does: when its upstreams cannot be reached, they are at fault.
    fn is_cut_off(&self, member: &Member, now: Instant) -> bool {
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
        now: Instant,
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
    /// A [`NoMember`] when none may take it.
    pub fn pick(
        &self,
        service: &ServiceId,
        want: &Want<'_>,
        now: Instant,
    ) -> Result<Arc<Member>, NoMember> {
        let members = self.read();
        let all = members.by_service.get(service);
        let open: Vec<&Arc<Member>> = all
            .into_iter()
            .flatten()
            .filter(|member| member.takes_requests(now))
            .filter(|member| !want.tried.contains(&member.entry.id))
            .collect();
        let evacuated = self.evacuated.read().expect("halls lock");
        let is_evacuated = |member: &&Arc<Member>| {
            evacuated.contains(&member.entry.data_hall)
        };
        if !open.is_empty() && open.iter().all(is_evacuated) {
            return Err(NoMember::Evacuated);
        }
        let open: Vec<&Arc<Member>> =
            open.into_iter().filter(|m| !is_evacuated(m)).collect();
        drop(evacuated);
        let all_are_open = !open.is_empty();
        let open = self.without_cold(open, service, now);
        if open.is_empty() && all_are_open {
            return Err(NoMember::Cold);
        }
        let open = by_rule(open, &want.rule);
        let sound: Vec<&Arc<Member>> = open
            .iter()
            .filter(|member| member.health.is_sound(now))
            .filter(|member| !self.is_cut_off(member, now))
            .copied()
            .collect();
        let open = if sound.is_empty() { open } else { sound };
        if open.is_empty() {
            return Err(NoMember::Unknown);
        }
        if open.iter().all(|member| member.fill(now) >= want.most_fill) {
            return Err(NoMember::Full);
        }
        let chosen = match want.prompt {
            Some(prompt) => self.soonest(prompt, &open, now),
            None => self.emptiest(&open, now),
        };
        if chosen.is_cold(now) {
            chosen.sent_cold.lock().expect("sent lock").count(now);
        }
        Ok(chosen.clone())
    }

    /// Leaves out the upstreams that are cold and not to get one more request
    /// of this VM.
    fn without_cold<'a>(
        &self,
        open: Vec<&'a Arc<Member>>,
        service: &ServiceId,
        now: Instant,
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
        now: Instant,
    ) -> &'a Arc<Member> {
        let fill = |member: &Arc<Member>| {
            let is_near = member.entry.data_hall == self.data_hall;
            let way = if is_near { 0.0 } else { OTHER_HALL_FILL };
            // Slightly shuffled, so that VMs that know the same do not all
            // go to the same place.
            let risk = member.health.failure_chance(now) * FAILURE_FILL;
            member.fill(now) + risk + way + rand::random::<f64>() * 0.02
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
        prompt: SharedPrompt,
        open: &[&'a Arc<Member>],
        now: Instant,
    ) -> &'a Arc<Member> {
        let mut order: Vec<&'a Arc<Member>> = open.to_vec();
        order.sort_by_cached_key(|member| {
            let id = u64::from(member.upstream.short.0);
            std::cmp::Reverse(rendezvous::mix(prompt.subject, id))
        });
        let away = prompt.worth_waiting;
        let wait = |place: usize, member: &Arc<Member>| {
            let read = match place {
                0 => Duration::ZERO,
                1 => away.mul_f64(SECOND_HOME_PART),
                _ => away,
            };
            let running = RUNNING_SLOWS * member.requests(now);
            let risk = FAILURE_COST.mul_f64(member.health.failure_chance(now));
            member.reading(now) + running + read + risk
        };
        let waits = order
            .iter()
            .enumerate()
            .map(|(place, member)| (wait(place, member), *member));
        let least = waits.min_by_key(|(wait, _)| *wait);
        least.expect("there is an open upstream").1
    }

    /// Takes in the time that one more prompt is expected to take to be read.
    pub fn note_reading(&self, expected: Duration) {
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

    /// Takes in the load that an upstream states in an answer.
    pub fn note_load(&self, member: &Member, load: LoadReport, now: Instant) {
        if member.note_stated(load, self.mean_reading(), now) {
            let mut stated = self.stated.lock().expect("stated lock");
            stated.insert(member.upstream.short, (load, now));
        }
    }

    /// Takes what upstreams have stated to this VM since it was last taken.
    pub fn take_stated(&self, now: Instant) -> Vec<StatedLoad> {
        let bounded = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let mut stated = self.stated.lock().expect("stated lock");
        let taken = stated.drain().map(|(upstream, (load, at))| {
            let age = now.saturating_duration_since(at).as_millis();
            StatedLoad {
                upstream,
                running: bounded(load.running),
                waiting: bounded(load.waiting),
                age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            }
        });
        taken.take(STATED_MOST).collect()
    }

    /// Takes in what upstreams have stated to another VM.
    pub fn hear_stated(&self, stated: &[StatedLoad], now: Instant) {
        let each = self.mean_reading();
        let members = self.read();
        for told in stated {
            let member = members.by_short.get(&told.upstream);
            let age = Duration::from_millis(told.age_ms.into());
            if let (Some(member), Some(at)) = (member, now.checked_sub(age)) {
                let load = LoadReport {
                    running: told.running.into(),
                    waiting: told.waiting.into(),
                    slots: member.entry.slots.into(),
                };
                if member.note_stated(load, each, at) {
                    member.health.hear(Verdict::Good, now);
                }
            }
        }
    }

    /// Takes in how an attempt ended, for the other VMs of the data hall;
    /// returns whether they should hear of it at once.
    pub fn note_verdict(
        &self,
        member: &Member,
        verdict: Verdict,
        now: Instant,
    ) -> bool {
        let short = member.upstream.short;
        let mut failures = self.failures.lock().expect("failures lock");
        if verdict == Verdict::Good {
            failures.answered_at = Some(now);
            return false;
        }
        let was_told = failures.told_at.get(&short).is_some_and(|at| {
            now.saturating_duration_since(*at) < FAILURE_TOLD_AGAIN
        });
        if was_told {
            return false;
        }
        failures.pending.insert(short, verdict);
        matches!(verdict, Verdict::Lost | Verdict::Unreachable)
    }

    /// Takes the failures that the others are to hear of.
    ///
    /// None if nothing has answered this VM for a while either: it is then
    /// more likely to be at fault than everything around it.
    pub fn take_failures(&self, now: Instant) -> Vec<ToldFailure> {
        let mut failures = self.failures.lock().expect("failures lock");
        let pending = std::mem::take(&mut failures.pending);
        let is_well = failures.answered_at.is_some_and(|at| {
            now.saturating_duration_since(at) < FAILURE_TOLD_AGAIN
        });
        if !is_well {
            return Vec::new();
        }
        for upstream in pending.keys() {
            failures.told_at.insert(*upstream, now);
        }
        failures.told_at.retain(|_, at| {
            now.saturating_duration_since(*at) < FAILURE_TOLD_AGAIN
        });
        let told = pending.into_iter();
        told.map(|(upstream, verdict)| ToldFailure { upstream, verdict })
            .take(FAILURES_MOST)
            .collect()
    }

    /// Takes in the failures that another VM of the data hall has seen;
    /// returns the upstreams that are unfit by now.
    pub fn hear_failures(
        &self,
        told: &[ToldFailure],
        now: Instant,
    ) -> Vec<UpstreamId> {
        let members = self.read();
        let mut unfit = Vec::new();
        for failure in told {
            let Some(member) = members.by_short.get(&failure.upstream) else {
                continue;
            };
            if member.health.hear(failure.verdict, now).is_some() {
                unfit.push(member.entry.id.clone());
            }
        }
        unfit
    }

    /// Whether an upstream has failed lately while most of those with its
    /// software have not, so that its failures say nothing of the software.
    pub fn is_alone_suspect(&self, member: &Member, now: Instant) -> bool {
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

    /// What this VM has at each upstream that has any of it.
    pub fn own_work(&self) -> Vec<(ShortHash, Work)> {
        let members = self.read();
        let bounded = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let work = members.by_id.values().filter_map(|member| {
            let reading_ms = member.reading_ms.load(Ordering::Relaxed);
            let work = Work {
                requests: bounded(member.upstream.in_flight()),
                reading_ms: bounded(reading_ms),
            };
            let has_any = work != Work::default();
            has_any.then_some((member.upstream.short, work))
        });
        work.collect()
    }

    /// Takes in what another VM has at each upstream.
    pub fn set_peer_work(
        &self,
        vm: &str,
        work: &[(ShortHash, Work)],
        now: Instant,
    ) {
        let work: HashMap<ShortHash, Work> = work.iter().copied().collect();
        for member in self.read().by_id.values() {
            let there = work.get(&member.upstream.short).copied();
            member.set_peer_work(vm, there.unwrap_or_default(), now);
        }
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
            by_short.map(|m| (m.upstream.short, m.clone())).collect();
        *held = Arc::new(Members { by_id, by_service, by_short });
    }
}

/// Keeps the upstreams whose software may answer.
fn by_rule<'a>(
    open: Vec<&'a Arc<Member>>,
    rule: &VersionRule,
) -> Vec<&'a Arc<Member>> {
    let with = |version: &VersionId, wanted: bool| {
        let is_kept = |member: &&Arc<Member>| {
            (member.entry.software == *version) == wanted
        };
        open.iter().copied().filter(is_kept).collect::<Vec<_>>()
    };
    let (kept, or_else_all) = match rule {
        VersionRule::Any => return open,
        VersionRule::Prefer(version) => (with(version, true), true),
        VersionRule::Avoid(version) => (with(version, false), true),
        VersionRule::Never(version) => (with(version, false), false),
    };
    if kept.is_empty() && or_else_all { open } else { kept }
}

#[cfg(test)]
mod replay;
#[cfg(test)]
mod tests;

//! One upstream as this VM sees it: its record, its load by the word of all,
//! and whether it is cold or gone.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::{
    clock::BootInstant,
    id::{
        DataHallId, ServiceId, StartMs, UpstreamId, UpstreamIncarnation,
        VersionId,
    },
    message::{InFlightWork, ShortHash},
    placing::{
        hall_way::HallWay,
        health::Health,
        reported_state::ReportedState,
        upstream::{Serves, Upstream, UpstreamRecord},
        warm_up::SentLately,
    },
};

/// Age at which what another VM told of its requests counts no more.
pub(super) const PEER_COUNT_LIFETIME: Duration = Duration::from_millis(2500);

/// Time that an upstream whose record vanished while the store was away
/// may still be used; a live one is back within about two seconds.
pub(super) const VANISHED_GRACE: Duration = Duration::from_millis(1500);

/// Time in which what an upstream stated of its requests loses half of its
/// weight; short calls come and go meanwhile.
const STATED_HALF_LIFE: Duration = Duration::from_millis(200);

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
    /// Its name, which no other upstream has.
    pub id: UpstreamId,
    /// When it started; `None` where upstreams do not tell that.
    pub started: Option<StartMs>,
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

/// How an entry stands to one that was told before under the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Succession {
    /// It is of the same life.
    Same,
    /// It has changed what no life changes, or is ready again after it was
    /// leaving, but tells no later start: what was begun may still end well.
    Changed,
    /// It is of a later life.
    Later,
    /// It is of an earlier life.
    Earlier,
}

impl UpstreamEntry {
    /// The life that it is of.
    pub fn life(&self) -> UpstreamIncarnation {
        UpstreamIncarnation { id: self.id.clone(), started: self.started }
    }

    /// How it stands to an entry that was told before.
    pub(super) fn succession(&self, held: &UpstreamEntry) -> Succession {
        if let (Some(own), Some(held)) = (self.started, held.started)
            && own != held
        {
            return match own > held {
                true => Succession::Later,
                false => Succession::Earlier,
            };
        }
        let is_back = self.started.is_none()
            && held.state == UpstreamState::Leaving
            && self.state == UpstreamState::Ready;
        let is_alike = self.service == held.service
            && self.address == held.address
            && self.data_hall == held.data_hall
            && self.software == held.software
            && self.slots == held.slots;
        match is_alike && !is_back {
            true => Succession::Same,
            false => Succession::Changed,
        }
    }
}

/// The load that an upstream states in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
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
    pub(super) way: Arc<HallWay>,
    pub(super) reading_ms: AtomicU32,
    others: AtomicU32,
    others_reading: Mutex<ToldReading>,
    counts: Mutex<HashMap<String, PeerCount>>,
    pub(super) vanished_at: Mutex<Option<BootInstant>>,
    heard_at: Mutex<BootInstant>,
    cold_until: Mutex<Option<BootInstant>>,
    pub(super) sent_cold: Mutex<SentLately>,
    stated: Mutex<Option<Stated>>,
    /// Whether a later life has taken its place.
    is_superseded: AtomicBool,
    /// Whether one did although it was not leaving.
    has_crashed: AtomicBool,
}

/// Time that the prompts of the other VMs take to be read, as of some moment.
#[derive(Clone, Copy, Debug)]
struct ToldReading {
    /// What is left of it.
    left_ms: u32,
    /// All of it, as it was told.
    told_ms: u32,
    at: BootInstant,
}

/// What an upstream's own word says that it had.
#[derive(Clone, Copy, Debug)]
struct Stated {
    /// When it said so.
    at: BootInstant,
    /// Requests of other VMs.
    others: u32,
    /// The time that the prompts take which it had still to read.
    reading: Duration,
}

#[derive(Clone, Copy, Debug)]
struct PeerCount {
    work: InFlightWork,
    at: BootInstant,
}

impl PeerCount {
    /// What is left of the reading that was told: an upstream goes on with it
    /// while nothing more is heard, and beats of other data halls are rare.
    ///
    /// In the replay of 32 VMs before 32 engines that are busy for half of
    /// the time, prompts wait for 47 ms with this and for 76 ms without; busy
    /// for 0.7 of it, for 95 and 195 ms.
    fn reading_left_ms(&self, now: BootInstant) -> u32 {
        let age = now.saturating_duration_since(self.at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        u32::from(self.work.prefill_ms).saturating_sub(age_ms)
    }
}

impl Member {
    pub(super) fn new(
        entry: UpstreamEntry,
        reported_state: Arc<ReportedState>,
        way: Arc<HallWay>,
        now: BootInstant,
    ) -> Member {
        let record = UpstreamRecord {
            id: entry.id.clone(),
            data_hall: entry.data_hall.clone(),
            address: entry.address,
            serves: Serves::Service(entry.service.clone()),
            slots: entry.slots,
            checks_fence: false,
        };
        let short = ShortHash::of(&entry.life().to_string());
        let upstream =
            Upstream::with_word(record, short, reported_state, false, now);
        Member {
            upstream: Arc::new(upstream),
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
            is_superseded: AtomicBool::new(false),
            has_crashed: AtomicBool::new(false),
            entry,
        }
    }

    /// Whether new requests may go there.
    pub fn takes_requests(&self, now: BootInstant) -> bool {
        let vanished = *self.vanished_at.lock().expect("vanished lock");
        let is_there = vanished.is_none_or(|at| {
            now.saturating_duration_since(at) < VANISHED_GRACE
        });
        is_there && !self.upstream.is_leaving()
    }

    /// How long it is to get no request of this VM; zero if it may have one.
    pub fn rest_left(&self, now: BootInstant) -> Duration {
        self.upstream.reported_state.rest_left(now)
    }

    /// Its record with the state that was recorded last. What the upstream
    /// itself has said is left out: a record that still says `ready` would
    /// look like its return.
    pub(super) fn told(&self) -> UpstreamEntry {
        let state = match self.upstream.is_marked_leaving() {
            true => UpstreamState::Leaving,
            false => UpstreamState::Ready,
        };
        UpstreamEntry { state, ..self.entry.clone() }
    }

    /// Takes in a newer record of the same life.
    pub(super) fn take(&self, entry: &UpstreamEntry, now: BootInstant) {
        *self.vanished_at.lock().expect("vanished lock") = None;
        self.note_cold(now + entry.warm_up_left);
        if entry.state == UpstreamState::Leaving {
            self.upstream.mark_leaving();
        }
    }

    /// Notes that a later life has taken its place.
    pub(super) fn note_over(&self) {
        self.is_superseded.store(true, Ordering::Relaxed);
        // Whoever had said so has ended as planned.
        if self.upstream.mark_leaving() {
            self.has_crashed.store(true, Ordering::Relaxed);
        }
    }

    /// Whether a later life has taken its place although it was not leaving.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::Relaxed)
    }

    /// Whether a later life has taken its place: nothing more comes from it,
    /// and what failed with it says nothing of its version.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded.load(Ordering::Relaxed)
    }

    /// Requests that it probably holds, of all VMs: those of the others by
    /// what they have told, or by what the upstream has stated as long as
    /// that is fresh.
    pub fn requests(&self, now: BootInstant) -> u32 {
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
    pub fn utilization(&self, now: BootInstant) -> f64 {
        f64::from(self.requests(now)) / f64::from(self.entry.slots.max(1))
    }

    /// Whether it bears only few requests for now.
    pub fn is_cold(&self, now: BootInstant) -> bool {
        let until = *self.cold_until.lock().expect("cold lock");
        until.is_some_and(|until| now < until)
    }

    /// Notes that it is cold until then, if not for longer already.
    pub(super) fn note_cold(&self, until: BootInstant) {
        let mut held = self.cold_until.lock().expect("cold lock");
        *held = Some(held.map_or(until, |held| held.max(until)));
    }

    /// Notes that something came from it.
    pub fn record_activity(&self, now: BootInstant) {
        *self.heard_at.lock().expect("heard lock") = now;
        self.way.record_activity(now);
    }

    /// Notes that no connection to it could be opened.
    pub fn record_connect_failure(&self, now: BootInstant) {
        self.way.record_connect_failure(now);
    }

    /// How long nothing has come from it.
    pub fn silence(&self, now: BootInstant) -> Duration {
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
    pub fn prefill_backlog(&self, now: BootInstant) -> Duration {
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
    pub fn max_prefill_backlog(&self, now: BootInstant) -> Duration {
        let own = self.reading_ms.load(Ordering::Relaxed);
        let told = self.others_reading.lock().expect("told lock").told_ms;
        let told = Duration::from_millis(u64::from(own) + u64::from(told));
        told.max(self.prefill_backlog(now))
    }

    /// Takes in what the upstream stated at that time, where each request
    /// that waits takes `each` to read; returns whether that is news.
    pub(super) fn note_stated(
        &self,
        load: LoadReport,
        each: Duration,
        at: BootInstant,
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
    pub fn begin_prefill(
        self: &Arc<Self>,
        expected: Duration,
    ) -> PrefillGuard {
        let ms = u32::try_from(expected.as_millis()).unwrap_or(u32::MAX);
        self.reading_ms.fetch_add(ms, Ordering::Relaxed);
        PrefillGuard { member: self.clone(), ms }
    }

    /// Takes in what another VM has there.
    pub fn set_peer_work(
        &self,
        vm: &str,
        work: InFlightWork,
        now: BootInstant,
    ) {
        let mut counts = self.counts.lock().expect("counts lock");
        if work == InFlightWork::default() {
            counts.remove(vm);
        } else {
            counts.insert(vm.to_owned(), PeerCount { work, at: now });
        }
        self.sum_up(&mut counts, now);
    }

    /// Leaves out what was told too long ago.
    pub(super) fn forget_old_work(&self, now: BootInstant) {
        let mut counts = self.counts.lock().expect("counts lock");
        if !counts.is_empty() {
            self.sum_up(&mut counts, now);
        }
    }

    fn sum_up(
        &self,
        counts: &mut HashMap<String, PeerCount>,
        now: BootInstant,
    ) {
        counts.retain(|_, count| {
            now.saturating_duration_since(count.at) < PEER_COUNT_LIFETIME
        });
        let requests = counts.values().map(|c| u32::from(c.work.requests));
        self.others.store(requests.sum(), Ordering::Relaxed);
        let left_ms = counts.values().map(|c| c.reading_left_ms(now)).sum();
        let told_ms =
            counts.values().map(|c| u32::from(c.work.prefill_ms)).sum();
        let told = ToldReading { left_ms, told_ms, at: now };
        *self.others_reading.lock().expect("told lock") = told;
    }
}

/// Counts a prompt as being read while it lives.
#[derive(Debug)]
pub struct PrefillGuard {
    member: Arc<Member>,
    ms: u32,
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.member.reading_ms.fetch_sub(self.ms, Ordering::Relaxed);
    }
}

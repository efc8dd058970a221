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
        hall_link::HallLink,
        health::Health,
        reported_state::ReportedState,
        upstream::{Serves, Upstream, UpstreamRecord},
        warm_up::SendWindow,
    },
};

/// Age at which what another VM told of its requests counts no more.
pub(super) const PEER_WORK_LIFETIME: Duration = Duration::from_millis(2500);

/// Time that an upstream whose record vanished while the store was away
/// may still be used; a live one is back within about two seconds.
pub(super) const VANISHED_GRACE: Duration = Duration::from_millis(1500);

/// Time in which what an upstream reported of its requests loses half of its
/// weight; short calls come and go meanwhile.
const REPORTED_LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

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
pub(super) enum EntryRelation {
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
    pub(super) fn relation_to(&self, known: &UpstreamEntry) -> EntryRelation {
        if let (Some(own), Some(known)) = (self.started, known.started)
            && own != known
        {
            return match own > known {
                true => EntryRelation::Later,
                false => EntryRelation::Earlier,
            };
        }
        let is_back = self.started.is_none()
            && known.state == UpstreamState::Leaving
            && self.state == UpstreamState::Ready;
        let is_alike = self.service == known.service
            && self.address == known.address
            && self.data_hall == known.data_hall
            && self.software == known.software
            && self.slots == known.slots;
        match is_alike && !is_back {
            true => EntryRelation::Same,
            false => EntryRelation::Changed,
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
    pub(super) link: Arc<HallLink>,
    pub(super) prefill_ms: AtomicU32,
    peer_requests: AtomicU32,
    peer_prefill: Mutex<PeerPrefill>,
    peer_work: Mutex<HashMap<String, PeerWork>>,
    pub(super) vanished_at: Mutex<Option<BootInstant>>,
    active_at: Mutex<BootInstant>,
    cold_until: Mutex<Option<BootInstant>>,
    pub(super) cold_sends: Mutex<SendWindow>,
    reported_load: Mutex<Option<ReportedLoad>>,
    /// Whether a later life has taken its place.
    is_superseded: AtomicBool,
    /// Whether one did although it was not leaving.
    has_crashed: AtomicBool,
}

/// Time that the prompts of the other VMs take to be read, as of some moment.
#[derive(Clone, Copy, Debug)]
struct PeerPrefill {
    /// What is left of it.
    left_ms: u32,
    /// All of it, as it was told.
    reported_ms: u32,
    at: BootInstant,
}

/// What an upstream's own word says that it had.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    /// When it said so.
    at: BootInstant,
    /// Requests of other VMs.
    peer_requests: u32,
    /// The time that the prompts take which it had still to read.
    prefill: Duration,
}

#[derive(Clone, Copy, Debug)]
struct PeerWork {
    work: InFlightWork,
    at: BootInstant,
}

impl PeerWork {
    /// What is left of the reading that was told: an upstream goes on with it
    /// while nothing more is heard, and beats of other data halls are rare.
    ///
    /// In the replay of 32 VMs before 32 engines that are busy for half of
    /// the time, prompts wait for 47 ms with this and for 76 ms without; busy
    /// for 0.7 of it, for 95 and 195 ms.
    fn prefill_left_ms(&self, now: BootInstant) -> u32 {
        let age = now.saturating_duration_since(self.at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        u32::from(self.work.prefill_ms).saturating_sub(age_ms)
    }
}

impl Member {
    pub(super) fn new(
        entry: UpstreamEntry,
        reported_state: Arc<ReportedState>,
        link: Arc<HallLink>,
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
        let upstream = Upstream::with_reported_state(
            record,
            short,
            reported_state,
            false,
            now,
        );
        Member {
            upstream: Arc::new(upstream),
            health: Health::new(now),
            link,
            prefill_ms: AtomicU32::new(0),
            peer_requests: AtomicU32::new(0),
            peer_prefill: Mutex::new(PeerPrefill {
                left_ms: 0,
                reported_ms: 0,
                at: now,
            }),
            peer_work: Mutex::default(),
            vanished_at: Mutex::new(None),
            active_at: Mutex::new(now),
            cold_until: Mutex::new(Some(now + entry.warm_up_left)),
            cold_sends: Mutex::default(),
            reported_load: Mutex::default(),
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
    pub fn backoff_left(&self, now: BootInstant) -> Duration {
        self.upstream.reported_state.backoff_left(now)
    }

    /// Its record with the state that was recorded last. What the upstream
    /// itself has said is left out: a record that still says `ready` would
    /// look like its return.
    pub(super) fn recorded_entry(&self) -> UpstreamEntry {
        let state = match self.upstream.is_marked_leaving() {
            true => UpstreamState::Leaving,
            false => UpstreamState::Ready,
        };
        UpstreamEntry { state, ..self.entry.clone() }
    }

    /// Takes in a newer record of the same life.
    pub(super) fn update(&self, entry: &UpstreamEntry, now: BootInstant) {
        *self.vanished_at.lock().expect("vanished lock") = None;
        self.mark_cold_until(now + entry.warm_up_left);
        if entry.state == UpstreamState::Leaving {
            self.upstream.mark_leaving();
        }
    }

    /// Notes that a later life has taken its place.
    pub(super) fn mark_superseded(&self) {
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
    /// what they have told, or by what the upstream has reported as long as
    /// that is fresh.
    pub fn requests(&self, now: BootInstant) -> u32 {
        let told = f64::from(self.peer_requests.load(Ordering::Relaxed));
        let reported = *self.reported_load.lock().expect("reported load lock");
        let others = reported.map_or(told, |reported| {
            let age = now.saturating_duration_since(reported.at);
            let halves =
                age.as_secs_f64() / REPORTED_LOAD_HALF_LIFE.as_secs_f64();
            let weight = 0.5_f64.powf(halves);
            f64::from(reported.peer_requests) * weight + told * (1.0 - weight)
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
    pub(super) fn mark_cold_until(&self, until: BootInstant) {
        let mut held = self.cold_until.lock().expect("cold lock");
        *held = Some(held.map_or(until, |held| held.max(until)));
    }

    /// Notes that something came from it.
    pub fn record_activity(&self, now: BootInstant) {
        *self.active_at.lock().expect("activity lock") = now;
        self.link.record_activity(now);
    }

    /// Notes that no connection to it could be opened.
    pub fn record_connect_failure(&self, now: BootInstant) {
        self.link.record_connect_failure(now);
    }

    /// How long nothing has come from it.
    pub fn silence(&self, now: BootInstant) -> Duration {
        let active_at = *self.active_at.lock().expect("activity lock");
        now.saturating_duration_since(active_at)
    }

    /// Time that the prompts take which are being read there, or wait to be,
    /// by what the VMs have told each other or by what the upstream has reported
    /// of all of them, whichever is more.
    ///
    /// VMs of other data halls are heard rarely in a large fleet, and what
    /// they send there is not known here: in the same replay prompts wait for
    /// 44 ms with what engines state and 47 ms without, and 78 and 95 ms.
    pub fn prefill_backlog(&self, now: BootInstant) -> Duration {
        let own = self.prefill_ms.load(Ordering::Relaxed);
        let others = *self.peer_prefill.lock().expect("peer prefill lock");
        let passed = now.saturating_duration_since(others.at);
        let others = Duration::from_millis(others.left_ms.into());
        let told =
            Duration::from_millis(own.into()) + others.saturating_sub(passed);
        let reported = *self.reported_load.lock().expect("reported load lock");
        let reported = reported.map_or(Duration::ZERO, |reported| {
            let passed = now.saturating_duration_since(reported.at);
            reported.prefill.saturating_sub(passed)
        });
        told.max(reported)
    }

    /// The most that it may still have to read: what other VMs have told may
    /// take longer than expected, or more may have come after it.
    pub fn max_prefill_backlog(&self, now: BootInstant) -> Duration {
        let own = self.prefill_ms.load(Ordering::Relaxed);
        let told =
            self.peer_prefill.lock().expect("peer prefill lock").reported_ms;
        let told = Duration::from_millis(u64::from(own) + u64::from(told));
        told.max(self.prefill_backlog(now))
    }

    /// Takes in what the upstream reported at that time, where each request
    /// that waits takes `each` to read; returns whether that is news.
    pub(super) fn update_reported_load(
        &self,
        load: LoadReport,
        each: Duration,
        at: BootInstant,
    ) -> bool {
        let mut reported =
            self.reported_load.lock().expect("reported load lock");
        if reported.is_some_and(|reported| reported.at >= at) {
            return false;
        }
        let all = load.running + load.waiting;
        *reported = Some(ReportedLoad {
            at,
            peer_requests: all.saturating_sub(self.upstream.in_flight()),
            prefill: each.saturating_mul(load.waiting),
        });
        true
    }

    /// Counts a prompt as being read there while the guard lives.
    pub fn begin_prefill(
        self: &Arc<Self>,
        expected: Duration,
    ) -> PrefillGuard {
        let ms = u32::try_from(expected.as_millis()).unwrap_or(u32::MAX);
        self.prefill_ms.fetch_add(ms, Ordering::Relaxed);
        PrefillGuard { member: self.clone(), ms }
    }

    /// Takes in what another VM has there.
    pub fn set_peer_work(
        &self,
        vm: &str,
        work: InFlightWork,
        now: BootInstant,
    ) {
        let mut counts = self.peer_work.lock().expect("peer work lock");
        if work == InFlightWork::default() {
            counts.remove(vm);
        } else {
            counts.insert(vm.to_owned(), PeerWork { work, at: now });
        }
        self.update_peer_totals(&mut counts, now);
    }

    /// Leaves out what was told too long ago.
    pub(super) fn expire_peer_work(&self, now: BootInstant) {
        let mut counts = self.peer_work.lock().expect("peer work lock");
        if !counts.is_empty() {
            self.update_peer_totals(&mut counts, now);
        }
    }

    fn update_peer_totals(
        &self,
        counts: &mut HashMap<String, PeerWork>,
        now: BootInstant,
    ) {
        counts.retain(|_, count| {
            now.saturating_duration_since(count.at) < PEER_WORK_LIFETIME
        });
        let requests = counts.values().map(|c| u32::from(c.work.requests));
        self.peer_requests.store(requests.sum(), Ordering::Relaxed);
        let left_ms = counts.values().map(|c| c.prefill_left_ms(now)).sum();
        let reported_ms =
            counts.values().map(|c| u32::from(c.work.prefill_ms)).sum();
        let told = PeerPrefill { left_ms, reported_ms, at: now };
        *self.peer_prefill.lock().expect("peer prefill lock") = told;
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
        self.member.prefill_ms.fetch_sub(self.ms, Ordering::Relaxed);
    }
}

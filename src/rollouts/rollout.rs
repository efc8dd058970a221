//! Rollouts of a service's software: which requests a new version gets, and
//! whether it is kept.
//!
//! An operator orders a version and sets a time limit. In the first phase, the
//! canary phase, a small share of the requests goes to the new version, but
//! no session that began on the old one. The phase lasts until enough answers
//! have arrived to compare the versions, or hardly any time is left. If the
//! answers are as good as the old version's, the requests move to the new one
//! at the end of the allowed time: all sessions at a time that is announced
//! before, requests without a session first where they would outlast it. The
//! rollout is completed once the old version has nothing in flight, at the
//! latest shortly before the time is over. If the answers are worse, the new
//! version gets no more requests and the rollout is reverted.
//!
//! Some versions are bad only under conditions that do not occur during the
//! trial, so that no comparison can tell them from good ones. The requests
//! move so late that any version keeps to the operator's bound.
//!
//! Every VM evaluates the evidence of all VMs and stops the version by itself.
//! The share of the sessions on trial is the same at all VMs, and each VM bounds
//! that of its other requests, so the bound holds however many VMs are alive or
//! can reach each other.

use std::{collections::HashMap, fmt, time::Duration};

use crate::{
    chains::store::StoreVersion,
    clock::BootInstant,
    id::{ServiceId, VersionId},
    message::ShortHash,
    placing::health::AttemptOutcome,
    rollouts::{
        answer_time::AnswerTime,
        baseline::Baseline,
        comparison::{AnswerCounts, Comparison},
        durations::Durations,
        evidence::{Evidence, HallEvidence, OldVersionSession},
        exposure::{ExposureLimit, SentRequests},
        fleet_place::FleetPlace,
        peer_evidence::{
            AnswersByRoute, Delivery, PeerEvidence, from_list,
            old_version_session, to_list,
        },
        sessions::Sessions,
        stored_evidence::{StoredEvidence, VmAnswers},
    },
    unit::Share,
};

/// Part of the allowed time that the canary phase lasts at least: sessions may
/// change their version only in the second half.
const MIN_CANARY_PART: f64 = 0.52;

/// Number of complete answers of the new version that end the canary phase. By
/// then a version that fails a third of its requests has had the four bad
/// answers for which it is stopped.
const MIN_CANARY_ANSWERS: u32 = 12;

/// Number of complete answers of the new version from which all requests may
/// move to it.
const MIN_MOVE_ANSWERS: u32 = 36;

/// Part of the allowed time from which fewer answers suffice: a good version
/// must be completed even if there are hardly any requests.
const FEW_ANSWERS_PART: f64 = 0.8;

/// Part of the allowed time for which a VM must have had the order to tell
/// that there are few requests.
const MIN_WATCHED_PART: f64 = 0.6;

/// Time before sessions move to the new version at which that is scheduled. By
/// then all VMs know of it: that takes a heartbeat within the data hall, one to
/// another hall, and one within that hall.
const MOVE_NOTICE: Duration = Duration::from_millis(2500);

/// Largest part of the allowed time that this takes.
const MAX_MOVE_NOTICE_PART: f64 = 0.125;

/// Part of the allowed time, from when all requests go to the new version,
/// for the last requests at the old version to end.
const DRAIN_PART: f64 = 0.02;

/// Part of the allowed time after which a rollout is completed even if the old
/// version still has requests in flight.
const COMPLETE_AT_PART: f64 = 0.965;

/// Part of the allowed time after which a rollout is reverted if the new
/// version is not proven. Later than [`COMPLETE_AT_PART`], so that a VM that
/// has not received the end of the canary phase does not revert a completed
/// rollout.
const REVERT_AT_PART: f64 = 0.975;

/// Time after which a VM that is not the steward writes to the store that a
/// version was stopped, if no other VM has.
const FALLBACK_RECORD_DELAY: Duration = Duration::from_millis(700);

/// Time after which deputies end a rollout if the steward has not: it may be
/// restarting, and the others still take it for alive.
const DEPUTY_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of sessions in one heartbeat; a VM has a few at a time.
const MAX_SESSIONS_PER_HEARTBEAT: usize = 64;

/// An operator's order to roll out a version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The new version.
    pub target: VersionId,
    /// The time within which the rollout has to be completed or reverted.
    pub time_allowed: Duration,
}

/// The progress of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutProgress {
    /// The rollout is neither completed nor reverted.
    Running,
    /// The new version gets all requests.
    Completed,
    /// The old version gets all requests again.
    Reverted,
}

impl fmt::Display for RolloutProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RolloutProgress::Running => "running",
            RolloutProgress::Completed => "completed",
            RolloutProgress::Reverted => "reverted",
        })
    }
}

/// The status of a rollout, as written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The new version.
    pub target: VersionId,
    /// The progress of the rollout.
    pub progress: RolloutProgress,
}

/// One rollout as this VM knows it.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: RolloutOrder,
    session_lifetime: Duration,
    /// When this VM got the order.
    learned_at: BootInstant,
    /// When the order was given: the earliest time that any VM has reported.
    started_at: BootInstant,
    /// The latest progress that any VM has written to the store; `None` if
    /// there is none yet.
    pub(super) progress: Option<RolloutProgress>,
    /// The progress that the store holds. It is behind `progress` if the store
    /// came back from an older copy.
    recorded: Option<RolloutProgress>,
    /// When this VM stopped the new version, by itself or because another VM
    /// did.
    stopped_at: Option<BootInstant>,
    /// How long after `started_at` the canary phase ended. All VMs adopt the
    /// earliest end.
    pub(super) canary_ended: Option<Duration>,
    /// How long after `started_at` all sessions move to the new version; `None`
    /// until a VM schedules it. All VMs adopt the earliest time, before it
    /// comes, so that a session which one of them moved is not moved back by
    /// another.
    sessions_move: Option<Duration>,
    limit: ExposureLimit,
    fleet: FleetPlace,
    /// Share of the requests without a session that the new version gets in
    /// the canary phase.
    trial_share: Share,
    /// Whether the new version has given enough answers for all requests to
    /// move to it.
    is_proven: bool,
    /// How long after `started_at` the requests without a session were moved
    /// to it.
    all_moved: Option<Duration>,
    /// Whether the new version's answers gave reason to doubt it when they
    /// were last evaluated.
    is_doubtful: bool,
    /// The attempts that this VM has sent since it got the order, to the old
    /// and the new version.
    sent: [u32; 2],
    /// The attempts that all VMs had sent when the rollout was last evaluated,
    /// as far as this VM knew.
    fleet_sent: SentRequests,
    /// `sent` at that time.
    sent_when_evaluated: [u32; 2],
    /// This VM's answers.
    own_answers: AnswersByRoute,
    /// The old version's times to the first part of an answer, by route.
    baselines: HashMap<ShortHash, Baseline>,
    /// How long this VM's requests take.
    durations: Durations,
    pub(super) peers: PeerEvidence,
}

/// A version, as the index of its answer counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionSide {
    Old = 0,
    New = 1,
}

impl Rollout {
    pub(super) fn new(
        order: RolloutOrder,
        session_lifetime: Duration,
        limit: ExposureLimit,
        now: BootInstant,
    ) -> Rollout {
        Rollout {
            order,
            limit,
            fleet: FleetPlace::default(),
            trial_share: limit.trial_share(None),
            is_proven: false,
            all_moved: None,
            session_lifetime,
            learned_at: now,
            started_at: now,
            progress: None,
            recorded: None,
            stopped_at: None,
            canary_ended: None,
            sessions_move: None,
            is_doubtful: false,
            sent: [0; 2],
            fleet_sent: SentRequests::default(),
            sent_when_evaluated: [0; 2],
            own_answers: HashMap::new(),
            baselines: HashMap::new(),
            durations: Durations::default(),
            peers: PeerEvidence::default(),
        }
    }

    /// Whether the new version was withdrawn. A version whose rollout is
    /// recorded as completed is the only one left, even if this VM stopped it.
    pub(super) fn is_withdrawn(&self) -> bool {
        match self.progress {
            Some(RolloutProgress::Reverted) => true,
            Some(RolloutProgress::Completed) => false,
            Some(RolloutProgress::Running) | None => self.stopped_at.is_some(),
        }
    }

    /// Applies the status that the store holds. A rollout that has ended stays
    /// ended.
    pub(super) fn apply_status(&mut self, progress: RolloutProgress) {
        self.recorded = Some(progress);
        if self.is_running() || progress != RolloutProgress::Running {
            self.progress = Some(progress);
        }
    }

    /// Forgets what the store holds.
    pub(super) fn forget_recorded(&mut self) {
        self.recorded = None;
    }

    /// Whether the store holds the outcome.
    pub(super) fn is_recorded(&self) -> bool {
        !self.is_running() && self.recorded == self.progress
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.progress, None | Some(RolloutProgress::Running))
    }

    /// Returns the elapsed part of the allowed time; above 1 once it is over.
    fn elapsed_part(&self, now: BootInstant) -> f64 {
        self.part(now.saturating_duration_since(self.started_at))
    }

    /// Returns a duration as a part of the allowed time.
    fn part(&self, time: Duration) -> f64 {
        let allowed = self.order.time_allowed.as_secs_f64().max(0.001);
        time.as_secs_f64() / allowed
    }

    /// Schedules the move of all sessions to a proven version, once the other
    /// VMs have just the time left to learn of it.
    ///
    /// It is not taken back if the version becomes doubtful afterwards, since
    /// VMs would do so at different times.
    fn schedule_move(&mut self, now: BootInstant) {
        if self.sessions_move.is_some() || !self.may_move() {
            return;
        }
        let allowed = self.order.time_allowed;
        let notice = MOVE_NOTICE.min(allowed.mul_f64(MAX_MOVE_NOTICE_PART));
        let planned = allowed.mul_f64(self.limit.move_part());
        let earliest = now.saturating_duration_since(self.started_at) + notice;
        if earliest >= planned {
            self.sessions_move = Some(earliest);
        }
    }

    /// Whether requests may move to the new version.
    fn may_move(&self) -> bool {
        self.canary_ended.is_some() && self.is_proven && !self.is_doubtful
    }

    /// Ends the canary phase once it has lasted long enough and the new
    /// version has proven itself.
    fn end_canary(&mut self, now: BootInstant) {
        let elapsed = self.elapsed_part(now);
        if self.canary_ended.is_some() || elapsed < MIN_CANARY_PART {
            return;
        }
        if self.has_enough_answers(MIN_CANARY_ANSWERS, now) {
            let running = now.saturating_duration_since(self.started_at);
            self.canary_ended = Some(running);
        }
    }

    /// Moves all requests once the rest of the allowed time is so short that
    /// this keeps to the bound.
    fn update_exposure(&mut self, now: BootInstant) {
        let elapsed = self.elapsed_part(now);
        let [old, new] = self.answers_by_version();
        let sent = SentRequests {
            old: f64::from(old.sent),
            new: f64::from(new.sent),
        };
        self.fleet_sent = sent;
        self.sent_when_evaluated = self.sent;
        let all = sent.old + sent.new;
        let expected = (all > 0.0).then(|| all / elapsed.clamp(0.001, 1.0));
        self.trial_share = self.limit.trial_share(expected);
        if self.may_move()
            && self.all_moved.is_none()
            && all > 0.0
            && self.limit.may_send_all(sent, elapsed)
        {
            let running = now.saturating_duration_since(self.started_at);
            self.all_moved = Some(running);
        }
    }

    /// Whether the new version has given `wanted` complete answers that do not
    /// make it doubtful, and their times could be compared.
    ///
    /// Once [`FEW_ANSWERS_PART`] of the allowed time has passed, a third of them
    /// suffices, and any number if there are few requests.
    fn has_enough_answers(&self, wanted: u32, now: BootInstant) -> bool {
        let [old, new] = self.answers_by_version();
        let is_late = self.elapsed_part(now) >= FEW_ANSWERS_PART;
        let is_compared = self.comparison().exceeded_percent().is_some();
        let is_comparable = old.times.count() > 0;
        let has_third = new.complete >= wanted / 3 && is_compared;
        let has_all =
            new.complete >= wanted && (is_compared || !is_comparable);
        let has_answers = has_all
            || is_late
                && (has_third || self.has_few_requests([old, new], now));
        has_answers && !self.is_doubtful
    }

    /// Whether the new version has few answers because the service gets few
    /// requests, and not because its answers are late, lost or forgotten: its
    /// share of what the old version got would not have given enough of them.
    ///
    /// A VM that has not had the order for long cannot tell: others may have
    /// seen more.
    fn has_few_requests(
        &self,
        [old, new]: [AnswerCounts; 2],
        now: BootInstant,
    ) -> bool {
        let watched = now.saturating_duration_since(self.learned_at);
        let attempts = f64::from(old.complete + old.lost);
        let is_too_few = |share: Share| {
            attempts * share.value() < f64::from(MIN_CANARY_ANSWERS)
        };
        // How many of the requests had sessions is not known.
        let has_few = is_too_few(self.trial_share)
            || is_too_few(self.limit.session_share())
                && new.sent < MIN_CANARY_ANSWERS;
        has_few && self.part(watched) >= MIN_WATCHED_PART
    }

    /// Returns the answer counts of the old and the new version on all routes.
    pub(super) fn answers_by_version(&self) -> [AnswerCounts; 2] {
        sum_routes(&self.all_answers())
    }

    /// Returns the comparison of both versions on all routes.
    pub(super) fn comparison(&self) -> Comparison {
        let routes: Vec<[AnswerCounts; 2]> =
            self.all_answers().into_values().collect();
        Comparison::new(&routes)
    }

    /// Returns the answer counts of all VMs, by route.
    fn all_answers(&self) -> AnswersByRoute {
        let mut all_answers = self.own_answers.clone();
        self.peers.add_answers(&mut all_answers);
        all_answers
    }

    /// Returns the evidence of the VMs of this hall, to be kept in the store;
    /// `None` without any on the new version.
    pub(super) fn evidence_to_store(
        &self,
        service: &ServiceId,
        own_vm: ShortHash,
        order_version: StoreVersion,
        now: BootInstant,
    ) -> Option<StoredEvidence> {
        let mut by_vm = self.peers.answers_by_vm();
        by_vm.push((own_vm, self.own_answers.clone()));
        by_vm.sort_by_key(|(vm, _)| *vm);
        let is_new = |answers: &AnswersByRoute| {
            let mut sides = answers.values();
            sides.any(|[_, new]| *new != AnswerCounts::default())
        };
        if !by_vm.iter().any(|(_, answers)| is_new(answers)) {
            return None;
        }
        let vms = by_vm.iter().map(|(vm, answers)| VmAnswers {
            vm: *vm,
            answers: to_list(answers),
        });
        let progress = Evidence {
            answers: Vec::new(),
            ..self.evidence(service, None, 0, now)
        };
        Some(StoredEvidence { order_version, progress, vms: vms.collect() })
    }

    /// Merges the evidence that the store keeps for this hall.
    ///
    /// A VM that has counted no answer yet has just started, and continues the
    /// counts of its previous incarnation.
    pub(super) fn merge_stored(
        &mut self,
        stored: &StoredEvidence,
        own_vm: ShortHash,
        now: BootInstant,
    ) {
        self.merge_progress(&stored.progress, now);
        for VmAnswers { vm, answers } in &stored.vms {
            if *vm != own_vm {
                self.peers.merge_stored_vm(*vm, answers);
            } else if self.own_answers.is_empty() {
                self.own_answers = from_list(answers);
            }
        }
    }

    /// Records that this VM has sent an attempt to a version.
    pub(super) fn record_sent(&mut self, software: &VersionId, route: &str) {
        let side = self.side(software) as usize;
        self.sent[side] += 1;
        let answers = self.own_answers.entry(ShortHash::of(route));
        answers.or_default()[side].sent += 1;
    }

    /// Records how long a request took, to the end of its answer.
    pub(super) fn record_duration(&mut self, route: &str, took: Duration) {
        self.durations.record(ShortHash::of(route), took);
    }

    /// Sets the place of this VM in its fleet.
    pub(super) fn set_fleet_place(&mut self, fleet: FleetPlace) {
        self.fleet = fleet;
    }

    /// Returns this VM's sessions on the old version that the hash would
    /// assign to the canary.
    fn old_sessions(
        &self,
        own: &Sessions,
        now: BootInstant,
    ) -> Vec<OldVersionSession> {
        if self.have_sessions_moved(now) {
            return Vec::new();
        }
        let target = &self.order.target;
        let old = own.on_other_versions(target, self.session_lifetime, now);
        let share = self.limit.session_share().value();
        let drawn = old.filter(|(old, _)| self.draw(*old) < share);
        let sessions = drawn.map(|(old, idle)| old_version_session(old, idle));
        sessions.take(MAX_SESSIONS_PER_HEARTBEAT).collect()
    }

    fn side(&self, software: &VersionId) -> VersionSide {
        match *software == self.order.target {
            true => VersionSide::New,
            false => VersionSide::Old,
        }
    }

    /// Records the outcome of an attempt, with the time to the first part of
    /// its answer, or the time for which that was waited for in vain.
    ///
    /// Times of both versions count as bad alike: some answers of any version
    /// take far longer than the mean.
    pub(super) fn record_answer(
        &mut self,
        software: &VersionId,
        route: &str,
        outcome: AttemptOutcome,
        time: Option<AnswerTime>,
    ) {
        let side = self.side(software);
        let route = ShortHash::of(route);
        let baseline = self.baselines.entry(route).or_default();
        let is_slow = time.is_some_and(|time| baseline.is_slow(time.ratio()));
        let is_bad = is_slow || outcome == AttemptOutcome::Failed;
        let answers =
            &mut self.own_answers.entry(route).or_default()[side as usize];
        if outcome == AttemptOutcome::Lost && !is_bad {
            answers.lost += 1;
            return;
        }
        answers.complete += 1;
        answers.bad += u32::from(is_bad);
        let Some(time) = time else { return };
        if outcome == AttemptOutcome::Lost && side == VersionSide::Old {
            return;
        }
        if side == VersionSide::Old {
            baseline.record(time.ratio());
        }
        if time.is_unqueued {
            answers.times.record(time.ratio());
        }
    }

    /// Returns this VM's evidence, for the VMs of its hall.
    pub(super) fn evidence(
        &self,
        service: &ServiceId,
        own: Option<&Sessions>,
        old_in_flight: u32,
        now: BootInstant,
    ) -> Evidence {
        let running = now.saturating_duration_since(self.started_at);
        Evidence {
            service: ShortHash::of(service.as_str()),
            target: ShortHash::of(self.order.target.as_str()),
            running_ms: running.as_millis() as u32,
            canary_ended_ms: self
                .canary_ended
                .map(|end| end.as_millis() as u32),
            sessions_move_ms: self
                .sessions_move
                .map(|at| at.as_millis() as u32),
            stopped: self.stopped_at.is_some(),
            old_in_flight: old_in_flight.min(u32::from(u16::MAX)) as u16,
            old_sessions: own
                .map_or_else(Vec::new, |own| self.old_sessions(own, now)),
            answers: to_list(&self.own_answers),
        }
    }

    /// Adds the evidence of the other VMs of this hall to `own`, this VM's.
    pub(super) fn hall_evidence(
        &self,
        own: Evidence,
        now: BootInstant,
    ) -> Evidence {
        let mut answers = self.own_answers.clone();
        self.peers.add_own_hall_answers(&mut answers);
        let others = self.peers.own_hall_in_flight(now);
        let old = u32::from(own.old_in_flight) + others;
        let mut old_sessions = own.old_sessions;
        if !self.have_sessions_moved(now) {
            old_sessions.extend(self.peers.sessions_of(None, now));
        }
        Evidence {
            old_in_flight: old.min(u32::from(u16::MAX)) as u16,
            old_sessions,
            answers: to_list(&answers),
            ..own
        }
    }

    /// Merges the evidence of a VM of this hall.
    pub(super) fn merge_evidence(
        &mut self,
        vm: &str,
        received: Evidence,
        now: BootInstant,
    ) {
        self.merge_progress(&received, now);
        self.peers.merge_vm(vm, received, now);
    }

    /// Merges the summed evidence of another hall.
    pub(super) fn merge_hall_evidence(
        &mut self,
        received: &HallEvidence,
        delivery: Delivery,
        now: BootInstant,
    ) {
        self.merge_progress(&received.evidence, now);
        self.peers.merge_hall(received, delivery, now);
    }

    /// Merges the start, the end of the canary phase, the time at which
    /// sessions move and the stop that another VM reports.
    fn merge_progress(&mut self, received: &Evidence, now: BootInstant) {
        // The VM that has had the order for longest knows best when it was
        // given. A restarted VM learns the time in this way.
        let running = Duration::from_millis(u64::from(received.running_ms));
        if let Some(started_at) = now.checked_sub(running) {
            self.started_at = self.started_at.min(started_at);
        }
        let end = received.canary_ended_ms;
        self.canary_ended = earliest(self.canary_ended, end);
        let moves = received.sessions_move_ms;
        self.sessions_move = earliest(self.sessions_move, moves);
        if received.stopped {
            self.stopped_at.get_or_insert(now);
        }
    }

    /// Stops the new version if its answers are worse than the old one's;
    /// returns the reason if this call stopped it.
    pub(super) fn evaluate(&mut self, now: BootInstant) -> Option<String> {
        if self.stopped_at.is_some() || !self.is_running() {
            return None;
        }
        let all_answers = self.all_answers();
        let routes: Vec<[AnswerCounts; 2]> =
            all_answers.into_values().collect();
        let all = Comparison::new(&routes);
        let by_route = routes.iter().map(std::slice::from_ref);
        let by_route: Vec<Comparison> =
            by_route.map(Comparison::new).collect();
        self.is_doubtful = all.is_doubtful()
            || by_route.iter().any(Comparison::is_doubtful_route);
        self.end_canary(now);
        self.is_proven |= self.canary_ended.is_some()
            && self.has_enough_answers(MIN_MOVE_ANSWERS, now);
        self.update_exposure(now);
        self.schedule_move(now);
        let mut comparisons = by_route.iter().chain([&all]);
        let reason = comparisons.find_map(Comparison::stop_reason)?;
        self.stopped_at = Some(now);
        Some(reason)
    }

    /// Returns the progress that this VM has to write to the store, if any.
    pub(super) fn pending_status(
        &self,
        is_steward: bool,
        old_in_flight: u32,
        other_halls: &[ShortHash],
        now: BootInstant,
    ) -> Option<RolloutProgress> {
        if !self.is_running() {
            let is_due = is_steward && !self.is_recorded();
            return self.progress.filter(|_| is_due);
        }
        if let Some(stopped_at) = self.stopped_at {
            let elapsed = now.saturating_duration_since(stopped_at);
            let is_due = is_steward || elapsed >= FALLBACK_RECORD_DELAY;
            return is_due.then_some(RolloutProgress::Reverted);
        }
        if is_steward && self.recorded.is_none() {
            return Some(RolloutProgress::Running);
        }
        if is_steward {
            return self.due_end(old_in_flight, other_halls, now);
        }
        let now = now.checked_sub(DEPUTY_DELAY)?;
        let is_due =
            self.fleet.is_deputy && self.elapsed_part(now) > COMPLETE_AT_PART;
        is_due.then(|| self.due_end(old_in_flight, other_halls, now))?
    }

    /// Returns how the rollout has to end now, if at all.
    fn due_end(
        &self,
        old_in_flight: u32,
        other_halls: &[ShortHash],
        now: BootInstant,
    ) -> Option<RolloutProgress> {
        let elapsed = self.elapsed_part(now);
        if !self.may_move() {
            return (elapsed >= REVERT_AT_PART)
                .then_some(RolloutProgress::Reverted);
        }
        let left = old_in_flight + self.peers.own_hall_in_flight(now);
        // The reports of other VMs are half a second old, so the rollout is
        // completed only some time after all requests go to the new version.
        let has_drained = |moved: Option<Duration>| {
            moved.is_some_and(|at| elapsed > self.part(at) + DRAIN_PART)
        };
        let is_moved =
            has_drained(self.all_moved) && has_drained(self.sessions_move);
        let is_drained =
            is_moved && left == 0 && self.peers.all_idle(other_halls, now);
        (is_drained || elapsed > COMPLETE_AT_PART)
            .then_some(RolloutProgress::Completed)
    }
}

/// Returns the earlier of a known time and one that was received, if any.
fn earliest(
    known: Option<Duration>,
    received_ms: Option<u32>,
) -> Option<Duration> {
    let received = received_ms.map(|ms| Duration::from_millis(u64::from(ms)));
    known.into_iter().chain(received).min()
}

/// Returns the answer counts of both versions on all routes.
fn sum_routes(answers: &AnswersByRoute) -> [AnswerCounts; 2] {
    let mut sum = [AnswerCounts::default(); 2];
    for [old, new] in answers.values() {
        sum[VersionSide::Old as usize].add(*old);
        sum[VersionSide::New as usize].add(*new);
    }
    sum
}

mod version_choice;

#[cfg(test)]
mod tests;

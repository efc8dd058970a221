//! Roll-outs of a service's software: which requests a new version gets, and
//! whether it is kept.
//!
//! An operator orders a version and allows a time for it. In the first part of
//! that time a small share of the requests goes to it, and none of a session
//! that began on the old one. That lasts until enough answers have come to
//! judge it by, or hardly any time is left. If its answers are as good as the
//! old version's, all requests go to it, and the roll-out is completed once
//! the old version has nothing left to do. If they are worse, it gets nothing
//! more and the roll-out is reverted.
//!
//! Every VM judges by the evidence of all VMs and stops by itself; the share
//! is bounded on each VM, so the bound holds however many are alive or can
//! hear each other.

use std::{collections::HashMap, fmt, time::Duration};

use crate::{
    clock::BootInstant,
    id::{ServiceId, VersionId},
    message::ShortHash,
    placing::{health::AttemptOutcome, pool::VersionRule},
    rendezvous,
    rollouts::{
        choice::ChoiceReason,
        comparison::{AnswerCounts, is_worse},
        evidence::{Evidence, HallEvidence, OldVersionSession},
        peer_evidence::{
            AnswersByRoute, Delivery, PeerEvidence, old_version_session,
            to_list,
        },
        sessions::Sessions,
    },
};

/// Share of the requests that a new version gets on trial; the platform
/// allows `canary_share`, and repeated requests need room below it.
const CANARY_SHARE: f64 = 0.08;

/// Time after an order in which the new version gets nothing yet: by then all
/// VMs have heard of it and told which sessions are at the old one. It takes a
/// beat to those of the same data hall, one to another hall, and one more
/// there. Of 100 sessions a second that ask three times within 1.2 s, each
/// time at another of 240 VMs in six halls, 0.7 change their version in place
/// of 3.2 with 1.5 s (mean of six replays).
const CANARY_DELAY: Duration = Duration::from_millis(2500);

/// The same after this VM learned of the order, where others have known it
/// for longer: it hears all of its own hall within a beat, and what that knows
/// of other halls.
const SYNC_TIME: Duration = Duration::from_millis(1200);

/// Part of the allowed time until which the trial lasts; sessions may change
/// version only in the second half.
const CANARY_MIN_PART: f64 = 0.52;

/// AnswerCounts of the new version that end the trial. A version that fails a third
/// of its requests has failed the four by then that it is judged by; one that
/// rose by the time alone got a sixth of all requests where few came.
const CANARY_MIN_ANSWERS: u32 = 12;

/// Part of the allowed time at which the trial ends although there were fewer:
/// a good version must be completed where hardly anybody asks.
const CANARY_MAX_PART: f64 = 0.8;

/// Part of the allowed time after the trial for which a part of the requests
/// goes to the new version, before all do.
const PARTIAL_PART: f64 = 0.06;

/// The share of the requests in that part.
const PARTIAL_SHARE: f64 = 0.4;

/// Part of the allowed time after all requests go to the new version, in which
/// the old version's last ones are waited for.
const DRAIN_PART: f64 = 0.06;

/// Part of the allowed time after which a roll-out is completed although
/// the old version still works on something.
const COMPLETE_AT_PART: f64 = 0.93;

/// Time after which a VM that is not the steward records that a version was
/// stopped, if nobody has yet.
const FALLBACK_RECORD_DELAY: Duration = Duration::from_millis(700);

/// Sessions told in one beat; a VM has a few at a time.
const MAX_SESSIONS_PER_HEARTBEAT: usize = 64;

/// How many times the usual a first part of an answer may take before the
/// answer counts as bad.
const SLOW_FACTOR: f64 = 4.0;

/// Weight of one more time in the mean of a route's times.
const MEAN_WEIGHT: f64 = 0.1;

/// An operator's order to roll a version out.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The version.
    pub target: VersionId,
    /// The time within which it is to be done.
    pub time_allowed: Duration,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutProgress {
    /// Under way.
    Running,
    /// The new version has everything.
    Completed,
    /// The old version has everything again.
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

/// The state of a roll-out as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The version.
    pub target: VersionId,
    /// How far it is.
    pub progress: RolloutProgress,
}

/// One roll-out as this VM sees it.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: RolloutOrder,
    session_lifetime: Duration,
    /// When this VM learned of the order.
    learned_at: BootInstant,
    /// When it was given, as far as any VM knows.
    started_at: BootInstant,
    pub(super) progress: Option<RolloutProgress>,
    stopped_at: Option<BootInstant>,
    /// How long it had been running when the trial ended. All VMs go by the
    /// first that ended it, so that a session that moved with one of them
    /// does not move back with another.
    canary_ended: Option<Duration>,
    own: AnswersByRoute,
    first_part_s: HashMap<ShortHash, f64>,
    pub(super) told: PeerEvidence,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionSide {
    Old = 0,
    New = 1,
}

impl Rollout {
    pub(super) fn new(
        order: RolloutOrder,
        session_lifetime: Duration,
        now: BootInstant,
    ) -> Rollout {
        Rollout {
            order,
            session_lifetime,
            learned_at: now,
            started_at: now,
            progress: None,
            stopped_at: None,
            canary_ended: None,
            own: HashMap::new(),
            first_part_s: HashMap::new(),
            told: PeerEvidence::default(),
        }
    }

    /// Whether its version was taken back. One that all others have completed
    /// is the only one left, whatever this VM has seen of it.
    pub(super) fn is_withdrawn(&self) -> bool {
        match self.progress {
            Some(RolloutProgress::Reverted) => true,
            Some(RolloutProgress::Completed) => false,
            Some(RolloutProgress::Running) | None => self.stopped_at.is_some(),
        }
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.progress, None | Some(RolloutProgress::Running))
    }

    /// Part of the allowed time that has passed.
    fn passed(&self, now: BootInstant) -> f64 {
        self.part(now.saturating_duration_since(self.started_at))
    }

    /// A time as a part of the allowed one.
    fn part(&self, time: Duration) -> f64 {
        let allowed = self.order.time_allowed.as_secs_f64().max(0.001);
        time.as_secs_f64() / allowed
    }

    /// The share of the requests that the new version gets.
    fn share(&self, now: BootInstant) -> f64 {
        let passed = |since| now.saturating_duration_since(since);
        let is_early = passed(self.started_at) < CANARY_DELAY
            || passed(self.learned_at) < SYNC_TIME;
        match self.canary_ended {
            None if is_early => 0.0,
            None => CANARY_SHARE,
            Some(end) if self.passed(now) < self.part(end) + PARTIAL_PART => {
                PARTIAL_SHARE
            }
            Some(_) => 1.0,
        }
    }

    /// Ends the trial once it has lasted for long enough and shown enough.
    fn end_canary(&mut self, now: BootInstant) {
        let passed = self.passed(now);
        if self.canary_ended.is_some() || passed < CANARY_MIN_PART {
            return;
        }
        let all_answers = self.all_answers();
        let of_new = |sides: &[AnswerCounts; 2]| {
            let new = sides[VersionSide::New as usize];
            new.all + new.lost
        };
        let seen: u32 = all_answers.values().map(of_new).sum();
        if seen >= CANARY_MIN_ANSWERS || passed >= CANARY_MAX_PART {
            let running = now.saturating_duration_since(self.started_at);
            self.canary_ended = Some(running);
        }
    }

    /// What this VM and the others have seen, by route.
    fn all_answers(&self) -> AnswersByRoute {
        let mut all_answers = self.own.clone();
        self.told.add_answers(&mut all_answers);
        all_answers
    }

    pub(super) fn choose_version(
        &mut self,
        session: Option<&str>,
        own: Option<(&VersionId, Duration)>,
        request_id: &str,
        now: BootInstant,
    ) -> (VersionRule, ChoiceReason) {
        let target = self.order.target.clone();
        if self.stopped_at.is_some()
            || self.progress == Some(RolloutProgress::Reverted)
        {
            return (VersionRule::Never(target), ChoiceReason::Stopped);
        }
        if self.progress == Some(RolloutProgress::Completed) {
            return (VersionRule::Prefer(target), ChoiceReason::Completed);
        }
        let subject = ShortHash::of(session.unwrap_or(request_id));
        let side = match self.draw(subject) < self.share(now) {
            true => VersionSide::New,
            false => VersionSide::Old,
        };
        let is_canary = self.canary_ended.is_none();
        let held = session.and_then(|_| self.session(subject, own, now));
        let (side, reason) = match held {
            Some((VersionSide::New, by)) => (VersionSide::New, by),
            Some((VersionSide::Old, by)) if is_canary => {
                (VersionSide::Old, by)
            }
            _ => (side, ChoiceReason::Drawn),
        };
        let rule = match side {
            VersionSide::New => VersionRule::Prefer(target),
            VersionSide::Old => VersionRule::Avoid(target),
        };
        (rule, reason)
    }

    /// A number in `0..=1` for a subject, the same on every VM.
    fn draw(&self, subject: ShortHash) -> f64 {
        f64::from(subject.0 ^ self.salt()) / f64::from(u32::MAX)
    }

    /// Makes the draw of a subject differ from one roll-out to the next.
    fn salt(&self) -> u32 {
        let target = ShortHash::of(self.order.target.as_str());
        rendezvous::mix(u64::from(target.0), 1) as u32
    }

    /// The version that a session is at, here or on another VM.
    fn session(
        &self,
        session: ShortHash,
        own: Option<(&VersionId, Duration)>,
        now: BootInstant,
    ) -> Option<(VersionSide, ChoiceReason)> {
        if let Some((software, idle)) = own {
            let side = self.side(software);
            return Some((side, ChoiceReason::LocalSession(idle)));
        }
        let idle = self.told.session_idle(session, now)?;
        (idle < self.session_lifetime)
            .then_some((VersionSide::Old, ChoiceReason::PeerSession(idle)))
    }

    /// This VM's sessions at the old version that the trial would take.
    fn old_sessions(
        &self,
        own: &Sessions,
        now: BootInstant,
    ) -> Vec<OldVersionSession> {
        if self.canary_ended.is_some() {
            return Vec::new();
        }
        let target = &self.order.target;
        let old = own.on_other_versions(target, self.session_lifetime, now);
        let drawn = old.filter(|(old, _)| self.draw(*old) < CANARY_SHARE);
        let told = drawn.map(|(old, idle)| old_version_session(old, idle));
        told.take(MAX_SESSIONS_PER_HEARTBEAT).collect()
    }

    fn side(&self, software: &VersionId) -> VersionSide {
        match *software == self.order.target {
            true => VersionSide::New,
            false => VersionSide::Old,
        }
    }

    pub(super) fn record_answer(
        &mut self,
        software: &VersionId,
        route: &str,
        verdict: AttemptOutcome,
        first_part: Option<Duration>,
    ) {
        let side = self.side(software);
        let route = ShortHash::of(route);
        let mut is_bad = verdict == AttemptOutcome::Failed;
        if let Some(first_part) = first_part {
            is_bad |= self.is_slow(route, side, first_part.as_secs_f64());
        }
        let answers = &mut self.own.entry(route).or_default()[side as usize];
        if verdict == AttemptOutcome::Lost {
            answers.lost += 1;
            return;
        }
        answers.all += 1;
        answers.bad += u32::from(is_bad);
    }

    /// Whether a first part came much later than the old version's mostly do,
    /// whose times it takes in.
    ///
    /// The old version's own late ones count too: prompts differ in length, so
    /// that some answers of any version take far longer than the mean.
    fn is_slow(
        &mut self,
        route: ShortHash,
        side: VersionSide,
        first_part_s: f64,
    ) -> bool {
        let Some(usual) = self.first_part_s.get_mut(&route) else {
            if side == VersionSide::Old {
                self.first_part_s.insert(route, first_part_s);
            }
            return false;
        };
        let is_slow = first_part_s > *usual * SLOW_FACTOR;
        if side == VersionSide::Old {
            *usual += (first_part_s - *usual) * MEAN_WEIGHT;
        }
        is_slow
    }

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
            stopped: self.stopped_at.is_some(),
            old_in_flight: old_in_flight.min(u32::from(u16::MAX)) as u16,
            old_sessions: own
                .map_or_else(Vec::new, |own| self.old_sessions(own, now)),
            answers: to_list(&self.own),
        }
    }

    /// What all VMs of this hall have seen, as far as they have told.
    pub(super) fn hall_evidence(
        &self,
        own: Evidence,
        now: BootInstant,
    ) -> Evidence {
        let mut answers = self.own.clone();
        self.told.add_own_hall_answers(&mut answers);
        let near = self.told.own_hall_in_flight(now);
        let old = u32::from(own.old_in_flight) + near;
        let mut old_sessions = own.old_sessions;
        if self.canary_ended.is_none() {
            old_sessions.extend(self.told.sessions_of(None, now));
        }
        Evidence {
            old_in_flight: old.min(u32::from(u16::MAX)) as u16,
            old_sessions,
            answers: to_list(&answers),
            ..own
        }
    }

    pub(super) fn merge_evidence(
        &mut self,
        vm: &str,
        told: Evidence,
        now: BootInstant,
    ) {
        self.merge_progress(&told, now);
        self.told.merge_vm(vm, told, now);
    }

    pub(super) fn merge_hall_evidence(
        &mut self,
        told: &HallEvidence,
        way: Delivery,
        now: BootInstant,
    ) {
        self.merge_progress(&told.evidence, now);
        self.told.merge_hall(told, way, now);
    }

    /// Takes in how far another VM has come.
    fn merge_progress(&mut self, told: &Evidence, now: BootInstant) {
        // The VM that has known of the order longest knows best when it was
        // given; one that was restarted learns it so.
        let running = Duration::from_millis(u64::from(told.running_ms));
        if let Some(started_at) = now.checked_sub(running) {
            self.started_at = self.started_at.min(started_at);
        }
        let told_end = told.canary_ended_ms.map(u64::from);
        let told_end = told_end.map(Duration::from_millis);
        let ends = self.canary_ended.into_iter().chain(told_end);
        self.canary_ended = ends.min();
        if told.stopped {
            self.stopped_at.get_or_insert(now);
        }
    }

    /// Stops the version if its answers are worse than the old one's.
    pub(super) fn evaluate(&mut self, now: BootInstant) -> Option<String> {
        if self.stopped_at.is_some() || !self.is_running() {
            return None;
        }
        self.end_canary(now);
        let all_answers = self.all_answers();
        let worse =
            all_answers.values().find(|[old, new]| is_worse(*old, *new))?;
        let [old, new] = worse;
        self.stopped_at = Some(now);
        Some(format!(
            "{} of {} answers bad on one route, {} of {} of the old version",
            new.bad, new.all, old.bad, old.all
        ))
    }

    pub(super) fn pending_statuses(
        &self,
        is_steward: bool,
        old_in_flight: u32,
        other_halls: &[ShortHash],
        now: BootInstant,
    ) -> Option<RolloutProgress> {
        if !self.is_running() {
            return None;
        }
        if let Some(stopped_at) = self.stopped_at {
            let passed = now.saturating_duration_since(stopped_at);
            let is_due = is_steward || passed >= FALLBACK_RECORD_DELAY;
            return is_due.then_some(RolloutProgress::Reverted);
        }
        match self.progress {
            Some(RolloutProgress::Completed | RolloutProgress::Reverted) => {
                return None;
            }
            _ if !is_steward => return None,
            None => return Some(RolloutProgress::Running),
            Some(RolloutProgress::Running) => {}
        }
        let passed = self.passed(now);
        let left = old_in_flight + self.told.own_hall_in_flight(now);
        // What others told is half a second old, so the old version's last
        // requests are waited for a little beyond the move.
        let is_moved = self.canary_ended.is_some_and(|end| {
            passed > self.part(end) + PARTIAL_PART + DRAIN_PART
        });
        let is_done =
            is_moved && left == 0 && self.told.all_idle(other_halls, now);
        (is_done || passed > COMPLETE_AT_PART)
            .then_some(RolloutProgress::Completed)
    }
}

#[cfg(test)]
mod tests;

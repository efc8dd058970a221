//! Which version a request gets during a rollout.
//!
//! Requests of a session reach any VM, so their version depends on what all
//! VMs know alike. Requests without one may depend on what a VM has seen.

use std::time::Duration;

use super::{COMPLETE_AT_PART, Rollout, RolloutProgress, VersionSide};
use crate::{
    clock::BootInstant,
    id::VersionId,
    message::ShortHash,
    placing::pool::VersionRule,
    rendezvous,
    rollouts::{choice::ChoiceReason, exposure::SentRequests},
};

/// Time after an order before the new version gets requests. By then all VMs
/// have the order and have reported which sessions are on the old version:
/// that takes a heartbeat within the data hall, one to another hall, and one
/// within that hall. With 100 sessions per second that send three requests
/// within 1.2 s, each to a different one of 240 VMs in six halls, 0.7 sessions
/// change their version, in the mean of six replays; with 1.5 s it was 3.2.
const CANARY_DELAY: Duration = Duration::from_millis(2500);

/// Time after this VM received the order before it sends requests to the new
/// version, if others have had the order for longer. Within a heartbeat it
/// receives the reports of all VMs of its hall, with what they know of other
/// halls.
pub(super) const SYNC_DELAY: Duration = Duration::from_millis(1200);

/// Part of the allowed time from which a session may move to the new version.
const SECOND_HALF_PART: f64 = 0.5;

impl Rollout {
    /// Chooses the version for a request on a route. `own` is the version that
    /// the session is on according to this VM, and for how long it has been
    /// idle.
    pub(in crate::rollouts) fn choose_version(
        &mut self,
        route: &str,
        session: Option<&str>,
        own: Option<(&VersionId, Duration)>,
        request_id: &str,
        now: BootInstant,
    ) -> (VersionRule, ChoiceReason) {
        let target = self.order.target.clone();
        if self.is_withdrawn() {
            return (VersionRule::Never(target), ChoiceReason::Stopped);
        }
        if self.progress == Some(RolloutProgress::Completed) {
            return (VersionRule::Prefer(target), ChoiceReason::Completed);
        }
        let subject = ShortHash::of(session.unwrap_or(request_id));
        let (side, reason) = match session {
            Some(_) => self.session_version(subject, own, now),
            None => self.request_version(subject, ShortHash::of(route), now),
        };
        let rule = match side {
            VersionSide::New => VersionRule::Prefer(target),
            VersionSide::Old => VersionRule::Avoid(target),
        };
        (rule, reason)
    }

    /// Chooses the version for a request of a session.
    ///
    /// Whichever VM a request of the session reaches, the choice is the same,
    /// but for what VMs do not know yet of sessions on the old version.
    fn session_version(
        &self,
        session: ShortHash,
        own: Option<(&VersionId, Duration)>,
        now: BootInstant,
    ) -> (VersionSide, ChoiceReason) {
        if self.have_sessions_moved(now) {
            return (VersionSide::New, ChoiceReason::Moved);
        }
        if let Some(known) = self.known_session(session, own, now) {
            return known;
        }
        let share = self.limit.session_share().value();
        if self.draw(session) >= share {
            (VersionSide::Old, ChoiceReason::Drawn)
        } else if !self.has_begun(now) {
            (VersionSide::Old, ChoiceReason::NotBegun)
        } else if !self.limit.may_send_session(self.known_sent()) {
            (VersionSide::Old, ChoiceReason::ShareSpent)
        } else {
            (VersionSide::New, ChoiceReason::Drawn)
        }
    }

    /// Chooses the version for a request that belongs to no session.
    fn request_version(
        &self,
        request: ShortHash,
        route: ShortHash,
        now: BootInstant,
    ) -> (VersionSide, ChoiceReason) {
        let is_moving = self.may_move() && self.outlasts_rollout(route, now);
        if !is_moving && self.draw(request) >= self.share(now) {
            return (VersionSide::Old, ChoiceReason::Drawn);
        }
        let is_all = self.may_move() && self.all_moved.is_some();
        if !is_all && !self.may_send_new() {
            return (VersionSide::Old, ChoiceReason::ShareSpent);
        }
        let reason = match is_moving {
            true => ChoiceReason::Outlasting,
            false => ChoiceReason::Drawn,
        };
        (VersionSide::New, reason)
    }

    /// Returns the share of the requests without a session that the new
    /// version gets now, but for those that would outlast the rollout at the
    /// old one.
    fn share(&self, now: BootInstant) -> f64 {
        match self.canary_ended {
            None if !self.has_begun(now) => 0.0,
            Some(_) if self.may_move() && self.all_moved.is_some() => 1.0,
            _ => self.trial_share.value(),
        }
    }

    /// Whether this VM sends requests to the new version.
    ///
    /// In the second half, it need not know the sessions on the old version.
    fn has_begun(&self, now: BootInstant) -> bool {
        let elapsed = |since| now.saturating_duration_since(since);
        elapsed(self.started_at) >= CANARY_DELAY
            && (elapsed(self.learned_at) >= SYNC_DELAY
                || self.elapsed_part(now) >= SECOND_HALF_PART)
    }

    /// Whether all sessions have moved to the new version.
    pub(super) fn have_sessions_moved(&self, now: BootInstant) -> bool {
        let running = now.saturating_duration_since(self.started_at);
        self.sessions_move.is_some_and(|at| running >= at)
    }

    /// Whether a request that begins now on a route would probably still run
    /// at the old version when the rollout is completed.
    fn outlasts_rollout(&self, route: ShortHash, now: BootInstant) -> bool {
        let end = now.saturating_duration_since(self.started_at)
            + self.durations.expected(route);
        self.part(end) >= COMPLETE_AT_PART
    }

    /// Whether another attempt at the new version keeps to this VM's part of
    /// the bound.
    fn may_send_new(&self) -> bool {
        let [old, new] = self.sent.map(f64::from);
        self.limit.may_send(SentRequests { old, new }, self.fleet.vms)
    }

    /// Returns the attempts that all VMs have sent, as far as this VM knows.
    fn known_sent(&self) -> SentRequests {
        let since = |side: VersionSide| {
            let sent = self.sent[side as usize];
            f64::from(sent - self.sent_when_evaluated[side as usize])
        };
        SentRequests {
            old: self.fleet_sent.old + since(VersionSide::Old),
            new: self.fleet_sent.new + since(VersionSide::New),
        }
    }

    /// Returns a hash of a session or request as a number in `0..=1`, the same
    /// on every VM.
    pub(super) fn draw(&self, subject: ShortHash) -> f64 {
        f64::from(subject.0 ^ self.salt()) / f64::from(u32::MAX)
    }

    /// Returns a salt that gives a session different numbers in different
    /// rollouts.
    fn salt(&self) -> u32 {
        let target = ShortHash::of(self.order.target.as_str());
        rendezvous::mix(u64::from(target.0), 1) as u32
    }

    /// Returns the version that a session is on, according to this VM or else
    /// to the reports of other VMs.
    fn known_session(
        &self,
        session: ShortHash,
        own: Option<(&VersionId, Duration)>,
        now: BootInstant,
    ) -> Option<(VersionSide, ChoiceReason)> {
        if let Some((software, idle)) = own {
            let side = self.side(software);
            return Some((side, ChoiceReason::LocalSession(idle)));
        }
        let idle = self.peers.session_idle(session, now)?;
        (idle < self.session_lifetime)
            .then_some((VersionSide::Old, ChoiceReason::PeerSession(idle)))
    }
}

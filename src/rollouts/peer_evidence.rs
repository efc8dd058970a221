//! What other VMs have told of one roll-out, and what of it is passed on.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::BootInstant,
    message::ShortHash,
    rollouts::{
        comparison::AnswerCounts,
        evidence::{Evidence, HallEvidence, OldVersionSession},
    },
};

/// Age up to which a VM's count of requests in flight is used.
const IN_FLIGHT_TTL: Duration = Duration::from_secs(6);

/// Time after which the VMs of this hall are told the sum of another one
/// again, where it holds no session that is news to them.
const RELAY_INTERVAL: Duration = Duration::from_millis(800);

/// Age of its last sum up to which a hall is known to be done with the old
/// version.
const HALL_SUM_TTL: Duration = Duration::from_secs(2);

/// Time before its last sum for which no sum of a hall may have told of
/// requests at the old version: a VM that has only just started knows little
/// of its hall.
const MIN_IDLE_TIME: Duration = Duration::from_millis(1200);

/// Most sessions in one sum. A hall with 400 requests a second, each of
/// another session, has 220 that the trial would take within seven seconds.
const MAX_SESSIONS: usize = 512;

/// AnswerCounts by route, of the old and the new version.
pub(super) type AnswersByRoute = HashMap<ShortHash, [AnswerCounts; 2]>;

/// How the sum of another data hall came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// From a VM there, to this VM alone.
    Direct,
    /// From a VM of this hall, which tells all of it.
    Relayed,
}

/// What other VMs have told of one roll-out.
#[derive(Debug, Default)]
pub(super) struct PeerEvidence {
    /// The VMs of this hall.
    vms: HashMap<String, (BootInstant, Evidence)>,
    halls: HashMap<ShortHash, HallState>,
    /// Sessions at the old version.
    sessions: HashMap<ShortHash, PeerSession>,
}

/// The sums of another data hall, of which no VM there knows all.
#[derive(Debug)]
struct HallState {
    /// When the newest was made.
    at: BootInstant,
    /// When the newest was made that told of requests at the old version.
    busy_at: Option<BootInstant>,
    old_in_flight: u16,
    answers: AnswersByRoute,
    /// When this hall's VMs were last told one.
    relayed_at: Option<BootInstant>,
    /// Whether one has come since from the hall itself.
    is_fresh: bool,
}

#[derive(Clone, Copy, Debug)]
struct PeerSession {
    /// When something of it was last under way.
    used_at: BootInstant,
    /// The hall it is at; `None` for this VM's own.
    hall: Option<ShortHash>,
    /// Whether this hall's VMs were told.
    is_relayed: bool,
}

impl PeerEvidence {
    /// Takes in what a VM of this hall tells.
    pub(super) fn merge_vm(
        &mut self,
        vm: &str,
        told: Evidence,
        now: BootInstant,
    ) {
        self.merge_sessions(&told.old_sessions, None, now, true);
        self.vms.insert(vm.to_owned(), (now, told));
    }

    /// Takes in the sum of another hall.
    pub(super) fn merge_hall(
        &mut self,
        told: &HallEvidence,
        way: Delivery,
        now: BootInstant,
    ) {
        let age = Duration::from_millis(told.age_ms.into());
        let at = now.checked_sub(age).unwrap_or(now);
        let sum = &told.evidence;
        let is_relayed = way == Delivery::Relayed;
        let hall = Some(told.data_hall);
        self.merge_sessions(&sum.old_sessions, hall, at, is_relayed);
        let held =
            self.halls.entry(told.data_hall).or_insert_with(|| HallState {
                at,
                busy_at: None,
                old_in_flight: 0,
                answers: HashMap::new(),
                relayed_at: None,
                is_fresh: false,
            });
        held.take(sum, at);
        match way {
            Delivery::Direct => held.is_fresh = true,
            Delivery::Relayed => held.relayed_at = Some(now),
        }
    }

    fn merge_sessions(
        &mut self,
        told: &[OldVersionSession],
        hall: Option<ShortHash>,
        at: BootInstant,
        is_relayed: bool,
    ) {
        for session in told {
            let idle = Duration::from_millis(session.idle_ms.into());
            let used_at = at.checked_sub(idle).unwrap_or(at);
            let news = PeerSession { used_at, hall, is_relayed };
            let held = self.sessions.entry(session.session).or_insert(news);
            // Where it has moved to is told, too.
            let was_told_here = held.hall == hall && held.is_relayed;
            if held.used_at < used_at {
                *held = news;
            }
            if held.hall == hall {
                held.is_relayed = is_relayed || was_told_here;
            }
        }
    }

    /// Forgets sessions of which nothing has been under way for `lifetime`.
    pub(super) fn forget_sessions(
        &mut self,
        lifetime: Duration,
        now: BootInstant,
    ) {
        self.sessions.retain(|_, session| {
            now.saturating_duration_since(session.used_at) < lifetime
        });
    }

    /// How long nothing has been under way of a session at the old version,
    /// as far as others have told.
    pub(super) fn session_idle(
        &self,
        session: ShortHash,
        now: BootInstant,
    ) -> Option<Duration> {
        let held = self.sessions.get(&session)?;
        Some(now.saturating_duration_since(held.used_at))
    }

    /// Adds what the VMs of this hall have seen.
    pub(super) fn add_own_hall_answers(&self, sum: &mut AnswersByRoute) {
        for (_, told) in self.vms.values() {
            for (route, old, new) in &told.answers {
                add(sum, *route, &[*old, *new]);
            }
        }
    }

    /// Adds what all other VMs have seen.
    pub(super) fn add_answers(&self, sum: &mut AnswersByRoute) {
        self.add_own_hall_answers(sum);
        for hall in self.halls.values() {
            for (route, answers) in &hall.answers {
                add(sum, *route, answers);
            }
        }
    }

    /// Requests at the old version of the other VMs of this hall.
    pub(super) fn own_hall_in_flight(&self, now: BootInstant) -> u32 {
        let recent = self.vms.values().filter(|(at, _)| {
            now.saturating_duration_since(*at) < IN_FLIGHT_TTL
        });
        recent.map(|(_, told)| u32::from(told.old_in_flight)).sum()
    }

    /// Whether other halls have told lately that nothing of theirs is at the
    /// old version any more.
    pub(super) fn all_idle(
        &self,
        halls: &[ShortHash],
        now: BootInstant,
    ) -> bool {
        let is_idle = |hall: &ShortHash| {
            self.halls.get(hall).is_some_and(|held| held.is_idle(now))
        };
        halls.iter().all(is_idle)
    }

    /// The sessions of other VMs of this hall, or of another one, the latest
    /// used first.
    pub(super) fn sessions_of(
        &self,
        hall: Option<ShortHash>,
        now: BootInstant,
    ) -> Vec<OldVersionSession> {
        let of = self.sessions.iter().filter(|(_, s)| s.hall == hall);
        let mut told: Vec<OldVersionSession> = of
            .map(|(session, held)| {
                let idle = now.saturating_duration_since(held.used_at);
                old_version_session(*session, idle)
            })
            .collect();
        told.sort_by_key(|session| session.idle_ms);
        told.truncate(MAX_SESSIONS);
        told
    }

    /// The halls whose sums the VMs of this one are to be told now: those
    /// with a session that is news to them, and the others once in a while.
    pub(super) fn due_relays(&self, now: BootInstant) -> Vec<ShortHash> {
        let due = self.halls.iter().filter(|(name, hall)| {
            hall.is_fresh
                && (hall.is_relay_due(now)
                    || self.has_unrelayed_sessions(**name))
        });
        due.map(|(name, _)| *name).collect()
    }

    fn has_unrelayed_sessions(&self, hall: ShortHash) -> bool {
        let mut of = self.sessions.values().filter(|s| s.hall == Some(hall));
        of.any(|session| !session.is_relayed)
    }

    /// The sum of another hall that its VMs have told, for those of this one;
    /// `frame` gives what it has in common with all.
    pub(super) fn relay(
        &mut self,
        name: ShortHash,
        template: &Evidence,
        now: BootInstant,
    ) -> Option<HallEvidence> {
        let old_sessions = match template.canary_ended_ms {
            None => self.sessions_of(Some(name), now),
            Some(_) => Vec::new(),
        };
        for session in &old_sessions {
            if let Some(held) = self.sessions.get_mut(&session.session) {
                held.is_relayed = true;
            }
        }
        let hall = self.halls.get_mut(&name)?;
        hall.relayed_at = Some(now);
        hall.is_fresh = false;
        let age = now.saturating_duration_since(hall.at);
        Some(HallEvidence {
            data_hall: name,
            age_ms: saturating_ms(age),
            evidence: Evidence {
                old_in_flight: hall.old_in_flight,
                old_sessions,
                answers: to_list(&hall.answers),
                ..template.clone()
            },
        })
    }
}

impl HallState {
    /// Takes in a sum. Each lacks what its VM has not heard, so of answers
    /// the most counts that any has told.
    fn take(&mut self, sum: &Evidence, at: BootInstant) {
        for (route, old, new) in &sum.answers {
            let held = self.answers.entry(*route).or_default();
            held[0] = held[0].max(*old);
            held[1] = held[1].max(*new);
        }
        if sum.old_in_flight > 0 {
            self.busy_at = self.busy_at.max(Some(at));
        }
        if self.at <= at {
            self.at = at;
            self.old_in_flight = sum.old_in_flight;
        }
    }

    fn is_idle(&self, now: BootInstant) -> bool {
        let since_busy = |busy_at| self.at.saturating_duration_since(busy_at);
        now.saturating_duration_since(self.at) < HALL_SUM_TTL
            && self.busy_at.is_none_or(|at| since_busy(at) >= MIN_IDLE_TIME)
    }

    fn is_relay_due(&self, now: BootInstant) -> bool {
        self.relayed_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= RELAY_INTERVAL
        })
    }
}

/// A session as it is told.
pub(super) fn old_version_session(
    session: ShortHash,
    idle: Duration,
) -> OldVersionSession {
    OldVersionSession { session, idle_ms: saturating_ms(idle) }
}

/// AnswerCounts as they are told.
pub(super) fn to_list(
    answers: &AnswersByRoute,
) -> Vec<(ShortHash, AnswerCounts, AnswerCounts)> {
    let by_route = answers.iter();
    by_route.map(|(route, [old, new])| (*route, *old, *new)).collect()
}

fn add(
    sum: &mut AnswersByRoute,
    route: ShortHash,
    answers: &[AnswerCounts; 2],
) {
    let held = sum.entry(route).or_default();
    held[0].add(answers[0]);
    held[1].add(answers[1]);
}

fn saturating_ms(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}

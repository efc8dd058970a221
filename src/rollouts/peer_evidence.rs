//! The evidence of other VMs on one rollout, and which of it is relayed.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::BootInstant,
    message::ShortHash,
    rollouts::{
        comparison::AnswerCounts,
        evidence::{Evidence, HallEvidence, OldVersionSession},
    },
};

/// Maximum age of a VM's count of requests in flight.
const IN_FLIGHT_TTL: Duration = Duration::from_secs(6);

/// Interval at which another hall's sum is relayed to the VMs of this one,
/// unless it has a session that they do not know yet.
const RELAY_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum age of a hall's last sum for the hall to count as idle on the old
/// version.
const HALL_SUM_TTL: Duration = Duration::from_secs(2);

/// Time before its last sum during which no sum of an idle hall may have
/// counted requests at the old version. A single sum does not suffice: it may
/// come from a VM that has just started and knows little of its hall.
const MIN_IDLE_TIME: Duration = Duration::from_millis(1200);

/// Maximum number of sessions in one sum. In a hall with 400 requests per
/// second, each of a different session, the hash assigns 220 sessions to the
/// canary within seven seconds.
const MAX_SESSIONS: usize = 512;

/// Answer counts by route, of the old and the new version.
pub(super) type AnswersByRoute = HashMap<ShortHash, [AnswerCounts; 2]>;

/// The answer counts of one route, as sent to other VMs.
pub(super) type RouteAnswers = (ShortHash, AnswerCounts, AnswerCounts);

/// How the sum of another data hall arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// From a VM of that hall, to this VM alone.
    Direct,
    /// From a VM of this hall, which sends it to all others here.
    Relayed,
}

/// The evidence received from other VMs on one rollout.
#[derive(Debug, Default)]
pub(super) struct PeerEvidence {
    /// The reports of each other VM of this hall.
    vms: HashMap<ShortHash, VmReport>,
    halls: HashMap<ShortHash, HallState>,
    /// Sessions on the old version.
    sessions: HashMap<ShortHash, PeerSession>,
}

/// What a VM of this hall has reported.
#[derive(Debug)]
struct VmReport {
    /// When its latest heartbeat arrived; `None` if only the store has told of
    /// it.
    at: Option<BootInstant>,
    old_in_flight: u16,
    /// The largest counts reported, of all its incarnations: one that has just
    /// started reports fewer until it has read those of the previous one.
    answers: AnswersByRoute,
}

/// The merged sums of another data hall. Each sum may lack some of that
/// hall's VMs.
#[derive(Debug)]
struct HallState {
    /// When the latest sum was made.
    at: BootInstant,
    /// When the latest sum with requests at the old version was made.
    busy_at: Option<BootInstant>,
    old_in_flight: u16,
    answers: AnswersByRoute,
    /// When a sum was last relayed within this hall.
    relayed_at: Option<BootInstant>,
    /// Whether a sum has arrived directly since it was last relayed.
    is_fresh: bool,
}

#[derive(Clone, Copy, Debug)]
struct PeerSession {
    /// When an attempt of it was last in flight.
    used_at: BootInstant,
    /// The hall that it is in; `None` for this VM's own.
    hall: Option<ShortHash>,
    /// Whether the VMs of this hall know of it.
    is_relayed: bool,
}

impl PeerEvidence {
    /// Merges the evidence of a VM of this hall.
    pub(super) fn merge_vm(
        &mut self,
        vm: &str,
        evidence: Evidence,
        now: BootInstant,
    ) {
        self.merge_sessions(&evidence.old_sessions, None, now, true);
        let report = self.report(ShortHash::of(vm));
        report.at = Some(now);
        report.old_in_flight = evidence.old_in_flight;
        raise(&mut report.answers, &evidence.answers);
    }

    /// Merges the answer counts of a VM of this hall that the store keeps.
    pub(super) fn merge_stored_vm(
        &mut self,
        vm: ShortHash,
        answers: &[RouteAnswers],
    ) {
        raise(&mut self.report(vm).answers, answers);
    }

    fn report(&mut self, vm: ShortHash) -> &mut VmReport {
        self.vms.entry(vm).or_insert_with(|| VmReport {
            at: None,
            old_in_flight: 0,
            answers: HashMap::new(),
        })
    }

    /// Returns the answer counts of each other VM of this hall.
    pub(super) fn answers_by_vm(&self) -> Vec<(ShortHash, AnswersByRoute)> {
        let reports = self.vms.iter();
        reports.map(|(vm, report)| (*vm, report.answers.clone())).collect()
    }

    /// Merges the summed evidence of another hall.
    pub(super) fn merge_hall(
        &mut self,
        received: &HallEvidence,
        delivery: Delivery,
        now: BootInstant,
    ) {
        let age = Duration::from_millis(received.age_ms.into());
        let at = now.checked_sub(age).unwrap_or(now);
        let sum = &received.evidence;
        let is_relayed = delivery == Delivery::Relayed;
        let hall = Some(received.data_hall);
        self.merge_sessions(&sum.old_sessions, hall, at, is_relayed);
        let known =
            self.halls.entry(received.data_hall).or_insert_with(|| {
                HallState {
                    at,
                    busy_at: None,
                    old_in_flight: 0,
                    answers: HashMap::new(),
                    relayed_at: None,
                    is_fresh: false,
                }
            });
        known.merge(sum, at);
        match delivery {
            Delivery::Direct => known.is_fresh = true,
            Delivery::Relayed => known.relayed_at = Some(now),
        }
    }

    fn merge_sessions(
        &mut self,
        received: &[OldVersionSession],
        hall: Option<ShortHash>,
        at: BootInstant,
        is_relayed: bool,
    ) {
        for session in received {
            let idle = Duration::from_millis(session.idle_ms.into());
            let used_at = at.checked_sub(idle).unwrap_or(at);
            let latest = PeerSession { used_at, hall, is_relayed };
            let known = self.sessions.entry(session.session).or_insert(latest);
            // A session that moves to another hall is relayed again.
            let was_relayed = known.hall == hall && known.is_relayed;
            if known.used_at < used_at {
                *known = latest;
            }
            if known.hall == hall {
                known.is_relayed = is_relayed || was_relayed;
            }
        }
    }

    /// Drops sessions that have been idle for `lifetime`.
    pub(super) fn expire_sessions(
        &mut self,
        lifetime: Duration,
        now: BootInstant,
    ) {
        self.sessions.retain(|_, session| {
            now.saturating_duration_since(session.used_at) < lifetime
        });
    }

    /// Returns how long a session on the old version has been idle; `None` if
    /// no other VM has reported it.
    pub(super) fn session_idle(
        &self,
        session: ShortHash,
        now: BootInstant,
    ) -> Option<Duration> {
        let known = self.sessions.get(&session)?;
        Some(now.saturating_duration_since(known.used_at))
    }

    /// Adds the answers of the other VMs of this hall to `sum`.
    pub(super) fn add_own_hall_answers(&self, sum: &mut AnswersByRoute) {
        for report in self.vms.values() {
            for (route, answers) in &report.answers {
                add(sum, *route, answers);
            }
        }
    }

    /// Adds the answers of all other VMs to `sum`.
    pub(super) fn add_answers(&self, sum: &mut AnswersByRoute) {
        self.add_own_hall_answers(sum);
        for hall in self.halls.values() {
            for (route, answers) in &hall.answers {
                add(sum, *route, answers);
            }
        }
    }

    /// Returns the number of requests that the other VMs of this hall have in
    /// flight at the old version.
    pub(super) fn own_hall_in_flight(&self, now: BootInstant) -> u32 {
        let is_recent = |at| now.saturating_duration_since(at) < IN_FLIGHT_TTL;
        let recent = self
            .vms
            .values()
            .filter(|report| report.at.is_some_and(is_recent));
        recent.map(|report| u32::from(report.old_in_flight)).sum()
    }

    /// Whether all of `halls` have recently reported that they have nothing in
    /// flight at the old version.
    pub(super) fn all_idle(
        &self,
        halls: &[ShortHash],
        now: BootInstant,
    ) -> bool {
        let is_idle = |hall: &ShortHash| {
            self.halls.get(hall).is_some_and(|known| known.is_idle(now))
        };
        halls.iter().all(is_idle)
    }

    /// Returns the sessions in `hall`, or those of other VMs of this hall for
    /// `None`, the most recently used first.
    pub(super) fn sessions_of(
        &self,
        hall: Option<ShortHash>,
        now: BootInstant,
    ) -> Vec<OldVersionSession> {
        let in_hall = self.sessions.iter().filter(|(_, s)| s.hall == hall);
        let mut sessions: Vec<OldVersionSession> = in_hall
            .map(|(session, known)| {
                let idle = now.saturating_duration_since(known.used_at);
                old_version_session(*session, idle)
            })
            .collect();
        sessions.sort_by_key(|session| session.idle_ms);
        sessions.truncate(MAX_SESSIONS);
        sessions
    }

    /// Returns the halls whose sums are due to be relayed within this hall:
    /// those with a session that has not been relayed yet, and the others
    /// every [`RELAY_INTERVAL`].
    pub(super) fn due_relays(&self, now: BootInstant) -> Vec<ShortHash> {
        let due = self.halls.iter().filter(|(name, hall)| {
            hall.is_fresh
                && (hall.is_relay_due(now)
                    || self.has_unrelayed_sessions(**name))
        });
        due.map(|(name, _)| *name).collect()
    }

    fn has_unrelayed_sessions(&self, hall: ShortHash) -> bool {
        let mut in_hall =
            self.sessions.values().filter(|s| s.hall == Some(hall));
        in_hall.any(|session| !session.is_relayed)
    }

    /// Returns the sum of another hall to relay within this one; `template`
    /// provides the fields that are the same for all halls.
    pub(super) fn relay(
        &mut self,
        name: ShortHash,
        template: &Evidence,
        now: BootInstant,
    ) -> Option<HallEvidence> {
        let old_sessions = match template.have_sessions_moved() {
            false => self.sessions_of(Some(name), now),
            true => Vec::new(),
        };
        for session in &old_sessions {
            if let Some(known) = self.sessions.get_mut(&session.session) {
                known.is_relayed = true;
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
    /// Merges a sum. Each sum lacks the evidence that its sender has not
    /// received, so the maximum of each answer count is kept.
    fn merge(&mut self, sum: &Evidence, at: BootInstant) {
        raise(&mut self.answers, &sum.answers);
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

/// Returns a session in the form in which it is sent to other VMs.
pub(super) fn old_version_session(
    session: ShortHash,
    idle: Duration,
) -> OldVersionSession {
    OldVersionSession { session, idle_ms: saturating_ms(idle) }
}

/// Returns answer counts in the form in which they are sent to other VMs,
/// ordered by route.
pub(super) fn to_list(answers: &AnswersByRoute) -> Vec<RouteAnswers> {
    let by_route = answers.iter();
    let mut list: Vec<RouteAnswers> =
        by_route.map(|(route, [old, new])| (*route, *old, *new)).collect();
    list.sort_by_key(|(route, ..)| *route);
    list
}

/// Returns answer counts from the form in which they are sent.
pub(super) fn from_list(list: &[RouteAnswers]) -> AnswersByRoute {
    list.iter().map(|(route, old, new)| (*route, [*old, *new])).collect()
}

/// Raises each count to that in `least`.
fn raise(counts: &mut AnswersByRoute, least: &[RouteAnswers]) {
    for (route, old, new) in least {
        let known = counts.entry(*route).or_default();
        *known = [known[0].max(*old), known[1].max(*new)];
    }
}

fn add(
    sum: &mut AnswersByRoute,
    route: ShortHash,
    answers: &[AnswerCounts; 2],
) {
    let counts = sum.entry(route).or_default();
    counts[0].add(answers[0]);
    counts[1].add(answers[1]);
}

fn saturating_ms(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}

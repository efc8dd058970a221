//! All roll-outs that one VM knows of, shared by its tasks.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::{
    clock::BootInstant,
    id::{ServiceId, VersionId},
    message::ShortHash,
    placing::health::AttemptOutcome,
    rollouts::{
        choice::VersionChoice,
        evidence::{Evidence, HallEvidence},
        peer_evidence::Delivery,
        rollout::{Rollout, RolloutOrder, RolloutProgress, RolloutStatus},
        sessions::Sessions,
    },
};

/// Added to that time: a request may have waited at its caller's before.
const SESSION_SLACK: Duration = Duration::from_secs(1);

/// Versions of a service that are kept as taken back; the eldest are long gone.
const MAX_WITHDRAWN: usize = 16;

/// A step that a roll-out is due for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingStatus {
    /// The service.
    pub service: ServiceId,
    /// What is to be recorded.
    pub status: RolloutStatus,
}

/// All roll-outs that this VM knows of.
#[derive(Debug)]
pub struct Rollouts {
    /// Time after the end of its last request in which a session goes on.
    session_lifetime: Duration,
    running: Mutex<HashMap<ServiceId, Rollout>>,
    /// Versions that were taken back, the last one last: their upstreams go
    /// on for a while after the order is gone or another one given. Taken
    /// after `running` where both are.
    withdrawn: Mutex<HashMap<ServiceId, Vec<VersionId>>>,
    /// Taken after `running` where both are.
    sessions: Mutex<HashMap<ServiceId, Sessions>>,
}

impl Rollouts {
    /// Creates a list without roll-outs; `session_time` is how long after the
    /// end of a request the next one still belongs to its session.
    pub fn new(session_time: Duration) -> Rollouts {
        Rollouts {
            session_lifetime: session_time + SESSION_SLACK,
            running: Mutex::default(),
            withdrawn: Mutex::default(),
            sessions: Mutex::default(),
        }
    }

    /// Takes in an order; returns whether it is a new one.
    pub fn apply_order(
        &self,
        service: ServiceId,
        order: RolloutOrder,
        now: BootInstant,
    ) -> bool {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        let held = rollouts.get(&service);
        if held.is_some_and(|held| held.order == order) {
            return false;
        }
        self.record_end(&service, held);
        self.clear_withdrawn(&service, &order.target);
        let rollout = Rollout::new(order, self.session_lifetime, now);
        rollouts.insert(service, rollout);
        true
    }

    /// Takes in the state that stands in the store.
    pub fn set_status(&self, service: &ServiceId, status: &RolloutStatus) {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        let Some(rollout) = rollouts.get_mut(service) else {
            if status.progress == RolloutProgress::Reverted {
                self.withdraw(service, status.target.clone());
            }
            return;
        };
        if rollout.order.target == status.target {
            rollout.progress = Some(status.progress);
        }
    }

    /// Forgets a roll-out whose order is gone.
    pub fn remove(&self, service: &ServiceId) {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        let over = rollouts.remove(service);
        self.record_end(service, over.as_ref());
    }

    /// Keeps that the version of a roll-out was taken back, if it was.
    fn record_end(&self, service: &ServiceId, over: Option<&Rollout>) {
        if let Some(over) = over.filter(|over| over.is_withdrawn()) {
            self.withdraw(service, over.order.target.clone());
        }
    }

    fn withdraw(&self, service: &ServiceId, version: VersionId) {
        self.clear_withdrawn(service, &version);
        let mut withdrawn = self.withdrawn.lock().expect("withdrawn lock");
        let versions = withdrawn.entry(service.clone()).or_default();
        versions.push(version);
        if versions.len() > MAX_WITHDRAWN {
            versions.remove(0);
        }
    }

    /// A version that is ordered once more is a new one like any other.
    fn clear_withdrawn(&self, service: &ServiceId, version: &VersionId) {
        let mut withdrawn = self.withdrawn.lock().expect("withdrawn lock");
        if let Some(versions) = withdrawn.get_mut(service) {
            versions.retain(|held| held != version);
        }
    }

    fn withdrawn(&self, service: &ServiceId) -> Vec<VersionId> {
        let withdrawn = self.withdrawn.lock().expect("withdrawn lock");
        withdrawn.get(service).cloned().unwrap_or_default()
    }

    /// Which version may answer a request.
    pub fn choose_version(
        &self,
        service: &ServiceId,
        session: Option<&str>,
        request_id: &str,
        now: BootInstant,
    ) -> VersionChoice {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        let withdrawn = self.withdrawn(service);
        let Some(rollout) = rollouts.get_mut(service) else {
            return VersionChoice { withdrawn, ..VersionChoice::default() };
        };
        let sessions = self.sessions.lock().expect("sessions lock");
        let own = session.and_then(|session| {
            let of_service = sessions.get(service)?;
            let session = ShortHash::of(session);
            of_service.version(session, self.session_lifetime, now)
        });
        let (rule, reason) =
            rollout.choose_version(session, own, request_id, now);
        VersionChoice { rule, reason: Some(reason), withdrawn }
    }

    /// Notes that an attempt of a session begins, and which version it goes
    /// to; it is under way until [`Rollouts::end_session`].
    pub fn begin_session(
        &self,
        service: &ServiceId,
        session: &str,
        software: &VersionId,
        now: BootInstant,
    ) {
        let session = ShortHash::of(session);
        let mut sessions = self.sessions.lock().expect("sessions lock");
        let of_service = sessions.entry(service.clone()).or_default();
        of_service.begin(session, software, self.session_lifetime, now);
    }

    /// Notes that an attempt of a session has ended.
    pub fn end_session(
        &self,
        service: &ServiceId,
        session: &str,
        now: BootInstant,
    ) {
        let mut sessions = self.sessions.lock().expect("sessions lock");
        if let Some(of_service) = sessions.get_mut(service) {
            of_service.end(ShortHash::of(session), now);
        }
    }

    /// Takes in how an answer of a version on a route was.
    pub fn record_answer(
        &self,
        service: &ServiceId,
        software: &VersionId,
        route: &str,
        verdict: AttemptOutcome,
        first_part: Option<Duration>,
    ) {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        if let Some(rollout) = rollouts.get_mut(service) {
            rollout.record_answer(software, route, verdict, first_part);
        }
    }

    /// What this VM has to tell of the roll-outs that are running.
    pub fn evidence(
        &self,
        old_in_flight: impl Fn(&ServiceId, &VersionId) -> u32,
        now: BootInstant,
    ) -> Vec<Evidence> {
        let rollouts = self.running.lock().expect("rollouts lock");
        let sessions = self.sessions.lock().expect("sessions lock");
        let running =
            rollouts.iter().filter(|(_, rollout)| rollout.is_running());
        running
            .map(|(service, rollout)| {
                let old = old_in_flight(service, &rollout.order.target);
                let own = sessions.get(service);
                rollout.evidence(service, own, old, now)
            })
            .collect()
    }

    /// What the VMs of a data hall have seen of the roll-outs that are
    /// running, for those of other halls; `own` is this VM's evidence.
    pub fn hall_evidence(
        &self,
        data_hall: ShortHash,
        own: &[Evidence],
        now: BootInstant,
    ) -> Vec<HallEvidence> {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        let sums = own.iter().filter_map(|own| {
            let rollout = find(&mut rollouts, own)?;
            let evidence = rollout.hall_evidence(own.clone(), now);
            Some(HallEvidence { data_hall, age_ms: 0, evidence })
        });
        sums.collect()
    }

    /// What other data halls have told of the roll-outs that are running and
    /// the VMs of this one are to be told now; `own` is this VM's evidence.
    pub fn relayed_evidence(
        &self,
        own: &[Evidence],
        now: BootInstant,
    ) -> Vec<HallEvidence> {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        let mut relays = Vec::new();
        for own in own {
            let Some(rollout) = find(&mut rollouts, own) else { continue };
            let told = &mut rollout.told;
            told.forget_sessions(self.session_lifetime, now);
            for hall in told.due_relays(now) {
                relays.extend(told.relay(hall, own, now));
            }
        }
        relays
    }

    /// Takes in what another VM of this data hall tells.
    pub fn merge_evidence(
        &self,
        vm: &str,
        told: &[Evidence],
        now: BootInstant,
    ) {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        for told in told {
            if let Some(rollout) = find(&mut rollouts, told) {
                rollout.merge_evidence(vm, told.clone(), now);
            }
        }
    }

    /// Takes in what all VMs of another data hall tell.
    pub(crate) fn merge_hall_evidence(
        &self,
        told: &HallEvidence,
        way: Delivery,
        now: BootInstant,
    ) {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        if let Some(rollout) = find(&mut rollouts, &told.evidence) {
            rollout.merge_hall_evidence(told, way, now);
        }
    }

    /// Judges the running roll-outs; returns those that were stopped just
    /// now, with the reason.
    pub fn evaluate(&self, now: BootInstant) -> Vec<(ServiceId, String)> {
        let mut rollouts = self.running.lock().expect("rollouts lock");
        let mut stopped = Vec::new();
        for (service, rollout) in rollouts.iter_mut() {
            if let Some(reason) = rollout.evaluate(now) {
                stopped.push((service.clone(), reason));
            }
        }
        stopped
    }

    /// What is to be recorded in the store about the roll-outs.
    ///
    /// `is_steward` says whether this VM keeps the records; another one
    /// records only that a version was stopped, and a little later. A version
    /// is completed once no VM of this hall nor of `other_halls` works at the
    /// old one, whose upstreams then stop.
    pub fn pending_statuses(
        &self,
        is_steward: bool,
        old_in_flight: impl Fn(&ServiceId, &VersionId) -> u32,
        other_halls: &[ShortHash],
        now: BootInstant,
    ) -> Vec<PendingStatus> {
        let rollouts = self.running.lock().expect("rollouts lock");
        let mut due = Vec::new();
        for (service, rollout) in rollouts.iter() {
            let old = old_in_flight(service, &rollout.order.target);
            let progress =
                rollout.pending_statuses(is_steward, old, other_halls, now);
            if let Some(progress) = progress {
                let target = rollout.order.target.clone();
                let status = RolloutStatus { target, progress };
                due.push(PendingStatus { service: service.clone(), status });
            }
        }
        due
    }

    /// Whether any roll-out is running.
    pub fn any_running(&self) -> bool {
        let rollouts = self.running.lock().expect("rollouts lock");
        rollouts.values().any(Rollout::is_running)
    }
}

/// The roll-out that a VM tells of, if it is known here.
fn find<'a>(
    rollouts: &'a mut HashMap<ServiceId, Rollout>,
    told: &Evidence,
) -> Option<&'a mut Rollout> {
    let is_it = |service: &ServiceId, rollout: &Rollout| {
        told.service == ShortHash::of(service.as_str())
            && told.target == ShortHash::of(rollout.order.target.as_str())
    };
    let mut all = rollouts.iter_mut();
    let found = all.find(|(service, rollout)| is_it(service, rollout));
    found.map(|(_, rollout)| rollout)
}

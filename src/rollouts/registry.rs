//! All rollouts that one VM knows of, shared by its tasks.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use crate::{
    chains::store::StoreVersion,
    clock::BootInstant,
    id::{ServiceId, VersionId},
    message::ShortHash,
    placing::health::AttemptOutcome,
    rollouts::{
        answer_time::AnswerTime,
        choice::VersionChoice,
        comparison::{AnswerCounts, Comparison},
        evidence::{Evidence, HallEvidence},
        exposure::ExposureLimit,
        fleet_place::FleetPlace,
        peer_evidence::Delivery,
        rollout::{Rollout, RolloutOrder, RolloutProgress, RolloutStatus},
        sessions::Sessions,
        stored_evidence::StoredEvidence,
    },
};

/// Added to the session timeout, since a request may have been delayed at its
/// caller.
const SESSION_SLACK: Duration = Duration::from_secs(1);

/// Maximum number of withdrawn versions kept for each service; the upstreams
/// of older ones are long gone.
const MAX_WITHDRAWN: usize = 16;

/// A rollout status that has to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingStatus {
    /// The service.
    pub service: ServiceId,
    /// The status to write.
    pub status: RolloutStatus,
}

/// All rollouts that this VM knows of.
#[derive(Debug)]
pub struct Rollouts {
    /// Time after the end of its last request for which a session is kept.
    session_lifetime: Duration,
    /// The bound for the requests that a new version gets.
    limit: ExposureLimit,
    rollouts: Mutex<HashMap<ServiceId, Rollout>>,
    /// Withdrawn versions, the most recent one last. Their upstreams run on
    /// for a while after the order was deleted or replaced. Locked after
    /// `rollouts` where both are.
    withdrawn: Mutex<HashMap<ServiceId, Vec<VersionId>>>,
    /// The evidence that the store keeps. Locked after `rollouts` where both
    /// are.
    stored: Mutex<HashMap<ServiceId, StoredEvidence>>,
    /// Locked after `rollouts` where both are.
    sessions: Mutex<HashMap<ServiceId, Sessions>>,
}

impl Rollouts {
    /// Creates a registry without rollouts. A request belongs to the session
    /// of the previous one if it arrives within `session_timeout` of its end.
    pub fn new(session_timeout: Duration, limit: ExposureLimit) -> Rollouts {
        Rollouts {
            session_lifetime: session_timeout + SESSION_SLACK,
            limit,
            rollouts: Mutex::default(),
            withdrawn: Mutex::default(),
            stored: Mutex::default(),
            sessions: Mutex::default(),
        }
    }

    /// Applies an operator's order; returns whether it is a new one.
    pub fn apply_order(
        &self,
        service: ServiceId,
        order: RolloutOrder,
        now: BootInstant,
    ) -> bool {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        let previous = rollouts.get(&service);
        if previous.is_some_and(|previous| previous.order == order) {
            return false;
        }
        self.record_end(&service, previous);
        self.clear_withdrawn(&service, &order.target);
        let rollout =
            Rollout::new(order, self.session_lifetime, self.limit, now);
        rollouts.insert(service, rollout);
        true
    }

    /// Applies a status that was read from the store.
    pub fn apply_status(&self, service: &ServiceId, status: &RolloutStatus) {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        let Some(rollout) = rollouts.get_mut(service) else {
            if status.progress == RolloutProgress::Reverted {
                self.withdraw(service, status.target.clone());
            }
            return;
        };
        if rollout.order.target == status.target {
            rollout.apply_status(status.progress);
        }
    }

    /// Forgets what the store holds of the rollouts, so that all of it is
    /// written again.
    pub fn forget_stored(&self) {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        for rollout in rollouts.values_mut() {
            rollout.forget_recorded();
        }
        self.stored.lock().expect("stored evidence lock").clear();
    }

    /// Removes a rollout whose order was deleted.
    pub fn remove(&self, service: &ServiceId) {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        let removed = rollouts.remove(service);
        self.record_end(service, removed.as_ref());
    }

    /// Keeps the version of an ended rollout as withdrawn, if it was.
    fn record_end(&self, service: &ServiceId, ended: Option<&Rollout>) {
        if let Some(ended) = ended.filter(|ended| ended.is_withdrawn()) {
            self.withdraw(service, ended.order.target.clone());
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

    /// Removes a version from the withdrawn ones, so that it can be ordered
    /// again.
    fn clear_withdrawn(&self, service: &ServiceId, version: &VersionId) {
        let mut withdrawn = self.withdrawn.lock().expect("withdrawn lock");
        if let Some(versions) = withdrawn.get_mut(service) {
            versions.retain(|withdrawn| withdrawn != version);
        }
    }

    fn withdrawn(&self, service: &ServiceId) -> Vec<VersionId> {
        let withdrawn = self.withdrawn.lock().expect("withdrawn lock");
        withdrawn.get(service).cloned().unwrap_or_default()
    }

    /// Chooses the version for a request on a route.
    pub fn choose_version(
        &self,
        service: &ServiceId,
        route: &str,
        session: Option<&str>,
        request_id: &str,
        now: BootInstant,
    ) -> VersionChoice {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
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
            rollout.choose_version(route, session, own, request_id, now);
        VersionChoice { rule, reason: Some(reason), withdrawn }
    }

    /// Records that an attempt of a session is sent to a version; the attempt
    /// is in flight until [`Rollouts::end_session`].
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

    /// Records that an attempt of a session has ended.
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

    /// Records that an attempt at a version of a service was sent.
    pub fn record_sent(
        &self,
        service: &ServiceId,
        software: &VersionId,
        route: &str,
    ) {
        self.update(service, |rollout| {
            rollout.record_sent(software, route);
        });
    }

    /// Records the outcome of an attempt at a version, with the time to the
    /// first part of its answer, or the time for which that was waited for in
    /// vain.
    pub fn record_answer(
        &self,
        service: &ServiceId,
        software: &VersionId,
        route: &str,
        outcome: AttemptOutcome,
        time: Option<AnswerTime>,
    ) {
        self.update(service, |rollout| {
            rollout.record_answer(software, route, outcome, time);
        });
    }

    /// Records how long a request took, to the end of its answer.
    pub fn record_duration(
        &self,
        service: &ServiceId,
        route: &str,
        took: Duration,
    ) {
        self.update(service, |rollout| {
            rollout.record_duration(route, took);
        });
    }

    /// Updates the rollout of a service, if there is one.
    fn update(&self, service: &ServiceId, update: impl FnOnce(&mut Rollout)) {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        if let Some(rollout) = rollouts.get_mut(service) {
            update(rollout);
        }
    }

    /// Sets the place of this VM in its fleet.
    pub fn set_fleet_place(&self, fleet: FleetPlace) {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        for rollout in rollouts.values_mut() {
            rollout.set_fleet_place(fleet);
        }
    }

    /// Returns this VM's evidence on the running rollouts. `old_in_flight`
    /// counts its requests at versions of a service other than the given one.
    pub fn evidence(
        &self,
        old_in_flight: impl Fn(&ServiceId, &VersionId) -> u32,
        now: BootInstant,
    ) -> Vec<Evidence> {
        let rollouts = self.rollouts.lock().expect("rollouts lock");
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

    /// Returns the summed evidence of this VM's data hall on the running
    /// rollouts, for the VMs of other halls; `own` is this VM's evidence.
    pub fn hall_evidence(
        &self,
        data_hall: ShortHash,
        own: &[Evidence],
        now: BootInstant,
    ) -> Vec<HallEvidence> {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        let sums = own.iter().filter_map(|own| {
            let rollout = find(&mut rollouts, own)?;
            let evidence = rollout.hall_evidence(own.clone(), now);
            Some(HallEvidence { data_hall, age_ms: 0, evidence })
        });
        sums.collect()
    }

    /// Returns the evidence of other data halls that is due to be relayed to
    /// the VMs of this one; `own` is this VM's evidence.
    pub fn relayed_evidence(
        &self,
        own: &[Evidence],
        now: BootInstant,
    ) -> Vec<HallEvidence> {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        let mut relays = Vec::new();
        for own in own {
            let Some(rollout) = find(&mut rollouts, own) else { continue };
            let peers = &mut rollout.peers;
            peers.expire_sessions(self.session_lifetime, now);
            for hall in peers.due_relays(now) {
                relays.extend(peers.relay(hall, own, now));
            }
        }
        relays
    }

    /// Merges the evidence of another VM of this data hall.
    pub fn merge_evidence(
        &self,
        vm: &str,
        received: &[Evidence],
        now: BootInstant,
    ) {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        for evidence in received {
            if let Some(rollout) = find(&mut rollouts, evidence) {
                rollout.merge_evidence(vm, evidence.clone(), now);
            }
        }
    }

    /// Merges the summed evidence of another data hall.
    pub(crate) fn merge_hall_evidence(
        &self,
        received: &HallEvidence,
        delivery: Delivery,
        now: BootInstant,
    ) {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        if let Some(rollout) = find(&mut rollouts, &received.evidence) {
            rollout.merge_hall_evidence(received, delivery, now);
        }
    }

    /// Sets the evidence that the store keeps for this hall on a service's
    /// rollout.
    pub fn set_stored_evidence(
        &self,
        service: ServiceId,
        stored: StoredEvidence,
    ) {
        let mut all = self.stored.lock().expect("stored evidence lock");
        all.insert(service, stored);
    }

    /// Merges the evidence that the store keeps for this hall on a service's
    /// rollout, if it is on the order with this version.
    pub fn merge_stored_evidence(
        &self,
        service: &ServiceId,
        order_version: StoreVersion,
        own_vm: ShortHash,
        now: BootInstant,
    ) {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        let all = self.stored.lock().expect("stored evidence lock");
        let stored = all.get(service);
        let stored = stored.filter(|s| s.order_version == order_version);
        if let (Some(rollout), Some(stored)) =
            (rollouts.get_mut(service), stored)
        {
            rollout.merge_stored(stored, own_vm, now);
        }
    }

    /// Returns the evidence of this hall on running rollouts that the store
    /// lacks. `order_version` gives the store's version of a service's order.
    pub fn unstored_evidence(
        &self,
        order_version: impl Fn(&ServiceId) -> Option<StoreVersion>,
        own_vm: ShortHash,
        now: BootInstant,
    ) -> Vec<(ServiceId, StoredEvidence)> {
        let rollouts = self.rollouts.lock().expect("rollouts lock");
        let all = self.stored.lock().expect("stored evidence lock");
        let running =
            rollouts.iter().filter(|(_, rollout)| rollout.is_running());
        let missing = running.filter_map(|(service, rollout)| {
            let order = order_version(service)?;
            let known =
                rollout.evidence_to_store(service, own_vm, order, now)?;
            let stored = all.get(service);
            let is_missing = stored.is_none_or(|s| known.differs_from(s));
            is_missing.then(|| (service.clone(), known))
        });
        missing.collect()
    }

    /// Evaluates the running rollouts; returns the services whose new version
    /// this call stopped, with the reason.
    pub fn evaluate(&self, now: BootInstant) -> Vec<(ServiceId, String)> {
        let mut rollouts = self.rollouts.lock().expect("rollouts lock");
        let mut stopped = Vec::new();
        for (service, rollout) in rollouts.iter_mut() {
            if let Some(reason) = rollout.evaluate(now) {
                stopped.push((service.clone(), reason));
            }
        }
        stopped
    }

    /// Returns the statuses that this VM has to write to the store.
    ///
    /// The steward writes all of them. Any other VM writes only that a version
    /// was stopped, and deputies that a rollout has ended, a little later. A rollout is completed once no VM of
    /// this hall and of `other_halls` has requests in flight at the old
    /// version, since its upstreams then shut down.
    pub fn pending_statuses(
        &self,
        is_steward: bool,
        old_in_flight: impl Fn(&ServiceId, &VersionId) -> u32,
        other_halls: &[ShortHash],
        now: BootInstant,
    ) -> Vec<PendingStatus> {
        let rollouts = self.rollouts.lock().expect("rollouts lock");
        let mut pending = Vec::new();
        for (service, rollout) in rollouts.iter() {
            let old = old_in_flight(service, &rollout.order.target);
            let progress =
                rollout.pending_status(is_steward, old, other_halls, now);
            if let Some(progress) = progress {
                let target = rollout.order.target.clone();
                let status = RolloutStatus { target, progress };
                pending
                    .push(PendingStatus { service: service.clone(), status });
            }
        }
        pending
    }

    /// Returns how the versions of a service compare on all routes.
    pub(crate) fn comparison(&self, service: &ServiceId) -> Comparison {
        let rollouts = self.rollouts.lock().expect("rollouts lock");
        let known = rollouts.get(service).map(Rollout::comparison);
        known.unwrap_or_else(|| Comparison::new(&[]))
    }

    /// Returns the answers of the old and the new version of a running
    /// rollout, and how long after its beginning the canary phase ended.
    pub(crate) fn known_answers(
        &self,
        service: &ServiceId,
    ) -> Option<([AnswerCounts; 2], Option<Duration>)> {
        let rollouts = self.rollouts.lock().expect("rollouts lock");
        let rollout = rollouts.get(service)?;
        Some((rollout.answers_by_version(), rollout.canary_ended))
    }

    /// Whether any rollout is running, or has ended without the store holding
    /// its outcome.
    pub fn any_unrecorded(&self) -> bool {
        let rollouts = self.rollouts.lock().expect("rollouts lock");
        rollouts.values().any(|rollout| !rollout.is_recorded())
    }

    /// Whether any rollout is running.
    pub fn any_running(&self) -> bool {
        let rollouts = self.rollouts.lock().expect("rollouts lock");
        rollouts.values().any(Rollout::is_running)
    }
}

/// Returns the rollout that a VM's evidence is about, if it is known here.
fn find<'a>(
    rollouts: &'a mut HashMap<ServiceId, Rollout>,
    evidence: &Evidence,
) -> Option<&'a mut Rollout> {
    let is_it = |service: &ServiceId, rollout: &Rollout| {
        evidence.service == ShortHash::of(service.as_str())
            && evidence.target == ShortHash::of(rollout.order.target.as_str())
    };
    let mut all = rollouts.iter_mut();
    let found = all.find(|(service, rollout)| is_it(service, rollout));
    found.map(|(_, rollout)| rollout)
}

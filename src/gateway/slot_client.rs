//! The entry VM's side of slot coordination: gets slots for requests from the
//! VM that coordinates a service.
//!
//! A request that waits for a slot has not been sent to any upstream. If the
//! coordinator is lost, the request is still here: the next VM in the ranking
//! is asked once, and if that is lost as well, the request is sent to the
//! upstream that this VM would choose without coordination.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde_json::json;

use crate::{
    clock::BootInstant,
    error::{Error, ErrorKind},
    event::Event,
    gateway::{
        Gateway, fields,
        forward::{Job, MIN_TIME_LEFT},
        slot_coordinator::HOLD,
        trace::{SlotOutcome, Trace},
    },
    id::{DataHallId, ServiceId},
    message::{PeerReply, PeerRequest},
    peer::PeerError,
    placing::{
        admission,
        member::{LoadReport, Member},
    },
    rollouts::choice::VersionChoice,
    scheduling::{
        coordination::{Coordination, CoordinationChange, ServiceView},
        coordinator::{self, Candidate},
        release::{Release, ReleasedLoad},
        slot_decision::SlotDecision,
        slot_request::{EligibleUpstream, SlotRequest, Ticket},
    },
    store_sync::peers::SlotVm,
    task,
};

/// Interval at which it is determined whether a service is coordinated, and by
/// which VM. Heartbeats change both no faster.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a coordinator that did not reply is not asked. It doubles
/// each time that the VM still does not reply: a VM that is gone may be listed
/// for long, and each request that asks it is delayed.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(16);

/// Longest time for which no VM of another data hall is asked after one of
/// them did not reply in time, unless something arrives from there.
const HALL_PAUSE: Duration = Duration::from_secs(3);

/// Number of coordinators that one request may lose before it is sent without
/// a slot.
const MAX_LOST: u32 = 2;

/// How this VM gets slots from coordinators.
#[derive(Debug, Default)]
pub(crate) struct SlotClient {
    services: Mutex<HashMap<ServiceId, ServiceState>>,
    unreachable: Mutex<Unreachable>,
    next_number: AtomicU64,
}

/// What this VM knows about the coordination of a service.
#[derive(Debug, Default)]
struct ServiceState {
    coordination: Coordination,
    checked_at: Option<BootInstant>,
    /// The VMs in the order in which they are asked to coordinate; empty if
    /// the service is not coordinated.
    ranking: Arc<[SlotVm]>,
}

/// The VMs that did not reply.
#[derive(Debug, Default)]
struct Unreachable {
    vms: HashMap<String, Pause>,
    /// When a VM of each other data hall last failed to reply in time.
    halls: HashMap<DataHallId, BootInstant>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: BootInstant,
    length: Duration,
}

impl SlotClient {
    /// Whether the slots of a service are coordinated.
    pub(crate) fn is_coordinated(
        &self,
        gateway: &Gateway,
        service: &ServiceId,
        now: BootInstant,
    ) -> bool {
        self.ranking(gateway, service, now).is_some()
    }

    /// Returns the VMs that may coordinate a service in the order in which
    /// they are asked, or `None` if the service is not coordinated.
    fn ranking(
        &self,
        gateway: &Gateway,
        service: &ServiceId,
        now: BootInstant,
    ) -> Option<Arc<[SlotVm]>> {
        if gateway.settings.vms_per_slot == 0 {
            return None;
        }
        let mut services = self.services.lock().expect("services lock");
        if !services.contains_key(service) {
            services.insert(service.clone(), ServiceState::default());
        }
        let state = services.get_mut(service)?;
        let is_due = state.checked_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= CHECK_INTERVAL
        });
        if is_due {
            state.checked_at = Some(now);
            state.check(gateway, service, now);
        }
        let is_coordinated = state.coordination.is_coordinated();
        is_coordinated.then(|| state.ranking.clone())
    }

    /// Returns the position of the first VM from `from` on that may be asked.
    fn first_reachable(
        &self,
        gateway: &Gateway,
        ranking: &[SlotVm],
        from: usize,
        now: BootInstant,
    ) -> Option<usize> {
        let unreachable = self.unreachable.lock().expect("unreachable lock");
        let may_ask = |vm: &SlotVm| match vm.address {
            None => !gateway.is_stopping(),
            Some(_) => {
                !unreachable.is_paused(vm, now)
                    && !unreachable.is_hall_paused(gateway, vm, now)
            }
        };
        let found = ranking.iter().skip(from).position(may_ask)?;
        Some(from + found)
    }

    /// Records that a VM does not coordinate, and logs it if the VM did not
    /// reply.
    fn record_lost(
        &self,
        gateway: &Gateway,
        service: &ServiceId,
        vm: &SlotVm,
        lost: &Lost,
        now: BootInstant,
    ) {
        let mut unreachable =
            self.unreachable.lock().expect("unreachable lock");
        let is_remote = vm.data_hall != gateway.settings.data_hall;
        if lost.is_silent && is_remote {
            unreachable.halls.insert(vm.data_hall.clone(), now);
        }
        let is_new = unreachable.pause(vm, now);
        drop(unreachable);
        if let (true, Some(reason)) = (is_new, &lost.reason) {
            Event::CoordinatorUnreachable.record(fields(json!({
                "service": service,
                "vm": vm.vm,
                "reason": reason,
            })));
        }
    }

    fn record_reply(&self, vm: &SlotVm) {
        let mut unreachable =
            self.unreachable.lock().expect("unreachable lock");
        if !unreachable.vms.is_empty() {
            unreachable.vms.remove(&vm.vm);
        }
    }

    fn next_ticket(&self, gateway: &Gateway) -> Ticket {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        Ticket::new(gateway.peers.vm(), gateway.incarnation, number)
    }
}

impl ServiceState {
    /// Determines whether the service is coordinated, and by which VMs.
    fn check(
        &mut self,
        gateway: &Gateway,
        service: &ServiceId,
        now: BootInstant,
    ) {
        let slots = gateway.pool.slots(service, now);
        let vms_per_slot = gateway.settings.vms_per_slot;
        let count = |vms: usize| u32::try_from(vms).unwrap_or(u32::MAX);
        // Most services have many slots, for which the VMs need not be
        // visited.
        let fleet_size = count(gateway.peers.fleet_size());
        let may_be_coordinated = self.coordination.is_coordinated()
            || slots.saturating_mul(vms_per_slot) < fleet_size;
        let vms = match may_be_coordinated {
            true => gateway.peers.slot_vms(now),
            false => Vec::new(),
        };
        let view = ServiceView {
            is_stream: false,
            slots,
            live_vms: count(vms.len()),
            service_time: gateway.service_times.of(service),
        };
        let change = self.coordination.update(&view, vms_per_slot);
        self.ranking = match self.coordination.is_coordinated() {
            true => rank(service, vms),
            false => Arc::default(),
        };
        let Some(change) = change else { return };
        let event = match change {
            CoordinationChange::Coordinated => Event::SlotsCoordinated,
            CoordinationChange::Uncoordinated => Event::SlotsUncoordinated,
        };
        event.record(fields(json!({
            "service": service,
            "slots": view.slots,
            "live_vms": view.live_vms,
            "coordinator": self.ranking.first().map(|vm| &vm.vm),
        })));
    }
}

/// Returns the VMs in the order in which they are asked to coordinate.
fn rank(service: &ServiceId, vms: Vec<SlotVm>) -> Arc<[SlotVm]> {
    let candidates =
        vms.iter().map(|vm| Candidate { vm: &vm.vm, cores: vm.cores });
    let by_name: HashMap<&str, &SlotVm> =
        vms.iter().map(|vm| (vm.vm.as_str(), vm)).collect();
    let ranked = coordinator::rank(service, candidates);
    ranked.into_iter().map(|vm| by_name[vm].clone()).collect()
}

impl Unreachable {
    fn is_paused(&self, vm: &SlotVm, now: BootInstant) -> bool {
        self.vms.get(&vm.vm).is_some_and(|pause| now < pause.until)
    }

    /// Whether nothing has arrived from the data hall of a VM since another VM
    /// there failed to reply.
    fn is_hall_paused(
        &self,
        gateway: &Gateway,
        vm: &SlotVm,
        now: BootInstant,
    ) -> bool {
        let hall = &vm.data_hall;
        let failed_at = self.halls.get(hall).copied();
        let has_failed = failed_at.is_some_and(|at| {
            now.saturating_duration_since(at) < HALL_PAUSE
                && !gateway.pool.is_hall_active_since(hall, at)
        });
        has_failed || gateway.pool.is_hall_partitioned(hall, now)
    }

    /// Excludes a VM for a while; returns whether it was not excluded before.
    fn pause(&mut self, vm: &SlotVm, now: BootInstant) -> bool {
        self.vms.retain(|_, pause| now < pause.until + MAX_PAUSE);
        let Some(pause) = self.vms.get_mut(&vm.vm) else {
            let pause =
                Pause { until: now + FIRST_PAUSE, length: FIRST_PAUSE };
            self.vms.insert(vm.vm.clone(), pause);
            return true;
        };
        // Another request has noticed the same.
        if now < pause.until {
            return false;
        }
        pause.length = (pause.length * 2).min(MAX_PAUSE);
        pause.until = now + pause.length;
        true
    }
}

/// Why a VM that was asked for a slot does not coordinate.
struct Lost {
    /// Why it did not reply; `None` if it is stopping.
    reason: Option<String>,
    /// Whether nothing came from it within the time limit.
    is_silent: bool,
}

impl Lost {
    /// A VM that does not coordinate, since it is stopping.
    fn stopping() -> Lost {
        Lost { reason: None, is_silent: false }
    }
}

/// Why there is no decision on a request.
struct NoReply {
    /// The loss of the coordinator; `None` if the deadline of the request has
    /// ended the wait.
    lost: Option<Lost>,
    /// Whether the message may have arrived.
    may_have_arrived: bool,
}

impl NoReply {
    fn stopping() -> NoReply {
        NoReply { lost: Some(Lost::stopping()), may_have_arrived: false }
    }
}

/// The stage of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The coordinator does not know it.
    Unknown,
    /// It may wait at the coordinator, or be granted there.
    Asked,
    /// It is granted.
    Granted,
}

/// A ticket at a coordinator. Dropping it cancels a request that waits, and
/// releases a granted slot.
pub(crate) struct SlotTicket {
    gateway: Arc<Gateway>,
    service: ServiceId,
    ranking: Arc<[SlotVm]>,
    /// The position of the coordinator in the ranking.
    at: usize,
    ticket: Ticket,
    stage: Stage,
    service_time: OnceLock<Duration>,
    load: OnceLock<ReleasedLoad>,
}

impl SlotTicket {
    fn coordinator(&self) -> &SlotVm {
        &self.ranking[self.at]
    }

    /// Records that the request succeeded, after this service time.
    pub(crate) fn record_service_time(&self, took: Duration) {
        // Only the first response of an attempt counts.
        let _ = self.service_time.set(took);
    }

    /// Records the load that the upstream reported with its response.
    pub(crate) fn record_load(&self, load: LoadReport) {
        // Only the first response of an attempt counts.
        let _ = self.load.set(load.into());
    }

    /// Asks the coordinator for a decision.
    async fn ask(
        &mut self,
        request: SlotRequest,
    ) -> Result<SlotDecision, NoReply> {
        self.stage = Stage::Asked;
        let answer = match self.coordinator().address {
            None => self.ask_self(request).await,
            Some(_) => self.ask_peer(request).await,
        };
        match &answer {
            Ok(SlotDecision::Granted(_)) => self.stage = Stage::Granted,
            Ok(SlotDecision::Waiting) => {}
            Ok(SlotDecision::Refused { .. }) => self.stage = Stage::Unknown,
            // It is cancelled there, if it arrived.
            Err(NoReply { may_have_arrived: true, .. }) => {}
            // Of a coordinator that is silent, it is unknown whether it has
            // the request.
            Err(NoReply { lost: Some(lost), .. }) if lost.is_silent => {}
            Err(_) => self.stage = Stage::Unknown,
        }
        answer
    }

    async fn ask_self(
        &self,
        request: SlotRequest,
    ) -> Result<SlotDecision, NoReply> {
        let coordinator = &self.gateway.slot_coordinator;
        let decision =
            coordinator.acquire(&self.gateway, &self.service, request).await;
        decision.ok_or_else(NoReply::stopping)
    }

    async fn ask_peer(
        &self,
        request: SlotRequest,
    ) -> Result<SlotDecision, NoReply> {
        let gateway = &self.gateway;
        let asked_at = gateway.clock.now();
        let left = request.deadline();
        let message = PeerRequest::AcquireSlot {
            service: self.service.clone(),
            request: Box::new(request),
        };
        let margin = gateway.settings.slot_reply_margin;
        let limit = HOLD + margin;
        let lost = |error: PeerError| {
            let now = gateway.clock.now();
            let waited = now.saturating_duration_since(asked_at);
            let (limit, may_have_arrived) = match error {
                PeerError::NotSent(_) => (margin, false),
                PeerError::OutcomeUnknown(_) => (limit, true),
            };
            // A wait that the deadline of the request has ended says nothing
            // of the VM.
            let is_cut_short = left < limit && waited >= left;
            let is_silent = waited >= limit;
            let reason = Some(error.to_string());
            let lost = (!is_cut_short).then_some(Lost { reason, is_silent });
            NoReply { lost, may_have_arrived }
        };
        let vm = self.coordinator();
        let Some(address) = vm.address else {
            return Err(NoReply::stopping());
        };
        let client = &gateway.peers.client;
        let reply = client
            .call_while_running(
                address,
                message,
                margin.min(left),
                limit.min(left),
            )
            .await;
        let decision = match reply.map_err(lost)? {
            PeerReply::SlotGranted(upstream) => {
                SlotDecision::Granted(upstream)
            }
            PeerReply::SlotWaiting => SlotDecision::Waiting,
            PeerReply::SlotRefused { retry_after_ms, has_place, reason } => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                SlotDecision::Refused { retry_after, has_place, reason }
            }
            _ => return Err(NoReply::stopping()),
        };
        gateway.slot_client.record_reply(vm);
        Ok(decision)
    }

    fn release(&self) -> Release {
        let ms = |time: &Duration| {
            u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
        };
        Release {
            service_time_ms: self.service_time.get().map(ms),
            load: self.load.get().copied(),
        }
    }
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        if self.stage == Stage::Unknown {
            return;
        }
        let (gateway, ticket) = (self.gateway.clone(), self.ticket);
        let is_granted = self.stage == Stage::Granted;
        let release = self.release();
        let Some(address) = self.coordinator().address else {
            let now = gateway.clock.now();
            let coordinator = &gateway.slot_coordinator;
            return match is_granted {
                true => {
                    coordinator.release(&self.service, ticket, release, now);
                }
                false => coordinator.cancel(&self.service, ticket, now),
            };
        };
        let service = self.service.clone();
        let message = match is_granted {
            true => PeerRequest::ReleaseSlot { service, ticket, release },
            false => PeerRequest::CancelSlot { service, ticket },
        };
        task::spawn(async move {
            // A message that gets lost costs the slot until the grant expires.
            let _ = gateway.peers.client.send(address, message).await;
        })
        .detach();
    }
}

/// An upstream for an attempt, with the slot that was granted there.
pub(crate) struct GrantedUpstream {
    pub(crate) member: Arc<Member>,
    pub(crate) version: VersionChoice,
    pub(crate) ticket: SlotTicket,
}

/// Records what became of a request for a slot, also if the caller disconnects
/// meanwhile.
struct WaitRecord<'a> {
    trace: &'a mut Trace,
    gateway: &'a Gateway,
    since: BootInstant,
    outcome: SlotOutcome,
}

impl Drop for WaitRecord<'_> {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let waited = now.saturating_duration_since(self.since);
        self.trace.record_slot(self.outcome, waited);
    }
}

impl Job {
    /// Waits for a slot of the service, and returns it with its upstream; or
    /// `None` if the attempt is to be sent without one, since the service is
    /// not coordinated or no coordinator replies.
    ///
    /// # Errors
    ///
    /// If the request is refused or can no longer be served. It was not sent
    /// to any upstream in this attempt.
    pub(crate) async fn acquire_slot(
        &self,
        trace: &mut Trace,
    ) -> Result<Option<GrantedUpstream>, Error> {
        let gateway = &self.gateway;
        let since = gateway.clock.now();
        if self.route.is_stream {
            return Ok(None);
        }
        let client = &gateway.slot_client;
        let Some(ranking) = client.ranking(gateway, &self.service, since)
        else {
            return Ok(None);
        };
        let outcome = SlotOutcome::Cancelled;
        let mut record = WaitRecord { trace, gateway, since, outcome };
        let acquired = self.wait_for_slot(&ranking).await;
        record.outcome = match &acquired {
            Ok(Some(_)) => SlotOutcome::Granted,
            Ok(None) => SlotOutcome::Direct,
            Err(NoSlot::Refused(_)) => SlotOutcome::Refused,
            Err(NoSlot::Failed(_)) => SlotOutcome::Failed,
        };
        acquired.map_err(|no_slot| match no_slot {
            NoSlot::Refused(error) | NoSlot::Failed(error) => error,
        })
    }

    async fn wait_for_slot(
        &self,
        ranking: &Arc<[SlotVm]>,
    ) -> Result<Option<GrantedUpstream>, NoSlot> {
        let gateway = &self.gateway;
        let client = &gateway.slot_client;
        let mut held: Option<SlotTicket> = None;
        let mut lost_count = 0;
        let mut from = 0;
        loop {
            let now = gateway.clock.now();
            self.check_time_left(HOLD, now).map_err(NoSlot::Failed)?;
            self.check_whole_not_quarantined().map_err(NoSlot::Failed)?;
            let version = self.version_choice(now);
            let upstreams = {
                let criteria = self.pick_criteria(&version, &self.tried);
                let pool = &gateway.pool;
                pool.eligible_upstreams(&self.service, &criteria, now)
                    .map_err(|error| NoSlot::Failed(self.pick_error(error)))?
            };
            let mut ticket = match held.take() {
                Some(ticket) => ticket,
                None => {
                    let at =
                        client.first_reachable(gateway, ranking, from, now);
                    let Some(at) = at else { return Ok(None) };
                    self.new_ticket(ranking.clone(), at)
                }
            };
            let request = self.slot_request(&ticket, upstreams, now);
            match ticket.ask(request).await {
                Ok(SlotDecision::Granted(upstream)) => {
                    let now = gateway.clock.now();
                    self.check_time_left(Duration::ZERO, now)
                        .map_err(NoSlot::Failed)?;
                    let criteria = self.pick_criteria(&version, &self.tried);
                    let member = gateway.pool.pick_upstream(
                        &self.service,
                        upstream,
                        &criteria,
                        now,
                    );
                    // Otherwise the upstream may not take the request any
                    // more; dropping the ticket releases the slot.
                    if let Some(member) = member {
                        return Ok(Some(GrantedUpstream {
                            member,
                            version,
                            ticket,
                        }));
                    }
                }
                Ok(SlotDecision::Waiting) => held = Some(ticket),
                Ok(SlotDecision::Refused { retry_after, reason, .. }) => {
                    let error = Error::new(ErrorKind::Overloaded)
                        .context(format!(
                            "no slot at {}: {reason}",
                            self.service
                        ))
                        .with_retry_after(retry_after);
                    return Err(NoSlot::Refused(error));
                }
                // The check at the start of the loop rejects the request.
                Err(NoReply { lost: None, .. }) => {}
                Err(NoReply { lost: Some(lost), .. }) => {
                    let vm = ticket.coordinator();
                    let now = gateway.clock.now();
                    client.record_lost(gateway, &self.service, vm, &lost, now);
                    lost_count += 1;
                    if lost_count >= MAX_LOST {
                        return Ok(None);
                    }
                    from = ticket.at + 1;
                }
            }
        }
    }

    fn new_ticket(&self, ranking: Arc<[SlotVm]>, at: usize) -> SlotTicket {
        let gateway = self.gateway.clone();
        SlotTicket {
            ticket: gateway.slot_client.next_ticket(&gateway),
            gateway,
            service: self.service.clone(),
            ranking,
            at,
            stage: Stage::Unknown,
            service_time: OnceLock::new(),
            load: OnceLock::new(),
        }
    }

    fn slot_request(
        &self,
        ticket: &SlotTicket,
        upstreams: Vec<EligibleUpstream>,
        now: BootInstant,
    ) -> SlotRequest {
        let ms = |time: Duration| {
            u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
        };
        let target = self.started_at + self.route.latency_target;
        let organisation = self.organisation.as_ref().map(|o| &o.id);
        SlotRequest {
            ticket: ticket.ticket,
            priority: self.priority(),
            organisation: SlotRequest::organisation_hash(organisation),
            digest: self.digest(),
            latency_target_ms: ms(target.saturating_duration_since(now)),
            deadline_ms: ms(self.time_left_here(now)),
            upstreams,
        }
    }

    /// Returns the time left until the deadline, or until this VM cuts off
    /// requests in its graceful shutdown.
    fn time_left_here(&self, now: BootInstant) -> Duration {
        let left = self.time_left(now);
        let stop = self.gateway.stop_ends_at();
        stop.map_or(left, |at| left.min(at.saturating_duration_since(now)))
    }

    /// Checks that a request that may have waited for a slot can still be
    /// sent. Without this, its upstream would be blamed for the timeout.
    pub(crate) fn check_time_to_send(&self) -> Result<(), Error> {
        if self.time_left(self.gateway.clock.now()) >= MIN_TIME_LEFT {
            return Ok(());
        }
        let service_time = self.gateway.service_times.of(&self.service);
        let wait = admission::retry_after(service_time, rand::random());
        Err(Error::new(ErrorKind::Overloaded)
            .context("the deadline passed before the request was sent")
            .with_retry_after(wait))
    }

    /// Checks that a request can still be served after a wait for a slot. The
    /// caller is told that it did not run.
    fn check_time_left(
        &self,
        wait: Duration,
        now: BootInstant,
    ) -> Result<(), Error> {
        let service_time = self.gateway.service_times.of(&self.service);
        if self.time_left(now) < MIN_TIME_LEFT {
            let wait = admission::retry_after(service_time, rand::random());
            return Err(Error::new(ErrorKind::Overloaded)
                .context("the deadline passed while it waited for a slot")
                .with_retry_after(wait));
        }
        let needed = wait + service_time.unwrap_or_default();
        if self.gateway.is_stopping() && self.time_left_here(now) < needed {
            return Err(Error::new(ErrorKind::NotReady)
                .context("this VM stops while the request waits for a slot"));
        }
        Ok(())
    }
}

/// Why a request gets no slot.
enum NoSlot {
    /// The coordinator has refused it.
    Refused(Error),
    /// It can no longer be served.
    Failed(Error),
}

#[cfg(test)]
mod deadline_tests;
#[cfg(test)]
mod tests;

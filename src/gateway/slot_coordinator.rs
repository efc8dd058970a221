//! The coordinator's side of slot coordination: grants the slots of the
//! services that this VM coordinates.
//!
//! The decisions are those of [`SlotQueue`]; this module keeps one for each
//! service, delivers the decisions to the requests that wait for them, and
//! calls the queue when something is due in it. Any VM that is asked
//! coordinates, since VMs may disagree on the coordinator for a while.
//!
//! The state is in memory alone. If it is lost, the entry VMs still hold the
//! requests that waited here, and ask another VM.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    sync::Mutex,
    time::Duration,
};

use smol::channel::{Sender, bounded};

use crate::{
    clock::BootInstant,
    gateway::Gateway,
    id::ServiceId,
    message::ShortHash,
    placing::pool::Pool,
    scheduling::{
        release::Release,
        slot_decision::SlotDecision,
        slot_queue::{ASK_AGAIN_WITHIN, SlotQueue},
        slot_request::{SlotRequest, Ticket},
    },
    task::{self, Wake},
};

/// Longest time for which a reply is held while its request waits. The entry
/// VM notices within this time, and a margin, that the coordinator is lost.
pub(crate) const HOLD: Duration = Duration::from_millis(200);

/// Bounds of the time between two checks for what is due. Upstreams that are
/// leaving are noticed within the longer one; a grant or a refusal that is
/// late by the shorter one is no loss to a caller.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of upstreams of a service that are remembered; incarnations that are
/// gone are among them.
const MAX_NAMED_UPSTREAMS: usize = 256;

/// Number of cancelled tickets of a service that are remembered.
const MAX_CANCELLED: usize = 512;

/// Time after the last message for a service after which its queue is
/// discarded, with the service times that it has learned.
const DISCARD_AFTER: Duration = Duration::from_secs(60);

/// The services that this VM coordinates.
#[derive(Debug, Default)]
pub(crate) struct SlotCoordinator {
    services: Mutex<HashMap<ServiceId, CoordinatedService>>,
    /// Wakes the task that handles what is due, if it has nothing to check.
    wake: Wake,
}

/// The queue of one service, with the requests that wait for a decision.
#[derive(Debug)]
struct CoordinatedService {
    queue: SlotQueue,
    /// The held replies.
    held: HashMap<Ticket, Sender<SlotDecision>>,
    /// Refusals that were decided on between two messages of an entry VM; a
    /// grant is kept by the queue.
    refused: Vec<(Ticket, SlotDecision, BootInstant)>,
    /// Tickets that were cancelled within [`ASK_AGAIN_WITHIN`], the oldest
    /// first: a cancellation can overtake the request.
    cancelled: VecDeque<(Ticket, BootInstant)>,
    /// The upstreams that requests have named, the oldest first.
    upstreams: Vec<NamedUpstream>,
    used_at: BootInstant,
}

/// An incarnation of an upstream that a request has named.
#[derive(Debug)]
struct NamedUpstream {
    upstream: ShortHash,
    /// Whether this VM's pool has known it.
    was_known: bool,
    /// Whether it is leaving or gone.
    is_gone: bool,
}

impl SlotCoordinator {
    /// Decides on a request for a slot, and waits at most [`HOLD`] for the
    /// decision; returns `None` if this VM is stopping.
    pub(crate) async fn acquire(
        &self,
        gateway: &Gateway,
        service: &ServiceId,
        mut request: SlotRequest,
    ) -> Option<SlotDecision> {
        if gateway.is_stopping() {
            return None;
        }
        let ticket = request.ticket;
        let hold = HOLD.min(request.deadline());
        let decided = {
            let now = gateway.clock.now();
            let mut services = self.services.lock().expect("slots lock");
            let coordinated =
                services.entry(service.clone()).or_insert_with(|| {
                    let service_time = gateway.service_times.of(service);
                    CoordinatedService::new(service_time, now)
                });
            coordinated.used_at = now;
            if coordinated.is_cancelled(ticket, now) {
                // Nobody waits for the reply.
                return Some(SlotDecision::Waiting);
            }
            if let Some(refusal) = coordinated.take_refusal(ticket) {
                return Some(refusal);
            }
            coordinated.exclude_leaving(&gateway.pool, &mut request, now);
            let decision = coordinated.queue.request(request, now);
            let (sender, decided) = bounded(1);
            if decision == SlotDecision::Waiting {
                coordinated.held.insert(ticket, sender);
            }
            coordinated.deliver_due(now);
            if decision != SlotDecision::Waiting {
                return Some(decision);
            }
            decided
        };
        self.wake.wake();
        match task::within(hold, decided.recv()).await {
            Some(decision) => decision.ok(),
            None => {
                let mut services = self.services.lock().expect("slots lock");
                if let Some(coordinated) = services.get_mut(service) {
                    coordinated.held.remove(&ticket);
                }
                // A decision may have arrived since.
                Some(decided.try_recv().unwrap_or(SlotDecision::Waiting))
            }
        }
    }

    /// Ends a grant, and delivers the decisions that follow from it.
    pub(crate) fn release(
        &self,
        service: &ServiceId,
        ticket: Ticket,
        release: Release,
        now: BootInstant,
    ) {
        self.update(service, now, |coordinated| {
            coordinated.queue.release(ticket, release, now)
        });
    }

    /// Removes a request whose caller has disconnected, and delivers the
    /// decisions that follow from it.
    pub(crate) fn cancel(
        &self,
        service: &ServiceId,
        ticket: Ticket,
        now: BootInstant,
    ) {
        self.update(service, now, |coordinated| {
            coordinated.held.remove(&ticket);
            coordinated.remember_cancelled(ticket, now);
            coordinated.queue.cancel(ticket, now)
        });
    }

    fn update(
        &self,
        service: &ServiceId,
        now: BootInstant,
        update: impl FnOnce(&mut CoordinatedService) -> Vec<(Ticket, SlotDecision)>,
    ) {
        let mut services = self.services.lock().expect("slots lock");
        // A ticket of an earlier incarnation of this VM is unknown.
        let Some(coordinated) = services.get_mut(service) else { return };
        coordinated.used_at = now;
        let decisions = update(coordinated);
        coordinated.deliver(decisions, now);
    }

    /// Ends all waits: the entry VMs then ask another VM.
    pub(crate) fn stop(&self) {
        let mut services = self.services.lock().expect("slots lock");
        for coordinated in services.values_mut() {
            // Dropping the senders ends the waits without a decision.
            coordinated.held.clear();
        }
    }

    /// Returns the number of requests that wait for a slot.
    pub(crate) fn queue_len(&self) -> usize {
        let services = self.services.lock().expect("slots lock");
        services.values().map(|coordinated| coordinated.queue.len()).sum()
    }

    /// Handles what is due in all queues; returns the time until the next
    /// check, or `None` if there is nothing to check.
    pub(crate) fn advance(
        &self,
        pool: &Pool,
        now: BootInstant,
    ) -> Option<Duration> {
        let mut services = self.services.lock().expect("slots lock");
        services.retain(|_, coordinated| {
            let unused = now.saturating_duration_since(coordinated.used_at);
            unused < DISCARD_AFTER || !coordinated.queue.is_idle(now)
        });
        let mut wait = None;
        for coordinated in services.values_mut() {
            coordinated.remove_leaving(pool, now);
            let decisions = coordinated.queue.advance(now);
            coordinated.deliver(decisions, now);
            if coordinated.queue.is_idle(now) {
                continue;
            }
            let due = coordinated.queue.next_event(now);
            let left = due.map(|due| due.saturating_duration_since(now));
            let left = left.unwrap_or(MAX_CHECK_INTERVAL);
            let next = wait.unwrap_or(MAX_CHECK_INTERVAL).min(left);
            wait = Some(next.max(MIN_CHECK_INTERVAL));
        }
        wait
    }
}

impl CoordinatedService {
    fn new(
        service_time: Option<Duration>,
        now: BootInstant,
    ) -> CoordinatedService {
        CoordinatedService {
            queue: SlotQueue::new(service_time),
            held: HashMap::new(),
            refused: Vec::new(),
            cancelled: VecDeque::new(),
            upstreams: Vec::new(),
            used_at: now,
        }
    }

    /// Delivers the decisions on other requests that the last one led to.
    fn deliver_due(&mut self, now: BootInstant) {
        if self.queue.next_event(now).is_some_and(|due| due <= now) {
            let decisions = self.queue.advance(now);
            self.deliver(decisions, now);
        }
    }

    /// Delivers decisions to the held replies.
    fn deliver(
        &mut self,
        decisions: Vec<(Ticket, SlotDecision)>,
        now: BootInstant,
    ) {
        self.refused.retain(|(_, _, at)| {
            now.saturating_duration_since(*at) < ASK_AGAIN_WITHIN
        });
        for (ticket, decision) in decisions {
            let held = self.held.remove(&ticket);
            let is_delivered =
                held.is_some_and(|held| held.try_send(decision).is_ok());
            let is_refusal = matches!(decision, SlotDecision::Refused { .. });
            if !is_delivered && is_refusal {
                self.refused.push((ticket, decision, now));
            }
        }
    }

    fn remember_cancelled(&mut self, ticket: Ticket, now: BootInstant) {
        self.forget_cancelled(now);
        if self.cancelled.len() >= MAX_CANCELLED {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back((ticket, now));
    }

    fn is_cancelled(&mut self, ticket: Ticket, now: BootInstant) -> bool {
        self.forget_cancelled(now);
        self.cancelled.iter().any(|(of, _)| *of == ticket)
    }

    fn forget_cancelled(&mut self, now: BootInstant) {
        self.cancelled.retain(|(_, at)| {
            now.saturating_duration_since(*at) < ASK_AGAIN_WITHIN
        });
    }

    fn take_refusal(&mut self, ticket: Ticket) -> Option<SlotDecision> {
        let at = self.refused.iter().position(|(of, ..)| *of == ticket)?;
        Some(self.refused.swap_remove(at).1)
    }

    /// Removes from a request the upstreams that this VM knows to be leaving,
    /// and from the queue their grants.
    fn exclude_leaving(
        &mut self,
        pool: &Pool,
        request: &mut SlotRequest,
        now: BootInstant,
    ) {
        for named in &request.upstreams {
            if !self.upstreams.iter().any(|u| u.upstream == named.upstream) {
                self.upstreams.push(NamedUpstream {
                    upstream: named.upstream,
                    was_known: false,
                    is_gone: false,
                });
            }
        }
        let excess = self.upstreams.len().saturating_sub(MAX_NAMED_UPSTREAMS);
        self.upstreams.drain(..excess);
        self.remove_leaving(pool, now);
        request.upstreams.retain(|named| {
            let mut known = self.upstreams.iter();
            !known.any(|u| u.upstream == named.upstream && u.is_gone)
        });
    }

    /// Discards the upstreams that are leaving or gone, with their grants.
    fn remove_leaving(&mut self, pool: &Pool, now: BootInstant) {
        for named in &mut self.upstreams {
            let member = pool.incarnation(named.upstream);
            let was_gone = named.is_gone;
            named.is_gone = match &member {
                Some(member) => member.upstream.is_leaving(),
                // An upstream that the pool does not know may be new.
                None => named.was_known,
            };
            named.was_known |= member.is_some();
            if named.is_gone && !was_gone {
                self.queue.remove_upstream(named.upstream, now);
            }
        }
    }
}

/// Handles what is due in the queues for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let coordinator = &gateway.slot_coordinator;
    loop {
        let wait = coordinator.advance(&gateway.pool, gateway.clock.now());
        let length = coordinator.queue_len();
        let length = i64::try_from(length).unwrap_or(i64::MAX);
        gateway.metrics.slot_queue_length.set(length);
        match wait {
            Some(wait) => {
                task::sleep(MIN_CHECK_INTERVAL.min(wait)).await;
                let rest = wait.saturating_sub(MIN_CHECK_INTERVAL);
                task::within(rest, coordinator.wake.woken()).await;
            }
            None => coordinator.wake.woken().await,
        }
    }
}

#[cfg(test)]
mod cancel_tests;
#[cfg(test)]
mod tests;

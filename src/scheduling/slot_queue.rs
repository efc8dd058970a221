//! The queue of one service on its coordinator: who gets the next free slot.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::BootInstant,
    message::ShortHash,
    scheduling::{
        drain::Drain,
        kept_places::{ExpectedWait, KeptPlaces, Refused},
        release::Release,
        service_time::ServiceTime,
        slot_decision::{RefusalReason, SlotDecision},
        slot_request::{EligibleUpstream, SlotRequest, Ticket},
        upstream_slots::UpstreamSlots,
        waiting_requests::{WaitingRequest, WaitingRequests},
    },
};

/// Time within which the entry VM of a waiting request must ask again.
/// Otherwise the request is dropped, as its entry VM has probably died.
pub const ASK_AGAIN_WITHIN: Duration = Duration::from_millis(400);

/// Requests that may wait: those of the longest deadline, 3 s, at the highest
/// rate that is coordinated, 1,000 a second.
const MAX_WAITING: usize = 3000;

/// Upstreams that are known at a time. A coordinated service has fewer slots
/// than that.
const MAX_UPSTREAMS: usize = 256;

/// Time after which an upstream that no request names is forgotten.
const UPSTREAM_LIFETIME: Duration = Duration::from_secs(10);

/// Time within which a request must have named an upstream for its slots to
/// count: waiting requests name theirs every 200 ms.
const NAMED_WITHIN: Duration = Duration::from_millis(500);

/// Time for which a removed upstream is not granted: until the entry VMs that
/// still name it have learned that it is leaving.
const REMOVED_LIFETIME: Duration = Duration::from_secs(2);

/// Mean service times after which a grant expires; 1 request in 100 takes 5 of
/// them.
const GRANT_SERVICE_TIMES: u32 = 8;

/// Expired grants that are remembered, and for how long, so that their
/// releases still teach the service time.
const MAX_EXPIRED: usize = 256;
const EXPIRED_LIFETIME: Duration = Duration::from_secs(5);

/// Time that a grant takes to its entry VM and the request to the upstream.
const GRANT_TRANSIT: Duration = Duration::from_millis(5);

/// Interval at which the waiting requests are checked for those that cannot be
/// served before their deadline.
const REVIEW_INTERVAL: Duration = Duration::from_millis(10);

/// Expected wait from which a request counts as never served; no caller waits
/// as long.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);

/// A request that may be at its upstream.
#[derive(Clone, Copy, Debug)]
struct Grant {
    upstream: ShortHash,
    expires_at: BootInstant,
}

/// How many slots there are, and how many become free per second.
#[derive(Clone, Copy, Debug)]
struct Rates {
    slots: u32,
    all_per_s: f64,
    /// What requests that are in time leave over.
    rest_per_s: f64,
}

/// The waiting requests, grants and kept places of one service.
///
/// A waiting request is decided on by [`SlotQueue::release`],
/// [`SlotQueue::cancel`] or [`SlotQueue::advance`], which return the tickets
/// that are decided on. A granted ticket remains until it is released,
/// cancelled or expires; a refused one is forgotten.
#[derive(Debug)]
pub struct SlotQueue {
    service_time: ServiceTime,
    upstreams: BTreeMap<ShortHash, UpstreamSlots>,
    /// Upstreams that are leaving, and when they were removed.
    removed: BTreeMap<ShortHash, BootInstant>,
    waiting: WaitingRequests,
    grants: HashMap<Ticket, Grant>,
    /// Expired grants whose release may still arrive, the oldest first.
    expired: VecDeque<(Ticket, Grant)>,
    places: KeptPlaces,
    drain: Drain,
    reviewed_at: Option<BootInstant>,
    /// Decisions that are not returned yet.
    decided: Vec<(Ticket, SlotDecision)>,
}

impl SlotQueue {
    /// Creates an empty queue.
    ///
    /// `service_time` is the mean service time as far as the coordinator knows
    /// it; the queue learns it from the releases.
    pub fn new(service_time: Option<Duration>) -> SlotQueue {
        SlotQueue {
            service_time: ServiceTime::new(service_time),
            upstreams: BTreeMap::new(),
            removed: BTreeMap::new(),
            waiting: WaitingRequests::default(),
            grants: HashMap::new(),
            expired: VecDeque::new(),
            places: KeptPlaces::default(),
            drain: Drain::default(),
            reviewed_at: None,
            decided: Vec::new(),
        }
    }

    /// Decides on a request, or queues it.
    ///
    /// A request whose ticket waits keeps its place, with the upstreams that
    /// the message names; one whose ticket is granted gets the same upstream
    /// again. Decisions on other requests that follow are returned by the next
    /// call of another function; [`SlotQueue::next_event`] is then `now`.
    pub fn request(
        &mut self,
        request: SlotRequest,
        now: BootInstant,
    ) -> SlotDecision {
        self.observe(now);
        let ticket = request.ticket;
        if let Some(grant) = self.grants.get(&ticket) {
            return SlotDecision::Granted(grant.upstream);
        }
        // A decision that was made between two messages is returned now.
        if let Some(decision) = self.take_decision(ticket) {
            return decision;
        }
        let upstreams = self.name_upstreams(&request.upstreams, now);
        let is_new = !self.waiting.contains(ticket);
        if let Some(waiting) = self.waiting.get_mut(ticket) {
            waiting.asked_at = now;
            waiting.upstreams = upstreams;
        } else if let Err(refused) = self.enter(&request, upstreams, now) {
            return refused;
        }
        self.settle(now);
        // One that asks again is refused by the regular review.
        if is_new {
            self.refuse_if_unservable(ticket, now);
        }
        self.take_decision(ticket).unwrap_or(SlotDecision::Waiting)
    }

    /// Ends a grant; returns the decisions on waiting requests that follow
    /// from it.
    pub fn release(
        &mut self,
        ticket: Ticket,
        release: Release,
        now: BootInstant,
    ) -> Vec<(Ticket, SlotDecision)> {
        self.observe(now);
        self.expire_grants(now);
        if let Some(grant) = self.grants.remove(&ticket) {
            if let Some(took) = release.service_time() {
                self.service_time.record(took);
            }
            if let Some(upstream) = self.upstreams.get_mut(&grant.upstream) {
                upstream.release(&release, now);
            }
            // An attempt that was not served says nothing of the slots.
            if release.service_time().is_some() {
                self.count_freed();
            }
        } else if let Some(grant) = self.take_expired(ticket) {
            if let Some(took) = release.service_time() {
                self.service_time.record(took);
            }
            if let Some(upstream) = self.upstreams.get_mut(&grant.upstream) {
                upstream.learn(&release, now);
            }
        }
        self.settle(now);
        std::mem::take(&mut self.decided)
    }

    /// Removes a ticket whose caller has disconnected, waiting or granted;
    /// returns the decisions on waiting requests that follow from it.
    pub fn cancel(
        &mut self,
        ticket: Ticket,
        now: BootInstant,
    ) -> Vec<(Ticket, SlotDecision)> {
        self.observe(now);
        self.waiting.remove(|request| request.ticket == ticket);
        self.take_decision(ticket);
        if let Some(grant) = self.grants.remove(&ticket)
            && let Some(upstream) = self.upstreams.get_mut(&grant.upstream)
        {
            upstream.end_grant(now);
        }
        self.settle(now);
        std::mem::take(&mut self.decided)
    }

    /// Handles everything that is due by `now`: grants that have expired,
    /// requests that can no longer be served, and those whose entry VM has not
    /// asked again, which are dropped without a decision.
    pub fn advance(
        &mut self,
        now: BootInstant,
    ) -> Vec<(Ticket, SlotDecision)> {
        self.observe(now);
        self.settle(now);
        std::mem::take(&mut self.decided)
    }

    /// Returns when [`SlotQueue::advance`] is to be called next; `None` if
    /// nothing waits and nothing is granted.
    pub fn next_event(&self, now: BootInstant) -> Option<BootInstant> {
        if !self.decided.is_empty() {
            return Some(now);
        }
        let expiries = self.grants.values().map(|grant| grant.expires_at);
        let review = (!self.waiting.is_empty())
            .then(|| self.reviewed_at.map_or(now, |at| at + REVIEW_INTERVAL));
        let next = expiries.chain(review).min()?;
        Some(next.max(now))
    }

    /// Discards an upstream that is leaving, with its grants. Waiting requests
    /// keep their places and get another upstream.
    pub fn remove_upstream(&mut self, upstream: ShortHash, now: BootInstant) {
        self.observe(now);
        let slots_before = self.slots(now);
        self.removed.retain(|_, at| {
            now.saturating_duration_since(*at) < REMOVED_LIFETIME
        });
        if self.removed.len() < MAX_UPSTREAMS {
            self.removed.insert(upstream, now);
        }
        if self.upstreams.remove(&upstream).is_none() {
            return;
        }
        self.grants.retain(|_, grant| grant.upstream != upstream);
        for request in self.waiting.iter_mut() {
            request.upstreams.retain(|named| named.upstream != upstream);
        }
        let left = f64::from(self.slots(now)) / f64::from(slots_before.max(1));
        self.drain.scale(left);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of grants that are neither released nor expired.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether nothing waits, is granted or is kept, so that the queue
    /// may be discarded.
    pub fn is_idle(&self, now: BootInstant) -> bool {
        self.waiting.is_empty()
            && self.grants.is_empty()
            && self.decided.is_empty()
            && self.places.is_empty(now)
    }

    fn observe(&mut self, now: BootInstant) {
        self.drain.observe(!self.waiting.is_empty(), now);
    }

    fn count_freed(&mut self) {
        if !self.waiting.is_empty() {
            self.drain.count_freed();
        }
    }

    fn take_decision(&mut self, ticket: Ticket) -> Option<SlotDecision> {
        let at = self.decided.iter().position(|(t, _)| *t == ticket)?;
        Some(self.decided.swap_remove(at).1)
    }

    /// Takes the slots that a request states; returns the upstreams that may
    /// be granted.
    fn name_upstreams(
        &mut self,
        named: &[EligibleUpstream],
        now: BootInstant,
    ) -> Vec<EligibleUpstream> {
        let is_removed = |upstream: &ShortHash| {
            self.removed.get(upstream).is_some_and(|at| {
                now.saturating_duration_since(*at) < REMOVED_LIFETIME
            })
        };
        let named: Vec<EligibleUpstream> = named
            .iter()
            .filter(|named| !is_removed(&named.upstream))
            .copied()
            .take(MAX_UPSTREAMS)
            .collect();
        for EligibleUpstream { upstream, slots } in &named {
            if !self.upstreams.contains_key(upstream) {
                self.forget_upstreams(now);
                if self.upstreams.len() >= MAX_UPSTREAMS {
                    continue;
                }
            }
            let service_time = self.service_time;
            let known = self.upstreams.entry(*upstream);
            known
                .or_insert_with(|| UpstreamSlots::new(service_time, now))
                .name(*slots, now);
        }
        named
    }

    /// Forgets upstreams that have not been named for a while.
    fn forget_upstreams(&mut self, now: BootInstant) {
        self.upstreams.retain(|_, upstream| {
            let age = now.saturating_duration_since(upstream.named_at);
            upstream.granted() > 0 || age < UPSTREAM_LIFETIME
        });
    }

    /// Adds a new request to the queue, or refuses it.
    fn enter(
        &mut self,
        request: &SlotRequest,
        upstreams: Vec<EligibleUpstream>,
        now: BootInstant,
    ) -> Result<(), SlotDecision> {
        let latency_target = now + request.latency_target();
        let earlier = self.places.take(request.digest, now);
        // Whoever returns early is ordered like a new request, but is not in
        // time longer than it would have been.
        let is_due = earlier.is_some_and(|place| place.return_at <= now);
        let first_target = earlier.map_or(latency_target, |place| {
            place.latency_target.min(latency_target)
        });
        let waiting = WaitingRequest {
            ticket: request.ticket,
            priority: request.priority,
            organisation: request.organisation,
            digest: request.digest,
            latency_target: first_target,
            ordered_by: if is_due { first_target } else { latency_target },
            deadline: now + request.deadline(),
            upstreams,
            asked_at: now,
            is_promised: is_due
                && earlier.is_some_and(|place| place.is_promised),
            earlier,
        };
        let reason = if waiting.upstreams.is_empty() {
            Some(RefusalReason::NoUpstream)
        } else if self.ends_too_late(&waiting, now) {
            Some(RefusalReason::DeadlineUnreachable)
        } else if self.waiting.len() >= MAX_WAITING {
            Some(RefusalReason::QueueFull)
        } else {
            None
        };
        if let Some(reason) = reason {
            return Err(self.refuse_at_entry(&waiting, reason, now));
        }
        let is_late = self.is_late(&waiting, now);
        if !is_late {
            self.drain.count_arrival(now);
        }
        self.waiting.push(waiting, is_late);
        Ok(())
    }

    /// Whether a request cannot end by its deadline even if it starts now.
    ///
    /// The mean service time counts only while a request is granted: if it is
    /// wrong, it is corrected by requests that run.
    fn ends_too_late(
        &self,
        request: &WaitingRequest,
        now: BootInstant,
    ) -> bool {
        now >= request.deadline
            || (!self.grants.is_empty()
                && now + self.service_time.mean() > request.deadline)
    }

    /// Whether a request can no longer be in time.
    fn is_late(&self, request: &WaitingRequest, now: BootInstant) -> bool {
        now + self.in_time_margin() > request.latency_target
    }

    /// Returns the time before its latency target at which a request must be
    /// granted a slot to be in time.
    fn in_time_margin(&self) -> Duration {
        self.service_time.slow() + GRANT_TRANSIT
    }

    /// Applies everything that is due: expiries, grants and refusals.
    fn settle(&mut self, now: BootInstant) {
        self.expire_grants(now);
        self.waiting.move_late(self.in_time_margin(), now);
        let is_review_due = self.reviewed_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= REVIEW_INTERVAL
        });
        if is_review_due {
            self.waiting.remove(|request| {
                let silence = now.saturating_duration_since(request.asked_at);
                silence > ASK_AGAIN_WITHIN
            });
        }
        while self.grant_next(now) {}
        if is_review_due {
            self.reviewed_at = Some(now);
            self.refuse_unservable(now);
        }
    }

    /// Ends the grants that have expired.
    fn expire_grants(&mut self, now: BootInstant) {
        let due = |grant: &Grant| grant.expires_at <= now;
        let expired: Vec<Ticket> = self
            .grants
            .iter()
            .filter(|(_, grant)| due(grant))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            let Some(grant) = self.grants.remove(&ticket) else { continue };
            if let Some(upstream) = self.upstreams.get_mut(&grant.upstream) {
                upstream.expire_grant(now);
            }
            self.expired.push_back((ticket, grant));
        }
        let excess = self.expired.len().saturating_sub(MAX_EXPIRED);
        self.expired.drain(..excess);
        self.expired.retain(|(_, grant)| {
            let age = now.saturating_duration_since(grant.expires_at);
            age < EXPIRED_LIFETIME
        });
    }

    /// Removes and returns the expired grant of a ticket.
    fn take_expired(&mut self, ticket: Ticket) -> Option<Grant> {
        let at = self.expired.iter().position(|(of, _)| *of == ticket)?;
        self.expired.remove(at).map(|(_, grant)| grant)
    }

    /// Grants the next request that an upstream with a free slot fits; returns
    /// whether there was one.
    fn grant_next(&mut self, now: BootInstant) -> bool {
        if self.waiting.is_empty() {
            return false;
        }
        let free: Vec<(ShortHash, f64)> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.is_free(now))
            .map(|(hash, upstream)| (*hash, upstream.completion_s(now)))
            .collect();
        if free.is_empty() {
            return false;
        }
        let names = |request: &WaitingRequest, hash: ShortHash| {
            request.upstreams.iter().any(|named| named.upstream == hash)
        };
        let next = self
            .waiting
            .pop(|request| free.iter().any(|(hash, _)| names(request, *hash)));
        let Some(request) = next else { return false };
        if self.ends_too_late(&request, now) {
            let reason = RefusalReason::DeadlineUnreachable;
            let refused = self.refuse_at_entry(&request, reason, now);
            self.decided.push((request.ticket, refused));
            return true;
        }
        let fitting = free.iter().filter(|(hash, _)| names(&request, *hash));
        let Some((upstream, _)) = fitting.min_by(|a, b| a.1.total_cmp(&b.1))
        else {
            return false;
        };
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.grant();
        }
        let lifetime = self.service_time.mean() * GRANT_SERVICE_TIMES;
        let expires_at = (now + lifetime).min(request.deadline);
        let grant = Grant { upstream: *upstream, expires_at };
        self.grants.insert(request.ticket, grant);
        self.decided.push((request.ticket, SlotDecision::Granted(*upstream)));
        true
    }

    /// Refuses a waiting request if it cannot be served before its deadline.
    fn refuse_if_unservable(&mut self, ticket: Ticket, now: BootInstant) {
        let listed = self.waiting.get_with_ahead(ticket);
        let Some((request, ahead, is_late)) = listed else { return };
        let rates = self.rates(now);
        let wait = self.expected_wait(request, ahead, is_late, rates);
        if self.cannot_be_served(request, wait, now) {
            self.refuse_waiting(&HashMap::from([(ticket, wait)]), now);
        }
    }

    /// Refuses all waiting requests that cannot be served before their
    /// deadline.
    fn refuse_unservable(&mut self, now: BootInstant) {
        let rates = self.rates(now);
        let waits =
            self.waiting.with_ahead().map(|(request, ahead, is_late)| {
                (request, self.expected_wait(request, ahead, is_late, rates))
            });
        let unservable: HashMap<Ticket, Option<ExpectedWait>> = waits
            .filter(|(request, wait)| {
                self.cannot_be_served(request, *wait, now)
            })
            .map(|(request, wait)| (request.ticket, wait))
            .collect();
        if !unservable.is_empty() {
            self.refuse_waiting(&unservable, now);
        }
    }

    /// Refuses waiting requests that cannot be served before their deadline,
    /// given the wait that was expected of each.
    fn refuse_waiting(
        &mut self,
        waits: &HashMap<Ticket, Option<ExpectedWait>>,
        now: BootInstant,
    ) {
        let reason = RefusalReason::DeadlineUnreachable;
        let refused =
            self.waiting.remove(|request| waits.contains_key(&request.ticket));
        for request in refused {
            let wait = waits.get(&request.ticket).copied().flatten();
            let decision = self.refuse(&request, wait, reason, now);
            self.decided.push((request.ticket, decision));
        }
    }

    /// Returns the decision that refuses a request, and keeps its place.
    fn refuse(
        &mut self,
        request: &WaitingRequest,
        wait: Option<ExpectedWait>,
        reason: RefusalReason,
        now: BootInstant,
    ) -> SlotDecision {
        let refused = Refused {
            digest: request.digest,
            latency_target: request.latency_target,
            deadline: request.deadline,
            earlier: request.earlier,
        };
        let (retry_after, has_place) = self.places.keep(refused, wait, now);
        SlotDecision::Refused { retry_after, has_place, reason }
    }

    /// Refuses a request that does not enter the queue.
    fn refuse_at_entry(
        &mut self,
        request: &WaitingRequest,
        reason: RefusalReason,
        now: BootInstant,
    ) -> SlotDecision {
        let ahead = self.waiting.len();
        let is_late = self.is_late(request, now);
        let rates = self.rates(now);
        let wait = self.expected_wait(request, ahead, is_late, rates);
        self.refuse(request, wait, reason, now)
    }

    fn rates(&self, now: BootInstant) -> Rates {
        let expected_per_s =
            self.named_upstreams(now).map(UpstreamSlots::rate_per_s).sum();
        Rates {
            slots: self.slots(now),
            all_per_s: self.drain.rate_per_s(expected_per_s),
            rest_per_s: self.drain.rest_per_s(expected_per_s, now),
        }
    }

    /// Returns the expected time until a request starts behind `ahead` others;
    /// `None` if no slots become free for it.
    fn expected_wait(
        &self,
        request: &WaitingRequest,
        ahead: usize,
        is_late: bool,
        rates: Rates,
    ) -> Option<ExpectedWait> {
        // What is left over for late requests was divided among the promises
        // when these were made.
        // Nothing is left of them once requests in time take all slots.
        let is_promised = request.is_promised && rates.rest_per_s > 0.0;
        let rate_per_s = match is_late && !is_promised {
            true => rates.rest_per_s,
            false => rates.all_per_s,
        };
        let named = request.upstreams.iter();
        let named_slots: u32 = named
            .filter_map(|named| self.upstreams.get(&named.upstream))
            .map(UpstreamSlots::slots)
            .sum();
        let share = f64::from(named_slots) / f64::from(rates.slots.max(1));
        let share = share.min(1.0);
        let interval_s = 1.0 / (rate_per_s * share);
        let interval = Duration::try_from_secs_f64(interval_s).ok()?;
        // Those ahead share the other upstreams as well.
        let turns = ahead as f64 * share + 1.0;
        let wait = Duration::try_from_secs_f64(interval_s * turns).ok()?;
        (wait < LONGEST_WAIT).then_some(ExpectedWait { wait, interval })
    }

    /// Whether a request cannot start by its deadline less one service time.
    fn cannot_be_served(
        &self,
        request: &WaitingRequest,
        wait: Option<ExpectedWait>,
        now: BootInstant,
    ) -> bool {
        if request.upstreams.is_empty() {
            // Its entry VM names other upstreams when it asks again.
            return self.ends_too_late(request, now);
        }
        wait.is_none_or(|expected| {
            let ends_at = now + expected.wait + self.service_time.mean();
            ends_at > request.deadline
        })
    }

    /// Returns the upstreams that requests have named recently.
    fn named_upstreams(
        &self,
        now: BootInstant,
    ) -> impl Iterator<Item = &UpstreamSlots> {
        self.upstreams.values().filter(move |upstream| {
            let age = now.saturating_duration_since(upstream.named_at);
            age <= NAMED_WITHIN
        })
    }

    /// Returns the slots of the upstreams that requests have named recently.
    fn slots(&self, now: BootInstant) -> u32 {
        self.named_upstreams(now).map(UpstreamSlots::slots).sum()
    }
}

#[cfg(test)]
mod tests;

//! The order in which waiting requests are served.
//!
//! Requests that can still be in time go first, then by urgency, then fair
//! between organisations, then by the earliest latency target.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use crate::{
    clock::BootInstant,
    crashes::subject::Subject,
    message::ShortHash,
    scheduling::{
        fair_queue::FairQueue,
        kept_places::KeptPlace,
        slot_request::{EligibleUpstream, Ticket},
    },
};

/// Grants to a level for each one to the less urgent levels, while both wait.
const GRANTS_PER_LESS_URGENT: u32 = 4;

/// The least urgent level.
const MAX_LEVEL: u8 = 9;

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) ticket: Ticket,
    pub(super) priority: u8,
    pub(super) organisation: ShortHash,
    pub(super) digest: Subject,
    /// The latency target of the caller's first attempt.
    pub(super) latency_target: BootInstant,
    /// The latency target by which it is ordered within its organisation.
    pub(super) ordered_by: BootInstant,
    pub(super) deadline: BootInstant,
    pub(super) upstreams: Vec<EligibleUpstream>,
    /// When its entry VM last asked.
    pub(super) asked_at: BootInstant,
    /// The place that its caller had, if it has returned.
    pub(super) earlier: Option<KeptPlace>,
}

/// The requests of one urgency.
#[derive(Debug, Default)]
struct Level {
    queue: FairQueue<ShortHash, WaitingRequest>,
    /// Grants since the less urgent levels last got one while they waited.
    grants: u32,
}

/// Requests of all urgencies, either all in time or all late.
#[derive(Debug, Default)]
pub(super) struct Levels(BTreeMap<u8, Level>);

impl Levels {
    fn push(&mut self, request: WaitingRequest) {
        let level = self.0.entry(request.priority.min(MAX_LEVEL)).or_default();
        let organisation = request.organisation;
        level.queue.push_sorted(&organisation, request, |a, b| {
            a.ordered_by.cmp(&b.ordered_by)
        });
    }

    /// Removes the next request for which `fits` returns true.
    fn pop(
        &mut self,
        fits: impl Fn(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        let has_fit = |level: &Level| {
            level.queue.iter().any(|(_, request)| fits(request))
        };
        let levels = self.0.values_mut().filter(|level| has_fit(level));
        let mut levels = levels.peekable();
        while let Some(level) = levels.next() {
            if levels.peek().is_none() {
                return level.queue.pop_where(|_| 1, &fits);
            }
            if level.grants < GRANTS_PER_LESS_URGENT {
                level.grants += 1;
                return level.queue.pop_where(|_| 1, &fits);
            }
            level.grants = 0;
        }
        None
    }

    fn remove(
        &mut self,
        is_gone: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let levels = self.0.values_mut();
        levels.flat_map(|level| level.queue.remove(&is_gone)).collect()
    }

    fn iter_mut(&mut self) -> impl Iterator<Item = &mut WaitingRequest> {
        self.0.values_mut().flat_map(|level| level.queue.iter_mut())
    }

    fn len(&self) -> usize {
        self.0.values().map(|level| level.queue.len()).sum()
    }

    /// Returns how many requests are served before one that is behind
    /// `own_ahead` requests of its organisation and level.
    fn ahead(&self, request: &WaitingRequest, own_ahead: usize) -> usize {
        let priority = request.priority.min(MAX_LEVEL);
        let per_less_urgent = GRANTS_PER_LESS_URGENT as usize;
        let Some(own) = self.0.get(&priority) else { return 0 };
        let same = own.queue.ahead(&request.organisation, own_ahead);
        let len_of = |(_, level): (&u8, &Level)| level.queue.len();
        let more: usize = self.0.range(..priority).map(len_of).sum();
        let less: usize = self.0.range(priority + 1..).map(len_of).sum();
        same + more.min(per_less_urgent * (same + 1))
            + less.min(same / per_less_urgent)
    }

    /// Returns each request with the number of those of its organisation and
    /// level that are before it.
    fn with_own_ahead(
        &self,
    ) -> impl Iterator<Item = (&WaitingRequest, usize)> {
        self.0.values().flat_map(|level| {
            let mut previous = None;
            let mut own_ahead = 0;
            level.queue.iter().map(move |(organisation, request)| {
                own_ahead = match previous.replace(organisation) {
                    Some(same) if same == organisation => own_ahead + 1,
                    _ => 0,
                };
                (request, own_ahead)
            })
        })
    }

    /// Returns each request with the number of those served before it.
    fn with_ahead(&self) -> impl Iterator<Item = (&WaitingRequest, usize)> {
        self.with_own_ahead()
            .map(|(request, own)| (request, self.ahead(request, own)))
    }
}

/// All waiting requests of a service.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests {
    in_time: Levels,
    late: Levels,
    tickets: HashSet<Ticket>,
}

impl WaitingRequests {
    /// Adds a request, as one that can still be in time or as a late one.
    pub(super) fn push(&mut self, request: WaitingRequest, is_late: bool) {
        self.tickets.insert(request.ticket);
        match is_late {
            true => self.late.push(request),
            false => self.in_time.push(request),
        }
    }

    /// Removes the next request for which `fits` returns true.
    pub(super) fn pop(
        &mut self,
        fits: impl Fn(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        let next = self.in_time.pop(&fits).or_else(|| self.late.pop(&fits))?;
        self.tickets.remove(&next.ticket);
        Some(next)
    }

    /// Removes and returns the requests for which `is_gone` returns true.
    pub(super) fn remove(
        &mut self,
        is_gone: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut removed = self.in_time.remove(&is_gone);
        removed.extend(self.late.remove(&is_gone));
        for request in &removed {
            self.tickets.remove(&request.ticket);
        }
        removed
    }

    /// Moves the requests that can no longer be in time, if their work takes
    /// `service_time`, behind those that can.
    pub(super) fn move_late(
        &mut self,
        service_time: Duration,
        now: BootInstant,
    ) {
        let ends_at = now + service_time;
        for request in self.in_time.remove(|r| ends_at > r.latency_target) {
            self.late.push(request);
        }
    }

    /// Returns a request to be changed but for its order.
    pub(super) fn get_mut(
        &mut self,
        ticket: Ticket,
    ) -> Option<&mut WaitingRequest> {
        if !self.tickets.contains(&ticket) {
            return None;
        }
        self.iter_mut().find(|request| request.ticket == ticket)
    }

    /// Returns all requests, to be changed but for their order.
    pub(super) fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = &mut WaitingRequest> {
        self.in_time.iter_mut().chain(self.late.iter_mut())
    }

    /// Returns all requests, each with the number of requests that are served
    /// before it and whether it is late.
    pub(super) fn with_ahead(
        &self,
    ) -> impl Iterator<Item = (&WaitingRequest, usize, bool)> {
        let first = self.in_time.len();
        let in_time = self.in_time.with_ahead().map(|(r, n)| (r, n, false));
        let late = self.late.with_ahead();
        in_time.chain(late.map(move |(r, n)| (r, first + n, true)))
    }

    /// Returns one request, as [`WaitingRequests::with_ahead`] does.
    pub(super) fn get_with_ahead<'a>(
        &'a self,
        ticket: Ticket,
    ) -> Option<(&'a WaitingRequest, usize, bool)> {
        let find = |levels: &'a Levels| {
            let mut listed = levels.with_own_ahead();
            let (request, own) = listed.find(|(r, _)| r.ticket == ticket)?;
            Some((request, levels.ahead(request, own)))
        };
        if let Some((request, ahead)) = find(&self.in_time) {
            return Some((request, ahead, false));
        }
        let (request, ahead) = find(&self.late)?;
        Some((request, self.in_time.len() + ahead, true))
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no request is waiting.
    pub(super) fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}

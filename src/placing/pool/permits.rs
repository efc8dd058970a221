//! Permits for upstreams with a rate limit and for cold ones, which their
//! owners lend to VMs whose own share of the limit is used up.

use std::{sync::Arc, time::Duration};

use rand::seq::{IndexedRandom, SliceRandom};

use super::{LimitShare, PickCriteria, Pool};
use crate::{
    clock::BootInstant,
    id::ServiceId,
    message::ShortHash,
    placing::{
        member::Member,
        permit_lenders::REPLY_TIMEOUT,
        warm_up::{self, WarmUp},
    },
};

/// Maximum number of upstreams for which one permit is asked.
const MAX_CANDIDATES: usize = 16;

/// Number of these upstreams whose owners are considered.
const MAX_OWNED: usize = 4;

/// Time after which a VM is asked again that owns none of the upstreams.
const NOT_OWNER_WAIT: Duration = Duration::from_secs(1);

impl Pool {
    /// Returns the upstreams that could take an attempt with a permit of one
    /// of their owners, those with the least work first; at most
    /// [`MAX_CANDIDATES`].
    pub(crate) fn permit_candidates(
        &self,
        service: &ServiceId,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Vec<ShortHash> {
        let members = self.members();
        let all = members.by_service.get(service);
        let all = all.map_or(&[][..], Vec::as_slice);
        let share = LimitShare::Lender;
        let Ok(eligible) = self.eligible(all, service, criteria, share, now)
        else {
            return Vec::new();
        };
        let mut candidates: Vec<(f64, ShortHash)> = eligible
            .into_iter()
            .filter(|member| self.is_limited(member, now))
            .map(|member| (member.utilization(now), member))
            .filter(|(used, _)| *used < criteria.max_utilization)
            .map(|(used, member)| (used, member.upstream.short_hash))
            .collect();
        // Upstreams with equal work come in random order.
        candidates.shuffle(&mut rand::rng());
        candidates.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        candidates.truncate(MAX_CANDIDATES);
        candidates.into_iter().map(|(_, upstream)| upstream).collect()
    }

    /// Returns the other VMs that own some of these upstreams.
    pub(crate) fn permit_owners(
        &self,
        upstreams: &[ShortHash],
        now: BootInstant,
    ) -> Vec<String> {
        let members = self.members();
        let roster = self.roster.read().expect("roster lock");
        let mut rng = rand::rng();
        let mut owners = Vec::new();
        for upstream in upstreams.choose_multiple(&mut rng, MAX_OWNED) {
            let Some(member) = members.by_short_hash.get(upstream) else {
                continue;
            };
            let state = &member.upstream.reported_state;
            let hall = &member.entry.data_hall;
            // The owners of a cold upstream are among those of its rate limit.
            let names = match self.cold_warm_up(member, now) {
                Some(_) => warm_up::owner_names(&roster, *upstream, hall),
                None => {
                    let Some(max) = state.max_owners(now) else { continue };
                    roster.owner_names(*upstream, hall, max)
                }
            };
            let others = names.into_iter().filter(|vm| *vm != self.vm);
            owners.extend(others.map(str::to_owned));
        }
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    /// Lends another VM a permit for one request to the first of these
    /// upstreams that this VM may send one to, and counts the request as its
    /// own.
    ///
    /// # Errors
    ///
    /// Returns the time until it may lend one.
    pub(crate) fn lend_permit(
        &self,
        upstreams: &[ShortHash],
        now: BootInstant,
    ) -> Result<ShortHash, Duration> {
        let members = self.members();
        let mut soonest = NOT_OWNER_WAIT;
        for upstream in upstreams {
            let Some(member) = members.by_short_hash.get(upstream) else {
                continue;
            };
            let Some(wait) = self.lender_wait(member, now) else { continue };
            if wait.is_zero() {
                count_lent(member, now);
                return Ok(*upstream);
            }
            soonest = soonest.min(wait);
        }
        Err(soonest)
    }

    /// How long this VM cannot lend a permit for an upstream; `None` if it is
    /// not an owner, or knows of no limit.
    fn lender_wait(
        &self,
        member: &Member,
        now: BootInstant,
    ) -> Option<Duration> {
        if !member.takes_requests(now) {
            return None;
        }
        if !self.is_limited(member, now) {
            return None;
        }
        let mut wait = member.backoff_left(now);
        if let Some(warm_up) = self.cold_warm_up(member, now) {
            let share = self.cold_share(member, warm_up);
            let mut sends = member.cold_sends.lock().expect("cold sends lock");
            wait = wait.max(sends.wait(share, now)?);
        }
        let state = &member.upstream.reported_state;
        if let Some(max_owners) = state.max_owners(now) {
            let (upstream, hall) =
                (member.upstream.short_hash, &member.entry.data_hall);
            let roster = self.roster.read().expect("roster lock");
            let owners =
                roster.owners(&self.vm, upstream, hall, max_owners)?;
            wait = wait.max(state.owner_wait(owners, now));
        }
        Some(wait)
    }

    /// Whether an upstream takes requests by permits of its owners.
    fn is_limited(&self, member: &Member, now: BootInstant) -> bool {
        let state = &member.upstream.reported_state;
        state.max_owners(now).is_some()
            || self.cold_warm_up(member, now).is_some()
    }

    /// The warm-up that limits the requests to an upstream; `None` if it is
    /// not cold.
    fn cold_warm_up(
        &self,
        member: &Member,
        now: BootInstant,
    ) -> Option<WarmUp> {
        let warm_up = self.warm_up(&member.entry.service)?;
        member.is_cold(now).then_some(warm_up)
    }

    /// Picks the upstream for which another VM has lent a permit; returns
    /// `None` if it may not take the attempt any more.
    pub(crate) fn pick_permitted(
        &self,
        service: &ServiceId,
        upstream: ShortHash,
        criteria: &PickCriteria<'_>,
        now: BootInstant,
    ) -> Option<Arc<Member>> {
        let share = LimitShare::Lender;
        self.find_eligible(service, upstream, criteria, share, now)
    }
}

/// Counts a request for which a permit is lent. It arrives at its upstream up
/// to [`REPLY_TIMEOUT`] later than one that this VM sends itself.
fn count_lent(member: &Member, now: BootInstant) {
    if member.is_cold(now) {
        let mut sends = member.cold_sends.lock().expect("cold sends lock");
        sends.record(now + REPLY_TIMEOUT);
    }
    member.upstream.reported_state.record_sent(now);
}

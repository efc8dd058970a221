//! The places of callers that were told to return.
//!
//! A caller is recognised by the digest of its request. It keeps the latency
//! target of its first attempt, which the request that it repeats does not
//! state.

use std::{cmp::Reverse, time::Duration};

use crate::{clock::BootInstant, crashes::subject::Subject};

/// Places that are kept.
const MAX_PLACES: usize = 512;

/// Longest time for which a place is kept.
const LIFETIME: Duration = Duration::from_secs(5);

/// Longest time that a caller is promised to be served after; the rest of
/// [`LIFETIME`] is left to return in.
const MAX_PROMISE: Duration = Duration::from_secs(4);

/// Part of its remaining time that a caller waits before it returns, whatever
/// it was promised.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Step that spreads estimated times evenly, however many there are (the
/// golden ratio).
const SPREAD_STEP: f64 = 0.618_033_988_749_895;

/// The place of one caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeptPlace {
    /// The digest of its request.
    pub(super) digest: Subject,
    /// The latency target of its first attempt.
    pub(super) latency_target: BootInstant,
    /// When it was told to return.
    pub(super) return_at: BootInstant,
    /// Whether it was promised to be served then.
    pub(super) is_promised: bool,
    /// How often it has been refused.
    refusals: u32,
    /// When it returns if it does not wait any longer.
    likely_return_at: BootInstant,
    expires_at: BootInstant,
}

/// What is known of a request that is refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    pub(super) digest: Subject,
    pub(super) latency_target: BootInstant,
    pub(super) deadline: BootInstant,
    /// Its earlier place, if it has returned.
    pub(super) earlier: Option<KeptPlace>,
}

/// When a request is expected to start.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedWait {
    /// Time until it starts, if no slot is promised.
    pub(super) wait: Duration,
    /// Time between two slots for requests like it.
    pub(super) interval: Duration,
}

/// The kept places of one service.
#[derive(Debug, Default)]
pub(super) struct KeptPlaces {
    places: Vec<KeptPlace>,
    /// Number of times given without a promise.
    estimates: u32,
}

impl KeptPlaces {
    /// Keeps the place of a caller that is refused, and returns when it should
    /// return and whether that is a promise.
    ///
    /// `expected` is `None` if slots do not become free for it at all.
    pub(super) fn keep(
        &mut self,
        refused: Refused,
        expected: Option<ExpectedWait>,
        now: BootInstant,
    ) -> (Duration, bool) {
        self.remove_expired(now);
        let unused = refused.earlier.filter(|place| place.return_at > now);
        let (return_at, is_promised) = match unused {
            // A caller that returned early keeps the time that it was given.
            Some(place) => (place.return_at, place.is_promised),
            None => self.next_return(expected, now),
        };
        let left = refused.deadline.saturating_duration_since(now);
        let place = KeptPlace {
            digest: refused.digest,
            latency_target: refused.latency_target,
            return_at,
            is_promised,
            refusals: refused.earlier.map_or(1, |place| place.refusals + 1),
            likely_return_at: return_at.min(now + left / MAX_WAIT_DIVISOR),
            expires_at: now + LIFETIME,
        };
        let is_kept = self.insert(place);
        let retry_after = return_at.saturating_duration_since(now);
        (retry_after, is_promised && is_kept)
    }

    /// Returns the next time that is promised to no one else, or an estimate.
    fn next_return(
        &mut self,
        expected: Option<ExpectedWait>,
        now: BootInstant,
    ) -> (BootInstant, bool) {
        if let Some(ExpectedWait { wait, interval }) = expected {
            let promises = self.places.iter().filter(|p| p.is_promised);
            let latest = promises.map(|place| place.return_at).max();
            let after = latest.map_or(now, |latest| latest + interval);
            let at = after.max(now + wait);
            if at <= now + MAX_PROMISE {
                return (at, true);
            }
        }
        self.estimates = self.estimates.wrapping_add(1);
        let spread = (f64::from(self.estimates) * SPREAD_STEP).fract();
        (now + MAX_PROMISE.mul_f64(0.5 + 0.5 * spread), false)
    }

    /// Adds a place; returns whether there is room for it.
    ///
    /// If there is none, it replaces the one without a promise that is least
    /// likely to be asked for: of callers that were refused most often, or
    /// else that should have returned longest ago.
    fn insert(&mut self, place: KeptPlace) -> bool {
        if self.places.len() < MAX_PLACES {
            self.places.push(place);
            return true;
        }
        let use_of = |place: &KeptPlace| {
            (
                place.is_promised,
                Reverse(place.refusals),
                place.likely_return_at,
            )
        };
        let replaceable = self.places.iter_mut().filter(|p| !p.is_promised);
        match replaceable.min_by_key(|place| use_of(place)) {
            Some(least) if use_of(least) <= use_of(&place) => {
                *least = place;
                true
            }
            _ => false,
        }
    }

    /// Removes and returns the place of a returning caller.
    ///
    /// Where several callers have the same digest, it is the first place whose
    /// time has come, or else the first one.
    pub(super) fn take(
        &mut self,
        digest: Subject,
        now: BootInstant,
    ) -> Option<KeptPlace> {
        let same = self.places.iter().enumerate().filter(|(_, place)| {
            place.digest == digest && place.expires_at > now
        });
        let first = same.min_by_key(|(_, place)| place.return_at);
        let at = first.map(|(at, _)| at)?;
        Some(self.places.swap_remove(at))
    }

    fn remove_expired(&mut self, now: BootInstant) {
        self.places.retain(|place| place.expires_at > now);
    }

    /// Returns whether no place is kept at `now`.
    pub(super) fn is_empty(&self, now: BootInstant) -> bool {
        self.places.iter().all(|place| place.expires_at <= now)
    }
}

//! What one life of an upstream has said of itself, kept for that life.
//!
//! Its record in the platform's store comes later, lapses and is read again;
//! none of that takes back what the upstream itself has said. It leaves until
//! it ends, wants rest until the rest is over, and keeps its rate limit until
//! it names none.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    clock::BootInstant,
    id::DataHallId,
    message::ShortHash,
    placing::{
        owners::Roster,
        rate_limit::{self, LimitChange, LimitState},
        signals::{RateLimit, ReportedChange, RetryAfter, UpstreamSignals},
    },
    unit::RequestRate,
};

/// Longest rest that is kept; one who asks for more is tried again by then.
const REST_MOST: Duration = Duration::from_secs(600);

/// Part of a rest over which the VMs that were told together spread their
/// return, and the most that one adds.
const RETURN_SPREAD_PART: f64 = 0.15;
const RETURN_SPREAD_MOST: Duration = Duration::from_secs(1);

/// Time between two requests after a rest until the first is answered: one
/// that is turned away again is so within it.
const TRY_GAP: Duration = Duration::from_millis(100);

/// Time for which the word of a life is kept that is not listed. An upstream
/// that leaves ends within seconds, and a record that lapsed is back within
/// as many.
const UNLISTED_LIFETIME: Duration = Duration::from_secs(600);

/// Lives that are not listed whose words are kept.
const UNLISTED_MOST: usize = 4096;

/// What an upstream has said of itself.
#[derive(Debug, Default)]
pub struct ReportedState {
    is_leaving: AtomicBool,
    /// Whether there is a rest, so that a choice among hundreds of upstreams
    /// takes the lock of few.
    has_rest: AtomicBool,
    rest: Mutex<Option<Resting>>,
    /// Whether it has asked for rest by a text that is no time.
    was_unreadable: AtomicBool,
    limit: LimitState,
    /// Whether it has named a rate limit by a text that is no rate.
    was_limit_unreadable: AtomicBool,
}

/// A rest that is not known to be over.
#[derive(Clone, Copy, Debug)]
struct Resting {
    until: BootInstant,
    /// When the request was sent that finds out whether it takes any again.
    tried_at: Option<BootInstant>,
}

impl Resting {
    fn left(&self, now: BootInstant) -> Duration {
        let tried_at = self.tried_at.filter(|at| *at >= self.until);
        let until = tried_at.map_or(self.until, |at| at + TRY_GAP);
        until.saturating_duration_since(now)
    }
}

impl ReportedState {
    /// Takes in that it is leaving; returns whether that is news.
    pub fn note_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::Relaxed)
    }

    /// Whether it has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Takes in what it says in its answer to what was sent at `sent_at`;
    /// returns what is news.
    ///
    /// `draw`, from 0 to 1, spreads what the VMs that were told in one moment
    /// do next.
    pub fn apply(
        &self,
        statement: &UpstreamSignals,
        draw: f64,
        sent_at: BootInstant,
        now: BootInstant,
    ) -> Vec<ReportedChange> {
        let is_news = statement.is_leaving && self.note_leaving();
        let leaving = is_news.then_some(ReportedChange::Leaving);
        let rest =
            self.take_rest(statement.retry_after.as_ref(), draw, sent_at, now);
        let limit = statement.rate_limit.as_ref();
        let limit = limit.and_then(|limit| self.take_limit(limit, draw, now));
        [leaving, rest, limit].into_iter().flatten().collect()
    }

    fn take_limit(
        &self,
        limit: &RateLimit,
        draw: f64,
        now: BootInstant,
    ) -> Option<ReportedChange> {
        match limit {
            RateLimit::Unlimited => {
                self.update_rate_limit(None, now, draw, now)
            }
            RateLimit::At(rate) => {
                self.update_rate_limit(Some(*rate), now, draw, now)
            }
            RateLimit::Unreadable(text) => {
                let was = &self.was_limit_unreadable;
                let is_news = !was.swap(true, Ordering::Relaxed);
                is_news
                    .then(|| ReportedChange::RateLimitUnreadable(text.clone()))
            }
        }
    }

    /// Takes in the rate limit that it named at a time, or that it named none;
    /// returns what is news.
    pub(crate) fn update_rate_limit(
        &self,
        rate: Option<RequestRate>,
        stated_at: BootInstant,
        draw: f64,
        now: BootInstant,
    ) -> Option<ReportedChange> {
        let change = self.limit.take(rate, stated_at, draw, now)?;
        Some(match change {
            LimitChange::Begun(rate) => ReportedChange::RateLimited(rate),
            LimitChange::Ended => ReportedChange::RateLimitLifted,
        })
    }

    /// How long `vm` is to send no request to it, the upstream of this hash
    /// and data hall, because of its rate limit; zero if it may send one.
    pub(crate) fn rate_limit_wait(
        &self,
        roster: &RwLock<Roster>,
        vm: &str,
        upstream: ShortHash,
        hall: &DataHallId,
        now: BootInstant,
    ) -> Duration {
        let Some(per_s) = self.limit.per_s(now) else { return Duration::ZERO };
        let most = rate_limit::owners_most(per_s);
        let roster = roster.read().expect("roster lock");
        let owners = roster.owners(vm, upstream, hall, most);
        self.limit.wait(owners, now)
    }

    /// The rate that it takes from all VMs together, in requests a second, if
    /// it has a limit.
    pub fn rate_limit_per_s(&self, now: BootInstant) -> Option<f64> {
        self.limit.per_s(now)
    }

    /// Takes in the rest that it asks for in its answer to what was sent at
    /// `sent_at`, or that it asks for none; returns what is news.
    pub(super) fn take_rest(
        &self,
        rest: Option<&RetryAfter>,
        draw: f64,
        sent_at: BootInstant,
        now: BootInstant,
    ) -> Option<ReportedChange> {
        match rest {
            Some(RetryAfter::For(time)) => self
                .note_rest(*time, draw, now)
                .then(|| ReportedChange::BackoffStarted(self.rest_left(now))),
            Some(RetryAfter::Unreadable(text)) => self
                .note_unreadable()
                .then(|| ReportedChange::RetryAfterUnreadable(text.clone())),
            None => self
                .note_taken(sent_at)
                .then_some(ReportedChange::BackoffEnded),
        }
    }

    /// Takes in that it wants rest for a time from `now`; returns whether it
    /// was not at rest.
    ///
    /// A longer rest that it has asked for before still holds.
    fn note_rest(&self, time: Duration, draw: f64, now: BootInstant) -> bool {
        if time.is_zero() {
            return false;
        }
        let time = time.min(REST_MOST);
        let spread = time.mul_f64(RETURN_SPREAD_PART).min(RETURN_SPREAD_MOST);
        let until = now + time + spread.mul_f64(draw);
        let mut held = self.rest.lock().expect("rest lock");
        let held_until = held.map(|rest| rest.until);
        let is_news = held_until.is_none_or(|held| held <= now);
        let until = held_until.map_or(until, |held| held.max(until));
        *held = Some(Resting { until, tried_at: None });
        self.has_rest.store(true, Ordering::Relaxed);
        is_news
    }

    /// Takes in that it asks for rest by a text that is no time; returns
    /// whether that is news, as it may do so in every answer.
    fn note_unreadable(&self) -> bool {
        !self.was_unreadable.swap(true, Ordering::Relaxed)
    }

    /// How long it is to get no request; zero if it may have one.
    pub fn rest_left(&self, now: BootInstant) -> Duration {
        if !self.has_rest.load(Ordering::Relaxed) {
            return Duration::ZERO;
        }
        let rest = *self.rest.lock().expect("rest lock");
        rest.map_or(Duration::ZERO, |rest| rest.left(now))
    }

    /// Notes that a request goes there: after a rest the first one finds out
    /// whether it takes any, since what was held back would otherwise come all
    /// at once.
    pub fn record_sent(&self, now: BootInstant) {
        self.limit.record_sent(now);
        if !self.has_rest.load(Ordering::Relaxed) {
            return;
        }
        if let Some(rest) = &mut *self.rest.lock().expect("rest lock") {
            rest.tried_at = Some(now);
        }
    }

    /// Takes in that it has answered, without asking for rest, what was sent
    /// at `sent_at`; returns whether a rest is over with that.
    fn note_taken(&self, sent_at: BootInstant) -> bool {
        if !self.has_rest.load(Ordering::Relaxed) {
            return false;
        }
        let mut held = self.rest.lock().expect("rest lock");
        let is_over = held.is_some_and(|rest| sent_at >= rest.until);
        if is_over {
            *held = None;
            self.has_rest.store(false, Ordering::Relaxed);
        }
        is_over
    }

    /// Whether anything of it still holds.
    pub fn holds(&self, now: BootInstant) -> bool {
        self.is_leaving()
            || !self.rest_left(now).is_zero()
            || self.rate_limit_per_s(now).is_some()
    }
}

/// The words of lives that are not listed: their records have lapsed, or are
/// still to come.
#[derive(Debug, Default)]
pub(super) struct UnlistedWords(HashMap<ShortHash, Unlisted>);

#[derive(Debug)]
struct Unlisted {
    word: Arc<ReportedState>,
    since: BootInstant,
}

impl UnlistedWords {
    /// Keeps the word of a life whose record is gone.
    pub(super) fn keep(
        &mut self,
        life: ShortHash,
        word: Arc<ReportedState>,
        now: BootInstant,
    ) {
        self.0.retain(|_, kept| {
            now.saturating_duration_since(kept.since) < UNLISTED_LIFETIME
        });
        if self.0.len() < UNLISTED_MOST && word.holds(now) {
            self.0.insert(life, Unlisted { word, since: now });
        }
    }

    /// Takes the word of a life that is listed, again or at last.
    pub(super) fn take(&mut self, life: ShortHash) -> Arc<ReportedState> {
        self.0.remove(&life).map(|kept| kept.word).unwrap_or_default()
    }

    /// Notes what another VM has told of a life.
    pub(super) fn note(
        &mut self,
        life: ShortHash,
        now: BootInstant,
        note: impl FnOnce(&ReportedState),
    ) {
        let word = self.take(life);
        note(&word);
        self.keep(life, word, now);
    }
}

#[cfg(test)]
mod tests;

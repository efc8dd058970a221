//! What one life of an upstream has said of itself, kept for that life.
//!
//! Its record in the platform's store comes later, lapses and is read again;
//! none of that takes back what the upstream itself has said. It leaves until
//! it ends, and wants rest until the rest is over.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    clock::BootInstant,
    message::ShortHash,
    placing::statement::{OwnNews, Rest},
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
pub struct OwnWord {
    is_leaving: AtomicBool,
    /// Whether there is a rest, so that a choice among hundreds of upstreams
    /// takes the lock of few.
    has_rest: AtomicBool,
    rest: Mutex<Option<Resting>>,
    /// Whether it has asked for rest by a text that is no time.
    was_unreadable: AtomicBool,
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

impl OwnWord {
    /// Takes in that it is leaving; returns whether that is news.
    pub fn note_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::Relaxed)
    }

    /// Whether it has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Takes in the rest that it asks for in its answer to what was sent at
    /// `sent_at`, or that it asks for none; returns what is news.
    ///
    /// `draw`, from 0 to 1, spreads the return of the VMs that were told in
    /// one moment.
    pub fn take_rest(
        &self,
        rest: Option<&Rest>,
        draw: f64,
        sent_at: BootInstant,
        now: BootInstant,
    ) -> Option<OwnNews> {
        match rest {
            Some(Rest::For(time)) => self
                .note_rest(*time, draw, now)
                .then(|| OwnNews::Resting(self.rest_left(now))),
            Some(Rest::Unreadable(text)) => self
                .note_unreadable()
                .then(|| OwnNews::Unreadable(text.clone())),
            None => self.note_taken(sent_at).then_some(OwnNews::Rested),
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
    pub fn note_sent(&self, now: BootInstant) {
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
        self.is_leaving() || !self.rest_left(now).is_zero()
    }
}

/// The words of lives that are not listed: their records have lapsed, or are
/// still to come.
#[derive(Debug, Default)]
pub(super) struct UnlistedWords(HashMap<ShortHash, Unlisted>);

#[derive(Debug)]
struct Unlisted {
    word: Arc<OwnWord>,
    since: BootInstant,
}

impl UnlistedWords {
    /// Keeps the word of a life whose record is gone.
    pub(super) fn keep(
        &mut self,
        life: ShortHash,
        word: Arc<OwnWord>,
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
    pub(super) fn take(&mut self, life: ShortHash) -> Arc<OwnWord> {
        self.0.remove(&life).map(|kept| kept.word).unwrap_or_default()
    }

    /// Notes that a life is leaving of which another VM has told.
    pub(super) fn note_leaving(&mut self, life: ShortHash, now: BootInstant) {
        let word = self.take(life);
        word.note_leaving();
        self.keep(life, word, now);
    }
}

#[cfg(test)]
mod tests;

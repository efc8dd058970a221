//! What one life of an upstream has said of itself, kept for that life.
//!
//! Its record in the platform's store comes later, lapses and is read again;
//! none of that takes back what the upstream itself has said. It leaves until
//! it ends.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{clock::BootInstant, message::ShortHash};

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
        if self.0.len() < UNLISTED_MOST && word.is_leaving() {
            self.0.insert(life, Unlisted { word, since: now });
        }
    }

    /// Takes the word of a life that is listed, again or at last.
    pub(super) fn take(&mut self, life: ShortHash) -> Arc<OwnWord> {
        self.0.remove(&life).map(|kept| kept.word).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;

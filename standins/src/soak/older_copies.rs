//! Returns of the store from an older copy of itself.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    evidence::Scope,
    faults::{Fault, Target},
    world::{Action, Active, World},
};
use crate::platform_store::{StoreCopy, StoreMode};

/// Seeds that are this more than a multiple of [`SEED_PERIOD`] have returns.
const SEED_REMAINDER: u64 = 3;
const SEED_PERIOD: u64 = 5;

/// Time between two copies, and the number that is kept.
const COPY_PERIOD: Duration = Duration::from_millis(500);
const MAX_COPIES: usize = 6;

/// Time for which the store is away, time until all is written again, and time
/// until the store is away again, in milliseconds. With the age of the oldest
/// copy, the first two stay below the time in which a removed key must be
/// rejected: a VM that starts meanwhile knows of no removal.
const OUTAGE_MS: std::ops::Range<u64> = 300..1500;
const WRITE_AGAIN_MS: std::ops::Range<u64> = 0..500;
const BETWEEN_MS: std::ops::Range<u64> = 2500..6000;

/// Mixed into the run's seed, so that returns are drawn independently of
/// faults.
const SEED_SALT: u64 = 0x636f_7069_6573;

/// Keeps copies of the store and draws its returns.
pub(super) struct OlderCopies {
    is_used: bool,
    rng: ChaCha8Rng,
    next_at: Duration,
    copied_at: Duration,
    copies: VecDeque<StoreCopy>,
}

impl OlderCopies {
    pub(super) fn new(seed: u64) -> OlderCopies {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
        let next_at = Duration::from_millis(rng.random_range(BETWEEN_MS));
        OlderCopies {
            is_used: has_returns(seed),
            rng,
            next_at,
            copied_at: Duration::ZERO,
            copies: VecDeque::new(),
        }
    }
}

/// Returns whether the store comes back from older copies with a seed.
pub fn has_returns(seed: u64) -> bool {
    seed % SEED_PERIOD == SEED_REMAINDER
}

impl World {
    /// Keeps a copy of the store, and takes the store away if that is due.
    pub(super) fn run_older_copies(&mut self, now: Duration) {
        if !self.older_copies.is_used {
            return;
        }
        let is_away = |active: &Active| active.target == Target::Store;
        let is_away = self.active.iter().any(is_away);
        let copies = &mut self.older_copies;
        if !is_away && now >= copies.copied_at + COPY_PERIOD {
            copies.copied_at = now;
            copies.copies.push_back(self.site.store.copy());
            if copies.copies.len() > MAX_COPIES {
                copies.copies.pop_front();
            }
        }
        if now < copies.next_at || is_away || copies.copies.is_empty() {
            return;
        }
        let mut draw = |range| {
            Duration::from_millis(copies.rng.random_range::<u64, _>(range))
        };
        let (outage, write) = (draw(OUTAGE_MS), draw(WRITE_AGAIN_MS));
        copies.next_at = now + outage + draw(BETWEEN_MS);
        let fault = Fault::OlderCopy;
        self.faults.push((now, fault));
        let ends_at = now + outage;
        let written_at = ends_at + write;
        self.record_trouble(now, written_at, Scope::Everyone, "older copy");
        self.site.store.set_mode(StoreMode::Busy);
        self.scheduled.push((written_at, Action::WriteAgain));
        let target = Target::Store;
        self.active.push(Active { fault, target, ends_at, trouble: None });
    }

    /// Has the store come back from a copy of any age.
    pub(super) fn restore_older_copy(&mut self) {
        let copies = &mut self.older_copies;
        let at = copies.rng.random_range(0..copies.copies.len());
        self.site.store.restore(&copies.copies[at]);
        // Later copies are of the era before.
        copies.copies.truncate(at);
    }
}

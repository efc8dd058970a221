//! A follower of the store that is behind and answers some stale reads.

use std::{collections::VecDeque, time::Duration};

use super::world::World;
use crate::platform_store::StoreCopy;

/// Seeds that are this more than a multiple of [`SEED_PERIOD`] have one.
const SEED_REMAINDER: u64 = 1;
const SEED_PERIOD: u64 = 5;

/// Time between two copies of the store.
const COPY_PERIOD: Duration = Duration::from_millis(250);

/// How far the follower is behind.
const LAG: Duration = Duration::from_secs(3);

/// Keeps what the follower will know.
pub(super) struct LateFollower {
    is_used: bool,
    copied_at: Duration,
    copies: VecDeque<(Duration, StoreCopy)>,
}

impl LateFollower {
    pub(super) fn new(seed: u64) -> LateFollower {
        LateFollower {
            is_used: seed % SEED_PERIOD == SEED_REMAINDER,
            copied_at: Duration::ZERO,
            copies: VecDeque::new(),
        }
    }
}

impl World {
    /// Brings the follower up to the time that it is behind.
    pub(super) fn run_late_follower(&mut self, now: Duration) {
        let follower = &mut self.late_follower;
        if !follower.is_used || now < follower.copied_at + COPY_PERIOD {
            return;
        }
        follower.copied_at = now;
        follower.copies.push_back((now, self.site.store.copy()));
        let mut latest = None;
        while let Some((_, copy)) =
            follower.copies.pop_front_if(|(at, _)| *at + LAG <= now)
        {
            latest = Some(copy);
        }
        if latest.is_some() {
            self.site.store.set_late_follower(latest);
        }
    }
}

//! Which version the sessions of one service are at, as far as this VM has
//! had their requests.

use std::{collections::HashMap, time::Duration};

use crate::{clock::BootInstant, id::VersionId, message::ShortHash};

/// Sessions that are remembered: those of seven seconds at 2,800 requests a
/// second, each of another session. Beyond them new ones are not noted.
const SESSIONS_MOST: usize = 20_000;

/// The sessions of one service.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    held: HashMap<ShortHash, Session>,
}

#[derive(Debug)]
struct Session {
    /// The version that its last request went to.
    software: VersionId,
    /// Its attempts that have not ended.
    under_way: u32,
    /// When its last attempt began, or ended.
    used_at: BootInstant,
}

impl Session {
    /// How long nothing of it has been under way.
    fn idle(&self, now: BootInstant) -> Duration {
        match self.under_way {
            0 => now.saturating_duration_since(self.used_at),
            _ => Duration::ZERO,
        }
    }
}

impl Sessions {
    /// Notes that an attempt of a session begins, and which version it goes to.
    pub(crate) fn begin(
        &mut self,
        session: ShortHash,
        software: &VersionId,
        lifetime: Duration,
        now: BootInstant,
    ) {
        if self.held.len() >= SESSIONS_MOST {
            self.held.retain(|_, held| held.idle(now) < lifetime);
        }
        if let Some(held) = self.held.get_mut(&session) {
            held.software = software.clone();
            held.used_at = now;
            held.under_way += 1;
        } else if self.held.len() < SESSIONS_MOST {
            let software = software.clone();
            let held = Session { software, under_way: 1, used_at: now };
            self.held.insert(session, held);
        }
    }

    /// Notes that an attempt of a session has ended.
    pub(crate) fn end(&mut self, session: ShortHash, now: BootInstant) {
        if let Some(held) = self.held.get_mut(&session) {
            held.under_way = held.under_way.saturating_sub(1);
            held.used_at = now;
        }
    }

    /// The version that a session is at, and how long nothing of it has been
    /// under way; `None` once that is as long as `lifetime`.
    pub(crate) fn version(
        &self,
        session: ShortHash,
        lifetime: Duration,
        now: BootInstant,
    ) -> Option<(&VersionId, Duration)> {
        let held = self.held.get(&session)?;
        let idle = held.idle(now);
        (idle < lifetime).then_some((&held.software, idle))
    }

    /// The sessions at other versions than `target`, with how long nothing of
    /// each has been under way.
    pub(crate) fn at_others(
        &self,
        target: &VersionId,
        lifetime: Duration,
        now: BootInstant,
    ) -> impl Iterator<Item = (ShortHash, Duration)> {
        let others =
            self.held.iter().filter(move |(_, s)| s.software != *target);
        let idle = others.map(move |(session, s)| (*session, s.idle(now)));
        idle.filter(move |(_, idle)| *idle < lifetime)
    }
}

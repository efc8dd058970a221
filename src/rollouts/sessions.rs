//! Which version the sessions of one service are at, as far as this VM has
//! had their requests.

use std::{collections::HashMap, time::Duration};

use crate::{clock::BootInstant, id::VersionId, message::ShortHash};

/// Sessions that are remembered: those of seven seconds at 2,800 requests a
/// second, each of another session. Beyond them new ones are not noted.
const MAX_SESSIONS: usize = 20_000;

/// The sessions of one service.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    sessions: HashMap<ShortHash, Session>,
}

#[derive(Debug)]
struct Session {
    /// The version that its last request went to.
    software: VersionId,
    /// Its attempts that have not ended.
    in_flight: u32,
    /// When its last attempt began, or ended.
    used_at: BootInstant,
}

impl Session {
    /// How long nothing of it has been under way.
    fn idle(&self, now: BootInstant) -> Duration {
        match self.in_flight {
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
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions.retain(|_, sessions| sessions.idle(now) < lifetime);
        }
        if let Some(sessions) = self.sessions.get_mut(&session) {
            sessions.software = software.clone();
            sessions.used_at = now;
            sessions.in_flight += 1;
        } else if self.sessions.len() < MAX_SESSIONS {
            let software = software.clone();
            let sessions = Session { software, in_flight: 1, used_at: now };
            self.sessions.insert(session, sessions);
        }
    }

    /// Notes that an attempt of a session has ended.
    pub(crate) fn end(&mut self, session: ShortHash, now: BootInstant) {
        if let Some(sessions) = self.sessions.get_mut(&session) {
            sessions.in_flight = sessions.in_flight.saturating_sub(1);
            sessions.used_at = now;
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
        let sessions = self.sessions.get(&session)?;
        let idle = sessions.idle(now);
        (idle < lifetime).then_some((&sessions.software, idle))
    }

    /// The sessions at other versions than `target`, with how long nothing of
    /// each has been under way.
    pub(crate) fn on_other_versions(
        &self,
        target: &VersionId,
        lifetime: Duration,
        now: BootInstant,
    ) -> impl Iterator<Item = (ShortHash, Duration)> {
        let others =
            self.sessions.iter().filter(move |(_, s)| s.software != *target);
        let idle = others.map(move |(session, s)| (*session, s.idle(now)));
        idle.filter(move |(_, idle)| *idle < lifetime)
    }
}

//! The version that each session of a service is on, for the sessions whose
//! requests this VM has sent.

use std::{collections::HashMap, time::Duration};

use crate::{clock::BootInstant, id::VersionId, message::ShortHash};

/// Maximum number of sessions kept: those of seven seconds at 2,800 requests
/// per second, each of a different session. Further ones are not recorded.
const MAX_SESSIONS: usize = 20_000;

/// The sessions of one service.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    sessions: HashMap<ShortHash, Session>,
}

#[derive(Debug)]
struct Session {
    /// The version that its last request was sent to.
    software: VersionId,
    /// Number of its attempts in flight.
    in_flight: u32,
    /// When an attempt of it last began or ended.
    used_at: BootInstant,
}

impl Session {
    /// Returns the time since its last attempt ended; zero while one is in
    /// flight.
    fn idle(&self, now: BootInstant) -> Duration {
        match self.in_flight {
            0 => now.saturating_duration_since(self.used_at),
            _ => Duration::ZERO,
        }
    }
}

impl Sessions {
    /// Records that an attempt of a session is sent to a version.
    pub(crate) fn begin(
        &mut self,
        session: ShortHash,
        software: &VersionId,
        lifetime: Duration,
        now: BootInstant,
    ) {
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions.retain(|_, known| known.idle(now) < lifetime);
        }
        if let Some(known) = self.sessions.get_mut(&session) {
            known.software = software.clone();
            known.used_at = now;
            known.in_flight += 1;
        } else if self.sessions.len() < MAX_SESSIONS {
            let software = software.clone();
            let known = Session { software, in_flight: 1, used_at: now };
            self.sessions.insert(session, known);
        }
    }

    /// Records that an attempt of a session has ended.
    pub(crate) fn end(&mut self, session: ShortHash, now: BootInstant) {
        if let Some(known) = self.sessions.get_mut(&session) {
            known.in_flight = known.in_flight.saturating_sub(1);
            known.used_at = now;
        }
    }

    /// Returns the version that a session is on and for how long the session
    /// has been idle; `None` if it is unknown or that is `lifetime` or longer.
    pub(crate) fn version(
        &self,
        session: ShortHash,
        lifetime: Duration,
        now: BootInstant,
    ) -> Option<(&VersionId, Duration)> {
        let known = self.sessions.get(&session)?;
        let idle = known.idle(now);
        (idle < lifetime).then_some((&known.software, idle))
    }

    /// Returns the sessions on versions other than `target`, with the time for
    /// which each has been idle.
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

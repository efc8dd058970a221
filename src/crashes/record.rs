//! What a VM knows of requests under which upstreams have ended, by its own
//! attempts and by the word of the others.
//!
//! An attempt that is lost says nothing yet. Once its upstream is known to
//! have ended, everything that it had is a suspect, and what explains three
//! ends is held back ([`verdict`](crate::crashes::verdict)). What has run
//! whole anywhere is none.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    hash::Hash,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use crate::{
    clock::BootInstant,
    crashes::{
        digest::RequestDigest,
        sighting::{Crash, Seen, Sighting},
        verdict::{self, Ends},
    },
    http_client::Listening,
    message::ShortHash,
};

/// Time for which an end counts against a request, from when this VM heard of
/// it: long enough that one that comes once a minute is known again, and a
/// caller who mends what it sends is not held back for ever.
pub(crate) const REMEMBERED: Duration = Duration::from_secs(600);

/// Time for which a request that ran whole is known for one that may.
const WELL_REMEMBERED: Duration = Duration::from_secs(60);

/// Time for which a lost attempt waits to hear what became of its upstream.
const OPEN_FOR: Duration = Duration::from_secs(10);

/// Requests that are remembered with the ends that they saw. An engine has at
/// most some sixty, so these are the ends of seventy at least; with more the
/// least suspect is forgotten.
const SUSPECTS_MOST: usize = 4096;

/// Ends remembered of one request; more say nothing new.
const ENDS_MOST: usize = 16;

/// Requests remembered as having run whole: a minute of one VM's.
const WELL_MOST: usize = 1024;

/// Upstreams of which it is remembered that they have ended.
const ENDED_MOST: usize = 1024;

/// Rounds of beats in which a VM tells the same: each goes to all of its data
/// hall, and one datagram in thirty is lost at worst.
const TOLD_ROUNDS: u8 = 4;

/// Sightings that one beat carries, some 600 bytes.
const TOLD_MOST: usize = 32;

/// Sightings that wait to be told after a beat.
const TELLINGS_MOST: usize = 512;

/// Whom a VM has something from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// It has seen it itself.
    Own,
    /// A VM of its data hall, which told all others there as well.
    OwnHall,
    /// A VM of another data hall.
    OtherHall,
    /// The platform's store, or another VM that was asked for all it knows.
    Kept,
}

/// Whom a beat goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The VMs of the own data hall.
    OwnHall,
    /// VMs of others.
    OtherHalls,
}

/// What is to be done after an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Find out whether the upstream has ended, and settle it.
    Check,
    /// Nothing: that is known, or somebody is finding out.
    Nothing,
}

/// A request that is held back from now on, or no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// It crashes what runs it.
    Held {
        /// The request.
        request: RequestDigest,
        /// Upstreams that have ended under it.
        ends: usize,
    },
    /// It was held back, and is not any more.
    Released(RequestDigest),
}

/// One life of an upstream at which attempts were lost.
#[derive(Debug)]
enum Life {
    /// Whether it has ended is open; these were there.
    Open { lost: Vec<(RequestDigest, u16)>, since: BootInstant },
    /// It has.
    Ended { at: BootInstant },
}

/// Something to tell in the next rounds of beats.
#[derive(Debug)]
struct Telling {
    sighting: Sighting,
    own_hall_left: u8,
    other_halls_left: u8,
}

impl Telling {
    fn new(sighting: Sighting, source: Source) -> Telling {
        let (own_hall_left, other_halls_left) = match source {
            Source::Own | Source::OtherHall => (TOLD_ROUNDS, TOLD_ROUNDS),
            Source::OwnHall => (0, TOLD_ROUNDS),
            Source::Kept => (0, 0),
        };
        Telling { sighting, own_hall_left, other_halls_left }
    }

    fn is_over(&self) -> bool {
        self.own_hall_left == 0 && self.other_halls_left == 0
    }

    fn left(&mut self, audience: Audience) -> &mut u8 {
        match audience {
            Audience::OwnHall => &mut self.own_hall_left,
            Audience::OtherHalls => &mut self.other_halls_left,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    lives: HashMap<ShortHash, Life>,
    ends: HashMap<RequestDigest, Ends>,
    /// When an end of each was last heard of.
    heard_at: HashMap<RequestDigest, BootInstant>,
    ran_whole: HashMap<RequestDigest, BootInstant>,
    tellings: Vec<Telling>,
    held: BTreeSet<RequestDigest>,
}

/// The record of one VM.
#[derive(Debug, Default)]
pub(crate) struct CrashRecord {
    state: Mutex<State>,
}

impl CrashRecord {
    /// Whether any request is held back.
    pub(crate) fn holds_any(&self) -> bool {
        !self.lock().held.is_empty()
    }

    /// Whether a request is held back.
    pub(crate) fn is_held(
        &self,
        request: RequestDigest,
        now: BootInstant,
    ) -> bool {
        let state = self.lock();
        is_recent(state.heard_at.get(&request), REMEMBERED, now)
            && state.held.contains(&request)
    }

    /// The requests that are held back, with the ends that they explain.
    pub(crate) fn held(&self) -> Vec<(RequestDigest, Vec<Crash>)> {
        let state = self.lock();
        let held = state.held.iter();
        held.map(|request| (*request, state.crashes(*request))).collect()
    }

    /// Takes in that an attempt was lost after an upstream had it for `had`.
    pub(crate) fn note_lost(
        &self,
        request: RequestDigest,
        upstream: ShortHash,
        had: Duration,
        now: BootInstant,
    ) -> (NextStep, Vec<Change>) {
        let had_ms = u16::try_from(had.as_millis()).unwrap_or(u16::MAX);
        let mut state = self.lock();
        match state.lives.get_mut(&upstream) {
            Some(Life::Ended { .. }) => {
                let crash = Crash { upstream, had_ms };
                state.take(request, crash, Source::Own, now);
                (NextStep::Nothing, state.judge())
            }
            Some(Life::Open { lost, .. }) => {
                lost.push((request, had_ms));
                (NextStep::Nothing, Vec::new())
            }
            None => {
                let lost = vec![(request, had_ms)];
                let life = Life::Open { lost, since: now };
                state.lives.insert(upstream, life);
                (NextStep::Check, Vec::new())
            }
        }
    }

    /// Takes in what became of an upstream at which attempts were lost.
    pub(crate) fn settle(
        &self,
        upstream: ShortHash,
        listening: Listening,
        now: BootInstant,
    ) -> Vec<Change> {
        let mut state = self.lock();
        match listening {
            Listening::No => state.end(upstream, now),
            Listening::Yes => {
                if let Some(Life::Open { .. }) = state.lives.get(&upstream) {
                    state.lives.remove(&upstream);
                }
            }
            // Another VM may get to know.
            Listening::Unknown => {}
        }
        state.judge()
    }

    /// Takes in that an upstream ran a request to its end.
    pub(crate) fn note_ran_whole(
        &self,
        request: RequestDigest,
        now: BootInstant,
    ) -> Vec<Change> {
        let mut state = self.lock();
        make_room(&mut state.ran_whole, WELL_MOST, |at| *at);
        state.ran_whole.insert(request, now);
        if !state.forget(request) {
            return Vec::new();
        }
        state.tell(request, Seen::RanWhole, Source::Own);
        state.judge()
    }

    /// Takes in what another VM tells, or what was kept.
    pub(crate) fn hear(
        &self,
        sightings: &[Sighting],
        source: Source,
        now: BootInstant,
    ) -> Vec<Change> {
        if sightings.is_empty() {
            return Vec::new();
        }
        let mut state = self.lock();
        for Sighting { request, seen } in sightings {
            match seen {
                Seen::Crashed(crash) => {
                    state.end(crash.upstream, now);
                    state.take(*request, *crash, source, now);
                }
                Seen::RanWhole => {
                    if state.forget(*request) {
                        state.tell(*request, Seen::RanWhole, source);
                    }
                }
            }
        }
        state.judge()
    }

    /// What the next beat to these VMs tells.
    pub(crate) fn to_tell(&self, audience: Audience) -> Vec<Sighting> {
        let mut state = self.lock();
        let State { tellings, ends, .. } = &mut *state;
        // Whatever ended most comes first, ahead of what was beside it.
        let ends =
            |request: &RequestDigest| ends.get(request).map_or(0, Ends::len);
        tellings.sort_by_key(|t| Reverse(ends(&t.sighting.request)));
        let mut told = Vec::new();
        for telling in tellings.iter_mut() {
            let sighting = telling.sighting;
            let left = telling.left(audience);
            if *left > 0 && told.len() < TOLD_MOST {
                *left -= 1;
                told.push(sighting);
            }
        }
        tellings.retain(|telling| !telling.is_over());
        tellings.truncate(TELLINGS_MOST);
        told
    }

    /// What another VM is handed that asks for all that is known.
    pub(crate) fn all_held(&self) -> Vec<Sighting> {
        let held = self.held().into_iter();
        held.flat_map(|(request, crashes)| {
            let sighting =
                move |crash| Sighting { request, seen: Seen::Crashed(crash) };
            crashes.into_iter().map(sighting)
        })
        .collect()
    }

    /// Forgets what is too old.
    pub(crate) fn sweep(&self, now: BootInstant) -> Vec<Change> {
        let age = |at: BootInstant| now.saturating_duration_since(at);
        let mut state = self.lock();
        state.lives.retain(|_, life| match life {
            Life::Open { since, .. } => age(*since) < OPEN_FOR,
            Life::Ended { at } => age(*at) < REMEMBERED,
        });
        state.ran_whole.retain(|_, at| age(*at) < WELL_REMEMBERED);
        let old =
            state.heard_at.iter().filter(|(_, at)| age(**at) >= REMEMBERED);
        let old: Vec<RequestDigest> =
            old.map(|(request, _)| *request).collect();
        for request in old {
            state.forget(request);
        }
        state.judge()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("crash record lock")
    }
}

impl State {
    fn crashes(&self, request: RequestDigest) -> Vec<Crash> {
        let ends = self.ends.get(&request).into_iter().flatten();
        ends.map(|(upstream, had_ms)| Crash {
            upstream: *upstream,
            had_ms: *had_ms,
        })
        .collect()
    }

    /// Notes that an upstream has ended, with all that it had of this VM.
    fn end(&mut self, upstream: ShortHash, now: BootInstant) {
        make_room(&mut self.lives, ENDED_MOST, |life| match life {
            Life::Open { since, .. } => *since,
            Life::Ended { at } => *at,
        });
        let ended = Life::Ended { at: now };
        let before = self.lives.insert(upstream, ended);
        let Some(Life::Open { lost, since }) = before else { return };
        if !is_recent(Some(&since), OPEN_FOR, now) {
            return;
        }
        for (request, had_ms) in lost {
            let crash = Crash { upstream, had_ms };
            self.take(request, crash, Source::Own, now);
        }
    }

    /// Takes in that an upstream ended while it had a request.
    fn take(
        &mut self,
        request: RequestDigest,
        crash: Crash,
        source: Source,
        now: BootInstant,
    ) {
        if is_recent(self.ran_whole.get(&request), WELL_REMEMBERED, now) {
            // Who has not had it yet takes it for a culprit.
            self.tell_ran_whole(request);
            return;
        }
        if !is_recent(self.heard_at.get(&request), REMEMBERED, now) {
            self.forget(request);
            self.drop_least_suspect();
        }
        let ends = self.ends.entry(request).or_default();
        if ends.len() >= ENDS_MOST || ends.contains_key(&crash.upstream) {
            return;
        }
        ends.insert(crash.upstream, crash.had_ms);
        self.heard_at.insert(request, now);
        self.tell(request, Seen::Crashed(crash), source);
    }

    fn tell(&mut self, request: RequestDigest, seen: Seen, source: Source) {
        let telling = Telling::new(Sighting { request, seen }, source);
        if !telling.is_over() {
            self.tellings.push(telling);
        }
    }

    fn tell_ran_whole(&mut self, request: RequestDigest) {
        let seen = Seen::RanWhole;
        let is_told =
            |telling: &Telling| telling.sighting == Sighting { request, seen };
        if !self.tellings.iter().any(is_told) {
            self.tell(request, seen, Source::Own);
        }
    }

    /// Forgets the ends that a request saw; returns whether there were any.
    fn forget(&mut self, request: RequestDigest) -> bool {
        self.heard_at.remove(&request);
        self.ends.remove(&request).is_some()
    }

    /// Makes room for one more suspect.
    fn drop_least_suspect(&mut self) {
        if self.ends.len() < SUSPECTS_MOST {
            return;
        }
        let heard_at = |request| self.heard_at.get(request).copied();
        let least = self
            .ends
            .iter()
            .min_by_key(|(request, ends)| (ends.len(), heard_at(request)));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.forget(request);
        }
    }

    /// Finds anew what is held back.
    fn judge(&mut self) -> Vec<Change> {
        let held = verdict::culprits(&self.ends);
        let released = self.held.difference(&held);
        let mut changes: Vec<Change> =
            released.map(|request| Change::Released(*request)).collect();
        let new = held.difference(&self.held).map(|request| Change::Held {
            request: *request,
            ends: self.ends.get(request).map_or(0, Ends::len),
        });
        changes.extend(new);
        self.held = held;
        changes
    }
}

/// Whether something was known at a time that is not too long ago. Whatever
/// decides asks this, and does not wait for [`CrashRecord::sweep`]: that has
/// not run when a VM is woken.
fn is_recent(
    at: Option<&BootInstant>,
    limit: Duration,
    now: BootInstant,
) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(*at) < limit)
}

/// Drops the entry with the earliest time if there are `most` already.
fn make_room<K: Copy + Eq + Hash, V>(
    map: &mut HashMap<K, V>,
    most: usize,
    at: impl Fn(&V) -> BootInstant,
) {
    if map.len() < most {
        return;
    }
    let eldest = map.iter().min_by_key(|(_, value)| at(value));
    if let Some(key) = eldest.map(|(key, _)| *key) {
        map.remove(&key);
    }
}

#[cfg(test)]
mod tests;

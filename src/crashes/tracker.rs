//! What a VM knows of requests under which upstreams have ended, by its own
//! attempts and by the word of the others.
//!
//! An attempt that is lost says nothing yet. Once its upstream is known to
//! have ended, everything that it had is a suspect, and what explains three
//! ends is held back ([`attribution`](crate::crashes::attribution)). What has run
//! whole anywhere is none.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use crate::{
    clock::BootInstant,
    crashes::{
        attribution::{self, Ends},
        broadcast_queue::{Audience, BroadcastQueue, Source},
        digest::RequestDigest,
        observation::{Crash, End, RequestObservation, RequestOutcome},
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

/// Lives of upstreams at which attempts were lost that are remembered.
const LIVES_MOST: usize = 1024;

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
pub(crate) enum QuarantineChange {
    /// It crashes what runs it.
    Added {
        /// The request.
        request: RequestDigest,
        /// Upstreams that have ended under it.
        ends: usize,
    },
    /// It was held back, and is not any more.
    Released(RequestDigest),
}

/// Attempts that were lost at an upstream, of which it is open whether it has
/// ended.
#[derive(Debug)]
struct Lost {
    requests: Vec<(RequestDigest, u16)>,
    since: BootInstant,
}

/// One life of an upstream at which attempts were lost.
#[derive(Debug)]
struct Life {
    /// How many ends of it are known, and when the last one became known.
    ends: u8,
    ended_at: Option<BootInstant>,
    lost: Option<Lost>,
    noted_at: BootInstant,
}

impl Life {
    fn new(now: BootInstant) -> Life {
        Life { ends: 0, ended_at: None, lost: None, noted_at: now }
    }

    /// The last end, if an attempt that began then was under way at it.
    fn end_of(
        &self,
        upstream: ShortHash,
        began_at: BootInstant,
    ) -> Option<End> {
        let was_there = self.ended_at.is_some_and(|at| began_at <= at);
        let number = self.ends.saturating_sub(1);
        was_there.then_some(End { upstream, number })
    }
}

/// A request under which upstreams have ended.
#[derive(Debug)]
struct Suspect {
    ends: Ends,
    /// When an end was last heard of.
    heard_at: BootInstant,
}

#[derive(Debug, Default)]
struct State {
    lives: HashMap<ShortHash, Life>,
    suspects: HashMap<RequestDigest, Suspect>,
    ran_whole: HashMap<RequestDigest, BootInstant>,
    broadcast_queue: BroadcastQueue,
    held: BTreeSet<RequestDigest>,
    /// Those of them of which nothing was forgotten since.
    firmly_held: BTreeSet<RequestDigest>,
}

/// The record of one VM.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    state: Mutex<State>,
}

impl CrashTracker {
    /// Whether any request is held back.
    pub(crate) fn has_quarantined(&self) -> bool {
        !self.lock().held.is_empty()
    }

    /// Whether a request is held back.
    pub(crate) fn is_quarantined(
        &self,
        request: RequestDigest,
        now: BootInstant,
    ) -> bool {
        let state = self.lock();
        state.is_suspect(request, now) && state.held.contains(&request)
    }

    /// The requests that are held back, with the ends that they explain.
    pub(crate) fn quarantined(&self) -> Vec<(RequestDigest, Vec<Crash>)> {
        let state = self.lock();
        let held = state.held.iter();
        held.map(|request| (*request, state.crashes(*request))).collect()
    }

    /// Takes in that an attempt was lost that had begun at `began_at`.
    pub(crate) fn record_lost_attempt(
        &self,
        request: RequestDigest,
        upstream: ShortHash,
        began_at: BootInstant,
        now: BootInstant,
    ) -> (NextStep, Vec<QuarantineChange>) {
        let had = now.saturating_duration_since(began_at).as_millis();
        let had_ms = u16::try_from(had).unwrap_or(u16::MAX);
        let mut state = self.lock();
        let life = state.life(upstream, now);
        if let Some(end) = life.end_of(upstream, began_at) {
            state.take(request, Crash { end, had_ms }, Source::Own, now);
            return (NextStep::Nothing, state.judge());
        }
        if let Some(lost) = &mut life.lost
            && is_recent(lost.since, OPEN_FOR, now)
        {
            lost.requests.push((request, had_ms));
            return (NextStep::Nothing, Vec::new());
        }
        let requests = vec![(request, had_ms)];
        life.lost = Some(Lost { requests, since: now });
        (NextStep::Check, Vec::new())
    }

    /// Takes in what became of an upstream at which attempts were lost.
    pub(crate) fn record_probe(
        &self,
        upstream: ShortHash,
        listening: Listening,
        now: BootInstant,
    ) -> Vec<QuarantineChange> {
        let mut state = self.lock();
        let life = state.life(upstream, now);
        match listening {
            // Another VM may have told of this end meanwhile.
            Listening::No if life.lost.is_some() => {
                let number = life.ends;
                state.end(End { upstream, number }, now);
            }
            Listening::Yes => life.lost = None,
            // Another VM may get to know.
            Listening::No | Listening::Unknown => {}
        }
        state.judge()
    }

    /// Takes in that an upstream ran a request to its end.
    pub(crate) fn record_completed(
        &self,
        request: RequestDigest,
        now: BootInstant,
    ) -> Vec<QuarantineChange> {
        let mut state = self.lock();
        make_room(&mut state.ran_whole, WELL_MOST, |at| *at);
        state.ran_whole.insert(request, now);
        if !state.forget(request) {
            return Vec::new();
        }
        state.tell(request, RequestOutcome::Completed, Source::Own);
        state.judge()
    }

    /// Takes in what another VM tells, or what was kept.
    pub(crate) fn merge_observations(
        &self,
        observations: &[RequestObservation],
        source: Source,
        now: BootInstant,
    ) -> Vec<QuarantineChange> {
        if observations.is_empty() {
            return Vec::new();
        }
        let mut state = self.lock();
        for RequestObservation { request, outcome } in observations {
            match outcome {
                RequestOutcome::Crashed(crash) => {
                    state.end(crash.end, now);
                    state.take(*request, *crash, source, now);
                }
                RequestOutcome::Completed => {
                    if state.forget(*request) {
                        state.tell(
                            *request,
                            RequestOutcome::Completed,
                            source,
                        );
                    }
                }
            }
        }
        state.judge()
    }

    /// What the next beat to these VMs tells.
    pub(crate) fn next_broadcasts(
        &self,
        audience: Audience,
    ) -> Vec<RequestObservation> {
        let mut state = self.lock();
        let State { broadcast_queue, suspects, .. } = &mut *state;
        broadcast_queue.take(audience, |told| {
            suspects.get(&told.request).map_or(0, |s| s.ends.len())
        })
    }

    /// What another VM is handed that asks for all that is known.
    pub(crate) fn quarantine_observations(&self) -> Vec<RequestObservation> {
        let held = self.quarantined().into_iter();
        held.flat_map(|(request, crashes)| {
            RequestObservation::of_crashes(request, crashes)
        })
        .collect()
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&self, now: BootInstant) -> Vec<QuarantineChange> {
        let mut state = self.lock();
        state
            .lives
            .retain(|_, life| is_recent(life.noted_at, REMEMBERED, now));
        state.ran_whole.retain(|_, at| is_recent(*at, WELL_REMEMBERED, now));
        let suspects = state.suspects.iter();
        let old = suspects.filter(|(_, suspect)| {
            !is_recent(suspect.heard_at, REMEMBERED, now)
        });
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
        let suspect = self.suspects.get(&request);
        let ends = suspect.into_iter().flat_map(|suspect| &suspect.ends);
        ends.map(|(end, had_ms)| Crash { end: *end, had_ms: *had_ms })
            .collect()
    }

    /// Whether ends under a request are known that are not too old.
    fn is_suspect(&self, request: RequestDigest, now: BootInstant) -> bool {
        self.suspects.get(&request).is_some_and(|suspect| {
            is_recent(suspect.heard_at, REMEMBERED, now)
        })
    }

    /// What is known of a life of an upstream.
    fn life(&mut self, upstream: ShortHash, now: BootInstant) -> &mut Life {
        if !self.lives.contains_key(&upstream) {
            make_room(&mut self.lives, LIVES_MOST, |life| life.noted_at);
        }
        let life = self.lives.entry(upstream);
        let life = life.or_insert_with(|| Life::new(now));
        life.noted_at = now;
        life
    }

    /// Notes an end of an upstream, if it is news, with all that it had of
    /// this VM.
    fn end(&mut self, end: End, now: BootInstant) {
        let life = self.life(end.upstream, now);
        if end.number < life.ends {
            return;
        }
        life.ends = end.number.saturating_add(1);
        life.ended_at = Some(now);
        let Some(lost) = life.lost.take() else { return };
        if !is_recent(lost.since, OPEN_FOR, now) {
            return;
        }
        for (request, had_ms) in lost.requests {
            self.take(request, Crash { end, had_ms }, Source::Own, now);
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
        let ran_at = self.ran_whole.get(&request);
        if ran_at.is_some_and(|at| is_recent(*at, WELL_REMEMBERED, now)) {
            // Who has not had it yet takes it for a culprit.
            self.tell(request, RequestOutcome::Completed, Source::Own);
            return;
        }
        if !self.is_suspect(request, now) {
            self.forget(request);
            self.drop_least_suspect();
        }
        let suspect = self.suspects.entry(request);
        let suspect = suspect
            .or_insert_with(|| Suspect { ends: Ends::new(), heard_at: now });
        let ends = &mut suspect.ends;
        if ends.len() >= ENDS_MOST || ends.contains_key(&crash.end) {
            return;
        }
        ends.insert(crash.end, crash.had_ms);
        suspect.heard_at = now;
        self.tell(request, RequestOutcome::Crashed(crash), source);
    }

    fn tell(
        &mut self,
        request: RequestDigest,
        outcome: RequestOutcome,
        source: Source,
    ) {
        self.broadcast_queue
            .add(RequestObservation { request, outcome }, source);
    }

    /// Forgets the ends that a request saw; returns whether there were any.
    fn forget(&mut self, request: RequestDigest) -> bool {
        self.firmly_held.remove(&request);
        self.suspects.remove(&request).is_some()
    }

    /// Makes room for one more suspect.
    fn drop_least_suspect(&mut self) {
        if self.suspects.len() < SUSPECTS_MOST {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.ends.len(), suspect.heard_at));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.forget(request);
        }
    }

    /// Finds anew what is held back.
    fn judge(&mut self) -> Vec<QuarantineChange> {
        let suspects = self.suspects.iter();
        let ends =
            suspects.map(|(request, suspect)| (*request, &suspect.ends));
        let held = attribution::culprits(ends, &self.firmly_held);
        let released = self.held.difference(&held);
        let mut changes: Vec<QuarantineChange> = released
            .map(|request| QuarantineChange::Released(*request))
            .collect();
        let new = held.difference(&self.held).map(|request| {
            QuarantineChange::Added {
                request: *request,
                ends: self.suspects.get(request).map_or(0, |s| s.ends.len()),
            }
        });
        changes.extend(new);
        self.firmly_held.clone_from(&held);
        self.held = held;
        changes
    }
}

/// Whether something was known at a time that is not too long ago. Whatever
/// decides asks this, and does not wait for [`CrashTracker::expire`]: that has
/// not run when a VM is woken.
fn is_recent(at: BootInstant, limit: Duration, now: BootInstant) -> bool {
    now.saturating_duration_since(at) < limit
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

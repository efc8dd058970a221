//! The requests under which upstreams have crashed, as this VM knows them
//! from its own attempts and from the reports of other VMs.
//!
//! A lost attempt alone proves nothing. Once its upstream is known to have
//! crashed, every request that was in flight there becomes a suspect, and a
//! request that explains three crashes is quarantined (see
//! [`attribution`](crate::crashes::attribution)). A request that any upstream
//! has completed is not a suspect.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use crate::{
    clock::BootInstant,
    crashes::{
        attribution::{self, Crashes},
        broadcast_queue::{Audience, BroadcastQueue, Source},
        digest::RequestDigest,
        observation::{Crash, CrashId, RequestObservation, RequestOutcome},
    },
    http_client::Listening,
    message::ShortHash,
};

/// Time for which a request stays a suspect after the last crash that this VM
/// learned of: long enough that a request sent once a minute is recognized,
/// and short enough that a caller who corrects what it sends is not rejected
/// for ever.
pub(crate) const CRASH_TTL: Duration = Duration::from_secs(600);

/// Time for which a completed request is not a suspect.
const COMPLETED_TTL: Duration = Duration::from_secs(60);

/// Time for which a lost attempt is kept until it is known whether its
/// upstream crashed.
const PENDING_TTL: Duration = Duration::from_secs(10);

/// Maximum number of suspects. An engine runs at most some sixty requests, so
/// they cover at least seventy crashes; beyond that the least suspect one is
/// evicted.
const MAX_SUSPECTS: usize = 4096;

/// Maximum number of crashes kept for each request; further ones do not
/// change the attribution.
const MAX_CRASHES_PER_REQUEST: usize = 16;

/// Maximum number of completed requests kept: those of one minute on one VM.
const MAX_COMPLETED: usize = 1024;

/// Maximum number of upstream incarnations with lost attempts kept.
const MAX_UPSTREAMS: usize = 1024;

/// What the caller has to do after a lost attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Check whether the upstream has crashed, and record the result.
    Check,
    /// Nothing: the crash is known, or a check is already running.
    Nothing,
}

/// A change of the set of quarantined requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineChange {
    /// The request crashes upstreams and is quarantined from now on.
    Added {
        /// The request.
        request: RequestDigest,
        /// Crashes of upstreams that were running it.
        crashes: usize,
    },
    /// The request is no longer quarantined.
    Released(RequestDigest),
}

/// Attempts lost at an upstream that may or may not have crashed.
#[derive(Debug)]
struct PendingAttempts {
    requests: Vec<(RequestDigest, u16)>,
    since: BootInstant,
}

/// One incarnation of an upstream at which attempts were lost.
#[derive(Debug)]
struct UpstreamState {
    /// Number of its known crashes, and when this VM learned of the last one.
    crashes: u8,
    crashed_at: Option<BootInstant>,
    pending: Option<PendingAttempts>,
    updated_at: BootInstant,
}

impl UpstreamState {
    fn new(now: BootInstant) -> UpstreamState {
        UpstreamState {
            crashes: 0,
            crashed_at: None,
            pending: None,
            updated_at: now,
        }
    }

    /// Returns the last crash, if an attempt that began at `began_at` was in
    /// flight then.
    fn crash_during(
        &self,
        upstream: ShortHash,
        began_at: BootInstant,
    ) -> Option<CrashId> {
        let was_there = self.crashed_at.is_some_and(|at| began_at <= at);
        let number = self.crashes.saturating_sub(1);
        was_there.then_some(CrashId { upstream, number })
    }
}

/// A request that was in flight when upstreams crashed.
#[derive(Debug)]
struct Suspect {
    crashes: Crashes,
    /// When this VM learned of the last crash.
    updated_at: BootInstant,
}

#[derive(Debug, Default)]
struct State {
    upstreams: HashMap<ShortHash, UpstreamState>,
    suspects: HashMap<RequestDigest, Suspect>,
    completed: HashMap<RequestDigest, BootInstant>,
    broadcast_queue: BroadcastQueue,
    quarantined: BTreeSet<RequestDigest>,
    /// The requests that were quarantined by the last update, or by another
    /// VM, and have remained suspects since. A single crash that no other
    /// request explains keeps them in quarantine, see
    /// [`attribution::culprits`].
    retained: BTreeSet<RequestDigest>,
}

/// The crashes that one VM knows of, and the requests that it quarantines.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    state: Mutex<State>,
}

impl CrashTracker {
    /// Whether any request is quarantined.
    pub(crate) fn has_quarantined(&self) -> bool {
        !self.lock().quarantined.is_empty()
    }

    /// Whether a request is quarantined.
    pub(crate) fn is_quarantined(
        &self,
        request: RequestDigest,
        now: BootInstant,
    ) -> bool {
        let state = self.lock();
        state.is_suspect(request, now) && state.quarantined.contains(&request)
    }

    /// Returns the quarantined requests, with the crashes under each.
    pub(crate) fn quarantined(&self) -> Vec<(RequestDigest, Vec<Crash>)> {
        let state = self.lock();
        let quarantined = state.quarantined.iter();
        quarantined
            .map(|request| (*request, state.crashes(*request)))
            .collect()
    }

    /// Records that an attempt which began at `began_at` was lost.
    pub(crate) fn record_lost_attempt(
        &self,
        request: RequestDigest,
        upstream: ShortHash,
        began_at: BootInstant,
        now: BootInstant,
    ) -> (NextStep, Vec<QuarantineChange>) {
        let in_flight = now.saturating_duration_since(began_at).as_millis();
        let in_flight_ms = u16::try_from(in_flight).unwrap_or(u16::MAX);
        let mut state = self.lock();
        let known = state.upstream(upstream, now);
        if let Some(id) = known.crash_during(upstream, began_at) {
            state.add_crash(
                request,
                Crash { id, in_flight_ms },
                Source::Own,
                now,
            );
            return (NextStep::Nothing, state.update_quarantine());
        }
        if let Some(pending) = &mut known.pending
            && is_recent(pending.since, PENDING_TTL, now)
        {
            pending.requests.push((request, in_flight_ms));
            return (NextStep::Nothing, Vec::new());
        }
        let requests = vec![(request, in_flight_ms)];
        known.pending = Some(PendingAttempts { requests, since: now });
        (NextStep::Check, Vec::new())
    }

    /// Records whether an upstream at which attempts were lost still takes
    /// connections.
    pub(crate) fn record_probe(
        &self,
        upstream: ShortHash,
        listening: Listening,
        now: BootInstant,
    ) -> Vec<QuarantineChange> {
        let mut state = self.lock();
        let known = state.upstream(upstream, now);
        match listening {
            // Without pending attempts, another VM has reported this crash
            // in the meantime.
            Listening::No if known.pending.is_some() => {
                let number = known.crashes;
                state.record_crash(CrashId { upstream, number }, now);
            }
            Listening::Yes => known.pending = None,
            // Another VM may still report a crash.
            Listening::No | Listening::Unknown => {}
        }
        state.update_quarantine()
    }

    /// Records that an upstream completed a request.
    pub(crate) fn record_completed(
        &self,
        request: RequestDigest,
        now: BootInstant,
    ) -> Vec<QuarantineChange> {
        let mut state = self.lock();
        evict_oldest(&mut state.completed, MAX_COMPLETED, |at| *at);
        state.completed.insert(request, now);
        if !state.remove_suspect(request) {
            return Vec::new();
        }
        state.broadcast(request, RequestOutcome::Completed, Source::Own);
        state.update_quarantine()
    }

    /// Merges observations of other VMs, or those read from the store. A
    /// snapshot holds quarantined requests only.
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
                    state.record_crash(crash.id, now);
                    state.add_crash(*request, *crash, source, now);
                    if source == Source::Snapshot {
                        state.retain_quarantined(*request);
                    }
                }
                RequestOutcome::Completed => {
                    if state.remove_suspect(*request) {
                        state.broadcast(
                            *request,
                            RequestOutcome::Completed,
                            source,
                        );
                    }
                }
            }
        }
        state.update_quarantine()
    }

    /// Returns the observations for the next heartbeat to `audience`, those
    /// of the requests with the most crashes first.
    pub(crate) fn next_broadcasts(
        &self,
        audience: Audience,
    ) -> Vec<RequestObservation> {
        let mut state = self.lock();
        let State { broadcast_queue, suspects, .. } = &mut *state;
        broadcast_queue.take(audience, |observation| {
            suspects.get(&observation.request).map_or(0, |s| s.crashes.len())
        })
    }

    /// Returns the crashes under all quarantined requests, for a VM that asks
    /// for everything that is known.
    pub(crate) fn quarantine_observations(&self) -> Vec<RequestObservation> {
        let quarantined = self.quarantined().into_iter();
        quarantined
            .flat_map(|(request, crashes)| {
                RequestObservation::of_crashes(request, crashes)
            })
            .collect()
    }

    /// Drops expired entries.
    pub(crate) fn expire(&self, now: BootInstant) -> Vec<QuarantineChange> {
        let mut state = self.lock();
        state
            .upstreams
            .retain(|_, known| is_recent(known.updated_at, CRASH_TTL, now));
        state.completed.retain(|_, at| is_recent(*at, COMPLETED_TTL, now));
        let suspects = state.suspects.iter();
        let expired = suspects.filter(|(_, suspect)| {
            !is_recent(suspect.updated_at, CRASH_TTL, now)
        });
        let expired: Vec<RequestDigest> =
            expired.map(|(request, _)| *request).collect();
        for request in expired {
            state.remove_suspect(request);
        }
        state.update_quarantine()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("crash tracker lock")
    }
}

impl State {
    fn crashes(&self, request: RequestDigest) -> Vec<Crash> {
        let suspect = self.suspects.get(&request);
        let crashes = suspect.into_iter().flat_map(|suspect| &suspect.crashes);
        crashes.map(|(id, ms)| Crash { id: *id, in_flight_ms: *ms }).collect()
    }

    /// Whether unexpired crashes under a request are known.
    fn is_suspect(&self, request: RequestDigest, now: BootInstant) -> bool {
        self.suspects.get(&request).is_some_and(|suspect| {
            is_recent(suspect.updated_at, CRASH_TTL, now)
        })
    }

    /// Returns the state of an incarnation of an upstream, created if needed.
    fn upstream(
        &mut self,
        upstream: ShortHash,
        now: BootInstant,
    ) -> &mut UpstreamState {
        if !self.upstreams.contains_key(&upstream) {
            evict_oldest(&mut self.upstreams, MAX_UPSTREAMS, |known| {
                known.updated_at
            });
        }
        let known = self.upstreams.entry(upstream);
        let known = known.or_insert_with(|| UpstreamState::new(now));
        known.updated_at = now;
        known
    }

    /// Records a crash, unless it is known, and adds it to the requests of
    /// this VM whose attempts are pending there.
    fn record_crash(&mut self, id: CrashId, now: BootInstant) {
        let known = self.upstream(id.upstream, now);
        if id.number < known.crashes {
            return;
        }
        known.crashes = id.number.saturating_add(1);
        known.crashed_at = Some(now);
        let Some(pending) = known.pending.take() else { return };
        if !is_recent(pending.since, PENDING_TTL, now) {
            return;
        }
        for (request, in_flight_ms) in pending.requests {
            self.add_crash(
                request,
                Crash { id, in_flight_ms },
                Source::Own,
                now,
            );
        }
    }

    /// Adds a crash to those under a request, unless an upstream completed
    /// the request lately.
    fn add_crash(
        &mut self,
        request: RequestDigest,
        crash: Crash,
        source: Source,
        now: BootInstant,
    ) {
        let completed_at = self.completed.get(&request);
        if completed_at.is_some_and(|at| is_recent(*at, COMPLETED_TTL, now)) {
            // VMs that have not had this request yet would suspect it.
            self.broadcast(request, RequestOutcome::Completed, Source::Own);
            return;
        }
        if !self.is_suspect(request, now) {
            self.remove_suspect(request);
            self.evict_least_suspect();
        }
        let suspect = self.suspects.entry(request);
        let suspect = suspect.or_insert_with(|| Suspect {
            crashes: Crashes::new(),
            updated_at: now,
        });
        let crashes = &mut suspect.crashes;
        if crashes.len() >= MAX_CRASHES_PER_REQUEST
            || crashes.contains_key(&crash.id)
        {
            return;
        }
        crashes.insert(crash.id, crash.in_flight_ms);
        suspect.updated_at = now;
        self.broadcast(request, RequestOutcome::Crashed(crash), source);
    }

    fn broadcast(
        &mut self,
        request: RequestDigest,
        outcome: RequestOutcome,
        source: Source,
    ) {
        self.broadcast_queue
            .add(RequestObservation { request, outcome }, source);
    }

    /// Keeps a suspect in the quarantine that another VM has put it in: the
    /// crashes do not tell which of several culprits was found first.
    fn retain_quarantined(&mut self, request: RequestDigest) {
        let suspect = self.suspects.get(&request);
        if suspect.is_some_and(|s| s.crashes.len() >= attribution::MIN_CRASHES)
        {
            self.retained.insert(request);
        }
    }

    /// Removes a request from the suspects; returns whether it was one.
    fn remove_suspect(&mut self, request: RequestDigest) -> bool {
        self.retained.remove(&request);
        self.suspects.remove(&request).is_some()
    }

    /// Evicts the suspect with the fewest crashes if [`MAX_SUSPECTS`] are
    /// known.
    fn evict_least_suspect(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, suspect)| {
            (suspect.crashes.len(), suspect.updated_at)
        });
        if let Some(request) = least.map(|(request, _)| *request) {
            self.remove_suspect(request);
        }
    }

    /// Recomputes the quarantine and returns what changed.
    fn update_quarantine(&mut self) -> Vec<QuarantineChange> {
        let suspects = self.suspects.iter();
        let crashes =
            suspects.map(|(request, suspect)| (*request, &suspect.crashes));
        let culprits = attribution::culprits(crashes, &self.retained);
        let released = self.quarantined.difference(&culprits);
        let mut changes: Vec<QuarantineChange> = released
            .map(|request| QuarantineChange::Released(*request))
            .collect();
        let added = culprits.difference(&self.quarantined).map(|request| {
            QuarantineChange::Added {
                request: *request,
                crashes: self
                    .suspects
                    .get(request)
                    .map_or(0, |s| s.crashes.len()),
            }
        });
        changes.extend(added);
        self.retained.clone_from(&culprits);
        self.quarantined = culprits;
        changes
    }
}

/// Whether less than `limit` has passed since `at`.
///
/// Every decision checks this and does not rely on [`CrashTracker::expire`],
/// which has not run yet right after a suspended VM is resumed.
fn is_recent(at: BootInstant, limit: Duration, now: BootInstant) -> bool {
    now.saturating_duration_since(at) < limit
}

/// Removes the oldest entry if the map has `max` entries already.
fn evict_oldest<K: Copy + Eq + Hash, V>(
    map: &mut HashMap<K, V>,
    max: usize,
    at: impl Fn(&V) -> BootInstant,
) {
    if map.len() < max {
        return;
    }
    let oldest = map.iter().min_by_key(|(_, value)| at(value));
    if let Some(key) = oldest.map(|(key, _)| *key) {
        map.remove(&key);
    }
}

#[cfg(test)]
mod tests;

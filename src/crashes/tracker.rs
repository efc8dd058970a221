//! The subjects under which upstreams have crashed, as this VM knows them from
//! its own attempts and from the reports of other VMs.
//!
//! A lost attempt alone proves nothing. Once its upstream is known to have
//! crashed, every request that was in flight there and every shared segment of
//! its prompt becomes a suspect, and a subject that explains enough crashes is
//! quarantined (see [`attribution`](crate::crashes::attribution)). Crashes
//! before an upstream completed the subject do not count.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use crate::{
    clock::BootInstant,
    crashes::{
        attribution::{self, Evidence},
        broadcast_queue::{
            Audience, BroadcastQueue, ObservationClass, Source,
        },
        observation::{Crash, CrashId, SubjectObservation, SubjectOutcome},
        subject::{SegmentGroup, Subject, SubjectKind},
        suspect::{
            AddedCrash, COMPLETED_TTL, COMPLETION_REPORT_INTERVAL, Completion,
            Suspect, is_recent,
        },
    },
    http_client::Listening,
    message::ShortHash,
    rendezvous,
};

/// Time for which a subject stays a suspect after the last crash that this VM
/// learned of: long enough that a request sent once a minute is recognized,
/// and short enough that a caller who corrects what it sends is not rejected
/// for ever.
pub(crate) const CRASH_TTL: Duration = Duration::from_secs(600);

/// Time for which a lost attempt is kept until it is known whether its
/// upstream crashed.
const PENDING_TTL: Duration = Duration::from_secs(10);

/// Maximum number of suspects. An engine runs at most some sixty requests with
/// a few segments each, so they cover some twenty crashes; beyond that the
/// least suspect one is evicted, a request before a segment.
const MAX_SUSPECTS: usize = 4096;

/// Maximum number of completed subjects kept: those of one minute on one VM.
const MAX_COMPLETED: usize = 4096;

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

/// A change of the set of quarantined subjects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineChange {
    /// The subject crashes upstreams and is quarantined from now on.
    Added {
        /// The subject.
        subject: Subject,
        /// Crashes of upstreams that were running it.
        crashes: usize,
    },
    /// The subject is no longer quarantined.
    Released(Subject),
}

/// Attempts lost at an upstream that may or may not have crashed.
#[derive(Debug)]
struct PendingAttempts {
    subjects: Vec<(Subject, u16)>,
    since: BootInstant,
}

/// One incarnation of an upstream at which attempts were lost.
#[derive(Debug)]
struct UpstreamState {
    /// Number of its known crashes, and when a VM first learned of the last
    /// one.
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

#[derive(Debug, Default)]
struct State {
    upstreams: HashMap<ShortHash, UpstreamState>,
    suspects: HashMap<Subject, Suspect>,
    completed: HashMap<Subject, Completion>,
    /// The last known completion of any segment of each group. While no
    /// segment of an organisation completes, that one of its segments does
    /// not says little against it.
    group_completed_at: HashMap<SegmentGroup, BootInstant>,
    broadcast_queue: BroadcastQueue,
    quarantined: BTreeSet<Subject>,
    /// The subjects that were quarantined by the last update, or by another
    /// VM, and have remained suspects since. A single crash that no other
    /// subject explains keeps them in quarantine, see
    /// [`attribution::culprits`].
    retained: BTreeSet<Subject>,
}

/// The crashes that one VM knows of, and the subjects that it quarantines.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    /// The VM, which makes trials at another time than others.
    vm: ShortHash,
    state: Mutex<State>,
}

impl CrashTracker {
    /// Creates the tracker of a VM, which knows of no crashes.
    pub(crate) fn new(vm: ShortHash) -> CrashTracker {
        CrashTracker { vm, state: Mutex::default() }
    }

    /// Whether any subject is quarantined.
    pub(crate) fn has_quarantined(&self) -> bool {
        !self.lock().quarantined.is_empty()
    }

    /// Returns the first of these subjects that is quarantined.
    pub(crate) fn first_quarantined(
        &self,
        subjects: &[Subject],
        now: BootInstant,
    ) -> Option<Subject> {
        let state = self.lock();
        let is_quarantined = |subject: &Subject| {
            state.quarantined.contains(subject)
                && state.is_suspect(*subject, now)
        };
        subjects.iter().copied().find(is_quarantined)
    }

    /// Decides whether a request with these subjects may be sent to an
    /// upstream.
    ///
    /// # Errors
    ///
    /// The quarantined subject because of which it may not.
    pub(crate) fn admit(
        &self,
        subjects: &[Subject],
        now: BootInstant,
    ) -> Result<(), Subject> {
        let Some(first) = self.first_quarantined(subjects, now) else {
            return Ok(());
        };
        let mut state = self.lock();
        let quarantined =
            subjects.iter().filter(|s| state.quarantined.contains(s));
        let is_due = |subject: &Subject| {
            subject.kind() == SubjectKind::Segment
                && state.suspects.get(subject).is_some_and(|suspect| {
                    suspect.is_trial_due(self.trial_spread(*subject), now)
                })
        };
        if !quarantined.clone().all(is_due) {
            return Err(first);
        }
        let tried: Vec<Subject> = quarantined.copied().collect();
        for subject in tried {
            if let Some(suspect) = state.suspects.get_mut(&subject) {
                suspect.trial_at = Some(now);
            }
        }
        Ok(())
    }

    /// Returns a factor from 1 to 2, different for each VM, so that the VM
    /// whose trial is the first can report its outcome to the others.
    fn trial_spread(&self, subject: Subject) -> f64 {
        let mixed = rendezvous::mix(subject.0, u64::from(self.vm.0));
        1.0 + mixed as f64 / u64::MAX as f64
    }

    /// Returns the quarantined subjects, with the crashes under each.
    pub(crate) fn quarantined(&self) -> Vec<(Subject, Vec<Crash>)> {
        let state = self.lock();
        let quarantined = state.quarantined.iter();
        quarantined
            .map(|subject| (*subject, state.crashes(*subject)))
            .collect()
    }

    /// Records that an attempt at a request with these subjects, which began
    /// at `began_at`, was lost.
    pub(crate) fn record_lost_attempt(
        &self,
        subjects: &[Subject],
        upstream: ShortHash,
        began_at: BootInstant,
        now: BootInstant,
    ) -> (NextStep, Vec<QuarantineChange>) {
        let in_flight = now.saturating_duration_since(began_at).as_millis();
        let in_flight_ms = u16::try_from(in_flight).unwrap_or(u16::MAX);
        let lost = subjects.iter().map(|subject| (*subject, in_flight_ms));
        let mut state = self.lock();
        let known = state.upstream(upstream, now);
        if let Some(id) = known.crash_during(upstream, began_at) {
            for (subject, in_flight_ms) in lost {
                let crash = Crash { id, in_flight_ms };
                state.add_crash(subject, crash, Source::Own, now);
            }
            return (NextStep::Nothing, state.update_quarantine());
        }
        if let Some(pending) = &mut known.pending
            && is_recent(pending.since, PENDING_TTL, now)
        {
            pending.subjects.extend(lost);
            return (NextStep::Nothing, Vec::new());
        }
        let subjects = lost.collect();
        known.pending = Some(PendingAttempts { subjects, since: now });
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
                state.record_crash(CrashId { upstream, number }, now, now);
            }
            Listening::Yes => known.pending = None,
            // Another VM may still report a crash.
            Listening::No | Listening::Unknown => {}
        }
        state.update_quarantine()
    }

    /// Records that an upstream completed a request with these subjects.
    /// Returns what changed, or `None` if other VMs need not know of it.
    pub(crate) fn record_completed(
        &self,
        subjects: &[Subject],
        now: BootInstant,
    ) -> Option<Vec<QuarantineChange>> {
        let mut state = self.lock();
        let mut has_cleared = false;
        for subject in subjects {
            if state.record_completion(*subject, now) {
                state.report_completion(*subject, Source::Own, now);
                has_cleared = true;
            }
        }
        has_cleared.then(|| state.update_quarantine())
    }

    /// Merges observations of other VMs, or those read from the store. A
    /// snapshot holds quarantined subjects only.
    pub(crate) fn merge_observations(
        &self,
        observations: &[SubjectObservation],
        source: Source,
        now: BootInstant,
    ) -> Vec<QuarantineChange> {
        if observations.is_empty() {
            return Vec::new();
        }
        let mut state = self.lock();
        for SubjectObservation { subject, outcome, age_ms } in observations {
            let age = Duration::from_millis(u64::from(*age_ms));
            // What happened before this VM's clock began is too old to matter.
            let Some(at) = now.checked_sub(age) else { continue };
            match outcome {
                SubjectOutcome::Crashed(crash) => {
                    state.record_crash(crash.id, at, now);
                    state.add_crash(*subject, *crash, source, now);
                    if source == Source::Snapshot {
                        state.retain_quarantined(*subject);
                    }
                }
                SubjectOutcome::Completed => {
                    state.merge_completion(*subject, at, source, now);
                }
            }
        }
        state.update_quarantine()
    }

    /// Returns the observations for the next heartbeat to `audience`, those
    /// of the subjects with the most crashes first in each class.
    pub(crate) fn next_broadcasts(
        &self,
        audience: Audience,
        now: BootInstant,
    ) -> Vec<SubjectObservation> {
        let mut state = self.lock();
        let State { broadcast_queue, suspects, completed, .. } = &mut *state;
        broadcast_queue.take(audience, now, |observation| {
            let subject = &observation.subject;
            let class = match observation.outcome {
                SubjectOutcome::Completed => ObservationClass::Completion,
                SubjectOutcome::Crashed(_)
                    if completed.contains_key(subject) =>
                {
                    ObservationClass::CrashOfCompleted
                }
                SubjectOutcome::Crashed(_) => ObservationClass::Crash,
            };
            let crashes = suspects.get(subject).map_or(0, |s| s.crashes.len());
            (class, crashes)
        })
    }

    /// Returns the crashes under all quarantined subjects, for a VM that asks
    /// for everything that is known.
    pub(crate) fn quarantine_observations(
        &self,
        now: BootInstant,
    ) -> Vec<SubjectObservation> {
        let state = self.lock();
        let quarantined = state.quarantined.iter();
        quarantined
            .flat_map(|subject| state.crash_observations(*subject, now))
            .collect()
    }

    /// Drops expired entries.
    pub(crate) fn expire(&self, now: BootInstant) -> Vec<QuarantineChange> {
        let mut state = self.lock();
        state
            .upstreams
            .retain(|_, known| is_recent(known.updated_at, CRASH_TTL, now));
        state
            .completed
            .retain(|_, known| is_recent(known.at, COMPLETED_TTL, now));
        // As long as a suspect may be compared with it.
        let compared_ttl = CRASH_TTL + COMPLETED_TTL;
        state
            .group_completed_at
            .retain(|_, at| is_recent(*at, compared_ttl, now));
        let suspects = state.suspects.iter();
        let expired = suspects.filter(|(_, suspect)| {
            !is_recent(suspect.updated_at, CRASH_TTL, now)
        });
        let expired: Vec<Subject> =
            expired.map(|(subject, _)| *subject).collect();
        for subject in expired {
            state.remove_suspect(subject);
        }
        state.update_quarantine()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("crash tracker lock")
    }
}

impl State {
    fn crashes(&self, subject: Subject) -> Vec<Crash> {
        let suspect = self.suspects.get(&subject);
        let crashes = suspect.into_iter().flat_map(|suspect| &suspect.crashes);
        crashes
            .map(|(id, crash)| Crash {
                id: *id,
                in_flight_ms: crash.in_flight_ms,
            })
            .collect()
    }

    /// Returns one observation for each crash under a subject.
    fn crash_observations(
        &self,
        subject: Subject,
        now: BootInstant,
    ) -> Vec<SubjectObservation> {
        let suspect = self.suspects.get(&subject);
        let crashes = suspect.into_iter().flat_map(|suspect| &suspect.crashes);
        crashes
            .map(|(id, crash)| {
                let in_flight_ms = crash.in_flight_ms;
                let crashed = Crash { id: *id, in_flight_ms };
                let observation = SubjectObservation {
                    subject,
                    outcome: SubjectOutcome::Crashed(crashed),
                    age_ms: 0,
                };
                let age = now.saturating_duration_since(crash.learned_at);
                observation.after(age)
            })
            .collect()
    }

    /// Whether unexpired crashes under a subject are known.
    fn is_suspect(&self, subject: Subject, now: BootInstant) -> bool {
        self.suspects.get(&subject).is_some_and(|suspect| {
            is_recent(suspect.updated_at, CRASH_TTL, now)
        })
    }

    /// Returns the last completion of a subject, unless it was long ago.
    fn completion(
        &self,
        subject: Subject,
        now: BootInstant,
    ) -> Option<Completion> {
        let known = self.completed.get(&subject).copied();
        known.filter(|known| is_recent(known.at, COMPLETED_TTL, now))
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

    /// Records a crash that some VM learned of at `at`, unless it is known,
    /// and adds it to the subjects of this VM's attempts that are pending
    /// there.
    fn record_crash(
        &mut self,
        id: CrashId,
        at: BootInstant,
        now: BootInstant,
    ) {
        let known = self.upstream(id.upstream, now);
        if id.number < known.crashes {
            return;
        }
        known.crashes = id.number.saturating_add(1);
        known.crashed_at = Some(at);
        let Some(pending) = known.pending.take() else { return };
        if !is_recent(pending.since, PENDING_TTL, now) {
            return;
        }
        for (subject, in_flight_ms) in pending.subjects {
            let crash = Crash { id, in_flight_ms };
            self.add_crash(subject, crash, Source::Own, now);
        }
    }

    /// Returns when the first VM learned of a crash that is recorded.
    fn crash_time(&mut self, id: CrashId, now: BootInstant) -> BootInstant {
        self.upstream(id.upstream, now).crashed_at.unwrap_or(now)
    }

    /// Adds a recorded crash to those under a subject, unless an upstream has
    /// completed the subject since.
    fn add_crash(
        &mut self,
        subject: Subject,
        crash: Crash,
        source: Source,
        now: BootInstant,
    ) {
        let learned_at = self.crash_time(crash.id, now);
        let completion = self.completion(subject, now);
        if let Some(completion) = completion {
            if completion.must_report(learned_at, now) {
                self.report_completion(subject, Source::Own, now);
            }
            if completion.is_after(learned_at) {
                return;
            }
        }
        if !self.is_suspect(subject, now) {
            self.remove_suspect(subject);
            self.evict_least_suspect();
        }
        let suspect = self.suspects.entry(subject);
        let suspect = suspect
            .or_insert_with(|| Suspect::new(learned_at, completion.is_some()));
        let is_quarantined = self.quarantined.contains(&subject);
        match suspect.add(crash, learned_at) {
            AddedCrash::Known => {}
            AddedCrash::Late if is_quarantined => {
                self.report_crashes(subject, now);
            }
            AddedCrash::New | AddedCrash::Late => {
                let outcome = SubjectOutcome::Crashed(crash);
                self.broadcast(subject, outcome, learned_at, source, now);
            }
        }
    }

    /// Reports all crashes under a quarantined subject again: a VM that did
    /// not know of them has sent it to an upstream.
    fn report_crashes(&mut self, subject: Subject, now: BootInstant) {
        for observation in self.crash_observations(subject, now) {
            self.broadcast_queue.add(observation, Source::Own, now);
        }
    }

    fn broadcast(
        &mut self,
        subject: Subject,
        outcome: SubjectOutcome,
        at: BootInstant,
        source: Source,
        now: BootInstant,
    ) {
        let observation = SubjectObservation { subject, outcome, age_ms: 0 };
        let age = now.saturating_duration_since(at);
        self.broadcast_queue.add(observation.after(age), source, now);
    }

    /// Records that an upstream completed a subject; returns whether that
    /// clears it of crashes.
    fn record_completion(
        &mut self,
        subject: Subject,
        at: BootInstant,
    ) -> bool {
        if !self.completed.contains_key(&subject) {
            evict_oldest(&mut self.completed, MAX_COMPLETED, |known| known.at);
        }
        let known = self.completed.entry(subject);
        let known = known.or_insert(Completion { at, reported: None });
        known.at = known.at.max(at);
        if let Some(group) = subject.segment_group() {
            let last = self.group_completed_at.entry(group).or_insert(at);
            *last = (*last).max(at);
        }
        let Some(suspect) = self.suspects.get_mut(&subject) else {
            return false;
        };
        let has_cleared = suspect.clear_until(at);
        if suspect.crashes.is_empty() {
            self.remove_suspect(subject);
        }
        has_cleared
    }

    /// Merges a completion that another VM reports.
    fn merge_completion(
        &mut self,
        subject: Subject,
        at: BootInstant,
        source: Source,
        now: BootInstant,
    ) {
        let before = self.completion(subject, now);
        let reported = before.and_then(|known| known.reported);
        let is_first = reported.is_none_or(|reported| {
            !is_recent(reported, COMPLETION_REPORT_INTERVAL, now)
        });
        let has_cleared = self.record_completion(subject, at);
        if has_cleared || is_first {
            self.report_completion(subject, source, now);
        }
    }

    /// Reports the last completion of a subject to other VMs.
    fn report_completion(
        &mut self,
        subject: Subject,
        source: Source,
        now: BootInstant,
    ) {
        let Some(known) = self.completed.get_mut(&subject) else { return };
        let at = known.at;
        known.reported = Some(at);
        self.broadcast(subject, SubjectOutcome::Completed, at, source, now);
    }

    /// Keeps a suspect in the quarantine that another VM has put it in: the
    /// crashes do not tell which of several culprits was found first.
    fn retain_quarantined(&mut self, subject: Subject) {
        let suspect = self.suspects.get(&subject);
        if suspect.is_some_and(|s| s.crashes.len() >= attribution::MIN_CRASHES)
        {
            self.retained.insert(subject);
        }
    }

    /// Removes a subject from the suspects.
    fn remove_suspect(&mut self, subject: Subject) {
        self.retained.remove(&subject);
        self.suspects.remove(&subject);
    }

    /// Evicts the suspect with the fewest crashes if [`MAX_SUSPECTS`] are
    /// known.
    fn evict_least_suspect(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(subject, suspect)| {
            (suspect.crashes.len(), subject.kind(), suspect.updated_at)
        });
        if let Some(subject) = least.map(|(subject, _)| *subject) {
            self.remove_suspect(subject);
        }
    }

    /// Recomputes the quarantine and returns what changed.
    fn update_quarantine(&mut self) -> Vec<QuarantineChange> {
        let last_completed_at = self.group_completed_at.values().max();
        let has_completed = |at: Option<&BootInstant>, suspect: &Suspect| {
            at.is_some_and(|at| {
                is_recent(*at, COMPLETED_TTL, suspect.updated_at)
            })
        };
        let is_relevant = |(subject, suspect): &(&Subject, &Suspect)| {
            let is_judged = subject.kind() == SubjectKind::Request
                || has_completed(last_completed_at, suspect);
            self.retained.contains(subject)
                || is_judged
                    && suspect.crashes.len() >= attribution::MIN_CRASHES
        };
        let suspects = self.suspects.iter().filter(is_relevant);
        let evidence = suspects.map(|(subject, suspect)| {
            let is_comparable = subject.segment_group().is_none_or(|group| {
                has_completed(self.group_completed_at.get(&group), suspect)
            });
            let crashes = suspect.crashes.clone();
            let was_completed = suspect.was_completed;
            (*subject, Evidence { crashes, was_completed, is_comparable })
        });
        let culprits = attribution::culprits(evidence, &self.retained);
        let released = self.quarantined.difference(&culprits);
        let mut changes: Vec<QuarantineChange> = released
            .map(|subject| QuarantineChange::Released(*subject))
            .collect();
        let added = culprits.difference(&self.quarantined).map(|subject| {
            QuarantineChange::Added {
                subject: *subject,
                crashes: self
                    .suspects
                    .get(subject)
                    .map_or(0, |s| s.crashes.len()),
            }
        });
        changes.extend(added);
        self.retained.clone_from(&culprits);
        self.quarantined = culprits;
        changes
    }
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

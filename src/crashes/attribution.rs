//! Attributes the crashes of upstreams to the subjects that caused them.
//!
//! An engine runs sixteen requests and more at once, and a crash breaks off
//! all of them. Bystanders that are retried beside the culprit see the next
//! crash as well: of 585 bystanders in the logs of an incident, 164 saw three
//! crashes and more. So a crash that is explained by a subject with more
//! crashes does not count against any other subject.
//!
//! A crashing prompt segment never comes alone: its requests share other
//! segments with sound requests, and each of those segments has at least as
//! many crashes. They are told apart by what upstreams have completed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    clock::BootInstant,
    crashes::{
        observation::CrashId,
        subject::{Subject, SubjectKind},
    },
};

/// Crashes that no other subject explains after which a subject is
/// quarantined. Operators allow three for requests and five for segments.
pub(crate) const MIN_CRASHES: usize = 3;

/// Minimum time between the first and the last crash of a segment that is
/// quarantined. Upstreams that lose power together crash at the same moment
/// under whatever runs there.
pub(crate) const MIN_SEGMENT_SPAN: Duration = Duration::from_millis(500);

/// Minimum number of crashes since an upstream last completed the subject, if
/// that was a short time ago.
pub(crate) const MIN_CRASHES_AFTER_COMPLETION: usize = 5;

/// Minimum time between the first and the last of those crashes: all upstreams
/// of a service may crash at once while they run what every caller sends.
pub(crate) const MIN_SPAN_AFTER_COMPLETION: Duration = Duration::from_secs(2);

/// Minimum number of crashes under a segment while no segment of its group
/// completes. Nothing tells such a segment from one that all requests of an
/// organisation share with a few crashing ones. Operators allow three further
/// sends after the five crashes that must quarantine a segment.
pub(crate) const MIN_CRASHES_WITHOUT_COMPARISON: usize = 8;

/// Ratio between the crashes of a segment that was completed and those of a
/// request that was not, above which the request is taken for a bystander.
const MAX_BYSTANDER_RATIO: usize = 3;

/// One crash of an upstream that was running a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Occurrence {
    /// How long the upstream had been running the subject, in milliseconds.
    pub(crate) in_flight_ms: u16,
    /// When the first VM learned of the crash.
    pub(crate) learned_at: BootInstant,
}

/// The crashes under one subject since an upstream last completed it.
pub(crate) type Crashes = BTreeMap<CrashId, Occurrence>;

/// What speaks for and against one subject.
#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    /// The crashes that nothing else explains.
    pub(crate) crashes: Crashes,
    /// Whether an upstream completed the subject a short time ago.
    pub(crate) was_completed: bool,
    /// Whether upstreams completed other subjects that it can be compared
    /// with; always true for a request.
    pub(crate) is_comparable: bool,
}

impl Evidence {
    /// Whether the subject is a culprit if nothing else explains its crashes.
    fn is_culprit(&self, kind: SubjectKind) -> bool {
        let (count, span) = match (self.was_completed, kind) {
            (true, _) => {
                (MIN_CRASHES_AFTER_COMPLETION, MIN_SPAN_AFTER_COMPLETION)
            }
            (false, SubjectKind::Request) => (MIN_CRASHES, Duration::ZERO),
            (false, SubjectKind::Segment) if !self.is_comparable => {
                (MIN_CRASHES_WITHOUT_COMPARISON, MIN_SPAN_AFTER_COMPLETION)
            }
            (false, SubjectKind::Segment) => (MIN_CRASHES, MIN_SEGMENT_SPAN),
        };
        self.crashes.len() >= count && self.span() >= span
    }

    /// Whether the subject explains crashes before those that all callers
    /// send: nothing speaks for it.
    fn comes_first(&self) -> bool {
        !self.was_completed && self.is_comparable
    }

    fn span(&self) -> Duration {
        let times = || self.crashes.values().map(|crash| crash.learned_at);
        match (times().min(), times().max()) {
            (Some(first), Some(last)) => last.saturating_duration_since(first),
            _ => Duration::ZERO,
        }
    }

    /// Orders subjects by how well they explain crashes. An upstream crashes
    /// soon after it begins to run the culprit, and whatever else all requests
    /// of the culprit share has been running for at least as long.
    fn weight(&self, kind: SubjectKind) -> impl Ord + use<> {
        let in_flight = self.crashes.values().map(|crash| crash.in_flight_ms);
        let in_flight_ms: u64 = in_flight.map(u64::from).sum();
        (self.crashes.len(), Reverse(in_flight_ms), Reverse(kind))
    }
}

/// Returns the subjects that explain the crashes: repeatedly the one that
/// explains the rest best.
///
/// A subject in `quarantined` stays a culprit while any of its crashes is not
/// explained by others. Otherwise two culprits that sometimes run on the same
/// upstream would release each other, and each release costs three more
/// upstreams.
pub(crate) fn culprits(
    evidence: impl Iterator<Item = (Subject, Evidence)>,
    quarantined: &BTreeSet<Subject>,
) -> BTreeSet<Subject> {
    let is_culprit = |subject: &Subject, evidence: &Evidence| {
        let is_unexplained = !evidence.crashes.is_empty();
        let is_retained = quarantined.contains(subject) && is_unexplained;
        is_retained || evidence.is_culprit(subject.kind())
    };
    let mut candidates: BTreeMap<Subject, Evidence> = evidence
        .filter(|(subject, evidence)| is_culprit(subject, evidence))
        .collect();
    let mut found = BTreeSet::new();
    while let Some(subject) = best_explanation(&candidates) {
        let Some(best) = candidates.remove(&subject) else { break };
        found.insert(subject);
        candidates.retain(|subject, evidence| {
            evidence
                .crashes
                .retain(|crash, _| !best.crashes.contains_key(crash));
            is_culprit(subject, evidence)
        });
    }
    found
}

/// Returns the subject that explains the crashes best.
///
/// A segment that all callers send has the crashes of all culprits together,
/// so segments that were completed, or that nothing can be compared with, come
/// after the others. A request that was not completed may still be a bystander
/// of such a segment.
fn best_explanation(
    candidates: &BTreeMap<Subject, Evidence>,
) -> Option<Subject> {
    let best = |comes_first: bool| {
        let of_group = candidates
            .iter()
            .filter(|(_, evidence)| evidence.comes_first() == comes_first);
        of_group
            .max_by_key(|(subject, evidence)| evidence.weight(subject.kind()))
    };
    let (new, known) = match (best(true), best(false)) {
        (Some(new), Some(known)) => (new, known),
        (new, known) => return new.or(known).map(|(subject, _)| *subject),
    };
    let has_new_segment = candidates.iter().any(|(subject, evidence)| {
        evidence.comes_first() && subject.kind() == SubjectKind::Segment
    });
    let is_bystander =
        new.1.crashes.len() * MAX_BYSTANDER_RATIO < known.1.crashes.len();
    match is_bystander && !has_new_segment {
        true => Some(*known.0),
        false => Some(*new.0),
    }
}

#[cfg(test)]
mod tests;

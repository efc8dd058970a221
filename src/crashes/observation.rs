//! What VMs report to each other about subjects and the crashes of upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{crashes::subject::Subject, message::ShortHash};

/// Identifies one crash of an upstream.
///
/// It names an incarnation of the upstream, so that a crash counts once,
/// whichever VMs report it and however often. While the store is unavailable,
/// an upstream may restart and crash again before any VM learns of its new
/// incarnation; `number` distinguishes such crashes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct CrashId {
    /// The incarnation of the upstream.
    pub upstream: ShortHash,
    /// How many crashes of that incarnation were known before this one.
    pub number: u8,
}

/// A crash of an upstream while it was running a subject.
///
/// Also stored as JSON in the platform's store, under the names given here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Which crash it was.
    #[serde(rename = "end")]
    pub id: CrashId,
    /// How long the upstream had been running the subject, in milliseconds.
    #[serde(rename = "had_ms")]
    pub in_flight_ms: u16,
}

/// How an attempt at a request ended for one of its subjects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubjectOutcome {
    /// The upstream crashed while running the subject.
    Crashed(Crash),
    /// The upstream ran the request to a successful end.
    Completed,
}

/// An outcome for one subject, as one VM reports it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectObservation {
    /// The subject.
    pub subject: Subject,
    /// The outcome.
    pub outcome: SubjectOutcome,
    /// Time since the sender's side learned of it, in milliseconds.
    pub age_ms: u32,
}

impl SubjectObservation {
    /// Returns one observation for each crash under a subject, as of now.
    pub(crate) fn of_crashes(
        subject: Subject,
        crashes: Vec<Crash>,
    ) -> impl Iterator<Item = SubjectObservation> {
        let crashes = crashes.into_iter();
        crashes.map(move |crash| SubjectObservation {
            subject,
            outcome: SubjectOutcome::Crashed(crash),
            age_ms: 0,
        })
    }

    /// Returns the observation after a further time.
    pub(crate) fn after(self, time: Duration) -> SubjectObservation {
        let age = Duration::from_millis(self.age_ms.into()) + time;
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        SubjectObservation { age_ms, ..self }
    }

    /// Whether both are about the same crash, or both about a completion of
    /// the same subject, so that the later one replaces the earlier.
    pub(crate) fn replaces(&self, earlier: &SubjectObservation) -> bool {
        let is_same_event = match (self.outcome, earlier.outcome) {
            (SubjectOutcome::Crashed(own), SubjectOutcome::Crashed(other)) => {
                own.id == other.id
            }
            (SubjectOutcome::Completed, SubjectOutcome::Completed) => true,
            _ => false,
        };
        self.subject == earlier.subject && is_same_event
    }
}

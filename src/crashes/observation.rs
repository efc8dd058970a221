//! What VMs report to each other about requests and the crashes of upstreams.

use serde::{Deserialize, Serialize};

use crate::{crashes::digest::RequestDigest, message::ShortHash};

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

/// A crash of an upstream while it was running a request.
///
/// Also stored as JSON in the platform's store, under the names given here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Which crash it was.
    #[serde(rename = "end")]
    pub id: CrashId,
    /// How long the upstream had been running the request, in milliseconds.
    #[serde(rename = "had_ms")]
    pub in_flight_ms: u16,
}

/// How an attempt at a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The upstream crashed while running the request.
    Crashed(Crash),
    /// The upstream ran the request to its end.
    Completed,
}

/// The outcome of one attempt at a request, as one VM reports it to the
/// others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestObservation {
    /// The request.
    pub request: RequestDigest,
    /// How an attempt at it ended.
    pub outcome: RequestOutcome,
}

impl RequestObservation {
    /// Returns one observation for each crash under a request.
    pub(crate) fn of_crashes(
        request: RequestDigest,
        crashes: Vec<Crash>,
    ) -> impl Iterator<Item = RequestObservation> {
        let crashes = crashes.into_iter();
        crashes.map(move |crash| RequestObservation {
            request,
            outcome: RequestOutcome::Crashed(crash),
        })
    }
}

//! What one VM tells the others of requests and of upstreams that ended.

use serde::{Deserialize, Serialize};

use crate::{crashes::digest::RequestDigest, message::ShortHash};

/// One end of an upstream.
///
/// It is of one life, so that one end counts once, whoever tells of it and
/// however often. Where the store is away, an upstream may start and end again
/// before anybody hears of its new life; the number tells such ends apart.
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
pub struct End {
    /// The life of the upstream.
    pub upstream: ShortHash,
    /// How many ends of that life were known before.
    pub number: u8,
}

/// An upstream that ended while it had a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Its end.
    pub end: End,
    /// How long it had the request by then, in milliseconds.
    pub had_ms: u16,
}

/// What was seen of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// An upstream ended while it had the request.
    Crashed(Crash),
    /// An upstream ran it to its end.
    Completed,
}

/// What one VM tells the others of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestObservation {
    /// The request.
    pub request: RequestDigest,
    /// What was seen of it.
    pub outcome: RequestOutcome,
}

impl RequestObservation {
    /// The sightings of upstreams that ended while they had a request.
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

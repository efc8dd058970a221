//! What one VM tells the others of requests and of upstreams that ended.

use serde::{Deserialize, Serialize};

use crate::{crashes::digest::RequestDigest, message::ShortHash};

/// An upstream that ended while it had a request.
///
/// The upstream stands for one life of it, so that one end counts once,
/// whoever tells of it and however often.
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
pub struct Crash {
    /// The life of the upstream.
    pub upstream: ShortHash,
    /// How long it had the request when it ended, in milliseconds.
    pub had_ms: u16,
}

/// What was seen of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen {
    /// An upstream ended while it had the request.
    Crashed(Crash),
    /// An upstream ran it to its end.
    RanWhole,
}

/// What one VM tells the others of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The request.
    pub request: RequestDigest,
    /// What was seen of it.
    pub seen: Seen,
}

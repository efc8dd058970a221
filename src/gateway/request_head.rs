//! The head of a caller's request and of the attempts that forward it,
//! independent of the headers that carry them.

use std::time::Duration;

use hyper::{HeaderMap, Method};

use crate::id::{ModelId, OrganisationId, UpstreamId};

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The id that the caller gave to this attempt of its request.
    pub id: String,
    /// The HTTP method.
    pub method: Method,
    /// The value of the `Host` header.
    pub host: String,
    /// The path, with the query.
    pub path: String,
    /// The API key, which identifies the organisation of the caller.
    pub key: Option<String>,
    /// The time until the deadline of the caller, as of when it sent the
    /// request; `None` if it states none.
    pub time_left: Option<Duration>,
    /// The model that the caller asks for; `None` if the request is not for
    /// a model.
    pub model: Option<RequestedModel>,
    /// The length of the prompt in tokens; `None` if it is not stated.
    pub prompt_tokens: Option<u64>,
    /// The most tokens that may be generated; `None` if it is not stated.
    pub max_output_tokens: Option<u64>,
    /// The caller's estimate of the tokens that are generated, accurate at
    /// the median but often far off; `None` if it states none.
    pub output_tokens_hint: Option<u64>,
    /// The segments of the prompt in order; the last one belongs to this
    /// request alone.
    pub prompt: Vec<PromptSegment>,
    /// The id of the last event that the caller has received of a stream that
    /// it resumes.
    pub last_event: Option<u64>,
    /// The session that the request belongs to.
    pub session: Option<String>,
    /// The headers that are forwarded unchanged.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Returns the number of tokens that are expected to be generated, zero if
    /// the caller states neither an estimate nor a limit.
    pub fn expected_output_tokens(&self) -> u64 {
        let limit = self.max_output_tokens;
        let hint = self.output_tokens_hint.or(limit).unwrap_or(0);
        limit.map_or(hint, |limit| hint.min(limit))
    }

    /// Returns the path without the query.
    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or("/")
    }

    /// Returns the segments of the prompt that other requests may share: all
    /// but the last.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.prompt.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// The model that a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedModel {
    /// The router chooses the model.
    Any,
    /// The model with this name.
    Named(String),
}

/// A segment of a prompt. Requests whose first segments are equal share a
/// prefix that an engine can cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the text of the segment.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u64,
}

/// What the router adds to the head of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHead<'a> {
    /// The time left until the deadline.
    pub time_left: Duration,
    /// The only upstream incarnation that may execute the request.
    pub upstream: &'a UpstreamId,
    /// The organisation of the caller; `None` if the route needs no key.
    pub organisation: Option<&'a OrganisationId>,
    /// The model chosen by the router; `None` if the caller named one.
    pub model: Option<&'a ModelId>,
    /// The id of the last event that the caller has; `None` for a new stream.
    pub resume_after: Option<u64>,
    /// The priority at the upstream, from 0 (most urgent) to 9.
    pub priority: Option<u8>,
}

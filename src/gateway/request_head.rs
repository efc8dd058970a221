//! A caller's request, as every face of the router hands it to the core.

use std::time::Duration;

use hyper::{HeaderMap, Method};

use crate::id::{ModelId, OrganisationId, UpstreamId};

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The id that the caller gave this try of its request.
    pub id: String,
    /// The method.
    pub method: Method,
    /// The host that the caller names.
    pub host: String,
    /// The path with its query.
    pub path: String,
    /// The key that says which organisation is asking.
    pub key: Option<String>,
    /// How long the caller waits, counted from when it sent the request.
    pub time_left: Option<Duration>,
    /// The model that the caller wants, if the request is for a model.
    pub model: Option<RequestedModel>,
    /// The tokens of the prompt, if the request is for a model.
    pub prompt_tokens: Option<u64>,
    /// The parts of the prompt in order; the last is the request's own.
    pub prompt: Vec<PromptSegment>,
    /// The last event that the caller has of a stream it takes up again.
    pub last_event: Option<u64>,
    /// The session that the request belongs to.
    pub session: Option<String>,
    /// The headers that go on to an upstream unchanged.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// The path without its query.
    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or("/")
    }
}

/// Which model a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedModel {
    /// The router chooses.
    Any,
    /// This one.
    Named(String),
}

/// A part of a prompt; requests with the same first parts share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// What identifies its text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What the router states at the head of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHead<'a> {
    /// The time that is left for the answer.
    pub time_left: Duration,
    /// The only upstream, in its present life, that may run the request.
    pub upstream: &'a UpstreamId,
    /// The organisation that is asking, unless the route needs none.
    pub organisation: Option<&'a OrganisationId>,
    /// The model chosen, where the caller left the choice.
    pub model: Option<&'a ModelId>,
    /// The last event that the caller has already.
    pub resume_after: Option<u64>,
    /// How urgent it is at the upstream, 0 (first) to 9.
    pub priority: Option<u8>,
}

//! Decision records: how a request was routed or rejected, and why.
//!
//! A record lists the candidates and why each was excluded, the attempts, the
//! configuration revision and the age of the data that the selection was
//! based on. It is available as JSON or as text.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    sync::Mutex,
};

use serde::{Deserialize, Serialize};

use crate::{
    api::template::Priority,
    error::{ErrorKind, Run},
    id::{
        ModelId, OrganisationId, RequestId, Revision, ServiceId, UpstreamId,
        VersionId,
    },
    unit::MicroCost,
};

/// The kind of a request and what it asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestTarget {
    /// A chat completion by the named model, or by any that the template
    /// allows.
    Chat {
        /// The requested model; `None` for any allowed model.
        model: Option<ModelId>,
        /// The task named by the caller, or the default task.
        task: String,
        /// Whether the caller asked for a streamed answer.
        stream: bool,
    },
    /// A call of a plain service.
    Service {
        /// The service that is called.
        service: ServiceId,
        /// Whether the call may be sent more than once.
        repeatable: bool,
    },
    /// A request that was rejected before it was parsed.
    Unreadable,
}

/// Whether a request belongs to a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionUse {
    /// It belongs to no session.
    None,
    /// It starts a session.
    New,
    /// It belongs to a session on this model and version.
    Bound {
        /// The model that the session is bound to.
        model: ModelId,
        /// The version of it that the session is bound to.
        version: VersionId,
    },
}

/// Why a candidate was excluded from the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// The template does not allow the version.
    NotAllowed,
    /// The request or its session is for another model or version.
    NotAsked,
    /// The version is withdrawn.
    Withdrawn,
    /// The version is draining and serves only existing sessions.
    Draining,
    /// The version is rolling out and the request is outside its stage.
    OutsideStage,
    /// The version is rolling out and the configuration may be outdated.
    StaleConfiguration,
    /// The rollout guard has stopped the version at this VM.
    StoppedHere,
    /// Another eligible version of the same model was preferred.
    OtherVersion,
    /// Its expected cost exceeds the template's limit for one request.
    TooExpensive,
    /// No usable replica has loaded the version.
    NoUpstream,
    /// Another version was expected to meet the target at a lower cost.
    CostsMore,
    /// Another version is likelier to meet the target.
    LessLikely,
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Exclusion::NotAllowed => "the template does not allow it",
            Exclusion::NotAsked => "the request is for another version",
            Exclusion::Withdrawn => "it is withdrawn",
            Exclusion::Draining => "it is draining and takes no new sessions",
            Exclusion::OutsideStage => {
                "it is rolling out and the request is outside its stage"
            }
            Exclusion::StaleConfiguration => {
                "it is rolling out and the configuration may be outdated"
            }
            Exclusion::StoppedHere => "the guard has stopped it at this VM",
            Exclusion::OtherVersion => {
                "another version of the model was preferred"
            }
            Exclusion::TooExpensive => "its expected cost exceeds the limit",
            Exclusion::NoUpstream => "no usable replica has loaded it",
            Exclusion::CostsMore => {
                "another version was expected to meet the target for less"
            }
            Exclusion::LessLikely => "another is likelier to meet the target",
        })
    }
}

/// A model version that was considered for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The model.
    pub model: ModelId,
    /// The version of the model.
    pub version: VersionId,
    /// The expected cost of an answer of this version alone.
    pub expected_cost_micro: MicroCost,
    /// The estimated probability that its answer meets the target.
    pub chance: f64,
    /// The decayed number of rated answers behind that estimate.
    pub rated: f64,
    /// Why it was excluded; `None` for the steps of the plan.
    pub dropped: Option<Exclusion>,
}

/// Why an upstream was preferred to other usable ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Preference {
    /// It probably has the prefix in its cache and is not overloaded.
    Prefix,
    /// It was the less loaded of two selected at random.
    LessLoaded,
    /// It was the only usable one.
    Only,
}

/// How the upstream of an attempt was selected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamChoice {
    /// The selected upstream.
    pub upstream: UpstreamId,
    /// Why it was preferred.
    pub preferred: Preference,
    /// Whether it is in this VM's data hall.
    pub local: bool,
    /// Number of usable upstreams that it was selected from.
    pub usable: u32,
    /// Number of upstreams excluded because they are leaving.
    pub leaving: u32,
    /// Number excluded by their circuit breaker or an earlier attempt.
    pub broken: u32,
    /// Number excluded because they have not loaded the version.
    pub not_loaded: u32,
    /// Estimated number of requests in flight at it.
    pub requests: f64,
    /// The age of its load report, in milliseconds; `None` without a report.
    pub load_age_ms: Option<u64>,
}

/// Whether an attempt is still running, or how it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptStatus {
    /// The attempt is still running.
    Running,
    /// The upstream sent a complete answer.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// The upstream answered, and the answer was rated below the target.
    RatedPoor {
        /// The rating, in thousandths.
        score_milli: u16,
    },
    /// Connecting failed; nothing was sent.
    Unreachable,
    /// The connection failed, or the answer exceeded the size limit.
    Broken,
    /// The attempt timed out.
    TimedOut,
    /// The caller disconnected.
    Cancelled,
}

/// One attempt at one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The model; `None` for service calls.
    pub model: Option<ModelId>,
    /// The version; `None` for service calls.
    pub version: Option<VersionId>,
    /// How the upstream was selected.
    pub choice: UpstreamChoice,
    /// Whether the attempt is still running, or how it ended.
    pub end: AttemptStatus,
    /// Input tokens used.
    pub input_tokens: u64,
    /// Output tokens generated.
    pub output_tokens: u64,
    /// The cost of the attempt.
    pub cost_micro: MicroCost,
}

/// The status of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestStatus {
    /// The request has not ended yet.
    Running,
    /// The request was answered.
    Answered,
    /// The recorded answer of an earlier request with the same idempotency key
    /// was returned.
    Repeated {
        /// The earlier request.
        of: RequestId,
    },
    /// The request was rejected or failed.
    Refused {
        /// The kind of the error.
        kind: ErrorKind,
        /// The error message.
        reason: String,
    },
}

/// The record of how one request was routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The id of the request, which identifies the decision too.
    pub id: RequestId,
    /// When the request was received, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The organisation; `None` until the request is authorized.
    pub organisation: Option<OrganisationId>,
    /// What the request asks for.
    pub asked: RequestTarget,
    /// The priority of the request.
    pub priority: Priority,
    /// The session that the request belongs to.
    pub session: SessionUse,
    /// The configuration revision that the decision was based on.
    pub revision: Revision,
    /// Time since that revision was confirmed to be current, in milliseconds;
    /// `None` if it never was.
    pub configuration_age_ms: Option<u64>,
    /// Time since the platform's list was read, in milliseconds; `None` if it
    /// never was.
    pub list_age_ms: Option<u64>,
    /// The model versions that were considered.
    pub candidates: Vec<Candidate>,
    /// Time spent waiting in the dispatch queue, in milliseconds.
    pub queued_ms: u64,
    /// The attempts in the order they were made.
    pub attempts: Vec<Attempt>,
    /// The status of the request.
    pub verdict: RequestStatus,
}

impl Decision {
    /// Returns the total cost of the attempts so far.
    pub fn cost(&self) -> MicroCost {
        self.attempts
            .iter()
            .fold(MicroCost::default(), |sum, a| sum + a.cost_micro)
    }

    /// Formats the record as sentences, one per line.
    pub fn to_text(&self) -> String {
        let mut lines = vec![self.asked_text()];
        lines.push(format!(
            "The decision used configuration revision {} ({}) and the \
             platform's list ({}).",
            self.revision,
            age_text("confirmed current", self.configuration_age_ms),
            age_text("read", self.list_age_ms),
        ));
        if let SessionUse::Bound { model, version } = &self.session {
            lines.push(format!(
                "Its session is bound to version {version} of {model}."
            ));
        }
        lines.extend(self.candidates.iter().map(Candidate::to_text));
        if self.queued_ms > 0 {
            lines.push(format!(
                "It waited {} ms in the queue.",
                self.queued_ms
            ));
        }
        lines.extend(self.attempts.iter().map(Attempt::to_text));
        lines.push(self.status_text());
        lines.join("\n")
    }

    /// Formats what the request asks for.
    fn asked_text(&self) -> String {
        let caller = self
            .organisation
            .as_ref()
            .map_or("An unknown caller".to_owned(), ToString::to_string);
        match &self.asked {
            RequestTarget::Chat { model, task, stream } => {
                let model = model
                    .as_ref()
                    .map_or("any allowed model".to_owned(), |model| {
                        format!("model {model}")
                    });
                let stream = if *stream { ", streamed" } else { "" };
                format!(
                    "{caller} asked for {model} (task {task}, {}{stream}).",
                    self.priority
                )
            }
            RequestTarget::Service { service, repeatable } => {
                let kind = if *repeatable { "" } else { " not" };
                format!(
                    "{caller} called the service {service}; it may{kind} be \
                     repeated."
                )
            }
            RequestTarget::Unreadable => {
                format!("{caller} sent a request that could not be read.")
            }
        }
    }

    /// Formats the status of the request.
    fn status_text(&self) -> String {
        match &self.verdict {
            RequestStatus::Running => "It is still running.".to_owned(),
            RequestStatus::Answered => {
                format!("It was answered, at a cost of {}.", self.cost())
            }
            RequestStatus::Repeated { of } => {
                format!("The recorded answer of request {of} was returned.")
            }
            RequestStatus::Refused { kind, reason } => {
                let answer = kind.answer();
                let run = match answer.run {
                    Run::NotRun => "it did not run",
                    Run::OutcomeUnknown => "it may have run",
                    Run::Ran => "it ran",
                };
                format!("It was rejected ({}): {reason}; {run}.", answer.code)
            }
        }
    }
}

impl Candidate {
    fn to_text(&self) -> String {
        let name = format!("{} {}", self.model, self.version);
        match self.dropped {
            Some(dropped) => format!("{name} was excluded: {dropped}."),
            None => format!(
                "{name} was planned: probability {:.2} of meeting the target \
                 ({:.0} ratings), expected cost {}.",
                self.chance, self.rated, self.expected_cost_micro
            ),
        }
    }
}

impl Attempt {
    fn to_text(&self) -> String {
        let what = match (&self.model, &self.version) {
            (Some(model), Some(version)) => format!("{model} {version} at "),
            _ => String::new(),
        };
        let choice = &self.choice;
        let why = match choice.preferred {
            Preference::Prefix => "it probably has the prefix cached",
            Preference::LessLoaded => "it was the less loaded of two drawn",
            Preference::Only => "it was the only usable one",
        };
        let place = if choice.local { "" } else { ", in another data hall" };
        let load = age_text("load reported", choice.load_age_ms);
        let end = match &self.end {
            AttemptStatus::Running => "it is still running".to_owned(),
            AttemptStatus::Answered { status } => {
                format!("answered {status}")
            }
            AttemptStatus::RatedPoor { score_milli } => format!(
                "answered, but was rated {:.2}",
                f64::from(*score_milli) / 1000.0
            ),
            AttemptStatus::Unreachable => {
                "connecting failed, nothing was sent".to_owned()
            }
            AttemptStatus::Broken => "the connection failed".to_owned(),
            AttemptStatus::TimedOut => "did not answer in time".to_owned(),
            AttemptStatus::Cancelled => "the caller disconnected".to_owned(),
        };
        format!(
            "It was sent to {what}{}{place}: {why} among {} usable (excluded: \
             {} leaving, {} failing, {} without the version; {load}); {end}.",
            choice.upstream,
            choice.usable,
            choice.leaving,
            choice.broken,
            choice.not_loaded,
        )
    }
}

/// Formats an age, such as `read 20 ms earlier`.
fn age_text(what: &str, age_ms: Option<u64>) -> String {
    match age_ms {
        Some(age_ms) => format!("{what} {age_ms} ms earlier"),
        None => format!("never {what}"),
    }
}

/// The most recent decisions of this VM.
pub struct DecisionLog {
    limit: usize,
    records: Mutex<Records>,
}

#[derive(Default)]
struct Records {
    by_id: HashMap<RequestId, Decision>,
    order: VecDeque<RequestId>,
}

impl DecisionLog {
    /// Creates a log that keeps at most `limit` records.
    pub fn new(limit: usize) -> DecisionLog {
        DecisionLog { limit, records: Mutex::default() }
    }

    /// Adds or replaces a record, and removes the oldest ones over the limit.
    pub fn put(&self, decision: Decision) {
        let mut records = self.records.lock().expect("decision lock");
        let id = decision.id.clone();
        if records.by_id.insert(id.clone(), decision).is_none() {
            records.order.push_back(id);
        }
        while records.order.len() > self.limit {
            if let Some(oldest) = records.order.pop_front() {
                records.by_id.remove(&oldest);
            }
        }
    }

    /// Returns the record of a request if it is still kept.
    pub fn get(&self, id: &RequestId) -> Option<Decision> {
        let records = self.records.lock().expect("decision lock");
        records.by_id.get(id).cloned()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.lock().expect("decision lock").order.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

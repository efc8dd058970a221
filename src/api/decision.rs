//! Decisions: what was chosen or refused, with every reason, as a record.
//!
//! A record says which candidates there were, why each was dropped, on which
//! configuration revision and on how old a view the choice was made. It can
//! be read as JSON or as sentences.

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

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Asked {
    /// An answer of the named model, or of any that the template allows.
    Chat {
        /// The model named, if any.
        model: Option<ModelId>,
        /// The task, as the caller names it.
        task: String,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceId,
        /// Whether the call may be sent more than once.
        repeatable: bool,
    },
    /// Something that could not be read.
    Unreadable,
}

/// How a request stands to a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionUse {
    /// It belongs to no session.
    None,
    /// It starts a session.
    New,
    /// It belongs to a session on this model and version.
    Bound {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
    },
}

/// Why a model and version was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dropped {
    /// The template does not allow it.
    NotAllowed,
    /// The request or its session is for another.
    NotAsked,
    /// It is withdrawn.
    Withdrawn,
    /// It is draining and takes no new session.
    Draining,
    /// It is rolling out and the request is outside its stage.
    OutsideStage,
    /// It is rolling out and the configuration is not proven current.
    StaleConfiguration,
    /// The roll-out guard has stopped it at this VM.
    StoppedHere,
    /// A version that is serving or in its stage was preferred.
    OtherVersion,
    /// It is expected to cost more than the template allows.
    TooExpensive,
    /// No replica of it is usable.
    NoUpstream,
    /// Another was expected to reach the target at less cost.
    CostsMore,
    /// Another is likelier to reach the target.
    LessLikely,
}

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Dropped::NotAllowed => "the template does not allow it",
            Dropped::NotAsked => "the request is for another",
            Dropped::Withdrawn => "it is withdrawn",
            Dropped::Draining => "it is draining and takes no new session",
            Dropped::OutsideStage => {
                "it is rolling out and the request is outside its stage"
            }
            Dropped::StaleConfiguration => {
                "it is rolling out and the configuration is not proven \
                 current"
            }
            Dropped::StoppedHere => "the guard has stopped it at this VM",
            Dropped::OtherVersion => {
                "another version of the model was preferred"
            }
            Dropped::TooExpensive => "it would cost more than allowed",
            Dropped::NoUpstream => "no replica of it is usable",
            Dropped::CostsMore => {
                "another was expected to reach the target at less cost"
            }
            Dropped::LessLikely => "another is likelier to reach the target",
        })
    }
}

/// A model and version that came into question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The cost expected of an answer of its own.
    pub expected_cost_micro: MicroCost,
    /// The chance that its answer meets the target.
    pub chance: f64,
    /// Rated answers behind that chance.
    pub rated: f64,
    /// Why it was not taken; `None` for the plan's steps.
    pub dropped: Option<Dropped>,
}

/// Why an upstream was preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Preferred {
    /// It probably holds the prefix and is not overloaded.
    Prefix,
    /// It was the less loaded of two drawn.
    LessLoaded,
    /// It was the only one usable.
    Only,
}

/// How an upstream was chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamChoice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Why it was preferred.
    pub preferred: Preferred,
    /// Whether it stands in this VM's data hall.
    pub local: bool,
    /// Upstreams that could have been taken.
    pub usable: u32,
    /// Upstreams left out as leaving.
    pub leaving: u32,
    /// Upstreams left out by their breaker or an earlier attempt.
    pub broken: u32,
    /// Upstreams left out as they have not loaded the version.
    pub not_loaded: u32,
    /// Requests that it was believed to hold.
    pub requests: f64,
    /// The age of that belief, in milliseconds.
    pub load_age_ms: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// It still runs.
    Running,
    /// It answered whole.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// It answered and the rating was below the target.
    RatedPoor {
        /// The rating, in thousandths.
        score_milli: u16,
    },
    /// It could not be reached; nothing of the request left.
    Unreachable,
    /// It broke off.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The caller went away.
    Cancelled,
}

/// One attempt at one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The model, for model requests.
    pub model: Option<ModelId>,
    /// The version, for model requests.
    pub version: Option<VersionId>,
    /// How the upstream was chosen.
    pub choice: UpstreamChoice,
    /// How it ended.
    pub end: AttemptEnd,
    /// Tokens read.
    pub input_tokens: u64,
    /// Tokens written.
    pub output_tokens: u64,
    /// Its cost.
    pub cost_micro: MicroCost,
}

/// What became of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is being worked on.
    Running,
    /// It was answered.
    Answered,
    /// The recorded outcome of an earlier request with its key was returned.
    Repeated {
        /// The earlier request.
        of: RequestId,
    },
    /// It was refused or failed.
    Refused {
        /// The kind.
        kind: ErrorKind,
        /// The reason in words.
        reason: String,
    },
}

/// A record of one decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The request, and so the decision.
    pub id: RequestId,
    /// When the request came, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The organisation, once it is known.
    pub organisation: Option<OrganisationId>,
    /// What was asked.
    pub asked: Asked,
    /// The priority.
    pub priority: Priority,
    /// The session.
    pub session: SessionUse,
    /// The configuration revision that it was made on.
    pub revision: Revision,
    /// The age of the proof that this revision was current.
    pub configuration_age_ms: Option<u64>,
    /// The age of the platform's list.
    pub list_age_ms: Option<u64>,
    /// The models and versions that came into question.
    pub candidates: Vec<Candidate>,
    /// Time spent waiting in the queue.
    pub queued_ms: u64,
    /// The attempts made.
    pub attempts: Vec<Attempt>,
    /// What became of it.
    pub verdict: Verdict,
}

impl Decision {
    /// The whole cost so far.
    pub fn cost(&self) -> MicroCost {
        self.attempts
            .iter()
            .fold(MicroCost::default(), |sum, a| sum + a.cost_micro)
    }

    /// The record in sentences, one a line.
    pub fn to_text(&self) -> String {
        let mut lines = vec![self.asked_text()];
        lines.push(format!(
            "It was decided on configuration revision {} ({}), with the \
             platform's list {}.",
            self.revision,
            age_text("proven current", self.configuration_age_ms),
            age_text("read", self.list_age_ms),
        ));
        if let SessionUse::Bound { model, version } = &self.session {
            lines.push(format!(
                "Its session is bound to version {version} of {model}."
            ));
        }
        lines.extend(self.candidates.iter().map(Candidate::to_text));
        if self.queued_ms > 0 {
            lines.push(format!("It waited {} ms.", self.queued_ms));
        }
        lines.extend(self.attempts.iter().map(Attempt::to_text));
        lines.push(self.verdict_text());
        lines.join("\n")
    }

    fn asked_text(&self) -> String {
        let who = self
            .organisation
            .as_ref()
            .map_or("An unknown caller".to_owned(), ToString::to_string);
        match &self.asked {
            Asked::Chat { model, task, stream } => {
                let model = model
                    .as_ref()
                    .map_or("any allowed model".to_owned(), |model| {
                        format!("model {model}")
                    });
                let stream = if *stream { ", streamed" } else { "" };
                format!(
                    "{who} asked for {model} (task {task}, {}{stream}).",
                    self.priority
                )
            }
            Asked::Service { service, repeatable } => {
                let kind = if *repeatable { "" } else { " not" };
                format!(
                    "{who} called the service {service}, which may{kind} \
                     be repeated."
                )
            }
            Asked::Unreadable => {
                format!("{who} sent a request that could not be read.")
            }
        }
    }

    fn verdict_text(&self) -> String {
        match &self.verdict {
            Verdict::Running => "It is still running.".to_owned(),
            Verdict::Answered => {
                format!("It was answered, at a cost of {}.", self.cost())
            }
            Verdict::Repeated { of } => {
                format!("The recorded outcome of {of} was returned.")
            }
            Verdict::Refused { kind, reason } => {
                let answer = kind.answer();
                let run = match answer.run {
                    Run::NotRun => "it did not run",
                    Run::OutcomeUnknown => "it may have run",
                    Run::Ran => "it ran",
                };
                format!("It was refused ({}): {reason}; {run}.", answer.code)
            }
        }
    }
}

impl Candidate {
    fn to_text(&self) -> String {
        let name = format!("{} {}", self.model, self.version);
        match self.dropped {
            Some(dropped) => format!("{name} was not taken: {dropped}."),
            None => format!(
                "{name} was planned: chance {:.2} to meet the target \
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
            Preferred::Prefix => "it probably holds the prefix",
            Preferred::LessLoaded => "it was the less loaded of two drawn",
            Preferred::Only => "it was the only one usable",
        };
        let place = if choice.local { "" } else { ", in another data hall" };
        let load = age_text("load reported", choice.load_age_ms);
        let end = match &self.end {
            AttemptEnd::Running => "it still runs".to_owned(),
            AttemptEnd::Answered { status } => format!("answered {status}"),
            AttemptEnd::RatedPoor { score_milli } => format!(
                "answered, but was rated {:.2}",
                f64::from(*score_milli) / 1000.0
            ),
            AttemptEnd::Unreachable => {
                "could not be reached, nothing was sent".to_owned()
            }
            AttemptEnd::Broken => "broke off".to_owned(),
            AttemptEnd::TimedOut => "did not answer in time".to_owned(),
            AttemptEnd::Cancelled => "the caller went away".to_owned(),
        };
        format!(
            "It went to {what}{}{place}: {why} among {} usable ({} leaving, \
             {} broken, {} without the version left out; {load}); {end}.",
            choice.upstream,
            choice.usable,
            choice.leaving,
            choice.broken,
            choice.not_loaded,
        )
    }
}

fn age_text(what: &str, age_ms: Option<u64>) -> String {
    match age_ms {
        Some(age_ms) => format!("{what} {age_ms} ms before"),
        None => format!("never {what}"),
    }
}

/// The latest decisions of this VM, up to a bound.
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
    /// Creates a log that keeps `limit` records.
    pub fn new(limit: usize) -> DecisionLog {
        DecisionLog { limit, records: Mutex::default() }
    }

    /// Adds or replaces a record, and drops the oldest beyond the bound.
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

    /// Finds a record.
    pub fn get(&self, id: &RequestId) -> Option<Decision> {
        let records = self.records.lock().expect("decision lock");
        records.by_id.get(id).cloned()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.lock().expect("decision lock").order.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

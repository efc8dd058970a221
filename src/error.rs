//! The error type, the closed list of error kinds, and the response to each.
//!
//! Every failure that a caller or an operator can see has an [`ErrorKind`],
//! and [`ErrorKind::answer`] is the only table that maps kinds to responses.
//! The page `docs/ANSWERS.md` prints it; a test keeps the two equal.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether the request ran, as far as this program knows for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No upstream received the request.
    NotRun,
    /// An upstream may have received the request.
    OutcomeUnknown,
    /// The request ran.
    Ran,
}

impl Run {
    /// Returns the value used in error responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Run::NotRun => "not_run",
            Run::OutcomeUnknown => "outcome_unknown",
            Run::Ran => "ran",
        }
    }
}

/// Advice to a caller whose request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// The same request would be rejected again.
    Never,
    /// The request may be sent again after this time, to any VM.
    After(Duration),
    /// The request may be sent again only with the same `Idempotency-Key`.
    SameKeyOnly,
    /// The caller must read the current state before it decides.
    ReadAgain,
}

impl fmt::Display for RetryAdvice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RetryAdvice::Never => f.write_str("never"),
            RetryAdvice::After(wait) => {
                write!(f, "after {} s", wait.as_secs())
            }
            RetryAdvice::SameKeyOnly => f.write_str("same key only"),
            RetryAdvice::ReadAgain => f.write_str("read again"),
        }
    }
}

/// The response to an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The machine-readable error code.
    pub code: &'static str,
    /// Whether the request ran.
    pub run: Run,
    /// What the caller should do next.
    pub retry: RetryAdvice,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $code:literal,
        $run:ident, $retry:expr;)*) => {
        /// The closed list of failures that are visible from outside.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Returns the response to this kind.
            pub fn answer(self) -> Answer {
                use RetryAdvice::*;
                match self {
                    $(ErrorKind::$kind => Answer {
                        status: $status,
                        code: $code,
                        run: Run::$run,
                        retry: $retry,
                    },)*
                }
            }
        }
    };
}

const ONE_SECOND: Duration = Duration::from_secs(1);
const FIVE_SECONDS: Duration = Duration::from_secs(5);

error_kinds! {
    /// The input is malformed or breaks a stated rule.
    InvalidInput => 400, "invalid_input", NotRun, Never;
    /// No key, or a key that is in no template.
    Unauthorized => 401, "unauthorized", NotRun, Never;
    /// The session token is forged, expired or of another organisation.
    SessionInvalid => 401, "session_invalid", NotRun, Never;
    /// The template does not allow the model, version or service.
    NotAllowed => 403, "not_allowed", NotRun, Never;
    /// No such model, service, template or decision exists.
    NotFound => 404, "not_found", NotRun, Never;
    /// The path exists but not with this method.
    MethodNotAllowed => 405, "method_not_allowed", NotRun, Never;
    /// Another request with the same key is still running.
    KeyInProgress => 409, "key_in_progress", OutcomeUnknown,
        After(ONE_SECOND);
    /// The key was used before with a different request.
    KeyReused => 422, "key_reused", NotRun, Never;
    /// The version that the session is bound to has been withdrawn.
    VersionWithdrawn => 410, "version_withdrawn", NotRun, Never;
    /// An edit was based on an older revision.
    EditConflict => 412, "edit_conflict", NotRun, ReadAgain;
    /// The request did not arrive in time.
    RequestTimeout => 408, "request_timeout", NotRun, After(ONE_SECOND);
    /// The body is larger than the limit.
    TooLarge => 413, "too_large", NotRun, Never;
    /// The organisation exceeds its rate, spend or concurrency limit.
    LimitReached => 429, "limit_reached", NotRun, After(ONE_SECOND);
    /// The queue is full or the deadline cannot be met.
    Overloaded => 503, "overloaded", NotRun, After(ONE_SECOND);
    /// No upstream that may take the request is known to be available.
    NoUpstream => 503, "no_upstream", NotRun, After(ONE_SECOND);
    /// The claim on the request's key could not be settled, so the request was
    /// not started.
    ClaimUnavailable => 503, "claim_unavailable", NotRun,
        After(ONE_SECOND);
    /// The VM is starting or stopping.
    NotReady => 503, "not_ready", NotRun, After(ONE_SECOND);
    /// The platform's store cannot be reached; the edit was not made.
    StoreUnavailable => 503, "store_unavailable", NotRun,
        After(FIVE_SECONDS);
    /// The edit may or may not have been stored.
    StoreUncertain => 503, "store_uncertain", OutcomeUnknown, ReadAgain;
    /// No upstream could be reached; no byte of the request was sent.
    UpstreamUnreachable => 502, "upstream_unreachable", NotRun,
        After(ONE_SECOND);
    /// The upstream received the request and returned no complete response.
    UpstreamFailed => 502, "upstream_failed", OutcomeUnknown, SameKeyOnly;
    /// Upstreams have crashed under this request, so it is not run again.
    CrashesUpstreams => 502, "crashes_upstreams", OutcomeUnknown, Never;
    /// An earlier request with this key may have run, but no response is
    /// stored.
    OutcomeUnknown => 409, "outcome_unknown", OutcomeUnknown, Never;
    /// The request ran, but its response was too large to store.
    AnswerNotKept => 410, "answer_not_kept", Ran, Never;
    /// The deadline passed while an upstream was processing the request.
    DeadlineExceeded => 504, "deadline_exceeded", OutcomeUnknown,
        SameKeyOnly;
    /// A bug in this program.
    Internal => 500, "internal", OutcomeUnknown, SameKeyOnly;
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}

/// An error kind with the context in which it occurred, outermost first.
#[derive(Clone, Debug)]
pub struct Error {
    kind: ErrorKind,
    context: Vec<String>,
    retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error without context.
    pub fn new(kind: ErrorKind) -> Error {
        Error { kind, context: Vec::new(), retry_after: None }
    }

    /// Adds a description of what was being done when the error occurred.
    #[must_use]
    pub fn context(mut self, context: impl Into<String>) -> Error {
        self.context.push(context.into());
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Error {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the kind.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the time after which the caller may retry, or `None` if a retry
    /// would not help.
    pub fn retry_after(&self) -> Option<Duration> {
        match (self.retry_after, self.kind.answer().retry) {
            (Some(wait), _) => Some(wait),
            (None, RetryAdvice::After(wait)) => Some(wait),
            _ => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.context.is_empty() {
            return write!(f, "{}", self.kind);
        }
        for (i, line) in self.context.iter().rev().enumerate() {
            if i > 0 {
                f.write_str(": ")?;
            }
            f.write_str(line)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

/// Returns the table of kinds and responses in Markdown, as `docs/ANSWERS.md`
/// prints it.
pub fn answer_table() -> String {
    let mut table = String::from(
        "| kind | status | code | run | retry |\n|---|---|---|---|---|\n",
    );
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        table.push_str(&format!(
            "| {kind:?} | {} | `{}` | `{}` | {} |\n",
            answer.status,
            answer.code,
            answer.run.as_str(),
            answer.retry
        ));
    }
    table
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_answer_table_matches_its_snapshot() {
        insta::assert_snapshot!(answer_table());
    }

    #[test]
    fn context_is_printed_outermost_first() {
        let error = Error::new(ErrorKind::InvalidInput)
            .context("port `x` is not a number")
            .context("reading settings");
        assert_eq!(
            error.to_string(),
            "reading settings: port `x` is not a number"
        );
    }
}

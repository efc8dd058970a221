//! Which version a request goes to while one is being rolled out, and why.

use std::time::Duration;

use crate::{id::VersionId, placing::pool::VersionRule};

/// Which version may answer a request, and what decided so.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionChoice {
    /// Which version may answer it.
    pub rule: VersionRule,
    /// What decided so; `None` without a roll-out.
    pub reason: Option<ChoiceReason>,
    /// Versions that were taken back, which may answer none.
    pub withdrawn: Vec<VersionId>,
}

/// What decided which version may answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The new version was stopped or reverted.
    Stopped,
    /// The new version has everything.
    Completed,
    /// Nothing is known of its session, or it has none, so it was drawn.
    Drawn,
    /// The last request of its session that this VM had, so long ago.
    LocalSession(Duration),
    /// What another VM told of its session, so long ago.
    PeerSession(Duration),
}

impl ChoiceReason {
    /// How the log calls it.
    pub fn as_str(self) -> &'static str {
        match self {
            ChoiceReason::Stopped => "stopped",
            ChoiceReason::Completed => "completed",
            ChoiceReason::Drawn => "drawn",
            ChoiceReason::LocalSession(_) => "own_session",
            ChoiceReason::PeerSession(_) => "told_session",
        }
    }

    /// The age of what was known of its session.
    pub fn session_age(self) -> Option<Duration> {
        match self {
            ChoiceReason::LocalSession(age)
            | ChoiceReason::PeerSession(age) => Some(age),
            _ => None,
        }
    }
}

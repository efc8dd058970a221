//! What an upstream says of itself in the head of an answer.

use std::time::Duration;

use crate::placing::member::LoadReport;

/// All that one answer says of the upstream that gave it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statement {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// The rest that it asks this VM for, if any.
    pub rest: Option<Rest>,
    /// The load that it reports.
    pub load: Option<LoadReport>,
}

/// For how long an upstream wants no further request of the VM that it has
/// turned away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rest {
    /// For this time.
    For(Duration),
    /// It says something that is no time.
    Unreadable(String),
}

impl Rest {
    /// How long it is, as far as that can be read.
    pub fn time(&self) -> Option<Duration> {
        match self {
            Rest::For(time) => Some(*time),
            Rest::Unreadable(_) => None,
        }
    }
}

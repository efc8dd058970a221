//! The version chosen for a request during a rollout, and the reason.

use std::time::Duration;

use crate::{id::VersionId, placing::pool::VersionRule};

/// The versions that may answer a request, and the reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionChoice {
    /// The rule for the choice of an upstream.
    pub rule: VersionRule,
    /// The reason for the rule; `None` without one.
    pub reason: Option<ChoiceReason>,
    /// Withdrawn versions, which may not answer any request.
    pub withdrawn: Vec<VersionId>,
}

impl VersionChoice {
    /// Avoids a version whose rollout is not known yet, unless another one is
    /// preferred.
    pub(crate) fn without_unordered(
        mut self,
        unordered: VersionId,
    ) -> VersionChoice {
        match &self.rule {
            VersionRule::Any => {}
            VersionRule::Never(other) if *other != unordered => {
                self.withdrawn.push(other.clone());
            }
            _ => return self,
        }
        self.rule = VersionRule::Avoid(unordered);
        self.reason = Some(ChoiceReason::NotOrdered);
        self
    }
}

/// The reason for the choice of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The new version was stopped or reverted.
    Stopped,
    /// The rollout is completed; the new version gets all requests.
    Completed,
    /// The request has no session or an unknown one, so a hash decided.
    Drawn,
    /// Upstreams of a version were listed, but no rollout of it is known yet.
    NotOrdered,
    /// The hash assigns it to the new version, which gets no requests yet, or
    /// none from this VM, which learned of the rollout late.
    NotBegun,
    /// All sessions have moved to the new version.
    Moved,
    /// The request would probably still run at the old version when the
    /// rollout is completed.
    Outlasting,
    /// The new version would have got the request, but it has had its share of
    /// the attempts that this VM sends, or all VMs if it has a session.
    ShareSpent,
    /// This VM sent the session's last request, the given time ago.
    LocalSession(Duration),
    /// Another VM reported the session, last used the given time ago.
    PeerSession(Duration),
}

impl ChoiceReason {
    /// Returns the name used in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            ChoiceReason::Stopped => "stopped",
            ChoiceReason::Completed => "completed",
            ChoiceReason::Drawn => "drawn",
            ChoiceReason::NotOrdered => "not_ordered",
            ChoiceReason::NotBegun => "not_begun",
            ChoiceReason::Moved => "moved",
            ChoiceReason::Outlasting => "outlasting",
            ChoiceReason::ShareSpent => "share_spent",
            ChoiceReason::LocalSession(_) => "own_session",
            ChoiceReason::PeerSession(_) => "told_session",
        }
    }

    /// Returns how long the session had been idle, if a session decided.
    pub fn session_age(self) -> Option<Duration> {
        match self {
            ChoiceReason::LocalSession(age)
            | ChoiceReason::PeerSession(age) => Some(age),
            _ => None,
        }
    }
}

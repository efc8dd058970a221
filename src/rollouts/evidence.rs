//! What VMs report to each other about a running rollout.
//!
//! Each VM sends its evidence to the VMs of its data hall. For other halls it
//! sums up the evidence of its hall, and a VM that receives such a sum relays
//! it within its own hall. So every VM has all evidence after two heartbeats
//! and one between halls, however many VMs a hall has and however rarely two
//! VMs of different halls exchange heartbeats.

use serde::{Deserialize, Serialize};

use crate::{message::ShortHash, rollouts::comparison::AnswerCounts};

/// The evidence of a VM, or of a whole data hall, on a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The service.
    pub service: ShortHash,
    /// The new version.
    pub target: ShortHash,
    /// Time since the rollout began, in milliseconds.
    pub running_ms: u32,
    /// How long after its beginning the canary phase ended, in milliseconds;
    /// `None` while that lasts.
    pub canary_ended_ms: Option<u32>,
    /// How long after its beginning all sessions move to the new version, in
    /// milliseconds; `None` if that is not scheduled yet.
    pub sessions_move_ms: Option<u32>,
    /// Whether the new version has been stopped.
    pub stopped: bool,
    /// Requests in flight at other versions than the new one.
    pub old_in_flight: u16,
    /// Sessions on the old version that the hash would assign to the canary.
    pub old_sessions: Vec<OldVersionSession>,
    /// Answer counts by route, of the old and the new version.
    pub answers: Vec<(ShortHash, AnswerCounts, AnswerCounts)>,
}

impl Evidence {
    /// Whether all sessions have moved to the new version.
    pub(super) fn have_sessions_moved(&self) -> bool {
        self.sessions_move_ms.is_some_and(|at| self.running_ms >= at)
    }
}

/// A session on the old version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OldVersionSession {
    /// The session.
    pub session: ShortHash,
    /// Time for which it has been idle, in milliseconds.
    pub idle_ms: u16,
}

/// The summed evidence of all VMs of a data hall on a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HallEvidence {
    /// The data hall.
    pub data_hall: ShortHash,
    /// The age of the sum, in milliseconds.
    pub age_ms: u16,
    /// The sum.
    pub evidence: Evidence,
}

//! What VMs tell each other of a roll-out that is running.
//!
//! Each VM tells its own part to those of its data hall. What all of a hall
//! have told is summed up for the VMs of other halls, and any of those that
//! hears such a sum tells it to its own hall. So everything is known
//! everywhere after two beats and the way of one between halls, however many
//! VMs a hall has and however rarely two of different halls hear each other.

use serde::{Deserialize, Serialize};

use crate::{message::ShortHash, rollouts::comparison::AnswerCounts};

/// What a VM, or all of a data hall, has seen of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The service.
    pub service: ShortHash,
    /// The new version.
    pub target: ShortHash,
    /// How long the roll-out has been running.
    pub running_ms: u32,
    /// How long it had been running when the trial ended, if it has.
    pub canary_ended_ms: Option<u32>,
    /// Whether the new version has been stopped.
    pub stopped: bool,
    /// Requests that are still at the old version.
    pub old_in_flight: u16,
    /// Sessions at the old version that the trial would take.
    pub old_sessions: Vec<OldVersionSession>,
    /// AnswerCounts by route, of the old and the new version.
    pub answers: Vec<(ShortHash, AnswerCounts, AnswerCounts)>,
}

/// A session at the old version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OldVersionSession {
    /// The session.
    pub session: ShortHash,
    /// How long nothing of it has been under way.
    pub idle_ms: u16,
}

/// What all VMs of a data hall have seen of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HallEvidence {
    /// The data hall.
    pub data_hall: ShortHash,
    /// The age of the sum.
    pub age_ms: u16,
    /// The sum.
    pub evidence: Evidence,
}

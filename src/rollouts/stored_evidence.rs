//! The evidence on a rollout that the platform's store keeps for a data hall.

use serde::{Deserialize, Serialize};

use crate::{
    chains::store::StoreVersion,
    message::ShortHash,
    rollouts::{comparison::AnswerCounts, evidence::Evidence},
};

/// The evidence of the VMs of a data hall, for VMs that start later.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredEvidence {
    /// The store's version of the order. Evidence on an earlier order of the
    /// same version says nothing of a later one.
    pub order_version: StoreVersion,
    /// The progress of the rollout, without answer counts.
    pub progress: Evidence,
    /// The answer counts of each VM, ordered by its hash.
    pub vms: Vec<VmAnswers>,
}

/// The answer counts of one VM by route, of the old and the new version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmAnswers {
    /// The VM.
    pub vm: ShortHash,
    /// Its answer counts, ordered by route.
    pub answers: Vec<(ShortHash, AnswerCounts, AnswerCounts)>,
}

impl StoredEvidence {
    /// Whether this differs from `other` in more than the time passed.
    pub(super) fn differs_from(&self, other: &StoredEvidence) -> bool {
        let timeless = |stored: &StoredEvidence| StoredEvidence {
            progress: Evidence { running_ms: 0, ..stored.progress.clone() },
            ..stored.clone()
        };
        timeless(self) != timeless(other)
    }
}

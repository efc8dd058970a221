//! Compares the answers of two versions.

use serde::{Deserialize, Serialize};

/// Minimum number of bad answers on one route for a version to be worse.
pub(crate) const MIN_BAD_ANSWERS: u32 = 4;

/// How far the new version's share of bad answers may exceed the old one's.
const MAX_BAD_SHARE_INCREASE: f64 = 0.2;

/// How far the new version's share of attempts that end badly or without an
/// answer may exceed the old one's for it to be proven.
const MAX_DOUBTFUL_SHARE_INCREASE: f64 = 0.2;

/// Minimum number of lost answers on one route for a version to be worse.
const MIN_LOST_ANSWERS: u32 = 20;

/// Share of lost answers above which a version can be worse.
const MIN_LOST_SHARE: f64 = 0.5;

/// Minimum ratio of the new version's share of lost answers to the old one's.
const MIN_LOST_RATIO: f64 = 5.0;

/// Number of answers of the old version from which its share of bad ones is
/// used as the baseline.
const MIN_BASELINE_ANSWERS: u32 = 10;

/// Counts of answers of one version on one route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct AnswerCounts {
    /// Complete answers.
    pub complete: u32,
    /// Complete answers that were errors or far too slow.
    pub bad: u32,
    /// Answers that did not arrive, or not completely.
    pub lost: u32,
}

impl AnswerCounts {
    /// Returns the share of bad answers among the complete ones.
    fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.complete.max(1))
    }

    /// Returns the share of lost answers among all.
    fn lost_share(self) -> f64 {
        f64::from(self.lost) / f64::from((self.complete + self.lost).max(1))
    }

    /// Returns the share of attempts that ended badly or without an answer.
    fn doubtful_share(self) -> f64 {
        let attempts = (self.complete + self.lost).max(1);
        f64::from(self.bad + self.lost) / f64::from(attempts)
    }

    /// Returns the maximum of each count, for two counts of the same answers.
    pub(crate) fn max(self, other: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            complete: self.complete.max(other.complete),
            bad: self.bad.max(other.bad),
            lost: self.lost.max(other.lost),
        }
    }

    /// Adds the counts of other answers.
    pub(crate) fn add(&mut self, other: AnswerCounts) {
        self.complete += other.complete;
        self.bad += other.bad;
        self.lost += other.lost;
    }
}

/// Whether the new version is worse than the old one.
///
/// A lost answer usually means that a machine or the network failed. A few
/// machines fail on most days, and a new version has few machines. So lost
/// answers count only if there are many, and if the old version loses hardly
/// any.
pub(crate) fn is_worse(old: AnswerCounts, new: AnswerCounts) -> bool {
    let baseline = match old.complete >= MIN_BASELINE_ANSWERS {
        true => old.bad_share(),
        false => 0.0,
    };
    let fails = new.bad >= MIN_BAD_ANSWERS
        && new.bad_share() > baseline + MAX_BAD_SHARE_INCREASE;
    let loses = new.lost >= MIN_LOST_ANSWERS
        && new.lost_share() > MIN_LOST_SHARE
        && old.lost_share() < new.lost_share() / MIN_LOST_RATIO;
    fails || loses
}

/// Whether the new version is too unreliable to get more requests, even if it
/// is not known to be worse.
pub(crate) fn is_doubtful(old: AnswerCounts, new: AnswerCounts) -> bool {
    let baseline = match old.complete >= MIN_BASELINE_ANSWERS {
        true => old.doubtful_share(),
        false => 0.0,
    };
    new.doubtful_share() > baseline + MAX_DOUBTFUL_SHARE_INCREASE
}

//! Compares the answers of two versions.

use serde::{Deserialize, Serialize};

/// Minimum number of bad answers on one route for a version to be worse.
pub(crate) const MIN_BAD_ANSWERS: u32 = 4;

/// How far the new version's share of bad answers may exceed the old one's.
const MAX_BAD_SHARE_INCREASE: f64 = 0.2;

/// How far the new version's share of attempts that end badly or without an
/// answer may exceed the old one's for it to be proven.
const MAX_DOUBTFUL_SHARE_INCREASE: f64 = 0.2;

/// Number of compared times from which the comparison counts.
const MIN_COMPARED: u32 = 6;

/// Number of compared times from which a version can be worse by them.
const MIN_COMPARED_TO_STOP: u32 = 12;

/// Mean share of the old version's times, in percent, that those of a new
/// version may exceed for it to be proven.
const MAX_PROVEN_EXCEEDED_PERCENT: f64 = 45.0;

/// Number of standard deviations by which that mean must lie above a half for
/// a version to be worse.
const MIN_SLOWER_DEVIATIONS: f64 = 2.0;

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
    /// Answers whose time to the first part was compared with the old
    /// version's times.
    pub compared: u32,
    /// Sum over these of the share of the old version's times, in percent,
    /// that the answer's time clearly exceeds.
    pub exceeded_percent: u32,
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

    /// Returns the mean share of the old version's times, in percent, that the
    /// answers' times clearly exceed; `None` with few of them.
    pub(crate) fn mean_exceeded_percent(self) -> Option<f64> {
        let mean = f64::from(self.exceeded_percent) / f64::from(self.compared);
        (self.compared >= MIN_COMPARED).then_some(mean)
    }

    /// Whether the answers come clearly later than the old version's.
    ///
    /// If they did not, the shares would be spread evenly, or lower.
    fn are_slower(self) -> bool {
        let deviation = 100.0 / (12.0 * f64::from(self.compared)).sqrt();
        let limit = 50.0 + MIN_SLOWER_DEVIATIONS * deviation;
        self.compared >= MIN_COMPARED_TO_STOP
            && self.mean_exceeded_percent().is_some_and(|mean| mean > limit)
    }

    /// Returns the maximum of each count, for two counts of the same answers.
    pub(crate) fn max(self, other: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            complete: self.complete.max(other.complete),
            bad: self.bad.max(other.bad),
            lost: self.lost.max(other.lost),
            compared: self.compared.max(other.compared),
            exceeded_percent: self
                .exceeded_percent
                .max(other.exceeded_percent),
        }
    }

    /// Adds the counts of other answers.
    pub(crate) fn add(&mut self, other: AnswerCounts) {
        self.complete += other.complete;
        self.bad += other.bad;
        self.lost += other.lost;
        self.compared += other.compared;
        self.exceeded_percent += other.exceeded_percent;
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
    fails || loses || new.are_slower()
}

/// Whether the new version is too unreliable or too slow to get more requests,
/// even if it is not known to be worse.
pub(crate) fn is_doubtful(old: AnswerCounts, new: AnswerCounts) -> bool {
    let baseline = match old.complete >= MIN_BASELINE_ANSWERS {
        true => old.doubtful_share(),
        false => 0.0,
    };
    let exceeded = new.mean_exceeded_percent();
    new.doubtful_share() > baseline + MAX_DOUBTFUL_SHARE_INCREASE
        || exceeded.is_some_and(|mean| mean > MAX_PROVEN_EXCEEDED_PERCENT)
}

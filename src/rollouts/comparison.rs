//! How the answers of two versions compare.

use serde::{Deserialize, Serialize};

/// Bad answers on one route that are enough to judge a version by.
pub(crate) const MIN_BAD_ANSWERS: u32 = 4;

/// How much larger than the old version's a new version's share of bad
/// answers may be.
const MAX_BAD_SHARE_INCREASE: f64 = 0.2;

/// Lost answers on one route that are enough to judge a version by.
const MIN_LOST_ANSWERS: u32 = 20;

/// Share of lost answers above which a version is worse.
const MIN_LOST_SHARE: f64 = 0.5;

/// How many times the old version's share of lost answers that must be.
const MIN_LOST_RATIO: f64 = 5.0;

/// AnswerCounts of the old version from which its share is known.
const MIN_BASELINE_ANSWERS: u32 = 10;

/// How answers were, of one version on one route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct AnswerCounts {
    /// All that came.
    pub all: u32,
    /// Those of them that were failures or came much too late.
    pub bad: u32,
    /// Those that did not come, or not whole.
    pub lost: u32,
}

impl AnswerCounts {
    /// The share of bad ones among those that came.
    fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.all.max(1))
    }

    /// The share of lost ones among all.
    fn lost_share(self) -> f64 {
        f64::from(self.lost) / f64::from((self.all + self.lost).max(1))
    }

    /// The more of each count, of two that were taken of the same answers.
    pub(crate) fn max(self, other: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            all: self.all.max(other.all),
            bad: self.bad.max(other.bad),
            lost: self.lost.max(other.lost),
        }
    }

    /// Adds what another VM has seen.
    pub(crate) fn add(&mut self, other: AnswerCounts) {
        self.all += other.all;
        self.bad += other.bad;
        self.lost += other.lost;
    }
}

/// Whether a new version is worse than the old one.
///
/// An answer that is lost says first of all that a machine or a way to it is:
/// a few machines are lost on most days, and a new version has few. So it
/// takes many of them, and an old version that loses hardly any.
pub(crate) fn is_worse(old: AnswerCounts, new: AnswerCounts) -> bool {
    let baseline = match old.all >= MIN_BASELINE_ANSWERS {
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

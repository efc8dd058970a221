//! How the answers of two versions compare.

use serde::{Deserialize, Serialize};

/// Bad answers on one route that are enough to judge a version by.
pub(crate) const BAD_ANSWERS: u32 = 4;

/// How much larger than the old version's a new version's share of bad
/// answers may be.
const SHARE_MARGIN: f64 = 0.2;

/// Lost answers on one route that are enough to judge a version by.
const LOST_ANSWERS: u32 = 20;

/// Share of lost answers above which a version is worse.
const LOST_SHARE: f64 = 0.5;

/// How many times the old version's share of lost answers that must be.
const LOST_RATIO: f64 = 5.0;

/// Answers of the old version from which its share is known.
const KNOWN_ANSWERS: u32 = 10;

/// How answers were, of one version on one route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct Answers {
    /// All that came.
    pub all: u32,
    /// Those of them that were failures or came much too late.
    pub bad: u32,
    /// Those that did not come, or not whole.
    pub lost: u32,
}

impl Answers {
    /// The share of bad ones among those that came.
    fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.all.max(1))
    }

    /// The share of lost ones among all.
    fn lost_share(self) -> f64 {
        f64::from(self.lost) / f64::from((self.all + self.lost).max(1))
    }

    /// The more of each count, of two that were taken of the same answers.
    pub(crate) fn most(self, other: Answers) -> Answers {
        Answers {
            all: self.all.max(other.all),
            bad: self.bad.max(other.bad),
            lost: self.lost.max(other.lost),
        }
    }

    /// Adds what another VM has seen.
    pub(crate) fn add(&mut self, other: Answers) {
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
pub(crate) fn is_worse(old: Answers, new: Answers) -> bool {
    let usual = match old.all >= KNOWN_ANSWERS {
        true => old.bad_share(),
        false => 0.0,
    };
    let fails =
        new.bad >= BAD_ANSWERS && new.bad_share() > usual + SHARE_MARGIN;
    let vanishes = new.lost >= LOST_ANSWERS
        && new.lost_share() > LOST_SHARE
        && old.lost_share() < new.lost_share() / LOST_RATIO;
    fails || vanishes
}

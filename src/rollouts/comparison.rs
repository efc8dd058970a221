//! Compares the answers of two versions.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::rollouts::{
    significance::probability, time_histogram::TimeHistogram,
};

/// Minimum number of bad answers on one route for a version to be worse.
pub(crate) const MIN_BAD_ANSWERS: u32 = 4;

/// How far the new version's share of bad answers must exceed the old one's for
/// it to be worse.
const MIN_BAD_SHARE_INCREASE: f64 = 0.08;

/// How far its share of late answers must exceed the old one's for that.
const MIN_LATE_SHARE_INCREASE: f64 = 0.15;

/// How far the new version's share of attempts that end badly or without an
/// answer may exceed the old one's for it to be proven.
const MAX_DOUBTFUL_SHARE_INCREASE: f64 = 0.2;

/// Probability below which a count of answers is no chance. Counts are looked
/// at many times during a rollout, on each route.
const MAX_CHANCE: f64 = 0.002;

/// Probability of a count of late answers below which a version is doubtful.
const MAX_DOUBTFUL_CHANCE: f64 = 0.05;

/// The same for the late answers on one route; there are several.
const MAX_DOUBTFUL_CHANCE_ON_ROUTE: f64 = 0.02;

/// Shares of the old version's answers on a route that the limits for late
/// answers exceed.
const LATE_SHARES: [f64; 2] = [0.25, 0.1];

/// Share of the old version's answers on a route that are not among its
/// fastest. A disturbance of the old version makes none of its answers faster.
const NOT_FASTEST_SHARE: f64 = 0.65;

/// Number of times from which they are compared.
const MIN_COMPARED: u32 = 6;

/// Number of compared times from which a version can be worse by them.
const MIN_COMPARED_TO_STOP: u32 = 8;

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

/// Share of bad answers that any version may have.
const USUAL_BAD_SHARE: f64 = 0.05;

/// How a new version is worse than the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Difference {
    /// More of its answers are errors or far too slow.
    BadAnswers,
    /// Most of its answers do not arrive.
    LostAnswers,
    /// Its answers take longer in general.
    AllTimes,
    /// More of its answers are late.
    LateAnswers,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Difference::BadAnswers => "bad answers",
            Difference::LostAnswers => "lost answers",
            Difference::AllTimes => "times",
            Difference::LateAnswers => "late answers",
        })
    }
}

/// Counts of answers of one version on one route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct AnswerCounts {
    /// Attempts sent.
    pub sent: u32,
    /// Complete answers.
    pub complete: u32,
    /// Complete answers that were errors or far too slow.
    pub bad: u32,
    /// Answers that did not arrive, or not completely.
    pub lost: u32,
    /// Times to the first part of the answers that did not wait for other
    /// requests.
    pub times: TimeHistogram,
}

impl AnswerCounts {
    /// Returns the sum of all counts.
    pub(crate) fn total(&self) -> u64 {
        let counts = [self.sent, self.complete, self.bad, self.lost];
        counts.into_iter().map(u64::from).sum::<u64>() + self.times.total()
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
            sent: self.sent.max(other.sent),
            complete: self.complete.max(other.complete),
            bad: self.bad.max(other.bad),
            lost: self.lost.max(other.lost),
            times: self.times.max(other.times),
        }
    }

    /// Adds the counts of other answers.
    pub(crate) fn add(&mut self, other: AnswerCounts) {
        self.sent += other.sent;
        self.complete += other.complete;
        self.bad += other.bad;
        self.lost += other.lost;
        self.times.add(other.times);
    }
}

/// How the answers of the new version compare with the old one's, on one route
/// or on several.
///
/// Times are compared with those on the same route: what the version gets
/// differs between routes while requests move to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Comparison {
    old: AnswerCounts,
    new: AnswerCounts,
    /// Number of the new version's times that are compared.
    compared: u32,
    /// Mean share of the old version's times on the same route that they
    /// clearly exceed.
    exceeded: f64,
    /// Late answers of the new version, by limits that these shares of the old
    /// one's answers exceed.
    late: [Excess; LATE_SHARES.len()],
    /// Answers of the new version that come clearly later than the fastest of
    /// the old one's.
    not_fastest: Excess,
}

/// A count of answers beside the share that is usual.
#[derive(Clone, Copy, Debug, Default)]
struct Excess {
    count: u32,
    all: u32,
    usual: f64,
}

impl Excess {
    /// Whether the count exceeds the usual share by at least `increase`, and
    /// that is chance with a lower probability than `max_chance`.
    fn is_clear(self, increase: f64, max_chance: f64) -> bool {
        let share = f64::from(self.count) / f64::from(self.all.max(1));
        share > self.usual + increase
            && probability(self.count, self.all, self.usual) < max_chance
    }
}

impl Comparison {
    /// Compares the answers on these routes, of the old and the new version.
    pub(crate) fn new(routes: &[[AnswerCounts; 2]]) -> Comparison {
        let (mut old, mut new) =
            (AnswerCounts::default(), AnswerCounts::default());
        for sides in routes {
            old.add(sides[0]);
            new.add(sides[1]);
        }
        let comparable: Vec<[TimeHistogram; 2]> = routes
            .iter()
            .map(|[old, new]| [old.times, new.times])
            .filter(|[old, _]| old.count() >= MIN_COMPARED)
            .collect();
        let compared = comparable.iter().map(|[_, new]| new.count()).sum();
        let exceeded = comparable.iter().map(|[old, new]| {
            new.exceeded(old) as f64 / f64::from(old.count())
        });
        let exceeded =
            exceeded.sum::<f64>() / f64::from(u32::max(compared, 1));
        let late = LATE_SHARES.map(|share| late_answers(&comparable, share));
        let not_fastest = not_fastest_answers(&comparable);
        Comparison { old, new, compared, exceeded, late, not_fastest }
    }

    /// Returns the number of the new version's times that are compared.
    pub(crate) fn compared(&self) -> u32 {
        self.compared
    }

    /// Returns the mean share, in percent, of the old version's times that
    /// those of the new one clearly exceed; `None` with few of them. If the
    /// times do not differ, it is clearly below a half.
    pub(crate) fn exceeded_percent(&self) -> Option<f64> {
        (self.compared >= MIN_COMPARED).then_some(self.exceeded * 100.0)
    }

    /// Returns why the new version is stopped; `None` if it is not known to be
    /// worse than the old one.
    pub(crate) fn stop_reason(&self) -> Option<String> {
        let difference = self.difference()?;
        let (old, new) = (self.old, self.new);
        let mut reason = format!(
            "{} of {} answers bad, {} of {} of the old version",
            new.bad, new.complete, old.bad, old.complete
        );
        if let Some(percent) = self.exceeded_percent() {
            reason += &format!(", slower than {percent:.0} % of its answers");
        }
        reason += &format!("; worse by its {difference}");
        Some(reason)
    }

    /// Returns how the new version is worse than the old one; `None` if it is
    /// not known to be.
    ///
    /// A lost answer usually means that a machine or the network failed. A few
    /// machines fail on most days, and a new version has few machines. So lost
    /// answers count only if there are many, and if the old version loses
    /// hardly any.
    pub(crate) fn difference(&self) -> Option<Difference> {
        let (old, new) = (self.old, self.new);
        let loses = new.lost >= MIN_LOST_ANSWERS
            && new.lost_share() > MIN_LOST_SHARE
            && old.lost_share() < new.lost_share() / MIN_LOST_RATIO;
        let usual = match old.complete >= MIN_BASELINE_ANSWERS {
            true => chance(old.bad, old.complete),
            false => USUAL_BAD_SHARE,
        };
        let bad = Excess { count: new.bad, all: new.complete, usual };
        if new.bad >= MIN_BAD_ANSWERS
            && bad.is_clear(MIN_BAD_SHARE_INCREASE, MAX_CHANCE)
        {
            Some(Difference::BadAnswers)
        } else if loses {
            Some(Difference::LostAnswers)
        } else if self.is_slower() || self.is_never_fast(MAX_CHANCE) {
            Some(Difference::AllTimes)
        } else if self.is_often_late(MAX_CHANCE) {
            Some(Difference::LateAnswers)
        } else {
            None
        }
    }

    /// Whether the new version's answers come clearly later than the old
    /// one's.
    ///
    /// If they did not, the shares would be spread evenly, or lower.
    fn is_slower(&self) -> bool {
        let deviation = 100.0 / (12.0 * f64::from(self.compared)).sqrt();
        let limit = 50.0 + MIN_SLOWER_DEVIATIONS * deviation;
        self.compared >= MIN_COMPARED_TO_STOP
            && self.exceeded_percent().is_some_and(|mean| mean > limit)
    }

    /// Whether hardly any of the new version's answers come as early as the
    /// fastest of the old one's, with less than this probability that it is
    /// chance.
    fn is_never_fast(&self, max_chance: f64) -> bool {
        self.compared >= MIN_COMPARED_TO_STOP
            && self.not_fastest.is_clear(MIN_LATE_SHARE_INCREASE, max_chance)
    }

    /// Whether clearly more of the new version's answers are late, with less
    /// than this probability that it is chance.
    fn is_often_late(&self, max_chance: f64) -> bool {
        self.compared >= MIN_COMPARED
            && self
                .late
                .iter()
                .any(|late| late.is_clear(MIN_LATE_SHARE_INCREASE, max_chance))
    }

    /// Whether the new version is too unreliable or too slow to get more
    /// requests, even if it is not known to be worse.
    pub(crate) fn is_doubtful(&self) -> bool {
        let baseline = match self.old.complete >= MIN_BASELINE_ANSWERS {
            true => self.old.doubtful_share(),
            false => 0.0,
        };
        let most = baseline + MAX_DOUBTFUL_SHARE_INCREASE;
        self.new.doubtful_share() > most
            || self
                .exceeded_percent()
                .is_some_and(|mean| mean > MAX_PROVEN_EXCEEDED_PERCENT)
            || self.is_often_late(MAX_DOUBTFUL_CHANCE)
            || self.is_never_fast(MAX_DOUBTFUL_CHANCE)
    }

    /// Whether the new version's answers on one route are too often late for
    /// it to get more requests.
    pub(crate) fn is_doubtful_route(&self) -> bool {
        self.is_often_late(MAX_DOUBTFUL_CHANCE_ON_ROUTE)
    }
}

/// Returns the late answers of the new version on these routes, clearly beyond
/// limits that this share of the old one's answers exceeds. A version that
/// begins without cached prompts is a little later.
fn late_answers(routes: &[[TimeHistogram; 2]], share: f64) -> Excess {
    let [mut old_late, mut old_all, mut count, mut all] = [0; 4];
    for [old, new] in routes {
        let first = old.much_later_from(share);
        old_late += old.since(first);
        old_all += old.count();
        count += new.since(first);
        all += new.count();
    }
    Excess { count, all, usual: chance(old_late, old_all) }
}

/// Returns the answers of the new version on these routes that come clearly
/// later than the fastest of the old one's.
fn not_fastest_answers(routes: &[[TimeHistogram; 2]]) -> Excess {
    let mut count = 0;
    let mut all = 0;
    for [old, new] in routes {
        count += new.since(old.later_from(NOT_FASTEST_SHARE));
        all += new.count();
    }
    Excess { count, all, usual: NOT_FASTEST_SHARE }
}

/// Returns the chance of something that `count` of `all` answers had.
fn chance(count: u32, all: u32) -> f64 {
    f64::from(count + 1) / f64::from(all + 2)
}

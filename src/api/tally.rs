//! Sums that VMs share: use of limits, and evidence about versions.
//!
//! Every VM keeps its own sums, which fade with time. It reports them to one
//! VM of its data hall, which adds them up; the sum of each hall is passed
//! on by gossip. A sum that is not renewed is dropped, so a VM or hall that
//! is gone stops counting without anybody's word.

use std::{
    collections::HashMap,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::BootInstant,
    message::{ShortHash, TallyEntry},
};

/// Time after which a sum that is not renewed is dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Changes smaller than this, relative to the value, are not reported.
const REPORT_STEP: f32 = 0.02;

/// Every sum is reported this often even if it did not change.
const REFRESH: Duration = Duration::from_secs(4);

/// What a sum is about.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub enum TallyKey {
    /// The use that an organisation makes.
    Usage(ShortHash),
    /// The answers of a version to an organisation's task.
    Evidence {
        /// The organisation.
        organisation: ShortHash,
        /// The task.
        task: ShortHash,
        /// The model and version.
        version: ShortHash,
    },
}

/// A sum of several figures; their meaning depends on the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally(pub [f32; 5]);

/// The fields of a usage tally.
pub mod usage {
    /// Requests at once.
    pub const IN_FLIGHT: usize = 0;
    /// Requests asked for, a second.
    pub const DEMAND_PER_S: usize = 1;
    /// Cost in the current hour, in currency units.
    pub const HOUR_COST: usize = 2;
}

/// The fields of an evidence tally.
pub mod evidence {
    /// Answers and failures.
    pub const ATTEMPTS: usize = 0;
    /// Failures among them.
    pub const ERRORS: usize = 1;
    /// Answers that were rated.
    pub const RATED: usize = 2;
    /// Rated answers that met the quality target.
    pub const MET_TARGET: usize = 3;
    /// Sum of the time to the first token, in seconds.
    pub const FIRST_TOKEN_S: usize = 4;
}

impl Tally {
    /// Scales every figure.
    #[must_use]
    pub fn scaled(self, factor: f32) -> Tally {
        Tally(self.0.map(|value| value * factor))
    }

    fn differs(self, other: Tally) -> bool {
        self.0.iter().zip(other.0).any(|(a, b)| {
            (a - b).abs() > REPORT_STEP * a.abs().max(b.abs()).max(0.5)
        })
    }

    fn is_nothing(self) -> bool {
        self.0.iter().all(|value| value.abs() < 1e-3)
    }
}

impl Add for Tally {
    type Output = Tally;

    fn add(self, other: Tally) -> Tally {
        let mut sum = self;
        for (value, more) in sum.0.iter_mut().zip(other.0) {
            *value += more;
        }
        sum
    }
}

impl Sub for Tally {
    type Output = Tally;

    fn sub(self, other: Tally) -> Tally {
        self + other.scaled(-1.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Dated {
    tally: Tally,
    at: BootInstant,
}

impl Dated {
    fn is_fresh(&self, now: BootInstant) -> bool {
        now.saturating_duration_since(self.at) < REPORT_LIFETIME
    }
}

/// What one VM knows of all sums.
#[derive(Debug)]
pub struct Tallies {
    data_hall: ShortHash,
    own: HashMap<TallyKey, Tally>,
    reported: HashMap<TallyKey, Dated>,
    reports: HashMap<(ShortHash, TallyKey), Dated>,
    halls: HashMap<(ShortHash, TallyKey), Dated>,
}

impl Tallies {
    /// Creates an empty record for a VM of `data_hall`.
    pub fn new(data_hall: ShortHash) -> Tallies {
        Tallies {
            data_hall,
            own: HashMap::new(),
            reported: HashMap::new(),
            reports: HashMap::new(),
            halls: HashMap::new(),
        }
    }

    /// Adds to a sum of this VM.
    pub fn add(&mut self, key: TallyKey, tally: Tally) {
        let own = self.own.entry(key).or_default();
        *own = *own + tally;
    }

    /// Replaces a sum of this VM.
    pub fn set(&mut self, key: TallyKey, tally: Tally) {
        self.own.insert(key, tally);
    }

    /// Lets evidence fade by `factor`; usage is set anew instead.
    pub fn fade(&mut self, factor: f32) {
        self.own.retain(|key, tally| {
            if matches!(key, TallyKey::Evidence { .. }) {
                *tally = tally.scaled(factor);
            }
            !tally.is_nothing()
        });
    }

    /// The sums that are due to be reported, at most `limit`.
    pub fn due(
        &mut self,
        limit: usize,
        now: BootInstant,
    ) -> Vec<(TallyKey, Tally)> {
        let reported = &self.reported;
        let mut due: Vec<(TallyKey, Tally)> = self
            .own
            .iter()
            .filter(|(key, tally)| {
                reported.get(key).is_none_or(|last| {
                    now.saturating_duration_since(last.at) >= REFRESH
                        || last.tally.differs(**tally)
                })
            })
            .map(|(key, tally)| (*key, *tally))
            .collect();
        // The longest unreported go first when not all fit.
        due.sort_by_key(|(key, _)| reported.get(key).map(|last| last.at));
        due.truncate(limit);
        for (key, tally) in &due {
            let dated = Dated { tally: *tally, at: now };
            self.reported.insert(*key, dated);
        }
        due
    }

    /// Takes in the report of a VM of this hall and adds up the hall.
    pub fn report(
        &mut self,
        vm: ShortHash,
        tallies: &[(TallyKey, Tally)],
        now: BootInstant,
    ) {
        for (key, tally) in tallies {
            let dated = Dated { tally: *tally, at: now };
            self.reports.insert((vm, *key), dated);
        }
        self.reports.retain(|_, dated| dated.is_fresh(now));
        for (key, _) in tallies {
            let sum = self.sum_reports(key);
            let dated = Dated { tally: sum, at: now };
            self.halls.insert((self.data_hall, *key), dated);
        }
    }

    /// Takes in sums of halls that others passed on.
    pub fn merge(&mut self, entries: &[TallyEntry], now: BootInstant) {
        for entry in entries {
            let age = Duration::from_millis(entry.age_ms.into());
            let Some(at) = now.checked_sub(age) else { continue };
            let dated = Dated { tally: entry.tally, at };
            let held = self.halls.entry((entry.data_hall, entry.key));
            let held = held.or_insert(dated);
            if at > held.at {
                *held = dated;
            }
        }
        self.halls.retain(|_, dated| dated.is_fresh(now));
    }

    /// The newest sums of halls, for passing on.
    pub fn entries(&self, limit: usize, now: BootInstant) -> Vec<TallyEntry> {
        let mut newest: Vec<_> = self.halls.iter().collect();
        newest.sort_by_key(|(_, dated)| std::cmp::Reverse(dated.at));
        newest
            .into_iter()
            .take(limit)
            .map(|((data_hall, key), dated)| {
                let age = now.saturating_duration_since(dated.at);
                TallyEntry {
                    data_hall: *data_hall,
                    key: *key,
                    age_ms: age.as_millis().min(u16::MAX.into()) as u16,
                    tally: dated.tally,
                }
            })
            .collect()
    }

    /// The sum over the fleet, as far as it is known here.
    pub fn total(&self, key: &TallyKey, now: BootInstant) -> Tally {
        let own = self.own.get(key).copied().unwrap_or_default();
        let mut total = own;
        for ((data_hall, _), dated) in self.fresh_halls(key, now) {
            if *data_hall == self.data_hall {
                // The hall's sum holds what this VM last reported.
                let reported = self.reported.get(key);
                let mine = reported.map(|r| r.tally).unwrap_or_default();
                total = total + dated.tally - mine;
            } else {
                total = total + dated.tally;
            }
        }
        Tally(total.0.map(|value| value.max(0.0)))
    }

    /// Forgets all evidence on a version.
    pub fn forget_version(&mut self, gone: ShortHash) {
        let keep = |key: &TallyKey| match key {
            TallyKey::Evidence { version, .. } => *version != gone,
            TallyKey::Usage(_) => true,
        };
        self.own.retain(|key, _| keep(key));
        self.reported.retain(|key, _| keep(key));
        self.reports.retain(|(_, key), _| keep(key));
        self.halls.retain(|(_, key), _| keep(key));
    }

    /// This VM's own sum.
    pub fn own(&self, key: &TallyKey) -> Tally {
        self.own.get(key).copied().unwrap_or_default()
    }

    /// Every key that anything is known of.
    pub fn keys(&self) -> impl Iterator<Item = TallyKey> + '_ {
        let halls = self.halls.keys().map(|(_, key)| *key);
        self.own.keys().copied().chain(halls)
    }

    fn fresh_halls<'a>(
        &'a self,
        key: &'a TallyKey,
        now: BootInstant,
    ) -> impl Iterator<Item = (&'a (ShortHash, TallyKey), &'a Dated)> {
        self.halls
            .iter()
            .filter(move |((_, k), d)| k == key && d.is_fresh(now))
    }

    fn sum_reports(&self, key: &TallyKey) -> Tally {
        self.reports
            .iter()
            .filter(|((_, reported), _)| reported == key)
            .fold(Tally::default(), |sum, (_, dated)| sum + dated.tally)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEY: TallyKey = TallyKey::Usage(ShortHash(9));

    fn one(value: f32) -> Tally {
        Tally([value, 0.0, 0.0, 0.0, 0.0])
    }

    #[test]
    fn a_hall_is_added_up_and_counted_once() {
        let now = BootInstant::now();
        let hall = ShortHash(1);
        let (mut a, mut b) = (Tallies::new(hall), Tallies::new(hall));
        a.set(KEY, one(3.0));
        b.set(KEY, one(4.0));
        let (from_a, from_b) = (a.due(10, now), b.due(10, now));
        a.report(ShortHash(11), &from_a, now);
        a.report(ShortHash(12), &from_b, now);
        b.merge(&a.entries(10, now), now);
        assert_eq!(a.total(&KEY, now), one(7.0));
        assert_eq!(b.total(&KEY, now), one(7.0));
        b.set(KEY, one(6.0));
        assert_eq!(b.total(&KEY, now), one(9.0));
    }

    #[test]
    fn what_is_not_renewed_stops_counting() {
        let now = BootInstant::now();
        let mut a = Tallies::new(ShortHash(1));
        let entry = TallyEntry {
            data_hall: ShortHash(2),
            key: KEY,
            age_ms: 0,
            tally: one(5.0),
        };
        a.merge(&[entry], now);
        assert_eq!(a.total(&KEY, now), one(5.0));
        assert_eq!(a.total(&KEY, now + REPORT_LIFETIME), one(0.0));
    }

    #[test]
    fn only_changes_and_refreshes_are_due() {
        let now = BootInstant::now();
        let mut a = Tallies::new(ShortHash(1));
        a.set(KEY, one(100.0));
        assert_eq!(a.due(10, now).len(), 1);
        a.set(KEY, one(100.5));
        assert!(a.due(10, now).is_empty());
        a.set(KEY, one(110.0));
        assert_eq!(a.due(10, now).len(), 1);
        assert_eq!(a.due(10, now + REFRESH).len(), 1);
    }
}

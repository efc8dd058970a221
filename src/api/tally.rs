//! Tallies that the fleet aggregates: the usage of organisations, and the
//! evidence about model versions.
//!
//! Every VM keeps its own tallies; those of evidence decay over time. It
//! reports them to its hall's aggregator, which adds them up, and the totals
//! of the halls spread by gossip. A tally that is not refreshed expires, so a
//! VM or hall that disappears stops counting without any message about it.

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

/// Time after which a tally that was not refreshed expires.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);

/// Smaller changes, relative to the value, are not reported before the next
/// refresh.
const MIN_REPORTED_CHANGE: f32 = 0.02;

/// Every tally is reported this often even if it did not change.
const REFRESH_INTERVAL: Duration = Duration::from_secs(4);

/// The subject of a tally.
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
    /// The usage of an organisation; see [`usage`].
    Usage(ShortHash),
    /// How a version has answered an organisation's task; see [`evidence`].
    Evidence {
        /// The organisation.
        organisation: ShortHash,
        /// The task.
        task: ShortHash,
        /// The model and version.
        version: ShortHash,
    },
}

/// Several figures that are summed; their meaning depends on the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally(pub [f32; 5]);

/// The indices of the figures in a usage tally.
pub mod usage {
    /// Requests in flight.
    pub const IN_FLIGHT: usize = 0;
    /// Requests received per second, whether or not they were admitted.
    pub const DEMAND_PER_S: usize = 1;
    /// Cost in the current hour, in currency units.
    pub const HOUR_COST: usize = 2;
}

/// The indices of the figures in an evidence tally.
pub mod evidence {
    /// Attempts that were answered or failed.
    pub const ATTEMPTS: usize = 0;
    /// Attempts that failed.
    pub const ERRORS: usize = 1;
    /// Answers that have a rating.
    pub const RATED: usize = 2;
    /// Rated answers that met the quality target.
    pub const MET_TARGET: usize = 3;
    /// Sum of the times to the first token, in seconds.
    pub const FIRST_TOKEN_S: usize = 4;
}

impl Tally {
    /// Returns the tally with every figure multiplied by `factor`.
    #[must_use]
    pub fn scaled(self, factor: f32) -> Tally {
        Tally(self.0.map(|value| value * factor))
    }

    fn differs_from(self, other: Tally) -> bool {
        self.0.iter().zip(other.0).any(|(a, b)| {
            (a - b).abs() > MIN_REPORTED_CHANGE * a.abs().max(b.abs()).max(0.5)
        })
    }

    fn is_negligible(self) -> bool {
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
struct DatedTally {
    tally: Tally,
    at: BootInstant,
}

impl DatedTally {
    fn is_fresh(&self, now: BootInstant) -> bool {
        now.saturating_duration_since(self.at) < REPORT_MAX_AGE
    }
}

/// The tallies that one VM knows.
#[derive(Debug)]
pub struct Tallies {
    data_hall: ShortHash,
    /// This VM's own tallies.
    own: HashMap<TallyKey, Tally>,
    /// What this VM last reported to its hall's aggregator.
    last_reported: HashMap<TallyKey, DatedTally>,
    /// At the aggregator: the last report of each VM of the hall.
    vm_reports: HashMap<(ShortHash, TallyKey), DatedTally>,
    /// The total of each data hall.
    hall_totals: HashMap<(ShortHash, TallyKey), DatedTally>,
}

impl Tallies {
    /// Creates an empty set of tallies for a VM of `data_hall`.
    pub fn new(data_hall: ShortHash) -> Tallies {
        Tallies {
            data_hall,
            own: HashMap::new(),
            last_reported: HashMap::new(),
            vm_reports: HashMap::new(),
            hall_totals: HashMap::new(),
        }
    }

    /// Adds to one of this VM's own tallies.
    pub fn add(&mut self, key: TallyKey, tally: Tally) {
        let own = self.own.entry(key).or_default();
        *own = *own + tally;
    }

    /// Replaces one of this VM's own tallies.
    pub fn set(&mut self, key: TallyKey, tally: Tally) {
        self.own.insert(key, tally);
    }

    /// Multiplies this VM's own evidence by `factor` and drops tallies that
    /// are nearly zero.
    ///
    /// Usage does not decay; [`Tallies::set`] replaces it regularly.
    pub fn decay(&mut self, factor: f32) {
        self.own.retain(|key, tally| {
            if matches!(key, TallyKey::Evidence { .. }) {
                *tally = tally.scaled(factor);
            }
            !tally.is_negligible()
        });
    }

    /// Returns at most `limit` of this VM's own tallies that are due to be
    /// reported, and marks them as reported.
    pub fn take_due(
        &mut self,
        limit: usize,
        now: BootInstant,
    ) -> Vec<(TallyKey, Tally)> {
        let last_reported = &self.last_reported;
        let mut due: Vec<(TallyKey, Tally)> = self
            .own
            .iter()
            .filter(|(key, tally)| {
                last_reported.get(key).is_none_or(|last| {
                    now.saturating_duration_since(last.at) >= REFRESH_INTERVAL
                        || last.tally.differs_from(**tally)
                })
            })
            .map(|(key, tally)| (*key, *tally))
            .collect();
        // Those never reported go first, then those reported longest ago.
        due.sort_by_key(|(key, _)| last_reported.get(key).map(|last| last.at));
        due.truncate(limit);
        for (key, tally) in &due {
            let entry = DatedTally { tally: *tally, at: now };
            self.last_reported.insert(*key, entry);
        }
        due
    }

    /// Records the report of a VM of this hall and updates the hall's totals,
    /// at the hall's aggregator.
    pub fn record_report(
        &mut self,
        vm: ShortHash,
        tallies: &[(TallyKey, Tally)],
        now: BootInstant,
    ) {
        for (key, tally) in tallies {
            let entry = DatedTally { tally: *tally, at: now };
            self.vm_reports.insert((vm, *key), entry);
        }
        self.vm_reports.retain(|_, entry| entry.is_fresh(now));
        for (key, _) in tallies {
            let sum = self.sum_vm_reports(key);
            let entry = DatedTally { tally: sum, at: now };
            self.hall_totals.insert((self.data_hall, *key), entry);
        }
    }

    /// Merges hall totals received by gossip; the newer one of each wins.
    pub fn merge(&mut self, entries: &[TallyEntry], now: BootInstant) {
        for entry in entries {
            let age = Duration::from_millis(entry.age_ms.into());
            let Some(at) = now.checked_sub(age) else { continue };
            let received = DatedTally { tally: entry.tally, at };
            let known = self.hall_totals.entry((entry.data_hall, entry.key));
            let known = known.or_insert(received);
            if at > known.at {
                *known = received;
            }
        }
        self.hall_totals.retain(|_, entry| entry.is_fresh(now));
    }

    /// Returns the newest hall totals, to be gossiped on.
    pub fn entries(&self, limit: usize, now: BootInstant) -> Vec<TallyEntry> {
        let mut newest: Vec<_> = self.hall_totals.iter().collect();
        newest.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.at));
        newest
            .into_iter()
            .take(limit)
            .map(|((data_hall, key), entry)| {
                let age = now.saturating_duration_since(entry.at);
                TallyEntry {
                    data_hall: *data_hall,
                    key: *key,
                    age_ms: age.as_millis().min(u16::MAX.into()) as u16,
                    tally: entry.tally,
                }
            })
            .collect()
    }

    /// Returns the total over the fleet, as far as it is known here.
    pub fn total(&self, key: &TallyKey, now: BootInstant) -> Tally {
        let own = self.own.get(key).copied().unwrap_or_default();
        let mut total = own;
        for ((data_hall, _), entry) in self.fresh_hall_totals(key, now) {
            if *data_hall == self.data_hall {
                // The hall's total includes what this VM last reported.
                let reported = self.last_reported.get(key);
                let own_reported =
                    reported.map(|r| r.tally).unwrap_or_default();
                total = total + entry.tally - own_reported;
            } else {
                total = total + entry.tally;
            }
        }
        Tally(total.0.map(|value| value.max(0.0)))
    }

    /// Removes all evidence about a version.
    pub fn forget_version(&mut self, forgotten: ShortHash) {
        let is_kept = |key: &TallyKey| match key {
            TallyKey::Evidence { version, .. } => *version != forgotten,
            TallyKey::Usage(_) => true,
        };
        self.own.retain(|key, _| is_kept(key));
        self.last_reported.retain(|key, _| is_kept(key));
        self.vm_reports.retain(|(_, key), _| is_kept(key));
        self.hall_totals.retain(|(_, key), _| is_kept(key));
    }

    /// Returns this VM's own tally; zero where there is none.
    pub fn own(&self, key: &TallyKey) -> Tally {
        self.own.get(key).copied().unwrap_or_default()
    }

    /// Returns the keys of this VM's own tallies and of all hall totals; a key
    /// may occur more than once.
    pub fn keys(&self) -> impl Iterator<Item = TallyKey> + '_ {
        let hall_keys = self.hall_totals.keys().map(|(_, key)| *key);
        self.own.keys().copied().chain(hall_keys)
    }

    fn fresh_hall_totals<'a>(
        &'a self,
        key: &'a TallyKey,
        now: BootInstant,
    ) -> impl Iterator<Item = (&'a (ShortHash, TallyKey), &'a DatedTally)>
    {
        self.hall_totals
            .iter()
            .filter(move |((_, k), d)| k == key && d.is_fresh(now))
    }

    fn sum_vm_reports(&self, key: &TallyKey) -> Tally {
        self.vm_reports
            .iter()
            .filter(|((_, reported), _)| reported == key)
            .fold(Tally::default(), |sum, (_, entry)| sum + entry.tally)
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
    fn a_vms_own_tally_is_counted_once_in_the_total() {
        let now = BootInstant::now();
        let hall = ShortHash(1);
        let (mut a, mut b) = (Tallies::new(hall), Tallies::new(hall));
        a.set(KEY, one(3.0));
        b.set(KEY, one(4.0));
        let (from_a, from_b) = (a.take_due(10, now), b.take_due(10, now));
        a.record_report(ShortHash(11), &from_a, now);
        a.record_report(ShortHash(12), &from_b, now);
        b.merge(&a.entries(10, now), now);
        assert_eq!(a.total(&KEY, now), one(7.0));
        assert_eq!(b.total(&KEY, now), one(7.0));
        b.set(KEY, one(6.0));
        assert_eq!(b.total(&KEY, now), one(9.0));
    }

    #[test]
    fn a_total_that_is_not_refreshed_expires() {
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
        assert_eq!(a.total(&KEY, now + REPORT_MAX_AGE), one(0.0));
    }

    #[test]
    fn only_changed_or_unrefreshed_tallies_are_due() {
        let now = BootInstant::now();
        let mut a = Tallies::new(ShortHash(1));
        a.set(KEY, one(100.0));
        assert_eq!(a.take_due(10, now).len(), 1);
        a.set(KEY, one(100.5));
        assert!(a.take_due(10, now).is_empty());
        a.set(KEY, one(110.0));
        assert_eq!(a.take_due(10, now).len(), 1);
        assert_eq!(a.take_due(10, now + REFRESH_INTERVAL).len(), 1);
    }
}

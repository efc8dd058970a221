//! A lease with epochs, judged by each side's own monotonic clock.
//!
//! The holder counts its time from before it sent the call that gave or
//! renewed the lease, and stops early; a successor counts from after it saw
//! the record unchanged, and waits longer. No two clocks are compared.

use std::time::Duration;

use crate::clock::BootInstant;

use serde::{Deserialize, Serialize};

use crate::chains::{
    claim::VmIncarnation,
    store::{Condition, Store, StoreError, StoreVersion, Stored, Written},
};

/// Share of the lease after which its holder renews it.
const RENEW_SHARE: f64 = 1.0 / 3.0;

/// Share of the lease that its holder uses; the rest is for clocks that run
/// at slightly different speeds.
const USE_SHARE: f64 = 0.9;

/// A count of holders; orders carry it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// The record of a lease in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder, or `None` after it gave the lease back.
    pub holder: Option<VmIncarnation>,
    /// The epoch of the holder.
    pub epoch: Epoch,
    /// The number of the renewal, so that each writes something new.
    pub renewal: u64,
}

/// What this VM knows about the record.
#[derive(Clone, Debug)]
struct Seen {
    version: StoreVersion,
    record: LeaseRecord,
    /// Since when the record is known to stand unchanged.
    since: BootInstant,
}

/// One VM's side of a lease.
#[derive(Debug)]
pub struct Lease {
    key: String,
    me: VmIncarnation,
    ttl: Duration,
    takeover_wait: Duration,
    seen: Option<Seen>,
    held_from: Option<BootInstant>,
    looked_at: Option<BootInstant>,
}

/// What a step of the lease changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// Nothing.
    None,
    /// This VM took the lease.
    Taken(Epoch),
    /// This VM lost the lease.
    Lost,
}

impl Lease {
    /// Creates this VM's side of the lease under `key`.
    ///
    /// A successor waits out `ttl` and `longest_send`, the longest time for
    /// which an order of the old holder may still be on its way.
    pub fn new(
        key: String,
        me: VmIncarnation,
        ttl: Duration,
        longest_send: Duration,
    ) -> Lease {
        Lease {
            key,
            me,
            ttl,
            takeover_wait: ttl + longest_send,
            seen: None,
            held_from: None,
            looked_at: None,
        }
    }

    /// The epoch, if this VM may act as the holder at `now`.
    ///
    /// To be asked at the last moment before each act.
    pub fn epoch(&self, now: BootInstant) -> Option<Epoch> {
        let held_from = self.held_from?;
        let held = now.saturating_duration_since(held_from);
        if held >= self.ttl.mul_f64(USE_SHARE) {
            return None;
        }
        self.seen.as_ref().map(|seen| seen.record.epoch)
    }

    /// Takes, renews or watches the lease; to be called regularly.
    ///
    /// `now` is called before each call to the store and after it.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; the holder then goes on only until its time is up.
    pub async fn step(
        &mut self,
        store: &dyn Store,
        now: &(dyn Fn() -> BootInstant + Sync),
        wanted: bool,
    ) -> Result<LeaseChange, StoreError> {
        let was_held = self.held_from.is_some();
        if was_held && self.epoch(now()).is_none() {
            self.held_from = None;
        }
        if self.is_due(now(), wanted) {
            self.looked_at = Some(now());
            self.look(store, now).await?;
            self.write(store, now, wanted).await?;
        }
        Ok(match (was_held, self.epoch(now())) {
            (false, Some(epoch)) => LeaseChange::Taken(epoch),
            (true, None) => LeaseChange::Lost,
            _ => LeaseChange::None,
        })
    }

    /// Whether the store must be asked: to renew, to see whether the holder
    /// still renews, or to take what is free.
    ///
    /// A VM that does not want the lease asks nothing, since each call
    /// counts in the budget of the whole fleet.
    fn is_due(&self, now: BootInstant, wanted: bool) -> bool {
        let pause = self.ttl.mul_f64(RENEW_SHARE);
        let has_passed =
            |from: BootInstant| now.saturating_duration_since(from) >= pause;
        match self.held_from {
            Some(from) => has_passed(from),
            None if !wanted => false,
            None => {
                self.looked_at.is_none_or(has_passed)
                    || self.next_record(now, wanted).is_some()
            }
        }
    }

    /// Gives the lease back, so that a successor need not wait.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; the lease then runs out.
    pub async fn release(
        &mut self,
        store: &dyn Store,
    ) -> Result<(), StoreError> {
        let held = self.held_from.take().is_some();
        let Some(seen) = self.seen.take().filter(|_| held) else {
            return Ok(());
        };
        let record = LeaseRecord {
            holder: None,
            epoch: seen.record.epoch,
            renewal: seen.record.renewal + 1,
        };
        self.put(store, &record, Condition::Is(seen.version)).await?;
        Ok(())
    }

    async fn look(
        &mut self,
        store: &dyn Store,
        now: &(dyn Fn() -> BootInstant + Sync),
    ) -> Result<(), StoreError> {
        let Some(stored) = store.get(&self.key).await? else {
            self.seen = None;
            return Ok(());
        };
        let unchanged = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == stored.version);
        if !unchanged {
            self.see(&stored, now())?;
        }
        Ok(())
    }

    fn see(
        &mut self,
        stored: &Stored,
        since: BootInstant,
    ) -> Result<(), StoreError> {
        let record: LeaseRecord = crate::chains::chain::decode(&stored.value)?;
        if record.holder.as_ref() != Some(&self.me) {
            self.held_from = None;
        }
        self.seen = Some(Seen { version: stored.version, record, since });
        Ok(())
    }

    async fn write(
        &mut self,
        store: &dyn Store,
        now: &(dyn Fn() -> BootInstant + Sync),
        wanted: bool,
    ) -> Result<(), StoreError> {
        let Some((record, condition)) = self.next_record(now(), wanted) else {
            return Ok(());
        };
        let sent_at = now();
        match self.put(store, &record, condition).await? {
            Written::Conflict => {}
            Written::Done(version) => {
                let since = now();
                self.seen = Some(Seen { version, record, since });
                self.held_from = Some(sent_at);
            }
        }
        Ok(())
    }

    fn next_record(
        &self,
        now: BootInstant,
        wanted: bool,
    ) -> Option<(LeaseRecord, Condition)> {
        let Some(seen) = &self.seen else {
            let first = self.record(Epoch(1), 0);
            return wanted.then_some((first, Condition::Absent));
        };
        let condition = Condition::Is(seen.version);
        let renewal = seen.record.renewal + 1;
        if self.held_from.is_some() {
            let record = self.record(seen.record.epoch, renewal);
            return Some((record, condition));
        }
        let unchanged = now.saturating_duration_since(seen.since);
        let free =
            seen.record.holder.is_none() || unchanged >= self.takeover_wait;
        let next = Epoch(seen.record.epoch.0 + 1);
        (wanted && free).then(|| (self.record(next, renewal), condition))
    }

    fn record(&self, epoch: Epoch, renewal: u64) -> LeaseRecord {
        LeaseRecord { holder: Some(self.me.clone()), epoch, renewal }
    }

    async fn put(
        &self,
        store: &dyn Store,
        record: &LeaseRecord,
        condition: Condition,
    ) -> Result<Written, StoreError> {
        let value = crate::chains::chain::encode(record)?;
        store.put(&self.key, &value, condition).await
    }
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use proptest::prelude::*;
    use smol::block_on;

    use super::*;
    use crate::{
        chains::memory_store::{Fault, MemoryStore},
        id::Incarnation,
    };

    const TTL: Duration = Duration::from_secs(6);
    const SEND: Duration = Duration::from_secs(1);

    fn lease(name: &str) -> Lease {
        let me = VmIncarnation {
            vm: name.parse().unwrap(),
            incarnation: Incarnation(1),
        };
        Lease::new("lease/x".to_owned(), me, TTL, SEND)
    }

    #[test]
    fn a_successor_waits_and_gets_a_higher_epoch() {
        let store = MemoryStore::default();
        let start = BootInstant::now();
        let at = |s: u64| move || start + Duration::from_secs(s);
        let (mut a, mut b) = (lease("vm-a"), lease("vm-b"));
        block_on(async {
            let taken = a.step(&store, &at(0), true).await.unwrap();
            assert_eq!(taken, LeaseChange::Taken(Epoch(1)));
            b.step(&store, &at(1), true).await.unwrap();
            b.step(&store, &at(7), true).await.unwrap();
            assert_eq!(b.epoch(at(7)()), None);
            assert_eq!(a.epoch(at(7)()), None);
            let taken = b.step(&store, &at(8), true).await.unwrap();
            assert_eq!(taken, LeaseChange::Taken(Epoch(2)));
            let lost = a.step(&store, &at(9), true).await.unwrap();
            assert_eq!(lost, LeaseChange::Lost);
        });
    }

    #[test]
    fn a_lease_given_back_is_free_at_once() {
        let store = MemoryStore::default();
        let start = BootInstant::now();
        let now = || start;
        let (mut a, mut b) = (lease("vm-a"), lease("vm-b"));
        block_on(async {
            a.step(&store, &now, true).await.unwrap();
            a.release(&store).await.unwrap();
            assert_eq!(a.epoch(start), None);
            let taken = b.step(&store, &now, true).await.unwrap();
            assert_eq!(taken, LeaseChange::Taken(Epoch(2)));
        });
    }

    fn fault() -> impl Strategy<Value = Fault> {
        prop_oneof![
            4 => Just(Fault::None),
            1 => Just(Fault::NotDone),
            1 => Just(Fault::LostCall),
            1 => Just(Fault::LostAnswer),
        ]
    }

    proptest! {
        /// Under any order of steps, waits and lost answers two VMs never
        /// hold the lease at once, and epochs of holders never repeat.
        #[test]
        fn there_is_one_holder_at_a_time(
            steps in prop::collection::vec(
                (0..3_usize, 0..4000_u64, fault()), 1..80),
        ) {
            let store = MemoryStore::default();
            let start = BootInstant::now();
            let clock = Cell::new(start);
            let mut all = [lease("vm-a"), lease("vm-b"), lease("vm-c")];
            let mut last_epoch = Epoch(0);
            let mut last_holder = None;
            for (who, wait_ms, fault) in steps {
                clock.set(clock.get() + Duration::from_millis(wait_ms));
                store.plan([fault]);
                let moment = clock.get();
                let now = || moment;
                let _ = block_on(all[who].step(&store, &now, true));
                let holders: Vec<_> = (0..3)
                    .filter_map(|at| Some((at, all[at].epoch(moment)?)))
                    .collect();
                prop_assert!(holders.len() <= 1, "{holders:?}");
                if let Some((holder, epoch)) = holders.first() {
                    prop_assert!(*epoch >= last_epoch);
                    if *epoch == last_epoch {
                        prop_assert_eq!(last_holder, Some(*holder));
                    }
                    last_epoch = *epoch;
                    last_holder = Some(*holder);
                }
            }
        }
    }
}

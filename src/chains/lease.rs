//! A lease with epochs, for which each VM uses only its own monotonic clock.
//!
//! The holder measures the lease from before it sent the call that took or
//! renewed it, and stops early. A successor measures from after it first read
//! the current version of the record, and waits longer. Clocks of different
//! VMs are never compared.

use std::time::Duration;

use crate::clock::BootInstant;

use serde::{Deserialize, Serialize};

use crate::chains::{
    claim::VmIncarnation,
    store::{
        Condition, PutOutcome, Store, StoreError, StoreVersion, VersionedValue,
    },
};

/// Fraction of the TTL after which the holder renews the lease.
const RENEW_FRACTION: f64 = 1.0 / 3.0;

/// Fraction of the TTL during which the holder may act. The rest allows for
/// clocks that run at slightly different speeds.
const USABLE_FRACTION: f64 = 0.9;

/// The number of a lease's holder, which grows with each new holder. Orders
/// carry it as a fencing token.
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
    /// The holder, or `None` after it released the lease.
    pub holder: Option<VmIncarnation>,
    /// The epoch of the holder.
    pub epoch: Epoch,
    /// The count of writes, so that each renewal changes the record.
    pub renewal: u64,
}

/// The record as this VM last read or wrote it.
#[derive(Clone, Debug)]
struct ObservedRecord {
    version: StoreVersion,
    record: LeaseRecord,
    /// The time since which the record is known not to have changed.
    unchanged_since: BootInstant,
}

/// A VM's view of a lease that it may hold.
#[derive(Debug)]
pub struct Lease {
    key: String,
    me: VmIncarnation,
    ttl: Duration,
    takeover_wait: Duration,
    observed: Option<ObservedRecord>,
    held_since: Option<BootInstant>,
    checked_at: Option<BootInstant>,
}

/// How a step changed whether this VM holds the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// No change.
    None,
    /// This VM took the lease.
    Taken(Epoch),
    /// This VM lost the lease.
    Lost,
}

impl Lease {
    /// Creates this VM's view of the lease stored under `key`.
    ///
    /// A successor waits for `ttl` and `longest_send`, the maximum time for
    /// which an order of the old holder may still be in transit.
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
            observed: None,
            held_since: None,
            checked_at: None,
        }
    }

    /// Returns the epoch if this VM may act as the holder at `now`.
    ///
    /// Callers must check it immediately before each action.
    pub fn epoch(&self, now: BootInstant) -> Option<Epoch> {
        let held_since = self.held_since?;
        let held_for = now.saturating_duration_since(held_since);
        if held_for >= self.ttl.mul_f64(USABLE_FRACTION) {
            return None;
        }
        self.observed.as_ref().map(|observed| observed.record.epoch)
    }

    /// Takes, renews or watches the lease. Must be called regularly.
    ///
    /// `now` is called before and after each call to the store.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; a holder then keeps the lease only until it expires.
    pub async fn step(
        &mut self,
        store: &dyn Store,
        now: &(dyn Fn() -> BootInstant + Sync),
        wanted: bool,
    ) -> Result<LeaseChange, StoreError> {
        let was_held = self.held_since.is_some();
        if was_held && self.epoch(now()).is_none() {
            self.held_since = None;
        }
        if self.is_due(now(), wanted) {
            self.checked_at = Some(now());
            self.refresh(store, now).await?;
            self.write(store, now, wanted).await?;
        }
        Ok(match (was_held, self.epoch(now())) {
            (false, Some(epoch)) => LeaseChange::Taken(epoch),
            (true, None) => LeaseChange::Lost,
            _ => LeaseChange::None,
        })
    }

    /// Returns whether to call the store: to renew the lease, to see whether
    /// its holder still renews it, or to take it if it is free.
    ///
    /// A VM that doesn't want the lease makes no calls, since each call counts
    /// towards the fleet's budget of store calls.
    fn is_due(&self, now: BootInstant, wanted: bool) -> bool {
        let interval = self.ttl.mul_f64(RENEW_FRACTION);
        let has_passed = |from: BootInstant| {
            now.saturating_duration_since(from) >= interval
        };
        match self.held_since {
            Some(from) => has_passed(from),
            None if !wanted => false,
            None => {
                self.checked_at.is_none_or(has_passed)
                    || self.next_record(now, wanted).is_some()
            }
        }
    }

    /// Releases the lease, so that a successor need not wait for it to expire.
    ///
    /// # Errors
    ///
    /// A [`StoreError`]; the lease then expires.
    pub async fn release(
        &mut self,
        store: &dyn Store,
    ) -> Result<(), StoreError> {
        let was_held = self.held_since.take().is_some();
        let Some(observed) = self.observed.take().filter(|_| was_held) else {
            return Ok(());
        };
        let record = LeaseRecord {
            holder: None,
            epoch: observed.record.epoch,
            renewal: observed.record.renewal.wrapping_add(1),
        };
        self.put(store, &record, Condition::VersionIs(observed.version))
            .await?;
        Ok(())
    }

    async fn refresh(
        &mut self,
        store: &dyn Store,
        now: &(dyn Fn() -> BootInstant + Sync),
    ) -> Result<(), StoreError> {
        let Some(stored) = store.get(&self.key).await? else {
            self.observed = None;
            return Ok(());
        };
        let is_unchanged = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == stored.version);
        if !is_unchanged {
            self.observe(&stored, now())?;
        }
        Ok(())
    }

    fn observe(
        &mut self,
        stored: &VersionedValue,
        unchanged_since: BootInstant,
    ) -> Result<(), StoreError> {
        let record: LeaseRecord = crate::chains::chain::decode(&stored.value)?;
        if record.holder.as_ref() != Some(&self.me) {
            self.held_since = None;
        }
        self.observed = Some(ObservedRecord {
            version: stored.version,
            record,
            unchanged_since,
        });
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
            PutOutcome::Conflict => {}
            PutOutcome::Written(version) => {
                let unchanged_since = now();
                self.observed =
                    Some(ObservedRecord { version, record, unchanged_since });
                self.held_since = Some(sent_at);
            }
        }
        Ok(())
    }

    fn next_record(
        &self,
        now: BootInstant,
        wanted: bool,
    ) -> Option<(LeaseRecord, Condition)> {
        let Some(observed) = &self.observed else {
            let first = self.record(Epoch(1), 0);
            return wanted.then_some((first, Condition::Absent));
        };
        let condition = Condition::VersionIs(observed.version);
        // A renewal must only differ from the one before.
        let renewal = observed.record.renewal.wrapping_add(1);
        if self.held_since.is_some() {
            let record = self.record(observed.record.epoch, renewal);
            return Some((record, condition));
        }
        let unchanged_for =
            now.saturating_duration_since(observed.unchanged_since);
        let is_free = observed.record.holder.is_none()
            || unchanged_for >= self.takeover_wait;
        let next = Epoch(observed.record.epoch.0.checked_add(1)?);
        (wanted && is_free).then(|| (self.record(next, renewal), condition))
    }

    fn record(&self, epoch: Epoch, renewal: u64) -> LeaseRecord {
        LeaseRecord { holder: Some(self.me.clone()), epoch, renewal }
    }

    async fn put(
        &self,
        store: &dyn Store,
        record: &LeaseRecord,
        condition: Condition,
    ) -> Result<PutOutcome, StoreError> {
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
    fn a_successor_waits_for_expiry_and_gets_the_next_epoch() {
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
    fn a_released_lease_can_be_taken_at_once() {
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

    #[test]
    fn numbers_at_their_ends_in_a_record_do_not_overflow() {
        let start = BootInstant::now();
        let at = |s: u64| move || start + Duration::from_secs(s);
        let last = u64::MAX;
        for (epoch, renewal, is_usable) in
            [(last, 1, false), (1, last, true), (last, last, false)]
        {
            let store = MemoryStore::default();
            let mut lease = lease("vm-a");
            let text = format!(
                r#"{{"holder":null,"epoch":{epoch},"renewal":{renewal}}}"#
            );
            block_on(async {
                let absent = Condition::Absent;
                store.put("lease/x", &text, absent).await.unwrap();
                for second in [0, 4, 8] {
                    lease.step(&store, &at(second), true).await.unwrap();
                }
                let taken = is_usable.then_some(Epoch(2));
                assert_eq!(lease.epoch(at(8)()), taken);
            });
        }
    }

    fn fault() -> impl Strategy<Value = Fault> {
        prop_oneof![
            4 => Just(Fault::None),
            1 => Just(Fault::NotApplied),
            1 => Just(Fault::LostRequest),
            1 => Just(Fault::LostResponse),
        ]
    }

    proptest! {
        /// Under any order of steps, waits and lost responses, two VMs never
        /// hold the lease at the same time, and two holders never have the
        /// same epoch.
        #[test]
        fn at_most_one_vm_holds_the_lease(
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
                store.inject([fault]);
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

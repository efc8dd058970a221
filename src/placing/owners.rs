//! Which VMs share what one upstream may get from all of them together.
//!
//! Every VM finds the same few owners of an upstream by hashing, and the
//! others leave it out, so a bound over all VMs is kept without a message.
//! Owners are chosen among the VMs that the store records, which all know
//! alike, and not among those that a VM hears, which differ. A VM that is not
//! recorded owns nothing.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{id::DataHallId, message::ShortHash, rendezvous};

/// The VMs that the store records.
#[derive(Debug, Default)]
pub(crate) struct Roster(BTreeMap<String, RecordedVm>);

#[derive(Debug)]
struct RecordedVm {
    /// What upstreams are matched with.
    hash: u64,
    data_hall: DataHallId,
}

impl RecordedVm {
    /// Its place in the order of an upstream's owners; the lowest is first.
    fn rank(
        &self,
        upstream: ShortHash,
        hall: &DataHallId,
    ) -> (bool, Reverse<u64>) {
        let score = rendezvous::mix(u64::from(upstream.0), self.hash);
        (self.data_hall != *hall, Reverse(score))
    }
}

impl Roster {
    /// Notes that a VM is recorded.
    pub(crate) fn add(&mut self, vm: &str, data_hall: &DataHallId) {
        let hash = rendezvous::short_hash(vm.as_bytes()).into();
        let data_hall = data_hall.clone();
        self.0.insert(vm.to_owned(), RecordedVm { hash, data_hall });
    }

    /// Notes that a VM's record is gone.
    pub(crate) fn remove(&mut self, vm: &str) {
        self.0.remove(vm);
    }

    /// How many VMs own an upstream, at most `most`, if `vm` is one of them.
    ///
    /// VMs of the upstream's data hall come first: they stay in touch with it
    /// when the hall is cut off.
    pub(crate) fn owners(
        &self,
        vm: &str,
        upstream: ShortHash,
        hall: &DataHallId,
        max: usize,
    ) -> Option<usize> {
        let own = self.0.get(vm)?.rank(upstream, hall);
        let others = self.0.values();
        let before = others.filter(|other| other.rank(upstream, hall) < own);
        let is_owner = before.take(max).count() < max;
        is_owner.then(|| self.0.len().min(max))
    }

    /// The same among the VMs of the upstream's data hall alone.
    pub(crate) fn owners_in_hall(
        &self,
        vm: &str,
        upstream: ShortHash,
        hall: &DataHallId,
        max: usize,
    ) -> Option<usize> {
        if self.0.get(vm)?.data_hall != *hall {
            return None;
        }
        self.owners(vm, upstream, hall, max)?;
        let there = self.0.values().filter(|other| other.data_hall == *hall);
        Some(there.count().min(max))
    }
}

#[cfg(test)]
mod tests;

//! Which VMs share a limit that an upstream sets for all of them together.
//!
//! Every VM derives the same few owners of an upstream by rendezvous hashing,
//! and only the owners send requests to it, so a limit over all VMs is kept
//! without messages. Owners are chosen among the VMs that the store records,
//! on which all VMs agree, and not among the VMs that are reachable, on which
//! views differ. A VM that is not recorded owns nothing.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{id::DataHallId, message::ShortHash, rendezvous};

/// The VMs that are recorded in the store.
#[derive(Debug, Default)]
pub(crate) struct Roster(BTreeMap<String, RecordedVm>);

#[derive(Debug)]
struct RecordedVm {
    /// Hash of the VM's name, for its rendezvous score.
    hash: u64,
    data_hall: DataHallId,
}

impl RecordedVm {
    /// The sort key among the owners of an upstream; the lowest comes first.
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
    /// Adds a VM that is recorded in the store.
    pub(crate) fn add(&mut self, vm: &str, data_hall: &DataHallId) {
        let hash = rendezvous::short_hash(vm.as_bytes()).into();
        let data_hall = data_hall.clone();
        self.0.insert(vm.to_owned(), RecordedVm { hash, data_hall });
    }

    /// Removes a VM that is no longer recorded.
    pub(crate) fn remove(&mut self, vm: &str) {
        self.0.remove(vm);
    }

    /// Returns the number of owners of an upstream, at most `max`, if `vm` is
    /// one of them.
    ///
    /// VMs of the upstream's data hall come first: they can still reach it
    /// when the hall is partitioned from the others.
    pub(crate) fn owners(
        &self,
        vm: &str,
        upstream: ShortHash,
        hall: &DataHallId,
        max: usize,
    ) -> Option<usize> {
        let own = self.0.get(vm)?.rank(upstream, hall);
        let others = self.0.values();
        let preceding =
            others.filter(|other| other.rank(upstream, hall) < own);
        let is_owner = preceding.take(max).count() < max;
        is_owner.then(|| self.0.len().min(max))
    }

    /// Returns the names of the owners of an upstream, at most `max`.
    pub(crate) fn owner_names(
        &self,
        upstream: ShortHash,
        hall: &DataHallId,
        max: usize,
    ) -> Vec<&str> {
        let rank = |vm: &RecordedVm| vm.rank(upstream, hall);
        let mut ranked: Vec<_> =
            self.0.iter().map(|(name, vm)| (rank(vm), name)).collect();
        if max < ranked.len() {
            ranked.select_nth_unstable(max);
            ranked.truncate(max);
        }
        ranked.into_iter().map(|(_, name)| name.as_str()).collect()
    }

    /// Returns the names of the owners of an upstream, at most `max`, that are
    /// in its data hall.
    pub(crate) fn owner_names_in_hall(
        &self,
        upstream: ShortHash,
        hall: &DataHallId,
        max: usize,
    ) -> Vec<&str> {
        let names = self.owner_names(upstream, hall, max).into_iter();
        names.filter(|name| self.0[*name].data_hall == *hall).collect()
    }

    /// Returns the number of owners that are in the upstream's data hall, if
    /// `vm` is one of them; `None` also if it is in another hall.
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

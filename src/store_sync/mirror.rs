//! The keys of the platform's store with their values, as this VM has read
//! them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    chains::store::StoreVersion,
    clock::BootInstant,
    platform::{
        document,
        store::{StoreItem, StoreItems},
    },
    rendezvous,
    store_sync::{
        held_updates::HeldUpdates,
        knowledge::{AppliedItems, MirroredItem, StoreUpdate, Unreadable},
        older_copy::{self, Adoption},
        route::TableVersion,
        store_position::StorePosition,
    },
};

/// A value and the version of its last change.
type Versioned = (Vec<u8>, StoreVersion);

/// A copy of the store.
#[derive(Debug, Default)]
pub(super) struct Mirror {
    /// The position of the store up to which every change is known.
    as_of: StorePosition,
    /// Combined hash of all keys and their versions.
    digest: u64,
    items: BTreeMap<String, Versioned>,
    /// Version of the configuration among the items. Where the store came back
    /// with an older one, the items keep the newer one, for VMs that start.
    configuration: Option<TableVersion>,
    held: HeldUpdates,
}

impl Mirror {
    pub(super) fn as_of(&self) -> StorePosition {
        self.as_of
    }

    /// Records that every change up to a position of the present era is known.
    pub(super) fn complete_to(&mut self, as_of: StorePosition) {
        if as_of.era == self.as_of.era {
            self.as_of = self.as_of.max(as_of);
        }
    }

    /// Returns a digest of the era and of all keys and their versions.
    pub(super) fn digest(&self) -> u64 {
        rendezvous::mix(self.digest, self.as_of.era.0)
    }

    pub(super) fn get(&self, key: &str) -> Option<&Versioned> {
        self.items.get(key)
    }

    pub(super) fn all(&self) -> Vec<MirroredItem> {
        let items = self.items.iter();
        let items = items.map(|(key, (value, version))| MirroredItem {
            key: key.clone(),
            value: value.clone(),
            version: version.0,
        });
        items.collect()
    }

    /// Applies changes up to their position. Those of another era are ignored:
    /// an earlier one is over, and a later one begins with a snapshot.
    pub(super) fn apply_changes(
        &mut self,
        changes: StoreItems,
    ) -> AppliedItems {
        let mut applied = AppliedItems::default();
        if changes.as_of.era != self.as_of.era {
            applied.is_outdated = true;
            return applied;
        }
        for item in changes.items {
            self.apply(item, &mut applied);
        }
        applied.unreadable.extend(changes.unreadable);
        self.as_of = self.as_of.max(changes.as_of);
        applied
    }

    /// Applies a snapshot of the whole store. A snapshot that is older than
    /// this copy is ignored.
    pub(super) fn apply_snapshot(
        &mut self,
        all: StoreItems,
        now: BootInstant,
    ) -> AppliedItems {
        if all.as_of < self.as_of {
            let is_outdated = true;
            return AppliedItems { is_outdated, ..AppliedItems::default() };
        }
        let is_read = self.as_of > StorePosition::default();
        if is_read && all.as_of.era > self.as_of.era {
            return self.begin_era(all, now);
        }
        let mut applied = AppliedItems::default();
        for item in self.changes_in(&all).items {
            self.apply(item, &mut applied);
        }
        applied.unreadable.extend(all.unreadable);
        self.as_of = all.as_of;
        applied
    }

    /// Returns what a snapshot of the present era changes: the keys that it
    /// lacks, and the items that are new.
    pub(super) fn changes_in(&self, all: &StoreItems) -> StoreItems {
        let version = all.as_of.version;
        let present: BTreeSet<&str> =
            all.items.iter().map(|item| item.key.as_str()).collect();
        let keys = self.items.keys();
        let lacking = keys.filter(|key| !present.contains(key.as_str()));
        let removed = lacking.map(|key| StoreItem {
            key: key.clone(),
            value: None,
            version,
        });
        let written = all.items.iter().filter(|item| self.is_new(item));
        let items = removed.chain(written.cloned()).collect();
        StoreItems { items, as_of: all.as_of, ..StoreItems::default() }
    }

    /// Replaces this copy by the first snapshot of a new era.
    fn begin_era(
        &mut self,
        all: StoreItems,
        now: BootInstant,
    ) -> AppliedItems {
        let mut applied = AppliedItems::default();
        let items = std::mem::take(&mut self.items);
        let mut believed: BTreeMap<String, Vec<u8>> =
            items.into_iter().map(|(key, (value, _))| (key, value)).collect();
        for (key, value) in self.held.take_all() {
            match value {
                Some(value) => believed.insert(key, value),
                None => believed.remove(&key),
            };
        }
        self.digest = 0;
        self.as_of = all.as_of;
        for item in all.items {
            let Some(value) = item.value else { continue };
            let own = believed.remove(&item.key);
            self.adopt(item.key, value, item.version, own, now, &mut applied);
        }
        applied.unreadable.extend(all.unreadable);
        for (key, value) in believed {
            let held_for = older_copy::hold_of_missing(&key);
            applied.updates.extend(older_copy::update_of_missing(&key));
            if let Some(time) = held_for {
                self.held.hold(key, Some(value), time, now);
            }
        }
        applied.held = self.held.len();
        applied.begins_era = true;
        applied
    }

    /// Takes in an item of the first snapshot of a new era; `own` is the value
    /// that this VM goes by.
    fn adopt(
        &mut self,
        key: String,
        value: Vec<u8>,
        version: StoreVersion,
        own: Option<Vec<u8>>,
        now: BootInstant,
        applied: &mut AppliedItems,
    ) {
        let adoption = older_copy::adoption(&key, own.as_deref(), &value);
        self.digest ^= digest(&key, version);
        let (kept, update) = match self.decode(&key, value, own.as_deref()) {
            Ok(decoded) => decoded,
            Err(error) => {
                applied.unreadable.push(error);
                (Vec::new(), None)
            }
        };
        self.items.insert(key.clone(), (kept, version));
        match adoption {
            Adoption::Apply => applied.updates.extend(update),
            Adoption::Known => {}
            Adoption::Hold(time) => self.held.hold(key, own, time, now),
        }
    }

    /// Returns whether an item changes this copy.
    pub(super) fn is_new(&self, item: &StoreItem) -> bool {
        let current = self.items.get(&item.key);
        match (&item.value, current) {
            (_, Some((_, version))) => item.version > *version,
            // Every change up to `as_of` is known, so an unknown key at or
            // below that version has been removed since. A delayed message
            // must not restore it.
            (Some(_), None) => item.version > self.as_of.version,
            (None, None) => false,
        }
    }

    /// Applies an item of the present era.
    pub(super) fn apply(
        &mut self,
        item: StoreItem,
        applied: &mut AppliedItems,
    ) {
        if !self.is_new(&item) {
            let is_removal = item.value.is_none()
                && !self.items.contains_key(&item.key)
                && item.version > self.as_of.version;
            if is_removal && self.held.release(&item.key) {
                applied.updates.extend(document::removal_update(&item.key));
            }
            return;
        }
        self.held.release(&item.key);
        if let Some((_, current)) = self.items.get(&item.key) {
            self.digest ^= digest(&item.key, *current);
        }
        let Some(value) = item.value else {
            if self.items.remove(&item.key).is_some() {
                applied.updates.extend(document::removal_update(&item.key));
            }
            return;
        };
        self.digest ^= digest(&item.key, item.version);
        let own = self.items.get(&item.key).map(|(value, _)| value.clone());
        let kept = match self.decode(&item.key, value, own.as_deref()) {
            Ok((value, update)) => {
                applied.updates.extend(update);
                value
            }
            Err(error) => {
                applied.updates.extend(document::unreadable_update(&item.key));
                match own.is_some_and(|own| own.is_empty()) {
                    true => applied.still_unreadable += 1,
                    false => applied.unreadable.push(error),
                }
                // Other VMs cannot decode it either, and it may be large.
                Vec::new()
            }
        };
        self.items.insert(item.key, (kept, item.version));
    }

    /// Applies the configuration of another VM's copy if it is newer; the
    /// copies may be the same otherwise.
    pub(super) fn apply_configuration(
        &mut self,
        value: Vec<u8>,
    ) -> AppliedItems {
        let mut applied = AppliedItems::default();
        let key = document::CONFIGURATION_KEY;
        let Some((own, version)) = self.items.get(key).cloned() else {
            return applied;
        };
        if let Ok((kept, update)) = self.decode(key, value, Some(&own)) {
            self.items.insert(key.to_owned(), (kept, version));
            applied.updates.extend(update);
        }
        applied
    }

    /// Ends the holding of updates that are due.
    pub(super) fn take_due(&mut self, now: BootInstant) -> AppliedItems {
        let mut applied = AppliedItems::default();
        for key in self.held.take_due(now) {
            match self.items.get(&key) {
                Some((value, _)) => {
                    let update = document::decode_update(&key, value);
                    let update = update
                        .unwrap_or_else(|_| document::unreadable_update(&key));
                    applied.updates.extend(update);
                }
                None => {
                    applied.updates.extend(document::removal_update(&key));
                }
            }
        }
        applied
    }

    /// Decodes a value; returns the one to keep, and the update that it means.
    /// A configuration is kept unless the new one is at least as new.
    fn decode(
        &mut self,
        key: &str,
        value: Vec<u8>,
        own: Option<&[u8]>,
    ) -> Result<(Vec<u8>, Option<StoreUpdate>), Unreadable> {
        let update = document::decode_update(key, &value)
            .map_err(|error| Unreadable::new(key, &error.to_string()))?;
        if let Some(StoreUpdate::Configuration(table)) = &update {
            let version = table.version();
            match own {
                Some(own) if Some(version) < self.configuration => {
                    return Ok((own.to_vec(), None));
                }
                _ => self.configuration = Some(version),
            }
        }
        // Values that no VM uses may be large, and need not be passed on.
        let kept = if update.is_some() { value } else { Vec::new() };
        Ok((kept, update))
    }
}

fn digest(key: &str, version: StoreVersion) -> u64 {
    rendezvous::mix(rendezvous::short_hash(key.as_bytes()).into(), version.0)
}

//! A VM's copy of the platform's store, and how recent it is.
//!
//! Every value has a version that only grows within an era of the store.
//! Whether it arrived by a watch, by a full read after the store lost its
//! history, or from another VM, an older version never replaces a newer one.
//!
//! Keys may be revoked, so a VM accepts a key only while its copy is *proven*
//! recent: by its own call to the store, counted from before the call was
//! sent, or by another VM's proof, counted from before that VM was asked.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    chains::store::StoreVersion,
    clock::BootInstant,
    crashes::{observation::Crash, subject::Subject},
    id::{DataHallId, ServiceId, UpstreamId},
    placing::member::UpstreamEntry,
    platform::store::{StoreItem, StoreItems},
    rollouts::{
        rollout::{RolloutOrder, RolloutStatus},
        stored_evidence::StoredEvidence,
    },
    store_sync::{
        knowledge_pack,
        mirror::Mirror,
        route::{RouteTable, TableVersion},
        store_position::StorePosition,
    },
    unit::{Mbps, MilliCores},
};

/// The record that a VM keeps of itself in the store, for the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Address on which it listens for other VMs.
    pub peers: SocketAddr,
    /// The data hall that it is in.
    pub data_hall: DataHallId,
    /// Rate of its network link.
    #[serde(default)]
    pub link_mbps: Mbps,
    /// Its share of processor time; 0 if unknown.
    #[serde(default)]
    pub cores: MilliCores,
}

/// A decoded change of the store.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// The operator's configuration was set.
    Configuration(RouteTable),
    /// A rollout was ordered.
    RolloutOrdered(ServiceId, RolloutOrder),
    /// The order of a rollout was removed.
    RolloutOrderRemoved(ServiceId),
    /// The status of a rollout changed.
    RolloutStatus(ServiceId, RolloutStatus),
    /// The evidence of a data hall on a rollout was stored.
    RolloutEvidence(ServiceId, DataHallId, StoredEvidence),
    /// The upstreams of a data hall are to get no more requests.
    EvacuationOrdered(DataHallId),
    /// The upstreams of a data hall may get requests again.
    EvacuationOrderRemoved(DataHallId),
    /// An upstream was added, or its record changed.
    Upstream(UpstreamEntry),
    /// The record of an upstream was removed.
    UpstreamGone(UpstreamId),
    /// The record of an upstream can no longer be read.
    UpstreamUnreadable(UpstreamId),
    /// Upstreams have crashed under a request or a segment of prompts.
    Quarantined(Subject, Vec<Crash>),
    /// A router VM was added, or its record changed.
    Peer(String, PeerRecord),
    /// The store came back without the record of a router VM, which is to be
    /// written again.
    PeerUnrecorded(String),
    /// The record of a router VM was removed.
    PeerGone(String),
}

/// A key and its value in the store, as sent to another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirroredItem {
    /// The key.
    pub key: String,
    /// The value, empty if it could not be decoded.
    pub value: Vec<u8>,
    /// Version of its last change.
    pub version: u64,
}

/// A key that was changed or removed, as sent to another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedItem {
    /// The key.
    pub key: String,
    /// The new value, or `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the change.
    pub version: u64,
}

/// A value that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The key, cut to a length for a log line; empty if it is unknown.
    pub key: String,
    /// Description of the decoding error, cut likewise.
    pub reason: String,
}

impl Unreadable {
    /// Largest number of characters of each part: both may quote the value.
    const MAX_CHARS: usize = 200;

    /// Creates a description of a value under `key`.
    pub fn new(key: &str, reason: &str) -> Unreadable {
        let cut =
            |text: &str| text.chars().take(Unreadable::MAX_CHARS).collect();
        Unreadable { key: cut(key), reason: cut(reason) }
    }
}

/// Result of applying items of the store.
#[derive(Debug, Default)]
pub struct AppliedItems {
    /// Updates that changed this VM's copy, in the order of the items.
    pub updates: Vec<StoreUpdate>,
    /// Values that could not be decoded.
    pub unreadable: Vec<Unreadable>,
    /// Number of further ones, whose keys held such values before.
    pub still_unreadable: usize,
    /// Whether the items were ignored since they belong to another era of the
    /// store, or are older than this VM's copy.
    pub is_outdated: bool,
    /// Whether they are the first that this VM has of a new era.
    pub begins_era: bool,
    /// Updates that are held until their keys are written again.
    pub held: usize,
}

/// Latest times at which a copy of the store was proven current.
#[derive(Clone, Copy, Debug, Default)]
struct Proofs {
    /// For the configuration.
    configuration: Option<BootInstant>,
    /// For all keys.
    copy: Option<BootInstant>,
}

/// This VM's copy of the platform's store.
#[derive(Debug, Default)]
pub struct Knowledge {
    table: RwLock<Option<Arc<RouteTable>>>,
    proofs: Mutex<Proofs>,
    mirror: Mutex<Mirror>,
    /// Cached packed snapshot, with the digest that it was made from.
    packed: Mutex<Option<(u64, Arc<[u8]>)>>,
}

impl Knowledge {
    /// Returns the configuration in force, if one is known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().expect("table lock").clone()
    }

    /// Returns the version of the configuration in force.
    pub fn table_version(&self) -> Option<TableVersion> {
        let table = self.table.read().expect("table lock");
        table.as_ref().map(|table| table.version())
    }

    /// Puts a configuration in force if it is newer than the current one;
    /// returns whether it did.
    pub fn install(&self, table: RouteTable) -> bool {
        let mut current = self.table.write().expect("table lock");
        let is_newer = current
            .as_ref()
            .is_none_or(|current| table.version() > current.version());
        if is_newer {
            *current = Some(Arc::new(table));
        }
        is_newer
    }

    /// Records that this copy was current at `at`; an earlier time than the
    /// latest one recorded has no effect.
    pub fn prove(&self, at: BootInstant) {
        let mut proofs = self.proofs.lock().expect("proof lock");
        proofs.copy = proofs.copy.max(Some(at));
        proofs.configuration = proofs.configuration.max(Some(at));
    }

    /// Records that the configuration was current at `at`, like
    /// [`Knowledge::prove`].
    pub fn prove_configuration(&self, at: BootInstant) {
        let mut proofs = self.proofs.lock().expect("proof lock");
        proofs.configuration = proofs.configuration.max(Some(at));
    }

    /// Returns the time since the configuration was last proven current, or
    /// `None` if it never was.
    pub fn proof_age(&self, now: BootInstant) -> Option<Duration> {
        let proofs = *self.proofs.lock().expect("proof lock");
        let proven_at = proofs.configuration;
        proven_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the time since all of this copy was last proven current, or
    /// `None` if it never was. A change that this VM does not know of was
    /// made within this time.
    pub fn copy_age(&self, now: BootInstant) -> Option<Duration> {
        let proofs = *self.proofs.lock().expect("proof lock");
        proofs.copy.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the position of the store up to which every change is known.
    pub fn as_of(&self) -> StorePosition {
        self.mirror.lock().expect("mirror lock").as_of()
    }

    /// Records that a copy with this digest has every change up to a position.
    /// If it is the same as this one, this one has them too.
    pub fn complete_to(&self, as_of: StorePosition, digest: u64) {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        if mirror.digest() == digest {
            mirror.complete_to(as_of);
        }
    }

    /// Returns a digest of the era and of all keys and their versions. Two VMs
    /// with the same digest have the same copy, but for a configuration that
    /// is newer than the store's.
    pub fn digest(&self) -> u64 {
        self.mirror.lock().expect("mirror lock").digest()
    }

    /// Returns whether no configuration is known yet.
    pub fn is_empty(&self) -> bool {
        self.table.read().expect("table lock").is_none()
    }

    /// Returns whether the whole store has been read once, even if it was
    /// empty.
    pub fn is_read(&self) -> bool {
        self.as_of() > StorePosition::default()
    }

    /// Returns the version of a key, if it exists.
    pub fn version_of(&self, key: &str) -> Option<StoreVersion> {
        let mirror = self.mirror.lock().expect("mirror lock");
        mirror.get(key).map(|(_, version)| *version)
    }

    /// Returns whether a key exists with this value.
    pub fn contains(&self, key: &str, value: &[u8]) -> bool {
        let mirror = self.mirror.lock().expect("mirror lock");
        mirror.get(key).is_some_and(|(current, _)| current == value)
    }

    /// Returns a packed snapshot of all values for another VM, and the
    /// position of the store that it is complete up to.
    ///
    /// The snapshot is cached for all VMs that ask: deflating 300 KB takes a
    /// VM with half a core about 15 ms.
    pub fn packed(&self) -> (StorePosition, Arc<[u8]>) {
        let mut packed = self.packed.lock().expect("packed lock");
        let mirror = self.mirror.lock().expect("mirror lock");
        let (as_of, digest) = (mirror.as_of(), mirror.digest());
        if let Some((current, bytes)) = &*packed
            && *current == digest
        {
            return (as_of, bytes.clone());
        }
        let items = mirror.all();
        drop(mirror);
        let bytes: Arc<[u8]> = knowledge_pack::pack(&items).into();
        *packed = Some((digest, bytes.clone()));
        (as_of, bytes)
    }

    /// Applies one item that was read from the store before everything was.
    pub fn apply_item(&self, item: StoreItem) -> AppliedItems {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        let mut applied = AppliedItems::default();
        mirror.apply(item, &mut applied);
        applied
    }

    /// Applies the configuration of another VM's copy if it is newer.
    pub fn apply_configuration(&self, value: Vec<u8>) -> AppliedItems {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        let applied = mirror.apply_configuration(value);
        // Packing locks the copy after the snapshot.
        drop(mirror);
        // The snapshot for other VMs lacks it.
        *self.packed.lock().expect("packed lock") = None;
        applied
    }

    /// Returns the updates of an older copy of the store that were held and
    /// are due.
    pub fn take_due(&self, now: BootInstant) -> AppliedItems {
        self.mirror.lock().expect("mirror lock").take_due(now)
    }

    /// Returns whether any of these changes is new to this VM.
    pub fn has_new(&self, changes: &StoreItems) -> bool {
        let mirror = self.mirror.lock().expect("mirror lock");
        changes.as_of.era == mirror.as_of().era
            && changes.items.iter().any(|item| mirror.is_new(item))
    }

    /// Returns what a snapshot of the present era would change.
    pub fn changes_in(&self, all: &StoreItems) -> StoreItems {
        self.mirror.lock().expect("mirror lock").changes_in(all)
    }

    /// Applies changes that a watch returned.
    pub fn apply_changes(&self, changes: StoreItems) -> AppliedItems {
        self.mirror.lock().expect("mirror lock").apply_changes(changes)
    }

    /// Merges changes that another VM pushed.
    ///
    /// Some of them may be known already, and changes may be missing between
    /// them and this copy. `digest_before` is the digest of the sender's copy
    /// before the changes; only if it equals that of this copy does the copy
    /// become complete up to their version of the store.
    pub fn merge_peer_changes(
        &self,
        digest_before: u64,
        changes: StoreItems,
    ) -> AppliedItems {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        let is_complete = mirror.digest() == digest_before;
        let is_same_era = changes.as_of.era == mirror.as_of().era;
        let as_of = match is_same_era && !is_complete {
            true => mirror.as_of(),
            false => changes.as_of,
        };
        mirror.apply_changes(StoreItems { as_of, ..changes })
    }

    /// Applies a snapshot of the whole store, and removes the keys that it
    /// does not contain.
    ///
    /// A snapshot that is older than this copy is ignored. The first one of a
    /// new era replaces this copy, but what this VM goes by remains in force
    /// where the snapshot may be the older one.
    pub fn apply_snapshot(
        &self,
        all: StoreItems,
        now: BootInstant,
    ) -> AppliedItems {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        mirror.apply_snapshot(all, now)
    }
}

#[cfg(test)]
mod tests;

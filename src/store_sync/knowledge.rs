//! What a VM knows from the platform's store, and how fresh that is.
//!
//! Everything comes as [`StoreUpdate`]s with a version that only grows. Whichever
//! way a fact came — by watch, by a read after the history was lost, or from
//! another VM — an older version never replaces a newer one.
//!
//! Keys may be taken away, so a VM accepts one only while its knowledge is
//! *proven* recent: by a call of its own, counted from before it was sent, or
//! by another VM's proof, counted from before that VM was asked.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    chains::store::StoreVersion,
    clock::BootInstant,
    crashes::{digest::RequestDigest, observation::Crash},
    id::{DataHallId, ServiceId, UpstreamId},
    placing::member::UpstreamEntry,
    platform::{
        document,
        store::{StoreItem, StoreItems},
    },
    rendezvous,
    rollouts::rollout::{RolloutOrder, RolloutStatus},
    store_sync::{
        knowledge_pack,
        route::{RouteTable, TableVersion},
    },
    unit::Mbps,
};

/// What a VM records of itself for the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Where it listens for other VMs.
    pub peers: SocketAddr,
    /// Its data hall.
    pub data_hall: DataHallId,
    /// The rate of its network link.
    #[serde(default)]
    pub link_mbps: Mbps,
}

/// One thing that the store says.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// The operator's configuration.
    Configuration(RouteTable),
    /// A roll-out was ordered.
    RolloutOrdered(ServiceId, RolloutOrder),
    /// The order of a roll-out was removed.
    RolloutOrderRemoved(ServiceId),
    /// How far a roll-out is.
    RolloutStatus(ServiceId, RolloutStatus),
    /// The upstreams of a data hall are to get no requests.
    EvacuationOrdered(DataHallId),
    /// They may get requests again.
    EvacuationOrderRemoved(DataHallId),
    /// An upstream is there, or its record changed.
    Upstream(UpstreamEntry),
    /// The record of an upstream is gone.
    UpstreamGone(UpstreamId),
    /// The record of an upstream can no longer be read.
    UpstreamUnreadable(UpstreamId),
    /// Upstreams have ended under a request.
    CrashingRequest(RequestDigest, Vec<Crash>),
    /// An entry VM is there.
    Peer(String, PeerRecord),
    /// The record of an entry VM is gone.
    PeerGone(String),
}

/// A value as it lies in the store, for another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirroredItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The version of its last change.
    pub version: u64,
}

/// A value that changed, or was removed, for another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedItem {
    /// The key.
    pub key: String,
    /// The value, unless the key was removed.
    pub value: Option<Vec<u8>>,
    /// The version of the change.
    pub version: u64,
}

#[derive(Debug, Default)]
struct Mirror {
    as_of: StoreVersion,
    digest: u64,
    items: BTreeMap<String, (Vec<u8>, StoreVersion)>,
}

/// A value that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The key.
    pub key: String,
    /// Why.
    pub reason: String,
}

/// What taking in items brought.
#[derive(Debug, Default)]
pub struct AppliedItems {
    /// What is new, in the order of the items.
    pub updates: Vec<StoreUpdate>,
    /// Values that could not be read.
    pub unreadable: Vec<Unreadable>,
}

/// What this VM knows.
#[derive(Debug, Default)]
pub struct Knowledge {
    table: RwLock<Option<Arc<RouteTable>>>,
    proven_at: Mutex<Option<BootInstant>>,
    mirror: Mutex<Mirror>,
    /// All values, packed, and the digest of what they are.
    packed: Mutex<Option<(u64, Arc<[u8]>)>>,
}

impl Knowledge {
    /// The configuration in force, if one is known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().expect("table lock").clone()
    }

    /// The version of the configuration in force.
    pub fn table_version(&self) -> Option<TableVersion> {
        let table = self.table.read().expect("table lock");
        table.as_ref().map(|table| table.version())
    }

    /// Puts a configuration in force if it is newer than the one held;
    /// returns whether it did.
    pub fn install(&self, table: RouteTable) -> bool {
        let mut held = self.table.write().expect("table lock");
        let is_newer =
            held.as_ref().is_none_or(|held| table.version() > held.version());
        if is_newer {
            *held = Some(Arc::new(table));
        }
        is_newer
    }

    /// Notes that what is known was current at `at`.
    pub fn prove(&self, at: BootInstant) {
        let mut proven_at = self.proven_at.lock().expect("proof lock");
        *proven_at = Some(proven_at.map_or(at, |held| held.max(at)));
    }

    /// How long ago what is known was last proven current.
    pub fn proof_age(&self, now: BootInstant) -> Option<Duration> {
        let proven_at = *self.proven_at.lock().expect("proof lock");
        proven_at.map(|at| now.saturating_duration_since(at))
    }

    /// The version of the store up to which everything is known.
    pub fn as_of(&self) -> StoreVersion {
        self.mirror.lock().expect("mirror lock").as_of
    }

    /// A digest of everything known; two VMs with the same one know the
    /// same.
    pub fn digest(&self) -> u64 {
        self.mirror.lock().expect("mirror lock").digest
    }

    /// Whether anything is known.
    pub fn is_empty(&self) -> bool {
        self.table.read().expect("table lock").is_none()
    }

    /// Whether everything has been read once, however little there was.
    pub fn is_read(&self) -> bool {
        self.as_of() > StoreVersion::default()
    }

    /// The version of a value, if its key is there.
    pub fn version_of(&self, key: &str) -> Option<StoreVersion> {
        let mirror = self.mirror.lock().expect("mirror lock");
        mirror.items.get(key).map(|(_, version)| *version)
    }

    /// Whether a key is there with this value.
    pub fn contains(&self, key: &str, value: &[u8]) -> bool {
        let mirror = self.mirror.lock().expect("mirror lock");
        mirror.items.get(key).is_some_and(|(held, _)| held == value)
    }

    /// All values, packed for another VM, and the version of the store up to
    /// which they are all.
    ///
    /// They are packed once for all VMs that ask: deflating 300 KB takes a VM
    /// with half a core some 15 ms.
    pub fn packed(&self) -> (StoreVersion, Arc<[u8]>) {
        let mut packed = self.packed.lock().expect("packed lock");
        let mirror = self.mirror.lock().expect("mirror lock");
        let (as_of, digest) = (mirror.as_of, mirror.digest);
        if let Some((held, bytes)) = &*packed
            && *held == digest
        {
            return (as_of, bytes.clone());
        }
        let items = mirror.all();
        drop(mirror);
        let bytes: Arc<[u8]> = knowledge_pack::pack(&items).into();
        *packed = Some((digest, bytes.clone()));
        (as_of, bytes)
    }

    /// Takes in one value that was read.
    pub fn apply_item(&self, item: StoreItem) -> AppliedItems {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        let mut news = AppliedItems::default();
        mirror.take(item, &mut news);
        news
    }

    /// Whether any of these changes is new.
    pub fn has_new(&self, changes: &StoreItems) -> bool {
        let mirror = self.mirror.lock().expect("mirror lock");
        changes.items.iter().any(|item| mirror.is_new(item))
    }

    /// Takes in changes that a watch brought.
    pub fn apply_changes(&self, changes: StoreItems) -> AppliedItems {
        self.mirror.lock().expect("mirror lock").apply_changes(changes)
    }

    /// Takes in changes that another VM tells.
    ///
    /// They may be known already in part, and something may be missing
    /// between them and what is known; only if neither is so does this VM
    /// know everything up to their version of the store afterwards.
    pub fn merge_peer_changes(
        &self,
        digest_before: u64,
        changes: StoreItems,
    ) -> AppliedItems {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        let as_of = match mirror.digest == digest_before {
            true => changes.as_of,
            false => mirror.as_of,
        };
        mirror.apply_changes(StoreItems { items: changes.items, as_of })
    }

    /// Takes in everything there is; what is not among it is gone.
    ///
    /// Nothing happens when it is older than what is known.
    pub fn apply_snapshot(&self, all: StoreItems) -> AppliedItems {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        let mut news = AppliedItems::default();
        if all.as_of < mirror.as_of {
            return news;
        }
        let there: BTreeSet<String> =
            all.items.iter().map(|item| item.key.clone()).collect();
        let gone: Vec<String> = mirror
            .items
            .keys()
            .filter(|key| !there.contains(*key))
            .cloned()
            .collect();
        for key in gone {
            let version = all.as_of;
            mirror.take(StoreItem { key, value: None, version }, &mut news);
        }
        for item in all.items {
            mirror.take(item, &mut news);
        }
        mirror.as_of = all.as_of;
        news
    }
}

impl Mirror {
    fn all(&self) -> Vec<MirroredItem> {
        let items = self.items.iter();
        let items = items.map(|(key, (value, version))| MirroredItem {
            key: key.clone(),
            value: value.clone(),
            version: version.0,
        });
        items.collect()
    }

    fn apply_changes(&mut self, changes: StoreItems) -> AppliedItems {
        let mut news = AppliedItems::default();
        for item in changes.items {
            self.take(item, &mut news);
        }
        self.as_of = self.as_of.max(changes.as_of);
        news
    }

    /// Whether an item changes what is known.
    fn is_new(&self, item: &StoreItem) -> bool {
        let held = self.items.get(&item.key);
        match (&item.value, held) {
            (_, Some((_, version))) => item.version > *version,
            // Everything up to `as_of` is known, so a key that is not there
            // was removed since: news that was long on its way must not bring
            // it back.
            (Some(_), None) => item.version > self.as_of,
            (None, None) => false,
        }
    }

    fn take(&mut self, item: StoreItem, news: &mut AppliedItems) {
        if !self.is_new(&item) {
            return;
        }
        if let Some((_, held)) = self.items.get(&item.key) {
            self.digest ^= digest(&item.key, *held);
        }
        let Some(value) = item.value else {
            if self.items.remove(&item.key).is_some() {
                news.updates.extend(document::removal_fact(&item.key));
            }
            return;
        };
        self.digest ^= digest(&item.key, item.version);
        let held = match document::decode_fact(&item.key, &value) {
            Ok(fact) => {
                news.updates.extend(fact);
                value
            }
            Err(error) => {
                news.updates.extend(document::unreadable_fact(&item.key));
                news.unreadable.push(Unreadable {
                    key: item.key.clone(),
                    reason: error.to_string(),
                });
                // Other VMs can read it no better, and it may be large.
                Vec::new()
            }
        };
        self.items.insert(item.key, (held, item.version));
    }
}

fn digest(key: &str, version: StoreVersion) -> u64 {
    rendezvous::mix(rendezvous::short_hash(key.as_bytes()).into(), version.0)
}

#[cfg(test)]
mod tests;

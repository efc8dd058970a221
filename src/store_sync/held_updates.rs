//! Updates that an older copy of the store implies, held until they are known
//! to be true.
//!
//! An older copy lists what has left since, and lacks what was added.
//! Operators and upstreams write again what they wrote; until then this VM
//! goes by what it knew. What has not been written again in time is taken as
//! the copy says.

use std::{collections::BTreeMap, time::Duration};

use crate::clock::BootInstant;

/// Time for which an update is held. Live upstreams have written again two
/// seconds after the store is back.
pub(super) const HELD_TIME: Duration = Duration::from_millis(2500);

/// The same time for an upstream that this VM knows as leaving or does not
/// know. By then, the entry of one that has ended has lapsed.
pub(super) const HELD_RETURN_TIME: Duration = Duration::from_secs(5);

/// The same time for records of VMs, which the VMs write again themselves.
pub(super) const HELD_RECORD_TIME: Duration = Duration::from_secs(10);

/// A key whose value in the store is not applied yet.
#[derive(Clone, Debug)]
struct Held {
    due_at: BootInstant,
    /// The value that this VM goes by; `None` if it goes by there being none.
    believed: Option<Vec<u8>>,
}

/// The keys whose values in the store are not applied yet.
#[derive(Debug, Default)]
pub(super) struct HeldUpdates {
    by_key: BTreeMap<String, Held>,
}

impl HeldUpdates {
    /// Holds the update of a key for `time`, and goes by `believed` meanwhile.
    pub(super) fn hold(
        &mut self,
        key: String,
        believed: Option<Vec<u8>>,
        time: Duration,
        now: BootInstant,
    ) {
        let held = Held { due_at: now + time, believed };
        self.by_key.insert(key, held);
    }

    /// Ends the holding of a key, since it was written again. Returns whether
    /// this VM went by a value that the store may not have.
    pub(super) fn release(&mut self, key: &str) -> bool {
        let held = self.by_key.remove(key);
        held.is_some_and(|held| held.believed.is_some())
    }

    /// Ends the holding of all keys that are due, and returns them.
    pub(super) fn take_due(&mut self, now: BootInstant) -> Vec<String> {
        let due = self.by_key.iter().filter(|(_, held)| held.due_at <= now);
        let due: Vec<String> = due.map(|(key, _)| key.clone()).collect();
        for key in &due {
            self.by_key.remove(key);
        }
        due
    }

    /// Ends the holding of all keys, and returns the values that this VM went
    /// by.
    pub(super) fn take_all(
        &mut self,
    ) -> impl Iterator<Item = (String, Option<Vec<u8>>)> + use<> {
        let all = std::mem::take(&mut self.by_key);
        all.into_iter().map(|(key, held)| (key, held.believed))
    }

    /// Returns the number of keys that are held.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }
}

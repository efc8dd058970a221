//! An in-memory store with injected faults, for tests.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
    sync::Mutex,
    time::Duration,
};

use async_trait::async_trait;

use crate::chains::store::{
    Condition, PutOutcome, Store, StoreEntry, StoreError, StoreVersion,
    VersionedValue,
};

/// A fault injected into one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// The request is lost before it takes effect, and the caller knows it.
    NotApplied,
    /// The request is lost before it takes effect; the caller gets
    /// [`StoreError::OutcomeUnknown`].
    LostRequest,
    /// The write takes effect, but its response is lost; the caller gets
    /// [`StoreError::OutcomeUnknown`].
    LostResponse,
}

#[derive(Default)]
struct Content {
    entries: BTreeMap<String, VersionedValue>,
    last_version: u64,
    faults: VecDeque<Fault>,
}

/// A [`Store`] whose entries live in memory.
#[derive(Default)]
pub(crate) struct MemoryStore {
    content: Mutex<Content>,
}

impl MemoryStore {
    /// Queues faults for the next writes, one each.
    pub(crate) fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        let mut content = self.content.lock().unwrap();
        content.faults.extend(faults);
    }

    /// Returns the number of entries under a prefix.
    pub(crate) fn count(&self, prefix: &str) -> usize {
        let content = self.content.lock().unwrap();
        content.entries.keys().filter(|k| k.starts_with(prefix)).count()
    }
}

impl Content {
    fn put(
        &mut self,
        key: &str,
        value: &str,
        condition: Condition,
    ) -> PutOutcome {
        let current = self.entries.get(key).map(|stored| stored.version);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::VersionIs(version) => current == Some(version),
        };
        if !holds {
            return PutOutcome::Conflict;
        }
        self.last_version += 1;
        let version = StoreVersion(self.last_version);
        let stored = VersionedValue { version, value: value.to_owned() };
        self.entries.insert(key.to_owned(), stored);
        PutOutcome::Written(version)
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(
        &self,
        key: &str,
    ) -> Result<Option<VersionedValue>, StoreError> {
        Ok(self.content.lock().unwrap().entries.get(key).cloned())
    }

    async fn wait(
        &self,
        key: &str,
        _limit: Duration,
    ) -> Result<Option<VersionedValue>, StoreError> {
        self.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<Vec<StoreEntry>, StoreError> {
        let content = self.content.lock().unwrap();
        let from = after.max(prefix).to_owned();
        let range = (Bound::Included(from), Bound::Unbounded);
        let entries = content
            .entries
            .range(range)
            .filter(|(key, _)| key.as_str() > after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| StoreEntry {
                key: key.clone(),
                version: stored.version,
                value: stored.value.clone(),
            });
        Ok(entries.collect())
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        condition: Condition,
    ) -> Result<PutOutcome, StoreError> {
        let mut content = self.content.lock().unwrap();
        let lost = || Err(StoreError::OutcomeUnknown("injected fault".into()));
        match content.faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => Ok(content.put(key, value, condition)),
            Fault::NotApplied => {
                Err(StoreError::NotApplied("injected fault".into()))
            }
            Fault::LostRequest => lost(),
            Fault::LostResponse => {
                content.put(key, value, condition);
                lost()
            }
        }
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.content.lock().unwrap().entries.remove(key);
        Ok(())
    }
}

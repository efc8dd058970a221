//! A store in memory, with faults on demand, for tests of pure rules.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
    sync::Mutex,
    time::Duration,
};

use async_trait::async_trait;

use crate::chains::store::{
    Condition, Store, StoreError, StoreVersion, Stored, StoredEntry, Written,
};

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// The call is lost before it takes effect, and the caller knows.
    NotDone,
    /// The call is lost before it takes effect; the caller cannot know.
    LostCall,
    /// The call takes effect and its answer is lost.
    LostAnswer,
}

#[derive(Default)]
struct Content {
    entries: BTreeMap<String, Stored>,
    last_version: u64,
    faults: VecDeque<Fault>,
}

/// A store in memory.
#[derive(Default)]
pub(crate) struct MemoryStore {
    content: Mutex<Content>,
}

impl MemoryStore {
    /// Sets what will go wrong with the next writes, one fault each.
    pub(crate) fn plan(&self, faults: impl IntoIterator<Item = Fault>) {
        let mut content = self.content.lock().unwrap();
        content.faults.extend(faults);
    }

    /// The number of entries under a prefix.
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
    ) -> Written {
        let held = self.entries.get(key).map(|stored| stored.version);
        let holds = match condition {
            Condition::Absent => held.is_none(),
            Condition::Is(version) => held == Some(version),
        };
        if !holds {
            return Written::Conflict;
        }
        self.last_version += 1;
        let version = StoreVersion(self.last_version);
        let stored = Stored { version, value: value.to_owned() };
        self.entries.insert(key.to_owned(), stored);
        Written::Done(version)
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError> {
        Ok(self.content.lock().unwrap().entries.get(key).cloned())
    }

    async fn wait(
        &self,
        key: &str,
        _limit: Duration,
    ) -> Result<Option<Stored>, StoreError> {
        self.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<Vec<StoredEntry>, StoreError> {
        let content = self.content.lock().unwrap();
        let from = after.max(prefix).to_owned();
        let range = (Bound::Included(from), Bound::Unbounded);
        let entries = content
            .entries
            .range(range)
            .filter(|(key, _)| key.as_str() > after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| StoredEntry {
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
    ) -> Result<Written, StoreError> {
        let mut content = self.content.lock().unwrap();
        let lost = || Err(StoreError::OutcomeUnknown("planned".into()));
        match content.faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => Ok(content.put(key, value, condition)),
            Fault::NotDone => Err(StoreError::NotApplied("planned".into())),
            Fault::LostCall => lost(),
            Fault::LostAnswer => {
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

//! Chains: append-only logs in the store, the one way in which VMs agree.
//!
//! A chain is a row of keys `prefix/0000000000000001`, `…2`, and so on. A
//! batch is appended by creating the next key, which succeeds for one writer
//! only. Whoever appends has therefore read all that stands before, and what
//! stands in a chain is never changed. Configuration, claims and bills are
//! kept as chains, so a lost answer is handled in one place, [`append`].

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::chains::store::{
    Condition, Store, StoreError, StoredEntry, Written, list_all,
};

/// Times that a write is sent or read back before its fate stays open.
const TRIES: u32 = 3;

/// The identity of one write, by which its writer knows it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub u64);

impl WriteId {
    /// Draws a new identity.
    pub fn random() -> WriteId {
        WriteId(rand::random())
    }
}

/// A batch as it stands in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch<T> {
    /// The identity of the write that put it there.
    pub write: WriteId,
    /// What was written.
    pub content: T,
}

/// The outcome of an append.
#[derive(Debug)]
pub enum AppendOutcome<T> {
    /// The batch stands at its index.
    Appended,
    /// Another writer's batch stands there instead.
    Occupied(T),
}

/// The key of one batch.
pub(crate) fn key(prefix: &str, index: u64) -> String {
    format!("{prefix}/{index:016}")
}

/// The index in a key that [`key`] has made.
pub(crate) fn index(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// Appends a batch at `index`, which must follow all that the caller read.
///
/// After a lost answer the key is read back; if it is empty, the same write
/// is sent again, which is harmless since it carries the same identity.
///
/// # Errors
///
/// [`StoreError::NotApplied`] when the batch does not and will not stand there;
/// [`StoreError::OutcomeUnknown`] when that stays open. The caller must then use
/// the same batch, or none, the next time it appends at this index.
pub async fn append<T>(
    store: &dyn Store,
    prefix: &str,
    index: u64,
    batch: &Batch<T>,
) -> Result<AppendOutcome<T>, StoreError>
where
    T: Serialize + DeserializeOwned + Sync,
{
    let key = key(prefix, index);
    let value = encode(batch)?;
    let mut in_doubt = None;
    for _ in 0..TRIES {
        match store.put(&key, &value, Condition::Absent).await {
            Ok(Written::Done(_)) => return Ok(AppendOutcome::Appended),
            Ok(Written::Conflict) => {}
            Err(StoreError::NotApplied(reason)) => {
                // An earlier try of this call may still take effect.
                return Err(in_doubt.unwrap_or(StoreError::NotApplied(reason)));
            }
            Err(error) => in_doubt = Some(error),
        }
        match store.get(&key).await {
            Ok(Some(stored)) => {
                let found: Batch<T> = decode(&stored.value)?;
                return Ok(compare(found, batch.write));
            }
            Ok(None) => {}
            Err(error) => {
                in_doubt.get_or_insert(maybe(error));
            }
        }
    }
    let open = || StoreError::OutcomeUnknown("the write stayed open".into());
    Err(in_doubt.unwrap_or_else(open))
}

/// Reads the batches of a chain that follow `after`, in order.
///
/// # Errors
///
/// A [`StoreError`] of the read.
pub async fn read_after<T>(
    store: &dyn Store,
    prefix: &str,
    after: u64,
) -> Result<Vec<(u64, Batch<T>)>, StoreError>
where
    T: DeserializeOwned,
{
    let entries =
        list_all(store, &format!("{prefix}/"), &key(prefix, after)).await?;
    entries.iter().map(decode_entry).collect()
}

/// Reads one batch, or `None` when the chain does not reach so far.
///
/// # Errors
///
/// A [`StoreError`] of the read.
pub async fn read_one<T>(
    store: &dyn Store,
    prefix: &str,
    index: u64,
) -> Result<Option<Batch<T>>, StoreError>
where
    T: DeserializeOwned,
{
    match store.get(&key(prefix, index)).await? {
        Some(stored) => decode(&stored.value).map(Some),
        None => Ok(None),
    }
}

fn compare<T>(found: Batch<T>, mine: WriteId) -> AppendOutcome<T> {
    if found.write == mine {
        AppendOutcome::Appended
    } else {
        AppendOutcome::Occupied(found.content)
    }
}

fn maybe(error: StoreError) -> StoreError {
    match error {
        StoreError::NotApplied(reason)
        | StoreError::OutcomeUnknown(reason) => {
            StoreError::OutcomeUnknown(reason)
        }
    }
}

fn decode_entry<T>(entry: &StoredEntry) -> Result<(u64, Batch<T>), StoreError>
where
    T: DeserializeOwned,
{
    let index = index(&entry.key).ok_or_else(|| {
        StoreError::OutcomeUnknown(format!("`{}` is no chain key", entry.key))
    })?;
    Ok((index, decode(&entry.value)?))
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<String, StoreError> {
    serde_json::to_string(value)
        .map_err(|e| StoreError::NotApplied(e.to_string()))
}

pub(crate) fn decode<T>(text: &str) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    serde_json::from_str(text)
        .map_err(|e| StoreError::OutcomeUnknown(format!("unreadable: {e}")))
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use smol::block_on;

    use super::*;
    use crate::chains::memory_store::{Fault, MemoryStore};

    fn batch(write: u64, content: u32) -> Batch<u32> {
        Batch { write: WriteId(write), content }
    }

    #[test]
    fn the_second_writer_is_shown_the_first() {
        let store = MemoryStore::default();
        block_on(async {
            let first = append(&store, "c", 1, &batch(1, 10)).await;
            assert!(matches!(first, Ok(AppendOutcome::Appended)));
            let second = append(&store, "c", 1, &batch(2, 20)).await;
            assert!(matches!(second, Ok(AppendOutcome::Occupied(10))));
        });
    }

    #[test]
    fn a_lost_answer_is_read_back() {
        let store = MemoryStore::default();
        store.plan([Fault::LostAnswer]);
        block_on(async {
            let done = append(&store, "c", 1, &batch(1, 10)).await;
            assert!(matches!(done, Ok(AppendOutcome::Appended)));
            assert_eq!(store.count("c/"), 1);
        });
    }

    fn fault() -> impl Strategy<Value = Fault> {
        prop_oneof![
            Just(Fault::None),
            Just(Fault::NotDone),
            Just(Fault::LostCall),
            Just(Fault::LostAnswer),
        ]
    }

    proptest! {
        /// Whatever is lost, `Appended` means it stands there, `NotApplied` that it
        /// does not, and a retry with the same identity never doubles it.
        #[test]
        fn verdicts_are_true(
            faults in prop::collection::vec(fault(), 0..6),
            taken in any::<bool>(),
        ) {
            let store = MemoryStore::default();
            block_on(async {
                if taken {
                    let other = append(&store, "c", 1, &batch(9, 90)).await;
                    assert!(matches!(other, Ok(AppendOutcome::Appended)));
                }
                store.plan(faults.iter().copied());
                let verdict = append(&store, "c", 1, &batch(1, 10)).await;
                let held = read_one::<u32>(&store, "c", 1).await.unwrap();
                let mine = held.is_some_and(|b| b.write == WriteId(1));
                match verdict {
                    Ok(AppendOutcome::Appended) => assert!(mine),
                    Ok(AppendOutcome::Occupied(_)) => assert!(taken && !mine),
                    Err(StoreError::NotApplied(_)) => assert!(!mine),
                    Err(StoreError::OutcomeUnknown(_)) => {}
                }
                store.plan([]);
                assert!(store.count("c/") <= 1);
            });
        }
    }
}

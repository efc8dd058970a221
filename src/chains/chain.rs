//! Chains: append-only logs in the store, through which VMs agree on an order.
//!
//! A chain is a sequence of keys `prefix/0000000000000001`, `…2`, and so on. A
//! batch is appended by creating the next key, which succeeds for one writer
//! only. A writer has therefore read every earlier batch when its append
//! succeeds, and a batch is never changed once written. Configuration, claims
//! and bills are stored as chains, so lost responses of the store are handled
//! in one place, [`append`].

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    chains::store::{Condition, PutOutcome, Store, StoreError, list_all},
    event::shortened,
};

/// Attempts to write a batch before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 3;

/// A random identifier by which a writer recognizes its own batch when it
/// reads it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub u64);

impl WriteId {
    /// Returns a new random identifier.
    pub fn random() -> WriteId {
        WriteId(rand::random())
    }
}

/// A batch as stored under one key of a chain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch<T> {
    /// The identifier of the write that created it.
    pub write: WriteId,
    /// The content.
    pub content: T,
}

/// The outcome of an append.
#[derive(Debug)]
pub enum AppendOutcome<T> {
    /// The batch is stored at its index.
    Appended,
    /// Another writer's batch, given here, is stored there instead.
    Occupied(T),
}

/// Returns the key of the batch at `index`.
pub(crate) fn key(prefix: &str, index: u64) -> String {
    format!("{prefix}/{index:016}")
}

/// Returns the index in a key made by [`key`]; `None` for any other.
pub(crate) fn index(text: &str) -> Option<u64> {
    let (prefix, digits) = text.rsplit_once('/')?;
    let index = digits.parse().ok()?;
    (key(prefix, index) == text).then_some(index)
}

/// Appends a batch at `index`, which must follow the last batch that the
/// caller has read.
///
/// After a lost response the key is read back. If it doesn't exist, the same
/// write is sent again, which is safe since it carries the same [`WriteId`].
///
/// # Errors
///
/// [`StoreError::NotApplied`] if the batch is not and will not be stored;
/// [`StoreError::OutcomeUnknown`] if it may be. The next append of the caller
/// at this index must then use the same batch, or the caller must not append
/// there.
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
    for _ in 0..MAX_ATTEMPTS {
        match store.put(&key, &value, Condition::Absent).await {
            Ok(PutOutcome::Written(_)) => return Ok(AppendOutcome::Appended),
            Ok(PutOutcome::Conflict) => {}
            Err(StoreError::NotApplied(reason)) => {
                // An earlier attempt of this call may still take effect.
                return Err(in_doubt.unwrap_or(StoreError::NotApplied(reason)));
            }
            Err(error) => in_doubt = Some(error),
        }
        match store.get(&key).await {
            Ok(Some(stored)) => {
                let found: Batch<T> = decode(&stored.value)?;
                return Ok(compare_writes(found, batch.write));
            }
            Ok(None) => {}
            Err(error) => {
                in_doubt.get_or_insert(to_outcome_unknown(error));
            }
        }
    }
    let unknown = || {
        StoreError::OutcomeUnknown(
            "the outcome of the write is unknown".into(),
        )
    };
    Err(in_doubt.unwrap_or_else(unknown))
}

/// The batches that were read of a chain.
#[derive(Debug)]
pub struct ChainPart<T> {
    /// The batches with their indices, in order, up to the first that cannot
    /// be read.
    pub batches: Vec<(u64, Batch<T>)>,
    /// Why the batch after them cannot be read, if there is one.
    pub unreadable: Option<StoreError>,
}

/// Reads the batches of a chain after the index `after`, in order, up to the
/// first that cannot be read. Other keys below the prefix are ignored.
///
/// # Errors
///
/// A [`StoreError`] of the read.
pub async fn read_part_after<T>(
    store: &dyn Store,
    prefix: &str,
    after: u64,
) -> Result<ChainPart<T>, StoreError>
where
    T: DeserializeOwned,
{
    let folder = format!("{prefix}/");
    let entries = list_all(store, &folder, &key(prefix, after)).await?;
    let mut batches = Vec::new();
    for entry in &entries {
        let suffix = entry.key.strip_prefix(&folder);
        let is_batch = suffix.is_some_and(|suffix| !suffix.contains('/'));
        let Some(index) = index(&entry.key).filter(|_| is_batch) else {
            continue;
        };
        match decode(&entry.value) {
            Ok(batch) => batches.push((index, batch)),
            Err(error) => {
                return Ok(ChainPart { batches, unreadable: Some(error) });
            }
        }
    }
    Ok(ChainPart { batches, unreadable: None })
}

/// Reads the batches of a chain after the index `after`, in order.
///
/// # Errors
///
/// A [`StoreError`] of the read, or that one of the batches cannot be read.
pub async fn read_after<T>(
    store: &dyn Store,
    prefix: &str,
    after: u64,
) -> Result<Vec<(u64, Batch<T>)>, StoreError>
where
    T: DeserializeOwned,
{
    let part = read_part_after(store, prefix, after).await?;
    part.unreadable.map_or(Ok(part.batches), Err)
}

/// Reads the batch at `index`. Returns `None` if the chain ends before it.
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

fn compare_writes<T>(found: Batch<T>, mine: WriteId) -> AppendOutcome<T> {
    if found.write == mine {
        AppendOutcome::Appended
    } else {
        AppendOutcome::Occupied(found.content)
    }
}

fn to_outcome_unknown(error: StoreError) -> StoreError {
    match error {
        StoreError::NotApplied(reason)
        | StoreError::OutcomeUnknown(reason) => {
            StoreError::OutcomeUnknown(reason)
        }
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<String, StoreError> {
    serde_json::to_string(value)
        .map_err(|e| StoreError::NotApplied(e.to_string()))
}

pub(crate) fn decode<T>(text: &str) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    serde_json::from_str(text).map_err(|error| {
        let reason = shortened(&error.to_string());
        StoreError::OutcomeUnknown(format!("unreadable: {reason}"))
    })
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
    fn a_second_writer_gets_the_batch_of_the_first() {
        let store = MemoryStore::default();
        block_on(async {
            let first = append(&store, "c", 1, &batch(1, 10)).await;
            assert!(matches!(first, Ok(AppendOutcome::Appended)));
            let second = append(&store, "c", 1, &batch(2, 20)).await;
            assert!(matches!(second, Ok(AppendOutcome::Occupied(10))));
        });
    }

    #[test]
    fn a_lost_response_is_read_back() {
        let store = MemoryStore::default();
        store.inject([Fault::LostResponse]);
        block_on(async {
            let outcome = append(&store, "c", 1, &batch(1, 10)).await;
            assert!(matches!(outcome, Ok(AppendOutcome::Appended)));
            assert_eq!(store.count("c/"), 1);
        });
    }

    fn fault() -> impl Strategy<Value = Fault> {
        prop_oneof![
            Just(Fault::None),
            Just(Fault::NotApplied),
            Just(Fault::LostRequest),
            Just(Fault::LostResponse),
        ]
    }

    proptest! {
        /// Whichever requests or responses are lost: `Appended` means that the
        /// batch is stored, `NotApplied` that it is not, and a retry with the
        /// same identifier never stores it twice.
        #[test]
        fn outcomes_match_the_store(
            faults in prop::collection::vec(fault(), 0..6),
            taken in any::<bool>(),
        ) {
            let store = MemoryStore::default();
            block_on(async {
                if taken {
                    let other = append(&store, "c", 1, &batch(9, 90)).await;
                    assert!(matches!(other, Ok(AppendOutcome::Appended)));
                }
                store.inject(faults.iter().copied());
                let outcome = append(&store, "c", 1, &batch(1, 10)).await;
                let stored = read_one::<u32>(&store, "c", 1).await.unwrap();
                let mine = stored.is_some_and(|b| b.write == WriteId(1));
                match outcome {
                    Ok(AppendOutcome::Appended) => assert!(mine),
                    Ok(AppendOutcome::Occupied(_)) => assert!(taken && !mine),
                    Err(StoreError::NotApplied(_)) => assert!(!mine),
                    Err(StoreError::OutcomeUnknown(_)) => {}
                }
                store.inject([]);
                assert!(store.count("c/") <= 1);
            });
        }
    }
}

//! Writes the quarantined subjects to the platform's store.
//!
//! Heartbeats carry the quarantine to the VMs that are running. A VM that
//! starts later, even after all of them have gone, reads it from the store.
//! Any VM could write it; the steward does, under a lease that is not
//! renewed, so that the entries expire.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    chains::store::{Backoff, StoreError},
    clock::BootInstant,
    crashes::tracker::CRASH_TTL,
    event::Event,
    gateway::{Gateway, fields},
    platform::{
        document,
        store::{ConditionalWrite, MAX_WRITES, WriteOutcome},
    },
    task,
};

/// Interval between checks for quarantined subjects that are not stored yet.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait before a failed write is repeated.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Drops expired crashes and writes the quarantine, for as long as polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(CHECK_INTERVAL, MAX_RETRY_INTERVAL);
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let now = gateway.clock.now();
        let changes = gateway.crashes.expire(now);
        gateway.log_quarantine_changes(&changes);
        let missing = missing_entries(&gateway, now);
        if missing.is_empty() {
            continue;
        }
        match write(&gateway, &missing).await {
            Ok(WriteOutcome::Committed(_)) => backoff.reset(),
            // Another VM has written an entry, which this one must read
            // before it tries again.
            Ok(WriteOutcome::Conflict | WriteOutcome::LeaseExpired) => {
                task::sleep(backoff.wait()).await;
            }
            Err(error) => {
                Event::HeldNotKept.record(fields(json!({
                    "requests": missing.len(),
                    "reason": error.to_string(),
                })));
                task::sleep(backoff.wait()).await;
            }
        }
    }
}

/// Returns the entries that this VM has to write: none, unless it is the
/// steward.
fn missing_entries(
    gateway: &Gateway,
    now: BootInstant,
) -> Vec<ConditionalWrite> {
    if !gateway.crashes.has_quarantined() {
        return Vec::new();
    }
    let own_proof = gateway.knowledge.copy_age(now);
    if !gateway.peers.is_steward(own_proof, now) {
        return Vec::new();
    }
    let quarantined = gateway.crashes.quarantined().into_iter();
    let missing = quarantined.filter_map(|(subject, crashes)| {
        let key = document::quarantine_key(subject);
        if gateway.knowledge.version_of(&key).is_some() {
            return None;
        }
        let value = document::encode_crashes(&crashes);
        Some(ConditionalWrite { key, value, expected: None })
    });
    missing.take(MAX_WRITES).collect()
}

async fn write(
    gateway: &Gateway,
    values: &[ConditionalWrite],
) -> Result<WriteOutcome, StoreError> {
    let store = &gateway.store;
    let lease = store.take_lease(CRASH_TTL).await?;
    let written = store.write_all(values, Some(lease)).await?;
    // Have this VM read the entries, whoever wrote them.
    gateway.peers.request_poll();
    Ok(written)
}

//! Keeping in the platform's store what is held back.
//!
//! Beats tell it to the VMs that are there. One that starts later, if need be
//! after all of them have gone, reads it with everything else. Any VM can
//! write it, and the steward does, under a lease that is not renewed.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    chains::store::{Backoff, StoreError},
    clock::BootInstant,
    crashes::tracker::REMEMBERED,
    event::Event,
    gateway::{Gateway, fields},
    platform::{
        document,
        store::{ConditionalWrite, MAX_WRITES, WriteOutcome},
    },
    task,
};

/// Time between two looks at what is held back.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Longest wait after it could not be written.
const RETRY_MOST: Duration = Duration::from_secs(5);

/// Writes what is held back for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(LOOK_PERIOD, RETRY_MOST);
    loop {
        task::sleep(LOOK_PERIOD).await;
        let now = gateway.clock.now();
        let changes = gateway.crashes.expire(now);
        gateway.note_crash_changes(&changes);
        let due = due(&gateway, now);
        if due.is_empty() {
            continue;
        }
        match write(&gateway, &due).await {
            Ok(WriteOutcome::Committed(_)) => backoff.reset(),
            // Another VM has written it, which this one is to hear of first.
            Ok(WriteOutcome::Conflict | WriteOutcome::LeaseExpired) => {
                task::sleep(backoff.wait()).await;
            }
            Err(error) => {
                Event::HeldNotKept.record(fields(json!({
                    "requests": due.len(),
                    "reason": error.to_string(),
                })));
                task::sleep(backoff.wait()).await;
            }
        }
    }
}

/// What this VM is to write: nothing, unless it is the steward.
fn due(gateway: &Gateway, now: BootInstant) -> Vec<ConditionalWrite> {
    if !gateway.crashes.has_quarantined() {
        return Vec::new();
    }
    let own_proof = gateway.knowledge.proof_age(now);
    if !gateway.peers.is_steward(own_proof, now) {
        return Vec::new();
    }
    let held = gateway.crashes.quarantined().into_iter();
    let missing = held.filter_map(|(request, crashes)| {
        let key = document::crashing_request_key(request);
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
    let lease = store.take_lease(REMEMBERED).await?;
    let written = store.write_all(values, Some(lease)).await?;
    // Whatever stands there now, this VM is to know it.
    gateway.peers.request_poll();
    Ok(written)
}

//! Recording in the store how far roll-outs are.
//!
//! Any VM can do it, and one of those that hear each other and the store
//! does: the first in an order that all of them find. Two that each think
//! they are it do no harm, since every record is written under a condition
//! and a roll-out that has ended stays ended.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    chains::store::{Backoff, StoreError},
    clock::BootInstant,
    event::Event,
    gateway::{Gateway, fields},
    message::ShortHash,
    platform::{
        document,
        store::{ConditionalWrite, WriteOutcome},
    },
    rollouts::{
        registry::PendingStatus,
        rollout::{RolloutProgress, RolloutStatus},
    },
    task,
};

/// Time between two looks at the roll-outs.
const PERIOD: Duration = Duration::from_millis(100);

/// Longest wait after a state could not be recorded.
const RECORD_MOST: Duration = Duration::from_secs(1);

/// Looks after the roll-outs for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(PERIOD, RECORD_MOST);
    let mut record_from = gateway.clock.now();
    loop {
        task::sleep(PERIOD).await;
        gateway.note_freshness();
        gateway.peers.sweep(gateway.clock.now());
        for id in gateway.pool.sweep(gateway.clock.now()) {
            Event::UpstreamGone.record(fields(json!({
                "upstream": id,
                "sure": true,
            })));
        }
        if !gateway.rollouts.any_running() {
            continue;
        }
        let now = gateway.clock.now();
        for (service, reason) in gateway.rollouts.evaluate(now) {
            Event::RolloutStopped.record(fields(json!({
                "service": service,
                "reason": reason,
            })));
        }
        if now < record_from {
            continue;
        }
        for due in due_records(&gateway, now) {
            if let Err(error) = record(&gateway, &due).await {
                record_from = gateway.clock.now() + backoff.wait();
                Event::RolloutNotRecorded.record(fields(json!({
                    "service": due.service,
                    "progress": due.status.progress.to_string(),
                    "reason": error.to_string(),
                })));
            } else {
                backoff.reset();
            }
        }
    }
}

/// What this VM is to record in the store.
pub(crate) fn due_records(
    gateway: &Gateway,
    now: BootInstant,
) -> Vec<PendingStatus> {
    let own_proof = gateway.knowledge.proof_age(now);
    let is_steward = gateway.peers.is_steward(own_proof, now);
    let old = |service: &_, target: &_| {
        gateway.in_flight_at_other_versions(service, target)
    };
    let halls = gateway.peers.other_halls();
    let halls: Vec<ShortHash> =
        halls.iter().map(|hall| ShortHash::of(hall.as_str())).collect();
    gateway.rollouts.pending_statuses(is_steward, old, &halls, now)
}

/// Writes a state over the one that stands there, unless that has ended the
/// same roll-out; what stands there afterwards is taken in.
async fn record(
    gateway: &Gateway,
    due: &PendingStatus,
) -> Result<(), StoreError> {
    let key = document::status_key(&due.service);
    let held = gateway.store.read(&key).await?;
    let expected = held.as_ref().map(|item| item.version);
    let value = held.and_then(|item| item.value);
    if let Some(held) = value.and_then(|v| document::read_status(&v).ok())
        && stands(&held, &due.status)
    {
        gateway.rollouts.apply_status(&due.service, &held);
        return Ok(());
    }
    let value = document::write_status(&due.service, &due.status);
    let state = ConditionalWrite { key, value, expected };
    let store = &gateway.store;
    if let WriteOutcome::Committed(version) =
        store.write_all(&[state], None).await?
    {
        gateway.rollouts.apply_status(&due.service, &due.status);
        Event::RolloutRecorded.record(fields(json!({
            "service": due.service,
            "target": due.status.target,
            "progress": due.status.progress.to_string(),
            "version": version.0,
        })));
    }
    Ok(())
}

/// Whether the state held is not to be replaced by `wanted`.
fn stands(held: &RolloutStatus, wanted: &RolloutStatus) -> bool {
    held.target == wanted.target
        && (held == wanted || held.progress != RolloutProgress::Running)
}

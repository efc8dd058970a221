//! Records the status of rollouts in the store.
//!
//! One VM, the steward, does so: the first, in an order that is the same for
//! all VMs, of those that reach each other and the store. Two VMs that both
//! act as the steward do no harm, since every write is conditional and a
//! rollout that has ended stays ended.

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
        fleet_place::FleetPlace,
        registry::PendingStatus,
        rollout::{RolloutProgress, RolloutStatus},
    },
    task,
};

/// Interval between two checks of the rollouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait after a status could not be recorded.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Checks the rollouts and records their status for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(CHECK_INTERVAL, MAX_RETRY_WAIT);
    let mut retry_at = gateway.clock.now();
    loop {
        task::sleep(CHECK_INTERVAL).await;
        gateway.log_freshness();
        gateway.apply_due_updates();
        gateway.peers.sweep(gateway.clock.now());
        for id in gateway.pool.sweep(gateway.clock.now()) {
            Event::UpstreamGone.record(fields(json!({
                "upstream": id,
                "sure": true,
            })));
        }
        if !gateway.rollouts.any_unrecorded() {
            continue;
        }
        let now = gateway.clock.now();
        gateway.rollouts.set_fleet_place(FleetPlace {
            vms: gateway.peers.vm_count(),
            is_deputy: gateway.peers.is_first_of_hall(now),
        });
        for (service, reason) in gateway.rollouts.evaluate(now) {
            Event::RolloutStopped.record(fields(json!({
                "service": service,
                "reason": reason,
            })));
        }
        if now < retry_at {
            continue;
        }
        for due in due_records(&gateway, now) {
            if let Err(error) = record(&gateway, &due).await {
                retry_at = gateway.clock.now() + backoff.wait();
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

/// Returns the status records that this VM has to write to the store.
pub(crate) fn due_records(
    gateway: &Gateway,
    now: BootInstant,
) -> Vec<PendingStatus> {
    let own_proof = gateway.knowledge.copy_age(now);
    let is_steward = gateway.peers.is_steward(own_proof, now);
    let in_flight_at_others = |service: &_, target: &_| {
        gateway.in_flight_at_other_versions(service, target)
    };
    let halls = gateway.peers.other_halls();
    let halls: Vec<ShortHash> =
        halls.iter().map(|hall| ShortHash::of(hall.as_str())).collect();
    gateway.rollouts.pending_statuses(
        is_steward,
        in_flight_at_others,
        &halls,
        now,
    )
}

/// Writes a status to the store, unless the stored one is equal or says that
/// the same rollout has ended. Applies the status that is stored afterwards.
async fn record(
    gateway: &Gateway,
    due: &PendingStatus,
) -> Result<(), StoreError> {
    let key = document::status_key(&due.service);
    let stored = gateway.store.read(&key).await?;
    let expected = stored.as_ref().map(|item| item.version);
    let value = stored.and_then(|item| item.value);
    if let Some(stored) = value.and_then(|v| document::decode_status(&v).ok())
        && must_keep(&stored, &due.status)
    {
        gateway.rollouts.apply_status(&due.service, &stored);
        return Ok(());
    }
    let value = document::encode_status(&due.service, &due.status);
    let write = ConditionalWrite { key, value, expected };
    let store = &gateway.store;
    let known = gateway.rollouts.known_answers(&due.service);
    let ([old, new], canary_ended) = known.unwrap_or_default();
    let comparison = gateway.rollouts.comparison(&due.service);
    if let WriteOutcome::Committed(version) =
        store.write_all(&[write], None).await?
    {
        gateway.rollouts.apply_status(&due.service, &due.status);
        Event::RolloutRecorded.record(fields(json!({
            "service": due.service,
            "target": due.status.target,
            "progress": due.status.progress.to_string(),
            "version": version.0,
            "answers": new.complete,
            "answers_bad": new.bad,
            "answers_lost": new.lost,
            "answers_compared": comparison.compared(),
            "slower_than_percent": comparison.exceeded_percent(),
            "old_answers": old.complete,
            "old_answers_bad": old.bad,
            "old_answers_lost": old.lost,
            "canary_ended_ms": canary_ended.map(|end| end.as_millis() as u64),
        })));
    }
    Ok(())
}

/// Whether the stored status must not be replaced by `wanted`.
fn must_keep(stored: &RolloutStatus, wanted: &RolloutStatus) -> bool {
    stored.target == wanted.target
        && (stored == wanted || stored.progress != RolloutProgress::Running)
}

//! Keeps the evidence on running rollouts in the platform's store.
//!
//! Heartbeats carry the evidence to the VMs that are running. A VM that starts
//! later, even after all that have seen answers of a version are gone, reads
//! it from the store. The first VM of each data hall writes that of its hall;
//! two VMs that both do so do no harm, since every write is conditional and
//! counts only grow.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    chains::store::{Backoff, StoreError},
    clock::BootInstant,
    event::Event,
    gateway::{Gateway, fields},
    id::ServiceId,
    platform::{
        document,
        store::{ConditionalWrite, WriteOutcome},
    },
    rollouts::stored_evidence::StoredEvidence,
    store_sync::store_position::StoreEra,
    task,
};

/// Interval between two checks for evidence that the store lacks, and so the
/// shortest time between two writes.
const CHECK_INTERVAL: Duration = Duration::from_millis(800);

/// Longest wait before a failed write is repeated.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Lifetime of the lease of the records, the longest that the store grants.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Age at which a lease is replaced by a new one.
const MAX_LEASE_AGE: Duration = Duration::from_secs(300);

/// Writes evidence that the store lacks, for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(CHECK_INTERVAL, MAX_RETRY_INTERVAL);
    let mut writer = Writer { gateway, lease: None };
    loop {
        task::sleep(CHECK_INTERVAL).await;
        for (service, missing) in writer.missing() {
            match writer.write(&service, missing).await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    Event::RolloutEvidenceNotKept.record(fields(json!({
                        "service": service,
                        "reason": error.to_string(),
                    })));
                    task::sleep(backoff.wait()).await;
                }
            }
        }
    }
}

/// Writes evidence under a lease.
struct Writer {
    gateway: Arc<Gateway>,
    lease: Option<EvidenceLease>,
}

#[derive(Clone, Copy, Debug)]
struct EvidenceLease {
    id: u64,
    /// The era in which it was taken. Later ones do not know it, and may give
    /// its id to another VM.
    era: StoreEra,
    taken_at: BootInstant,
}

impl Writer {
    /// Returns the evidence that this VM has to write: none, unless it is the
    /// first of its data hall.
    fn missing(&self) -> Vec<(ServiceId, StoredEvidence)> {
        let gateway = &self.gateway;
        if !gateway.rollouts.any_running() {
            return Vec::new();
        }
        let now = gateway.clock.now();
        if !gateway.peers.is_first_of_hall(now) {
            return Vec::new();
        }
        let order_version = |service: &_| gateway.order_version(service);
        let own_vm = gateway.short_hash();
        gateway.rollouts.unstored_evidence(order_version, own_vm, now)
    }

    async fn write(
        &mut self,
        service: &ServiceId,
        evidence: StoredEvidence,
    ) -> Result<(), StoreError> {
        let lease = self.lease().await?;
        let hall = &self.gateway.settings.data_hall;
        let key = document::evidence_key(service, hall);
        let write = ConditionalWrite {
            expected: self.gateway.knowledge.version_of(&key),
            value: document::encode_evidence(&evidence),
            key,
        };
        let store = &self.gateway.store;
        match store.write_all(&[write], Some(lease)).await? {
            WriteOutcome::Committed(_) => {
                let rollouts = &self.gateway.rollouts;
                rollouts.set_stored_evidence(service.clone(), evidence);
                // Has this VM read the version that the next write expects.
                self.gateway.peers.request_poll();
                Ok(())
            }
            WriteOutcome::Conflict => {
                self.gateway.peers.request_poll();
                Err(StoreError::NotApplied("the record has changed".into()))
            }
            WriteOutcome::LeaseExpired => {
                self.lease = None;
                Err(StoreError::NotApplied("the lease has expired".into()))
            }
        }
    }

    /// Returns the lease for the next write, a new one if it is old.
    async fn lease(&mut self) -> Result<u64, StoreError> {
        let now = self.gateway.clock.now();
        let era = self.gateway.knowledge.as_of().era;
        if let Some(lease) = self.lease
            && lease.era == era
            && now.saturating_duration_since(lease.taken_at) < MAX_LEASE_AGE
        {
            return Ok(lease.id);
        }
        let id = self.gateway.store.take_lease(EVIDENCE_TTL).await?;
        self.lease = Some(EvidenceLease { id, era, taken_at: now });
        Ok(id)
    }
}

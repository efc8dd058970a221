//! Keeps the VMs registered in the store, so that they find each other.
//!
//! A VM that starts knows the addresses of a few others, the seeds, and sends
//! them heartbeats. The seeds register the VMs that they receive heartbeats
//! from, many in one transaction and under one lease: two calls for each of
//! 295 VMs would be 590 calls, and batches take some twenty. A VM that no seed
//! registers does so itself.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    chains::store::{Backoff, StoreError},
    clock::BootInstant,
    event::Event,
    gateway::{Gateway, fields},
    platform::{
        document,
        store::{ConditionalWrite, MAX_WRITES, WriteOutcome},
    },
    store_sync::{knowledge::PeerRecord, store_position::StoreEra},
    task,
};

/// Interval between two checks for VMs that are not registered.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after its start at which a VM begins to register VMs: by then, all VMs
/// that started with it have sent their first heartbeat, which is due half a
/// second after their start.
const SEED_DELAY: Duration = Duration::from_millis(900);

/// Time after which a seed also registers the VMs assigned to another seed,
/// which may be down.
const TAKEOVER_DELAY: Duration = Duration::from_secs(3);

/// Time after which a VM that is not registered registers itself, longer than
/// the seeds need, and the largest random addition to it, so that VMs do not
/// all write at once.
const SELF_REGISTRATION_DELAY: Duration = Duration::from_secs(5);
const SELF_REGISTRATION_JITTER: Duration = Duration::from_secs(2);

/// Lifetime of the lease of the records, the longest that the store grants: it
/// only removes stale records, and heartbeats show which VMs are alive.
const LEASE_TTL: Duration = Duration::from_secs(600);

/// Interval between two renewals of that lease; one of them may fail.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(200);

/// First and longest wait after a write to the store failed.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(100);
const MAX_RETRY_WAIT: Duration = Duration::from_secs(5);

/// Keeps VMs registered for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut registrar = Registrar::new(gateway);
    loop {
        task::sleep(CHECK_INTERVAL).await;
        match registrar.register_due().await {
            Ok(()) => registrar.backoff.reset(),
            Err(error) => {
                Event::RecordNotKept.record(fields(json!({
                    "reason": error.to_string(),
                })));
                task::sleep(registrar.backoff.wait()).await;
            }
        }
    }
}

/// Writes the records of VMs and renews their lease.
struct Registrar {
    gateway: Arc<Gateway>,
    backoff: Backoff,
    started_at: BootInstant,
    /// When this VM registers itself if no seed does; counted from when its
    /// record was last seen in the store.
    self_due_at: BootInstant,
    lease: Option<RecordLease>,
}

#[derive(Clone, Copy, Debug)]
struct RecordLease {
    id: u64,
    /// The era in which it was taken. Later ones do not know it, and may give
    /// its id to another VM.
    era: StoreEra,
    renewed_at: BootInstant,
}

impl Registrar {
    fn new(gateway: Arc<Gateway>) -> Registrar {
        let now = gateway.clock.now();
        Registrar {
            backoff: Backoff::new(MIN_RETRY_WAIT, MAX_RETRY_WAIT),
            started_at: now,
            self_due_at: now + SELF_REGISTRATION_DELAY,
            lease: None,
            gateway,
        }
    }

    async fn register_due(&mut self) -> Result<(), StoreError> {
        let now = self.gateway.clock.now();
        self.renew_lease(now).await?;
        let due = self.due(now);
        for records in due.chunks(MAX_WRITES) {
            self.write(records, now).await?;
        }
        Ok(())
    }

    async fn renew_lease(
        &mut self,
        now: BootInstant,
    ) -> Result<(), StoreError> {
        let era = self.gateway.knowledge.as_of().era;
        self.lease = self.lease.filter(|lease| lease.era == era);
        let Some(lease) = self.lease else { return Ok(()) };
        if now.saturating_duration_since(lease.renewed_at)
            < LEASE_RENEWAL_INTERVAL
        {
            return Ok(());
        }
        let still_exists = self.gateway.store.renew_lease(lease.id).await?;
        // If the lease is gone, so are its records, which are due again.
        let renewed = RecordLease { renewed_at: now, ..lease };
        self.lease = still_exists.then_some(renewed);
        Ok(())
    }

    /// Returns the records that this VM has to write.
    fn due(&mut self, now: BootInstant) -> Vec<ConditionalWrite> {
        let gateway = &self.gateway;
        let peers = &gateway.peers;
        let age = now.saturating_duration_since(self.started_at);
        if !gateway.knowledge.is_read() || age < SEED_DELAY {
            return Vec::new();
        }
        let mut records = Vec::new();
        let own = own_record(gateway);
        if gateway.knowledge.contains(&own.key, &own.value) {
            let spread = SELF_REGISTRATION_JITTER.mul_f64(rand::random());
            self.self_due_at = now + SELF_REGISTRATION_DELAY + spread;
        } else if peers.is_seed() || now >= self.self_due_at {
            records.push(own);
        }
        let takes_over = age >= TAKEOVER_DELAY;
        let unrecorded = peers.unrecorded(takes_over, now);
        let others = unrecorded
            .iter()
            .map(|(vm, record)| record_write(gateway, vm, record));
        records.extend(others);
        records
    }

    async fn write(
        &mut self,
        records: &[ConditionalWrite],
        now: BootInstant,
    ) -> Result<(), StoreError> {
        let store = &self.gateway.store;
        let lease = match self.lease {
            Some(lease) => lease.id,
            None => {
                let era = self.gateway.knowledge.as_of().era;
                let id = store.take_lease(LEASE_TTL).await?;
                self.lease = Some(RecordLease { id, era, renewed_at: now });
                id
            }
        };
        match store.write_all(records, Some(lease)).await? {
            WriteOutcome::Committed(_) => {
                self.gateway.peers.request_poll();
                Ok(())
            }
            // A record in the store is newer than in this VM's copy.
            WriteOutcome::Conflict => {
                self.gateway.peers.request_poll();
                Err(StoreError::NotApplied("a record has changed".to_owned()))
            }
            WriteOutcome::LeaseExpired => {
                self.lease = None;
                Err(StoreError::NotApplied("the lease has expired".to_owned()))
            }
        }
    }
}

fn own_record(gateway: &Gateway) -> ConditionalWrite {
    let settings = &gateway.settings;
    let record = PeerRecord {
        peers: settings.peer_address,
        data_hall: settings.data_hall.clone(),
        link_mbps: settings.link_rate,
        cores: settings.cores,
    };
    record_write(gateway, settings.vm.as_str(), &record)
}

fn record_write(
    gateway: &Gateway,
    vm: &str,
    record: &PeerRecord,
) -> ConditionalWrite {
    let key = document::peer_key(&record.data_hall, vm);
    ConditionalWrite {
        expected: gateway.knowledge.version_of(&key),
        value: document::encode_peer(record),
        key,
    }
}

//! Keeping the VMs recorded in the store, so that each finds the others.
//!
//! A VM that starts knows the addresses of a few others, the seeds, and tells
//! them that it is there. They record all of those that they hear, many in one
//! transaction and under one lease: two calls for each of 295 VMs would be
//! 590, and this way they are some twenty. A VM that nobody records does so
//! itself.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    chains::store::{Backoff, StoreError},
    clock::BootInstant,
    event::Event,
    facts::knowledge::PeerRecord,
    gateway::{Gateway, fields},
    platform::{
        document,
        store::{ConditionalWrite, MAX_WRITES, WriteOutcome},
    },
    task,
};

/// Time between two looks at which VMs are not recorded.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after its start when a seed begins to record others: by then all that
/// started with it have sent their first beat, half a second after theirs.
const SEED_DELAY: Duration = Duration::from_millis(900);

/// Time after which a seed also records the VMs that are another seed's to
/// record, which may be gone.
const TAKEOVER_DELAY: Duration = Duration::from_secs(3);

/// Time after which a VM records itself that nobody has recorded, longer than
/// the seeds take; and what is added at random, so that VMs do not all write
/// at once.
const SELF_REGISTRATION_DELAY: Duration = Duration::from_secs(5);
const SELF_REGISTRATION_JITTER: Duration = Duration::from_secs(2);

/// Lifetime of the lease of records, the longest there is: it only keeps the
/// list from growing, and liveness is told by beats.
const LEASE_TTL: Duration = Duration::from_secs(600);

/// Time between two renewals of that lease; one may fail.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(200);

/// First and longest wait after the store could not be written.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(100);
const MAX_RETRY_WAIT: Duration = Duration::from_secs(5);

/// Keeps VMs recorded for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut registrar = Registrar::new(gateway);
    loop {
        task::sleep(CHECK_INTERVAL).await;
        match registrar.keep().await {
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

struct Registrar {
    gateway: Arc<Gateway>,
    backoff: Backoff,
    started_at: BootInstant,
    /// When this VM records itself if nobody else does; counted from when it
    /// was last recorded.
    self_due_at: BootInstant,
    lease: Option<RecordLease>,
}

#[derive(Clone, Copy, Debug)]
struct RecordLease {
    id: u64,
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

    async fn keep(&mut self) -> Result<(), StoreError> {
        let now = self.gateway.clock.now();
        self.renew(now).await?;
        let due = self.due(now);
        for records in due.chunks(MAX_WRITES) {
            self.write(records, now).await?;
        }
        Ok(())
    }

    async fn renew(&mut self, now: BootInstant) -> Result<(), StoreError> {
        let Some(held) = self.lease else { return Ok(()) };
        if now.saturating_duration_since(held.renewed_at)
            < LEASE_RENEWAL_INTERVAL
        {
            return Ok(());
        }
        let is_held = self.gateway.store.renew_lease(held.id).await?;
        // With the lease, the records are gone as well, and are due again.
        let renewed = RecordLease { renewed_at: now, ..held };
        self.lease = is_held.then_some(renewed);
        Ok(())
    }

    /// The records that this VM has to write.
    fn due(&mut self, now: BootInstant) -> Vec<ConditionalWrite> {
        let gateway = &self.gateway;
        let peers = &gateway.peers;
        let age = now.saturating_duration_since(self.started_at);
        if !gateway.knowledge.is_read() || age < SEED_DELAY {
            return Vec::new();
        }
        let mut records = Vec::new();
        let own = own_record(gateway);
        if gateway.knowledge.holds(&own.key, &own.value) {
            let spread = SELF_REGISTRATION_JITTER.mul_f64(rand::random());
            self.self_due_at = now + SELF_REGISTRATION_DELAY + spread;
        } else if peers.is_seed() || now >= self.self_due_at {
            records.push(own);
        }
        let takes_over = age >= TAKEOVER_DELAY;
        let unrecorded = peers.unrecorded(takes_over, now);
        let others = unrecorded
            .iter()
            .map(|(vm, record)| new_value(gateway, vm, record));
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
            Some(held) => held.id,
            None => {
                let id = store.take_lease(LEASE_TTL).await?;
                self.lease = Some(RecordLease { id, renewed_at: now });
                id
            }
        };
        match store.write_all(records, Some(lease)).await? {
            WriteOutcome::Committed(_) => {
                self.gateway.peers.look();
                Ok(())
            }
            // What this VM knows of a record is behind the store.
            WriteOutcome::Conflict => {
                self.gateway.peers.look();
                Err(StoreError::NotDone("a record has changed".to_owned()))
            }
            WriteOutcome::LeaseExpired => {
                self.lease = None;
                Err(StoreError::NotDone("the lease is over".to_owned()))
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
    };
    new_value(gateway, settings.vm.as_str(), &record)
}

fn new_value(
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

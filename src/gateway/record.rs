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
    gateway::{Gateway, fields},
    platform::{
        document,
        store::{ConditionalWrite, MAX_WRITES, WriteOutcome},
    },
    store_sync::knowledge::PeerRecord,
    task,
};

/// Time between two looks at which VMs are not recorded.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// Time after its start when a seed begins to record others: by then all that
/// started with it have sent their first beat, half a second after theirs.
const GATHER_TIME: Duration = Duration::from_millis(900);

/// Time after which a seed also records the VMs that are another seed's to
/// record, which may be gone.
const OTHERS_AFTER: Duration = Duration::from_secs(3);

/// Time after which a VM records itself that nobody has recorded, longer than
/// the seeds take; and what is added at random, so that VMs do not all write
/// at once.
const OWN_AFTER: Duration = Duration::from_secs(5);
const OWN_SPREAD: Duration = Duration::from_secs(2);

/// Lifetime of the lease of records, the longest there is: it only keeps the
/// list from growing, and liveness is told by beats.
const LIFETIME: Duration = Duration::from_secs(600);

/// Time between two renewals of that lease; one may fail.
const RENEWAL: Duration = Duration::from_secs(200);

/// First and longest wait after the store could not be written.
const RETRY_LEAST: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_secs(5);

/// Keeps VMs recorded for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut keeper = Keeper::new(gateway);
    loop {
        task::sleep(LOOK_PERIOD).await;
        match keeper.keep().await {
            Ok(()) => keeper.backoff.reset(),
            Err(error) => {
                Event::RecordNotKept.record(fields(json!({
                    "reason": error.to_string(),
                })));
                task::sleep(keeper.backoff.wait()).await;
            }
        }
    }
}

struct Keeper {
    gateway: Arc<Gateway>,
    backoff: Backoff,
    started_at: BootInstant,
    /// When this VM records itself if nobody else does; counted from when it
    /// was last recorded.
    own_due_at: BootInstant,
    lease: Option<HeldLease>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: u64,
    renewed_at: BootInstant,
}

impl Keeper {
    fn new(gateway: Arc<Gateway>) -> Keeper {
        let now = gateway.clock.now();
        Keeper {
            backoff: Backoff::new(RETRY_LEAST, RETRY_MOST),
            started_at: now,
            own_due_at: now + OWN_AFTER,
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
        if now.saturating_duration_since(held.renewed_at) < RENEWAL {
            return Ok(());
        }
        let is_held = self.gateway.store.renew_lease(held.id).await?;
        // With the lease, the records are gone as well, and are due again.
        let renewed = HeldLease { renewed_at: now, ..held };
        self.lease = is_held.then_some(renewed);
        Ok(())
    }

    /// The records that this VM has to write.
    fn due(&mut self, now: BootInstant) -> Vec<ConditionalWrite> {
        let gateway = &self.gateway;
        let peers = &gateway.peers;
        let age = now.saturating_duration_since(self.started_at);
        if !gateway.knowledge.is_read() || age < GATHER_TIME {
            return Vec::new();
        }
        let mut records = Vec::new();
        let own = own_record(gateway);
        if gateway.knowledge.contains(&own.key, &own.value) {
            let spread = OWN_SPREAD.mul_f64(rand::random());
            self.own_due_at = now + OWN_AFTER + spread;
        } else if peers.is_seed() || now >= self.own_due_at {
            records.push(own);
        }
        let with_others = age >= OTHERS_AFTER;
        let unrecorded = peers.unrecorded(with_others, now);
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
                let id = store.take_lease(LIFETIME).await?;
                self.lease = Some(HeldLease { id, renewed_at: now });
                id
            }
        };
        match store.write_all(records, Some(lease)).await? {
            WriteOutcome::Committed(_) => {
                self.gateway.peers.request_poll();
                Ok(())
            }
            // What this VM knows of a record is behind the store.
            WriteOutcome::Conflict => {
                self.gateway.peers.request_poll();
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
        value: document::write_peer(record),
        key,
    }
}

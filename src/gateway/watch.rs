//! Following the platform's store: one read of everything, then one watch.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    event::Event,
    gateway::{Gateway, fields},
    knowledge::PeerRecord,
    mesh,
    platform::{
        document::{self, EVERYTHING},
        store::Watched,
    },
    store::{Backoff, StoreError},
    task,
};

/// First wait after the store did not answer.
const RETRY_LEAST: Duration = Duration::from_millis(100);

/// Longest wait between two tries, so that a store that is back is found
/// within a part of the time in which a configuration must be in force.
const RETRY_MOST: Duration = Duration::from_millis(600);

/// Pause between two watches. Records of upstreams often change together, and
/// each call has its price; what changes meanwhile comes with the next watch.
const GATHER_TIME: Duration = Duration::from_millis(200);

/// Time between two looks at whether this VM has to watch.
const REST_TIME: Duration = Duration::from_millis(100);

/// Age of the proof of the configuration from which a VM asks for a new one,
/// as a part of the time in which a key that was taken away must be refused.
/// The first VM to ask tells the others, so one does it for all.
const PROVE_PART: f64 = 0.2;

/// Added to that, drawn anew each time, so that VMs rarely ask together.
const PROVE_SPREAD: f64 = 0.16;

/// Lifetime of the lease of this VM's own record, the longest there is: it
/// only keeps the list from growing, and liveness is told by beats.
const RECORD_LIFETIME: Duration = Duration::from_secs(600);

/// Follows the store for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut follower = Follower::new(gateway);
    loop {
        follower.read_all().await;
        follower.watch().await;
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    backoff: Backoff,
    is_lost: bool,
}

impl Follower {
    fn new(gateway: Arc<Gateway>) -> Follower {
        let backoff = Backoff::new(RETRY_LEAST, RETRY_MOST);
        Follower { gateway, backoff, is_lost: false }
    }

    /// Reads everything, as often as it takes.
    async fn read_all(&mut self) {
        loop {
            let asked_at = self.gateway.clock.now();
            match self.gateway.store.read_all(EVERYTHING).await {
                Ok(all) => {
                    self.answered();
                    let news = self.gateway.knowledge.take_all(all);
                    self.gateway.take_news(news);
                    self.gateway.knowledge.prove(asked_at);
                    return;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    /// Takes in changes until the store no longer knows them all.
    async fn watch(&mut self) {
        loop {
            let gateway = &self.gateway;
            while gateway.peers.may_rest(gateway) {
                task::sleep(REST_TIME).await;
            }
            let asked_at = gateway.clock.now();
            let since = gateway.knowledge.as_of();
            let wait = gateway.settings.watch_wait;
            match gateway.store.watch(EVERYTHING, since, wait).await {
                Ok(Watched::Changes(changes)) => {
                    let digest = gateway.knowledge.digest();
                    mesh::tell_news(gateway, digest, &changes);
                    let news = gateway.knowledge.take_changes(changes);
                    gateway.take_news(news);
                    gateway.knowledge.prove(asked_at);
                    self.answered();
                    task::sleep(GATHER_TIME).await;
                }
                Ok(Watched::HistoryLost) => {
                    gateway.note_store_ill();
                    return;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    fn answered(&mut self) {
        self.backoff.reset();
        if std::mem::take(&mut self.is_lost) {
            Event::StoreBack.record(fields(json!({})));
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        self.gateway.note_store_ill();
        if !std::mem::replace(&mut self.is_lost, true) {
            let reason = error.to_string();
            Event::StoreLost.record(fields(json!({ "reason": reason })));
        }
        task::sleep(self.backoff.wait()).await;
    }
}

/// Proves the configuration current for as long as it is polled.
///
/// A watch proves it only when it ends; meanwhile a single read does.
pub(crate) async fn prove_loop(gateway: Arc<Gateway>) {
    loop {
        let part = PROVE_PART + PROVE_SPREAD * rand::random::<f64>();
        let patience = gateway.settings.revoke.mul_f64(part);
        let now = gateway.clock.now();
        let age = gateway.knowledge.proof_age(now);
        match age {
            // The first proof comes with the first read of everything.
            None => task::sleep(patience).await,
            Some(age) if age < patience => task::sleep(patience - age).await,
            Some(_) => prove(&gateway).await,
        }
    }
}

async fn prove(gateway: &Gateway) {
    let asked_at = gateway.clock.now();
    match gateway.store.read(document::CONFIGURATION_KEY).await {
        Ok(Some(item)) => {
            let news = gateway.knowledge.take_item(item);
            gateway.take_news(news);
            gateway.knowledge.prove(asked_at);
        }
        Ok(None) => task::sleep(RETRY_MOST).await,
        Err(_) => {
            // The watch reports that the store is lost.
            gateway.note_store_ill();
            task::sleep(RETRY_LEAST * 3).await;
        }
    }
}

/// Records this VM in the store, so that the others find it.
pub(crate) async fn record_vm(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(RETRY_LEAST, Duration::from_secs(5));
    while let Err(error) = try_record_vm(&gateway).await {
        let reason = format!("recording this VM: {error}");
        Event::StoreLost.record(fields(json!({ "reason": reason })));
        task::sleep(backoff.wait()).await;
    }
}

async fn try_record_vm(gateway: &Gateway) -> Result<(), StoreError> {
    let settings = &gateway.settings;
    let key = document::peer_key(settings.vm.as_str());
    let value = document::write_peer(&PeerRecord {
        peers: settings.peers,
        data_hall: settings.data_hall.clone(),
    });
    let lease = gateway.store.take_lease(RECORD_LIFETIME).await?;
    let held = gateway.store.read(&key).await?;
    let expected = held.map(|item| item.version);
    // Refused means that another life of this VM wrote meanwhile; what it
    // wrote is the same.
    gateway.store.write(&key, &value, expected, Some(lease)).await?;
    Ok(())
}

//! Following the platform's store: one read of everything, then one watch.

use std::{sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    chains::store::{Backoff, StoreError},
    clock::BootInstant,
    event::Event,
    gateway::{Gateway, fields},
    platform::{
        document::{self, EVERYTHING},
        store::{Recency, StoreItems, Watched},
    },
    store_sync::{gossip, peers::WatchRole},
    task,
};

/// First wait after the store did not answer.
const RETRY_LEAST: Duration = Duration::from_millis(100);

/// Longest wait between two tries, so that a store that is back is found
/// within a part of the time in which a configuration must be in force.
const RETRY_MOST: Duration = Duration::from_millis(600);

/// How many times as long a VM waits that is not one of the first of its data
/// hall: they tell it when the store is back, and each call has its price.
/// Worked out from these limits, 283 such VMs make 79 calls a second to a
/// store that is silent with a factor of 4, and 39 with 10.
const RETRY_FACTOR_OTHERS: f64 = 10.0;

/// Pause between two watches. Records of upstreams often change together, and
/// each call has its price; what changes meanwhile comes with the next watch.
const GATHER_TIME: Duration = Duration::from_millis(200);

/// The same for a VM that watches in case the first of those that do is lost.
/// While upstreams come and go, twelve watchers made 50 calls a second where
/// six of them would do.
const GATHER_TIME_STANDBY: Duration = Duration::from_millis(1000);

/// Time between two looks at whether this VM has to watch.
const REST_TIME: Duration = Duration::from_millis(100);

/// Age of the proof of the configuration from which a VM asks for a new one,
/// as a part of the time in which a key that was taken away must be refused.
/// The first VM to ask tells the others, so one does it for all.
const PROVE_PART: f64 = 0.2;

/// The same for a VM that is not the first of its data hall: that one asks
/// for all, and only when it does not are others to.
const PROVE_PART_OTHERS: f64 = 0.46;

/// Added to that, drawn anew each time, so that VMs rarely ask together.
const PROVE_SPREAD: f64 = 0.1;

/// First and longest wait after the configuration could not be proven.
const PROVE_RETRY_LEAST: Duration = Duration::from_millis(300);
const PROVE_RETRY_MOST: Duration = Duration::from_millis(900);

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
    ///
    /// The first time, all but the configuration may be a little old: the
    /// watch that follows brings what has changed since.
    async fn read_all(&mut self) {
        if self.gateway.knowledge.is_empty() && self.take_from_hall().await {
            return self.answered();
        }
        let recency = match self.gateway.knowledge.is_empty() {
            true => Recency::MayLag,
            false => Recency::Current,
        };
        loop {
            match self.try_read_all(recency).await {
                Ok(()) => return self.answered(),
                Err(error) => self.failed(&error).await,
            }
        }
    }

    /// Takes everything from a VM of the data hall that reads it for the
    /// others; returns whether one told it.
    async fn take_from_hall(&self) -> bool {
        let gateway = &self.gateway;
        let prefix = document::hall_prefix(&gateway.settings.data_hall);
        let recorded = gateway.store.read_all(&prefix, Recency::MayLag).await;
        // A store that does not answer is met again when everything is read.
        let Ok(recorded) = recorded else { return false };
        for item in recorded.items {
            gateway.apply_news(gateway.knowledge.apply_item(item));
        }
        let readers = gateway.peers.snapshot_readers();
        gossip::fetch_from_either(gateway, &readers).await
    }

    async fn try_read_all(&self, recency: Recency) -> Result<(), StoreError> {
        let gateway = &self.gateway;
        let asked_at = gateway.clock.now();
        let all = gateway.store.read_all(EVERYTHING, recency).await?;
        let news = gateway.knowledge.apply_snapshot(all);
        gateway.apply_news(news);
        match recency {
            Recency::Current => {
                gateway.knowledge.prove(asked_at);
                gateway.peers.record_poll(asked_at);
            }
            // Before the operators' first configuration there is nothing to
            // prove, and all VMs of a new fleet are in that place.
            Recency::MayLag if gateway.knowledge.is_empty() => {
                gateway.peers.record_poll(asked_at);
            }
            Recency::MayLag => {
                // If the history is gone, the watch finds so as well.
                prove(gateway).await?;
            }
        }
        Ok(())
    }

    /// Takes in changes until the store no longer knows them all.
    async fn watch(&mut self) {
        loop {
            let gateway = &self.gateway;
            let role = gateway.watch_role();
            if role == WatchRole::Idle {
                task::sleep(REST_TIME).await;
                continue;
            }
            if role == WatchRole::Poll || self.is_lost {
                // A short call tells sooner than a watch that the store is
                // back, and proves the configuration at once.
                match prove(gateway).await {
                    Ok(Proof::Everything) => self.answered(),
                    Ok(Proof::ConfigurationAlone) => {
                        gateway.note_store_ill();
                        return;
                    }
                    Err(error) => self.failed(&error).await,
                }
                continue;
            }
            let asked_at = gateway.clock.now();
            let since = gateway.knowledge.as_of();
            let wait = gateway.settings.watch_timeout;
            match gateway.store.watch(EVERYTHING, since, wait).await {
                Ok(Watched::Changes(changes)) => {
                    let digest = gateway.knowledge.digest();
                    // What the first watcher has told all need not be told
                    // again.
                    if gateway.knowledge.has_new(&changes) {
                        gossip::push_changes(gateway, digest, &changes);
                    }
                    take_in(gateway, changes, asked_at);
                    self.answered();
                    task::sleep(gather_time(&self.gateway)).await;
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
        self.gateway.peers.set_store_failure(None);
        if std::mem::take(&mut self.is_lost) {
            Event::StoreBack.record(fields(json!({})));
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        self.gateway.note_store_ill();
        self.gateway.peers.set_store_failure(Some(self.gateway.clock.now()));
        if !std::mem::replace(&mut self.is_lost, true) {
            let reason = error.to_string();
            Event::StoreLost.record(fields(json!({ "reason": reason })));
        }
        wait_to_retry(&self.gateway, &mut self.backoff).await;
    }
}

/// The pause before the next watch.
fn gather_time(gateway: &Gateway) -> Duration {
    match gateway.peers.is_first_watcher(gateway.clock.now()) {
        true => GATHER_TIME,
        false => GATHER_TIME_STANDBY,
    }
}

/// Waits before this VM asks a store again that did not answer. It may become
/// one of the first of its hall meanwhile, when others there are lost.
async fn wait_to_retry(gateway: &Gateway, backoff: &mut Backoff) {
    let began_at = gateway.clock.now();
    let wait = backoff.wait();
    loop {
        let now = gateway.clock.now();
        let limit = match gateway.peers.is_outage_prober(now) {
            true => wait,
            false => wait.mul_f64(RETRY_FACTOR_OTHERS),
        };
        let waited = now.saturating_duration_since(began_at);
        if waited >= limit {
            return;
        }
        task::sleep((limit - waited).min(REST_TIME)).await;
    }
}

/// Proves the configuration current for as long as it is polled.
///
/// A watch proves it only when it ends; meanwhile one that is not waited for
/// does.
pub(crate) async fn prove_loop(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(PROVE_RETRY_LEAST, PROVE_RETRY_MOST);
    loop {
        let now = gateway.clock.now();
        let least = match gateway.peers.is_first_of_hall(now) {
            true => PROVE_PART,
            false => PROVE_PART_OTHERS,
        };
        let part = least + PROVE_SPREAD * rand::random::<f64>();
        let patience = gateway.settings.key_revocation_limit.mul_f64(part);
        let age = gateway.knowledge.proof_age(now);
        match age {
            // The first proof comes with the first read of everything.
            None => task::sleep(patience).await,
            Some(age) if age < patience => task::sleep(patience - age).await,
            // The follower of the store asks already whether it is back.
            Some(_) if !gateway.peers.can_watch(now) => {
                task::sleep(REST_TIME).await;
            }
            Some(_) if prove(&gateway).await.is_ok() => backoff.reset(),
            Some(_) => {
                // The watch reports that the store is lost.
                gateway.note_store_ill();
                wait_to_retry(&gateway, &mut backoff).await;
            }
        }
    }
}

/// What is known to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    /// All that the store holds.
    Everything,
    /// The configuration; what else has changed cannot be told any more.
    ConfigurationAlone,
}

/// Asks what has changed, so that all that is known is current.
///
/// The answer holds the changes alone: with a configuration of a thousand
/// routes, reading it instead took a VM with an eighth of a core and 20 Mbit/s
/// a quarter of a second at each proof, and as long again at its start.
async fn prove(gateway: &Gateway) -> Result<Proof, StoreError> {
    let asked_at = gateway.clock.now();
    let since = gateway.knowledge.as_of();
    let store = &gateway.store;
    match store.watch(EVERYTHING, since, Duration::ZERO).await? {
        Watched::Changes(changes) => {
            take_in(gateway, changes, asked_at);
            gateway.peers.record_poll(asked_at);
            Ok(Proof::Everything)
        }
        Watched::HistoryLost => {
            prove_by_reading(gateway).await?;
            Ok(Proof::ConfigurationAlone)
        }
    }
}

/// Takes in all changes since what is known, which is current as of when they
/// were asked for.
fn take_in(gateway: &Gateway, changes: StoreItems, asked_at: BootInstant) {
    let news = gateway.knowledge.apply_changes(changes);
    gateway.apply_news(news);
    gateway.knowledge.prove(asked_at);
}

/// Reads the configuration, which is then known to be current.
async fn prove_by_reading(gateway: &Gateway) -> Result<(), StoreError> {
    let asked_at = gateway.clock.now();
    match gateway.store.read(document::CONFIGURATION_KEY).await? {
        Some(item) => {
            let news = gateway.knowledge.apply_item(item);
            gateway.apply_news(news);
            gateway.knowledge.prove(asked_at);
        }
        None => task::sleep(RETRY_MOST).await,
    }
    Ok(())
}

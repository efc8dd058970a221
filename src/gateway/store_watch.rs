//! Follows the platform's store: reads all of it once, then watches it for
//! changes.
//!
//! A watch is a long poll that returns the changes since a version of the
//! store. Each answer also proves that the state of this VM was current when
//! the store was asked; the age of this proof decides whether keys may be
//! accepted.

use std::{pin::pin, sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    chains::store::{Backoff, StoreError},
    clock::BootInstant,
    event::Event,
    gateway::{Gateway, fields},
    platform::{
        document::{self, ALL_KEYS},
        store::{Consistency, StoreItems, WatchOutcome},
    },
    store_sync::{gossip, learned_by::LearnedBy, peers::WatchRole},
    task,
};

/// First wait after a call to the store failed.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(100);

/// Longest wait between two tries. A store that is back is found well within
/// the time in which a new configuration must take effect.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(600);

/// Factor on that wait for a VM that is not among the first of its data hall:
/// the first ones notify the others when the store is back, and each call
/// loads the store. Computed from these limits, 283 such VMs make 79 calls a
/// second to an unresponsive store with a factor of 4, and 39 with 10.
const RETRY_FACTOR_STANDBY: f64 = 10.0;

/// Pause between two watches. Records of upstreams often change together and
/// each call loads the store, so the changes during the pause are batched.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// The same pause for a VM that watches in case the first watcher is lost.
/// While upstreams come and go, twelve watchers made 50 calls a second where
/// six of them would do.
const WATCH_PAUSE_STANDBY: Duration = Duration::from_millis(1000);

/// Interval between two checks of whether this VM has to watch.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// First and longest wait after the proof could not be renewed.
const MIN_REVALIDATE_WAIT: Duration = Duration::from_millis(300);
const MAX_REVALIDATE_WAIT: Duration = Duration::from_millis(900);

/// Time after which an answer is late. A slow store answers within a quarter
/// of a second.
const LATE_AFTER: Duration = Duration::from_millis(400);

/// Follows the store for as long as it is polled.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut follower = StoreFollower::new(gateway);
    loop {
        follower.read_all().await;
        follower.watch().await;
    }
}

/// Reads and watches the store, and tracks whether it responds.
struct StoreFollower {
    gateway: Arc<Gateway>,
    backoff: Backoff,
    is_store_lost: bool,
}

impl StoreFollower {
    fn new(gateway: Arc<Gateway>) -> StoreFollower {
        let backoff = Backoff::new(MIN_RETRY_WAIT, MAX_RETRY_WAIT);
        StoreFollower { gateway, backoff, is_store_lost: false }
    }

    /// Reads the whole store, and retries until that succeeds.
    ///
    /// At the first read, everything but the configuration may be slightly
    /// stale: the watch that follows brings what has changed since.
    async fn read_all(&mut self) {
        if self.gateway.knowledge.is_empty() && self.load_from_hall().await {
            return self.record_success();
        }
        let consistency = match self.gateway.knowledge.is_empty() {
            true => Consistency::Stale,
            false => Consistency::Linearizable,
        };
        loop {
            match self.try_read_all(consistency).await {
                Ok(()) => return self.record_success(),
                Err(error) => self.record_failure(&error).await,
            }
        }
    }

    /// Loads everything from a VM of the data hall that reads the store for
    /// the others; returns whether that succeeded.
    async fn load_from_hall(&self) -> bool {
        let gateway = &self.gateway;
        let prefix = document::hall_prefix(&gateway.settings.data_hall);
        let recorded =
            gateway.store.read_all(&prefix, Consistency::Stale).await;
        // If the store does not respond, the full read that follows retries.
        let Ok(recorded) = recorded else { return false };
        for item in recorded.items {
            let applied = gateway.knowledge.apply_item(item);
            gateway.apply_items(applied, LearnedBy::Read);
        }
        let readers = gateway.peers.snapshot_readers();
        gossip::fetch_from_either(gateway, &readers).await
    }

    async fn try_read_all(
        &self,
        consistency: Consistency,
    ) -> Result<(), StoreError> {
        let gateway = &self.gateway;
        let asked_at = gateway.clock.now();
        read_everything(gateway, consistency, asked_at).await?;
        match consistency {
            Consistency::Linearizable => Ok(()),
            // Before the operators' first configuration there is nothing to
            // prove, and all VMs of a new fleet are in that state.
            Consistency::Stale if gateway.knowledge.is_empty() => Ok(()),
            Consistency::Stale => revalidate(gateway).await,
        }
    }

    /// Watches the store and applies its changes, until the store no longer
    /// has the history that the next watch needs.
    async fn watch(&mut self) {
        loop {
            let gateway = &self.gateway;
            let role = gateway.watch_role();
            if role == WatchRole::Idle {
                task::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            if role == WatchRole::Poll || self.is_store_lost {
                // A short call finds out sooner than a watch that the store
                // is back, and renews the proof of freshness at once.
                match revalidate(gateway).await {
                    Ok(()) => self.record_success(),
                    Err(error) => self.record_failure(&error).await,
                }
                continue;
            }
            let asked_at = gateway.clock.now();
            let since = gateway.knowledge.as_of();
            let wait = gateway.settings.watch_timeout;
            let watch = gateway.store.watch(ALL_KEYS, since, wait);
            let limit = wait + LATE_AFTER;
            let (watched, _) = give_way_if_late(gateway, limit, watch).await;
            match watched {
                Ok(WatchOutcome::Changes(changes)) => {
                    apply_changes(
                        gateway,
                        changes,
                        LearnedBy::Watch,
                        asked_at,
                    );
                    self.record_success();
                    task::sleep(watch_pause(&self.gateway)).await;
                }
                Ok(WatchOutcome::HistoryLost) => {
                    gateway.record_store_failure();
                    return;
                }
                Err(error) => self.record_failure(&error).await,
            }
        }
    }

    fn record_success(&mut self) {
        self.backoff.reset();
        self.gateway.peers.set_store_failure(None);
        if std::mem::take(&mut self.is_store_lost) {
            Event::StoreBack.record(fields(json!({})));
        }
    }

    async fn record_failure(&mut self, error: &StoreError) {
        self.gateway.record_store_failure();
        give_way(&self.gateway);
        if !std::mem::replace(&mut self.is_store_lost, true) {
            let reason = error.to_string();
            Event::StoreLost.record(fields(json!({ "reason": reason })));
        }
        wait_to_retry(&self.gateway, &mut self.backoff).await;
    }
}

/// Returns the pause before the next watch.
fn watch_pause(gateway: &Gateway) -> Duration {
    match gateway.peers.is_first_watcher(gateway.clock.now()) {
        true => WATCH_PAUSE,
        false => WATCH_PAUSE_STANDBY,
    }
}

/// Waits before the next call to a store that did not respond. The wait gets
/// shorter if this VM becomes one of the first of its hall meanwhile, because
/// others there are lost.
async fn wait_to_retry(gateway: &Gateway, backoff: &mut Backoff) {
    let began_at = gateway.clock.now();
    let wait = backoff.wait();
    loop {
        let now = gateway.clock.now();
        let limit = match gateway.peers.is_outage_prober(now) {
            true => wait,
            false => wait.mul_f64(RETRY_FACTOR_STANDBY),
        };
        let waited = now.saturating_duration_since(began_at);
        if waited >= limit {
            return;
        }
        task::sleep((limit - waited).min(ROLE_CHECK_INTERVAL)).await;
    }
}

/// Renews the proof of freshness for as long as it is polled.
///
/// The long poll of [`StoreFollower::watch`] renews it only when it ends. A
/// watch without a wait renews it in the meantime.
pub(crate) async fn revalidate_loop(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(MIN_REVALIDATE_WAIT, MAX_REVALIDATE_WAIT);
    let mut failed_at = None;
    loop {
        let now = gateway.clock.now();
        let rank = gateway.peers.renewal_rank(now);
        let (age, spread) = gateway.settings.staleness_bound.renewal(rank);
        let max_age = age + spread.mul_f64(rand::random());
        match gateway.knowledge.copy_age(now) {
            // The first read of the whole store brings the first proof.
            None => task::sleep(max_age).await,
            Some(age) if age < max_age => task::sleep(max_age - age).await,
            // The store follower already checks whether the store is back.
            Some(_)
                if !gateway.peers.can_watch(now)
                    && gateway.peers.store_failed_at() != failed_at =>
            {
                task::sleep(ROLE_CHECK_INTERVAL).await;
            }
            Some(_) => {
                let renewal = revalidate(&gateway);
                let (renewed, late_at) =
                    give_way_if_late(&gateway, LATE_AFTER, renewal).await;
                failed_at = late_at.or(failed_at);
                if renewed.is_ok() {
                    backoff.reset();
                    // Saves the others their own calls.
                    gateway.early_heartbeat.wake();
                    if failed_at.take().is_some() {
                        gateway.peers.set_store_failure(None);
                    }
                    continue;
                }
                // The watch logs that the store is lost.
                gateway.record_store_failure();
                // A watch that hangs fails only when it times out. Until then
                // another VM must watch in place of this one.
                failed_at = Some(give_way(&gateway));
                wait_to_retry(&gateway, &mut backoff).await;
            }
        }
    }
}

/// Waits for a call. If it lasts longer than `limit`, another VM watches in
/// place of this one meanwhile; returns since when.
async fn give_way_if_late<T>(
    gateway: &Gateway,
    limit: Duration,
    call: impl Future<Output = T>,
) -> (T, Option<BootInstant>) {
    let mut call = pin!(call);
    match task::within(limit, call.as_mut()).await {
        Some(result) => (result, None),
        None => {
            let late_at = give_way(gateway);
            (call.await, Some(late_at))
        }
    }
}

/// Tells the other VMs that the store does not answer this one, so that one of
/// them watches in its place; returns the time.
fn give_way(gateway: &Gateway) -> BootInstant {
    let now = gateway.clock.now();
    if gateway.peers.can_watch(now) {
        gateway.early_heartbeat.wake();
    }
    gateway.peers.set_store_failure(Some(now));
    now
}

/// Applies all changes since the last ones, so that the state is current as of
/// the call.
///
/// The response holds only the changes. Reading a configuration of a thousand
/// routes instead took a quarter of a second at each renewal, and as long
/// again at the start, on a VM with an eighth of a core and 20 Mbit/s. Where
/// the store has lost the history, only reading everything shows what has
/// changed.
async fn revalidate(gateway: &Arc<Gateway>) -> Result<(), StoreError> {
    let asked_at = gateway.clock.now();
    let since = gateway.knowledge.as_of();
    let store = &gateway.store;
    match store.watch(ALL_KEYS, since, Duration::ZERO).await? {
        WatchOutcome::Changes(changes) => {
            apply_changes(gateway, changes, LearnedBy::Poll, asked_at);
            gateway.peers.record_poll();
            Ok(())
        }
        WatchOutcome::HistoryLost => {
            gateway.record_store_failure();
            let asked_at = gateway.clock.now();
            read_everything(gateway, Consistency::Linearizable, asked_at).await
        }
    }
}

/// Reads the whole store and applies it; tells the receivers of this VM's
/// changes what is new.
async fn read_everything(
    gateway: &Arc<Gateway>,
    consistency: Consistency,
    asked_at: BootInstant,
) -> Result<(), StoreError> {
    let all = gateway.store.read_all(ALL_KEYS, consistency).await?;
    let as_of = all.as_of;
    let digest = gateway.knowledge.digest();
    let changes = gateway.knowledge.changes_in(&all);
    let now = gateway.clock.now();
    let own_as_of = gateway.knowledge.as_of();
    let is_first = !gateway.knowledge.is_read();
    let applied = gateway.knowledge.apply_snapshot(all, now);
    if applied.is_outdated {
        Event::StoreBehind.record(fields(json!({
            "store_as_of": as_of.to_string(),
            "own_as_of": own_as_of.to_string(),
        })));
        let why = "the store is behind this VM's copy".to_owned();
        return Err(StoreError::NotApplied(why));
    }
    let begins_era = applied.begins_era;
    gateway.apply_items(applied, LearnedBy::Read);
    if consistency == Consistency::Linearizable {
        gateway.knowledge.prove(asked_at);
        gateway.peers.record_poll();
    }
    match begins_era {
        true => gossip::push_snapshot(gateway),
        // Other VMs do not wait for what a starting one reads first.
        false if is_first => {}
        false => gossip::push_changes(gateway, digest, &changes),
    }
    Ok(())
}

/// Applies all changes since the last ones; the state is then current as of
/// `asked_at`. Tells the receivers of this VM's changes of them, unless the
/// first watcher has done so already.
fn apply_changes(
    gateway: &Arc<Gateway>,
    changes: StoreItems,
    by: LearnedBy,
    asked_at: BootInstant,
) {
    if gateway.knowledge.has_new(&changes) {
        let digest = gateway.knowledge.digest();
        gossip::push_changes(gateway, digest, &changes);
    }
    let applied = gateway.knowledge.apply_changes(changes);
    // Another call has brought this VM into a new era meanwhile.
    if !applied.is_outdated {
        gateway.apply_items(applied, by);
        gateway.knowledge.prove(asked_at);
    }
}

#[cfg(test)]
mod chain_tests;
#[cfg(test)]
mod tests;

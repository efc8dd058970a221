//! One entry VM before a platform: what its tasks and listeners share.
//!
//! * [`settings`]: its settings.
//! * [`own_words`]: hearing what upstreams say of themselves.
//! * [`record`]: keeping the VMs recorded in the store.
//! * [`server`]: its life, from start to planned stop.
//! * [`watch`]: following the platform's store.
//! * [`rollout_status`]: recording how far roll-outs are.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::{Map, Value, json};

use crate::{
    clock::{BootInstant, SharedClock},
    crashes::{
        broadcast_queue::Source,
        observation::RequestObservation,
        tracker::{CrashTracker, QuarantineChange},
    },
    event::Event,
    http_client::HttpClient,
    id::{Incarnation, ServiceId, VersionId},
    metrics::Metrics,
    placing::{
        admission::ServiceTimes,
        cascade::PrefillTimes,
        health::{AttemptOutcome, HealthChange},
        member::{Member, UpstreamState},
        pool::Pool,
        retry_window::RetryWindow,
    },
    platform::store::PlatformStore,
    rollouts::registry::Rollouts,
    store_sync::{
        knowledge::{AppliedItems, Knowledge, StoreUpdate, Unreadable},
        peers::{Peers, WatchRole},
    },
    task::Wake,
};

pub mod settings;

pub(crate) mod forward;
pub mod inbound;
pub(crate) mod ingress;
pub(crate) mod own_words;
pub(crate) mod relay_events;
pub(crate) mod trace;

pub(crate) mod record;
pub(crate) mod rollout_status;
pub(crate) mod server;
pub(crate) mod watch;

use settings::GatewaySettings;

/// Longest time to open a connection to an upstream, which is at most a few
/// milliseconds away; nothing was sent yet, so trying another costs nothing.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// Part of the time after which a key that was taken away must be refused,
/// up to which knowledge is recent enough to accept keys by.
///
/// A proof counts from before the store was asked, and a request from when it
/// arrives, which is after it was sent; so only clocks that run unlike need
/// the rest. Each hundredth serves callers for 50 ms longer when a store with
/// a bound of five seconds is away.
const KEY_PROOF_PART: f64 = 0.93;

/// Time that the store must have been well before a record that vanished
/// means that its upstream leaves; a live one is back within two seconds.
const STORE_WELL: Duration = Duration::from_millis(2500);

/// Values that cannot be read which are logged of those that come at once.
const UNREADABLE_LOGGED: usize = 20;

/// Counts the requests that this VM is working on.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCount(Arc<AtomicUsize>);

impl InFlightCount {
    /// Counts one more while the guard lives.
    pub(crate) fn enter(&self) -> Held {
        self.0.fetch_add(1, Ordering::Relaxed);
        Held(self.0.clone())
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts a request while it lives.
#[derive(Debug)]
pub(crate) struct Held(Arc<AtomicUsize>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One entry VM before a platform.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: SharedClock,
    pub(crate) http: HttpClient,
    pub(crate) store: PlatformStore,
    pub(crate) knowledge: Knowledge,
    pub(crate) pool: Pool,
    pub(crate) rollouts: Rollouts,
    pub(crate) crashes: CrashTracker,
    pub(crate) read_times: PrefillTimes,
    pub(crate) service_times: ServiceTimes,
    pub(crate) peers: Peers,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) in_flight: InFlightCount,
    /// Has the next beat sent early.
    pub(crate) early_heartbeat: Wake,
    pub(crate) incarnation: Incarnation,
    retries: Mutex<HashMap<ServiceId, Arc<RetryWindow>>>,
    store_ill_at: Mutex<Option<BootInstant>>,
    is_stopping: AtomicBool,
    was_fresh: AtomicBool,
}

impl Gateway {
    /// Puts a VM together; nothing runs yet.
    pub(crate) fn new(
        settings: GatewaySettings,
        clock: SharedClock,
    ) -> Arc<Gateway> {
        let incarnation = Incarnation(clock.unix_ms() * 1000);
        let metrics = Arc::new(Metrics::new());
        Arc::new(Gateway {
            http: HttpClient::new(CONNECT_LIMIT, clock.clone()),
            store: PlatformStore::new(settings.store, clock.clone()),
            knowledge: Knowledge::default(),
            pool: Pool::new(
                settings.vm.as_str(),
                settings.data_hall.clone(),
                settings.warm_up_slack,
            ),
            rollouts: Rollouts::new(settings.session_timeout),
            crashes: CrashTracker::default(),
            read_times: PrefillTimes::default(),
            service_times: ServiceTimes::default(),
            peers: Peers::new(
                &settings,
                incarnation,
                metrics.clone(),
                clock.now(),
            ),
            metrics,
            in_flight: InFlightCount::default(),
            early_heartbeat: Wake::default(),
            incarnation,
            retries: Mutex::default(),
            store_ill_at: Mutex::new(None),
            is_stopping: AtomicBool::new(false),
            was_fresh: AtomicBool::new(false),
            settings,
            clock,
        })
    }

    /// Whether a planned stop is under way.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub(crate) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Whether it takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && !self.knowledge.is_empty()
            && self.may_accept_keys(self.clock.now())
    }

    /// Whether keys are accepted by what is known.
    ///
    /// Where the operators say that keys need not fail closed, the newest
    /// configuration known holds for as long as no newer one is heard of: a
    /// VM that lost the store serves on rather than refuses everybody. With
    /// the store away for eight seconds, 145 requests were refused in five of
    /// them without this, and none with it (one simulated day).
    pub(crate) fn may_accept_keys(&self, now: BootInstant) -> bool {
        !self.settings.fail_closed || self.is_fresh(now)
    }

    /// What this VM does to know what has changed in the store.
    pub(crate) fn watch_role(&self) -> WatchRole {
        if self.is_stopping() {
            return WatchRole::Watch;
        }
        let now = self.clock.now();
        let proof_age = self.knowledge.proof_age(now);
        self.peers.watch_role(
            proof_age,
            self.settings.key_revocation_limit,
            now,
        )
    }

    /// Whether what is known is recent enough to accept keys by.
    pub(crate) fn is_fresh(&self, now: BootInstant) -> bool {
        let limit = self.settings.key_revocation_limit.mul_f64(KEY_PROOF_PART);
        let age = self.knowledge.proof_age(now);
        age.is_some_and(|age| age <= limit)
    }

    /// Logs when knowledge becomes too old, or recent enough again.
    pub(crate) fn note_freshness(&self) {
        let now = self.clock.now();
        let is_fresh = self.is_fresh(now);
        if self.was_fresh.swap(is_fresh, Ordering::Relaxed) == is_fresh {
            return;
        }
        let age = self.knowledge.proof_age(now);
        let age_ms = age.map(|age| age.as_millis() as u64);
        let event = match is_fresh {
            true => Event::KnowledgeFresh,
            false => Event::KnowledgeStale,
        };
        event.record(fields(json!({
            "proof_age_ms": age_ms,
            "accepts_keys": self.may_accept_keys(now),
        })));
    }

    /// The retry budget of a service.
    fn retries(&self, service: &ServiceId) -> Arc<RetryWindow> {
        let now = self.clock.now();
        let bound = self.settings.retry_bound;
        let mut retries = self.retries.lock().expect("retries lock");
        let window = retries
            .entry(service.clone())
            .or_insert_with(|| Arc::new(RetryWindow::new(bound, now)));
        window.clone()
    }

    /// Counts a request for a service.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.retries(service).count_request(self.clock.now());
    }

    /// Whether a further attempt may be sent to a service.
    pub(crate) fn has_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.retries(service).allows_retry(self.peers.fleet_size(), now)
    }

    /// Takes a further attempt at a service, if one is left.
    pub(crate) fn try_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.retries(service).try_retry(self.peers.fleet_size(), now)
    }

    /// Notes that the store does not answer as it should.
    pub(crate) fn note_store_ill(&self) {
        let now = self.clock.now();
        *self.store_ill_at.lock().expect("store lock") = Some(now);
    }

    /// Whether the store has ever not answered as it should.
    pub(crate) fn has_store_failed(&self) -> bool {
        self.store_ill_at.lock().expect("store lock").is_some()
    }

    fn is_store_well(&self, now: BootInstant) -> bool {
        let ill_at = *self.store_ill_at.lock().expect("store lock");
        ill_at.is_none_or(|at| now.saturating_duration_since(at) >= STORE_WELL)
    }

    /// Takes in what the store says.
    pub(crate) fn apply_news(&self, news: AppliedItems) {
        self.note_unreadable(&news.unreadable);
        for fact in news.updates {
            self.take_fact(fact);
        }
    }

    /// Counts values that cannot be read, and logs them, of many at once the
    /// first few.
    fn note_unreadable(&self, unreadable: &[Unreadable]) {
        let count = u64::try_from(unreadable.len()).unwrap_or(u64::MAX);
        self.metrics.entries_unreadable.inc_by(count);
        let left_out = unreadable.len().saturating_sub(UNREADABLE_LOGGED);
        for (number, value) in
            unreadable.iter().take(UNREADABLE_LOGGED).enumerate()
        {
            let is_last = number + 1 == UNREADABLE_LOGGED;
            Event::EntryUnreadable.record(fields(json!({
                "key": value.key,
                "reason": value.reason,
                "left_out": if is_last { left_out } else { 0 },
            })));
        }
    }

    fn take_fact(&self, fact: StoreUpdate) {
        let now = self.clock.now();
        match fact {
            StoreUpdate::Configuration(table) => {
                let version = table.version();
                let routes = table.routes_len();
                let warm_ups = table.warm_ups();
                if self.knowledge.install(table) {
                    self.pool.set_warm_ups(warm_ups);
                    Event::ConfigurationInForce.record(fields(json!({
                        "table": version.0,
                        "routes": routes,
                    })));
                }
            }
            StoreUpdate::Upstream(entry) => {
                Event::UpstreamListed.record(fields(json!({
                    "upstream": entry.id,
                    "service": entry.service,
                    "software": entry.software,
                    "leaving": entry.state == UpstreamState::Leaving,
                    "cold_ms": entry.warm_up_left.as_millis() as u64,
                    "started": entry.started,
                    "begins": self.pool.set(entry.clone(), now),
                })));
            }
            // Whoever wrote it, it names nobody to send to. What was begun
            // there goes on to its end.
            StoreUpdate::UpstreamUnreadable(id) => {
                self.pool.remove(&id, true, now)
            }
            StoreUpdate::UpstreamGone(id) => {
                let is_sure = self.is_store_well(now);
                Event::UpstreamGone.record(fields(json!({
                    "upstream": id,
                    "sure": is_sure,
                })));
                self.pool.remove(&id, is_sure, now);
            }
            StoreUpdate::RolloutOrdered(service, order) => {
                let target = order.target.clone();
                let allowed_ms = order.time_allowed.as_millis() as u64;
                if self.rollouts.apply_order(service.clone(), order, now) {
                    Event::RolloutOrdered.record(fields(json!({
                        "service": service,
                        "target": target,
                        "allowed_ms": allowed_ms,
                    })));
                }
            }
            StoreUpdate::EvacuationOrdered(hall) => {
                if self.pool.evacuate(&hall) {
                    Event::EvacuationOrdered
                        .record(fields(json!({ "data_hall": hall })));
                }
            }
            StoreUpdate::EvacuationOrderRemoved(hall) => {
                if self.pool.end_evacuation(&hall, now) {
                    Event::EvacuationOver
                        .record(fields(json!({ "data_hall": hall })));
                }
            }
            StoreUpdate::RolloutOrderRemoved(service) => {
                self.rollouts.remove(&service)
            }
            StoreUpdate::RolloutStatus(service, status) => {
                self.rollouts.set_status(&service, &status);
                Event::RolloutRecorded.record(fields(json!({
                    "service": service,
                    "target": status.target,
                    "progress": status.progress.to_string(),
                })));
            }
            StoreUpdate::CrashingRequest(request, crashes) => {
                let told: Vec<RequestObservation> =
                    RequestObservation::of_crashes(request, crashes).collect();
                self.merge_sightings(&told, Source::Snapshot);
            }
            StoreUpdate::Peer(vm, record) => {
                self.pool.add_vm(&vm, &record.data_hall);
                self.peers.set_record(&vm, &record);
            }
            StoreUpdate::PeerGone(vm) => {
                self.pool.remove_vm(&vm);
                self.peers.remove_record(&vm);
            }
        }
    }

    /// Takes in what was seen elsewhere of requests and crashes.
    pub(crate) fn merge_sightings(
        &self,
        told: &[RequestObservation],
        source: Source,
    ) {
        let now = self.clock.now();
        let changes = self.crashes.merge_observations(told, source, now);
        self.note_crash_changes(&changes);
        if !changes.is_empty() {
            self.early_heartbeat.wake();
        }
    }

    /// Logs which requests are held back from now on, or no longer.
    pub(crate) fn note_crash_changes(&self, changes: &[QuarantineChange]) {
        for change in changes {
            match change {
                QuarantineChange::Added { request, ends } => {
                    self.metrics.requests_held.inc();
                    Event::RequestHeld.record(fields(json!({
                        "request": request.to_string(),
                        "upstreams_ended": ends,
                    })));
                }
                QuarantineChange::Released(request) => {
                    self.metrics.requests_held.dec();
                    Event::RequestReleased.record(fields(
                        json!({ "request": request.to_string() }),
                    ));
                }
            }
        }
    }

    /// Takes in how an attempt at an upstream ended.
    pub(crate) fn judge_upstream(
        &self,
        member: &Member,
        verdict: AttemptOutcome,
    ) {
        // It failed because it ended; the one in its place has not.
        if member.is_superseded() && verdict != AttemptOutcome::Success {
            return;
        }
        let now = self.clock.now();
        if verdict == AttemptOutcome::Unreachable {
            member.record_connect_failure(now);
        }
        if self.pool.record_outcome(member, verdict, now) {
            self.early_heartbeat.wake();
        }
        let change = member.health.record(verdict, now);
        let event = match change {
            None => return,
            Some(HealthChange::Unhealthy) => Event::UpstreamUnfit,
            Some(HealthChange::Healthy) => Event::UpstreamFit,
        };
        event.record(fields(json!({ "upstream": member.entry.id })));
    }

    /// This VM's requests at a service's upstreams of other versions.
    pub(crate) fn in_flight_at_other_versions(
        &self,
        service: &ServiceId,
        target: &VersionId,
    ) -> u32 {
        let members = self.pool.of_service(service);
        let old = members.iter().filter(|m| m.entry.software != *target);
        old.map(|member| member.upstream.in_flight()).sum()
    }
}

/// The fields of a JSON object.
pub(crate) fn fields(object: Value) -> Map<String, Value> {
    match object {
        Value::Object(fields) => fields,
        other => Map::from_iter([("value".to_owned(), other)]),
    }
}

#[cfg(test)]
mod limit_replay;
#[cfg(test)]
pub(crate) mod test_fleet;
#[cfg(test)]
pub(crate) mod tests;
#[cfg(test)]
mod wake_tests;

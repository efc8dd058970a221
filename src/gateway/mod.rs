//! The gateway: a VM that routes requests to the upstreams of the users'
//! platform, and the state that its tasks and listeners share.
//!
//! * [`settings`]: the settings of the VM.
//! * [`trace`]: writes the line of each request.
//! * [`caller_connection`]: what a connection has written, and why it ended.
//! * [`upstream_signals`]: applies what upstreams report about themselves.
//! * [`relays`]: counts the connections to upstreams for other VMs.
//! * [`vm_registration`]: keeps the VMs registered in the store.
//! * [`model_choice`]: collects what the choice of a model depends on.
//! * [`server`]: runs the VM from its start to a graceful shutdown.
//! * [`store_watch`]: follows the changes of the platform's store.
//! * [`rollout_status`]: records the status of rollouts in the store.
//! * [`evidence_store`]: keeps the evidence on rollouts in the store.
//! * [`slot_client`]: gets slots for requests from the VM that coordinates a
//!   service.
//! * [`slot_coordinator`]: grants the slots of the services that this VM
//!   coordinates.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::{Map, Value, json};
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    caller_memory::account::CallerMemory,
    chains::store::StoreVersion,
    clock::{BootInstant, SharedClock},
    crashes::{
        broadcast_queue::Source,
        observation::SubjectObservation,
        tracker::{CrashTracker, QuarantineChange},
    },
    dialer::DirectDialer,
    event::Event,
    frame::FrameCodec,
    http_client::HttpClient,
    id::{Incarnation, ServiceId, VersionId},
    intake::{
        connection_capacity::ConnectionCapacity, control::IntakeControl,
        overload::Resource,
    },
    message::ShortHash,
    metrics::Metrics,
    placing::{
        admission::ServiceTimes,
        cascade::{PrefillTimes, calibration::Calibration},
        health::{AttemptOutcome, HealthChange},
        member::{Member, UpstreamState},
        paths::{PathTarget, Paths, RelayVm},
        permit_lenders::PermitLenders,
        pool::Pool,
        retry_reason::RetryReason,
        retry_window::RetryWindow,
    },
    platform::{document, store::PlatformStore},
    rollouts::registry::Rollouts,
    scheduling::organisation_requests::OrganisationRequests,
    store_sync::{
        knowledge::{AppliedItems, Knowledge, StoreUpdate},
        learned_by::LearnedBy,
        peers::{Peers, WatchRole},
    },
    task::Wake,
    upstream_dialer::{UpstreamAccess, UpstreamDialer},
};

pub mod settings;

pub(crate) mod answer_loss;
pub(crate) mod caller_connection;
pub(crate) mod engine_memory;
pub(crate) mod forward;
pub(crate) mod ingress;
pub(crate) mod limit_log;
mod limit_permits;
pub(crate) mod model_choice;
pub(crate) mod relay_events;
pub(crate) mod relays;
pub mod request_head;
pub(crate) mod trace;
pub(crate) mod upstream_signals;

pub(crate) mod evidence_store;
pub(crate) mod rollout_status;
pub(crate) mod server;
pub(crate) mod slot_client;
pub(crate) mod slot_coordinator;
pub(crate) mod store_watch;
pub(crate) mod vm_registration;

use relays::Relays;
use settings::GatewaySettings;
use slot_client::SlotClient;
use slot_coordinator::SlotCoordinator;

/// Timeout for opening a connection to an upstream, which is at most a few
/// milliseconds away. Nothing was sent yet, so it is safe to try another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest age of the proof of freshness at which keys are accepted, as a
/// fraction of the time after which a revoked key must be rejected.
///
/// The age counts from before the store was asked, and a request counts from
/// its arrival, which is after it was sent, so the remainder only has to cover
/// clock drift. While the store is unavailable, each hundredth serves callers
/// for 50 ms longer if the limit is five seconds.
const KEY_FRESHNESS_FRACTION: f64 = 0.93;

/// Time that the store must have been healthy before the removal of a record
/// means that its upstream has left. A live upstream is back in the store
/// within two seconds.
const STORE_HEALTHY_TIME: Duration = Duration::from_millis(2500);

/// How long an upstream may still be used after its record vanished during a
/// store outage; the record of a live one returns within about two seconds.
const VANISHED_GRACE: Duration = Duration::from_millis(1500);

/// Largest number of unreadable values that are logged per batch.
const MAX_UNREADABLE_LOGGED: usize = 20;

/// The number of requests in flight at this VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCount(Arc<AtomicUsize>);

impl InFlightCount {
    /// Counts one more request until the guard is dropped.
    pub(crate) fn enter(&self) -> RequestGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        RequestGuard(self.0.clone())
    }

    /// Returns the number of requests in flight.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<AtomicUsize>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The state that the tasks and listeners of a gateway VM share.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: SharedClock,
    pub(crate) http: HttpClient,
    pub(crate) store: PlatformStore,
    pub(crate) knowledge: Knowledge,
    pub(crate) pool: Pool,
    pub(crate) paths: Paths,
    pub(crate) rollouts: Rollouts,
    pub(crate) crashes: CrashTracker,
    pub(crate) prefill_times: PrefillTimes,
    pub(crate) calibration: Calibration,
    pub(crate) service_times: ServiceTimes,
    pub(crate) peers: Peers,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) in_flight: InFlightCount,
    /// The open connections of callers.
    pub(crate) connections: InFlightCount,
    /// The open connections to upstreams for other VMs.
    pub(crate) relays: Relays,
    /// What callers make this VM hold.
    pub(crate) memory: Arc<CallerMemory>,
    pub(crate) intake: IntakeControl,
    /// The snapshots that are being fetched from other VMs.
    pub(crate) snapshot_fetches: InFlightCount,
    /// Wakes the heartbeat loop, so that the next heartbeat is sent early.
    pub(crate) early_heartbeat: Wake,
    pub(crate) incarnation: Incarnation,
    pub(crate) organisation_requests: Arc<OrganisationRequests>,
    pub(crate) slot_client: SlotClient,
    pub(crate) permit_lenders: PermitLenders,
    pub(crate) slot_coordinator: SlotCoordinator,
    started_at: BootInstant,
    retry_budgets: Mutex<HashMap<ServiceId, Arc<RetryWindow>>>,
    store_failed_at: Mutex<Option<BootInstant>>,
    is_stopping: AtomicBool,
    stop_ends_at: OnceLock<BootInstant>,
    /// Closed when requests that wait for an upstream are answered, in a
    /// graceful shutdown.
    answers_due: (Sender<Infallible>, Receiver<Infallible>),
    /// Closed when the connections of callers are cut off.
    cut: (Sender<Infallible>, Receiver<Infallible>),
    cut_requests: AtomicUsize,
    was_fresh: AtomicBool,
}

impl Gateway {
    /// Creates the state of a VM; starts no task.
    pub(crate) fn new(
        settings: GatewaySettings,
        clock: SharedClock,
    ) -> Arc<Gateway> {
        let incarnation = Incarnation(clock.unix_ms() * 1000);
        let metrics = Arc::new(Metrics::new());
        Arc::new_cyclic(|gateway| Gateway {
            http: HttpClient::with_dialer(
                Arc::new(UpstreamDialer {
                    vm: gateway.clone(),
                    direct: DirectDialer { timeout: CONNECT_TIMEOUT },
                }),
                clock.clone(),
            ),
            paths: Paths::default(),
            store: PlatformStore::new(settings.store, clock.clone()),
            knowledge: Knowledge::default(),
            pool: Pool::new(
                settings.vm.as_str(),
                settings.data_hall.clone(),
                settings.warm_up_slack,
            ),
            rollouts: Rollouts::new(
                settings.session_timeout,
                settings.exposure_limit,
            ),
            crashes: CrashTracker::new(ShortHash::of(settings.vm.as_str())),
            prefill_times: PrefillTimes::default(),
            calibration: Calibration::default(),
            service_times: ServiceTimes::default(),
            peers: Peers::new(
                &settings,
                incarnation,
                metrics.clone(),
                clock.now(),
            ),
            metrics,
            in_flight: InFlightCount::default(),
            connections: InFlightCount::default(),
            relays: Relays::default(),
            snapshot_fetches: InFlightCount::default(),
            memory: CallerMemory::new(settings.memory, clock.clone()),
            intake: IntakeControl::new(ConnectionCapacity::new(
                settings.memory,
                settings.max_open_files,
            )),
            early_heartbeat: Wake::default(),
            incarnation,
            organisation_requests: Arc::default(),
            slot_client: SlotClient::default(),
            permit_lenders: PermitLenders::default(),
            slot_coordinator: SlotCoordinator::default(),
            started_at: clock.now(),
            retry_budgets: Mutex::default(),
            store_failed_at: Mutex::new(None),
            is_stopping: AtomicBool::new(false),
            stop_ends_at: OnceLock::new(),
            answers_due: bounded(1),
            cut: bounded(1),
            cut_requests: AtomicUsize::new(0),
            was_fresh: AtomicBool::new(false),
            settings,
            clock,
        })
    }

    /// Whether a graceful shutdown is under way.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown, in which requests in flight have time until
    /// `ends_at`; this VM is no longer ready from now on.
    pub(crate) fn begin_stop(&self, ends_at: BootInstant) {
        self.stop_ends_at.get_or_init(|| ends_at);
        self.is_stopping.store(true, Ordering::Relaxed);
        self.slot_coordinator.stop();
    }

    /// Returns when the requests in flight are cut off, if a graceful shutdown
    /// is under way.
    pub(crate) fn stop_ends_at(&self) -> Option<BootInstant> {
        self.stop_ends_at.get().copied()
    }

    /// Has all requests answered that wait for an upstream.
    pub(crate) fn answer_waiting_requests(&self) {
        self.answers_due.1.close();
    }

    /// Whether requests are no longer sent to upstreams, since this VM stops.
    pub(crate) fn are_answers_due(&self) -> bool {
        self.answers_due.1.is_closed()
    }

    /// Waits until a request that waits for an upstream has to be answered
    /// since this VM stops.
    pub(crate) async fn answers_due(&self) {
        // Nothing is ever sent, so this returns once the channel is closed.
        let _ = self.answers_due.1.recv().await;
    }

    /// Cuts off the connections of callers.
    pub(crate) fn cut_connections(&self) {
        self.cut.1.close();
    }

    /// Waits until the connections of callers are cut off.
    pub(crate) async fn cut(&self) {
        // Nothing is ever sent, so this returns once the channel is closed.
        let _ = self.cut.1.recv().await;
    }

    /// Counts a request that is cut off; returns how many were before.
    pub(crate) fn count_cut_request(&self) -> usize {
        self.cut_requests.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns how many requests were cut off.
    pub(crate) fn cut_requests(&self) -> usize {
        self.cut_requests.load(Ordering::Relaxed)
    }

    /// Whether this VM accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && !self.knowledge.is_empty()
            && self.may_accept_keys(self.clock.now())
    }

    /// Whether the present configuration may be used to accept keys.
    ///
    /// With `fail_closed` off, the newest configuration holds until a newer
    /// one arrives: a VM that has lost the store goes on serving instead of
    /// rejecting every caller. In one simulated day with the store unavailable
    /// for eight seconds, 145 requests were rejected within five of them
    /// without this, and none with it.
    pub(crate) fn may_accept_keys(&self, now: BootInstant) -> bool {
        !self.settings.fail_closed || self.is_fresh(now)
    }

    /// Returns how this VM follows the changes of the store.
    pub(crate) fn watch_role(&self) -> WatchRole {
        if self.is_stopping() {
            return WatchRole::Watch;
        }
        let now = self.clock.now();
        let copy_age = self.knowledge.copy_age(now);
        let as_of = self.knowledge.as_of();
        let bound = self.settings.staleness_bound;
        self.peers.watch_role(as_of, copy_age, bound, now)
    }

    /// Whether the proof of freshness is recent enough to accept keys.
    pub(crate) fn is_fresh(&self, now: BootInstant) -> bool {
        let limit =
            self.settings.key_revocation_limit.mul_f64(KEY_FRESHNESS_FRACTION);
        let age = self.knowledge.proof_age(now);
        age.is_some_and(|age| age <= limit)
    }

    /// Logs when the proof of freshness becomes too old, or recent enough
    /// again.
    pub(crate) fn log_freshness(&self) {
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

    /// Returns the retry budget of a service.
    fn retry_budget(&self, service: &ServiceId) -> Arc<RetryWindow> {
        let since = self.started_at;
        let bound = self.settings.retry_bound;
        let mut budgets = self.retry_budgets.lock().expect("retries lock");
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Arc::new(RetryWindow::new(bound, since)));
        budget.clone()
    }

    /// Counts a request for a service, of which the retry budget is a share.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.retry_budget(service).count_request(self.clock.now());
    }

    /// Whether the retry budget of a service allows another attempt.
    pub(crate) fn can_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.retry_budget(service).allows_retry(self.peers.fleet_size(), now)
    }

    /// Takes an attempt from the retry budget of a service; returns whether
    /// one was left.
    pub(crate) fn try_retry(
        &self,
        service: &ServiceId,
        reason: RetryReason,
    ) -> bool {
        let now = self.clock.now();
        let budget = self.retry_budget(service);
        let vms = self.peers.fleet_size();
        if budget.try_retry(vms, now) {
            let counter = &self.metrics.retries;
            counter.with_label_values(&[reason.label()]).inc();
            return true;
        }
        self.metrics.retries_refused.inc();
        if let Some(usage) = budget.report_refusal(now) {
            Event::RetryBudgetSpent.record(fields(json!({
                "service": service,
                "reason": reason.label(),
                "retries": usage.retries,
                "requests": usage.requests,
                "vms": vms,
            })));
        }
        false
    }

    /// Records how long something has waited for a resource of this VM.
    pub(crate) fn record_own_delay(
        &self,
        resource: Resource,
        delay: Duration,
    ) {
        let delays = &self.metrics.own_delay_s;
        delays
            .with_label_values(&[resource.label()])
            .observe(delay.as_secs_f64());
        self.intake.record_delay(resource, delay, self.clock.now());
    }

    /// Records that a call to the store failed.
    pub(crate) fn record_store_failure(&self) {
        let now = self.clock.now();
        *self.store_failed_at.lock().expect("store lock") = Some(now);
    }

    /// Whether a call to the store has failed since the start.
    pub(crate) fn has_store_failed(&self) -> bool {
        self.store_failed_at.lock().expect("store lock").is_some()
    }

    fn is_store_healthy(&self, now: BootInstant) -> bool {
        let failed_at = *self.store_failed_at.lock().expect("store lock");
        failed_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= STORE_HEALTHY_TIME
        })
    }

    /// Returns how long an upstream is still used whose record has vanished.
    ///
    /// The record was there when this VM's copy was last proven current. If
    /// that is longer ago than changes may take to have effect, the store was
    /// away, and the record may only have lapsed.
    fn vanished_grace(&self, now: BootInstant) -> Duration {
        if self.is_store_healthy(now) {
            return Duration::ZERO;
        }
        let bound = self.settings.staleness_bound;
        let age = self.knowledge.copy_age(now);
        match age.and_then(|age| bound.use_left(age)) {
            Some(left) => left.min(VANISHED_GRACE),
            None => VANISHED_GRACE,
        }
    }

    /// Updates the state of this VM by items of the store.
    pub(crate) fn apply_items(&self, applied: AppliedItems, by: LearnedBy) {
        self.record_unreadable(&applied);
        if applied.begins_era {
            self.begin_store_era(applied.held);
        }
        if !applied.updates.is_empty()
            && let Some(age) = self.knowledge.copy_age(self.clock.now())
        {
            let ages = &self.metrics.change_age_s;
            let ages = ages.with_label_values(&[by.label()]);
            ages.observe(age.as_secs_f64());
        }
        for update in applied.updates {
            self.apply_update(update, by);
        }
    }

    /// Adds to the fields of a log line on a change in the store how this VM
    /// has learned of it, up to which version of the store its copy is
    /// complete, and within what time the change was made.
    fn change_fields(&self, by: LearnedBy, line: Value) -> Map<String, Value> {
        let age = self.knowledge.copy_age(self.clock.now());
        let mut line = fields(line);
        line.insert("learned_by".into(), by.label().into());
        let as_of = self.knowledge.as_of().version.0;
        line.insert("as_of".into(), as_of.into());
        let age_ms = age.map(|age| age.as_millis() as u64);
        line.insert("copy_age_ms".into(), age_ms.into());
        line
    }

    /// Applies the updates of an older copy of the store that are due.
    pub(crate) fn apply_due_updates(&self) {
        let applied = self.knowledge.take_due(self.clock.now());
        self.apply_items(applied, LearnedBy::Read);
    }

    /// Handles that the store has come back from an older copy: what this VM
    /// wrote since is to be written again.
    fn begin_store_era(&self, held: usize) {
        // Records that the copy lacks may return.
        self.record_store_failure();
        self.rollouts.forget_stored();
        let as_of = self.knowledge.as_of();
        Event::StoreEraBegan.record(fields(json!({
            "era": as_of.era,
            "as_of": as_of.version.0,
            "held": held,
        })));
    }

    /// Counts values that cannot be read, and logs the first few of them.
    fn record_unreadable(&self, applied: &AppliedItems) {
        let unreadable = &applied.unreadable;
        let count = unreadable.len() + applied.still_unreadable;
        self.metrics.entries_unreadable.inc_by(count as u64);
        let omitted = unreadable.len().saturating_sub(MAX_UNREADABLE_LOGGED);
        for (number, value) in
            unreadable.iter().take(MAX_UNREADABLE_LOGGED).enumerate()
        {
            let is_last = number + 1 == MAX_UNREADABLE_LOGGED;
            Event::EntryUnreadable.record(fields(json!({
                "key": value.key,
                "reason": value.reason,
                "left_out": if is_last { omitted } else { 0 },
            })));
        }
    }

    fn apply_update(&self, update: StoreUpdate, by: LearnedBy) {
        let now = self.clock.now();
        match update {
            StoreUpdate::Configuration(table) => {
                let version = table.version();
                let routes = table.routes_len();
                let warm_ups = table.warm_ups();
                if self.knowledge.install(table) {
                    self.pool.set_warm_ups(warm_ups);
                    Event::ConfigurationInForce.record(self.change_fields(
                        by,
                        json!({
                            "table": version.0,
                            "routes": routes,
                        }),
                    ));
                }
            }
            StoreUpdate::Upstream(entry) => {
                Event::UpstreamListed.record(self.change_fields(
                    by,
                    json!({
                        "upstream": entry.id,
                        "service": entry.service,
                        "software": entry.software,
                        "leaving": entry.state == UpstreamState::Leaving,
                        "cold_ms": entry.warm_up_left.as_millis() as u64,
                        "started": entry.started,
                        "begins": self.pool.set(entry.clone(), now),
                    }),
                ));
            }
            // An entry that cannot be read gives no address to send to,
            // whoever wrote it. Requests in flight run to their end.
            StoreUpdate::UpstreamUnreadable(id) => {
                self.pool.remove(&id, Duration::ZERO, now)
            }
            StoreUpdate::UpstreamGone(id) => {
                let grace = self.vanished_grace(now);
                Event::UpstreamGone.record(self.change_fields(
                    by,
                    json!({
                        "upstream": id,
                        "sure": grace.is_zero(),
                        "used_for_ms": grace.as_millis() as u64,
                    }),
                ));
                self.pool.remove(&id, grace, now);
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
                self.merge_stored_evidence(&service);
            }
            StoreUpdate::RolloutEvidence(service, hall, stored) => {
                // Heartbeats bring the evidence of other halls.
                if hall == self.settings.data_hall {
                    self.rollouts.set_stored_evidence(service.clone(), stored);
                    self.merge_stored_evidence(&service);
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
                self.rollouts.apply_status(&service, &status);
                Event::RolloutRecorded.record(fields(json!({
                    "service": service,
                    "target": status.target,
                    "progress": status.progress.to_string(),
                })));
            }
            StoreUpdate::Quarantined(subject, crashes) => {
                let observations: Vec<SubjectObservation> =
                    SubjectObservation::of_crashes(subject, crashes).collect();
                self.merge_observations(&observations, Source::Snapshot);
            }
            StoreUpdate::Peer(vm, record) => {
                self.pool.add_vm(&vm, &record.data_hall);
                self.peers.set_record(&vm, &record);
            }
            StoreUpdate::PeerUnrecorded(vm) => self.peers.remove_record(&vm),
            StoreUpdate::PeerGone(vm) => {
                self.pool.remove_vm(&vm);
                self.peers.remove_record(&vm);
            }
        }
    }

    /// Returns the store's version of the order to roll out a version of a
    /// service.
    pub(crate) fn order_version(
        &self,
        service: &ServiceId,
    ) -> Option<StoreVersion> {
        self.knowledge.version_of(&document::order_key(service))
    }

    /// Returns the hash that stands for this VM in records and messages.
    pub(crate) fn short_hash(&self) -> ShortHash {
        ShortHash::of(self.peers.vm())
    }

    fn merge_stored_evidence(&self, service: &ServiceId) {
        if let Some(version) = self.order_version(service) {
            let (own_vm, now) = (self.short_hash(), self.clock.now());
            let rollouts = &self.rollouts;
            rollouts.merge_stored_evidence(service, version, own_vm, now);
        }
    }

    /// Merges observations of subjects and crashes from elsewhere.
    pub(crate) fn merge_observations(
        &self,
        observations: &[SubjectObservation],
        source: Source,
    ) {
        let now = self.clock.now();
        let changes =
            self.crashes.merge_observations(observations, source, now);
        self.log_quarantine_changes(&changes);
        if !changes.is_empty() {
            self.early_heartbeat.wake();
        }
    }

    /// Logs which subjects are quarantined from now on, and which no longer.
    pub(crate) fn log_quarantine_changes(&self, changes: &[QuarantineChange]) {
        for change in changes {
            match change {
                QuarantineChange::Added { subject, crashes } => {
                    self.metrics.requests_held.inc();
                    Event::RequestHeld.record(fields(json!({
                        "request": subject.to_string(),
                        "kind": subject.kind().as_str(),
                        "upstreams_ended": crashes,
                    })));
                }
                QuarantineChange::Released(subject) => {
                    self.metrics.requests_held.dec();
                    Event::RequestReleased.record(fields(json!({
                        "request": subject.to_string(),
                        "kind": subject.kind().as_str(),
                    })));
                }
            }
        }
    }

    /// Records the outcome of an attempt at an upstream for its health.
    pub(crate) fn record_outcome(
        &self,
        member: &Member,
        outcome: AttemptOutcome,
    ) {
        // The failure belongs to an incarnation that has ended; the one that
        // replaced it is not at fault.
        if member.is_superseded() && outcome != AttemptOutcome::Success {
            return;
        }
        let now = self.clock.now();
        if !self.is_own_failure(member, outcome, now) {
            if outcome == AttemptOutcome::Unreachable {
                member.record_connect_failure(now);
            }
            if self.pool.record_outcome(member, outcome, now) {
                self.early_heartbeat.wake();
            }
        }
        let change = member.health.record(outcome, now);
        let event = match change {
            None => return,
            Some(HealthChange::Unhealthy) => Event::UpstreamUnfit,
            Some(HealthChange::Healthy) => Event::UpstreamFit,
        };
        event.record(fields(json!({ "upstream": member.entry.id })));
    }

    /// Whether an attempt failed because this VM is partitioned from
    /// upstreams, so that its outcome is no evidence for other VMs.
    pub(crate) fn is_own_failure(
        &self,
        member: &Member,
        outcome: AttemptOutcome,
        now: BootInstant,
    ) -> bool {
        let got_no_answer = matches!(
            outcome,
            AttemptOutcome::Lost | AttemptOutcome::Unreachable
        );
        let service = member.entry.service.as_str();
        got_no_answer && self.paths.is_partitioned(service, now)
    }

    /// Returns the number of this VM's requests in flight at the upstreams of
    /// a service that run another version than `target`.
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

fn path_target(member: &Member) -> PathTarget {
    PathTarget {
        upstream: member.upstream.short_hash,
        service: member.entry.service.to_string(),
    }
}

impl UpstreamAccess for Gateway {
    fn now(&self) -> BootInstant {
        self.clock.now()
    }

    fn paths(&self) -> &Paths {
        &self.paths
    }

    fn upstream_at(&self, address: SocketAddr) -> Option<PathTarget> {
        self.pool.member_at(address).map(|member| path_target(&member))
    }

    fn find_upstream(
        &self,
        upstream: ShortHash,
    ) -> Option<(PathTarget, SocketAddr)> {
        let member = self.pool.incarnation(upstream)?;
        Some((path_target(&member), member.entry.address))
    }

    fn relay_candidates(&self) -> Vec<RelayVm> {
        self.peers.relay_candidates(self.clock.now())
    }

    fn http(&self) -> &HttpClient {
        &self.http
    }

    fn codec(&self) -> &FrameCodec {
        &self.peers.codec
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn record_connect_time(&self, time: Duration) {
        self.record_own_delay(Resource::Network, time);
    }
}

/// Returns the fields of a JSON object; any other value becomes the field
/// `value`.
pub(crate) fn fields(object: Value) -> Map<String, Value> {
    match object {
        Value::Object(fields) => fields,
        other => Map::from_iter([("value".to_owned(), other)]),
    }
}

#[cfg(test)]
mod limit_replay;
#[cfg(test)]
mod organisation_share_tests;
#[cfg(test)]
mod shared_doubts_tests;
#[cfg(test)]
pub(crate) mod slot_test_site;
#[cfg(test)]
mod suspension_tests;
#[cfg(test)]
pub(crate) mod test_fleet;
#[cfg(test)]
pub(crate) mod tests;

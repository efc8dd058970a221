//! The state of one entry VM that its listeners and background tasks share.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use smol::channel::{Receiver, Sender};

use crate::{
    api::{
        caller_transport::CallerConnections,
        decision::{Decision, DecisionLog},
        gossip::Gossiper,
        membership::Liveness,
        organisation_limits::OrganisationLimits,
        queue::DispatchQueue,
        rollout_guard::RolloutGuard,
        selection::ModelLoad,
        session::SessionKeys,
        steward::Steward,
        tally::Tallies,
        view::FleetView,
    },
    caller_memory::account::CallerMemory,
    chains::{
        bill::Bill,
        claim::VmIncarnation,
        claims::{self, Claims},
        configuration::{Change, ConfigurationCell},
        configuration_sync::{RECENT_LIMIT, changes_after},
        ledger::Ledger,
        slot::CopyRequest,
        store::{HttpStore, SharedStore, StoreCounts},
    },
    clock::{BootInstant, SharedClock},
    crashes::tracker::CrashTracker,
    dialer::DirectDialer,
    event::Event,
    frame::FrameCodec,
    http_client::HttpClient,
    id::{Incarnation, ModelId, OrganisationId, RequestId, VmId},
    intake::connection_capacity::ConnectionCapacity,
    message::{PeerReply, PeerRequest, ShortHash},
    metrics::Metrics,
    peer::{PeerClient, PeerError, PeerService, RelayedUpstream},
    placing::{
        paths::{PathTarget, Paths, RelayVm},
        upstream::{Serves, Upstream, UpstreamSnapshot},
    },
    retry::RetryBudget,
    settings::Settings,
    upstream_dialer::{UpstreamAccess, UpstreamDialer, connect_for_peer},
};

/// Counts activities that a graceful shutdown waits for.
#[derive(Debug, Default)]
pub(crate) struct ActivityCounter(AtomicUsize);

impl ActivityCounter {
    pub(crate) fn begin(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// The shared state of one entry VM.
pub struct Vm {
    pub(crate) settings: Settings,
    pub(crate) clock: SharedClock,
    pub(crate) configuration: ConfigurationCell,
    pub(crate) recent_changes: Mutex<VecDeque<Change>>,
    /// VMs that have a newer configuration, to fetch its changes from.
    pub(crate) configuration_sources: (Sender<VmId>, Receiver<VmId>),
    pub(crate) view: FleetView,
    pub(crate) tallies: Mutex<Tallies>,
    pub(crate) limits: OrganisationLimits,
    pub(crate) crashes: CrashTracker,
    pub(crate) dispatch_queue: Arc<DispatchQueue>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) rollout_guard: RolloutGuard,
    pub(crate) decisions: DecisionLog,
    pub(crate) sessions: SessionKeys,
    pub(crate) http: HttpClient,
    /// The connections of callers, and what they make this VM hold.
    pub(crate) caller_connections: Arc<CallerConnections>,
    pub(crate) paths: Paths,
    pub(crate) store: SharedStore,
    pub(crate) store_counts: Arc<StoreCounts>,
    pub(crate) codec: FrameCodec,
    pub(crate) peer_client: PeerClient,
    pub(crate) peer_address: SocketAddr,
    pub(crate) gossiper: Gossiper,
    pub(crate) claims: Claims,
    pub(crate) ledger: Ledger,
    pub(crate) steward: Steward,
    pub(crate) metrics: Arc<Metrics>,
    /// Claim outcomes that are not yet recorded.
    pub(crate) pending_outcomes: ActivityCounter,
    in_flight: ActivityCounter,
    incarnation: Incarnation,
    next_sequence: AtomicU64,
    next_heartbeat: AtomicU32,
    is_configured: AtomicBool,
    is_stopping: AtomicBool,
}

/// The parts of a [`Vm`] that exist before it: settings and bound sockets.
pub(crate) struct VmParts {
    pub(crate) settings: Settings,
    pub(crate) clock: SharedClock,
    pub(crate) gossiper: Gossiper,
    pub(crate) peer_address: SocketAddr,
}

impl Vm {
    /// Creates the state of a VM without starting any task.
    ///
    /// The incarnation is the wall-clock time in microseconds, so that it
    /// grows with each restart unless the clock is set back.
    pub(crate) fn new(parts: VmParts) -> Arc<Vm> {
        let VmParts { settings, clock, gossiper, peer_address } = parts;
        let now = clock.now();
        let started_at = clock.system_time();
        let since_epoch = started_at.duration_since(std::time::UNIX_EPOCH);
        let incarnation =
            Incarnation(since_epoch.unwrap_or_default().as_micros() as u64);
        let identity = VmIncarnation { vm: settings.vm.clone(), incarnation };
        let hall = settings.data_hall.clone();
        let metrics = Arc::new(Metrics::new());
        let codec = FrameCodec::new(&settings.cluster_key);
        let store = HttpStore::new(
            &settings.platform.store_url,
            settings.store.clone(),
            clock.clone(),
        );
        let requests = settings.requests.clone();
        Arc::new_cyclic(|vm: &Weak<Vm>| Vm {
            configuration: ConfigurationCell::new(),
            recent_changes: Mutex::default(),
            configuration_sources: smol::channel::bounded(1),
            view: FleetView::new(
                settings.vm.clone(),
                hall.clone(),
                &settings.peers,
            ),
            tallies: Mutex::new(Tallies::new(ShortHash::of(hall.as_str()))),
            limits: OrganisationLimits::new(now),
            crashes: CrashTracker::new(ShortHash::of(settings.vm.as_str())),
            dispatch_queue: DispatchQueue::new(
                clock.clone(),
                requests.queue_limit,
                requests.batch_share,
            ),
            retry_budget: RetryBudget::new(requests.retry_share),
            rollout_guard: RolloutGuard::default(),
            decisions: DecisionLog::new(settings.decisions_kept),
            sessions: SessionKeys::new(&settings.cluster_key),
            http: HttpClient::with_dialer(
                Arc::new(UpstreamDialer {
                    vm: vm.clone(),
                    direct: DirectDialer { timeout: requests.connect_timeout },
                }),
                clock.clone(),
            ),
            caller_connections: Arc::new(CallerConnections::new(
                CallerMemory::new(settings.memory, clock.clone()),
                ConnectionCapacity::new(
                    settings.memory,
                    settings.max_open_files,
                ),
            )),
            paths: Paths::default(),
            store_counts: store.counts(),
            store: Arc::new(store),
            peer_client: PeerClient::new(codec.clone(), metrics.clone()),
            codec,
            peer_address,
            gossiper,
            claims: Claims::default(),
            ledger: Ledger::new(),
            steward: Steward::new(identity, hall.as_str(), &settings.steward),
            metrics,
            pending_outcomes: ActivityCounter::default(),
            in_flight: ActivityCounter::default(),
            incarnation,
            next_sequence: AtomicU64::new(1),
            next_heartbeat: AtomicU32::new(1),
            is_configured: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            settings,
            clock,
        })
    }

    /// Returns this VM's name and incarnation.
    pub(crate) fn identity(&self) -> VmIncarnation {
        VmIncarnation {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns whether the VM accepts requests: it has a configuration, has
    /// read the platform's list of upstreams and peers, and is not stopping.
    ///
    /// The peers are needed as well, since they keep copies of its bills.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_configured.load(Ordering::Relaxed)
            && self.view.list_read_at().is_some()
            && !self.is_stopping()
    }

    /// Returns whether a graceful shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Records that the VM has a configuration that it may use.
    pub(crate) fn mark_ready(&self) {
        if !self.is_configured.swap(true, Ordering::Relaxed) {
            let revision = self.configuration.current().revision();
            Event::Ready.log(format_args!("revision {revision}"));
        }
    }

    /// Marks the VM as stopping; from now on it is not ready.
    pub(crate) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns a new request id.
    pub(crate) fn next_request_id(&self) -> RequestId {
        RequestId {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the next value of this VM's heartbeat counter.
    pub(crate) fn next_heartbeat(&self) -> u32 {
        self.next_heartbeat.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Vm>) -> InFlightRequest {
        self.in_flight.begin();
        InFlightRequest(self.clone())
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.count()
    }

    /// Returns whether the last proof that the configuration is current is no
    /// older than `stale_after`.
    pub(crate) fn is_configuration_fresh(&self) -> bool {
        let age = self.configuration.proof_age(self.clock.now());
        age.is_some_and(|age| age <= self.settings.stale_after)
    }

    /// Requests a fetch of newer configuration changes from another VM.
    pub(crate) fn request_configuration_fetch(&self, from: VmId) {
        // If a fetch is already pending this one is dropped; gossip will
        // trigger another.
        let _ = self.configuration_sources.0.try_send(from);
    }

    /// Keeps the latest changes without gaps, to send them to other VMs.
    pub(crate) fn remember_changes(&self, changes: &[Change]) {
        let mut recent = self.recent_changes.lock().expect("changes lock");
        for change in changes {
            let newest = recent.back().map(|change| change.revision);
            if newest.is_some_and(|newest| change.revision <= newest) {
                continue;
            }
            if newest.is_some_and(|n| change.revision != n.next()) {
                recent.clear();
            }
            recent.push_back(change.clone());
        }
        while recent.len() > RECENT_LIMIT {
            recent.pop_front();
        }
    }

    /// Returns what upstream selection needs to know about each replica of a
    /// model.
    pub(crate) fn upstream_snapshots(
        &self,
        model: &ModelId,
        now: BootInstant,
    ) -> Vec<UpstreamSnapshot> {
        let upstreams = self.view.model_upstreams(model);
        upstreams.iter().map(|one| self.view.snapshot(one, now)).collect()
    }

    /// Admits queued requests of every model whose upstreams have capacity.
    pub(crate) fn wake_queue(&self) {
        let now = self.clock.now();
        let configuration = self.configuration.current();
        let weight = |organisation: &OrganisationId| {
            let template = configuration.template(organisation);
            template.map_or(1, |part| part.value.weight)
        };
        let load = |model: &ModelId| {
            ModelLoad::of(&self.upstream_snapshots(model, now))
        };
        self.dispatch_queue.wake(load, weight);
    }

    /// Sends a request to another VM, by name, and awaits its reply.
    pub(crate) async fn call_peer(
        &self,
        vm: &VmId,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let Some(peer) = self.view.peer(vm) else {
            return Err(PeerError::NotSent(format!("{vm} is not listed")));
        };
        self.peer_client.call(peer.address, request, limit).await
    }

    /// Finds a decision here or, by a request to it, at the VM that made it.
    pub(crate) async fn find_decision(
        &self,
        id: &RequestId,
    ) -> Option<Decision> {
        const CALL_TIMEOUT: Duration = Duration::from_secs(1);
        if let Some(decision) = self.decisions.get(id) {
            return Some(decision);
        }
        if id.vm == self.settings.vm {
            return None;
        }
        let request = PeerRequest::Decision(id.clone());
        match self.call_peer(&id.vm, request, CALL_TIMEOUT).await {
            Ok(PeerReply::Decision(found)) => found.map(|found| *found),
            _ => None,
        }
    }

    /// Finds a bill here or in the latest hours of the ledger.
    pub(crate) async fn find_bill(&self, id: &RequestId) -> Option<Bill> {
        if let Some(bill) = self.ledger.find(id) {
            return Some(bill);
        }
        crate::chains::ledger::find_committed(self, id).await.ok().flatten()
    }

    /// Updates the gauges; called before the metrics are rendered.
    pub(crate) fn update_gauges(&self) {
        let now = self.clock.now();
        let metrics = &self.metrics;
        let millis_or_unknown = |age: Option<Duration>| {
            age.map_or(-1, |age| age.as_millis() as i64)
        };
        let revision = self.configuration.current().revision();
        metrics.configuration_revision.set(revision.0 as i64);
        let proof_age = self.configuration.proof_age(now);
        metrics.configuration_age_ms.set(millis_or_unknown(proof_age));
        let read_at = self.view.list_read_at();
        let list_age = read_at.map(|at| now.saturating_duration_since(at));
        metrics.list_age_ms.set(millis_or_unknown(list_age));
        metrics.in_flight.set(self.in_flight() as i64);
        self.caller_connections.memory.update_metrics(metrics);
        metrics.queued.set(self.dispatch_queue.waiting() as i64);
        metrics.bills_waiting.set(self.ledger.uncommitted_count() as i64);
        let stopped = self.rollout_guard.stopped().len();
        metrics.versions_stopped.set(stopped as i64);
        self.update_peer_gauges();
        self.update_store_gauges();
    }

    fn update_peer_gauges(&self) {
        let all = [
            Liveness::Alive,
            Liveness::Suspected,
            Liveness::Dead,
            Liveness::Leaving,
        ];
        for liveness in all {
            let count = self.view.count(liveness) as i64;
            let labels = &[liveness.as_str()];
            self.metrics.peers.with_label_values(labels).set(count);
        }
        let reports = self.claims.reports();
        let count_owned = |offline: bool| {
            let slots = reports.iter().map(|(_, slot)| slot);
            let owned = slots.filter(|slot| slot.is_owner);
            owned.filter(|slot| slot.is_offline == offline).count() as i64
        };
        let slots = &self.metrics.claim_slots;
        slots.with_label_values(&["online"]).set(count_owned(false));
        slots.with_label_values(&["offline"]).set(count_owned(true));
    }

    fn update_store_gauges(&self) {
        let counts = &self.store_counts;
        let kinds = [
            ("writes", &counts.writes),
            ("reads", &counts.reads),
            ("failures", &counts.failures),
            ("limited", &counts.limited),
        ];
        for (kind, count) in kinds {
            let value = count.load(Ordering::Relaxed) as i64;
            let gauge = self.metrics.store_calls.with_label_values(&[kind]);
            gauge.set(value);
        }
    }
}

impl PeerService for Vm {
    async fn answer(self: Arc<Vm>, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Changes { after } => changes_after(&self, after),
            PeerRequest::Claim(request) => {
                let verdict = self.claims.claim_here(&self, request).await;
                PeerReply::Verdict(verdict)
            }
            PeerRequest::Settle { claim, outcome } => {
                let claims = &self.claims;
                match claims.settle_here(&self, claim, outcome).await {
                    true => PeerReply::Done,
                    false => refusal("this VM does not own the slot"),
                }
            }
            PeerRequest::ReplicateClaims {
                slot,
                index,
                owner,
                incarnation,
                first,
                claims,
            } => {
                let owner = VmIncarnation { vm: owner, incarnation };
                let first = first as usize;
                let request =
                    CopyRequest { slot, index, owner, first, claims };
                match self.claims.store_copies(&self, request).await {
                    true => PeerReply::Done,
                    false => refusal("this VM must not hold these claims"),
                }
            }
            PeerRequest::Bills(bills) => {
                self.ledger.receive_bills(bills, self.clock.now())
            }
            PeerRequest::Decision(id) => {
                PeerReply::Decision(self.decisions.get(&id).map(Box::new))
            }
            PeerRequest::Knowledge
            | PeerRequest::PullKnowledge { .. }
            | PeerRequest::KnowledgeDelta { .. } => {
                refusal("this VM does not watch a platform store")
            }
            PeerRequest::AcquireSlot { .. }
            | PeerRequest::ReleaseSlot { .. }
            | PeerRequest::CancelSlot { .. } => {
                refusal("this VM does not coordinate slots")
            }
            PeerRequest::BorrowPermit { .. } => {
                refusal("this VM lends no permits")
            }
            PeerRequest::ConnectUpstream { .. } => {
                refusal("not the first request of a connection")
            }
        }
    }

    async fn connect_upstream(
        self: Arc<Vm>,
        upstream: ShortHash,
    ) -> Result<RelayedUpstream, String> {
        let memory = &self.caller_connections.memory;
        let memory = memory.claim_connection().ok_or_else(|| {
            "this VM has no memory for another connection".to_owned()
        })?;
        let stream = connect_for_peer(&*self, upstream).await?;
        let guard = Box::new((memory, self.begin_request()));
        Ok(RelayedUpstream { stream, _guard: guard })
    }
}

fn path_target(upstream: &Upstream) -> PathTarget {
    let service = match &upstream.record.serves {
        Serves::Model(model) => model.to_string(),
        Serves::Service(service) => service.to_string(),
    };
    PathTarget { upstream: upstream.short_hash, service }
}

impl UpstreamAccess for Vm {
    fn now(&self) -> BootInstant {
        self.clock.now()
    }

    fn paths(&self) -> &Paths {
        &self.paths
    }

    fn upstream_at(&self, address: SocketAddr) -> Option<PathTarget> {
        self.view.upstream_at(address).map(|upstream| path_target(&upstream))
    }

    fn find_upstream(
        &self,
        upstream: ShortHash,
    ) -> Option<(PathTarget, SocketAddr)> {
        let upstream = self.view.upstream_by_hash(upstream)?;
        Some((path_target(&upstream), upstream.record.address))
    }

    fn relay_candidates(&self) -> Vec<RelayVm> {
        self.view.relay_candidates()
    }

    fn http(&self) -> &HttpClient {
        &self.http
    }

    fn codec(&self) -> &FrameCodec {
        &self.codec
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The own interface has a queue, which bounds what a VM takes on.
    fn record_connect_time(&self, _: Duration) {}
}

fn refusal(reason: &str) -> PeerReply {
    PeerReply::Rejected(reason.to_owned())
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightRequest(Arc<Vm>);

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.in_flight.end();
        if self.0.dispatch_queue.waiting() > 0 {
            self.0.wake_queue();
        }
    }
}

/// Returns the state of a claim slot as shown in `/status`.
pub(crate) fn slot_state(report: &claims::SlotReport) -> &'static str {
    match (report.is_owner, report.is_offline) {
        (true, true) => "owned, offline",
        (true, false) => "owned",
        (false, _) => "known",
    }
}

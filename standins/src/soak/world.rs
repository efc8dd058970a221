//! The site of a soak run: its start, its timed actions, and its end.

use std::{
    collections::HashMap,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::Value;

use super::{
    Outcome, Soak,
    callers::{Callers, VmEndpoint},
    check::{RETRY_EXTRA, RETRY_SHARE, REVOKE_TIME, check},
    crashing,
    evidence::{Change, Evidence, Kind, Scope},
    faults::{Fault, Target},
    late_follower::LateFollower,
    load::{self, CoordinationChange, Load},
    older_copies::OlderCopies,
    preferences::Preferences,
    quiet_leaves::{self, QuietLeaves},
    rate_limits::{self, RateLimitPeriod, Schedule},
    signals,
    unruly::{self, UnrulyCallers},
    upstreams::{Runs, SERVICES, UNREADABLE, Worker},
};
use crate::{
    gateway_site::{KEY, MODELS, PLAIN, Site, wait_until},
    proxy::{Mode, Proxy},
};

/// Data halls of the site; the VMs are spread over them in turn.
const DATA_HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Time between two passes of the main loop.
const TICK: Duration = Duration::from_millis(20);

/// Time between two passes above which the soak's own machine counts as in
/// trouble.
const MAX_TICK: Duration = Duration::from_millis(400);

/// Live VMs for each slot above which slots are coordinated. With one slot for
/// each plain upstream, there are more VMs than slots.
const VMS_PER_SLOT: u32 = 1;

/// Shortest and longest time between two faults, in milliseconds.
const BETWEEN_FAULTS_MS: std::ops::Range<u64> = 100..900;

/// Time that the site gets to recover after all faults have ended.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Calls that are then made at each VM.
const RECOVERY_CALLS: usize = 10;

/// Time between two readiness checks by the platform's load balancer.
const READINESS_PERIOD: Duration = Duration::from_millis(150);

/// Time from when the record of an upstream says that it is leaving until the
/// record is removed.
pub(super) const LEAVE_TIME: Duration = Duration::from_secs(3);

/// Time until an upstream that a crashing request has crashed starts again.
const RESTART_AFTER: Duration = Duration::from_millis(1500);

/// An active fault; `trouble` is its index in the evidence.
pub(super) struct Active {
    pub(super) fault: Fault,
    pub(super) target: Target,
    pub(super) ends_at: Duration,
    pub(super) trouble: Option<usize>,
}

/// An action that is scheduled for a later time.
pub(super) enum Action {
    /// Starts a VM unless it runs.
    StartVm(usize),
    /// Removes this key from the store.
    RemoveRecord(String),
    /// Starts a crashed upstream again.
    StartUpstream(String),
    /// Records that an upstream is leaving which signals it already.
    RecordLeaving(String),
    /// Ends the rate limit of an upstream.
    EndRateLimit(String),
    /// Has the operator and the upstreams write again what the store has lost.
    WriteAgain,
    /// Ends the preference of the load balancer for a VM.
    EndPreference,
    /// Lets a frozen VM run again.
    Resume(usize),
    /// Writes the record of an upstream unless it was removed.
    Write { key: String, record: Value },
    /// Orders the rollout of a version.
    OrderRollout { software: String, is_bad: bool },
    /// Removes the rollout order of this version unless a later order replaced
    /// it.
    RemoveRolloutOrder(String),
}

/// The site, the callers and upstreams around it, and the evidence.
pub(super) struct World {
    pub(super) rng: ChaCha8Rng,
    pub(super) started_at: Instant,
    /// The same by the time of day, as logs state it.
    started_wall: SystemTime,
    pub(super) site: Site,
    /// Proxies between each VM and the store.
    pub(super) store_proxies: Vec<Proxy>,
    /// Proxies between the callers and each VM.
    pub(super) entry_proxies: Vec<Proxy>,
    /// Upstreams that are not leaving; faults refer to them by index.
    pub(super) workers: Vec<Worker>,
    /// Upstreams that are leaving; they still serve requests.
    pub(super) leaving: Vec<Worker>,
    /// An upstream for which only malformed records are written.
    pub(super) unreadable: Worker,
    pub(super) runs: Runs,
    pub(super) callers: Arc<Callers>,
    pub(super) threads: Vec<thread::JoinHandle<()>>,
    /// Threads that send crashing requests.
    pub(super) crashing_threads: Vec<thread::JoinHandle<()>>,
    pub(super) active: Vec<Active>,
    pub(super) scheduled: Vec<(Duration, Action)>,
    /// VMs in a graceful shutdown, with the index of the trouble.
    pub(super) stopping: HashMap<usize, usize>,
    pub(super) evidence: Evidence,
    pub(super) faults: Vec<(Duration, Fault)>,
    limits: Schedule,
    pub(super) late_follower: LateFollower,
    pub(super) older_copies: OlderCopies,
    pub(super) quiet_leaves: QuietLeaves,
    pub(super) preferences: Preferences,
    pub(super) unruly_callers: UnrulyCallers,
    pub(super) load: Load,
    pub(super) next_worker: usize,
    /// The version of the configuration in the store.
    pub(super) configuration_version: u64,
    /// The number of routes added so far.
    pub(super) added_routes: u64,
    /// Valid API keys besides the one that is never removed.
    pub(super) keys: Vec<String>,
    pub(super) next_key: u64,
    /// The number of the version that the model upstreams run outside of a
    /// rollout.
    pub(super) current_version: u64,
    /// The version of the rollout in progress.
    pub(super) rollout_version: Option<String>,
}

impl World {
    pub(super) fn start(plan: &Soak, seed: u64, program: PathBuf) -> World {
        let started_at = Instant::now();
        let started_wall = SystemTime::now();
        let revoke_ms = REVOKE_TIME.as_millis() as u64;
        let mut site = Site::new(program, &["vm"], revoke_ms);
        site.retry_share = RETRY_SHARE;
        site.retry_extra = RETRY_EXTRA;
        site.vms_per_slot = VMS_PER_SLOT;
        if unruly::has_crowds(seed) {
            site.memory_mb = unruly::MEMORY_MB;
            site.max_open_files = unruly::MAX_OPEN_FILES;
        }
        let mut store_proxies = Vec::new();
        let mut entry_proxies = Vec::new();
        let mut endpoints = Vec::new();
        for number in 0..plan.vms {
            let store = site.store.second_endpoint();
            let store_proxy = Proxy::tcp(store.address).expect("a port");
            let hall = DATA_HALLS[number % DATA_HALLS.len()];
            let at = site.add_vm(hall, store, store_proxy.address);
            let entry_proxy =
                Proxy::tcp(site.vms[at].callers).expect("a port");
            endpoints.push(VmEndpoint {
                address: entry_proxy.address,
                is_ready: false.into(),
                incarnation: 0.into(),
            });
            store_proxies.push(store_proxy);
            entry_proxies.push(entry_proxy);
        }
        let load = Load::draw(seed);
        let callers = Callers::new(endpoints, load, started_at);
        let runs = Runs::default();
        let unreadable = Worker::unrecorded(
            UNREADABLE, PLAIN, "v1", started_at, &runs, None,
        );
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at,
            started_wall,
            site,
            store_proxies,
            entry_proxies,
            workers: Vec::new(),
            leaving: Vec::new(),
            unreadable,
            runs,
            callers,
            threads: Vec::new(),
            crashing_threads: Vec::new(),
            active: Vec::new(),
            scheduled: Vec::new(),
            stopping: HashMap::new(),
            evidence: Evidence::default(),
            faults: Vec::new(),
            limits: Schedule::new(seed),
            late_follower: LateFollower::new(seed),
            older_copies: OlderCopies::new(seed),
            quiet_leaves: QuietLeaves::new(seed),
            preferences: Preferences::new(seed),
            unruly_callers: UnrulyCallers::new(seed),
            load,
            next_worker: 1,
            configuration_version: 1,
            added_routes: 0,
            keys: Vec::new(),
            next_key: 1,
            current_version: 1,
            rollout_version: None,
        };
        if load.slots.is_some() {
            world.put_configuration();
        }
        for (service, count) in SERVICES {
            for _ in 0..count {
                world.add_worker(service, "v1");
            }
        }
        for vm in 0..plan.vms {
            world.start_vm(vm);
        }
        wait_until("all VMs are ready", || {
            world.site.vms.iter().all(|vm| vm.is_ready())
        });
        world.check_readiness();
        world.threads = world.callers.run(plan.callers, seed);
        world.crashing_threads = crashing::run(&world.callers, seed);
        world
    }

    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub(super) fn add_worker(
        &mut self,
        service: &'static str,
        software: &str,
    ) {
        let id = format!("i-{}", self.next_worker);
        let limits = self.load.limits(service, self.next_worker);
        self.next_worker += 1;
        let (runs, store) = (&self.runs, &self.site.store);
        let worker = Worker::start(
            &id,
            service,
            software,
            self.started_at,
            runs,
            store,
            limits,
        );
        self.workers.push(worker);
    }

    pub(super) fn start_vm(&mut self, vm: usize) {
        self.callers.endpoints[vm].incarnation.fetch_add(1, Ordering::Relaxed);
        self.site.vms[vm].start();
    }

    /// Injects faults for this long, then ends them all and lets the site
    /// recover.
    pub(super) fn soak(&mut self, length: Duration) {
        let begun = self.now();
        let mut next_fault = begun;
        let mut next_check = begun;
        let mut last = begun;
        while self.now() < begun + length {
            thread::sleep(TICK);
            let now = self.now();
            if now - last > MAX_TICK {
                self.record_trouble(last, now, Scope::Everyone, "late tick");
            }
            last = now;
            self.run_due(now);
            if now >= next_check {
                next_check = now + READINESS_PERIOD;
                self.check_readiness();
            }
            if now >= next_fault {
                let pause_ms = self.rng.random_range(BETWEEN_FAULTS_MS);
                next_fault = now + Duration::from_millis(pause_ms);
                self.inject(now);
            }
            self.start_rate_limits(now);
            self.run_late_follower(now);
            self.run_older_copies(now);
            self.run_quiet_leaves(now);
            self.run_preferences(now);
            self.run_unruly_callers(now);
        }
        self.end_all_faults();
    }

    /// Lets upstreams state a rate limit if one is due.
    fn start_rate_limits(&mut self, now: Duration) {
        let Some(drawn) = self.limits.next(self.workers.len(), now) else {
            return;
        };
        let chosen = &self.workers[drawn.upstream];
        let (id, service) = (chosen.upstream.id.clone(), chosen.service);
        let limited = self.workers.iter().filter(|worker| {
            worker.upstream.id == id
                || drawn.is_whole_service && worker.service == service
        });
        for worker in limited {
            worker.set_rate_limit(Some(drawn.per_s));
            let upstream = worker.upstream.id.clone();
            let end = Action::EndRateLimit(upstream.clone());
            self.scheduled.push((drawn.ends_at, end));
            self.evidence.rate_limits.push(RateLimitPeriod {
                upstream,
                per_s: drawn.per_s,
                from: now,
                to: Duration::MAX,
            });
        }
    }

    /// Ends the rate limit of an upstream.
    fn end_rate_limit(&mut self, id: &str) {
        let now = self.now();
        let workers = self.workers.iter().chain(&self.leaving);
        for worker in workers.filter(|worker| worker.upstream.id == id) {
            worker.set_rate_limit(None);
        }
        let limits = self.evidence.rate_limits.iter_mut();
        for limit in limits.filter(|limit| limit.upstream == id) {
            limit.to = limit.to.min(now);
        }
    }

    /// Ends faults and runs scheduled actions whose time has come, then reacts
    /// to crashes, shutdowns and the rollout.
    fn run_due(&mut self, now: Duration) {
        let (over, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|active| active.ends_at <= now);
        self.active = active;
        for fault in over {
            self.end(&fault);
        }
        let (due, scheduled) = std::mem::take(&mut self.scheduled)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.scheduled = scheduled;
        for (_, what) in due {
            self.run_action(what);
        }
        self.crash_hit_upstreams(now);
        self.restart_stopped_vms(now);
        self.follow_rollout(now);
    }

    fn run_action(&mut self, what: Action) {
        match what {
            Action::StartVm(vm) if !self.site.vms[vm].is_started() => {
                self.start_vm(vm);
            }
            Action::StartVm(_) => {}
            Action::RemoveRecord(key) => self.site.store.remove(&key),
            Action::RecordLeaving(id) => {
                let is_it = |worker: &Worker| worker.upstream.id == id;
                if let Some(at) = self.leaving.iter().position(is_it) {
                    let leaving = self.leaving.remove(at);
                    self.start_leaving(leaving, self.now());
                }
            }
            Action::EndRateLimit(id) => self.end_rate_limit(&id),
            Action::WriteAgain => self.site.store.write_again(),
            Action::EndPreference => self.end_preference(),
            Action::Resume(vm) => self.site.vms[vm].signal(Signal::CONT),
            Action::Write { key, record } => {
                if self.site.store.get(&key).is_some() {
                    self.site.store.put(&key, &record);
                }
            }
            Action::OrderRollout { software, is_bad } => {
                self.order_rollout(software, is_bad);
            }
            Action::RemoveRolloutOrder(software) => {
                let key = format!("op/rollout/{MODELS}");
                let order = self.site.store.get(&key).unwrap_or_default();
                if order["target_version"] == software.as_str() {
                    self.site.store.remove(&key);
                }
            }
            Action::StartUpstream(id) => {
                let found = self.workers.iter().find(|w| w.upstream.id == id);
                if let Some(worker) = found {
                    worker.restart(&self.site.store);
                }
            }
        }
    }

    /// Crashes the upstreams that received a crashing request and schedules
    /// their restart.
    fn crash_hit_upstreams(&mut self, now: Duration) {
        for worker in self.workers.iter().chain(&self.leaving) {
            if worker.take_crash() {
                worker.crash();
                let id = worker.upstream.id.clone();
                let restart_at = now + RESTART_AFTER;
                self.scheduled.push((restart_at, Action::StartUpstream(id)));
            }
        }
    }

    /// Schedules the restart of VMs that have ended a graceful shutdown.
    fn restart_stopped_vms(&mut self, now: Duration) {
        let stopping: Vec<usize> = self.stopping.keys().copied().collect();
        for vm in stopping {
            if self.site.vms[vm].has_ended() {
                self.site.vms[vm].kill();
                if let Some(trouble) = self.stopping.remove(&vm) {
                    self.evidence.troubles[trouble].to = now;
                }
                let at = now + Duration::from_millis(300);
                self.scheduled.push((at, Action::StartVm(vm)));
            }
        }
    }

    /// Once the rollout is completed or reverted, lets the upstreams of the
    /// other versions leave and schedules the removal of the order.
    fn follow_rollout(&mut self, now: Duration) {
        let Some(software) = self.rollout_version.clone() else { return };
        let status = self.site.store.get(&format!("status/rollout/{MODELS}"));
        let status = status.unwrap_or_default();
        if status["target_version"] != software.as_str() {
            return;
        }
        let ordered = software.clone();
        let keeps = match status["state"].as_str() {
            Some("completed") => software,
            Some("reverted") => {
                let change = Change::Reverted(software);
                self.evidence.changes.push((now, change));
                format!("v{}", self.current_version)
            }
            _ => return,
        };
        self.rollout_version = None;
        let number = keeps.trim_start_matches('v').parse();
        self.current_version = number.unwrap_or(self.current_version);
        let (kept, over) = std::mem::take(&mut self.workers)
            .into_iter()
            .partition(|w| w.service != MODELS || w.software == keeps);
        self.workers = kept;
        for worker in over {
            self.start_leaving(worker, now);
        }
        let at = now + Duration::from_secs(1);
        self.scheduled.push((at, Action::RemoveRolloutOrder(ordered)));
        self.active.retain(|a| a.target != Target::Operator);
    }

    /// Lets an upstream leave: it signals and records that it is leaving, and
    /// its record is removed after [`LEAVE_TIME`].
    pub(super) fn start_leaving(&mut self, worker: Worker, now: Duration) {
        worker.signal_leaving();
        worker.record(&self.site.store, "draining");
        let id = worker.upstream.id.clone();
        self.evidence.changes.push((self.now(), Change::Leaving(id)));
        let key = worker.key();
        self.scheduled.push((now + LEAVE_TIME, Action::RemoveRecord(key)));
        self.leaving.push(worker);
    }

    /// Checks the readiness of every VM, as the platform's load balancer does.
    fn check_readiness(&self) {
        for (vm, endpoint) in self.site.vms.iter().zip(&self.callers.endpoints)
        {
            // The short limit keeps a frozen VM from blocking the soak.
            let is_ready = vm.is_started() && vm.is_ready_within(TICK * 10);
            endpoint.is_ready.store(is_ready, Ordering::Relaxed);
        }
    }

    /// Ends every fault and rate limit, then waits while scheduled actions
    /// restart what is down.
    fn end_all_faults(&mut self) {
        let active = std::mem::take(&mut self.active);
        for fault in &active {
            self.end(fault);
        }
        self.end_preference();
        self.end_crowd();
        for worker in self.workers.iter().chain(&self.leaving) {
            worker.set_mode(Mode::Pass);
        }
        let limits = self.evidence.rate_limits.iter();
        let ids: Vec<String> =
            limits.map(|limit| limit.upstream.clone()).collect();
        for id in ids {
            self.end_rate_limit(&id);
        }
        let until = self.now() + RECOVERY_TIME;
        while self.now() < until {
            thread::sleep(READINESS_PERIOD);
            let now = self.now();
            self.run_due(now);
            self.check_readiness();
        }
    }

    /// Makes the recovery calls, stops the callers and runs all checks.
    pub(super) fn finish(&mut self, seed: u64) -> Outcome {
        let load_ended_at = self.now();
        // Where load exceeds the slots, some recovery calls would be rejected.
        if self.load.slots.is_some() {
            self.stop_callers();
        }
        for vm in 0..self.site.vms.len() {
            for call in 0..RECOVERY_CALLS {
                let kinds = [Kind::Read, Kind::Once, Kind::Write];
                let kind = kinds[call % kinds.len()];
                let kept = &mut HashMap::new();
                let status = self.callers.call(vm, kind, KEY, None, kept);
                self.evidence.recovery.0 += 1;
                self.evidence.recovery.1 += usize::from(status == 200);
            }
        }
        self.stop_callers();
        self.evidence.calls = self.callers.calls.lock().unwrap().clone();
        let received = std::mem::take(&mut *self.runs.lock().unwrap());
        self.evidence.runs = received.runs;
        self.evidence.declined = received.declined;
        self.evidence.signals = received.signals;
        self.evidence.rate_limit_signals = received.rate_limit_signals;
        self.evidence.overfills = received.overfills;
        self.evidence.has_overload = self.load.has_overload;
        self.evidence.coordinated = load::coordinated_periods(
            self.coordination_changes(),
            self.site.vms.len(),
            load_ended_at,
        );
        let (crashing_requests, most_ended_by_one) =
            crashing::summary(&self.evidence);
        let calls = &self.evidence.calls;
        let served = calls.iter().filter(|c| c.status == 200 && c.is_whole);
        Outcome {
            seed,
            faults: self.faults.len(),
            calls: calls.len(),
            served: served.count(),
            crashing_requests,
            most_ended_by_one,
            limits_named: self.evidence.rate_limits.len(),
            sent_past_limit: rate_limits::sent_past_limit(&self.evidence),
            older_copies: self
                .faults
                .iter()
                .filter(|(_, fault)| *fault == Fault::OlderCopy)
                .count(),
            latest_to_learn: quiet_leaves::latest_to_learn(&self.evidence),
            preferences: self.evidence.preferences.len(),
            most_held: self.evidence.most_held,
            load: self.load,
            rejected: calls
                .iter()
                .filter(|call| matches!(call.status, 429 | 503))
                .count(),
            coordinated: self
                .evidence
                .coordinated
                .iter()
                .map(|(from, to)| *to - *from)
                .sum(),
            overfilled: self
                .evidence
                .overfills
                .iter()
                .filter(|o| self.evidence.is_coordinated(o.at))
                .count(),
            served_in_bursts: load::served_in_bursts(&self.evidence),
            ignored_signals: signals::summary(&self.evidence),
            violations: check(&self.evidence),
        }
    }

    fn stop_callers(&mut self) {
        self.callers.stop();
        for thread in
            self.threads.drain(..).chain(self.crashing_threads.drain(..))
        {
            // A panicking thread has printed its message already.
            let _ = thread.join();
        }
    }

    /// Returns the changes of coordination that the VMs logged for the plain
    /// service. Nothing is coordinated at a VM that starts.
    fn coordination_changes(&self) -> Vec<CoordinationChange> {
        let started = self.started_wall.duration_since(UNIX_EPOCH);
        let started = started.unwrap_or_default();
        let mut changes = Vec::new();
        for (vm, site_vm) in self.site.vms.iter().enumerate() {
            for name in ["Starting", "SlotsCoordinated", "SlotsUncoordinated"]
            {
                let lines = site_vm.lines(name).into_iter();
                let lines = lines.filter(|line| {
                    name == "Starting" || line["service"] == PLAIN
                });
                changes.extend(lines.map(|line| {
                    let at_ms = line["at_ms"].as_u64().unwrap_or(0);
                    let at = Duration::from_millis(at_ms);
                    let is_coordinated = name == "SlotsCoordinated";
                    (at.saturating_sub(started), vm, is_coordinated)
                }));
            }
        }
        changes
    }

    /// Writes the faults, the evidence and the logs of the VMs to `folder`, to
    /// trace violations.
    pub(super) fn keep_logs(
        &self,
        folder: &std::path::Path,
        outcome: &Outcome,
    ) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let lines = |items: Vec<String>| items.join("\n") + "\n";
        let evidence = &self.evidence;
        let faults = self.faults.iter().map(|fault| format!("{fault:?}"));
        std::fs::write(folder.join("faults"), lines(faults.collect()))?;
        let violations = outcome.violations.iter().map(|v| v.to_string());
        std::fs::write(
            folder.join("violations"),
            lines(violations.collect()),
        )?;
        let calls = evidence.calls.iter().map(|call| format!("{call:?}"));
        std::fs::write(folder.join("calls"), lines(calls.collect()))?;
        let runs = evidence.runs.iter().map(|run| format!("{run:?}"));
        std::fs::write(folder.join("runs"), lines(runs.collect()))?;
        let said = evidence.signals.iter().map(|s| format!("{s:?}"));
        std::fs::write(folder.join("said"), lines(said.collect()))?;
        let limits =
            evidence.rate_limits.iter().map(|limit| format!("{limit:?}"));
        std::fs::write(folder.join("limits"), lines(limits.collect()))?;
        let slots = format!(
            "coordinated {:?}\noverfilled {:#?}\n",
            evidence.coordinated, evidence.overfills
        );
        std::fs::write(folder.join("slots"), slots)?;
        let changes = evidence.changes.iter().map(|c| format!("{c:?}"));
        std::fs::write(folder.join("changes"), lines(changes.collect()))?;
        let troubles = evidence.troubles.iter().map(|t| format!("{t:?}"));
        std::fs::write(folder.join("troubles"), lines(troubles.collect()))?;
        for vm in &self.site.vms {
            std::fs::copy(vm.log_path(), folder.join(&vm.name))?;
        }
        Ok(())
    }
}

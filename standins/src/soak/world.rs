//! The site of a soak: its start, what is due in it, and how it ends.

use std::{
    collections::HashMap,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Outcome, Soak,
    callers::{Callers, Door},
    check::{RETRY_EXTRA, RETRY_SHARE, REVOKE_TIME, check},
    deadly,
    evidence::{Change, Evidence, Kind, Scope},
    faults::{Fault, Target},
    own_words,
    rate_limits::{self, RateLimitPeriod, Schedule},
    upstreams::{Runs, SERVICES, UNREADABLE, Worker},
};
use crate::{
    gateway_site::{KEY, MODELS, PLAIN, Site, wait_until},
    proxy::{Mode, Proxy},
};

/// Data halls of a soak's site.
const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Lateness of a look from which the machine itself counts as the trouble.
const LATE_TICK: Duration = Duration::from_millis(400);

/// Shortest and longest time between two faults, in milliseconds.
const BETWEEN_FAULTS_MS: std::ops::Range<u64> = 100..900;

/// Time after the last fault for everything to come back.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Calls that are made at each VM afterwards.
const RECOVERY_CALLS: usize = 10;

/// Time between two questions of the balancer.
const BALANCER_PERIOD: Duration = Duration::from_millis(150);

/// Time that an upstream which leaves goes on after its record says so, and
/// that its record stays.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// Time until an upstream is back that a deadly request has ended.
const BACK_AFTER: Duration = Duration::from_millis(1500);

/// A fault that is under way.
pub(super) struct Active {
    pub(super) fault: Fault,
    pub(super) target: Target,
    pub(super) ends_at: Duration,
    pub(super) trouble: Option<usize>,
}

/// Something that is to be done at a later time.
pub(super) enum Later {
    StartVm(usize),
    RemoveRecord(String),
    StartUpstream(String),
    RecordLeaving(String),
    /// Ends the rate limit of an upstream.
    EndLimit(String),
    /// Removes the order of this version, unless another was given since.
    EndRollOut(String),
}

/// The site, its surroundings and what was seen.
pub(super) struct World {
    pub(super) rng: ChaCha8Rng,
    pub(super) started_at: Instant,
    pub(super) site: Site,
    pub(super) store_ways: Vec<Proxy>,
    pub(super) callers_ways: Vec<Proxy>,
    pub(super) workers: Vec<Worker>,
    /// Upstreams that have left, which go on for a while.
    pub(super) left: Vec<Worker>,
    /// An upstream of which only entries that cannot be read are written.
    pub(super) unreadable: Worker,
    pub(super) runs: Runs,
    pub(super) callers: Arc<Callers>,
    pub(super) threads: Vec<thread::JoinHandle<()>>,
    /// Those that send deadly requests.
    pub(super) deadly: Vec<thread::JoinHandle<()>>,
    pub(super) active: Vec<Active>,
    pub(super) later: Vec<(Duration, Later)>,
    /// Planned stops under way, with their troubles.
    pub(super) stopping: HashMap<usize, usize>,
    pub(super) evidence: Evidence,
    pub(super) faults: Vec<(Duration, Fault)>,
    limits: Schedule,
    pub(super) next_worker: usize,
    pub(super) table: u64,
    pub(super) routes: u64,
    /// Keys that are in force besides the one that stays.
    pub(super) keys: Vec<String>,
    pub(super) next_key: u64,
    /// The version that upstreams of the models run.
    pub(super) software: u64,
    pub(super) rolling_out: Option<String>,
}

impl World {
    pub(super) fn start(plan: &Soak, seed: u64, program: PathBuf) -> World {
        let started_at = Instant::now();
        let revoke_ms = REVOKE_TIME.as_millis() as u64;
        let mut site = Site::new(program, &["vm"], revoke_ms);
        site.retry_share = RETRY_SHARE;
        site.retry_extra = RETRY_EXTRA;
        let mut store_ways = Vec::new();
        let mut callers_ways = Vec::new();
        let mut doors = Vec::new();
        for number in 0..plan.vms {
            let door = site.store.another_door();
            let store_way = Proxy::tcp(door.address).expect("a port");
            let hall = HALLS[number % HALLS.len()];
            let at = site.add_vm(hall, door, store_way.address);
            let way = Proxy::tcp(site.vms[at].callers).expect("a port");
            doors.push(Door {
                address: way.address,
                is_open: false.into(),
                life: 0.into(),
            });
            store_ways.push(store_way);
            callers_ways.push(way);
        }
        let callers = Callers::new(doors, started_at);
        let runs = Runs::default();
        let unreadable =
            Worker::unrecorded(UNREADABLE, PLAIN, "v1", started_at, &runs);
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at,
            site,
            store_ways,
            callers_ways,
            workers: Vec::new(),
            left: Vec::new(),
            unreadable,
            runs,
            callers,
            threads: Vec::new(),
            deadly: Vec::new(),
            active: Vec::new(),
            later: Vec::new(),
            stopping: HashMap::new(),
            evidence: Evidence::default(),
            faults: Vec::new(),
            limits: Schedule::new(seed),
            next_worker: 1,
            table: 1,
            routes: 0,
            keys: Vec::new(),
            next_key: 1,
            software: 1,
            rolling_out: None,
        };
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
        world.balance();
        world.threads = world.callers.run(plan.callers, seed);
        world.deadly = deadly::run(&world.callers, seed);
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
        self.next_worker += 1;
        let (runs, store) = (&self.runs, &self.site.store);
        let worker = Worker::start(
            &id,
            service,
            software,
            self.started_at,
            runs,
            store,
        );
        self.workers.push(worker);
    }

    pub(super) fn start_vm(&mut self, vm: usize) {
        self.callers.doors[vm].life.fetch_add(1, Ordering::Relaxed);
        self.site.vms[vm].start();
    }

    /// Injects faults for a while, then heals everything.
    pub(super) fn soak(&mut self, length: Duration) {
        let begun = self.now();
        let mut next_fault = begun;
        let mut next_balance = begun;
        let mut last = begun;
        while self.now() < begun + length {
            thread::sleep(TICK);
            let now = self.now();
            if now - last > LATE_TICK {
                self.note_trouble(last, now, Scope::Everyone, "late tick");
            }
            last = now;
            self.look(now);
            if now >= next_balance {
                next_balance = now + BALANCER_PERIOD;
                self.balance();
            }
            if now >= next_fault {
                let pause_ms = self.rng.random_range(BETWEEN_FAULTS_MS);
                next_fault = now + Duration::from_millis(pause_ms);
                self.inject(now);
            }
            self.begin_limits(now);
        }
        self.heal();
    }

    /// Has upstreams name rate limits where that is due.
    fn begin_limits(&mut self, now: Duration) {
        let Some(begun) = self.limits.next(self.workers.len(), now) else {
            return;
        };
        let drawn = &self.workers[begun.upstream];
        let (id, service) = (drawn.upstream.id.clone(), drawn.service);
        let limited = self.workers.iter().filter(|worker| {
            worker.upstream.id == id
                || begun.is_whole_service && worker.service == service
        });
        for worker in limited {
            worker.name_limit(Some(begun.per_s));
            let upstream = worker.upstream.id.clone();
            let end = Later::EndLimit(upstream.clone());
            self.later.push((begun.ends_at, end));
            self.evidence.rate_limits.push(RateLimitPeriod {
                upstream,
                per_s: begun.per_s,
                from: now,
                to: Duration::MAX,
            });
        }
    }

    /// Has an upstream name no rate limit any more.
    fn end_limit(&mut self, id: &str) {
        let now = self.now();
        let workers = self.workers.iter().chain(&self.left);
        for worker in workers.filter(|worker| worker.upstream.id == id) {
            worker.name_limit(None);
        }
        let limits = self.evidence.rate_limits.iter_mut();
        for limit in limits.filter(|limit| limit.upstream == id) {
            limit.to = limit.to.min(now);
        }
    }

    /// Does what is due.
    fn look(&mut self, now: Duration) {
        let (over, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|active| active.ends_at <= now);
        self.active = active;
        for fault in over {
            self.end(&fault);
        }
        let (due, later) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.later = later;
        for (_, what) in due {
            self.carry_out(what);
        }
        self.look_at_crashes(now);
        self.look_at_processes(now);
        self.look_at_roll_out(now);
    }

    fn carry_out(&mut self, what: Later) {
        match what {
            Later::StartVm(vm) if !self.site.vms[vm].is_started() => {
                self.start_vm(vm);
            }
            Later::StartVm(_) => {}
            Later::RemoveRecord(key) => self.site.store.remove(&key),
            Later::RecordLeaving(id) => {
                let is_it = |worker: &Worker| worker.upstream.id == id;
                if let Some(at) = self.left.iter().position(is_it) {
                    let leaving = self.left.remove(at);
                    self.let_go(leaving, self.now());
                }
            }
            Later::EndLimit(id) => self.end_limit(&id),
            Later::EndRollOut(software) => {
                let key = format!("op/rollout/{MODELS}");
                let order = self.site.store.get(&key).unwrap_or_default();
                if order["target_version"] == software.as_str() {
                    self.site.store.remove(&key);
                }
            }
            Later::StartUpstream(id) => {
                let found = self.workers.iter().find(|w| w.upstream.id == id);
                if let Some(worker) = found {
                    worker.start_again(&self.site.store);
                }
            }
        }
    }

    /// Ends the upstreams that run a deadly request; they are back after some
    /// time.
    fn look_at_crashes(&mut self, now: Duration) {
        for worker in self.workers.iter().chain(&self.left) {
            if worker.takes_deadly() {
                worker.crash();
                let id = worker.upstream.id.clone();
                let back_at = now + BACK_AFTER;
                self.later.push((back_at, Later::StartUpstream(id)));
            }
        }
    }

    /// Starts the VMs again that have ended after a planned stop.
    fn look_at_processes(&mut self, now: Duration) {
        let stopping: Vec<usize> = self.stopping.keys().copied().collect();
        for vm in stopping {
            if self.site.vms[vm].has_ended() {
                self.site.vms[vm].kill();
                if let Some(trouble) = self.stopping.remove(&vm) {
                    self.evidence.troubles[trouble].to = now;
                }
                let at = now + Duration::from_millis(300);
                self.later.push((at, Later::StartVm(vm)));
            }
        }
    }

    fn look_at_roll_out(&mut self, now: Duration) {
        let Some(software) = self.rolling_out.clone() else { return };
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
                format!("v{}", self.software)
            }
            _ => return,
        };
        self.rolling_out = None;
        let number = keeps.trim_start_matches('v').parse();
        self.software = number.unwrap_or(self.software);
        let (kept, over) = std::mem::take(&mut self.workers)
            .into_iter()
            .partition(|w| w.service != MODELS || w.software == keeps);
        self.workers = kept;
        for worker in over {
            self.let_go(worker, now);
        }
        let at = now + Duration::from_secs(1);
        self.later.push((at, Later::EndRollOut(ordered)));
        self.active.retain(|a| a.target != Target::Operator);
    }

    /// Lets an upstream leave: its record says so, and goes later.
    pub(super) fn let_go(&mut self, worker: Worker, now: Duration) {
        worker.say_leaving();
        worker.record(&self.site.store, "draining");
        let id = worker.upstream.id.clone();
        self.evidence.changes.push((self.now(), Change::Leaving(id)));
        let key = worker.key();
        self.later.push((now + LEAVE_TIME, Later::RemoveRecord(key)));
        self.left.push(worker);
    }

    /// Asks every VM whether it is ready, as the platform's balancer does.
    fn balance(&self) {
        for (vm, door) in self.site.vms.iter().zip(&self.callers.doors) {
            // A frozen VM would hold the soak up; connecting is enough then.
            let is_ready = vm.is_started() && vm.is_ready_within(TICK * 10);
            door.is_open.store(is_ready, Ordering::Relaxed);
        }
    }

    /// Ends every fault and starts every VM that is down.
    fn heal(&mut self) {
        let active = std::mem::take(&mut self.active);
        for fault in &active {
            self.end(fault);
        }
        for worker in self.workers.iter().chain(&self.left) {
            worker.set_way(Mode::Pass);
        }
        let limits = self.evidence.rate_limits.iter();
        let ids: Vec<String> =
            limits.map(|limit| limit.upstream.clone()).collect();
        for id in ids {
            self.end_limit(&id);
        }
        let until = self.now() + RECOVERY_TIME;
        while self.now() < until {
            thread::sleep(BALANCER_PERIOD);
            let now = self.now();
            self.look(now);
            self.balance();
        }
    }

    /// Looks how the site has recovered, ends it and checks everything.
    pub(super) fn finish(&mut self, seed: u64) -> Outcome {
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
        self.callers.stop();
        for thread in self.threads.drain(..).chain(self.deadly.drain(..)) {
            // A caller that panicked has printed why.
            let _ = thread.join();
        }
        self.evidence.calls = self.callers.calls.lock().unwrap().clone();
        let received = std::mem::take(&mut *self.runs.lock().unwrap());
        self.evidence.runs = received.runs;
        self.evidence.declined = received.declined;
        self.evidence.signals = received.signals;
        self.evidence.rate_limit_signals = received.rate_limit_signals;
        let (crashing_requests, most_ended_by_one) =
            deadly::summary(&self.evidence);
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
            ignored_signals: own_words::summary(&self.evidence),
            violations: check(&self.evidence),
        }
    }

    /// Keeps what is needed to trace a violation.
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
        let said = evidence.signals.iter().map(|said| format!("{said:?}"));
        std::fs::write(folder.join("said"), lines(said.collect()))?;
        let limits =
            evidence.rate_limits.iter().map(|limit| format!("{limit:?}"));
        std::fs::write(folder.join("limits"), lines(limits.collect()))?;
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

//! A soak: real processes of the router before the platform, under faults
//! that are injected from outside, in series and overlapping.
//!
//! * [`faults`]: what goes wrong, drawn from a seed.
//! * [`upstreams`], [`callers`], [`client`]: who stands around the VMs.
//! * [`evidence`]: what was seen.
//! * [`check`]: whether that keeps every promise.
//!
//! The same seed draws the same faults at the same times; real processes do
//! not repeat exactly, so a seed that failed is kept and run again, and the
//! logs of the run that failed are kept too.

use std::{
    collections::HashMap,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{Value, json};

pub mod callers;
pub mod check;
pub mod client;
pub mod evidence;
pub mod faults;
pub mod upstreams;

use callers::{Callers, Door};
use check::{REVOKE_TIME, Violation, check};
use evidence::{Change, Evidence, Kind, Scope, Trouble};
use faults::{Fault, Target};
use upstreams::{Behaviour, Runs, SERVICES, Worker};

use crate::{
    gateway_site::{
        KEY, MODELS, PLAIN, Site, configuration_with, route, wait_until,
    },
    platform_store::Mood,
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

/// Time that a roll-out is allowed, in seconds.
const ROLL_OUT_S: u64 = 6;

/// Soak the router before the platform; the last line is JSON, and the exit
/// code is 0 only when no promise was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// first seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how many seeds, one after the other
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// seconds of faults for each seed
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// entry VMs
    #[argh(option, default = "6")]
    pub vms: usize,
    /// callers
    #[argh(option, default = "24")]
    pub callers: u64,
    /// folder for the logs of runs that failed
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    pub logs: PathBuf,
}

impl Soak {
    /// Runs every seed; returns whether all promises were kept.
    ///
    /// # Errors
    ///
    /// When the program cannot be found or logs not be kept.
    pub fn run(&self) -> Result<bool, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut is_kept = true;
        for seed in self.seed..self.seed + self.seeds {
            let outcome = self.run_seed(seed, program.clone())?;
            is_kept &= outcome.violations.is_empty();
            println!("{}", outcome.to_json());
        }
        Ok(is_kept)
    }

    /// Runs one seed with this program as the VMs.
    ///
    /// # Errors
    ///
    /// When logs cannot be kept.
    pub fn run_seed(
        &self,
        seed: u64,
        program: PathBuf,
    ) -> Result<Outcome, String> {
        let mut world = World::start(self, seed, program);
        world.soak(Duration::from_secs(self.seconds));
        let outcome = world.finish(seed);
        if !outcome.violations.is_empty() {
            let folder = self.logs.join(format!("seed-{seed}"));
            let kept = world.keep_logs(&folder, &outcome);
            kept.map_err(|error| format!("{}: {error}", folder.display()))?;
        }
        Ok(outcome)
    }
}

/// How the run of one seed ended.
#[derive(Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: usize,
    /// Calls that were made.
    pub calls: usize,
    /// Calls that were answered whole with a 2xx.
    pub served: usize,
    /// What was violated.
    pub violations: Vec<Violation>,
}

impl Outcome {
    fn to_json(&self) -> Value {
        let violations = self.violations.iter().map(Violation::to_string);
        json!({
            "seed": self.seed,
            "faults": self.faults,
            "requests": self.calls,
            "served": self.served,
            "violations": violations.collect::<Vec<_>>(),
        })
    }
}

/// A fault that is under way.
struct Active {
    fault: Fault,
    target: Target,
    ends_at: Duration,
    trouble: Option<usize>,
}

/// Something that is to be done at a later time.
enum Later {
    StartVm(usize),
    RemoveRecord(String),
    EndRollOut(String),
}

/// The site, its surroundings and what was seen.
struct World {
    rng: ChaCha8Rng,
    started_at: Instant,
    site: Site,
    store_ways: Vec<Proxy>,
    callers_ways: Vec<Proxy>,
    workers: Vec<Worker>,
    /// Upstreams that have left, which go on for a while.
    left: Vec<Worker>,
    runs: Runs,
    callers: Arc<Callers>,
    threads: Vec<thread::JoinHandle<()>>,
    active: Vec<Active>,
    later: Vec<(Duration, Later)>,
    /// Planned stops under way, with their troubles.
    stopping: HashMap<usize, usize>,
    evidence: Evidence,
    faults: Vec<(Duration, Fault)>,
    next_worker: usize,
    table: u64,
    routes: u64,
    /// Keys that are in force besides the one that stays.
    keys: Vec<String>,
    next_key: u64,
    /// The version that upstreams of the models run.
    software: u64,
    rolling_out: Option<String>,
}

impl World {
    fn start(plan: &Soak, seed: u64, program: PathBuf) -> World {
        let started_at = Instant::now();
        let revoke_ms = REVOKE_TIME.as_millis() as u64;
        let mut site = Site::new(program, &["vm"], revoke_ms);
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
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at,
            site,
            store_ways,
            callers_ways,
            workers: Vec::new(),
            left: Vec::new(),
            runs: Runs::default(),
            callers,
            threads: Vec::new(),
            active: Vec::new(),
            later: Vec::new(),
            stopping: HashMap::new(),
            evidence: Evidence::default(),
            faults: Vec::new(),
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
        world
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn add_worker(&mut self, service: &'static str, software: &str) {
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

    fn start_vm(&mut self, vm: usize) {
        self.callers.doors[vm].life.fetch_add(1, Ordering::Relaxed);
        self.site.vms[vm].start();
    }

    /// Injects faults for a while, then heals everything.
    fn soak(&mut self, length: Duration) {
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
        }
        self.heal();
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
            Later::EndRollOut(key) => self.site.store.remove(&key),
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
        let key = format!("op/rollout/{MODELS}");
        let at = now + Duration::from_secs(1);
        self.later.push((at, Later::EndRollOut(key)));
        self.active.retain(|a| a.target != Target::Operator);
    }

    /// Lets an upstream leave: its record says so, and goes later.
    fn let_go(&mut self, worker: Worker, now: Duration) {
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

    fn inject(&mut self, now: Duration) {
        let vms = self.site.vms.len();
        let upstreams = self.workers.len();
        let (fault, lasts) = Fault::draw(&mut self.rng, vms, upstreams);
        let target = fault.target();
        if self.active.iter().any(|active| Some(active.target) == target) {
            return;
        }
        self.faults.push((now, fault));
        let trouble = self.begin(fault, now, lasts);
        if let Some(target) = target {
            let ends_at = now + lasts;
            self.active.push(Active { fault, target, ends_at, trouble });
        }
    }

    fn note_trouble(
        &mut self,
        from: Duration,
        to: Duration,
        scope: Scope,
        what: &str,
    ) -> usize {
        let what = what.to_owned();
        self.evidence.troubles.push(Trouble { from, to, scope, what });
        self.evidence.troubles.len() - 1
    }

    /// Begins a fault; returns its trouble, whose end may be set later.
    fn begin(
        &mut self,
        fault: Fault,
        now: Duration,
        lasts: Duration,
    ) -> Option<usize> {
        let scope = match fault {
            Fault::PauseVm(vm)
            | Fault::KillVm(vm)
            | Fault::CallersWay(vm, _)
            | Fault::StoreWay(vm, _)
            | Fault::StoreRefuses(vm) => Scope::Vm(vm),
            Fault::StopVm(vm) => Scope::PlannedStop(vm),
            Fault::KillAll | Fault::Store(_) => Scope::Everyone,
            Fault::UpstreamWay(..) | Fault::Upstream(..) => Scope::Upstreams,
            _ => {
                self.change(fault, now);
                return None;
            }
        };
        let what = format!("{fault:?}");
        let trouble = self.note_trouble(now, now + lasts, scope, &what);
        match fault {
            Fault::PauseVm(vm) => self.site.vms[vm].signal(Signal::STOP),
            Fault::KillVm(vm) => self.kill(vm, now + lasts),
            Fault::KillAll => {
                for vm in 0..self.site.vms.len() {
                    self.kill(vm, now + lasts / 4);
                }
            }
            Fault::StopVm(vm) => self.stop(vm, trouble),
            Fault::CallersWay(vm, mode) => self.callers_ways[vm].set(mode),
            Fault::StoreWay(vm, mode) => self.store_ways[vm].set(mode),
            Fault::StoreRefuses(vm) => self.site.vms[vm].store.refuse(true),
            Fault::Store(mood) => self.site.store.set_mood(mood),
            Fault::UpstreamWay(at, mode) => self.workers[at].set_way(mode),
            Fault::Upstream(at, how) => self.workers[at].behave(how),
            _ => {}
        }
        Some(trouble)
    }

    fn kill(&mut self, vm: usize, restart_at: Duration) {
        if let Some(trouble) = self.stopping.remove(&vm) {
            // From here on it is no planned stop any more.
            let now = self.now();
            self.evidence.troubles[trouble].to = now;
            self.note_trouble(now, restart_at, Scope::Vm(vm), "killed");
        }
        self.site.vms[vm].kill();
        self.later.push((restart_at, Later::StartVm(vm)));
    }

    fn stop(&mut self, vm: usize, trouble: usize) {
        let is_running = self.site.vms[vm].is_started();
        if is_running && !self.stopping.contains_key(&vm) {
            self.site.vms[vm].signal(Signal::TERM);
            self.stopping.insert(vm, trouble);
        }
    }

    /// Carries out what operators and upstreams do.
    fn change(&mut self, fault: Fault, now: Duration) {
        match fault {
            Fault::ReloadVm(vm) => self.site.vms[vm].signal(Signal::HUP),
            Fault::AddRoute => {
                self.routes += 1;
                self.configure();
                let change = Change::RouteAdded(self.routes);
                self.evidence.changes.push((self.now(), change));
                let last = &self.callers.last_route;
                last.store(self.routes, Ordering::Relaxed);
            }
            Fault::ReplaceKey => self.replace_key(),
            Fault::Leave(at) => {
                let left = self.workers.remove(at);
                let (service, software) =
                    (left.service, left.software.clone());
                self.let_go(left, now);
                self.add_worker(service, &software);
            }
            Fault::RollOut { is_bad } => self.roll_out(is_bad),
            _ => {}
        }
    }

    fn configure(&mut self) {
        self.table += 1;
        let mut keys = vec![KEY];
        keys.extend(self.keys.iter().map(String::as_str));
        let added = (1..=self.routes).map(|number| {
            let name = format!("added-{number}");
            route(&name, "idempotent", PLAIN, 2, 1000)
        });
        let configuration =
            configuration_with(self.table, &keys, added.collect());
        self.site.store.put("op/config", &configuration);
    }

    fn replace_key(&mut self) {
        let removed = std::mem::take(&mut self.keys);
        self.keys = vec![format!("key-of-{}", self.next_key)];
        self.next_key += 1;
        self.configure();
        let now = self.now();
        // Callers go on using what was taken away.
        let mut used = removed.clone();
        used.extend(self.keys.iter().cloned());
        *self.callers.keys.lock().unwrap() = used;
        for key in removed {
            self.evidence.changes.push((now, Change::KeyRemoved(key)));
        }
    }

    fn roll_out(&mut self, is_bad: bool) {
        if self.rolling_out.is_some() {
            return;
        }
        let number = self.table + 100 + self.software;
        let software = format!("v{number}");
        for _ in 0..3 {
            self.add_worker(MODELS, &software);
        }
        if is_bad {
            let new = self.workers.iter().filter(|w| w.software == software);
            new.for_each(|worker| worker.behave(Behaviour::Failing));
        }
        let order = json!({
            "service": MODELS,
            "target_version": software,
            "duration_s": ROLL_OUT_S,
        });
        self.site.store.put(&format!("op/rollout/{MODELS}"), &order);
        self.rolling_out = Some(software);
    }

    fn end(&mut self, active: &Active) {
        match active.fault {
            Fault::PauseVm(vm) => self.site.vms[vm].signal(Signal::CONT),
            Fault::CallersWay(vm, _) => self.callers_ways[vm].set(Mode::Pass),
            Fault::StoreWay(vm, _) => self.store_ways[vm].set(Mode::Pass),
            Fault::StoreRefuses(vm) => self.site.vms[vm].store.refuse(false),
            Fault::Store(_) => self.site.store.set_mood(Mood::Well),
            Fault::UpstreamWay(..) | Fault::Upstream(..) => {
                self.heal_upstreams();
            }
            _ => {}
        }
        if let Some(trouble) = active.trouble {
            self.evidence.troubles[trouble].to = self.now();
        }
    }

    /// Takes all faults off the upstreams that no active fault strikes.
    fn heal_upstreams(&mut self) {
        let struck = |target| self.active.iter().any(|a| a.target == target);
        let new = self.rolling_out.as_deref();
        for (at, worker) in self.workers.iter().enumerate() {
            if !struck(Target::UpstreamWay(at)) {
                worker.set_way(Mode::Pass);
            }
            if !struck(Target::Upstream(at)) && new != Some(&worker.software) {
                worker.behave(Behaviour::Well);
            }
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
        let until = self.now() + RECOVERY_TIME;
        while self.now() < until {
            thread::sleep(BALANCER_PERIOD);
            let now = self.now();
            self.look(now);
            self.balance();
        }
    }

    /// Looks how the site has recovered, ends it and checks everything.
    fn finish(&mut self, seed: u64) -> Outcome {
        for vm in 0..self.site.vms.len() {
            for call in 0..RECOVERY_CALLS {
                let kinds = [Kind::Read, Kind::Once, Kind::Write];
                let kind = kinds[call % kinds.len()];
                let kept = &mut HashMap::new();
                let status = self.callers.call(vm, kind, KEY, kept);
                self.evidence.recovery.0 += 1;
                self.evidence.recovery.1 += usize::from(status == 200);
            }
        }
        self.callers.stop();
        for thread in self.threads.drain(..) {
            // A caller that panicked has printed why.
            let _ = thread.join();
        }
        self.evidence.calls = self.callers.calls.lock().unwrap().clone();
        self.evidence.runs = self.runs.lock().unwrap().clone();
        let calls = &self.evidence.calls;
        let served = calls.iter().filter(|c| c.status == 200 && c.is_whole);
        Outcome {
            seed,
            faults: self.faults.len(),
            calls: calls.len(),
            served: served.count(),
            violations: check(&self.evidence),
        }
    }

    /// Keeps what is needed to trace a violation.
    fn keep_logs(
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

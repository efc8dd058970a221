//! Injects faults and ends them.

use std::{sync::atomic::Ordering, time::Duration};

use rustix::process::Signal;
use serde_json::json;

use super::{
    evidence::{Change, Order, Scope, Trouble},
    faults::{Fault, Target},
    load::more_tenants,
    upstreams::Behaviour,
    world::{Action, Active, World},
};
use crate::{
    gateway_site::{KEY, MODELS, PLAIN, configuration_with, route},
    platform_store::StoreMode,
    proxy::Mode,
};

/// Time that a rollout may take, in seconds.
const ROLLOUT_S: u64 = 8;

/// The times by which upstreams of a version precede its order are multiples
/// of this one.
const ORDER_LEAD_STEP: Duration = Duration::from_millis(300);

/// Number of these times; the shortest is zero.
const ORDER_LEADS: u64 = 4;

/// Time until the record of an upstream says that it is leaving, as its
/// responses do already.
const RECORD_LEAVING_AFTER: Duration = Duration::from_secs(5);

impl World {
    /// Draws a fault and begins it, unless an active one has the same target.
    pub(super) fn inject(&mut self, now: Duration) {
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

    /// Records a trouble in the evidence; returns its index.
    pub(super) fn record_trouble(
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

    /// Begins a fault; returns the index of its trouble if it causes one, so
    /// that the end of the trouble can be corrected later.
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
            Fault::UpstreamWay(..)
            | Fault::Upstream(..)
            | Fault::StartAgain(_) => Scope::Upstreams,
            _ => {
                self.apply_change(fault, now);
                return None;
            }
        };
        let what = format!("{fault:?}");
        let trouble = self.record_trouble(now, now + lasts, scope, &what);
        match fault {
            Fault::PauseVm(vm) => self.site.vms[vm].signal(Signal::STOP),
            Fault::KillVm(vm) => self.kill(vm, now + lasts),
            Fault::KillAll => {
                for vm in 0..self.site.vms.len() {
                    self.kill(vm, now + lasts / 4);
                }
            }
            Fault::StopVm(vm) => self.begin_shutdown(vm, trouble),
            Fault::CallersWay(vm, mode) => {
                self.entry_proxies[vm].set_mode(mode)
            }
            Fault::StoreWay(vm, mode) => self.store_proxies[vm].set_mode(mode),
            Fault::StoreRefuses(vm) => self.site.vms[vm].store.reject(true),
            Fault::Store(mode) => self.site.store.set_mode(mode),
            Fault::UpstreamWay(at, mode) => self.workers[at].set_mode(mode),
            Fault::Upstream(at, how) => self.workers[at].set_behaviour(how),
            Fault::StartAgain(at) => self.restart_upstream(at, now + lasts),
            _ => {}
        }
        Some(trouble)
    }

    /// Kills a VM's process and schedules its restart.
    pub(super) fn kill(&mut self, vm: usize, restart_at: Duration) {
        if let Some(trouble) = self.stopping.remove(&vm) {
            // A kill ends the graceful shutdown: what it cuts off is excused.
            let now = self.now();
            self.evidence.troubles[trouble].to = now;
            self.record_trouble(now, restart_at, Scope::Vm(vm), "killed");
        }
        self.site.vms[vm].kill();
        self.scheduled.push((restart_at, Action::StartVm(vm)));
    }

    /// Crashes an upstream and schedules its restart.
    fn restart_upstream(&mut self, at: usize, restart_at: Duration) {
        let worker = &self.workers[at];
        worker.crash();
        let id = worker.upstream.id.clone();
        self.scheduled.push((restart_at, Action::StartUpstream(id)));
    }

    /// Begins a graceful shutdown of a VM that runs.
    fn begin_shutdown(&mut self, vm: usize, trouble: usize) {
        let is_running = self.site.vms[vm].is_started();
        if is_running && !self.stopping.contains_key(&vm) {
            self.site.vms[vm].signal(Signal::TERM);
            self.stopping.insert(vm, trouble);
        }
    }

    /// Applies a change by operators, upstreams or another writer, which does
    /// not count as trouble.
    fn apply_change(&mut self, fault: Fault, now: Duration) {
        match fault {
            Fault::ReloadVm(vm) => self.site.vms[vm].signal(Signal::HUP),
            Fault::AddRoute => {
                self.added_routes += 1;
                self.write_configuration();
                let change = Change::RouteAdded(self.added_routes);
                self.evidence.changes.push((self.now(), change));
                let last = &self.callers.last_route;
                last.store(self.added_routes, Ordering::Relaxed);
            }
            Fault::ReplaceKey => self.replace_key(),
            Fault::Leave(at) => {
                let leaving = self.workers.remove(at);
                let (service, software) =
                    (leaving.service, leaving.software.clone());
                self.start_leaving(leaving, now);
                self.add_worker(service, &software);
            }
            Fault::LeaveUnrecorded(at) => {
                let leaving = self.workers.remove(at);
                leaving.signal_leaving();
                let recorded_at = now + RECORD_LEAVING_AFTER;
                let id = leaving.upstream.id.clone();
                self.scheduled.push((recorded_at, Action::RecordLeaving(id)));
                let (service, software) =
                    (leaving.service, leaving.software.clone());
                self.leaving.push(leaving);
                self.add_worker(service, &software);
            }
            Fault::RollOut { is_bad } => self.start_rollout(is_bad),
            Fault::Unreadable(kind) => {
                let store = &self.site.store;
                self.unreadable.record_unreadable(store, kind);
            }
            _ => {}
        }
    }

    /// Writes a new version of the configuration with the present keys and
    /// routes to the store.
    fn write_configuration(&mut self) {
        self.configuration_version += 1;
        self.put_configuration();
    }

    /// Writes the configuration with its present version to the store.
    pub(super) fn put_configuration(&self) {
        let mut keys = vec![KEY];
        keys.extend(self.keys.iter().map(String::as_str));
        let added = (1..=self.added_routes).map(|number| {
            let name = format!("added-{number}");
            route(&name, "idempotent", PLAIN, 2, 1000)
        });
        let mut configuration = configuration_with(
            self.configuration_version,
            &keys,
            added.collect(),
        );
        if self.load.slots.is_some()
            && let Some(tenants) = configuration["tenants"].as_array_mut()
        {
            tenants.extend(more_tenants());
        }
        self.site.store.put("op/config", &configuration);
    }

    /// Removes the keys other than the permanent one and adds a new one.
    fn replace_key(&mut self) {
        let removed = std::mem::take(&mut self.keys);
        self.keys = vec![format!("key-of-{}", self.next_key)];
        self.next_key += 1;
        self.write_configuration();
        let now = self.now();
        // Callers go on using the removed keys.
        let mut used = removed.clone();
        used.extend(self.keys.iter().cloned());
        *self.callers.keys.lock().unwrap() = used;
        for key in removed {
            self.evidence.changes.push((now, Change::KeyRemoved(key)));
        }
    }

    /// Starts upstreams of a new version and schedules the order of its rollout,
    /// unless one is in progress.
    fn start_rollout(&mut self, is_bad: bool) {
        if self.rollout_version.is_some() {
            return;
        }
        let number = self.configuration_version + 100 + self.current_version;
        let software = format!("v{number}");
        for _ in 0..3 {
            self.add_worker(MODELS, &software);
        }
        if is_bad {
            let new = self.workers.iter().filter(|w| w.software == software);
            new.for_each(|worker| worker.set_behaviour(Behaviour::Failing));
        }
        self.rollout_version = Some(software.clone());
        // VMs may know upstreams of a version before its order.
        let lead = ORDER_LEAD_STEP * (number % ORDER_LEADS) as u32;
        let order = Action::OrderRollout { software, is_bad };
        self.scheduled.push((self.now() + lead, order));
    }

    /// Orders the rollout of a version whose upstreams have started.
    pub(super) fn order_rollout(&mut self, software: String, is_bad: bool) {
        let order = json!({
            "service": MODELS,
            "target_version": software,
            "duration_s": ROLLOUT_S,
        });
        self.site.store.put(&format!("op/rollout/{MODELS}"), &order);
        let allowed = Duration::from_secs(ROLLOUT_S);
        let order = Order { software, allowed, is_bad };
        self.evidence.changes.push((self.now(), Change::Ordered(order)));
    }

    /// Ends an active fault and its trouble.
    pub(super) fn end(&mut self, active: &Active) {
        match active.fault {
            Fault::PauseVm(vm) => self.site.vms[vm].signal(Signal::CONT),
            Fault::CallersWay(vm, _) => {
                self.entry_proxies[vm].set_mode(Mode::Pass)
            }
            Fault::StoreWay(vm, _) => {
                self.store_proxies[vm].set_mode(Mode::Pass)
            }
            Fault::StoreRefuses(vm) => self.site.vms[vm].store.reject(false),
            Fault::Store(_) => self.site.store.set_mode(StoreMode::Normal),
            Fault::OlderCopy => {
                self.restore_older_copy();
                self.site.store.set_mode(StoreMode::Normal);
            }
            Fault::UpstreamWay(..) | Fault::Upstream(..) => {
                self.reset_upstreams();
            }
            _ => {}
        }
        if let Some(trouble) = active.trouble {
            self.evidence.troubles[trouble].to = self.now();
        }
    }

    /// Ends all faults of upstreams that no other active fault affects; those
    /// of the version that is being rolled out keep their behaviour.
    fn reset_upstreams(&mut self) {
        let is_affected =
            |target| self.active.iter().any(|a| a.target == target);
        let new = self.rollout_version.as_deref();
        for (at, worker) in self.workers.iter().enumerate() {
            if !is_affected(Target::UpstreamWay(at)) {
                worker.set_mode(Mode::Pass);
            }
            if !is_affected(Target::Upstream(at))
                && new != Some(&worker.software)
            {
                worker.set_behaviour(Behaviour::Well);
            }
        }
    }
}

//! Bringing faults about, and taking them back.

use std::{sync::atomic::Ordering, time::Duration};

use rustix::process::Signal;
use serde_json::json;

use super::{
    evidence::{Change, Order, Scope, Trouble},
    faults::{Fault, Target},
    upstreams::Behaviour,
    world::{Active, Later, World},
};
use crate::{
    gateway_site::{KEY, MODELS, PLAIN, configuration_with, route},
    platform_store::Mood,
    proxy::Mode,
};

/// Time that a roll-out is allowed, in seconds.
const ROLL_OUT_S: u64 = 8;

/// Time until the record of an upstream says what its answers say already.
const RECORDED_AFTER: Duration = Duration::from_secs(5);

impl World {
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

    pub(super) fn note_trouble(
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
            Fault::UpstreamWay(..)
            | Fault::Upstream(..)
            | Fault::StartAgain(_) => Scope::Upstreams,
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
            Fault::StartAgain(at) => self.restart_upstream(at, now + lasts),
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

    fn restart_upstream(&mut self, at: usize, back_at: Duration) {
        let worker = &self.workers[at];
        worker.crash();
        let id = worker.upstream.id.clone();
        self.later.push((back_at, Later::StartUpstream(id)));
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
            Fault::LeaveUnrecorded(at) => {
                let leaving = self.workers.remove(at);
                leaving.say_leaving();
                let recorded_at = now + RECORDED_AFTER;
                let id = leaving.upstream.id.clone();
                self.later.push((recorded_at, Later::RecordLeaving(id)));
                let (service, software) =
                    (leaving.service, leaving.software.clone());
                self.left.push(leaving);
                self.add_worker(service, &software);
            }
            Fault::RollOut { is_bad } => self.roll_out(is_bad),
            Fault::Unreadable(kind) => {
                let store = &self.site.store;
                self.unreadable.record_unreadable(store, kind);
            }
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
        let allowed = Duration::from_secs(ROLL_OUT_S);
        let order = Order { software: software.clone(), allowed, is_bad };
        self.evidence.changes.push((self.now(), Change::Ordered(order)));
        self.rolling_out = Some(software);
    }

    pub(super) fn end(&mut self, active: &Active) {
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
}

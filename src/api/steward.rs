//! The steward of a data hall: the one VM that gives orders to upstreams.
//!
//! The steward holds a lease with an epoch. It checks the lease at the last
//! moment before each order is sent, and its successor waits out the lease
//! and the longest send. For upstreams that do not check the epoch, this is
//! the only guard against two stewards.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    api::{estimate::version_hash, template::VersionState, vm::Vm},
    chains::{
        claim::VmIncarnation,
        lease::{Epoch, Lease, LeaseChange},
    },
    clock::BootInstant,
    event::Event,
    http_client::{Call, SendError},
    message::ShortHash,
    placing::upstream::{Serves, Upstream},
    task,
};

/// Steps of the lease and looks at the upstreams, by share of the lease.
const STEPS_PER_LEASE: u32 = 12;

/// Time that an upstream is given to carry out an order before the next.
const ORDER_PAUSE: Duration = Duration::from_secs(5);

/// What an upstream is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version.
    Load,
    /// Unload a version.
    Unload,
}

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The epoch of the steward; an upstream that checks it refuses a lower
    /// one than it has seen.
    pub epoch: Epoch,
    /// The steward.
    pub steward: VmIncarnation,
    /// What to do.
    pub action: OrderAction,
    /// With which version, as `model@version`.
    pub version: String,
}

/// The state of one VM's stewardship.
pub(crate) struct Steward {
    lease: smol::lock::Mutex<Lease>,
    last_order: Mutex<Option<(Order, BootInstant)>>,
    epoch: Mutex<Option<Epoch>>,
}

impl Steward {
    pub(crate) fn new(
        vm_life: VmIncarnation,
        hall: &str,
        settings: &crate::settings::StewardSettings,
    ) -> Steward {
        let lease = Lease::new(
            format!("lease/steward-{hall}"),
            vm_life,
            settings.lease_ttl,
            settings.send_max,
        );
        Steward {
            lease: smol::lock::Mutex::new(lease),
            last_order: Mutex::new(None),
            epoch: Mutex::new(None),
        }
    }

    /// The epoch, while this VM was the steward at the last step.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        *self.epoch.lock().expect("steward lock")
    }

    /// Keeps the lease and gives orders, for as long as polled.
    pub(crate) async fn run_loop(vm: Arc<Vm>) {
        let pause = vm.settings.steward.lease_ttl / STEPS_PER_LEASE;
        loop {
            task::sleep(pause).await;
            let is_wanted = !vm.is_stopping() && comes_into_question(&vm);
            vm.steward.step(&vm, is_wanted).await;
            if vm.steward.epoch().is_some() {
                vm.steward.give_order(&vm).await;
            }
        }
    }

    /// Gives the lease back, for a planned stop.
    pub(crate) async fn release(&self, vm: &Vm) {
        let mut lease = self.lease.lock().await;
        // Without the store the lease runs out instead.
        let _ = lease.release(&*vm.store).await;
        *self.epoch.lock().expect("steward lock") = None;
    }

    async fn step(&self, vm: &Vm, is_wanted: bool) {
        let mut lease = self.lease.lock().await;
        let clock = vm.clock.clone();
        let now = move || clock.now();
        let change = lease.step(&*vm.store, &now, is_wanted).await;
        let epoch = lease.epoch(vm.clock.now());
        let had = std::mem::replace(
            &mut *self.epoch.lock().expect("steward lock"),
            epoch,
        );
        match (change, had, epoch) {
            (Ok(LeaseChange::Taken(epoch)), ..) => {
                Event::StewardTaken.log(format_args!("epoch {}", epoch.0));
            }
            (_, Some(old), None) => {
                Event::StewardLost.log(format_args!("epoch {}", old.0));
            }
            _ => {}
        }
    }

    /// Gives one order, if any is due.
    ///
    /// One at a time keeps the weight store within its rate, and a version
    /// that cannot be loaded from being ordered everywhere at once.
    async fn give_order(&self, vm: &Arc<Vm>) {
        if self.is_waiting_for_last(vm) {
            return;
        }
        let Some((upstream, action, version)) = next_order(vm) else {
            return;
        };
        let Some(epoch) = self.epoch() else { return };
        let order = Order { epoch, steward: vm.identity(), action, version };
        let sent = self.send(vm, &upstream, &order).await;
        let detail = format!(
            "{:?} {} at {}, epoch {}",
            order.action, order.version, upstream.record.id, epoch.0
        );
        let outcome = match &sent {
            Ok(()) => {
                Event::OrderSent.log(&detail);
                "done"
            }
            Err(error) => {
                Event::OrderFailed.log(format_args!("{detail}: {error}"));
                "failed"
            }
        };
        vm.metrics.orders.with_label_values(&[outcome]).inc();
        let now = vm.clock.now();
        *self.last_order.lock().expect("steward lock") = Some((order, now));
    }

    /// Whether the last order may still be being carried out.
    fn is_waiting_for_last(&self, vm: &Vm) -> bool {
        let last = self.last_order.lock().expect("steward lock");
        let Some((order, at)) = &*last else { return false };
        let passed = vm.clock.now().saturating_duration_since(*at);
        passed < ORDER_PAUSE && !is_carried_out(vm, order)
    }

    async fn send(
        &self,
        vm: &Vm,
        upstream: &Upstream,
        order: &Order,
    ) -> Result<(), SendError> {
        let body = serde_json::to_vec(order)
            .map_err(|e| SendError::NotSent(e.to_string()))?;
        let call = Call::new(upstream.record.address, Method::POST, "/orders")
            .header("content-type", "application/json")
            .body(body);
        let limit = vm.settings.steward.send_max;
        let may_send = || self.may_send(vm, order.epoch, limit);
        let answer = vm.http.send_checked(call, limit, &may_send).await?;
        match answer {
            200 => Ok(()),
            status => Err(SendError::Broken(format!("answered {status}"))),
        }
    }

    /// Whether the lease outlasts a send that begins now.
    fn may_send(&self, vm: &Vm, epoch: Epoch, longest: Duration) -> bool {
        // The lease is free: its only other user is the loop that calls
        // this.
        let Some(lease) = self.lease.try_lock() else { return false };
        lease.epoch(vm.clock.now() + longest) == Some(epoch)
    }
}

/// Whether this VM is first in line for the lease, so that not all ask.
fn comes_into_question(vm: &Vm) -> bool {
    const IN_LINE: usize = 2;
    let subject = format!("steward of {}", vm.view.data_hall());
    let ranked = vm.view.ranked_hall_vms(subject.as_bytes());
    ranked.iter().take(IN_LINE).any(|name| name == vm.view.vm())
}

/// The next difference between what is and what should be loaded.
fn next_order(vm: &Vm) -> Option<(Arc<Upstream>, OrderAction, String)> {
    let configuration = vm.configuration.current();
    let mut upstreams = vm.view.all_upstreams();
    upstreams.sort_by(|a, b| a.record.id.cmp(&b.record.id));
    for upstream in &upstreams {
        let own_hall = upstream.record.data_hall == *vm.view.data_hall();
        let Serves::Model(model) = &upstream.record.serves else { continue };
        let Some(load) = upstream.load().filter(|_| own_hall) else {
            continue;
        };
        if upstream.is_leaving() {
            continue;
        }
        for entry in configuration.versions(model) {
            let is_loaded = load.versions.contains(&version_hash(entry));
            let is_wanted = entry.state != VersionState::Withdrawn;
            let action = match (is_wanted, is_loaded) {
                (true, false) => OrderAction::Load,
                (false, true) => OrderAction::Unload,
                _ => continue,
            };
            let name = format!("{}@{}", entry.model, entry.version);
            return Some((upstream.clone(), action, name));
        }
    }
    None
}

/// Whether the load reports show an order's effect anywhere still missing.
fn is_carried_out(vm: &Vm, order: &Order) -> bool {
    let version = ShortHash::of(&order.version);
    match next_order(vm) {
        Some((_, action, next)) => {
            ShortHash::of(&next) != version || action != order.action
        }
        None => true,
    }
}

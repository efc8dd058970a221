//! The steward of a data hall: the elected VM that orders upstreams to load
//! and unload model versions.
//!
//! The steward holds a lease whose epoch serves as a fencing token. It checks
//! the lease immediately before it sends an order, and a successor waits for
//! the lease duration plus the longest send before it takes over. For
//! upstreams that do not check the epoch, this is the only protection against
//! orders from two stewards.

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

/// How often within the lease duration the lease is renewed or watched, and
/// the upstreams are checked.
const STEPS_PER_LEASE: u32 = 12;

/// How long the steward waits for the effect of an order before it sends the
/// next one.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// What an order tells the upstream to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version.
    Load,
    /// Unload a version.
    Unload,
}

/// An order to an upstream, sent as JSON to its `/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The epoch of the steward's lease; an upstream that checks it rejects
    /// an epoch lower than the highest that it has seen.
    pub epoch: Epoch,
    /// The VM that sends the order.
    pub steward: VmIncarnation,
    /// What to do with the version.
    pub action: OrderAction,
    /// The version, as `model@version`.
    pub version: String,
}

/// One VM's side of the election, and the orders it sends while elected.
pub(crate) struct Steward {
    lease: smol::lock::Mutex<Lease>,
    last_order: Mutex<Option<(Order, BootInstant)>>,
    epoch: Mutex<Option<Epoch>>,
}

impl Steward {
    pub(crate) fn new(
        identity: VmIncarnation,
        hall: &str,
        settings: &crate::settings::StewardSettings,
    ) -> Steward {
        let lease = Lease::new(
            format!("lease/steward-{hall}"),
            identity,
            settings.lease_ttl,
            settings.send_max,
        );
        Steward {
            lease: smol::lock::Mutex::new(lease),
            last_order: Mutex::new(None),
            epoch: Mutex::new(None),
        }
    }

    /// Returns the lease's epoch if this VM was the steward at the last step.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        *self.epoch.lock().expect("steward lock")
    }

    /// Takes or renews the lease, and sends orders while this VM holds it;
    /// never returns.
    pub(crate) async fn run_loop(vm: Arc<Vm>) {
        let interval = vm.settings.steward.lease_ttl / STEPS_PER_LEASE;
        loop {
            task::sleep(interval).await;
            let is_candidate = !vm.is_stopping() && is_lease_candidate(&vm);
            vm.steward.step(&vm, is_candidate).await;
            if vm.steward.epoch().is_some() {
                vm.steward.send_next_order(&vm).await;
            }
        }
    }

    /// Releases the lease, for a graceful shutdown.
    pub(crate) async fn release(&self, vm: &Vm) {
        let mut lease = self.lease.lock().await;
        // If the store cannot be reached, the lease expires instead.
        let _ = lease.release(&*vm.store).await;
        *self.epoch.lock().expect("steward lock") = None;
    }

    async fn step(&self, vm: &Vm, is_candidate: bool) {
        let mut lease = self.lease.lock().await;
        let clock = vm.clock.clone();
        let now = move || clock.now();
        let change = lease.step(&*vm.store, &now, is_candidate).await;
        let epoch = lease.epoch(vm.clock.now());
        let previous = std::mem::replace(
            &mut *self.epoch.lock().expect("steward lock"),
            epoch,
        );
        match (change, previous, epoch) {
            (Ok(LeaseChange::Taken(epoch)), ..) => {
                Event::StewardTaken.log(format_args!("epoch {}", epoch.0));
            }
            (_, Some(old), None) => {
                Event::StewardLost.log(format_args!("epoch {}", old.0));
            }
            _ => {}
        }
    }

    /// Sends the next order, unless the last one is still pending.
    ///
    /// One order at a time keeps the load on the store of model weights
    /// within its rate, and keeps a version that fails to load from being
    /// ordered at all upstreams at once.
    async fn send_next_order(&self, vm: &Arc<Vm>) {
        if self.is_last_order_pending(vm) {
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

    /// Returns whether the last order may still be in progress.
    fn is_last_order_pending(&self, vm: &Vm) -> bool {
        let last = self.last_order.lock().expect("steward lock");
        let Some((order, at)) = &*last else { return false };
        let elapsed = vm.clock.now().saturating_duration_since(*at);
        elapsed < ORDER_TIMEOUT && !is_complete(vm, order)
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
        let status = vm.http.send_checked(call, limit, &may_send).await?;
        match status {
            200 => Ok(()),
            status => Err(SendError::Broken(format!("status {status}"))),
        }
    }

    /// Returns whether this VM still holds the lease for the whole duration
    /// of a send that begins now.
    fn may_send(&self, vm: &Vm, epoch: Epoch, send_limit: Duration) -> bool {
        // The loop that calls this does not hold the lock here. If `release`
        // does, the VM is stopping and sends nothing.
        let Some(lease) = self.lease.try_lock() else { return false };
        lease.epoch(vm.clock.now() + send_limit) == Some(epoch)
    }
}

/// Returns whether this VM is among the first VMs in rendezvous order, which
/// alone try to take the lease, to spare the store.
fn is_lease_candidate(vm: &Vm) -> bool {
    const CANDIDATES: usize = 2;
    let subject = format!("steward of {}", vm.view.data_hall());
    let ranked = vm.view.ranked_hall_vms(subject.as_bytes());
    ranked.iter().take(CANDIDATES).any(|name| name == vm.view.vm())
}

/// Returns the first upstream, by name, whose loaded versions differ from the
/// configuration, with the action that removes one difference.
fn next_order(vm: &Vm) -> Option<(Arc<Upstream>, OrderAction, String)> {
    let configuration = vm.configuration.current();
    let mut upstreams = vm.view.all_upstreams();
    upstreams.sort_by(|a, b| a.record.id.cmp(&b.record.id));
    for upstream in &upstreams {
        let is_local = upstream.record.data_hall == *vm.view.data_hall();
        let Serves::Model(model) = &upstream.record.serves else { continue };
        let Some(load) = upstream.load().filter(|_| is_local) else {
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

/// Returns whether the load reports show that an order has taken effect: the
/// next difference is no longer one that the same order would remove.
fn is_complete(vm: &Vm, order: &Order) -> bool {
    let version = ShortHash::of(&order.version);
    match next_order(vm) {
        Some((_, action, next)) => {
            ShortHash::of(&next) != version || action != order.action
        }
        None => true,
    }
}

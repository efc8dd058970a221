//! The paths from this VM to upstreams: directly, or through another VM.
//!
//! A connection that cannot be opened has two explanations: the upstream is
//! down, or this VM cannot reach it. Another VM tells them apart, by
//! connecting to the upstream itself. While this VM has such proof, it
//! connects through other VMs first, and tries the direct path again now and
//! then. A partition may concern the upstreams of one service only, so each
//! service has its own evidence.

use std::{
    collections::HashMap, net::SocketAddr, sync::Mutex, time::Duration,
};

use crate::{clock::BootInstant, message::ShortHash};

/// Time after which the direct path to an upstream is tried again.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Age up to which a path that failed counts as evidence on other paths.
const EVIDENCE_TTL: Duration = Duration::from_secs(3);

/// Number of upstreams of a service reached only through other VMs from which
/// this VM seems to be partitioned from all upstreams of the service.
const MIN_PARTITIONED: usize = 2;

/// Time for which a VM that could not reach an upstream is asked last.
const FAILED_RELAY_PAUSE: Duration = Duration::from_secs(2);

/// Largest number of VMs that are asked for one connection. Those that are
/// partitioned as well say so immediately.
const MAX_RELAYS: usize = 8;

/// The path on which a connection to an upstream is tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FirstPath {
    /// From this VM.
    Direct,
    /// Through another VM.
    Relayed,
}

/// Another VM, which may connect to upstreams for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RelayVm {
    /// The address at which it listens for other VMs.
    pub(crate) address: SocketAddr,
    /// Whether it is in this VM's data hall.
    pub(crate) is_same_hall: bool,
    /// Whether a graceful shutdown of it is under way.
    pub(crate) is_leaving: bool,
}

/// An upstream to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PathTarget {
    /// Its incarnation.
    pub(crate) upstream: ShortHash,
    /// The name of its service.
    pub(crate) service: String,
}

/// A service whose upstreams this VM ceased or began to reach by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PathChange {
    /// The name of the service.
    pub(crate) service: String,
    /// Whether this VM is partitioned from its upstreams now.
    pub(crate) is_partitioned: bool,
}

#[derive(Debug, Default)]
struct State {
    services: HashMap<String, ServicePaths>,
    relays: HashMap<SocketAddr, RelayHistory>,
}

/// What came of asking another VM for connections.
#[derive(Debug, Default)]
struct RelayHistory {
    /// When it last failed to reach an upstream.
    failed_at: Option<BootInstant>,
    /// When it last reached one.
    reached_at: Option<BootInstant>,
}

/// The paths to the upstreams of one service.
#[derive(Debug, Default)]
struct ServicePaths {
    /// When the direct path to an upstream last failed while another VM
    /// reached it.
    indirect: HashMap<ShortHash, BootInstant>,
    /// When the direct path to any of them last worked.
    direct_at: Option<BootInstant>,
    /// When a direct path was last tried while this VM seemed partitioned.
    tried_at: Option<BootInstant>,
    /// Whether this VM was partitioned when last asked.
    was_partitioned: bool,
}

/// The paths to all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Paths(Mutex<State>);

impl Paths {
    /// Returns the path to try first for a connection to an upstream. Each
    /// time that a direct path is due to be tried again, one caller gets it.
    pub(crate) fn first_path(
        &self,
        target: &PathTarget,
        now: BootInstant,
    ) -> FirstPath {
        let mut state = self.0.lock().expect("paths lock");
        let Some(paths) = state.services.get_mut(&target.service) else {
            return FirstPath::Direct;
        };
        paths.first_path(target.upstream, now)
    }

    /// Records that a direct connection was opened.
    pub(crate) fn record_direct(&self, target: &PathTarget, now: BootInstant) {
        let mut state = self.0.lock().expect("paths lock");
        let paths = state.service(&target.service);
        paths.indirect.remove(&target.upstream);
        paths.direct_at = Some(now);
    }

    /// Records that another VM reached an upstream which this one did not.
    pub(crate) fn record_indirect(
        &self,
        target: &PathTarget,
        now: BootInstant,
    ) {
        let mut state = self.0.lock().expect("paths lock");
        let paths = state.service(&target.service);
        paths.indirect.retain(|_, at| is_recent(*at, now));
        paths.indirect.insert(target.upstream, now);
    }

    /// Records whether a VM connected this one to an upstream.
    pub(crate) fn record_relay(
        &self,
        relay: SocketAddr,
        is_connected: bool,
        now: BootInstant,
    ) {
        let mut state = self.0.lock().expect("paths lock");
        state.relays.retain(|_, history| history.is_known(now));
        let history = state.relays.entry(relay).or_default();
        match is_connected {
            true => history.reached_at = Some(now),
            false => history.failed_at = Some(now),
        }
    }

    /// Chooses the VMs to ask for a connection, the first one first: those
    /// that have not failed, the ones that leave after the others, then those
    /// that have failed but reached another upstream, then the rest; among
    /// these, those of this data hall first, in random order.
    pub(crate) fn choose_relays(
        &self,
        mut candidates: Vec<RelayVm>,
        now: BootInstant,
    ) -> Vec<RelayVm> {
        let state = self.0.lock().expect("paths lock");
        let unknown = RelayHistory::default();
        let rank = |relay: &RelayVm| {
            let history = state.relays.get(&relay.address);
            let history = history.unwrap_or(&unknown);
            match history.has_failed(now) {
                false if !relay.is_leaving => 0,
                false => 1,
                true if history.has_reached(now) => 2,
                true => 3,
            }
        };
        candidates.sort_by_cached_key(|relay| {
            (rank(relay), !relay.is_same_hall, rand::random::<u32>())
        });
        candidates.truncate(MAX_RELAYS);
        candidates
    }

    /// Whether this VM reaches the upstreams of a service only through other
    /// VMs.
    pub(crate) fn is_partitioned(
        &self,
        service: &str,
        now: BootInstant,
    ) -> bool {
        let state = self.0.lock().expect("paths lock");
        let paths = state.services.get(service);
        paths.is_some_and(|paths| paths.is_partitioned(now))
    }

    /// Returns the services for which this VM became partitioned, or no longer
    /// is, since the last call.
    pub(crate) fn changes(&self, now: BootInstant) -> Vec<PathChange> {
        let mut state = self.0.lock().expect("paths lock");
        let mut changes = Vec::new();
        for (service, paths) in &mut state.services {
            let is_partitioned = paths.is_partitioned(now);
            if paths.was_partitioned != is_partitioned {
                paths.was_partitioned = is_partitioned;
                let service = service.clone();
                changes.push(PathChange { service, is_partitioned });
            }
        }
        changes
    }
}

impl State {
    fn service(&mut self, service: &str) -> &mut ServicePaths {
        self.services.entry(service.to_owned()).or_default()
    }
}

impl ServicePaths {
    fn first_path(
        &mut self,
        upstream: ShortHash,
        now: BootInstant,
    ) -> FirstPath {
        if !self.is_partitioned(now) {
            return match self.is_indirect(upstream, now) {
                true => FirstPath::Relayed,
                false => FirstPath::Direct,
            };
        }
        let is_due = self.tried_at.is_none_or(|at| {
            now.saturating_duration_since(at) >= DIRECT_RETRY_INTERVAL
        });
        if is_due {
            self.tried_at = Some(now);
            return FirstPath::Direct;
        }
        FirstPath::Relayed
    }

    fn is_indirect(&self, upstream: ShortHash, now: BootInstant) -> bool {
        self.indirect.get(&upstream).is_some_and(|at| {
            now.saturating_duration_since(*at) < DIRECT_RETRY_INTERVAL
        })
    }

    /// Whether enough direct paths have failed since the last one worked.
    fn is_partitioned(&self, now: BootInstant) -> bool {
        let is_evidence = |at: &&BootInstant| {
            is_recent(**at, now)
                && self.direct_at.is_none_or(|direct_at| direct_at < **at)
        };
        self.indirect.values().filter(is_evidence).count() >= MIN_PARTITIONED
    }
}

impl RelayHistory {
    fn has_failed(&self, now: BootInstant) -> bool {
        self.failed_at.is_some_and(|at| is_paused(at, now))
    }

    fn has_reached(&self, now: BootInstant) -> bool {
        self.reached_at.is_some_and(|at| is_recent(at, now))
    }

    fn is_known(&self, now: BootInstant) -> bool {
        self.has_failed(now) || self.has_reached(now)
    }
}

fn is_recent(at: BootInstant, now: BootInstant) -> bool {
    now.saturating_duration_since(at) < EVIDENCE_TTL
}

fn is_paused(at: BootInstant, now: BootInstant) -> bool {
    now.saturating_duration_since(at) < FAILED_RELAY_PAUSE
}

#[cfg(test)]
mod tests;

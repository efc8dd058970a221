//! The operators' configuration: routes, services, keys and limits.
//!
//! A [`RouteTable`] is one whole configuration and is immutable; a request
//! keeps the one under which it was admitted.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use crate::{
    id::{ModelId, OrganisationId, ServiceId},
    placing::warm_up::WarmUp,
    store_sync::engine::Engine,
};

/// The version of a configuration; later ones are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableVersion(pub u64);

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run any number of times.
    Any,
    /// It may run at most once.
    Never,
}

/// A service to which a route sends a share of its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// Rules for requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that it matches, in lower case.
    pub host: String,
    /// Prefix of the paths that it matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Whether its responses are streams of events.
    pub is_stream: bool,
    /// Longest time that a request may take in all.
    pub time_limit: Duration,
    /// Target time until the response or, for a stream, its first event.
    pub latency_target: Duration,
    /// Target for the longest gap between two events of a stream.
    pub event_gap_target: Option<Duration>,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Services that answer its requests; at least one.
    pub targets: Vec<Target>,
    /// Models to choose from, the smallest first.
    pub models: Vec<ModelId>,
    /// Whether its requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Returns the class of its requests, a label of metrics.
    pub fn class(&self) -> &'static str {
        match (self.is_stream, self.repeat) {
            (true, _) => "stream",
            (false, Repeat::Any) => "repeatable",
            (false, Repeat::Never) => "once",
        }
    }

    /// Whether a larger model may be asked after a smaller one: the request
    /// then runs once more.
    pub fn may_escalate(&self) -> bool {
        self.repeat == Repeat::Any && self.attempts > 1
    }

    /// Returns the service of the target that `draw`, in `0..1`, selects in
    /// proportion to the weights.
    pub fn target(&self, draw: f64) -> &ServiceId {
        let weights = self.targets.iter().map(|t| f64::from(t.weight));
        let mut remaining = draw * weights.sum::<f64>();
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// A service: a set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// How its upstreams warm up, if they can handle only few requests
    /// meanwhile.
    pub warm_up: Option<WarmUp>,
    /// The engine that its upstreams run; `None` for a plain service.
    pub engine: Option<Arc<Engine>>,
}

/// The organisation that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// Priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InputLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time that a connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for InputLimits {
    /// Returns the limits that apply until a configuration sets others.
    fn default() -> InputLimits {
        InputLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One whole configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: TableVersion,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: Vec<Service>,
    keys: Option<HashMap<String, Organisation>>,
    limits: InputLimits,
}

impl RouteTable {
    /// Creates a table; if `keys` is `None`, requests need no key.
    pub fn new(
        version: TableVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<HashMap<String, Organisation>>,
        limits: InputLimits,
    ) -> RouteTable {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            let length = |route: &Arc<Route>| route.path_prefix.len();
            routes.sort_by_key(|route| std::cmp::Reverse(length(route)));
        }
        RouteTable { version, by_host, services, keys, limits }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns the route that matches a host and path with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns all routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        self.keys.as_ref()?.get(key)
    }

    /// Returns whether requests need keys.
    pub fn has_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the warm-up of each service that has one.
    pub fn warm_ups(&self) -> HashMap<ServiceId, WarmUp> {
        let warm_ups = self.services.iter().filter_map(|service| {
            service.warm_up.map(|warm_up| (service.id.clone(), warm_up))
        });
        warm_ups.collect()
    }

    /// Returns the engine that the upstreams of a service run, if any.
    pub fn engine(&self, service: &ServiceId) -> Option<&Arc<Engine>> {
        let found = self.services.iter().find(|known| known.id == *service);
        found?.engine.as_ref()
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> InputLimits {
        self.limits
    }

    /// Returns the number of routes.
    pub fn routes_len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }
}

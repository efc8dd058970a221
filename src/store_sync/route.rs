//! Routes: which service answers a host and path, and on what terms.
//!
//! A [`RouteTable`] is one whole configuration, never changed once made; a
//! request holds on to the one it was admitted under.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use crate::{
    id::{ModelId, OrganisationId, ServiceId},
    placing::warm_up::WarmUp,
};

/// The number of a configuration; later ones are greater.
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
    /// As often as it takes.
    Any,
    /// Once at most.
    Never,
}

/// A service that a route leads to, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

/// What holds for requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Whether it answers with a stream of events.
    pub is_stream: bool,
    /// Longest time a request is held.
    pub time_limit: Duration,
    /// Time within which the answer, or the first event, is wanted.
    pub latency_target: Duration,
    /// Longest pause between events that is still in time.
    pub event_gap_target: Option<Duration>,
    /// Rank among requests; 0 is the most urgent.
    pub priority: u8,
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
    /// The services that answer it, at least one.
    pub targets: Vec<Target>,
    /// The models to choose from, the smallest first.
    pub models: Vec<ModelId>,
    /// Whether it needs no key.
    pub is_public: bool,
}

impl Route {
    /// The class of its requests, a label of metrics.
    pub fn class(&self) -> &'static str {
        match (self.is_stream, self.repeat) {
            (true, _) => "stream",
            (false, Repeat::Any) => "repeatable",
            (false, Repeat::Never) => "once",
        }
    }

    /// The target that `draw`, in `0..1`, falls on.
    pub fn target(&self, draw: f64) -> &ServiceId {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// A service: upstreams that answer alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// How its upstreams warm up, if they bear few requests meanwhile.
    pub warm_up: Option<WarmUp>,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// Its rank, which goes before that of a route.
    pub priority: Option<u8>,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InputLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// Longest rest between requests on a connection.
    pub idle_time: Duration,
}

impl Default for InputLimits {
    /// What holds until a configuration says otherwise.
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
    /// Creates a table; without `keys`, its routes need none.
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

    /// Its number.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// The route of a host and path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Who holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        self.keys.as_ref()?.get(key)
    }

    /// Whether requests need keys at all.
    pub fn has_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// How the upstreams of each service warm up, where that is bounded.
    pub fn warm_ups(&self) -> HashMap<ServiceId, WarmUp> {
        let bounded = self.services.iter().filter_map(|service| {
            service.warm_up.map(|warm_up| (service.id.clone(), warm_up))
        });
        bounded.collect()
    }

    /// What callers may send.
    pub fn limits(&self) -> InputLimits {
        self.limits
    }

    /// How many routes it has.
    pub fn routes_len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }
}

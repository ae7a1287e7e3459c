//! Routes, services and bounds on callers, as declared for a whole fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{BaseId, RouteId, ServiceId};
use crate::workspaces::Workspaces;

/// One version of the declared routing; replaced as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Routing {
    /// Number of the version; a higher one replaces a lower one.
    pub version: RoutingVersion,
    /// What callers may send.
    pub bounds: CallerBounds,
    /// Who may send requests; `None` if callers need no keys.
    pub workspaces: Option<Workspaces>,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<ServiceId, Arc<Service>>,
}

/// Number of a version of the routing.
pub type RoutingVersion = u64;

/// One route: the paths of a host that begin with its prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteId,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the paths; starts and ends with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub class: RouteClass,
    /// The longest that a request may be held; `None` for no limit.
    pub timeout: Option<Duration>,
    /// Time to the first byte (of a stream: the first event) that callers want.
    pub objective: Duration,
    /// Pause between two events of a stream that callers accept.
    pub gap: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether its requests need no key.
    pub public: bool,
    /// Services that it leads to, by weight.
    pub targets: Vec<RouteTarget>,
}

/// What may be done with the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteClass {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answered by events; one that can't be resumed runs at most once.
    Stream {
        /// Whether another run may go on after the last event received.
        resumable: bool,
    },
}

impl RouteClass {
    /// Whether a request may run again after it may have run.
    pub fn may_run_again(self) -> bool {
        match self {
            Self::Repeatable | Self::Stream { resumable: true } => true,
            Self::Once | Self::Stream { resumable: false } => false,
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route leads to.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its share against the other targets of the route.
    pub weight: u32,
}

/// A service: endpoints that are alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Path at which an endpoint tells whether it is well, and its run.
    pub health_path: String,
    /// Connections that each endpoint takes from all callers together.
    pub max_connections: usize,
    /// What its endpoints run, if they are model engines.
    pub engine: Option<Engine>,
}

/// What the model engines of a service are like.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: usize,
    /// Memory for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Adapters that an engine can hold.
    pub adapter_places: usize,
    /// Base models that it may run.
    pub models: Vec<BaseModel>,
}

/// A base model of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct BaseModel {
    /// Its name.
    pub name: BaseId,
    /// Its weights, in megabytes.
    pub weights_mb: f64,
    /// One of its adapters, in megabytes.
    pub adapter_mb: f64,
}

impl Engine {
    /// Adapters of `model` that fit beside its weights.
    pub fn places(&self, model: &BaseModel) -> usize {
        let free = (self.memory_mb - model.weights_mb).max(0.0);
        let fit = match model.adapter_mb > 0.0 {
            true => (free / model.adapter_mb) as usize,
            false => usize::MAX,
        };
        fit.min(self.adapter_places)
    }
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Bytes of a head.
    pub max_head: usize,
    /// Bytes of a body.
    pub max_body: usize,
    /// Time for a head to come whole.
    pub head_timeout: Duration,
    /// Time that a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerBounds {
    /// Bounds until the declared ones are known: those of the product's own entries.
    fn default() -> Self {
        Self {
            max_head: 16 * 1024,
            max_body: 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

impl Routing {
    /// Creates a version of the routing.
    pub fn new(
        version: RoutingVersion,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        bounds: CallerBounds,
    ) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in routes {
            let by_prefix = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            by_prefix.insert(route.prefix.clone(), Arc::new(route));
        }
        let named = services.into_iter().map(|s| (s.name.clone(), Arc::new(s)));
        Self { version, bounds, workspaces: None, hosts, services: named.collect() }
    }

    /// Has callers show a key of one of these workspaces.
    pub fn with_workspaces(self, workspaces: Option<Workspaces>) -> Self {
        Self { workspaces, ..self }
    }

    /// Finds the route of a path (without its query): the longest prefix of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let by_prefix = match self.hosts.get(name) {
            Some(found) => found,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut end = path.rfind('/');
        while let Some(at) = end {
            if let Some(route) = by_prefix.get(&path[..=at]) {
                return Some(route);
            }
            end = path[..at].rfind('/');
        }
        None
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}

impl Route {
    /// Picks the service of one request; `pick` is evenly spread over all numbers.
    pub fn service(&self, pick: u32) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|t| &t.service);
        }
        let mut place = (u64::from(pick) * total) >> u32::BITS;
        for target in &self.targets {
            match place.checked_sub(target.weight.into()) {
                Some(rest) => place = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}

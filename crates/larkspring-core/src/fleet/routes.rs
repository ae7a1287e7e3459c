//! Routes, services and limits for callers, as declared for a whole fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{BaseId, HallId, RegionId, RouteId, ServiceId};
use crate::workspaces::Workspaces;

/// One version of the declared routing, replaced as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Routing {
    /// Number of the version; a higher one replaces a lower one.
    pub version: RoutingVersion,
    /// Limits on callers' requests.
    pub bounds: RequestLimits,
    /// The workspaces whose callers may send requests; `None` if callers need no keys.
    pub workspaces: Option<Workspaces>,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<ServiceId, Arc<Service>>,
}

/// Number of a version of the routing.
pub type RoutingVersion = u64;

/// A route: the paths of a host that begin with its prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteId,
    /// Host that callers address.
    pub host: String,
    /// Prefix of the paths; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried and how they are answered.
    pub class: RouteClass,
    /// Longest duration of a request; `None` for no limit.
    pub timeout: Option<Duration>,
    /// Objective for the time to the first byte (of a stream: to the first event).
    pub first_byte_objective: Duration,
    /// Longest gap between two events of a stream that callers accept.
    pub max_event_gap: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of endpoints that a request may be sent to.
    pub max_endpoints: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that the requests go to, by weight.
    pub targets: Vec<RouteTarget>,
    /// Where the requests may be served.
    pub regions: AllowedRegions,
}

/// Whether a route's requests may be retried and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteClass {
    /// Requests may run more than once.
    Retryable,
    /// Requests run at most once.
    AtMostOnce,
    /// Requests are answered by events; those that can't be resumed run at most once.
    Stream {
        /// Whether another run may resume after the last event received.
        resumable: bool,
    },
}

impl RouteClass {
    /// Whether a request may be retried after it may have run.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Retryable | Self::Stream { resumable: true } => true,
            Self::AtMostOnce | Self::Stream { resumable: false } => false,
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The regions in which requests may be served, cached and stored.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AllowedRegions(Vec<RegionId>);

impl AllowedRegions {
    /// Allows only these regions, or every region if there are none.
    pub fn new(regions: Vec<RegionId>) -> Self {
        Self(regions)
    }

    /// Returns whether every region is allowed.
    pub fn is_any(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a hall is allowed. A hall of an unknown region is allowed only if
    /// every region is.
    pub fn contains_hall(&self, hall: &str, regions: &HallRegions) -> bool {
        self.is_any() || regions.get(hall).is_some_and(|region| self.0.contains(region))
    }
}

/// The region of each hall.
pub type HallRegions = HashMap<HallId, RegionId>;

/// A service that receives requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// A service: a group of interchangeable endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Path of the health check, which also returns the endpoint's run.
    pub health_path: String,
    /// Connections that each endpoint accepts from all callers together.
    pub max_connections: usize,
    /// How endpoints behave after their start.
    pub cold: ColdPhase,
    /// The engine that the endpoints run, if they are model engines.
    pub engine: Option<EngineCapacity>,
}

/// How long the endpoints of a service are cold after a start, and what they bear then.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ColdPhase {
    /// Time from the start.
    pub duration: Duration,
    /// Requests a second from all VMs together; 0 for no limit.
    pub max_per_sec: f64,
}

/// Capacity of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineCapacity {
    /// Batch slots.
    pub batch_slots: usize,
    /// Memory for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Adapter slots.
    pub adapter_slots: usize,
    /// Base models that the engine may run.
    pub models: Vec<BaseModel>,
}

/// A base model of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct BaseModel {
    /// Name of the base model.
    pub name: BaseId,
    /// Size of the weights, in megabytes.
    pub weights_mb: f64,
    /// Size of each adapter, in megabytes.
    pub adapter_mb: f64,
}

impl EngineCapacity {
    /// Returns the number of adapters of `model` that fit beside its weights.
    pub fn adapter_slots_for(&self, model: &BaseModel) -> usize {
        let free = (self.memory_mb - model.weights_mb).max(0.0);
        let fit = match model.adapter_mb > 0.0 {
            true => (free / model.adapter_mb) as usize,
            false => usize::MAX,
        };
        fit.min(self.adapter_slots)
    }
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Time to receive a complete request head.
    pub head_timeout: Duration,
    /// Time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Returns the limits that apply until the declared ones are known: those of the
    /// product's own entries.
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
        bounds: RequestLimits,
    ) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in routes {
            let by_prefix = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            by_prefix.insert(route.prefix.clone(), Arc::new(route));
        }
        let named = services.into_iter().map(|s| (s.name.clone(), Arc::new(s)));
        Self { version, bounds, workspaces: None, hosts, services: named.collect() }
    }

    /// Requires callers to present a key of one of these workspaces, if `Some`.
    pub fn with_workspaces(self, workspaces: Option<Workspaces>) -> Self {
        Self { workspaces, ..self }
    }

    /// Finds the route of a path without its query, by the longest matching prefix of the
    /// host.
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

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}

impl Route {
    /// Picks the service of a request by weight; `pick` is uniformly distributed over all
    /// `u32` values.
    pub fn service(&self, pick: u32) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|t| &t.service);
        }
        let mut point = (u64::from(pick) * total) >> u32::BITS;
        for target in &self.targets {
            match point.checked_sub(target.weight.into()) {
                Some(remainder) => point = remainder,
                None => return Some(&target.service),
            }
        }
        None
    }
}

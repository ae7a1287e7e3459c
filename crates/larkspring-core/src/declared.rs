//! The declared state in force, indexed for lookups on the request path.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use larkspring_proto::declared as wire;
use prost::{DecodeError, Message};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{
    AdapterId, BaseId, CallerId, EndpointId, HallId, Revision, ServiceId, Target,
    TargetHash, VersionId, VmId, VERSION_SEPARATOR,
};
use crate::outcome::{Refusal, Step};

/// The declared state of one revision.
#[derive(Debug, Default)]
pub struct DeclaredState {
    /// Revision of the state; 0 before the first.
    pub revision: Revision,
    chunks: Vec<Arc<IndexedChunk>>,
    callers: HashMap<CallerKeyHash, Arc<Caller>>,
    services: HashMap<ServiceId, Arc<Service>>,
    endpoints: HashMap<EndpointId, Arc<Endpoint>>,
    by_base: HashMap<BaseId, Engines>,
    by_service: HashMap<ServiceId, Vec<Arc<Endpoint>>>,
}

/// The engines of one base model.
#[derive(Debug, Default)]
struct Engines {
    all: Vec<Arc<Endpoint>>,
    /// The same engines grouped by the hash of their names; the number of groups is a
    /// power of two.
    groups: Vec<Vec<Arc<Endpoint>>>,
}

/// One chunk of the declared state, indexed; shared by all revisions that hold it.
#[derive(Debug)]
pub struct IndexedChunk {
    /// Content hash of the chunk.
    pub hash: String,
    /// The encoded chunk, for sending to other processes.
    pub encoded: Bytes,
    /// Sorted by name.
    adapters: Vec<Adapter>,
    callers: Vec<Arc<Caller>>,
    services: Vec<Arc<Service>>,
    endpoints: Vec<Arc<Endpoint>>,
}

/// SHA-256 of a caller's key, in hex.
pub type CallerKeyHash = String;

/// An adapter as declared.
#[derive(Debug)]
pub struct Adapter {
    name: AdapterId,
    base: BaseId,
    not_repeatable: bool,
    default_version: VersionId,
    versions: Box<[Version]>,
    groups: Box<[String]>,
}

/// A version of an adapter as declared.
#[derive(Debug)]
struct Version {
    name: VersionId,
    weights: Box<str>,
}

/// A caller as declared.
#[derive(Debug)]
pub struct Caller {
    /// Name of the caller.
    pub name: CallerId,
    /// The most urgent priority that the caller may request.
    pub priority: u32,
    /// Largest number of concurrent requests at each entry; 0 for the entry's own limit.
    pub max_streams: u32,
    key_sha256: CallerKeyHash,
    groups: Vec<String>,
}

/// A plain service as declared.
#[derive(Debug)]
pub struct Service {
    name: ServiceId,
    groups: Vec<String>,
    not_repeatable: Vec<(String, String)>,
}

/// An endpoint as declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: EndpointId,
    /// The hall of the endpoint's VM.
    pub hall: HallId,
    /// The VM that the endpoint runs on.
    pub vm: VmId,
    /// Address of the endpoint's agent.
    pub agent: String,
    /// The base model or service that the endpoint serves.
    pub serves: Serves,
    /// Whether the endpoint is draining and gets no new requests.
    pub draining: bool,
    /// Whether the endpoint checks the epoch of a command.
    pub checks_fences: bool,
}

/// The base model or service that an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Serves {
    /// Adapters of a base model.
    Base(BaseId),
    /// A plain service.
    Service(ServiceId),
}

/// The adapter that the model name of a request resolves to.
#[derive(Debug, Clone)]
pub struct ModelChoice {
    /// The exact adapter.
    pub target: Target,
    /// The base model that the adapter is tuned from.
    pub base: BaseId,
    /// Whether the request runs at most once.
    pub not_repeatable: bool,
}

impl DeclaredState {
    /// Builds the index of one revision from its parts, in the order of the root.
    pub fn build(revision: Revision, parts: Vec<Arc<IndexedChunk>>) -> Self {
        let mut state = Self { revision, ..Self::default() };
        for part in &parts {
            state.add(part);
        }
        state.by_base.values_mut().for_each(Engines::build_groups);
        state.chunks = parts;
        state
    }

    /// Returns the parts, in the order of the root.
    pub fn chunks(&self) -> &[Arc<IndexedChunk>] {
        &self.chunks
    }

    /// Finds the caller of a bearer key.
    pub fn caller(&self, key: &str) -> Option<Arc<Caller>> {
        let hash = key_hash(key);
        let caller = self.callers.get(&hash)?;
        // The lookup is by hash, so its time reveals nothing about the key.
        let same: bool = caller.key_sha256.as_bytes().ct_eq(hash.as_bytes()).into();
        same.then(|| caller.clone())
    }

    /// Resolves the model name `model` to an exact adapter that `caller` may use.
    pub fn resolve(&self, model: &str, caller: &Caller) -> Result<ModelChoice, Refusal> {
        let (name, version) = match model.split_once(VERSION_SEPARATOR) {
            Some((name, version)) => (name, Some(version)),
            None => (model, None),
        };
        let Some(adapter) = self.adapter(name) else {
            return Err(unknown_name("adapter", name));
        };
        if !is_allowed(&adapter.groups, &caller.groups) {
            return Err(forbidden("adapter", name));
        }
        let version = version.unwrap_or(&adapter.default_version);
        let Some(version) = adapter.version(version) else {
            return Err(unknown_name("version", model));
        };
        Ok(ModelChoice {
            target: Target {
                adapter: adapter.name.clone(),
                version: version.name.clone(),
            },
            base: adapter.base.clone(),
            not_repeatable: adapter.not_repeatable,
        })
    }

    /// Checks that `caller` may call a plain service, and returns whether the call runs
    /// at most once.
    pub fn check_service_call(
        &self,
        service: &str,
        method: &str,
        path: &str,
        caller: &Caller,
    ) -> Result<bool, Refusal> {
        let Some(found) = self.services.get(service) else {
            return Err(unknown_name("service", service));
        };
        if !is_allowed(&found.groups, &caller.groups) {
            return Err(forbidden("service", service));
        }
        let mut rules = found.not_repeatable.iter();
        Ok(rules.any(|(m, prefix)| m == method && path.starts_with(prefix)))
    }

    /// Returns the location of an exact adapter in the weight store, if the adapter is
    /// declared.
    pub fn weights_location(&self, target: &Target) -> Option<&str> {
        let adapter = self.adapter(&target.adapter)?;
        adapter.version(&target.version).map(|v| &*v.weights)
    }

    /// Returns the names of the models that `caller` may reach, sorted.
    pub fn models(&self, caller: &Caller) -> Vec<String> {
        let reachable = self
            .chunks
            .iter()
            .flat_map(|part| &part.adapters)
            .filter(|adapter| is_allowed(&adapter.groups, &caller.groups));
        let mut names: Vec<_> = reachable.flat_map(Adapter::model_names).collect();
        names.sort();
        names
    }

    /// Returns the endpoints that serve a base model.
    pub fn engines(&self, base: &str) -> &[Arc<Endpoint>] {
        self.by_base.get(base).map_or(&[], |engines| &engines.all)
    }

    /// Returns the endpoints of a base model from which the candidates for a target are
    /// chosen.
    pub fn candidate_engines(
        &self,
        base: &str,
        target: TargetHash,
    ) -> Vec<&Arc<Endpoint>> {
        self.by_base.get(base).map_or_else(Vec::new, |engines| engines.candidates(target))
    }

    /// Returns the endpoints of a plain service.
    pub fn service_endpoints(&self, service: &str) -> &[Arc<Endpoint>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Finds an endpoint by name.
    pub fn endpoint(&self, name: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(name)
    }

    /// Returns the number of endpoints that are model engines.
    pub fn engine_count(&self) -> usize {
        self.by_base.values().map(|engines| engines.all.len()).sum()
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values()
    }

    /// Returns the number of adapters.
    pub fn adapter_count(&self) -> usize {
        self.chunks.iter().map(|part| part.adapters.len()).sum()
    }

    fn adapter(&self, name: &str) -> Option<&Adapter> {
        let part = self.chunks.get(hash_bucket(name, self.chunks.len()))?;
        let found = part.adapters.binary_search_by(|a| (*a.name).cmp(name));
        found.ok().map(|at| &part.adapters[at])
    }

    fn add(&mut self, part: &IndexedChunk) {
        for caller in &part.callers {
            self.callers.insert(caller.key_sha256.clone(), caller.clone());
        }
        for service in &part.services {
            self.services.insert(service.name.clone(), service.clone());
        }
        for endpoint in &part.endpoints {
            self.add_endpoint(endpoint);
        }
    }

    fn add_endpoint(&mut self, endpoint: &Arc<Endpoint>) {
        self.endpoints.insert(endpoint.name.clone(), endpoint.clone());
        let of_kind = match &endpoint.serves {
            Serves::Base(base) => &mut self.by_base.entry(base.clone()).or_default().all,
            Serves::Service(service) => {
                self.by_service.entry(service.clone()).or_default()
            }
        };
        of_kind.push(endpoint.clone());
    }
}

impl Engines {
    /// Divides the engines into groups of [`MEAN_GROUP_SIZE`] engines on average.
    fn build_groups(&mut self) {
        let count = self.all.len().div_ceil(MEAN_GROUP_SIZE).next_power_of_two();
        self.groups = vec![Vec::new(); count];
        for endpoint in &self.all {
            self.groups[hash_bucket(&endpoint.name, count)].push(endpoint.clone());
        }
    }

    /// Returns the endpoints of the groups that rank first for a target, until there are
    /// [`MIN_CANDIDATE_POOL`] of them.
    fn candidates(&self, target: TargetHash) -> Vec<&Arc<Endpoint>> {
        if self.all.len() <= MIN_CANDIDATE_POOL {
            return self.all.iter().collect();
        }
        let weight = |group: usize| xxh3_64_with_seed(&group.to_le_bytes(), target);
        let mut ranked: Vec<_> = (0..self.groups.len()).collect();
        let first = MIN_CANDIDATE_POOL.div_ceil(MEAN_GROUP_SIZE) * 2;
        if ranked.len() > first {
            ranked.select_nth_unstable_by_key(first, |g| Reverse(weight(*g)));
            ranked.truncate(first);
        }
        ranked.sort_by_cached_key(|g| Reverse(weight(*g)));
        let mut candidates = Vec::new();
        for group in ranked {
            candidates.extend(&self.groups[group]);
            if candidates.len() >= MIN_CANDIDATE_POOL {
                break;
            }
        }
        candidates
    }
}

/// Average number of endpoints in a group.
const MEAN_GROUP_SIZE: usize = 24;
/// Least number of endpoints from which the candidates for a target are chosen.
const MIN_CANDIDATE_POOL: usize = 48;

impl IndexedChunk {
    /// Decodes and indexes a chunk received from another process.
    pub fn decode(hash: &str, message: Bytes) -> Result<Self, DecodeError> {
        Ok(Self::index(hash, &wire::Chunk::decode(message)?))
    }

    /// Indexes the chunk with content hash `hash`.
    pub fn index(hash: &str, chunk: &wire::Chunk) -> Self {
        let mut names = NameInterner::default();
        let adapters = chunk.adapters.iter().map(|a| index_adapter(a, &mut names));
        let mut adapters: Vec<_> = adapters.collect();
        adapters.sort_by(|a, b| a.name.cmp(&b.name));
        let callers = chunk.callers.iter().map(index_caller).map(Arc::new);
        let services = chunk.services.iter().map(index_service).map(Arc::new);
        let endpoints = chunk.endpoints.iter().map(index_endpoint).map(Arc::new);
        Self {
            hash: hash.into(),
            encoded: chunk.encode_to_vec().into(),
            adapters,
            callers: callers.collect(),
            services: services.collect(),
            endpoints: endpoints.collect(),
        }
    }
}

impl Adapter {
    fn version(&self, name: &str) -> Option<&Version> {
        self.versions.iter().find(|v| &*v.name == name)
    }

    fn model_names(&self) -> impl Iterator<Item = String> + '_ {
        let name = &self.name;
        self.versions.iter().map(move |v| format!("{name}{VERSION_SEPARATOR}{}", v.name))
    }
}

/// Returns the index of the chunk or group, out of `count`, that the name `name` belongs
/// to.
pub fn hash_bucket(name: &str, count: usize) -> usize {
    (xxh3_64(name.as_bytes()) % count.max(1) as u64) as usize
}

/// Returns the SHA-256 of a caller's key, in hex.
pub fn key_hash(key: &str) -> CallerKeyHash {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Interns names that many adapters of a chunk share.
#[derive(Default)]
struct NameInterner(HashMap<String, Arc<str>>);

impl NameInterner {
    fn intern(&mut self, name: &str) -> Arc<str> {
        let known = self.0.entry(name.into()).or_insert_with(|| name.into());
        known.clone()
    }
}

fn index_adapter(adapter: &wire::Adapter, names: &mut NameInterner) -> Adapter {
    let versions = adapter.versions.iter().filter(|v| !v.retired);
    let versions = versions.map(|v| Version {
        name: names.intern(&v.name),
        weights: v.weights.as_str().into(),
    });
    let versions = versions.collect();
    Adapter {
        name: adapter.name.as_str().into(),
        base: names.intern(&adapter.base),
        not_repeatable: adapter.not_repeatable,
        default_version: names.intern(&adapter.default_version),
        versions,
        groups: adapter.groups.clone().into(),
    }
}

fn index_endpoint(endpoint: &wire::Endpoint) -> Endpoint {
    let serves = match endpoint.service.as_str() {
        "" => Serves::Base(endpoint.base.as_str().into()),
        service => Serves::Service(service.into()),
    };
    Endpoint {
        name: endpoint.name.as_str().into(),
        hall: endpoint.hall.as_str().into(),
        vm: endpoint.vm.as_str().into(),
        agent: endpoint.agent.clone(),
        serves,
        draining: endpoint.leaving,
        checks_fences: endpoint.checks_fences,
    }
}

fn index_caller(caller: &wire::Caller) -> Caller {
    Caller {
        name: caller.name.as_str().into(),
        priority: caller.priority,
        max_streams: caller.max_streams,
        key_sha256: caller.key_sha256.to_ascii_lowercase(),
        groups: caller.groups.clone(),
    }
}

fn index_service(service: &wire::Service) -> Service {
    let rules = service.not_repeatable.iter().filter_map(|rule| rule.split_once(' '));
    Service {
        name: service.name.as_str().into(),
        groups: service.groups.clone(),
        not_repeatable: rules.map(|(m, p)| (m.into(), p.into())).collect(),
    }
}

fn is_allowed(allowed: &[String], groups: &[String]) -> bool {
    allowed.is_empty() || allowed.iter().any(|group| groups.contains(group))
}

fn unknown_name(kind: &str, name: &str) -> Refusal {
    Refusal::not_run(Step::Resolve, format!("unknown {kind} `{name}`"))
}

fn forbidden(kind: &str, name: &str) -> Refusal {
    Refusal::not_run(Step::Admit, format!("this key may not reach {kind} `{name}`"))
}

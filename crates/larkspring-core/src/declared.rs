//! The declared state in force, indexed for look-ups on the path of a request.

use std::collections::HashMap;
use std::sync::Arc;

use larkspring_proto::declared as wire;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::{
    AdapterId, BaseId, CallerId, EndpointId, HallId, Revision, ServiceId, Target,
    VersionId, VmId, VERSION_MARK,
};
use crate::outcome::{Refusal, Step};

/// The declared state of one revision.
#[derive(Debug, Default)]
pub struct State {
    /// Its revision; 0 before the first.
    pub revision: Revision,
    adapters: HashMap<AdapterId, Adapter>,
    callers: HashMap<KeyHash, Arc<Caller>>,
    services: HashMap<ServiceId, Service>,
    endpoints: HashMap<EndpointId, Arc<Endpoint>>,
    by_base: HashMap<BaseId, Vec<Arc<Endpoint>>>,
    by_service: HashMap<ServiceId, Vec<Arc<Endpoint>>>,
}

/// SHA-256 of a caller's key, in hex.
pub type KeyHash = String;

/// An adapter as declared.
#[derive(Debug)]
pub struct Adapter {
    /// The model it is tuned from.
    pub base: BaseId,
    /// Whether its requests run at most once.
    pub not_repeatable: bool,
    default_version: VersionId,
    versions: Vec<VersionId>,
    groups: Vec<String>,
}

/// A caller as declared.
#[derive(Debug)]
pub struct Caller {
    /// Its name.
    pub name: CallerId,
    /// The most urgent priority it may ask for.
    pub priority: u32,
    /// Requests at a time for each entry; 0 for the entry's own limit.
    pub max_streams: u32,
    key_sha256: KeyHash,
    groups: Vec<String>,
}

/// A plain service as declared.
#[derive(Debug)]
pub struct Service {
    groups: Vec<String>,
    not_repeatable: Vec<(String, String)>,
}

/// An endpoint as declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its name.
    pub name: EndpointId,
    /// The hall it stands in.
    pub hall: HallId,
    /// The VM it runs on.
    pub vm: VmId,
    /// Address of its agent.
    pub agent: String,
    /// Whether it gets no new requests.
    pub leaving: bool,
    /// Whether it checks the epoch of an order.
    pub checks_fences: bool,
}

/// What a request to a model engine named.
#[derive(Debug, Clone)]
pub struct ModelChoice {
    /// The exact adapter.
    pub target: Target,
    /// The model it is tuned from.
    pub base: BaseId,
    /// Whether the request runs at most once.
    pub not_repeatable: bool,
}

impl State {
    /// Builds the index of one revision from its chunks.
    pub fn build(revision: Revision, chunks: &[wire::Chunk]) -> Self {
        let mut state = Self { revision, ..Self::default() };
        for chunk in chunks {
            state.add(chunk);
        }
        state
    }

    /// Finds the caller of a bearer key.
    pub fn caller(&self, key: &str) -> Option<Arc<Caller>> {
        let hash = key_hash(key);
        let caller = self.callers.get(&hash)?;
        // The look-up is by hash, so its time says nothing of the key itself.
        let same: bool = caller.key_sha256.as_bytes().ct_eq(hash.as_bytes()).into();
        same.then(|| caller.clone())
    }

    /// Finds the exact adapter that `model` names for `caller`.
    pub fn resolve(&self, model: &str, caller: &Caller) -> Result<ModelChoice, Refusal> {
        let (name, version) = match model.split_once(VERSION_MARK) {
            Some((name, version)) => (name, Some(version)),
            None => (model, None),
        };
        let Some((id, adapter)) = self.adapters.get_key_value(name) else {
            return Err(unknown_name("adapter", name));
        };
        if !allowed(&adapter.groups, &caller.groups) {
            return Err(forbidden("adapter", name));
        }
        let version = version.unwrap_or(&adapter.default_version);
        let Some(version) = adapter.versions.iter().find(|v| &***v == version) else {
            return Err(unknown_name("version", model));
        };
        Ok(ModelChoice {
            target: Target { adapter: id.clone(), version: version.clone() },
            base: adapter.base.clone(),
            not_repeatable: adapter.not_repeatable,
        })
    }

    /// Checks the call of a plain service and says whether it runs at most once.
    pub fn service_call(
        &self,
        service: &str,
        method: &str,
        path: &str,
        caller: &Caller,
    ) -> Result<bool, Refusal> {
        let Some(found) = self.services.get(service) else {
            return Err(unknown_name("service", service));
        };
        if !allowed(&found.groups, &caller.groups) {
            return Err(forbidden("service", service));
        }
        let mut rules = found.not_repeatable.iter();
        Ok(rules.any(|(m, prefix)| m == method && path.starts_with(prefix)))
    }

    /// Whether the state holds this exact adapter.
    pub fn holds(&self, target: &Target) -> bool {
        let adapter = self.adapters.get(&target.adapter);
        adapter.is_some_and(|a| a.versions.contains(&target.version))
    }

    /// Returns the names of the models that `caller` may reach, sorted.
    pub fn models(&self, caller: &Caller) -> Vec<String> {
        let mut names: Vec<_> = self
            .adapters
            .iter()
            .filter(|(_, a)| allowed(&a.groups, &caller.groups))
            .flat_map(|(name, a)| {
                a.versions.iter().map(move |v| format!("{name}{VERSION_MARK}{v}"))
            })
            .collect();
        names.sort();
        names
    }

    /// Returns the endpoints that serve a base model.
    pub fn engines(&self, base: &str) -> &[Arc<Endpoint>] {
        self.by_base.get(base).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a plain service.
    pub fn service_endpoints(&self, service: &str) -> &[Arc<Endpoint>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Finds an endpoint by name.
    pub fn endpoint(&self, name: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(name)
    }

    /// Returns the number of adapters.
    pub fn adapter_count(&self) -> usize {
        self.adapters.len()
    }

    fn add(&mut self, chunk: &wire::Chunk) {
        for adapter in &chunk.adapters {
            self.adapters.insert(adapter.name.as_str().into(), index_adapter(adapter));
        }
        for caller in &chunk.callers {
            let caller = index_caller(caller);
            self.callers.insert(caller.key_sha256.clone(), Arc::new(caller));
        }
        for service in &chunk.services {
            self.services.insert(service.name.as_str().into(), index_service(service));
        }
        for endpoint in &chunk.endpoints {
            self.add_endpoint(endpoint);
        }
    }

    fn add_endpoint(&mut self, endpoint: &wire::Endpoint) {
        let indexed = Arc::new(Endpoint {
            name: endpoint.name.as_str().into(),
            hall: endpoint.hall.as_str().into(),
            vm: endpoint.vm.as_str().into(),
            agent: endpoint.agent.clone(),
            leaving: endpoint.leaving,
            checks_fences: endpoint.checks_fences,
        });
        self.endpoints.insert(indexed.name.clone(), indexed.clone());
        let (index, key) = match endpoint.service.as_str() {
            "" => (&mut self.by_base, &endpoint.base),
            _ => (&mut self.by_service, &endpoint.service),
        };
        index.entry(key.as_str().into()).or_default().push(indexed);
    }
}

/// Returns the SHA-256 of a caller's key, in hex.
pub fn key_hash(key: &str) -> KeyHash {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn index_adapter(adapter: &wire::Adapter) -> Adapter {
    let versions = adapter.versions.iter().filter(|v| !v.retired);
    Adapter {
        base: adapter.base.as_str().into(),
        not_repeatable: adapter.not_repeatable,
        default_version: adapter.default_version.as_str().into(),
        versions: versions.map(|v| v.name.as_str().into()).collect(),
        groups: adapter.groups.clone(),
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
        groups: service.groups.clone(),
        not_repeatable: rules.map(|(m, p)| (m.into(), p.into())).collect(),
    }
}

fn allowed(wanted: &[String], held: &[String]) -> bool {
    wanted.is_empty() || wanted.iter().any(|group| held.contains(group))
}

fn unknown_name(kind: &str, name: &str) -> Refusal {
    Refusal::not_run(Step::Resolve, format!("unknown {kind} `{name}`"))
}

fn forbidden(kind: &str, name: &str) -> Refusal {
    Refusal::not_run(Step::Admit, format!("this key may not reach {kind} `{name}`"))
}

//! A deployment in one process, on loopback, with stand-ins for the outside systems.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use larkspring::agent::Agent;
use larkspring::entry::Entry;
use larkspring::operate::publish;
use larkspring::platform::objects::HttpObjects;
use larkspring::settings::{self, Settings};
use larkspring::telemetry::{start_log, LogGuard, LogOutput};
use larkspring_core::declared::key_hash;
use larkspring_proto::declared::{Adapter, Caller, Chunk, Endpoint, Service, Version};
use larkspring_standin::engine::{Engine, Faults};
use larkspring_standin::objects::Objects;
use larkspring_standin::service::Service as ServiceStandin;
use larkspring_standin::web::{start_standin, RunningStandin};
use larkspring_standin::weights::{Faults as WeightFaults, Weights};

use crate::AnyError;

/// Key of the only caller.
pub const DEV_KEY: &str = "dev-key";
const BASE: &str = "base";
const SERVICE: &str = "echo";
const API_TIMEOUT: Duration = Duration::from_secs(5);
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

/// Sizes and settings of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// Port of the first entry; 0 for any free port.
    pub port: u16,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines, each with its agent.
    pub engines: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Behaviour of each engine.
    pub engine: Faults,
    /// Behaviour of the weight store.
    pub weights: WeightFaults,
    /// Further settings of each entry, as indented lines of YAML.
    pub entry_settings: String,
    /// Further settings of each agent, as indented lines of YAML.
    pub agent_settings: String,
    /// Whether spans are written to the log.
    pub spans: bool,
}

/// A running deployment.
pub struct Deployment {
    /// The entries.
    pub entries: Vec<Entry>,
    agents: Vec<Agent>,
    /// Stand-ins with their kinds.
    pub standins: Vec<(&'static str, RunningStandin)>,
    _log: LogGuard,
}

impl Deployment {
    /// Starts a deployment, which runs in the background, and publishes its declarations.
    pub async fn start(spec: &DeploymentSpec) -> Result<Self, AnyError> {
        let any_port = SocketAddr::from((LOOPBACK, 0));
        let objects = start_standin(any_port, Arc::new(Objects::default())).await?;
        let weights =
            start_standin(any_port, Arc::new(Weights::new(spec.weights.clone()))).await?;
        let service =
            start_standin(any_port, Arc::new(ServiceStandin::default())).await?;
        let log = start_log("local", tracing::Level::WARN, spec.spans, LogOutput::Stderr);
        let mut deployment =
            Self { entries: vec![], agents: vec![], standins: vec![], _log: log };
        let mut endpoints = Vec::new();
        for n in 0..spec.engines {
            let store = Some(weights.addr.to_string());
            let engine =
                start_standin(any_port, Engine::new(store, spec.engine.clone())).await?;
            let name = format!("engine-{n}");
            let agent = start_agent(spec, &name, &engine, &objects).await?;
            let base = BASE.to_owned();
            endpoints.push(Endpoint { base, ..endpoint(&name, &agent) });
            deployment.agents.push(agent);
            deployment.standins.push(("engine", engine));
        }
        let agent = start_agent(spec, "service-0", &service, &objects).await?;
        let service_name = SERVICE.to_owned();
        endpoints
            .push(Endpoint { service: service_name, ..endpoint("service-0", &agent) });
        deployment.agents.push(agent);
        let api = HttpObjects::new(&objects.addr.to_string(), API_TIMEOUT);
        let present = publish::read_root(&api).await?;
        let all = declaration(spec.adapters, endpoints);
        publish::publish(&api, &present, &all, "dev").await?;
        for n in 0..spec.entries {
            let port = if n == 0 { spec.port } else { 0 };
            let entry = Entry::start(&entry_settings(spec, port, &objects)?).await?;
            deployment.entries.push(entry);
        }
        deployment.standins.push(("objects", objects));
        deployment.standins.push(("weights", weights));
        deployment.standins.push(("service", service));
        Ok(deployment)
    }

    /// Shuts down entries and agents gracefully.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for agent in self.agents {
            agent.stop().await;
        }
    }
}

fn declaration(adapters: usize, endpoints: Vec<Endpoint>) -> Chunk {
    let adapter = |n| Adapter {
        name: format!("tenant-{n:04}"),
        base: BASE.into(),
        versions: ["v1", "v2"].map(|v| version(n, v)).into(),
        default_version: "v1".into(),
        ..Adapter::default()
    };
    let caller =
        Caller { name: "dev".into(), key_sha256: key_hash(DEV_KEY), ..Caller::default() };
    let service = Service {
        name: SERVICE.into(),
        not_repeatable: vec!["POST /config".into()],
        ..Service::default()
    };
    Chunk {
        adapters: (0..adapters).map(adapter).collect(),
        callers: vec![caller],
        services: vec![service],
        endpoints,
    }
}

fn version(n: usize, name: &str) -> Version {
    Version {
        name: name.into(),
        weights: format!("tenant-{n:04}/{name}"),
        retired: false,
    }
}

fn endpoint(name: &str, agent: &Agent) -> Endpoint {
    Endpoint {
        name: name.into(),
        hall: "hall-0".into(),
        vm: format!("vm-{name}"),
        agent: agent.addr.to_string(),
        checks_fences: true,
        ..Endpoint::default()
    }
}

async fn start_agent(
    spec: &DeploymentSpec,
    name: &str,
    backend: &RunningStandin,
    objects: &RunningStandin,
) -> Result<Agent, AnyError> {
    let settings = parse_settings(
        spec,
        objects,
        &format!(
            "agent:\n  listen: 127.0.0.1:0\n  endpoint: {name}\n  backend: {}\n  slots: {}\n{}",
            backend.addr, spec.engine.slots, spec.agent_settings
        ),
    )?;
    Ok(Agent::start(&settings).await?)
}

fn entry_settings(
    spec: &DeploymentSpec,
    port: u16,
    objects: &RunningStandin,
) -> Result<Settings, AnyError> {
    let part = format!("entry:\n  listen: 127.0.0.1:{port}\n{}", spec.entry_settings);
    parse_settings(spec, objects, &part)
}

fn parse_settings(
    spec: &DeploymentSpec,
    objects: &RunningStandin,
    part: &str,
) -> Result<Settings, AnyError> {
    let text = format!(
        "hall: hall-0\nvm: dev\nplatform: {{ objects: '{}', load_rate: {:.3}, \
         load_concurrency: {} }}\n\
         telemetry: {{ level: warn, spans: {} }}\n{part}\n",
        objects.addr, spec.weights.rate, spec.weights.concurrency, spec.spans
    );
    Ok(settings::parse("dev", &text)?)
}

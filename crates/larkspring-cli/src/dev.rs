//! A whole deployment in one process, on loopback, on stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use larkspring::agent::Agent;
use larkspring::entry::Entry;
use larkspring::operate::publish;
use larkspring::platform::objects::HttpObjects;
use larkspring::settings::{self, Settings};
use larkspring::{exec, telemetry};
use larkspring_core::declared::key_hash;
use larkspring_proto::declared::{Adapter, Caller, Chunk, Endpoint, Service, Version};
use larkspring_standin::engine::{Engine, Faults};
use larkspring_standin::objects::Objects;
use larkspring_standin::service::Service as ServiceStandin;
use larkspring_standin::web::{start, Served};
use larkspring_standin::weights::Weights;

use crate::args::DevArgs;
use crate::process::stop_requested;
use crate::AnyError;

/// Key of the one caller.
pub const DEV_KEY: &str = "dev-key";
const BASE: &str = "base";
const SERVICE: &str = "echo";
const API_TIMEOUT: Duration = Duration::from_secs(5);
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

/// Runs the deployment until asked to stop.
pub fn run(args: &DevArgs) -> Result<(), AnyError> {
    exec::run(0, async {
        let dev = Deployment::start(args).await?;
        dev.print();
        stop_requested().await;
        dev.stop().await;
        Ok(())
    })
}

struct Deployment {
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    standins: Vec<(&'static str, Served)>,
}

impl Deployment {
    async fn start(args: &DevArgs) -> Result<Self, AnyError> {
        let any = SocketAddr::from((LOOPBACK, 0));
        let objects = start(any, Arc::new(Objects::default())).await?;
        let weights = start(any, Arc::new(Weights::default())).await?;
        let service = start(any, Arc::new(ServiceStandin::default())).await?;
        let mut dev = Self { entries: vec![], agents: vec![], standins: vec![] };
        let mut endpoints = Vec::new();
        for n in 0..args.engines {
            let store = Some(weights.addr.to_string());
            let faults = Faults { slots: args.slots as usize, ..Faults::default() };
            let engine = start(any, Engine::new(store, faults)).await?;
            let name = format!("engine-{n}");
            let agent = start_agent(args, &name, &engine, &objects).await?;
            let base = BASE.to_owned();
            endpoints.push(Endpoint { base, ..endpoint(&name, &agent) });
            dev.agents.push(agent);
            dev.standins.push(("engine", engine));
        }
        let agent = start_agent(args, "service-0", &service, &objects).await?;
        let of_service = SERVICE.to_owned();
        endpoints.push(Endpoint { service: of_service, ..endpoint("service-0", &agent) });
        dev.agents.push(agent);
        let api = HttpObjects::new(&objects.addr.to_string(), API_TIMEOUT);
        let present = publish::present(&api).await?;
        let all = declaration(args.adapters, endpoints);
        publish::publish(&api, &present, &all, "dev").await?;
        for n in 0..args.entries {
            let port = if n == 0 { args.port } else { 0 };
            let entry = Entry::start(&entry_settings(args, port, &objects)?).await?;
            dev.entries.push(entry);
        }
        dev.standins.push(("objects", objects));
        dev.standins.push(("weights", weights));
        dev.standins.push(("service", service));
        Ok(dev)
    }

    fn print(&self) {
        for (name, served) in &self.standins {
            println!("stand-in {name}: http://{}", served.addr);
        }
        for entry in &self.entries {
            println!("entry: http://{}", entry.addr);
        }
        let addr = self.entries.first().map(|e| e.addr.to_string()).unwrap_or_default();
        println!("\nTry:\ncurl -N http://{addr}/v1/completions \\");
        println!("  -H 'authorization: Bearer {DEV_KEY}' \\");
        println!(
            "  -d '{{\"model\":\"tenant-0007@v1\",\"prompt\":\"hello\",\"stream\":true}}'"
        );
    }

    async fn stop(self) {
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
    args: &DevArgs,
    name: &str,
    backend: &Served,
    objects: &Served,
) -> Result<Agent, AnyError> {
    let settings = parse(
        args,
        objects,
        &format!(
            "agent: {{ listen: '127.0.0.1:0', endpoint: {name}, backend: '{}', slots: {} }}",
            backend.addr, args.slots
        ),
    )?;
    Ok(Agent::start(&settings).await?)
}

fn entry_settings(
    args: &DevArgs,
    port: u16,
    objects: &Served,
) -> Result<Settings, AnyError> {
    let settings =
        parse(args, objects, &format!("entry: {{ listen: '127.0.0.1:{port}' }}"))?;
    telemetry::start_log(&settings.telemetry);
    Ok(settings)
}

fn parse(args: &DevArgs, objects: &Served, part: &str) -> Result<Settings, AnyError> {
    let text = format!(
        "hall: hall-0\nvm: dev\nplatform: {{ objects: '{}' }}\n\
         telemetry: {{ level: warn, spans: {} }}\n{part}\n",
        objects.addr, args.spans
    );
    Ok(settings::parse("dev", &text)?)
}

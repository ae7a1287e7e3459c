//! The command `experiment`: compares routing policies under a scenario, on a local
//! deployment of real entries and agents.

mod html;

use std::time::Duration;

use http_types::Method;
use larkspring::exec;
use larkspring::http::client::{fetch, request};
use larkspring_standin::engine::{Faults, Stats};
use larkspring_standin::weights::Faults as WeightFaults;
use serde_json::{json, Value};
use smol::Timer;

use crate::args::{ExperimentArgs, Profile, Scenario};
use crate::deployment::{Deployment, DeploymentSpec, DEV_KEY};
use crate::load::arrivals::{fewest_loads, Arrival, Workload};
use crate::load::client::Destination;
use crate::load::report::Report;
use crate::load::send_load;
use crate::AnyError;

const ADAPTER_COUNT: usize = 3000;
const ENTRY_COUNT: usize = 3;
const ADAPTER_SLOTS: usize = 8;
const KNEE: usize = 16;
const ZIPF_EXPONENT: f64 = 1.1;
const MEAN_TOKENS: u64 = 100;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a load, in which agents and entries become ready.
const READY_DELAY: Duration = Duration::from_secs(5);
/// Length of the warm-up as a multiple of the measurement's length.
const WARM_UP_RATIO: f64 = 1.0;
/// Fraction of warm-up and measurement after which other adapters become popular.
const SHIFT_FRACTION: f64 = 0.6;
/// Number of the adapter that receives half of the requests in [`Scenario::Hot`].
const HOT_ADAPTER: usize = 17;

/// Sizes and rates of a deployment.
struct ProfileSizes {
    engines: usize,
    rate: f64,
    load_rate: f64,
    load_concurrency: u32,
}

/// Results of a policy.
struct PolicyResult {
    policy: String,
    report: Report,
    loads: u64,
    steps: u64,
    tokens: u64,
}

/// Runs the scenario with each policy, prints the results and writes them to files.
pub fn run(args: &ExperimentArgs) -> Result<(), AnyError> {
    let sizes = sizes(args.profile);
    let (warm_up, arrivals) = arrivals(args, &sizes);
    let all: Vec<_> = warm_up.iter().chain(&arrivals).cloned().collect();
    let slots = sizes.engines * ADAPTER_SLOTS;
    let bound = fewest_loads(&all, slots) - fewest_loads(&warm_up, slots);
    println!("{} requests, {bound} loads at least", arrivals.len());
    let results = exec::run(exec::DEPLOYMENT_THREADS, async {
        let mut results = Vec::new();
        for policy in &args.policies {
            let result =
                measure_policy(args, &sizes, policy, &warm_up, &arrivals).await?;
            println!("{}", result.line());
            results.push(result);
        }
        Ok::<_, AnyError>(results)
    })?;
    let figures = json!({
        "scenario": format!("{:?}", args.scenario),
        "profile": format!("{:?}", args.profile),
        "seed": args.seed,
        "load": args.load,
        "fewest_loads": bound,
        "policies": results.iter().map(PolicyResult::json).collect::<Vec<_>>(),
    });
    if let Some(file) = &args.json {
        std::fs::write(file, serde_json::to_string_pretty(&figures)?)?;
    }
    if let Some(file) = &args.html {
        std::fs::write(file, html::page(&figures))?;
    }
    Ok(())
}

fn sizes(profile: Profile) -> ProfileSizes {
    match profile {
        Profile::Agency => {
            ProfileSizes { engines: 18, rate: 18.0, load_rate: 9.0, load_concurrency: 4 }
        }
        Profile::Delta => {
            ProfileSizes { engines: 12, rate: 9.0, load_rate: 4.0, load_concurrency: 3 }
        }
    }
}

/// Generates the arrivals of the warm-up and of the measurement.
fn arrivals(args: &ExperimentArgs, sizes: &ProfileSizes) -> (Vec<Arrival>, Vec<Arrival>) {
    let factor = if args.scenario == Scenario::Priorities { 2.0 } else { 1.0 };
    let shift = matches!(args.scenario, Scenario::Shift).then_some(SHIFT_FRACTION);
    let workload = Workload {
        rate: sizes.rate * args.load * factor,
        seconds: args.seconds * (1.0 + WARM_UP_RATIO),
        adapters: ADAPTER_COUNT,
        zipf: ZIPF_EXPONENT,
        tokens: MEAN_TOKENS,
        seed: args.seed,
        shift_fraction: shift,
        urgent_percent: if args.scenario == Scenario::Priorities { 10 } else { 0 },
    };
    let mut all = workload.arrivals();
    let start = (args.seconds * WARM_UP_RATIO * 1e6) as u64;
    if args.scenario == Scenario::Hot {
        let half = start + (args.seconds * 0.5e6) as u64;
        let second_half = all.iter_mut().filter(|a| a.at_us >= half);
        second_half.step_by(2).for_each(|a| a.adapter = HOT_ADAPTER);
    }
    if args.scenario == Scenario::ColdStart {
        all.retain(|a| a.at_us >= start);
        shift_back(&mut all, start);
        return (Vec::new(), all);
    }
    let mut measured = all.split_off(all.partition_point(|a| a.at_us < start));
    shift_back(&mut measured, start);
    (all, measured)
}

fn shift_back(arrivals: &mut [Arrival], by: u64) {
    arrivals.iter_mut().for_each(|a| a.at_us -= by);
}

async fn measure_policy(
    args: &ExperimentArgs,
    sizes: &ProfileSizes,
    policy: &str,
    warm_up: &[Arrival],
    arrivals: &[Arrival],
) -> Result<PolicyResult, AnyError> {
    let deployment = Deployment::start(&deployment_spec(args, sizes, policy)).await?;
    Timer::after(READY_DELAY).await;
    let destinations: Vec<_> = deployment
        .entries
        .iter()
        .map(|entry| Destination {
            addr: entry.addr.to_string(),
            key: DEV_KEY.into(),
            keyed: false,
        })
        .collect();
    send_load(warm_up, &destinations, "tenant").await;
    let before = engine_totals(&deployment).await?;
    let restarts = exec::spawn(restart_engines(
        args.scenario,
        engine_addrs(&deployment),
        args.seconds,
    ));
    let report = send_load(arrivals, &destinations, "tenant").await;
    drop(restarts);
    let after = engine_totals(&deployment).await?;
    deployment.stop().await;
    Ok(PolicyResult {
        policy: policy.into(),
        report,
        loads: after.loads - before.loads,
        steps: after.steps - before.steps,
        tokens: after.tokens - before.tokens,
    })
}

fn deployment_spec(
    args: &ExperimentArgs,
    sizes: &ProfileSizes,
    policy: &str,
) -> DeploymentSpec {
    let slowdown = if args.scenario == Scenario::SlowStore { 3.0 } else { 1.0 };
    let load_rate = sizes.load_rate / slowdown;
    let concurrency = sizes.load_concurrency;
    let fail_one_in = if args.scenario == Scenario::FailingLoads { 4 } else { 0 };
    DeploymentSpec {
        port: 0,
        entries: ENTRY_COUNT,
        engines: sizes.engines,
        adapters: ADAPTER_COUNT,
        engine: Faults { slots: ADAPTER_SLOTS, knee: KNEE, ..Faults::default() },
        weights: WeightFaults {
            rate: load_rate,
            concurrency,
            load_ms: (1000.0 * f64::from(concurrency) / load_rate) as u64,
            fail_one_in,
            ..WeightFaults::default()
        },
        entry_settings: format!("  routing: {policy}\n"),
        // The baselines are common policies, so they run with common LRU eviction.
        agent_settings: match policy {
            "predicted" => String::new(),
            _ => "  eviction: lru\n".into(),
        },
        spans: false,
    }
}

/// Restarts the engines one after another, evenly spread over the measurement.
async fn restart_engines(scenario: Scenario, engines: Vec<String>, seconds: f64) {
    if scenario != Scenario::Restarts {
        return;
    }
    let pause = Duration::from_secs_f64(seconds / (engines.len() as f64 + 1.0));
    for addr in engines {
        Timer::after(pause).await;
        if let Ok(req) = request(Method::Post, &addr, "/restart") {
            let _ = fetch(&addr, req, CALL_TIMEOUT).await;
        }
    }
}

fn engine_addrs(deployment: &Deployment) -> Vec<String> {
    let engines = deployment.standins.iter().filter(|(name, _)| *name == "engine");
    engines.map(|(_, served)| served.addr.to_string()).collect()
}

async fn engine_totals(deployment: &Deployment) -> Result<Stats, AnyError> {
    let mut all = Stats::default();
    for addr in engine_addrs(deployment) {
        let req = request(Method::Get, &addr, "/totals")?;
        let (_, body) = fetch(&addr, req, CALL_TIMEOUT).await?;
        let stats: Stats = serde_json::from_slice(&body)?;
        all.loads += stats.loads;
        all.steps += stats.steps;
        all.tokens += stats.tokens;
    }
    Ok(all)
}

impl PolicyResult {
    /// Returns the generated tokens as a fraction of those that the steps could have
    /// generated with [`KNEE`] requests each.
    fn efficiency(&self) -> f64 {
        self.tokens as f64 / (self.steps.max(1) * KNEE as u64) as f64
    }

    fn loads_per_hundred(&self) -> f64 {
        100.0 * self.loads as f64 / self.report.requests().max(1) as f64
    }

    fn line(&self) -> String {
        format!(
            "{:9} loads {:4} ({:.1} a hundred), efficiency {:.3}; {}",
            self.policy,
            self.loads,
            self.loads_per_hundred(),
            self.efficiency(),
            self.report.summary()
        )
    }

    fn json(&self) -> Value {
        let mut figures = self.report.json();
        figures["policy"] = json!(self.policy);
        figures["loads"] = json!(self.loads);
        figures["loads_per_hundred"] = json!(self.loads_per_hundred());
        figures["batch_efficiency"] = json!(self.efficiency());
        figures
    }
}

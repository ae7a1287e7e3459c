//! The command `load`: an open-loop load with a skewed choice of adapters.

pub mod arrivals;
pub mod client;
pub mod report;
pub mod usage;

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring::exec;
use smol::Timer;

use self::arrivals::{Arrival, Workload};
use self::client::Destination;
use self::report::Report;
use self::usage::Usage;
use crate::args::LoadArgs;
use crate::AnyError;

/// Runs a load and prints its results.
pub fn run(args: &LoadArgs) -> Result<(), AnyError> {
    let workload = Workload {
        rate: args.rate,
        seconds: args.seconds,
        adapters: args.adapters,
        zipf: args.zipf,
        tokens: args.tokens,
        seed: args.seed,
        shift_fraction: None,
        urgent_percent: 0,
    };
    let arrivals = workload.arrivals();
    exec::run(exec::DEPLOYMENT_THREADS, async {
        let mut reports = Vec::new();
        if let Some(engine) = &args.engine {
            let direct =
                [Destination { addr: engine.clone(), key: String::new(), keyed: false }];
            reports.push(("direct", send_load(&arrivals, &direct, &args.name).await));
        }
        let entries: Vec<_> = args
            .entry
            .iter()
            .map(|addr| Destination {
                addr: addr.clone(),
                key: args.key.clone(),
                keyed: args.keyed,
            })
            .collect();
        let before = Usage::read_all(&args.watch);
        reports.push(("entry", send_load(&arrivals, &entries, &args.name).await));
        let after = Usage::read_all(&args.watch);
        for (name, report) in &reports {
            println!("{name}: {}", report.summary());
        }
        let chunks = reports.last().map_or(0, |(_, r)| r.chunks);
        for (before, after) in before.iter().zip(&after) {
            println!("{}", after.describe_since(before, chunks));
        }
        if let [(_, direct), (_, entry)] = &reports[..] {
            println!("{}", entry.latency_added_to(direct));
        }
        Ok(())
    })
}

/// Sends each request at its arrival time without waiting for earlier answers, in turn to
/// the destinations, and collects the results.
pub async fn send_load(
    arrivals: &[Arrival],
    destinations: &[Destination],
    name: &str,
) -> Report {
    let start = Instant::now();
    let destinations: Arc<[Destination]> = destinations.into();
    let mut tasks = Vec::new();
    for (n, arrival) in arrivals.iter().cloned().enumerate() {
        Timer::at(start + Duration::from_micros(arrival.at_us)).await;
        let destination = destinations[n % destinations.len()].clone();
        let name = name.to_owned();
        tasks.push(exec::spawn(async move {
            client::send(&destination, &arrival, &name).await
        }));
    }
    let mut report = Report::default();
    for task in tasks {
        report.add(&task.await);
    }
    report.elapsed = start.elapsed();
    report
}

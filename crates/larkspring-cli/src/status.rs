//! The command `status`: the revision in force at each entry.

use std::time::{Duration, Instant};

use http_types::Method;
use larkspring::exec;
use larkspring::http::client::{fetch, request};
use larkspring::operate::{plan, publish};
use larkspring::platform::objects::HttpObjects;
use larkspring_proto::declared::{Adapter, Version};
use serde_json::Value;
use smol::Timer;

use crate::args::StatusArgs;
use crate::AnyError;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Limits the wait until an entry applies a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Prints the revision in force at each entry, or the time that a change takes.
pub fn run(args: &StatusArgs) -> Result<(), AnyError> {
    exec::run(exec::DEPLOYMENT_THREADS, async {
        match &args.time_change {
            Some(objects) => time_change(&args.entry, objects).await,
            None => print_revisions(&args.entry).await,
        }
    })
}

async fn print_revisions(entries: &[String]) -> Result<(), AnyError> {
    let mut revisions = Vec::new();
    for addr in entries {
        match fetch_health(addr).await {
            Ok(health) => {
                let revision = health["revision"].as_u64().unwrap_or(0);
                println!(
                    "{addr}: revision {revision}, holds {} of the keys' partitions",
                    health["key_partitions"]
                );
                revisions.push(revision);
            }
            Err(e) => println!("{addr}: {e}"),
        }
    }
    let newest = revisions.iter().max().copied().unwrap_or(0);
    let there = revisions.iter().filter(|r| **r == newest).count();
    println!("revision {newest} is in force on {there} of {}", entries.len());
    match there == entries.len() {
        true => Ok(()),
        false => Err("some entries have not applied the newest revision".into()),
    }
}

/// Adds an adapter and prints the time until the entries apply the change.
async fn time_change(entries: &[String], objects: &str) -> Result<(), AnyError> {
    let api = HttpObjects::new(objects, CALL_TIMEOUT);
    let (present, mut all) = plan::read_current(&api).await?;
    let name = format!("probe-{:08x}", fastrand::u32(..));
    all.adapters.push(Adapter {
        name: name.clone(),
        base: "base".into(),
        versions: vec![Version { name: "v1".into(), ..Version::default() }],
        default_version: "v1".into(),
        ..Adapter::default()
    });
    let revision = publish::publish(&api, &present, &all, &name).await?;
    let accepted = Instant::now();
    let waits = entries.iter().cloned().map(|addr| {
        exec::spawn(async move {
            while accepted.elapsed() < CHANGE_TIMEOUT {
                let health = fetch_health(&addr).await.unwrap_or_default();
                if health["revision"].as_u64().is_some_and(|r| r >= revision) {
                    return Some(accepted.elapsed());
                }
                Timer::after(POLL_INTERVAL).await;
            }
            None
        })
    });
    let waits: Vec<_> = waits.collect();
    let mut times = Vec::new();
    for wait in waits {
        times.push(wait.await.ok_or("an entry did not apply the change within 60 s")?);
    }
    times.sort();
    let last = times.len() - 1;
    println!("{} {}", times[last / 2].as_millis(), times[last].as_millis());
    Ok(())
}

async fn fetch_health(addr: &str) -> Result<Value, AnyError> {
    let req = request(Method::Get, addr, "/health")?;
    let (_, body) = fetch(addr, req, CALL_TIMEOUT).await?;
    Ok(serde_json::from_slice(&body)?)
}

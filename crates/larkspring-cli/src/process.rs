//! The processes: settings, log, run until asked to stop.

use larkspring::agent::Agent;
use larkspring::entry::Entry;
use larkspring::settings::{self, Settings};
use larkspring::telemetry::{start_log, LogGuard, LogTo};
use larkspring::{exec, stop};

use crate::args::ProcessArgs;
use crate::AnyError;

/// Runs an entry until asked to stop; its address is printed first.
pub fn entry(args: &ProcessArgs) -> Result<(), AnyError> {
    let (settings, _log) = prepare(args)?;
    exec::run(settings.threads, async {
        let entry = Entry::start(&settings).await?;
        println!("{}", entry.addr);
        stop_requested().await;
        entry.stop().await;
        Ok(())
    })
}

/// Runs an agent until asked to stop; its address is printed first.
pub fn agent(args: &ProcessArgs) -> Result<(), AnyError> {
    let (settings, _log) = prepare(args)?;
    exec::run(settings.threads, async {
        let agent = Agent::start(&settings).await?;
        println!("{}", agent.addr);
        stop_requested().await;
        agent.stop().await;
        Ok(())
    })
}

/// Waits for the signal to stop; without signals the process runs on.
pub async fn stop_requested() {
    if stop::requested().await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn prepare(args: &ProcessArgs) -> Result<(Settings, LogGuard), AnyError> {
    let settings = settings::load(&args.settings)?;
    let cfg = &settings.telemetry;
    let log = start_log(&settings.vm, cfg.level, cfg.spans, LogTo::Stdout);
    Ok((settings, log))
}

//! The processes: settings, log, run until asked to stop.

use larkspring::settings::{self, Settings};
use larkspring::{agent, entry, exec, stop, telemetry};

use crate::args::ProcessArgs;
use crate::AnyError;

/// Runs an entry.
pub fn entry(args: &ProcessArgs) -> Result<(), AnyError> {
    let settings = prepare(args)?;
    exec::run(settings.threads, async {
        entry::run(&settings, stop_requested()).await?;
        Ok(())
    })
}

/// Runs an agent.
pub fn agent(args: &ProcessArgs) -> Result<(), AnyError> {
    let settings = prepare(args)?;
    exec::run(settings.threads, async {
        agent::run(&settings, stop_requested()).await?;
        Ok(())
    })
}

/// Waits for the signal to stop; without signals the process runs on.
pub async fn stop_requested() {
    if stop::requested().await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn prepare(args: &ProcessArgs) -> Result<Settings, AnyError> {
    let settings = settings::load(&args.settings)?;
    telemetry::start_log(&settings.telemetry);
    Ok(settings)
}

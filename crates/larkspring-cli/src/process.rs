//! The commands `entry` and `agent`, which run one process with settings from a file.

use larkspring::agent::Agent;
use larkspring::entry::Entry;
use larkspring::settings::{self, Settings};
use larkspring::telemetry::{start_log, LogGuard, LogOutput};
use larkspring::{exec, signals};

use crate::args::ProcessArgs;
use crate::AnyError;

/// Prints the address of an entry and runs it until a signal stops it.
pub fn entry(args: &ProcessArgs) -> Result<(), AnyError> {
    let (settings, _log) = prepare(args)?;
    exec::run(settings.threads, async {
        let entry = Entry::start(&settings).await?;
        println!("{}", entry.addr);
        wait_for_stop().await;
        entry.stop().await;
        Ok(())
    })
}

/// Prints the address of an agent and runs it until a signal stops it.
pub fn agent(args: &ProcessArgs) -> Result<(), AnyError> {
    let (settings, _log) = prepare(args)?;
    exec::run(settings.threads, async {
        let agent = Agent::start(&settings).await?;
        println!("{}", agent.addr);
        wait_for_stop().await;
        agent.stop().await;
        Ok(())
    })
}

/// Waits for the signal to stop, or forever if signals can't be received.
pub async fn wait_for_stop() {
    if signals::wait_for_stop_signal().await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn prepare(args: &ProcessArgs) -> Result<(Settings, LogGuard), AnyError> {
    let settings = settings::load(&args.settings)?;
    let cfg = &settings.telemetry;
    let log = start_log(&settings.vm, cfg.level, cfg.spans, LogOutput::Stdout);
    Ok((settings, log))
}

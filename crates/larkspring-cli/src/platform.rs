//! The processes on the users' platform: settings by its adapter, run until asked to stop.

use std::sync::Arc;
use std::time::Duration;

use larkspring::direct::agent::Agent;
use larkspring::direct::entry::Entry;
use larkspring::exec;
use larkspring::telemetry::{start_log, LogTo};
use larkspring_platform::protocol::Wire;
use larkspring_platform::settings::Settings;
use larkspring_platform::store::Store;

use crate::process::stop_requested;
use crate::AnyError;

/// Threads of a process: each has a fifth of a core.
const THREADS: u32 = 1;
/// Time for a call to the platform's store, which answers in a few milliseconds; slow
/// ones were seen to take a hundred times as long.
const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Runs an entry until asked to stop.
pub fn entry() -> Result<(), AnyError> {
    let settings = Settings::load()?;
    let cfg = settings.entry()?;
    let _log = start_log(cfg.process.log_level, false, LogTo::Stdout);
    let store = Arc::new(Store::new(settings.store(), STORE_TIMEOUT));
    exec::run(THREADS, async {
        let entry = Entry::start(cfg, Arc::new(Wire), store).await?;
        stop_requested().await;
        entry.stop().await;
        Ok(())
    })
}

/// Runs an agent until asked to stop.
pub fn agent() -> Result<(), AnyError> {
    let settings = Settings::load()?;
    let cfg = settings.agent()?;
    let _log = start_log(cfg.process.log_level, false, LogTo::Stdout);
    exec::run(THREADS, async {
        let agent = Agent::start(cfg, Arc::new(Wire)).await?;
        stop_requested().await;
        agent.stop().await;
        Ok(())
    })
}

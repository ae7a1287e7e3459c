//! Processes on the users' platform, whose settings the platform provides.

use std::sync::Arc;
use std::time::Duration;

use larkspring::direct::agent::Agent;
use larkspring::direct::cfg::{AgentCfg, EntryCfg};
use larkspring::direct::entry::Entry;
use larkspring::exec::{self, with_timeout};
use larkspring::signals::{SignalAction, SignalStream};
use larkspring::telemetry::{start_log, LogOutput};
use larkspring_platform::protocol::PlatformProtocol;
use larkspring_platform::settings::{Settings, SettingsError};
use larkspring_platform::store::Store;

use crate::args::{PlatformArgs, PlatformEntryArgs};
use crate::AnyError;

/// Number of threads of a process, which has a fifth of a core.
const THREADS: u32 = 1;
/// Limits a call to the platform's store. The store usually answers within a few
/// milliseconds, but may take a hundred times as long.
const STORE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval of the checks of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Runs an entry until a signal stops it.
pub fn entry(args: &PlatformEntryArgs) -> Result<(), AnyError> {
    let settings = Settings::load()?;
    let placement = args.placement.into();
    let max_followed_agents = args.max_followed_agents;
    let disabled_mechanisms = args.process.without();
    let entry_cfg = |settings: &Settings| {
        let cfg = settings.entry()?;
        let cfg = EntryCfg { max_followed_agents, ..cfg };
        Ok::<_, SettingsError>(EntryCfg { placement, disabled_mechanisms, ..cfg })
    };
    let cfg = entry_cfg(&settings)?;
    let _log =
        start_log(&cfg.process.vm, args.process.log_level, false, LogOutput::Stdout);
    let store = Arc::new(open_store(&settings));
    exec::run(THREADS, async {
        let signals = SignalStream::new()?;
        let protocol = Arc::new(PlatformProtocol);
        let (state, versions, builds) = (store.clone(), store.clone(), store);
        let entry = Entry::start(cfg, protocol, state, versions, builds).await?;
        let reload = |settings: &Settings| {
            entry.reload(entry_cfg(settings)?);
            Ok(())
        };
        until_stopped(signals, settings, reload).await;
        entry.stop().await;
        Ok(())
    })
}

/// Runs an agent until a signal stops it.
pub fn agent(args: &PlatformArgs) -> Result<(), AnyError> {
    let settings = Settings::load()?;
    let cfg = AgentCfg { disabled_mechanisms: args.without(), ..settings.agent()? };
    let _log = start_log(&cfg.process.vm, args.log_level, false, LogOutput::Stdout);
    let store = Arc::new(open_store(&settings));
    exec::run(THREADS, async {
        let signals = SignalStream::new()?;
        let agent =
            Agent::start(cfg, Arc::new(PlatformProtocol), store.clone(), store).await?;
        // No setting of an agent can change at run time: new settings are only validated.
        let reload = |settings: &Settings| settings.agent().map(drop);
        until_stopped(signals, settings, reload).await;
        agent.stop().await;
        Ok(())
    })
}

fn open_store(settings: &Settings) -> Store {
    Store::new(settings.store(), STORE_TIMEOUT)
        .with_max_held_bytes(settings.max_store_bytes())
}

/// Waits for the signal to stop and meanwhile applies changed settings. Invalid settings
/// are logged, and the earlier ones stay in force.
async fn until_stopped(
    mut signals: SignalStream,
    mut current: Settings,
    reload: impl Fn(&Settings) -> Result<(), SettingsError>,
) {
    loop {
        let signalled = match with_timeout(SETTINGS_CHECK_INTERVAL, signals.next()).await
        {
            Some(SignalAction::Stop) => return,
            Some(SignalAction::Reload) => true,
            None => false,
        };
        let loaded = Settings::load();
        if !signalled
            && loaded.as_ref().is_ok_and(|settings| settings.is_same_text(&current))
        {
            continue;
        }
        let outcome = loaded.and_then(|settings| {
            reload(&settings)?;
            Ok(settings)
        });
        match outcome {
            Ok(settings) => {
                let changed = !settings.is_same_text(&current);
                tracing::info!(
                    event = "reload",
                    outcome = "in force",
                    changed,
                    signalled
                );
                current = settings;
            }
            Err(e) => {
                let outcome = "refused, the earlier settings stay in force";
                tracing::error!(event = "reload", outcome, cause = %e, signalled);
            }
        }
    }
}

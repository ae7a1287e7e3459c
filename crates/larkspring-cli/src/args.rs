//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// A serving layer for very many LoRA adapters.
///
/// Exit codes: 0 done, 1 refused or failed (one line for each fault), 2 wrong usage.
#[derive(Debug, Parser)]
#[command(name = "larkspring", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The processes and operator commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the process that callers reach.
    Entry(ProcessArgs),
    /// Run the process beside one endpoint.
    Agent(ProcessArgs),
    /// Check settings and declarations without changing anything.
    Check(CheckArgs),
    /// Make a folder of declarations the declared state.
    Apply(ApplyArgs),
    /// Run entries, agents and stand-ins in this process, on loopback.
    Dev(DevArgs),
    /// Run one stand-in of an outside system, for trials and tests.
    Standin(StandinArgs),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Arguments of a process.
#[derive(Debug, Args)]
pub struct ProcessArgs {
    /// Settings in YAML.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// Settings in YAML.
    #[arg(long, value_name = "FILE")]
    pub settings: Vec<PathBuf>,
    /// Folders of declarations in YAML.
    #[arg(long, value_name = "DIR")]
    pub declarations: Vec<PathBuf>,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// Folder of declarations in YAML.
    pub declarations: PathBuf,
    /// Address of the object API.
    #[arg(long, value_name = "ADDR")]
    pub objects: SocketAddr,
    /// Id of the change; the same id is accepted just once.
    #[arg(long)]
    pub change: Option<String>,
}

/// Arguments of `dev`.
#[derive(Debug, Args)]
pub struct DevArgs {
    /// Port of the first entry; 0 lets the system choose.
    #[arg(long, default_value_t = 8080)]
    pub port: u16,
    /// Number of entries.
    #[arg(long, default_value_t = 2)]
    pub entries: usize,
    /// Number of engines, each with its agent.
    #[arg(long, default_value_t = 3)]
    pub engines: usize,
    /// Number of adapters, named `tenant-0000` and so on.
    #[arg(long, default_value_t = 100)]
    pub adapters: usize,
    /// Adapter slots of each engine.
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// Write spans to the log.
    #[arg(long)]
    pub spans: bool,
}

/// Arguments of `standin`.
#[derive(Debug, Args)]
pub struct StandinArgs {
    /// Which system.
    pub kind: StandinKind,
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address of the weight store, for an engine.
    #[arg(long)]
    pub weights: Option<String>,
}

/// The outside systems that have a stand-in.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum StandinKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// The object API.
    Objects,
    /// The VM list.
    Vms,
    /// The weight store.
    Weights,
}

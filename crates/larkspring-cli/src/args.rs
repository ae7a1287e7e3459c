//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use larkspring_core::fleet::choose::Placement;
use larkspring_core::fleet::mechanisms::{Mechanism, Without};
use larkspring_core::ids::ContentHash;

use crate::quarantine::read_content;

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
    /// Run, on the users' platform, the process that callers reach.
    PlatformEntry(PlatformEntryArgs),
    /// Run, on the users' platform, the process beside one model engine.
    PlatformAgent(PlatformArgs),
    /// Print what log lines tell of one request, in order, with the beliefs behind it.
    Explain(ExplainArgs),
    /// Print where the time of all requests went, from log lines.
    Summary(SummaryArgs),
    /// List, lift or forbid requests that are refused since endpoints ended under them.
    Quarantine(QuarantineArgs),
    /// Check settings and declarations without changing anything.
    Check(CheckArgs),
    /// Ask an entry what a folder of declarations would change.
    Plan(PlanArgs),
    /// Put a plan into effect; twice is the same as once.
    Confirm(ConfirmArgs),
    /// Print what is in force at entries.
    Status(StatusArgs),
    /// Print the declared state, its revision and its last changes.
    Export(OperatorArgs),
    /// Make a folder of declarations the declared state at once, past plan and entries.
    Apply(ApplyArgs),
    /// Run entries, agents and stand-ins in this process, on loopback.
    Dev(DevArgs),
    /// Send an open-loop load to entries and print what came of it.
    Load(LoadArgs),
    /// Run a named scenario with each policy on the real path, and write a report.
    Experiment(ExperimentArgs),
    /// Print what the choice of an endpoint costs, by adapters and by endpoints.
    Decisions,
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

/// Arguments of a process on the users' platform, whose settings come from there.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// Least important log lines that are written.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub log_level: tracing::Level,
    /// Mechanisms that are switched off, to measure what they are worth.
    #[arg(long, value_enum, value_name = "LIST", value_delimiter = ',')]
    pub without: Vec<MechanismArg>,
}

/// Arguments of `quarantine`.
#[derive(Debug, Args)]
pub struct QuarantineArgs {
    /// Address of the platform's store.
    #[arg(long, value_name = "ADDR")]
    pub store: SocketAddr,
    /// What to do.
    #[command(subcommand)]
    pub step: QuarantineStep,
}

/// What is done with refused requests.
#[derive(Debug, Subcommand)]
pub enum QuarantineStep {
    /// Print the content of each, as log lines write it.
    List,
    /// Serve one again; agents see it within half a minute.
    Lift {
        /// Its content, as log lines write it.
        #[arg(value_parser = read_content)]
        content: ContentHash,
    },
    /// Refuse one; agents that refuse any see it within half a minute, others as they start.
    Forbid {
        /// Its content, as log lines write it.
        #[arg(value_parser = read_content)]
        content: ContentHash,
    },
}

/// Arguments of an entry on the users' platform.
#[derive(Debug, Args)]
pub struct PlatformEntryArgs {
    /// What every process takes.
    #[command(flatten)]
    pub process: PlatformArgs,
    /// How requests are placed; all but the first are baselines for measurements.
    #[arg(long, value_enum, default_value_t = PlacementArg::Cost)]
    pub placement: PlacementArg,
}

/// A way to place requests.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum PlacementArg {
    /// By the least cost.
    Cost,
    /// Any endpoint.
    Random,
    /// The endpoint with the fewest requests.
    Least,
    /// The home of the adapter, whatever its load.
    Home,
}

impl From<PlacementArg> for Placement {
    fn from(arg: PlacementArg) -> Self {
        match arg {
            PlacementArg::Cost => Self::Cost,
            PlacementArg::Random => Self::Random,
            PlacementArg::Least => Self::Least,
            PlacementArg::Home => Self::Home,
        }
    }
}

/// A mechanism of the decisions.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum MechanismArg {
    /// One home an adapter.
    HomeRank,
    /// Knowing what engines held lately.
    Copies,
    /// Adapters loaded ahead of requests.
    CopyAhead,
    /// Unread prompts told by agents.
    UnreadTold,
    /// Fewer requests to endpoints that failed of late.
    Quality,
    /// Waiting a while for an endpoint.
    Patience,
    /// Loads in the order of what the answers are worth.
    WorthOrder,
    /// Answers to longer prompts worth more.
    WorthBySize,
    /// Prompts read in the order of what each takes from the others.
    ReadingOrder,
    /// Fetches that wait while the weight store is full.
    PacedFetches,
    /// Adapters in use kept from new requests.
    Retiring,
}

impl From<MechanismArg> for Mechanism {
    fn from(arg: MechanismArg) -> Self {
        match arg {
            MechanismArg::HomeRank => Self::HomeRank,
            MechanismArg::Copies => Self::Copies,
            MechanismArg::CopyAhead => Self::CopyAhead,
            MechanismArg::UnreadTold => Self::UnreadTold,
            MechanismArg::Quality => Self::Quality,
            MechanismArg::Patience => Self::Patience,
            MechanismArg::WorthOrder => Self::WorthOrder,
            MechanismArg::WorthBySize => Self::WorthBySize,
            MechanismArg::ReadingOrder => Mechanism::ReadingOrder,
            MechanismArg::PacedFetches => Self::PacedFetches,
            MechanismArg::Retiring => Self::Retiring,
        }
    }
}

impl PlatformArgs {
    /// The mechanisms that are switched off.
    pub fn without(&self) -> Without {
        self.without.iter().map(|arg| Mechanism::from(*arg)).collect()
    }
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Id of the request, as in its answer.
    pub id: String,
    /// Log files of processes; standard input if none is named.
    pub logs: Vec<PathBuf>,
}

/// Arguments of `summary`.
#[derive(Debug, Args)]
pub struct SummaryArgs {
    /// Log files of processes; standard input if none is named.
    pub logs: Vec<PathBuf>,
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

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Address of an entry; may be given several times.
    #[arg(long, required = true)]
    pub entry: Vec<String>,
    /// Address of an engine that is first sent the same load directly.
    #[arg(long)]
    pub engine: Option<String>,
    /// Key of the caller.
    #[arg(long, default_value = "dev-key")]
    pub key: String,
    /// Requests a second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Length in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Number of adapters, named `NAME-0000` and so on.
    #[arg(long, default_value_t = 100)]
    pub adapters: usize,
    /// First part of the adapters' names.
    #[arg(long, default_value = "tenant")]
    pub name: String,
    /// Exponent of the skew.
    #[arg(long, default_value_t = 1.0)]
    pub zipf: f64,
    /// Mean number of tokens of an answer.
    #[arg(long, default_value_t = 16)]
    pub tokens: u64,
    /// Seed of everything drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Send each request as one that runs at most once, with a key of its own.
    #[arg(long)]
    pub keyed: bool,
    /// Process whose processor time and memory are printed; may be given several times.
    #[arg(long)]
    pub watch: Vec<u32>,
}

/// Arguments of `experiment`.
#[derive(Debug, Args)]
pub struct ExperimentArgs {
    /// The scenario.
    pub scenario: Scenario,
    /// The deployment whose sizes are taken.
    #[arg(long, default_value = "agency")]
    pub profile: Profile,
    /// Length in seconds for each policy.
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,
    /// Load as a multiple of the profile's usual one.
    #[arg(long, default_value_t = 1.0)]
    pub load: f64,
    /// Seed of everything drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Policies, of predicted, random, least and hash.
    #[arg(long, value_delimiter = ',', default_value = "predicted,random,least,hash")]
    pub policies: Vec<String>,
    /// File for the figures as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// File for the report as HTML with plots.
    #[arg(long)]
    pub html: Option<PathBuf>,
}

/// Named scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The same popular adapters all the time.
    Steady,
    /// Other adapters become popular half way.
    Shift,
    /// All engines start with nothing loaded, under full load.
    ColdStart,
    /// One adapter takes half of the requests from half way on.
    Hot,
    /// Each engine restarts once.
    Restarts,
    /// One load in four fails.
    FailingLoads,
    /// The weight store gives a third of its rate.
    SlowStore,
    /// Urgent requests among bulk at twice the usual load.
    Priorities,
}

/// Deployments whose sizes an experiment takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Profile {
    /// 18 engines, 9 loads a second, 4 at once; weighs load stalls.
    Agency,
    /// 12 engines, 4 loads a second, 3 at once; weighs batch efficiency.
    Delta,
}

/// How an operator reaches an entry.
#[derive(Debug, Args)]
pub struct OperatorArgs {
    /// Address of an entry for operators.
    #[arg(long, value_name = "ADDR")]
    pub operator: String,
    /// File with the operators' key.
    #[arg(long, value_name = "FILE")]
    pub key_file: PathBuf,
}

/// Arguments of `plan`.
#[derive(Debug, Args)]
pub struct PlanArgs {
    /// Folder of declarations in YAML.
    pub declarations: PathBuf,
    /// The entry.
    #[command(flatten)]
    pub to: OperatorArgs,
}

/// Arguments of `confirm`.
#[derive(Debug, Args)]
pub struct ConfirmArgs {
    /// Id of the plan.
    pub plan: String,
    /// The entry; any one will do.
    #[command(flatten)]
    pub to: OperatorArgs,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Address of an entry for callers; may be given several times.
    #[arg(long, required = true)]
    pub entry: Vec<String>,
    /// Address of the object API: makes a small change and prints how long it takes to be
    /// in force, p50 and the longest, in milliseconds.
    #[arg(long, value_name = "ADDR")]
    pub time_change: Option<String>,
}

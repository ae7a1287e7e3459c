//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use larkspring_core::fleet::choose::PlacementPolicy;
use larkspring_core::fleet::following::MAX_FOLLOWED_AGENTS;
use larkspring_core::fleet::mechanisms::{DisabledMechanisms, Mechanism};
use larkspring_core::quarantine::Feature;

/// A serving layer for very many LoRA adapters.
///
/// Exit codes: 0 success, 1 refused or failed (one line per error), 2 wrong usage.
#[derive(Debug, Parser)]
#[command(name = "larkspring", version)]
pub struct Cli {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The processes and operator commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry: the process that receives callers' requests.
    Entry(ProcessArgs),
    /// Run an agent: the process beside one endpoint.
    Agent(ProcessArgs),
    /// Run an entry on the users' platform.
    PlatformEntry(PlatformEntryArgs),
    /// Run an agent beside one model engine on the users' platform.
    PlatformAgent(PlatformArgs),
    /// Print the log lines about one request by time, with the state changes before it.
    Explain(ExplainArgs),
    /// Print tables of latencies, refusals and adapter loads, computed from log lines.
    Summary(SummaryArgs),
    /// List, lift or add quarantined requests, refused because endpoints crashed
    /// while they served them.
    Quarantine(QuarantineArgs),
    /// Validate settings and declarations without changing anything.
    Check(CheckArgs),
    /// Ask an entry which changes a folder of declarations would make.
    Plan(PlanArgs),
    /// Apply a plan; confirming it again has no further effect.
    Confirm(ConfirmArgs),
    /// Print the revision in force at each entry.
    Status(StatusArgs),
    /// Print the declared state, its revision and its last changes.
    Export(OperatorArgs),
    /// Publish a folder of declarations as the declared state, without plan or entry.
    Apply(ApplyArgs),
    /// Run entries, agents and stand-ins in this process, on loopback.
    Dev(DevArgs),
    /// Send an open-loop load to entries and print outcomes and latencies.
    Load(LoadArgs),
    /// Run a named scenario with each routing policy on a local deployment and write a
    /// report.
    Experiment(ExperimentArgs),
    /// Measure the time to choose an endpoint, by numbers of adapters and endpoints.
    Decisions,
    /// Run one stand-in of an outside system, for experiments and tests.
    Standin(StandinArgs),
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Arguments of `entry` and `agent`.
#[derive(Debug, Args)]
pub struct ProcessArgs {
    /// Settings in YAML.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Arguments of a process on the users' platform, which provides its settings.
#[derive(Debug, Args)]
pub struct PlatformArgs {
    /// Minimum level of the log lines that are written.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub log_level: tracing::Level,
    /// Mechanisms to disable, in order to measure their effect.
    #[arg(long, value_enum, value_name = "LIST", value_delimiter = ',')]
    pub without: Vec<MechanismArg>,
}

/// Arguments of `quarantine`.
#[derive(Debug, Args)]
pub struct QuarantineArgs {
    /// Address of the platform's store.
    #[arg(long, value_name = "ADDR")]
    pub store: SocketAddr,
    /// The operation.
    #[command(subcommand)]
    pub step: QuarantineStep,
}

/// An operation on quarantined requests.
#[derive(Debug, Subcommand)]
pub enum QuarantineStep {
    /// Print the name of each quarantined request and prompt part.
    List,
    /// Serve such requests again; agents apply this within 30 s.
    Lift {
        /// What is quarantined, as in log lines: a request by the 16 hexadecimal digits
        /// of its content, a prompt part as part-ID.
        feature: Feature,
    },
    /// Refuse such requests; agents that already refuse any apply this within 30 s, others
    /// when they start.
    Forbid {
        /// What is quarantined, as in log lines: a request by the 16 hexadecimal digits
        /// of its content, a prompt part as part-ID.
        feature: Feature,
    },
}

/// Arguments of an entry on the users' platform.
#[derive(Debug, Args)]
pub struct PlatformEntryArgs {
    /// Arguments of every process on the platform.
    #[command(flatten)]
    pub process: PlatformArgs,
    /// Policy for choosing an endpoint; all but `cost` are baselines for measurements.
    #[arg(long, value_enum, default_value_t = PlacementArg::Cost)]
    pub placement: PlacementArg,
    /// Largest number of agents that the entry stays connected to without using them.
    #[arg(long, default_value_t = MAX_FOLLOWED_AGENTS)]
    pub max_followed_agents: usize,
}

/// A policy for choosing the endpoint of a request.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum PlacementArg {
    /// The endpoint with the lowest expected cost.
    Cost,
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest requests.
    Least,
    /// The home endpoint of the adapter, whatever its load.
    Home,
}

impl From<PlacementArg> for PlacementPolicy {
    fn from(arg: PlacementArg) -> Self {
        match arg {
            PlacementArg::Cost => Self::LeastCost,
            PlacementArg::Random => Self::Random,
            PlacementArg::Least => Self::FewestRequests,
            PlacementArg::Home => Self::HomeEndpoint,
        }
    }
}

/// A mechanism of routing or scheduling that can be disabled.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum MechanismArg {
    /// Sending an adapter that no engine holds to its home endpoint.
    HomeRank,
    /// Expecting shorter loads where an engine held the adapter recently.
    Copies,
    /// Loading adapters ahead of requests.
    CopyAhead,
    /// Prefill backlogs reported by agents.
    UnreadTold,
    /// Sending fewer requests to endpoints that failed recently.
    Quality,
    /// Letting a request wait for an endpoint before it is refused.
    Patience,
    /// Loading adapters in the order of the utility of the answers.
    WorthOrder,
    /// Higher utility for answers to longer prompts.
    WorthBySize,
    /// Prefill in the order of the cost of each prompt to the other requests.
    ReadingOrder,
    /// Holding fetches back at the agents while the weight store is saturated.
    PacedFetches,
    /// Closing an adapter in use to new requests when others wait for its slot.
    Retiring,
}

impl From<MechanismArg> for Mechanism {
    fn from(arg: MechanismArg) -> Self {
        match arg {
            MechanismArg::HomeRank => Self::HomeRank,
            MechanismArg::Copies => Self::HostCopies,
            MechanismArg::CopyAhead => Self::LoadAhead,
            MechanismArg::UnreadTold => Self::BacklogReports,
            MechanismArg::Quality => Self::Quality,
            MechanismArg::Patience => Self::EndpointWait,
            MechanismArg::WorthOrder => Self::UtilityOrder,
            MechanismArg::WorthBySize => Self::UtilityBySize,
            MechanismArg::ReadingOrder => Mechanism::PrefillOrder,
            MechanismArg::PacedFetches => Self::PacedFetches,
            MechanismArg::Retiring => Self::Retiring,
        }
    }
}

impl PlatformArgs {
    /// Returns the mechanisms to disable.
    pub fn without(&self) -> DisabledMechanisms {
        self.without.iter().map(|arg| Mechanism::from(*arg)).collect()
    }
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Id of the request, as in its answer.
    pub id: String,
    /// Log files of processes; standard input if omitted.
    pub logs: Vec<PathBuf>,
}

/// Arguments of `summary`.
#[derive(Debug, Args)]
pub struct SummaryArgs {
    /// Log files of processes; standard input if omitted.
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
    /// Id of the change; a change with the same id is accepted only once.
    #[arg(long)]
    pub change: Option<String>,
}

/// Arguments of `dev`.
#[derive(Debug, Args)]
pub struct DevArgs {
    /// Port of the first entry; 0 for any free port.
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
    /// The system to stand in for.
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
    /// Address of an engine that first receives the same load directly, for comparison.
    #[arg(long)]
    pub engine: Option<String>,
    /// Key of the caller.
    #[arg(long, default_value = "dev-key")]
    pub key: String,
    /// Requests per second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Length in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Number of adapters, named `NAME-0000` and so on.
    #[arg(long, default_value_t = 100)]
    pub adapters: usize,
    /// Prefix of the adapters' names.
    #[arg(long, default_value = "tenant")]
    pub name: String,
    /// Exponent of the Zipf distribution over adapters.
    #[arg(long, default_value_t = 1.0)]
    pub zipf: f64,
    /// Mean number of tokens of an answer.
    #[arg(long, default_value_t = 16)]
    pub tokens: u64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Send each request with its own idempotency key, to run at most once.
    #[arg(long)]
    pub keyed: bool,
    /// Id of a process whose CPU time and memory are printed; may be given several times.
    #[arg(long)]
    pub watch: Vec<u32>,
}

/// Arguments of `experiment`.
#[derive(Debug, Args)]
pub struct ExperimentArgs {
    /// The scenario.
    pub scenario: Scenario,
    /// The deployment whose sizes are used.
    #[arg(long, default_value = "agency")]
    pub profile: Profile,
    /// Length in seconds for each policy.
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,
    /// Load as a multiple of the profile's usual load.
    #[arg(long, default_value_t = 1.0)]
    pub load: f64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Routing policies: predicted, random, least or hash.
    #[arg(long, value_delimiter = ',', default_value = "predicted,random,least,hash")]
    pub policies: Vec<String>,
    /// File for the results as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// File for the report as HTML with plots.
    #[arg(long)]
    pub html: Option<PathBuf>,
}

/// A load with its faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The popularity of adapters stays the same.
    Steady,
    /// Other adapters become popular in the course of the measurement.
    Shift,
    /// All engines start without adapters, under full load.
    ColdStart,
    /// One adapter receives half of the requests in the second half.
    Hot,
    /// Each engine restarts once.
    Restarts,
    /// One load in four fails.
    FailingLoads,
    /// The weight store has a third of its usual rate.
    SlowStore,
    /// Urgent requests among others at twice the usual load.
    Priorities,
}

/// A deployment whose sizes an experiment uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Profile {
    /// 18 engines, 9 loads per second, 4 at a time; for the study of load stalls.
    Agency,
    /// 12 engines, 4 loads per second, 3 at a time; for the study of batch efficiency.
    Delta,
}

/// Address and key for an entry's operator API.
#[derive(Debug, Args)]
pub struct OperatorArgs {
    /// Operator address of an entry.
    #[arg(long, value_name = "ADDR")]
    pub operator: String,
    /// File that contains the operators' key.
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
    /// The entry; any entry accepts the plan.
    #[command(flatten)]
    pub to: OperatorArgs,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Caller address of an entry; may be given several times.
    #[arg(long, required = true)]
    pub entry: Vec<String>,
    /// Address of the object API: makes a small change and prints the time until entries
    /// apply it, p50 and maximum, in milliseconds.
    #[arg(long, value_name = "ADDR")]
    pub time_change: Option<String>,
}

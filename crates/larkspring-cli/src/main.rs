//! The `larkspring` program: parses the command line and runs a process or a command.

mod args;
mod decisions;
mod deployment;
mod dev;
mod experiment;
mod explain;
mod load;
mod operate;
mod platform;
mod process;
mod quarantine;
mod standin;
mod status;
mod summary;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use self::args::{Cli, Command};

/// Exit code of a command that refuses its input or fails.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// An error that ends the program. Only its text is printed.
type AnyError = Box<dyn std::error::Error>;

fn run(cli: Cli) -> Result<(), AnyError> {
    match cli.command {
        Command::Entry(args) => process::entry(&args),
        Command::Agent(args) => process::agent(&args),
        Command::PlatformEntry(args) => platform::entry(&args),
        Command::PlatformAgent(args) => platform::agent(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Summary(args) => summary::run(&args),
        Command::Quarantine(args) => quarantine::run(&args),
        Command::Check(args) => operate::check(&args),
        Command::Plan(args) => operate::plan(&args),
        Command::Confirm(args) => operate::confirm(&args),
        Command::Status(args) => status::run(&args),
        Command::Export(args) => operate::export(&args),
        Command::Apply(args) => operate::apply(&args),
        Command::Dev(args) => dev::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Experiment(args) => experiment::run(&args),
        Command::Decisions => decisions::run(),
        Command::Standin(args) => standin::run(&args),
        Command::Completions { shell } => {
            let mut cmd = Cli::command();
            clap_complete::generate(
                shell,
                &mut cmd,
                "larkspring",
                &mut std::io::stdout(),
            );
            Ok(())
        }
    }
}

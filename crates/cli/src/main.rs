//! The program `shalewall`: the service, its directors on the platform, its administration API and store, and
//! scripted days.
//!
//! `args` defines the arguments, `commands` the commands, and `error` their errors. Exit codes: 0 success, 1 a rule of
//! a scripted day is broken, 2 invalid input or another failure.

mod args;
mod commands;
mod error;

use args::{Cli, Command, DayCommand};
use clap::Parser;
use error::CliError;
use std::process::ExitCode;

/// Exit code if a rule of a day is broken.
const EXIT_RULE_BROKEN: u8 = 1;
/// Exit code for invalid input and other failures.
const EXIT_FAILURE: u8 = 2;

/// The result of a command that completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Done,
    RuleBroken,
}

fn run(command: Command) -> Result<Outcome, CliError> {
    match command {
        Command::Serve {
            config,
            check,
            with_parent,
        } => commands::service::serve(&config, check, with_parent)?,
        Command::Direct { config } => commands::service::direct(&config)?,
        Command::Nodes { config, check } => commands::days::run_nodes(&config, check)?,
        Command::Day {
            command: DayCommand::Run { file, out, check },
        } => return commands::days::run(&file, &out, check),
        Command::Day {
            command: DayCommand::Import { file },
        } => commands::days::import(&file)?,
        Command::Admin { config, check } => commands::admin::serve(&config, check)?,
        Command::Store { command } => commands::store::run(command)?,
        Command::Tenant { api, command } => commands::tenant::run(&api, command)?,
        Command::Audit { dir } => return commands::days::audit(&dir),
    }
    Ok(Outcome::Done)
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::RuleBroken) => ExitCode::from(EXIT_RULE_BROKEN),
        Err(error) => {
            for line in error.lines() {
                eprintln!("shalewall: {line}");
            }
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

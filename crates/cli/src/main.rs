//! The program `shalewall`: the service, its directors on the platform, its administration API and store, and
//! scripted days.
//!
//! `args` says what can be asked for, `commands` does it, `error` says what went wrong. Exit codes: 0 done, 1 a rule
//! of a day was broken, 2 bad input or a failure.

mod args;
mod commands;
mod error;

use args::{Cli, Command, DayCommand};
use clap::Parser;
use error::CliError;
use std::process::ExitCode;

/// A rule of a day was broken.
const RULE_BROKEN: u8 = 1;
/// Bad input, or a failure.
const FAILED: u8 = 2;

/// How a command ended that did what it was told.
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
        Ok(Outcome::RuleBroken) => ExitCode::from(RULE_BROKEN),
        Err(error) => {
            for line in error.lines() {
                eprintln!("shalewall: {line}");
            }
            ExitCode::from(FAILED)
        }
    }
}

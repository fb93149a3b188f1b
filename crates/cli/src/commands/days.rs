//! Commands that run, import and audit scripted days, or run only their emulated nodes.

use super::{read_settings, start_logs};
use crate::Outcome;
use crate::error::CliError;
use async_executor::LocalExecutor;
use shalewall_emulator::recorder::Recorder;
use shalewall_scripted_days::{self as scripted_days, DayError, Emulation};
use shalewall_settings::DayPlan;
use std::path::Path;
use std::rc::Rc;

/// Runs a day and prints its summary.
pub fn run(file: &Path, out: &Path, check: bool) -> Result<Outcome, CliError> {
    let plan: DayPlan = read_settings(file)?;
    if check {
        return Ok(Outcome::Done);
    }
    let program = std::env::current_exe()?;
    let print_progress = |line: &str| eprintln!("{line}");
    let summary = scripted_days::run(&plan, &program, out, print_progress)?;
    println!("{summary}");
    println!("recordings, logs and summary: {}", out.display());
    if !summary.invalid_reasons.is_empty() {
        return Err(CliError::InvalidDay(summary.invalid_reasons));
    }
    Ok(outcome(summary.rules_hold))
}

/// Converts a day file of the bench to a script and prints it. Lists settings without a counterpart on standard error.
pub fn import(file: &Path) -> Result<(), CliError> {
    let text = std::fs::read_to_string(file).map_err(CliError::file_error(file))?;
    let imported = scripted_days::import(&text).map_err(|error| CliError::Import {
        file: file.to_path_buf(),
        error,
    })?;
    for line in &imported.left_out {
        eprintln!("shalewall: left out or changed: {line}");
    }
    print!("{}", imported.script()?);
    Ok(())
}

/// Audits the recordings of a day.
pub fn audit(dir: &Path) -> Result<Outcome, CliError> {
    let verdict = scripted_days::audit(dir)?;
    println!("{verdict}");
    Ok(outcome(verdict.holds()))
}

/// Runs the emulated nodes and endpoint list of a day until the process is killed.
pub fn run_nodes(config: &Path, check: bool) -> Result<(), CliError> {
    let plan: DayPlan = read_settings(config)?;
    if check {
        return Ok(());
    }
    start_logs();
    let executor = Rc::new(LocalExecutor::new());
    let emulation = Emulation::start(&executor, &plan, Recorder::disabled(), None);
    let emulation = emulation.map_err(DayError::from)?;
    tracing::info!(address = %emulation.list_address, what = "list", "listening");
    for node in emulation.nodes.running() {
        let address = emulation.nodes.address(node);
        let address = address.map_or(String::new(), |address| address.to_string());
        tracing::info!(address, what = "node", node, "listening");
    }
    async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
    Ok(())
}

fn outcome(rules_hold: bool) -> Outcome {
    if rules_hold {
        Outcome::Done
    } else {
        Outcome::RuleBroken
    }
}

//! The command line.

mod manage;

use clap::{Parser, Subcommand};
use manage::{Reach, StoreCommand, TenantCommand};
use shalewall_scripted_days::{self as day, Emulation};
use shalewall_server::Server;
use shalewall_settings::{AdminPlan, DayPlan, Error, FrontPlan, SettingsFile, read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

/// A session front: places and shapes video sessions on streaming servers with shared links.
#[derive(Parser)]
#[command(name = "shalewall", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one front.
    Serve {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Only read and check the file.
        #[arg(long)]
        check: bool,
        /// End with the process that started it, however that ends: days start their directors so.
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Serve as a director on the platform, by its configuration file. Nothing else of the program is started: no
    /// HTTP front, no administration API, no store, no other listener.
    Direct {
        #[arg(long, value_name = "FILE", env = "ROUTER_CONFIG")]
        config: PathBuf,
    },
    /// Run the stand-ins of a day alone: media nodes and the list of servers.
    Nodes {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Only read and check the file.
        #[arg(long)]
        check: bool,
    },
    /// Scripted days.
    Day {
        #[command(subcommand)]
        command: DayCommand,
    },
    /// Serve the administration API of a hosted service.
    Admin {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Only read and check the file.
        #[arg(long)]
        check: bool,
    },
    /// The store of a hosted service, while the API does not run.
    Store {
        #[command(subcommand)]
        command: StoreCommand,
    },
    /// Tenants, over the administration API.
    Tenant {
        #[command(flatten)]
        reach: Reach,
        #[command(subcommand)]
        command: TenantCommand,
    },
    /// Judge the recordings of a day again. Exit 0: all rules held; 1: one broke; 2: bad input.
    Audit { dir: PathBuf },
}

#[derive(Subcommand)]
enum DayCommand {
    /// Run a day on loopback sockets. Exit 0: all rules held; 1: one broke; 2: bad input.
    Run {
        file: PathBuf,
        /// Where recordings, logs and the summary go.
        #[arg(long, value_name = "DIR", default_value = "target/day")]
        out: PathBuf,
        /// Only read and check the file.
        #[arg(long)]
        check: bool,
    },
    /// Turn a day file of the bench into a script, on standard output. What has no counterpart is listed, on
    /// standard error and at the head of the script.
    Import { file: PathBuf },
}

/// Exit codes beside 0.
const BROKEN: u8 = 1;
const BAD_INPUT: u8 = 2;

fn settings<T: SettingsFile>(file: &Path) -> Result<T, ExitCode> {
    read(file).map_err(|errors: Vec<Error>| {
        errors.iter().for_each(|e| eprintln!("shalewall: {e}"));
        ExitCode::from(BAD_INPUT)
    })
}

fn bad(e: impl std::fmt::Display) -> ExitCode {
    eprintln!("shalewall: {e}");
    ExitCode::from(BAD_INPUT)
}

/// Structured logs, a JSON object a line, on standard error. `RUST_LOG` sets the level.
fn logs() {
    let level =
        tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into());
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(level)
        .with_writer(std::io::stderr)
        .init();
}

fn run(cli: Cli) -> Result<ExitCode, ExitCode> {
    match cli.command {
        Command::Serve {
            config,
            check,
            with_parent,
        } => {
            if with_parent {
                let killed = Some(rustix::process::Signal::KILL);
                rustix::process::set_parent_process_death_signal(killed).map_err(bad)?;
            }
            let plan: FrontPlan = settings(&config)?;
            if check {
                return Ok(ExitCode::SUCCESS);
            }
            logs();
            let ex = Rc::new(async_executor::LocalExecutor::new());
            let server = Server::start(&ex, &plan).map_err(bad)?;
            async_io::block_on(ex.run(server.run_until_signal())).map_err(bad)?;
        }
        Command::Direct { config } => {
            logs();
            shalewall_platform::run(&config).map_err(bad)?;
        }
        Command::Nodes { config, check } => {
            let plan: DayPlan = settings(&config)?;
            if check {
                return Ok(ExitCode::SUCCESS);
            }
            logs();
            let ex = Rc::new(async_executor::LocalExecutor::new());
            let recorder = shalewall_emulator::recorder::Recorder::nowhere();
            let emulation = Emulation::start(&ex, &plan, recorder, None).map_err(bad)?;
            tracing::info!(address = %emulation.list_address, what = "list", "listening");
            for node in emulation.nodes.running() {
                let address = emulation.nodes.address(node);
                let address = address.map_or(String::new(), |address| address.to_string());
                tracing::info!(address, what = "node", node, "listening");
            }
            async_io::block_on(ex.run(futures_lite::future::pending::<()>()));
        }
        Command::Day {
            command: DayCommand::Run { file, out, check },
        } => {
            let plan: DayPlan = settings(&file)?;
            if check {
                return Ok(ExitCode::SUCCESS);
            }
            let program = std::env::current_exe().map_err(bad)?;
            let summary =
                day::run(&plan, &program, &out, |line| eprintln!("{line}")).map_err(bad)?;
            println!("{summary}");
            println!("recordings, logs and summary: {}", out.display());
            if !summary.not_valid.is_empty() {
                return Err(bad(format!(
                    "the day is not valid: {}",
                    summary.not_valid.join("; ")
                )));
            }
            if !summary.rules_hold {
                return Ok(ExitCode::from(BROKEN));
            }
        }
        Command::Day {
            command: DayCommand::Import { file },
        } => {
            let text = std::fs::read_to_string(&file)
                .map_err(|e| bad(format!("{}: {e}", file.display())))?;
            let imported =
                day::import(&text).map_err(|e| bad(format!("{}: {e}", file.display())))?;
            imported
                .left_out
                .iter()
                .for_each(|l| eprintln!("shalewall: left out or changed: {l}"));
            print!("{}", imported.script().map_err(bad)?);
        }
        Command::Admin { config, check } => {
            let plan: AdminPlan = settings(&config)?;
            if check {
                return Ok(ExitCode::SUCCESS);
            }
            logs();
            manage::admin(&plan).map_err(bad)?;
        }
        Command::Store { command } => manage::store(command).map_err(bad)?,
        Command::Tenant { reach, command } => manage::tenant(&reach, command).map_err(bad)?,
        Command::Audit { dir } => {
            let verdict = day::audit(&dir).map_err(bad)?;
            println!("{verdict}");
            if !verdict.holds() {
                return Ok(ExitCode::from(BROKEN));
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run(Cli::parse()).unwrap_or_else(|code| code)
}

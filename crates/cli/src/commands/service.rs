//! Commands that run a director, either of the HTTP service or on the platform.

use super::{read_settings, start_logs};
use crate::error::CliError;
use async_executor::LocalExecutor;
use rustix::process::{Signal, set_parent_process_death_signal};
use shalewall_server::Server;
use shalewall_settings::ServerConfig;
use std::io;
use std::path::Path;
use std::rc::Rc;

/// Runs one director of the HTTP service until it receives a termination signal.
pub fn serve(config: &Path, check: bool, with_parent: bool) -> Result<(), CliError> {
    if with_parent {
        set_parent_process_death_signal(Some(Signal::KILL)).map_err(io::Error::from)?;
    }
    let config: ServerConfig = read_settings(config)?;
    if check {
        return Ok(());
    }
    start_logs();
    let executor = Rc::new(LocalExecutor::new());
    let server = Server::start(&executor, &config)?;
    async_io::block_on(executor.run(server.run_until_signal()))?;
    Ok(())
}

/// Runs a director on the platform until it receives a termination signal.
pub fn direct(config: &Path) -> Result<(), CliError> {
    start_logs();
    shalewall_platform::run(config)?;
    Ok(())
}

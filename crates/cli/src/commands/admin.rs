//! The command that serves the administration API of a hosted service.

use super::{read_settings, start_logs};
use crate::error::CliError;
use async_executor::LocalExecutor;
use shalewall_admin::api::Api;
use shalewall_admin::serve::{start_server, unix_time_millis};
use shalewall_settings::AdminConfig;
use shalewall_store::Store;
use std::path::Path;
use std::rc::Rc;

/// Serves the API until the process is killed.
pub fn serve(config: &Path, check: bool) -> Result<(), CliError> {
    let config: AdminConfig = read_settings(config)?;
    if check {
        return Ok(());
    }
    start_logs();
    let store = Store::open(&config.admin.store)?;
    let executor = Rc::new(LocalExecutor::new());
    let director_expiry_ms = (config.admin.forget_front_s * 1000.0) as u64;
    let api = Rc::new(Api::new(store, unix_time_millis(), director_expiry_ms));
    let address = start_server(&executor, config.admin.listen, api)?;
    tracing::info!(address = %address, what = "administration", "listening");
    async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
    Ok(())
}

//! Commands on the store of a hosted service, for use while the API is not running.

use crate::args::StoreCommand;
use crate::error::CliError;
use shalewall_admin::tokens::issue_token;
use shalewall_store::{Store, StoreSummary};
use shalewall_tenancy::access::Role;
use std::io::{BufReader, BufWriter, Write, stdin, stdout};
use std::path::Path;

/// Executes one command.
pub fn run(command: StoreCommand) -> Result<(), CliError> {
    match command {
        StoreCommand::Check { file } => {
            let summary = open_existing(&file)?.check()?;
            print_summary(&summary);
        }
        StoreCommand::Export { file } => {
            let mut out = BufWriter::new(stdout().lock());
            let summary = open_existing(&file)?.export(&mut out)?;
            out.flush()?;
            print_summary(&summary);
        }
        StoreCommand::Import { file } => {
            let store = Store::open(&file)?;
            let summary = store.import(BufReader::new(stdin().lock()))?;
            print_summary(&summary);
        }
        StoreCommand::Token { file, role, tenant } => {
            let role = Role::from_name(&role, tenant)?;
            let store = Store::open(&file)?;
            println!("{}", issue_token(&store, role)?);
        }
    }
    Ok(())
}

/// Opens an existing store. A missing file is an error, so that a mistyped name does not create an empty store.
fn open_existing(file: &Path) -> Result<Store, CliError> {
    let file_name = file.to_path_buf();
    if !file.is_file() {
        return Err(CliError::NoSuchStore(file_name));
    }
    Store::open(file).map_err(|error| CliError::StoreNotOpened {
        file: file_name,
        error,
    })
}

fn print_summary(summary: &StoreSummary) {
    eprintln!(
        "{} tenants, {} changes, {} tokens",
        summary.tenants, summary.changes, summary.tokens
    );
}

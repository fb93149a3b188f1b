//! Command-line arguments. The doc comments are the text of `--help`.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A session director: places video sessions on media nodes with shared links and chooses their rungs.
#[derive(Parser)]
#[command(name = "shalewall", version, about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run one director.
    Serve {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Only read and validate the file.
        #[arg(long)]
        check: bool,
        /// Exit when the parent process ends. Scripted days start their directors with it.
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Run a director on the platform, with the platform's configuration file. Starts nothing else: no HTTP service,
    /// no administration API, no store and no other listener.
    Direct {
        #[arg(long, value_name = "FILE", env = "ROUTER_CONFIG")]
        config: PathBuf,
    },
    /// Run only the emulated media nodes and the endpoint list of a day.
    Nodes {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Only read and validate the file.
        #[arg(long)]
        check: bool,
    },
    /// Run or import scripted days.
    Day {
        #[command(subcommand)]
        command: DayCommand,
    },
    /// Serve the administration API of a hosted service.
    Admin {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Only read and validate the file.
        #[arg(long)]
        check: bool,
    },
    /// Work on the store of a hosted service while the API is not running.
    Store {
        #[command(subcommand)]
        command: StoreCommand,
    },
    /// Manage tenants over the administration API.
    Tenant {
        #[command(flatten)]
        api: ApiAccess,
        #[command(subcommand)]
        command: TenantCommand,
    },
    /// Audit the recordings of a day. Exit code 0: all rules hold; 1: a rule is broken; 2: invalid input.
    Audit { dir: PathBuf },
}

#[derive(Subcommand)]
pub enum DayCommand {
    /// Run a day on loopback sockets. Exit code 0: all rules hold; 1: a rule is broken; 2: invalid input.
    Run {
        file: PathBuf,
        /// Directory for recordings, logs and the summary.
        #[arg(long, value_name = "DIR", default_value = "target/day")]
        out: PathBuf,
        /// Only read and validate the file.
        #[arg(long)]
        check: bool,
    },
    /// Convert a day file of the bench to a script on standard output. Settings without a counterpart are listed on
    /// standard error and at the head of the script.
    Import { file: PathBuf },
}

#[derive(Subcommand)]
pub enum StoreCommand {
    /// Read the whole store and compare every tenant with its history.
    Check { file: PathBuf },
    /// Export the store as JSON lines to standard output.
    Export { file: PathBuf },
    /// Import an export from standard input into an empty store.
    Import { file: PathBuf },
    /// Create a token without the API, such as the first one. It is shown only once.
    Token {
        file: PathBuf,
        /// `operator`, `front`, `admin` or `reader`.
        role: String,
        /// The tenant of an `admin` or `reader`.
        tenant: Option<String>,
    },
}

/// Address and credentials of the administration API.
#[derive(Args)]
pub struct ApiAccess {
    #[arg(long, value_name = "ADDRESS")]
    pub api: SocketAddr,
    #[arg(long, value_name = "FILE")]
    pub token_file: PathBuf,
}

#[derive(Subcommand)]
pub enum TenantCommand {
    List,
    Show {
        id: String,
    },
    History {
        id: String,
    },
    /// Create a tenant with the terms (JSON) on standard input.
    Create {
        id: String,
    },
    /// Apply the merge patch (JSON) on standard input to the terms.
    Patch {
        id: String,
        /// The tenant's current revision; the change fails at any other one.
        #[arg(long)]
        at: u64,
    },
    Suspend {
        id: String,
        #[arg(long)]
        at: u64,
    },
    Resume {
        id: String,
        #[arg(long)]
        at: u64,
    },
    /// Delete a tenant. It gets no new sessions, and its playing sessions end by themselves or at the deadline.
    Delete {
        id: String,
        #[arg(long)]
        at: u64,
    },
}

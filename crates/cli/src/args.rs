//! The arguments of the program. Doc comments here are the text of `--help`.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A session front: places and shapes video sessions on streaming servers with shared links.
#[derive(Parser)]
#[command(name = "shalewall", version, about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
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
        api: ApiAccess,
        #[command(subcommand)]
        command: TenantCommand,
    },
    /// Judge the recordings of a day again. Exit 0: all rules held; 1: one broke; 2: bad input.
    Audit { dir: PathBuf },
}

#[derive(Subcommand)]
pub enum DayCommand {
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

#[derive(Subcommand)]
pub enum StoreCommand {
    /// Read everything, and compare every tenant with its history.
    Check { file: PathBuf },
    /// Write everything as JSON lines to standard output.
    Export { file: PathBuf },
    /// Fill an empty store from an export on standard input.
    Import { file: PathBuf },
    /// Make a token while the API does not run: the first one. Shown once.
    Token {
        file: PathBuf,
        /// `operator`, `front`, `admin` or `reader`.
        role: String,
        /// Whose, for the latter two.
        tenant: Option<String>,
    },
}

/// How the API is reached.
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
    /// Terms as JSON on standard input.
    Create {
        id: String,
    },
    /// A merge patch as JSON on standard input.
    Patch {
        id: String,
        /// The revision that it is meant for.
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
    /// Nothing new from now on; what plays ends by itself, or when its time is over.
    Delete {
        id: String,
        #[arg(long)]
        at: u64,
    },
}

//! The operators' commands on a hosted service: the API served, its store looked after, tenants managed over it.

use async_executor::LocalExecutor;
use clap::{Args, Subcommand};
use shalewall_admin::api::Api;
use shalewall_admin::serve::{start_server, unix_time_millis};
use shalewall_admin::tokens::issue_token;
use shalewall_http::Limits;
use shalewall_http::client::{Call, Response, in_time};
use shalewall_http::pool::Pool;
use shalewall_settings::AdminPlan;
use shalewall_store::{Store, StoreSummary};
use shalewall_tenancy::access::Role;
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

type Outcome = Result<(), String>;

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
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
pub struct Reach {
    #[arg(long, value_name = "ADDRESS")]
    api: SocketAddr,
    #[arg(long, value_name = "FILE")]
    token_file: PathBuf,
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

/// Serves the API for as long as the process runs.
pub fn admin(plan: &AdminPlan) -> Outcome {
    let store = Store::open(&plan.admin.store).map_err(text)?;
    let ex = Rc::new(LocalExecutor::new());
    let address = start_server(
        &ex,
        plan.admin.listen,
        Rc::new(Api::new(
            store,
            unix_time_millis(),
            (plan.admin.forget_front_s * 1000.0) as u64,
        )),
    )
    .map_err(text)?;
    tracing::info!(address = %address, what = "administration", "listening");
    async_io::block_on(ex.run(futures_lite::future::pending::<()>()));
    Ok(())
}

/// A store that is there: a mistyped name is not to make an empty one.
fn existing(file: &Path) -> Result<Store, String> {
    if !file.is_file() {
        return Err(format!("{}: there is no such file", file.display()));
    }
    Store::open(file).map_err(|e| format!("{}: {e}", file.display()))
}

pub fn store(command: StoreCommand) -> Outcome {
    let tell = |f: StoreSummary| {
        eprintln!(
            "{} tenants, {} changes, {} tokens",
            f.tenants, f.changes, f.tokens
        )
    };
    match command {
        StoreCommand::Check { file } => existing(&file)?.check().map(tell).map_err(text),
        StoreCommand::Export { file } => {
            let mut out = std::io::BufWriter::new(std::io::stdout().lock());
            let found = existing(&file)?.export(&mut out).map_err(text)?;
            out.flush().map_err(text)?;
            tell(found);
            Ok(())
        }
        StoreCommand::Import { file } => {
            let store = Store::open(&file).map_err(text)?;
            store
                .import(BufReader::new(std::io::stdin().lock()))
                .map(tell)
                .map_err(text)
        }
        StoreCommand::Token { file, role, tenant } => {
            let role = Role::from_name(&role, tenant).map_err(text)?;
            let store = Store::open(&file).map_err(text)?;
            println!("{}", issue_token(&store, role).map_err(text)?);
            Ok(())
        }
    }
}

fn call(reach: &Reach, call: impl FnOnce(&str, &str) -> Result<Response, String>) -> Outcome {
    let token = std::fs::read_to_string(&reach.token_file)
        .map_err(|e| format!("{}: {e}", reach.token_file.display()))?;
    let answer = call(&reach.api.to_string(), &format!("Bearer {}", token.trim()))?;
    let said = String::from_utf8_lossy(&answer.body).into_owned();
    if (200..300).contains(&answer.head.status) {
        println!("{said}");
        Ok(())
    } else {
        Err(format!("status {}: {said}", answer.head.status))
    }
}

pub fn tenant(reach: &Reach, command: TenantCommand) -> Outcome {
    let input = || {
        let mut text = String::new();
        std::io::stdin()
            .lock()
            .read_to_string(&mut text)
            .map(|_| text)
            .map_err(|e| e.to_string())
    };
    let json = "application/json";
    let of = |id: &str, rest: &str| format!("/tenants/{id}{rest}");
    let (method, target, at, content) = match command {
        TenantCommand::List => ("GET", "/tenants".to_string(), None, None),
        TenantCommand::Show { id } => ("GET", of(&id, ""), None, None),
        TenantCommand::History { id } => ("GET", of(&id, "/history"), None, None),
        TenantCommand::Create { id } => {
            let terms: serde_json::Value = serde_json::from_str(&input()?).map_err(text)?;
            let body = serde_json::json!({ "id": id, "terms": terms }).to_string();
            ("POST", "/tenants".to_string(), None, Some((json, body)))
        }
        TenantCommand::Patch { id, at } => (
            "PATCH",
            of(&id, ""),
            Some(at),
            Some(("application/merge-patch+json", input()?)),
        ),
        TenantCommand::Suspend { id, at } => ("POST", of(&id, "/suspend"), Some(at), None),
        TenantCommand::Resume { id, at } => ("POST", of(&id, "/resume"), Some(at), None),
        TenantCommand::Delete { id, at } => ("DELETE", of(&id, ""), Some(at), None),
    };
    let tag = at.map(|at| format!("\"{at}\""));
    call(reach, |host, authorization| {
        let pool = Pool::new(
            reach.api,
            Limits {
                body: 64 << 20,
                ..Limits::default()
            },
            Duration::ZERO,
            0,
        );
        let content = content
            .as_ref()
            .map(|(kind, body)| (*kind, body.as_bytes()));
        let mut fields = vec![("Authorization", authorization)];
        fields.extend(tag.as_deref().map(|tag| ("If-Match", tag)));
        let call = Call {
            content,
            ..Call::new(method, &target, host).fields(&fields)
        };
        let answer = async_io::block_on(in_time(Duration::from_secs(30), pool.call(&call)));
        answer
            .ok_or("no answer in time")?
            .map_err(|e| e.to_string())
    })
}

//! One director on its sockets, put together from its settings.

use crate::accept::accept_connections;
use crate::director::Director;
use crate::endpoint_list;
use crate::event_loop::EventLoop;
use crate::tenant_sync::TenantSync;
use crate::tenants::{TenantGate, Tenants};
use crate::usage_reports::UsageReporter;
use crate::viewer_api::ViewerApi;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use shalewall_engine::Engine;
use shalewall_http::Limits;
use shalewall_migration::ticket::{InvalidTicketKey, TicketKey};
use shalewall_settings::{Hosting, ServerConfig};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::info;

/// How often a director that is told to end looks whether it may.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The last answers are on their way out for so long.
const LAST_ANSWERS: Duration = Duration::from_millis(50);
/// Bits of an incarnation.
const INCARNATION_MASK: i64 = 0x3fff;

/// Why a director can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The socket can't be opened, or the token of the administration API not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file of the ticket key can't be read.
    #[error("{}: {error}", file.display())]
    KeyUnreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The file of the ticket key holds no key.
    #[error("{}: {error}", file.display())]
    InvalidKey {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        error: InvalidTicketKey,
    },
}

/// A director that listens.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    event_loop: Rc<EventLoop>,
    api: Rc<ViewerApi>,
    accepting: Task<()>,
    /// Sessions that play are waited for so long at the end.
    drain_timeout: Duration,
}

impl Server {
    /// Starts a director on an executor; it runs as long as that does.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        plan: &ServerConfig,
    ) -> Result<Server, StartError> {
        let now = shalewall_clock::now();
        // Starts within some hours of each other differ in their seconds.
        let incarnation = ((now.as_micros() / 1_000_000) & INCARNATION_MASK) as u16;
        let settings = &plan.front;
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let mut engine = Engine::new(plan.site.config(settings, incarnation), now);
        let hosting = plan.hosting.as_ref();
        let hosted = hosting
            .map(|hosting| Hosted::new(hosting, plan))
            .transpose()?;
        if let Some(hosted) = &hosted {
            engine.set_admission_control(Box::new(TenantGate(hosted.tenants.clone())));
        }
        let director = Director {
            number: settings.number,
            limits: Limits::default(),
            stream_timeout: Duration::from_millis(settings.stream_timeout_ms),
            ticket_key: ticket_key(plan)?,
        };
        let event_loop = EventLoop::start(executor.clone(), engine, director);
        let list = endpoint_list::watch(
            settings.endpoint_list,
            event_loop.director.clone(),
            event_loop.input_sink(),
        );
        executor.spawn(list).detach();
        if let Some(hosted) = &hosted {
            hosted.spawn_sync(executor, &event_loop);
        }
        let tenants = hosted.map(|hosted| hosted.tenants);
        let api = Rc::new(ViewerApi::new(event_loop.clone(), tenants.clone()));
        let accepting = executor.spawn(accept_connections(
            event_loop.clone(),
            api.clone(),
            tenants,
            listener,
            settings.max_connections,
        ));
        info!(address = %address, number = settings.number, "listening");
        Ok(Server {
            address,
            event_loop,
            api,
            accepting,
            drain_timeout: Duration::from_secs_f64(settings.shutdown_grace_s),
        })
    }

    /// Serves until the process is told to end (SIGTERM or SIGINT); told twice, it ends at once. It takes nothing
    /// new then, answers every request that waits, and gives sessions that play their time.
    pub async fn run_until_signal(self) -> io::Result<()> {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        signals.next().await;
        self.api.shut_down();
        self.accepting.cancel().await;
        info!(sessions = ?self.event_loop.session_counts(), "shutdown started");
        let second_signal = async {
            signals.next().await;
        };
        let drained = drain(&self.event_loop, self.drain_timeout);
        futures_lite::future::or(drained, second_signal).await;
        Timer::after(LAST_ANSWERS).await;
        info!(sessions = ?self.event_loop.session_counts(), "shutdown finished");
        Ok(())
    }
}

/// Waits until no request waits, and nothing plays or the time for that is up.
async fn drain(event_loop: &EventLoop, timeout: Duration) {
    let deadline = Instant::now() + timeout;
    loop {
        let counts = event_loop.session_counts();
        let is_over = Instant::now() >= deadline;
        let playing = counts.playing + counts.ending + counts.unconfirmed_ends;
        if counts.waiting == 0 && (playing == 0 || is_over) {
            return;
        }
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}

/// The tenants of a hosted service, and how its administration API is reached.
struct Hosted {
    tenants: Rc<Tenants>,
    hosting: Hosting,
    token: String,
}

impl Hosted {
    fn new(hosting: &Hosting, plan: &ServerConfig) -> io::Result<Hosted> {
        let token = std::fs::read_to_string(&hosting.token_file)?;
        let tenants = Tenants::new(
            hosting.set_ups_per_s,
            plan.front.max_sessions,
            plan.front.max_connections,
        );
        Ok(Hosted {
            tenants,
            hosting: hosting.clone(),
            token,
        })
    }

    /// Spawns what keeps the tenants up to date and reports their sessions.
    fn spawn_sync(&self, executor: &Rc<LocalExecutor<'static>>, event_loop: &Rc<EventLoop>) {
        let tenants = &self.tenants;
        let reporter = UsageReporter::new(
            event_loop.clone(),
            tenants.clone(),
            &self.hosting,
            &self.token,
        );
        executor.spawn(reporter.run()).detach();
        let sync = TenantSync::new(
            event_loop.clone(),
            tenants.clone(),
            &self.hosting,
            &self.token,
        );
        executor.spawn(sync.run()).detach();
    }
}

/// The key of migration tickets, where the site's sessions are moved.
fn ticket_key(plan: &ServerConfig) -> Result<Option<TicketKey>, StartError> {
    match &plan.front.ticket_key_file {
        Some(file) if plan.site.moves.is_some() => read_ticket_key(file).map(Some),
        _ => Ok(None),
    }
}

/// Reads a key from its file: 32 bytes in hexadecimal.
fn read_ticket_key(file: &Path) -> Result<TicketKey, StartError> {
    let text = std::fs::read_to_string(file).map_err(|error| StartError::KeyUnreadable {
        file: file.to_path_buf(),
        error,
    })?;
    let key = text.trim().parse();
    key.map_err(|error| StartError::InvalidKey {
        file: file.to_path_buf(),
        error,
    })
}

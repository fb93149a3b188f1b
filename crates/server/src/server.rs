//! Assembles a director from its settings and runs it.

use crate::accept::accept_connections;
use crate::director::Director;
use crate::endpoint_list;
use crate::event_loop::EventLoop;
use crate::tenant_sync::TenantSync;
use crate::tenants::{TenantAdmissionControl, Tenants};
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

/// How often a graceful shutdown checks whether it is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before exit in which the last answers are written.
const FINAL_WRITE_DELAY: Duration = Duration::from_millis(50);
/// Limits an incarnation to 14 bits.
const INCARNATION_MASK: i64 = 0x3fff;

/// Why a director can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The socket can't be opened, or the token for the administration API can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file of the ticket key can't be read.
    #[error("{}: {error}", file.display())]
    KeyUnreadable {
        /// The file.
        file: PathBuf,
        /// Why it can't be read.
        error: io::Error,
    },
    /// The file of the ticket key does not contain a valid key.
    #[error("{}: {error}", file.display())]
    InvalidKey {
        /// The file.
        file: PathBuf,
        /// Why it is invalid.
        error: InvalidTicketKey,
    },
}

/// A running director.
pub struct Server {
    /// The address that it listens on.
    pub address: SocketAddr,
    event_loop: Rc<EventLoop>,
    api: Rc<ViewerApi>,
    accept_task: Task<()>,
    /// Maximum time that a graceful shutdown waits for playing sessions.
    drain_timeout: Duration,
}

impl Server {
    /// Starts a director on an executor. It runs until the executor is dropped.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        config: &ServerConfig,
    ) -> Result<Server, StartError> {
        let now = shalewall_clock::now();
        // Seconds since 1970 modulo 2^14, so starts within four and a half hours of each other have distinct values.
        let incarnation = ((now.as_micros() / 1_000_000) & INCARNATION_MASK) as u16;
        let settings = &config.front;
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let mut engine = Engine::new(config.site.config(settings, incarnation), now);
        let hosting = config.hosting.as_ref();
        let hosted = hosting
            .map(|hosting| Hosted::new(hosting, config))
            .transpose()?;
        if let Some(hosted) = &hosted {
            engine.set_admission_control(Box::new(TenantAdmissionControl(hosted.tenants.clone())));
        }
        let director = Director {
            number: settings.number,
            limits: Limits::default(),
            stream_timeout: Duration::from_millis(settings.stream_timeout_ms),
            ticket_key: ticket_key(config)?,
        };
        let event_loop = EventLoop::start(executor.clone(), engine, director);
        let endpoint_watch = endpoint_list::watch(
            settings.endpoint_list,
            event_loop.director.clone(),
            event_loop.input_sink(),
        );
        executor.spawn(endpoint_watch).detach();
        if let Some(hosted) = &hosted {
            hosted.spawn_sync(executor, &event_loop);
        }
        let tenants = hosted.map(|hosted| hosted.tenants);
        let api = Rc::new(ViewerApi::new(event_loop.clone(), tenants.clone()));
        let accept_task = executor.spawn(accept_connections(
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
            accept_task,
            drain_timeout: Duration::from_secs_f64(settings.shutdown_grace_s),
        })
    }

    /// Serves until SIGTERM or SIGINT, then shuts down gracefully: accepts no connections and rejects new sessions,
    /// answers all waiting requests, and waits up to the drain timeout for playing sessions to end. A second signal
    /// ends the wait.
    pub async fn run_until_signal(self) -> io::Result<()> {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        signals.next().await;
        self.api.shut_down();
        self.accept_task.cancel().await;
        info!(sessions = ?self.event_loop.session_counts(), "shutdown started");
        let second_signal = async {
            signals.next().await;
        };
        let drained = drain(&self.event_loop, self.drain_timeout);
        futures_lite::future::or(drained, second_signal).await;
        Timer::after(FINAL_WRITE_DELAY).await;
        info!(sessions = ?self.event_loop.session_counts(), "shutdown finished");
        Ok(())
    }
}

/// Waits until no request is waiting and either no session is left or the timeout has passed.
async fn drain(event_loop: &EventLoop, timeout: Duration) {
    let deadline = Instant::now() + timeout;
    loop {
        let counts = event_loop.session_counts();
        let is_timed_out = Instant::now() >= deadline;
        let playing = counts.playing + counts.ending + counts.unconfirmed_ends;
        if counts.waiting == 0 && (playing == 0 || is_timed_out) {
            return;
        }
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}

/// The tenants of a hosted service, and the settings for its administration API.
struct Hosted {
    tenants: Rc<Tenants>,
    hosting: Hosting,
    token: String,
}

impl Hosted {
    fn new(hosting: &Hosting, config: &ServerConfig) -> io::Result<Hosted> {
        let token = std::fs::read_to_string(&hosting.token_file)?;
        let tenants = Tenants::new(
            hosting.set_ups_per_s,
            config.front.max_sessions,
            config.front.max_connections,
        );
        Ok(Hosted {
            tenants,
            hosting: hosting.clone(),
            token,
        })
    }

    /// Spawns the tasks that synchronize the tenants and report their usage.
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

/// Reads the key for migration tickets if the site migrates sessions.
fn ticket_key(config: &ServerConfig) -> Result<Option<TicketKey>, StartError> {
    match &config.front.ticket_key_file {
        Some(file) if config.site.moves.is_some() => read_ticket_key(file).map(Some),
        _ => Ok(None),
    }
}

/// Reads a key of 32 bytes in hexadecimal from a file.
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

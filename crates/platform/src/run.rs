//! The lifecycle of a director: start, signals and end.

use crate::accept::accept_viewers;
use crate::config_file::ConfigFile;
use crate::endpoint_watch::{ServiceAddress, follow_endpoint_list};
use crate::error::{ConfigFileProblem, RunError};
use crate::event_loop::EventLoop;
use crate::panics::{catch_task_panic, log_panics};
use crate::reload::Reloader;
use crate::shutdown::{AcceptTask, shut_down};
use crate::state_log::log_state;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use event_listener::Event;
use futures_lite::{StreamExt, future};
use shalewall_clock::now;
use shalewall_platform_proto::DirectorProtocol;
use shalewall_platform_proto::config::Config;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Delay before the endpoint watch is restarted after a panic.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a director with the configuration in `file` until SIGTERM or SIGINT. SIGHUP reloads the file.
pub fn run(file: &Path) -> Result<(), RunError> {
    // Must be first, since the default action of these signals ends the process.
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(RunError::Signals)?;
    log_panics();
    let config_file = ConfigFile::new(file);
    let config = config_file.read()?;
    // Dropped after the director, which drops the tasks and closes their sockets.
    let executor = Rc::new(LocalExecutor::new());
    let mut director = Director::start(&executor, config_file, config)?;
    let event_loop = director.event_loop.clone();
    let tasks = executor.run(director.handle_signals(&mut signals));
    async_io::block_on(event_loop.record_turns(tasks))
}

/// A running director and its tasks, which are cancelled when it is dropped.
struct Director {
    executor: Rc<LocalExecutor<'static>>,
    event_loop: Rc<EventLoop>,
    reloader: Reloader,
    /// Taken by the shutdown.
    accept_task: Option<AcceptTask>,
    shutdown_task: Option<Task<()>>,
    /// Reload for the latest SIGHUP; a new one replaces a reload that is still running.
    reload_task: Option<Task<()>>,
    _service_tasks: [Task<()>; 3],
}

impl Director {
    fn start(
        executor: &Rc<LocalExecutor<'static>>,
        config_file: ConfigFile,
        mut config: Config,
    ) -> Result<Director, RunError> {
        let protocol = DirectorProtocol::new(&config, now())
            .map_err(|error| config_file.error(ConfigFileProblem::Settings(error)))?;
        let listener = listen(config.listen)?;
        let event_loop = EventLoop::new(executor, protocol);
        let service_address = Rc::new(ServiceAddress::new(config.endpoint_service));
        let service_tasks = [
            executor.spawn(event_loop.clone().drive_timeouts()),
            executor.spawn(supervise_endpoint_watch(
                event_loop.clone(),
                service_address.clone(),
            )),
            executor.spawn(log_state_until_panic(event_loop.clone())),
        ];
        let stop = Event::new();
        let accept = accept_viewers(event_loop.clone(), listener, stop.listen());
        let accept_task = AcceptTask {
            task: executor.spawn(accept),
            stop,
        };
        let counts = event_loop.with_protocol(|protocol| protocol.connection_counts());
        info!(name = config.name, address = %config.listen, nodes = counts.known_nodes, "listening");
        // The known events are applied; only the other fields are compared with a reloaded file.
        config.known = Default::default();
        let reloader = Reloader {
            config_file,
            initial_config: Rc::new(config),
            event_loop: event_loop.clone(),
            service_address,
        };
        Ok(Director {
            executor: executor.clone(),
            event_loop,
            reloader,
            accept_task: Some(accept_task),
            shutdown_task: None,
            reload_task: None,
            _service_tasks: service_tasks,
        })
    }

    /// Handles signals until the director has to end.
    async fn handle_signals(&mut self, signals: &mut Signals) -> Result<(), RunError> {
        loop {
            let signal = future::or(signals.next(), self.wait_for_shutdown()).await;
            let signal = signal.transpose().map_err(RunError::Signals)?;
            match signal {
                Some(Signal::Hup) => self.start_reload(),
                Some(_) if self.shutdown_task.is_none() => self.start_shutdown(),
                // A supervisor may repeat SIGTERM; only a second SIGINT, from a terminal, ends the process at once.
                Some(Signal::Term) => info!("shutdown already in progress"),
                Some(_) | None => return Ok(()),
            }
        }
    }

    /// Completes, without a signal, when the shutdown is done.
    async fn wait_for_shutdown(&mut self) -> Option<io::Result<Signal>> {
        match &mut self.shutdown_task {
            Some(task) => task.await,
            None => future::pending().await,
        }
        None
    }

    fn start_shutdown(&mut self) {
        // The signal may have been sent while the process did not run.
        let signalled_at = self.event_loop.unseen_since();
        let shutdown = shut_down(
            self.event_loop.clone(),
            self.accept_task.take(),
            signalled_at,
        );
        self.shutdown_task = Some(self.executor.spawn(shutdown));
    }

    fn start_reload(&mut self) {
        let reload = self.reloader.clone().reload();
        self.reload_task = Some(self.executor.spawn(reload));
    }
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, RunError> {
    TcpListener::bind(address)
        .and_then(Async::new)
        .map_err(|error| RunError::Listen { address, error })
}

/// Follows the endpoint list, and restarts after a panic.
async fn supervise_endpoint_watch(event_loop: Rc<EventLoop>, service_address: Rc<ServiceAddress>) {
    loop {
        let watch = follow_endpoint_list(event_loop.clone(), service_address.clone());
        if catch_task_panic(watch).await.is_ok() {
            return;
        }
        Timer::after(RESTART_DELAY).await;
    }
}

/// Logs the state until a panic, which has no other effect.
async fn log_state_until_panic(event_loop: Rc<EventLoop>) {
    let _ = catch_task_panic(log_state(event_loop)).await;
}

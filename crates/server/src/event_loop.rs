//! The driver of one engine: socket I/O and timers, on a single thread without locks.
//!
//! All inputs pass through [`EventLoop::handle`], which passes them to the engine and executes the engine's outputs.
//! The event loop owns everything in flight: viewers' requests, calls to nodes, nodes' event streams and players'
//! streams.

use crate::director::Director;
use crate::node::{NodeConnections, calls, events};
use crate::player_streams::PlayerStreams;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use shalewall::{ServerId, Timestamp};
use shalewall_clock::TimeoutDriver;
use shalewall_engine::{
    Answer, CallId, CallKind, Engine, Input, Output, RequestId, SessionCounts, SessionRequest,
    SessionSummary,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, info};

/// A node's connections, and the task that keeps its event stream open.
struct WatchedNode {
    connections: Rc<NodeConnections>,
    /// Dropping the task closes the stream.
    _watch: Task<()>,
}

/// One director's engine and everything that it has in flight.
pub struct EventLoop {
    /// The director's settings.
    pub director: Rc<Director>,
    /// The open event streams of players.
    pub player_streams: PlayerStreams,
    executor: Rc<LocalExecutor<'static>>,
    engine: RefCell<Engine>,
    requests: RefCell<HashMap<RequestId, Sender<Answer>>>,
    next_request: Cell<u64>,
    calls: RefCell<HashMap<CallId, Task<()>>>,
    nodes: RefCell<BTreeMap<ServerId, WatchedNode>>,
    timeout_driver: TimeoutDriver,
}

/// A viewer's pending request. Dropping it before the answer reports to the engine that the viewer has left.
pub struct PendingRequest {
    event_loop: Rc<EventLoop>,
    request_id: RequestId,
    answer: Receiver<Answer>,
}

impl PendingRequest {
    /// Waits for the answer. Returns `None` if the event loop is being dropped.
    pub async fn answer(self) -> Option<Answer> {
        self.answer.recv().await.ok()
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        let request_id = self.request_id;
        let pending = self.event_loop.requests.borrow_mut().remove(&request_id);
        if pending.is_some() {
            let withdrawn = Input::RequestWithdrawn { request_id };
            self.event_loop.handle(withdrawn);
        }
    }
}

impl EventLoop {
    /// Creates the event loop of an engine and spawns its timer task on the executor.
    pub fn start(
        executor: Rc<LocalExecutor<'static>>,
        engine: Engine,
        director: Director,
    ) -> Rc<EventLoop> {
        let event_loop = Rc::new(EventLoop {
            director: Rc::new(director),
            player_streams: PlayerStreams::default(),
            executor: executor.clone(),
            engine: RefCell::new(engine),
            requests: RefCell::default(),
            next_request: Cell::new(0),
            calls: RefCell::default(),
            nodes: RefCell::default(),
            timeout_driver: TimeoutDriver::default(),
        });
        executor.spawn(event_loop.clone().run_timers()).detach();
        event_loop
    }

    /// The executor that runs the event loop's tasks.
    pub fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    /// Passes an input to the engine and executes the resulting outputs.
    pub fn handle(self: &Rc<EventLoop>, input: Input) {
        let now = shalewall_clock::now();
        self.engine.borrow_mut().handle(now, input);
        self.execute_outputs();
        self.timeout_driver.update(self.next_timeout());
    }

    /// Returns a function that passes inputs to this event loop, for tasks that need nothing else of it.
    pub fn input_sink(self: &Rc<EventLoop>) -> impl Fn(Input) + 'static {
        let event_loop = self.clone();
        move |input| event_loop.handle(input)
    }

    /// Passes a viewer's request for a session to the engine.
    pub fn request_session(self: &Rc<EventLoop>, request: SessionRequest) -> PendingRequest {
        let request_id = RequestId(self.next_request.get());
        self.next_request.set(request_id.0 + 1);
        let (sender, answer) = async_channel::bounded(1);
        self.requests.borrow_mut().insert(request_id, sender);
        let pending = PendingRequest {
            event_loop: self.clone(),
            request_id,
            answer,
        };
        self.handle(Input::RequestReceived {
            request_id,
            request,
        });
        pending
    }

    /// Number of sessions by state.
    pub fn session_counts(&self) -> SessionCounts {
        self.engine.borrow().session_counts()
    }

    /// Up to `limit` sessions of a tenant.
    pub fn sessions_of(&self, tenant: &str, limit: usize) -> Vec<SessionSummary> {
        self.engine.borrow().tenant_sessions(tenant, limit)
    }

    fn execute_outputs(self: &Rc<EventLoop>) {
        loop {
            // A separate statement, so that the borrow of the engine ends before the output is executed.
            let output = self.engine.borrow_mut().poll_output();
            let Some(output) = output else { return };
            self.execute_output(output);
        }
    }

    fn execute_output(self: &Rc<EventLoop>, output: Output) {
        match output {
            Output::Answer { request_id, answer } => self.answer_request(request_id, answer),
            Output::Call {
                call,
                server,
                address,
                kind,
            } => self.start_call(call, server, address, kind),
            // Dropping the task drops its connection.
            Output::CancelCall { call } => drop(self.calls.borrow_mut().remove(&call)),
            Output::WatchNode { server, address } => self.watch_node(server, address),
            Output::UnwatchNode { server } => drop(self.nodes.borrow_mut().remove(&server)),
            Output::CloseIdleConnections { server } => {
                if let Some(node) = self.nodes.borrow().get(&server) {
                    node.connections.close_idle();
                }
            }
            Output::OfferMigration {
                session,
                epoch,
                media,
            } => self.player_streams.offer_migration(session, epoch, &media),
            Output::SessionEnded { session } => self.player_streams.end_session(session),
            Output::MigrationFinished { .. } | Output::AttemptFinished { .. } | Output::Log(_) => {
                log_output(output);
            }
        }
    }

    fn answer_request(&self, request_id: RequestId, answer: Answer) {
        if let Some(sender) = self.requests.borrow_mut().remove(&request_id) {
            let _ = sender.try_send(answer);
        }
    }

    fn start_call(
        self: &Rc<EventLoop>,
        call: CallId,
        server: ServerId,
        address: SocketAddr,
        kind: CallKind,
    ) {
        // A node that is not watched has no shared connections, so the call gets its own.
        let connections = self
            .connections_of(server)
            .unwrap_or_else(|| self.new_connections(server, address));
        let event_loop = self.clone();
        let task = self.executor.spawn(async move {
            let result = calls::call(&connections, &event_loop.director, &kind).await;
            let own_task = event_loop.calls.borrow_mut().remove(&call);
            if let Some(own_task) = own_task {
                own_task.detach();
                event_loop.handle(Input::CallFinished { call, result });
            }
        });
        self.calls.borrow_mut().insert(call, task);
    }

    fn watch_node(self: &Rc<EventLoop>, server: ServerId, address: SocketAddr) {
        let connections = self.new_connections(server, address);
        let watch = events::watch(
            connections.clone(),
            self.director.clone(),
            self.input_sink(),
        );
        let node = WatchedNode {
            connections,
            _watch: self.executor.spawn(watch),
        };
        self.nodes.borrow_mut().insert(server, node);
    }

    fn connections_of(&self, server: ServerId) -> Option<Rc<NodeConnections>> {
        let nodes = self.nodes.borrow();
        nodes.get(&server).map(|node| node.connections.clone())
    }

    fn new_connections(&self, server: ServerId, address: SocketAddr) -> Rc<NodeConnections> {
        let limits = &self.director.limits;
        Rc::new(NodeConnections::new(server, address, limits))
    }

    fn next_timeout(&self) -> Option<Timestamp> {
        self.engine.borrow().poll_timeout()
    }

    /// Runs the engine's timers when they are due.
    async fn run_timers(self: Rc<EventLoop>) {
        let handle_timeout = || {
            let now = shalewall_clock::now();
            self.engine.borrow_mut().handle_timeout(now);
            self.execute_outputs();
        };
        let next_timeout = || self.next_timeout();
        self.timeout_driver.run(next_timeout, handle_timeout).await;
    }
}

/// Logs the outputs that need no other action.
fn log_output(output: Output) {
    match output {
        Output::MigrationFinished {
            session,
            to,
            reason,
            duration,
            migrated,
        } => info!(
            session = session.0,
            to = to.0,
            ?reason,
            duration_us = duration.as_micros(),
            migrated,
            "migration finished"
        ),
        Output::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            duration,
        } => debug!(
            session = session.0,
            attempt,
            server = server.0,
            ?outcome,
            duration_us = duration.as_micros(),
            "attempt finished"
        ),
        Output::Log(text) => info!(text, "decision log"),
        _ => {}
    }
}

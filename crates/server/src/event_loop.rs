//! The driver of one engine: inputs from sockets, outputs to sockets, timers. One thread, no locks.
//!
//! [`EventLoop::handle`] is the one way in: it gives the engine an input and carries out what the engine says. It
//! owns what is under way: viewers' requests, calls to nodes, nodes' event streams and players' streams.

use crate::director::Director;
use crate::node::{NodeConnections, calls, events};
use crate::offers::PlayerStreams;
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

/// A node, and the task that keeps its event stream open.
struct WatchedNode {
    connections: Rc<NodeConnections>,
    /// Dropped with the node: the stream is closed.
    _watch: Task<()>,
}

/// One director's engine and all that it has under way.
pub struct EventLoop {
    /// The director that it runs.
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

/// A viewer's request that waits. Dropped without an answer, it tells the engine that the viewer has left.
pub struct PendingRequest {
    event_loop: Rc<EventLoop>,
    request_id: RequestId,
    answer: Receiver<Answer>,
}

impl PendingRequest {
    /// Waits for the answer; none where the event loop is being taken down.
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
    /// Starts an engine's timers on an executor.
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

    /// The executor that all of it runs on.
    pub fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    /// Gives the engine an input and carries out what it says.
    pub fn handle(self: &Rc<EventLoop>, input: Input) {
        let now = shalewall_clock::now();
        self.engine.borrow_mut().handle(now, input);
        self.carry_out_outputs();
        self.timeout_driver.update(self.next_timeout());
    }

    /// A function that gives inputs to this event loop, for tasks that need no more of it.
    pub fn input_sink(self: &Rc<EventLoop>) -> impl Fn(Input) + 'static {
        let event_loop = self.clone();
        move |input| event_loop.handle(input)
    }

    /// A viewer asks for a session.
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

    /// How many sessions there are, by what is under way.
    pub fn session_counts(&self) -> SessionCounts {
        self.engine.borrow().session_counts()
    }

    /// Sessions of a tenant, `limit` at most.
    pub fn sessions_of(&self, tenant: &str, limit: usize) -> Vec<SessionSummary> {
        self.engine.borrow().tenant_sessions(tenant, limit)
    }

    fn carry_out_outputs(self: &Rc<EventLoop>) {
        loop {
            // Bound to a name, so that the borrow ends before the output is carried out.
            let output = self.engine.borrow_mut().poll_output();
            let Some(output) = output else { return };
            self.carry_out(output);
        }
    }

    fn carry_out(self: &Rc<EventLoop>, output: Output) {
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
        // A call before its node is watched, or after: on connections of its own.
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

    /// Calls the engine's timers when they are due.
    async fn run_timers(self: Rc<EventLoop>) {
        let handle_timeout = || {
            let now = shalewall_clock::now();
            self.engine.borrow_mut().handle_timeout(now);
            self.carry_out_outputs();
        };
        let next_timeout = || self.next_timeout();
        self.timeout_driver.run(next_timeout, handle_timeout).await;
    }
}

/// Logs what the engine tells for the record.
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

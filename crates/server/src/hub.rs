//! Drives the engine: inputs from sockets, outputs to sockets, timers. One thread, no locks.

use crate::follow::Follows;
use crate::node::{self, Peer};
use crate::tenants::Tenants;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use shalewall::ServerId;
use shalewall_clock::TimeoutDriver;
use shalewall_engine::{
    Answer, CallId, Engine, Input, Output, RequestId, SessionRequest, SessionSummary,
};
use shalewall_http::Limits;
use shalewall_migration::ticket::TicketKey;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info};

/// A node, and the task that keeps its event stream open.
type Watched = (Rc<Peer>, Task<()>);

/// One front's engine and all that it has under way.
pub struct Hub {
    pub ex: Rc<LocalExecutor<'static>>,
    pub limits: Limits,
    /// This front's number, which nodes and list know it by.
    pub director: u32,
    /// An event stream without any byte for so long counts as broken.
    pub silence: Duration,
    engine: RefCell<Engine>,
    asks: RefCell<HashMap<RequestId, Sender<Answer>>>,
    calls: RefCell<HashMap<CallId, Task<()>>>,
    peers: RefCell<BTreeMap<ServerId, Watched>>,
    next_ask: Cell<u64>,
    /// The tenants that this front follows, where it is shared by some.
    pub tenants: OnceCell<Rc<Tenants>>,
    /// Seals the tickets of hand-overs, where sessions are moved.
    pub key: OnceCell<TicketKey>,
    pub follows: Follows,
    /// Told to end: nothing new is taken.
    leaving: Cell<bool>,
    timeout_driver: TimeoutDriver,
}

/// A viewer's request that waits. Dropped without an answer, it tells the engine that the viewer has left.
pub struct Waiting {
    hub: Rc<Hub>,
    ask: RequestId,
    answer: Receiver<Answer>,
}

impl Waiting {
    /// Waits for the answer; none where the hub is being taken down.
    pub async fn answer(self) -> Option<Answer> {
        self.answer.recv().await.ok()
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.hub.asks.borrow_mut().remove(&self.ask).is_some() {
            self.hub.feed(Input::RequestWithdrawn {
                request_id: self.ask,
            });
        }
    }
}

impl Hub {
    pub fn new(
        ex: Rc<LocalExecutor<'static>>,
        engine: Engine,
        director: u32,
        limits: Limits,
        silence: Duration,
    ) -> Rc<Hub> {
        let hub = Rc::new(Hub {
            ex: ex.clone(),
            limits,
            director,
            silence,
            engine: RefCell::new(engine),
            asks: RefCell::default(),
            calls: RefCell::default(),
            peers: RefCell::default(),
            next_ask: Cell::new(0),
            tenants: OnceCell::new(),
            key: OnceCell::new(),
            follows: Follows::default(),
            leaving: Cell::new(false),
            timeout_driver: TimeoutDriver::default(),
        });
        ex.spawn(hub.clone().ring()).detach();
        hub
    }

    /// Something has happened.
    pub fn feed(self: &Rc<Hub>, input: Input) {
        self.engine
            .borrow_mut()
            .handle(shalewall_clock::now().as_micros(), input);
        self.pump();
        self.timeout_driver.update(self.next_timeout());
    }

    /// A viewer asks.
    pub fn ask(self: &Rc<Hub>, new: SessionRequest) -> Waiting {
        let ask = RequestId(self.next_ask.get());
        self.next_ask.set(ask.0 + 1);
        let (sender, answer) = async_channel::bounded(1);
        self.asks.borrow_mut().insert(ask, sender);
        let waiting = Waiting {
            hub: self.clone(),
            ask,
            answer,
        };
        self.feed(Input::RequestReceived {
            request_id: ask,
            request: new,
        });
        waiting
    }

    /// Takes nothing new from now on.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    pub fn leaving(&self) -> bool {
        self.leaving.get()
    }

    pub fn held(&self) -> shalewall_engine::SessionCounts {
        self.engine.borrow().session_counts()
    }

    pub fn sessions_of(&self, tenant: &str, most: usize) -> Vec<SessionSummary> {
        self.engine.borrow().sessions_of(tenant, most)
    }

    /// Carries out what the engine says.
    fn pump(self: &Rc<Hub>) {
        loop {
            // Bound to a name, so that the borrow ends before the output is carried out.
            let output = self.engine.borrow_mut().poll_output();
            let Some(output) = output else { return };
            match output {
                Output::Answer {
                    request_id: ask,
                    answer,
                } => {
                    if let Some(sender) = self.asks.borrow_mut().remove(&ask) {
                        let _ = sender.try_send(answer);
                    }
                }
                Output::Call {
                    call,
                    server,
                    address,
                    kind,
                } => {
                    let peer = self.peers.borrow().get(&server).map(|(p, _)| p.clone());
                    // A call before its node is watched, or after: on connections of its own.
                    let peer =
                        peer.unwrap_or_else(|| Rc::new(Peer::new(server, address, &self.limits)));
                    let hub = self.clone();
                    let task = self.ex.spawn(async move {
                        let done = node::call(&peer, hub.director, hub.key.get(), &kind).await;
                        let own = hub.calls.borrow_mut().remove(&call);
                        if let Some(task) = own {
                            task.detach();
                            hub.feed(Input::CallFinished { call, result: done });
                        }
                    });
                    self.calls.borrow_mut().insert(call, task);
                }
                // Dropping the task drops its connection.
                Output::CancelCall { call } => drop(self.calls.borrow_mut().remove(&call)),
                Output::WatchNode { server, address } => {
                    let peer = Rc::new(Peer::new(server, address, &self.limits));
                    let task = self.ex.spawn(node::watch(self.clone(), peer.clone()));
                    self.peers.borrow_mut().insert(server, (peer, task));
                }
                Output::UnwatchNode { server } => drop(self.peers.borrow_mut().remove(&server)),
                Output::CloseIdleConnections { server } => {
                    if let Some((peer, _)) = self.peers.borrow().get(&server) {
                        peer.pool.clear();
                    }
                }
                Output::OfferMigration {
                    session,
                    epoch,
                    media,
                } => self.follows.offer(session, epoch, &media),
                Output::SessionEnded { session } => self.follows.over(session),
                Output::MigrationFinished {
                    session,
                    to,
                    reason: why,
                    duration: took,
                    migrated: moved,
                } => {
                    let (session, to) = (session.0, to.0);
                    info!(session, to, ?why, took_us = took, moved, "hand-over");
                }
                Output::AttemptFinished {
                    session,
                    attempt,
                    server,
                    outcome,
                    duration: took,
                } => {
                    debug!(
                        session = session.0,
                        attempt,
                        server = server.0,
                        ?outcome,
                        took_us = took,
                        "tried"
                    );
                }
                Output::Log(text) => info!(text, "decisions"),
            }
        }
    }

    fn next_timeout(&self) -> Option<shalewall::Timestamp> {
        let next = self.engine.borrow().poll_timeout();
        next.map(shalewall::Timestamp::from_micros)
    }

    /// Rings the engine's timers when they are due.
    async fn ring(self: Rc<Hub>) {
        let ring = || {
            self.engine
                .borrow_mut()
                .handle_timeout(shalewall_clock::now().as_micros());
            self.pump();
        };
        self.timeout_driver.run(|| self.next_timeout(), ring).await;
    }
}

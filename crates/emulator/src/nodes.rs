//! Emulated media nodes on loopback sockets, with fault injection. Media streams are in `media`, session migration is
//! in `migration`.

mod media;
mod migration;

use crate::recorder::Recorder;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use event_listener::{Event, IntoNotification};
use futures_lite::{StreamExt, future, stream};
use rustix::net::sockopt::set_socket_linger;
use serde::Deserialize;
use shalewall::{SessionId, TimeDelta};
use shalewall_audit::{Record, SetUpOutcome, Timestamp};
use shalewall_fleet_model::fleet::{
    ActiveSession, AttemptId, Fleet, Machine, ProcessState, SetupDecision,
};
use shalewall_fleet_model::notifications::Notifier;
use shalewall_http::server::{ConnectionEnd, Reply, Request, serve};
use shalewall_http::{Limits, sse};
use shalewall_migration::Epoch;
use shalewall_migration::node::NodeSessions;
use shalewall_migration::ticket::TicketKey;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Time after a set-up within which the viewer has to open the media stream; otherwise the session ends.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// A director without an event stream for this long loses its sessions at the node.
const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Interval of media frames, and of polling the fleet for notifications.
const FRAME_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an idle event stream carries a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Events that are queued for one director. Above this its stream is closed; the director reopens it and compares its
/// sessions with the node's.
const MAX_QUEUED_EVENTS: usize = 10_000;

/// Settings for the notifications, media and records of all nodes.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Interval of utilization notifications; zero disables them.
    pub notification_interval: Duration,
    /// Delay of all notifications.
    pub notification_delay: Duration,
    /// Fraction of the true rates that is sent on the sockets.
    pub media_fraction: f64,
    /// Key of migration tickets; without it nodes accept no migration.
    pub ticket_key: Option<TicketKey>,
    /// Whether loads are recorded for the audit.
    pub record_loads: bool,
}

struct NodeServer {
    address: SocketAddr,
    /// Accepts connections; dropped when the process dies.
    accept_task: Option<Task<()>>,
    /// Notified when the process dies.
    died: Rc<Event>,
    /// Notified when a frozen process runs again.
    resumed: Rc<Event>,
    /// Event streams by director.
    event_streams: BTreeMap<u32, Sender<(&'static str, String)>>,
}

struct Inner {
    fleet: Fleet,
    servers: BTreeMap<u64, NodeServer>,
    /// Number of open media streams of each session: two for a moment when a viewer reopens its stream.
    open_streams: BTreeMap<(u64, AttemptId), usize>,
    /// Migration state of each node's process.
    node_sessions: BTreeMap<u64, NodeSessions>,
    /// Migrations that are being prepared.
    preparing: BTreeSet<(u64, AttemptId)>,
    /// Number of connections that could not be accepted.
    local_resource_errors: u64,
}

impl Inner {
    /// Sessions of a director that play at a node.
    fn sessions_of(&self, node_id: u64, director: u32) -> Vec<AttemptId> {
        let playing = self
            .fleet
            .nodes
            .get(&node_id)
            .into_iter()
            .flat_map(|n| &n.playing);
        playing
            .filter(|(_, p)| p.director == director)
            .map(|(attempt_id, _)| *attempt_id)
            .collect()
    }
}

/// All nodes of an emulation, in one process and on one thread; clones share their state.
#[derive(Clone)]
pub struct Nodes {
    executor: Rc<LocalExecutor<'static>>,
    inner: Rc<RefCell<Inner>>,
    recorder: Recorder,
    settings: Rc<NodeSettings>,
    limits: Rc<Limits>,
}

#[derive(Deserialize)]
struct SetUp {
    director: u32,
    #[serde(default)]
    viewer: u64,
    tenant: Option<String>,
    class: String,
    title: String,
    rung: usize,
    kb: f64,
}

impl SetUp {
    fn into_session(self) -> ActiveSession {
        let SetUp {
            director,
            viewer,
            tenant,
            class,
            title,
            rung,
            kb,
        } = self;
        ActiveSession {
            director,
            viewer,
            tenant,
            class,
            title,
            rung,
            rate_kb_s: kb,
            true_rate_kb_s: kb,
        }
    }
}

#[derive(Deserialize)]
struct RungChange {
    rung: usize,
    kb: f64,
}

/// Set-up in progress. Records it as abandoned when it is dropped without a response, because the director closed the
/// connection or the node died.
struct PendingSetUp {
    nodes: Nodes,
    node: u64,
    attempt_id: AttemptId,
    armed: bool,
    holds_stream: bool,
}

impl PendingSetUp {
    fn finish(&mut self, outcome: SetUpOutcome) {
        self.armed = false;
        let AttemptId { session, attempt } = self.attempt_id;
        self.nodes.recorder.record(Record::SetUpFinished {
            time: shalewall_clock::now(),
            node: self.node,
            session,
            attempt,
            outcome,
        });
    }
}

impl Drop for PendingSetUp {
    fn drop(&mut self) {
        if self.armed {
            self.finish(SetUpOutcome::Abandoned);
            if self.holds_stream {
                self.nodes.inner.borrow_mut().fleet.abandon_setup(self.node);
            }
        }
    }
}

/// Parses the attempt from a target `/sessions/{id}/{attempt}`, also in an incomplete request line.
fn parse_attempt_id(target: &str) -> Option<AttemptId> {
    let mut parts = target.strip_prefix("/sessions/")?.split('/');
    Some(AttemptId {
        session: parts.next()?.parse().ok()?,
        attempt: parts.next()?.split(' ').next()?.parse().ok()?,
    })
}

impl Nodes {
    /// Creates the nodes of a fleet model without starting any, and spawns the tasks that send notifications and record
    /// loads.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        fleet: Fleet,
        recorder: Recorder,
        settings: NodeSettings,
    ) -> Nodes {
        let (servers, open_streams, node_sessions) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let inner = Inner {
            fleet,
            servers,
            open_streams,
            node_sessions,
            preparing: BTreeSet::new(),
            local_resource_errors: 0,
        };
        let nodes = Nodes {
            executor: executor.clone(),
            inner: Rc::new(RefCell::new(inner)),
            recorder,
            settings: Rc::new(settings),
            limits: Rc::new(Limits::default()),
        };
        executor.spawn(nodes.clone().send_notifications()).detach();
        if nodes.settings.record_loads {
            executor
                .spawn(nodes.clone().record_loads_periodically())
                .detach();
        }
        nodes
    }

    // ---- processes and faults ---------------------------------------------------------------

    /// Starts the node's process and returns its address, which stays the same when it is restarted.
    pub fn start(&self, machine: Machine, warm: bool) -> std::io::Result<SocketAddr> {
        let (node_id, places, cell) = (machine.id, machine.stream_capacity, Some(machine.cell));
        let before = self.inner.borrow().servers.get(&node_id).map(|s| s.address);
        let listener = TcpListener::bind(before.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))))?;
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let now = shalewall_clock::now().as_micros();
        self.inner
            .borrow_mut()
            .fleet
            .start(machine, Timestamp::from_micros(now), warm);
        self.inner
            .borrow_mut()
            .node_sessions
            .insert(node_id, NodeSessions::new((now / 1000) as u64));
        self.recorder.record(Record::NodeStarted {
            time: Timestamp::from_micros(now),
            node: node_id,
            places,
            warm,
            cell,
        });
        let (died, resumed) = (Rc::new(Event::new()), Rc::new(Event::new()));
        let accepting = self
            .executor
            .spawn(self.clone().accept(node_id, listener, died.clone()));
        let server = NodeServer {
            address,
            accept_task: Some(accepting),
            died,
            resumed,
            event_streams: BTreeMap::new(),
        };
        self.inner.borrow_mut().servers.insert(node_id, server);
        Ok(address)
    }

    /// Crashes the process: its connections are reset, new ones are refused, and its sessions are lost.
    pub fn crash(&self, node_id: u64) {
        let overloaded = self
            .inner
            .borrow()
            .fleet
            .nodes
            .get(&node_id)
            .is_some_and(|n| n.overloaded);
        let mut inner = self.inner.borrow_mut();
        if let Some(server) = inner.servers.get_mut(&node_id) {
            if server.accept_task.take().is_none() {
                return;
            }
            server.event_streams.clear();
            server.died.notify(usize::MAX.relaxed());
        }
        if let Some(node) = inner.fleet.nodes.get_mut(&node_id) {
            node.process = ProcessState::Down;
            node.playing.clear();
        }
        drop(inner);
        self.recorder.record(Record::NodeStopped {
            time: shalewall_clock::now(),
            node: node_id,
            overloaded,
        });
    }

    /// Suspends the process: its connections stay open, but it does not respond.
    pub fn freeze(&self, node_id: u64) {
        if let Some(node) = self.inner.borrow_mut().fleet.nodes.get_mut(&node_id)
            && node.process == ProcessState::Running
        {
            node.process = ProcessState::Frozen;
            self.recorder.record(Record::NodeFrozen {
                time: shalewall_clock::now(),
                node: node_id,
            });
        }
    }

    /// Resumes a frozen process.
    pub fn resume(&self, node_id: u64) {
        let mut inner = self.inner.borrow_mut();
        if let Some(node) = inner.fleet.nodes.get_mut(&node_id)
            && node.process == ProcessState::Frozen
        {
            node.process = ProcessState::Running;
            self.recorder.record(Record::NodeResumed {
                time: shalewall_clock::now(),
                node: node_id,
            });
        }
        if let Some(server) = inner.servers.get(&node_id) {
            server.resumed.notify(usize::MAX.relaxed());
        }
    }

    /// Changes the state of the fleet model, for faults such as competing loads and slow links.
    pub fn modify_fleet(&self, change: impl FnOnce(&mut Fleet)) {
        change(&mut self.inner.borrow_mut().fleet);
    }

    /// Ids of the running nodes.
    pub fn running(&self) -> Vec<u64> {
        let inner = self.inner.borrow();
        let running = inner
            .fleet
            .nodes
            .values()
            .filter(|n| n.process == ProcessState::Running);
        running.map(|n| n.machine.id).collect()
    }

    /// Machine of a node that was started at least once.
    pub fn machine(&self, node_id: u64) -> Option<Machine> {
        self.inner
            .borrow()
            .fleet
            .nodes
            .get(&node_id)
            .map(|n| n.machine.clone())
    }

    /// Socket address of a node that was started at least once.
    pub fn address(&self, node_id: u64) -> Option<SocketAddr> {
        self.inner.borrow().servers.get(&node_id).map(|s| s.address)
    }

    /// Start time of a node's process in microseconds, and whether it started warm; `None` if it is down.
    pub fn up_since(&self, node_id: u64) -> Option<(i64, bool)> {
        let inner = self.inner.borrow();
        let node = inner
            .fleet
            .nodes
            .get(&node_id)
            .filter(|n| n.process != ProcessState::Down)?;
        Some((node.started_at.as_micros(), node.started_warm))
    }

    /// Number of connections that could not be accepted because this process ran out of descriptors.
    pub fn local_resource_errors(&self) -> u64 {
        self.inner.borrow().local_resource_errors
    }

    /// Number of playing sessions at all nodes.
    pub fn session_count(&self) -> usize {
        self.inner
            .borrow()
            .fleet
            .nodes
            .values()
            .map(|n| n.playing.len())
            .sum()
    }

    // ---- connections ------------------------------------------------------------------------

    async fn accept(self, node_id: u64, listener: Async<TcpListener>, died: Rc<Event>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // This process is out of descriptors; that is temporary.
                self.inner.borrow_mut().local_resource_errors += 1;
                Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            self.executor
                .spawn(self.clone().serve_connection(node_id, stream, died.clone()))
                .detach();
        }
    }

    async fn serve_connection(self, node_id: u64, stream: Async<TcpStream>, died: Rc<Event>) {
        let nodes = self.clone();
        let stream = Rc::new(stream);
        // Registered before the first request is served, because that request may crash the process.
        let crash_listener = died.listen();
        let handle = move |request| nodes.clone().handle_request(node_id, request);
        let served = async {
            let mut borrowed = &*stream;
            Some(serve(&mut borrowed, &self.limits, handle).await)
        };
        let death = async {
            crash_listener.await;
            None
        };
        match future::or(served, death).await {
            None => {
                // A crashed process resets its connections.
                let _ = set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
            }
            Some(ConnectionEnd::Truncated(bytes)) => {
                let text = String::from_utf8_lossy(&bytes);
                let attempt_id = text.split(' ').nth(1).and_then(parse_attempt_id);
                let (time, bytes) = (shalewall_clock::now(), bytes.len());
                let (session, attempt) =
                    (attempt_id.map(|r| r.session), attempt_id.map(|r| r.attempt));
                self.recorder.record(Record::PartialRequest {
                    time,
                    node: node_id,
                    bytes,
                    session,
                    attempt,
                });
            }
            Some(_) => {}
        }
    }

    /// Waits while the process is frozen.
    async fn wait_until_running(&self, node_id: u64) {
        loop {
            let listener = {
                let inner = self.inner.borrow();
                let frozen = inner
                    .fleet
                    .nodes
                    .get(&node_id)
                    .is_some_and(|n| n.process == ProcessState::Frozen);
                match inner.servers.get(&node_id) {
                    Some(server) if frozen => server.resumed.listen(),
                    _ => return,
                }
            };
            listener.await;
        }
    }

    /// Adds the load header that every response carries.
    fn with_load(&self, node_id: u64, reply: Reply) -> Reply {
        let load = self.inner.borrow().fleet.reported_load(node_id);
        reply.with_field(
            "Shalewall-Load",
            format!(
                "streams={}, link={:.4}, uplink={:.4}",
                load.streams, load.link, load.uplink
            ),
        )
    }

    async fn handle_request(self, node_id: u64, request: Request) -> Reply {
        let head = &request.head;
        let attempt_id = parse_attempt_id(head.path());
        match (head.method.as_str(), head.path(), attempt_id) {
            ("PUT", _, Some(attempt_id)) => self.set_up(node_id, attempt_id, &request.body).await,
            ("PATCH", _, Some(attempt_id)) => {
                self.wait_until_running(node_id).await;
                let Ok(new) = serde_json::from_slice::<RungChange>(&request.body) else {
                    return Reply::problem(422, "rung and kb are needed");
                };
                let found = self
                    .inner
                    .borrow_mut()
                    .fleet
                    .set_rung(node_id, attempt_id, new.rung, new.kb);
                if !found {
                    return Reply::problem(404, "no such session here");
                }
                let time = shalewall_clock::now();
                self.recorder.record(Record::RungChanged {
                    time,
                    node: node_id,
                    session: attempt_id.session,
                    rung: new.rung,
                });
                self.with_load(node_id, Reply::new(204))
            }
            ("PUT" | "DELETE", path, _) if path.starts_with("/moves/") => {
                self.handle_migration(node_id, request).await
            }
            ("DELETE", _, Some(attempt_id)) => {
                let upto = head.query("upto").and_then(|e| e.parse().ok()).map(Epoch);
                self.wait_until_running(node_id).await;
                let played = self.release(node_id, attempt_id, upto);
                self.with_load(node_id, Reply::new(if played { 204 } else { 404 }))
            }
            ("GET", "/probe", _) => {
                self.wait_until_running(node_id).await;
                self.with_load(node_id, Reply::new(204))
            }
            ("GET", "/events", _) => match head.query("director").and_then(|d| d.parse().ok()) {
                Some(director) => self.open_event_stream(node_id, director).await,
                None => Reply::problem(400, "the director's number is needed"),
            },
            ("GET", path, Some(attempt_id)) if path.ends_with("/media") => {
                match media::MediaRequest::parse(&request.head) {
                    Ok(media_request) => self.media(node_id, attempt_id, media_request).await,
                    Err(what) => Reply::problem(400, what),
                }
            }
            ("GET" | "PUT" | "PATCH" | "DELETE", ..) => Reply::problem(404, "no such thing here"),
            _ => Reply::problem(405, "no such method here"),
        }
    }

    async fn set_up(self, node_id: u64, attempt_id: AttemptId, body: &[u8]) -> Reply {
        let Ok(new) = serde_json::from_slice::<SetUp>(body) else {
            return Reply::problem(422, "director, class, title, rung and kb are needed");
        };
        let now = shalewall_clock::now().as_micros();
        self.recorder.record(Record::SetUpReceived {
            time: Timestamp::from_micros(now),
            node: node_id,
            director: new.director,
            session: attempt_id.session,
            attempt: attempt_id.attempt,
            tenant: new.tenant.clone(),
            class: new.class.clone(),
            title: new.title.clone(),
            rung: new.rung,
        });
        let mut pending = PendingSetUp {
            nodes: self.clone(),
            node: node_id,
            attempt_id,
            armed: true,
            holds_stream: false,
        };
        let never_ran =
            |status, what| Reply::problem(status, what).with_field("Shalewall-Never-Ran", "yes");
        let decision = self.inner.borrow_mut().fleet.begin_setup(
            node_id,
            attempt_id,
            Timestamp::from_micros(now),
        );
        match decision {
            SetupDecision::Overloaded => {
                self.crash(node_id);
                future::pending().await
            }
            SetupDecision::Cancelled => {
                self.wait_until_running(node_id).await;
                pending.finish(SetUpOutcome::Cancelled);
                self.with_load(node_id, never_ran(410, "ended before it began"))
            }
            SetupDecision::Rejected => {
                self.wait_until_running(node_id).await;
                pending.finish(SetUpOutcome::Rejected);
                self.with_load(node_id, never_ran(503, "no place"))
            }
            SetupDecision::Accepted(time) => {
                pending.holds_stream = true;
                Timer::after(Duration::from_micros(time.as_micros().max(0) as u64)).await;
                self.wait_until_running(node_id).await;
                pending.holds_stream = false;
                let rung = new.rung;
                if !self.inner.borrow_mut().fleet.complete_setup(
                    node_id,
                    attempt_id,
                    new.into_session(),
                ) {
                    pending.finish(SetUpOutcome::Cancelled);
                    return self.with_load(node_id, never_ran(410, "ended before it began"));
                }
                pending.finish(SetUpOutcome::Playing);
                if let Some(node_sessions) = self.inner.borrow_mut().node_sessions.get_mut(&node_id)
                {
                    node_sessions.set_up(SessionId(attempt_id.session));
                }
                self.executor
                    .spawn(self.clone().expire_unfetched(node_id, attempt_id))
                    .detach();
                let media = self.media_url(node_id, attempt_id);
                let text = serde_json::json!({ "media": media, "rung": rung }).to_string();
                self.with_load(node_id, Reply::json(201, text))
            }
        }
    }

    fn media_url(&self, node_id: u64, attempt_id: AttemptId) -> String {
        let address = self
            .address(node_id)
            .map_or(String::new(), |a| a.to_string());
        format!(
            "http://{address}/sessions/{}/{}/media",
            attempt_id.session, attempt_id.attempt
        )
    }

    /// Ends a session whose media stream no viewer opened in time.
    async fn expire_unfetched(self, node_id: u64, attempt_id: AttemptId) {
        Timer::after(FETCH_TIMEOUT).await;
        if !self
            .inner
            .borrow()
            .open_streams
            .contains_key(&(node_id, attempt_id))
        {
            self.terminate_session(node_id, attempt_id);
        }
    }

    /// Ends a session from the node's side, and notifies its director.
    fn terminate_session(&self, node_id: u64, attempt_id: AttemptId) {
        let director = {
            let mut inner = self.inner.borrow_mut();
            let playing = inner
                .fleet
                .nodes
                .get(&node_id)
                .and_then(|n| n.playing.get(&attempt_id));
            let Some(director) = playing.map(|p| p.director) else {
                return;
            };
            inner.fleet.end_session(node_id, attempt_id);
            // Released up to its present epoch only: it may migrate back to this node under a later one.
            let epochs = inner
                .node_sessions
                .get(&node_id)
                .map(|h| h.epochs(SessionId(attempt_id.session)))
                .unwrap_or_default();
            let (node_sessions, upto) = (
                inner.node_sessions.get_mut(&node_id),
                epochs.serving.max(epochs.prepared),
            );
            node_sessions
                .zip(upto)
                .into_iter()
                .for_each(|(h, upto)| h.release(SessionId(attempt_id.session), upto));
            director
        };
        self.record_session_end(node_id, attempt_id);
        self.send_event(
            node_id,
            director,
            "ended",
            serde_json::json!({ "session": attempt_id.session, "attempt": attempt_id.attempt })
                .to_string(),
        );
    }

    fn record_session_end(&self, node_id: u64, AttemptId { session, attempt }: AttemptId) {
        self.recorder.record(Record::SessionEnded {
            time: shalewall_clock::now(),
            node: node_id,
            session,
            attempt,
        });
    }

    // ---- events -----------------------------------------------------------------------------

    fn send_event(&self, node_id: u64, director: u32, kind: &'static str, data: String) {
        let mut inner = self.inner.borrow_mut();
        let Some(server) = inner.servers.get_mut(&node_id) else {
            return;
        };
        let sent = server
            .event_streams
            .get(&director)
            .map(|s| s.len() < MAX_QUEUED_EVENTS && s.try_send((kind, data)).is_ok());
        if sent == Some(false) {
            server.event_streams.remove(&director);
        }
    }

    async fn open_event_stream(self, node_id: u64, director: u32) -> Reply {
        self.wait_until_running(node_id).await;
        // A bounded channel would allocate its whole capacity for each stream.
        let (sender, receiver) = async_channel::unbounded();
        let sessions = {
            let mut inner = self.inner.borrow_mut();
            if let Some(server) = inner.servers.get_mut(&node_id) {
                server.event_streams.insert(director, sender);
            }
            inner.sessions_of(node_id, director)
        };
        let descriptions: Vec<_> = sessions
            .into_iter()
            .filter_map(|attempt_id| self.session_description(node_id, attempt_id))
            .collect();
        let mut first = Vec::new();
        sse::write_event(
            &mut first,
            "held",
            &serde_json::json!(descriptions).to_string(),
        );
        let lease = Lease {
            nodes: self.clone(),
            node_id,
            director,
            receiver: receiver.clone(),
        };
        let rest = stream::unfold(lease, |lease| async {
            lease.nodes.wait_until_running(lease.node_id).await;
            let beat = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
                lease.nodes.wait_until_running(lease.node_id).await;
                Some(sse::KEEP_ALIVE.to_vec())
            };
            let next = async {
                let (kind, data) = lease.receiver.recv().await.ok()?;
                lease.nodes.wait_until_running(lease.node_id).await;
                let mut out = Vec::new();
                sse::write_event(&mut out, kind, &data);
                Some(out)
            };
            future::or(next, beat).await.map(|out| (out, lease))
        });
        Reply::new(200)
            .with_field("Content-Type", "text/event-stream")
            .stream(stream::once(first).chain(rest))
    }

    /// Ends the sessions of a director that had no event stream during the lease.
    async fn expire_lease(self, node_id: u64, director: u32) {
        Timer::after(LEASE_DURATION).await;
        self.wait_until_running(node_id).await;
        let sessions: Vec<AttemptId> = {
            let inner = self.inner.borrow();
            let open = inner
                .servers
                .get(&node_id)
                .and_then(|s| s.event_streams.get(&director));
            if open.is_some_and(|s| !s.is_closed()) {
                return;
            }
            inner.sessions_of(node_id, director)
        };
        sessions
            .into_iter()
            .for_each(|attempt_id| self.terminate_session(node_id, attempt_id));
    }

    /// Polls the fleet and sends the notifications that are due.
    async fn send_notifications(self) {
        let mut notifier = Notifier::new(
            TimeDelta::from_micros(self.settings.notification_interval.as_micros() as i64),
            TimeDelta::from_micros(self.settings.notification_delay.as_micros() as i64),
        );
        loop {
            Timer::after(FRAME_INTERVAL).await;
            let notifications =
                notifier.poll(&mut self.inner.borrow_mut().fleet, shalewall_clock::now());
            for n in notifications {
                let load = serde_json::json!({ "session": n.session, "delivered": n.delivered,
                    "link": n.link, "uplink": n.uplink });
                self.send_event(n.node, n.director, "figures", load.to_string());
            }
        }
    }
}

/// Owned by an event stream; the director's lease starts to expire when it is dropped.
struct Lease {
    nodes: Nodes,
    node_id: u64,
    director: u32,
    receiver: Receiver<(&'static str, String)>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.receiver.close();
        self.nodes
            .executor
            .spawn(self.nodes.clone().expire_lease(self.node_id, self.director))
            .detach();
    }
}

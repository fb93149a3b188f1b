//! Media nodes on sockets, and what can be done to them. What viewers fetch is in `media`, hand-overs in `moves`.

mod media;
mod moves;

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
use shalewall_http::server::{Ended, Reply, Request, serve};
use shalewall_http::{Limits, sse};
use shalewall_migration::Epoch;
use shalewall_migration::node::NodeSessions;
use shalewall_migration::ticket::TicketKey;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A viewer has to fetch its stream so soon after the set-up, or it ends.
const FETCH_WITHIN: Duration = Duration::from_secs(5);
/// A front whose event stream is away for longer loses what it holds here.
const LEASE: Duration = Duration::from_secs(6);
/// Frames of media, and looks at the fleet, are so far apart.
const FRAME: Duration = Duration::from_millis(100);
const BEAT: Duration = Duration::from_millis(500);
/// Events that wait for one front; more, and its stream is closed: it comes back and compares.
const MOST_EVENTS: usize = 10_000;

/// What nodes tell, and how late.
#[derive(Clone, Debug)]
pub struct Telling {
    pub every: Duration,
    pub late: Duration,
    /// Part of the true rates that sockets carry.
    pub fraction: f64,
    /// Opens the tickets of hand-overs; none: nothing is taken over.
    pub key: Option<TicketKey>,
    /// Whether loads are noted for the auditor.
    pub loads: bool,
}

struct Socket {
    address: SocketAddr,
    /// Accepts and serves; dropped when the process dies.
    accepts: Option<Task<()>>,
    /// Told to every connection when the process dies.
    died: Rc<Event>,
    /// Told to everyone who waits on a frozen process.
    thawed: Rc<Event>,
    /// Event streams by front.
    fronts: BTreeMap<u32, Sender<(&'static str, String)>>,
}

struct Inner {
    fleet: Fleet,
    sockets: BTreeMap<u64, Socket>,
    /// Streams that viewers have open of a session: two for a moment, where one is opened again.
    watched: BTreeMap<(u64, AttemptId), usize>,
    /// What each node's process knows of hand-overs, and those that it makes ready now.
    holds: BTreeMap<u64, NodeSessions>,
    preparing: BTreeSet<(u64, AttemptId)>,
    /// Connections that could not be taken.
    lacked: u64,
}

impl Inner {
    /// Sessions that play at a node for a front.
    fn held_for(&self, id: u64, director: u32) -> Vec<AttemptId> {
        let playing = self
            .fleet
            .nodes
            .get(&id)
            .into_iter()
            .flat_map(|n| &n.playing);
        playing
            .filter(|(_, p)| p.director == director)
            .map(|(run, _)| *run)
            .collect()
    }
}

/// All nodes of a run, in one process and on one thread.
#[derive(Clone)]
pub struct Nodes {
    ex: Rc<LocalExecutor<'static>>,
    inner: Rc<RefCell<Inner>>,
    recorder: Recorder,
    telling: Rc<Telling>,
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
    fn playing(self) -> ActiveSession {
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
struct NewRung {
    rung: usize,
    kb: f64,
}

/// Records a set-up that is dropped before it is answered: its front closed the connection, or the node died.
struct Pending {
    nodes: Nodes,
    node: u64,
    run: AttemptId,
    armed: bool,
    counted: bool,
}

impl Pending {
    fn over(&mut self, ran: SetUpOutcome) {
        self.armed = false;
        let AttemptId { session, attempt } = self.run;
        self.nodes.recorder.note(Record::SetUpFinished {
            time: shalewall_clock::now(),
            node: self.node,
            session,
            attempt,
            outcome: ran,
        });
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.armed {
            self.over(SetUpOutcome::Abandoned);
            if self.counted {
                self.nodes.inner.borrow_mut().fleet.abandon_setup(self.node);
            }
        }
    }
}

/// `/sessions/{id}/{attempt}` or what a start line of one says, even if it is cut behind that.
fn run_of(target: &str) -> Option<AttemptId> {
    let mut parts = target.strip_prefix("/sessions/")?.split('/');
    Some(AttemptId {
        session: parts.next()?.parse().ok()?,
        attempt: parts.next()?.split(' ').next()?.parse().ok()?,
    })
}

impl Nodes {
    pub fn new(
        ex: Rc<LocalExecutor<'static>>,
        fleet: Fleet,
        recorder: Recorder,
        telling: Telling,
    ) -> Nodes {
        let (sockets, watched, holds) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let inner = Inner {
            fleet,
            sockets,
            watched,
            holds,
            preparing: BTreeSet::new(),
            lacked: 0,
        };
        let nodes = Nodes {
            ex: ex.clone(),
            inner: Rc::new(RefCell::new(inner)),
            recorder,
            telling: Rc::new(telling),
            limits: Rc::new(Limits::default()),
        };
        ex.spawn(nodes.clone().tell()).detach();
        if nodes.telling.loads {
            ex.spawn(nodes.clone().note_loads()).detach();
        }
        nodes
    }

    // ---- what can be done to them -----------------------------------------------------------

    /// Brings a machine up and gives its address; the same as before where it had one.
    pub fn start(&self, machine: Machine, warm: bool) -> std::io::Result<SocketAddr> {
        let (id, places, cell) = (machine.id, machine.stream_capacity, Some(machine.cell));
        let before = self.inner.borrow().sockets.get(&id).map(|s| s.address);
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
            .holds
            .insert(id, NodeSessions::new((now / 1000) as u64));
        self.recorder.note(Record::NodeStarted {
            time: Timestamp::from_micros(now),
            node: id,
            places,
            warm,
            cell,
        });
        let (died, thawed) = (Rc::new(Event::new()), Rc::new(Event::new()));
        let accepting = self
            .ex
            .spawn(self.clone().accept(id, listener, died.clone()));
        let socket = Socket {
            address,
            accepts: Some(accepting),
            died,
            thawed,
            fronts: BTreeMap::new(),
        };
        self.inner.borrow_mut().sockets.insert(id, socket);
        Ok(address)
    }

    /// The process dies: connections are reset, new ones refused, sessions lost.
    pub fn crash(&self, id: u64) {
        let overloaded = self
            .inner
            .borrow()
            .fleet
            .nodes
            .get(&id)
            .is_some_and(|n| n.fell_over);
        let mut inner = self.inner.borrow_mut();
        if let Some(socket) = inner.sockets.get_mut(&id) {
            if socket.accepts.take().is_none() {
                return;
            }
            socket.fronts.clear();
            socket.died.notify(usize::MAX.relaxed());
        }
        if let Some(node) = inner.fleet.nodes.get_mut(&id) {
            node.process = ProcessState::Down;
            node.playing.clear();
        }
        drop(inner);
        self.recorder.note(Record::NodeStopped {
            time: shalewall_clock::now(),
            node: id,
            overloaded,
        });
    }

    /// The process stands still; connections stay, nothing is answered.
    pub fn freeze(&self, id: u64) {
        if let Some(node) = self.inner.borrow_mut().fleet.nodes.get_mut(&id)
            && node.process == ProcessState::Running
        {
            node.process = ProcessState::Frozen;
            self.recorder.note(Record::NodeFrozen {
                time: shalewall_clock::now(),
                node: id,
            });
        }
    }

    pub fn thaw(&self, id: u64) {
        let mut inner = self.inner.borrow_mut();
        if let Some(node) = inner.fleet.nodes.get_mut(&id)
            && node.process == ProcessState::Frozen
        {
            node.process = ProcessState::Running;
            self.recorder.note(Record::NodeResumed {
                time: shalewall_clock::now(),
                node: id,
            });
        }
        if let Some(socket) = inner.sockets.get(&id) {
            socket.thawed.notify(usize::MAX.relaxed());
        }
    }

    /// Changes the fleet itself: neighbours, slow links, ageing.
    pub fn change(&self, work: impl FnOnce(&mut Fleet)) {
        work(&mut self.inner.borrow_mut().fleet);
    }

    /// Nodes that run, by id.
    pub fn running(&self) -> Vec<u64> {
        let inner = self.inner.borrow();
        let runs = inner
            .fleet
            .nodes
            .values()
            .filter(|n| n.process == ProcessState::Running);
        runs.map(|n| n.machine.id).collect()
    }

    pub fn machine(&self, id: u64) -> Option<Machine> {
        self.inner
            .borrow()
            .fleet
            .nodes
            .get(&id)
            .map(|n| n.machine.clone())
    }

    pub fn address(&self, id: u64) -> Option<SocketAddr> {
        self.inner.borrow().sockets.get(&id).map(|s| s.address)
    }

    /// When its process began; none while it is down.
    pub fn up_since(&self, id: u64) -> Option<(i64, bool)> {
        let inner = self.inner.borrow();
        let node = inner
            .fleet
            .nodes
            .get(&id)
            .filter(|n| n.process != ProcessState::Down)?;
        Some((node.started_at.as_micros(), node.started_warm))
    }

    /// Connections that could not be taken for want of something of this machine's own.
    pub fn lacked(&self) -> u64 {
        self.inner.borrow().lacked
    }

    /// Sessions that play now, over all nodes.
    pub fn playing(&self) -> usize {
        self.inner
            .borrow()
            .fleet
            .nodes
            .values()
            .map(|n| n.playing.len())
            .sum()
    }

    // ---- connections ------------------------------------------------------------------------

    async fn accept(self, id: u64, listener: Async<TcpListener>, died: Rc<Event>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors: this process's own fault, and it passes.
                self.inner.borrow_mut().lacked += 1;
                Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            self.ex
                .spawn(self.clone().connection(id, stream, died.clone()))
                .detach();
        }
    }

    async fn connection(self, id: u64, stream: Async<TcpStream>, died: Rc<Event>) {
        let nodes = self.clone();
        let stream = Rc::new(stream);
        // Listens from the start: a request may be what kills the process, in its first turn.
        let dies = died.listen();
        let handle = move |request| nodes.clone().answer(id, request);
        let served = async {
            let mut borrowed = &*stream;
            Some(serve(&mut borrowed, &self.limits, handle).await)
        };
        let death = async {
            dies.await;
            None
        };
        match future::or(served, death).await {
            None => {
                // A process that dies resets its connections.
                let _ = set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
            }
            Some(Ended::Cut(bytes)) => {
                let text = String::from_utf8_lossy(&bytes);
                let run = text.split(' ').nth(1).and_then(run_of);
                let (time, bytes) = (shalewall_clock::now(), bytes.len());
                let (session, attempt) = (run.map(|r| r.session), run.map(|r| r.attempt));
                self.recorder.note(Record::PartialRequest {
                    time,
                    node: id,
                    bytes,
                    session,
                    attempt,
                });
            }
            Some(_) => {}
        }
    }

    /// Waits while the process stands still.
    async fn awake(&self, id: u64) {
        loop {
            let listener = {
                let inner = self.inner.borrow();
                let frozen = inner
                    .fleet
                    .nodes
                    .get(&id)
                    .is_some_and(|n| n.process == ProcessState::Frozen);
                match inner.sockets.get(&id) {
                    Some(socket) if frozen => socket.thawed.listen(),
                    _ => return,
                }
            };
            listener.await;
        }
    }

    /// An answer with the load figures that every answer carries.
    fn with_load(&self, id: u64, reply: Reply) -> Reply {
        let f = self.inner.borrow().fleet.reported_load(id);
        reply.with(
            "Shalewall-Load",
            format!(
                "streams={}, link={:.4}, uplink={:.4}",
                f.streams, f.link, f.uplink
            ),
        )
    }

    async fn answer(self, id: u64, request: Request) -> Reply {
        let head = &request.head;
        let run = run_of(head.path());
        match (head.method.as_str(), head.path(), run) {
            ("PUT", _, Some(run)) => self.set_up(id, run, &request.body).await,
            ("PATCH", _, Some(run)) => {
                self.awake(id).await;
                let Ok(new) = serde_json::from_slice::<NewRung>(&request.body) else {
                    return Reply::problem(422, "rung and kb are needed");
                };
                let found = self
                    .inner
                    .borrow_mut()
                    .fleet
                    .set_rung(id, run, new.rung, new.kb);
                if !found {
                    return Reply::problem(404, "no such session here");
                }
                let time = shalewall_clock::now();
                self.recorder.note(Record::RungChanged {
                    time,
                    node: id,
                    session: run.session,
                    rung: new.rung,
                });
                self.with_load(id, Reply::new(204))
            }
            ("PUT" | "DELETE", path, _) if path.starts_with("/moves/") => {
                self.hand_over(id, request).await
            }
            ("DELETE", _, Some(run)) => {
                let upto = head.query("upto").and_then(|e| e.parse().ok()).map(Epoch);
                self.awake(id).await;
                let played = self.release(id, run, upto);
                self.with_load(id, Reply::new(if played { 204 } else { 404 }))
            }
            ("GET", "/probe", _) => {
                self.awake(id).await;
                self.with_load(id, Reply::new(204))
            }
            ("GET", "/events", _) => match head.query("director").and_then(|d| d.parse().ok()) {
                Some(director) => self.events(id, director).await,
                None => Reply::problem(400, "the director's number is needed"),
            },
            ("GET", path, Some(run)) if path.ends_with("/media") => {
                match media::Wanted::of(&request.head) {
                    Ok(wanted) => self.media(id, run, wanted).await,
                    Err(what) => Reply::problem(400, what),
                }
            }
            ("GET" | "PUT" | "PATCH" | "DELETE", ..) => Reply::problem(404, "no such thing here"),
            _ => Reply::problem(405, "no such method here"),
        }
    }

    async fn set_up(self, id: u64, run: AttemptId, body: &[u8]) -> Reply {
        let Ok(new) = serde_json::from_slice::<SetUp>(body) else {
            return Reply::problem(422, "director, class, title, rung and kb are needed");
        };
        let now = shalewall_clock::now().as_micros();
        self.recorder.note(Record::SetUpReceived {
            time: Timestamp::from_micros(now),
            node: id,
            director: new.director,
            session: run.session,
            attempt: run.attempt,
            tenant: new.tenant.clone(),
            class: new.class.clone(),
            title: new.title.clone(),
            rung: new.rung,
        });
        let mut pending = Pending {
            nodes: self.clone(),
            node: id,
            run,
            armed: true,
            counted: false,
        };
        let never_ran =
            |status, what| Reply::problem(status, what).with("Shalewall-Never-Ran", "yes");
        let arrival =
            self.inner
                .borrow_mut()
                .fleet
                .begin_setup(id, run, Timestamp::from_micros(now));
        match arrival {
            SetupDecision::Overloaded => {
                self.crash(id);
                future::pending().await
            }
            SetupDecision::Cancelled => {
                self.awake(id).await;
                pending.over(SetUpOutcome::Cancelled);
                self.with_load(id, never_ran(410, "ended before it began"))
            }
            SetupDecision::Rejected => {
                self.awake(id).await;
                pending.over(SetUpOutcome::Rejected);
                self.with_load(id, never_ran(503, "no place"))
            }
            SetupDecision::Accepted(time) => {
                pending.counted = true;
                Timer::after(Duration::from_micros(time.as_micros().max(0) as u64)).await;
                self.awake(id).await;
                pending.counted = false;
                let rung = new.rung;
                if !self
                    .inner
                    .borrow_mut()
                    .fleet
                    .complete_setup(id, run, new.playing())
                {
                    pending.over(SetUpOutcome::Cancelled);
                    return self.with_load(id, never_ran(410, "ended before it began"));
                }
                pending.over(SetUpOutcome::Playing);
                if let Some(holds) = self.inner.borrow_mut().holds.get_mut(&id) {
                    holds.set_up(SessionId(run.session));
                }
                self.ex.spawn(self.clone().unfetched(id, run)).detach();
                let media = self.media_of(id, run);
                let text = serde_json::json!({ "media": media, "rung": rung }).to_string();
                self.with_load(id, Reply::json(201, text))
            }
        }
    }

    fn media_of(&self, id: u64, run: AttemptId) -> String {
        let address = self.address(id).map_or(String::new(), |a| a.to_string());
        format!(
            "http://{address}/sessions/{}/{}/media",
            run.session, run.attempt
        )
    }

    /// A session that nobody fetches ends.
    async fn unfetched(self, id: u64, run: AttemptId) {
        Timer::after(FETCH_WITHIN).await;
        if !self.inner.borrow().watched.contains_key(&(id, run)) {
            self.end_here(id, run);
        }
    }

    /// Ends a session at its node and tells its front.
    fn end_here(&self, id: u64, run: AttemptId) {
        let director = {
            let mut inner = self.inner.borrow_mut();
            let playing = inner.fleet.nodes.get(&id).and_then(|n| n.playing.get(&run));
            let Some(director) = playing.map(|p| p.director) else {
                return;
            };
            inner.fleet.end_session(id, run);
            // It may be handed back to this node later, under a later epoch.
            let held = inner
                .holds
                .get(&id)
                .map(|h| h.epochs(SessionId(run.session)))
                .unwrap_or_default();
            let (holds, upto) = (inner.holds.get_mut(&id), held.serving.max(held.prepared));
            holds
                .zip(upto)
                .into_iter()
                .for_each(|(h, upto)| h.release(SessionId(run.session), upto));
            director
        };
        self.over(id, run);
        self.say(
            id,
            director,
            "ended",
            serde_json::json!({ "session": run.session, "attempt": run.attempt }).to_string(),
        );
    }

    fn over(&self, id: u64, AttemptId { session, attempt }: AttemptId) {
        self.recorder.note(Record::SessionEnded {
            time: shalewall_clock::now(),
            node: id,
            session,
            attempt,
        });
    }

    // ---- events -----------------------------------------------------------------------------

    fn say(&self, id: u64, director: u32, kind: &'static str, data: String) {
        let mut inner = self.inner.borrow_mut();
        let Some(socket) = inner.sockets.get_mut(&id) else {
            return;
        };
        let sent = socket
            .fronts
            .get(&director)
            .map(|s| s.len() < MOST_EVENTS && s.try_send((kind, data)).is_ok());
        if sent == Some(false) {
            socket.fronts.remove(&director);
        }
    }

    async fn events(self, id: u64, director: u32) -> Reply {
        self.awake(id).await;
        // A bounded channel takes its whole room at once, for each stream.
        let (sender, receiver) = async_channel::unbounded();
        let held = {
            let mut inner = self.inner.borrow_mut();
            if let Some(socket) = inner.sockets.get_mut(&id) {
                socket.fronts.insert(director, sender);
            }
            inner.held_for(id, director)
        };
        let held: Vec<_> = held
            .into_iter()
            .filter_map(|run| self.held_as_told(id, run))
            .collect();
        let mut first = Vec::new();
        sse::write(&mut first, "held", &serde_json::json!(held).to_string());
        let lease = Lease {
            nodes: self.clone(),
            id,
            director,
            receiver: receiver.clone(),
        };
        let rest = stream::unfold(lease, |lease| async {
            lease.nodes.awake(lease.id).await;
            let beat = async {
                Timer::after(BEAT).await;
                lease.nodes.awake(lease.id).await;
                Some(sse::BEAT.to_vec())
            };
            let next = async {
                let (kind, data) = lease.receiver.recv().await.ok()?;
                lease.nodes.awake(lease.id).await;
                let mut out = Vec::new();
                sse::write(&mut out, kind, &data);
                Some(out)
            };
            future::or(next, beat).await.map(|out| (out, lease))
        });
        Reply::new(200)
            .with("Content-Type", "text/event-stream")
            .pieces(stream::once(first).chain(rest))
    }

    /// Without an event stream for the lease, a front's sessions end: it is gone.
    async fn lapse(self, id: u64, director: u32) {
        Timer::after(LEASE).await;
        self.awake(id).await;
        let runs: Vec<AttemptId> = {
            let inner = self.inner.borrow();
            let open = inner.sockets.get(&id).and_then(|s| s.fronts.get(&director));
            if open.is_some_and(|s| !s.is_closed()) {
                return;
            }
            inner.held_for(id, director)
        };
        runs.into_iter().for_each(|run| self.end_here(id, run));
    }

    /// Looks at the fleet and tells fronts what there is to tell.
    async fn tell(self) {
        let mut teller = Notifier::new(
            TimeDelta::from_micros(self.telling.every.as_micros() as i64),
            TimeDelta::from_micros(self.telling.late.as_micros() as i64),
        );
        loop {
            Timer::after(FRAME).await;
            let news = teller.poll(&mut self.inner.borrow_mut().fleet, shalewall_clock::now());
            for n in news {
                let note = serde_json::json!({ "session": n.session, "delivered": n.delivered,
                    "link": n.link, "uplink": n.uplink });
                self.say(n.node, n.director, "figures", note.to_string());
            }
        }
    }
}

/// Held by an event stream; when it goes, the front's lease begins to run.
struct Lease {
    nodes: Nodes,
    id: u64,
    director: u32,
    receiver: Receiver<(&'static str, String)>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.receiver.close();
        self.nodes
            .ex
            .spawn(self.nodes.clone().lapse(self.id, self.director))
            .detach();
    }
}

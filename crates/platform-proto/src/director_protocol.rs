//! The door as a whole: what comes in, what goes out, and the round that looks after connections.

use crate::config::Config;
use crate::endpoint_watch::{EndpointEvent, Frame};
use crate::linger::{CloseReason, Lingering};
use crate::links::{ConnectReason, Item, LinkId, Links, ProbeId};
use crate::nodes::{Nodes, RETRY};
use crate::probes::Probe;
use crate::rtsp::{self, Start};
use crate::table::Session;
use crate::viewer_message::{Message, Verb, cause};
use crate::viewers::{ViewerId, Viewers, Word};
use crate::{DecodeError, HexId};
use shalewall::{
    Action, Director, EndpointState, EndpointUpdate, Event, Micros, Outcome, ServerId, SessionId,
    Settings,
};
use shalewall_director_config::{DirectorConfig, DriverLimits, Names};
use shalewall_timers::Timers;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

/// Connections are looked after so often.
const ROUND: Micros = 250_000;
/// A connection to a node that is not up within this is none, where the settings name no time.
const CONNECT: Micros = 250_000;
/// An idle connection to a node is closed after this part of the time after which the node would: a set-up is not to
/// meet a closing one.
const IDLE_PART: f64 = 0.6;
/// That time, where the settings name none.
const IDLE: Micros = 15_000_000;
/// The longest deadline counts so long at most when a director is told to end, and so long where the settings name none;
/// the kill comes 0.7 s after it.
const LEAVE: Micros = 3_000_000;
const LEAVE_MORE: Micros = 550_000;
/// What has no answer so long before the end has none in time: a viewer may wait longer than a director may stay.
const LAST_WORDS: Micros = 100_000;
/// Descriptors that are neither viewers' nor nodes': listener, journal, log, signals and what the runtime needs.
const OWN: usize = 32;

/// A connection: to a viewer or to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub(crate) ConnectionKind);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConnectionKind {
    Viewer(ViewerId),
    Node(LinkId),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Connect to a node, and say [`DirectorProtocol::node_connected`] or [`DirectorProtocol::node_connect_failed`].
    Open {
        connection: ConnectionId,
        address: SocketAddr,
        timeout: Micros,
    },
    /// There is something to [`DirectorProtocol::poll_transmit`].
    Write(ConnectionId),
    /// Close without another byte; nothing more is heard of it.
    Close(ConnectionId),
    Log(String),
}

/// Why a connection to a node did not come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectError {
    /// Nobody listens there: proof that no process runs.
    Refused,
    /// Not in time, or no route.
    Unreachable,
    /// This machine is short of something of its own.
    LocalShortage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    Module(u64),
    Attempt(SessionId, u32),
    Probe(ProbeId),
    /// A connection to a node is to be opened after one that this side closed.
    Again(ServerId),
    /// A director that is told to end answers what it still owes.
    LastWords,
    Round,
}

/// One director.
pub struct DirectorProtocol {
    pub(crate) now: Micros,
    pub(crate) director: Director,
    pub(crate) settings: Settings,
    pub(crate) names: Names,
    pub(crate) driver_limits: DriverLimits,
    pub(crate) nodes: Nodes,
    pub(crate) links: Links,
    pub(crate) lingering: Lingering,
    pub(crate) viewers: Viewers,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) tags: BTreeMap<HexId, SessionId>,
    /// Tags of requests that are over, the last ones.
    pub(crate) past: VecDeque<HexId>,
    pub(crate) probes: BTreeMap<ProbeId, Probe>,
    pub(crate) next: u64,
    pub(crate) timers: Timers<Due>,
    pub(crate) events: VecDeque<Event>,
    pub(crate) actions: Vec<Action>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) leaving: bool,
    /// What has ended since the last look, by outcome, and how late the latest timer rang.
    pub(crate) ends: Vec<(Outcome, u32)>,
    /// And connections to nodes, opened and ended, by cause.
    pub(crate) opened: BTreeMap<ConnectReason, u32>,
    pub(crate) lost: BTreeMap<CloseReason, u32>,
    /// Requests whose viewer left before a node had them, and set-ups that were written for such a one all the same.
    pub(crate) left: u32,
    pub(crate) sent_for_left: u32,
    /// Set-ups that were given up before they came, on another connection.
    pub(crate) forgone: VecDeque<HexId>,
    pub(crate) late: Micros,
}

impl DirectorProtocol {
    /// A director that knows what its configuration tells. `now` is the time of its start.
    pub fn new(config: &Config, now: Micros) -> Result<DirectorProtocol, String> {
        let DirectorConfig {
            settings,
            names,
            driver_limits,
        } = DirectorConfig::from_json(&config.settings).map_err(|error| error.to_string())?;
        let sockets = config.limits.sockets.saturating_sub(OWN).max(8);
        let most = sockets / 3;
        let mut door = DirectorProtocol {
            now,
            director: Director::new(
                config.seed(),
                settings.clone(),
                shalewall::Timestamp::from_micros(now),
            ),
            settings,
            names,
            driver_limits,
            nodes: Nodes::default(),
            links: Links::new(most),
            lingering: Lingering::default(),
            viewers: Viewers::new(sockets - most),
            sessions: BTreeMap::new(),
            tags: BTreeMap::new(),
            past: VecDeque::new(),
            probes: BTreeMap::new(),
            next: 0,
            timers: Timers::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            outputs: VecDeque::new(),
            leaving: false,
            ends: Vec::new(),
            opened: BTreeMap::new(),
            lost: BTreeMap::new(),
            left: 0,
            sent_for_left: 0,
            forgone: VecDeque::new(),
            late: 0,
        };
        door.timers.set(now + ROUND, Due::Round);
        door.apply_known_events(config, now);
        Ok(door)
    }

    /// The events of a configuration, at the start or when it is read anew; those taken before are passed over.
    pub fn apply_known_events(&mut self, config: &Config, now: Micros) {
        let (known, reaches) = config.known.news(&self.names);
        for news in known {
            self.news(
                now,
                &news,
                if news.is_snapshot {
                    EndpointUpdate::Cached
                } else {
                    EndpointUpdate::Delta
                },
            );
        }
        self.nodes.position = self.nodes.position.max(reaches);
    }

    /// Number of the last event of the journal that was taken.
    pub fn watch_position(&self) -> u64 {
        self.nodes.position
    }

    /// What the journal service says. An error: it left events out, and is to be asked again from the position.
    ///
    /// Word that there is nothing new names the last event, too: one that was never told is missed by that alone.
    pub fn handle_watch_frame(&mut self, now: Micros, frame: &Frame) -> Result<(), DecodeError> {
        let (Frame::Heartbeat(number)
        | Frame::Event(EndpointEvent {
            sequence: number, ..
        })) = frame;
        let next = self.nodes.position + u64::from(matches!(frame, Frame::Event(_)));
        if *number > next {
            return Err(DecodeError("events were left out"));
        }
        if let Frame::Event(news) = frame {
            self.news(
                now,
                news,
                if news.is_snapshot {
                    EndpointUpdate::Full
                } else {
                    EndpointUpdate::Delta
                },
            );
        }
        Ok(())
    }

    fn news(&mut self, now: Micros, news: &EndpointEvent, kind: EndpointUpdate) {
        self.now = now;
        let Some(changed) = self.nodes.take(news, now) else {
            return;
        };
        let (zones, kinds) = (self.names.zones.len(), self.names.machine_kinds.len());
        let lines = news
            .entries
            .iter()
            .map(|e| e.endpoint)
            .chain(changed.displaced);
        let lines = lines.map(|listed| shalewall::Endpoint {
            zone: listed.zone.filter(|z| *z < zones),
            machine_kind: listed.machine_kind.filter(|k| *k < kinds),
            ..listed
        });
        self.events.push_back(Event::EndpointsUpdated {
            update: kind,
            endpoints: lines.collect(),
        });
        self.run();
        for server in changed.replaced {
            self.gone(server);
        }
        for server in changed.leaving {
            let idle: Vec<_> = self
                .links
                .of(server)
                .filter(|(_, l)| !l.busy())
                .map(|(id, _)| id)
                .collect();
            // What stands there is heard over one of them.
            let stands = self.nodes.stands(server);
            idle.into_iter()
                .skip(usize::from(stands))
                .for_each(|id| self.part_with(id, CloseReason::NotNeeded));
        }
        self.run();
    }

    /// The process that was known there is no more: its connections are of no use, what stood there is over.
    pub(crate) fn gone(&mut self, server: ServerId) {
        self.over(server);
        let links: Vec<_> = self.links.of(server).map(|(id, _)| id).collect();
        links
            .into_iter()
            .for_each(|id| self.drop_link(id, CloseReason::NotNeeded));
        // Nothing stands there to be released, also of what its connections carried; its address may be another's by now.
        self.nodes
            .all
            .entry(server)
            .and_modify(|node| node.owed.clear());
    }

    /// What stood at a node is over.
    pub(crate) fn over(&mut self, server: ServerId) {
        let Some(node) = self.nodes.all.get_mut(&server) else {
            return;
        };
        (node.unreachable, node.refused) = (None, None);
        let standing = std::mem::take(&mut node.standing);
        let count = standing.len();
        self.outputs.push_back(Output::Log(format!(
            "node s-{:08x}: gone, {count} sessions over",
            server.0
        )));
        for id in standing {
            self.ended(
                id,
                Outcome::ConnectionReset,
                shalewall::LoadReport::default(),
                Some(cause::FAILED),
            );
        }
    }

    // ---- viewers ----------------------------------------------------------------------------

    /// A viewer has connected. None: there is no room, and it is to be closed.
    pub fn accept_viewer(&mut self, now: Micros, ip: IpAddr) -> Option<ConnectionId> {
        self.now = now;
        let (id, spare) = self.viewers.open(ip, now)?;
        if let Some(spare) = spare {
            self.part_viewer(spare);
        }
        Some(ConnectionId(ConnectionKind::Viewer(id)))
    }

    /// Closes a viewer's connection that is of no use, if nothing of it waits unread.
    pub(crate) fn part_viewer(&mut self, id: ViewerId) {
        self.viewers.part(id);
        self.outputs
            .push_back(Output::Write(ConnectionId(ConnectionKind::Viewer(id))));
    }

    fn viewer_bytes(&mut self, id: ViewerId, bytes: &[u8]) {
        if self.viewers.all.get(&id).is_some_and(|v| v.closes()) {
            if !self.viewers.ignore(id, bytes.len()) {
                self.drop_viewer(id);
            }
            return;
        }
        let Some(viewer) = self.viewers.all.get_mut(&id) else {
            return;
        };
        viewer.speaks(self.now);
        viewer.lines.push(bytes);
        loop {
            let Some(viewer) = self.viewers.all.get_mut(&id).filter(|v| !v.closes()) else {
                return;
            };
            match viewer.lines.message() {
                Ok(Some(message)) => {
                    viewer.part = None;
                    if let Err(why) = self.said(id, message) {
                        return self.odd(id, why);
                    }
                    self.run();
                }
                Ok(None) => {
                    let since = viewer.part.unwrap_or(self.now);
                    viewer.part = viewer.lines.partial().then_some(since);
                    return;
                }
                Err(why) => return self.odd(id, why),
            }
        }
    }

    /// A viewer said what can't be read: what it has open is given up, and it is closed.
    fn odd(&mut self, id: ViewerId, why: DecodeError) {
        self.outputs
            .push_back(Output::Log(format!("viewer closed: {why}")));
        self.forget_viewer(id);
        self.say(id, &Message::finish(HexId::from_value(0), cause::INVALID));
        self.viewers.all.entry(id).and_modify(|v| v.close(self.now));
    }

    fn said(&mut self, id: ViewerId, message: Message) -> Result<(), DecodeError> {
        let tag = HexId::parse(&message.tag).ok_or(DecodeError("a tag is not an id"))?;
        match message.verb {
            Verb::Start => self.asked(id, tag, message),
            Verb::Finish => self.released(id, tag),
            Verb::Echo => {
                let ready = !self.leaving
                    && self
                        .nodes
                        .all
                        .values()
                        .any(|n| n.listed.state == EndpointState::Ready);
                let answer = Message {
                    rc: Some(i64::from(ready)),
                    ..Message::new(Verb::Echoed, tag)
                };
                self.say(id, &answer);
            }
            Verb::Pending | Verb::Finished | Verb::Notice => {}
            _ => return Err(DecodeError("a viewer does not say that")),
        }
        if let Some(viewer) = self.viewers.all.get_mut(&id) {
            viewer.said = true;
        }
        Ok(())
    }

    /// Says something to a viewer; one that reads nothing is closed.
    pub(crate) fn say(&mut self, id: ViewerId, message: &Message) {
        self.word(id, Word::Other, message.write());
    }

    /// The same. False: it can't be said there.
    pub(crate) fn word(&mut self, id: ViewerId, word: Word, bytes: Vec<u8>) -> bool {
        if self.viewers.say(id, word, bytes) {
            self.outputs
                .push_back(Output::Write(ConnectionId(ConnectionKind::Viewer(id))));
            return true;
        }
        self.drop_viewer(id);
        false
    }

    /// Says that a session that stood is over: on the connection of its set-up, else on another one of that viewer, else
    /// on its next one.
    pub(crate) fn say_over(&mut self, id: Option<ViewerId>, ip: IpAddr, bytes: Vec<u8>) {
        let said = id.or_else(|| self.viewers.near(ip));
        if !said.is_some_and(|v| self.word(v, Word::Release, bytes.clone())) {
            self.viewers.keep(ip, bytes, self.now);
        }
    }

    /// A viewer's connection ends. What it has not heard by then: a session whose answer it is, is nobody's; a release
    /// is owed elsewhere.
    pub(crate) fn drop_viewer(&mut self, id: ViewerId) {
        let unsaid = self.viewers.unsaid(id);
        self.forget_viewer(id);
        let Some(ip) = self.viewers.ip(id) else {
            return;
        };
        self.viewers.all.remove(&id);
        self.outputs
            .push_back(Output::Close(ConnectionId(ConnectionKind::Viewer(id))));
        unsaid
            .answers
            .into_iter()
            .for_each(|session| self.unheard(session));
        unsaid
            .releases
            .into_iter()
            .for_each(|bytes| self.say_over(None, ip, bytes));
        self.run();
    }

    // ---- nodes ------------------------------------------------------------------------------

    /// A connection to a node is up.
    pub fn node_connected(&mut self, now: Micros, conn: ConnectionId) {
        self.now = now;
        let ConnectionKind::Node(id) = conn.0 else {
            return;
        };
        let Some(link) = self.links.get(id) else {
            return;
        };
        link.up = true;
        link.used = now;
        let server = link.server;
        if let Some(node) = self.nodes.all.get_mut(&server) {
            // The machine is there; one that stands still accepts connections, too.
            (node.unreachable, node.refused, node.heard) = (None, None, now);
        }
        self.outputs.push_back(Output::Write(conn));
        self.say_owed(server, id);
        let doubted = self
            .links
            .of(server)
            .filter(|(_, l)| l.up && l.doubt && !l.busy())
            .map(|(id, _)| id);
        for id in doubted.collect::<Vec<_>>() {
            self.part_with(id, CloseReason::Replaced);
        }
    }

    /// A connection to a node did not come up.
    pub fn node_connect_failed(&mut self, now: Micros, conn: ConnectionId, why: ConnectError) {
        self.now = now;
        let ConnectionKind::Node(id) = conn.0 else {
            return;
        };
        let Some(link) = self.links.get(id) else {
            return;
        };
        let (server, opened) = (link.server, link.opened);
        if let Some(node) = self.nodes.all.get_mut(&server) {
            node.retry = now + RETRY;
        }
        self.drop_link(id, CloseReason::ConnectFailed(why));
        let alone = !self.links.of(server).any(|(_, l)| l.up) && !self.lingering.at(server);
        if let Some(node) = self.nodes.all.get_mut(&server) {
            match why {
                ConnectError::Unreachable => drop(node.unreachable.get_or_insert(opened)),
                // A connection that was spoilt or cut off may stay open when its process is long gone, and a node
                // may refuse connections beyond its limit: what else is heard of it decides.
                ConnectError::Refused if alone => self.gone(server),
                ConnectError::Refused => drop(node.refused.get_or_insert(now)),
                ConnectError::LocalShortage => {}
            }
        }
        self.run();
    }

    fn node_bytes(&mut self, id: LinkId, bytes: &[u8]) {
        if self.last_words(id, bytes) {
            return;
        }
        let Some(link) = self.links.get(id) else {
            return;
        };
        link.reader.push(bytes);
        loop {
            let Some(link) = self.links.get(id) else {
                return;
            };
            match link.reader.message() {
                Ok(Some(message)) => {
                    (link.doubt, link.part, link.used) = (false, None, self.now);
                    let server = link.server;
                    if let Some(node) = self.nodes.all.get_mut(&server) {
                        (node.heard, node.unreachable, node.refused) = (self.now, None, None);
                    }
                    self.heard(id, server, message);
                    self.run();
                }
                Ok(None) => {
                    let since = link.part.unwrap_or(self.now);
                    link.part = link.reader.partial().then_some(since);
                    return;
                }
                Err(why) => {
                    self.outputs
                        .push_back(Output::Log(format!("node s-{:08x}: {why}", link.server.0)));
                    self.drop_link(id, CloseReason::Unusable);
                    return self.run();
                }
            }
        }
    }

    pub(crate) fn heard(&mut self, id: LinkId, server: ServerId, message: rtsp::Message) {
        let Some(tag) = message.session else { return };
        match (&message.start, message.cseq) {
            (Start::Status(100..200), _) => {}
            (Start::Status(status), Some(rtsp::SETUP)) => self.answered(id, tag, *status, message),
            (Start::Status(status), Some(rtsp::OPTIONS)) => {
                let outcome = if *status == 200 {
                    Outcome::Success
                } else {
                    Outcome::Error
                };
                self.probed(ProbeId(tag.value()), Some(id), outcome, message.load());
            }
            (Start::Request(method), _) if method == "TEARDOWN" => {
                self.queue(id, Item::Bytes(rtsp::heard(tag)));
                self.torn_down(id, server, tag, message);
            }
            (Start::Request(method), _) if method == "ANNOUNCE" => {
                self.noted(server, tag, &message)
            }
            _ => {}
        }
    }

    /// Queues something on a connection to a node.
    pub(crate) fn queue(&mut self, id: LinkId, item: Item) -> bool {
        let taken = self.links.get(id).is_some_and(|l| l.queue(item));
        if taken {
            self.outputs
                .push_back(Output::Write(ConnectionId(ConnectionKind::Node(id))));
        }
        taken
    }

    /// Opens a connection to a node.
    pub(crate) fn open_link(&mut self, server: ServerId, why: ConnectReason) -> Option<LinkId> {
        let node = self.nodes.all.get_mut(&server)?;
        node.met = true;
        let address = node.address;
        *self.opened.entry(why).or_default() += 1;
        let id = self.links.open(server, self.now);
        self.outputs.push_back(Output::Log(format!(
            "node s-{:08x}: link {} opens: {why:?}",
            server.0, id.0
        )));
        let within = self.connect_within();
        self.outputs.push_back(Output::Open {
            connection: ConnectionId(ConnectionKind::Node(id)),
            address,
            timeout: within,
        });
        Some(id)
    }

    /// How long a connection to a node may take to come up, and a probe to be answered.
    pub(crate) fn connect_within(&self) -> Micros {
        let told = self.driver_limits.connect_timeout;
        told.map_or(CONNECT, |timeout| timeout.as_micros())
    }

    /// A connection that was last used before this may be closing at the node's side.
    pub(crate) fn fresh(&self) -> Micros {
        let told = self.driver_limits.idle_timeout;
        let idle = told.map_or(IDLE, |timeout| timeout.as_micros());
        self.now - (idle as f64 * IDLE_PART) as Micros
    }

    // ---- both -------------------------------------------------------------------------------

    /// Bytes have come.
    pub fn handle_bytes(&mut self, now: Micros, conn: ConnectionId, bytes: &[u8]) {
        self.now = now;
        match conn.0 {
            ConnectionKind::Viewer(id) => self.viewer_bytes(id, bytes),
            ConnectionKind::Node(id) => self.node_bytes(id, bytes),
        }
    }

    /// The other side has closed, or the connection broke.
    ///
    /// `clean`: it was closed after its last message, not broken.
    pub fn connection_closed(&mut self, now: Micros, conn: ConnectionId, clean: bool) {
        self.now = now;
        match conn.0 {
            ConnectionKind::Viewer(id) => self.drop_viewer(id),
            ConnectionKind::Node(id) if self.let_go(id) => {}
            ConnectionKind::Node(id) => self.drop_link(
                id,
                if clean {
                    CloseReason::ClosedByNode
                } else {
                    CloseReason::Broken
                },
            ),
        }
        self.run();
    }

    /// What is to be done next.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When to call [`DirectorProtocol::handle_timeout`].
    pub fn poll_timeout(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Rings what is due.
    pub fn handle_timeout(&mut self, now: Micros) {
        self.now = now;
        self.late = self
            .late
            .max(self.timers.next_due().map_or(0, |due| now - due));
        while let Some(due) = self.timers.pop_due(now) {
            match due {
                Due::Module(token) => self.events.push_back(Event::TimerFired(token)),
                Due::Attempt(session, attempt) => self.out_of_time(session, attempt),
                Due::Probe(id) => self.probed(
                    id,
                    None,
                    Outcome::TimedOut,
                    shalewall::LoadReport::default(),
                ),
                Due::Again(server) => self.open_again(server),
                Due::LastWords => self.last_words_to_viewers(),
                Due::Round => {
                    self.timers.set(now + ROUND, Due::Round);
                    self.round();
                }
            }
            self.run();
        }
    }

    /// Told to end: nothing new is taken from now on, and what was taken has its answer while there is time.
    pub fn begin_shutdown(&mut self, now: Micros) {
        self.leaving = true;
        self.timers.set(
            now + self.shutdown_time_limit() - LAST_WORDS,
            Due::LastWords,
        );
    }

    /// Closes viewers' connections: once all is written, and in two steps, so that nothing said is lost by it.
    pub fn close_viewers(&mut self, now: Micros) {
        let ids: Vec<_> = self
            .viewers
            .all
            .iter()
            .filter(|(_, v)| !v.closes())
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.viewers.all.entry(id).and_modify(|v| v.close(now));
            self.outputs
                .push_back(Output::Write(ConnectionId(ConnectionKind::Viewer(id))));
        }
    }

    /// Whether something that was said is still to be written, to a viewer or a node.
    pub fn has_pending_writes(&self) -> bool {
        self.viewers.any_unsaid() || self.links.iter().any(|(_, l)| l.up && l.unsaid())
    }

    /// How long a director that is told to end may go on: everything that it took is answered by then, and whoever
    /// wants it gone kills it no sooner.
    pub fn shutdown_time_limit(&self) -> Micros {
        let told = self.driver_limits.longest_wait;
        let longest = told.map_or(LEAVE, |wait| wait.as_micros().min(LEAVE));
        longest + LEAVE_MORE
    }

    /// Requests without an answer, and sessions that stand.
    pub fn session_counts(&self) -> (usize, usize) {
        let waiting = self.sessions.values().filter(|s| s.owed).count();
        (waiting, self.sessions.len() - waiting)
    }

    /// How many connections there are to viewers and to nodes, and how many nodes are known.
    pub fn connection_counts(&self) -> (usize, usize, usize) {
        (
            self.viewers.all.len(),
            self.links.len() + self.lingering.len(),
            self.nodes.all.len(),
        )
    }
}

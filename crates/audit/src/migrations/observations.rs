//! Nodes, sessions, migrations and gaps, collected from the records.

use super::GAP_CAUSE_WINDOW;
use super::node_history::{Changes, Load, NodeHistory};
use super::report::GapCause;
use crate::record::{READY, Record};
use crate::rules::Rules;
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Start of a session's stay at a node.
struct Stay {
    from: Timestamp,
    node: u64,
}

pub(super) struct Session {
    pub director: u32,
    title: String,
    /// Its nodes, in order of time.
    stays: Vec<Stay>,
}

impl Session {
    /// The node at which it was before a time; 0 if none.
    pub fn node_before(&self, time: Timestamp) -> u64 {
        let mut stays = self.stays.iter().rev();
        let stay = stays.find(|stay| stay.from < time);
        stay.map_or(0, |stay| stay.node)
    }
}

/// A migration that the session's player followed. Ordered by the time of the player's fetch.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Migration {
    pub fetched_at: Timestamp,
    pub session: u64,
    epoch: u32,
    target: u64,
    pub requested_at: Timestamp,
}

/// A playback gap of a session.
pub(super) struct Gap {
    pub start: Timestamp,
    pub session: u64,
    pub length: TimeDelta,
}

/// A session in one of its epochs; each migration starts a new epoch.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SessionEpoch {
    session: u64,
    epoch: u32,
}

impl SessionEpoch {
    fn new(session: u64, epoch: u32) -> SessionEpoch {
        SessionEpoch { session, epoch }
    }
}

/// A fetch by a session's player.
struct Fetch {
    time: Timestamp,
    node: u64,
}

/// A node, and a director that was notified of its state.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Notified {
    director: u32,
    node: u64,
}

#[derive(Default)]
pub(super) struct Observations {
    pub nodes: BTreeMap<u64, NodeHistory>,
    pub sessions: BTreeMap<u64, Session>,
    pub gaps: Vec<Gap>,
    /// Epochs of a session that two nodes served.
    pub served_twice: u64,
    /// Whether a director was notified that a node is draining or gone.
    leaving: BTreeMap<Notified, Changes<bool>>,
    /// When the migration was first requested from the target.
    requested: BTreeMap<SessionEpoch, Timestamp>,
    fetched: BTreeMap<SessionEpoch, Fetch>,
}

impl Observations {
    pub fn process(&mut self, record: &Record) {
        let time = record.time();
        match record {
            Record::NodeStarted { node, cell, .. } => self.node(*node).start(time, *cell),
            Record::NodeStopped { node, .. } => self.node(*node).stop(time),
            Record::NodeFrozen { node, .. } => self.node(*node).set_frozen(time, true),
            Record::NodeResumed { node, .. } => self.node(*node).set_frozen(time, false),
            Record::NodeLoad {
                node,
                link,
                uplink,
                streams,
                ..
            } => {
                let load = Load {
                    link: *link,
                    uplink: *uplink,
                    streams: *streams,
                };
                self.node(*node).set_load(time, load);
            }
            Record::EndpointNotified {
                director,
                node,
                standing,
                ..
            } => {
                let notified = Notified {
                    director: *director,
                    node: *node,
                };
                let leaving = self.leaving.entry(notified).or_default();
                leaving.push(time, standing != READY);
            }
            _ => self.process_session_record(time, record),
        }
    }

    fn process_session_record(&mut self, time: Timestamp, record: &Record) {
        match record {
            Record::SetUpReceived {
                node,
                director,
                session,
                title,
                ..
            } => {
                let stay = Stay {
                    from: time,
                    node: *node,
                };
                self.process_set_up(*session, *director, title, stay);
            }
            Record::MigrationReceived { session, epoch, .. } => {
                let key = SessionEpoch::new(*session, *epoch);
                self.requested.entry(key).or_insert(time);
            }
            Record::PlayerFetched {
                node,
                session,
                epoch,
                ..
            } => {
                let key = SessionEpoch::new(*session, *epoch);
                self.process_fetch(key, Fetch { time, node: *node });
            }
            Record::PlaybackGap {
                session, duration, ..
            } => self.gaps.push(Gap {
                start: time,
                session: *session,
                length: *duration,
            }),
            _ => {}
        }
    }

    fn process_set_up(&mut self, session: u64, director: u32, title: &str, stay: Stay) {
        let new_session = || Session {
            director,
            title: title.to_string(),
            stays: Vec::new(),
        };
        let session = self.sessions.entry(session).or_insert_with(new_session);
        session.stays.push(stay);
    }

    fn process_fetch(&mut self, key: SessionEpoch, fetch: Fetch) {
        let first = self.fetched.get(&key);
        let Some(first) = first else {
            self.fetched.insert(key, fetch);
            return;
        };
        if first.node != fetch.node {
            self.served_twice += 1;
        }
    }

    fn node(&mut self, node: u64) -> &mut NodeHistory {
        self.nodes.entry(node).or_default()
    }

    /// All migrations, in order of their fetch times.
    pub fn migrations(&self) -> Vec<Migration> {
        let fetched = self.fetched.iter();
        let mut migrations: Vec<Migration> = fetched
            .map(|(key, fetch)| Migration {
                fetched_at: fetch.time,
                session: key.session,
                epoch: key.epoch,
                target: fetch.node,
                requested_at: self.requested.get(key).copied().unwrap_or(fetch.time),
            })
            .collect();
        migrations.sort();
        migrations
    }

    /// Moves the session of a migration to its target. Returns the source, or 0 if it is unknown; `None` if the session
    /// is unknown.
    pub fn complete_migration(&mut self, migration: &Migration) -> Option<u64> {
        let session = self.sessions.get_mut(&migration.session)?;
        let source = session.stays.last().map_or(0, |stay| stay.node);
        session.stays.push(Stay {
            from: migration.fetched_at,
            node: migration.target,
        });
        Some(source)
    }

    /// Whether, at any time between `from` and `until`, a director's last notification said that a node is draining or
    /// gone.
    pub fn was_leaving(&self, director: u32, node: u64, from: Timestamp, until: Timestamp) -> bool {
        let leaving = self.leaving.get(&Notified { director, node });
        leaving.is_some_and(|changes| changes.ever(from, until))
    }

    /// Whether another node that holds the session's title had capacity.
    pub fn other_node_had_capacity(
        &self,
        rules: &Rules,
        session: &Session,
        node: u64,
        time: Timestamp,
    ) -> bool {
        let Some(placement) = rules.titles.get(&session.title) else {
            return false;
        };
        self.nodes.iter().any(|(id, history)| {
            let cell = history.cell;
            *id != node
                && cell.is_some_and(|cell| placement.contains(cell, rules.cells))
                && history.has_capacity(time)
                && !self.was_leaving(session.director, *id, time, time)
        })
    }

    /// The cause of a gap of a session at a node.
    pub fn gap_cause(&self, session: &Session, node: u64, time: Timestamp) -> GapCause {
        let from = time - GAP_CAUSE_WINDOW;
        let Some(history) = self.nodes.get(&node) else {
            return GapCause::Other;
        };
        let left = self.was_leaving(session.director, node, from, time);
        if left || history.died(from, time) {
            GapCause::NodeLost
        } else if history.was_frozen(from, time) {
            GapCause::NodeFrozen
        } else if history.was_short(from, time) {
            GapCause::Shortage
        } else {
            GapCause::Other
        }
    }
}

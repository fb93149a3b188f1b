//! One session: its viewer's request, its stage, and what nodes have confirmed.

use crate::ids::{CallId, RequestId};
use crate::output::SessionSummary;
use crate::session_migration::SessionMigration;
use shalewall::{Outcome, Request, ServerId, Timestamp};

/// The set-up attempt that is in flight.
#[derive(Clone, Copy)]
pub(crate) struct SetUpInFlight {
    pub call: CallId,
    pub server: ServerId,
    pub sent_at: Timestamp,
    /// The node reported the session's end before its answer was read.
    pub ended_early: bool,
}

/// The stage of a session, with the data that exists in this stage only.
pub(crate) enum Stage {
    /// The decision module is choosing a node; no attempt is in flight.
    Deciding,
    /// A set-up attempt is in flight.
    SettingUp(SetUpInFlight),
    /// It plays.
    Playing {
        server: ServerId,
        since: Timestamp,
        /// The URL of the stream.
        media: String,
    },
    /// Over for the viewer. The decision module is notified of `outcome` when the node has confirmed the end: until
    /// then the node may hold the session, so its capacity counts as used.
    Ending { server: ServerId, outcome: Outcome },
}

/// A session.
pub(crate) struct Session {
    /// Hash of the tenant and the viewer's key.
    pub viewer: u64,
    /// The request as passed to the decision module.
    pub request: Request,
    pub title: String,
    pub tenant: Option<String>,
    pub class: String,
    pub stage: Stage,
    /// Number of attempts sent. Attempts are numbered from 0.
    pub attempts_sent: u32,
    /// The attempt with which the decision module's count starts: those before it were sent by an earlier process.
    pub earlier_attempts: u32,
    /// Whether the session was recovered from an earlier process and its player has not subscribed again yet.
    pub awaits_player: bool,
    pub rung: usize,
    /// The rung that the node has confirmed last.
    pub confirmed_rung: usize,
    /// The call in flight that changes the rung.
    pub rung_call: Option<CallId>,
    /// The viewer's requests that wait for the answer; more than one if the viewer retried.
    pub waiting: Vec<RequestId>,
    /// Ends of its last attempt, at any nodes, that are not confirmed yet.
    pub unconfirmed_ends: u32,
    /// Its migration state, or `None` if its player has never subscribed to its events.
    pub migration: Option<Box<SessionMigration>>,
}

impl Session {
    /// Number of the last attempt.
    pub fn last_attempt(&self) -> u32 {
        self.attempts_sent.saturating_sub(1)
    }

    /// Number of the last attempt, not counting those of an earlier process.
    pub fn last_attempt_of_process(&self) -> u32 {
        self.last_attempt() - self.earlier_attempts
    }

    /// Whether `attempt` is the last one.
    pub fn is_last_attempt(&self, attempt: u32) -> bool {
        self.attempts_sent == attempt + 1
    }

    /// Starts a new attempt and returns its number.
    pub fn begin_attempt(&mut self) -> u32 {
        let attempt = self.attempts_sent;
        self.attempts_sent += 1;
        self.unconfirmed_ends = 0;
        attempt
    }

    /// Returns the attempt if it is in flight.
    pub fn set_up_in_flight(&self, attempt: u32) -> Option<SetUpInFlight> {
        match self.stage {
            Stage::SettingUp(set_up) if self.is_last_attempt(attempt) => Some(set_up),
            _ => None,
        }
    }

    pub fn is_playing(&self) -> bool {
        matches!(self.stage, Stage::Playing { .. })
    }

    /// The node at which it plays.
    pub fn playing_at(&self) -> Option<ServerId> {
        match self.stage {
            Stage::Playing { server, .. } => Some(server),
            _ => None,
        }
    }

    /// Whether a node is expected to hold it.
    pub fn is_expected_at(&self, node: ServerId) -> bool {
        match self.stage {
            Stage::Playing { server, .. } | Stage::SettingUp(SetUpInFlight { server, .. }) => {
                server == node || self.migrates_to(node)
            }
            Stage::Deciding | Stage::Ending { .. } => false,
        }
    }

    /// Whether a node has served it, or was ready as its migration target, since before `before`.
    pub fn was_held_at(&self, node: ServerId, before: Timestamp) -> bool {
        match self.stage {
            Stage::Playing { server, since, .. } => {
                (server == node && since < before) || self.was_ready_at(node, before)
            }
            _ => false,
        }
    }

    fn was_ready_at(&self, node: ServerId, before: Timestamp) -> bool {
        let migration = self.migration.as_ref();
        let target = migration.and_then(|migration| migration.target.as_ref());
        target.is_some_and(|target| {
            target.server == node && target.ready_since.is_some_and(|since| since < before)
        })
    }

    pub fn is_migrating(&self) -> bool {
        let migration = self.migration.as_ref();
        migration.is_some_and(|migration| migration.is_under_way())
    }

    pub fn migrates_to(&self, node: ServerId) -> bool {
        let migration = self.migration.as_ref();
        let target = migration.and_then(|migration| migration.target.as_ref());
        target.is_some_and(|target| target.server == node)
    }

    /// Whether it may survive the failure of a node: it can be migrated, or its player is expected to subscribe again.
    pub fn survives_node_failure(&self) -> bool {
        let Some(migration) = &self.migration else {
            return false;
        };
        migration.player_subscribed || migration.is_under_way() || self.awaits_player
    }

    /// Records that it now plays at the target of its migration. Returns the call that was to change the rung at the
    /// source and has to be cancelled.
    pub fn switch_to_target(&mut self, node: ServerId, now: Timestamp) -> Option<CallId> {
        let migration = self.migration.as_deref()?;
        let target = migration.target.as_ref()?;
        let Stage::Playing {
            server,
            since,
            media,
        } = &mut self.stage
        else {
            return None;
        };
        *server = node;
        *since = now;
        if let Some(target_media) = &target.media {
            media.clone_from(target_media);
        }
        // Rungs that were selected for the source in the meantime do not apply to the target.
        self.rung = target.rung;
        self.confirmed_rung = target.rung;
        self.rung_call.take()
    }

    /// The rung to send to its node: not confirmed yet, and no call to change it is in flight.
    pub fn rung_to_send(&self) -> Option<usize> {
        let settled = self.rung == self.confirmed_rung || self.rung_call.is_some();
        (!settled).then_some(self.rung)
    }

    /// Returns the node and the outcome if the session is over, no node may hold it and no request waits for it.
    pub fn outcome_if_over(&self) -> Option<(ServerId, Outcome)> {
        match self.stage {
            Stage::Ending { server, outcome }
                if self.unconfirmed_ends == 0 && self.waiting.is_empty() =>
            {
                Some((server, outcome))
            }
            _ => None,
        }
    }

    /// The summary that is shown to operators.
    pub fn summary(&self) -> SessionSummary {
        let server = match self.stage {
            Stage::Deciding => None,
            Stage::SettingUp(SetUpInFlight { server, .. })
            | Stage::Playing { server, .. }
            | Stage::Ending { server, .. } => Some(server),
        };
        SessionSummary {
            session: self.request.session,
            class: self.class.clone(),
            title: self.title.clone(),
            server,
            rung: self.rung,
            is_playing: self.is_playing(),
        }
    }
}

//! One session: what its viewer asked for, how far it is, and what nodes have confirmed of it.

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

/// How far a session is. Each stage holds just what is true of it.
pub(crate) enum Stage {
    /// The decision module has it; no attempt is in flight.
    Deciding,
    /// One attempt is in flight.
    SettingUp(SetUpInFlight),
    /// It plays.
    Playing {
        server: ServerId,
        since: Timestamp,
        /// Where the viewer finds the stream.
        media: String,
    },
    /// Over for the viewer. The decision module hears `outcome` when the node has confirmed the end, since until
    /// then the node may hold the session, and its capacity is in use.
    Leaving { server: ServerId, outcome: Outcome },
}

/// A session.
pub(crate) struct Session {
    /// Hash of the viewer's key and its tenant.
    pub viewer: u64,
    /// The request as the decision module has it.
    pub request: Request,
    pub title: String,
    pub tenant: Option<String>,
    pub class: String,
    pub stage: Stage,
    /// Attempts sent; the number of the last one is one less.
    pub attempts_sent: u32,
    /// How many of these an earlier process sent: the decision module counts from there on.
    pub earlier_attempts: u32,
    /// Taken over from an earlier process, and its player has not come back yet.
    pub awaits_player: bool,
    pub rung: usize,
    /// The rung that the node has confirmed.
    pub confirmed_rung: usize,
    /// The call that tells the node of another rung.
    pub rung_call: Option<CallId>,
    /// The viewer's requests that wait for the answer: more than one where it asked again.
    pub waiting: Vec<RequestId>,
    /// Ends of its last attempt that nodes have not confirmed, wherever.
    pub unconfirmed_ends: u32,
    /// Its migrations; none where its player has never followed.
    pub migration: Option<Box<SessionMigration>>,
}

impl Session {
    /// Number of the last attempt that was sent.
    pub fn last_attempt(&self) -> u32 {
        self.attempts_sent.saturating_sub(1)
    }

    /// The last attempt's number as the decision module counts.
    pub fn last_attempt_of_process(&self) -> u32 {
        self.last_attempt() - self.earlier_attempts
    }

    /// Whether this is the last attempt that was sent.
    pub fn is_last_attempt(&self, attempt: u32) -> bool {
        self.attempts_sent == attempt + 1
    }

    /// Begins a further attempt and returns its number.
    pub fn begin_attempt(&mut self) -> u32 {
        let attempt = self.attempts_sent;
        self.attempts_sent += 1;
        self.unconfirmed_ends = 0;
        attempt
    }

    /// This attempt, if it is in flight.
    pub fn set_up_in_flight(&self, attempt: u32) -> Option<SetUpInFlight> {
        match self.stage {
            Stage::SettingUp(set_up) if self.is_last_attempt(attempt) => Some(set_up),
            _ => None,
        }
    }

    pub fn is_playing(&self) -> bool {
        matches!(self.stage, Stage::Playing { .. })
    }

    /// The node that it plays at.
    pub fn playing_at(&self) -> Option<ServerId> {
        match self.stage {
            Stage::Playing { server, .. } => Some(server),
            _ => None,
        }
    }

    /// Whether a node that holds it is right to.
    pub fn is_expected_at(&self, node: ServerId) -> bool {
        match self.stage {
            Stage::Playing { server, .. } | Stage::SettingUp(SetUpInFlight { server, .. }) => {
                server == node || self.migrates_to(node)
            }
            Stage::Deciding | Stage::Leaving { .. } => false,
        }
    }

    /// Whether a node has held it, or been ready for it, since before this time.
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

    /// Whether the failure of one node need not end it: it can be migrated, or its player is on its way back.
    pub fn survives_node_failure(&self) -> bool {
        let Some(migration) = &self.migration else {
            return false;
        };
        migration.player_follows || migration.is_under_way() || self.awaits_player
    }

    /// It plays at the target of its migration from now on. Returns the call that tells the source of a rung, which
    /// is of no use any more.
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
        // Rungs that were chosen for the source meanwhile do not hold for the target.
        self.rung = target.rung;
        self.confirmed_rung = target.rung;
        self.rung_call.take()
    }

    /// A rung that its node has not confirmed, if no call for one is in flight.
    pub fn rung_to_send(&self) -> Option<usize> {
        let settled = self.rung == self.confirmed_rung || self.rung_call.is_some();
        (!settled).then_some(self.rung)
    }

    /// It is over for everyone, and no node holds it: what its outcome was, and where.
    pub fn outcome_if_over(&self) -> Option<(ServerId, Outcome)> {
        match self.stage {
            Stage::Leaving { server, outcome }
                if self.unconfirmed_ends == 0 && self.waiting.is_empty() =>
            {
                Some((server, outcome))
            }
            _ => None,
        }
    }

    /// As operators see it.
    pub fn summary(&self) -> SessionSummary {
        let server = match self.stage {
            Stage::Deciding => None,
            Stage::SettingUp(SetUpInFlight { server, .. })
            | Stage::Playing { server, .. }
            | Stage::Leaving { server, .. } => Some(server),
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

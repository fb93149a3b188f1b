//! The nodes' part in session migration: prepare, fetch, cancel and release. Also records node loads for the audit.

use super::{Nodes, SetUp};
use async_io::Timer;
use serde::Deserialize;
use shalewall::{ServerId, SessionId};
use shalewall_audit::{Record, SetUpOutcome, Timestamp};
use shalewall_fleet_model::fleet::{AttemptId, ProcessState, SetupDecision};
use shalewall_http::server::{Reply, Request};
use shalewall_migration::Epoch;
use shalewall_migration::node::{CancelOutcome, SessionEpochs};
use shalewall_migration::ticket::Ticket;
use std::time::Duration;

/// Body of a migration request: the set-up, and the ticket that authorizes it.
#[derive(Deserialize)]
struct MigrationRequest {
    #[serde(flatten)]
    new: SetUp,
    ticket: Ticket,
}

/// Preparation of a migrated stream. It is cancelled when this is dropped before the stream is ready.
struct PendingPreparation {
    nodes: Nodes,
    node_id: u64,
    attempt_id: AttemptId,
    epoch: Epoch,
    ready: bool,
}

impl Drop for PendingPreparation {
    fn drop(&mut self) {
        let mut inner = self.nodes.inner.borrow_mut();
        inner.preparing.remove(&(self.node_id, self.attempt_id));
        if !self.ready
            && let Some(node_sessions) = inner.node_sessions.get_mut(&self.node_id)
        {
            node_sessions.cancel(SessionId(self.attempt_id.session), self.epoch);
        }
    }
}

/// Interval of load records, by which the audit judges whether a target had capacity.
const LOAD_RECORD_INTERVAL: Duration = Duration::from_millis(500);

impl Nodes {
    pub(super) async fn handle_migration(self, node_id: u64, request: Request) -> Reply {
        let head = &request.head;
        let mut parts = head
            .path()
            .trim_start_matches("/moves/")
            .split('/')
            .map(str::parse);
        let (Some(Ok(session)), Some(Ok(attempt))) = (parts.next(), parts.next()) else {
            return Reply::problem(404, "no such thing here");
        };
        let attempt_id = AttemptId {
            session,
            attempt: attempt as u32,
        };
        if head.method == "PUT" {
            return match serde_json::from_slice::<MigrationRequest>(&request.body) {
                Ok(new) => self.prepare(node_id, attempt_id, new).await,
                Err(e) => Reply::problem(422, &e.to_string()),
            };
        }
        let Some(epoch) = head.query("epoch").and_then(|e| e.parse().ok()).map(Epoch) else {
            return Reply::problem(400, "the epoch is needed");
        };
        self.wait_until_running(node_id).await;
        let outcome = {
            let mut inner = self.inner.borrow_mut();
            inner
                .node_sessions
                .get_mut(&node_id)
                .map(|h| h.cancel(SessionId(attempt_id.session), epoch))
        };
        let reply = match outcome {
            Some(CancelOutcome::AlreadyServing) => Reply::problem(409, "its player has fetched it"),
            Some(CancelOutcome::Cancelled) | None => {
                self.end_released(node_id, attempt_id);
                Reply::new(204)
            }
        };
        self.with_load(node_id, reply)
    }

    /// Releases a session up to an epoch, or entirely without one. Returns whether it was playing and has ended.
    pub(super) fn release(&self, node_id: u64, attempt_id: AttemptId, upto: Option<Epoch>) -> bool {
        let session = SessionId(attempt_id.session);
        let played = {
            let mut inner = self.inner.borrow_mut();
            if let Some(node_sessions) = inner.node_sessions.get_mut(&node_id) {
                node_sessions.release(session, upto.unwrap_or(Epoch(u32::MAX)));
            }
            inner
                .fleet
                .nodes
                .get(&node_id)
                .is_some_and(|n| n.playing.contains_key(&attempt_id))
        };
        if upto.is_none() && !played {
            // Cancels a set-up of that attempt that arrives later.
            self.inner
                .borrow_mut()
                .fleet
                .end_session(node_id, attempt_id);
            return false;
        }
        self.end_released(node_id, attempt_id) && played
    }

    /// Ends the stream of a session that is neither served nor prepared here any more.
    fn end_released(&self, node_id: u64, attempt_id: AttemptId) -> bool {
        let ended = {
            let mut inner = self.inner.borrow_mut();
            let epochs = inner
                .node_sessions
                .get(&node_id)
                .map(|h| h.epochs(SessionId(attempt_id.session)))
                .unwrap_or_default();
            let is_playing = inner
                .fleet
                .nodes
                .get(&node_id)
                .is_some_and(|n| n.playing.contains_key(&attempt_id));
            is_playing
                && epochs == SessionEpochs::default()
                && inner.fleet.end_session(node_id, attempt_id)
        };
        if ended {
            self.record_session_end(node_id, attempt_id);
        }
        ended
    }

    async fn prepare(
        self,
        node_id: u64,
        attempt_id: AttemptId,
        MigrationRequest { new, ticket }: MigrationRequest,
    ) -> Reply {
        let (session, epoch) = (SessionId(attempt_id.session), ticket.epoch);
        let now = shalewall_clock::now().as_micros();
        self.recorder.record(Record::MigrationReceived {
            time: Timestamp::from_micros(now),
            node: node_id,
            director: new.director,
            session: attempt_id.session,
            attempt: attempt_id.attempt,
            epoch: epoch.0,
            tenant: new.tenant.clone(),
            class: new.class.clone(),
            title: new.title.clone(),
            rung: new.rung,
        });
        // A duplicate request waits for the first one, and gets the same response.
        while self
            .inner
            .borrow()
            .preparing
            .contains(&(node_id, attempt_id))
        {
            Timer::after(Duration::from_millis(5)).await;
        }
        self.wait_until_running(node_id).await;
        let epochs_before = self
            .inner
            .borrow()
            .node_sessions
            .get(&node_id)
            .map(|h| h.epochs(session))
            .unwrap_or_default();
        let accepted = {
            let mut inner = self.inner.borrow_mut();
            let key = self.settings.ticket_key.as_ref();
            let millis = (shalewall_clock::now().as_micros() / 1000) as u64;
            let node_sessions = inner.node_sessions.get_mut(&node_id);
            let session_matches = ticket.session == attempt_id.session;
            let prepared = node_sessions
                .zip(key)
                .map(|(h, key)| h.prepare(ServerId(node_id), key, millis, &ticket));
            session_matches && prepared.is_some_and(|d| d.is_ok())
        };
        if !accepted {
            return self.with_load(node_id, Reply::problem(410, "the ticket is not good here"));
        }
        let media =
            serde_json::json!({ "media": self.media_url(node_id, attempt_id), "rung": new.rung })
                .to_string();
        let is_playing = self
            .inner
            .borrow()
            .fleet
            .nodes
            .get(&node_id)
            .is_some_and(|n| n.playing.contains_key(&attempt_id));
        if epochs_before.serving.max(epochs_before.prepared) == Some(epoch) || is_playing {
            return self.with_load(node_id, Reply::json(201, media));
        }
        self.inner
            .borrow_mut()
            .preparing
            .insert((node_id, attempt_id));
        let mut preparing = PendingPreparation {
            nodes: self.clone(),
            node_id,
            attempt_id,
            epoch,
            ready: false,
        };
        let decision = self.inner.borrow_mut().fleet.begin_migration(
            node_id,
            attempt_id,
            Timestamp::from_micros(now),
        );
        let time = match decision {
            SetupDecision::Accepted(time) => time,
            SetupDecision::Overloaded => {
                self.crash(node_id);
                return futures_lite::future::pending().await;
            }
            SetupDecision::Rejected | SetupDecision::Cancelled => {
                drop(preparing);
                return self.with_load(node_id, Reply::problem(503, "no place"));
            }
        };
        let mut reservation = SetUpReservation {
            nodes: self.clone(),
            node_id,
            armed: true,
        };
        Timer::after(Duration::from_micros(time.as_micros().max(0) as u64)).await;
        self.wait_until_running(node_id).await;
        reservation.armed = false;
        // The migration may have been cancelled, or the session ended, meanwhile.
        let epochs = self
            .inner
            .borrow()
            .node_sessions
            .get(&node_id)
            .map(|h| h.epochs(session))
            .unwrap_or_default();
        if epochs.prepared != Some(epoch)
            || !self.inner.borrow_mut().fleet.complete_setup(
                node_id,
                attempt_id,
                new.into_session(),
            )
        {
            return self.with_load(node_id, Reply::problem(410, "ended before it was ready"));
        }
        preparing.ready = true;
        let AttemptId { session, attempt } = attempt_id;
        self.recorder.record(Record::MigrationReady {
            time: shalewall_clock::now(),
            node: node_id,
            session,
            attempt,
            epoch: epoch.0,
            outcome: SetUpOutcome::Playing,
        });
        self.executor
            .spawn(self.clone().expire_unfetched(node_id, attempt_id))
            .detach();
        self.with_load(node_id, Reply::json(201, media))
    }

    /// Description of a session for the director that opens its event stream: all that it needs to resume the session.
    pub(super) fn session_description(
        &self,
        node_id: u64,
        attempt_id: AttemptId,
    ) -> Option<serde_json::Value> {
        let media = self.media_url(node_id, attempt_id);
        let inner = self.inner.borrow();
        let p = inner.fleet.nodes.get(&node_id)?.playing.get(&attempt_id)?;
        let epochs = inner
            .node_sessions
            .get(&node_id)
            .map(|h| h.epochs(SessionId(attempt_id.session)))
            .unwrap_or_default();
        Some(serde_json::json!({
            "session": attempt_id.session, "attempt": attempt_id.attempt, "viewer": p.viewer, "tenant": p.tenant,
            "class": p.class, "title": p.title, "rung": p.rung, "serving": epochs.serving,
            "prepared": epochs.prepared, "media": media,
        }))
    }

    pub(super) fn record_fetch(
        &self,
        node_id: u64,
        AttemptId { session, attempt }: AttemptId,
        epoch: Epoch,
    ) {
        self.recorder.record(Record::PlayerFetched {
            time: shalewall_clock::now(),
            node: node_id,
            session,
            attempt,
            epoch: epoch.0,
        });
    }

    /// Records the load of each node for the audit.
    pub(super) async fn record_loads_periodically(self) {
        loop {
            Timer::after(LOAD_RECORD_INTERVAL).await;
            let inner = self.inner.borrow();
            let time = shalewall_clock::now();
            for (node, n) in inner
                .fleet
                .nodes
                .iter()
                .filter(|(_, n)| n.process == ProcessState::Running)
            {
                let f = inner.fleet.load(*node);
                let streams = f.streams as f64 / n.machine.stream_capacity;
                self.recorder.record(Record::NodeLoad {
                    time,
                    node: *node,
                    link: f.link,
                    uplink: f.uplink,
                    streams,
                });
            }
        }
    }
}

/// Stream that is reserved while a migrated session is prepared. Dropping this frees the stream while `armed` is set.
struct SetUpReservation {
    nodes: Nodes,
    node_id: u64,
    armed: bool,
}

impl Drop for SetUpReservation {
    fn drop(&mut self) {
        if self.armed {
            self.nodes
                .inner
                .borrow_mut()
                .fleet
                .abandon_setup(self.node_id);
        }
    }
}

//! The nodes' part in hand-overs: made ready, fetched, cancelled, released.

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

/// What a set-up tells, and the ticket for it.
#[derive(Deserialize)]
struct HandIn {
    #[serde(flatten)]
    new: SetUp,
    ticket: Ticket,
}

/// A stream that is being made ready; dropped before it is, nothing of it is left.
struct Preparing {
    nodes: Nodes,
    id: u64,
    run: AttemptId,
    epoch: Epoch,
    ready: bool,
}

impl Drop for Preparing {
    fn drop(&mut self) {
        let mut inner = self.nodes.inner.borrow_mut();
        inner.preparing.remove(&(self.id, self.run));
        if !self.ready
            && let Some(holds) = inner.holds.get_mut(&self.id)
        {
            holds.cancel(SessionId(self.run.session), self.epoch);
        }
    }
}

/// Loads are noted so often, for the auditor: whether a target had room.
const LOADS: Duration = Duration::from_millis(500);

impl Nodes {
    pub(super) async fn hand_over(self, id: u64, request: Request) -> Reply {
        let head = &request.head;
        let mut parts = head
            .path()
            .trim_start_matches("/moves/")
            .split('/')
            .map(str::parse);
        let (Some(Ok(session)), Some(Ok(attempt))) = (parts.next(), parts.next()) else {
            return Reply::problem(404, "no such thing here");
        };
        let run = AttemptId {
            session,
            attempt: attempt as u32,
        };
        if head.method == "PUT" {
            return match serde_json::from_slice::<HandIn>(&request.body) {
                Ok(new) => self.prepare(id, run, new).await,
                Err(e) => Reply::problem(422, &e.to_string()),
            };
        }
        let Some(epoch) = head.query("epoch").and_then(|e| e.parse().ok()).map(Epoch) else {
            return Reply::problem(400, "the epoch is needed");
        };
        self.awake(id).await;
        let how = {
            let mut inner = self.inner.borrow_mut();
            inner
                .holds
                .get_mut(&id)
                .map(|h| h.cancel(SessionId(run.session), epoch))
        };
        let reply = match how {
            Some(CancelOutcome::AlreadyServing) => Reply::problem(409, "its player has fetched it"),
            Some(CancelOutcome::Cancelled) | None => {
                self.tidy(id, run);
                Reply::new(204)
            }
        };
        self.with_load(id, reply)
    }

    /// Ends what is held up to an epoch, or at all. True: something played.
    pub(super) fn release(&self, id: u64, run: AttemptId, upto: Option<Epoch>) -> bool {
        let session = SessionId(run.session);
        let played = {
            let mut inner = self.inner.borrow_mut();
            if let Some(holds) = inner.holds.get_mut(&id) {
                holds.release(session, upto.unwrap_or(Epoch(u32::MAX)));
            }
            inner
                .fleet
                .nodes
                .get(&id)
                .is_some_and(|n| n.playing.contains_key(&run))
        };
        if upto.is_none() && !played {
            // A set-up of that number that comes later must not begin.
            self.inner.borrow_mut().fleet.end_session(id, run);
            return false;
        }
        self.tidy(id, run) && played
    }

    /// Ends the stream of a session of which nothing is held any more.
    fn tidy(&self, id: u64, run: AttemptId) -> bool {
        let ended = {
            let mut inner = self.inner.borrow_mut();
            let held = inner
                .holds
                .get(&id)
                .map(|h| h.epochs(SessionId(run.session)))
                .unwrap_or_default();
            let plays = inner
                .fleet
                .nodes
                .get(&id)
                .is_some_and(|n| n.playing.contains_key(&run));
            plays && held == SessionEpochs::default() && inner.fleet.end_session(id, run)
        };
        if ended {
            self.over(id, run);
        }
        ended
    }

    async fn prepare(self, id: u64, run: AttemptId, HandIn { new, ticket }: HandIn) -> Reply {
        let (session, epoch) = (SessionId(run.session), ticket.epoch);
        let now = shalewall_clock::now().as_micros();
        self.recorder.note(Record::MigrationReceived {
            time: Timestamp::from_micros(now),
            node: id,
            director: new.director,
            session: run.session,
            attempt: run.attempt,
            epoch: epoch.0,
            tenant: new.tenant.clone(),
            class: new.class.clone(),
            title: new.title.clone(),
            rung: new.rung,
        });
        // The same again, while the first is being made ready: one answer for both.
        while self.inner.borrow().preparing.contains(&(id, run)) {
            Timer::after(Duration::from_millis(5)).await;
        }
        self.awake(id).await;
        let before = self
            .inner
            .borrow()
            .holds
            .get(&id)
            .map(|h| h.epochs(session))
            .unwrap_or_default();
        let taken = {
            let mut inner = self.inner.borrow_mut();
            let key = self.telling.key.as_ref();
            let millis = (shalewall_clock::now().as_micros() / 1000) as u64;
            let holds = inner.holds.get_mut(&id);
            let fits = ticket.session == run.session;
            let done = holds
                .zip(key)
                .map(|(h, key)| h.prepare(ServerId(id), key, millis, &ticket));
            fits && done.is_some_and(|d| d.is_ok())
        };
        if !taken {
            return self.with_load(id, Reply::problem(410, "the ticket is not good here"));
        }
        let media =
            serde_json::json!({ "media": self.media_of(id, run), "rung": new.rung }).to_string();
        let plays = self
            .inner
            .borrow()
            .fleet
            .nodes
            .get(&id)
            .is_some_and(|n| n.playing.contains_key(&run));
        if before.serving.max(before.prepared) == Some(epoch) || plays {
            return self.with_load(id, Reply::json(201, media));
        }
        self.inner.borrow_mut().preparing.insert((id, run));
        let mut preparing = Preparing {
            nodes: self.clone(),
            id,
            run,
            epoch,
            ready: false,
        };
        let arrival =
            self.inner
                .borrow_mut()
                .fleet
                .begin_migration(id, run, Timestamp::from_micros(now));
        let time = match arrival {
            SetupDecision::Accepted(time) => time,
            SetupDecision::Overloaded => {
                self.crash(id);
                return futures_lite::future::pending().await;
            }
            SetupDecision::Rejected | SetupDecision::Cancelled => {
                drop(preparing);
                return self.with_load(id, Reply::problem(503, "no place"));
            }
        };
        let mut counted = Counted {
            nodes: self.clone(),
            id,
            armed: true,
        };
        Timer::after(Duration::from_micros(time.as_micros().max(0) as u64)).await;
        self.awake(id).await;
        counted.armed = false;
        // Cancelled meanwhile, or ended: then it is not to begin.
        let held = self
            .inner
            .borrow()
            .holds
            .get(&id)
            .map(|h| h.epochs(session))
            .unwrap_or_default();
        if held.prepared != Some(epoch)
            || !self
                .inner
                .borrow_mut()
                .fleet
                .complete_setup(id, run, new.playing())
        {
            return self.with_load(id, Reply::problem(410, "ended before it was ready"));
        }
        preparing.ready = true;
        let AttemptId { session, attempt } = run;
        self.recorder.note(Record::MigrationReady {
            time: shalewall_clock::now(),
            node: id,
            session,
            attempt,
            epoch: epoch.0,
            outcome: SetUpOutcome::Playing,
        });
        self.ex.spawn(self.clone().unfetched(id, run)).detach();
        self.with_load(id, Reply::json(201, media))
    }

    /// What a front is told of a session here when it opens its event stream: all that it needs to go on with it.
    pub(super) fn held_as_told(&self, id: u64, run: AttemptId) -> Option<serde_json::Value> {
        let media = self.media_of(id, run);
        let inner = self.inner.borrow();
        let p = inner.fleet.nodes.get(&id)?.playing.get(&run)?;
        let held = inner
            .holds
            .get(&id)
            .map(|h| h.epochs(SessionId(run.session)))
            .unwrap_or_default();
        Some(serde_json::json!({
            "session": run.session, "attempt": run.attempt, "viewer": p.viewer, "tenant": p.tenant, "class": p.class,
            "title": p.title, "rung": p.rung, "serving": held.serving, "prepared": held.prepared, "media": media,
        }))
    }

    pub(super) fn note_fetched(
        &self,
        id: u64,
        AttemptId { session, attempt }: AttemptId,
        epoch: Epoch,
    ) {
        self.recorder.note(Record::PlayerFetched {
            time: shalewall_clock::now(),
            node: id,
            session,
            attempt,
            epoch: epoch.0,
        });
    }

    /// Tells the auditor how loaded each node is.
    pub(super) async fn note_loads(self) {
        loop {
            Timer::after(LOADS).await;
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
                self.recorder.note(Record::NodeLoad {
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

/// A place that is taken while a stream is made ready.
struct Counted {
    nodes: Nodes,
    id: u64,
    armed: bool,
}

impl Drop for Counted {
    fn drop(&mut self) {
        if self.armed {
            self.nodes.inner.borrow_mut().fleet.abandon_setup(self.id);
        }
    }
}

//! Keeps a node's event stream open and decodes its events for the engine.

use super::NodeConnections;
use crate::director::Director;
use async_io::Timer;
use serde::Deserialize;
use serde_json::Value;
use shalewall::{ServerId, SessionId, Timestamp};
use shalewall_engine::{Input, NodeEvent, SessionAttempt, TransferredSession};
use shalewall_http::client::{Call, CallError, ConnectErrorKind, EventStream, with_timeout};
use shalewall_migration::Epoch;
use shalewall_migration::node::SessionEpochs;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Delay before the first retry of an event stream; it doubles with each failed attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum delay between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum size of one event, enough for a snapshot of all sessions of a node.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// How an attempt at an event stream ended.
enum StreamEnd {
    /// It was open and ended.
    Closed,
    /// The connection was refused, which means that the node's process has ended.
    Refused,
    /// It could not be opened, or its snapshot could not be decoded.
    Failed,
}

/// Keeps a node's event stream open and passes its events to the engine.
pub async fn watch(
    connections: Rc<NodeConnections>,
    director: Rc<Director>,
    sink: impl Fn(Input) + 'static,
) {
    let server = connections.server;
    let mut backoff = MIN_BACKOFF;
    loop {
        match read_stream(&connections, &director, &sink).await {
            StreamEnd::Closed => backoff = MIN_BACKOFF,
            StreamEnd::Refused => {
                info!(server = server.0, "node connection refused");
                sink(Input::NodeDown { server });
            }
            StreamEnd::Failed => {}
        }
        Timer::after(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn read_stream(
    connections: &NodeConnections,
    director: &Director,
    sink: &impl Fn(Input),
) -> StreamEnd {
    let server = connections.server;
    let timeout = director.stream_timeout;
    let requested_at = shalewall_clock::now();
    let connection = match with_timeout(timeout, connections.pool.connect()).await {
        None => return StreamEnd::Failed,
        Some(Ok(connection)) => connection,
        // Only a refused connection proves that the process has ended. A lack of descriptors or of a route says nothing
        // about the node.
        Some(Err(CallError::NotConnected(ConnectErrorKind::Refused, _))) => {
            return StreamEnd::Refused;
        }
        Some(Err(error)) => {
            debug!(server = server.0, %error, "node event stream not connected");
            return StreamEnd::Failed;
        }
    };
    let target = format!("/events?director={}", director.number);
    let call = Call::new("GET", &target, &connections.host);
    let Some(Ok((head, incoming))) = with_timeout(timeout, connection.stream(&call)).await else {
        return StreamEnd::Failed;
    };
    if head.status != 200 {
        let status = head.status;
        warn!(server = server.0, status, "node event stream refused");
        return StreamEnd::Failed;
    }
    let mut events = EventStream::new(incoming, MAX_EVENT_BYTES);
    while let Some(batch) = events.next(timeout).await {
        for event in batch {
            if event.kind != "held" {
                forward_event(server, &event.kind, &event.data, sink);
            } else if !forward_snapshot(server, requested_at, &event.data, sink) {
                return StreamEnd::Failed;
            }
        }
    }
    StreamEnd::Closed
}

fn forward_event(server: ServerId, kind: &str, data: &str, sink: &impl Fn(Input)) {
    match decode_event(kind, data) {
        Some(event) => sink(Input::NodeNotified { server, event }),
        None => warn!(server = server.0, kind, "node event not decoded"),
    }
}

/// Returns `false` if the snapshot can't be decoded.
fn forward_snapshot(
    server: ServerId,
    requested_at: Timestamp,
    data: &str,
    sink: &impl Fn(Input),
) -> bool {
    let Ok(snapshot) = serde_json::from_str::<Vec<SnapshotEntry>>(data) else {
        warn!(server = server.0, "node snapshot not decoded");
        return false;
    };
    let held = snapshot.iter().map(SnapshotEntry::attempt).collect();
    let sessions = snapshot.into_iter().map(SnapshotEntry::session).collect();
    sink(Input::NodeSessionsReported { server, sessions });
    sink(Input::NodeConnected {
        server,
        requested_at,
        held,
    });
    true
}

/// A session in a node's snapshot.
#[derive(Deserialize)]
struct SnapshotEntry {
    session: u64,
    attempt: u32,
    viewer: u64,
    tenant: Option<String>,
    class: String,
    title: String,
    rung: usize,
    #[serde(flatten)]
    epochs: SessionEpochs,
    media: String,
}

impl SnapshotEntry {
    fn attempt(&self) -> SessionAttempt {
        SessionAttempt {
            session: SessionId(self.session),
            attempt: self.attempt,
        }
    }

    fn session(self) -> TransferredSession {
        TransferredSession {
            session: SessionId(self.session),
            attempt: self.attempt,
            viewer: self.viewer,
            tenant: self.tenant,
            class: self.class,
            title: self.title,
            rung: self.rung,
            epochs: self.epochs,
            media: self.media,
        }
    }
}

fn decode_event(kind: &str, data: &str) -> Option<NodeEvent> {
    let data: Value = serde_json::from_str(data).ok()?;
    let session = SessionId(data["session"].as_u64()?);
    let number = |name: &str| u32::try_from(data[name].as_u64()?).ok();
    let fraction = |name: &str| data[name].as_f64().filter(|fraction| *fraction >= 0.0);
    Some(match kind {
        "ended" => NodeEvent::SessionEnded {
            session,
            attempt: number("attempt")?,
        },
        "fetched" => NodeEvent::StreamFetched {
            session,
            attempt: number("attempt")?,
            epoch: Epoch(number("epoch")?),
        },
        "figures" => NodeEvent::LoadReported {
            session,
            delivered_fraction: fraction("delivered"),
            link_utilization: fraction("link"),
            uplink_utilization: fraction("uplink"),
        },
        _ => return None,
    })
}

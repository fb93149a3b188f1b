//! The stream of the endpoint list, whose service pushes updates to the director.

use crate::director::Director;
use async_io::Timer;
use serde::Deserialize;
use shalewall::{EndpointState, EndpointUpdate, ServerId, Timestamp};
use shalewall_engine::{EndpointEntry, Input};
use shalewall_http::client::{Call, EventStream, with_timeout};
use shalewall_http::pool::Pool;
use std::net::{AddrParseError, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tracing::{info, warn};

/// Delay before the stream is reopened after it ended or could not be opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Maximum size of one event, enough for a list of some thousand nodes.
const MAX_EVENT_BYTES: usize = 8 * 1024 * 1024;

/// Why an update of the list is rejected.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The update is not JSON or has an unexpected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A node's state is unknown.
    #[error("server {server}: unknown standing '{state}'")]
    UnknownState {
        /// The node.
        server: u64,
        /// The state that the list gives.
        state: String,
    },
    /// A node's address can't be parsed.
    #[error("server {server}: address: {error}")]
    InvalidAddress {
        /// The node.
        server: u64,
        /// Why it can't be parsed.
        error: AddrParseError,
    },
    /// A node's weight is negative or not finite.
    #[error("server {server}: weight {weight} is negative or not finite")]
    InvalidWeight {
        /// The node.
        server: u64,
        /// The weight that the list gives.
        weight: f64,
    },
}

/// An entry in the list's wire format.
#[derive(Deserialize)]
struct WireEntry {
    server: u64,
    address: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    cell: u64,
    standing: String,
    #[serde(default = "default_weight")]
    weight: f64,
    started: Option<i64>,
}

fn default_weight() -> f64 {
    1.0
}

impl TryFrom<WireEntry> for EndpointEntry {
    type Error = EndpointListError;

    fn try_from(wire: WireEntry) -> Result<EndpointEntry, EndpointListError> {
        let server = wire.server;
        let state = match wire.standing.as_str() {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Gone,
            _ => {
                let state = wire.standing;
                return Err(EndpointListError::UnknownState { server, state });
            }
        };
        let address = wire.address.as_deref().map(str::parse).transpose();
        let address =
            address.map_err(|error| EndpointListError::InvalidAddress { server, error })?;
        let weight = wire.weight;
        if !weight.is_finite() || weight < 0.0 {
            return Err(EndpointListError::InvalidWeight { server, weight });
        }
        Ok(EndpointEntry {
            server: ServerId(server),
            address,
            zone: wire.zone,
            machine_kind: wire.kind,
            cell: wire.cell,
            state,
            weight,
            started_at: wire.started.map(Timestamp::from_micros),
        })
    }
}

/// Decodes an update. One invalid entry rejects the whole update.
fn decode_entries(data: &str) -> Result<Vec<EndpointEntry>, EndpointListError> {
    let entries: Vec<WireEntry> = serde_json::from_str(data)?;
    entries.into_iter().map(EndpointEntry::try_from).collect()
}

/// Keeps the list's stream open and passes its updates to the engine. While it is down, the last list stays in use.
pub async fn watch(address: SocketAddr, director: Rc<Director>, sink: impl Fn(Input) + 'static) {
    let timeout = director.stream_timeout;
    let pool = Pool::new(address, director.limits.clone(), Duration::ZERO, 0);
    let host = address.to_string();
    let target = format!("/servers?director={}", director.number);
    let call = Call::new("GET", &target, &host);
    loop {
        let opening = async { pool.connect().await?.stream(&call).await };
        if let Some(Ok((head, incoming))) = with_timeout(timeout, opening).await
            && head.status == 200
        {
            info!("endpoint list connected");
            let mut events = EventStream::new(incoming, MAX_EVENT_BYTES);
            while let Some(batch) = events.next(timeout).await {
                for event in batch {
                    forward_update(&event.kind, &event.data, &sink);
                }
            }
            warn!("endpoint list disconnected");
            sink(Input::EndpointsUpdated {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            });
        }
        Timer::after(RECONNECT_DELAY).await;
    }
}

fn forward_update(kind: &str, data: &str, sink: &impl Fn(Input)) {
    let update = match kind {
        "full" => EndpointUpdate::Full,
        "delta" => EndpointUpdate::Delta,
        _ => return,
    };
    match decode_entries(data) {
        Ok(endpoints) => sink(Input::EndpointsUpdated { update, endpoints }),
        Err(error) => warn!(%error, "endpoint list update rejected"),
    }
}

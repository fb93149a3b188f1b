//! The list of servers, pushed to this front.

use crate::hub::Hub;
use async_io::Timer;
use serde::Deserialize;
use shalewall::{EndpointState, EndpointUpdate, ServerId};
use shalewall_engine::{EndpointEntry, Input};
use shalewall_http::client::{Call, Events, in_time};
use shalewall_http::pool::Pool;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

const PAUSE: Duration = Duration::from_millis(500);
/// A whole list of some thousand servers.
const EVENT: usize = 8 * 1024 * 1024;

#[derive(Deserialize)]
struct Wire {
    server: u64,
    address: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    cell: u64,
    standing: String,
    #[serde(default = "one")]
    weight: f64,
    started: Option<i64>,
}

fn one() -> f64 {
    1.0
}

/// A piece of news, read whole or not at all.
fn read(data: &str) -> Result<Vec<EndpointEntry>, String> {
    let wire: Vec<Wire> = serde_json::from_str(data).map_err(|e| e.to_string())?;
    let line = |w: Wire| {
        let standing = match w.standing.as_str() {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Gone,
            other => return Err(format!("server {}: '{other}' is no standing", w.server)),
        };
        let address = w
            .address
            .as_deref()
            .map(str::parse::<SocketAddr>)
            .transpose();
        let address = address.map_err(|e| format!("server {}: address: {e}", w.server))?;
        if !w.weight.is_finite() || w.weight < 0.0 {
            return Err(format!("server {}: weight {}", w.server, w.weight));
        }
        Ok(EndpointEntry {
            server: ServerId(w.server),
            address,
            zone: w.zone,
            machine_kind: w.kind,
            cell: w.cell,
            state: standing,
            weight: w.weight,
            started_at: w.started,
        })
    };
    wire.into_iter().map(line).collect()
}

/// Keeps the list's stream open; while it is away, the last list stands.
pub async fn watch(hub: Rc<Hub>, address: SocketAddr) {
    let pool = Pool::new(address, hub.limits.clone(), Duration::ZERO, 0);
    let host = address.to_string();
    let target = format!("/servers?director={}", hub.director);
    let call = Call::new("GET", &target, &host);
    loop {
        let opening = async { pool.connect().await?.stream(&call).await };
        if let Some(Ok((head, incoming))) = in_time(hub.silence, opening).await
            && head.status == 200
        {
            info!("list is open");
            let mut events = Events::new(incoming, EVENT);
            while let Some(batch) = events.next(hub.silence).await {
                for event in batch {
                    let news = match event.kind.as_str() {
                        "full" => EndpointUpdate::Full,
                        "delta" => EndpointUpdate::Delta,
                        _ => continue,
                    };
                    match read(&event.data) {
                        Ok(lines) => hub.feed(Input::EndpointsUpdated {
                            update: news,
                            endpoints: lines,
                        }),
                        Err(why) => warn!(why, "news of the list refused, the old list stands"),
                    }
                }
            }
            warn!("list is out of reach, the last one stands");
            hub.feed(Input::EndpointsUpdated {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            });
        }
        Timer::after(PAUSE).await;
    }
}

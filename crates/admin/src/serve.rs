//! Serves the API on a socket: connections, long polling for changes, and the purge of deleted tenants.

use crate::api::{Api, TokenSeed};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future;
use rand::RngExt;
use shalewall_http::Limits;
use shalewall_http::server::{Reply, Request, serve};
use shalewall_tenancy::UnixMillis;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of open connections. Further ones are closed immediately.
const MAX_CONNECTIONS: usize = 1024;
/// Maximum duration of a long poll for changes.
const MAX_WAIT_FOR_CHANGES: Duration = Duration::from_secs(30);
/// Interval of the purge of deleted tenants.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum size of a request's content. Terms with 100,000 titles take about 6 MB.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The current time in milliseconds since 1970.
pub fn unix_time_millis() -> UnixMillis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as UnixMillis)
}

/// Starts the server on an executor. Returns the address that it listens on.
pub fn start_server(
    executor: &Rc<LocalExecutor<'static>>,
    listen: SocketAddr,
    api: Rc<Api>,
) -> std::io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(listen)?;
    let address = listener.get_ref().local_addr()?;
    let server = Rc::new(Server {
        api,
        tenants_changed: Event::new(),
        connections: Cell::new(0),
        limits: Limits {
            body: MAX_BODY_BYTES,
            ..Limits::default()
        },
    });
    executor
        .spawn(purge_deleted_tenants(server.clone()))
        .detach();
    executor
        .spawn(accept_connections(server, listener, executor.clone()))
        .detach();
    Ok(address)
}

struct Server {
    api: Rc<Api>,
    /// Wakes long polls for changes.
    tenants_changed: Event,
    /// Number of open connections.
    connections: Cell<usize>,
    limits: Limits,
}

impl Server {
    fn has_changes_after(&self, change_number: u64) -> bool {
        let last = self.api.store.last_change_number();
        last.is_ok_and(|last| last > change_number)
    }
}

async fn purge_deleted_tenants(server: Rc<Server>) {
    loop {
        Timer::after(PURGE_INTERVAL).await;
        match server.api.purge_deleted_tenants(unix_time_millis()) {
            Ok(0) => {}
            Ok(count) => {
                tracing::info!(count, "deleted tenants purged");
                server.tenants_changed.notify(usize::MAX);
            }
            Err(error) => tracing::error!(error = %error, "purge of deleted tenants failed"),
        }
    }
}

async fn accept_connections(
    server: Rc<Server>,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_BACKOFF).await;
            continue;
        };
        if server.connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        server.connections.set(server.connections.get() + 1);
        let server = server.clone();
        executor
            .spawn(async move {
                let answer = |request| answer(server.clone(), request);
                serve(stream, &server.limits, answer).await;
                server.connections.set(server.connections.get() - 1);
            })
            .detach();
    }
}

/// Answers a request and logs it. Wakes long polls if the request may have changed a tenant.
async fn answer(server: Rc<Server>, request: Request) -> Reply {
    let reply = answer_or_wait(&server, &request).await;
    let method = &request.head.method;
    let path = request.head.path();
    if method != "GET" && path != "/usage" {
        server.tenants_changed.notify(usize::MAX);
    }
    tracing::info!(method, path, status = reply.status, "administration call");
    reply
}

/// Answers a request. A request for changes with `wait_ms` is held until there are changes or the time has passed.
async fn answer_or_wait(server: &Server, request: &Request) -> Reply {
    let wait = Duration::from_millis(query_number_or_zero(request, "wait_ms"));
    let deadline = Instant::now() + wait.min(MAX_WAIT_FOR_CHANGES);
    let after = query_number_or_zero(request, "after");
    loop {
        let change = server.tenants_changed.listen();
        let seed = TokenSeed {
            id: rand::rng().random(),
            secret: rand::rng().random(),
        };
        let reply = server.api.answer(request, unix_time_millis(), seed);
        let may_wait = request.head.path() == "/changes" && reply.status == 200;
        if !may_wait || Instant::now() >= deadline || server.has_changes_after(after) {
            return reply;
        }
        let timeout = async {
            Timer::at(deadline).await;
        };
        future::or(change, timeout).await;
    }
}

/// A number in the query, or 0 if it is missing or invalid. The operation itself rejects an invalid number.
fn query_number_or_zero(request: &Request, name: &str) -> u64 {
    let text = request.head.query(name);
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

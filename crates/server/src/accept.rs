//! Accepts viewers' connections up to a limit and serves each in its own task.

use crate::connections::{AdmittedConnection, TenantConnections};
use crate::event_loop::EventLoop;
use crate::tenants::Tenants;
use crate::viewer_api::ViewerApi;
use async_io::{Async, Timer};
use shalewall_http::server::{serve, serve_with_hooks};
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Delay after a failed accept, most likely for lack of file descriptors, which is temporary.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts connections for as long as it is polled.
pub async fn accept_connections(
    event_loop: Rc<EventLoop>,
    api: Rc<ViewerApi>,
    tenants: Option<Rc<Tenants>>,
    listener: Async<TcpListener>,
    max_connections: usize,
) {
    let acceptor = Acceptor {
        event_loop,
        api,
        tenant_connections: tenants.map(TenantConnections::new),
        open: Rc::new(Cell::new(0)),
        max_connections,
    };
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(%error, "connection not accepted");
                Timer::after(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        // Yields after each connection, so that a burst of new ones does not starve the open ones.
        futures_lite::future::yield_now().await;
        let _ = stream.get_ref().set_nodelay(true);
        match &acceptor.tenant_connections {
            Some(connections) => {
                // At the connection limit the stream is dropped, which closes it.
                if let Some(admitted) = connections.open() {
                    acceptor.serve_tenant(stream, connections, admitted);
                }
            }
            None => acceptor.serve_without_tenant(stream),
        }
    }
}

struct Acceptor {
    event_loop: Rc<EventLoop>,
    api: Rc<ViewerApi>,
    /// The connections by tenant; `None` for a director without tenants.
    tenant_connections: Option<Rc<TenantConnections>>,
    /// Number of open connections of a director without tenants.
    open: Rc<Cell<usize>>,
    max_connections: usize,
}

impl Acceptor {
    /// Serves a connection within the limits of its tenant.
    fn serve_tenant(
        &self,
        stream: Async<TcpStream>,
        connections: &TenantConnections,
        mut admitted: AdmittedConnection,
    ) {
        let id = admitted.id;
        let api = self.api.clone();
        let limits = self.event_loop.director.limits.clone();
        let task = self.event_loop.executor().spawn(async move {
            let answer = |request| api.clone().answer(request);
            serve_with_hooks(stream, &limits, &mut admitted, answer).await;
        });
        connections.set_task(id, task);
    }

    /// Serves a connection of a director without tenants. At the connection limit it is closed immediately.
    fn serve_without_tenant(&self, stream: Async<TcpStream>) {
        let open = self.open.clone();
        if open.get() >= self.max_connections {
            return;
        }
        open.set(open.get() + 1);
        let api = self.api.clone();
        let limits = self.event_loop.director.limits.clone();
        let task = self.event_loop.executor().spawn(async move {
            let answer = |request| api.clone().answer(request);
            serve(stream, &limits, answer).await;
            open.set(open.get() - 1);
        });
        task.detach();
    }
}

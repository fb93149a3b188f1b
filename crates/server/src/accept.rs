//! Viewers' connections: accepted within bounds, each served by a task of its own.

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

/// How long no connection is accepted after one could not be: out of descriptors, most likely, which passes.
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
        // A crowd of connections is taken one by one: whoever is connected already has a turn in between.
        futures_lite::future::yield_now().await;
        let _ = stream.get_ref().set_nodelay(true);
        match &acceptor.tenant_connections {
            Some(connections) => {
                // Without room it is closed at once.
                if let Some(admitted) = connections.open() {
                    acceptor.serve_tenant(stream, connections, admitted);
                }
            }
            None => acceptor.serve_any(stream),
        }
    }
}

struct Acceptor {
    event_loop: Rc<EventLoop>,
    api: Rc<ViewerApi>,
    /// The connections by their tenants, where the director is shared by some.
    tenant_connections: Option<Rc<TenantConnections>>,
    /// How many connections are open, where it is not.
    open: Rc<Cell<usize>>,
    max_connections: usize,
}

impl Acceptor {
    /// Serves a connection within the bounds of its tenant.
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

    /// Serves a connection of a director without tenants; above the bound it is closed at once.
    fn serve_any(&self, stream: Async<TcpStream>) {
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

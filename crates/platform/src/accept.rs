//! Accepts viewers' connections.

use crate::event_loop::EventLoop;
use crate::panics::catch_panic;
use crate::receive::{Receiver, enable_timestamps};
use async_io::{Async, Timer};
use event_listener::EventListener;
use futures_lite::future;
use shalewall::Timestamp;
use shalewall_clock::now;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval for checking whether another connection can be accepted.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Accepts connections until it is told to stop, then accepts those that are established already and closes the
/// listener: closing it would reset them.
pub(crate) async fn accept_viewers(
    event_loop: Rc<EventLoop>,
    listener: Async<TcpListener>,
    mut stop: EventListener,
) {
    let acceptor = Acceptor::new(event_loop, listener);
    let accept_all = async {
        loop {
            acceptor.accept_next().await;
        }
    };
    future::or(accept_all, async { (&mut stop).await }).await;
    while acceptor.has_capacity()
        && let Ok((stream, peer)) = acceptor.accept()
    {
        acceptor.serve(stream, peer);
    }
}

struct Acceptor {
    event_loop: Rc<EventLoop>,
    listener: Async<TcpListener>,
    has_timestamps: bool,
    /// Time at which no connection was waiting: those that are accepted next were established later.
    empty_at: Cell<Timestamp>,
}

impl Acceptor {
    fn new(event_loop: Rc<EventLoop>, listener: Async<TcpListener>) -> Acceptor {
        Acceptor {
            event_loop,
            has_timestamps: enable_timestamps(&listener),
            listener,
            empty_at: Cell::new(now()),
        }
    }

    async fn accept_next(&self) {
        if !self.has_capacity() {
            Timer::after(CAPACITY_CHECK_INTERVAL).await;
            return;
        }
        match self.listener.read_with(|_| self.accept()).await {
            Ok((stream, peer)) => {
                self.serve(stream, peer);
                // Yields after each accepted connection, so that a burst of new ones does not block the open ones.
                future::yield_now().await;
            }
            Err(error) => {
                // Most likely out of file descriptors: open connections continue, and some of them will close.
                warn!(%error, "accept failed");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    fn has_capacity(&self) -> bool {
        self.event_loop
            .with_protocol(|protocol| protocol.can_accept_viewer(now()))
    }

    /// Accepts without blocking.
    fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let started_at = now();
        let accepted = self.listener.get_ref().accept();
        if let Err(error) = &accepted
            && error.kind() == ErrorKind::WouldBlock
        {
            self.empty_at.set(started_at);
        }
        accepted
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        let Ok(stream) = Async::new(stream) else {
            return;
        };
        let accepted = catch_panic(|| {
            self.event_loop
                .with_protocol(|protocol| protocol.accept_viewer(now(), peer.ip()))
        });
        if let Ok(id) = accepted {
            let receiver = Receiver::new(self.has_timestamps, self.empty_at.get());
            self.event_loop.serve_viewer(id, stream, receiver);
        }
    }
}

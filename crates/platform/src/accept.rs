//! Accepts viewers' connections.

use crate::event_loop::EventLoop;
use crate::panics::catch_panic;
use crate::receive::{Receiver, enable_timestamps};
use async_io::{Async, Timer};
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

/// Accepts connections for as long as the future is polled.
pub(crate) async fn accept_viewers(event_loop: Rc<EventLoop>, listener: Async<TcpListener>) {
    let has_timestamps = enable_timestamps(&listener);
    // Connections that are accepted next were established after this time.
    let empty_at = Cell::new(now());
    loop {
        let accepted = listener
            .read_with(|listener| accept(listener, &empty_at))
            .await
            .and_then(|(stream, peer)| Ok((Async::new(stream)?, peer)));
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                // Most likely out of file descriptors: open connections continue, and some of them will close.
                warn!(%error, "accept failed");
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Yields after each accepted connection, so that a burst of new ones does not block the open ones.
        future::yield_now().await;
        let accepted = catch_panic(|| {
            event_loop.with_protocol(|protocol| protocol.accept_viewer(now(), peer.ip()))
        });
        // `None` means that there is no capacity; dropping the stream closes the connection.
        if let Ok(Some(id)) = accepted {
            let receiver = Receiver::new(has_timestamps, empty_at.get());
            event_loop.serve_viewer(id, stream, receiver);
        }
    }
}

/// Accepts without blocking; records when no connection was waiting.
fn accept(
    listener: &TcpListener,
    empty_at: &Cell<Timestamp>,
) -> io::Result<(TcpStream, SocketAddr)> {
    let accepted = listener.accept();
    if let Err(error) = &accepted
        && error.kind() == ErrorKind::WouldBlock
    {
        empty_at.set(now());
    }
    accepted
}

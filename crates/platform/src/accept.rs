//! Accepts viewers' connections.

use crate::event_loop::EventLoop;
use crate::panics::catch_panic;
use async_io::{Async, Timer};
use futures_lite::future;
use shalewall_clock::now;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections for as long as the future is polled.
pub(crate) async fn accept_viewers(event_loop: Rc<EventLoop>, listener: Async<TcpListener>) {
    loop {
        let (stream, peer) = match listener.accept().await {
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
            event_loop.serve_viewer(id, stream);
        }
    }
}

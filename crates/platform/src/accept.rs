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

/// Pause after a connection that could not be accepted.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections for as long as it is polled.
pub(crate) async fn accept_viewers(event_loop: Rc<EventLoop>, listener: Async<TcpListener>) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // Most likely out of descriptors: open connections go on, and some of them end.
                warn!(%error, "accept failed");
                Timer::after(RETRY_DELAY).await;
                continue;
            }
        };
        // Many new connections at once are accepted one by one, with turns of the open ones between them.
        future::yield_now().await;
        let accepted = catch_panic(|| {
            event_loop.with_protocol(|protocol| protocol.accept_viewer(now(), peer.ip()))
        });
        // None: there is no room, and dropping the stream closes it.
        if let Ok(Some(id)) = accepted {
            event_loop.serve_viewer(id, stream);
        }
    }
}

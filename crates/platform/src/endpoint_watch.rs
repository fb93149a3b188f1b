//! Follows the endpoint list service over one connection, which is reopened when it closes, sends no frames, or the
//! service's address changes.

use crate::event_loop::EventLoop;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use shalewall_clock::{now, to_duration};
use shalewall_http::client::with_timeout;
use shalewall_platform_proto::endpoint_watch::{FRAME_TIMEOUT, FrameDecoder};
use shalewall_platform_proto::error::EndpointWatchError;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Bounds of the backoff between connection attempts. The platform expects a director to know the service's events 2 s
/// after a connection is lost.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time limit for connecting and sending the position. The platform expects a director to know the service's events 4 s
/// after the last frame of a connection that sends no more. The frame timeout, the backoff and this limit together stay
/// below that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Address of the service, which a configuration reload may change.
pub(crate) struct ServiceAddress {
    address: Cell<SocketAddr>,
    changed: Event,
}

impl ServiceAddress {
    pub fn new(address: SocketAddr) -> ServiceAddress {
        ServiceAddress {
            address: Cell::new(address),
            changed: Event::new(),
        }
    }

    /// Sets the address and reconnects, even if the address is unchanged.
    pub fn set(&self, address: SocketAddr) {
        self.address.set(address);
        self.changed.notify(usize::MAX);
    }
}

/// Why a connection to the service ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("can't connect: {0}")]
    Connect(#[source] io::Error),
    #[error("connecting timed out")]
    ConnectTimeout,
    #[error("reading failed: {0}")]
    Read(#[source] io::Error),
    #[error("no complete frame within the timeout")]
    FrameTimeout,
    #[error("invalid frame: {0}")]
    InvalidFrame(EndpointWatchError),
    /// The missing events are requested on a new connection.
    #[error("frame out of sequence: {0}")]
    OutOfSequence(EndpointWatchError),
}

impl WatchError {
    /// Whether the backoff is reset, because the service was reachable and sent valid frames before.
    fn resets_backoff(&self, received_frames: bool) -> bool {
        received_frames && !matches!(self, WatchError::InvalidFrame(_))
    }
}

/// Follows the service for as long as the future is polled.
pub(crate) async fn follow_endpoint_list(
    event_loop: Rc<EventLoop>,
    service_address: Rc<ServiceAddress>,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let changed = service_address.changed.listen();
        let address = service_address.address.get();
        let watch = async {
            let is_reachable = watch_once(&event_loop, address).await;
            backoff = if is_reachable {
                MIN_BACKOFF
            } else {
                (backoff * 2).min(MAX_BACKOFF)
            };
            Timer::after(backoff).await;
        };
        let address_change = async {
            changed.await;
            info!("endpoint list service moved");
        };
        future::or(address_change, watch).await;
    }
}

/// Reads from one connection until it ends; returns whether the service is likely to accept a new connection soon.
async fn watch_once(event_loop: &Rc<EventLoop>, address: SocketAddr) -> bool {
    let mut connection = match WatchConnection::open(event_loop.clone(), address).await {
        Ok(connection) => connection,
        Err(error) => {
            warn!(%address, %error, "endpoint list connect failed");
            return false;
        }
    };
    match connection.read_until_end().await {
        Ok(()) => connection.received_frames,
        Err(error) => {
            warn!(%address, %error, "endpoint list connection lost");
            error.resets_backoff(connection.received_frames)
        }
    }
}

/// A connection to the service on which the position was sent.
struct WatchConnection {
    event_loop: Rc<EventLoop>,
    stream: Async<TcpStream>,
    decoder: FrameDecoder,
    /// Time of the last complete frame; a partial one does not extend the timeout.
    last_frame_at: Instant,
    received_frames: bool,
}

impl WatchConnection {
    async fn open(
        event_loop: Rc<EventLoop>,
        address: SocketAddr,
    ) -> Result<WatchConnection, WatchError> {
        let connect = async {
            let mut stream = Async::<TcpStream>::connect(address).await?;
            let position = event_loop.with_protocol(|protocol| protocol.watch_position());
            stream.write_all(&position.to_be_bytes()).await?;
            io::Result::Ok(stream)
        };
        let connected = with_timeout(CONNECT_TIMEOUT, connect).await;
        let stream = connected
            .ok_or(WatchError::ConnectTimeout)?
            .map_err(WatchError::Connect)?;
        Ok(WatchConnection {
            event_loop,
            stream,
            decoder: FrameDecoder::default(),
            last_frame_at: Instant::now(),
            received_frames: false,
        })
    }

    /// Reads frames until the service closes the connection.
    async fn read_until_end(&mut self) -> Result<(), WatchError> {
        let frame_timeout = to_duration(FRAME_TIMEOUT);
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let remaining = frame_timeout.saturating_sub(self.last_frame_at.elapsed());
            let read = with_timeout(remaining, self.stream.read(&mut buffer)).await;
            let count = read
                .ok_or(WatchError::FrameTimeout)?
                .map_err(WatchError::Read)?;
            if count == 0 {
                return Ok(());
            }
            self.decoder.push(&buffer[..count]);
            self.handle_frames()?;
        }
    }

    /// Passes the complete frames to the state machine.
    fn handle_frames(&mut self) -> Result<(), WatchError> {
        while let Some(frame) = self.decoder.frame().map_err(WatchError::InvalidFrame)? {
            self.last_frame_at = Instant::now();
            self.event_loop
                .with_protocol(|protocol| protocol.handle_watch_frame(now(), &frame))
                .map_err(WatchError::OutOfSequence)?;
            self.received_frames = true;
        }
        Ok(())
    }
}

//! Follows the endpoint list service: one connection, opened anew whenever it ends, falls silent, or the service has
//! another address.

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

/// Backoff between attempts. What the service would have told counts as told 2 s after a break.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// For connecting and sending the position. Together with the silence before, which begins at the last frame, and the
/// backoff, the next connection brings its events within the 4 s in which they count as told.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Address of the service, which a reloaded configuration may change.
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

    /// Connects anew, to this address: also where it is the same as before.
    pub fn set(&self, address: SocketAddr) {
        self.address.set(address);
        self.changed.notify(usize::MAX);
    }
}

/// Why no more is read from a connection to the service.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("can't connect: {0}")]
    Connect(#[source] io::Error),
    #[error("can't connect in time")]
    ConnectTimeout,
    #[error("the connection broke: {0}")]
    Read(#[source] io::Error),
    #[error("no frame in time")]
    Silent,
    #[error("a frame can't be read: {0}")]
    UnreadableFrame(EndpointWatchError),
    /// What is missing is asked for on a new connection.
    #[error("a frame is out of sequence: {0}")]
    OutOfSequence(EndpointWatchError),
}

impl WatchError {
    /// Whether the service was reached and told something before: its next connection is worth an early attempt.
    fn resets_backoff(&self, received_frames: bool) -> bool {
        received_frames && !matches!(self, WatchError::UnreadableFrame(_))
    }
}

/// Follows the service for as long as it is polled.
pub(crate) async fn follow_endpoint_list(
    event_loop: Rc<EventLoop>,
    service_address: Rc<ServiceAddress>,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let changed = service_address.changed.listen();
        let address = service_address.address.get();
        let watch = async {
            let is_alive = watch_once(&event_loop, address).await;
            backoff = if is_alive {
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

/// Reads from one connection until that is of no more use. True where the service is likely to answer soon again.
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

/// A connection to the service that knows from which event on it is to tell.
struct WatchConnection {
    event_loop: Rc<EventLoop>,
    stream: Async<TcpStream>,
    decoder: FrameDecoder,
    /// Only a whole frame counts: one that arrives byte by byte tells nothing.
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
            let count = read.ok_or(WatchError::Silent)?.map_err(WatchError::Read)?;
            if count == 0 {
                return Ok(());
            }
            self.decoder.push(&buffer[..count]);
            self.handle_frames()?;
        }
    }

    /// Gives the state machine the frames that are whole.
    fn handle_frames(&mut self) -> Result<(), WatchError> {
        while let Some(frame) = self.decoder.frame().map_err(WatchError::UnreadableFrame)? {
            self.last_frame_at = Instant::now();
            self.event_loop
                .with_protocol(|protocol| protocol.handle_watch_frame(now(), &frame))
                .map_err(WatchError::OutOfSequence)?;
            self.received_frames = true;
        }
        Ok(())
    }
}

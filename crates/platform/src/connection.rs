//! One connection to a viewer or a media node: transfers bytes between its socket and the protocol's state machine.

use crate::event_loop::EventLoop;
use crate::receive::{ReadBytes, Receiver};
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncWriteExt, future};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use shalewall::Timestamp;
use shalewall_clock::now;
use shalewall_http::client::{ConnectErrorKind, with_timeout};
use shalewall_platform_proto::{ConnectError, ConnectionId, Transmit};
use std::cell::Cell;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, trace};

/// Time for which a connection is still read after a write failed: bytes that the peer sent before it reset the
/// connection are still available, followed by the end of the stream.
const READ_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to a media node, and drives the connection once it is established.
pub(crate) async fn connect_node(
    event_loop: Rc<EventLoop>,
    id: ConnectionId,
    address: SocketAddr,
    timeout: Duration,
    write_ready: Rc<Event>,
) {
    let connected = with_timeout(timeout, Async::<TcpStream>::connect(address)).await;
    let connected = match connected {
        Some(Ok(stream)) => Ok(stream),
        Some(Err(error)) => Err(classify_connect_error(&error)),
        None => Err(ConnectError::Unreachable),
    };
    match connected {
        Ok(stream) => {
            event_loop.with_protocol(|protocol| protocol.node_connected(now(), id));
            let receiver = Receiver::new(false, now());
            Connection::new(event_loop, id, stream, receiver, write_ready)
                .run()
                .await;
        }
        Err(error) => event_loop.with_protocol(|protocol| {
            protocol.node_connect_failed(now(), id, error);
        }),
    }
}

fn classify_connect_error(error: &io::Error) -> ConnectError {
    match ConnectErrorKind::of(error) {
        ConnectErrorKind::Refused => ConnectError::Refused,
        ConnectErrorKind::LocalShortage => ConnectError::LocalShortage,
        ConnectErrorKind::Unknown => ConnectError::Unreachable,
    }
}

/// An established connection.
pub(crate) struct Connection {
    event_loop: Rc<EventLoop>,
    id: ConnectionId,
    stream: Async<TcpStream>,
    receiver: Receiver,
    /// Notified when the state machine may have bytes to write.
    write_ready: Rc<Event>,
    write_failed: Cell<bool>,
    is_stream_ended: Cell<bool>,
    /// Whether the peer is known to have closed its side.
    is_peer_closed: Cell<bool>,
}

/// How one direction of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The peer closed its side, or this side has to close.
    Closed,
    /// The socket failed.
    Failed,
}

/// Result of a non-blocking read.
struct Available {
    /// Number of bytes in the buffer.
    filled: usize,
    last_read: ReadBytes,
    /// Whether the stream ends behind the bytes.
    is_end: bool,
    failed: bool,
}

/// What is known of a connection after a read.
struct HandledRead {
    /// Whether more may be unread.
    is_backlogged: bool,
    failed: bool,
}

impl Connection {
    pub fn new(
        event_loop: Rc<EventLoop>,
        id: ConnectionId,
        stream: Async<TcpStream>,
        receiver: Receiver,
        write_ready: Rc<Event>,
    ) -> Connection {
        // Small messages have to be sent without delay. If the option can't be set they are only delayed.
        let _ = stream.get_ref().set_nodelay(true);
        Connection {
            event_loop,
            id,
            stream,
            receiver,
            write_ready,
            write_failed: Cell::new(false),
            is_stream_ended: Cell::new(false),
            is_peer_closed: Cell::new(false),
        }
    }

    /// Transfers bytes in both directions until either side closes, then reports the end. Dropping the connection
    /// closes the socket.
    pub async fn run(self) {
        let end = future::or(self.read_and_end_stream(), self.write_until_end()).await;
        let clean = end == StreamEnd::Closed && !self.write_failed.get();
        debug!(connection = ?self.id, clean, "connection closed");
        self.event_loop.with_protocol(|protocol| {
            protocol.connection_closed(now(), self.id, clean);
        });
    }

    /// Reads until the stream ends; completes only if nothing more has to be written then.
    async fn read_and_end_stream(&self) -> StreamEnd {
        let end = self.read_until_end().await;
        let stays_open = end == StreamEnd::Closed
            && self
                .event_loop
                .with_protocol(|protocol| protocol.handle_end_of_stream(now(), self.id));
        if stays_open {
            self.is_stream_ended.set(true);
            future::pending::<()>().await;
        }
        end
    }

    async fn read_until_end(&self) -> StreamEnd {
        loop {
            let read = self
                .stream
                .read_with(|stream| {
                    let mut buffer = self.event_loop.read_buffer();
                    self.receiver.read(stream, &mut buffer)
                })
                .await;
            let first_read = match read {
                Ok(read) if read.count == 0 => return StreamEnd::Closed,
                Ok(read) => read,
                Err(_) => return StreamEnd::Failed,
            };
            let handled = self.handle_read(first_read);
            if handled.failed {
                return StreamEnd::Failed;
            }
            // A peer that sends continuously must not starve the other connections.
            if handled.is_backlogged {
                self.event_loop.wait_for_backlog_turn().await;
            } else {
                future::yield_now().await;
            }
        }
    }

    /// Reads what else is available, and passes all of it on. No other connection uses the buffer meanwhile.
    fn handle_read(&self, first_read: ReadBytes) -> HandledRead {
        let mut buffer = self.event_loop.read_buffer();
        let empty_at = self.receiver.empty_at();
        let available = self.read_available(&mut buffer, first_read);
        let is_backlogged = available.filled == buffer.len();
        if available.is_end || available.failed || (is_backlogged && self.has_peer_closed()) {
            self.report_peer_closed();
        }
        self.handle_bytes(&buffer[..available.filled], available.last_read, empty_at);
        HandledRead {
            is_backlogged,
            failed: available.failed,
        }
    }

    /// Fills the rest of the buffer without blocking, so that bytes that arrived together are passed on together.
    fn read_available(&self, buffer: &mut [u8], first_read: ReadBytes) -> Available {
        let stream = self.stream.get_ref();
        let mut available = Available {
            filled: first_read.count,
            last_read: first_read,
            is_end: false,
            failed: false,
        };
        while available.filled < buffer.len() {
            match self.receiver.read(stream, &mut buffer[available.filled..]) {
                // The next read reports the end again.
                Ok(read) if read.count == 0 => {
                    available.is_end = true;
                    break;
                }
                Ok(read) => {
                    available.filled += read.count;
                    available.last_read = read;
                }
                Err(error) => {
                    available.failed = !is_transient(&error);
                    break;
                }
            }
        }
        available
    }

    /// Reports that the peer has closed its side, before the bytes are passed on that it sent before.
    fn report_peer_closed(&self) {
        if !self.is_peer_closed.replace(true) {
            self.event_loop
                .with_protocol(|protocol| protocol.handle_peer_closed(now(), self.id));
        }
    }

    /// Whether the peer has closed its side, also if bytes that it sent before are unread. Where the system can't tell,
    /// the end of the stream does.
    fn has_peer_closed(&self) -> bool {
        let stream = self.stream.get_ref();
        let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
        let result = poll(&mut polled, Some(&Timespec::default()));
        let closed = PollFlags::RDHUP | PollFlags::HUP;
        result.is_ok() && polled[0].revents().intersects(closed)
    }

    /// Passes bytes on that the last read completed, on a socket that was empty at `empty_at`.
    fn handle_bytes(&self, bytes: &[u8], last_read: ReadBytes, empty_at: Timestamp) {
        let now = now();
        let arrival = last_read.arrival(empty_at, self.event_loop.unseen_since(), now);
        let age = now - arrival.last_byte;
        self.event_loop.record_read(age);
        trace!(connection = ?self.id, age_us = age.as_micros(), bytes = %String::from_utf8_lossy(bytes), "bytes received");
        self.event_loop.with_protocol(|protocol| {
            protocol.handle_arrived_bytes(now, self.id, arrival, bytes);
        });
    }

    async fn write_until_end(&self) -> StreamEnd {
        if self.write_until_close().await.is_ok() {
            return StreamEnd::Closed;
        }
        // Bytes that arrived before are still readable: a client that ends several sessions and closes resets the
        // connection at the first answer. The reader receives all of them up to the end of the stream, which has
        // already arrived.
        self.write_failed.set(true);
        if !self.is_stream_ended.get() {
            Timer::after(READ_DRAIN_TIMEOUT).await;
        }
        StreamEnd::Failed
    }

    /// Writes the state machine's bytes until it closes the connection. Returns an error if the socket fails.
    async fn write_until_close(&self) -> io::Result<()> {
        loop {
            // Listening starts before the state machine is polled, so that no notification is missed in between.
            let write_ready = self.write_ready.listen();
            let transmit = self
                .event_loop
                .with_protocol(|protocol| protocol.poll_transmit(now(), self.id));
            match transmit {
                Transmit::Bytes(bytes) => self.write(bytes).await?,
                Transmit::Wait => write_ready.await,
                Transmit::CloseWriteHalf => {
                    self.stream.get_ref().shutdown(Shutdown::Write)?;
                    return future::pending().await;
                }
                // The unread bytes are read by the reader first.
                Transmit::CloseIfNoUnreadBytes if self.has_unread_bytes() => write_ready.await,
                Transmit::CloseIfNoUnreadBytes | Transmit::Close => return Ok(()),
            }
        }
    }

    /// Writes all bytes. If the socket accepts none of them at once they are returned to the state machine, which may
    /// withdraw them; this function then returns once the socket is writable.
    async fn write(&self, bytes: Vec<u8>) -> io::Result<()> {
        let written = match self.stream.get_ref().write(&bytes) {
            Ok(written) => written,
            Err(error) if is_transient(&error) => {
                self.event_loop.with_protocol(|protocol| {
                    protocol.return_unwritten(now(), self.id, bytes);
                });
                return self.stream.writable().await;
            }
            Err(error) => return Err(error),
        };
        trace!(connection = ?self.id, bytes = %String::from_utf8_lossy(&bytes), "bytes sent");
        if written < bytes.len() {
            self.event_loop.with_protocol(|protocol| {
                protocol.partially_written(now(), self.id);
            });
        }
        let mut stream = &self.stream;
        stream.write_all(&bytes[written..]).await
    }

    /// Whether the socket has unread bytes, which closing would discard.
    fn has_unread_bytes(&self) -> bool {
        match self.stream.get_ref().peek(&mut [0]) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::Interrupted,
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

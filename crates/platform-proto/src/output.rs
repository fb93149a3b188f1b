//! What the protocol asks its driver to do, in order.

use crate::ids::ConnectionId;
use crate::log_event::LogEvent;
use shalewall::TimeDelta;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Connect to a node, and call [`DirectorProtocol::node_connected`] or
    /// [`DirectorProtocol::node_connect_failed`].
    ///
    /// [`DirectorProtocol::node_connected`]: crate::DirectorProtocol::node_connected
    /// [`DirectorProtocol::node_connect_failed`]: crate::DirectorProtocol::node_connect_failed
    Connect {
        /// The connection's name from now on.
        connection: ConnectionId,
        /// The node's address.
        address: SocketAddr,
        /// It has failed if it is not established within this.
        timeout: TimeDelta,
    },
    /// There may be something to write: call [`DirectorProtocol::poll_transmit`].
    ///
    /// [`DirectorProtocol::poll_transmit`]: crate::DirectorProtocol::poll_transmit
    Write(ConnectionId),
    /// Close without another byte; nothing that is received on it counts any more.
    Close(ConnectionId),
    /// Write to the log.
    Log(LogEvent),
}

/// What a connection is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transmit {
    /// Write all of this, then poll again: polling says that it was written. Where the socket takes nothing of it, call
    /// [`DirectorProtocol::return_unwritten`] and poll again when the socket is writable.
    ///
    /// [`DirectorProtocol::return_unwritten`]: crate::DirectorProtocol::return_unwritten
    Bytes(Vec<u8>),
    /// Nothing until the next [`Output::Write`].
    Wait,
    /// Close this side's half. What is received still counts.
    CloseWriteHalf,
    /// Close it if nothing waits to be read; else pass on what has been received.
    CloseIfNoUnreadBytes,
    /// Close it.
    Close,
}

#[derive(Default)]
pub(crate) struct OutputQueue(VecDeque<Output>);

impl OutputQueue {
    pub(crate) fn push(&mut self, output: Output) {
        self.0.push_back(output);
    }

    pub(crate) fn pop(&mut self) -> Option<Output> {
        self.0.pop_front()
    }

    pub(crate) fn write(&mut self, connection: impl Into<ConnectionId>) {
        self.push(Output::Write(connection.into()));
    }

    pub(crate) fn close(&mut self, connection: impl Into<ConnectionId>) {
        self.push(Output::Close(connection.into()));
    }

    pub(crate) fn log(&mut self, event: LogEvent) {
        self.push(Output::Log(event));
    }
}

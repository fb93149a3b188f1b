//! Actions that the protocol requests from its driver, in order.

use crate::ids::ConnectionId;
use crate::log_event::LogEvent;
use shalewall::TimeDelta;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Connect to a node, and call [`DirectorProtocol::node_connected`] or
    /// [`DirectorProtocol::node_connect_failed`].
    ///
    /// [`DirectorProtocol::node_connected`]: crate::DirectorProtocol::node_connected
    /// [`DirectorProtocol::node_connect_failed`]: crate::DirectorProtocol::node_connect_failed
    Connect {
        /// Id of the new connection.
        connection: ConnectionId,
        /// The node's address.
        address: SocketAddr,
        /// The attempt fails if the connection is not established within this time.
        timeout: TimeDelta,
    },
    /// The connection may have bytes to write: call [`DirectorProtocol::poll_transmit`].
    ///
    /// [`DirectorProtocol::poll_transmit`]: crate::DirectorProtocol::poll_transmit
    Write(ConnectionId),
    /// Close the connection without writing more; bytes received on it afterwards are ignored.
    Close(ConnectionId),
    /// Write to the log.
    Log(LogEvent),
}

/// The next step for a connection's writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transmit {
    /// Write all of these bytes, then poll again: the next poll confirms that they were written. If the socket accepts
    /// none of them, call [`DirectorProtocol::return_unwritten`] and poll again when the socket is writable.
    ///
    /// [`DirectorProtocol::return_unwritten`]: crate::DirectorProtocol::return_unwritten
    Bytes(Vec<u8>),
    /// Do nothing until the next [`Output::Write`].
    Wait,
    /// Shut down the write half. Received bytes are still handled.
    CloseWriteHalf,
    /// Close the connection if its socket has no unread bytes; otherwise read them first.
    CloseIfNoUnreadBytes,
    /// Close the connection.
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

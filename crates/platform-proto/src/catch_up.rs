//! Catching up after the process read late, because it was suspended or had to wait for a processor.
//!
//! The sockets then hold events of different ages, which are read in any order: a request before the withdrawal that
//! followed it on another connection, or before an older change of the endpoint list, and a node's release before the
//! end of the viewer's connection on which it would be passed on. Set-ups, and all lines to viewers, are held until what
//! has arrived is read.

use crate::ids::ConnectionId;
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// Age of received bytes from which on other sockets may have older ones.
const LATE_READ: TimeDelta = TimeDelta::from_millis(10);
/// Time in which all sockets are read.
const CATCH_UP_TIME: TimeDelta = TimeDelta::from_millis(5);

#[derive(Default)]
pub(crate) struct CatchUp {
    until: Option<Timestamp>,
    /// Connections whose next message is held.
    held: BTreeSet<ConnectionId>,
}

impl CatchUp {
    /// Whether bytes that arrived at this time are read late.
    pub(crate) fn is_late(arrived_at: Timestamp, now: Timestamp) -> bool {
        now - arrived_at >= LATE_READ
    }

    /// Begins, or continues, to hold messages; returns the time at which to call [`CatchUp::finish`].
    pub(crate) fn begin(&mut self, now: Timestamp) -> Timestamp {
        let until = now + CATCH_UP_TIME;
        self.until = Some(until);
        until
    }

    /// Holds a connection's next message; returns `false` if it may be written now.
    pub(crate) fn hold(&mut self, connection: ConnectionId) -> bool {
        let is_held = self.until.is_some();
        if is_held {
            self.held.insert(connection);
        }
        is_held
    }

    /// Ends if the time is over; returns the connections whose messages were held.
    pub(crate) fn finish(&mut self, now: Timestamp) -> BTreeSet<ConnectionId> {
        if self.until.is_some_and(|until| until > now) {
            return BTreeSet::new();
        }
        self.until = None;
        std::mem::take(&mut self.held)
    }
}

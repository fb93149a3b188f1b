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
/// Time in which all sockets are read once.
const CATCH_UP_TIME: TimeDelta = TimeDelta::from_millis(5);
/// Maximum time for which late reads prolong a hold: a viewer that sends faster than it is read makes every read of its
/// connection late.
const MAX_HOLD_TIME: TimeDelta = TimeDelta::from_millis(25);
/// Minimum time between two holds. Every time limit of the platform has this tolerance.
const MIN_FREE_TIME: TimeDelta = TimeDelta::from_millis(50);
/// Maximum time for which the next hold waits for the held messages to be written: a connection may have closed.
const MAX_FREE_TIME: TimeDelta = TimeDelta::from_millis(500);
/// Maximum number of times that a pause of the process begins a hold anew before it has ended.
const MAX_RESTARTS: u32 = 4;

/// The current hold.
struct Hold {
    began_at: Timestamp,
    until: Timestamp,
    restarts: u32,
}

impl Hold {
    fn new(now: Timestamp, restarts: u32) -> Hold {
        Hold {
            began_at: now,
            until: now + CATCH_UP_TIME,
            restarts,
        }
    }
}

#[derive(Default)]
pub(crate) struct CatchUp {
    hold: Option<Hold>,
    /// Connections whose next message is held, or was held and may be written now.
    held: BTreeSet<ConnectionId>,
    /// End of the latest hold.
    ended_at: Option<Timestamp>,
}

impl CatchUp {
    /// Whether bytes that arrived at this time are read late.
    pub(crate) fn is_late(arrived_at: Timestamp, now: Timestamp) -> bool {
        now - arrived_at >= LATE_READ
    }

    /// Begins or prolongs a hold because bytes were read late; returns the time at which to call [`CatchUp::finish`].
    pub(crate) fn record_late_read(&mut self, now: Timestamp) -> Option<Timestamp> {
        match &mut self.hold {
            Some(hold) => hold.until = (now + CATCH_UP_TIME).min(hold.began_at + MAX_HOLD_TIME),
            None => self.begin(now),
        }
        self.due()
    }

    /// Begins a hold, or begins it anew, because the process did not run; returns the time at which to call
    /// [`CatchUp::finish`].
    pub(crate) fn record_pause(&mut self, now: Timestamp) -> Option<Timestamp> {
        match &mut self.hold {
            Some(hold) if hold.restarts < MAX_RESTARTS => {
                *hold = Hold::new(now, hold.restarts + 1);
            }
            Some(_) => {}
            None => self.begin(now),
        }
        self.due()
    }

    fn begin(&mut self, now: Timestamp) {
        if self.may_begin(now) {
            self.held.clear();
            self.hold = Some(Hold::new(now, 0));
        }
    }

    /// Whether the messages that the latest hold has held have had time to be written.
    fn may_begin(&self, now: Timestamp) -> bool {
        let Some(ended_at) = self.ended_at else {
            return true;
        };
        let free_time = now - ended_at;
        free_time >= MAX_FREE_TIME || (free_time >= MIN_FREE_TIME && self.held.is_empty())
    }

    fn due(&self) -> Option<Timestamp> {
        self.hold.as_ref().map(|hold| hold.until)
    }

    /// Holds a connection's next message; returns `false` if it may be written now.
    pub(crate) fn hold(&mut self, connection: ConnectionId) -> bool {
        let is_held = self.hold.is_some();
        if is_held {
            self.held.insert(connection);
        } else {
            self.held.remove(&connection);
        }
        is_held
    }

    /// Ends the hold if its time is over; returns the connections whose messages were held.
    pub(crate) fn finish(&mut self, now: Timestamp) -> BTreeSet<ConnectionId> {
        if self.due().is_none_or(|until| until > now) {
            return BTreeSet::new();
        }
        self.hold = None;
        self.ended_at = Some(now);
        self.held.clone()
    }
}

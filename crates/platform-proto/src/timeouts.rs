//! Times of connections and of the shutdown, as the settings give them or by default.

use shalewall::{TimeDelta, Timestamp};
use shalewall_director_config::DriverLimits;

/// A connection to a node has failed if it is not established within this.
const DEFAULT_CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);
/// A node closes idle connections after this.
const DEFAULT_IDLE_TIMEOUT: TimeDelta = TimeDelta::from_secs(15);
/// This side closes an idle connection after this part of the node's time: a set-up is not to meet a closing one.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// The longest deadline counts so long at most at a shutdown, and so long where the settings give none. The kill comes
/// 0.7 s after it.
const MAX_SHUTDOWN_DEADLINE: TimeDelta = TimeDelta::from_secs(3);
const SHUTDOWN_GRACE: TimeDelta = TimeDelta::from_millis(550);

#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    /// How long a connection may take to be established, and a health check to be answered.
    pub(crate) connect: TimeDelta,
    /// How long a director may go on after it was told to shut down.
    pub(crate) shutdown: TimeDelta,
    /// A connection that was not used for longer may be closing at the node's side.
    max_idle: TimeDelta,
}

impl Timeouts {
    pub(crate) fn new(limits: &DriverLimits) -> Timeouts {
        let connect = limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT);
        let idle = limits.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let longest_deadline = limits
            .max_viewer_wait
            .unwrap_or(MAX_SHUTDOWN_DEADLINE)
            .min(MAX_SHUTDOWN_DEADLINE);
        let max_idle_micros = (idle.as_micros() as f64 * IDLE_TIMEOUT_FRACTION) as i64;
        Timeouts {
            connect,
            shutdown: longest_deadline + SHUTDOWN_GRACE,
            max_idle: TimeDelta::from_micros(max_idle_micros),
        }
    }

    /// A connection that was last used before this may be closing at the node's side.
    pub(crate) fn idle_cutoff(&self, now: Timestamp) -> Timestamp {
        now - self.max_idle
    }
}

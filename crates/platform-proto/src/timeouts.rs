//! Timeouts of connections and of the shutdown, from the settings or by default.

use shalewall::{TimeDelta, Timestamp};
use shalewall_director_config::DriverLimits;

/// Default time within which a connection to a node has to be established.
const DEFAULT_CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);
/// Default time after which a node closes an idle connection.
const DEFAULT_IDLE_TIMEOUT: TimeDelta = TimeDelta::from_secs(15);
/// Fraction of the node's idle timeout after which this side closes an idle connection, so that no set-up is sent on a
/// connection that the node is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Upper bound, and default, of the longest viewer wait that a shutdown allows for. The platform kills a director 0.7 s
/// after the longest viewer wait.
const MAX_SHUTDOWN_WAIT: TimeDelta = TimeDelta::from_secs(3);
/// Time after the longest viewer wait at which the shutdown must be complete.
const SHUTDOWN_GRACE: TimeDelta = TimeDelta::from_millis(550);

#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    /// Time limit for establishing a connection, and for the answer to a health check.
    pub(crate) connect: TimeDelta,
    /// Time limit of a graceful shutdown.
    pub(crate) shutdown: TimeDelta,
    /// Idle time after which the node may be closing a connection.
    max_idle: TimeDelta,
}

impl Timeouts {
    pub(crate) fn new(limits: &DriverLimits) -> Timeouts {
        let connect = limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT);
        let idle = limits.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let longest_wait = limits
            .max_viewer_wait
            .unwrap_or(MAX_SHUTDOWN_WAIT)
            .min(MAX_SHUTDOWN_WAIT);
        let max_idle_micros = (idle.as_micros() as f64 * IDLE_TIMEOUT_FRACTION) as i64;
        Timeouts {
            connect,
            shutdown: longest_wait + SHUTDOWN_GRACE,
            max_idle: TimeDelta::from_micros(max_idle_micros),
        }
    }

    /// Returns the time of last use before which the node may be closing a connection.
    pub(crate) fn idle_cutoff(&self, now: Timestamp) -> Timestamp {
        now - self.max_idle
    }
}

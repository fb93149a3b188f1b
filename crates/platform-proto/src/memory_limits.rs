//! Limits on what the tables hold, derived from the memory limit of the process.

use crate::config::Limits;

/// Memory limit that is assumed if the configuration has none, in MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Upper bound of the memory that one session takes in this state machine and in the decision module, without its
/// description.
const SESSION_BYTES: f64 = 1_200.0;
/// Fraction of the memory limit for sessions.
const SESSIONS_FRACTION: f64 = 0.25;
/// Fraction of the memory limit for the descriptions of requests that wait for an answer.
const DESCRIPTIONS_FRACTION: f64 = 0.125;
/// Fraction of the memory limit for lines of viewers that are received in part.
const UNFINISHED_LINES_FRACTION: f64 = 0.125;
/// Fraction of the memory limit for lines that wait to be written to viewers.
const QUEUED_LINES_FRACTION: f64 = 0.125;
/// Maximum number of sessions, however much memory there is.
const MAX_SESSIONS: usize = 50_000;
/// One session in this many may be transferred without a confirmation by its node; the rest is for requests.
const TRANSFERRED_DIVISOR: usize = 2;

/// Limits on sessions and on queued bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryLimits {
    /// Maximum number of sessions; further requests are rejected without consulting the decision module.
    pub(crate) max_sessions: usize,
    /// Maximum number of transferred sessions that no message of their node has confirmed.
    pub(crate) max_unconfirmed: usize,
    /// Maximum total size of the descriptions of requests that wait for an answer.
    pub(crate) max_description_bytes: usize,
    /// Total size of unfinished lines of viewers from which on only short ones are kept.
    pub(crate) max_unfinished_bytes: usize,
    /// Total size of the lines to viewers from which on only short queues may grow.
    pub(crate) max_queued_bytes: usize,
}

impl MemoryLimits {
    pub(crate) fn new(limits: &Limits) -> MemoryLimits {
        let memory_mb = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).max(0.0);
        let bytes = memory_mb * BYTES_PER_MB;
        let max_sessions = MAX_SESSIONS.min((bytes * SESSIONS_FRACTION / SESSION_BYTES) as usize);
        MemoryLimits {
            max_sessions,
            max_unconfirmed: max_sessions / TRANSFERRED_DIVISOR,
            max_description_bytes: (bytes * DESCRIPTIONS_FRACTION) as usize,
            max_unfinished_bytes: (bytes * UNFINISHED_LINES_FRACTION) as usize,
            max_queued_bytes: (bytes * QUEUED_LINES_FRACTION) as usize,
        }
    }
}

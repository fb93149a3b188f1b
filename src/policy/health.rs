//! Outlier detection: which servers are ejected after failures, and when they get a trial attempt.

use crate::director::Director;
use crate::interface::{EndpointState, Outcome, ServerId};
use crate::state::servers::{Health, Server};
use crate::state::sessions::PendingRequest;
use crate::time::{TimeDelta, Timestamp};

/// Time for which a server is ejected after its first failure.
const EJECTION_TIME: TimeDelta = TimeDelta::from_secs(1);
/// The ejection time doubles with each further failure, at most this many times.
const MAX_EJECTION_TIME_DOUBLINGS: u32 = 3;
/// A tick later than this shows that this director's own process was stalled; handling a batch takes only a
/// few milliseconds.
const STALL_THRESHOLD: TimeDelta = TimeDelta::from_millis(300);
/// Time after a stall during which no health checks are sent, since their answers would be delayed as well.
pub(crate) const STALL_RECOVERY_TIME: TimeDelta = TimeDelta::from_secs(5);

/// Time since the last failure after which a failing server may get a trial attempt.
fn ejection_time(health: &Health) -> TimeDelta {
    EJECTION_TIME * (1 << health.failures.saturating_sub(1).min(MAX_EJECTION_TIME_DOUBLINGS))
}

impl Server {
    /// Resets failures, shortage and utilization after a restart. The server warms up until `warm_at`.
    pub(crate) fn record_restart(&mut self, warm_at: Timestamp) {
        self.health.failures = 0;
        self.shortage.is_short = false;
        self.link.utilization = 0.0;
        self.warm_at = self.warm_at.max(warm_at);
    }
}

impl Director {
    /// Records a stall of this director's own process if the tick is long overdue.
    pub(crate) fn detect_stall(&mut self) {
        if self.tick_due.is_some_and(|due| self.now - due > STALL_THRESHOLD) {
            self.stalled_at = self.now;
        }
    }

    /// Updates a server's health by the outcome of an attempt or a health check.
    pub(crate) fn record_outcome(&mut self, server: ServerId, outcome: Outcome) {
        match outcome {
            // A timeout that expired while this director was stalled is no evidence against the server.
            Outcome::TimedOut if self.stalled_at == self.now => {}
            Outcome::ConnectionFailed | Outcome::ConnectionReset | Outcome::TimedOut => {
                self.record_health(server, false);
            }
            Outcome::Error => {
                // The process answers, so it has not restarted and needs no warm-up.
                let server = self.servers.get_mut(&server);
                server.into_iter().for_each(|s| s.health.record_failure(self.now));
            }
            Outcome::Success | Outcome::Rejected => self.record_health(server, true),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Records the outcome of a health check. A success only shows that the process runs, not that it sets up
    /// sessions, so it clears no failure.
    pub(crate) fn record_health_check(&mut self, server: ServerId, outcome: Outcome) {
        if outcome != Outcome::Success {
            self.record_outcome(server, outcome);
        }
    }

    /// Records evidence that a server works, or that its process may have stopped.
    pub(crate) fn record_health(&mut self, server: ServerId, is_alive: bool) {
        let Some(server) = self.servers.get_mut(&server) else { return };
        if is_alive {
            server.health.failures = 0;
        } else {
            server.health.record_failure(self.now);
            // The process may restart at any moment, and would then have to warm up.
            server.warm_at = server.warm_at.max(self.now + self.settings.rules.warm_up);
        }
    }

    /// Whether a server may get an attempt of this request: it is ready, was not tried for it, its
    /// warm-up limit admits the request, and it is not ejected.
    pub(crate) fn is_available(&self, server: &Server, pending: &PendingRequest) -> bool {
        let is_ready = server.endpoint.state == EndpointState::Ready;
        if !is_ready
            || pending.tried.contains(&server.endpoint.server)
            || !self.admits_warm_up(server, pending)
        {
            return false;
        }
        !server.health.is_failing() || self.allows_trial_attempt(server, pending)
    }

    /// Whether a failing server may get this request as a trial. Only repeatable set-ups are used, one at a
    /// time, after the ejection time.
    fn allows_trial_attempt(&self, server: &Server, pending: &PendingRequest) -> bool {
        let is_repeatable = pending.is_set_up || self.settings.is_idempotent(pending.request.class);
        let is_due = self.now - server.health.failed_at >= ejection_time(&server.health);
        is_repeatable && is_due && !self.sessions.not_playing.contains_key(&server.endpoint.server)
    }
}

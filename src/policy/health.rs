//! Outlier detection: which servers have failed, and may be sent a set-up all the same.

use crate::director::Director;
use crate::interface::{EndpointState, Outcome, ServerId};
use crate::state::servers::{Health, Server};
use crate::state::sessions::PendingRequest;
use crate::time::{TimeDelta, Timestamp};

/// A failing server is tried again after this.
const EJECTION_TIME: TimeDelta = TimeDelta::from_secs(1);
/// That wait doubles with each further failure, at most so many times.
const MAX_EJECTION_TIME_DOUBLINGS: u32 = 3;
/// A tick so much late was held up by this director's own process: a batch takes a few milliseconds.
const STALL_THRESHOLD: TimeDelta = TimeDelta::from_millis(300);
/// No health checks so long after a stall: their answers would wait too.
pub(crate) const STALL_RECOVERY_TIME: TimeDelta = TimeDelta::from_secs(5);

/// How long a failing server is left alone.
fn ejection_time(health: &Health) -> TimeDelta {
    EJECTION_TIME * (1 << health.failures.saturating_sub(1).min(MAX_EJECTION_TIME_DOUBLINGS))
}

impl Server {
    /// The server has started: its past is void, and it warms up until then.
    pub(crate) fn record_restart(&mut self, warm_at: Timestamp) {
        self.health.failures = 0;
        self.shortage.is_short = false;
        self.link.utilization = 0.0;
        self.warm_at = self.warm_at.max(warm_at);
    }
}

impl Director {
    /// Notes that this director's own process stood still, if the tick is long overdue.
    pub(crate) fn detect_stall(&mut self) {
        if self.tick_due.is_some_and(|due| self.now - due > STALL_THRESHOLD) {
            self.stalled_at = self.now;
        }
    }

    /// Takes what an outcome says of the server.
    pub(crate) fn record_outcome(&mut self, server: ServerId, outcome: Outcome) {
        match outcome {
            // What ran out while this director stood still says nothing of the server.
            Outcome::TimedOut if self.stalled_at == self.now => {}
            Outcome::ConnectionFailed | Outcome::ConnectionReset | Outcome::TimedOut => {
                self.record_health(server, false);
            }
            Outcome::Error => {
                // Its process answers, so it has not restarted and needs no warm-up.
                let server = self.servers.get_mut(&server);
                server.into_iter().for_each(|s| s.health.record_failure(self.now));
            }
            Outcome::Success | Outcome::Rejected => self.record_health(server, true),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Takes the outcome of a health check. Success shows that the process runs, not that it sets sessions
    /// up: it clears no failure.
    pub(crate) fn record_health_check(&mut self, server: ServerId, outcome: Outcome) {
        if outcome != Outcome::Success {
            self.record_outcome(server, outcome);
        }
    }

    /// Takes a sign of life, or a sign that the server's process may be gone.
    pub(crate) fn record_health(&mut self, server: ServerId, is_alive: bool) {
        let Some(server) = self.servers.get_mut(&server) else { return };
        if is_alive {
            server.health.failures = 0;
        } else {
            server.health.record_failure(self.now);
            // It may be back at any moment, and cold.
            server.warm_at = server.warm_at.max(self.now + self.settings.rules.warm_up);
        }
    }

    /// Whether a server is ready, not tried for this request, not ahead of its warm-up, and not ejected.
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

    /// A failing server is tried with what may be repeated only, one at a time, ever more rarely.
    fn allows_trial_attempt(&self, server: &Server, pending: &PendingRequest) -> bool {
        let is_repeatable = pending.is_set_up || self.settings.is_idempotent(pending.request.class);
        let is_due = self.now - server.health.failed_at >= ejection_time(&server.health);
        is_repeatable && is_due && !self.sessions.not_playing.contains_key(&server.endpoint.server)
    }
}

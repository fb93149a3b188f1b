//! Exception: a server that has just started falls over beyond a pace, so it is open to a part of the
//! requests only, drawn by hash: as many as keep the pace if every director sends all that it may.

use crate::director::Director;
use crate::hash::{draw, tie_breaker};
use crate::state::servers::Server;
use crate::state::sessions::{PendingRequest, count_after};
use crate::time::TimeDelta;

/// Part used of the pace at which a warming server falls over: chance bunches, capacities stray.
const SETUP_RATE_MARGIN: f64 = 0.5;
/// A title may draw so large a part of all viewers however few servers hold it.
const MIN_TITLE_FRACTION: f64 = 0.02;

impl Director {
    /// Whether a server's warm-up admits this request. One that is known to warm up draws all requests
    /// for its titles; while any may be, since a cached endpoint list may hide a start, they draw alike.
    pub(crate) fn admits_warm_up(&self, server: &Server, pending: &PendingRequest) -> bool {
        let rules = &self.settings.rules;
        let is_warming_up = self.now < server.warm_at;
        if !is_warming_up && self.now >= self.started_at + rules.warm_up {
            return true;
        }
        let window = rules.overload_window.max(TimeDelta::from_micros(1));
        let window_start = self.now - window;
        let directors = self.settings.directors();
        let requests = self.attempts.count_after(window_start).max(1) as f64;
        let fleet_requests = directors * requests * self.request_fraction(pending, is_warming_up);
        let allowed = self.overload_rate_per_us(server) * SETUP_RATE_MARGIN * window.as_micros() as f64;
        let own_allowed = (allowed / directors).max(1.0) as usize;
        let sessions = self.sessions.by_server.get(&server.endpoint.server);
        let sent = sessions.map_or(0, |sessions| count_after(sessions, window_start));
        let tie_breaker = tie_breaker(self.seed, pending.request.session, server.endpoint.server);
        draw(tie_breaker) * fleet_requests < allowed && sent < own_allowed
    }

    /// Set-ups each microsecond at which a server that has just started falls over.
    fn overload_rate_per_us(&self, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        let warm_up = rules.warm_up.max(TimeDelta::from_micros(1)).as_micros() as f64;
        let capacity = self.settings.stream_capacity(server.endpoint.machine_kind);
        (rules.overload_factor * rules.initial_capacity * capacity).max(1.0) / warm_up
    }

    /// Part of all requests that may draw the server.
    fn request_fraction(&self, pending: &PendingRequest, is_warming_up: bool) -> f64 {
        let cells = self.settings.cell_count.max(1) as f64;
        if is_warming_up {
            (pending.request.replica_cells as f64 / cells).clamp(MIN_TITLE_FRACTION, 1.0)
        } else {
            1.0 / cells
        }
    }
}

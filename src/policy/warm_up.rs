//! Exception: a server that has just started fails if its set-ups exceed a certain rate. So a director sends
//! it only a fraction of the requests, selected by hash. The fraction is small enough to stay below that rate
//! even if every director sends as much as it is allowed to.

use crate::director::Director;
use crate::hash::{draw, tie_breaker};
use crate::state::servers::Server;
use crate::state::sessions::PendingRequest;
use crate::time::TimeDelta;

/// Set-ups that all directors together may send to a warming server, as a fraction of the rate at which it
/// fails. The rest absorbs random bursts and deviations of its capacity.
const SETUP_RATE_MARGIN: f64 = 0.5;
/// Lower bound of the assumed fraction of all requests that are for a title, however few servers host it.
const MIN_TITLE_FRACTION: f64 = 0.02;

impl Director {
    /// Whether a server's warm-up limit admits this request. A server that is known to be warming up is the
    /// least loaded, so it attracts all requests for its titles. Within the warm-up time after the director's
    /// own start, any server may be warming up, since a cached endpoint list may lack a restart; then each
    /// attracts an equal part.
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
        let sent = server.recent_set_ups.count_after(window_start);
        let tie_breaker = tie_breaker(self.seed, pending.request.session, server.endpoint.server);
        draw(tie_breaker) * fleet_requests < allowed && sent < own_allowed
    }

    /// Rate of set-ups per microsecond at which a server that has just started fails.
    fn overload_rate_per_us(&self, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        let warm_up = rules.warm_up.max(TimeDelta::from_micros(1)).as_micros() as f64;
        let capacity = self.settings.stream_capacity(server.endpoint.machine_kind);
        (rules.overload_factor * rules.initial_capacity * capacity).max(1.0) / warm_up
    }

    /// Fraction of all requests that may be sent to the server.
    fn request_fraction(&self, pending: &PendingRequest, is_warming_up: bool) -> f64 {
        let cells = self.settings.cell_count.max(1) as f64;
        if is_warming_up {
            (pending.request.replica_cells as f64 / cells).clamp(MIN_TITLE_FRACTION, 1.0)
        } else {
            1.0 / cells
        }
    }
}

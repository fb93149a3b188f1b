//! The normal path of a request. It goes to the least loaded server that hosts its title. Its preferred rung
//! is the highest one that viewer and class allow; it gets that while the utilization stays within
//! [`PREFERRED_RUNG_UTILIZATION_LIMIT`], else the highest lower rung that stays within [`UTILIZATION_LIMIT`].
//! If no server can take even the lowest rung, the request is rejected.

use crate::director::Director;
use crate::hash::{mix, tie_breaker};
use crate::interface::{Action, Request};
use crate::state::records::{Candidate, Placement};
use crate::state::servers::Server;
use crate::state::sessions::PendingRequest;
use crate::time::{TimeDelta, Timestamp};

/// Highest utilization of a link at which a session gets its preferred rung. The design calls it `C0` and
/// gives this default.
pub(crate) const PREFERRED_RUNG_UTILIZATION_LIMIT: f64 = 0.85;
/// Highest utilization of a link at which sessions are set up at all; the design gives this default. The
/// rest of the capacity absorbs actual rates that deviate by a few percent from nominal ones.
pub(crate) const UTILIZATION_LIMIT: f64 = 0.93;
/// Margin that is added to the mean utilization for a link without a report, in standard deviations over the
/// reported links. A session at the lowest rung needs no margin.
const UNREPORTED_MARGIN_DEVIATIONS: f64 = 0.7;
/// Utilization that is added to a server's load for a zone crossing, per unit of the crossing's price.
const ZONE_CROSSING_WEIGHT: f64 = 10.0;

impl Director {
    /// Sends an attempt to a server with capacity, or rejects the request.
    pub(crate) fn admit(&mut self, pending: PendingRequest) {
        match self.place(&pending) {
            Some(placement) => self.start_attempt(pending, placement),
            None => {
                self.demand.record_rejection(&pending.request, self.now);
                self.reject(&pending.request);
            }
        }
    }

    /// Finds a server and a rung. If there is no capacity, frees some where the request's utility justifies
    /// it.
    pub(crate) fn place(&mut self, pending: &PendingRequest) -> Option<Placement> {
        self.choose_placement(pending).or_else(|| {
            let is_freed = self.free_capacity(pending);
            is_freed.then(|| self.choose_placement(pending))?
        })
    }

    /// The least loaded server that fits the request, and the rung that its utilization allows.
    fn choose_placement(&self, pending: &PendingRequest) -> Option<Placement> {
        let lowest = self.settings.classes.get(pending.request.class)?.lowest_rung;
        let preferred = self.settings.highest_rung(&pending.request)?;
        if preferred < lowest || !self.allows_attempt(pending) {
            return None;
        }
        self.candidates(pending).into_iter().find_map(|server| {
            let rung = self.choose_rung(server, &pending.request, lowest, preferred, 0.0)?;
            Some(Placement { server: server.endpoint.server, rung })
        })
    }

    /// Servers that host the title and are available to the request: healthy ones first, then by increasing
    /// load.
    pub(crate) fn candidates(&self, pending: &PendingRequest) -> Vec<&Server> {
        let may_take = |server: &&Server| {
            self.settings.hosts_title(&server.endpoint, &pending.request)
                && self.is_available(server, pending)
        };
        let rank = |server| Candidate {
            server,
            load: self.placement_load(server),
            tie_breaker: tie_breaker(self.seed, pending.request.session, server.endpoint.server),
        };
        let mut candidates: Vec<_> = self.servers.values().filter(may_take).map(rank).collect();
        candidates.sort_by(|a, b| {
            let by_health = a.server.health.is_failing().cmp(&b.server.health.is_failing());
            by_health.then(a.load.total_cmp(&b.load)).then(a.tie_breaker.cmp(&b.tie_breaker))
        });
        candidates.into_iter().map(|candidate| candidate.server).collect()
    }

    /// The preferred rung if it fits within its utilization limit, else the highest lower one that fits
    /// within [`UTILIZATION_LIMIT`]; `None` if not even the lowest fits. `current_kb_s` is the rate that the
    /// session already has at this server.
    pub(crate) fn choose_rung(
        &self,
        server: &Server,
        request: &Request,
        lowest: usize,
        preferred: usize,
        current_kb_s: f64,
    ) -> Option<usize> {
        let quota = self.quota_limit(request);
        let added_kb_s = |rung| self.settings.rate(request.class, rung) - current_kb_s + quota.reserved_kb_s;
        let preferred_limit =
            quota.limit_scale * PREFERRED_RUNG_UTILIZATION_LIMIT * self.demand_scale(request, preferred);
        if self.fits(server, added_kb_s(preferred), preferred_limit, UNREPORTED_MARGIN_DEVIATIONS) {
            return Some(preferred);
        }
        let utilization_limit = quota.limit_scale * UTILIZATION_LIMIT;
        let mut lower = (lowest + 1..preferred).rev();
        let highest_fitting = lower.find(|rung| {
            self.fits(
                server,
                added_kb_s(*rung),
                utilization_limit * self.demand_scale(request, *rung),
                UNREPORTED_MARGIN_DEVIATIONS,
            )
        });
        highest_fitting
            .or_else(|| self.fits(server, added_kb_s(lowest), utilization_limit, 0.0).then_some(lowest))
    }

    /// Factor on the utilization limit for a rung. If the demand with this rung for all viewers exceeds the
    /// fleet's capacity, the limit is divided by that ratio, as in the design's choice of `C0`.
    fn demand_scale(&self, request: &Request, rung: usize) -> f64 {
        let demand = self.rung_demand(request.class, request.tenant, rung);
        1.0 / demand.map_or(1.0, |demand| demand.with_rung.max(1.0))
    }

    /// Whether link and uplink stay within a utilization limit if this rate is added. For a link without a
    /// report, `margin_deviations` standard deviations are added to the mean.
    fn fits(&self, server: &Server, kb_s: f64, limit: f64, margin_deviations: f64) -> bool {
        let uplink = self.uplink_of(server);
        let margin = |reported_at: Option<Timestamp>, deviation: f64| {
            if reported_at.is_some() { 0.0 } else { margin_deviations * deviation }
        };
        let link_margin = margin(server.link.reported_at, self.fleet_load.link.deviation);
        let link_added = link_margin + server.link.fraction(kb_s);
        let uplink_margin = margin(uplink.and_then(|u| u.reported_at), self.fleet_load.uplink.deviation);
        let uplink_added = uplink_margin + uplink.map_or(0.0, |u| u.fraction(kb_s));
        !server.shortage.is_short
            && self.link_utilization(server) + link_added <= limit
            && self.uplink_utilization(server) + uplink_added <= limit
    }

    /// The load by which candidates are ranked: utilization of link and uplink, plus a penalty for a zone
    /// crossing.
    fn placement_load(&self, server: &Server) -> f64 {
        let own_zone = self.settings.zone;
        let is_crossing =
            own_zone.is_some() && server.endpoint.zone.is_some() && own_zone != server.endpoint.zone;
        let crossing =
            if is_crossing { self.settings.zone_crossing_price * ZONE_CROSSING_WEIGHT } else { 0.0 };
        self.link_utilization(server) + self.uplink_utilization(server) + crossing
    }

    /// Rejects a request, with a Retry-After if viewers respect one.
    pub(crate) fn reject(&mut self, request: &Request) {
        let longest = self.settings.limits.max_retry_after;
        // Spread over the upper half of the allowed range, so that rejected viewers don't return all at once.
        let spread_permille = (mix(self.seed ^ request.session.0) % 1000) as i64;
        let is_advised = longest > TimeDelta::ZERO;
        let retry_after = is_advised.then(|| longest / 2 + longest / 2 * spread_permille / 1000);
        self.actions.push(Action::Reject { session: request.session, retry_after });
    }
}

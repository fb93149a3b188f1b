//! Queries on the settings for a class, a rack, a tenant or a request.

use crate::interface::{ClassSettings, Endpoint, Idempotency, Request, Settings};

impl Settings {
    /// Rate of a rung for a class, kB/s, as counted in link estimates and as requested from servers.
    pub fn rate(&self, class: usize, rung: usize) -> f64 {
        let scale = self.classes.get(class).map_or(1.0, |c| c.rate_scale);
        let kb_s = self.ladder.get(rung).map_or(0.0, |r| r.rate_kb_s) * scale;
        if kb_s.is_finite() { kb_s.max(0.0) } else { 0.0 }
    }

    /// Number of directors that share the fleet, at least 1.
    pub(crate) fn directors(&self) -> f64 {
        f64::from(self.director_count.max(1))
    }

    /// Rack of a cell; `None` if there are no rack uplinks.
    pub(crate) fn rack_of_cell(&self, cell: u64) -> Option<u64> {
        cell.checked_rem(self.rack_count)
    }

    /// Capacity of a rack's uplink, kB/s; 0 if unknown.
    pub(crate) fn uplink_capacity_kb_s(&self) -> f64 {
        self.rack_uplink_kb_s.max(0.0)
    }

    /// Index of the ladder's top rung; `None` if the ladder is empty.
    pub(crate) fn top_rung(&self) -> Option<usize> {
        self.ladder.len().checked_sub(1)
    }

    /// Highest rung that viewer and class allow; `None` if the ladder is empty or the class unknown.
    pub(crate) fn highest_rung(&self, request: &Request) -> Option<usize> {
        let class = self.classes.get(request.class)?;
        Some(request.highest_rung.min(class.highest_rung).min(self.top_rung()?))
    }

    /// Lowest rung of a class.
    pub(crate) fn lowest_rung(&self, class: usize) -> usize {
        self.classes.get(class).map_or(0, |c| c.lowest_rung)
    }

    /// Utility lost per second if a session of a class is downgraded from one rung to a lower one.
    pub(crate) fn utility_loss(&self, class: usize, from: usize, to: usize) -> Option<f64> {
        let higher = self.ladder.get(from)?;
        let lower = self.ladder.get(to)?;
        Some(self.classes.get(class)?.priority_weight * (higher.utility - lower.utility))
    }

    /// Maximum number of streams of a machine kind; 0 if unknown.
    pub(crate) fn stream_capacity(&self, kind: Option<usize>) -> f64 {
        kind.and_then(|k| self.stream_capacity_by_kind.get(k)).copied().filter(|n| *n > 0.0).unwrap_or(0.0)
    }

    /// Fraction of the fleet that is reserved for a tenant; `None` if it has no quota.
    pub(crate) fn fleet_quota(&self, tenant: usize) -> Option<f64> {
        self.tenants.get(tenant).map(|t| t.fleet_quota).filter(|quota| *quota > 0.0)
    }

    /// Whether set-ups of this class may be repeated.
    pub(crate) fn is_idempotent(&self, class: usize) -> bool {
        let is_idempotent = |c: &ClassSettings| c.idempotency == Idempotency::Idempotent;
        self.classes.get(class).is_some_and(is_idempotent)
    }

    /// Whether a server belongs to the request's fleet and its cell hosts the title.
    pub(crate) fn hosts_title(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let cells = self.cell_count;
        if endpoint.cell >= cells || endpoint.fleet != request.fleet {
            return false;
        }
        let first = request.first_cell % cells;
        let distance =
            if endpoint.cell >= first { endpoint.cell - first } else { cells - first + endpoint.cell };
        distance < request.replica_cells
    }
}

//! What the settings come to for a class, a rack, a request. Nothing is decided here.

use crate::interface::*;

impl Settings {
    /// Rate of a rung for a class, kB a second: what an account counts, and what a node is told to send.
    pub fn rate(&self, class: usize, rung: usize) -> f64 {
        let scale = self.classes.get(class).map_or(1.0, |c| c.rate_scale);
        let kb = self.ladder.get(rung).map_or(0.0, |r| r.rate_kb_s) * scale;
        if kb.is_finite() { kb.max(0.0) } else { 0.0 }
    }

    pub(super) fn sharers(&self) -> f64 {
        f64::from(self.director_count.max(1))
    }

    /// Rack of a cell; none where racks have no uplinks.
    pub(super) fn rack(&self, cell: u64) -> Option<u64> {
        cell.checked_rem(self.rack_count)
    }

    /// Highest rung that viewer and class allow; none without a ladder.
    pub(super) fn top(&self, req: &Request) -> Option<usize> {
        let class = self.classes.get(req.class)?;
        Some(req.highest_rung.min(class.highest_rung).min(self.ladder.len().checked_sub(1)?))
    }

    pub(super) fn places(&self, kind: Option<usize>) -> f64 {
        kind.and_then(|k| self.stream_capacity_by_kind.get(k)).copied().filter(|p| *p > 0.0).unwrap_or(0.0)
    }

    pub(super) fn floor(&self, class: usize) -> usize {
        self.classes.get(class).map_or(0, |c| c.lowest_rung)
    }

    pub(super) fn harmless(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|c| c.idempotency == Idempotency::Idempotent)
    }

    /// Whether a server is of the request's fleet and its cell holds the title.
    pub(super) fn holds(&self, listed: &Endpoint, req: &Request) -> bool {
        let (cell, cells) = (listed.cell, self.cell_count);
        if cell >= cells || listed.fleet != req.fleet {
            return false;
        }
        let home = req.first_cell % cells;
        (if cell >= home { cell - home } else { cells - home + cell }) < req.replica_cells
    }
}

//! What the settings come to for a class, a rack, a request. Nothing is decided here.

use crate::interface::*;

impl Settings {
    /// Rate of a rung for a class, kB a second: what an account counts, and what a node is told to send.
    pub fn rate(&self, class: usize, rung: usize) -> f64 {
        let scale = self.classes.get(class).map_or(1.0, |c| c.scale);
        let kb = self.ladder.get(rung).map_or(0.0, |r| r.kb) * scale;
        if kb.is_finite() { kb.max(0.0) } else { 0.0 }
    }

    pub(super) fn sharers(&self) -> f64 {
        f64::from(self.directors.max(1))
    }

    /// Rack of a cell; none where racks have no uplinks.
    pub(super) fn rack(&self, cell: u64) -> Option<u64> {
        cell.checked_rem(self.racks)
    }

    /// Highest rung that viewer and class allow; none without a ladder.
    pub(super) fn top(&self, req: &Request) -> Option<usize> {
        let class = self.classes.get(req.class)?;
        Some(req.top.min(class.top).min(self.ladder.len().checked_sub(1)?))
    }

    pub(super) fn places(&self, kind: Option<usize>) -> f64 {
        kind.and_then(|k| self.places_by_kind.get(k)).copied().filter(|p| *p > 0.0).unwrap_or(0.0)
    }

    pub(super) fn floor(&self, class: usize) -> usize {
        self.classes.get(class).map_or(0, |c| c.floor)
    }

    pub(super) fn harmless(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|c| c.effect == Effect::Harmless)
    }

    /// Whether a server is of the request's fleet and its cell holds the title.
    pub(super) fn holds(&self, listed: &Listed, req: &Request) -> bool {
        let (cell, cells) = (listed.cell, self.cells);
        if cell >= cells || listed.fleet != req.fleet {
            return false;
        }
        let home = req.home % cells;
        (if cell >= home { cell - home } else { cells - home + cell }) < req.spread
    }
}

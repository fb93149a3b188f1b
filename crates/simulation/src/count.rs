//! What came of a run.

use shalewall_fleet_model::totals::TotalsByTenant;
use std::collections::BTreeMap;

/// Sums over a run; worth in seconds at a rung of worth 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Count {
    pub tallies: TotalsByTenant,
    /// What stalls and what changes of rung took of the worth.
    pub stalled: f64,
    pub stepped: f64,
    /// Nodes pushed over: rule 4 is broken.
    pub fell: u64,
    /// By spans of [`SPAN`] seconds.
    pub spans: Vec<Span>,
}

/// Length of a span.
pub const SPAN: f64 = 10.0;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Span {
    pub asked: u64,
    pub refused: u64,
    pub wanted: f64,
    pub got: f64,
    pub bound: f64,
    pub rungs: BTreeMap<usize, f64>,
}

impl Count {
    pub fn span(&mut self, at_s: f64) -> &mut Span {
        let i = (at_s / SPAN).max(0.0) as usize;
        if self.spans.len() <= i {
            self.spans.resize(i + 1, Span::default());
        }
        &mut self.spans[i]
    }
}

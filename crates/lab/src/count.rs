//! What came of a run.

use serde::Serialize;
use std::collections::BTreeMap;

/// Sums over a run. Times in seconds, worth in seconds at a rung of worth 1.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Count {
    pub asked: u64,
    pub played: u64,
    pub refused: u64,
    pub failed: u64,
    /// Nobody answered: the director was down.
    pub unanswered: u64,
    pub broken: u64,
    pub people: u64,
    pub people_refused: u64,
    pub people_unserved: u64,
    pub steps: u64,
    pub played_s: f64,
    /// Within the day, as the stand-ins on sockets count it.
    pub wanted: f64,
    pub got: f64,
    /// What stalls and what changes of rung took of it.
    pub stalled: f64,
    pub stepped: f64,
    pub rungs: BTreeMap<usize, f64>,
    /// Nodes pushed over: rule 4 is broken.
    pub fell: u64,
    /// By spans of [`SPAN`] seconds.
    pub spans: Vec<Span>,
}

/// Length of a span.
pub const SPAN: f64 = 10.0;

#[derive(Clone, Debug, Default, Serialize, PartialEq)]
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

    pub fn worth(&self) -> f64 {
        self.got / self.wanted.max(1e-9)
    }

    /// Part of all requests that was refused.
    pub fn refused_part(&self) -> f64 {
        self.refused as f64 / (self.asked as f64).max(1.0)
    }

    /// Part of all viewers that never got to watch.
    pub fn unserved_part(&self) -> f64 {
        self.people_unserved as f64 / (self.people as f64).max(1.0)
    }

    /// Changes of rung for each minute that a session played.
    pub fn steps_a_minute(&self) -> f64 {
        self.steps as f64 * 60.0 / self.played_s.max(1e-9)
    }
}

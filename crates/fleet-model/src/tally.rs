//! What came of viewers, counted alike on sockets and in simulated time.

use std::collections::BTreeMap;

/// Sums over viewers. Worth and times in seconds at a rung of worth 1, within the day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    pub asked: u64,
    pub played: u64,
    pub refused: u64,
    pub failed: u64,
    /// Nobody answered: the connection ended without an answer, or could not be made.
    pub unanswered: u64,
    pub broken: u64,
    /// Viewers that came; those turned away at least once; those that wanted to watch and never did.
    pub people: u64,
    pub people_refused: u64,
    pub people_unserved: u64,
    /// Changes of rung while playing.
    pub steps: u64,
    /// Worth asked for and got, less what stalls and steps cost.
    pub wanted: f64,
    pub got: f64,
    /// Seconds at each rung.
    pub rungs: BTreeMap<usize, f64>,
}

fn part(of: f64, all: f64) -> f64 {
    of / all.max(1e-9)
}

impl Tally {
    pub fn worth(&self) -> f64 {
        part(self.got, self.wanted)
    }

    /// Part of all requests that was refused.
    pub fn refused_part(&self) -> f64 {
        part(self.refused as f64, self.asked as f64)
    }

    /// Part of all viewers that was turned away at least once, and that never got to watch.
    pub fn people_refused_part(&self) -> f64 {
        part(self.people_refused as f64, self.people as f64)
    }

    pub fn unserved_part(&self) -> f64 {
        part(self.people_unserved as f64, self.people as f64)
    }

    pub fn played_s(&self) -> f64 {
        self.rungs.values().sum()
    }

    /// Changes of rung for each minute that a session played.
    pub fn steps_a_minute(&self) -> f64 {
        part(self.steps as f64 * 60.0, self.played_s())
    }
}

/// Tallies of all viewers, and of each tenant's where they have any.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tallies {
    pub all: Tally,
    pub tenants: BTreeMap<String, Tally>,
}

impl Tallies {
    /// Enters something of one viewer.
    pub fn enter(&mut self, tenant: Option<&str>, what: impl Fn(&mut Tally)) {
        what(&mut self.all);
        if let Some(tenant) = tenant {
            if !self.tenants.contains_key(tenant) {
                self.tenants.insert(tenant.to_string(), Tally::default());
            }
            self.tenants.get_mut(tenant).into_iter().for_each(what);
        }
    }
}

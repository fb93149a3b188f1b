//! Upper bounds on the worth that any policy could earn: the demand of all viewers against the capacity of links and
//! uplinks, as if every node held every title and capacity could be divided without remainder.

use shalewall::Settings;
use std::collections::BTreeMap;

/// Number of viewers who want to watch now, by class and highest rung of their players.
pub type Demand = BTreeMap<(usize, usize), usize>;

/// Bounds over a whole run, in seconds at a rung of worth 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    /// No choice of nodes and rungs could have earned more.
    pub maximum: f64,
    /// By rung: worth if all viewers play at that rung, or at the nearest one that class and player allow, and the
    /// excess over the capacity is not served.
    pub at_constant_rung: Vec<f64>,
}

impl Bounds {
    /// The constant rung that could have earned the most, and its worth.
    pub fn best_rung(&self) -> (usize, f64) {
        let best = self
            .at_constant_rung
            .iter()
            .enumerate()
            .max_by(|a, b| a.1.total_cmp(b.1));
        best.map_or((0, 0.0), |(rung, worth)| (rung, *worth))
    }

    /// Adds an interval with constant demand and capacity. Returns the maximum worth for it.
    pub fn add_interval(
        &mut self,
        settings: &Settings,
        demand: &Demand,
        capacity_kb_s: f64,
        seconds: f64,
    ) -> f64 {
        let maximum = maximum_worth_per_s(settings, demand, capacity_kb_s) * seconds;
        self.maximum += maximum;
        self.at_constant_rung.resize(settings.ladder.len(), 0.0);
        for (rung, sum) in self.at_constant_rung.iter_mut().enumerate() {
            let (mut kb, mut worth) = (0.0, 0.0);
            for ((class, top), n) in demand {
                let terms = &settings.classes[*class];
                let rung = rung
                    .min(*top)
                    .min(terms.highest_rung)
                    .max(terms.lowest_rung);
                kb += *n as f64 * settings.rate(*class, rung);
                worth += *n as f64 * terms.priority_weight * settings.ladder[rung].utility;
            }
            *sum += seconds
                * worth
                * if kb > capacity_kb_s {
                    capacity_kb_s / kb
                } else {
                    1.0
                };
        }
        maximum
    }
}

/// Upper bound on the worth a second. Takes the upper hull of each viewer's ladder and fills the capacity with its
/// segments in descending order of worth for a kB. A viewer may get a fraction of a segment, so that no real
/// assignment of rungs can exceed the bound.
fn maximum_worth_per_s(settings: &Settings, demand: &Demand, capacity_kb_s: f64) -> f64 {
    let mut segments: Vec<(f64, f64)> = Vec::new(); // worth for a kB, kB a second
    for ((class, top), n) in demand {
        let terms = &settings.classes[*class];
        let (mut kb, mut worth, mut from) = (0.0, 0.0, terms.lowest_rung);
        let last = (*top)
            .min(terms.highest_rung)
            .min(settings.ladder.len().saturating_sub(1));
        while from <= last {
            let density = |r: usize| {
                (terms.priority_weight * settings.ladder[r].utility - worth)
                    / (settings.rate(*class, r) - kb).max(1e-9)
            };
            let best = (from..=last).max_by(|a, b| density(*a).total_cmp(&density(*b)));
            let Some(best) = best.filter(|r| density(*r) > 0.0) else {
                break;
            };
            let here = density(best);
            segments.push((here, *n as f64 * (settings.rate(*class, best) - kb)));
            (kb, worth, from) = (
                settings.rate(*class, best),
                terms.priority_weight * settings.ladder[best].utility,
                best + 1,
            );
        }
    }
    segments.sort_by(|a, b| b.0.total_cmp(&a.0));
    let (mut remaining_kb_s, mut worth) = (capacity_kb_s, 0.0);
    for (density, kb) in segments {
        worth += density * kb.min(remaining_kb_s);
        remaining_kb_s -= kb.min(remaining_kb_s);
    }
    worth
}

#[cfg(test)]
mod tests {
    use super::*;
    use shalewall::{ClassSettings, Rung};

    #[test]
    fn the_bound_fills_capacity_in_order_of_utility_density() {
        let class = ClassSettings {
            priority_weight: 1.0,
            rate_scale: 1.0,
            highest_rung: 2,
            ..Default::default()
        };
        let rung = |kb, worth| Rung {
            rate_kb_s: kb,
            utility: worth,
        };
        let ladder = vec![rung(100.0, 0.4), rung(200.0, 0.6), rung(400.0, 1.0)];
        let settings = Settings {
            classes: vec![class],
            ladder,
            ..Default::default()
        };
        let demand = Demand::from([((0, 2), 10)]);
        assert_eq!(
            maximum_worth_per_s(&settings, &demand, 1000.0),
            4.0,
            "just the lowest rung for all"
        );
        assert!(
            (maximum_worth_per_s(&settings, &demand, 1300.0) - (4.0 + 0.6 * 300.0 / 300.0)).abs()
                < 1e-9
        );
        assert_eq!(maximum_worth_per_s(&settings, &demand, 1e9), 10.0);
        let mut bounds = Bounds::default();
        bounds.add_interval(&settings, &demand, 2000.0, 2.0);
        assert_eq!(bounds.best_rung(), (1, 12.0));
        assert!(bounds.maximum >= 12.0);
    }
}

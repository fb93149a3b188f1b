//! What could have been had, moment by moment: all viewers who want to watch, against what links and uplinks
//! give, as if every node held every title and rooms could be shared out to the last byte.

use shalewall::Settings;
use std::collections::BTreeMap;

/// Viewers who want to watch now, by class and the highest rung of their players.
pub type Wanting = BTreeMap<(usize, usize), usize>;

/// Sums over a run, in seconds of worth.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    /// No placing and no rungs could have given more.
    pub most: f64,
    /// All viewers at one rung (or what their players can show of it), as many as fit.
    pub at_rung: Vec<f64>,
}

impl Bounds {
    /// What the best constant rung could have given.
    pub fn best_rung(&self) -> (usize, f64) {
        let best = self
            .at_rung
            .iter()
            .enumerate()
            .max_by(|a, b| a.1.total_cmp(b.1));
        best.map_or((0, 0.0), |(rung, worth)| (rung, *worth))
    }

    /// Some time passes with so much room, kB a second. Returns what could be had of it at most.
    pub fn pass(&mut self, set: &Settings, wanting: &Wanting, room: f64, seconds: f64) -> f64 {
        let most = most(set, wanting, room) * seconds;
        self.most += most;
        self.at_rung.resize(set.ladder.len(), 0.0);
        for (rung, sum) in self.at_rung.iter_mut().enumerate() {
            let (mut kb, mut worth) = (0.0, 0.0);
            for ((class, top), n) in wanting {
                let terms = &set.classes[*class];
                let rung = rung
                    .min(*top)
                    .min(terms.highest_rung)
                    .max(terms.lowest_rung);
                kb += *n as f64 * set.rate(*class, rung);
                worth += *n as f64 * terms.priority_weight * set.ladder[rung].utility;
            }
            *sum += seconds * worth * if kb > room { room / kb } else { 1.0 };
        }
        most
    }
}

/// Worth a second at most: each viewer's ladder as its upper hull, the densest parts first until the room is
/// used up. Lets a viewer play at a part of a rung, so nothing real can reach above it.
fn most(set: &Settings, wanting: &Wanting, room: f64) -> f64 {
    let mut parts: Vec<(f64, f64)> = Vec::new(); // worth for a kB, kB
    for ((class, top), n) in wanting {
        let terms = &set.classes[*class];
        let (mut kb, mut worth, mut from) = (0.0, 0.0, terms.lowest_rung);
        let last = (*top)
            .min(terms.highest_rung)
            .min(set.ladder.len().saturating_sub(1));
        while from <= last {
            let density = |r: usize| {
                (terms.priority_weight * set.ladder[r].utility - worth)
                    / (set.rate(*class, r) - kb).max(1e-9)
            };
            let best = (from..=last).max_by(|a, b| density(*a).total_cmp(&density(*b)));
            let Some(best) = best.filter(|r| density(*r) > 0.0) else {
                break;
            };
            let here = density(best);
            parts.push((here, *n as f64 * (set.rate(*class, best) - kb)));
            (kb, worth, from) = (
                set.rate(*class, best),
                terms.priority_weight * set.ladder[best].utility,
                best + 1,
            );
        }
    }
    parts.sort_by(|a, b| b.0.total_cmp(&a.0));
    let (mut left, mut worth) = (room, 0.0);
    for (density, kb) in parts {
        worth += density * kb.min(left);
        left -= kb.min(left);
    }
    worth
}

#[cfg(test)]
mod tests {
    use super::*;
    use shalewall::{ClassSettings, Rung};

    #[test]
    fn the_bound_fills_the_room_with_the_densest_parts() {
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
        let set = Settings {
            classes: vec![class],
            ladder,
            ..Default::default()
        };
        let wanting = Wanting::from([((0, 2), 10)]);
        assert_eq!(
            most(&set, &wanting, 1000.0),
            4.0,
            "just the lowest rung for all"
        );
        assert!((most(&set, &wanting, 1300.0) - (4.0 + 0.6 * 300.0 / 300.0)).abs() < 1e-9);
        assert_eq!(most(&set, &wanting, 1e9), 10.0);
        let mut bounds = Bounds::default();
        bounds.pass(&set, &wanting, 2000.0, 2.0);
        assert_eq!(bounds.best_rung(), (1, 12.0));
        assert!(bounds.most >= 12.0);
    }
}

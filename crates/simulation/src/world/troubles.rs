//! Troubles of a day, as they begin and end.

use super::*;

impl World<'_> {
    /// Those that a trouble meets: as told, or its part of them, at least one.
    pub(super) fn met(&mut self, of: Vec<u64>, trouble: &Fault) -> Vec<u64> {
        let mut met = of;
        if let Some(on) = &trouble.targets {
            met.retain(|x| on.contains(x));
            return met;
        }
        let n = ((trouble.fraction * met.len() as f64).round() as usize).max(1);
        // Of the same day the same are met, whoever decides.
        met.shuffle(&mut ChaCha8Rng::seed_from_u64(
            self.plan.day.seed ^ trouble.start_s.to_bits(),
        ));
        met.truncate(n);
        met
    }

    pub(super) fn trouble_begins(&mut self, i: usize) {
        let trouble = self.troubles[i].clone();
        let mut met = Vec::new();
        match trouble.kind {
            FaultKind::Crash => {
                let up = self
                    .fleet
                    .nodes
                    .iter()
                    .filter(|(_, n)| n.process == ProcessState::Running);
                let up = up.map(|(id, _)| *id).collect();
                met = self.met(up, &trouble);
                met.iter().for_each(|id| self.down(*id));
            }
            FaultKind::TenantBurst if trouble.target_name.is_some() => {
                self.bursts
                    .extend(trouble.target_name.clone().map(|name| (name, trouble.size)));
            }
            FaultKind::Burst | FaultKind::TenantBurst => self.burst = trouble.size,
            FaultKind::HotTitle => {
                self.extra = trouble
                    .target_name
                    .clone()
                    .map(|n| (Interest::Title(n), trouble.size));
            }
            FaultKind::ClassFlood => {
                let class = self
                    .crowd
                    .classes
                    .iter()
                    .position(|c| trouble.target_name.as_ref() == Some(&c.name));
                self.extra = class.map(|c| (Interest::Class(c), trouble.size));
            }
            FaultKind::SharedSlow => self.fleet.link_slowdown = trouble.size,
            FaultKind::DirectorKill => {
                let up = (0..self.engines.len()).filter(|d| self.engines[*d].is_some());
                let up = up.map(|d| d as u64).collect();
                met = self.met(up, &trouble);
                met.iter().for_each(|d| self.kill(*d as usize));
            }
            _ => {}
        }
        self.later(
            micros_from_millis(trouble.duration_s * 1000.0),
            Due::Ends(i, met),
        );
    }

    pub(super) fn trouble_ends(&mut self, i: usize, met: Vec<u64>) {
        match self.troubles[i].kind {
            FaultKind::Crash => met.into_iter().for_each(|id| self.up(id)),
            FaultKind::Burst | FaultKind::TenantBurst => {
                (self.burst, self.bursts) = (1.0, BTreeMap::new());
            }
            FaultKind::HotTitle | FaultKind::ClassFlood => self.extra = None,
            FaultKind::SharedSlow => self.fleet.link_slowdown = 1.0,
            FaultKind::DirectorKill => met.into_iter().for_each(|d| self.start(d as usize)),
            _ => {}
        }
    }

    pub(super) fn lapse(&mut self, director: u32) {
        if self.engines[director as usize].is_some() {
            return; // back in time: it has ended them, or holds them
        }
        let held = |(id, n): (&u64, &shalewall_fleet_model::fleet::Node)| {
            let of = n.playing.iter().filter(|(_, p)| p.director == director);
            of.map(|(run, _)| (*id, *run)).collect::<Vec<_>>()
        };
        let held: Vec<(u64, AttemptId)> = self.fleet.nodes.iter().flat_map(held).collect();
        for (node, run) in held {
            self.fleet.end_session(node, run);
            self.hide(run.session, true);
        }
    }
}

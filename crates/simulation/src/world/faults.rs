//! Beginning and end of the day's faults.

use super::*;

impl World<'_> {
    /// The nodes or directors that a fault affects: its configured targets, or else its fraction of the candidates, at
    /// least one.
    pub(super) fn select_affected(&mut self, candidates: Vec<u64>, fault: &Fault) -> Vec<u64> {
        let mut affected = candidates;
        if let Some(targets) = &fault.targets {
            affected.retain(|x| targets.contains(x));
            return affected;
        }
        let count = ((fault.fraction * affected.len() as f64).round() as usize).max(1);
        // Seeded by the plan alone, so that a fault affects the same ones under every policy.
        affected.shuffle(&mut ChaCha8Rng::seed_from_u64(
            self.plan.day.seed ^ fault.start_s.to_bits(),
        ));
        affected.truncate(count);
        affected
    }

    pub(super) fn begin_fault(&mut self, i: usize) {
        let fault = self.faults[i].clone();
        let mut affected = Vec::new();
        match fault.kind {
            FaultKind::Crash => {
                let up = self
                    .fleet
                    .nodes
                    .iter()
                    .filter(|(_, n)| n.process == ProcessState::Running);
                let up = up.map(|(id, _)| *id).collect();
                affected = self.select_affected(up, &fault);
                affected.iter().for_each(|id| self.crash_node(*id));
            }
            FaultKind::TenantBurst if fault.target_name.is_some() => {
                self.tenant_arrival_factors
                    .extend(fault.target_name.clone().map(|name| (name, fault.size)));
            }
            FaultKind::Burst | FaultKind::TenantBurst => self.arrival_factor = fault.size,
            FaultKind::HotTitle => {
                self.extra_arrivals = fault
                    .target_name
                    .clone()
                    .map(|n| (Interest::Title(n), fault.size));
            }
            FaultKind::ClassFlood => {
                let class = self
                    .population
                    .classes
                    .iter()
                    .position(|c| fault.target_name.as_ref() == Some(&c.name));
                self.extra_arrivals = class.map(|c| (Interest::Class(c), fault.size));
            }
            FaultKind::SharedSlow => self.fleet.link_slowdown = fault.size,
            FaultKind::DirectorKill => {
                let up =
                    (0..self.engines.len()).filter(|director| self.engines[*director].is_some());
                let up = up.map(|director| director as u64).collect();
                affected = self.select_affected(up, &fault);
                affected
                    .iter()
                    .for_each(|director| self.kill_director(*director as usize));
            }
            _ => {}
        }
        self.schedule_after(
            micros_from_millis(fault.duration_s * 1000.0),
            ScheduledEvent::FaultEnds(i, affected),
        );
    }

    pub(super) fn end_fault(&mut self, i: usize, affected: Vec<u64>) {
        match self.faults[i].kind {
            FaultKind::Crash => affected.into_iter().for_each(|id| self.restart_node(id)),
            FaultKind::Burst | FaultKind::TenantBurst => {
                (self.arrival_factor, self.tenant_arrival_factors) = (1.0, BTreeMap::new());
            }
            FaultKind::HotTitle | FaultKind::ClassFlood => self.extra_arrivals = None,
            FaultKind::SharedSlow => self.fleet.link_slowdown = 1.0,
            FaultKind::DirectorKill => affected
                .into_iter()
                .for_each(|director| self.start_director(director as usize)),
            _ => {}
        }
    }

    pub(super) fn expire_director_lease(&mut self, director: u32) {
        if self.engines[director as usize].is_some() {
            return; // It has restarted in time and has taken its sessions over or ended them.
        }
        let sessions_of = |(id, n): (&u64, &shalewall_fleet_model::fleet::Node)| {
            let sessions = n.playing.iter().filter(|(_, p)| p.director == director);
            sessions
                .map(|(attempt_id, _)| (*id, *attempt_id))
                .collect::<Vec<_>>()
        };
        let held: Vec<(u64, AttemptId)> = self.fleet.nodes.iter().flat_map(sessions_of).collect();
        for (node, attempt_id) in held {
            self.fleet.end_session(node, attempt_id);
            self.finish_session(attempt_id.session, true);
        }
    }
}

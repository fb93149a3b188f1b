//! The rules between the fields of a day.

use super::{DayPlan, Fault, FaultKind, Machine};
use crate::SettingsFile;
use crate::rule::{Rule, Violation, joined};

/// Smallest allowed value for the shortest session of a class, in seconds.
const SHORTEST_SESSION_S: f64 = 0.1;

impl SettingsFile for DayPlan {
    fn violations(&self) -> Vec<Violation> {
        let mut violations = self.site.violations();
        self.check_load(&mut violations);
        self.check_hosted(&mut violations);
        self.check_load_references(&mut violations);
        for (name, machine) in &self.fleet.machines {
            self.check_machine(name, machine, &mut violations);
        }
        self.check_uplinks(&mut violations);
        for (name, fault) in &self.faults {
            self.check_fault(name, fault, &mut violations);
        }
        violations
    }
}

impl DayPlan {
    fn check_load(&self, violations: &mut Vec<Violation>) {
        if self.load.max_length_s < self.load.min_length_s {
            let rule = Rule::LongestBelowShortest;
            violations.push(Violation::new("load.longest_s", rule));
        }
        let mut parts = self.load.class_mix.values();
        if parts.any(|part| !part.is_finite() || *part < 0.0)
            || self.load.class_mix.values().sum::<f64>() <= 0.0
        {
            violations.push(Violation::new("load.mix", Rule::MixWithoutParts));
        }
    }

    fn check_hosted(&self, violations: &mut Vec<Violation>) {
        if self.hosted.is_none() {
            return;
        }
        let mut classes = self.site.classes.values();
        if classes.any(|class| class.is_live || class.rate_scale != 1.0) {
            let rule = Rule::HostedClassWithScaleOrLive;
            violations.push(Violation::new("hosted", rule));
        }
        if self.site.tenants.values().any(|tenant| tenant.share <= 0.0) {
            let rule = Rule::HostedTenantWithoutShare;
            violations.push(Violation::new("hosted", rule));
        }
    }

    /// Checks the load's references to tenants and classes.
    fn check_load_references(&self, violations: &mut Vec<Violation>) {
        for (name, rate) in &self.load.tenant_rates {
            if !self.site.tenants.contains_key(name) || !rate.is_finite() || *rate <= 0.0 {
                let path = format!("load.tenants.{name}");
                violations.push(Violation::new(path, Rule::UnknownTenantOrNoRate));
            }
        }
        for name in self.load.class_mix.keys() {
            if !self.site.classes.contains_key(name) {
                let name = name.clone();
                let known = joined(self.site.classes.keys());
                let rule = Rule::UnknownClassInMix { name, known };
                violations.push(Violation::new("load.mix", rule));
            }
        }
        for (name, (shortest, longest)) in &self.load.length_s_by_class {
            let is_range = *shortest >= SHORTEST_SESSION_S && longest >= shortest;
            if !is_range || !self.site.classes.contains_key(name) {
                let path = format!("load.lasts_s.{name}");
                violations.push(Violation::new(path, Rule::InvalidClassLengths));
            }
        }
    }

    fn check_machine(&self, name: &str, machine: &Machine, violations: &mut Vec<Violation>) {
        let path = format!("fleet.machine.{name}");
        let cells = self.site.layout.cell_count;
        if name.parse::<u32>().is_err() {
            violations.push(Violation::new(&path, Rule::MachineNameNotNumber));
        }
        if machine.cell >= cells {
            let highest = cells - 1;
            let rule = Rule::UnknownCell { highest };
            violations.push(Violation::new(format!("{path}.cell"), rule));
        }
        if !self.site.kinds.contains_key(&machine.kind) {
            let rule = Rule::UnknownKind;
            violations.push(Violation::new(format!("{path}.kind"), rule));
        }
    }

    fn check_uplinks(&self, violations: &mut Vec<Violation>) {
        let uplinks = &self.fleet.uplinks_kb_s;
        let racks = self.site.layout.rack_count;
        if !uplinks.is_empty() && uplinks.len() as u64 != racks {
            let rule = Rule::UplinkCount { racks };
            violations.push(Violation::new("fleet.uplinks_kb", rule));
        }
        if uplinks.iter().any(|kb| !kb.is_finite() || *kb <= 0.0) {
            let rule = Rule::UplinkNotPositive;
            violations.push(Violation::new("fleet.uplinks_kb", rule));
        }
    }

    fn check_fault(&self, name: &str, fault: &Fault, violations: &mut Vec<Violation>) {
        let path = |field: &str| format!("trouble.{name}.{field}");
        let seconds = self.day.seconds;
        if fault.start_s + fault.duration_s > seconds {
            let rule = Rule::FaultBeyondDay { seconds };
            violations.push(Violation::new(path("len_s"), rule));
        }
        if fault.kind.has_size() && fault.size <= 0.0 {
            violations.push(Violation::new(path("size"), Rule::FaultValueMissing));
        }
        if fault.kind == FaultKind::Neighbour && fault.size > 1.0 {
            violations.push(Violation::new(path("size"), Rule::FaultSizeBeyondLink));
        }
        if fault.kind == FaultKind::DirectorStall && fault.stall_ms <= 0.0 {
            violations.push(Violation::new(path("stall_ms"), Rule::FaultValueMissing));
        }
        let Some(targets) = self.targets(fault.kind) else {
            return;
        };
        if fault
            .target_name
            .as_ref()
            .is_none_or(|name| !targets.contains(&name))
        {
            let known = joined(targets);
            let rule = Rule::UnknownFaultTarget { known };
            violations.push(Violation::new(path("name"), rule));
        }
    }

    /// The names that a kind of fault may have as target; `None` if it has no named target.
    fn targets(&self, kind: FaultKind) -> Option<Vec<&String>> {
        match kind {
            FaultKind::ZoneLoss => Some(self.site.zones.iter().collect()),
            FaultKind::TenantBurst if self.load.tenant_rates.is_empty() => None,
            FaultKind::TenantBurst => Some(self.load.tenant_rates.keys().collect()),
            FaultKind::HotTitle => Some(self.site.titles.keys().collect()),
            FaultKind::ClassFlood => Some(self.load.class_mix.keys().collect()),
            _ => None,
        }
    }
}

//! Faults of a script, converted from the entries of a day file's `troubles` that have a counterpart.

use super::error::ImportError;
use super::reader::Reader;
use shalewall_settings::{Fault, FaultKind, Site};
use std::collections::BTreeMap;

/// Maximum number of waves of a preemption.
const MAX_WAVES: u32 = 16;

pub(super) fn faults(
    day: &Reader,
    site: &Site,
    seconds: f64,
    left_out: &mut Vec<String>,
) -> Result<BTreeMap<String, Fault>, ImportError> {
    let mut faults = BTreeMap::new();
    for (index, entry) in day.at("troubles").list()?.iter().enumerate() {
        let name = entry.at("kind").text()?;
        let label = format!("{index:02} {name}");
        let Some(kind) = counterpart(&name) else {
            left_out.push(format!("trouble {label}: has no counterpart here"));
            continue;
        };
        let imported = BenchFault::read(entry, seconds)?;
        if let Some(change) = change_in_script(kind) {
            left_out.push(format!("trouble {label}: {change}"));
        }
        faults.insert(label, imported.fault(kind, entry, day, site, seconds)?);
    }
    Ok(faults)
}

/// Kind of fault that corresponds to a kind of trouble in the day file.
fn counterpart(name: &str) -> Option<FaultKind> {
    Some(match name {
        "crash" => FaultKind::Crash,
        "vanish" => FaultKind::Vanish,
        "hang" => FaultKind::Hang,
        "neighbour" => FaultKind::Neighbour,
        "shared_slow" => FaultKind::SharedSlow,
        "ageing" => FaultKind::Ageing,
        "preempt" => FaultKind::Preempt,
        "zone_loss" => FaultKind::ZoneLoss,
        "discovery_down" => FaultKind::ListOut,
        "burst" => FaultKind::Burst,
        "tenant_burst" => FaultKind::TenantBurst,
        "hot_key" => FaultKind::HotTitle,
        "balancer_stall" => FaultKind::DirectorStall,
        _ => return None,
    })
}

/// How a fault of the script differs from the original in the day file.
fn change_in_script(kind: FaultKind) -> Option<&'static str> {
    match kind {
        FaultKind::Neighbour => Some("its spells on and off are drawn anew"),
        FaultKind::Ageing => Some("its course is a straight line, links slow with set-ups"),
        FaultKind::Preempt => Some("waves are evenly spaced, replacements the machines' twins"),
        FaultKind::ZoneLoss => Some("its directors are not lost with it"),
        FaultKind::TenantBurst => Some("a burst of all, since viewers name no tenant"),
        FaultKind::DirectorStall => {
            Some("stalls follow each other after 1 to 2 of their own length")
        }
        _ => None,
    }
}

/// A fault of a day file, with its times in seconds.
struct BenchFault {
    start_s: f64,
    duration_s: f64,
    /// Magnitude; its unit depends on the kind, such as a factor of the load or the notice of a preemption in seconds.
    size: f64,
    /// Second magnitude; only preemptions use it, in seconds.
    extra: f64,
    /// Position of the affected tenant or title.
    target_index: usize,
    /// Positions of the affected servers or balancers.
    targets: Vec<f64>,
}

impl BenchFault {
    fn read(entry: &Reader, seconds: f64) -> Result<BenchFault, ImportError> {
        let start_s = (entry.at("at").number()? / 1e6).clamp(0.0, seconds);
        let duration_s = (entry.at("len").number()? / 1e6).min(seconds - start_s);
        Ok(BenchFault {
            start_s,
            duration_s: duration_s.max(0.0),
            size: entry.at("size").number()?,
            extra: entry.at("extra").number()?,
            target_index: entry.at("which").number()? as usize,
            targets: entry.at("on").numbers()?,
        })
    }

    fn fault(
        &self,
        kind: FaultKind,
        entry: &Reader,
        day: &Reader,
        site: &Site,
        seconds: f64,
    ) -> Result<Fault, ImportError> {
        let mut fault = Fault::new(kind, self.start_s, self.duration_s);
        match kind {
            FaultKind::Crash | FaultKind::Vanish | FaultKind::Hang => {
                fault.targets = Some(node_numbers(&self.targets));
            }
            FaultKind::Neighbour => {
                fault.targets = Some(node_numbers(&self.targets));
                fault.size = self.size.clamp(0.001, 1.0);
            }
            FaultKind::Ageing => {
                fault.targets = Some(node_numbers(&self.targets));
                fault.size = self.size;
            }
            FaultKind::SharedSlow | FaultKind::Burst => fault.size = self.size,
            FaultKind::Preempt => {
                let steps = entry.at("steps").list()?;
                let mut stopped = Vec::new();
                for step in &steps {
                    stopped.extend(node_numbers(&step.at("stop").numbers()?));
                }
                fault.waves = (steps.len() as u32).clamp(1, MAX_WAVES);
                fault.targets = Some(stopped);
                fault.notice_ms = self.size * 1000.0;
                fault.duration_s = (2.0 * self.extra).min(seconds - self.start_s);
            }
            FaultKind::ZoneLoss => {
                fault.target_name = site.zones.get(self.first_zone(day)).cloned()
            }
            FaultKind::TenantBurst => {
                fault.size = self.size;
                fault.target_name = site.tenants.keys().nth(self.target_index).cloned();
            }
            FaultKind::HotTitle => {
                fault.size = self.size;
                fault.target_name = site.titles.keys().nth(self.target_index).cloned();
            }
            FaultKind::DirectorStall => {
                fault.targets = Some(self.targets.iter().map(|number| *number as u64).collect());
                fault.stall_ms = self.size;
            }
            FaultKind::ListOut | FaultKind::DirectorKill | FaultKind::ClassFlood => {}
        }
        Ok(fault)
    }

    /// Position of the zone of the first affected server.
    fn first_zone(&self, day: &Reader) -> usize {
        let first = self.targets.first();
        let first = first.map(|number| (*number as usize).to_string());
        let server = day.at("servers").at(&first.unwrap_or_default());
        server.at("zone").number().unwrap_or(0.0) as usize
    }
}

/// Converts positions of servers to node numbers, which start at 1 in a script. Directors start at 0 in both forms.
fn node_numbers(positions: &[f64]) -> Vec<u64> {
    let positions = positions.iter();
    positions.map(|position| *position as u64 + 1).collect()
}

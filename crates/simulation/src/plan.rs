//! A day's plan as the models want it: the same for sockets and for simulated time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall::TimeDelta;
use shalewall_fleet_model::fleet::{FleetParameters, Machine};
use shalewall_fleet_model::population::{Class, ViewerPopulation};
use shalewall_settings::{DayPlan, micros_from_millis};
use std::time::Duration;

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// What all nodes share, and the machines: as told, or spread over zones, kinds and cells in turn. Links and
/// uplinks stray from what the list says, by the day's seed.
pub fn fleet(plan: &DayPlan) -> (FleetParameters, Vec<Machine>) {
    let (site, fleet) = (&plan.site, &plan.fleet);
    let mut dice = ChaCha8Rng::seed_from_u64(plan.day.seed);
    let mut stray = |part: f64| 1.0 + part * (2.0 * dice.random::<f64>() - 1.0);
    let racks = if fleet.uplink_kb_s > 0.0 {
        site.layout.rack_count
    } else {
        0
    };
    let physics = FleetParameters {
        rate_deviation: fleet.rate_deviation,
        setup_time: TimeDelta::from_micros(micros_from_millis(fleet.set_up_ms)),
        report_interval: TimeDelta::from_micros(micros_from_millis(fleet.load_refresh_ms).max(1)),
        report_noise: fleet.load_noise,
        rejection_threshold: fleet.reject_above,
        warm_up: TimeDelta::from_micros(micros_from_millis(site.rules.warm_up_ms)),
        initial_capacity: site.rules.initial_capacity,
        overload_factor: site.rules.overload_factor,
        overload_window: TimeDelta::from_micros(micros_from_millis(site.rules.overload_window_ms)),
        uplinks_kb_s: match &fleet.uplinks_kb_s[..] {
            [] => (0..racks)
                .map(|_| fleet.uplink_kb_s * stray(fleet.link_deviation))
                .collect(),
            told => told.to_vec(),
        },
    };
    let places = |kind: &str| site.kinds.get(kind).map_or(1e6, |k| k.stream_capacity);
    if !fleet.machines.is_empty() {
        let told = |(name, m): (&String, &shalewall_settings::Machine)| Machine {
            id: name.parse().unwrap_or_default(),
            zone: m.zone.clone(),
            kind: m.kind.clone(),
            cell: m.cell,
            weight: m.weight,
            stream_capacity: places(&m.kind),
            link_kb_s: m.link_kb_s * stray(fleet.link_deviation),
        };
        return (physics, fleet.machines.iter().map(told).collect());
    }
    let kinds: Vec<&String> = site.kinds.keys().collect();
    let machine = |id: u64| {
        let kind = kinds
            .get(id as usize % kinds.len().max(1))
            .map_or("", |k| k.as_str());
        Machine {
            id: id + 1,
            zone: site
                .zones
                .get(id as usize % site.zones.len().max(1))
                .cloned()
                .unwrap_or_default(),
            kind: kind.to_string(),
            cell: id % site.layout.cell_count,
            weight: 1.0,
            stream_capacity: places(kind),
            link_kb_s: fleet.link_kb_s * stray(fleet.link_deviation),
        }
    };
    let machines = (0..fleet.node_count).map(machine).collect();
    (physics, machines)
}

/// Who comes on a day.
pub fn crowd(plan: &DayPlan) -> ViewerPopulation {
    let (site, load) = (&plan.site, &plan.load);
    let class = |(name, part): (&String, &f64)| {
        let c = &site.classes[name];
        let (shortest, longest) = load.session_length_range(name);
        Class {
            name: name.clone(),
            fraction: *part,
            request_timeout: ms(c.deadline_ms),
            latency_objective: ms(c.latency_objective_ms),
            priority_weight: c.priority_weight,
            highest_rung: c.highest_rung.unwrap_or(site.ladder.len() - 1),
            shortest,
            longest,
            live: c.is_live,
        }
    };
    ViewerPopulation {
        arrivals_per_s: load.per_s,
        tenants: load
            .tenant_rates
            .iter()
            .map(|(name, times)| (name.clone(), *times))
            .collect(),
        classes: load.class_mix.iter().map(class).collect(),
        titles: site.titles.keys().cloned().collect(),
        skew: load.skew,
        hint_factor: load.hint_factor,
        limited_fraction: load.constrained_fraction,
        retry_fraction: load.retry_fraction,
        retry_pause: ms(load.retry_pause_ms),
        migratable_fraction: load.migratable_fraction,
        live_buffer: ms(load.live_buffer_ms),
        recorded_buffer: ms(load.recorded_buffer_ms),
        utility: site.ladder.iter().map(|r| r.utility).collect(),
        stall_penalty: site.costs.stall_penalty,
        rung_change_cost_s: site.costs.rung_change_s,
    }
}

/// Chance of who comes, one stream for each tenant: a tenant's viewers are the same whoever else comes.
pub fn arrivals(plan: &DayPlan) -> Vec<ChaCha8Rng> {
    let seed = |name: &str| {
        name.bytes()
            .fold(plan.day.seed ^ 2, |s, b| s.rotate_left(9) ^ u64::from(b))
    };
    let tenants = plan
        .load
        .tenant_rates
        .keys()
        .map(|name| ChaCha8Rng::seed_from_u64(seed(name)));
    if plan.load.tenant_rates.is_empty() {
        vec![ChaCha8Rng::seed_from_u64(seed(""))]
    } else {
        tenants.collect()
    }
}

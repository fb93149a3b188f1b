//! Converts a day's plan into the models' parameters, for simulated time and for runs over sockets.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall::TimeDelta;
use shalewall_fleet_model::fleet::{FleetParameters, Machine};
use shalewall_fleet_model::population::{Class, ViewerPopulation};
use shalewall_settings::{DayPlan, micros_from_millis};
use std::time::Duration;

fn duration_from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1000.0)
}

/// The parameters that all nodes share, and the machines: as configured, or else distributed round-robin over zones,
/// kinds and cells. Link and uplink rates deviate randomly from the stated ones, by the day's seed.
pub fn fleet(plan: &DayPlan) -> (FleetParameters, Vec<Machine>) {
    let (site, fleet) = (&plan.site, &plan.fleet);
    let mut rng = ChaCha8Rng::seed_from_u64(plan.day.seed);
    let mut with_deviation = |fraction: f64| 1.0 + fraction * (2.0 * rng.random::<f64>() - 1.0);
    let rack_count = if fleet.uplink_kb_s > 0.0 {
        site.layout.rack_count
    } else {
        0
    };
    let parameters = FleetParameters {
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
            [] => (0..rack_count)
                .map(|_| fleet.uplink_kb_s * with_deviation(fleet.link_deviation))
                .collect(),
            configured => configured.to_vec(),
        },
    };
    let stream_capacity = |kind: &str| site.kinds.get(kind).map_or(1e6, |k| k.stream_capacity);
    if !fleet.machines.is_empty() {
        let configured = |(name, m): (&String, &shalewall_settings::Machine)| Machine {
            id: name.parse().unwrap_or_default(),
            zone: m.zone.clone(),
            kind: m.kind.clone(),
            cell: m.cell,
            weight: m.weight,
            stream_capacity: stream_capacity(&m.kind),
            link_kb_s: m.link_kb_s * with_deviation(fleet.link_deviation),
        };
        return (parameters, fleet.machines.iter().map(configured).collect());
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
            stream_capacity: stream_capacity(kind),
            link_kb_s: fleet.link_kb_s * with_deviation(fleet.link_deviation),
        }
    };
    let machines = (0..fleet.node_count).map(machine).collect();
    (parameters, machines)
}

/// The day's viewer population.
pub fn crowd(plan: &DayPlan) -> ViewerPopulation {
    let (site, load) = (&plan.site, &plan.load);
    let class = |(name, fraction): (&String, &f64)| {
        let c = &site.classes[name];
        let (shortest, longest) = load.session_length_range(name);
        Class {
            name: name.clone(),
            fraction: *fraction,
            request_timeout: duration_from_millis(c.deadline_ms),
            latency_objective: duration_from_millis(c.latency_objective_ms),
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
        retry_pause: duration_from_millis(load.retry_pause_ms),
        migratable_fraction: load.migratable_fraction,
        live_buffer: duration_from_millis(load.live_buffer_ms),
        recorded_buffer: duration_from_millis(load.recorded_buffer_ms),
        utility: site.ladder.iter().map(|r| r.utility).collect(),
        stall_penalty: site.costs.stall_penalty,
        rung_change_cost_s: site.costs.rung_change_s,
    }
}

/// Random number generators of arrivals, one for each tenant, so that a tenant's viewers do not depend on the other
/// tenants.
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

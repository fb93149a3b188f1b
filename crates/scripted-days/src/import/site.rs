//! Site of a script: classes, tenants, ladder, links, rules and limits of a day file.

use super::error::{ImportError, ValueProblem};
use super::fleet::core_count;
use super::reader::Reader;
use shalewall_settings::{
    Class, Costs, LadderRung, Layout, Limits, Link, MachineKind, Notifications, RetryBudget, Rules,
    Site, Tenant, Title,
};
use std::collections::BTreeMap;

/// Tolerance for late responses on real sockets; the benchmark's simulated clock has no delays of a machine.
const ANSWER_SLACK_MS: f64 = 150.0;
/// Shortest batch interval of a director on real sockets.
const MIN_BATCH_INTERVAL_MS: f64 = 20.0;
/// Maximum number of titles of a script.
const MAX_TITLES: u64 = 10_000;
/// Minimum number of cells that hold a title.
const MIN_REPLICA_CELLS: u64 = 3;
/// Distance between the first cells of consecutive titles, which distributes titles over all cells.
const FIRST_CELL_STEP: u64 = 7;

pub(super) fn site(day: &Reader, tier: &Reader) -> Result<Site, ImportError> {
    let family = day.at("fam");
    let kinds = kinds(&family, tier)?;
    let classes = classes(day, &family)?;
    let ladder = ladder(&family)?;
    let layout = Layout {
        cell_count: family.at("cells").number()? as u64,
        rack_count: family.at("racks").number()? as u64,
    };
    let uplinks = family.at("uplink_kb").numbers()?;
    let total = fleet_total(day, tier, &family)?;
    let retry_budget = retry_budget(&day.at("budget"))?;
    let tenants = tenants(day)?;
    let titles = titles(&family, total.servers, layout.cell_count)?;
    Ok(Site {
        moves: None,
        zones: day.at("zones").texts()?,
        kinds,
        classes,
        tenants,
        ladder,
        layout,
        link: Link {
            kb_s_per_weight: total.link_kb / total.weight.max(1e-9),
            weight_is_capacity: tier.at("weights").text()? != "none",
            fleet_kb_s: total.link_kb,
            rack_uplink_kb_s: uplinks.iter().sum::<f64>() / uplinks.len().max(1) as f64,
            join_rate_fraction: family.at("join").number()?,
        },
        notifications: Notifications {
            interval_ms: family.at("tell").millis()?,
            delay_ms: family.at("see").millis()?,
        },
        costs: costs(day, &family)?,
        rules: rules(day, tier, retry_budget)?,
        limits: limits(day)?,
        titles,
    })
}

fn kinds(family: &Reader, tier: &Reader) -> Result<BTreeMap<String, MachineKind>, ImportError> {
    let mut kinds = BTreeMap::new();
    for kind in tier.at("kinds").list()? {
        let places = kind.at("cores").number()? * family.at("core_slots").number()?;
        let places = places.round().max(1.0);
        kinds.insert(
            kind.at("name").text()?,
            MachineKind {
                stream_capacity: places,
            },
        );
    }
    Ok(kinds)
}

fn classes(day: &Reader, family: &Reader) -> Result<BTreeMap<String, Class>, ImportError> {
    let use_count = family.at("uses").list()?.len();
    let mut classes = BTreeMap::new();
    for (index, class) in day.at("classes").list()?.iter().enumerate() {
        let usage = family.at("uses").entry(index);
        if index >= use_count {
            return Err(usage.error(ValueProblem::Missing));
        }
        let name = class.at("name").text()?;
        classes.insert(name, imported_class(class, &usage)?);
    }
    Ok(classes)
}

fn imported_class(class: &Reader, usage: &Reader) -> Result<Class, ImportError> {
    Ok(Class {
        paid: class.at("effect").text()? != "safe",
        latency_objective_ms: class.at("aim").millis()?,
        deadline_ms: class.at("deadline").millis()?,
        priority_weight: class.at("worth").number()?,
        rate_scale: usage.at("scale").number()?,
        lowest_rung: usage.at("floor").number()? as usize,
        highest_rung: Some(usage.at("top").number()? as usize),
        session_limit_per_title: usage.at("seats").number()? as u32,
        is_live: usage.at("live").flag(),
    })
}

fn ladder(family: &Reader) -> Result<Vec<LadderRung>, ImportError> {
    let rates = family.at("rates").numbers()?;
    let worths = family.at("worth").numbers()?;
    let rungs = rates.into_iter().zip(worths);
    Ok(rungs
        .map(|(kb, worth)| LadderRung {
            rate_kb_s: kb,
            utility: worth,
        })
        .collect())
}

/// Totals over all servers of a day file.
struct FleetTotal {
    servers: usize,
    link_kb: f64,
    weight: f64,
}

fn fleet_total(day: &Reader, tier: &Reader, family: &Reader) -> Result<FleetTotal, ImportError> {
    let servers = day.at("servers").list()?;
    let core_kb = family.at("core_kb").number()?;
    let mut total = FleetTotal {
        servers: servers.len(),
        link_kb: 0.0,
        weight: 0.0,
    };
    for server in &servers {
        total.link_kb += core_kb * core_count(tier, server)?;
        total.weight += server.at("weight").number()?;
    }
    Ok(total)
}

fn retry_budget(budget: &Reader) -> Result<Option<RetryBudget>, ImportError> {
    if budget.is_null() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        base: budget.at("free").number()?,
        per_request: budget.at("share").number()?,
        window_ms: budget.at("window").millis()?,
    }))
}

fn tenants(day: &Reader) -> Result<BTreeMap<String, Tenant>, ImportError> {
    let mut tenants = BTreeMap::new();
    for tenant in day.at("tenants").list()? {
        let name = tenant.at("name").text()?;
        let imported = Tenant {
            request_quota_per_s: tenant.at("quota").number()?,
            share: 0.0,
        };
        tenants.insert(name, imported);
    }
    Ok(tenants)
}

fn titles(
    family: &Reader,
    servers: usize,
    cells: u64,
) -> Result<BTreeMap<String, Title>, ImportError> {
    let copies = family.at("copies").number()?;
    let count = (family.at("titles").number()? as u64).clamp(1, MAX_TITLES);
    let skew = family.at("title_zipf").number()?;
    let all: f64 = (1..=count).map(|rank| (rank as f64).powf(-skew)).sum();
    let spread = |index: u64| {
        let part = (index as f64 + 1.0).powf(-skew) / all;
        let wanted = (copies * part * servers as f64).ceil() as u64;
        wanted.max(MIN_REPLICA_CELLS).min(cells)
    };
    let title = |index: u64| Title {
        first_cell: (index * FIRST_CELL_STEP + index / cells) % cells,
        replica_cells: spread(index),
    };
    let titles = (0..count).map(|index| (format!("title-{index:04}"), title(index)));
    Ok(titles.collect())
}

fn costs(day: &Reader, family: &Reader) -> Result<Costs, ImportError> {
    let prices = day.at("prices");
    Ok(Costs {
        stall_penalty: family.at("stall").number()?,
        rung_change_s: family.at("switch_s").number()?,
        zone_crossing: prices.at("cross_zone").number()?,
        health_check: prices.at("probe").number()?,
        over_quota_weight: day.at("traffic").at("over_share_worth").number()?,
    })
}

fn rules(
    day: &Reader,
    tier: &Reader,
    retry_budget: Option<RetryBudget>,
) -> Result<Rules, ImportError> {
    Ok(Rules {
        drain_grace_ms: day.at("drain_grace").millis()?,
        answer_slack_ms: ANSWER_SLACK_MS,
        warm_up_ms: tier.at("stated_cold").millis()?,
        initial_capacity: tier.at("stated_cold_from").number()?,
        overload_factor: day.at("fall_multiple").number()?,
        overload_window_ms: day.at("fall_for").millis()?,
        retry_budget,
    })
}

fn limits(day: &Reader) -> Result<Limits, ImportError> {
    let allow = day.at("allow");
    let max_retry_after_ms = if allow.at("retry_after").flag() {
        day.at("clients").at("max_retry_after").millis()?
    } else {
        0.0
    };
    Ok(Limits {
        max_attempts: allow.at("max_attempts").number()? as u32,
        can_cancel: allow.at("cancel").flag(),
        can_check_health: allow.at("probes").flag(),
        max_retry_after_ms,
        min_batch_interval_ms: day.at("tick").millis()?.max(MIN_BATCH_INTERVAL_MS),
    })
}

//! The site of a script: classes, tenants, ladder, links, rules and limits of a day file.

use super::error::{ImportError, ValueProblem};
use super::fleet::core_count;
use super::reader::Reader;
use shalewall_settings::{
    Class, Costs, Further, Kind, Layout, Limits, Link, Notes, Rules, Site, Step, Tenant, Title,
};
use std::collections::BTreeMap;

/// Answers of a program on sockets may be so late: the bench's clock has none of a machine's own delays.
const ANSWER_SLACK_MS: f64 = 150.0;
/// A turn of the program on sockets takes so long at least.
const MIN_STEP_MS: f64 = 20.0;
/// Titles of a script at most.
const MAX_TITLES: u64 = 10_000;
/// Cells that hold a title at least.
const MIN_SPREAD: u64 = 3;
/// Homes of titles go round the cells by this step, which meets them all.
const HOME_STEP: u64 = 7;

pub(super) fn site(day: &Reader, tier: &Reader) -> Result<Site, ImportError> {
    let family = day.at("fam");
    let kind = kinds(&family, tier)?;
    let class = classes(day, &family)?;
    let ladder = ladder(&family)?;
    let layout = Layout {
        cells: family.at("cells").number()? as u64,
        racks: family.at("racks").number()? as u64,
    };
    let uplinks = family.at("uplink_kb").numbers()?;
    let total = fleet_total(day, tier, &family)?;
    let further = retry_budget(&day.at("budget"))?;
    let tenant = tenants(day)?;
    let title = titles(&family, total.servers, layout.cells)?;
    Ok(Site {
        moves: None,
        zones: day.at("zones").texts()?,
        kind,
        class,
        tenant,
        ladder,
        layout,
        link: Link {
            kb_per_weight: total.link_kb / total.weight.max(1e-9),
            weights_tell_size: tier.at("weights").text()? != "none",
            fleet_kb: total.link_kb,
            uplink_kb: uplinks.iter().sum::<f64>() / uplinks.len().max(1) as f64,
            join_adds: family.at("join").number()?,
        },
        notes: Notes {
            every_ms: family.at("tell").millis()?,
            late_ms: family.at("see").millis()?,
        },
        costs: costs(day, &family)?,
        rules: rules(day, tier, further)?,
        limits: limits(day)?,
        title,
    })
}

fn kinds(family: &Reader, tier: &Reader) -> Result<BTreeMap<String, Kind>, ImportError> {
    let mut kinds = BTreeMap::new();
    for kind in tier.at("kinds").list()? {
        let places = kind.at("cores").number()? * family.at("core_slots").number()?;
        let places = places.round().max(1.0);
        kinds.insert(kind.at("name").text()?, Kind { places });
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
        aim_ms: class.at("aim").millis()?,
        give_up_ms: class.at("deadline").millis()?,
        worth: class.at("worth").number()?,
        scale: usage.at("scale").number()?,
        floor: usage.at("floor").number()? as usize,
        top: Some(usage.at("top").number()? as usize),
        seats: usage.at("seats").number()? as u32,
        live: usage.at("live").flag(),
    })
}

fn ladder(family: &Reader) -> Result<Vec<Step>, ImportError> {
    let rates = family.at("rates").numbers()?;
    let worths = family.at("worth").numbers()?;
    let steps = rates.into_iter().zip(worths);
    Ok(steps.map(|(kb, worth)| Step { kb, worth }).collect())
}

/// What all servers of a day file have together.
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

fn retry_budget(budget: &Reader) -> Result<Option<Further>, ImportError> {
    if budget.is_null() {
        return Ok(None);
    }
    Ok(Some(Further {
        free: budget.at("free").number()?,
        per_request: budget.at("share").number()?,
        span_ms: budget.at("window").millis()?,
    }))
}

fn tenants(day: &Reader) -> Result<BTreeMap<String, Tenant>, ImportError> {
    let mut tenants = BTreeMap::new();
    for tenant in day.at("tenants").list()? {
        let name = tenant.at("name").text()?;
        let imported = Tenant {
            allowance_per_s: tenant.at("quota").number()?,
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
        wanted.max(MIN_SPREAD).min(cells)
    };
    let title = |index: u64| Title {
        home: (index * HOME_STEP + index / cells) % cells,
        spread: spread(index),
    };
    let titles = (0..count).map(|index| (format!("title-{index:04}"), title(index)));
    Ok(titles.collect())
}

fn costs(day: &Reader, family: &Reader) -> Result<Costs, ImportError> {
    let prices = day.at("prices");
    Ok(Costs {
        stall: family.at("stall").number()?,
        switch_s: family.at("switch_s").number()?,
        cross: prices.at("cross_zone").number()?,
        probe: prices.at("probe").number()?,
        over_share_worth: day.at("traffic").at("over_share_worth").number()?,
    })
}

fn rules(day: &Reader, tier: &Reader, further: Option<Further>) -> Result<Rules, ImportError> {
    Ok(Rules {
        drain_within_ms: day.at("drain_grace").millis()?,
        answer_slack_ms: ANSWER_SLACK_MS,
        warm_after_ms: tier.at("stated_cold").millis()?,
        start_capacity: tier.at("stated_cold_from").number()?,
        overload_factor: day.at("fall_multiple").number()?,
        fall_ms: day.at("fall_for").millis()?,
        further,
    })
}

fn limits(day: &Reader) -> Result<Limits, ImportError> {
    let allow = day.at("allow");
    let max_come_back_ms = if allow.at("retry_after").flag() {
        day.at("clients").at("max_retry_after").millis()?
    } else {
        0.0
    };
    Ok(Limits {
        max_attempts: allow.at("max_attempts").number()? as u32,
        may_cancel: allow.at("cancel").flag(),
        may_probe: allow.at("probes").flag(),
        max_come_back_ms,
        step_ms: day.at("tick").millis()?.max(MIN_STEP_MS),
    })
}

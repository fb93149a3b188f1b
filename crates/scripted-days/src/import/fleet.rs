//! Fleet of a script: the servers of a day file become machines.

use super::error::ImportError;
use super::reader::Reader;
use shalewall_settings::{Fleet, Machine, Site};
use std::collections::BTreeMap;

/// Usual duration of a set-up at an emulated node.
const SET_UP_MS: f64 = 60.0;

pub(super) fn fleet(day: &Reader, tier: &Reader, site: &Site) -> Result<Fleet, ImportError> {
    let family = day.at("fam");
    let core_kb = family.at("core_kb").number()?;
    let mut machines = BTreeMap::new();
    for (index, server) in day.at("servers").list()?.iter().enumerate() {
        // Servers of a day file are numbered from 0.
        let name = (index + 1).to_string();
        machines.insert(name, imported_machine(server, tier, site, core_kb)?);
    }
    Ok(Fleet {
        node_count: machines.len().max(1) as u64,
        link_kb_s: core_kb,
        link_deviation: 0.0,
        rate_deviation: family.at("vary").number()?,
        uplink_kb_s: site.link.rack_uplink_kb_s,
        set_up_ms: SET_UP_MS,
        load_refresh_ms: tier.at("report_period").millis()?.max(1.0),
        load_noise: tier.at("report_noise").number()?,
        reject_above: family.at("guard").number()?,
        machines,
        uplinks_kb_s: family.at("uplink_kb").numbers()?,
        list_delay_ms: day.at("discovery").at("notice").millis()?,
    })
}

fn imported_machine(
    server: &Reader,
    tier: &Reader,
    site: &Site,
    core_kb: f64,
) -> Result<Machine, ImportError> {
    let kind = server.at("kind").number()? as usize;
    let zone = server.at("zone").number()? as usize;
    Ok(Machine {
        zone: site.zones.get(zone).cloned().unwrap_or_default(),
        kind: tier.at("kinds").entry(kind).at("name").text()?,
        cell: server.at("cell").number()? as u64,
        weight: server.at("weight").number()?,
        link_kb_s: core_kb * core_count(tier, server)?,
    })
}

/// Number of cores of a server, by its kind.
pub(super) fn core_count(tier: &Reader, server: &Reader) -> Result<f64, ImportError> {
    let kind = server.at("kind").number()? as usize;
    tier.at("kinds").entry(kind).at("cores").number()
}

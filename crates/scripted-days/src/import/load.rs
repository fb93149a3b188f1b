//! The viewers of a script: the traffic and the clients of a day file.

use super::error::ImportError;
use super::reader::Reader;
use shalewall_settings::{Load, Site};
use std::collections::BTreeMap;

/// Sessions last evenly from this part of the day's mean.
const SHORTEST_PART: f64 = 0.3;
/// To this.
const LONGEST_PART: f64 = 1.7;

pub(super) fn load(day: &Reader, site: &Site) -> Result<Load, ImportError> {
    let family = day.at("fam");
    let mut mix = BTreeMap::new();
    let mut relative_length = 0.0;
    for (index, class) in day.at("classes").list()?.iter().enumerate() {
        let part = class.at("share").number()?;
        let usage = family.at("uses").entry(index);
        relative_length += part * usage.at("life").number()?;
        mix.insert(class.at("name").text()?, part);
    }
    debug_assert_eq!(mix.len(), site.classes.len());
    let mean_s = family.at("life_s").number()? * relative_length;
    let per_s = day.at("traffic").at("load").number()? * family.at("capacity").number()?;
    Ok(Load {
        migratable_fraction: 0.0,
        live_buffer_ms: 1000.0,
        recorded_buffer_ms: 4000.0,
        tenant_rates: BTreeMap::new(),
        per_s: per_s.max(0.01),
        class_mix: mix,
        min_length_s: SHORTEST_PART * mean_s,
        max_length_s: LONGEST_PART * mean_s,
        length_s_by_class: BTreeMap::new(),
        hint_factor: 1.0,
        constrained_fraction: family.at("small_screens").number()?,
        skew: family.at("title_zipf").number()?,
        retry_fraction: family.at("returns").number()?,
        retry_pause_ms: family.at("rejoin_us").millis()?,
    })
}

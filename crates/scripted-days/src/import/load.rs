//! Viewers of a script, converted from the traffic and the clients of a day file.

use super::error::ImportError;
use super::reader::Reader;
use shalewall_settings::{Load, Site};
use std::collections::BTreeMap;

/// Lower bound of the uniform distribution of session lengths, as a multiple of the day's mean.
const MIN_LENGTH_FACTOR: f64 = 0.3;
/// Upper bound of that distribution, as a multiple of the day's mean.
const MAX_LENGTH_FACTOR: f64 = 1.7;

pub(super) fn load(day: &Reader, site: &Site) -> Result<Load, ImportError> {
    let family = day.at("fam");
    let mut mix = BTreeMap::new();
    let mut relative_length = 0.0;
    for (index, class) in day.at("classes").list()?.iter().enumerate() {
        let fraction = class.at("share").number()?;
        let usage = family.at("uses").entry(index);
        relative_length += fraction * usage.at("life").number()?;
        mix.insert(class.at("name").text()?, fraction);
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
        min_length_s: MIN_LENGTH_FACTOR * mean_s,
        max_length_s: MAX_LENGTH_FACTOR * mean_s,
        length_s_by_class: BTreeMap::new(),
        hint_factor: 1.0,
        constrained_fraction: family.at("small_screens").number()?,
        skew: family.at("title_zipf").number()?,
        retry_fraction: family.at("returns").number()?,
        retry_pause_ms: family.at("rejoin_us").millis()?,
    })
}

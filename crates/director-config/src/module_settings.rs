//! The decision module's settings, read from the object.
//!
//! If several settings are invalid, the error is about the first one in the order in which they are read here.

use crate::settings_object::SettingsObject;
use crate::{Names, SettingError, SettingProblem};
use serde_json::Value;
use shalewall::{
    ClassSettings, Idempotency, Limits, RetryBudget, RuleSettings, Rung, Settings, TenantSettings,
    TimeDelta,
};

/// Reads the module's settings, and adds the names of classes and tenants to `names`, which already contains those of
/// zones and machine kinds.
pub(crate) fn read_module_settings(
    object: SettingsObject<'_>,
    names: &mut Names,
) -> Result<Settings, SettingError> {
    let columns = ClassColumns::read(object)?;
    let ladder_columns = LadderColumns::read(object)?;
    let classes = read_classes(object, &columns, ladder_columns.top_rung(), names)?;
    let tenants = read_tenants(object, names)?;
    let retry_budget = read_retry_budget(object)?;
    let zone = object.text("Zone");
    Ok(Settings {
        director_index: object.required_number("MyNumber")? as u32,
        director_count: object.required_number("Balancers")? as u32,
        zone: zone.and_then(|name| names.zone_index(name)),
        classes,
        tenants,
        ladder: ladder_columns.rungs(),
        cell_count: object.number_or("Specifics.Places", 0.0)? as u64,
        rack_count: object.number_or("Specifics.Cabinets", 0.0)? as u64,
        stream_capacity_by_kind: object.numbers("Specifics.PlacesByKind")?,
        weight_is_capacity: matches!(object.text("WeightSource"), Some("nominal" | "rough")),
        link_kb_s_per_weight: object.number_or("Specifics.KbPerWeight", 0.0)?,
        fleet_kb_s: object.number_or("Specifics.FleetKb", 0.0)?,
        rack_uplink_kb_s: object.number_or("Specifics.RackLinkKb", 0.0)?,
        join_rate_fraction: object.number_or("Specifics.JoinAdds", 1.0)?,
        notification_delay: object.time_delta("Specifics.ToldLate")?,
        notification_interval: object.time_delta("Specifics.ToldEvery")?,
        stall_penalty: object.number_or("Specifics.StallCost", 0.0)?,
        rung_change_cost_s: object.number_or("Specifics.SwitchS", 0.0)?,
        zone_crossing_price: object.number_or("Deductions.CrossZone", 0.0)?,
        over_quota_weight: object.number_or("OverShareWorth", 1.0)?,
        rules: read_rules(object, retry_budget)?,
        limits: read_limits(object)?,
        must_poll_endpoints: object.text("MembershipMode") == Some("on_request"),
    })
}

/// Class settings that are separate lists, indexed by class. A list may be shorter than the number of classes.
struct ClassColumns<'a> {
    rate_scales: Vec<f64>,
    lowest_rungs: Vec<f64>,
    highest_rungs: Vec<f64>,
    session_limits_per_title: Vec<f64>,
    live_flags: &'a [Value],
}

impl<'a> ClassColumns<'a> {
    fn read(object: SettingsObject<'a>) -> Result<ClassColumns<'a>, SettingError> {
        Ok(ClassColumns {
            rate_scales: object.numbers("Specifics.ClassScale")?,
            lowest_rungs: object.numbers("Specifics.LowestRung")?,
            highest_rungs: object.numbers("Specifics.HighestRung")?,
            session_limits_per_title: object.numbers("Specifics.LicenceCap")?,
            live_flags: object.list("Specifics.Live")?,
        })
    }
}

/// The ladder, given as two lists: the rates, and the utility of each.
struct LadderColumns {
    rates_kb_s: Vec<f64>,
    utilities: Vec<f64>,
}

impl LadderColumns {
    fn read(object: SettingsObject<'_>) -> Result<LadderColumns, SettingError> {
        Ok(LadderColumns {
            rates_kb_s: object.numbers("Specifics.RungKb")?,
            utilities: object.numbers("Specifics.RungWorth")?,
        })
    }

    fn top_rung(&self) -> usize {
        self.rates_kb_s.len().saturating_sub(1)
    }

    fn rungs(&self) -> Vec<Rung> {
        let rates = self.rates_kb_s.iter().enumerate();
        rates
            .map(|(index, rate_kb_s)| Rung {
                rate_kb_s: *rate_kb_s,
                utility: number_at(&self.utilities, index, 0.0),
            })
            .collect()
    }
}

fn number_at(column: &[f64], index: usize, default: f64) -> f64 {
    column.get(index).copied().unwrap_or(default)
}

fn read_classes(
    object: SettingsObject<'_>,
    columns: &ClassColumns<'_>,
    top_rung: usize,
    names: &mut Names,
) -> Result<Vec<ClassSettings>, SettingError> {
    if !object.contains("Categories") {
        return Err(SettingError::new("Categories", SettingProblem::Missing));
    }
    let mut classes = Vec::new();
    for (index, class) in object.objects("Categories")?.enumerate() {
        let name = class.text("Name").ok_or_else(|| {
            let path = format!("Categories.{index}.Name");
            SettingError::new(&path, SettingProblem::Missing)
        })?;
        names.classes.push(name.to_string());
        classes.push(read_class(class, index, columns, top_rung)?);
    }
    Ok(classes)
}

fn read_class(
    class: SettingsObject<'_>,
    index: usize,
    columns: &ClassColumns<'_>,
    top_rung: usize,
) -> Result<ClassSettings, SettingError> {
    let idempotency = match class.text("Effect") {
        Some("idempotent") => Idempotency::Idempotent,
        _ => Idempotency::AtMostOnce,
    };
    let is_live = columns.live_flags.get(index).and_then(Value::as_bool);
    let session_limit_per_title = number_at(&columns.session_limits_per_title, index, 0.0);
    Ok(ClassSettings {
        idempotency,
        latency_objective: class.time_delta("Target")?,
        priority_weight: class.number_or("Value", 1.0)?,
        rate_scale: number_at(&columns.rate_scales, index, 1.0),
        lowest_rung: number_at(&columns.lowest_rungs, index, 0.0) as usize,
        highest_rung: number_at(&columns.highest_rungs, index, top_rung as f64) as usize,
        session_limit_per_title: session_limit_per_title as u32,
        is_live: is_live.unwrap_or(false),
    })
}

fn read_tenants(
    object: SettingsObject<'_>,
    names: &mut Names,
) -> Result<Vec<TenantSettings>, SettingError> {
    let mut tenants = Vec::new();
    for tenant in object.objects("Tenants")? {
        let name = tenant.text("Name").unwrap_or_default();
        names.tenants.push(name.to_string());
        tenants.push(TenantSettings {
            request_quota_per_s: tenant.number_or("AllowancePerS", 0.0)?,
            // Quotas of the fleet are not supported here: the key `Share` is not read.
            fleet_quota: 0.0,
        });
    }
    Ok(tenants)
}

/// Reads the retry budget; `None` if neither of its parts is given.
fn read_retry_budget(object: SettingsObject<'_>) -> Result<Option<RetryBudget>, SettingError> {
    let per_request = object.number("Contract.ExtraPerRequest")?;
    let base = object.number("Contract.MinExtra")?;
    if per_request.is_none() && base.is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        base: base.unwrap_or(0.0),
        per_request: per_request.unwrap_or(0.0),
        window: object.time_delta("Contract.ResendSpan")?,
    }))
}

fn read_rules(
    object: SettingsObject<'_>,
    retry_budget: Option<RetryBudget>,
) -> Result<RuleSettings, SettingError> {
    Ok(RuleSettings {
        warm_up: object.time_delta("Contract.WarmAfter")?,
        initial_capacity: object.number_or("Contract.StartCapacity", 1.0)?,
        overload_factor: object.number_or("Contract.OverloadFactor", 0.0)?,
        overload_window: object.time_delta("Contract.Fall")?,
        poll_deadline: object.time_delta("Contract.MustAskIn")?,
        retry_budget,
    })
}

fn read_limits(object: SettingsObject<'_>) -> Result<Limits, SettingError> {
    Ok(Limits {
        max_attempts: object.number_or("Limits.MaxAttempts", 1.0)? as u32,
        can_cancel: object.flag("Limits.MayCancel"),
        can_check_health: object.flag("Limits.Probes"),
        health_check_price: object.number_or("Deductions.Probe", 0.0)?,
        // Without `RetryAfter` viewers get no Retry-After time, and its maximum is not read.
        max_retry_after: if object.flag("Limits.RetryAfter") {
            object.time_delta("Limits.MaxRetryAfter")?
        } else {
            TimeDelta::ZERO
        },
        min_batch_interval: object.time_delta("Step")?,
    })
}

//! The settings object, turned into the module's settings.

use crate::{Bounds, Names, Wrong, micros};
use serde_json::Value;
use shalewall::*;

fn wrong(path: &str, what: &str) -> Wrong {
    (format!("Setup.{path}"), what.to_string())
}

/// An optional number; null counts as absent.
fn num(v: &Value, path: &str) -> Result<Option<f64>, Wrong> {
    let pointer = format!("/{}", path.replace('.', "/"));
    match v.pointer(&pointer) {
        None | Some(Value::Null) => Ok(None),
        Some(x) => x
            .as_f64()
            .map(Some)
            .ok_or_else(|| wrong(path, "is not a number")),
    }
}

fn need(v: &Value, path: &str) -> Result<f64, Wrong> {
    num(v, path)?.ok_or_else(|| wrong(path, "is missing"))
}

fn span(v: &Value, path: &str) -> Result<Micros, Wrong> {
    Ok(micros(num(v, path)?.unwrap_or(0.0)))
}

fn list<'a>(v: &'a Value, path: &str) -> Result<&'a [Value], Wrong> {
    let pointer = format!("/{}", path.replace('.', "/"));
    match v.pointer(&pointer) {
        None | Some(Value::Null) => Ok(&[]),
        Some(x) => x
            .as_array()
            .map(Vec::as_slice)
            .ok_or_else(|| wrong(path, "is not a list")),
    }
}

fn numbers(v: &Value, path: &str) -> Result<Vec<f64>, Wrong> {
    let number = |x: &Value| {
        x.as_f64()
            .ok_or_else(|| wrong(path, "holds something that is not a number"))
    };
    list(v, path)?.iter().map(number).collect()
}

fn texts(v: &Value, path: &str) -> Result<Vec<String>, Wrong> {
    let text = |x: &Value| {
        x.as_str()
            .map(str::to_string)
            .ok_or_else(|| wrong(path, "holds something that is not a name"))
    };
    list(v, path)?.iter().map(text).collect()
}

fn flag(v: &Value, path: &str) -> bool {
    v.pointer(path).and_then(Value::as_bool).unwrap_or(false)
}

/// What a settings object tells.
pub struct Given {
    pub settings: Settings,
    pub names: Names,
    pub bounds: Bounds,
}

/// Reads the object. An error names the path and what is wrong with it; keys that are not known are passed over.
pub fn read(v: &Value) -> Result<Given, Wrong> {
    if !v.is_object() {
        return Err(("Setup".into(), "is not an object".into()));
    }
    let mut names = Names {
        zones: texts(v, "FailureDomains")?,
        kinds: texts(v, "Shapes")?,
        classes: Vec::new(),
        tenants: Vec::new(),
    };
    let scales = numbers(v, "Specifics.ClassScale")?;
    let floors = numbers(v, "Specifics.LowestRung")?;
    let tops = numbers(v, "Specifics.HighestRung")?;
    let seats = numbers(v, "Specifics.LicenceCap")?;
    let live = list(v, "Specifics.Live")?;
    let kbs = numbers(v, "Specifics.RungKb")?;
    let worths = numbers(v, "Specifics.RungWorth")?;
    let at = |list: &[f64], i: usize, other: f64| list.get(i).copied().unwrap_or(other);
    if v.get("Categories").is_none() {
        return Err(wrong("Categories", "is missing"));
    }
    let mut classes = Vec::new();
    for (i, c) in list(v, "Categories")?.iter().enumerate() {
        let name = c
            .get("Name")
            .and_then(Value::as_str)
            .ok_or_else(|| wrong(&format!("Categories.{i}.Name"), "is missing"))?;
        names.classes.push(name.to_string());
        let effect = c.get("Idempotency").and_then(Value::as_str);
        classes.push(ClassSettings {
            idempotency: if effect == Some("idempotent") {
                Idempotency::Idempotent
            } else {
                Idempotency::AtMostOnce
            },
            latency_objective: shalewall::TimeDelta::from_micros(span(c, "Target")?),
            priority_weight: num(c, "Value")?.unwrap_or(1.0),
            rate_scale: at(&scales, i, 1.0),
            lowest_rung: at(&floors, i, 0.0) as usize,
            highest_rung: at(&tops, i, kbs.len().saturating_sub(1) as f64) as usize,
            session_limit_per_title: at(&seats, i, 0.0) as u32,
            is_live: live.get(i).and_then(Value::as_bool).unwrap_or(false),
        });
    }
    let mut tenants = Vec::new();
    for t in list(v, "Tenants")? {
        names.tenants.push(
            t.get("Name")
                .and_then(Value::as_str)
                .unwrap_or_default()
                .to_string(),
        );
        let allowance_per_s = num(t, "AllowancePerS")?.unwrap_or(0.0);
        tenants.push(TenantSettings {
            request_quota_per_s: allowance_per_s,
            fleet_quota: 0.0,
        });
    }
    let ladder = kbs
        .iter()
        .enumerate()
        .map(|(i, kb)| Rung {
            rate_kb_s: *kb,
            utility: at(&worths, i, 0.0),
        })
        .collect();
    let ration = match (
        num(v, "RuleSettings.ExtraPerRequest")?,
        num(v, "RuleSettings.MinExtra")?,
    ) {
        (None, None) => None,
        (share, free) => Some(RetryBudget {
            base: free.unwrap_or(0.0),
            per_request: share.unwrap_or(0.0),
            window: shalewall::TimeDelta::from_micros(span(v, "RuleSettings.ResendSpan")?),
        }),
    };
    let advice = flag(v, "/Limits/RetryAfter");
    let weights = v.get("WeightSource").and_then(Value::as_str);
    let zone = v.get("Zone").and_then(Value::as_str);
    let settings = Settings {
        director_index: need(v, "MyNumber")? as u32,
        director_count: need(v, "Balancers")? as u32,
        zone: zone.and_then(|z| names.zones.iter().position(|n| n == z)),
        classes,
        tenants,
        ladder,
        cell_count: num(v, "Specifics.Places")?.unwrap_or(0.0) as u64,
        rack_count: num(v, "Specifics.Cabinets")?.unwrap_or(0.0) as u64,
        stream_capacity_by_kind: numbers(v, "Specifics.PlacesByKind")?,
        weight_is_capacity: matches!(weights, Some("nominal" | "rough")),
        link_kb_s_per_weight: num(v, "Specifics.KbPerWeight")?.unwrap_or(0.0),
        fleet_kb_s: num(v, "Specifics.FleetKb")?.unwrap_or(0.0),
        rack_uplink_kb_s: num(v, "Specifics.RackLinkKb")?.unwrap_or(0.0),
        join_rate_fraction: num(v, "Specifics.JoinAdds")?.unwrap_or(1.0),
        notification_delay: shalewall::TimeDelta::from_micros(span(v, "Specifics.ToldLate")?),
        notification_interval: shalewall::TimeDelta::from_micros(span(v, "Specifics.ToldEvery")?),
        stall_penalty: num(v, "Specifics.StallCost")?.unwrap_or(0.0),
        rung_change_cost_s: num(v, "Specifics.SwitchS")?.unwrap_or(0.0),
        zone_crossing_price: num(v, "Deductions.CrossZone")?.unwrap_or(0.0),
        over_quota_weight: num(v, "OverShareWorth")?.unwrap_or(1.0),
        rules: RuleSettings {
            warm_up: shalewall::TimeDelta::from_micros(span(v, "RuleSettings.WarmAfter")?),
            initial_capacity: num(v, "RuleSettings.StartCapacity")?.unwrap_or(1.0),
            overload_factor: num(v, "RuleSettings.OverloadFactor")?.unwrap_or(0.0),
            overload_window: shalewall::TimeDelta::from_micros(span(v, "RuleSettings.Fall")?),
            poll_deadline: shalewall::TimeDelta::from_micros(span(v, "RuleSettings.MustAskIn")?),
            retry_budget: ration,
        },
        limits: Limits {
            max_attempts: num(v, "Limits.MaxAttempts")?.unwrap_or(1.0) as u32,
            can_cancel: flag(v, "/Limits/MayCancel"),
            can_check_health: flag(v, "/Limits/Probes"),
            health_check_price: num(v, "Deductions.Probe")?.unwrap_or(0.0),
            max_retry_after: if advice {
                shalewall::TimeDelta::from_micros(span(v, "Limits.MaxRetryAfter")?)
            } else {
                shalewall::TimeDelta::from_micros(0)
            },
            min_batch_interval: shalewall::TimeDelta::from_micros(span(v, "Step")?),
        },
        must_poll_endpoints: v.get("MembershipMode").and_then(Value::as_str) == Some("on_request"),
    };
    let mut give_up = 0;
    for c in list(v, "Categories")? {
        give_up = give_up.max(span(c, "GiveUp")?);
    }
    let bounds = Bounds {
        give_up,
        connect: span(v, "Limits.ConnectTimeout")?,
        idle: span(v, "Limits.ConnIdle")?,
        held: num(v, "Limits.MaxOpen")?.map_or(usize::MAX, |n| n as usize),
    };
    Ok(Given {
        settings,
        names,
        bounds,
    })
}

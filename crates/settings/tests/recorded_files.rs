//! Settings files in the format of 2026-12-02: every later version must read them with the same result.
//!
//! The JSON files next to the HCL ones contain each value that the version of that date read, including defaults.

use serde::Serialize;
use shalewall::TimeDelta;
use shalewall_settings::{AdminConfig, DayPlan, ServerConfig, SettingsFile, parse, read};
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Reads a fixture and compares the result, with the field names of settings files, with the recorded one.
fn read_as_recorded<T: SettingsFile + Serialize>(name: &str) -> T {
    let settings: T = read(&fixture(&format!("{name}.hcl"))).expect("the fixture is valid");
    let recorded = std::fs::read_to_string(fixture(&format!("{name}.json"))).unwrap();
    let recorded: serde_json::Value = serde_json::from_str(&recorded).unwrap();
    let result = serde_json::to_value(&settings).unwrap();
    assert_eq!(
        result,
        recorded,
        "{}",
        serde_json::to_string_pretty(&result).unwrap()
    );
    settings
}

#[test]
fn a_recorded_site_converts_to_the_same_settings() {
    let plan: ServerConfig = read_as_recorded("site");
    let module = plan.site.settings(&plan.front);
    assert_eq!((module.director_index, module.director_count), (2, 5));
    assert_eq!(module.zone, Some(1));
    assert_eq!(module.classes.len(), 2);
    // Sorted by name: call, film.
    let (call, film) = (&module.classes[0], &module.classes[1]);
    assert_eq!(film.idempotency, shalewall::Idempotency::AtMostOnce);
    assert_eq!(call.idempotency, shalewall::Idempotency::Idempotent);
    assert_eq!(film.latency_objective, TimeDelta::from_micros(1_500_000));
    assert_eq!((film.lowest_rung, film.highest_rung), (1, 2));
    assert_eq!((call.lowest_rung, call.highest_rung), (0, 2));
    assert_eq!((film.rate_scale, call.rate_scale), (1.5, 1.0));
    assert_eq!((film.is_live, call.is_live), (false, true));
    assert_eq!(film.session_limit_per_title, 12);
    // Sorted by name: acme, guest, zeta.
    let quotas: Vec<f64> = module.tenants.iter().map(|t| t.fleet_quota).collect();
    assert_eq!(quotas, [0.75, 0.0, 0.25]);
    assert_eq!(module.tenants[0].request_quota_per_s, 7.0);
    assert_eq!(module.stream_capacity_by_kind, [45.0, 30.0]);
    assert_eq!((module.cell_count, module.rack_count), (10, 2));
    assert_eq!(module.notification_delay, TimeDelta::from_micros(1_000_000));
    assert_eq!(
        module.notification_interval,
        TimeDelta::from_micros(3_000_000)
    );
    assert_eq!(module.rules.warm_up, TimeDelta::from_micros(8_000_000));
    let retry_budget = module.rules.retry_budget.as_ref().unwrap();
    assert_eq!((retry_budget.base, retry_budget.per_request), (3.0, 0.3));
    assert_eq!(retry_budget.window, TimeDelta::from_micros(10_000_000));
    assert_eq!(module.limits.max_attempts, 4);
    assert_eq!(
        module.limits.max_retry_after,
        TimeDelta::from_micros(1_000_000)
    );
    assert_eq!(
        module.limits.min_batch_interval,
        TimeDelta::from_micros(20_000)
    );
    assert_eq!(module.over_quota_weight, 0.5);
}

#[test]
fn a_recorded_short_site_gets_the_same_defaults() {
    let plan: ServerConfig = read_as_recorded("site-defaults");
    assert_eq!(plan.front.max_sessions, 100_000);
    assert_eq!(plan.front.max_connections, 20_000);
    assert_eq!(plan.front.stream_timeout_ms, 3_000);
    let module = plan.site.settings(&plan.front);
    assert_eq!(module.zone, None);
    assert_eq!(module.classes[0].highest_rung, 0);
    assert_eq!(module.join_rate_fraction, 1.0);
    assert_eq!(module.over_quota_weight, 1.0);
    assert!(module.rules.retry_budget.is_none());
    assert_eq!(
        module.limits.min_batch_interval,
        TimeDelta::from_micros(10_000)
    );
}

#[test]
fn a_recorded_day_converts_to_the_same_plan() {
    let plan: DayPlan = read_as_recorded("day");
    // The file's own values override those of the included file, field by field.
    assert_eq!((plan.day.seed, plan.day.directors), (9, 2));
    assert_eq!((plan.day.seconds, plan.day.media_fraction), (60.0, 0.02));
    let migration = plan.site.moves.as_ref().unwrap();
    assert_eq!((migration.duration_ms, migration.max_per_node), (900.0, 3));
    assert_eq!(plan.site.tenants["acme"].share, 3.0);
    assert_eq!(plan.hosted.as_ref().unwrap().max_sessions, 500);
    assert_eq!(plan.fleet.machines["7"].zone, "");
    assert_eq!(plan.faults.len(), 15);
    let kinds: std::collections::BTreeSet<String> = plan
        .faults
        .values()
        .map(|fault| format!("{:?}", fault.kind))
        .collect();
    assert_eq!(kinds.len(), 15, "one of each kind: {kinds:?}");
    assert_eq!(plan.faults["director kill"].targets, Some(vec![1]));
    assert_eq!(plan.faults["preempt"].waves, 2);
    assert_eq!(plan.faults["crash"].waves, 1);
    assert!(plan.faults["zone loss"].directors);
    let (shortest, longest) = plan.load.session_length_range("call");
    assert_eq!((shortest.as_secs(), longest.as_secs()), (2, 9));
}

#[test]
fn a_recorded_administration_file_gives_the_same_settings() {
    let plan: AdminConfig = read_as_recorded("admin");
    assert_eq!(plan.admin.forget_front_s, 120.0);
    assert_eq!(plan.admin.store, Path::new("data/tenants.redb"));
}

/// Reads an invalid fixture and compares the displayed errors with the recorded ones.
fn assert_recorded_errors<T: SettingsFile>(name: &str) {
    let Err(errors) = read::<T>(&fixture(&format!("{name}.hcl"))) else {
        panic!("{name} has to be rejected");
    };
    let folder = fixture("").display().to_string();
    let shown: String = errors
        .iter()
        .map(|error| format!("{error}\n").replacen(&folder, "", 1))
        .collect();
    let recorded = std::fs::read_to_string(fixture(&format!("{name}.txt"))).unwrap();
    assert_eq!(shown, recorded, "\n{shown}");
}

#[test]
fn invalid_files_give_the_recorded_errors() {
    assert_recorded_errors::<DayPlan>("wrong-day");
    assert_recorded_errors::<ServerConfig>("wrong-site");
    assert_recorded_errors::<DayPlan>("wrong-form");
    assert_recorded_errors::<DayPlan>("wrong-syntax");
    assert_recorded_errors::<DayPlan>("wrong-include");
    assert_recorded_errors::<AdminConfig>("missing-include");
    assert_recorded_errors::<AdminConfig>("missing-file");
}

/// Line and name of each field of a fixture whose value is a number.
fn numbers(text: &str) -> Vec<(usize, String)> {
    let fields = text.lines().enumerate().filter_map(|(index, line)| {
        let (name, value) = line.split_once('=')?;
        value.trim().parse::<f64>().ok()?;
        Some((index, name.trim().to_string()))
    });
    fields.collect()
}

/// Sets each number of a fixture in turn to an invalid value and checks that the error contains the field's line and
/// name. Returns the count of numbers.
fn check_errors_of_numbers<T: SettingsFile>(file: &str) -> usize {
    let text = std::fs::read_to_string(fixture(file)).unwrap();
    let numbers = numbers(&text);
    for (index, name) in &numbers {
        let mut lines: Vec<String> = text.lines().map(str::to_string).collect();
        lines[*index] = format!("{name} = -1e20");
        let Err(errors) = parse::<T>("x.hcl", &lines.join("\n")) else {
            panic!("{file}: {name} = -1e20 is accepted");
        };
        let is_named = errors.iter().any(|error| {
            let location = &error.location;
            let last = location.path.rsplit('.').next().unwrap();
            location.line == Some(index + 1) && last == name
        });
        assert!(is_named, "{file}: {name}: {errors:?}");
    }
    numbers.len()
}

/// Errors use the field names of files, which differ from those in the code.
#[test]
fn each_invalid_number_is_reported_with_its_fields_name_and_line() {
    let count = check_errors_of_numbers::<ServerConfig>("site.hcl");
    assert!(count >= 40, "{count}");
    let count = check_errors_of_numbers::<DayPlan>("all-fields-day.hcl");
    assert!(count >= 60, "{count}");
    let count = check_errors_of_numbers::<AdminConfig>("admin.hcl");
    assert_eq!(count, 1);
}

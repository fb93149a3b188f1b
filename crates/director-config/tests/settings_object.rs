//! The platform's settings object: every key that is read, the defaults of absent keys, and the errors for invalid
//! values.

use serde_json::{Value, json};
use shalewall::{
    ClassSettings, Idempotency, Limits, RetryBudget, RuleSettings, Rung, Settings, TenantSettings,
    TimeDelta,
};
use shalewall_director_config::{DirectorConfig, DriverLimits, Names, SettingError};

const PLATFORM_CONFIGURATION: &str = include_str!("fixtures/platform.json");

fn platform_settings() -> Value {
    let mut configuration: Value = serde_json::from_str(PLATFORM_CONFIGURATION).unwrap();
    configuration["settings"].take()
}

fn micros(micros: i64) -> TimeDelta {
    TimeDelta::from_micros(micros)
}

#[test]
fn every_key_of_a_platform_configuration_is_read() {
    let config = DirectorConfig::from_json(&platform_settings()).unwrap();
    let expected = Settings {
        director_index: 3,
        director_count: 9,
        zone: Some(1),
        classes: vec![
            ClassSettings {
                idempotency: Idempotency::Idempotent,
                latency_objective: micros(750_000),
                priority_weight: 4.5,
                rate_scale: 1.3,
                lowest_rung: 1,
                highest_rung: 2,
                session_limit_per_title: 0,
                is_live: false,
            },
            ClassSettings {
                idempotency: Idempotency::AtMostOnce,
                latency_objective: micros(1_250_500),
                priority_weight: 0.5,
                rate_scale: 0.9,
                lowest_rung: 0,
                highest_rung: 1,
                session_limit_per_title: 17,
                is_live: true,
            },
            ClassSettings {
                idempotency: Idempotency::AtMostOnce,
                latency_objective: micros(0),
                priority_weight: 1.0,
                rate_scale: 1.0,
                lowest_rung: 0,
                highest_rung: 2,
                session_limit_per_title: 0,
                is_live: false,
            },
        ],
        tenants: vec![
            TenantSettings {
                request_quota_per_s: 21.5,
                fleet_quota: 0.0,
            },
            TenantSettings {
                request_quota_per_s: 0.0,
                fleet_quota: 0.0,
            },
        ],
        ladder: vec![
            Rung {
                rate_kb_s: 150.0,
                utility: 0.3,
            },
            Rung {
                rate_kb_s: 420.0,
                utility: 0.8,
            },
            Rung {
                rate_kb_s: 980.0,
                utility: 1.0,
            },
        ],
        cell_count: 48,
        rack_count: 6,
        stream_capacity_by_kind: vec![24.0, 60.0],
        weight_is_capacity: true,
        link_kb_s_per_weight: 8_200.0,
        fleet_kb_s: 640_000.0,
        rack_uplink_kb_s: 52_000.0,
        join_rate_fraction: 0.25,
        notification_delay: micros(140_000),
        notification_interval: micros(2_900_000),
        stall_penalty: 0.65,
        rung_change_cost_s: 1.5,
        zone_crossing_price: 0.07,
        over_quota_weight: 0.35,
        rules: RuleSettings {
            warm_up: micros(4_500_000),
            initial_capacity: 0.45,
            overload_factor: 1.75,
            overload_window: micros(2_100_000),
            poll_deadline: micros(3_300_000),
            retry_budget: Some(RetryBudget {
                base: 6.0,
                per_request: 0.12,
                window: micros(9_000_000),
            }),
        },
        limits: Limits {
            max_attempts: 5,
            can_cancel: true,
            can_check_health: true,
            health_check_price: 0.013,
            max_retry_after: micros(1_100_000),
            min_batch_interval: micros(12_500),
        },
        must_poll_endpoints: true,
    };
    assert_eq!(config.settings, expected);
    assert_eq!(config.names.zones, ["east", "west", "south"]);
    assert_eq!(config.names.machine_kinds, ["small", "large"]);
    assert_eq!(config.names.classes, ["gold", "bronze", "plain"]);
    assert_eq!(config.names.tenants, ["acme", "globex"]);
    let driver_limits = DriverLimits {
        connect_timeout: Some(micros(260_500)),
        idle_timeout: Some(micros(15_000_000)),
        max_viewer_wait: Some(micros(2_250_250)),
        max_open_requests: 900,
    };
    assert_eq!(config.driver_limits, driver_limits);
}

#[test]
fn absent_and_null_keys_have_defaults() {
    let absent = json!({"MyNumber": 0, "Balancers": 1, "Categories": [{"Name": "only"}]});
    let null = json!({
        "MyNumber": 0, "Balancers": 1, "Categories": [{"Name": "only", "Target": null}],
        "Tenants": null, "Specifics": null, "Contract": {"MinExtra": null, "ExtraPerRequest": null},
        "Limits": {"MaxOpen": null, "MaxRetryAfter": 900.0}, "Unheard": [1, {"of": 2}],
    });
    let expected = Settings {
        director_count: 1,
        classes: vec![ClassSettings {
            priority_weight: 1.0,
            rate_scale: 1.0,
            ..ClassSettings::default()
        }],
        join_rate_fraction: 1.0,
        over_quota_weight: 1.0,
        rules: RuleSettings {
            initial_capacity: 1.0,
            ..RuleSettings::default()
        },
        limits: Limits {
            max_attempts: 1,
            ..Limits::default()
        },
        ..Settings::default()
    };
    let driver_limits = DriverLimits {
        connect_timeout: None,
        idle_timeout: None,
        max_viewer_wait: None,
        max_open_requests: usize::MAX,
    };
    let names = Names {
        classes: vec!["only".to_string()],
        ..Names::default()
    };
    for settings in [absent, null] {
        let config = DirectorConfig::from_json(&settings).unwrap();
        assert_eq!(config.settings, expected);
        assert_eq!(config.driver_limits, driver_limits);
        assert_eq!(config.names, names);
    }
}

/// Returns the error text of a platform configuration in which the value at `pointer` is replaced, or removed.
fn error_text(pointer: &str, value: Option<Value>) -> String {
    let mut settings = platform_settings();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match value {
        Some(value) => *settings.pointer_mut(pointer).unwrap() = value,
        None => drop(
            settings
                .pointer_mut(parent)
                .and_then(Value::as_object_mut)
                .unwrap()
                .remove(key),
        ),
    }
    DirectorConfig::from_json(&settings)
        .expect_err(pointer)
        .to_string()
}

#[test]
fn an_invalid_setting_is_named_by_its_path() {
    let error: SettingError = DirectorConfig::from_json(&json!([])).unwrap_err();
    assert_eq!(error.to_string(), "Setup: is not an object");
    for (pointer, value, expected) in [
        ("/MyNumber", None, "Setup.MyNumber: is missing"),
        (
            "/Balancers",
            Some(json!("9")),
            "Setup.Balancers: is not a number",
        ),
        ("/Categories", None, "Setup.Categories: is missing"),
        (
            "/Categories",
            Some(json!({})),
            "Setup.Categories: is not a list",
        ),
        (
            "/Categories/1/Name",
            None,
            "Setup.Categories.1.Name: is missing",
        ),
        (
            "/Categories/1/Name",
            Some(json!(4)),
            "Setup.Categories.1.Name: is missing",
        ),
        (
            "/Categories/0/Target",
            Some(json!("soon")),
            "Setup.Target: is not a number",
        ),
        (
            "/Tenants/0/AllowancePerS",
            Some(json!([])),
            "Setup.AllowancePerS: is not a number",
        ),
        (
            "/Shapes/0",
            Some(json!(1)),
            "Setup.Shapes: contains an element that is not a string",
        ),
        (
            "/Specifics/RungKb/2",
            Some(json!(null)),
            "Setup.Specifics.RungKb: contains an element that is not a number",
        ),
        (
            "/Specifics/Live",
            Some(json!(true)),
            "Setup.Specifics.Live: is not a list",
        ),
        (
            "/Contract/Fall",
            Some(json!(false)),
            "Setup.Contract.Fall: is not a number",
        ),
        (
            "/Limits/MaxOpen",
            Some(json!("many")),
            "Setup.Limits.MaxOpen: is not a number",
        ),
    ] {
        assert_eq!(error_text(pointer, value), expected);
    }
}

//! Tests for the import of the benchmark's day files, and for the paths in its errors.
#![recursion_limit = "256"]

use serde_json::{Value, json};
use shalewall_scripted_days::import;
use shalewall_settings::{DayPlan, FaultKind, parse};

/// A small day in the form of the benchmark's day files.
fn day() -> Value {
    json!({
        "family": "streams", "noise": 77777, "length": 40_000_000, "tick": 10_000,
        "zones": ["left", "right"],
        "traffic": { "load": 0.8, "over_share_worth": 0.1 },
        "clients": { "max_retry_after": 1_000_000 },
        "discovery": { "notice": 1_500_000 },
        "allow": { "probes": true, "cancel": true, "retry_after": true, "max_attempts": 3 },
        "drain_grace": 250_000, "fall_multiple": 2.0, "fall_for": 2_000_000,
        "budget": { "share": 0.2, "free": 2.0, "window": 10_000_000 },
        "prices": { "cross_zone": 0.02, "probe": 0.01 },
        "classes": [
            { "name": "once", "share": 0.4, "aim": 1_000_000, "deadline": 4_000_000, "worth": 2.0, "effect": "unsafe" },
            { "name": "many", "share": 0.6, "aim": 800_000, "deadline": 3_000_000, "worth": 1.0, "effect": "safe" },
        ],
        "tenants": [{ "name": "a", "quota": 1.5 }],
        "tiers": [{
            "kinds": [{ "name": "one", "cores": 2 }], "weights": "nominal", "report_period": 200_000,
            "report_noise": 0.1, "stated_cold": 10_000_000, "stated_cold_from": 0.4,
        }],
        "servers": [
            { "zone": 0, "kind": 0, "cell": 0, "weight": 2.0 },
            { "zone": 1, "kind": 0, "cell": 1, "weight": 2.0 },
            { "zone": 0, "kind": 0, "cell": 2, "weight": 2.0 },
        ],
        "balancers": [{}, {}],
        "troubles": [
            { "kind": "crash", "at": 5_000_000, "len": 6_000_000, "size": 0.0, "extra": 0.0, "on": [2], "which": 0, "steps": [] },
            { "kind": "preempt", "at": 9_000_000, "len": 9_000_000, "size": 0.8, "extra": 5.0, "on": [], "which": 0,
              "steps": [{ "stop": [0] }, { "stop": [1] }] },
            { "kind": "balancer_stall", "at": 9_000_000, "len": 90_000_000, "size": 700.0, "extra": 2.0, "on": [1],
              "which": 0, "steps": [] },
            { "kind": "moonlight", "at": 0, "len": 1, "size": 0.0, "extra": 0.0, "on": [], "which": 0, "steps": [] },
        ],
        "fam": {
            "capacity": 2.0, "cells": 3, "copies": 1.3, "core_kb": 3000.0, "core_slots": 10.0, "guard": 1.2,
            "join": 1.0, "life_s": 30.0, "racks": 1, "rates": [200.0, 500.0], "rejoin_us": 900_000.0,
            "returns": 0.8, "see": 1_000_000, "small_screens": 0.2, "stall": 7.0, "switch_s": 0.6,
            "tell": 3_000_000, "title_zipf": 0.9, "titles": 4, "uplink_kb": [9000.0],
            "uses": [
                { "floor": 1, "life": 1.0, "live": false, "scale": 1.4, "seats": 4, "top": 1 },
                { "floor": 0, "life": 1.0, "live": true, "scale": 1.0, "seats": 0, "top": 1 },
            ],
            "vary": 0.1, "worth": [0.3, 1.0],
        },
    })
}

#[test]
fn an_imported_script_can_be_parsed() {
    let imported = import(&day().to_string()).unwrap();
    let script = imported.script().unwrap();
    let plan: DayPlan =
        parse("imported.hcl", &script).unwrap_or_else(|e| panic!("{e:?}\n{script}"));
    assert_eq!(
        (
            plan.day.seconds,
            plan.day.directors,
            plan.fleet.machines.len()
        ),
        (40.0, 2, 3)
    );
    let once = &plan.site.classes["once"];
    assert!(
        once.paid
            && once.lowest_rung == 1
            && once.session_limit_per_title == 4
            && !plan.site.classes["many"].paid
    );
    assert_eq!(
        (
            plan.site.rules.overload_window_ms,
            plan.site.rules.retry_budget.as_ref().unwrap().base
        ),
        (2000.0, 2.0)
    );
    assert_eq!(plan.fleet.machines["2"].zone, "right");
    assert!((plan.load.per_s - 1.6).abs() < 1e-9);
    let fault = |kind| {
        plan.faults
            .values()
            .find(|fault| fault.kind == kind)
            .unwrap()
    };
    // Nodes count from 1 in a script, directors from 0.
    assert_eq!(fault(FaultKind::Crash).targets, Some(vec![3]));
    assert_eq!(
        (
            fault(FaultKind::Preempt).waves,
            fault(FaultKind::Preempt).notice_ms
        ),
        (2, 800.0)
    );
    assert_eq!(fault(FaultKind::DirectorStall).targets, Some(vec![1]));
    assert_eq!(
        fault(FaultKind::DirectorStall).duration_s,
        31.0,
        "a fault must end with the day"
    );
}

#[test]
fn parts_without_a_counterpart_are_listed_in_the_script() {
    let imported = import(&day().to_string()).unwrap();
    assert!(imported.left_out.iter().any(|l| l.contains("moonlight")));
    let script = imported.script().unwrap();
    imported
        .left_out
        .iter()
        .for_each(|l| assert!(script.contains(l), "{l}"));
}

#[test]
fn errors_name_the_path_of_the_value() {
    let table = [
        ("/fam/cells", json!("three")),
        ("/classes/1/aim", json!(null)),
        ("/tiers", json!([])),
        ("/servers/0/kind", json!(9)),
        ("/balancers", json!([])),
        ("/family", json!("requests")),
        ("/fam/uses", json!([])),
    ];
    for (path, value) in table {
        let mut day = day();
        *day.pointer_mut(path).unwrap() = value;
        let error = import(&day.to_string()).expect_err(path).to_string();
        let start: String = path.split('/').take(2).collect::<Vec<_>>().join("/");
        assert!(
            error.starts_with(&start) || error.starts_with("/tiers"),
            "{path}: {error}"
        );
    }
    assert!(import("{").unwrap_err().to_string().contains("JSON"));
    assert!(import("[]").is_err());
}

/// The fixture is the script as written before any renaming: renames in the code must not change it.
#[test]
fn the_imported_script_matches_the_fixture() {
    let imported = import(&day().to_string()).unwrap();
    let recorded = include_str!("fixtures/imported.hcl");
    assert_eq!(imported.script().unwrap(), recorded);
}

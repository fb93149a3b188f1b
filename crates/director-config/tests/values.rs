//! Values that are used in both messages and settings: times, titles, names and load reports.

use shalewall::{LoadReport, TimeDelta, TitleId};
use shalewall_director_config::{
    MAX_TIME_MICROS, Names, apply_load_value, time_delta_from_millis, title_id,
};

#[test]
fn milliseconds_are_rounded_to_microseconds_and_bounded() {
    for (millis, micros) in [
        (1.2345, 1_235),
        (-0.25, -250),
        (f64::NAN, 0),
        (f64::INFINITY, MAX_TIME_MICROS),
        (-1e300, -MAX_TIME_MICROS),
    ] {
        assert_eq!(
            time_delta_from_millis(millis),
            TimeDelta::from_micros(micros)
        );
    }
}

#[test]
fn an_item_in_two_classes_is_two_titles() {
    assert_eq!(title_id(41, 0), TitleId(41));
    assert_eq!(title_id(41, 1), TitleId(41 + 0x9e37_79b9_7f4a_7c15));
    assert_eq!(title_id(u64::MAX, 2), TitleId(0x3c6e_f372_fe94_f829));
}

#[test]
fn names_are_mapped_to_their_index() {
    let names = Names {
        zones: vec!["east".into(), "west".into()],
        machine_kinds: vec!["small".into()],
        classes: vec!["gold".into(), "bronze".into()],
        tenants: Vec::new(),
    };
    assert_eq!(names.zone_index("west"), Some(1));
    assert_eq!(names.machine_kind_index("small"), Some(0));
    assert_eq!(names.class_index("bronze"), Some(1));
    assert_eq!(names.class_index("west"), None);
    assert_eq!(names.tenant_index("acme"), None);
}

#[test]
fn a_load_report_prefers_the_uncapped_utilization() {
    let mut report = LoadReport::default();
    for (name, value) in [
        ("queue", "not a number"),
        ("busy", "0.9"),
        ("x0", "1.4"),
        ("util", "1"),
        ("x1", "0.3"),
        ("rif", "12"),
    ] {
        apply_load_value(&mut report, name, value).unwrap();
    }
    assert_eq!(report.link_utilization, Some(1.4));
    assert_eq!(report.uplink_utilization, Some(0.3));
    assert_eq!(report.streams, Some(12.0));
    assert!(apply_load_value(&mut report, "inflight", "many").is_err());
}

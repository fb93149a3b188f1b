//! Tests for the reasons why a day is not valid.

use shalewall_scripted_days::Shortfall;
use std::time::Duration;

#[test]
fn resource_shortages_are_listed_as_reasons() {
    assert!(Shortfall::default().reasons().is_empty());
    let shortfall = Shortfall {
        timer_delay: Duration::from_millis(900),
        failed_connections: 3,
    };
    assert_eq!(shortfall.reasons().len(), 2);
    assert!(shortfall.reasons()[0].contains("900 ms"));
}

//! What the machine lacked is told of a day.

use shalewall_scripted_days::Shortfall;
use std::time::Duration;

#[test]
fn a_machine_that_lacked_something_is_told_with_what() {
    assert!(Shortfall::default().reasons().is_empty());
    let shortfall = Shortfall {
        timer_delay: Duration::from_millis(900),
        failed_connections: 3,
    };
    assert_eq!(shortfall.reasons().len(), 2);
    assert!(shortfall.reasons()[0].contains("900 ms"));
}

//! Free ports for processes under test.

use shalewall_test_harness::free_port;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Guards against tests that can't start a process ("Address already in use") or reach nobody: a process that another
/// thread started held the socket with which the port had been found free.
#[test]
fn a_free_port_can_be_bound_while_processes_are_started() {
    let is_done = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_done.load(Ordering::SeqCst) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let is_taken = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_err();
        let taken = (0..3_000)
            .map(|_| free_port().unwrap())
            .filter(|port| is_taken(*port))
            .count();
        is_done.store(true, Ordering::SeqCst);
        taken
    });
    assert_eq!(taken, 0, "of 3000 ports");
}

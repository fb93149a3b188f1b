//! Logs the state of the director and its resource usage once per second.

use crate::event_loop::{EventLoop, Lateness};
use async_io::Timer;
use shalewall_platform_proto::{DirectorProtocol, RuleViolations, Status};
use std::rc::Rc;
use std::time::Duration;
use tracing::{error, info};

const LOG_INTERVAL: Duration = Duration::from_secs(1);
const PAGE_KB: u64 = 4;

/// Logs for as long as the future is polled.
pub(crate) async fn log_state(event_loop: Rc<EventLoop>) {
    loop {
        Timer::after(LOG_INTERVAL).await;
        let status = event_loop.with_protocol(DirectorProtocol::status);
        log_violations(&status.violations);
        log_status(&status, &event_loop.take_lateness());
    }
}

/// Logs broken rules, which are faults of this program.
fn log_violations(violations: &RuleViolations) {
    if violations.total() > 0 {
        error!(
            second_answers = violations.second_answers,
            closed_unanswered = violations.closed_unanswered,
            forwarded_after_end = violations.forwarded_after_end,
            "rules violated"
        );
    }
}

fn log_status(status: &Status, lateness: &Lateness) {
    info!(
        waiting = status.sessions.pending_requests,
        standing = status.sessions.active_sessions,
        viewers = status.connections.viewers,
        links = status.connections.nodes,
        nodes = status.connections.known_nodes,
        worst = status.fullest_servers,
        ended = status.ended,
        opened = status.connections_opened,
        lost = status.connections_closed,
        left = status.withdrawn_before_sent,
        sent_for_left = status.violations.forwarded_after_end,
        violations = status.violations.total(),
        expired = status.expired_before_read,
        shed = status.shed_requests,
        timers = status.pending_timers,
        late_us = status.timer_delay.as_micros(),
        read_age_us = lateness.oldest_read.as_micros(),
        pause_us = lateness.longest_pause.as_micros(),
        resident_kb = resident_kb(),
        files = open_files(),
        "state"
    );
}

/// Resident memory of this process; 0 if the system does not provide it.
fn resident_kb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident_pages = statm.split(' ').nth(1);
    let resident_pages: Option<u64> = resident_pages.and_then(|pages| pages.parse().ok());
    resident_pages.unwrap_or(0) * PAGE_KB
}

/// Number of open file descriptors of this process, including the one used for counting; 0 if the system does not
/// provide it.
fn open_files() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, |descriptors| descriptors.count())
}

//! Logs once a second what this director holds and believes, and what it takes of the machine.

use crate::event_loop::EventLoop;
use async_io::Timer;
use shalewall_platform_proto::{DirectorProtocol, Status};
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

const LOG_INTERVAL: Duration = Duration::from_secs(1);
const PAGE_KB: u64 = 4;

/// Logs for as long as it is polled.
pub(crate) async fn log_state(event_loop: Rc<EventLoop>) {
    loop {
        Timer::after(LOG_INTERVAL).await;
        let status = event_loop.with_protocol(DirectorProtocol::status);
        log_status(&status);
    }
}

fn log_status(status: &Status) {
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
        sent_for_left = status.sent_after_withdrawal,
        late_us = status.timer_delay.as_micros(),
        resident_kb = resident_kb(),
        files = open_files(),
        "state"
    );
}

/// Resident memory of this process; 0 where the system does not tell.
fn resident_kb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident_pages = statm.split(' ').nth(1);
    let resident_pages: Option<u64> = resident_pages.and_then(|pages| pages.parse().ok());
    resident_pages.unwrap_or(0) * PAGE_KB
}

/// Open descriptors of this process, with the one that counts them; 0 where the system does not tell.
fn open_files() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, |descriptors| descriptors.count())
}

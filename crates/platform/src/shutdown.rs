//! Graceful shutdown: answers accepted requests, keeps active sessions until the time limit, and closes the connections
//! after their last byte.

use crate::event_loop::EventLoop;
use async_io::Timer;
use shalewall_clock::{now, to_duration};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Time after the shutdown signal during which viewers may still send requests, which have to be answered.
const LATE_REQUEST_WINDOW: Duration = Duration::from_millis(900);
/// Interval for checking whether the shutdown is complete.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for closing viewers' connections in two steps at the end. The platform kills a director 0.7 s after the
/// longest viewer wait, and the steps before take up to 0.55 s after it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(60);

/// Completes when the process may exit.
pub(crate) async fn shut_down(event_loop: Rc<EventLoop>) {
    event_loop.with_protocol(|protocol| protocol.begin_shutdown(now()));
    let sessions = event_loop.with_protocol(|protocol| protocol.session_counts());
    info!(
        waiting = sessions.pending_requests,
        standing = sessions.active_sessions,
        "shutdown started"
    );
    finish_sessions(&event_loop).await;
    close_viewers(&event_loop).await;
    if has_pending_writes(&event_loop) {
        warn!("shutdown with unsent messages");
    }
}

/// Waits until there are no pending requests, active sessions or unwritten bytes, up to the protocol's time limit.
async fn finish_sessions(event_loop: &Rc<EventLoop>) {
    let started_at = Instant::now();
    let time_limit = event_loop.with_protocol(|protocol| protocol.shutdown_time_limit());
    let time_limit = to_duration(time_limit).max(LATE_REQUEST_WINDOW);
    while started_at.elapsed() < time_limit {
        let sessions = event_loop.with_protocol(|protocol| protocol.session_counts());
        let late_request_window_ended = started_at.elapsed() >= LATE_REQUEST_WINDOW;
        if late_request_window_ended && sessions.total() == 0 && !has_pending_writes(event_loop) {
            return;
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

async fn close_viewers(event_loop: &Rc<EventLoop>) {
    event_loop.with_protocol(|protocol| protocol.close_viewers(now()));
    let started_at = Instant::now();
    while started_at.elapsed() < CLOSE_TIMEOUT
        && (has_pending_writes(event_loop) || has_viewers(event_loop))
    {
        Timer::after(CHECK_INTERVAL).await;
    }
}

fn has_pending_writes(event_loop: &Rc<EventLoop>) -> bool {
    event_loop.with_protocol(|protocol| protocol.has_pending_writes())
}

fn has_viewers(event_loop: &Rc<EventLoop>) -> bool {
    let counts = event_loop.with_protocol(|protocol| protocol.connection_counts());
    counts.viewers > 0
}

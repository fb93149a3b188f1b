//! Graceful shutdown: answers what was accepted, holds active sessions for as long as there is time, and closes the
//! connections after the last byte.

use crate::event_loop::EventLoop;
use async_io::Timer;
use shalewall_clock::{now, to_duration};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Requests still arrive for so long after the signal to end, and are to be answered.
const LATE_REQUESTS: Duration = Duration::from_millis(900);
/// How often is checked whether everything is answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// At the end viewers' connections are closed in two steps, for which there is so long: the platform kills a director
/// 0.7 s after the longest wait of a viewer, and the steps before end 0.55 s after it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(60);

/// Ends when the process may.
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

/// Waits until there is neither a request without an answer, nor an active session, nor a byte to write; at most for
/// the time that the protocol allows.
async fn finish_sessions(event_loop: &Rc<EventLoop>) {
    let started_at = Instant::now();
    let time_limit = event_loop.with_protocol(|protocol| protocol.shutdown_time_limit());
    let time_limit = to_duration(time_limit).max(LATE_REQUESTS);
    while started_at.elapsed() < time_limit {
        let sessions = event_loop.with_protocol(|protocol| protocol.session_counts());
        let no_late_requests = started_at.elapsed() >= LATE_REQUESTS;
        if no_late_requests && sessions.total() == 0 && !has_pending_writes(event_loop) {
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

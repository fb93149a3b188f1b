//! Graceful shutdown: answers accepted requests, keeps active sessions until the time limit, and closes the connections
//! after their last byte.

use crate::event_loop::EventLoop;
use async_executor::Task;
use async_io::Timer;
use event_listener::{Event, IntoNotification};
use shalewall::{TimeDelta, Timestamp};
use shalewall_clock::now;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Time after the shutdown signal during which viewers send requests on new connections: 0.6 s, with the platform's
/// tolerance of 50 ms.
const NEW_CONNECTION_WINDOW: TimeDelta = TimeDelta::from_millis(650);
/// Interval for checking whether the shutdown is complete.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time limit for closing viewers' connections. The platform kills a director 0.7 s after the longest viewer wait, and
/// the steps before take up to 0.55 s after it.
const CLOSE_TIMEOUT: TimeDelta = TimeDelta::from_millis(60);

/// Accepts connections until it is stopped.
pub(crate) struct AcceptTask {
    pub task: Task<()>,
    pub stop: Event,
}

impl AcceptTask {
    /// Stops after the connections that are established already.
    async fn stop(self) {
        self.stop.notify(usize::MAX.relaxed());
        self.task.await;
    }
}

/// Completes when the process may exit.
pub(crate) async fn shut_down(
    event_loop: Rc<EventLoop>,
    accept_task: Option<AcceptTask>,
    signalled_at: Timestamp,
) {
    event_loop.with_protocol(|protocol| protocol.begin_shutdown(signalled_at));
    let sessions = event_loop.with_protocol(|protocol| protocol.session_counts());
    info!(
        waiting = sessions.pending_requests,
        standing = sessions.active_sessions,
        "shutdown started"
    );
    finish_sessions(&event_loop, signalled_at).await;
    if let Some(accept_task) = accept_task {
        accept_task.stop().await;
    }
    close_viewers(&event_loop).await;
    if has_pending_writes(&event_loop) {
        warn!("shutdown with unsent messages");
    }
}

/// Waits up to the protocol's time limit. Ends earlier if nothing is left to answer, write or release and no viewer is
/// connected: viewers send requests on open connections until these are closed.
async fn finish_sessions(event_loop: &Rc<EventLoop>, signalled_at: Timestamp) {
    let time_limit = event_loop.with_protocol(|protocol| protocol.shutdown_time_limit());
    let time_limit = time_limit.max(NEW_CONNECTION_WINDOW);
    while now() - signalled_at < time_limit {
        let sessions = event_loop.with_protocol(|protocol| protocol.session_counts());
        let is_complete =
            sessions.total() == 0 && !has_pending_writes(event_loop) && !has_viewers(event_loop);
        if is_complete && now() - signalled_at >= NEW_CONNECTION_WINDOW {
            return;
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

async fn close_viewers(event_loop: &Rc<EventLoop>) {
    event_loop.with_protocol(|protocol| protocol.close_viewers());
    let started_at = now();
    while now() - started_at < CLOSE_TIMEOUT
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

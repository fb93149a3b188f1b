//! A panic is logged with its place, and ends only what it happened in: one connection, or one task.
//!
//! State that is shared with what panicked stays as it was at the panic. The protocol's state machine takes each
//! event off its queues before it handles it, so the same one is not met again.

use futures_lite::FutureExt;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind, set_hook};
use tracing::error;

/// The work panicked. The log has its place and message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("panicked: the log says where")]
pub struct Panicked;

/// From now on each panic of the process is one line of the log: where, and its message.
pub fn log_panics() {
    set_hook(Box::new(|info: &PanicHookInfo| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        let said = panic_message(info).unwrap_or("nothing");
        error!(place, said, "panicked");
    }));
}

fn panic_message<'a>(info: &'a PanicHookInfo) -> Option<&'a str> {
    let payload = info.payload();
    let literal = payload.downcast_ref::<&str>().copied();
    literal.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
}

/// Does some work, and stops a panic in it.
pub fn catch_panic<T>(work: impl FnOnce() -> T) -> Result<T, Panicked> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|_| Panicked)
}

/// Polls a task, and stops a panic in it.
pub async fn catch_task_panic<T>(task: impl Future<Output = T>) -> Result<T, Panicked> {
    let outcome = AssertUnwindSafe(task).catch_unwind().await;
    outcome.map_err(|_| Panicked)
}

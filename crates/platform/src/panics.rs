//! Panic handling: a panic is logged with its location, and ends only the connection or task in which it occurs.
//!
//! State that is shared with the panicking task stays as it was at the panic. The protocol's state machine removes each
//! event from its queue before handling it, so the same event does not cause another panic.

use futures_lite::FutureExt;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind, set_hook};
use tracing::error;

/// The closure or task panicked. Location and message are in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("panicked; the location is in the log")]
pub struct Panicked;

/// Installs a panic hook that logs each panic of the process as one line with its location and message.
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

/// Runs a closure and catches a panic in it.
pub fn catch_panic<T>(work: impl FnOnce() -> T) -> Result<T, Panicked> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|_| Panicked)
}

/// Polls a task and catches a panic in it.
pub async fn catch_task_panic<T>(task: impl Future<Output = T>) -> Result<T, Panicked> {
    let outcome = AssertUnwindSafe(task).catch_unwind().await;
    outcome.map_err(|_| Panicked)
}

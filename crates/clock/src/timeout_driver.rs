//! Calls a state machine when its next timer is due. Single-threaded.

use crate::{now, to_instant};
use async_io::Timer;
use event_listener::{Event, IntoNotification};
use futures_lite::future;
use shalewall::Timestamp;
use std::cell::Cell;

/// Runs the timers of one state machine.
#[derive(Debug)]
pub struct TimeoutDriver {
    /// The time that [`TimeoutDriver::run`] waits for; [`Timestamp::MAX`] if no timer is pending.
    armed_for: Cell<Timestamp>,
    rearm: Event,
}

impl Default for TimeoutDriver {
    fn default() -> TimeoutDriver {
        TimeoutDriver {
            armed_for: Cell::new(Timestamp::MAX),
            rearm: Event::new(),
        }
    }
}

impl TimeoutDriver {
    /// Updates the due time of the next timer; call it whenever the state machine has handled an input.
    ///
    /// Only a time earlier than the current one wakes [`TimeoutDriver::run`]: most timers are set for later, and
    /// resetting the system timer for each input would cost one wake-up each.
    pub fn update(&self, next_timeout: Option<Timestamp>) {
        if next_timeout.unwrap_or(Timestamp::MAX) < self.armed_for.get() {
            self.rearm.notify(1.relaxed());
        }
    }

    /// Calls `handle_timeout` whenever the time that `next_timeout` returns is reached, for as long as the future is
    /// polled.
    pub async fn run(
        &self,
        next_timeout: impl Fn() -> Option<Timestamp>,
        handle_timeout: impl Fn(),
    ) {
        loop {
            let rearmed = self.rearm.listen();
            let due = next_timeout();
            self.armed_for.set(due.unwrap_or(Timestamp::MAX));
            match due {
                None => rearmed.await,
                Some(due) if due <= now() => handle_timeout(),
                Some(due) => {
                    let timer = async {
                        Timer::at(to_instant(due)).await;
                    };
                    future::or(timer, rearmed).await;
                }
            }
        }
    }
}

//! Calls a state machine when its next timer is due. For one thread.

use crate::{now, to_instant};
use async_io::Timer;
use event_listener::{Event, IntoNotification};
use futures_lite::future;
use shalewall::Timestamp;
use std::cell::Cell;

/// Waits for the next timer of one state machine.
#[derive(Debug)]
pub struct TimeoutDriver {
    /// The time that [`TimeoutDriver::run`] waits for; [`Timestamp::MAX`] if it waits for none.
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
    /// To be called whenever the state machine has handled an input, with the time at which its next timer is due.
    ///
    /// Only an earlier time than the one waited for wakes [`TimeoutDriver::run`]: most timers are set behind it, and
    /// setting the system's timer anew for each input would cost a wake-up each.
    pub fn update(&self, next_timeout: Option<Timestamp>) {
        if next_timeout.unwrap_or(Timestamp::MAX) < self.armed_for.get() {
            self.rearm.notify(1.relaxed());
        }
    }

    /// Calls `handle_timeout` whenever the time that `next_timeout` gives has come, for as long as it is polled.
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

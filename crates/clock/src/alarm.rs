//! Rings a state machine's timers when they are due, on one thread.

use crate::{instant, now};
use async_io::Timer;
use event_listener::{Event, IntoNotification};
use futures_lite::future;
use std::cell::Cell;

/// Waits for the next timer of one state machine.
pub struct Alarm {
    /// When the ringing task will look next.
    armed: Cell<i64>,
    kick: Event,
}

impl Default for Alarm {
    fn default() -> Alarm {
        Alarm {
            armed: Cell::new(i64::MAX),
            kick: Event::new(),
        }
    }
}

impl Alarm {
    /// The machine has worked; `next`: when it wants to be rung. Most timers are set behind the one that is waited
    /// for: setting the system's timer anew for each input would cost a wake-up each.
    pub fn moved(&self, next: Option<i64>) {
        if next.unwrap_or(i64::MAX) < self.armed.get() {
            self.kick.notify(1.relaxed());
        }
    }

    /// Rings for as long as it is polled.
    pub async fn ring(&self, next: impl Fn() -> Option<i64>, ring: impl Fn()) {
        loop {
            let kicked = self.kick.listen();
            let due = next();
            self.armed.set(due.unwrap_or(i64::MAX));
            match due {
                None => kicked.await,
                Some(due) if due <= now() => ring(),
                Some(due) => {
                    let timer = async {
                        Timer::at(instant(due)).await;
                    };
                    future::or(timer, kicked).await;
                }
            }
        }
    }
}

//! The cases, and further runs that show a fault but are none of the three cases.

pub mod cut_off;
pub mod handed_over;
pub mod late_restart;
mod seats;
pub mod slow_journal;
pub mod stalled_drain;
pub mod wrong_lengths;

//! The cases.

pub mod handed_over;
pub mod late_restart;
mod seats;
pub mod wrong_lengths;

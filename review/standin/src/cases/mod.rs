//! The cases.

pub mod handed_over;
pub mod wrong_lengths;

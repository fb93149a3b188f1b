//! The cases.

pub mod handed_over;

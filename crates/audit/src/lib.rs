//! The six rules, judged from recordings of what passed on sockets, and from nothing else.
//!
//! What this crate may know: the form of recordings and the figures of the rules. What it must not: engine,
//! front, decisions. It can't be talked round by the program that it judges.

mod judge;
mod moves;
mod record;

pub use judge::{Finding, Rule, Verdict, judge};
pub use moves::{Cause, Moves, moves};
pub use record::{ClassRule, Further, Ran, Record, Rules, Writer, read, read_rules};

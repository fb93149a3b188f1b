//! What a director is told at its start: one JSON object, the same on the simulator's wire and on the platform.
//!
//! [`read`] gives the module's [`shalewall::Settings`], the [`Names`] that messages use for what the module
//! knows by index, and the [`Bounds`] that only whoever drives it needs. [`report`] reads one value of a load report.
//!
//! What this crate may know: the object's keys and the module's interface. What it must not: a wire, a socket, a
//! clock, or any decision.

mod settings;

pub use settings::{Given, read};
use shalewall::{LoadReport, Micros, TitleId};

/// Path of a value, and what is wrong with it.
pub type Wrong = (String, String);

/// Names that messages use, by the index that the module knows. They stop here.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
}

impl Names {
    /// Index of a class; none where the settings lack it.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c == name)
    }
}

/// Bounds on how a director goes about its work, for whoever drives the module.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// A connection that is not up within this is none. Microseconds; 0: not told.
    pub connect: Micros,
    /// Connections without traffic are closed after this. Microseconds; 0: not told.
    pub idle: Micros,
    /// The longest that a viewer of any class waits. Microseconds.
    pub give_up: Micros,
    /// Requests that may be open at once.
    pub held: usize,
}

/// Far beyond any clock, in microseconds, and still safe to add up.
pub const FAR: Micros = 100_000_000_000_000_000;

/// Milliseconds to microseconds.
pub fn micros(ms: f64) -> Micros {
    ((ms * 1000.0).round() as Micros).clamp(-FAR, FAR)
}

/// A title as the module knows it: the same item under two classes is two titles.
pub fn title(item: u64, class: usize) -> TitleId {
    TitleId(item.wrapping_add((class as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

/// Puts one named value of a load report where the module looks for it. Names that are not known are passed over,
/// whatever their values are.
pub fn report(
    load: &mut LoadReport,
    name: &str,
    value: &str,
) -> Result<(), std::num::ParseFloatError> {
    let slot = match name {
        "rif" | "inflight" => &mut load.streams,
        "x0" | "busy" | "util" => &mut load.link_utilization,
        "x1" => &mut load.uplink_utilization,
        _ => return Ok(()),
    };
    let value = value.parse()?;
    // Utilisation stops at 1; where `x0` comes too, that one stands.
    if !matches!(name, "busy" | "util") || slot.is_none() {
        *slot = Some(value);
    }
    Ok(())
}

//! The machine that a day runs on: what the day needs of it, and whether it had it all along. A figure from a starved
//! machine looks like one of the program, so such a day is not valid.

use crate::error::DayError;
use rustix::process::{Resource, getrlimit, setrlimit};
use shalewall_settings::{DayPlan, Fault, FaultKind};
use std::io;
use std::time::Duration;

/// Timers of the emulators that fire later than this say that the machine was not there.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(250);
/// Descriptors beside connections: recordings, logs, the executor's own.
const SPARE_DESCRIPTORS: u64 = 200;

/// Descriptors that the emulators' process needs, at the most that the plan lets expect.
pub fn needed_descriptors(plan: &DayPlan) -> u64 {
    let load = &plan.load;
    let directors = u64::from(plan.day.directors);
    // A listener for each node, an event stream for each director at each node, and set-ups beside it.
    let nodes = plan.fleet.node_count.max(plan.fleet.machines.len() as u64);
    let for_nodes = nodes * (1 + 2 * directors);
    let bursts = plan.faults.values().filter(|fault| is_burst(fault));
    let rate_factor = bursts.map(burst_factor).fold(1.0, f64::max)
        * load.tenant_rates.values().sum::<f64>().max(1.0);
    let mean_length_s = (load.max_length_s + load.min_length_s) / 2.0;
    let playing = load.per_s * mean_length_s.min(plan.day.seconds) * rate_factor;
    // A viewer that plays has two ends of its stream here, and one that follows an end of its director's.
    let for_viewers = (playing * (2.0 + load.migratable_fraction)).ceil() as u64;
    for_nodes + for_viewers + directors + SPARE_DESCRIPTORS
}

fn is_burst(fault: &Fault) -> bool {
    matches!(fault.kind, FaultKind::Burst | FaultKind::TenantBurst)
}

/// How many times the usual rate viewers come at; 0 where the fault has no size.
fn burst_factor(fault: &Fault) -> f64 {
    if fault.size > 0.0 {
        fault.size.max(1.0)
    } else {
        0.0
    }
}

/// Raises this process's own limit as far as it may; an error where that is not enough.
pub fn reserve_descriptors(plan: &DayPlan) -> Result<(), DayError> {
    let needed = needed_descriptors(plan);
    let mut limit = getrlimit(Resource::Nofile);
    if limit.current.is_some_and(|current| current < needed) {
        let raised = limit.maximum.map_or(needed, |maximum| maximum.min(needed));
        limit.current = Some(raised);
        setrlimit(Resource::Nofile, limit).map_err(io::Error::from)?;
    }
    match getrlimit(Resource::Nofile).current {
        Some(available) if available < needed => {
            Err(DayError::TooFewDescriptors { needed, available })
        }
        _ => Ok(()),
    }
}

/// What the machine lacked while a day ran.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shortfall {
    /// The latest that a timer of the emulators fired.
    pub timer_delay: Duration,
    /// Connections that the emulators could not accept or open, for want of something of this machine's own.
    pub failed_connections: u64,
}

impl Shortfall {
    /// Why the day is not valid; nothing where it is.
    pub fn reasons(&self) -> Vec<String> {
        let mut reasons = Vec::new();
        if self.timer_delay > MAX_TIMER_DELAY {
            reasons.push(format!(
                "timers of the stand-ins rang up to {} ms late",
                self.timer_delay.as_millis()
            ));
        }
        if self.failed_connections > 0 {
            reasons.push(format!(
                "{} connections of the stand-ins failed for want of descriptors or ports",
                self.failed_connections
            ));
        }
        reasons
    }
}

//! Resources of the machine that a day runs on: the descriptors that the day needs, and whether the machine was
//! overloaded. Results from an overloaded machine cannot be attributed to the program, so such a day is not valid.

use crate::error::DayError;
use rustix::process::{Resource, getrlimit, setrlimit};
use shalewall_settings::{DayPlan, Fault, FaultKind};
use std::io;
use std::time::Duration;

/// Delay of the emulators' timers above which the machine counts as overloaded.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(250);
/// Descriptors for other purposes than connections: recordings, logs, and the executor.
const RESERVED_DESCRIPTORS: u64 = 200;

/// Upper estimate of the descriptors that the emulators' process needs for a plan.
pub fn needed_descriptors(plan: &DayPlan) -> u64 {
    let load = &plan.load;
    let directors = u64::from(plan.day.directors);
    // A listener for each node; an event stream and a connection for set-ups for each director at each node.
    let nodes = plan.fleet.node_count.max(plan.fleet.machines.len() as u64);
    let for_nodes = nodes * (1 + 2 * directors);
    let bursts = plan.faults.values().filter(|fault| is_burst(fault));
    let rate_factor = bursts.map(burst_factor).fold(1.0, f64::max)
        * load.tenant_rates.values().sum::<f64>().max(1.0);
    let mean_length_s = (load.max_length_s + load.min_length_s) / 2.0;
    let playing = load.per_s * mean_length_s.min(plan.day.seconds) * rate_factor;
    // Both ends of a viewer's media stream are in this process; a viewer that supports migration also has an event
    // stream from its director.
    let for_viewers = (playing * (2.0 + load.migratable_fraction)).ceil() as u64;
    for_nodes + for_viewers + directors + RESERVED_DESCRIPTORS
}

fn is_burst(fault: &Fault) -> bool {
    matches!(fault.kind, FaultKind::Burst | FaultKind::TenantBurst)
}

/// Factor of the usual arrival rate during a burst; 0 if the fault has no size.
fn burst_factor(fault: &Fault) -> f64 {
    if fault.size > 0.0 {
        fault.size.max(1.0)
    } else {
        0.0
    }
}

/// Raises the descriptor limit of this process as far as permitted. Fails if that is not enough for the plan.
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

/// Resource shortages of the machine during a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shortfall {
    /// Largest delay of the emulators' timers.
    pub timer_delay: Duration,
    /// Connections that the emulators could not accept or open because descriptors or ports ran out.
    pub failed_connections: u64,
}

impl Shortfall {
    /// Reasons why the day is not valid; empty if it is valid.
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

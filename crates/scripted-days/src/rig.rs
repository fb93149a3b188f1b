//! The machine that a day runs on: what the day needs of it, and whether it had it all along. A figure from a starved
//! rig looks like one of the program, so such a day is not valid.

use rustix::process::{Resource, getrlimit, setrlimit};
use shalewall_settings::DayPlan;
use std::io;
use std::time::Duration;

/// Timers of the stand-ins that ring later than this say that the machine was not there.
const MOST_LAG: Duration = Duration::from_millis(250);
/// Descriptors beside connections: recordings, logs, the executor's own.
const SPARE: u64 = 200;

/// Descriptors that the stand-ins' process needs, at the most that the plan lets expect.
pub fn descriptors(plan: &DayPlan) -> u64 {
    let (directors, load) = (u64::from(plan.day.directors), &plan.load);
    // A listener for each node, an event stream for each front at each node, and set-ups beside it.
    let nodes = plan.fleet.nodes.max(plan.fleet.machine.len() as u64);
    let nodes = nodes * (1 + 2 * directors);
    // A viewer that plays has two ends of its stream here, and one that follows an end of its front's.
    let more = |kind: &shalewall_settings::Trouble| {
        kind.size.max(1.0) * f64::from(u8::from(kind.size > 0.0))
    };
    use shalewall_settings::TroubleKind::{Burst, TenantBurst};
    let bursts = plan
        .trouble
        .values()
        .filter(|t| matches!(t.kind, Burst | TenantBurst));
    let times = bursts.map(more).fold(1.0, f64::max) * load.tenants.values().sum::<f64>().max(1.0);
    let longest = (load.longest_s + load.shortest_s) / 2.0;
    let playing = load.per_s * longest.min(plan.day.seconds) * times;
    nodes + (playing * (2.0 + load.follow)).ceil() as u64 + directors + SPARE
}

/// Raises this process's own limit as far as it may, and says whether that is enough.
pub fn allow(plan: &DayPlan) -> io::Result<()> {
    let need = descriptors(plan);
    let mut limit = getrlimit(Resource::Nofile);
    if limit.current.is_some_and(|now| now < need) {
        limit.current = Some(limit.maximum.map_or(need, |most| most.min(need)));
        setrlimit(Resource::Nofile, limit)?;
    }
    match getrlimit(Resource::Nofile).current {
        Some(have) if have < need => {
            let what =
                format!("the day needs some {need} descriptors, and this process may have {have}");
            Err(io::Error::new(io::ErrorKind::InvalidInput, what))
        }
        _ => Ok(()),
    }
}

/// What the rig lacked while a day ran.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lacked {
    /// The latest that a timer of the stand-ins rang.
    pub lag: Duration,
    /// Connections that the stand-ins could not take or make, for want of something of this machine's own.
    pub connections: u64,
}

impl Lacked {
    /// Why the day is not valid; nothing where it is.
    pub fn reasons(&self) -> Vec<String> {
        let mut reasons = Vec::new();
        if self.lag > MOST_LAG {
            reasons.push(format!(
                "timers of the stand-ins rang up to {} ms late",
                self.lag.as_millis()
            ));
        }
        if self.connections > 0 {
            reasons.push(format!(
                "{} connections of the stand-ins failed for want of descriptors or ports",
                self.connections
            ));
        }
        reasons
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rig_that_lacked_something_says_what() {
        assert!(Lacked::default().reasons().is_empty());
        let lacked = Lacked {
            lag: Duration::from_millis(900),
            connections: 3,
        };
        assert_eq!(lacked.reasons().len(), 2);
        assert!(lacked.reasons()[0].contains("900 ms"));
    }
}

//! What a day's directors live among: emulated nodes, the endpoint list and viewers, all in this process.

use async_executor::LocalExecutor;
use shalewall_emulator::list::{Line, List};
use shalewall_emulator::nodes::{Nodes, Telling};
use shalewall_emulator::recorder::Recorder;
use shalewall_emulator::viewers::Viewers;
use shalewall_fleet_model::fleet::Fleet;
use shalewall_migration::ticket::TicketKey;
use shalewall_settings::DayPlan;
use shalewall_simulation::plan;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// What the seed of the fleet differs in from the day's.
const FLEET_SEED: u64 = 1;
/// What the seed of the viewers differs in from the day's.
const VIEWER_SEED: u64 = 3;

/// The key of a day's migration tickets, and the file that directors read it from.
pub struct MoveKey {
    /// The file.
    pub file: PathBuf,
    /// The key in it.
    pub key: TicketKey,
}

impl MoveKey {
    /// Draws a key and writes it to a file of `out`; none where the day's sessions are not moved.
    pub fn create(plan: &DayPlan, out: &Path) -> io::Result<Option<MoveKey>> {
        if plan.site.moves.is_none() {
            return Ok(None);
        }
        let file = out.join("move.key");
        let bytes: [u8; 32] = rand::random();
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        std::fs::write(&file, digits)?;
        let key = TicketKey::new(bytes);
        Ok(Some(MoveKey { file, key }))
    }
}

/// The emulated parts of a day, under way.
pub struct Emulation {
    /// Runs them all.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The media nodes.
    pub nodes: Nodes,
    /// The endpoint list.
    pub list: List,
    /// Where the list is watched.
    pub list_address: SocketAddr,
    /// Where the key of migration tickets is, where sessions are moved.
    pub move_key_file: Option<PathBuf>,
    /// The viewers, which have not come yet.
    pub viewers: Viewers,
    /// Takes down what passes on the sockets.
    pub recorder: Recorder,
}

impl Emulation {
    /// Starts nodes and list, and readies the viewers.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        plan: &DayPlan,
        recorder: Recorder,
        move_key: Option<MoveKey>,
    ) -> io::Result<Emulation> {
        let seed = plan.day.seed;
        let (physics, machines) = plan::fleet(plan);
        let nodes = Nodes::new(
            executor.clone(),
            Fleet::new(physics, seed ^ FLEET_SEED),
            recorder.clone(),
            notifications(plan, move_key.as_ref()),
        );
        let list_delay = millis(plan.fleet.list_delay_ms);
        let (list, list_address) = List::start(executor.clone(), recorder.clone(), list_delay)?;
        for machine in machines {
            let id = machine.id;
            nodes.start(machine, true)?;
            if let Some(entry) = endpoint(&nodes, id, "ready") {
                list.tell(entry);
            }
        }
        let viewers = Viewers::new(
            executor.clone(),
            recorder.clone(),
            plan::crowd(plan),
            plan::arrivals(plan),
            seed ^ VIEWER_SEED,
        );
        Ok(Emulation {
            executor: executor.clone(),
            nodes,
            list,
            list_address,
            move_key_file: move_key.map(|move_key| move_key.file),
            viewers,
            recorder,
        })
    }

    /// The list hears of a node's state, with the list's usual delay.
    pub(crate) fn announce(&self, node: u64, state: &'static str) {
        if let Some(entry) = endpoint(&self.nodes, node, state) {
            self.list.change(entry);
        }
    }

    /// The list hears of a node's state at once.
    pub(crate) fn announce_now(&self, node: u64, state: &'static str) {
        if let Some(entry) = endpoint(&self.nodes, node, state) {
            self.list.tell(entry);
        }
    }
}

fn notifications(plan: &DayPlan, move_key: Option<&MoveKey>) -> Telling {
    Telling {
        every: millis(plan.site.notifications.interval_ms),
        late: millis(plan.site.notifications.delay_ms),
        fraction: plan.day.media_fraction,
        key: move_key.map(|move_key| move_key.key.clone()),
        loads: plan.load.migratable_fraction > 0.0,
    }
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1000.0)
}

/// The list's entry of a node that is up.
pub fn endpoint(nodes: &Nodes, id: u64, state: &'static str) -> Option<Line> {
    let machine = nodes.machine(id)?;
    let up_since = nodes.up_since(id);
    let started = up_since.filter(|(_, warm)| !warm).map(|(at, _)| at);
    Some(Line {
        server: id,
        address: nodes.address(id)?.to_string(),
        zone: machine.zone,
        kind: machine.kind,
        cell: machine.cell,
        standing: state,
        weight: machine.weight,
        started,
    })
}

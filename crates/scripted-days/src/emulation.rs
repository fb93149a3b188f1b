//! Emulated environment of a day's directors: nodes, endpoint list and viewers, all in this process.

use async_executor::LocalExecutor;
use shalewall_emulator::list::{EndpointEntry, EndpointList};
use shalewall_emulator::nodes::{NodeSettings, Nodes};
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

/// Combined with the day's seed by XOR for the seed of the fleet.
const FLEET_SEED: u64 = 1;
/// Combined with the day's seed by XOR for the seed of the viewers.
const VIEWER_SEED: u64 = 3;

/// Key of a day's migration tickets, and the file from which directors read it.
pub struct MigrationKey {
    /// File that contains the key.
    pub file: PathBuf,
    /// The key.
    pub key: TicketKey,
}

impl MigrationKey {
    /// Generates a key and writes it to a file in `out`. Returns `None` if the day has no session migration.
    pub fn create(plan: &DayPlan, out: &Path) -> io::Result<Option<MigrationKey>> {
        if plan.site.moves.is_none() {
            return Ok(None);
        }
        let file = out.join("move.key");
        let bytes: [u8; 32] = rand::random();
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        std::fs::write(&file, hex)?;
        let key = TicketKey::new(bytes);
        Ok(Some(MigrationKey { file, key }))
    }
}

/// Running emulation of a day's nodes, endpoint list and viewers.
pub struct Emulation {
    /// Executor of all emulated parts.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The media nodes.
    pub nodes: Nodes,
    /// The endpoint list.
    pub list: EndpointList,
    /// Address of the endpoint list.
    pub list_address: SocketAddr,
    /// File with the key of migration tickets, if the day has session migration.
    pub migration_key_file: Option<PathBuf>,
    /// The viewers; their arrivals are started separately.
    pub viewers: Viewers,
    /// Recorder of the events on the sockets.
    pub recorder: Recorder,
}

impl Emulation {
    /// Starts nodes and endpoint list, and creates the viewers.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        plan: &DayPlan,
        recorder: Recorder,
        migration_key: Option<MigrationKey>,
    ) -> io::Result<Emulation> {
        let seed = plan.day.seed;
        let (fleet_parameters, machines) = plan::fleet(plan);
        let nodes = Nodes::new(
            executor.clone(),
            Fleet::new(fleet_parameters, seed ^ FLEET_SEED),
            recorder.clone(),
            node_settings(plan, migration_key.as_ref()),
        );
        let list_delay = millis(plan.fleet.list_delay_ms);
        let (list, list_address) =
            EndpointList::start(executor.clone(), recorder.clone(), list_delay)?;
        for machine in machines {
            let id = machine.id;
            nodes.start(machine, true)?;
            if let Some(entry) = endpoint(&nodes, id, "ready") {
                list.publish_now(entry);
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
            migration_key_file: migration_key.map(|migration_key| migration_key.file),
            viewers,
            recorder,
        })
    }

    /// Publishes a node's state in the endpoint list with the list's delay.
    pub(crate) fn announce(&self, node: u64, state: &'static str) {
        if let Some(entry) = endpoint(&self.nodes, node, state) {
            self.list.publish(entry);
        }
    }

    /// Publishes a node's state in the endpoint list without delay.
    pub(crate) fn announce_now(&self, node: u64, state: &'static str) {
        if let Some(entry) = endpoint(&self.nodes, node, state) {
            self.list.publish_now(entry);
        }
    }
}

fn node_settings(plan: &DayPlan, migration_key: Option<&MigrationKey>) -> NodeSettings {
    NodeSettings {
        notification_interval: millis(plan.site.notifications.interval_ms),
        notification_delay: millis(plan.site.notifications.delay_ms),
        media_fraction: plan.day.media_fraction,
        ticket_key: migration_key.map(|migration_key| migration_key.key.clone()),
        record_loads: plan.load.migratable_fraction > 0.0,
    }
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1000.0)
}

/// Endpoint list entry of a node. Returns `None` if the node was never started.
pub fn endpoint(nodes: &Nodes, id: u64, state: &'static str) -> Option<EndpointEntry> {
    let machine = nodes.machine(id)?;
    let up_since = nodes.up_since(id);
    let started = up_since.filter(|(_, warm)| !warm).map(|(at, _)| at);
    Some(EndpointEntry {
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

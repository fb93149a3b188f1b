//! The simulator's endpoint lists, shared by all directors of the process.

use crate::fields::Fields;
use crate::{WireError, WireProblem};
use shalewall::{Endpoint, EndpointState, ServerId, Timestamp};
use shalewall_director_config::Names;
use std::collections::BTreeMap;

/// Weight of a server if the list does not give one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// One server of a list. Zone and machine kind are kept as names, since each director has its own indices.
struct ListedServer {
    server: ServerId,
    zone: String,
    machine_kind: String,
    cell: u64,
    state: EndpointState,
    weight: f64,
    started_at: Option<Timestamp>,
}

/// A list whose lines have not all been received.
struct IncompleteList {
    number: u64,
    missing_lines: u64,
}

/// All lists received so far, by number.
#[derive(Default)]
pub(crate) struct EndpointLists {
    lists: BTreeMap<u64, Vec<ListedServer>>,
    incomplete: Option<IncompleteList>,
}

impl EndpointLists {
    /// Starts a list, which replaces any earlier one with the same number.
    pub fn begin(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let number = fields.integer("Slot")?;
        let count = fields.integer("MembersList")?;
        self.lists.insert(number, Vec::new());
        self.expect_lines(number, count);
        Ok(())
    }

    /// Whether the next line must belong to a list.
    pub fn is_incomplete(&self) -> bool {
        self.incomplete.is_some()
    }

    /// Adds the next line of the incomplete list.
    pub fn add_line(&mut self, message: &str, fields: &mut Fields) -> Result<(), WireError> {
        let Some(IncompleteList {
            number,
            missing_lines,
        }) = self.incomplete
        else {
            return Ok(());
        };
        if message != "NODE" {
            return Err(fields.error("message", WireProblem::IncompleteList));
        }
        let server = ListedServer::read(fields)?;
        self.lists.entry(number).or_default().push(server);
        self.expect_lines(number, missing_lines - 1);
        Ok(())
    }

    fn expect_lines(&mut self, number: u64, missing_lines: u64) {
        self.incomplete = (missing_lines > 0).then_some(IncompleteList {
            number,
            missing_lines,
        });
    }

    /// A list's endpoints with the indices of one director; `None` if there is no such list.
    pub fn endpoints(&self, number: u64, names: &Names) -> Option<Vec<Endpoint>> {
        let list = self.lists.get(&number)?;
        Some(list.iter().map(|server| server.endpoint(names)).collect())
    }
}

impl ListedServer {
    fn read(fields: &mut Fields) -> Result<ListedServer, WireError> {
        Ok(ListedServer {
            server: ServerId(fields.integer("Node")?),
            zone: fields.text("Locality")?.to_string(),
            machine_kind: fields.text("ClassOfHost")?.to_string(),
            // Without a cell, use one that hosts no titles.
            cell: fields.optional_integer("Position")?.unwrap_or(u64::MAX),
            state: read_state(fields)?,
            weight: fields.optional_number("Rating")?.unwrap_or(DEFAULT_WEIGHT),
            started_at: fields
                .optional_timestamp("CameUp")?
                .filter(|started_at| *started_at != Timestamp::ZERO),
        })
    }

    fn endpoint(&self, names: &Names) -> Endpoint {
        Endpoint {
            server: self.server,
            zone: names.zone_index(&self.zone),
            machine_kind: names.machine_kind_index(&self.machine_kind),
            cell: self.cell,
            state: self.state,
            weight: self.weight,
            started_at: self.started_at,
            fleet: 0,
        }
    }
}

fn read_state(fields: &mut Fields) -> Result<EndpointState, WireError> {
    match fields.integer("Availability")? {
        0 => Ok(EndpointState::Gone),
        1 => Ok(EndpointState::Ready),
        2 => Ok(EndpointState::Draining),
        other => Err(fields.error("Availability", WireProblem::UnknownState(other))),
    }
}

//! A viewer's set-up, read and checked: what the module is to weigh has to be sound, whoever sent it.

use crate::viewer_message::Message;
use crate::{HexId, MAX_MESSAGE_BYTES};
use shalewall::{Micros, Request, ServerId, SessionId, Settings};
use shalewall_director_config::{Names, time_delta_from_millis, title_id};

/// Longest wait and longest hint that are taken for meant, in milliseconds.
const LONGEST_WAIT: f64 = 3_600_000.0;
const LONGEST_HINT: f64 = 1e9;
/// A set-up's head at a node is shorter than this.
const HEAD: usize = 512;

pub(crate) struct Asked {
    pub title: HexId,
    pub description: String,
    /// With the session's number still to be given.
    pub request: Request,
    /// It plays at that node already.
    pub at: Option<ServerId>,
}

/// What is wrong is said in a word; nothing of it has been kept then.
pub(crate) fn read(
    message: Message,
    tag: HexId,
    names: &Names,
    set: &Settings,
    now: Micros,
) -> Result<Asked, &'static str> {
    let class = message
        .text("class")
        .and_then(|name| names.class_index(&name))
        .ok_or("class")?;
    let item = message
        .text("key")
        .as_deref()
        .and_then(HexId::parse)
        .ok_or("key")?;
    let left = message
        .number("left")
        .map_err(|_| "left")?
        .filter(|ms| (0.0..=LONGEST_WAIT).contains(ms));
    let hint = message.number("hint").map_err(|_| "hint")?;
    if hint.is_some_and(|ms| !(0.0..=LONGEST_HINT).contains(&ms)) {
        return Err("hint");
    }
    // Where there are no tenants the field says nothing; where there are, one who is none of them has nobody's terms.
    let tenant = message.text("tenant").filter(|_| !names.tenants.is_empty());
    let tenant = match tenant {
        None => None,
        Some(name) => Some(names.tenant_index(&name).ok_or("tenant")?),
    };
    let mut request = Request {
        session: SessionId(0),
        class,
        tenant,
        viewer: tag.value(),
        title: title_id(item.value(), class),
        deadline: shalewall::Timestamp::from_micros(now)
            + time_delta_from_millis(left.unwrap_or(0.0)),
        duration_hint: hint.map(time_delta_from_millis),
        first_cell: u64::MAX,
        replica_cells: 0,
        highest_rung: usize::MAX,
        is_retry: false,
        fleet: 0,
    };
    let mut at = None;
    let extras = message.text("extras").ok_or("extras")?;
    for pair in extras.split(';').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or("extras")?;
        let number = || value.parse::<u64>().map_err(|_| "extras");
        match name {
            "home" => request.first_cell = number()?,
            "copies" => request.replica_cells = number()?,
            "top" => request.highest_rung = number()? as usize,
            "again" => request.is_retry = number()? != 0,
            "viewer" => request.viewer = HexId::parse(value).ok_or("extras")?.value(),
            "at" => at = Some(crate::endpoint_watch::server(value).ok_or("extras")?),
            _ => {}
        }
    }
    let sound = request.first_cell < set.cell_count
        && (1..=set.cell_count).contains(&request.replica_cells)
        && request.highest_rung < set.ladder.len().max(1);
    if !sound {
        return Err("extras");
    }
    let description = message
        .blob
        .filter(|b| b.len() + HEAD <= MAX_MESSAGE_BYTES)
        .ok_or("description")?;
    if left.is_none() && at.is_none() {
        return Err("left");
    }
    Ok(Asked {
        title: item,
        description,
        request,
        at,
    })
}

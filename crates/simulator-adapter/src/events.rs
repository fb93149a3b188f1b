//! Decodes the protocol's messages that are events of one director.

use crate::endpoint_list::EndpointLists;
use crate::fields::Fields;
use crate::{WireError, WireProblem};
use shalewall::{
    EndpointUpdate, Event, Notification, Request, ServerId, SessionId, TimeDelta, Timestamp,
};
use shalewall_director_config::{MAX_TIME_MICROS, Names, title_id};

/// Flag of a request: it has a duration hint.
const FLAG_HAS_DURATION: u64 = 1;
/// Flags of a request: the viewer or the player repeats an earlier request.
const FLAG_IS_RETRY: u64 = 8 | 16;

/// The kinds of events, named as in [`Event`].
#[derive(Clone, Copy)]
pub(crate) enum EventKind {
    EndpointsUpdated,
    RequestReceived,
    SessionTransferred,
    SessionStarted,
    Notified,
    AttemptFinished,
    RequestWithdrawn,
    TimerFired,
    HealthCheckFinished,
    PeerMessage,
}

impl EventKind {
    /// The kind of event for a message name; `None` if the name is unknown.
    pub fn from_message(message: &str) -> Option<EventKind> {
        Some(match message {
            "ANNOUNCE" => EventKind::EndpointsUpdated,
            "SUBMIT" => EventKind::RequestReceived,
            "CARRIED" => EventKind::SessionTransferred,
            "HEADERS" => EventKind::SessionStarted,
            "HINT_UPDATE" => EventKind::Notified,
            "FINISHED" => EventKind::AttemptFinished,
            "WITHDRAWN" => EventKind::RequestWithdrawn,
            "BELL" => EventKind::TimerFired,
            "PROBE_RESULT" => EventKind::HealthCheckFinished,
            "DATAGRAM" => EventKind::PeerMessage,
            _ => return None,
        })
    }

    /// Reads the event's fields; `None` if a director ignores the event.
    pub fn read(
        self,
        fields: &mut Fields,
        names: &Names,
        lists: &EndpointLists,
    ) -> Result<Option<Event>, WireError> {
        Ok(Some(match self {
            EventKind::EndpointsUpdated => read_endpoints(fields, names, lists)?,
            EventKind::RequestReceived => Event::RequestReceived(read_request(fields, names)?),
            EventKind::SessionTransferred => {
                let request = read_request(fields, names)?;
                Event::SessionTransferred(request, ServerId(fields.integer("Node")?))
            }
            EventKind::SessionStarted => read_start(fields)?,
            EventKind::Notified => return read_notification(fields),
            EventKind::AttemptFinished => read_finished_attempt(fields)?,
            EventKind::RequestWithdrawn => Event::RequestWithdrawn(read_session(fields)?),
            // Directors set numeric tokens only; a timer with any other token is ignored.
            EventKind::TimerFired => {
                return Ok(fields.text("Ref")?.parse().ok().map(Event::TimerFired));
            }
            EventKind::HealthCheckFinished => read_health_check(fields)?,
            EventKind::PeerMessage => Event::PeerMessage {
                from: fields.integer("Author")? as u32,
                body: fields.hex_bytes("Body")?,
            },
        }))
    }
}

fn read_session(fields: &mut Fields) -> Result<SessionId, WireError> {
    Ok(SessionId(fields.integer("OpId")?))
}

fn read_endpoints(
    fields: &mut Fields,
    names: &Names,
    lists: &EndpointLists,
) -> Result<Event, WireError> {
    let form = fields.integer("Form")?;
    fields.optional_integer("SeqNo")?;
    let update = match form {
        1 => EndpointUpdate::Full,
        2 => EndpointUpdate::Cached,
        3 => EndpointUpdate::Failed,
        4 => EndpointUpdate::Delta,
        _ => return Err(fields.error("Form", WireProblem::UnknownUpdate(form))),
    };
    let mut endpoints = Vec::new();
    if update != EndpointUpdate::Failed {
        let number = fields.integer("Slot")?;
        let list = lists.endpoints(number, names);
        endpoints = list.ok_or_else(|| fields.error("Slot", WireProblem::UnknownList(number)))?;
    }
    Ok(Event::EndpointsUpdated { update, endpoints })
}

fn read_start(fields: &mut Fields) -> Result<Event, WireError> {
    Ok(Event::SessionStarted {
        session: read_session(fields)?,
        attempt: fields.integer("Copy")? as u32,
        server: ServerId(fields.integer("Node")?),
        setup_time: fields
            .optional_time_delta("DelaySeen")?
            .unwrap_or(TimeDelta::ZERO),
    })
}

/// Reads a notification; `None` if its kind is unknown.
fn read_notification(fields: &mut Fields) -> Result<Option<Event>, WireError> {
    let session = read_session(fields)?;
    let attempt = fields.integer("Copy")? as u32;
    let value = fields.number("Value")?;
    let server = ServerId(fields.integer("Node")?);
    let notification = match fields.integer("Sort")? {
        1 => Notification::DeliveredFraction(value),
        2 => Notification::CurrentRung(value.max(0.0) as usize),
        3 => Notification::LinkUtilization(value),
        4 => Notification::UplinkUtilization(value),
        _ => return Ok(None),
    };
    Ok(Some(Event::Notified {
        session,
        attempt,
        server,
        notification,
    }))
}

fn read_finished_attempt(fields: &mut Fields) -> Result<Event, WireError> {
    let session = read_session(fields)?;
    let outcome = fields.outcome()?;
    fields.optional_number("DelaySeen")?;
    Ok(Event::AttemptFinished {
        session,
        outcome,
        server: ServerId(fields.integer("Node")?),
        attempt: fields.integer("Copy")? as u32,
        is_answered: fields.integer("Last")? != 0,
        load_report: fields.load_report()?,
    })
}

fn read_health_check(fields: &mut Fields) -> Result<Event, WireError> {
    let server = ServerId(fields.integer("Node")?);
    let outcome = fields.outcome()?;
    fields.optional_number("DelaySeen")?;
    Ok(Event::HealthCheckFinished {
        server,
        outcome,
        load_report: fields.load_report()?,
    })
}

fn read_request(fields: &mut Fields, names: &Names) -> Result<Request, WireError> {
    let session = read_session(fields)?;
    // The decision module rejects requests with an unknown class.
    let class = names
        .class_index(fields.text("Priority")?)
        .unwrap_or(usize::MAX);
    let tenant = fields.optional_text("Party")?;
    let viewer = fields.hex_key("Subject")?;
    let title = title_id(fields.hex_key("Item")?, class);
    let deadline = fields.optional_timestamp("ClientDeadline")?;
    let duration_hint = fields.optional_time_delta("WorkHint")?;
    let first_cell = fields.optional_integer("Home")?.unwrap_or(0);
    let replica_cells = fields.optional_integer("Spread")?.unwrap_or(0);
    let highest_rung = fields.optional_integer("MaxRung")?.unwrap_or(0) as usize;
    let flags = fields.optional_integer("Marks")?.unwrap_or(0);
    Ok(Request {
        session,
        class,
        tenant: tenant.and_then(|name| names.tenant_index(name)),
        viewer,
        title,
        deadline: deadline.unwrap_or(Timestamp::from_micros(MAX_TIME_MICROS)),
        duration_hint: duration_hint.filter(|_| flags & FLAG_HAS_DURATION != 0),
        first_cell,
        replica_cells,
        highest_rung,
        is_retry: flags & FLAG_IS_RETRY != 0,
        fleet: 0,
    })
}

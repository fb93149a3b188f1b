//! Parses and validates viewers' requests, so that the decision module only receives valid values.

use crate::endpoint_watch::parse_server_id;
use crate::viewer_message::ViewerMessage;
use crate::{HexId, MAX_MESSAGE_BYTES};
use shalewall::{Request, ServerId, SessionId, Settings, TimeDelta, Timestamp};
use shalewall_director_config::{Names, time_delta_from_millis, title_id};

/// Maximum time that a viewer may wait; a longer one is treated as missing.
const MAX_WAIT_MS: f64 = 3_600_000.0;
/// Maximum duration hint; a longer one makes the request invalid.
const MAX_HINT_MS: f64 = 1e9;
/// Upper bound of the length of the head of the resulting set-up message.
const MAX_SETUP_HEAD_BYTES: usize = 512;

/// A valid request.
pub(crate) struct SessionRequest {
    pub(crate) title: HexId,
    pub(crate) description: String,
    /// The request for the decision module; the caller fills in the session's number.
    pub(crate) request: Request,
    /// The node where the session is already active, if it is transferred from another director.
    pub(crate) active_at: Option<ServerId>,
}

/// The field that makes a request invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum InvalidRequest {
    #[error("class is not listed in the settings")]
    Class,
    #[error("key is not 16 hexadecimal digits")]
    Title,
    #[error("left is missing or not a number")]
    TimeLeft,
    #[error("hint is not a number of milliseconds")]
    DurationHint,
    #[error("tenant is not listed in the settings")]
    Tenant,
    #[error("extras is missing, malformed or out of range")]
    Extras,
    #[error("the description is missing or too long")]
    Description,
}

/// Parses a `START` message that arrived at this time.
pub(crate) fn parse(
    message: ViewerMessage,
    session: HexId,
    names: &Names,
    settings: &Settings,
    arrived_at: Timestamp,
) -> Result<SessionRequest, InvalidRequest> {
    let class = parse_class(&message, names)?;
    let title = parse_title(&message)?;
    let time_left = parse_time_left(&message)?;
    let duration_hint = parse_duration_hint(&message)?;
    let tenant = parse_tenant(&message, names)?;
    let wait = time_delta_from_millis(time_left.unwrap_or(0.0));
    let request = Request {
        session: SessionId(0),
        class,
        tenant,
        viewer: session.value(),
        title: title_id(title.value(), class),
        deadline: arrived_at + wait,
        duration_hint,
        first_cell: u64::MAX,
        replica_cells: 0,
        highest_rung: usize::MAX,
        is_retry: false,
        fleet: 0,
    };
    let mut parsed = SessionRequest {
        title,
        description: String::new(),
        request,
        active_at: None,
    };
    parse_extras(&message, &mut parsed)?;
    check_ranges(&parsed.request, settings)?;
    parsed.description = message
        .description
        .filter(|text| text.len() + MAX_SETUP_HEAD_BYTES <= MAX_MESSAGE_BYTES)
        .ok_or(InvalidRequest::Description)?;
    if time_left.is_none() && parsed.active_at.is_none() {
        return Err(InvalidRequest::TimeLeft);
    }
    Ok(parsed)
}

/// Whether a `START` message names the node where its session is active already.
pub(crate) fn is_transfer(message: &ViewerMessage) -> bool {
    message
        .text_field("extras")
        .is_some_and(|extras| extras.split(';').any(|pair| pair.starts_with("at:")))
}

fn parse_class(message: &ViewerMessage, names: &Names) -> Result<usize, InvalidRequest> {
    message
        .text_field("class")
        .and_then(|name| names.class_index(&name))
        .ok_or(InvalidRequest::Class)
}

fn parse_title(message: &ViewerMessage) -> Result<HexId, InvalidRequest> {
    message
        .text_field("key")
        .as_deref()
        .and_then(HexId::parse)
        .ok_or(InvalidRequest::Title)
}

/// Returns the time left in milliseconds; a value out of range is treated as missing.
fn parse_time_left(message: &ViewerMessage) -> Result<Option<f64>, InvalidRequest> {
    let millis = message
        .number_field("left")
        .map_err(|_| InvalidRequest::TimeLeft)?;
    Ok(millis.filter(|millis| (0.0..=MAX_WAIT_MS).contains(millis)))
}

fn parse_duration_hint(message: &ViewerMessage) -> Result<Option<TimeDelta>, InvalidRequest> {
    let millis = message
        .number_field("hint")
        .map_err(|_| InvalidRequest::DurationHint)?;
    if millis.is_some_and(|millis| !(0.0..=MAX_HINT_MS).contains(&millis)) {
        return Err(InvalidRequest::DurationHint);
    }
    Ok(millis.map(time_delta_from_millis))
}

/// Returns the index of the tenant. The field is ignored if the settings list no tenants; otherwise an unlisted name is
/// invalid.
fn parse_tenant(message: &ViewerMessage, names: &Names) -> Result<Option<usize>, InvalidRequest> {
    if names.tenants.is_empty() {
        return Ok(None);
    }
    let Some(name) = message.text_field("tenant") else {
        return Ok(None);
    };
    names
        .tenant_index(&name)
        .map(Some)
        .ok_or(InvalidRequest::Tenant)
}

/// Parses the pairs of `extras`, as in `home:4;copies:3;top:4`. Unknown names are ignored.
fn parse_extras(
    message: &ViewerMessage,
    parsed: &mut SessionRequest,
) -> Result<(), InvalidRequest> {
    let invalid = InvalidRequest::Extras;
    let extras = message.text_field("extras").ok_or(invalid)?;
    let request = &mut parsed.request;
    for pair in extras.split(';').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or(invalid)?;
        let number = || value.parse::<u64>().map_err(|_| invalid);
        match name {
            "home" => request.first_cell = number()?,
            "copies" => request.replica_cells = number()?,
            "top" => request.highest_rung = number()? as usize,
            "again" => request.is_retry = number()? != 0,
            "viewer" => request.viewer = HexId::parse(value).ok_or(invalid)?.value(),
            "at" => parsed.active_at = Some(parse_server_id(value).ok_or(invalid)?),
            _ => {}
        }
    }
    Ok(())
}

fn check_ranges(request: &Request, settings: &Settings) -> Result<(), InvalidRequest> {
    let is_in_range = request.first_cell < settings.cell_count
        && (1..=settings.cell_count).contains(&request.replica_cells)
        && request.highest_rung < settings.ladder.len().max(1);
    if is_in_range {
        Ok(())
    } else {
        Err(InvalidRequest::Extras)
    }
}

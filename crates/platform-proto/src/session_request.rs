//! A viewer's request, parsed and validated: what the decision module is to weigh has to be sound, whoever sent it.

use crate::endpoint_watch::parse_server_id;
use crate::viewer_message::ViewerMessage;
use crate::{HexId, MAX_MESSAGE_BYTES};
use shalewall::{Request, ServerId, SessionId, Settings, TimeDelta, Timestamp};
use shalewall_director_config::{Names, time_delta_from_millis, title_id};

/// The longest wait and the longest duration hint that are taken for meant.
const MAX_WAIT_MS: f64 = 3_600_000.0;
const MAX_HINT_MS: f64 = 1e9;
/// The head of the set-up that a request becomes is shorter than this.
const MAX_SETUP_HEAD_BYTES: usize = 512;

/// A valid request.
pub(crate) struct SessionRequest {
    pub(crate) title: HexId,
    pub(crate) description: String,
    /// What the module is told, with the session's number still to be given.
    pub(crate) request: Request,
    /// The node where the session is active already: it is transferred from another director.
    pub(crate) active_at: Option<ServerId>,
}

/// The field that makes a request invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum InvalidRequest {
    #[error("class is not one of the settings")]
    Class,
    #[error("key is not 16 hexadecimal digits")]
    Title,
    #[error("left is missing or not a number")]
    TimeLeft,
    #[error("hint is not a number of milliseconds")]
    DurationHint,
    #[error("tenant is not one of the settings")]
    Tenant,
    #[error("extras is missing, malformed or out of range")]
    Extras,
    #[error("the description is missing or too long")]
    Description,
}

/// Parses a `START`. Nothing of an invalid one is kept.
pub(crate) fn parse(
    message: ViewerMessage,
    session: HexId,
    names: &Names,
    settings: &Settings,
    now: Timestamp,
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
        deadline: now + wait,
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

/// Milliseconds; one that is out of range counts as missing.
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

/// Where the settings name no tenants the field says nothing; where they do, one who is none of them has no terms.
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

/// The pairs of `extras`, as in `home:4;copies:3;top:4`. Names that are not known are passed over.
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
    let is_sound = request.first_cell < settings.cell_count
        && (1..=settings.cell_count).contains(&request.replica_cells)
        && request.highest_rung < settings.ladder.len().max(1);
    if is_sound {
        Ok(())
    } else {
        Err(InvalidRequest::Extras)
    }
}

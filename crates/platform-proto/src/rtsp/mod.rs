//! Codec of the media nodes' protocol: RTSP 1.0 as the platform uses it.
//!
//! [`RtspDecoder`] turns a node's bytes into [`RtspMessage`]s; [`encode`] writes what the director sends. Heads are
//! parsed by the HTTP crate, since their fields have the same form.

mod decoder;
pub mod encode;

pub use decoder::RtspDecoder;

use crate::HexId;
use crate::error::NodeProtocolError;
use shalewall::{LoadReport, Notification};
use shalewall_director_config::apply_load_value;
use shalewall_http::head::Fields;

/// `CSeq` of a set-up and its answers.
pub const CSEQ_SETUP: u64 = 1;
/// `CSeq` of the end of an attempt or a session.
pub const CSEQ_TEARDOWN: u64 = 2;
/// `CSeq` of a health check and its answer.
pub const CSEQ_OPTIONS: u64 = 3;

/// Statuses of a node's answers that mean more than success or error.
pub mod status {
    /// The session is active, or the health check passed.
    pub const OK: u16 = 200;
    /// The node is full: the set-up was not executed.
    pub const FULL: u16 = 453;
    /// The set-up never left this side.
    pub const NOT_SENT: u16 = 454;
    /// The set-up broke on its way.
    pub const RESET: u16 = 504;
}

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A request, by its method.
    Request(String),
    /// An answer, by its status.
    Status(u16),
}

/// One message of a media node.
#[derive(Clone, Debug)]
pub struct RtspMessage {
    /// Method or status.
    pub start: StartLine,
    /// What kind of request an answer belongs to.
    pub cseq: Option<u64>,
    /// The session that it is about.
    pub session: Option<HexId>,
    /// All header fields.
    pub fields: Fields,
    /// The content; only a description has to be text.
    pub body: Vec<u8>,
}

impl RtspMessage {
    /// The session's description, as the node made it for that session.
    pub fn into_description(self) -> Result<String, NodeProtocolError> {
        String::from_utf8(self.body)
            .ok()
            .filter(|text| !text.is_empty())
            .ok_or(NodeProtocolError::InvalidDescription)
    }

    /// The cause in `Reason: cause=N`.
    pub fn cause(&self) -> Option<i64> {
        self.fields
            .get("reason")?
            .split([';', ','])
            .find_map(|part| part.trim().strip_prefix("cause="))?
            .parse()
            .ok()
    }

    /// The load report in `P-Report`. A value that is no number, or below 0, leaves its figure out.
    pub fn load_report(&self) -> LoadReport {
        let mut report = LoadReport::default();
        for pair in self.fields.get("p-report").unwrap_or_default().split(';') {
            if let Some((name, value)) = pair.split_once(':') {
                // A value that can't be parsed is left out.
                let _ = apply_load_value(&mut report, name.trim(), value.trim());
            }
        }
        for figure in [
            &mut report.streams,
            &mut report.link_utilization,
            &mut report.uplink_utilization,
        ] {
            *figure = figure.filter(|value| value.is_finite() && *value >= 0.0);
        }
        report
    }

    /// What an `ANNOUNCE` says.
    pub fn notification(&self) -> Option<Notification> {
        let value: f64 = self.fields.get("x-value")?.trim().parse().ok()?;
        if !value.is_finite() || value < 0.0 {
            return None;
        }
        match self.fields.get("p-reason")? {
            "got" => Some(Notification::DeliveredFraction(value)),
            "level" => Some(Notification::CurrentRung(value as usize)),
            "port" => Some(Notification::LinkUtilization(value)),
            "spine" => Some(Notification::UplinkUtilization(value)),
            _ => None,
        }
    }
}

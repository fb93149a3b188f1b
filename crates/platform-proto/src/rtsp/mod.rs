//! Codec of the media nodes' protocol: RTSP 1.0 as the platform uses it.
//!
//! [`RtspDecoder`] decodes a node's bytes into [`RtspMessage`]s; [`encode`] encodes what the director sends. Heads are
//! parsed by the HTTP crate, since the header fields have the same syntax.

mod decoder;
pub mod encode;
mod start_line;

pub use decoder::RtspDecoder;

use crate::HexId;
use crate::error::NodeProtocolError;
use shalewall::{LoadReport, Notification};
use shalewall_director_config::apply_load_value;
use shalewall_http::head::Fields;

/// `CSeq` of a set-up and of its answers.
pub const CSEQ_SETUP: u64 = 1;
/// `CSeq` of a cancellation or release.
pub const CSEQ_TEARDOWN: u64 = 2;
/// `CSeq` of a health check and of its answer.
pub const CSEQ_OPTIONS: u64 = 3;

/// Response statuses of a node with a specific meaning beyond success or error.
pub mod status {
    /// The session is active, or the health check succeeded.
    pub const OK: u16 = 200;
    /// The node has no capacity: the set-up was not executed.
    pub const FULL: u16 = 453;
    /// The set-up was not sent to the node.
    pub const NOT_SENT: u16 = 454;
    /// The connection was reset during the set-up.
    pub const RESET: u16 = 504;
}

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A request with its method.
    Request(String),
    /// A response with its status.
    Status(u16),
}

/// One message of a media node.
#[derive(Clone, Debug)]
pub struct RtspMessage {
    /// Method or status.
    pub start: StartLine,
    /// Sequence number, which tells the kind of request that a response belongs to.
    pub cseq: Option<u64>,
    /// Id of the session.
    pub session: Option<HexId>,
    /// All header fields.
    pub fields: Fields,
    /// The content; it has to be UTF-8 only if it is a description.
    pub body: Vec<u8>,
}

impl RtspMessage {
    /// Returns the session's description, which the node made for that session.
    pub fn into_description(self) -> Result<String, NodeProtocolError> {
        String::from_utf8(self.body)
            .ok()
            .filter(|text| !text.is_empty())
            .ok_or(NodeProtocolError::InvalidDescription)
    }

    /// Returns the cause in `Reason: cause=N`.
    pub fn cause(&self) -> Option<i64> {
        self.fields
            .get("reason")?
            .split([';', ','])
            .find_map(|part| part.trim().strip_prefix("cause="))?
            .parse()
            .ok()
    }

    /// Returns the load report in `P-Report`. Values that are not numbers, or are negative, are left out.
    pub fn load_report(&self) -> LoadReport {
        let mut report = LoadReport::default();
        for pair in self.fields.get("p-report").unwrap_or_default().split(';') {
            if let Some((name, value)) = pair.split_once(':') {
                // Values that can't be parsed are left out.
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

    /// Returns the notification of an `ANNOUNCE`.
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

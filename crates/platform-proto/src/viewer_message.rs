//! Codec of the viewers' protocol: one JSON object per line.

pub use crate::verb::Verb;

use crate::error::ViewerProtocolError;
use crate::{HexId, MAX_MESSAGE_BYTES, release_spare_capacity};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Causes for the end of a request or a session, as sent on the wire.
pub mod cause {
    /// Normal end; before the answer, the viewer withdraws its request.
    pub const NORMAL: i64 = 16;
    /// The session was moved, or its viewer ended it.
    pub const CANCELLED: i64 = 31;
    /// The request was rejected before execution and is safe to retry.
    pub const REJECTED: i64 = 34;
    /// The request failed; after the answer, the session was interrupted.
    pub const FAILED: i64 = 41;
    /// The request is invalid.
    pub const INVALID: i64 = 95;
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewerMessage {
    /// Type of the message.
    pub verb: Verb,
    /// The session's id: 16 hexadecimal digits.
    #[serde(rename = "tag")]
    pub session: String,
    /// Fields by name, each a string or a number.
    #[serde(default, rename = "opts")]
    pub fields: Map<String, Value>,
    /// Why a request or a session ends: a constant of [`cause`].
    #[serde(default, rename = "rc", skip_serializing_if = "Option::is_none")]
    pub cause: Option<i64>,
    /// Description of the session.
    #[serde(default, rename = "blob", skip_serializing_if = "Option::is_none")]
    pub description: Option<String>,
}

/// A numeric field has a value that is not a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the field is not a number")]
pub struct NotANumber;

impl ViewerMessage {
    /// A message without fields.
    pub fn new(verb: Verb, session: HexId) -> ViewerMessage {
        ViewerMessage {
            verb,
            session: session.to_string(),
            fields: Map::new(),
            cause: None,
            description: None,
        }
    }

    /// A message that ends a request or a session.
    pub fn finish(session: HexId, cause: i64) -> ViewerMessage {
        ViewerMessage {
            cause: Some(cause),
            ..ViewerMessage::new(Verb::Finish, session)
        }
    }

    /// Returns a field as text, whether it was sent as a string or as a number.
    pub fn text_field(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }

    /// Returns a field as a finite number, whether it was sent as a string or as a number; `None` if it is absent.
    pub fn number_field(&self, name: &str) -> Result<Option<f64>, NotANumber> {
        let Some(value) = self.fields.get(name) else {
            return Ok(None);
        };
        let number = match value {
            Value::Number(number) => number.as_f64(),
            Value::String(text) => text.parse().ok(),
            _ => None,
        };
        number
            .filter(|number| number.is_finite())
            .map(Some)
            .ok_or(NotANumber)
    }

    /// Encodes the message as a line, including the line feed.
    pub fn encode(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// Decodes messages from a stream of bytes.
#[derive(Debug, Default)]
pub struct LineDecoder {
    buffer: Vec<u8>,
    /// Number of leading bytes without a line feed, which are not searched again.
    searched_bytes: usize,
}

impl LineDecoder {
    /// Adds bytes that have been received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer holds part of a message.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of bytes that are not decoded.
    pub fn unfinished_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Decodes the next message; returns `None` until it is complete.
    pub fn message(&mut self) -> Result<Option<ViewerMessage>, ViewerProtocolError> {
        let line_feed = self.buffer[self.searched_bytes..]
            .iter()
            .position(|byte| *byte == b'\n');
        let Some(offset) = line_feed else {
            self.searched_bytes = self.buffer.len();
            if self.buffer.len() >= MAX_MESSAGE_BYTES {
                return Err(ViewerProtocolError::LineTooLong);
            }
            return Ok(None);
        };
        let end = self.searched_bytes + offset;
        if end >= MAX_MESSAGE_BYTES {
            return Err(ViewerProtocolError::LineTooLong);
        }
        let message = serde_json::from_slice(&self.buffer[..end]);
        self.buffer.drain(..=end);
        self.searched_bytes = 0;
        release_spare_capacity(&mut self.buffer);
        message
            .map(Some)
            .map_err(|_| ViewerProtocolError::InvalidMessage)
    }
}

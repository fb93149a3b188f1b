//! Messages to and from viewers: one JSON object a line.

use crate::{DecodeError, HexId, MAX_MESSAGE_BYTES, trim};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Causes of a release.
pub mod cause {
    /// The ordinary end; before the answer: the set-up is given up.
    pub const NORMAL: i64 = 16;
    /// Moved, or ended by its viewer.
    pub const CANCELLED: i64 = 31;
    /// Refused; trying again is harmless.
    pub const REFUSED: i64 = 34;
    /// Failed; after the answer: cut.
    pub const FAILED: i64 = 41;
    /// What was asked makes no sense here.
    pub const INVALID: i64 = 95;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Verb {
    Start,
    Pending,
    Started,
    Finish,
    Finished,
    Echo,
    Echoed,
    Notice,
    Rate,
    Move,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub verb: Verb,
    pub tag: String,
    #[serde(default)]
    pub opts: Map<String, Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rc: Option<i64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub blob: Option<String>,
}

/// A field that has to be a number is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoNumber;

impl Message {
    pub fn new(verb: Verb, tag: HexId) -> Message {
        Message {
            verb,
            tag: tag.to_string(),
            opts: Map::new(),
            rc: None,
            blob: None,
        }
    }

    pub fn finish(tag: HexId, rc: i64) -> Message {
        Message {
            rc: Some(rc),
            ..Message::new(Verb::Finish, tag)
        }
    }

    /// A field as text, whether it came as a string or as a number.
    pub fn text(&self, name: &str) -> Option<String> {
        match self.opts.get(name)? {
            Value::String(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }

    /// A number, of either form.
    pub fn number(&self, name: &str) -> Result<Option<f64>, NoNumber> {
        let Some(value) = self.opts.get(name) else {
            return Ok(None);
        };
        let number = match value {
            Value::Number(n) => n.as_f64(),
            Value::String(text) => text.parse().ok(),
            _ => None,
        };
        number.filter(|n| n.is_finite()).map(Some).ok_or(NoNumber)
    }

    /// The message with its line feed.
    pub fn write(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// Reads messages from bytes as they come. Looks at no byte twice.
#[derive(Debug, Default)]
pub struct LineDecoder {
    buf: Vec<u8>,
    seen: usize,
}

impl LineDecoder {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Part of a message has come and the rest has not.
    pub fn partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// The next whole message.
    pub fn message(&mut self) -> Result<Option<Message>, DecodeError> {
        let Some(end) = self.buf[self.seen..]
            .iter()
            .position(|b| *b == b'\n')
            .map(|i| self.seen + i)
        else {
            self.seen = self.buf.len();
            if self.buf.len() >= MAX_MESSAGE_BYTES {
                return Err(DecodeError("a line is too long"));
            }
            return Ok(None);
        };
        if end >= MAX_MESSAGE_BYTES {
            return Err(DecodeError("a line is too long"));
        }
        let message = serde_json::from_slice(&self.buf[..end]);
        self.buf.drain(..=end);
        self.seen = 0;
        trim(&mut self.buf);
        message
            .map(Some)
            .map_err(|_| DecodeError("a line is not a message"))
    }
}

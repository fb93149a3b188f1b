//! Errors: one enum per peer and per operator input. Each variant is one violated rule.

use crate::verb::Verb;
use crate::{MAX_FRAME_BYTES, MAX_MESSAGE_BYTES};
use thiserror::Error;

/// A viewer violated its protocol. No more is read from its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ViewerProtocolError {
    /// A line exceeds the maximum message length.
    #[error("a line is longer than {MAX_MESSAGE_BYTES} bytes")]
    LineTooLong,
    /// A long line is unfinished, and the memory for unfinished lines is exhausted.
    #[error("a long line is unfinished while the memory for unfinished lines is exhausted")]
    UnfinishedLine,
    /// A line is not a JSON object with the fields of a message.
    #[error("a line is not a JSON object with the fields of a message")]
    InvalidMessage,
    /// The session id is not 16 hexadecimal digits.
    #[error("a tag is not 16 hexadecimal digits")]
    InvalidSessionId,
    /// Only a director may send this type of message.
    #[error("verb {0:?} is not allowed from a viewer")]
    UnexpectedVerb(Verb),
}

/// A media node violated its protocol. No more is read from its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NodeProtocolError {
    /// The head exceeds the maximum message length.
    #[error("a head is longer than {MAX_MESSAGE_BYTES} bytes")]
    HeadTooLong,
    /// Head and content together exceed the maximum message length.
    #[error("a message is longer than {MAX_MESSAGE_BYTES} bytes")]
    MessageTooLong,
    /// The first line is neither a request line nor a status line.
    #[error("the first line is neither a request line nor a status line")]
    InvalidStartLine,
    /// The content of a message contains the start line of another one: its length is wrong.
    #[error("the content of a message contains another message")]
    MessageInContent,
    /// A header field can't be parsed.
    #[error("a header field is malformed")]
    MalformedField,
    /// A header field that is allowed once occurs more than once.
    #[error("header field {0} occurs more than once")]
    RepeatedField(&'static str),
    /// A numeric header field is not a whole number.
    #[error("{0} is not a whole number")]
    InvalidNumber(&'static str),
    /// The message has no `Content-Length`, which is mandatory.
    #[error("Content-Length is missing")]
    MissingContentLength,
    /// The `Session` field is not 16 hexadecimal digits.
    #[error("Session is not 16 hexadecimal digits")]
    InvalidSessionId,
    /// The answer to a set-up has no valid description.
    #[error("a description is empty or not text")]
    InvalidDescription,
}

/// The endpoint list service violated its protocol. The watch has to reconnect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EndpointWatchError {
    /// The frame length is less than the frame's head or more than the maximum.
    #[error("frame length {0} is outside the range from 9 to {MAX_FRAME_BYTES} bytes")]
    InvalidFrameLength(usize),
    /// The frame kind is not 0, 1 or 2.
    #[error("unknown frame kind {0}")]
    UnknownFrameKind(u8),
    /// The payload length is not a multiple of the record length.
    #[error("the frame payload ends within a record")]
    PartialRecord,
    /// The node state is not 0, 1 or 2.
    #[error("unknown node state {0}")]
    UnknownNodeState(u8),
    /// The sequence number is higher than the next expected one.
    #[error("events are missing: received sequence number {received}, expected {expected}")]
    MissedEvents {
        /// The highest sequence number without a gap.
        expected: u64,
        /// The received sequence number.
        received: u64,
    },
}

/// The configuration file can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The file is not valid JSON, or a field is missing or invalid.
    #[error("{path}: {reason}")]
    InvalidField {
        /// Path of the field within the file.
        path: String,
        /// The parser's error message.
        reason: String,
    },
    /// The seed is not 16 hexadecimal digits.
    #[error("seed: is not 16 hexadecimal digits")]
    InvalidSeed,
}

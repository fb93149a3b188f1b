//! Errors: one enum for each peer and for each input of the operator. Each variant is a rule of the protocol that was
//! broken.

use crate::verb::Verb;
use crate::{MAX_FRAME_BYTES, MAX_MESSAGE_BYTES};
use thiserror::Error;

/// A viewer broke a rule of its protocol. Its connection can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ViewerProtocolError {
    /// No line feed within the longest message.
    #[error("a line is longer than {MAX_MESSAGE_BYTES} bytes")]
    LineTooLong,
    /// A line is not a JSON object with the fields of a message.
    #[error("a line is not a message")]
    InvalidMessage,
    /// A session is not named by 16 hexadecimal digits.
    #[error("a tag is not 16 hexadecimal digits")]
    InvalidSessionId,
    /// Only a director sends that message.
    #[error("a viewer does not send {0:?}")]
    UnexpectedVerb(Verb),
}

/// A media node broke a rule of its protocol. Its connection can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NodeProtocolError {
    /// The head has no end within the longest message.
    #[error("a head is longer than {MAX_MESSAGE_BYTES} bytes")]
    HeadTooLong,
    /// Head and content together are too long.
    #[error("a message is longer than {MAX_MESSAGE_BYTES} bytes")]
    MessageTooLong,
    /// What should be a request or status line is neither.
    #[error("not the first line of a message")]
    InvalidStartLine,
    /// A header field has no valid form.
    #[error("a field is malformed")]
    MalformedField,
    /// A header field that may come once comes again.
    #[error("{0} comes twice")]
    RepeatedField(&'static str),
    /// A header field has to be a whole number.
    #[error("{0} is not a whole number")]
    InvalidNumber(&'static str),
    /// Every message carries `Content-Length`.
    #[error("Content-Length is missing")]
    MissingContentLength,
    /// The session is not 16 hexadecimal digits.
    #[error("Session is not 16 hexadecimal digits")]
    InvalidSessionId,
    /// The answer to a set-up brings no description.
    #[error("a description is empty or not text")]
    InvalidDescription,
}

/// The endpoint list service broke a rule of its protocol. It is to be asked again on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EndpointWatchError {
    /// A frame is shorter than its head or longer than any list.
    #[error("a frame of {0} bytes; from 9 to {MAX_FRAME_BYTES} are possible")]
    InvalidFrameLength(usize),
    /// The kind is none of 0, 1 and 2.
    #[error("a frame of the unknown kind {0}")]
    UnknownFrameKind(u8),
    /// The payload is no multiple of a record's length.
    #[error("a frame ends within a record")]
    PartialRecord,
    /// The state is none of 0, 1 and 2.
    #[error("a node of the unknown state {0}")]
    UnknownNodeState(u8),
    /// The event's number is above the one that has to come next.
    #[error("events were left out: number {received} came, {expected} was expected")]
    MissedEvents {
        /// The highest number that leaves nothing out.
        expected: u64,
        /// The number that came.
        received: u64,
    },
}

/// The configuration file can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// It is no JSON, or a field is missing or has the wrong form.
    #[error("{path}: {reason}")]
    InvalidField {
        /// Path of the field within the file.
        path: String,
        /// What the parser says of it.
        reason: String,
    },
    /// The seed has the wrong form.
    #[error("seed: is not 16 hexadecimal digits")]
    InvalidSeed,
}

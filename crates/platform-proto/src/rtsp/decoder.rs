//! Decodes a node's byte stream into messages, and detects early that a stream is not RTSP.

use super::{RtspMessage, StartLine};
use crate::error::NodeProtocolError;
use crate::{HexId, MAX_MESSAGE_BYTES, release_spare_capacity};
use shalewall_http::Limits;
use shalewall_http::head::{Fields, HeadParser, parse_fields};

/// Maximum length of a start line.
const MAX_START_LINE_BYTES: usize = 512;
/// Maximum length of the first word of a start line: a method, or the protocol's name.
const MAX_FIRST_WORD_BYTES: usize = 24;

/// Decodes messages from a stream of bytes.
#[derive(Debug, Default)]
pub struct RtspDecoder {
    buffer: Vec<u8>,
    head_parser: HeadParser,
    /// A decoded head whose content is not complete yet.
    pending: Option<PendingMessage>,
}

#[derive(Debug)]
struct PendingMessage {
    message: RtspMessage,
    head_bytes: usize,
    content_bytes: usize,
}

impl RtspDecoder {
    /// Adds bytes that have been received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer holds part of a message.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Decodes the next message; returns `None` until it is complete.
    pub fn message(&mut self) -> Result<Option<RtspMessage>, NodeProtocolError> {
        if self.pending.is_none() {
            self.pending = self.decode_head()?;
        }
        let Some(pending) = self.pending.take() else {
            return Ok(None);
        };
        let end = pending.head_bytes + pending.content_bytes;
        if self.buffer.len() < end {
            self.pending = Some(pending);
            return Ok(None);
        }
        let mut message = pending.message;
        message.body = self.buffer[pending.head_bytes..end].to_vec();
        self.buffer.drain(..end);
        release_spare_capacity(&mut self.buffer);
        // If the content length was wrong, the bytes that follow can't begin a message, and the message before them
        // can't be trusted either.
        self.check_start()?;
        Ok(Some(message))
    }

    fn decode_head(&mut self) -> Result<Option<PendingMessage>, NodeProtocolError> {
        self.check_start()?;
        let limits = Limits {
            head: MAX_MESSAGE_BYTES,
            ..Limits::default()
        };
        let found = self
            .head_parser
            .find_end(&self.buffer, &limits)
            .map_err(|_| NodeProtocolError::HeadTooLong)?;
        let Some(head_bytes) = found else {
            return Ok(None);
        };
        self.head_parser = HeadParser::default();
        let (message, content_bytes) = parse_head(&self.buffer[..head_bytes], &limits)?;
        if head_bytes + content_bytes > MAX_MESSAGE_BYTES {
            return Err(NodeProtocolError::MessageTooLong);
        }
        Ok(Some(PendingMessage {
            message,
            head_bytes,
            content_bytes,
        }))
    }

    /// Checks that the buffer can begin a message, so that garbage is detected without waiting for the end of a head.
    fn check_start(&self) -> Result<(), NodeProtocolError> {
        let line = first_line(&self.buffer);
        let is_text = line.iter().all(|byte| matches!(byte, b' '..=b'~' | b'\r'));
        if line.len() > MAX_START_LINE_BYTES || !is_text {
            return Err(NodeProtocolError::InvalidStartLine);
        }
        let word = line
            .split(|byte| matches!(byte, b' ' | b'/'))
            .next()
            .unwrap_or_default();
        let is_first_word = word.len() <= MAX_FIRST_WORD_BYTES
            && word
                .iter()
                .all(|byte| byte.is_ascii_uppercase() || *byte == b'_');
        // An empty first line is invalid: a content length that is too small leaves the line feed of a description
        // here.
        let is_empty_line = word.is_empty() && !self.buffer.is_empty();
        if !is_first_word || is_empty_line {
            return Err(NodeProtocolError::InvalidStartLine);
        }
        Ok(())
    }
}

fn first_line(bytes: &[u8]) -> &[u8] {
    bytes
        .split(|byte| *byte == b'\n')
        .next()
        .unwrap_or_default()
}

/// Parses a head; returns the message without its content, and the content length.
fn parse_head(bytes: &[u8], limits: &Limits) -> Result<(RtspMessage, usize), NodeProtocolError> {
    let line = first_line(bytes);
    let start = parse_start_line(line)?;
    let fields = parse_fields(&bytes[line.len() + 1..], limits)
        .map_err(|_| NodeProtocolError::MalformedField)?;
    let length = number(&fields, "Content-Length")?;
    let length = length.ok_or(NodeProtocolError::MissingContentLength)?;
    let cseq = number(&fields, "CSeq")?;
    let session = session_id(&fields)?;
    // Capped at half of the range, so that adding the head's length can't overflow.
    let content_bytes = usize::try_from(length)
        .unwrap_or(usize::MAX / 2)
        .min(usize::MAX / 2);
    let message = RtspMessage {
        start,
        cseq,
        session,
        fields,
        body: Vec::new(),
    };
    Ok((message, content_bytes))
}

fn parse_start_line(line: &[u8]) -> Result<StartLine, NodeProtocolError> {
    let invalid = NodeProtocolError::InvalidStartLine;
    let text = line
        .strip_suffix(b"\r")
        .and_then(|line| std::str::from_utf8(line).ok())
        .ok_or(invalid)?;
    let mut words = text.splitn(3, ' ');
    match (words.next(), words.next(), words.next()) {
        (Some("RTSP/1.0"), Some(status), _) => {
            let status: u16 = status.parse().map_err(|_| invalid)?;
            if !(100..600).contains(&status) {
                return Err(invalid);
            }
            Ok(StartLine::Status(status))
        }
        (Some(method), Some(_), Some("RTSP/1.0")) => Ok(StartLine::Request(method.to_string())),
        _ => Err(invalid),
    }
}

/// Returns the value of a field that may occur only once.
fn single<'a>(
    fields: &'a Fields,
    name: &'static str,
) -> Result<Option<&'a [u8]>, NodeProtocolError> {
    let mut values = fields.all(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(NodeProtocolError::RepeatedField(name));
    }
    Ok(first)
}

fn number(fields: &Fields, name: &'static str) -> Result<Option<u64>, NodeProtocolError> {
    let Some(value) = single(fields, name)? else {
        return Ok(None);
    };
    std::str::from_utf8(value)
        .ok()
        .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|digits| digits.parse().ok())
        .map(Some)
        .ok_or(NodeProtocolError::InvalidNumber(name))
}

fn session_id(fields: &Fields) -> Result<Option<HexId>, NodeProtocolError> {
    let Some(value) = single(fields, "Session")? else {
        return Ok(None);
    };
    std::str::from_utf8(value)
        .ok()
        .and_then(HexId::parse)
        .map(Some)
        .ok_or(NodeProtocolError::InvalidSessionId)
}

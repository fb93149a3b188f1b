//! Decodes a node's byte stream into messages, and detects early that a stream is not RTSP.

use super::{RtspMessage, start_line};
use crate::error::NodeProtocolError;
use crate::{HexId, MAX_MESSAGE_BYTES, release_spare_capacity};
use shalewall_http::Limits;
use shalewall_http::head::{Fields, HeadParser, parse_fields};

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
    /// Whether the content length is accepted although nothing that follows confirms it.
    is_length_accepted: bool,
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

    /// Whether the next message has as much content as it declares, but what was received so far does not show whether
    /// its content length is right.
    pub fn has_unverified_message(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| pending.is_complete(&self.buffer))
    }

    /// Accepts the content length of an unverified message: nothing more is expected to be received soon.
    pub fn accept_unverified_message(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.is_length_accepted = pending.is_complete(&self.buffer);
        }
    }

    /// Decodes the next message; returns `None` until it is complete and its content length verified or accepted.
    pub fn message(&mut self) -> Result<Option<RtspMessage>, NodeProtocolError> {
        if self.pending.is_none() {
            self.pending = self.decode_head()?;
        }
        let Some(pending) = self.pending.take() else {
            return Ok(None);
        };
        if !pending.is_complete(&self.buffer) {
            self.pending = Some(pending);
            return Ok(None);
        }
        let (content, following) =
            self.buffer[pending.head_bytes..].split_at(pending.content_bytes);
        let is_verified = verify_content_length(content, following)?;
        if !is_verified && !pending.is_length_accepted {
            self.pending = Some(pending);
            return Ok(None);
        }
        let mut message = pending.message;
        message.body = content.to_vec();
        self.buffer
            .drain(..pending.head_bytes + pending.content_bytes);
        release_spare_capacity(&mut self.buffer);
        Ok(Some(message))
    }

    fn decode_head(&mut self) -> Result<Option<PendingMessage>, NodeProtocolError> {
        // Checked before the head is complete, so that garbage is detected without waiting for its end.
        start_line::check_beginning(&self.buffer)?;
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
            is_length_accepted: false,
        }))
    }
}

impl PendingMessage {
    fn is_complete(&self, buffer: &[u8]) -> bool {
        buffer.len() >= self.head_bytes + self.content_bytes
    }
}

/// Checks the content length of a message against what it separates: if it was too small, the rest of the content
/// follows, which can't begin a message; if it was too large, the content includes the beginning of the next message, or
/// all of it. Such a message can't be trusted.
///
/// Returns whether the length is verified: by a start line that follows, or by content of whole lines, since a wrong
/// length usually cuts off the last line. Content that is not text is no description, and need not be verified.
fn verify_content_length(content: &[u8], following: &[u8]) -> Result<bool, NodeProtocolError> {
    if start_line::is_in_content(content) {
        return Err(NodeProtocolError::MessageInContent);
    }
    start_line::check_beginning(following)?;
    let has_whole_lines = content.is_empty() || content.ends_with(b"\n");
    let is_text = std::str::from_utf8(content).is_ok();
    Ok(has_whole_lines || !is_text || following.contains(&b'\n'))
}

/// Parses a head; returns the message without its content, and the content length.
fn parse_head(bytes: &[u8], limits: &Limits) -> Result<(RtspMessage, usize), NodeProtocolError> {
    let line = start_line::first_line(bytes);
    let start = start_line::parse(line)?;
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

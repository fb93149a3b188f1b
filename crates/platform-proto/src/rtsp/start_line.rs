//! Start lines: parsing complete ones, and recognizing the beginning of one, or one within other text.

use super::StartLine;
use crate::error::NodeProtocolError;

/// Maximum length of a start line, in bytes.
const MAX_START_LINE_BYTES: usize = 512;
/// The protocol's version, which begins a status line and ends a request line.
const VERSION: &str = "RTSP/1.0";
/// The methods of RTSP 1.0 (RFC 2326). None of them ends with another, so that a truncated one is never valid.
const METHODS: [&str; 11] = [
    "ANNOUNCE",
    "DESCRIBE",
    "GET_PARAMETER",
    "OPTIONS",
    "PAUSE",
    "PLAY",
    "RECORD",
    "REDIRECT",
    "SETUP",
    "SET_PARAMETER",
    "TEARDOWN",
];
/// How the address in a request line begins.
const ADDRESS_SCHEME: &str = "rtsp://";
/// Number of digits of a status.
const STATUS_DIGITS: usize = 3;

/// Returns the first line, without its line feed, or all bytes if it is not complete.
pub(super) fn first_line(bytes: &[u8]) -> &[u8] {
    bytes
        .split(|byte| *byte == b'\n')
        .next()
        .unwrap_or_default()
}

/// Parses a complete line, without its line feed.
pub(super) fn parse(line: &[u8]) -> Result<StartLine, NodeProtocolError> {
    let invalid = NodeProtocolError::InvalidStartLine;
    let text = line
        .strip_suffix(b"\r")
        .and_then(|line| std::str::from_utf8(line).ok())
        .ok_or(invalid)?;
    let mut words = text.splitn(3, ' ');
    match (words.next(), words.next(), words.next()) {
        (Some(VERSION), Some(status), _) => {
            let status: u16 = status.parse().map_err(|_| invalid)?;
            if !(100..600).contains(&status) {
                return Err(invalid);
            }
            Ok(StartLine::Status(status))
        }
        (Some(method), Some(_), Some(VERSION)) if METHODS.contains(&method) => {
            Ok(StartLine::Request(method.to_string()))
        }
        _ => Err(invalid),
    }
}

/// Checks that bytes begin with a start line, or, if their first line is not complete, that they may do so.
pub(super) fn check_beginning(bytes: &[u8]) -> Result<(), NodeProtocolError> {
    let line = first_line(bytes);
    let is_complete = line.len() < bytes.len();
    let is_text = line.iter().all(|byte| matches!(byte, b' '..=b'~' | b'\r'));
    let may_be_valid = line.len() <= MAX_START_LINE_BYTES && is_text;
    if !may_be_valid || (!is_complete && !may_begin_start_line(line)) {
        return Err(NodeProtocolError::InvalidStartLine);
    }
    if is_complete {
        parse(line)?;
    }
    Ok(())
}

/// Whether an incomplete line may become a start line.
fn may_begin_start_line(line: &[u8]) -> bool {
    std::iter::once(&VERSION).chain(&METHODS).any(|word| {
        let word = word.as_bytes();
        match line.get(word.len()) {
            None => word.starts_with(line),
            Some(next) => line.starts_with(word) && *next == b' ',
        }
    })
}

/// Whether a line of the content ends with a start line. Such content is not what its sender meant: its length was too
/// large, so that it includes the next message.
pub(super) fn is_in_content(content: &[u8]) -> bool {
    let mut lines = content.split(|byte| *byte == b'\n');
    lines.any(|line| {
        let line = String::from_utf8_lossy(line);
        let line = line.trim_end_matches('\r');
        ends_with_request_line(line) || ends_with_status_line(line)
    })
}

fn ends_with_request_line(line: &str) -> bool {
    let before_version = line
        .strip_suffix(VERSION)
        .and_then(|rest| rest.strip_suffix(' '));
    before_version
        .and_then(|rest| rest.rsplit_once(' '))
        .is_some_and(|(method, address)| {
            address.starts_with(ADDRESS_SCHEME) && METHODS.iter().any(|m| method.ends_with(m))
        })
}

fn ends_with_status_line(line: &str) -> bool {
    line.split_once(VERSION)
        .and_then(|(_, rest)| rest.strip_prefix(' '))
        .and_then(|rest| rest.split(' ').next())
        .is_some_and(|status| {
            status.len() == STATUS_DIGITS && status.bytes().all(|digit| digit.is_ascii_digit())
        })
}

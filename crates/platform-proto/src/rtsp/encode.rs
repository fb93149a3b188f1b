//! Messages that a director sends to media nodes.

use super::{CSEQ_OPTIONS, CSEQ_SETUP, CSEQ_TEARDOWN};
use crate::HexId;

/// `CSeq` of a new rung, which wants no answer: any that no other message has.
const CSEQ_SET_PARAMETER: u64 = 4;

/// A set-up.
pub struct SetUp<'a> {
    /// The session's id.
    pub session: HexId,
    /// What is to be played.
    pub title: HexId,
    /// Name of the class, as in the settings.
    pub class: &'a str,
    /// How long the director waits for the answer.
    pub time_left_ms: i64,
    /// The rung to begin with, from 0.
    pub rung: usize,
    /// The viewer's description, unchanged.
    pub description: &'a str,
}

impl SetUp<'_> {
    /// The message's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let SetUp {
            session,
            title,
            class,
            time_left_ms,
            rung,
            description,
        } = self;
        format!(
            "SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: {CSEQ_SETUP}\r\nSession: {session}\r\nP-Kind: {class}\r\n\
             P-Time-Left: {time_left_ms}\r\nX-Rung: {rung}\r\nContent-Length: {}\r\n\r\n{description}",
            description.len()
        )
        .into_bytes()
    }
}

/// Cancels a set-up that has no answer.
pub fn cancel_attempt(session: HexId) -> Vec<u8> {
    request("TEARDOWN", session.as_str(), CSEQ_TEARDOWN, session, "")
}

/// Releases a session.
pub fn release(session: HexId, cause: i64) -> Vec<u8> {
    let reason = format!("Reason: cause={cause}\r\n");
    request(
        "TEARDOWN",
        session.as_str(),
        CSEQ_TEARDOWN,
        session,
        &reason,
    )
}

/// Sets the rung of an active session.
pub fn set_rung(session: HexId, rung: usize) -> Vec<u8> {
    let field = format!("X-Rung: {rung}\r\n");
    request(
        "SET_PARAMETER",
        session.as_str(),
        CSEQ_SET_PARAMETER,
        session,
        &field,
    )
}

/// Asks for a load report, which is a health check as well.
pub fn health_check(id: HexId) -> Vec<u8> {
    request("OPTIONS", "load", CSEQ_OPTIONS, id, "")
}

/// Confirms the release of a session.
pub fn release_response(session: HexId) -> Vec<u8> {
    format!(
        "RTSP/1.0 200 OK\r\nCSeq: {CSEQ_TEARDOWN}\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// A request without content; `field` is one more header line, or empty.
fn request(method: &str, path: &str, cseq: u64, session: HexId, field: &str) -> Vec<u8> {
    format!(
        "{method} rtsp://media/{path} RTSP/1.0\r\nCSeq: {cseq}\r\nSession: {session}\r\n{field}Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

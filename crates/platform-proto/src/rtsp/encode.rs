//! Messages that a director sends to media nodes.

use super::{CSEQ_OPTIONS, CSEQ_SETUP, CSEQ_TEARDOWN};
use crate::HexId;

/// `CSeq` of a rung change, which expects no answer; distinct from the `CSeq` of every other message.
const CSEQ_SET_PARAMETER: u64 = 4;

/// A set-up.
pub struct SetUp<'a> {
    /// The session's id.
    pub session: HexId,
    /// Id of the requested title.
    pub title: HexId,
    /// Name of the class, as in the settings.
    pub class: &'a str,
    /// Time, in milliseconds, for which the director waits for the answer.
    pub time_left_ms: i64,
    /// Index of the initial rung.
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

/// A request that cancels a set-up without an answer.
pub fn cancel_attempt(session: HexId) -> Vec<u8> {
    request("TEARDOWN", session.as_str(), CSEQ_TEARDOWN, session, "")
}

/// A request that releases a session.
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

/// A request that sets the rung of an active session.
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

/// A request for a load report, which also serves as a health check.
pub fn health_check(id: HexId) -> Vec<u8> {
    request("OPTIONS", "load", CSEQ_OPTIONS, id, "")
}

/// The response to a node's release of a session.
pub fn release_response(session: HexId) -> Vec<u8> {
    format!(
        "RTSP/1.0 200 OK\r\nCSeq: {CSEQ_TEARDOWN}\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Encodes a request without content; `field` is one more header line, or empty.
fn request(method: &str, path: &str, cseq: u64, session: HexId, field: &str) -> Vec<u8> {
    format!(
        "{method} rtsp://media/{path} RTSP/1.0\r\nCSeq: {cseq}\r\nSession: {session}\r\n{field}Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

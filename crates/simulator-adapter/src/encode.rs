//! Encodes the actions of a director as lines of the protocol.

use shalewall::{Action, TimeDelta};
use std::fmt::{self, Write};

const ABSENT: &str = "-";
const ALL_PEERS: &str = "*";
const MICROS_PER_MILLI: f64 = 1000.0;

/// Appends the line for an action of the named director.
pub(crate) fn write_action(director: &str, action: &Action, out: &mut String) {
    let written = try_write_action(director, action, out);
    debug_assert!(written.is_ok(), "writing to a string does not fail");
}

fn try_write_action(director: &str, action: &Action, out: &mut String) -> fmt::Result {
    match action {
        Action::StartAttempt {
            session,
            server,
            attempt_timeout,
        } => {
            let timeout = optional_millis(*attempt_timeout);
            writeln!(
                out,
                "TRANSMIT {director} {} {} {timeout}",
                session.0, server.0
            )
        }
        Action::SetRung { session, rung } => {
            writeln!(out, "STEP_TO {director} {} {rung}", session.0)
        }
        Action::Reject {
            session,
            retry_after,
        } => {
            let advice = optional_millis(*retry_after);
            writeln!(out, "OVERLOAD_REPLY {director} {} {advice}", session.0)
        }
        Action::Fail { session } => writeln!(out, "END_FAILED {director} {}", session.0),
        Action::CancelAttempt { session, attempt } => {
            writeln!(out, "RECALL {director} {} {attempt}", session.0)
        }
        Action::Redirect { session } => writeln!(out, "GO_AWAY {director} {}", session.0),
        // Never occurs: the simulator does not request migrations, and moves sessions by ending them.
        Action::Migrate { .. } => Ok(()),
        Action::SetTimer { after, token } => {
            writeln!(out, "SLEEP {director} {} {token}", millis(*after))
        }
        Action::CheckHealth { server } => writeln!(out, "PING {director} {}", server.0),
        Action::PollEndpoints => writeln!(out, "FETCH {director}"),
        Action::WatchEndpoints(is_on) => {
            writeln!(out, "STREAM_CHANGES {director} {}", u8::from(*is_on))
        }
        Action::CloseIdleConnections { server } => {
            writeln!(out, "FREE_LINKS {director} {}", server.0)
        }
        Action::SendToPeer { to, body } => {
            let to = to.map_or(ALL_PEERS.to_string(), |peer| peer.to_string());
            writeln!(out, "WRITE_PEER {director} {to} {}", hex_digits(body))
        }
        Action::Log(text) => {
            let text = text.replace(['\n', '\r'], " ");
            writeln!(out, "RECORD {director} {text}")
        }
    }
}

fn millis(delta: TimeDelta) -> f64 {
    delta.as_micros() as f64 / MICROS_PER_MILLI
}

fn optional_millis(delta: Option<TimeDelta>) -> String {
    delta.map_or(ABSENT.to_string(), |delta| millis(delta).to_string())
}

fn hex_digits(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return ABSENT.to_string();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

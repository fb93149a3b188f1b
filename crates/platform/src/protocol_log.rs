//! Writes the protocol's log events with their fields.

use shalewall_platform_proto::LogEvent;
use tracing::debug;

/// Logs one event.
pub(crate) fn log_protocol_event(event: LogEvent) {
    match event {
        LogEvent::NodeConnectionOpened {
            node,
            connection,
            reason,
        } => debug!(%node, connection, ?reason, "node connection opened"),
        LogEvent::NodeConnectionClosed {
            node,
            connection,
            reason,
        } => debug!(%node, connection, ?reason, "node connection closed"),
        LogEvent::NodeGone { node, sessions } => debug!(%node, sessions, "node gone"),
        LogEvent::NodeProtocolViolated { node, error } => {
            debug!(%node, %error, "node protocol violated");
        }
        LogEvent::ViewerProtocolViolated { connection, error } => {
            debug!(?connection, %error, "viewer protocol violated");
        }
        LogEvent::RequestRejected { session, reason } => {
            debug!(%session, ?reason, "request rejected");
        }
        LogEvent::RequestAnswered { session, answer } => {
            debug!(%session, ?answer, "request answered");
        }
        LogEvent::RequestWithdrawn { session, was_sent } => {
            debug!(%session, was_sent, "request withdrawn");
        }
        LogEvent::SetUpDropped {
            session,
            attempt,
            reason,
        } => debug!(%session, attempt, ?reason, "set-up dropped"),
        LogEvent::ViewerConnectionClosed {
            connection,
            reason,
            unanswered,
        } => debug!(?connection, ?reason, unanswered, "viewer connection closed"),
        LogEvent::Decision(text) => debug!(text, "decision"),
    }
}

//! Health checks of media nodes: sending them, and handling their answer or failure.

use super::{DirectorProtocol, ReportedOutcome, Timer};
use crate::HexId;
use crate::health_checks::PendingHealthCheck;
use crate::ids::{HealthCheckId, NodeConnectionId};
use crate::node_connection::OutgoingMessage;
use crate::rtsp::encode;
use shalewall::{Event, Outcome, ServerId};

impl DirectorProtocol {
    /// Sends a health check, which requests the node's load report.
    pub(super) fn check_health(&mut self, server: ServerId) {
        let connection = self.connection_for_attempt(server);
        let id = HealthCheckId(self.next_id());
        let bytes = encode::health_check(HexId::from_value(id.0));
        let sent_on = connection.filter(|connection| {
            self.enqueue_to_node(*connection, OutgoingMessage::Encoded(bytes))
        });
        let Some(connection) = sent_on else {
            return self.report_health_check(server, Outcome::NotSent.into());
        };
        let check = PendingHealthCheck { server, connection };
        self.health_checks.start(id, check);
        if let Some(connection) = self.node_connections.get_mut(connection) {
            connection.add_health_check(id);
        }
        let due = self.now + self.timeouts.connect;
        self.timers.set(due, Timer::HealthCheck(id));
    }

    /// Handles an answer to a health check that was received on this connection.
    pub(super) fn handle_health_check_answer(
        &mut self,
        id: HealthCheckId,
        received_on: NodeConnectionId,
        reported: ReportedOutcome,
    ) {
        if let Some(check) = self.health_checks.finish_by_answer(id, received_on) {
            self.finish_health_check(id, check, reported);
        }
    }

    /// Ends a health check without an answer.
    pub(super) fn health_check_failed(&mut self, id: HealthCheckId, outcome: Outcome) {
        if let Some(check) = self.health_checks.finish_without_answer(id) {
            self.finish_health_check(id, check, outcome.into());
        }
    }

    fn finish_health_check(
        &mut self,
        id: HealthCheckId,
        check: PendingHealthCheck,
        reported: ReportedOutcome,
    ) {
        if let Some(connection) = self.node_connections.get_mut(check.connection) {
            connection.remove_health_check(id);
            if reported.outcome == Outcome::TimedOut {
                connection.mark_suspect();
            }
        }
        self.report_health_check(check.server, reported);
    }

    fn report_health_check(&mut self, server: ServerId, reported: ReportedOutcome) {
        self.events.push_back(Event::HealthCheckFinished {
            server,
            outcome: reported.outcome,
            load_report: reported.load_report,
        });
    }
}

//! Health checks of nodes, on request of the decision module.

use super::Engine;
use super::calls::CallOutcome;
use super::timer::Timer;
use crate::call_table::CallPurpose;
use crate::ids::CallId;
use crate::output::CallKind;
use shalewall::{Event, LoadReport, Outcome, ServerId, TimeDelta};

/// Timeout of a health check. It is longer than the time for which the decision module waits.
const HEALTH_CHECK_TIMEOUT: TimeDelta = TimeDelta::from_secs(1);

impl Engine {
    pub(super) fn check_health(&mut self, server: ServerId) {
        let purpose = CallPurpose::CheckHealth(server);
        match self.send_call(server, purpose, CallKind::CheckHealth) {
            Some(call) => {
                let due = self.now + HEALTH_CHECK_TIMEOUT;
                self.timers.set(due, Timer::HealthCheckTimeout(call));
            }
            None => self.health_check_failed(server, Outcome::NotSent),
        }
    }

    pub(super) fn health_check_timed_out(&mut self, call: CallId) {
        if let Some(CallPurpose::CheckHealth(server)) = self.cancel_call(call) {
            self.health_check_failed(server, Outcome::TimedOut);
        }
    }

    fn health_check_failed(&mut self, server: ServerId, outcome: Outcome) {
        let load_report = LoadReport::default();
        let result = CallOutcome {
            outcome,
            load_report,
        };
        self.health_check_finished(server, result);
    }

    pub(super) fn health_check_finished(&mut self, server: ServerId, result: CallOutcome) {
        self.events.push_back(Event::HealthCheckFinished {
            server,
            outcome: result.outcome,
            load_report: result.load_report,
        });
    }
}

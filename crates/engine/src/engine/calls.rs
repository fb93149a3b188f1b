//! Sends calls to nodes, and passes their results to what they were for.

use super::Engine;
use crate::call_table::{CallPurpose, MigrationStepKind};
use crate::ids::CallId;
use crate::input::CallResult;
use crate::output::{CallKind, Output};
use shalewall::{LoadReport, Outcome, ServerId};

/// A call's result in the terms of the decision module.
pub(super) struct CallOutcome {
    pub outcome: Outcome,
    pub load_report: LoadReport,
}

impl From<&CallResult> for CallOutcome {
    fn from(result: &CallResult) -> CallOutcome {
        let (outcome, load_report) = match result {
            CallResult::NotSent(_) => (Outcome::NotSent, LoadReport::default()),
            CallResult::NotStarted(_) => (Outcome::ConnectionFailed, LoadReport::default()),
            CallResult::MaybeExecuted(_) => (Outcome::ConnectionReset, LoadReport::default()),
            CallResult::Answered {
                status: 200..=299,
                load_report,
                ..
            } => (Outcome::Success, *load_report),
            CallResult::Answered {
                not_started: true,
                load_report,
                ..
            } => (Outcome::Rejected, *load_report),
            CallResult::Answered { load_report, .. } => (Outcome::Error, *load_report),
        };
        CallOutcome {
            outcome,
            load_report,
        }
    }
}

/// Whether a node holds nothing any more: it has ended it, or does not know it.
pub(super) fn confirms_absence(result: &CallResult) -> bool {
    matches!(
        result,
        CallResult::Answered {
            status: 200..=299 | 404 | 410,
            ..
        }
    )
}

impl Engine {
    /// Calls a node; nothing if its address is not known.
    pub(super) fn send_call(
        &mut self,
        server: ServerId,
        purpose: CallPurpose,
        kind: CallKind,
    ) -> Option<CallId> {
        let address = self.nodes.address(server)?;
        let call = self.calls.add(purpose);
        self.outputs.push_back(Output::Call {
            call,
            server,
            address,
            kind,
        });
        Some(call)
    }

    /// Gives a call up, if it is still in flight.
    pub(super) fn cancel_call(&mut self, call: CallId) -> Option<CallPurpose> {
        let purpose = self.calls.remove(call)?;
        self.outputs.push_back(Output::CancelCall { call });
        Some(purpose)
    }

    pub(super) fn call_finished(&mut self, call: CallId, result: CallResult) {
        let Some(purpose) = self.calls.remove(call) else {
            return; // given up before
        };
        match purpose {
            CallPurpose::SetUp(session) => self.set_up_finished(session, result),
            CallPurpose::CheckHealth(server) => {
                self.health_check_finished(server, CallOutcome::from(&result));
            }
            CallPurpose::End(key) => self.end_call_finished(key, &result),
            CallPurpose::SetRung { session, rung } => {
                self.rung_call_finished(session, rung, &result);
            }
            CallPurpose::Migrate(step) => match step.kind {
                MigrationStepKind::Prepare => self.prepare_finished(step, result),
                MigrationStepKind::Cancel => self.cancel_finished(step, &result),
            },
        }
    }
}

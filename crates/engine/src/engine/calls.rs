//! Sends calls to nodes, and passes their results to the module that requested them.

use super::Engine;
use crate::call_table::{CallPurpose, MigrationStepKind};
use crate::ids::CallId;
use crate::input::CallResult;
use crate::output::{CallKind, Output};
use shalewall::{LoadReport, Outcome, ServerId};

/// The result of a call in the decision module's types.
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

/// Whether an answer confirms that the node no longer holds the session: it has ended it, or does not know it.
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
    /// Calls a node. Returns `None` if its address is not known.
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

    /// Cancels a call. Returns its purpose, or `None` if it is no longer in flight.
    pub(super) fn cancel_call(&mut self, call: CallId) -> Option<CallPurpose> {
        let purpose = self.calls.remove(call)?;
        self.outputs.push_back(Output::CancelCall { call });
        Some(purpose)
    }

    pub(super) fn call_finished(&mut self, call: CallId, result: CallResult) {
        let Some(purpose) = self.calls.remove(call) else {
            return; // already cancelled
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

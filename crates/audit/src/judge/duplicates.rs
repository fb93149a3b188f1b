//! Rule: no paid set-up is executed twice, and no two attempts of one session are in flight at the same time.

use super::attempts::{Attempt, AttemptId};
use super::{Judge, SetUp};
use crate::record::SetUpOutcome;
use crate::verdict::Rule;
use shalewall::Timestamp;

impl Judge<'_> {
    /// Checks a set-up against the earlier attempts of its session.
    pub(super) fn check_duplicates(&mut self, set_up: &SetUp<'_>) {
        let tenant = set_up.tenant;
        let paid = self.rules.is_paid(tenant, set_up.class);
        self.verdict
            .record_check(Rule::NoDuplicateSetUp, tenant, 0.0);
        for earlier in self.attempts.of_session(set_up.id.session) {
            let violations = match self.attempts.get(earlier) {
                Some(attempt) => duplicate_evidence(set_up.id, earlier, attempt, paid),
                None if paid => vec![partial_evidence(set_up.id, earlier)],
                None => Vec::new(),
            };
            for evidence in violations {
                self.verdict.record_violation(
                    Rule::NoDuplicateSetUp,
                    tenant,
                    set_up.time,
                    evidence,
                );
            }
        }
    }

    /// Checks a rejection: it permits a retry, so no attempt of a paid session may have been executed.
    pub(super) fn check_rejection(
        &mut self,
        time: Timestamp,
        session: u64,
        tenant: Option<&str>,
        class: &str,
    ) {
        if !self.rules.is_paid(tenant, class) {
            return;
        }
        for id in self.attempts.of_session(session) {
            let attempt = self.attempts.get(id);
            let outcome = attempt.map(|attempt| attempt.outcome);
            if outcome == Some(Some(SetUpOutcome::Rejected)) {
                continue;
            }
            let outcome = option_text(outcome.map(option_text));
            let evidence = format!(
                "paid session {session} refused after attempt {}: {outcome}",
                id.number
            );
            self.verdict
                .record_violation(Rule::NoDuplicateSetUp, tenant, time, evidence);
        }
    }
}

/// Violations by a set-up after an earlier attempt that arrived complete.
fn duplicate_evidence(
    id: AttemptId,
    earlier_id: AttemptId,
    earlier: &Attempt,
    paid: bool,
) -> Vec<String> {
    let AttemptId { session, number } = id;
    let earlier_number = earlier_id.number;
    let mut violations = Vec::new();
    if earlier.finished_at.is_none() {
        violations.push(format!(
            "session {session}: attempt {number} while {earlier_number} is out"
        ));
    }
    if paid && earlier.outcome != Some(SetUpOutcome::Rejected) {
        let outcome = option_text(earlier.outcome);
        violations.push(format!(
            "paid session {session}: attempt {number} after {earlier_number}: {outcome}"
        ));
    }
    violations
}

/// Violation by a paid set-up after an earlier attempt that arrived incomplete.
fn partial_evidence(id: AttemptId, earlier: AttemptId) -> String {
    let AttemptId { session, number } = id;
    format!(
        "paid session {session}: attempt {number} after part of {} was sent",
        earlier.number
    )
}

/// Formats an outcome like its `Debug` form, which findings of earlier versions contain.
fn option_text(value: Option<impl ToString>) -> String {
    match value {
        Some(value) => format!("Some({})", value.to_string()),
        None => "None".to_string(),
    }
}

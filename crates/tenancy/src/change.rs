//! Changes of a tenant. The store calls [`apply_change`] within one transaction, so concurrent changes of the same
//! tenant are serialized, and the second one finds its revision stale.

use crate::UnixMillis;
use crate::history::HistoryEntry;
use crate::schema::{ValidationError, parse_terms};
use crate::tenant::{Tenant, TenantId, TenantState};
use crate::terms::Terms;
use serde_json::Value;
use std::fmt;

/// The name of [`Change::Create`] in the history.
pub(crate) const CREATE: &str = "create";
const MILLIS_PER_SECOND: u64 = 1000;

/// A change of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Create the tenant with these terms.
    Create(Value),
    /// Replace its terms.
    Replace(Value),
    /// Apply a merge patch (RFC 7396) to its terms.
    Patch(Value),
    /// Stop admitting new sessions.
    Suspend,
    /// Admit new sessions again.
    Resume,
    /// Delete the tenant: admit no new sessions, and end those that play after the grace period.
    Delete,
    /// Finish a deletion, because no director holds a session of the tenant any more or its grace period is over. Made
    /// by the service only.
    FinishDeletion,
}

impl Change {
    /// The name of the change in the history.
    pub fn name(&self) -> &'static str {
        match self {
            Change::Create(_) => CREATE,
            Change::Replace(_) => "replace",
            Change::Patch(_) => "patch",
            Change::Suspend => "suspend",
            Change::Resume => "resume",
            Change::Delete => "delete",
            Change::FinishDeletion => "bury",
        }
    }
}

/// The revisions that a change applies to (`If-Match`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No precondition was given.
    Missing,
    /// `*`: any revision.
    Any,
    /// One of these.
    Revisions(Vec<u64>),
}

/// The context of a change: actor, permission, precondition and time.
#[derive(Clone, Debug)]
pub struct ChangeContext<'a> {
    /// Who makes the change, as recorded in the history.
    pub actor: &'a str,
    /// Whether the actor may change the fields that are agreed with the operators.
    pub may_edit_agreement: bool,
    /// The revisions that the change applies to.
    pub precondition: Precondition,
    /// The time of the change.
    pub now: UnixMillis,
}

/// A field of the terms that only operators may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgreementField {
    /// [`Terms::share`].
    Share,
    /// [`Terms::fleet`].
    Fleet,
    /// [`Terms::limits`].
    Limits,
    /// [`Terms::deletion_grace_s`].
    DeletionGrace,
}

impl fmt::Display for AgreementField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AgreementField::Share => "share",
            AgreementField::Fleet => "fleet",
            AgreementField::Limits => "limits",
            AgreementField::DeletionGrace => "ends_within_s",
        })
    }
}

/// A state that does not allow a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateConflict {
    /// The tenant is being deleted: only the end of the deletion can follow.
    #[error("is being deleted")]
    Deleting,
    /// The tenant is not being deleted, so there is no deletion to finish.
    #[error("is not being deleted")]
    NotDeleting,
}

/// Why a change was rejected. The tenant is unchanged.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// There is no such tenant.
    #[error("there is no such tenant")]
    NotFound,
    /// The id belongs to an existing tenant, or to one whose deletion is not finished.
    #[error("the id belongs to an existing tenant, or to one whose deletion is not finished")]
    IdTaken,
    /// A change has to name the revision that it applies to.
    #[error("the change does not name the revision that it applies to")]
    PreconditionRequired,
    /// The tenant has been changed since the revision that was named.
    #[error("the revision is stale: the tenant is at revision {current_revision}")]
    Stale {
        /// The revision that the tenant is at.
        current_revision: u64,
    },
    /// The actor may not change these fields, which are agreed with the operators.
    #[error("only operators may change: {}", join(.0))]
    AgreementProtected(Vec<AgreementField>),
    /// The tenant's state does not allow the change.
    #[error("the tenant {0}")]
    StateConflict(#[source] StateConflict),
    /// The terms are invalid.
    #[error("the terms are invalid: {}", join(.0))]
    Invalid(Vec<ValidationError>),
}

fn join(items: &[impl ToString]) -> String {
    let texts: Vec<String> = items.iter().map(ToString::to_string).collect();
    texts.join(", ")
}

/// The result of a change, to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedChange {
    /// The tenant after the change.
    pub tenant: Tenant,
    /// The change's entry in the history.
    pub entry: HistoryEntry,
}

/// Applies a change to a tenant, or to an id without a tenant.
pub fn apply_change(
    id: &TenantId,
    before: Option<&Tenant>,
    change: &Change,
    context: &ChangeContext<'_>,
) -> Result<AppliedChange, ChangeError> {
    let revision = before.map_or(1, |tenant| tenant.revision + 1);
    let current = before.filter(|tenant| !tenant.state.is_deleted());
    let tenant = match current {
        None => create(id, revision, change, context)?,
        Some(current) => modify(current, revision, change, context)?,
    };
    let terms_before = current
        .map(|current| &current.terms)
        .filter(|terms| **terms != tenant.terms);
    let terms_changed = current.is_none() || terms_before.is_some();
    let entry = HistoryEntry {
        tenant: id.clone(),
        revision,
        changed_at: context.now,
        actor: context.actor.to_string(),
        change: change.name().to_string(),
        state: tenant.state,
        terms_before: terms_before.cloned(),
        terms_after: terms_changed.then(|| tenant.terms.clone()),
    };
    Ok(AppliedChange { tenant, entry })
}

/// Applies a change to an id without a tenant.
fn create(
    id: &TenantId,
    revision: u64,
    change: &Change,
    context: &ChangeContext<'_>,
) -> Result<Tenant, ChangeError> {
    let Change::Create(document) = change else {
        return Err(ChangeError::NotFound);
    };
    Ok(Tenant {
        id: id.clone(),
        revision,
        state: TenantState::Active,
        terms: parse_terms(document).map_err(ChangeError::Invalid)?,
        created_at: context.now,
        changed_at: context.now,
    })
}

/// Applies a change to an existing tenant.
fn modify(
    current: &Tenant,
    revision: u64,
    change: &Change,
    context: &ChangeContext<'_>,
) -> Result<Tenant, ChangeError> {
    if let Change::Create(_) = change {
        return Err(ChangeError::IdTaken);
    }
    check_precondition(current, change, context)?;
    let state = next_state(current, change, context.now)?;
    let terms = next_terms(current, change)?;
    let protected = changed_agreement(&current.terms, &terms);
    if !context.may_edit_agreement && !protected.is_empty() {
        return Err(ChangeError::AgreementProtected(protected));
    }
    Ok(Tenant {
        id: current.id.clone(),
        revision,
        state,
        terms,
        created_at: current.created_at,
        changed_at: context.now,
    })
}

fn check_precondition(
    current: &Tenant,
    change: &Change,
    context: &ChangeContext<'_>,
) -> Result<(), ChangeError> {
    match &context.precondition {
        Precondition::Missing if *change != Change::FinishDeletion => {
            Err(ChangeError::PreconditionRequired)
        }
        Precondition::Revisions(revisions) if !revisions.contains(&current.revision) => {
            Err(ChangeError::Stale {
                current_revision: current.revision,
            })
        }
        Precondition::Missing | Precondition::Any | Precondition::Revisions(_) => Ok(()),
    }
}

/// The state after a change, or an error if the current state does not allow it.
fn next_state(
    current: &Tenant,
    change: &Change,
    now: UnixMillis,
) -> Result<TenantState, ChangeError> {
    match (change, current.state) {
        (Change::FinishDeletion, TenantState::Deleting { .. }) => {
            Ok(TenantState::Deleted { since: now })
        }
        (Change::FinishDeletion, _) => Err(ChangeError::StateConflict(StateConflict::NotDeleting)),
        // A repeated deletion keeps its deadline, and a deletion can't be undone.
        (Change::Delete, deleting @ TenantState::Deleting { .. }) => Ok(deleting),
        (_, TenantState::Deleting { .. }) => {
            Err(ChangeError::StateConflict(StateConflict::Deleting))
        }
        (Change::Delete, _) => {
            let grace_ms = u64::from(current.terms.deletion_grace_s) * MILLIS_PER_SECOND;
            Ok(TenantState::Deleting {
                since: now,
                until: now + grace_ms,
            })
        }
        (Change::Suspend, _) => Ok(TenantState::Suspended),
        (Change::Resume, _) => Ok(TenantState::Active),
        (Change::Create(_) | Change::Replace(_) | Change::Patch(_), state) => Ok(state),
    }
}

fn next_terms(current: &Tenant, change: &Change) -> Result<Terms, ChangeError> {
    match change {
        Change::Replace(document) => parse_terms(document).map_err(ChangeError::Invalid),
        Change::Patch(patch) => {
            let mut document = serde_json::to_value(&current.terms).unwrap_or_default();
            json_patch::merge(&mut document, patch);
            parse_terms(&document).map_err(ChangeError::Invalid)
        }
        Change::Create(_)
        | Change::Suspend
        | Change::Resume
        | Change::Delete
        | Change::FinishDeletion => Ok(current.terms.clone()),
    }
}

/// The fields that are agreed with the operators and differ.
fn changed_agreement(before: &Terms, after: &Terms) -> Vec<AgreementField> {
    let differences = [
        (AgreementField::Share, before.share != after.share),
        (AgreementField::Fleet, before.fleet != after.fleet),
        (AgreementField::Limits, before.limits != after.limits),
        (
            AgreementField::DeletionGrace,
            before.deletion_grace_s != after.deletion_grace_s,
        ),
    ];
    differences
        .into_iter()
        .filter(|(_, differs)| *differs)
        .map(|(field, _)| field)
        .collect()
}

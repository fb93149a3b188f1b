//! Changes of a tenant: every change in every state, preconditions, and the fields that an administrator may not
//! change.

mod support;

use serde_json::json;
use shalewall_tenancy::change::{
    AgreementField, Change, ChangeContext, ChangeError, Precondition, StateConflict, apply_change,
};
use shalewall_tenancy::tenant::{Tenant, TenantState};
use support::{change, created, document, id, operator};

/// No tenant, and a tenant in each state.
fn states() -> Vec<Option<Tenant>> {
    let active = created();
    let after = |tenant: &Tenant, made: Change| change(Some(tenant), &made, 2).unwrap().tenant;
    let deleting = after(&active, Change::Delete);
    vec![
        None,
        Some(active.clone()),
        Some(after(&active, Change::Suspend)),
        Some(deleting.clone()),
        Some(after(&deleting, Change::FinishDeletion)),
    ]
}

#[test]
fn every_change_in_every_state() {
    let changes = [
        Change::Create(document()),
        Change::Patch(json!({ "display_name": "New" })),
        Change::Suspend,
        Change::Resume,
        Change::Delete,
        Change::FinishDeletion,
    ];
    // y: applied; t: id taken; n: not found; s: state conflict.
    let expected = ["ynnnnn", "tyyyys", "tyyyys", "tsssyy", "ynnnnn"];
    for (before, expected) in states().iter().zip(expected) {
        for (made, expected) in changes.iter().zip(expected.chars()) {
            let outcome = match change(before.as_ref(), made, 9) {
                Ok(applied) => {
                    let revision = before.as_ref().map_or(1, |tenant| tenant.revision + 1);
                    assert_eq!(applied.tenant.revision, revision);
                    assert_eq!(applied.entry.revision, revision);
                    assert_eq!(applied.entry.changed_at, 9);
                    'y'
                }
                Err(ChangeError::IdTaken) => 't',
                Err(ChangeError::NotFound) => 'n',
                Err(ChangeError::StateConflict(_)) => 's',
                Err(other) => panic!("{other:?}"),
            };
            assert_eq!(outcome, expected, "{made:?} of {before:?}");
        }
    }
}

#[test]
fn a_deletion_keeps_its_deadline_and_frees_the_id_only_when_finished() {
    let tenant = created();
    let delete = |tenant: &Tenant, now| change(Some(tenant), &Change::Delete, now).unwrap().tenant;
    let deleting = delete(&tenant, 1_000);
    assert_eq!(
        deleting.state,
        TenantState::Deleting {
            since: 1_000,
            until: 3_601_000
        }
    );
    assert_eq!(
        delete(&deleting, 50_000).state,
        deleting.state,
        "a repeated deletion does not restart"
    );
    let create = Change::Create(document());
    assert_eq!(
        change(Some(&deleting), &create, 2_000),
        Err(ChangeError::IdTaken)
    );
}

#[test]
fn a_state_conflict_names_the_state() {
    let [_, active, _, deleting, _] = &states()[..] else {
        panic!("five states")
    };
    let conflict = |tenant: &Option<Tenant>, made| change(tenant.as_ref(), &made, 9).unwrap_err();
    assert_eq!(
        conflict(active, Change::FinishDeletion),
        ChangeError::StateConflict(StateConflict::NotDeleting)
    );
    let being_deleted = conflict(deleting, Change::Suspend);
    assert_eq!(
        being_deleted,
        ChangeError::StateConflict(StateConflict::Deleting)
    );
    assert_eq!(being_deleted.to_string(), "the tenant is being deleted");
}

#[test]
fn a_change_requires_the_current_revision() {
    let tenant = created();
    let suspend = |precondition| {
        let context = operator(precondition, 5);
        let applied = apply_change(&id("a"), Some(&tenant), &Change::Suspend, &context);
        applied.map(|applied| applied.tenant.revision)
    };
    assert_eq!(
        suspend(Precondition::Missing),
        Err(ChangeError::PreconditionRequired)
    );
    assert_eq!(
        suspend(Precondition::Revisions(vec![7])),
        Err(ChangeError::Stale {
            current_revision: 1
        })
    );
    assert_eq!(suspend(Precondition::Revisions(vec![7, 1])), Ok(2));
    assert_eq!(suspend(Precondition::Any), Ok(2));
}

#[test]
fn a_tenants_administrator_can_not_change_agreed_fields() {
    let tenant = created();
    let administrator = ChangeContext {
        actor: "adm",
        may_edit_agreement: false,
        precondition: Precondition::Any,
        now: 5,
    };
    let patch = |patch| {
        let applied = apply_change(
            &id("a"),
            Some(&tenant),
            &Change::Patch(patch),
            &administrator,
        );
        applied.map(|applied| applied.tenant.terms)
    };
    let renamed = patch(json!({ "display_name": "B" })).unwrap();
    assert_eq!(renamed.display_name, "B");
    let more = json!({ "share": 5.0, "limits": { "sessions": 10 } });
    let protected = vec![AgreementField::Share, AgreementField::Limits];
    assert_eq!(patch(more), Err(ChangeError::AgreementProtected(protected)));
}

#[test]
fn a_merge_patch_removes_null_members_and_replaces_lists() {
    let mut full = document();
    full["titles"] = json!({ "x": { "home": 1, "spread": 3 }, "y": { "home": 2, "spread": 3 } });
    full["fleet"] = json!({ "own": [1, 2, 3] });
    let before = change(None, &Change::Create(full), 1).unwrap().tenant;
    let patch = json!({ "titles": { "x": null }, "fleet": { "own": [9] } });
    let after = change(Some(&before), &Change::Patch(patch), 2)
        .unwrap()
        .tenant;
    assert_eq!(after.terms.titles.keys().collect::<Vec<_>>(), ["y"]);
    assert_eq!(
        serde_json::to_value(&after.terms.fleet).unwrap(),
        json!({ "own": [9] })
    );
}

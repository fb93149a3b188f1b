//! Shared test helpers: ids, terms and changes.
#![allow(dead_code)]

use serde_json::{Value, json};
use shalewall_tenancy::change::{
    AppliedChange, Change, ChangeContext, ChangeError, Precondition, apply_change,
};
use shalewall_tenancy::tenant::{Tenant, TenantId};

pub fn id(name: &str) -> TenantId {
    TenantId::try_from(name.to_string()).unwrap()
}

/// Valid terms.
pub fn document() -> Value {
    json!({ "display_name": "Nursery", "share": 1.0,
        "classes": { "report": { "paid": true, "aim_ms": 1000, "give_up_ms": 4000, "worth": 2.0 } } })
}

/// The context of an operator's change.
pub fn operator(precondition: Precondition, now: u64) -> ChangeContext<'static> {
    ChangeContext {
        actor: "op",
        may_edit_agreement: true,
        precondition,
        now,
    }
}

/// Applies an operator's change to tenant `a`, whatever its revision.
pub fn change(
    before: Option<&Tenant>,
    change: &Change,
    now: u64,
) -> Result<AppliedChange, ChangeError> {
    apply_change(&id("a"), before, change, &operator(Precondition::Any, now))
}

/// A tenant that was created at time 1.
pub fn created() -> Tenant {
    let create = Change::Create(document());
    let context = operator(Precondition::Missing, 1);
    apply_change(&id("a"), None, &create, &context)
        .unwrap()
        .tenant
}

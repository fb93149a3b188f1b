#![allow(dead_code)] // no test file uses all of it
//! Tenants and changes for the store's tests.

use serde_json::json;
use shalewall_store::Store;
use shalewall_tenancy::change::{Change, ChangeContext, Precondition};
use shalewall_tenancy::tenant::TenantId;
use std::path::Path;

pub fn id(name: &str) -> TenantId {
    TenantId::try_from(name.to_string()).unwrap()
}

/// Terms of a tenant with one class.
pub fn terms(display_name: &str) -> serde_json::Value {
    json!({ "display_name": display_name, "share": 1.0,
        "classes": { "report": { "paid": true, "aim_ms": 1000, "give_up_ms": 4000, "worth": 2.0 } } })
}

/// The context of an operator's change, with a fixed time.
pub fn context(revision: Precondition) -> ChangeContext<'static> {
    ChangeContext {
        actor: "test",
        may_edit_agreement: true,
        precondition: revision,
        now: 5,
    }
}

pub fn open(directory: &Path, name: &str) -> Store {
    Store::open(&directory.join(name)).unwrap()
}

/// Changes a tenant at any revision.
pub fn change(store: &Store, name: &str, change: Change) {
    store
        .change_tenant(&id(name), &change, &context(Precondition::Any), None)
        .unwrap();
}

pub fn create(store: &Store, name: &str) {
    store
        .change_tenant(
            &id(name),
            &Change::Create(terms(name)),
            &context(Precondition::Missing),
            None,
        )
        .unwrap();
}

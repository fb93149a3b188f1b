//! Idempotency keys, paging and the order of changes.

mod support;

use shalewall_store::{IdempotencyKey, StoreError};
use shalewall_tenancy::change::{Change, Precondition};
use support::{change, context, create, id, open, terms};

#[test]
fn idempotency_key_creates_one_tenant_and_rejects_a_different_request() {
    let directory = tempfile::tempdir().unwrap();
    let store = open(directory.path(), "t.redb");
    let create = Change::Create(terms("a"));
    let request = |name: &str, request| {
        let key = IdempotencyKey { key: "k1", request };
        store.change_tenant(
            &id(name),
            &create,
            &context(Precondition::Missing),
            Some(key),
        )
    };
    assert_eq!(request("a", "r1").unwrap().change_number, Some(1));
    let again = request("a", "r1").unwrap();
    assert_eq!((again.change_number, again.tenant.revision), (None, 1));
    assert!(matches!(
        request("a", "r2"),
        Err(StoreError::IdempotencyKeyReused)
    ));
    assert!(matches!(
        request("b", "r1"),
        Err(StoreError::IdempotencyKeyReused)
    ));
    assert_eq!(store.last_change_number().unwrap(), 1);
}

#[test]
fn pages_of_tenants_and_tenants_changed_since_a_number() {
    let directory = tempfile::tempdir().unwrap();
    let store = open(directory.path(), "t.redb");
    for i in 0..10 {
        create(&store, &format!("t{i}"));
    }
    let page = store.list_tenants(Some(&id("t3")), 4).unwrap();
    assert_eq!(
        page.iter().map(|t| t.id.as_str()).collect::<Vec<_>>(),
        ["t4", "t5", "t6", "t7"]
    );
    change(&store, "t2", Change::Suspend);
    change(&store, "t2", Change::Resume);
    let changed = store.changed_since(9).unwrap();
    assert_eq!(
        (changed.last_change_number, changed.tenants.len()),
        (12, 2),
        "t9, and t2 once in its current state"
    );
    let changed = store.changed_since(12).unwrap();
    assert_eq!((changed.last_change_number, changed.tenants), (12, vec![]));
}

//! Export and import.

mod support;

use shalewall_store::{Corruption, StoreError, StoreUnavailable};
use shalewall_tenancy::access::Role;
use shalewall_tenancy::change::Change;
use shalewall_tenancy::token::{IssuedToken, Token};
use support::{change, create, id, open};

#[test]
fn an_imported_export_is_the_same_store() {
    let directory = tempfile::tempdir().unwrap();
    let store = open(directory.path(), "a.redb");
    for name in ["b", "a", "c"] {
        create(&store, name);
    }
    change(&store, "b", Change::Delete);
    change(&store, "b", Change::FinishDeletion);
    create(&store, "b");
    let IssuedToken { token, text } = Token::issue(Role::Reader(id("a")), [1; 8], [2; 32], 3);
    store.put_token(&token).unwrap();
    let mut out = Vec::new();
    let summary = store.export(&mut out).unwrap();
    assert_eq!(
        (summary.tenants, summary.changes, summary.tokens),
        (3, 6, 1)
    );
    assert!(
        !String::from_utf8(out.clone())
            .unwrap()
            .contains(text.rsplit('.').next().unwrap())
    );
    let other = open(directory.path(), "b.redb");
    assert_eq!(other.import(out.as_slice()).unwrap(), summary);
    assert_eq!(
        other.list_tenants(None, 10).unwrap(),
        store.list_tenants(None, 10).unwrap()
    );
    assert_eq!(
        other.changed_since(0).unwrap(),
        store.changed_since(0).unwrap()
    );
    assert!(
        matches!(
            other.import(out.as_slice()),
            Err(StoreError::Unavailable(StoreUnavailable::NotEmpty))
        ),
        "only an empty store can be imported into"
    );
    // An import with a missing line fails and changes nothing.
    let text = String::from_utf8(out).unwrap();
    let incomplete: String = text
        .lines()
        .enumerate()
        .filter(|(i, _)| *i != 4)
        .map(|(_, l)| format!("{l}\n"))
        .collect();
    let third = open(directory.path(), "c.redb");
    let error = third.import(incomplete.as_bytes()).unwrap_err();
    assert!(
        matches!(&error, StoreError::Corrupt(Corruption::IncompleteHistory { tenant }) if tenant == "b"),
        "{error}"
    );
    assert_eq!(third.last_change_number().unwrap(), 0);
}

#[test]
fn invalid_line_is_reported_with_its_number() {
    let directory = tempfile::tempdir().unwrap();
    let store = open(directory.path(), "t.redb");
    let error = store
        .import("{\"store\":{\"version\":2}}\n{\"entry\":\n".as_bytes())
        .unwrap_err();
    assert_eq!(
        error.to_string(),
        "the store is damaged: line 2: EOF while parsing a value at line 1 column 9"
    );
    let error = store
        .import(&b"{\"store\":{\"version\":3}}\n"[..])
        .unwrap_err();
    assert_eq!(
        error.to_string(),
        "the store is of version 3, this program knows 2 at most"
    );
    assert_eq!(store.last_change_number().unwrap(), 0);
}

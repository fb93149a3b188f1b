//! Compatibility with store files written by earlier code.
//!
//! `fixtures/version-2.redb` and its export `fixtures/version-2.jsonl` were written on 2026-12-02 with
//!
//! ```text
//! cargo run -p shalewall-store --example write_fixture -- crates/store/tests/fixtures 2
//! ```
//!
//! by the code of commit 7a79dca, before the types of this crate were renamed. They must not change. The tests work on
//! copies, and `examples/write_fixture.rs` does not overwrite a file.

mod support;

use shalewall_store::{FORMAT_VERSION, IdempotencyKey, Store};
use shalewall_tenancy::access::Role;
use shalewall_tenancy::change::{Change, ChangeContext, Precondition};
use shalewall_tenancy::history::replay;
use shalewall_tenancy::tenant::TenantState;
use shalewall_tenancy::token::{PresentedToken, Token};
use std::path::Path;
use support::id;

const STORE_FILE: &[u8] = include_bytes!("fixtures/version-2.redb");
const EXPORT: &str = include_str!("fixtures/version-2.jsonl");

/// Opens a copy of the fixture.
fn open_copy(directory: &Path) -> Store {
    let path = directory.join("copy.redb");
    std::fs::write(&path, STORE_FILE).unwrap();
    Store::open(&path).unwrap()
}

#[test]
fn version_2_file_has_its_tenants() {
    let directory = tempfile::tempdir().unwrap();
    let store = open_copy(directory.path());
    assert_eq!((store.format_version().unwrap(), FORMAT_VERSION), (2, 2));
    let summary = store.check().unwrap();
    assert_eq!(
        (summary.tenants, summary.changes, summary.tokens),
        (5, 16, 5)
    );
    assert_eq!(store.last_change_number().unwrap(), 16);
    let tenants = store.list_tenants(None, 10).unwrap();
    let rows: Vec<_> = tenants
        .iter()
        .map(|t| {
            (
                t.id.as_str(),
                t.revision,
                t.state,
                t.created_at,
                t.changed_at,
            )
        })
        .collect();
    const T: u64 = 1_700_000_000_000;
    let deleting = TenantState::Deleting {
        since: T + 11_000,
        until: T + 101_000,
    };
    let gone = TenantState::Deleted { since: T + 13_000 };
    let expected = [
        ("active", 5, TenantState::Active, T + 1_000, T + 9_000),
        ("again", 4, TenantState::Active, T + 16_000, T + 16_000),
        ("deleting", 2, deleting, T + 3_000, T + 11_000),
        ("gone", 3, gone, T + 4_000, T + 13_000),
        (
            "suspended",
            2,
            TenantState::Suspended,
            T + 2_000,
            T + 10_000,
        ),
    ];
    assert_eq!(rows, expected);
    let names = tenants.iter().map(|t| t.terms.display_name.as_str());
    assert_eq!(
        names.collect::<Vec<_>>(),
        [
            "third name",
            "second holder",
            "deleting",
            "gone",
            "suspended"
        ]
    );
}

#[test]
fn version_2_file_has_its_histories() {
    let directory = tempfile::tempdir().unwrap();
    let store = open_copy(directory.path());
    let changes = |name: &str| -> Vec<String> {
        let history = store.history(&id(name), 0, 100).unwrap();
        assert_eq!(replay(&history), store.tenant(&id(name)).unwrap(), "{name}");
        history.into_iter().map(|entry| entry.change).collect()
    };
    assert_eq!(
        changes("active"),
        ["create", "patch", "replace", "suspend", "resume"]
    );
    assert_eq!(changes("again"), ["create", "delete", "bury", "create"]);
    assert_eq!(changes("deleting"), ["create", "delete"]);
    assert_eq!(changes("gone"), ["create", "delete", "bury"]);
    assert_eq!(changes("suspended"), ["create", "suspend"]);
    let changed = store.changed_since(14).unwrap();
    assert_eq!((changed.last_change_number, changed.tenants.len()), (16, 1));
}

#[test]
fn version_2_file_has_its_tokens() {
    let directory = tempfile::tempdir().unwrap();
    let store = open_copy(directory.path());
    let roles = [
        Some(Role::Operator),
        Some(Role::Director),
        Some(Role::Admin(id("active"))),
        Some(Role::Reader(id("active"))),
        None, // revoked
    ];
    for (number, expected) in (1u8..).zip(roles) {
        let secret = format!("{number:02x}").repeat(32);
        let token_id = format!("{number:02x}").repeat(8);
        let text = format!("swt.{token_id}.{secret}");
        let presented = PresentedToken::parse(&text).expect("a token");
        let stored = store.token(&token_id).unwrap();
        let role = presented.authenticate(stored.as_ref());
        assert_eq!(role, expected, "token {number}");
        let revoked = stored.and_then(|token: Token| token.revoked_at);
        let expected = (number == 5).then_some(1_700_000_000_100);
        assert_eq!(revoked, expected, "token {number}");
    }
}

#[test]
fn version_2_file_has_its_idempotency_keys() {
    let directory = tempfile::tempdir().unwrap();
    let store = open_copy(directory.path());
    let context = ChangeContext {
        actor: "test",
        may_edit_agreement: true,
        precondition: Precondition::Missing,
        now: 0,
    };
    let repeat = |name: &str, key, request| {
        let change = Change::Create(serde_json::json!({}));
        let key = IdempotencyKey { key, request };
        store.change_tenant(&id(name), &change, &context, Some(key))
    };
    let done = repeat("active", "key 1", "request 1").unwrap();
    assert_eq!((done.change_number, done.tenant.revision), (None, 5));
    let done = repeat("again", "key 2", "request 2").unwrap();
    assert_eq!((done.change_number, done.tenant.revision), (None, 4));
    assert!(repeat("active", "key 1", "request 2").is_err());
    assert_eq!(
        store.last_change_number().unwrap(),
        16,
        "nothing was changed"
    );
}

#[test]
fn export_of_a_version_2_file_matches_the_fixture() {
    let directory = tempfile::tempdir().unwrap();
    let store = open_copy(directory.path());
    let mut lines = Vec::new();
    store.export(&mut lines).unwrap();
    assert_eq!(String::from_utf8(lines).unwrap(), EXPORT);
}

#[test]
fn import_of_a_version_2_export_restores_the_same_store() {
    let directory = tempfile::tempdir().unwrap();
    let store = open_copy(directory.path());
    let filled = Store::open(&directory.path().join("filled.redb")).unwrap();
    filled.import(EXPORT.as_bytes()).unwrap();
    assert_eq!(
        filled.list_tenants(None, 10).unwrap(),
        store.list_tenants(None, 10).unwrap()
    );
    let mut lines = Vec::new();
    filled.export(&mut lines).unwrap();
    assert_eq!(String::from_utf8(lines).unwrap(), EXPORT);
}

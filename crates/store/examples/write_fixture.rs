//! Writes a store file and its export for the compatibility tests in `tests/fixtures.rs`.
//!
//! ```text
//! cargo run -p shalewall-store --example write_fixture -- DIRECTORY VERSION
//! ```
//!
//! writes `DIRECTORY/version-VERSION.redb` and `DIRECTORY/version-VERSION.jsonl`, and does not overwrite a file.
//! Committed fixtures are never written again: run it once for each new format version, with the last code that
//! writes the previous version.

use redb::Database;
use serde_json::json;
use shalewall_store::{IdempotencyKey, Store};
use shalewall_tenancy::access::Role;
use shalewall_tenancy::change::{Change, ChangeContext, Precondition};
use shalewall_tenancy::tenant::TenantId;
use shalewall_tenancy::token::Token;
use std::path::{Path, PathBuf};

fn id(name: &str) -> TenantId {
    TenantId::try_from(name.to_string()).expect("a valid tenant id")
}

fn terms(name: &str) -> serde_json::Value {
    json!({
        "display_name": name,
        "share": 2.5,
        "fleet": { "own": [3, 5, 8] },
        "classes": {
            "live": { "paid": false, "aim_ms": 500, "give_up_ms": 2000, "worth": 1.5, "floor": 1, "top": 3, "seats": 40 },
            "report": { "paid": true, "aim_ms": 1000, "give_up_ms": 4000, "worth": 2.0 },
        },
        "titles": { "monday": { "home": 4, "spread": 2 } },
        "limits": { "set_ups_per_s": 12.5, "sessions": 100, "admin_calls_per_min": 30 },
        "ends_within_s": 90,
    })
}

/// Writes every kind of change, each one second after the previous one.
fn write_tenants(store: &Store) {
    let create = |name: &str| Change::Create(terms(name));
    let changes = [
        (
            "active",
            create("first name"),
            Some(IdempotencyKey {
                key: "key 1",
                request: "request 1",
            }),
        ),
        ("suspended", create("suspended"), None),
        ("deleting", create("deleting"), None),
        ("gone", create("gone"), None),
        ("again", create("first holder"), None),
        (
            "active",
            Change::Patch(json!({ "display_name": "second name", "limits": { "sessions": null } })),
            None,
        ),
        (
            "active",
            Change::Replace(
                json!({ "display_name": "third name", "share": 1.0, "fleet": "pool",
            "classes": { "report": { "paid": true, "aim_ms": 1, "give_up_ms": 2, "worth": 0.0 } } }),
            ),
            None,
        ),
        ("active", Change::Suspend, None),
        ("active", Change::Resume, None),
        ("suspended", Change::Suspend, None),
        ("deleting", Change::Delete, None),
        ("gone", Change::Delete, None),
        ("gone", Change::FinishDeletion, None),
        ("again", Change::Delete, None),
        ("again", Change::FinishDeletion, None),
        (
            "again",
            create("second holder"),
            Some(IdempotencyKey {
                key: "key 2",
                request: "request 2",
            }),
        ),
    ];
    for (number, (tenant, change, key)) in (1u64..).zip(changes) {
        let context = ChangeContext {
            actor: if number % 2 == 0 {
                "token 00"
            } else {
                "service"
            },
            may_edit_agreement: true,
            precondition: Precondition::Any,
            now: 1_700_000_000_000 + 1_000 * number,
        };
        store
            .change_tenant(&id(tenant), &change, &context, key)
            .expect("the change is allowed");
    }
}

/// Writes a token of each role with known secrets, and a revoked one.
fn write_tokens(store: &Store) {
    let roles = [
        Role::Operator,
        Role::Director,
        Role::Admin(id("active")),
        Role::Reader(id("active")),
        Role::Operator,
    ];
    for (number, role) in (1u8..).zip(roles) {
        let made = 1_700_000_000_000 + u64::from(number);
        let issued = Token::issue(role, [number; 8], [number; 32], made);
        store.put_token(&issued.token).expect("the token is stored");
    }
    let revoked = store.revoke_token("0505050505050505", 1_700_000_000_100);
    assert!(revoked.expect("the token is revoked"), "the token exists");
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(directory), Some(version)) = (arguments.next(), arguments.next()) else {
        panic!("usage: write_fixture DIRECTORY VERSION");
    };
    let path = |extension: &str| -> PathBuf {
        let path = Path::new(&directory).join(format!("version-{version}.{extension}"));
        assert!(!path.exists(), "{} exists already", path.display());
        path
    };
    let (file, export) = (path("redb"), path("jsonl"));
    let store = Store::open(&file).expect("a new store");
    assert_eq!(
        store.format_version().expect("a version").to_string(),
        version
    );
    write_tenants(&store);
    write_tokens(&store);
    let mut lines = Vec::new();
    store.export(&mut lines).expect("the store is exported");
    std::fs::write(&export, lines).expect("the export is written");
    drop(store);
    let mut database = Database::open(&file).expect("the file is a database");
    database.compact().expect("the file is compacted");
}

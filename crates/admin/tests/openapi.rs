//! The published OpenAPI document.

use shalewall_admin::openapi::document;
use shalewall_admin::routes::ROUTES;

#[test]
fn the_document_names_every_operation_and_its_references_resolve() {
    let document = document();
    assert_eq!(document["openapi"], "3.1.0");
    let mut operations = 0;
    for (path, methods) in document["paths"].as_object().unwrap() {
        for (method, operation) in methods.as_object().unwrap() {
            operations += 1;
            let route = ROUTES.iter().find(|r| {
                r.path.replace("{}", "{id}") == *path && r.method.to_lowercase() == *method
            });
            assert_eq!(
                operation["operationId"],
                route.expect("an operation in the table").operation_id
            );
        }
    }
    assert_eq!(operations, ROUTES.len());
    let text = document.to_string();
    for reference in text
        .split("\"$ref\":\"#")
        .skip(1)
        .map(|r| r.split('"').next().unwrap())
    {
        // References within the schema of terms are relative to that schema.
        let found = document
            .pointer(reference)
            .or_else(|| document["components"]["schemas"]["Terms"].pointer(reference));
        assert!(found.is_some(), "{reference}");
    }
}

/// The published document must not change. The fixture was written on 2026-12-02 by commit 7a79dca; only the program's
/// version may differ.
#[test]
fn document_matches_the_recorded_fixture() {
    let own_version = format!("\"version\":\"{}\"", env!("CARGO_PKG_VERSION"));
    let text = document()
        .to_string()
        .replace(&own_version, "\"version\":\"0.1.0\"");
    assert_eq!(text, include_str!("fixtures/openapi.json"));
}

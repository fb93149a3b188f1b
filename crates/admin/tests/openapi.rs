//! The published document.

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
                route
                    .expect("an operation that the server knows")
                    .operation_id
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
        // Those within the terms' own schema are relative to it.
        let found = document
            .pointer(reference)
            .or_else(|| document["components"]["schemas"]["Terms"].pointer(reference));
        assert!(found.is_some(), "{reference}");
    }
}

/// The document as it was published on 2026-12-02 (written by the code of commit 7a79dca), but for the program's version.
#[test]
fn the_document_is_byte_for_byte_as_it_was() {
    let own_version = format!("\"version\":\"{}\"", env!("CARGO_PKG_VERSION"));
    let text = document()
        .to_string()
        .replace(&own_version, "\"version\":\"0.1.0\"");
    assert_eq!(text, include_str!("fixtures/openapi.json"));
}

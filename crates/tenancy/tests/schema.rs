//! The validation of terms and of tenant ids.

mod support;

use serde_json::json;
use shalewall_tenancy::schema::{parse_terms, terms_schema};
use shalewall_tenancy::tenant::TenantId;
use support::document;

#[test]
fn invalid_terms_are_rejected_with_the_location_of_the_error() {
    assert!(parse_terms(&document()).is_ok());
    assert_eq!(terms_schema()["type"], "object");
    let cases = [
        (json!({ "share": -1 }), "/share"),
        (json!({ "display_name": "" }), "/display_name"),
        (json!({ "classes": {} }), "/classes"),
        (json!({ "colour": "red" }), ""),
        (
            json!({ "classes": { "a/b": { "paid": false, "aim_ms": 9, "give_up_ms": 5, "worth": 1 } } }),
            "/classes/a~1b/aim_ms",
        ),
        (
            json!({ "limits": { "head_bytes": 1 } }),
            "/limits/head_bytes",
        ),
    ];
    for (patch, pointer) in cases {
        let mut invalid = document();
        json_patch::merge(&mut invalid, &patch);
        // A merge patch can't remove all classes.
        let removes_classes = patch["classes"]
            .as_object()
            .is_some_and(serde_json::Map::is_empty);
        if removes_classes {
            invalid["classes"] = json!({});
        }
        let errors = parse_terms(&invalid).expect_err(pointer);
        assert!(
            errors.iter().any(|error| error.pointer == pointer),
            "{pointer}: {errors:?}"
        );
    }
    for invalid in ["", "A", "1a", "a_b", "a/b", &"a".repeat(64)] {
        assert!(
            TenantId::try_from(invalid.to_string()).is_err(),
            "{invalid}"
        );
    }
}

//! Changes of tenants: revisions, contents, idempotency keys, deletion.

mod support;

use serde_json::{Value, json};
use shalewall_admin::routes::{Operation, TenantOperation};
use support::{ADMIN, OPERATOR, READER, TestApi, terms};

#[test]
fn a_change_without_its_revision_or_with_a_stale_one_is_refused() {
    let mut api = TestApi::new();
    let patch = [("Content-Type", "application/merge-patch+json")];
    let put = |api: &mut TestApi, tag: Option<&str>| {
        let fields: Vec<_> = patch
            .into_iter()
            .chain(tag.map(|t| ("If-Match", t)))
            .collect();
        api.request(
            ADMIN,
            "PATCH",
            "/tenants/a",
            &fields,
            r#"{ "display_name": "x" }"#,
        )
    };
    assert_eq!(put(&mut api, None).status, 428);
    for stale in ["\"0\"", "\"2\"", "W/\"1\"", "1", "\"x\""] {
        let response = put(&mut api, Some(stale));
        assert_eq!(
            (response.status, response.field("ETag")),
            (412, "\"1\""),
            "{stale}"
        );
    }
    assert_eq!(
        api.request(OPERATOR, "GET", "/tenants/a", &[], "").body["terms"]["display_name"],
        "a"
    );
    let done = put(&mut api, Some("\"9\", \"1\""));
    assert_eq!((done.status, done.field("ETag")), (200, "\"2\""));
    assert_eq!(put(&mut api, Some("*")).status, 200);
    let history = api
        .request(READER, "GET", "/tenants/a/history?from=2", &[], "")
        .body;
    assert_eq!(history["entries"].as_array().unwrap().len(), 2);
    assert_eq!(
        history["entries"][0]["who"],
        format!("token {}", "01".repeat(8))
    );
}

#[test]
fn invalid_content_is_rejected_with_its_pointer() {
    let mut api = TestApi::new();
    let merge = ("Content-Type", "application/merge-patch+json");
    let cases = [
        ("POST", "/tenants", None, "{", 400, ""),
        ("POST", "/tenants", None, "{}", 422, ""),
        (
            "POST",
            "/tenants",
            None,
            r#"{ "id": "A B", "terms": {} }"#,
            422,
            "/id",
        ),
        (
            "POST",
            "/tenants",
            None,
            r#"{ "id": "c", "terms": { "share": "much" } }"#,
            422,
            "/share",
        ),
        (
            "POST",
            "/tenants",
            None,
            r#"{ "id": "a", "terms": {} }"#,
            409,
            "",
        ),
        ("PATCH", "/tenants/a", None, "{}", 415, ""),
        ("PATCH", "/tenants/a", Some(merge), "[", 400, ""),
        (
            "PATCH",
            "/tenants/a",
            Some(merge),
            r#"{ "share": 0 }"#,
            422,
            "/share",
        ),
        ("PATCH", "/tenants/a", Some(merge), "7", 422, ""),
        ("PUT", "/tenants/a", None, "{}", 422, ""),
        ("POST", "/tokens", None, r#"{ "role": "king" }"#, 422, ""),
        (
            "POST",
            "/tokens",
            None,
            r#"{ "role": "operator", "tenant": "a" }"#,
            422,
            "",
        ),
        ("GET", "/tenants?limit=many", None, "", 400, ""),
        ("GET", "/tenants?after=A", None, "", 400, ""),
        ("PUT", "/tenants", None, "", 405, ""),
        ("GET", "/tenants/a/b/c", None, "", 404, ""),
    ];
    for (method, target, field, body, status, pointer) in cases {
        let fields: Vec<_> = [("If-Match", "*")].into_iter().chain(field).collect();
        let response = api.request(OPERATOR, method, target, &fields, body);
        assert_eq!(
            response.status, status,
            "{method} {target} {body}: {}",
            response.text
        );
        assert_eq!(response.field("Content-Type"), "application/problem+json");
        assert_eq!(response.body["status"], status);
        if !pointer.is_empty() {
            assert!(
                response
                    .text
                    .contains(&format!("\"pointer\":\"{pointer}\"")),
                "{}",
                response.text
            );
        }
    }
    assert_eq!(
        api.request(OPERATOR, "GET", "/tenants/a", &[], "")
            .field("ETag"),
        "\"1\"",
        "nothing was changed"
    );
}

#[test]
fn an_idempotency_key_creates_one_tenant() {
    let mut api = TestApi::new();
    let body = json!({ "id": "c", "terms": terms("c") }).to_string();
    let key = [("Idempotency-Key", "k1")];
    let statuses: Vec<u16> = (0..3)
        .map(|_| {
            api.request(OPERATOR, "POST", "/tenants", &key, &body)
                .status
        })
        .collect();
    assert_eq!(statuses, [201, 200, 200]);
    let other = json!({ "id": "c", "terms": terms("other") }).to_string();
    assert_eq!(
        api.request(OPERATOR, "POST", "/tenants", &key, &other)
            .status,
        422
    );
    assert_eq!(
        api.request(OPERATOR, "POST", "/tenants", &[], &body).status,
        409
    );
}

#[test]
fn a_deleted_tenants_id_is_free_only_after_its_last_session() {
    let mut api = TestApi::new();
    let deleted = api.call(OPERATOR, Operation::Tenant(TenantOperation::Delete), "a");
    assert_eq!(
        (deleted.status, &deleted.body["state"]["is"]),
        (202, &json!("deleting"))
    );
    assert_eq!(
        api.call(ADMIN, Operation::Tenant(TenantOperation::Patch), "a")
            .status,
        409
    );
    let body = json!({ "id": "a", "terms": terms("another") }).to_string();
    assert_eq!(
        api.request(OPERATOR, "POST", "/tenants", &[], &body).status,
        409
    );
    assert_eq!(
        api.request(READER, "GET", "/tenants/a", &[], "").status,
        200,
        "readable until its last session has ended"
    );
    // Once the last director reports no sessions, the id is released. The history continues under the same id.
    let mut report = |held: Value| {
        let response = json!({ "front": 1, "number": 3, "held": held }).to_string();
        assert_eq!(
            api.request(OPERATOR, "POST", "/usage", &[], &response)
                .status,
            200
        );
        api.api.purge_deleted_tenants(api.now).unwrap()
    };
    assert_eq!((report(json!({ "a": 1 })), report(json!({}))), (0, 1));
    assert_eq!(
        api.request(READER, "GET", "/tenants/a", &[], "").status,
        404
    );
    assert_eq!(
        api.request(OPERATOR, "POST", "/tenants", &[], &body).status,
        201
    );
    let history = api
        .request(OPERATOR, "GET", "/tenants/a/history", &[], "")
        .body;
    let what: Vec<_> = history["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| e["what"].clone())
        .collect();
    assert_eq!(what, ["create", "delete", "bury", "create"]);
    api.api.store.check().unwrap();
}

//! Replies compared byte for byte with a recorded fixture.

mod support;

use serde_json::json;
use support::{ADMIN, OPERATOR, READER, Response, TestApi, terms};

/// Appends a reply to the transcript: status, header fields and content.
fn transcribe(out: &mut String, method: &str, target: &str, response: &Response) {
    use std::fmt::Write;
    writeln!(out, "{method} {target}\n{}", response.status).unwrap();
    for (name, value) in &response.fields {
        writeln!(out, "{name}: {value}").unwrap();
    }
    writeln!(out, "{}\n", response.text).unwrap();
}

/// Replies to all operations and to rejected requests must not change. The fixture was written by commit 7a79dca.
#[test]
fn replies_match_the_recorded_fixture() {
    let merge = ("Content-Type", "application/merge-patch+json");
    let any = ("If-Match", "*");
    let key = ("Idempotency-Key", "k1");
    let create = json!({ "id": "c", "terms": terms("c") }).to_string();
    let other = json!({ "id": "c", "terms": terms("other") }).to_string();
    let replace = terms("replaced").to_string();
    let crossed = json!({ "classes": { "a/b": { "paid": true, "aim_ms": 9, "give_up_ms": 4, "worth": 2.0, "floor": 2, "top": 1 } } })
        .to_string();
    let report = json!({ "front": 1, "number": 2, "held": { "a": 3 }, "sessions": { "a": [{ "session": 7, "class": "report",
        "title": "monday", "node": 3, "rung": 1, "plays": true }] } })
    .to_string();
    let long_key = "k".repeat(129);
    type Fields<'a> = &'a [(&'a str, &'a str)];
    let calls: &[(usize, &str, &str, Fields<'_>, &str)] = &[
        (99, "GET", "/tenants", &[], ""),
        (OPERATOR, "GET", "/nothing", &[], ""),
        (OPERATOR, "PUT", "/tenants", &[], ""),
        (OPERATOR, "GET", "/schema/terms.json", &[], ""),
        (OPERATOR, "GET", "/tenants?limit=1", &[], ""),
        (OPERATOR, "GET", "/tenants?limit=1&after=a", &[], ""),
        (OPERATOR, "GET", "/tenants?after=A", &[], ""),
        (OPERATOR, "GET", "/tenants?limit=many", &[], ""),
        (READER, "GET", "/tenants", &[], ""),
        (READER, "GET", "/tenants/a", &[], ""),
        (READER, "GET", "/tenants/b", &[], ""),
        (OPERATOR, "GET", "/tenants/No_Such", &[], ""),
        (OPERATOR, "POST", "/tenants", &[key], &create),
        (OPERATOR, "POST", "/tenants", &[key], &create),
        (OPERATOR, "POST", "/tenants", &[key], &other),
        (OPERATOR, "POST", "/tenants", &[], &create),
        (
            OPERATOR,
            "POST",
            "/tenants",
            &[("Idempotency-Key", &long_key)],
            &create,
        ),
        (OPERATOR, "POST", "/tenants", &[], "{"),
        (OPERATOR, "POST", "/tenants", &[], "{}"),
        (
            OPERATOR,
            "POST",
            "/tenants",
            &[],
            r#"{ "id": "A B", "terms": {} }"#,
        ),
        (
            OPERATOR,
            "POST",
            "/tenants",
            &[],
            r#"{ "id": "d", "terms": { "share": "much" } }"#,
        ),
        (OPERATOR, "PUT", "/tenants/c", &[], &replace),
        (
            OPERATOR,
            "PUT",
            "/tenants/c",
            &[("If-Match", "\"9\"")],
            &replace,
        ),
        (OPERATOR, "PUT", "/tenants/c", &[any], &replace),
        (OPERATOR, "PATCH", "/tenants/c", &[any], "{}"),
        (OPERATOR, "PATCH", "/tenants/c", &[any, merge], "["),
        (OPERATOR, "PATCH", "/tenants/c", &[any, merge], &crossed),
        (
            ADMIN,
            "PATCH",
            "/tenants/a",
            &[any, merge],
            r#"{ "share": 3, "ends_within_s": 1 }"#,
        ),
        (
            ADMIN,
            "PATCH",
            "/tenants/a",
            &[any, merge],
            r#"{ "display_name": "x" }"#,
        ),
        (ADMIN, "POST", "/tenants/a/suspend", &[any], ""),
        (OPERATOR, "POST", "/tenants/a/suspend", &[any], ""),
        (OPERATOR, "POST", "/tenants/a/resume", &[any], ""),
        (READER, "GET", "/tenants/a/history?from=3&limit=1", &[], ""),
        (READER, "GET", "/tenants/a/history", &[], ""),
        (OPERATOR, "GET", "/tenants/nobody/history", &[], ""),
        (OPERATOR, "GET", "/tenants/nobody/usage", &[], ""),
        (READER, "GET", "/tenants/a/usage", &[], ""),
        (
            OPERATOR,
            "POST",
            "/usage",
            &[],
            r#"{ "front": 1, "number": 2, "held": { "a": 3 } }"#,
        ),
        (READER, "GET", "/tenants/a/usage", &[], ""),
        (READER, "GET", "/tenants/a/sessions", &[], ""),
        (OPERATOR, "POST", "/usage", &[], &report),
        (READER, "GET", "/tenants/a/sessions", &[], ""),
        (OPERATOR, "POST", "/usage", &[], "{}"),
        (OPERATOR, "GET", "/changes?after=4", &[], ""),
        (OPERATOR, "GET", "/changes?after=x", &[], ""),
        (OPERATOR, "DELETE", "/tenants/c", &[any], ""),
        (OPERATOR, "DELETE", "/tenants/c", &[any], ""),
        (OPERATOR, "POST", "/tenants/c/resume", &[any], ""),
        (
            OPERATOR,
            "POST",
            "/tokens",
            &[],
            r#"{ "role": "reader", "tenant": "a" }"#,
        ),
        (OPERATOR, "POST", "/tokens", &[], r#"{ "role": "king" }"#),
        (
            OPERATOR,
            "POST",
            "/tokens",
            &[],
            r#"{ "role": "admin", "tenant": "A" }"#,
        ),
        (OPERATOR, "POST", "/tokens", &[], r#"{ "rule": "admin" }"#),
        (OPERATOR, "DELETE", "/tokens/0202020202020202", &[], ""),
        (OPERATOR, "DELETE", "/tokens/0202020202020209", &[], ""),
        (READER, "GET", "/tenants/a", &[], ""),
        (OPERATOR, "GET", "/tokens", &[], ""),
    ];
    let mut api = TestApi::new();
    let mut out = String::new();
    for (caller, method, target, fields, body) in calls {
        let response = api.request(*caller, method, target, fields, body);
        transcribe(&mut out, method, target, &response);
    }
    for _ in 0..600 {
        api.request(ADMIN, "GET", "/tenants/a", &[], "");
    }
    let limited = api.request(ADMIN, "GET", "/tenants/a", &[], "");
    transcribe(&mut out, "GET", "/tenants/a", &limited);
    assert_eq!(out, include_str!("fixtures/replies.txt"));
}

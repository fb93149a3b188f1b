//! Every call with every role, stale and missing tags, bad contents; and that the published document says what
//! the server does.

use serde_json::{Value, json};
use shalewall_admin::api::Api;
use shalewall_admin::routes::{ANY, Call, ROUTES, openapi};
use shalewall_http::Limits;
use shalewall_http::head::Finder;
use shalewall_http::server::{Content, Reply, Request};
use shalewall_store::Store;
use shalewall_tenancy::access::{Role, Token};
use shalewall_tenancy::model::TenantId;

struct Desk {
    api: Api,
    tokens: Vec<String>,
    now: u64,
    _dir: tempfile::TempDir,
}

const OPERATOR: usize = 0;
const ADMIN: usize = 1;
const READER: usize = 2;

struct Said {
    status: u16,
    fields: Vec<(&'static str, String)>,
    body: Value,
    text: String,
}

impl Said {
    fn field(&self, name: &str) -> &str {
        self.fields
            .iter()
            .find(|(n, _)| *n == name)
            .map_or("", |(_, v)| v)
    }
}

fn id(name: &str) -> TenantId {
    TenantId::try_from(name.to_string()).unwrap()
}

fn terms(name: &str) -> Value {
    json!({ "display_name": name, "share": 1.0,
        "classes": { "report": { "paid": true, "aim_ms": 1000, "give_up_ms": 4000, "worth": 2.0 } } })
}

impl Desk {
    /// Tenants a and b; an operator, and an administrator and a reader of a.
    fn new() -> Desk {
        let dir = tempfile::tempdir().unwrap();
        let store = Store::open(&dir.path().join("t.redb")).unwrap();
        let mut tokens = Vec::new();
        for (i, role) in [Role::Operator, Role::Admin(id("a")), Role::Reader(id("a"))]
            .into_iter()
            .enumerate()
        {
            let (token, text) = Token::new(role, [i as u8; 8], [i as u8 + 1; 32], 0);
            store.put_token(&token).unwrap();
            tokens.push(text);
        }
        let mut desk = Desk {
            api: Api::new(store, 0, 600_000),
            tokens,
            now: 60_000_000,
            _dir: dir,
        };
        for name in ["a", "b"] {
            let body = json!({ "id": name, "terms": terms(name) });
            assert_eq!(
                desk.ask(OPERATOR, "POST", "/tenants", &[], &body.to_string())
                    .status,
                201
            );
        }
        desk
    }

    fn ask(
        &mut self,
        who: usize,
        method: &str,
        target: &str,
        fields: &[(&str, &str)],
        body: &str,
    ) -> Said {
        let bearer = self
            .tokens
            .get(who)
            .map_or(String::new(), |t| format!("Authorization: Bearer {t}\r\n"));
        let fields: String = fields
            .iter()
            .map(|(n, v)| format!("{n}: {v}\r\n"))
            .collect();
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: x\r\n{bearer}{fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let head = Finder::default()
            .request(head.as_bytes(), &Limits::default())
            .unwrap()
            .unwrap()
            .0;
        self.now += 1;
        let request = Request {
            head,
            body: body.as_bytes().to_vec(),
        };
        let Reply {
            status,
            fields,
            content,
        } = self.api.answer(&request, self.now, [self.now as u8; 40]);
        let Content::Whole(bytes) = content else {
            panic!("a whole answer")
        };
        let text = String::from_utf8(bytes).unwrap();
        Said {
            status,
            fields,
            body: serde_json::from_str(&text).unwrap_or_default(),
            text,
        }
    }

    /// A call as it ought to be made of a tenant, at the tag that it is at.
    fn call(&mut self, who: usize, call: Call, about: &str) -> Said {
        let route = ROUTES.iter().find(|r| r.call == call).unwrap();
        let target = route.path.replace("{}", about);
        let tag = self
            .ask(OPERATOR, "GET", &format!("/tenants/{about}"), &[], "")
            .field("ETag")
            .to_string();
        let mut fields = vec![("If-Match", tag.as_str())];
        let body = match call {
            Call::Replace => terms("new").to_string(),
            Call::Patch => {
                fields.push(("Content-Type", "application/merge-patch+json"));
                json!({ "display_name": "newer" }).to_string()
            }
            Call::Create => {
                json!({ "id": format!("n{}", self.now), "terms": terms("n") }).to_string()
            }
            Call::NewToken => json!({ "role": "reader", "tenant": "a" }).to_string(),
            Call::Report => json!({ "front": 1, "number": 2, "held": { "a": 3 } }).to_string(),
            _ => String::new(),
        };
        self.ask(who, route.method, &target, &fields, &body)
    }
}

#[test]
fn every_call_with_every_role_on_its_own_tenant_and_another() {
    let mut desk = Desk::new();
    // Operator, administrator and reader of a: of a, and of b.
    let table = [
        (Call::Openapi, [200, 200, 200], [200, 200, 200]),
        (Call::Schema, [200, 200, 200], [200, 200, 200]),
        (Call::List, [200, 403, 403], [200, 403, 403]),
        (Call::Create, [201, 403, 403], [201, 403, 403]),
        (Call::Read, [200, 200, 200], [200, 404, 404]),
        (Call::Replace, [200, 200, 403], [200, 404, 404]),
        (Call::Patch, [200, 200, 403], [200, 404, 404]),
        (Call::Suspend, [200, 403, 403], [200, 404, 404]),
        (Call::Resume, [200, 403, 403], [200, 404, 404]),
        (Call::History, [200, 200, 200], [200, 404, 404]),
        (Call::Usage, [200, 200, 200], [200, 404, 404]),
        (Call::Sessions, [200, 200, 200], [200, 404, 404]),
        (Call::Report, [200, 403, 403], [200, 403, 403]),
        (Call::Changes, [200, 403, 403], [200, 403, 403]),
        (Call::Tokens, [200, 403, 403], [200, 403, 403]),
        (Call::NewToken, [201, 403, 403], [201, 403, 403]),
        (Call::Revoke, [404, 403, 403], [404, 403, 403]),
        (Call::Delete, [202, 403, 403], [202, 404, 404]),
    ];
    assert_eq!(table.len(), ROUTES.len());
    for (call, own, other) in table {
        for (about, want) in [("a", own), ("b", other)] {
            // Deleted last, and by the operator last of all.
            for who in [READER, ADMIN, OPERATOR] {
                let got = desk.call(who, call, about).status;
                assert_eq!(got, want[who], "{call:?} of {about} by {who}");
                let route = ROUTES.iter().find(|r| r.call == call).unwrap();
                assert!(
                    route.answers.contains(&got) || ANY.contains(&got),
                    "{got} of {call:?} is not published"
                );
            }
        }
    }
}

#[test]
fn another_tenant_and_one_that_is_not_there_are_answered_alike() {
    let mut desk = Desk::new();
    for route in ROUTES.iter().filter(|r| r.path.starts_with("/tenants/{}")) {
        let mut ask = |name: &str| {
            let said = desk.ask(
                ADMIN,
                route.method,
                &route.path.replace("{}", name),
                &[("If-Match", "\"1\"")],
                "{}",
            );
            (said.status, said.text, said.fields)
        };
        assert_eq!(ask("b"), ask("nobody"), "{:?}", route.call);
        assert_eq!(ask("b"), ask("No_Such-Name"), "{:?}", route.call);
    }
}

#[test]
fn without_a_token_or_with_a_wrong_or_revoked_one_nothing_is_told() {
    let mut desk = Desk::new();
    let good = desk.tokens[OPERATOR].clone();
    let mut wrong = good.clone();
    wrong.pop();
    wrong.push(if good.ends_with('0') { '1' } else { '0' });
    desk.tokens.extend([
        wrong,
        format!("swt.{}.{}", "0".repeat(16), "1".repeat(64)),
        String::new(),
        "x".into(),
    ]);
    for who in [3, 4, 5, 6, 99] {
        for target in ["/tenants/a", "/tenants", "/nothing", "/openapi.json"] {
            let said = desk.ask(who, "GET", target, &[], "");
            assert_eq!(
                (said.status, said.field("WWW-Authenticate")),
                (401, "Bearer"),
                "{who} {target}"
            );
        }
    }
    let made = desk.call(OPERATOR, Call::NewToken, "");
    desk.tokens
        .push(made.body["token"].as_str().unwrap().to_string());
    let newest = desk.tokens.len() - 1;
    assert_eq!(desk.ask(newest, "GET", "/tenants/a", &[], "").status, 200);
    let revoke = format!("/tokens/{}", made.body["id"].as_str().unwrap());
    assert_eq!(desk.ask(OPERATOR, "DELETE", &revoke, &[], "").status, 204);
    assert_eq!(desk.ask(newest, "GET", "/tenants/a", &[], "").status, 401);
    let shown = desk.ask(OPERATOR, "GET", "/tokens", &[], "").text;
    assert!(!shown.contains(good.rsplit('.').next().unwrap()) && !shown.contains("hash"));
}

#[test]
fn a_change_without_its_tag_or_with_a_stale_one_changes_nothing() {
    let mut desk = Desk::new();
    let patch = [("Content-Type", "application/merge-patch+json")];
    let put = |desk: &mut Desk, tag: Option<&str>| {
        let fields: Vec<_> = patch
            .into_iter()
            .chain(tag.map(|t| ("If-Match", t)))
            .collect();
        desk.ask(
            ADMIN,
            "PATCH",
            "/tenants/a",
            &fields,
            r#"{ "display_name": "x" }"#,
        )
    };
    assert_eq!(put(&mut desk, None).status, 428);
    for stale in ["\"0\"", "\"2\"", "W/\"1\"", "1", "\"x\""] {
        let said = put(&mut desk, Some(stale));
        assert_eq!((said.status, said.field("ETag")), (412, "\"1\""), "{stale}");
    }
    assert_eq!(
        desk.ask(OPERATOR, "GET", "/tenants/a", &[], "").body["terms"]["display_name"],
        "a"
    );
    let done = put(&mut desk, Some("\"9\", \"1\""));
    assert_eq!((done.status, done.field("ETag")), (200, "\"2\""));
    assert_eq!(put(&mut desk, Some("*")).status, 200);
    let history = desk
        .ask(READER, "GET", "/tenants/a/history?from=2", &[], "")
        .body;
    assert_eq!(history["entries"].as_array().unwrap().len(), 2);
    assert_eq!(
        history["entries"][0]["who"],
        format!("token {}", "01".repeat(8))
    );
}

#[test]
fn bad_contents_get_a_clear_answer_with_the_place() {
    let mut desk = Desk::new();
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
        let said = desk.ask(OPERATOR, method, target, &fields, body);
        assert_eq!(
            said.status, status,
            "{method} {target} {body}: {}",
            said.text
        );
        assert_eq!(said.field("Content-Type"), "application/problem+json");
        assert_eq!(said.body["status"], status);
        if !pointer.is_empty() {
            assert!(
                said.text.contains(&format!("\"pointer\":\"{pointer}\"")),
                "{}",
                said.text
            );
        }
    }
    assert_eq!(
        desk.ask(OPERATOR, "GET", "/tenants/a", &[], "")
            .field("ETag"),
        "\"1\"",
        "nothing was changed"
    );
}

#[test]
fn the_same_key_makes_one_tenant() {
    let mut desk = Desk::new();
    let body = json!({ "id": "c", "terms": terms("c") }).to_string();
    let key = [("Idempotency-Key", "k1")];
    let statuses: Vec<u16> = (0..3)
        .map(|_| desk.ask(OPERATOR, "POST", "/tenants", &key, &body).status)
        .collect();
    assert_eq!(statuses, [201, 200, 200]);
    let other = json!({ "id": "c", "terms": terms("other") }).to_string();
    assert_eq!(
        desk.ask(OPERATOR, "POST", "/tenants", &key, &other).status,
        422
    );
    assert_eq!(
        desk.ask(OPERATOR, "POST", "/tenants", &[], &body).status,
        409
    );
}

#[test]
fn an_administrator_that_hammers_is_held_to_its_calls_and_others_are_not() {
    let mut desk = Desk::new();
    let limit = json!({ "limits": { "admin_calls_per_min": 50 } }).to_string();
    let fields = [
        ("If-Match", "*"),
        ("Content-Type", "application/merge-patch+json"),
    ];
    assert_eq!(
        desk.ask(OPERATOR, "PATCH", "/tenants/a", &fields, &limit)
            .status,
        200
    );
    let answers: Vec<u16> = (0..80)
        .map(|_| desk.ask(ADMIN, "GET", "/tenants/a", &[], "").status)
        .collect();
    assert_eq!(answers.iter().filter(|s| **s == 200).count(), 50);
    assert!(answers[50..].iter().all(|s| *s == 429));
    assert_eq!(desk.ask(OPERATOR, "GET", "/tenants/a", &[], "").status, 200);
    desk.now += 60_000;
    assert_eq!(desk.ask(ADMIN, "GET", "/tenants/a", &[], "").status, 200);
}

#[test]
fn a_deleted_tenant_is_gone_for_readers_and_its_id_is_not_free_before_its_end() {
    let mut desk = Desk::new();
    let deleted = desk.call(OPERATOR, Call::Delete, "a");
    assert_eq!(
        (deleted.status, &deleted.body["state"]["is"]),
        (202, &json!("deleting"))
    );
    assert_eq!(desk.call(ADMIN, Call::Patch, "a").status, 409);
    let body = json!({ "id": "a", "terms": terms("another") }).to_string();
    assert_eq!(
        desk.ask(OPERATOR, "POST", "/tenants", &[], &body).status,
        409
    );
    assert_eq!(
        desk.ask(READER, "GET", "/tenants/a", &[], "").status,
        200,
        "while it plays out"
    );
    // The last front says that it holds nothing, and the id is free: the history goes on under it.
    let mut report = |held: Value| {
        let said = json!({ "front": 1, "number": 3, "held": held }).to_string();
        assert_eq!(desk.ask(OPERATOR, "POST", "/usage", &[], &said).status, 200);
        desk.api.bury(desk.now).unwrap()
    };
    assert_eq!((report(json!({ "a": 1 })), report(json!({}))), (0, 1));
    assert_eq!(desk.ask(READER, "GET", "/tenants/a", &[], "").status, 404);
    assert_eq!(
        desk.ask(OPERATOR, "POST", "/tenants", &[], &body).status,
        201
    );
    let history = desk
        .ask(OPERATOR, "GET", "/tenants/a/history", &[], "")
        .body;
    let what: Vec<_> = history["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| e["what"].clone())
        .collect();
    assert_eq!(what, ["create", "delete", "bury", "create"]);
    desk.api.store.check().unwrap();
}

#[test]
fn the_published_document_names_every_call_and_its_references_lead_somewhere() {
    let document = openapi();
    assert_eq!(document["openapi"], "3.1.0");
    let mut calls = 0;
    for (path, methods) in document["paths"].as_object().unwrap() {
        for (method, call) in methods.as_object().unwrap() {
            calls += 1;
            let route = ROUTES.iter().find(|r| {
                r.path.replace("{}", "{id}") == *path && r.method.to_lowercase() == *method
            });
            assert_eq!(
                call["operationId"],
                format!("{:?}", route.expect("a call that the server knows").call)
            );
        }
    }
    assert_eq!(calls, ROUTES.len());
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
fn the_published_document_is_byte_for_byte_as_it_was() {
    let own_version = format!("\"version\":\"{}\"", env!("CARGO_PKG_VERSION"));
    let text = openapi()
        .to_string()
        .replace(&own_version, "\"version\":\"0.1.0\"");
    assert_eq!(text, include_str!("fixtures/openapi.json"));
}

/// One reply as it goes out: status, fields, content.
fn transcribe(out: &mut String, method: &str, target: &str, said: &Said) {
    use std::fmt::Write;
    writeln!(out, "{method} {target}\n{}", said.status).unwrap();
    for (name, value) in &said.fields {
        writeln!(out, "{name}: {value}").unwrap();
    }
    writeln!(out, "{}\n", said.text).unwrap();
}

/// Replies to every call, and to what is refused, as the code of commit 7a79dca gave them.
#[test]
fn replies_are_byte_for_byte_as_they_were() {
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
    let mut desk = Desk::new();
    let mut out = String::new();
    for (who, method, target, fields, body) in calls {
        let said = desk.ask(*who, method, target, fields, body);
        transcribe(&mut out, method, target, &said);
    }
    for _ in 0..600 {
        desk.ask(ADMIN, "GET", "/tenants/a", &[], "");
    }
    let limited = desk.ask(ADMIN, "GET", "/tenants/a", &[], "");
    transcribe(&mut out, "GET", "/tenants/a", &limited);
    assert_eq!(out, include_str!("fixtures/replies.txt"));
}

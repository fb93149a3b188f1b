//! An API without sockets, and helpers that send requests to it.

#![allow(dead_code)] // no test file uses all of it

use serde_json::{Value, json};
use shalewall_admin::api::{Api, TokenSeed};
use shalewall_admin::routes::{Operation, ROUTES, ServiceOperation, TenantOperation};
use shalewall_http::Limits;
use shalewall_http::head::HeadParser;
use shalewall_http::server::{Content, Reply, Request};
use shalewall_store::Store;
use shalewall_tenancy::access::Role;
use shalewall_tenancy::tenant::TenantId;
use shalewall_tenancy::token::{IssuedToken, Token};

/// An API with its own store, and the callers' tokens.
pub struct TestApi {
    pub api: Api,
    pub tokens: Vec<String>,
    pub now: u64,
    _dir: tempfile::TempDir,
}

/// Indices of the callers' tokens in [`TestApi::tokens`].
pub const OPERATOR: usize = 0;
pub const ADMIN: usize = 1;
pub const READER: usize = 2;

/// A reply, with its content parsed.
pub struct Response {
    pub status: u16,
    pub fields: Vec<(&'static str, String)>,
    pub body: Value,
    pub text: String,
}

impl Response {
    pub fn field(&self, name: &str) -> &str {
        self.fields
            .iter()
            .find(|(n, _)| *n == name)
            .map_or("", |(_, v)| v)
    }
}

pub fn id(name: &str) -> TenantId {
    TenantId::try_from(name.to_string()).unwrap()
}

pub fn terms(name: &str) -> Value {
    json!({ "display_name": name, "share": 1.0,
        "classes": { "report": { "paid": true, "aim_ms": 1000, "give_up_ms": 4000, "worth": 2.0 } } })
}

impl TestApi {
    /// Creates tenants a and b, and tokens of an operator and of an administrator and a reader of tenant a.
    pub fn new() -> TestApi {
        let dir = tempfile::tempdir().unwrap();
        let store = Store::open(&dir.path().join("t.redb")).unwrap();
        let mut tokens = Vec::new();
        for (i, role) in [Role::Operator, Role::Admin(id("a")), Role::Reader(id("a"))]
            .into_iter()
            .enumerate()
        {
            let IssuedToken { token, text } =
                Token::issue(role, [i as u8; 8], [i as u8 + 1; 32], 0);
            store.put_token(&token).unwrap();
            tokens.push(text);
        }
        let mut api = TestApi {
            api: Api::new(store, 0, 600_000),
            tokens,
            now: 60_000_000,
            _dir: dir,
        };
        for name in ["a", "b"] {
            let body = json!({ "id": name, "terms": terms(name) });
            assert_eq!(
                api.request(OPERATOR, "POST", "/tenants", &[], &body.to_string())
                    .status,
                201
            );
        }
        api
    }

    pub fn request(
        &mut self,
        caller: usize,
        method: &str,
        target: &str,
        fields: &[(&str, &str)],
        body: &str,
    ) -> Response {
        let bearer = self
            .tokens
            .get(caller)
            .map_or(String::new(), |t| format!("Authorization: Bearer {t}\r\n"));
        let fields: String = fields
            .iter()
            .map(|(n, v)| format!("{n}: {v}\r\n"))
            .collect();
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: x\r\n{bearer}{fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let head = HeadParser::default()
            .parse_request(head.as_bytes(), &Limits::default())
            .unwrap()
            .unwrap()
            .0;
        self.now += 1;
        let request = Request {
            head,
            body: body.as_bytes().to_vec(),
        };
        let byte = self.now as u8;
        let seed = TokenSeed {
            id: [byte; 8],
            secret: [byte; 32],
        };
        let Reply {
            status,
            fields,
            content,
        } = self.api.answer(&request, self.now, seed);
        let Content::Complete(bytes) = content else {
            panic!("the answer is a stream")
        };
        let text = String::from_utf8(bytes).unwrap();
        Response {
            status,
            fields,
            body: serde_json::from_str(&text).unwrap_or_default(),
            text,
        }
    }

    /// Sends a valid request for an operation on a tenant, with the tenant's current revision.
    pub fn call(&mut self, caller: usize, operation: Operation, tenant: &str) -> Response {
        let route = ROUTES.iter().find(|r| r.operation == operation).unwrap();
        let target = route.path.replace("{}", tenant);
        let tag = self
            .request(OPERATOR, "GET", &format!("/tenants/{tenant}"), &[], "")
            .field("ETag")
            .to_string();
        let mut fields = vec![("If-Match", tag.as_str())];
        let body = match operation {
            Operation::Tenant(TenantOperation::Replace) => terms("new").to_string(),
            Operation::Tenant(TenantOperation::Patch) => {
                fields.push(("Content-Type", "application/merge-patch+json"));
                json!({ "display_name": "newer" }).to_string()
            }
            Operation::Service(ServiceOperation::CreateTenant) => {
                json!({ "id": format!("n{}", self.now), "terms": terms("n") }).to_string()
            }
            Operation::Service(ServiceOperation::CreateToken) => {
                json!({ "role": "reader", "tenant": "a" }).to_string()
            }
            Operation::Service(ServiceOperation::ReportUsage) => {
                json!({ "front": 1, "number": 2, "held": { "a": 3 } }).to_string()
            }
            _ => String::new(),
        };
        self.request(caller, route.method, &target, &fields, &body)
    }
}

//! Authorization and rate limits of operations.

mod support;

use serde_json::json;
use shalewall_admin::routes::{
    COMMON_STATUSES, Operation, ROUTES, ServiceOperation, TenantOperation,
};
use support::{ADMIN, OPERATOR, READER, TestApi};

#[test]
fn operations_are_authorized_by_role_and_tenant() {
    let mut api = TestApi::new();
    // Statuses for the operator, and for the administrator and reader of tenant a: on tenant a, then on tenant b.
    let table = [
        (
            Operation::Service(ServiceOperation::OpenApi),
            [200, 200, 200],
            [200, 200, 200],
        ),
        (
            Operation::Service(ServiceOperation::TermsSchema),
            [200, 200, 200],
            [200, 200, 200],
        ),
        (
            Operation::Service(ServiceOperation::ListTenants),
            [200, 403, 403],
            [200, 403, 403],
        ),
        (
            Operation::Service(ServiceOperation::CreateTenant),
            [201, 403, 403],
            [201, 403, 403],
        ),
        (
            Operation::Tenant(TenantOperation::Read),
            [200, 200, 200],
            [200, 404, 404],
        ),
        (
            Operation::Tenant(TenantOperation::Replace),
            [200, 200, 403],
            [200, 404, 404],
        ),
        (
            Operation::Tenant(TenantOperation::Patch),
            [200, 200, 403],
            [200, 404, 404],
        ),
        (
            Operation::Tenant(TenantOperation::Suspend),
            [200, 403, 403],
            [200, 404, 404],
        ),
        (
            Operation::Tenant(TenantOperation::Resume),
            [200, 403, 403],
            [200, 404, 404],
        ),
        (
            Operation::Tenant(TenantOperation::History),
            [200, 200, 200],
            [200, 404, 404],
        ),
        (
            Operation::Tenant(TenantOperation::Usage),
            [200, 200, 200],
            [200, 404, 404],
        ),
        (
            Operation::Tenant(TenantOperation::Sessions),
            [200, 200, 200],
            [200, 404, 404],
        ),
        (
            Operation::Service(ServiceOperation::ReportUsage),
            [200, 403, 403],
            [200, 403, 403],
        ),
        (
            Operation::Service(ServiceOperation::Changes),
            [200, 403, 403],
            [200, 403, 403],
        ),
        (
            Operation::Service(ServiceOperation::ListTokens),
            [200, 403, 403],
            [200, 403, 403],
        ),
        (
            Operation::Service(ServiceOperation::CreateToken),
            [201, 403, 403],
            [201, 403, 403],
        ),
        (
            Operation::Service(ServiceOperation::RevokeToken),
            [404, 403, 403],
            [404, 403, 403],
        ),
        (
            Operation::Tenant(TenantOperation::Delete),
            [202, 403, 403],
            [202, 404, 404],
        ),
    ];
    assert_eq!(table.len(), ROUTES.len());
    for (operation, own, other) in table {
        for (tenant, expected) in [("a", own), ("b", other)] {
            // The table ends with the deletion, and the operator comes last, because it succeeds.
            for caller in [READER, ADMIN, OPERATOR] {
                let status = api.call(caller, operation, tenant).status;
                assert_eq!(
                    status, expected[caller],
                    "{operation:?} of {tenant} by {caller}"
                );
                let route = ROUTES.iter().find(|r| r.operation == operation).unwrap();
                assert!(
                    route.statuses.contains(&status) || COMMON_STATUSES.contains(&status),
                    "{status} of {operation:?} is not published"
                );
            }
        }
    }
}

#[test]
fn other_tenants_and_missing_tenants_get_identical_answers() {
    let mut api = TestApi::new();
    for route in ROUTES.iter().filter(|r| r.path.starts_with("/tenants/{}")) {
        let mut request = |name: &str| {
            let response = api.request(
                ADMIN,
                route.method,
                &route.path.replace("{}", name),
                &[("If-Match", "\"1\"")],
                "{}",
            );
            (response.status, response.text, response.fields)
        };
        assert_eq!(request("b"), request("nobody"), "{:?}", route.operation);
        assert_eq!(
            request("b"),
            request("No_Such-Name"),
            "{:?}",
            route.operation
        );
    }
}

#[test]
fn missing_wrong_and_revoked_tokens_are_refused() {
    let mut api = TestApi::new();
    let good = api.tokens[OPERATOR].clone();
    let mut wrong = good.clone();
    wrong.pop();
    wrong.push(if good.ends_with('0') { '1' } else { '0' });
    api.tokens.extend([
        wrong,
        format!("swt.{}.{}", "0".repeat(16), "1".repeat(64)),
        String::new(),
        "x".into(),
    ]);
    for caller in [3, 4, 5, 6, 99] {
        for target in ["/tenants/a", "/tenants", "/nothing", "/openapi.json"] {
            let response = api.request(caller, "GET", target, &[], "");
            assert_eq!(
                (response.status, response.field("WWW-Authenticate")),
                (401, "Bearer"),
                "{caller} {target}"
            );
        }
    }
    let made = api.call(
        OPERATOR,
        Operation::Service(ServiceOperation::CreateToken),
        "",
    );
    api.tokens
        .push(made.body["token"].as_str().unwrap().to_string());
    let newest = api.tokens.len() - 1;
    assert_eq!(
        api.request(newest, "GET", "/tenants/a", &[], "").status,
        200
    );
    let revoke = format!("/tokens/{}", made.body["id"].as_str().unwrap());
    assert_eq!(
        api.request(OPERATOR, "DELETE", &revoke, &[], "").status,
        204
    );
    assert_eq!(
        api.request(newest, "GET", "/tenants/a", &[], "").status,
        401
    );
    let shown = api.request(OPERATOR, "GET", "/tokens", &[], "").text;
    assert!(!shown.contains(good.rsplit('.').next().unwrap()) && !shown.contains("hash"));
}

#[test]
fn calls_over_a_tenants_limit_are_refused_and_others_are_not() {
    let mut api = TestApi::new();
    let limit = json!({ "limits": { "admin_calls_per_min": 50 } }).to_string();
    let fields = [
        ("If-Match", "*"),
        ("Content-Type", "application/merge-patch+json"),
    ];
    assert_eq!(
        api.request(OPERATOR, "PATCH", "/tenants/a", &fields, &limit)
            .status,
        200
    );
    let answers: Vec<u16> = (0..80)
        .map(|_| api.request(ADMIN, "GET", "/tenants/a", &[], "").status)
        .collect();
    assert_eq!(answers.iter().filter(|s| **s == 200).count(), 50);
    assert!(answers[50..].iter().all(|s| *s == 429));
    assert_eq!(
        api.request(OPERATOR, "GET", "/tenants/a", &[], "").status,
        200
    );
    api.now += 60_000;
    assert_eq!(api.request(ADMIN, "GET", "/tenants/a", &[], "").status, 200);
}

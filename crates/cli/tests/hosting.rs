//! A hosted service as processes: the administration API, and directors that synchronize its tenants.

mod hosted;
#[path = "../../server/tests/scripted/mod.rs"]
mod scripted;
use hosted::*;
use scripted::Node;
use scripted::SetUpBehavior;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[test]
fn changes_reach_three_directors_and_a_disconnected_one_keeps_its_last_state() {
    let node = Node::start(&[]);
    let mut service = Service::new(&[&node], 3);
    assert_eq!(
        service.request_session(0, "a", "v0").0,
        503,
        "no tenant is unknown before the first change is applied"
    );
    service.change_and_wait(
        "POST",
        "/tenants",
        &json!({ "id": "a", "terms": terms(json!({})) }),
    );
    for director in 0..3 {
        assert_eq!(service.request_session(director, "a", "v1").0, 201);
        assert_eq!(
            service.request_session(director, "b", "v1").0,
            404,
            "unknown tenant"
        );
    }
    let mut elapsed: Vec<Duration> = (0..100)
        .map(|i| {
            service.change_and_wait(
                "PATCH",
                "/tenants/a",
                &json!({ "display_name": format!("{i}") }),
            )
        })
        .collect();
    elapsed.sort();
    println!(
        "time until a change is applied by three directors: p50 {:?}, p99 {:?}",
        elapsed[50], elapsed[98]
    );
    assert!(
        elapsed[98] < Duration::from_millis(500),
        "{:?}",
        elapsed[98]
    );

    // While the API is down, directors keep their last state and report that they are disconnected.
    let address = service.admin.1.to_string();
    service.admin.0.kill().unwrap();
    service.admin.0.wait().unwrap();
    let deadline = Instant::now() + Duration::from_secs(5);
    let is_connected = |service: &Service| {
        http(service.directors[1].1, "GET", "/state", "", &Value::Null).1["tenants_followed"]
            .clone()
    };
    while is_connected(&service) != json!(false) {
        assert!(
            Instant::now() < deadline,
            "the director does not report that it is disconnected"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(service.request_session(1, "a", "v2").0, 201);
    // The restarted API has its stored state, and the next change reaches the directors.
    service.admin = Service::start_admin(&service.dir, &address);
    service.change_and_wait("POST", "/tenants/a/suspend", &Value::Null);
    assert_eq!(service.request_session(1, "a", "v3").0, 404, "suspended");
}

#[test]
fn tenant_above_its_limit_is_rejected_with_an_accurate_retry_delay_and_others_are_admitted() {
    let node = Node::start(&[]);
    let service = Service::new(&[&node], 1);
    let limit = terms(json!({ "set_ups_per_s": 5.0 }));
    service.change_and_wait("POST", "/tenants", &json!({ "id": "loud", "terms": limit }));
    service.change_and_wait(
        "POST",
        "/tenants",
        &json!({ "id": "quiet", "terms": terms(json!({})) }),
    );
    let mut retry_delays_ms = Vec::new();
    for i in 0..40 {
        let (status, answer) = service.request_session(0, "loud", &format!("l{i}"));
        if status == 503 {
            retry_delays_ms.push(answer["come_back_ms"].as_f64().expect("a retry delay"));
        }
        assert_eq!(
            service.request_session(0, "quiet", &format!("q{i}")).0,
            201,
            "{i}"
        );
    }
    assert!(retry_delays_ms.len() > 10, "{retry_delays_ms:?}");
    std::thread::sleep(Duration::from_secs_f64(
        retry_delays_ms.last().unwrap() / 1000.0 + 0.01,
    ));
    assert_eq!(
        service.request_session(0, "loud", "again").0,
        201,
        "admitted after the stated delay"
    );
    // A repeated request for a playing session needs no set-up, so the limit does not apply.
    assert_eq!(service.request_session(0, "loud", "again").0, 201);
}

#[test]
fn sessions_of_a_deleted_tenant_end_at_the_deadline_and_those_of_a_suspended_one_continue() {
    let node = Node::start(&[]);
    let service = Service::new(&[&node], 1);
    for id in ["kept", "gone"] {
        service.change_and_wait(
            "POST",
            "/tenants",
            &json!({ "id": id, "terms": terms(json!({})) }),
        );
        assert_eq!(service.request_session(0, id, "v").0, 201);
    }
    service.change_and_wait("POST", "/tenants/kept/suspend", &Value::Null);
    service.change_and_wait("DELETE", "/tenants/gone", &Value::Null);
    assert_eq!(
        (
            service.request_session(0, "gone", "w").0,
            service.request_session(0, "kept", "w").0
        ),
        (404, 404),
        "no new sessions"
    );
    assert_eq!(
        http(service.directors[0].1, "GET", "/state", "", &Value::Null).1["playing"],
        2
    );
    assert_eq!(
        node.wait_for("DELETE", 1).len(),
        1,
        "the deleted tenant's session ends after one second"
    );
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(node.requests("DELETE").len(), 1);
    assert_eq!(
        http(service.directors[0].1, "GET", "/state", "", &Value::Null).1["playing"],
        1
    );
    // The id is released once the director has reported no sessions, and any unknown director would have reported.
    let new_tenant = json!({ "id": "gone", "terms": terms(json!({})) });
    assert_eq!(service.call_api("POST", "/tenants", &new_tenant).0, 409);
    let usage = service
        .call_api("GET", "/tenants/kept/usage", &Value::Null)
        .1;
    assert_eq!(usage["sessions"], 1);
    // The director lists the sessions after the API has requested them.
    let deadline = Instant::now() + Duration::from_secs(8);
    let listed = loop {
        let listed = service
            .call_api("GET", "/tenants/kept/sessions", &Value::Null)
            .1["fronts"][0]
            .clone();
        if listed["sessions"].is_array() {
            break listed;
        }
        assert!(
            Instant::now() < deadline,
            "the director does not list the sessions: {listed}"
        );
        std::thread::sleep(Duration::from_millis(100));
    };
    assert_eq!(listed["sessions"].as_array().unwrap().len(), 1, "{listed}");
    assert_eq!(listed["sessions"][0]["title"], "monday");
    assert_eq!(listed["sessions"][0]["plays"], true);
    let deadline = Instant::now() + Duration::from_secs(20);
    while service.call_api("POST", "/tenants", &new_tenant).0 != 201 {
        assert!(Instant::now() < deadline, "the id is never released");
        std::thread::sleep(Duration::from_millis(200));
    }
}

#[test]
fn classes_titles_and_rungs_are_per_tenant_and_existing_sessions_keep_theirs() {
    let nodes = [Node::start(&[]), Node::start(&[])];
    let service = Service::new(&[&nodes[0], &nodes[1]], 1);
    let class = |floor, top| json!({ "paid": false, "aim_ms": 1000, "give_up_ms": 4000, "worth": 1.0, "floor": floor, "top": top });
    let create_tenant = |id: &str, class: &Value, home: u64| {
        let terms = json!({ "display_name": id, "share": 1.0, "classes": { "playroom": class },
            "titles": { "garden": { "home": home, "spread": 1 } } });
        service.change_and_wait("POST", "/tenants", &json!({ "id": id, "terms": terms }));
    };
    create_tenant("low", &class(0, 0), 0);
    create_tenant("high", &class(1, 1), 1);
    let request_session = |tenant: &str, viewer: &str, class: &str, title: &str| {
        let request = json!({ "viewer": viewer, "tenant": tenant, "class": class, "title": title });
        http(service.directors[0].1, "POST", "/sessions", "", &request)
    };
    // Equal names refer to each tenant's own placement and rungs.
    for (tenant, rung, node) in [("low", 0, 0), ("high", 1, 1)] {
        let (status, answer) = request_session(tenant, "v", "playroom", "garden");
        assert_eq!(
            (status, &answer["rung"]),
            (201, &json!(rung)),
            "{tenant}: {answer}"
        );
        assert_eq!(nodes[node].wait_for("PUT", 1).len(), 1, "{tenant}");
    }
    // Classes and titles of the site or of another tenant are unknown for a tenant with its own.
    assert_eq!(request_session("low", "w", "room", "garden").0, 404);
    assert_eq!(request_session("low", "w", "playroom", "monday").0, 404);
    // The rung limits change while a session plays: it keeps its rung, and the next session gets the new one.
    let change = json!({ "classes": { "playroom": { "floor": 1, "top": 1 } } });
    service.change_and_wait("PATCH", "/tenants/low", &change);
    let (status, answer) = request_session("low", "v", "playroom", "garden");
    assert_eq!(
        (status, &answer["rung"]),
        (201, &json!(0)),
        "the viewer's session is unchanged: {answer}"
    );
    assert_eq!(
        request_session("low", "w", "playroom", "garden").1["rung"],
        1
    );
    // The title is removed while it is played: no new sessions of it, but the existing one remains.
    let change = json!({ "titles": { "garden": null, "street": { "home": 0, "spread": 2 } } });
    service.change_and_wait("PATCH", "/tenants/low", &change);
    assert_eq!(request_session("low", "x", "playroom", "garden").0, 404);
    assert_eq!(request_session("low", "v", "playroom", "garden").0, 201);
    assert_eq!(request_session("low", "x", "playroom", "street").0, 201);
}

#[test]
fn nodes_of_a_tenants_own_fleet_serve_only_its_sessions() {
    let nodes = [Node::start(&[]), Node::start(&[])];
    let service = Service::new(&[&nodes[0], &nodes[1]], 1);
    service.change_and_wait(
        "POST",
        "/tenants",
        &json!({ "id": "pool", "terms": terms(json!({})) }),
    );
    let mut own = terms(json!({}));
    own["fleet"] = json!({ "own": [1] });
    service.change_and_wait("POST", "/tenants", &json!({ "id": "own", "terms": own }));
    for i in 0..12 {
        for tenant in ["pool", "own"] {
            assert_eq!(
                service.request_session(0, tenant, &format!("v{i}")).0,
                201,
                "{tenant} {i}"
            );
        }
    }
    assert_eq!(
        [
            nodes[0].requests("PUT").len(),
            nodes[1].requests("PUT").len()
        ],
        [12, 12]
    );
    // The node returns to the pool while the tenant's sessions play on it.
    service.change_and_wait("PATCH", "/tenants/own", &json!({ "fleet": "pool" }));
    for i in 0..40 {
        assert_eq!(service.request_session(0, "pool", &format!("w{i}")).0, 201);
    }
    assert!(
        nodes[1].requests("PUT").len() > 12,
        "the pool uses the node again"
    );
    assert_eq!(nodes[1].requests("DELETE").len(), 0);
}

#[test]
fn at_most_once_set_up_completes_once_when_its_tenant_is_suspended_meanwhile() {
    let node = Node::start(&[SetUpBehavior::AcceptAfter(Duration::from_millis(900))]);
    let service = Service::new(&[&node], 1);
    service.change_and_wait(
        "POST",
        "/tenants",
        &json!({ "id": "a", "terms": terms(json!({})) }),
    );
    let director = service.directors[0].1;
    let pending = std::thread::spawn(move || {
        let request = json!({ "viewer": "v", "tenant": "a", "class": "report", "title": "monday" });
        http(director, "POST", "/sessions", "", &request)
    });
    node.wait_for("PUT", 1);
    service.change_and_wait("POST", "/tenants/a/suspend", &Value::Null);
    assert_eq!(pending.join().unwrap().0, 201);
    assert_eq!(node.requests("PUT").len(), 1);
}

/// Sends a request's head and the first part of its content. Returns the connection.
fn send_partial_request(
    director: SocketAddr,
    fields: &str,
    body: &str,
    length: usize,
) -> TcpStream {
    let mut stream = TcpStream::connect(director).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let head = format!(
        "POST /sessions HTTP/1.1\r\nHost: x\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

fn status(mut stream: TcpStream) -> Option<u16> {
    let mut start = [0; 12];
    stream.read_exact(&mut start).ok()?;
    String::from_utf8_lossy(&start[9..]).parse().ok()
}

#[test]
fn connection_and_size_limits_are_per_tenant_and_apply_before_content_is_read() {
    let node = Node::start(&[]);
    let service = Service::with_config(&[&node], 1, |config| config.front.max_connections = 40);
    let director = service.directors[0].1;
    let limit = terms(json!({ "connections": 3, "body_bytes": 200, "head_bytes": 400 }));
    service.change_and_wait("POST", "/tenants", &json!({ "id": "loud", "terms": limit }));
    service.change_and_wait(
        "POST",
        "/tenants",
        &json!({ "id": "quiet", "terms": terms(json!({})) }),
    );
    let field = |tenant: &str| format!("Shalewall-Tenant: {tenant}\r\n");
    let request =
        |viewer: &str| json!({ "viewer": viewer, "class": "room", "title": "monday" }).to_string();
    let request_status = |tenant: &str, viewer: &str| {
        let body = request(viewer);
        status(send_partial_request(
            director,
            &field(tenant),
            &body,
            body.len(),
        ))
    };
    assert_eq!(
        request_status("quiet", "v"),
        Some(201),
        "the header field alone names the tenant"
    );
    // Sizes are checked with the head, before any content arrives.
    assert_eq!(
        status(send_partial_request(director, &field("loud"), "", 201)),
        Some(413)
    );
    let long = format!("{}X-Long: {}\r\n", field("loud"), "x".repeat(400));
    assert_eq!(
        status(send_partial_request(director, &long, "", 10)),
        Some(431)
    );
    assert_eq!(
        status(send_partial_request(director, &field("nobody"), "", 10)),
        Some(404)
    );
    let other =
        json!({ "viewer": "v", "tenant": "quiet", "class": "room", "title": "monday" }).to_string();
    assert_eq!(
        status(send_partial_request(
            director,
            &field("loud"),
            &other,
            other.len()
        )),
        Some(422),
        "the field and the content name different tenants"
    );
    // Incomplete content: tenant loud has three connections, so a fourth one evicts the first.
    let mut slow: Vec<_> = (0..4)
        .map(|_| send_partial_request(director, &field("loud"), "{", 100))
        .collect();
    slow[0]
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    assert_eq!(
        slow[0].read(&mut [0; 9]).unwrap(),
        0,
        "evicted for the tenant's next connection"
    );
    // Connections without a tenant may use a quarter of the director's connections; the one idle for longest is evicted
    // first.
    let mut silent: Vec<_> = (0..30)
        .map(|_| TcpStream::connect(director).unwrap())
        .collect();
    for i in 0..5 {
        assert_eq!(request_status("quiet", &format!("w{i}")), Some(201), "{i}");
    }
    silent[0]
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    assert_eq!(silent[0].read(&mut [0; 9]).unwrap(), 0);
    // The newest connection is not evicted.
    let last = silent.len() - 1;
    silent[last]
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    assert!(
        silent[last].read(&mut [0; 9]).is_err(),
        "the newest connection is still open"
    );
}

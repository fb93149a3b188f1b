//! A hosted service in processes: the API, and fronts that follow its tenants.

mod hosted;
#[path = "../../server/tests/scripted/mod.rs"]
mod scripted;
use hosted::*;
use scripted::Act;
use scripted::Node;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[test]
fn changes_reach_three_fronts_and_a_front_cut_off_goes_on_with_the_last() {
    let node = Node::start(&[]);
    let mut service = Service::new(&[&node], 3);
    assert_eq!(
        service.ask(0, "a", "v0").0,
        503,
        "nothing is known yet, so nobody is unknown"
    );
    service.rolled_out(
        "POST",
        "/tenants",
        &json!({ "id": "a", "terms": terms(json!({})) }),
    );
    for front in 0..3 {
        assert_eq!(service.ask(front, "a", "v1").0, 201);
        assert_eq!(service.ask(front, "b", "v1").0, 404, "no such tenant");
    }
    let mut took: Vec<Duration> = (0..100)
        .map(|i| {
            service.rolled_out(
                "PATCH",
                "/tenants/a",
                &json!({ "display_name": format!("{i}") }),
            )
        })
        .collect();
    took.sort();
    println!(
        "a change at three fronts: p50 {:?}, p99 {:?}",
        took[50], took[98]
    );
    assert!(took[98] < Duration::from_millis(500), "{:?}", took[98]);

    // The API is gone: fronts go on with what they had and say so.
    let address = service.admin.1.to_string();
    service.admin.0.kill().unwrap();
    service.admin.0.wait().unwrap();
    let until = Instant::now() + Duration::from_secs(5);
    let followed = |s: &Service| {
        http(s.fronts[1].1, "GET", "/state", "", &Value::Null).1["tenants_followed"].clone()
    };
    while followed(&service) != json!(false) {
        assert!(
            Instant::now() < until,
            "it is not told that changes are not heard"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(service.ask(1, "a", "v2").0, 201);
    // Back, with what it had; the next change is followed again.
    service.admin = Service::admin(&service.dir, &address);
    service.rolled_out("POST", "/tenants/a/suspend", &Value::Null);
    assert_eq!(service.ask(1, "a", "v3").0, 404, "suspended");
}

#[test]
fn a_tenant_above_its_limit_is_turned_away_with_honest_advice_and_another_is_not() {
    let node = Node::start(&[]);
    let service = Service::new(&[&node], 1);
    let limit = terms(json!({ "set_ups_per_s": 5.0 }));
    service.rolled_out("POST", "/tenants", &json!({ "id": "loud", "terms": limit }));
    service.rolled_out(
        "POST",
        "/tenants",
        &json!({ "id": "quiet", "terms": terms(json!({})) }),
    );
    let mut away = Vec::new();
    for i in 0..40 {
        let (status, said) = service.ask(0, "loud", &format!("l{i}"));
        if status == 503 {
            away.push(said["come_back_ms"].as_f64().expect("advice"));
        }
        assert_eq!(service.ask(0, "quiet", &format!("q{i}")).0, 201, "{i}");
    }
    assert!(away.len() > 10, "{away:?}");
    std::thread::sleep(Duration::from_secs_f64(
        away.last().unwrap() / 1000.0 + 0.01,
    ));
    assert_eq!(service.ask(0, "loud", "again").0, 201, "the advice holds");
    // The same viewer asks again for what plays: that is no new set-up, whatever the limit.
    assert_eq!(service.ask(0, "loud", "again").0, 201);
}

#[test]
fn a_deleted_tenants_sessions_end_at_its_limit_and_a_suspended_ones_play_on() {
    let node = Node::start(&[]);
    let service = Service::new(&[&node], 1);
    for id in ["kept", "gone"] {
        service.rolled_out(
            "POST",
            "/tenants",
            &json!({ "id": id, "terms": terms(json!({})) }),
        );
        assert_eq!(service.ask(0, id, "v").0, 201);
    }
    service.rolled_out("POST", "/tenants/kept/suspend", &Value::Null);
    service.rolled_out("DELETE", "/tenants/gone", &Value::Null);
    assert_eq!(
        (service.ask(0, "gone", "w").0, service.ask(0, "kept", "w").0),
        (404, 404),
        "nothing new"
    );
    assert_eq!(
        http(service.fronts[0].1, "GET", "/state", "", &Value::Null).1["playing"],
        2
    );
    assert_eq!(
        node.wait_for("DELETE", 1).len(),
        1,
        "the deleted one's ends after its second"
    );
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(node.lines("DELETE").len(), 1);
    assert_eq!(
        http(service.fronts[0].1, "GET", "/state", "", &Value::Null).1["playing"],
        1
    );
    // Its id is free once the front has said so, and no other front can be there that has not.
    let made = json!({ "id": "gone", "terms": terms(json!({})) });
    assert_eq!(service.api("POST", "/tenants", &made).0, 409);
    let usage = service.api("GET", "/tenants/kept/usage", &Value::Null).1;
    assert_eq!(usage["sessions"], 1);
    // Its sessions one by one, as the front tells once it has been asked.
    let until = Instant::now() + Duration::from_secs(8);
    let shown = loop {
        let shown =
            service.api("GET", "/tenants/kept/sessions", &Value::Null).1["fronts"][0].clone();
        if shown["sessions"].is_array() {
            break shown;
        }
        assert!(Instant::now() < until, "the front never tells: {shown}");
        std::thread::sleep(Duration::from_millis(100));
    };
    assert_eq!(shown["sessions"].as_array().unwrap().len(), 1, "{shown}");
    assert_eq!(shown["sessions"][0]["title"], "monday");
    assert_eq!(shown["sessions"][0]["plays"], true);
    let until = Instant::now() + Duration::from_secs(20);
    while service.api("POST", "/tenants", &made).0 != 201 {
        assert!(Instant::now() < until, "the id is never free");
        std::thread::sleep(Duration::from_millis(200));
    }
}

#[test]
fn classes_titles_and_rungs_are_each_tenants_own_and_held_sessions_keep_theirs() {
    let nodes = [Node::start(&[]), Node::start(&[])];
    let service = Service::new(&[&nodes[0], &nodes[1]], 1);
    let class = |floor, top| json!({ "paid": false, "aim_ms": 1000, "give_up_ms": 4000, "worth": 1.0, "floor": floor, "top": top });
    let made = |id: &str, class: &Value, home: u64| {
        let terms = json!({ "display_name": id, "share": 1.0, "classes": { "playroom": class },
            "titles": { "garden": { "home": home, "spread": 1 } } });
        service.rolled_out("POST", "/tenants", &json!({ "id": id, "terms": terms }));
    };
    made("low", &class(0, 0), 0);
    made("high", &class(1, 1), 1);
    let ask = |tenant: &str, viewer: &str, class: &str, title: &str| {
        let wanted = json!({ "viewer": viewer, "tenant": tenant, "class": class, "title": title });
        http(service.fronts[0].1, "POST", "/sessions", "", &wanted)
    };
    // The same names mean each tenant's own: where they lie, and the rungs.
    for (tenant, rung, node) in [("low", 0, 0), ("high", 1, 1)] {
        let (status, said) = ask(tenant, "v", "playroom", "garden");
        assert_eq!(
            (status, &said["rung"]),
            (201, &json!(rung)),
            "{tenant}: {said}"
        );
        assert_eq!(nodes[node].wait_for("PUT", 1).len(), 1, "{tenant}");
    }
    // What the site or another tenant calls its own is not there for one that has its own.
    assert_eq!(ask("low", "w", "room", "garden").0, 404);
    assert_eq!(ask("low", "w", "playroom", "monday").0, 404);
    // The ladder changes while a session plays on the old rung: it plays on, and the next has the new one.
    let change = json!({ "classes": { "playroom": { "floor": 1, "top": 1 } } });
    service.rolled_out("PATCH", "/tenants/low", &change);
    let (status, said) = ask("low", "v", "playroom", "garden");
    assert_eq!(
        (status, &said["rung"]),
        (201, &json!(0)),
        "the viewer's session as it was: {said}"
    );
    assert_eq!(ask("low", "w", "playroom", "garden").1["rung"], 1);
    // Its title is taken away while it is watched: nothing new of it, and the viewer's own is still there.
    let change = json!({ "titles": { "garden": null, "street": { "home": 0, "spread": 2 } } });
    service.rolled_out("PATCH", "/tenants/low", &change);
    assert_eq!(ask("low", "x", "playroom", "garden").0, 404);
    assert_eq!(ask("low", "v", "playroom", "garden").0, 201);
    assert_eq!(ask("low", "x", "playroom", "street").0, 201);
}

#[test]
fn nodes_of_a_tenants_own_take_its_sessions_alone() {
    let nodes = [Node::start(&[]), Node::start(&[])];
    let service = Service::new(&[&nodes[0], &nodes[1]], 1);
    service.rolled_out(
        "POST",
        "/tenants",
        &json!({ "id": "pool", "terms": terms(json!({})) }),
    );
    let mut own = terms(json!({}));
    own["fleet"] = json!({ "own": [1] });
    service.rolled_out("POST", "/tenants", &json!({ "id": "own", "terms": own }));
    for i in 0..12 {
        for tenant in ["pool", "own"] {
            assert_eq!(
                service.ask(0, tenant, &format!("v{i}")).0,
                201,
                "{tenant} {i}"
            );
        }
    }
    assert_eq!(
        [nodes[0].lines("PUT").len(), nodes[1].lines("PUT").len()],
        [12, 12]
    );
    // The nodes go back to the pool while its sessions play there.
    service.rolled_out("PATCH", "/tenants/own", &json!({ "fleet": "pool" }));
    for i in 0..40 {
        assert_eq!(service.ask(0, "pool", &format!("w{i}")).0, 201);
    }
    assert!(nodes[1].lines("PUT").len() > 12, "the pool has it back");
    assert_eq!(nodes[1].lines("DELETE").len(), 0);
}

#[test]
fn a_paid_set_up_of_a_tenant_suspended_mid_way_has_one_answer_and_is_set_up_once() {
    let node = Node::start(&[Act::Play(Duration::from_millis(900))]);
    let service = Service::new(&[&node], 1);
    service.rolled_out(
        "POST",
        "/tenants",
        &json!({ "id": "a", "terms": terms(json!({})) }),
    );
    let front = service.fronts[0].1;
    let waits = std::thread::spawn(move || {
        let wanted = json!({ "viewer": "v", "tenant": "a", "class": "report", "title": "monday" });
        http(front, "POST", "/sessions", "", &wanted)
    });
    node.wait_for("PUT", 1);
    service.rolled_out("POST", "/tenants/a/suspend", &Value::Null);
    assert_eq!(waits.join().unwrap().0, 201);
    assert_eq!(node.lines("PUT").len(), 1);
}

/// Sends a request in two parts and returns the connection between them.
fn begun(front: SocketAddr, fields: &str, body: &str, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(front).unwrap();
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
    let mut said = [0; 12];
    stream.read_exact(&mut said).ok()?;
    String::from_utf8_lossy(&said[9..]).parse().ok()
}

#[test]
fn connections_and_sizes_are_each_tenants_own_before_content_is_read() {
    let node = Node::start(&[]);
    let service = Service::with(&[&node], 1, |plan| plan.front.max_connections = 40);
    let front = service.fronts[0].1;
    let limit = terms(json!({ "connections": 3, "body_bytes": 200, "head_bytes": 400 }));
    service.rolled_out("POST", "/tenants", &json!({ "id": "loud", "terms": limit }));
    service.rolled_out(
        "POST",
        "/tenants",
        &json!({ "id": "quiet", "terms": terms(json!({})) }),
    );
    let field = |tenant: &str| format!("Shalewall-Tenant: {tenant}\r\n");
    let wanted =
        |viewer: &str| json!({ "viewer": viewer, "class": "room", "title": "monday" }).to_string();
    let ask = |tenant: &str, viewer: &str| {
        let body = wanted(viewer);
        status(begun(front, &field(tenant), &body, body.len()))
    };
    assert_eq!(
        ask("quiet", "v"),
        Some(201),
        "the field alone names the tenant"
    );
    // Sizes: too much is told from the head, before any of the content has come.
    assert_eq!(status(begun(front, &field("loud"), "", 201)), Some(413));
    let long = format!("{}X-Long: {}\r\n", field("loud"), "x".repeat(400));
    assert_eq!(status(begun(front, &long, "", 10)), Some(431));
    assert_eq!(status(begun(front, &field("nobody"), "", 10)), Some(404));
    let other =
        json!({ "viewer": "v", "tenant": "quiet", "class": "room", "title": "monday" }).to_string();
    assert_eq!(
        status(begun(front, &field("loud"), &other, other.len())),
        Some(422),
        "two names"
    );
    // Content that never ends: three of the loud one's own, and a fourth takes the place of the first.
    let mut slow: Vec<_> = (0..4)
        .map(|_| begun(front, &field("loud"), "{", 100))
        .collect();
    slow[0]
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    assert_eq!(
        slow[0].read(&mut [0; 9]).unwrap(),
        0,
        "closed for its tenant's next"
    );
    // Those who say nothing have a quarter of the front, and the longest silent goes first.
    let mut silent: Vec<_> = (0..30)
        .map(|_| TcpStream::connect(front).unwrap())
        .collect();
    for i in 0..5 {
        assert_eq!(ask("quiet", &format!("w{i}")), Some(201), "{i}");
    }
    silent[0]
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    assert_eq!(silent[0].read(&mut [0; 9]).unwrap(), 0);
    // A request that waits for its answer is not closed, however many come.
    let last = silent.len() - 1;
    silent[last]
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    assert!(
        silent[last].read(&mut [0; 9]).is_err(),
        "the last to come is still there"
    );
}

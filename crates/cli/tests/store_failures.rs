//! Failures of the store while the service runs: a full disk, a truncated file, and an API that is down. Directors keep
//! serving, changes fail with a 5xx status, and no change is applied partially.

mod hosted;
#[path = "../../server/tests/scripted/mod.rs"]
mod scripted;
use hosted::*;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use scripted::Node;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn new_tenant_body(id: &str, title_count: usize) -> Value {
    let mut terms = terms(json!({}));
    let title = |i| (format!("title-{i}"), json!({ "home": 0, "spread": 1 }));
    let titles: serde_json::Map<_, _> = (0..title_count)
        .map(title)
        .chain([("monday".into(), title(0).1)])
        .collect();
    terms["titles"] = titles.into();
    json!({ "id": id, "terms": terms })
}

#[test]
fn full_disk_fails_only_changes_until_there_is_space() {
    let node = Node::start(&[]);
    let service = Service::new(&[&node], 1);
    service.change_and_wait("POST", "/tenants", &new_tenant_body("a", 1));
    // From now on the file can't grow.
    let file = service.dir.path().join("tenants.redb");
    let size = std::fs::metadata(&file).unwrap().len();
    let pid = Pid::from_raw(service.admin.0.id() as i32);
    let set_file_size_limit = |bytes| {
        prlimit(
            pid,
            Resource::Fsize,
            Rlimit {
                current: bytes,
                maximum: None,
            },
        )
        .unwrap();
    };
    set_file_size_limit(Some(size));
    let mut created = Vec::new();
    let rejected = (0..200).find_map(|i| {
        let id = format!("t{i}");
        let (status, body) = service.call_api("POST", "/tenants", &new_tenant_body(&id, 500));
        if status == 201 {
            created.push(id)
        } else {
            assert!(status >= 500, "{status} {body}")
        }
        (status != 201).then_some((i, status, body))
    });
    let (i, status, body) = rejected.expect("the disk is full in the end");
    assert_eq!((status, &body["status"]), (503, &json!(503)), "{body}");
    assert!(
        body["detail"]
            .as_str()
            .unwrap()
            .contains("nothing was changed"),
        "{body}"
    );
    // Existing tenants can be read, the director serves, and the rejected tenant does not exist.
    assert_eq!(service.call_api("GET", "/tenants/a", &Value::Null).0, 200);
    assert_eq!(
        service
            .call_api("GET", &format!("/tenants/t{i}"), &Value::Null)
            .0,
        404
    );
    assert_eq!(service.request_session(0, "a", "v").0, 201);
    for i in 0..5 {
        let (status, body) =
            service.call_api("POST", "/tenants", &new_tenant_body(&format!("u{i}"), 5000));
        assert_eq!(status, 503, "{body}");
        assert_eq!(
            service.call_api("GET", "/tenants/a", &Value::Null).0,
            200,
            "{i}"
        );
    }
    // With space again, the same process accepts changes, and directors receive them.
    set_file_size_limit(None);
    service.change_and_wait("POST", "/tenants", &new_tenant_body("late", 500));
    assert_eq!(service.request_session(0, "late", "v").0, 201);
    for id in created.iter().chain([&"a".to_string()]) {
        assert_eq!(
            service
                .call_api("GET", &format!("/tenants/{id}"), &Value::Null)
                .0,
            200,
            "{id}"
        );
    }
    let Service {
        mut admin,
        directors,
        dir,
        ..
    } = service;
    admin.0.kill().unwrap();
    admin.0.wait().unwrap();
    drop(directors);
    let store = shalewall_store::Store::open(&dir.path().join("tenants.redb")).unwrap();
    assert_eq!(store.check().unwrap().tenants, created.len() + 2);
}

#[test]
fn truncated_store_is_reported_at_the_start_and_directors_keep_serving() {
    let node = Node::start(&[]);
    let mut service = Service::new(&[&node], 1);
    service.change_and_wait("POST", "/tenants", &new_tenant_body("a", 1));
    service.admin.0.kill().unwrap();
    service.admin.0.wait().unwrap();
    let file = service.dir.path().join("tenants.redb");
    let intact = std::fs::read(&file).unwrap();
    std::fs::write(&file, &intact[..intact.len() / 3]).unwrap();
    let config = service.dir.path().join("admin.hcl");
    let args = ["admin", "--config", config.to_str().unwrap()];
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_shalewall"))
        .args(args)
        .output()
        .unwrap();
    assert!(!output.status.success());
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        errors.contains("damaged") && !errors.contains("panicked"),
        "{errors}"
    );
    assert_eq!(service.request_session(0, "a", "v").0, 201);
    // With the intact file restored, the service continues.
    std::fs::write(&file, intact).unwrap();
    service.admin = Service::start_admin(&service.dir, &service.admin.1.to_string());
    service.change_and_wait("PATCH", "/tenants/a", &json!({ "display_name": "y" }));
}

#[test]
fn deletion_continues_after_restarts_of_the_api_and_the_director() {
    let node = Node::start(&[]);
    let mut service = Service::new(&[&node], 1);
    service.change_and_wait("POST", "/tenants", &new_tenant_body("gone", 1));
    assert_eq!(service.request_session(0, "gone", "v").0, 201);
    service.change_and_wait("DELETE", "/tenants/gone", &Value::Null);
    // The deadline of the deletion passes while the API is down: the director ends the sessions by itself.
    let address = service.admin.1.to_string();
    service.admin.0.kill().unwrap();
    service.admin.0.wait().unwrap();
    assert_eq!(node.wait_for("DELETE", 1).len(), 1);
    service.admin = Service::start_admin(&service.dir, &address);
    assert_eq!(
        service.call_api("GET", "/tenants/gone", &Value::Null).1["state"]["is"],
        "deleting"
    );
    assert_eq!(
        service
            .call_api("POST", "/tenants", &new_tenant_body("gone", 1))
            .0,
        409,
        "the id is in use until the director reports no sessions"
    );
    // A restarted director receives the deletion before it admits any request.
    let config = service.dir.path().join("front-0.hcl");
    service.directors.clear();
    service.directors.push(start_process(&[
        "serve",
        "--config",
        config.to_str().unwrap(),
    ]));
    let deadline = Instant::now() + Duration::from_secs(20);
    while service
        .call_api("POST", "/tenants", &new_tenant_body("gone", 1))
        .0
        != 201
    {
        let status = service.request_session(0, "gone", "w").0;
        assert!(
            matches!(status, 404 | 503),
            "{status}: a tenant being deleted gets no new sessions"
        );
        assert!(Instant::now() < deadline, "the id is never released");
        std::thread::sleep(Duration::from_millis(200));
    }
}

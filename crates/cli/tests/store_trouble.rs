//! The store fails while the service runs: full, torn, away. Serving goes on, changes get a clear 5xx, and nothing is
//! half done.

mod hosted;
#[path = "../../server/tests/scripted/mod.rs"]
mod scripted;
use hosted::*;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use scripted::Node;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn named(id: &str, words: usize) -> Value {
    let mut terms = terms(json!({}));
    let title = |i| (format!("title-{i}"), json!({ "home": 0, "spread": 1 }));
    let titles: serde_json::Map<_, _> = (0..words)
        .map(title)
        .chain([("monday".into(), title(0).1)])
        .collect();
    terms["titles"] = titles.into();
    json!({ "id": id, "terms": terms })
}

#[test]
fn a_full_disk_turns_changes_away_and_nothing_else_and_passes() {
    let node = Node::start(&[]);
    let service = Service::new(&[&node], 1);
    service.rolled_out("POST", "/tenants", &named("a", 1));
    // From now on the file may not grow.
    let file = service.dir.path().join("tenants.redb");
    let size = std::fs::metadata(&file).unwrap().len();
    let pid = Pid::from_raw(service.admin.0.id() as i32);
    let bound = |most| {
        prlimit(
            pid,
            Resource::Fsize,
            Rlimit {
                current: most,
                maximum: None,
            },
        )
        .unwrap();
    };
    bound(Some(size));
    let mut made = Vec::new();
    let refused = (0..200).find_map(|i| {
        let id = format!("t{i}");
        let (status, said) = service.api("POST", "/tenants", &named(&id, 500));
        if status == 201 {
            made.push(id)
        } else {
            assert!(status >= 500, "{status} {said}")
        }
        (status != 201).then_some((i, status, said))
    });
    let (i, status, said) = refused.expect("the disk is full at last");
    assert_eq!((status, &said["status"]), (503, &json!(503)), "{said}");
    assert!(
        said["detail"]
            .as_str()
            .unwrap()
            .contains("nothing was changed"),
        "{said}"
    );
    // What was there is read, the front serves, and the one that was turned away is not there.
    assert_eq!(service.api("GET", "/tenants/a", &Value::Null).0, 200);
    assert_eq!(
        service
            .api("GET", &format!("/tenants/t{i}"), &Value::Null)
            .0,
        404
    );
    assert_eq!(service.ask(0, "a", "v").0, 201);
    for i in 0..5 {
        let (status, said) = service.api("POST", "/tenants", &named(&format!("u{i}"), 5000));
        assert_eq!(status, 503, "{said}");
        assert_eq!(service.api("GET", "/tenants/a", &Value::Null).0, 200, "{i}");
    }
    // There is room again: the same service takes changes again, and fronts hear of them.
    bound(None);
    service.rolled_out("POST", "/tenants", &named("late", 500));
    assert_eq!(service.ask(0, "late", "v").0, 201);
    for id in made.iter().chain([&"a".to_string()]) {
        assert_eq!(
            service
                .api("GET", &format!("/tenants/{id}"), &Value::Null)
                .0,
            200,
            "{id}"
        );
    }
    let Service {
        mut admin,
        fronts,
        dir,
        ..
    } = service;
    admin.0.kill().unwrap();
    admin.0.wait().unwrap();
    drop(fronts);
    let store = shalewall_store::Store::open(&dir.path().join("tenants.redb")).unwrap();
    assert_eq!(store.check().unwrap().tenants, made.len() + 2);
}

#[test]
fn a_torn_store_is_told_at_the_start_and_fronts_go_on() {
    let node = Node::start(&[]);
    let mut service = Service::new(&[&node], 1);
    service.rolled_out("POST", "/tenants", &named("a", 1));
    service.admin.0.kill().unwrap();
    service.admin.0.wait().unwrap();
    let file = service.dir.path().join("tenants.redb");
    let whole = std::fs::read(&file).unwrap();
    std::fs::write(&file, &whole[..whole.len() / 3]).unwrap();
    let plan = service.dir.path().join("admin.hcl");
    let args = ["admin", "--config", plan.to_str().unwrap()];
    let shown = std::process::Command::new(env!("CARGO_BIN_EXE_shalewall"))
        .args(args)
        .output()
        .unwrap();
    assert!(!shown.status.success());
    let said = String::from_utf8_lossy(&shown.stderr).into_owned();
    assert!(
        said.contains("damaged") && !said.contains("panicked"),
        "{said}"
    );
    assert_eq!(service.ask(0, "a", "v").0, 201);
    // What is put back in its place goes on.
    std::fs::write(&file, whole).unwrap();
    service.admin = Service::admin(&service.dir, &service.admin.1.to_string());
    service.rolled_out("PATCH", "/tenants/a", &json!({ "display_name": "y" }));
}

#[test]
fn a_deletion_goes_on_where_it_was_when_the_api_and_the_front_come_back() {
    let node = Node::start(&[]);
    let mut service = Service::new(&[&node], 1);
    service.rolled_out("POST", "/tenants", &named("gone", 1));
    assert_eq!(service.ask(0, "gone", "v").0, 201);
    service.rolled_out("DELETE", "/tenants/gone", &Value::Null);
    // The API is away while its time runs out: the front knows it and ends what plays.
    let address = service.admin.1.to_string();
    service.admin.0.kill().unwrap();
    service.admin.0.wait().unwrap();
    assert_eq!(node.wait_for("DELETE", 1).len(), 1);
    service.admin = Service::admin(&service.dir, &address);
    assert_eq!(
        service.api("GET", "/tenants/gone", &Value::Null).1["state"]["is"],
        "deleting"
    );
    assert_eq!(
        service.api("POST", "/tenants", &named("gone", 1)).0,
        409,
        "not free before the front says so"
    );
    // A front that begins anew hears of the deletion before anything else.
    let plan = service.dir.path().join("front-0.hcl");
    service.fronts.clear();
    service
        .fronts
        .push(start(&["serve", "--config", plan.to_str().unwrap()]));
    let until = Instant::now() + Duration::from_secs(20);
    while service.api("POST", "/tenants", &named("gone", 1)).0 != 201 {
        let asked = service.ask(0, "gone", "w").0;
        assert!(
            matches!(asked, 404 | 503),
            "{asked}: nothing new of what is being deleted"
        );
        assert!(Instant::now() < until, "the id is never free");
        std::thread::sleep(Duration::from_millis(200));
    }
}

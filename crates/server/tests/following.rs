//! The side of players that follow their session: what they may say, and what a front makes of nonsense.

mod scripted;

use scripted::{Node, plan};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// A front over one scripted node, which hands sessions over or not.
fn front(moves: bool) -> SocketAddr {
    let node = Node::start(&[]);
    let mut plan = plan(&[&node]);
    let dir = tempfile::tempdir().unwrap();
    if moves {
        let file = dir.path().join("move.key");
        std::fs::write(&file, "5a".repeat(32)).unwrap();
        let text = "moves {}";
        let found: std::collections::BTreeMap<String, shalewall_settings::MigrationSettings> =
            hcl::from_str(text).unwrap();
        plan.site.moves = found.into_values().next();
        plan.front.ticket_key_file = Some(file);
    }
    let (sender, address) = mpsc::channel();
    thread::spawn(move || {
        let ex = Rc::new(async_executor::LocalExecutor::new());
        let serving = shalewall_server::Server::start(&ex, &plan).unwrap();
        sender.send(serving.address).unwrap();
        async_io::block_on(ex.run(futures_lite::future::pending::<()>()));
    });
    let address = address.recv().unwrap();
    drop(dir);
    thread::sleep(Duration::from_millis(200));
    address
}

/// What comes within a moment on a request of its own connection.
fn call(front: SocketAddr, line: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(front).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(400)))
        .unwrap();
    let request = format!(
        "{line} HTTP/1.1\r\nHost: f\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let (mut said, mut buf) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        said.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&said).into_owned()
}

fn status(said: &str) -> u16 {
    said.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0)
}

#[test]
fn words_are_understood_or_refused_and_none_of_them_is_taken_for_another_session() {
    let front = front(true);
    let table = [
        ("POST /sessions/7/silent", "{\"buffer_ms\":700}", 204),
        ("POST /sessions/7/playing", "{\"epoch\":1}", 204),
        ("POST /sessions/7/declined", "{\"epoch\":4294967295}", 204),
        ("POST /sessions/7/declined", "{\"epoch\":4294967296}", 422),
        ("POST /sessions/7/silent", "{\"buffer_ms\":-1}", 422),
        ("POST /sessions/7/silent", "{\"buffer_ms\":1e99}", 422),
        ("POST /sessions/7/playing", "", 422),
        ("POST /sessions/7/playing", "[[[[", 422),
        ("POST /sessions/7/moved", "{\"epoch\":1}", 404),
        ("POST /sessions/x/playing", "{\"epoch\":1}", 404),
        ("POST /sessions/7/playing/1", "{\"epoch\":1}", 404),
        ("DELETE /sessions/7/playing", "", 404),
        ("GET /sessions/7/events?epoch=x", "", 400),
        ("GET /sessions/18446744073709551616/events", "", 404),
    ];
    for (line, body, wanted) in table {
        let said = call(front, line, body);
        assert_eq!(status(&said), wanted, "{line} {body}: {said}");
    }
    assert_eq!(status(&call(front, "GET /state", "")), 200, "it goes on");
}

#[test]
fn a_player_that_follows_a_session_that_is_not_there_is_told_so() {
    let said = call(front(true), "GET /sessions/7/events", "");
    assert_eq!(status(&said), 200, "{said}");
    assert!(said.contains("event: over"), "{said}");
}

#[test]
fn where_nothing_is_handed_over_players_are_told_at_once() {
    let front = front(false);
    assert_eq!(status(&call(front, "GET /sessions/7/events", "")), 404);
    assert_eq!(
        status(&call(
            front,
            "POST /sessions/7/silent",
            "{\"buffer_ms\":700}"
        )),
        204,
        "and it does no harm"
    );
}

#[test]
fn a_key_that_is_none_keeps_a_front_from_starting() {
    let dir = tempfile::tempdir().unwrap();
    let node = Node::start(&[]);
    let mut plan = plan(&[&node]);
    let found: std::collections::BTreeMap<String, shalewall_settings::MigrationSettings> =
        hcl::from_str("moves {}").unwrap();
    plan.site.moves = found.into_values().next();
    for text in [None, Some(""), Some("5a5a"), Some("not hexadecimal")] {
        let file = dir.path().join("move.key");
        text.into_iter()
            .for_each(|text| std::fs::write(&file, text).unwrap());
        plan.front.ticket_key_file = Some(file);
        let ex = Rc::new(async_executor::LocalExecutor::new());
        let error = shalewall_server::Server::start(&ex, &plan)
            .err()
            .expect("no front")
            .to_string();
        assert!(error.contains("move.key"), "{error}");
    }
}

//! Event streams and reports of players: valid ones, invalid ones, and those for unknown sessions.

mod scripted;

use scripted::{Node, server_config};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Starts a director with one scripted node, with or without migration.
fn start_director(with_migration: bool) -> SocketAddr {
    let node = Node::start(&[]);
    let mut config = server_config(&[&node]);
    let dir = tempfile::tempdir().unwrap();
    if with_migration {
        let file = dir.path().join("move.key");
        std::fs::write(&file, "5a".repeat(32)).unwrap();
        let text = "moves {}";
        let blocks: std::collections::BTreeMap<String, shalewall_settings::MigrationSettings> =
            hcl::from_str(text).unwrap();
        config.site.moves = blocks.into_values().next();
        config.front.ticket_key_file = Some(file);
    }
    let (sender, address) = mpsc::channel();
    thread::spawn(move || {
        let executor = Rc::new(async_executor::LocalExecutor::new());
        let server = shalewall_server::Server::start(&executor, &config).unwrap();
        sender.send(server.address).unwrap();
        async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
    });
    let address = address.recv().unwrap();
    drop(dir);
    thread::sleep(Duration::from_millis(200));
    address
}

/// Sends a request on a new connection. Returns all bytes received until 400 ms pass without any.
fn call(director: SocketAddr, line: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(director).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(400)))
        .unwrap();
    let request = format!(
        "{line} HTTP/1.1\r\nHost: f\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let (mut received, mut buf) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        received.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&received).into_owned()
}

fn status(response: &str) -> u16 {
    response
        .get(9..12)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

#[test]
fn player_reports_are_validated_by_path_and_content() {
    let director = start_director(true);
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
    for (line, body, expected) in table {
        let response = call(director, line, body);
        assert_eq!(status(&response), expected, "{line} {body}: {response}");
    }
    assert_eq!(
        status(&call(director, "GET /state", "")),
        200,
        "the director still serves"
    );
}

#[test]
fn event_stream_of_an_unknown_session_reports_its_end() {
    let response = call(start_director(true), "GET /sessions/7/events", "");
    assert_eq!(status(&response), 200, "{response}");
    assert!(response.contains("event: over"), "{response}");
}

#[test]
fn event_streams_are_rejected_without_migration() {
    let director = start_director(false);
    assert_eq!(status(&call(director, "GET /sessions/7/events", "")), 404);
    assert_eq!(
        status(&call(
            director,
            "POST /sessions/7/silent",
            "{\"buffer_ms\":700}"
        )),
        204,
        "a report without migration is accepted and ignored"
    );
}

#[test]
fn invalid_ticket_key_prevents_the_start() {
    let dir = tempfile::tempdir().unwrap();
    let node = Node::start(&[]);
    let mut config = server_config(&[&node]);
    let blocks: std::collections::BTreeMap<String, shalewall_settings::MigrationSettings> =
        hcl::from_str("moves {}").unwrap();
    config.site.moves = blocks.into_values().next();
    for text in [None, Some(""), Some("5a5a"), Some("not hexadecimal")] {
        let file = dir.path().join("move.key");
        text.into_iter()
            .for_each(|text| std::fs::write(&file, text).unwrap());
        config.front.ticket_key_file = Some(file);
        let executor = Rc::new(async_executor::LocalExecutor::new());
        let error = shalewall_server::Server::start(&executor, &config)
            .err()
            .expect("the start fails")
            .to_string();
        assert!(error.contains("move.key"), "{error}");
    }
}

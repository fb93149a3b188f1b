//! `shalewall direct` as the platform starts it: the process, its signals and its messages on sockets.

mod environment;
use environment::*;
use std::io::{Read, Write};

#[test]
fn session_from_readiness_test_to_release() {
    let environment = Environment::new();
    let _director = environment.start_director();
    let mut viewer = environment.viewer();
    viewer.send(r#"{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}"#);
    assert!(
        viewer
            .receive()
            .contains(r#""verb":"ECHOED","tag":"0000000000000001","opts":{},"rc":1"#)
    );
    viewer.request_session(7);
    let mut node = accept(&environment.node);
    answer_set_up(&mut node, 7);
    assert!(viewer.receive().contains(r#""blob":"there\r\n""#));
    // The node's process ends: its connection is reset and the next one refused.
    drop(environment.node);
    drop(node);
    assert!(
        viewer
            .receive()
            .contains(r#""verb":"FINISH","tag":"0000000000000007","opts":{},"rc":41"#)
    );
}

/// The node sends a release after the director has closed its half of the connection, the last possible moment.
#[test]
fn release_from_a_node_is_read_while_its_connection_closes() {
    let environment = Environment::new();
    let _director = environment.start_director();
    let mut viewer = environment.viewer();
    viewer.request_session(7);
    let mut node = accept(&environment.node);
    answer_set_up(&mut node, 7);
    assert!(viewer.receive().contains("STARTED"));
    // A cancelled set-up makes the director close the connection.
    viewer.request_session(8);
    let mut buf = [0; 4096];
    assert!(node.read(&mut buf).unwrap() > 0);
    viewer.send(r#"{"verb":"FINISH","tag":"0000000000000008","opts":{},"rc":16}"#);
    while node.read(&mut buf).unwrap() > 0 {}
    let head = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000007\r\n";
    let release = format!("{head}Reason: cause=16\r\nContent-Length: 0\r\n\r\n");
    node.write_all(release.as_bytes()).unwrap();
    drop(node);
    assert!(viewer.receive().contains("FINISHED"));
    assert!(
        viewer
            .receive()
            .contains(r#""verb":"FINISH","tag":"0000000000000007","opts":{},"rc":16"#)
    );
}

#[test]
fn journal_connection_breaks_inside_an_event_and_the_service_moves() {
    let environment = Environment::new();
    let director = environment.start_director();
    let mut journal = accept(&environment.journal);
    assert_eq!(read_position(&mut journal), 1);
    let drain = [
        0, 0, 0, 1, 127, 0, 0, 1, 0, 9, 1, 0, 0, 0, 0, 0, 0, 3, 0xe8, 0, 0, 0, 0, 0, 0, 0, 0,
    ];
    let frame = [&[0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 2, 2], &drain[..]].concat();
    journal.write_all(&frame[..20]).unwrap();
    drop(journal);
    let mut journal = accept(&environment.journal);
    assert_eq!(
        read_position(&mut journal),
        1,
        "an incomplete event is ignored"
    );
    journal
        .write_all(&[&frame[..], &frame[..]].concat())
        .unwrap();
    // The only node is draining, so the readiness test fails.
    let mut viewer = environment.viewer();
    viewer.wait_until_not_ready();
    let elsewhere = listener();
    environment.write_config(&address(&elsewhere));
    director.signal(rustix::process::Signal::HUP);
    assert_eq!(
        read_position(&mut accept(&elsewhere)),
        2,
        "the position is kept"
    );
    std::fs::write(environment.dir.path().join("config.json"), "{ half a file").unwrap();
    director.signal(rustix::process::Signal::HUP);
    viewer.send(r#"{"verb":"ECHO","tag":"0000000000000002","opts":{},"rc":0}"#);
    assert!(
        viewer.receive().contains("ECHOED"),
        "it continues with its previous configuration"
    );
}

#[test]
fn shutdown_answers_accepted_requests_and_rejects_new_ones() {
    let environment = Environment::new();
    let mut director = environment.start_director();
    let mut viewer = environment.viewer();
    viewer.request_session(7);
    let mut node = accept(&environment.node);
    director.signal(rustix::process::Signal::TERM);
    let mut second_viewer = environment.viewer();
    // Signal and request race. A request after the failed readiness test arrives after the signal.
    second_viewer.wait_until_not_ready();
    second_viewer.request_session(8);
    assert!(second_viewer.receive().contains(r#""rc":34"#));
    answer_set_up(&mut node, 7);
    assert!(viewer.receive().contains("STARTED"));
    let release = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000007\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n";
    node.write_all(release.as_bytes()).unwrap();
    assert!(viewer.receive().contains(r#""rc":16"#));
    assert!(director.0.wait().unwrap().success());
}

/// The platform preloads a library into the process that `run` starts, and forbids child processes, io_uring, splice
/// and sendfile.
#[test]
fn director_is_one_dynamically_linked_process_without_children() {
    let run = include_str!("../../../deploy/balancer.toml")
        .lines()
        .find(|l| l.starts_with("run"))
        .unwrap();
    assert_eq!(run, "run = \"exec target/release/shalewall direct\"");
    let environment = Environment::new();
    let director = environment.start_director();
    let mut viewer = environment.viewer();
    viewer.request_session(7);
    let mut node = accept(&environment.node);
    answer_set_up(&mut node, 7);
    assert!(viewer.receive().contains("STARTED"));
    let proc = std::path::PathBuf::from(format!("/proc/{}", director.0.id()));
    let maps = std::fs::read_to_string(proc.join("maps")).unwrap();
    assert!(
        maps.contains("/libc.so") && maps.contains("/ld-linux"),
        "not linked against the C library"
    );
    for task in std::fs::read_dir(proc.join("task")).unwrap() {
        let children = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap();
        assert!(children.is_empty(), "started {children}");
    }
    for fd in std::fs::read_dir(proc.join("fd")).unwrap() {
        let to = std::fs::read_link(fd.unwrap().path()).unwrap();
        assert!(!to.to_string_lossy().contains("io_uring"), "uses io_uring");
    }
}

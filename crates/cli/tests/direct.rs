//! `shalewall direct` as the platform starts it: a process, its signals, and what it says on sockets.

mod place;
use place::*;
use std::io::{Read, Write};

#[test]
fn a_session_from_test_to_release() {
    let place = Place::new();
    let _director = place.begin();
    let mut viewer = place.viewer();
    viewer.say(r#"{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}"#);
    assert!(
        viewer
            .hear()
            .contains(r#""verb":"ECHOED","tag":"0000000000000001","opts":{},"rc":1"#)
    );
    viewer.ask(7);
    let mut node = accept(&place.node);
    serve(&mut node, 7);
    assert!(viewer.hear().contains(r#""blob":"there\r\n""#));
    // Its process dies: the connection is reset, the next one refused.
    drop(place.node);
    drop(node);
    assert!(
        viewer
            .hear()
            .contains(r#""verb":"FINISH","tag":"0000000000000007","opts":{},"rc":41"#)
    );
}

/// The node writes a release when the director has closed its half of the connection already: as late as can be.
#[test]
fn what_a_node_says_while_its_connection_is_closed_is_heard() {
    let place = Place::new();
    let _director = place.begin();
    let mut viewer = place.viewer();
    viewer.ask(7);
    let mut node = accept(&place.node);
    serve(&mut node, 7);
    assert!(viewer.hear().contains("STARTED"));
    // A set-up that is given up puts its connection in doubt.
    viewer.ask(8);
    let mut buf = [0; 4096];
    assert!(node.read(&mut buf).unwrap() > 0);
    viewer.say(r#"{"verb":"FINISH","tag":"0000000000000008","opts":{},"rc":16}"#);
    while node.read(&mut buf).unwrap() > 0 {}
    let head = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000007\r\n";
    let release = format!("{head}Reason: cause=16\r\nContent-Length: 0\r\n\r\n");
    node.write_all(release.as_bytes()).unwrap();
    drop(node);
    assert!(viewer.hear().contains("FINISHED"));
    assert!(
        viewer
            .hear()
            .contains(r#""verb":"FINISH","tag":"0000000000000007","opts":{},"rc":16"#)
    );
}

#[test]
fn the_journal_service_breaks_off_inside_an_event_and_moves() {
    let place = Place::new();
    let director = place.begin();
    let mut journal = accept(&place.journal);
    assert_eq!(position(&mut journal), 1);
    let drain = [
        0, 0, 0, 1, 127, 0, 0, 1, 0, 9, 1, 0, 0, 0, 0, 0, 0, 3, 0xe8, 0, 0, 0, 0, 0, 0, 0, 0,
    ];
    let frame = [&[0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 2, 2], &drain[..]].concat();
    journal.write_all(&frame[..20]).unwrap();
    drop(journal);
    let mut journal = accept(&place.journal);
    assert_eq!(position(&mut journal), 1, "half an event is none");
    journal
        .write_all(&[&frame[..], &frame[..]].concat())
        .unwrap();
    // Draining: the test fails, as nothing is ready.
    let mut viewer = place.viewer();
    viewer.until_not_ready();
    let elsewhere = listener();
    place.write(&address(&elsewhere));
    director.signal(rustix::process::Signal::HUP);
    assert_eq!(position(&mut accept(&elsewhere)), 2, "the numbers go on");
    std::fs::write(place.dir.path().join("config.json"), "{ half a file").unwrap();
    director.signal(rustix::process::Signal::HUP);
    viewer.say(r#"{"verb":"ECHO","tag":"0000000000000002","opts":{},"rc":0}"#);
    assert!(
        viewer.hear().contains("ECHOED"),
        "it goes on with what it had"
    );
}

#[test]
fn told_to_end_it_answers_what_it_has_taken_and_turns_the_rest_away() {
    let place = Place::new();
    let mut director = place.begin();
    let mut viewer = place.viewer();
    viewer.ask(7);
    let mut node = accept(&place.node);
    director.signal(rustix::process::Signal::TERM);
    let mut late = place.viewer();
    // The signal and the request race: what comes behind the failed test comes behind the signal.
    late.until_not_ready();
    late.ask(8);
    assert!(late.hear().contains(r#""rc":34"#));
    serve(&mut node, 7);
    assert!(viewer.hear().contains("STARTED"));
    let over = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000007\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n";
    node.write_all(over.as_bytes()).unwrap();
    assert!(viewer.hear().contains(r#""rc":16"#));
    assert!(director.0.wait().unwrap().success());
}

/// The platform loads a library into the one process that `run` starts, and refuses it other programs, io_uring,
/// splice and sendfile.
#[test]
fn it_is_one_process_linked_dynamically_that_starts_no_other() {
    let run = include_str!("../../../deploy/balancer.toml")
        .lines()
        .find(|l| l.starts_with("run"))
        .unwrap();
    assert_eq!(run, "run = \"exec target/release/shalewall direct\"");
    let place = Place::new();
    let director = place.begin();
    let mut viewer = place.viewer();
    viewer.ask(7);
    let mut node = accept(&place.node);
    serve(&mut node, 7);
    assert!(viewer.hear().contains("STARTED"));
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

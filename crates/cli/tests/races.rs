//! Races on sockets: a signal, a close, a reset or a silence at the worst moment. The order of events is established by
//! received bytes, never by a pause; a pause only lets time pass for the director.

mod environment;
use environment::*;
use rustix::process::Signal;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::time::{Duration, Instant};

const CANCEL_REQUEST: &str = r#"{"verb":"FINISH","tag":"0000000000000007","opts":{},"rc":16}"#;

/// Reads from a node's connection until the received bytes contain `text`.
fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let (mut received, mut buffer) = (String::new(), [0; 4096]);
    while !received.contains(text) {
        let n = stream.read(&mut buffer).unwrap();
        assert!(n > 0, "closed before {text}: {received}");
        received.push_str(&String::from_utf8_lossy(&buffer[..n]));
    }
    received
}

/// Requests a session and reads the complete set-up at the node. Returns the viewer and the node's connection.
fn start_set_up(environment: &Environment) -> (Viewer, TcpStream) {
    let mut viewer = environment.viewer();
    viewer.request_session(7);
    let mut node = accept(&environment.node);
    read_until(&mut node, "here");
    (viewer, node)
}

fn reject_set_up(node: &mut TcpStream, tag: u64, status: u16) {
    let refusal = format!(
        "RTSP/1.0 {status} No\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: 0\r\n\r\n"
    );
    node.write_all(refusal.as_bytes()).unwrap();
}

fn exchange_echo(viewer: &mut Viewer, tag: u64) {
    viewer.send(&format!(
        r#"{{"verb":"ECHO","tag":"{tag:016x}","opts":{{}},"rc":0}}"#
    ));
    assert!(viewer.receive().contains("ECHOED"));
}

// ---- viewers ----------------------------------------------------------------------------------

/// The client sends more bytes after an invalid message. If the director closed the socket with these unread, the reset
/// would discard its answer.
#[test]
fn client_with_an_invalid_message_reads_the_reason_before_the_close() {
    let environment = Environment::new();
    let _director = environment.start_director();
    let mut viewer = environment.viewer();
    exchange_echo(&mut viewer, 1);
    let noise = vec![b'x'; 100_000];
    let stream = viewer.0.get_mut();
    stream.write_all(b"no message\n").unwrap();
    for _ in 0..2 {
        let _ = stream.write_all(&noise);
    }
    assert!(viewer.receive().contains(r#""rc":95"#));
    let mut rest = Vec::new();
    viewer.0.read_to_end(&mut rest).expect("closed, not reset");
    assert!(rest.is_empty());
}

/// A director that was stopped runs its timers first when it continues. A client without a request for 2 s is closed,
/// but one whose request waits in the socket must be served.
#[test]
fn request_that_arrived_while_the_director_was_stopped_is_served() {
    let mut environment = Environment::new();
    environment.wait_ms = 20_000;
    let director = environment.start_director();
    let mut silent = environment.viewer();
    let mut other = environment.viewer();
    // Accepted after the silent client, so that one is accepted too.
    exchange_echo(&mut other, 1);
    director.signal(Signal::STOP);
    silent.request_session(7);
    std::thread::sleep(Duration::from_millis(2_600));
    director.signal(Signal::CONT);
    answer_set_up(&mut accept(&environment.node), 7);
    assert!(silent.receive().contains("STARTED"));
}

/// The client resets its connection while its set-up is at a node: the director cancels the set-up, and an answer that
/// crosses the cancellation creates no session.
#[test]
fn client_reset_during_a_set_up_leaves_no_session() {
    let environment = Environment::new();
    let _director = environment.start_director();
    let (viewer, mut node) = start_set_up(&environment);
    rustix::net::sockopt::set_socket_linger(viewer.0.get_ref(), Some(Duration::ZERO)).unwrap();
    drop(viewer);
    read_until(&mut node, "TEARDOWN");
    send_set_up_response(&mut node, 7, "there\r\n");
    // The confirmation of a release for an unknown session shows that the answer before it has been read.
    send_release(
        &mut node,
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000099\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n",
    );
    // The next request is served, so no capacity is held by the first one.
    let mut viewer = environment.viewer();
    viewer.request_session(8);
    answer_set_up(&mut node, 8);
    assert!(viewer.receive().contains("0000000000000008"));
}

/// Hands over existing sessions at the environment's node. Returns the viewer and the node's connection.
fn hand_over_sessions(environment: &Environment, sessions: u64) -> (Viewer, TcpStream) {
    let mut viewer = environment.viewer();
    for tag in 100..100 + sessions {
        viewer.send(&format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"paid","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1;viewer:{tag:016x};at:s-00000001"}},"blob":"here\r\n"}}"#
        ));
    }
    exchange_echo(&mut viewer, 1);
    (viewer, accept(&environment.node))
}

/// A client ends many sessions at once and disconnects without reading the answers. The first answer causes a reset and
/// the second can't be written, but all of the client's messages must be processed, including those not read by then.
#[test]
fn all_messages_of_a_client_are_read_after_it_disconnects() {
    let environment = Environment::new();
    let director = environment.start_director();
    let (mut viewer, mut node) = hand_over_sessions(&environment, 200);
    director.signal(Signal::STOP);
    for tag in 100..300 {
        viewer.send(&format!(
            r#"{{"verb":"FINISH","tag":"{tag:016x}","opts":{{}},"rc":16}}"#
        ));
    }
    drop(viewer);
    director.signal(Signal::CONT);
    let (mut received, mut buffer) = (String::new(), [0; 4096]);
    while received.matches("TEARDOWN rtsp").count() < 200 {
        let n = node.read(&mut buffer).unwrap_or(0);
        assert!(
            n > 0,
            "{} of 200 sessions released",
            received.matches("TEARDOWN rtsp").count()
        );
        received.push_str(&String::from_utf8_lossy(&buffer[..n]));
    }
}

/// A node reports the ends of many sessions and its process ends, which the first confirmation reveals. All sessions
/// must count as ended, none as interrupted.
#[test]
fn all_messages_of_a_node_are_read_after_it_disconnects() {
    let mut environment = Environment::new();
    let director = environment.start_director();
    let (mut viewer, mut node) = hand_over_sessions(&environment, 200);
    director.signal(Signal::STOP);
    for tag in 100..300 {
        let release = format!(
            "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag:016x}\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"
        );
        node.write_all(release.as_bytes()).unwrap();
    }
    drop(node);
    // The node's listener is closed.
    environment.node = listener();
    director.signal(Signal::CONT);
    for index in 0..200 {
        let message = viewer.receive();
        assert!(
            message.contains(r#""rc":16"#),
            "after {index} ends: {message}"
        );
    }
}

// ---- shutdown ---------------------------------------------------------------------------------

/// A client reads nothing for a while, so its answers wait in the socket buffers. The process must not exit before the
/// client has received them.
#[test]
fn shutdown_waits_until_clients_have_read_their_answers() {
    let environment = Environment::new();
    let mut director = environment.start_director();
    let mut viewer = environment.viewer();
    rustix::net::sockopt::set_socket_recv_buffer_size(viewer.0.get_ref(), 2048).unwrap();
    exchange_echo(&mut viewer, 1);
    viewer.request_session(7);
    let mut node = accept(&environment.node);
    let mut buffer = [0; 4096];
    assert!(node.read(&mut buffer).unwrap() > 0);
    director.signal(Signal::TERM);
    environment.viewer().wait_until_not_ready();
    // An answer of maximum length, larger than the client's receive buffer.
    let long = "x".repeat(15_000);
    send_set_up_response(&mut node, 7, &long);
    let release = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000007\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n";
    send_release(&mut node, release);
    // Time in which a director that does not wait would exit.
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(viewer.receive().contains(&long));
    assert!(viewer.receive().contains(r#""rc":16"#));
    assert!(director.0.wait().unwrap().success());
}

/// Sends a release and waits for its confirmation.
fn send_release(node: &mut TcpStream, release: &str) {
    node.write_all(release.as_bytes()).unwrap();
    read_until(node, "RTSP/1.0 200");
}

/// The viewer's deadline is later than the time at which the platform kills a director that is shutting down.
#[test]
fn request_with_a_long_deadline_is_answered_before_the_forced_kill() {
    let mut environment = Environment::new();
    environment.wait_ms = 20_000;
    let mut director = environment.start_director();
    let (mut viewer, mut node) = start_set_up(&environment);
    director.signal(Signal::TERM);
    let signalled_at = Instant::now();
    assert!(viewer.receive().contains(r#""rc":41"#));
    read_until(&mut node, "TEARDOWN");
    assert!(director.0.wait().unwrap().success());
    assert!(
        signalled_at.elapsed() < Duration::from_millis(3_700),
        "the platform would have killed it"
    );
}

/// Two termination signals with configuration reloads in between: accepted requests are answered, and the new journal
/// service is contacted.
#[test]
fn second_termination_signal_still_answers_accepted_requests() {
    let environment = Environment::new();
    let mut director = environment.start_director();
    let (mut viewer, mut node) = start_set_up(&environment);
    let elsewhere = listener();
    environment.write_config(&address(&elsewhere));
    director.signal(Signal::TERM);
    environment.viewer().wait_until_not_ready();
    director.signal(Signal::HUP);
    assert_eq!(read_position(&mut accept(&elsewhere)), 1);
    director.signal(Signal::TERM);
    director.signal(Signal::HUP);
    // The connection after the second signal shows that the signal has been handled.
    assert_eq!(read_position(&mut accept(&elsewhere)), 1);
    reject_set_up(&mut node, 7, 500);
    assert!(viewer.receive().contains(r#""rc":41"#));
    assert!(director.0.wait().unwrap().success());
}

/// The signal arrives before the first readiness test and before the hand-over of a session.
#[test]
fn shutdown_before_the_first_readiness_test_keeps_sessions_handed_over() {
    let environment = Environment::new();
    let mut director = environment.start_director();
    let mut viewer = environment.viewer();
    director.signal(Signal::TERM);
    viewer.wait_until_not_ready();
    viewer.send(&format!(
        r#"{{"verb":"START","tag":"{:016x}","opts":{{"class":"paid","left":1500,"key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1;viewer:{:016x};at:s-00000001"}},"blob":"here\r\n"}}"#,
        9, 9
    ));
    viewer.request_session(7);
    assert!(
        viewer
            .receive()
            .contains(r#""tag":"0000000000000007","opts":{},"rc":34"#)
    );
    // The session handed over is kept: its release is reported to the viewer.
    let mut node = accept(&environment.node);
    node.write_all(b"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000009\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert!(
        viewer
            .receive()
            .contains(r#""tag":"0000000000000009","opts":{},"rc":16"#)
    );
    assert!(director.0.wait().unwrap().success());
}

// ---- journal service --------------------------------------------------------------------------

/// A journal service that sends a frame byte by byte delivers nothing, and is reconnected to like a silent one.
#[test]
fn frame_sent_byte_by_byte_counts_as_silence() {
    let environment = Environment::new();
    let _director = environment.start_director();
    let mut journal = accept(&environment.journal);
    assert_eq!(read_position(&mut journal), 1);
    let sender = std::thread::spawn(move || {
        let _ = journal.write_all(&[0, 0, 0, 200]);
        for _ in 0..60 {
            std::thread::sleep(Duration::from_millis(100));
            if journal.write_all(&[0]).is_err() {
                return;
            }
        }
        panic!("the connection stayed open for six seconds");
    });
    assert_eq!(read_position(&mut accept(&environment.journal)), 1);
    sender.join().unwrap();
}

/// A heartbeat has a position above the last known one: the missing events are requested immediately, not when the next
/// event arrives.
#[test]
fn heartbeat_with_a_newer_position_triggers_a_new_request() {
    let environment = Environment::new();
    let _director = environment.start_director();
    let mut journal = accept(&environment.journal);
    assert_eq!(read_position(&mut journal), 1);
    journal
        .write_all(&[0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 2, 0])
        .unwrap();
    let mut reconnected = accept(&environment.journal);
    assert_eq!(read_position(&mut reconnected), 1);
    let mut rest = Vec::new();
    assert!(
        journal.read_to_end(&mut rest).is_ok(),
        "the first connection is closed"
    );
}

/// A configuration that is overwritten in place is read once it is complete, without a second signal.
#[test]
fn partially_written_configuration_is_read_again() {
    let environment = Environment::new();
    let director = environment.start_director();
    let mut journal = accept(&environment.journal);
    assert_eq!(read_position(&mut journal), 1);
    let elsewhere = listener();
    let text = environment.config_text(&address(&elsewhere));
    std::fs::write(environment.config_path(), &text[..text.len() / 2]).unwrap();
    director.signal(Signal::HUP);
    // The same thread reads the file and answers, so the incomplete file has been read by now.
    let mut viewer = environment.viewer();
    exchange_echo(&mut viewer, 1);
    std::fs::write(environment.config_path(), &text).unwrap();
    assert_eq!(read_position(&mut accept(&elsewhere)), 1);
}

/// At the reload signal, the configuration file is another director's, with the journal service and nodes of another
/// fleet. Nothing of it must be used.
#[test]
fn configuration_of_another_director_is_rejected() {
    let environment = Environment::new();
    let mut director = environment.start_director_with_log(Stdio::piped());
    let mut log = BufReader::new(director.0.stderr.take().unwrap()).lines();
    let mut journal = accept(&environment.journal);
    assert_eq!(read_position(&mut journal), 1);
    let other_service = listener();
    let text = environment
        .config_text(&address(&other_service))
        .replace(r#""name":"n1""#, r#""name":"n2""#);
    let text = text
        .replace(r#""pos":1"#, r#""pos":9"#)
        .replace(&address(&environment.node), "127.0.0.1:9");
    std::fs::write(environment.config_path(), text).unwrap();
    director.signal(Signal::HUP);
    // The log shows that the file has been read: either that it was rejected or that the service has moved.
    let log_line = log.find(|l| {
        l.as_ref()
            .is_ok_and(|l| l.contains("configuration is") || l.contains("moved"))
    });
    let log_line = log_line.unwrap().unwrap();
    assert!(log_line.contains("another director's"), "{log_line}");
    let next = listener();
    environment.write_config(&address(&next));
    director.signal(Signal::HUP);
    assert_eq!(
        read_position(&mut accept(&next)),
        1,
        "the position in the other configuration is ignored"
    );
    other_service.set_nonblocking(true).unwrap();
    assert!(
        other_service.accept().is_err(),
        "the other journal service is not contacted"
    );
    let mut viewer = environment.viewer();
    viewer.request_session(7);
    answer_set_up(&mut accept(&environment.node), 7);
    assert!(viewer.receive().contains("STARTED"));
}

/// The journal service is never available: the director serves with the nodes in the configuration.
#[test]
fn without_a_journal_service_it_serves_from_the_configuration() {
    let mut environment = Environment::new();
    let closed_listener = std::mem::replace(&mut environment.journal, listener());
    let closed_address = address(&closed_listener);
    drop(closed_listener);
    let director = environment.start_director();
    let mut viewer = environment.viewer();
    exchange_echo(&mut viewer, 1);
    environment.write_config(&closed_address);
    director.signal(Signal::HUP);
    viewer.request_session(7);
    answer_set_up(&mut accept(&environment.node), 7);
    assert!(viewer.receive().contains("STARTED"));
}

// ---- nodes ------------------------------------------------------------------------------------

/// The node rejects a set-up and accepts it some milliseconds later. No viewer waits for that session, so it is
/// released.
#[test]
fn session_accepted_after_its_rejection_is_released() {
    let environment = Environment::new();
    let _director = environment.start_director();
    let (mut viewer, mut node) = start_set_up(&environment);
    reject_set_up(&mut node, 7, 500);
    assert!(viewer.receive().contains(r#""rc":41"#));
    send_set_up_response(&mut node, 7, "there\r\n");
    read_until(&mut node, "TEARDOWN");
}

/// The client cancels while the connection to the node is being established: no set-up is sent on it afterwards. The
/// listener's queue is full, which delays the connection.
#[test]
fn no_set_up_is_sent_on_a_connection_established_after_the_cancellation() {
    let environment = Environment::new();
    let _director = environment.start_director();
    let mut viewer = environment.viewer();
    exchange_echo(&mut viewer, 1);
    rustix::net::listen(&environment.node, 0).unwrap();
    let queued_connection = TcpStream::connect(environment.node.local_addr().unwrap()).unwrap();
    viewer.request_session(7);
    viewer.send(CANCEL_REQUEST);
    assert!(viewer.receive().contains("FINISHED"));
    rustix::net::listen(&environment.node, 16).unwrap();
    drop(queued_connection);
    environment.node.set_nonblocking(true).unwrap();
    // Reads everything that arrives on any connection within 700 ms.
    let started_at = Instant::now();
    let mut received = Vec::new();
    while started_at.elapsed() < Duration::from_millis(700) {
        match environment.node.accept() {
            Ok((mut stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream
                    .set_read_timeout(Some(Duration::from_millis(200)))
                    .unwrap();
                let _ = stream.read_to_end(&mut received);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_millis(10))
            }
            Err(e) => panic!("{e}"),
        }
    }
    assert!(!String::from_utf8_lossy(&received).contains("SETUP"));
}

//! Requests that must not be lost: each is answered completely in its time or refused, and none is forwarded after its
//! end. One director process with raw sockets; the order of events is established by received bytes, and a pause only
//! lets time pass for the director.

mod environment;
use environment::*;
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Longer than the deadline of the requests that wait meanwhile.
const PAUSE: Duration = Duration::from_millis(800);
/// Time in which a director that does not hesitate forwards a request.
const FORWARD_TIME: Duration = Duration::from_millis(300);
/// Tolerance of the platform for every time limit.
const TOLERANCE: Duration = Duration::from_millis(50);

fn echo(viewer: &mut Viewer) {
    viewer.send(r#"{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}"#);
    assert!(viewer.receive().contains("ECHOED"));
}

/// Everything that the node receives within a while, on any connection.
fn received_by_node(environment: &Environment) -> String {
    environment.node.set_nonblocking(true).unwrap();
    let (mut streams, mut received) = (Vec::new(), Vec::new());
    let started_at = Instant::now();
    while started_at.elapsed() < FORWARD_TIME {
        if let Ok((stream, _)) = environment.node.accept() {
            stream.set_nonblocking(true).unwrap();
            streams.push(stream);
        }
        for stream in &mut streams {
            let _ = stream.read_to_end(&mut received);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Requests a session and reads the complete set-up at the node, which does not answer.
fn forwarded_request(environment: &Environment, tag: u64) -> (Viewer, TcpStream) {
    let mut viewer = environment.viewer();
    viewer.request_session(tag);
    let mut node = accept(&environment.node);
    let (mut received, mut buffer) = (String::new(), [0; 4096]);
    while !received.contains("here\r\n") {
        let count = node.read(&mut buffer).unwrap();
        assert!(count > 0, "the set-up is complete");
        received.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    (viewer, node)
}

/// All lines up to the end of the stream.
fn lines_until_close(viewer: &mut Viewer) -> Vec<String> {
    let mut text = String::new();
    viewer
        .0
        .read_to_string(&mut text)
        .expect("closed, not reset");
    text.lines().map(str::to_string).collect()
}

fn answers_to(lines: &[String], tag: u64) -> usize {
    let tag = format!(r#""tag":"{tag:016x}""#);
    let is_answer = |line: &&String| line.contains(&tag) && line.contains("FINISH\"");
    lines.iter().filter(is_answer).count()
}

/// A director that is suspended after its viewer's connection is established.
fn suspended_director(environment: &Environment) -> (Director, Viewer) {
    let director = environment.start_director();
    let mut viewer = environment.viewer();
    echo(&mut viewer);
    director.signal(Signal::STOP);
    (director, viewer)
}

// ---- age ---------------------------------------------------------------------------------------

#[test]
fn request_whose_time_is_over_when_it_is_read_is_not_forwarded() {
    let mut environment = Environment::new();
    environment.wait_ms = 300;
    let (director, mut viewer) = suspended_director(&environment);
    viewer.request_session(7);
    std::thread::sleep(PAUSE);
    director.signal(Signal::CONT);
    assert!(viewer.receive().contains(r#""rc":34"#));
    assert_eq!(received_by_node(&environment), "");
}

/// The second request is read together with the first one, whose time is over.
#[test]
fn each_of_several_requests_read_at_once_has_its_own_age() {
    let mut environment = Environment::new();
    environment.wait_ms = 300;
    let (director, mut viewer) = suspended_director(&environment);
    viewer.request_session(7);
    std::thread::sleep(PAUSE);
    viewer.request_session(8);
    director.signal(Signal::CONT);
    let first = viewer.receive();
    assert!(first.contains("0000000000000007") && first.contains(r#""rc":34"#));
    assert!(!received_by_node(&environment).contains("Session: 0000000000000007"));
}

#[test]
fn time_left_at_the_node_counts_from_the_sending_of_the_request() {
    let environment = Environment::new();
    let (director, mut viewer) = suspended_director(&environment);
    viewer.request_session(7);
    let sent_at = Instant::now();
    std::thread::sleep(PAUSE);
    director.signal(Signal::CONT);
    let received = received_by_node(&environment);
    let time_left = received
        .lines()
        .find_map(|line| line.strip_prefix("P-Time-Left: "))
        .map_or(0, |millis| millis.parse::<u64>().unwrap());
    let age = sent_at.elapsed() - FORWARD_TIME;
    let most = Duration::from_millis(environment.wait_ms) + TOLERANCE - age;
    assert!(Duration::from_millis(time_left) <= most, "{time_left}");
}

// ---- the end of a connection --------------------------------------------------------------------

#[test]
fn requests_before_an_invalid_line_are_answered() {
    let invalid_lines = [
        "no message".to_string(),
        r#"{"verb":"START","tag":"xyz","opts":{}}"#.to_string(),
        r#"{"verb":"STARTED","tag":"0000000000000009","opts":{}}"#.to_string(),
        "x".repeat(17 * 1024),
    ];
    for invalid_line in invalid_lines {
        let environment = Environment::new();
        let _director = environment.start_director();
        let (mut viewer, _node) = forwarded_request(&environment, 7);
        viewer.request_session(8);
        viewer.send(&invalid_line);
        let lines = lines_until_close(&mut viewer);
        for tag in [7, 8] {
            assert_eq!(answers_to(&lines, tag), 1, "{tag}: {lines:?}");
        }
        assert_eq!(answers_to(&lines, 0), 1, "{lines:?}");
    }
}

#[test]
fn viewer_that_closes_its_write_half_reads_an_answer() {
    for is_forwarded in [false, true] {
        let environment = Environment::new();
        let _director = environment.start_director();
        let (mut viewer, _node) = if is_forwarded {
            let (viewer, node) = forwarded_request(&environment, 7);
            (viewer, Some(node))
        } else {
            let mut viewer = environment.viewer();
            viewer.request_session(7);
            (viewer, None)
        };
        viewer.0.get_ref().shutdown(Shutdown::Write).unwrap();
        let lines = lines_until_close(&mut viewer);
        assert_eq!(answers_to(&lines, 7), 1, "{is_forwarded}: {lines:?}");
    }
}

// ---- shutdown ------------------------------------------------------------------------------------

/// Time from SIGTERM to the earliest SIGKILL, in addition to the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);

#[test]
fn shutdown_with_short_deadlines_ends_before_the_earliest_kill() {
    for longest_wait_ms in [50, 150, 400] {
        let mut environment = Environment::new();
        environment.longest_wait_ms = Some(longest_wait_ms);
        environment.wait_ms = longest_wait_ms;
        let mut director = environment.start_director();
        let (mut viewer, mut node) = forwarded_request(&environment, 7);
        send_set_up_response(&mut node, 7, "there\r\n");
        assert!(viewer.receive().contains("STARTED"));
        director.signal(Signal::TERM);
        let signalled_at = Instant::now();
        assert!(director.0.wait().unwrap().success());
        let earliest_kill = KILL_DELAY + Duration::from_millis(longest_wait_ms);
        assert!(
            signalled_at.elapsed() < earliest_kill,
            "{longest_wait_ms} ms: ended after {:?}",
            signalled_at.elapsed()
        );
    }
}

/// Time after SIGTERM until which new connections come.
const LAST_CONNECTION: Duration = Duration::from_millis(600);

/// Sends a request on a new connection; returns whether it was accepted and not answered.
fn is_lost(environment: &Environment, tag: u64) -> bool {
    let Ok(stream) = TcpStream::connect(&environment.listen) else {
        return false; // not accepted by the machine
    };
    let mut viewer = Viewer::new(stream, environment.wait_ms);
    viewer.request_session(tag);
    !viewer.try_receive().contains("FINISH")
}

#[test]
fn requests_on_new_connections_during_a_shutdown_are_answered() {
    let mut environment = Environment::new();
    environment.longest_wait_ms = Some(150);
    let mut director = environment.start_director();
    let mut open = environment.viewer();
    echo(&mut open);
    director.signal(Signal::TERM);
    let signalled_at = Instant::now();
    let mut tag = 10;
    while signalled_at.elapsed() < LAST_CONNECTION {
        tag += 1;
        assert!(!is_lost(&environment, tag), "request {tag}");
        std::thread::sleep(Duration::from_millis(4));
    }
    drop(open);
    assert!(director.0.wait().unwrap().success());
}

/// A request that crosses the close of its connection within this time is sent again.
const CROSSING_TIME: Duration = Duration::from_millis(50);

#[test]
fn requests_on_an_open_connection_are_answered_until_a_shutdown_closes_it() {
    let mut environment = Environment::new();
    environment.longest_wait_ms = Some(150);
    let mut director = environment.start_director();
    let mut viewer = environment.viewer();
    echo(&mut viewer);
    let mut writer = viewer.0.get_ref().try_clone().unwrap();
    let reader = std::thread::spawn(move || {
        let mut answered = BTreeSet::new();
        loop {
            let line = viewer.try_receive();
            if line.is_empty() {
                return (answered, Instant::now());
            }
            answered.insert(line[line.find("\"tag\":\"").unwrap() + 7..][..16].to_string());
        }
    });
    director.signal(Signal::TERM);
    let mut sent = Vec::new();
    for tag in 100u64.. {
        let request = session_request(tag, environment.wait_ms) + "\n";
        let sent_at = Instant::now();
        if writer.write_all(request.as_bytes()).is_err() {
            break;
        }
        sent.push((format!("{tag:016x}"), sent_at));
        std::thread::sleep(Duration::from_millis(4));
    }
    let (answered, closed_at) = reader.join().unwrap();
    assert!(director.0.wait().unwrap().success());
    let is_lost = |(tag, sent_at): &&(String, Instant)| {
        !answered.contains(tag) && *sent_at + CROSSING_TIME < closed_at
    };
    let lost = sent.iter().filter(is_lost).count();
    assert!(sent.len() > 20 && lost == 0, "{lost} of {}", sent.len());
}

// ---- crowds ---------------------------------------------------------------------------------------

/// The environment grants 256 descriptors; the platform's viewers hold at most a third of them.
const CROWDS: [u64; 2] = [85, 200];

#[test]
fn every_request_of_a_crowd_is_answered_while_nodes_hang() {
    for crowd in CROWDS {
        let environment = Environment::new();
        let _director = environment.start_director();
        let mut viewers = Vec::new();
        for tag in 100..100 + crowd {
            let mut viewer = environment.viewer();
            viewer.request_session(tag);
            viewers.push(viewer);
        }
        let is_unanswered = |viewer: &mut Viewer| !viewer.try_receive().contains("FINISH");
        let unanswered = viewers.iter_mut().map(is_unanswered).filter(|lost| *lost);
        let unanswered = unanswered.count();
        assert_eq!(unanswered, 0, "of {crowd} requests");
    }
}

// ---- clients that leave ---------------------------------------------------------------------------

/// More requests than a director reads at once, and not more than the receive buffer of its socket holds.
const UNREAD_REQUESTS: u64 = 300;

/// Guards against requests that are forwarded after their client has left: the end of a connection was noticed only
/// behind all that was unread on it.
#[test]
fn unread_requests_of_a_client_that_has_left_are_not_forwarded() {
    for shutdown in [Shutdown::Write, Shutdown::Both] {
        let environment = Environment::new();
        let (director, mut viewer) = suspended_director(&environment);
        let requests: String = (100..100 + UNREAD_REQUESTS)
            .map(|tag| session_request(tag, environment.wait_ms) + "\n")
            .collect();
        let mut writer = viewer.0.get_ref().try_clone().unwrap();
        writer.write_all(requests.as_bytes()).unwrap();
        writer.shutdown(shutdown).unwrap();
        director.signal(Signal::CONT);
        let received = received_by_node(&environment);
        assert_eq!(received.matches("SETUP").count(), 0, "{shutdown:?}");
        if shutdown == Shutdown::Write {
            let lines = lines_until_close(&mut viewer);
            let unanswered = (100..100 + UNREAD_REQUESTS).find(|tag| answers_to(&lines, *tag) != 1);
            assert_eq!(unanswered, None);
        }
    }
}

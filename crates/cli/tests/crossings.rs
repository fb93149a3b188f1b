//! Crossings on sockets: a signal, a close, a reset or a silence at exactly the wrong instant. What is tested is decided by bytes
//! that were seen, never by a pause; a pause only makes time pass for the director.

mod place;
use place::*;
use rustix::process::Signal;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::time::{Duration, Instant};

const GIVE_UP: &str = r#"{"verb":"FINISH","tag":"0000000000000007","opts":{},"rc":16}"#;

/// Reads from a node's connection until the words come.
fn until(stream: &mut TcpStream, words: &str) -> String {
    let (mut all, mut buf) = (String::new(), [0; 4096]);
    while !all.contains(words) {
        let n = stream.read(&mut buf).unwrap();
        assert!(n > 0, "closed before {words}: {all}");
        all.push_str(&String::from_utf8_lossy(&buf[..n]));
    }
    all
}

/// A set-up that its node has whole: its viewer, and that node's connection.
fn asked(place: &Place) -> (Viewer, TcpStream) {
    let mut viewer = place.viewer();
    viewer.ask(7);
    let mut node = accept(&place.node);
    until(&mut node, "here");
    (viewer, node)
}

fn refuse(node: &mut TcpStream, tag: u64, status: u16) {
    let refusal = format!(
        "RTSP/1.0 {status} No\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: 0\r\n\r\n"
    );
    node.write_all(refusal.as_bytes()).unwrap();
}

fn echoed(viewer: &mut Viewer, tag: u64) {
    viewer.say(&format!(
        r#"{{"verb":"ECHO","tag":"{tag:016x}","opts":{{}},"rc":0}}"#
    ));
    assert!(viewer.hear().contains("ECHOED"));
}

// ---- viewers ----------------------------------------------------------------------------------

/// Bytes behind the word that can't be read are still unread when the director has said why it closes: closing the socket
/// then would reset it, and the reset destroys what was said.
#[test]
fn a_bad_client_reads_why_it_is_closed() {
    let place = Place::new();
    let _director = place.begin();
    let mut viewer = place.viewer();
    echoed(&mut viewer, 1);
    let noise = vec![b'x'; 100_000];
    let stream = viewer.0.get_mut();
    stream.write_all(b"no message\n").unwrap();
    for _ in 0..2 {
        let _ = stream.write_all(&noise);
    }
    assert!(viewer.hear().contains(r#""rc":95"#));
    let mut rest = Vec::new();
    viewer.0.read_to_end(&mut rest).expect("closed, not reset");
    assert!(rest.is_empty());
}

/// A director that stood still wakes with its timers first. A client that has said nothing yet is closed after 2 s; one whose
/// request waits in its socket is served.
#[test]
fn a_request_that_came_while_the_director_stood_still_is_served() {
    let place = Place::new();
    let director = place.begin();
    let mut silent = place.viewer();
    let mut other = place.viewer();
    // Taken behind the silent one.
    echoed(&mut other, 1);
    director.signal(Signal::STOP);
    silent.ask(7);
    std::thread::sleep(Duration::from_millis(2_600));
    director.signal(Signal::CONT);
    serve(&mut accept(&place.node), 7);
    assert!(silent.hear().contains("STARTED"));
}

/// The client leaves by a reset while its set-up is at a node: it is given up there, and an answer that crosses that word makes
/// no session.
#[test]
fn a_client_that_resets_its_connection_leaves_nothing_behind() {
    let place = Place::new();
    let _director = place.begin();
    let (viewer, mut node) = asked(&place);
    rustix::net::sockopt::set_socket_linger(viewer.0.get_ref(), Some(Duration::ZERO)).unwrap();
    drop(viewer);
    until(&mut node, "TEARDOWN");
    answer(&mut node, 7, "there\r\n");
    // A release that concerns nobody is confirmed behind it: the answer was read by then.
    until_heard(
        &mut node,
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000099\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n",
    );
    // Its next request is served: nothing of the first is held.
    let mut viewer = place.viewer();
    viewer.ask(8);
    serve(&mut node, 8);
    assert!(viewer.hear().contains("0000000000000008"));
}

/// Sessions that a viewer has from before, so many of them, at the place's node, to which there is a connection.
fn handed_over(place: &Place, sessions: u64) -> (Viewer, TcpStream) {
    let mut viewer = place.viewer();
    for tag in 100..100 + sessions {
        viewer.say(&format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"paid","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1;viewer:{tag:016x};at:s-00000001"}},"blob":"here\r\n"}}"#
        ));
    }
    echoed(&mut viewer, 1);
    (viewer, accept(&place.node))
}

/// A client ends many sessions in one go and is gone before it has read a word: the first answer is met by a reset, and the
/// second can't be written. All that it said is heard all the same, also what is not read yet by then.
#[test]
fn all_that_a_client_said_before_it_went_is_heard() {
    let place = Place::new();
    let director = place.begin();
    let (mut viewer, mut node) = handed_over(&place, 200);
    director.signal(Signal::STOP);
    for tag in 100..300 {
        viewer.say(&format!(
            r#"{{"verb":"FINISH","tag":"{tag:016x}","opts":{{}},"rc":16}}"#
        ));
    }
    drop(viewer);
    director.signal(Signal::CONT);
    let (mut all, mut buf) = (String::new(), [0; 4096]);
    while all.matches("TEARDOWN rtsp").count() < 200 {
        let n = node.read(&mut buf).unwrap_or(0);
        assert!(
            n > 0,
            "{} of 200 sessions released",
            all.matches("TEARDOWN rtsp").count()
        );
        all.push_str(&String::from_utf8_lossy(&buf[..n]));
    }
}

/// A node says the ends of many sessions, and its process is gone, which the first confirmation shows: none of them is taken for cut.
#[test]
fn all_that_a_node_said_before_it_went_is_heard() {
    let mut place = Place::new();
    let director = place.begin();
    let (mut viewer, mut node) = handed_over(&place, 200);
    director.signal(Signal::STOP);
    for tag in 100..300 {
        let over = format!(
            "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag:016x}\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"
        );
        node.write_all(over.as_bytes()).unwrap();
    }
    drop(node);
    // Nobody listens there any more.
    place.node = listener();
    director.signal(Signal::CONT);
    for heard in 0..200 {
        let word = viewer.hear();
        assert!(word.contains(r#""rc":16"#), "after {heard} ends: {word}");
    }
}

// ---- shutdown ---------------------------------------------------------------------------------

/// Answers that lie in the sockets of a client that reads nothing for a while are owed like any other: the process does not end
/// over them, and its end destroys none.
#[test]
fn told_to_end_it_leaves_when_its_answers_are_taken() {
    let place = Place::new();
    let mut director = place.begin();
    let mut viewer = place.viewer();
    rustix::net::sockopt::set_socket_recv_buffer_size(viewer.0.get_ref(), 2048).unwrap();
    echoed(&mut viewer, 1);
    viewer.ask(7);
    let mut node = accept(&place.node);
    let mut buf = [0; 4096];
    assert!(node.read(&mut buf).unwrap() > 0);
    director.signal(Signal::TERM);
    place.viewer().until_not_ready();
    // An answer as long as they come, in pieces that a socket takes only as they are read.
    let long = "x".repeat(15_000);
    answer(&mut node, 7, &long);
    let over = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000007\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n";
    until_heard(&mut node, over);
    // Meanwhile the director may end.
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(viewer.hear().contains(&long));
    assert!(viewer.hear().contains(r#""rc":16"#));
    assert!(director.0.wait().unwrap().success());
}

/// Says a release and waits until it was heard.
fn until_heard(node: &mut TcpStream, release: &str) {
    node.write_all(release.as_bytes()).unwrap();
    until(node, "RTSP/1.0 200");
}

/// A viewer may wait longer than a director that is told to end may stay.
#[test]
fn a_request_with_a_long_deadline_is_answered_before_the_kill() {
    let mut place = Place::new();
    place.left = 20_000;
    let mut director = place.begin();
    let (mut viewer, mut node) = asked(&place);
    director.signal(Signal::TERM);
    let told = Instant::now();
    assert!(viewer.hear().contains(r#""rc":41"#));
    until(&mut node, "TEARDOWN");
    assert!(director.0.wait().unwrap().success());
    assert!(
        told.elapsed() < Duration::from_millis(3_700),
        "killed by then"
    );
}

/// Told twice, told to read its configuration in between: what was taken is answered, and the new journal service is asked.
#[test]
fn told_to_end_twice_it_answers_what_it_has_taken() {
    let place = Place::new();
    let mut director = place.begin();
    let (mut viewer, mut node) = asked(&place);
    let elsewhere = listener();
    place.write(&address(&elsewhere));
    director.signal(Signal::TERM);
    place.viewer().until_not_ready();
    director.signal(Signal::HUP);
    assert_eq!(position(&mut accept(&elsewhere)), 1);
    director.signal(Signal::TERM);
    director.signal(Signal::HUP);
    // What comes behind the second signal: it was heard by then.
    assert_eq!(position(&mut accept(&elsewhere)), 1);
    refuse(&mut node, 7, 500);
    assert!(viewer.hear().contains(r#""rc":41"#));
    assert!(director.0.wait().unwrap().success());
}

/// Before its first test, and with a hand-over on its way.
#[test]
fn told_to_end_before_its_first_test() {
    let place = Place::new();
    let mut director = place.begin();
    let mut viewer = place.viewer();
    director.signal(Signal::TERM);
    viewer.until_not_ready();
    viewer.say(&format!(
        r#"{{"verb":"START","tag":"{:016x}","opts":{{"class":"paid","left":1500,"key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1;viewer:{:016x};at:s-00000001"}},"blob":"here\r\n"}}"#,
        9, 9
    ));
    viewer.ask(7);
    assert!(
        viewer
            .hear()
            .contains(r#""tag":"0000000000000007","opts":{},"rc":34"#)
    );
    // What was handed over is held: its release is told.
    let mut node = accept(&place.node);
    node.write_all(b"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000009\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert!(
        viewer
            .hear()
            .contains(r#""tag":"0000000000000009","opts":{},"rc":16"#)
    );
    assert!(director.0.wait().unwrap().success());
}

// ---- the list ---------------------------------------------------------------------------------

/// A service that lets a frame drip in a byte at a time tells nothing, and is asked anew as one that is silent.
#[test]
fn a_frame_that_drips_is_silence() {
    let place = Place::new();
    let _director = place.begin();
    let mut journal = accept(&place.journal);
    assert_eq!(position(&mut journal), 1);
    let drips = std::thread::spawn(move || {
        let _ = journal.write_all(&[0, 0, 0, 200]);
        for _ in 0..60 {
            std::thread::sleep(Duration::from_millis(100));
            if journal.write_all(&[0]).is_err() {
                return;
            }
        }
        panic!("it was listened to for six seconds");
    });
    assert_eq!(position(&mut accept(&place.journal)), 1);
    drips.join().unwrap();
}

/// Word of nothing new under a number above the last one: the events between are asked for at once, not when the next comes.
#[test]
fn a_service_that_tells_nothing_of_its_events_is_asked_again() {
    let place = Place::new();
    let _director = place.begin();
    let mut journal = accept(&place.journal);
    assert_eq!(position(&mut journal), 1);
    journal
        .write_all(&[0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 2, 0])
        .unwrap();
    let mut again = accept(&place.journal);
    assert_eq!(position(&mut again), 1);
    let mut rest = Vec::new();
    assert!(
        journal.read_to_end(&mut rest).is_ok(),
        "the first is closed"
    );
}

/// A configuration that is written over, not replaced, is read when it is whole; no second signal is needed.
#[test]
fn a_configuration_in_the_middle_of_being_written_is_read_again() {
    let place = Place::new();
    let director = place.begin();
    let mut journal = accept(&place.journal);
    assert_eq!(position(&mut journal), 1);
    let elsewhere = listener();
    let text = place.text(&address(&elsewhere));
    std::fs::write(place.file(), &text[..text.len() / 2]).unwrap();
    director.signal(Signal::HUP);
    // It says so on the same thread that would read the file: the half was read by then.
    let mut viewer = place.viewer();
    echoed(&mut viewer, 1);
    std::fs::write(place.file(), &text).unwrap();
    assert_eq!(position(&mut accept(&elsewhere)), 1);
}

/// A file of another director, with another fleet's service and nodes, lies where this one's was when the signal comes: nothing
/// of it is taken.
#[test]
fn nothing_is_taken_of_another_directors_configuration() {
    let place = Place::new();
    let mut director = place.begin_logged(Stdio::piped());
    let mut log = BufReader::new(director.0.stderr.take().unwrap()).lines();
    let mut journal = accept(&place.journal);
    assert_eq!(position(&mut journal), 1);
    let foreign = listener();
    let text = place
        .text(&address(&foreign))
        .replace(r#""name":"n1""#, r#""name":"n2""#);
    let text = text
        .replace(r#""pos":1"#, r#""pos":9"#)
        .replace(&address(&place.node), "127.0.0.1:9");
    std::fs::write(place.file(), text).unwrap();
    director.signal(Signal::HUP);
    // It has read the file, and says what it makes of it: that, or that the service has moved.
    let said = log.find(|l| {
        l.as_ref()
            .is_ok_and(|l| l.contains("configuration is") || l.contains("moved"))
    });
    let said = said.unwrap().unwrap();
    assert!(said.contains("another director's"), "{said}");
    let next = listener();
    place.write(&address(&next));
    director.signal(Signal::HUP);
    assert_eq!(position(&mut accept(&next)), 1, "its events are not taken");
    foreign.set_nonblocking(true).unwrap();
    assert!(foreign.accept().is_err(), "its service is not asked");
    let mut viewer = place.viewer();
    viewer.ask(7);
    serve(&mut accept(&place.node), 7);
    assert!(viewer.hear().contains("STARTED"));
}

/// The list is down at the start, and for good: what the configuration knows is served from.
#[test]
fn without_a_journal_service_it_serves_from_what_it_knows() {
    let mut place = Place::new();
    let gone = std::mem::replace(&mut place.journal, listener());
    let dead = address(&gone);
    drop(gone);
    let director = place.begin();
    let mut viewer = place.viewer();
    echoed(&mut viewer, 1);
    place.write(&dead);
    director.signal(Signal::HUP);
    viewer.ask(7);
    serve(&mut accept(&place.node), 7);
    assert!(viewer.hear().contains("STARTED"));
}

// ---- nodes ------------------------------------------------------------------------------------

/// A refusal, and some milliseconds later the answer after all: nobody waits for it, and it is released.
#[test]
fn a_session_that_stands_behind_its_refusal_is_released() {
    let place = Place::new();
    let _director = place.begin();
    let (mut viewer, mut node) = asked(&place);
    refuse(&mut node, 7, 500);
    assert!(viewer.hear().contains(r#""rc":41"#));
    answer(&mut node, 7, "there\r\n");
    until(&mut node, "TEARDOWN");
}

/// The client leaves while the connection to the node is coming up: nothing is sent when it is up. The listener does not
/// accept, and its queue is full, so that the connection waits.
#[test]
fn nothing_is_sent_on_a_connection_that_comes_up_too_late() {
    let place = Place::new();
    let _director = place.begin();
    let mut viewer = place.viewer();
    echoed(&mut viewer, 1);
    rustix::net::listen(&place.node, 0).unwrap();
    let fill = TcpStream::connect(place.node.local_addr().unwrap()).unwrap();
    viewer.ask(7);
    viewer.say(GIVE_UP);
    assert!(viewer.hear().contains("FINISHED"));
    rustix::net::listen(&place.node, 16).unwrap();
    drop(fill);
    place.node.set_nonblocking(true).unwrap();
    // Until the director has said something on another connection, and a while longer.
    let begun = Instant::now();
    let mut heard = Vec::new();
    while begun.elapsed() < Duration::from_millis(700) {
        match place.node.accept() {
            Ok((mut stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream
                    .set_read_timeout(Some(Duration::from_millis(200)))
                    .unwrap();
                let _ = stream.read_to_end(&mut heard);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_millis(10))
            }
            Err(e) => panic!("{e}"),
        }
    }
    assert!(!String::from_utf8_lossy(&heard).contains("SETUP"));
}

//! `shalewall direct` as the platform starts it: a process, its signals, and what it says on sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(10);

/// A process that ends with its test.
struct Director(Child);

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Director {
    fn signal(&self, signal: rustix::process::Signal) {
        let id = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(id, signal).unwrap();
    }
}

struct Place {
    dir: tempfile::TempDir,
    listen: String,
    journal: TcpListener,
    node: TcpListener,
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

fn address(listener: &TcpListener) -> String {
    listener.local_addr().unwrap().to_string()
}

impl Place {
    fn new() -> Place {
        // A port that was free a moment ago.
        let listen = address(&listener());
        Place { dir: tempfile::tempdir().unwrap(), listen, journal: listener(), node: listener() }
    }

    fn write(&self, journal: &str) {
        let node = address(&self.node);
        let text = format!(
            r#"{{"name":"n1","listen":"{}","seed":"8c1f30d27a5be964","limits":{{"sockets":256}},
            "journal":"{journal}","known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"complete":true,"members":[
            {{"id":"s-00000001","host_port":"{node}","locality":"north","flavor":"small","cell":0,
            "phase":"ready","size":1,"up_since_ms":0}}]}}}}]}},"settings":{{"Balancers":1,"MyNumber":0,"Categories":[
            {{"Name":"paid","Effect":"at_most_once","Target":1500.0,"Value":2.0}}],
            "FailureDomains":["north"],"Shapes":["small"],"Zone":"north","WeightSource":"nominal","Step":10.0,
            "Contract":{{"WarmAfter":0,"StartCapacity":0.4,"OverloadFactor":2.0,"Fall":2000.0}},
            "Limits":{{"MaxAttempts":4,"MayCancel":true,"RetryAfter":true,"MaxRetryAfter":1000.0,
            "ConnectTimeout":250.0}},"Specifics":{{"Places":1,"Cabinets":1,"PlacesByKind":[30],
            "RungKb":[200,600],"RungWorth":[0.4,1.0],"HighestRung":[1],"LowestRung":[0],"ClassScale":[1.0],
            "KbPerWeight":90000.0,"RackLinkKb":200000.0}}}}}}"#,
            self.listen
        );
        std::fs::write(self.dir.path().join("config.json"), text).unwrap();
    }

    fn begin(&self) -> Director {
        self.write(&address(&self.journal));
        let child = Command::new(env!("CARGO_BIN_EXE_shalewall"))
            .arg("direct")
            .env("ROUTER_CONFIG", self.dir.path().join("config.json"))
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Director(child)
    }

    fn viewer(&self) -> Viewer {
        let begun = Instant::now();
        loop {
            if let Ok(stream) = TcpStream::connect(&self.listen) {
                stream.set_read_timeout(Some(WAIT)).unwrap();
                return Viewer(BufReader::new(stream));
            }
            assert!(begun.elapsed() < WAIT, "the director does not listen");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

struct Viewer(BufReader<TcpStream>);

impl Viewer {
    fn say(&mut self, line: &str) {
        self.0.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    fn ask(&mut self, tag: u64) {
        self.say(&format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"paid","left":1500,"key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1;viewer:{tag:016x}"}},"blob":"here\r\n"}}"#
        ));
    }

    /// Tests until the director says that it is not ready.
    fn until_not_ready(&mut self) {
        let begun = Instant::now();
        loop {
            self.say(r#"{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}"#);
            if self.hear().contains("\"rc\":0") {
                return;
            }
            assert!(begun.elapsed() < WAIT);
        }
    }

    fn hear(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line
    }
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream
}

/// Reads one set-up and answers it.
fn serve(node: &mut TcpStream, tag: u64) {
    let mut buf = [0; 4096];
    let n = node.read(&mut buf).unwrap();
    assert!(buf[..n].starts_with(b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\n"));
    let answer =
        format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: 7\r\n\r\nthere\r\n");
    node.write_all(answer.as_bytes()).unwrap();
}

fn position(journal: &mut TcpStream) -> u64 {
    let mut bytes = [0; 8];
    journal.read_exact(&mut bytes).unwrap();
    u64::from_be_bytes(bytes)
}

#[test]
fn a_session_from_test_to_release() {
    let place = Place::new();
    let _director = place.begin();
    let mut viewer = place.viewer();
    viewer.say(r#"{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}"#);
    assert!(viewer.hear().contains(r#""verb":"ECHOED","tag":"0000000000000001","opts":{},"rc":1"#));
    viewer.ask(7);
    let mut node = accept(&place.node);
    serve(&mut node, 7);
    assert!(viewer.hear().contains(r#""blob":"there\r\n""#));
    // Its process dies: the connection is reset, the next one refused.
    drop(place.node);
    drop(node);
    assert!(viewer.hear().contains(r#""verb":"FINISH","tag":"0000000000000007","opts":{},"rc":41"#));
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
    assert!(viewer.hear().contains(r#""verb":"FINISH","tag":"0000000000000007","opts":{},"rc":16"#));
}

#[test]
fn the_journal_service_breaks_off_inside_an_event_and_moves() {
    let place = Place::new();
    let director = place.begin();
    let mut journal = accept(&place.journal);
    assert_eq!(position(&mut journal), 1);
    let drain = [0, 0, 0, 1, 127, 0, 0, 1, 0, 9, 1, 0, 0, 0, 0, 0, 0, 3, 0xe8, 0, 0, 0, 0, 0, 0, 0, 0];
    let frame = [&[0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 2, 2], &drain[..]].concat();
    journal.write_all(&frame[..20]).unwrap();
    drop(journal);
    let mut journal = accept(&place.journal);
    assert_eq!(position(&mut journal), 1, "half an event is none");
    journal.write_all(&[&frame[..], &frame[..]].concat()).unwrap();
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
    assert!(viewer.hear().contains("ECHOED"), "it goes on with what it had");
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
    let run = include_str!("../../../deploy/balancer.toml").lines().find(|l| l.starts_with("run")).unwrap();
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
    assert!(maps.contains("/libc.so") && maps.contains("/ld-linux"), "not linked against the C library");
    for task in std::fs::read_dir(proc.join("task")).unwrap() {
        let children = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap();
        assert!(children.is_empty(), "started {children}");
    }
    for fd in std::fs::read_dir(proc.join("fd")).unwrap() {
        let to = std::fs::read_link(fd.unwrap().path()).unwrap();
        assert!(!to.to_string_lossy().contains("io_uring"), "uses io_uring");
    }
}

//! The environment of one test: a director as the platform starts it, its configuration, and sockets for a viewer, a
//! node and the journal service.
#![allow(dead_code)] // no test file uses all of it

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a test waits for a connection or a message.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A director process, killed when it is dropped.
pub struct Director(pub Child);

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Director {
    pub fn signal(&self, signal: rustix::process::Signal) {
        let id = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(id, signal).unwrap();
    }
}

pub struct Environment {
    pub dir: tempfile::TempDir,
    pub listen: String,
    pub journal: TcpListener,
    pub node: TcpListener,
    /// Deadline of viewers' requests in milliseconds.
    pub wait_ms: u64,
    /// Longest deadline in the settings, in milliseconds; without one the platform counts 3 s.
    pub longest_wait_ms: Option<u64>,
    /// Memory limit of the director in MB.
    pub memory_mb: u64,
    /// Limit of its file descriptors.
    pub sockets: usize,
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

pub fn address(listener: &TcpListener) -> String {
    listener.local_addr().unwrap().to_string()
}

impl Environment {
    pub fn new() -> Environment {
        // Not an ephemeral port: another test's listener could be assigned it before the director starts.
        let listen = format!("127.0.0.1:{}", shalewall_test_harness::free_port().unwrap());
        Environment {
            dir: tempfile::tempdir().unwrap(),
            listen,
            journal: listener(),
            node: listener(),
            wait_ms: 1500,
            longest_wait_ms: None,
            memory_mb: 192,
            sockets: 256,
        }
    }

    pub fn config_path(&self) -> std::path::PathBuf {
        self.dir.path().join("config.json")
    }

    pub fn write_config(&self, journal: &str) {
        std::fs::write(self.config_path(), self.config_text(journal)).unwrap();
    }

    pub fn config_text(&self, journal: &str) -> String {
        let node = address(&self.node);
        let longest_wait = self
            .longest_wait_ms
            .map_or(String::new(), |millis| format!(r#""GiveUp":{millis},"#));
        format!(
            r#"{{"name":"n1","listen":"{}","seed":"8c1f30d27a5be964","limits":{{"sockets":{},"memory_mb":{}}},
            "journal":"{journal}","known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"complete":true,"members":[
            {{"id":"s-00000001","host_port":"{node}","locality":"north","flavor":"small","cell":0,
            "phase":"ready","size":1,"up_since_ms":0}}]}}}}]}},"settings":{{"Balancers":1,"MyNumber":0,"Categories":[
            {{"Name":"paid","Effect":"at_most_once","Target":1500.0,{longest_wait}"Value":2.0}}],
            "FailureDomains":["north"],"Shapes":["small"],"Zone":"north","WeightSource":"nominal","Step":10.0,
            "Contract":{{"WarmAfter":0,"StartCapacity":0.4,"OverloadFactor":2.0,"Fall":2000.0}},
            "Limits":{{"MaxAttempts":4,"MayCancel":true,"RetryAfter":true,"MaxRetryAfter":1000.0,
            "ConnectTimeout":250.0}},"Specifics":{{"Places":1,"Cabinets":1,"PlacesByKind":[30],
            "RungKb":[200,600],"RungWorth":[0.4,1.0],"HighestRung":[1],"LowestRung":[0],"ClassScale":[1.0],
            "KbPerWeight":90000.0,"RackLinkKb":200000.0}}}}}}"#,
            self.listen, self.sockets, self.memory_mb
        )
    }

    pub fn start_director(&self) -> Director {
        self.start_director_with_log(Stdio::null())
    }

    /// Starts the director with its log written to `log`.
    pub fn start_director_with_log(&self, log: Stdio) -> Director {
        self.write_config(&address(&self.journal));
        let child = Command::new(env!("CARGO_BIN_EXE_shalewall"))
            .arg("direct")
            .env("ROUTER_CONFIG", self.config_path())
            .stderr(log)
            .spawn()
            .unwrap();
        Director(child)
    }

    pub fn viewer(&self) -> Viewer {
        let started_at = Instant::now();
        loop {
            if let Ok(stream) = TcpStream::connect(&self.listen) {
                return Viewer::new(stream, self.wait_ms);
            }
            assert!(
                started_at.elapsed() < TIMEOUT,
                "the director does not listen"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// A viewer's request, without the line feed.
pub fn session_request(tag: u64, wait_ms: u64) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"paid","left":{wait_ms},"key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1;viewer:{tag:016x}"}},"blob":"here\r\n"}}"#
    )
}

/// A connection of a viewer, and the deadline of its requests in milliseconds.
pub struct Viewer(pub BufReader<TcpStream>, u64);

impl Viewer {
    pub fn new(stream: TcpStream, wait_ms: u64) -> Viewer {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Viewer(BufReader::new(stream), wait_ms)
    }

    pub fn send(&mut self, line: &str) {
        self.0
            .get_mut()
            .write_all(format!("{line}\n").as_bytes())
            .unwrap();
    }

    pub fn request_session(&mut self, tag: u64) {
        self.send(&session_request(tag, self.1));
    }

    /// Sends readiness tests (`ECHO`) until the director answers that it is not ready.
    pub fn wait_until_not_ready(&mut self) {
        let started_at = Instant::now();
        loop {
            self.send(r#"{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}"#);
            if self.receive().contains("\"rc\":0") {
                return;
            }
            assert!(started_at.elapsed() < TIMEOUT);
        }
    }

    pub fn receive(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line
    }

    /// The next line; empty if the connection ended or nothing arrived in time.
    pub fn try_receive(&mut self) -> String {
        let mut line = String::new();
        let _ = self.0.read_line(&mut line);
        line
    }
}

pub fn accept(listener: &TcpListener) -> TcpStream {
    // Non-blocking, so that a missing connection fails the test.
    listener.set_nonblocking(true).unwrap();
    let started_at = Instant::now();
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => assert!(started_at.elapsed() < TIMEOUT, "nobody connects"),
        }
        std::thread::sleep(Duration::from_millis(2));
    };
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Reads one set-up and answers it.
pub fn answer_set_up(node: &mut TcpStream, tag: u64) {
    let mut buf = [0; 4096];
    let n = node.read(&mut buf).unwrap();
    assert!(buf[..n].starts_with(b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\n"));
    send_set_up_response(node, tag, "there\r\n");
}

pub fn send_set_up_response(node: &mut TcpStream, tag: u64, description: &str) {
    let length = description.len();
    let head = format!(
        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: {length}\r\n\r\n"
    );
    node.write_all(format!("{head}{description}").as_bytes())
        .unwrap();
}

pub fn read_position(journal: &mut TcpStream) -> u64 {
    let mut bytes = [0; 8];
    journal.read_exact(&mut bytes).unwrap();
    u64::from_be_bytes(bytes)
}

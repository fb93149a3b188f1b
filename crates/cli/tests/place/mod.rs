//! A director as the platform starts it, with its configuration, and a viewer, a node and a journal service of one test.
#![allow(dead_code)] // each test file uses a part of it

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const WAIT: Duration = Duration::from_secs(10);

/// A process that ends with its test.
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

pub struct Place {
    pub dir: tempfile::TempDir,
    pub listen: String,
    pub journal: TcpListener,
    pub node: TcpListener,
    /// How long a viewer waits, in milliseconds.
    pub left: u64,
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

pub fn address(listener: &TcpListener) -> String {
    listener.local_addr().unwrap().to_string()
}

impl Place {
    pub fn new() -> Place {
        // Not one that the system gives out by itself: another test's listener may have it by the time the director starts.
        let listen = format!("127.0.0.1:{}", shalewall_test_harness::free_port().unwrap());
        Place {
            dir: tempfile::tempdir().unwrap(),
            listen,
            journal: listener(),
            node: listener(),
            left: 1500,
        }
    }

    pub fn file(&self) -> std::path::PathBuf {
        self.dir.path().join("config.json")
    }

    pub fn write(&self, journal: &str) {
        std::fs::write(self.file(), self.text(journal)).unwrap();
    }

    pub fn text(&self, journal: &str) -> String {
        let node = address(&self.node);
        format!(
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
        )
    }

    pub fn begin(&self) -> Director {
        self.begin_logged(Stdio::null())
    }

    /// With its log to there.
    pub fn begin_logged(&self, log: Stdio) -> Director {
        self.write(&address(&self.journal));
        let child = Command::new(env!("CARGO_BIN_EXE_shalewall"))
            .arg("direct")
            .env("ROUTER_CONFIG", self.file())
            .stderr(log)
            .spawn()
            .unwrap();
        Director(child)
    }

    pub fn viewer(&self) -> Viewer {
        let begun = Instant::now();
        loop {
            if let Ok(stream) = TcpStream::connect(&self.listen) {
                stream.set_read_timeout(Some(WAIT)).unwrap();
                return Viewer(BufReader::new(stream), self.left);
            }
            assert!(begun.elapsed() < WAIT, "the director does not listen");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// A connection of a viewer, who waits so many milliseconds for an answer.
pub struct Viewer(pub BufReader<TcpStream>, u64);

impl Viewer {
    pub fn say(&mut self, line: &str) {
        self.0
            .get_mut()
            .write_all(format!("{line}\n").as_bytes())
            .unwrap();
    }

    pub fn ask(&mut self, tag: u64) {
        let left = self.1;
        self.say(&format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"paid","left":{left},"key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1;viewer:{tag:016x}"}},"blob":"here\r\n"}}"#
        ));
    }

    /// Tests until the director says that it is not ready.
    pub fn until_not_ready(&mut self) {
        let begun = Instant::now();
        loop {
            self.say(r#"{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}"#);
            if self.hear().contains("\"rc\":0") {
                return;
            }
            assert!(begun.elapsed() < WAIT);
        }
    }

    pub fn hear(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line
    }
}

pub fn accept(listener: &TcpListener) -> TcpStream {
    // Nobody who does not come is waited for without an end.
    listener.set_nonblocking(true).unwrap();
    let begun = Instant::now();
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(_) => assert!(begun.elapsed() < WAIT, "nobody connects"),
        }
        std::thread::sleep(Duration::from_millis(2));
    };
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream
}

/// Reads one set-up and answers it.
pub fn serve(node: &mut TcpStream, tag: u64) {
    let mut buf = [0; 4096];
    let n = node.read(&mut buf).unwrap();
    assert!(buf[..n].starts_with(b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\n"));
    answer(node, tag, "there\r\n");
}

pub fn answer(node: &mut TcpStream, tag: u64, description: &str) {
    let length = description.len();
    let head = format!(
        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: {length}\r\n\r\n"
    );
    node.write_all(format!("{head}{description}").as_bytes())
        .unwrap();
}

pub fn position(journal: &mut TcpStream) -> u64 {
    let mut bytes = [0; 8];
    journal.read_exact(&mut bytes).unwrap();
    u64::from_be_bytes(bytes)
}

//! A hosted service under test: the API and its fronts as processes.
#![allow(dead_code)] // each test file uses a part of it

use crate::scripted::{Node, plan};
use serde_json::{Value, json};
use shalewall_settings::{Hosting, ServerConfig};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process that is ended with its owner.
pub struct Process(pub Child, pub SocketAddr);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn start(args: &[&str]) -> Process {
    // As the kernel has it on a full disk: a write that is too much is an error, and no end of the process.
    let ignoring = [
        "-c",
        "trap '' XFSZ; exec \"$0\" \"$@\"",
        env!("CARGO_BIN_EXE_shalewall"),
    ];
    let mut command = Command::new("sh");
    let mut child = command
        .args(ignoring)
        .args(args)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let address = lines.by_ref().find_map(|line| {
        let said: Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"));
        said["fields"]["address"]
            .as_str()
            .map(|a| a.parse().unwrap())
    });
    std::thread::spawn(move || lines.for_each(drop));
    Process(child, address.expect("it listens"))
}

pub struct Service {
    pub admin: Process,
    pub fronts: Vec<Process>,
    pub token: String,
    pub dir: tempfile::TempDir,
}

impl Service {
    pub fn new(nodes: &[&Node], fronts: u32) -> Service {
        Service::with(nodes, fronts, |_| {})
    }

    /// The same with a change to the fronts' settings.
    pub fn with(nodes: &[&Node], fronts: u32, change: impl Fn(&mut ServerConfig)) -> Service {
        let dir = tempfile::tempdir().unwrap();
        let store = dir.path().join("tenants.redb");
        let make = |role: &str| {
            let args = ["store", "token", store.to_str().unwrap(), role];
            let shown = Command::new(env!("CARGO_BIN_EXE_shalewall"))
                .args(args)
                .output()
                .unwrap();
            String::from_utf8(shown.stdout).unwrap().trim().to_string()
        };
        let token = make("operator");
        std::fs::write(dir.path().join("token"), make("front")).unwrap();
        let admin = Service::admin(&dir, "127.0.0.1:0");
        let mut plan = plan(nodes);
        let token_file = dir.path().join("token");
        plan.hosting = Some(Hosting {
            admin: admin.1,
            token_file,
            set_ups_per_s: 1000.0,
        });
        plan.front.director_count = fronts;
        change(&mut plan);
        let fronts = (0..fronts).map(|number| {
            plan.front.number = number;
            let file = dir.path().join(format!("front-{number}.hcl"));
            std::fs::write(&file, hcl::to_string(&plan).unwrap()).unwrap();
            start(&["serve", "--config", file.to_str().unwrap()])
        });
        let fronts = fronts.collect();
        Service {
            admin,
            fronts,
            token,
            dir,
        }
    }

    pub fn admin(dir: &tempfile::TempDir, listen: &str) -> Process {
        let file = dir.path().join("admin.hcl");
        let store: PathBuf = dir.path().join("tenants.redb");
        let text = format!(
            "admin {{\n  listen = \"{listen}\"\n  store = {store:?}\n  forget_front_s = 10\n}}\n"
        );
        std::fs::write(&file, text).unwrap();
        start(&["admin", "--config", file.to_str().unwrap()])
    }

    pub fn api(&self, method: &str, target: &str, body: &Value) -> (u16, Value) {
        let fields = format!(
            "Authorization: Bearer {}\r\nIf-Match: *\r\nContent-Type: application/merge-patch+json\r\n",
            self.token
        );
        http(self.admin.1, method, target, &fields, body)
    }

    /// Makes a tenant, or changes it; returns when all fronts have the change, and how long that took.
    pub fn rolled_out(&self, method: &str, target: &str, body: &Value) -> Duration {
        let began = Instant::now();
        let (status, said) = self.api(method, target, body);
        assert!(
            (200..300).contains(&status),
            "{method} {target}: {status} {said}"
        );
        let number = self.api("GET", "/changes?after=0", &Value::Null).1["number"]
            .as_u64()
            .unwrap();
        for front in &self.fronts {
            while http(front.1, "GET", "/state", "", &Value::Null).1["tenants"].as_u64()
                < Some(number)
            {
                assert!(
                    began.elapsed() < Duration::from_secs(10),
                    "it does not reach all fronts"
                );
                std::thread::sleep(Duration::from_millis(2));
            }
        }
        began.elapsed()
    }

    pub fn ask(&self, front: usize, tenant: &str, viewer: &str) -> (u16, Value) {
        let wanted =
            json!({ "viewer": viewer, "tenant": tenant, "class": "room", "title": "monday" });
        http(self.fronts[front].1, "POST", "/sessions", "", &wanted)
    }
}

pub fn http(
    to: SocketAddr,
    method: &str,
    target: &str,
    fields: &str,
    body: &Value,
) -> (u16, Value) {
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let mut stream = TcpStream::connect(to).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut said = String::new();
    stream.read_to_string(&mut said).unwrap();
    let status = said[9..12].parse().unwrap();
    let body = said.split_once("\r\n\r\n").map_or("", |(_, b)| b);
    (status, serde_json::from_str(body).unwrap_or_default())
}

pub fn terms(limits: Value) -> Value {
    let class = |paid| json!({ "paid": paid, "aim_ms": 1000, "give_up_ms": 4000, "worth": 1.0 });
    json!({ "display_name": "x", "share": 1.0, "limits": limits, "ends_within_s": 1,
        "classes": { "room": class(false), "report": class(true) } })
}

//! A hosted service under test, with the API and its directors as processes.
#![allow(dead_code)] // no test file uses all of it

use crate::scripted::{Node, server_config};
use serde_json::{Value, json};
use shalewall_settings::{Hosting, ServerConfig};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process and the address that it listens on. Dropping it kills the process.
pub struct Process(pub Child, pub SocketAddr);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn start_process(args: &[&str]) -> Process {
    // Ignores SIGXFSZ, so that a write beyond the file size limit fails with an error as on a full disk.
    let shell_args = [
        "-c",
        "trap '' XFSZ; exec \"$0\" \"$@\"",
        env!("CARGO_BIN_EXE_shalewall"),
    ];
    let mut command = Command::new("sh");
    let mut child = command
        .args(shell_args)
        .args(args)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let address = lines.by_ref().find_map(|line| {
        let log_entry: Value =
            serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"));
        log_entry["fields"]["address"]
            .as_str()
            .map(|a| a.parse().unwrap())
    });
    std::thread::spawn(move || lines.for_each(drop));
    Process(child, address.expect("it logs its address"))
}

pub struct Service {
    pub admin: Process,
    pub directors: Vec<Process>,
    pub token: String,
    pub dir: tempfile::TempDir,
}

impl Service {
    pub fn new(nodes: &[&Node], directors: u32) -> Service {
        Service::with_config(nodes, directors, |_| {})
    }

    /// Starts the service, with a change to the directors' settings.
    pub fn with_config(
        nodes: &[&Node],
        directors: u32,
        change: impl Fn(&mut ServerConfig),
    ) -> Service {
        let dir = tempfile::tempdir().unwrap();
        let store = dir.path().join("tenants.redb");
        let create_token = |role: &str| {
            let args = ["store", "token", store.to_str().unwrap(), role];
            let output = Command::new(env!("CARGO_BIN_EXE_shalewall"))
                .args(args)
                .output()
                .unwrap();
            String::from_utf8(output.stdout).unwrap().trim().to_string()
        };
        let token = create_token("operator");
        std::fs::write(dir.path().join("token"), create_token("front")).unwrap();
        let admin = Service::start_admin(&dir, "127.0.0.1:0");
        let mut config = server_config(nodes);
        let token_file = dir.path().join("token");
        config.hosting = Some(Hosting {
            admin: admin.1,
            token_file,
            set_ups_per_s: 1000.0,
        });
        config.front.director_count = directors;
        change(&mut config);
        let directors = (0..directors).map(|number| {
            config.front.number = number;
            let file = dir.path().join(format!("front-{number}.hcl"));
            std::fs::write(&file, hcl::to_string(&config).unwrap()).unwrap();
            start_process(&["serve", "--config", file.to_str().unwrap()])
        });
        let directors = directors.collect();
        Service {
            admin,
            directors,
            token,
            dir,
        }
    }

    pub fn start_admin(dir: &tempfile::TempDir, listen: &str) -> Process {
        let file = dir.path().join("admin.hcl");
        let store: PathBuf = dir.path().join("tenants.redb");
        let text = format!(
            "admin {{\n  listen = \"{listen}\"\n  store = {store:?}\n  forget_front_s = 10\n}}\n"
        );
        std::fs::write(&file, text).unwrap();
        start_process(&["admin", "--config", file.to_str().unwrap()])
    }

    pub fn call_api(&self, method: &str, target: &str, body: &Value) -> (u16, Value) {
        let fields = format!(
            "Authorization: Bearer {}\r\nIf-Match: *\r\nContent-Type: application/merge-patch+json\r\n",
            self.token
        );
        http(self.admin.1, method, target, &fields, body)
    }

    /// Creates or changes a tenant and waits until all directors have applied the change. Returns the elapsed time.
    pub fn change_and_wait(&self, method: &str, target: &str, body: &Value) -> Duration {
        let started_at = Instant::now();
        let (status, answer) = self.call_api(method, target, body);
        assert!(
            (200..300).contains(&status),
            "{method} {target}: {status} {answer}"
        );
        let number = self.call_api("GET", "/changes?after=0", &Value::Null).1["number"]
            .as_u64()
            .unwrap();
        for director in &self.directors {
            while http(director.1, "GET", "/state", "", &Value::Null).1["tenants"].as_u64()
                < Some(number)
            {
                assert!(
                    started_at.elapsed() < Duration::from_secs(10),
                    "the change does not reach all directors"
                );
                std::thread::sleep(Duration::from_millis(2));
            }
        }
        started_at.elapsed()
    }

    pub fn request_session(&self, director: usize, tenant: &str, viewer: &str) -> (u16, Value) {
        let request =
            json!({ "viewer": viewer, "tenant": tenant, "class": "room", "title": "monday" });
        http(
            self.directors[director].1,
            "POST",
            "/sessions",
            "",
            &request,
        )
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
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    let status = response[9..12].parse().unwrap();
    let body = response.split_once("\r\n\r\n").map_or("", |(_, b)| b);
    (status, serde_json::from_str(body).unwrap_or_default())
}

pub fn terms(limits: Value) -> Value {
    let class = |paid| json!({ "paid": paid, "aim_ms": 1000, "give_up_ms": 4000, "worth": 1.0 });
    json!({ "display_name": "x", "share": 1.0, "limits": limits, "ends_within_s": 1,
        "classes": { "room": class(false), "report": class(true) } })
}

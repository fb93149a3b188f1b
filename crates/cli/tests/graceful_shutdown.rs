//! Graceful shutdown of a director: it answers all accepted requests and accepts nothing new.

#[path = "../../server/tests/scripted/mod.rs"]
mod scripted;
use rustix::process::{Pid, Signal, kill_process};
use scripted::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Starts a director as a process. Returns it and the address that it listens on.
fn start_director_process(nodes: &[&Node], shutdown_grace_s: f64) -> (Child, SocketAddr) {
    let mut config = server_config(nodes);
    config.front.shutdown_grace_s = shutdown_grace_s;
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("front.hcl");
    std::fs::write(&file, hcl::to_string(&config).unwrap()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_shalewall"));
    command
        .arg("serve")
        .arg("--config")
        .arg(&file)
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let address = lines.by_ref().find_map(|line| {
        let log_entry: serde_json::Value = serde_json::from_str(&line).unwrap();
        log_entry["fields"]["address"]
            .as_str()
            .map(|a| a.parse().unwrap())
    });
    std::thread::spawn(move || lines.for_each(drop));
    nodes
        .iter()
        .for_each(|n| drop(n.wait_for("GET /events", 1)));
    std::thread::sleep(Duration::from_millis(200));
    (child, address.unwrap())
}

fn terminate(child: &Child) {
    kill_process(Pid::from_child(child), Signal::TERM).unwrap();
}

#[test]
fn waiting_request_is_answered_and_new_connections_are_refused() {
    let node = Node::start(&[SetUpBehavior::AcceptAfter(Duration::from_millis(800))]);
    let (mut child, director) = start_director_process(&[&node], 0.0);
    let pending = request_session(director, "a", "report");
    node.wait_for("PUT", 1);
    let started_at = Instant::now();
    terminate(&child);
    std::thread::sleep(Duration::from_millis(100));
    assert!(
        std::net::TcpStream::connect(director).is_err(),
        "new connections are refused"
    );
    assert_eq!(read_statuses(pending), [201]);
    assert!(child.wait().unwrap().success());
    assert!(started_at.elapsed() < Duration::from_secs(3));
    assert_eq!(node.requests("PUT").len(), 1);
}

#[test]
fn playing_sessions_are_waited_for_up_to_the_grace_period() {
    let node = Node::start(&[]);
    let (mut child, director) = start_director_process(&[&node], 1.0);
    assert_eq!(
        read_statuses(request_session(director, "a", "report")),
        [201]
    );
    let started_at = Instant::now();
    terminate(&child);
    assert!(child.wait().unwrap().success());
    let elapsed = started_at.elapsed();
    assert!(
        elapsed > Duration::from_millis(900) && elapsed < Duration::from_secs(4),
        "{elapsed:?}"
    );
}

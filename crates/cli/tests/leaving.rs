//! A front that is told to end answers all that it has taken, and takes nothing new.

#[path = "../../server/tests/scripted/mod.rs"]
mod scripted;
use rustix::process::{Pid, Signal, kill_process};
use scripted::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A front of its own process, and where it listens.
fn process(nodes: &[&Node], leave_s: f64) -> (Child, SocketAddr) {
    let mut plan = plan(nodes);
    plan.front.shutdown_grace_s = leave_s;
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("front.hcl");
    std::fs::write(&file, hcl::to_string(&plan).unwrap()).unwrap();
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
        let said: serde_json::Value = serde_json::from_str(&line).unwrap();
        said["fields"]["address"]
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

fn end(child: &Child) {
    kill_process(Pid::from_child(child), Signal::TERM).unwrap();
}

#[test]
fn a_request_that_waits_is_answered_and_nothing_new_is_taken() {
    let node = Node::start(&[Act::Play(Duration::from_millis(800))]);
    let (mut child, front) = process(&[&node], 0.0);
    let waits = ask(front, "a", "report");
    node.wait_for("PUT", 1);
    let began = Instant::now();
    end(&child);
    std::thread::sleep(Duration::from_millis(100));
    assert!(
        std::net::TcpStream::connect(front).is_err(),
        "new connections are refused"
    );
    assert_eq!(statuses(waits), [201]);
    assert!(child.wait().unwrap().success());
    assert!(began.elapsed() < Duration::from_secs(3));
    assert_eq!(node.lines("PUT").len(), 1);
}

#[test]
fn sessions_that_play_are_given_their_time_and_no_more() {
    let node = Node::start(&[]);
    let (mut child, front) = process(&[&node], 1.0);
    assert_eq!(statuses(ask(front, "a", "report")), [201]);
    let began = Instant::now();
    end(&child);
    assert!(child.wait().unwrap().success());
    let took = began.elapsed();
    assert!(
        took > Duration::from_millis(900) && took < Duration::from_secs(4),
        "{took:?}"
    );
}

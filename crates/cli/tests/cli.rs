//! The command line: exit codes, and errors that a person can act on.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn shalewall(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shalewall"))
        .args(args)
        .output()
        .unwrap()
}

fn days() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days")
}

fn write(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_string()
}

#[test]
fn every_day_that_is_shipped_passes_its_check() {
    let mut count = 0;
    for day in std::fs::read_dir(days()).unwrap() {
        let path = day.unwrap().path();
        if path.file_name().is_some_and(|name| name == "house.hcl") {
            continue; // a part of days, not one
        }
        let out = shalewall(&["day", "run", path.to_str().unwrap(), "--check"]);
        assert_eq!(
            out.status.code(),
            Some(0),
            "{}: {}",
            path.display(),
            String::from_utf8_lossy(&out.stderr)
        );
        count += 1;
    }
    assert!(count >= 9);
}

#[test]
fn bad_settings_exit_2_and_name_file_line_and_path() {
    let dir = tempfile::tempdir().unwrap();
    let text = std::fs::read_to_string(days().join("bad-day.hcl")).unwrap();
    let file = write(
        dir.path(),
        "day.hcl",
        &text.replacen("start_capacity  = 0.4", "start_capacity = 4", 1),
    );
    let line = text
        .lines()
        .position(|l| l.contains("start_capacity"))
        .unwrap()
        + 1;
    for args in [
        vec!["day", "run", &file, "--check"],
        vec!["nodes", "--config", &file, "--check"],
    ] {
        let out = shalewall(&args);
        let said = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{said}");
        assert!(
            said.contains(&format!("{file}:{line}: site.rules.start_capacity: ")),
            "{said}"
        );
    }
    let none = dir.path().join("none.hcl");
    let out = shalewall(&["serve", "--config", none.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("none.hcl"));
}

#[test]
fn an_audit_exits_by_what_it_finds() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().to_str().unwrap();
    assert_eq!(
        shalewall(&["audit", path]).status.code(),
        Some(2),
        "no rules to judge by"
    );
    let rules = r#"{"classes":{"once":{"paid":true,"floor":0,"seats":0}},"drain_within":250000,"answer_slack":50000,
        "warm_after":0,"start_capacity":1,"overload_factor":2,"fall":1,"further":null,"transit":1000}"#;
    write(dir.path(), "rules.json", rules);
    let set_up = |t: u64, attempt: u32| {
        format!(
            "{{\"what\":\"set_up\",\"t\":{t},\"node\":1,\"director\":0,\"session\":5,\"attempt\":{attempt},\
             \"class\":\"once\",\"title\":\"x\",\"rung\":1}}\n"
        )
    };
    write(dir.path(), "a.jsonl", &set_up(1, 0));
    assert_eq!(shalewall(&["audit", path]).status.code(), Some(0));
    write(dir.path(), "b.jsonl", &set_up(2, 1));
    let out = shalewall(&["audit", path]);
    assert_eq!(out.status.code(), Some(1));
    let said = String::from_utf8(out.stdout).unwrap();
    assert!(
        said.contains("no set-up twice") && said.contains("BROKEN"),
        "{said}"
    );
    write(dir.path(), "c.jsonl", "{\"what\":\"nothing known\"}\n");
    assert_eq!(shalewall(&["audit", path]).status.code(), Some(2));
}

#[test]
fn stand_ins_alone_name_their_addresses() {
    use std::io::{BufRead, BufReader};
    let file = days().join("bad-day.hcl");
    let mut child = Command::new(env!("CARGO_BIN_EXE_shalewall"))
        .args(["nodes", "--config", file.to_str().unwrap()])
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    // The list and fifteen nodes.
    let told: Vec<String> = lines
        .filter(|l| l.contains("\"listening\""))
        .take(16)
        .collect();
    child.kill().unwrap();
    child.wait().unwrap();
    let address = |l: &String| {
        let said: serde_json::Value = serde_json::from_str(l).unwrap();
        said["fields"]["address"]
            .as_str()
            .unwrap()
            .parse::<std::net::SocketAddr>()
            .unwrap()
    };
    let ports: std::collections::BTreeSet<u16> = told.iter().map(|l| address(l).port()).collect();
    assert_eq!(ports.len(), 16);
}

/// A rig without the descriptors that a day needs is told so before the day begins, not by wrong figures after it.
#[test]
fn a_day_that_the_machine_can_not_run_is_refused() {
    let day = days().join("short-bad-day.hcl");
    let dir = tempfile::tempdir().unwrap();
    let run = format!(
        "ulimit -n 150; exec {} day run {} --out {}",
        env!("CARGO_BIN_EXE_shalewall"),
        day.display(),
        dir.path().display()
    );
    let out = std::process::Command::new("sh")
        .args(["-c", &run])
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{said}");
    assert!(
        said.contains("descriptors") && said.contains("150"),
        "{said}"
    );
}

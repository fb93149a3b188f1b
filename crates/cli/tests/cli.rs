//! The command line: exit codes and error messages.

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
fn all_shipped_days_pass_the_check() {
    let mut count = 0;
    for day in std::fs::read_dir(days()).unwrap() {
        let path = day.unwrap().path();
        if path.file_name().is_some_and(|name| name == "house.hcl") {
            continue; // included by days, not a day itself
        }
        let output = shalewall(&["day", "run", path.to_str().unwrap(), "--check"]);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{}: {}",
            path.display(),
            String::from_utf8_lossy(&output.stderr)
        );
        count += 1;
    }
    assert!(count >= 9);
}

#[test]
fn invalid_settings_exit_with_2_and_name_file_line_and_path() {
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
        let output = shalewall(&args);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(
            errors.contains(&format!("{file}:{line}: site.rules.start_capacity: ")),
            "{errors}"
        );
    }
    let none = dir.path().join("none.hcl");
    let output = shalewall(&["serve", "--config", none.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("none.hcl"));
}

#[test]
fn exit_code_of_an_audit_depends_on_its_findings() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().to_str().unwrap();
    assert_eq!(
        shalewall(&["audit", path]).status.code(),
        Some(2),
        "no rules.json"
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
    let output = shalewall(&["audit", path]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        text.contains("no set-up twice") && text.contains("BROKEN"),
        "{text}"
    );
    write(dir.path(), "c.jsonl", "{\"what\":\"nothing known\"}\n");
    assert_eq!(shalewall(&["audit", path]).status.code(), Some(2));
}

#[test]
fn emulated_nodes_and_list_log_their_addresses() {
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
    // The endpoint list and fifteen nodes.
    let log_lines: Vec<String> = lines
        .filter(|l| l.contains("\"listening\""))
        .take(16)
        .collect();
    child.kill().unwrap();
    child.wait().unwrap();
    let address = |l: &String| {
        let entry: serde_json::Value = serde_json::from_str(l).unwrap();
        entry["fields"]["address"]
            .as_str()
            .unwrap()
            .parse::<std::net::SocketAddr>()
            .unwrap()
    };
    let ports: std::collections::BTreeSet<u16> =
        log_lines.iter().map(|l| address(l).port()).collect();
    assert_eq!(ports.len(), 16);
}

/// A machine without enough file descriptors is reported before the day starts, not by wrong results after it.
#[test]
fn day_without_enough_descriptors_is_rejected() {
    let day = days().join("short-bad-day.hcl");
    let dir = tempfile::tempdir().unwrap();
    let run = format!(
        "ulimit -n 150; exec {} day run {} --out {}",
        env!("CARGO_BIN_EXE_shalewall"),
        day.display(),
        dir.path().display()
    );
    let output = std::process::Command::new("sh")
        .args(["-c", &run])
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(
        errors.contains("descriptors") && errors.contains("150"),
        "{errors}"
    );
}

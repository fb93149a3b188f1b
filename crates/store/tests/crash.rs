//! Consistency of the store after its process is killed during writes.

mod support;

use serde_json::json;
use shalewall_store::Store;
use shalewall_tenancy::change::{Change, Precondition};
use shalewall_tenancy::tenant::TenantState;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;
use support::{context, id, terms};

/// Environment variable that enables [`write_until_killed`] and gives the path of its store.
const STORE_VARIABLE: &str = "CRASH_TEST_STORE";
/// Prefix of a line of the child's output, before the number of a committed change.
const COMMITTED: &str = "committed ";

/// The child process of the test below: changes tenants until it is killed, and prints each committed change's number.
#[test]
fn write_until_killed() {
    let Ok(path) = std::env::var(STORE_VARIABLE) else {
        return;
    };
    let store = Store::open(Path::new(&path)).unwrap();
    for i in 0u64.. {
        let name = format!("t{}", i % 7);
        let change = match store.tenant(&id(&name)).unwrap().map(|t| t.state) {
            None | Some(TenantState::Deleted { .. }) => Change::Create(terms(&name)),
            Some(TenantState::Deleting { .. }) => Change::FinishDeletion,
            _ if i % 11 == 0 => Change::Delete,
            _ => Change::Patch(json!({ "display_name": format!("{i}") })),
        };
        let outcome = store
            .change_tenant(&id(&name), &change, &context(Precondition::Any), None)
            .unwrap();
        println!("{COMMITTED}{}", outcome.change_number.unwrap());
    }
}

/// The change number in a line of the child's output, if it has one.
fn committed_number(line: &str) -> Option<&str> {
    line.contains(COMMITTED).then_some(line)?.rsplit(' ').next()
}

/// Runs a writer and kills it during a change, at a point that differs with `kill`. Returns the last number that it
/// printed, or `before` (the last number of the previous writer) if it printed none.
fn last_printed_by_killed_writer(path: &Path, kill: u64, before: u64) -> u64 {
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "write_until_killed", "--nocapture"])
        .env(STORE_VARIABLE, path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut output = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut last = before;
    for _ in 0..1 + kill % 4 {
        let number = output
            .by_ref()
            .map(Result::unwrap)
            .find_map(|line| committed_number(&line).map(str::to_string));
        last = number
            .expect("the child prints a change number")
            .parse()
            .unwrap();
    }
    std::thread::sleep(Duration::from_micros(kill * 37 % 3000));
    child.kill().unwrap();
    child.wait().unwrap();
    for line in output.map_while(Result::ok) {
        let number = committed_number(&line).and_then(|number| number.parse().ok());
        last = number.unwrap_or(last); // the last line may be incomplete
    }
    last
}

#[test]
fn every_store_of_200_killed_writers_is_consistent() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("t.redb");
    let mut committed = 0;
    for kill in 0..200u64 {
        committed = last_printed_by_killed_writer(&path, kill, committed);
        let store = Store::open(&path).unwrap();
        store
            .check()
            .unwrap_or_else(|error| panic!("after kill {kill}: {error}"));
        // All printed changes are stored, and at most the one that was in progress in addition.
        let last = store.last_change_number().unwrap();
        assert!(
            last == committed || last == committed + 1,
            "after kill {kill}: {committed} printed, {last} stored"
        );
        committed = last;
    }
    assert!(
        committed > 400,
        "too few changes for a meaningful test: {committed}"
    );
}

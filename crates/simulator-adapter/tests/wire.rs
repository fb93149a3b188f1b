//! The simulator's protocol, line by line and through the binary.

use shalewall_simulator_adapter::{SimulatorAdapter, WireError};
use std::io::Write;
use std::process::{Command, Stdio};

/// The settings of a director as the simulator writes them. They are in a separate file, so that renaming identifiers
/// in the code cannot change their keys.
const SETUP: &str = include_str!("fixtures/setup.json");

fn setup() -> String {
    SETUP.replace('\n', "")
}

fn exchange(lines: &[&str]) -> Result<String, WireError> {
    let mut adapter = SimulatorAdapter::default();
    let mut reply = String::new();
    for line in lines {
        adapter.read_line(line, &mut reply)?;
    }
    adapter.finish()?;
    Ok(reply)
}

fn begin_director(mode: &str) -> Vec<String> {
    let setup = setup().replacen('{', &format!("{{\"MembershipMode\": \"{mode}\", "), 1);
    [
        "SYNC 1000.5",
        &format!("BEGIN director-3 -17 {setup}"),
        "LIST 0 2",
        "NODE 11 north small 0 1 1 -",
        "NODE 12 elsewhere other 1 1 1.5 100.0 and more",
        "ANNOUNCE director-3 2 41 0",
        "COMMIT",
    ]
    .map(str::to_string)
    .to_vec()
}

fn exchange_after_begin(mode: &str, more: &[&str]) -> Result<String, WireError> {
    let begun = begin_director(mode);
    let mut lines: Vec<&str> = begun.iter().map(String::as_str).collect();
    lines.extend(more);
    exchange(&lines)
}

/// A request of class `live` with a duration hint, as its flags indicate.
const REQUEST: &str =
    "SUBMIT director-3 77 live - 91f03b7c55d20a64 2b8e6401d9f37c10 9000.0 12.0 0 2 1 1";

#[test]
fn an_empty_batch_is_answered() {
    assert_eq!(exchange(&["SYNC 8412.25", "COMMIT", ""]).unwrap(), "ACK\n");
}

#[test]
fn a_session_is_set_up_and_played_to_its_end() {
    let reply = exchange_after_begin("pushed", &["SYNC 1010", REQUEST, "COMMIT"]).unwrap();
    assert!(
        reply.contains("STEP_TO director-3 77 1\nTRANSMIT director-3 77 1"),
        "{reply}"
    );
    let node = if reply.contains("TRANSMIT director-3 77 11") {
        11
    } else {
        12
    };
    let started = format!("HEADERS director-3 77 0 {node} 80.0");
    let notification = format!("HINT_UPDATE director-3 77 0 0.5 {node} 3");
    let unknown_notification = format!("HINT_UPDATE director-3 77 0 0.5 {node} 9");
    let ended =
        format!("FINISHED director-3 77 GOOD 30000.5 {node} 0 1 rif:7,x0:0.4,x1:1.25,new:3 extra");
    let withdrawal = "WITHDRAWN director-3 77";
    let all = [
        "SYNC 1010",
        REQUEST,
        "COMMIT",
        "SYNC 1090",
        &started,
        &notification,
        &unknown_notification,
        "COMMIT",
        "SYNC 31090",
        &ended,
        withdrawal,
    ];
    let reply = exchange_after_begin("pushed", &[&all[..], &["COMMIT"]].concat()).unwrap();
    assert!(
        !reply.contains("OVERLOAD_REPLY") && !reply.contains("END_FAILED"),
        "{reply}"
    );
    assert_eq!(reply.matches("ACK\n").count(), 4);
}

#[test]
fn cheap_health_checks_are_sent_before_the_attempt_and_decide_it() {
    let setup = |price: &str, probes: &str| {
        let probing =
            format!("\"Deductions\": {{\"Probe\": {price}}}, \"Limits\": {{\"Probes\": {probes}, ");
        setup().replacen("\"Limits\": {", &probing, 1)
    };
    let exchange_with = |setup: String, more: &[&str]| {
        let begin = format!("BEGIN director-3 -17 {setup}");
        let (nodes, submit) = (
            ["NODE 11 north small 0 1 1 -", "NODE 12 north small 1 1 1 -"],
            REQUEST,
        );
        let head = [
            "SYNC 1000.5",
            &begin,
            "LIST 0 2",
            nodes[0],
            nodes[1],
            "ANNOUNCE director-3 2 41 0",
            "COMMIT",
        ];
        let mut lines = head.to_vec();
        // Fires the periodic timer when it is due. Otherwise the director would detect a stall and send no health
        // checks.
        let ticks: Vec<String> = (1..=30)
            .map(|n| format!("SYNC {}", 1000.5 + 200.0 * f64::from(n)))
            .collect();
        let tick = format!("BELL director-3 {}", u64::MAX);
        ticks
            .iter()
            .for_each(|t| lines.extend([t.as_str(), tick.as_str(), "COMMIT"]));
        lines.extend(["SYNC 7000.5", submit, "COMMIT"]);
        lines.extend(more);
        exchange(&lines).unwrap()
    };
    for (price, probes) in [("0.01", "false"), ("0.5", "true")] {
        let reply = exchange_with(setup(price, probes), &[]);
        assert!(
            !reply.contains("PING") && reply.contains("TRANSMIT director-3 77"),
            "{price} {probes}: {reply}"
        );
    }
    let reply = exchange_with(setup("0.01", "true"), &[]);
    assert!(
        reply.contains("PING director-3 11\n") && reply.contains("PING director-3 12\n"),
        "{reply}"
    );
    assert!(!reply.contains("TRANSMIT"), "{reply}");
    let answers = [
        "SYNC 7003",
        "PROBE_RESULT director-3 11 GOOD 2.1 rif:7,x0:0.9,x1:0.3",
        "PROBE_RESULT director-3 12 GOOD 2.2 rif:3,x0:0.2,x1:0.3",
        "COMMIT",
    ];
    let reply = exchange_with(setup("0.01", "true"), &answers);
    assert!(
        reply.contains("TRANSMIT director-3 77 12 "),
        "the server with less load: {reply}"
    );
}

#[test]
fn the_settings_keys_of_the_wire_are_read() {
    let attempt = |class: &str| {
        let request = REQUEST.replace("live", class);
        let reply = exchange_after_begin("pushed", &["SYNC 1010", &request, "COMMIT"]).unwrap();
        let line = reply.lines().find(|line| line.starts_with("TRANSMIT"));
        line.unwrap().to_string()
    };
    // An at-most-once attempt waits until the viewer's deadline; an idempotent one has an attempt timeout.
    assert!(attempt("report").ends_with(" -"), "{}", attempt("report"));
    assert!(attempt("live").ends_with(" 480"), "{}", attempt("live"));
    for (key, path) in [
        ("Fall", "Setup.Contract.Fall"),
        ("WarmAfter", "Setup.Contract.WarmAfter"),
    ] {
        let wrong = setup().replace(
            &format!("\"{key}\": "),
            &format!("\"{key}\": \"x\", \"Unread\": "),
        );
        let begin = format!("BEGIN director-3 1 {wrong}");
        let error = exchange(&["SYNC 1", &begin]).expect_err(key);
        assert_eq!(error.field, path, "{error}");
    }
}

#[test]
fn an_unknown_class_is_rejected_with_retry_after_and_an_unknown_session_ignored() {
    let submit = REQUEST.replace("live", "unheard-of");
    let reply = exchange_after_begin(
        "pushed",
        &[
            "SYNC 1010",
            &submit,
            "BELL director-3 sweep",
            "BELL director-9 1",
            "COMMIT",
        ],
    )
    .unwrap();
    assert!(reply.contains("OVERLOAD_REPLY director-3 77 "), "{reply}");
    let unknown_session_end = "FINISHED director-3 5 RST 1.0 11 0 1 -";
    let all = [
        "SYNC 1010",
        unknown_session_end,
        "PROBE_RESULT director-3 11 GOOD 1.0 -",
        "DATAGRAM director-3 2 6869",
        "COMMIT",
    ];
    assert!(exchange_after_begin("pushed", &all).is_ok());
}

#[test]
fn a_director_may_retire_and_begin_in_one_batch_and_list_numbers_are_reused() {
    let begin = format!("BEGIN director-3 5 {}", setup());
    let all = [
        "SYNC 1010",
        "RETIRE director-3",
        &begin,
        "LIST 0 1",
        "NODE 99 north small 0 1 1 -",
        "ANNOUNCE director-3 2 1 0",
        REQUEST,
        "LIST 0 0",
        "COMMIT",
    ];
    let reply = exchange_after_begin("pushed", &all).unwrap();
    assert!(reply.contains("TRANSMIT director-3 77 99"), "{reply}");
}

#[test]
fn a_director_that_polls_the_endpoint_list_subscribes_in_its_first_reply() {
    assert!(
        exchange_after_begin("on_request", &[])
            .unwrap()
            .contains("STREAM_CHANGES director-3 1")
    );
    assert!(
        !exchange_after_begin("pushed", &[])
            .unwrap()
            .contains("STREAM_CHANGES")
    );
}

#[test]
fn malformed_lines_name_line_and_field() {
    let cases: &[(&[&str], u64, &str)] = &[
        (&["SYNC soon"], 1, "clock"),
        (&["COMMIT"], 1, "message"),
        (&["SYNC 1", "SYNC 2"], 2, "message"),
        (&["SYNC 1", "HELLO director-3"], 2, "message"),
        (&["SYNC 1", "BELL"], 2, "Director"),
        (&["SYNC 1", "SUBMIT director-3 x live"], 2, "OpId"),
        (&["SYNC 1", "SUBMIT director-3 7 live - zz"], 2, "Subject"),
        (
            &["SYNC 1", "FINISHED director-3 7 GOOD 1 2 0 1 x0"],
            2,
            "Stats",
        ),
        (&["SYNC 1", "ANNOUNCE director-3 2 1 5"], 2, "Slot"),
        (&["SYNC 1", "ANNOUNCE director-3 8 1 5"], 2, "Form"),
        (
            &["SYNC 1", "LIST 0 2", "NODE 1 a b 0 1 1 -", "COMMIT"],
            4,
            "message",
        ),
        (
            &["SYNC 1", "LIST 0 1", "NODE 1 a b 0 7 1 -"],
            3,
            "Availability",
        ),
        (
            &["SYNC 1", "BEGIN director-3 1 {\"Balancers\": 1}"],
            2,
            "Setup.Categories",
        ),
        (&["SYNC 1", "BEGIN director-3 1 {"], 2, "Setup"),
        (&["SYNC 1", "DATAGRAM director-3 1 6"], 2, "Body"),
        (&["SYNC 1"], 1, "COMMIT"),
    ];
    for (lines, line, field) in cases {
        let error = exchange(lines).expect_err(&format!("{lines:?}"));
        assert_eq!(
            (error.line, error.field.as_str()),
            (*line, *field),
            "{lines:?}: {error}"
        );
    }
}

fn binary(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_shalewall-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    let out = child.wait_with_output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (text(out.stdout), text(out.stderr), out.status.success())
}

#[test]
fn the_binary_flushes_each_reply_and_succeeds_at_the_end_of_input() {
    assert_eq!(
        binary("SYNC 1\nCOMMIT\n\nSYNC 2\nCOMMIT\n"),
        ("ACK\nACK\n".into(), String::new(), true)
    );
    assert_eq!(binary(""), (String::new(), String::new(), true));
}

#[test]
fn the_binary_writes_no_partial_reply_before_a_malformed_line() {
    let (out, err, good) = binary("SYNC 1\nCOMMIT\nSYNC 2\nBELL\nCOMMIT\n");
    assert_eq!((out.as_str(), good), ("ACK\n", false));
    assert!(err.contains("line 4") && err.contains("Director"), "{err}");
}

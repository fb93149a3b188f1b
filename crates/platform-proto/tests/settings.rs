//! Independence from settings: names and the order of classes do not change decisions, and two directors in one process
//! do not affect each other.

mod common;
use common::{MILLISECOND, NODE, START, counts, set_up_answer, set_up_rejection, start_message};
use shalewall::Timestamp;
use shalewall_platform_proto::config::Config;
use shalewall_platform_proto::{ConnectError, ConnectionId, DirectorProtocol, Output, Transmit};

fn config_text(
    classes: [&str; 2],
    zone: &str,
    kind: &str,
    tenants: &[&str],
    reversed: bool,
) -> String {
    let class = |name: &str, effect: &str, target: f64, value: f64| {
        format!(r#"{{"Name":"{name}","Effect":"{effect}","Target":{target:?},"Value":{value:?}}}"#)
    };
    let mut listed = [
        class(classes[0], "at_most_once", 1500.0, 2.0),
        class(classes[1], "idempotent", 1000.0, 1.0),
    ];
    let (mut scales, mut lowest_rungs) = (["1.2", "0.8"], ["1", "0"]);
    if reversed {
        listed.reverse();
        scales.reverse();
        lowest_rungs.reverse();
    }
    let (scales, lowest_rungs) = (scales.join(","), lowest_rungs.join(","));
    let tenants: Vec<_> = tenants
        .iter()
        .map(|tenant| format!(r#"{{"Name":"{tenant}","Share":0.5,"AllowancePerS":1.0}}"#))
        .collect();
    let members: Vec<_> = (0..2)
        .map(|index| format!(
            r#"{{"id":"s-0000000{}","host_port":"{}","locality":"{zone}","flavor":"{kind}","cell":{index},"phase":"ready","size":1}}"#,
            index + 1, NODE[index]
        ))
        .collect();
    format!(
        r#"{{"name":"n1","listen":"10.0.0.4:5060","seed":"8c1f30d27a5be964","limits":{{"sockets":256}},
        "journal":"10.2.0.1:8500","known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"complete":true,"members":[{}]}}}}]}},
        "settings":{{"Balancers":1,"MyNumber":0,"Categories":[{}],"Tenants":[{}],"OverShareWorth":0.1,
        "FailureDomains":["{zone}"],"Shapes":["{kind}"],"Zone":"{zone}","WeightSource":"nominal","Step":10.0,
        "Contract":{{"WarmAfter":0,"StartCapacity":0.4,"OverloadFactor":2.0,"Fall":2000.0}},
        "Limits":{{"MaxAttempts":4,"MayCancel":true,"RetryAfter":true,"MaxRetryAfter":1000.0,"ConnectTimeout":250.0}},
        "Specifics":{{"Places":2,"Cabinets":1,"PlacesByKind":[30],"RungKb":[200,600],"RungWorth":[0.4,1.0],
        "HighestRung":[1,1],"LowestRung":[{lowest_rungs}],"ClassScale":[{scales}],"KbPerWeight":9000.0,
        "RackLinkKb":20000.0,"ToldEvery":3000.0}}}}}}"#,
        members.join(","),
        listed.join(","),
        tenants.join(",")
    )
}

/// A director whose outputs and written bytes are recorded in order.
struct Recorder {
    protocol: DirectorProtocol,
    now: Timestamp,
    viewer: ConnectionId,
    connecting: Vec<ConnectionId>,
    outputs: Vec<String>,
}

impl Recorder {
    fn new(text: &str) -> Recorder {
        let mut protocol =
            DirectorProtocol::new(&Config::parse(text.as_bytes()).unwrap(), START).unwrap();
        let viewer = protocol.accept_viewer(START, "10.9.0.1".parse().unwrap());
        Recorder {
            protocol,
            now: START,
            viewer,
            connecting: Vec::new(),
            outputs: Vec::new(),
        }
    }

    fn process_outputs(&mut self) {
        while let Some(output) = self.protocol.poll_output() {
            self.outputs.push(format!("{output:?}"));
            match output {
                Output::Connect { connection, .. } => self.connecting.push(connection),
                Output::Write(connection) if !self.connecting.contains(&connection) => {
                    while let Transmit::Bytes(bytes) =
                        self.protocol.poll_transmit(self.now, connection)
                    {
                        self.outputs.push(format!(
                            "{connection:?} {}",
                            String::from_utf8_lossy(&bytes)
                        ));
                    }
                }
                _ => {}
            }
        }
    }

    /// Applies the input with this index, which is the same for each director.
    fn step(&mut self, index: u64, classes: [&str; 2], tenants: &[&str]) {
        self.now += 7 * MILLISECOND;
        while let Some(due) = self.protocol.poll_timeout().filter(|due| *due <= self.now) {
            self.protocol.handle_timeout(due);
            self.process_outputs();
        }
        let tag = 1000 + index;
        let tenant = if tenants.is_empty() {
            String::new()
        } else {
            tenants[index as usize % tenants.len()].into()
        };
        let line = start_message(tag, classes[index as usize % 2], 1500, "").replace(
            r#""hint""#,
            &if tenant.is_empty() {
                r#""hint""#.into()
            } else {
                format!(r#""tenant":"{tenant}","hint""#)
            },
        );
        self.protocol
            .handle_bytes(self.now, self.viewer, line.as_bytes());
        self.process_outputs();
        for connection in std::mem::take(&mut self.connecting) {
            if index % 11 == 3 {
                self.protocol
                    .node_connect_failed(self.now, connection, ConnectError::Unreachable);
            } else {
                self.protocol.node_connected(self.now, connection);
            }
            self.process_outputs();
            let answer = if index % 5 == 4 {
                set_up_rejection(tag, 453)
            } else {
                set_up_answer(tag, "there\r\n")
            };
            self.protocol
                .handle_bytes(self.now, connection, answer.as_bytes());
            self.process_outputs();
        }
    }

    fn run(text: &str, classes: [&str; 2], tenants: &[&str]) -> Vec<String> {
        let mut recorder = Recorder::new(text);
        (0..300).for_each(|index| recorder.step(index, classes, tenants));
        recorder.outputs
    }
}

const OWN_CLASSES: [&str; 2] = ["paid", "free"];
const OTHER_CLASSES: [&str; 2] = ["seat", "loop"];

#[test]
fn names_do_not_change_decisions() {
    let ours = Recorder::run(
        &config_text(OWN_CLASSES, "north", "small", &["left", "right"], false),
        OWN_CLASSES,
        &["left", "right"],
    );
    let theirs = Recorder::run(
        &config_text(OTHER_CLASSES, "quay-9", "brick", &["sand", "salt"], false),
        OTHER_CLASSES,
        &["sand", "salt"],
    );
    let renamed = |line: &String| {
        line.replace("P-Kind: seat", "P-Kind: paid")
            .replace("P-Kind: loop", "P-Kind: free")
    };
    assert!(
        ours.iter().any(|line| line.contains("SETUP"))
            && ours.iter().any(|line| line.contains("STARTED"))
    );
    assert_eq!(ours, theirs.iter().map(renamed).collect::<Vec<_>>());
}

#[test]
fn class_order_does_not_change_decisions() {
    let ours = Recorder::run(
        &config_text(OWN_CLASSES, "north", "small", &[], false),
        OWN_CLASSES,
        &[],
    );
    let reversed = Recorder::run(
        &config_text(OWN_CLASSES, "north", "small", &[], true),
        OWN_CLASSES,
        &[],
    );
    let set_ups = |outputs: &[String]| {
        outputs
            .iter()
            .filter(|line| line.contains("SETUP") || line.contains("verb"))
            .cloned()
            .collect::<Vec<_>>()
    };
    assert_eq!(set_ups(&ours), set_ups(&reversed));
}

#[test]
fn directors_in_one_process_are_independent() {
    let (a, b) = (
        config_text(OWN_CLASSES, "north", "small", &[], false),
        config_text(OTHER_CLASSES, "quay", "brick", &["sand", "salt"], true),
    );
    let alone = (
        Recorder::run(&a, OWN_CLASSES, &[]),
        Recorder::run(&b, OTHER_CLASSES, &["sand", "salt"]),
    );
    let (mut one, mut two) = (Recorder::new(&a), Recorder::new(&b));
    for index in 0..300 {
        one.step(index, OWN_CLASSES, &[]);
        two.step(index, OTHER_CLASSES, &["sand", "salt"]);
    }
    assert_eq!((one.outputs, two.outputs), alone);
}

/// A request for an unknown tenant or class is rejected. Without tenants in the settings the tenant field is ignored.
#[test]
fn an_unknown_tenant_or_class_is_rejected() {
    let mut recorder = Recorder::new(&config_text(
        OWN_CLASSES,
        "north",
        "small",
        &["left", "right"],
        false,
    ));
    recorder.step(0, OWN_CLASSES, &["nobody"]);
    recorder.step(1, OTHER_CLASSES, &["left"]);
    assert_eq!(
        recorder
            .outputs
            .iter()
            .filter(|line| line.contains(r#""rc":95"#))
            .count(),
        2,
        "{:?}",
        recorder.outputs
    );
    assert_eq!(recorder.protocol.session_counts(), counts(0, 0));
    let mut recorder = Recorder::new(&config_text(OWN_CLASSES, "north", "small", &[], false));
    recorder.step(0, OWN_CLASSES, &["nobody"]);
    assert!(recorder.outputs.iter().any(|line| line.contains("SETUP")));
}

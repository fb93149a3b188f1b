//! Settings of several customers: names are only names, an order is only an order, and two directors in one process know nothing
//! of each other.

mod common;
use common::{MS, NODE, START, counts, set_up_answer, set_up_refusal, start_message};
use shalewall::Timestamp;
use shalewall_platform_proto::config::Config;
use shalewall_platform_proto::{ConnectError, ConnectionId, DirectorProtocol, Output, Transmit};

fn config_text(
    classes: [&str; 2],
    zone: &str,
    kind: &str,
    tenants: &[&str],
    turned: bool,
) -> String {
    let class = |name: &str, effect: &str, target: f64, value: f64| {
        format!(r#"{{"Name":"{name}","Effect":"{effect}","Target":{target:?},"Value":{value:?}}}"#)
    };
    let mut listed = [
        class(classes[0], "at_most_once", 1500.0, 2.0),
        class(classes[1], "idempotent", 1000.0, 1.0),
    ];
    let (mut scales, mut floors) = (["1.2", "0.8"], ["1", "0"]);
    if turned {
        listed.reverse();
        scales.reverse();
        floors.reverse();
    }
    let (scales, floors) = (scales.join(","), floors.join(","));
    let tenants: Vec<_> = tenants
        .iter()
        .map(|t| format!(r#"{{"Name":"{t}","Share":0.5,"AllowancePerS":1.0}}"#))
        .collect();
    let members: Vec<_> = (0..2)
        .map(|n| format!(
            r#"{{"id":"s-0000000{}","host_port":"{}","locality":"{zone}","flavor":"{kind}","cell":{n},"phase":"ready","size":1}}"#,
            n + 1, NODE[n]
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
        "HighestRung":[1,1],"LowestRung":[{floors}],"ClassScale":[{scales}],"KbPerWeight":9000.0,
        "RackLinkKb":20000.0,"ToldEvery":3000.0}}}}}}"#,
        members.join(","),
        listed.join(","),
        tenants.join(",")
    )
}

/// One director and all its outputs, in order.
struct Recorder {
    protocol: DirectorProtocol,
    now: Timestamp,
    viewer: ConnectionId,
    under_way: Vec<ConnectionId>,
    all: Vec<String>,
}

impl Recorder {
    fn new(text: &str) -> Recorder {
        let mut protocol =
            DirectorProtocol::new(&Config::parse(text.as_bytes()).unwrap(), START).unwrap();
        let viewer = protocol
            .accept_viewer(START, "10.9.0.1".parse().unwrap())
            .unwrap();
        Recorder {
            protocol,
            now: START,
            viewer,
            under_way: Vec::new(),
            all: Vec::new(),
        }
    }

    fn pump(&mut self) {
        while let Some(output) = self.protocol.poll_output() {
            self.all.push(format!("{output:?}"));
            match output {
                Output::Connect { connection, .. } => self.under_way.push(connection),
                Output::Write(connection) if !self.under_way.contains(&connection) => {
                    while let Transmit::Bytes(bytes) =
                        self.protocol.poll_transmit(self.now, connection)
                    {
                        self.all.push(format!(
                            "{connection:?} {}",
                            String::from_utf8_lossy(&bytes)
                        ));
                    }
                }
                _ => {}
            }
        }
    }

    /// The nth input: the same for each director.
    fn step(&mut self, n: u64, classes: [&str; 2], tenants: &[&str]) {
        self.now += 7 * MS;
        while let Some(due) = self.protocol.poll_timeout().filter(|due| *due <= self.now) {
            self.protocol.handle_timeout(due);
            self.pump();
        }
        let tag = 1000 + n;
        let tenant = if tenants.is_empty() {
            String::new()
        } else {
            tenants[n as usize % tenants.len()].into()
        };
        let line = start_message(tag, classes[n as usize % 2], 1500, "").replace(
            r#""hint""#,
            &if tenant.is_empty() {
                r#""hint""#.into()
            } else {
                format!(r#""tenant":"{tenant}","hint""#)
            },
        );
        self.protocol
            .handle_bytes(self.now, self.viewer, line.as_bytes());
        self.pump();
        for connection in std::mem::take(&mut self.under_way) {
            if n % 11 == 3 {
                self.protocol
                    .node_connect_failed(self.now, connection, ConnectError::Unreachable);
            } else {
                self.protocol.node_connected(self.now, connection);
            }
            self.pump();
            let word = if n % 5 == 4 {
                set_up_refusal(tag, 453)
            } else {
                set_up_answer(tag, "there")
            };
            self.protocol
                .handle_bytes(self.now, connection, word.as_bytes());
            self.pump();
        }
    }

    fn play(text: &str, classes: [&str; 2], tenants: &[&str]) -> Vec<String> {
        let mut received = Recorder::new(text);
        (0..300).for_each(|n| received.step(n, classes, tenants));
        received.all
    }
}

const OWN_CLASSES: [&str; 2] = ["paid", "free"];
const OTHER_CLASSES: [&str; 2] = ["seat", "loop"];

#[test]
fn names_do_not_change_decisions() {
    let ours = Recorder::play(
        &config_text(OWN_CLASSES, "north", "small", &["left", "right"], false),
        OWN_CLASSES,
        &["left", "right"],
    );
    let theirs = Recorder::play(
        &config_text(OTHER_CLASSES, "quay-9", "brick", &["sand", "salt"], false),
        OTHER_CLASSES,
        &["sand", "salt"],
    );
    let renamed = |l: &String| {
        l.replace("P-Kind: seat", "P-Kind: paid")
            .replace("P-Kind: loop", "P-Kind: free")
    };
    assert!(ours.iter().any(|l| l.contains("SETUP")) && ours.iter().any(|l| l.contains("STARTED")));
    assert_eq!(ours, theirs.iter().map(renamed).collect::<Vec<_>>());
}

#[test]
fn class_order_does_not_change_decisions() {
    let ours = Recorder::play(
        &config_text(OWN_CLASSES, "north", "small", &[], false),
        OWN_CLASSES,
        &[],
    );
    let turned = Recorder::play(
        &config_text(OWN_CLASSES, "north", "small", &[], true),
        OWN_CLASSES,
        &[],
    );
    let set_ups = |all: &[String]| {
        all.iter()
            .filter(|l| l.contains("SETUP") || l.contains("verb"))
            .cloned()
            .collect::<Vec<_>>()
    };
    assert_eq!(set_ups(&ours), set_ups(&turned));
}

#[test]
fn directors_in_one_process_are_independent() {
    let (a, b) = (
        config_text(OWN_CLASSES, "north", "small", &[], false),
        config_text(OTHER_CLASSES, "quay", "brick", &["sand", "salt"], true),
    );
    let alone = (
        Recorder::play(&a, OWN_CLASSES, &[]),
        Recorder::play(&b, OTHER_CLASSES, &["sand", "salt"]),
    );
    let (mut one, mut two) = (Recorder::new(&a), Recorder::new(&b));
    for n in 0..300 {
        one.step(n, OWN_CLASSES, &[]);
        two.step(n, OTHER_CLASSES, &["sand", "salt"]);
    }
    assert_eq!((one.all, two.all), alone);
}

/// A request for an unknown tenant or class is rejected; where the settings have no tenants the name of one means nothing.
#[test]
fn an_unknown_tenant_or_class_is_rejected() {
    let mut received = Recorder::new(&config_text(
        OWN_CLASSES,
        "north",
        "small",
        &["left", "right"],
        false,
    ));
    received.step(0, OWN_CLASSES, &["nobody"]);
    received.step(1, OTHER_CLASSES, &["left"]);
    assert_eq!(
        received
            .all
            .iter()
            .filter(|l| l.contains(r#""rc":95"#))
            .count(),
        2,
        "{:?}",
        received.all
    );
    assert_eq!(received.protocol.session_counts(), counts(0, 0));
    let mut received = Recorder::new(&config_text(OWN_CLASSES, "north", "small", &[], false));
    received.step(0, OWN_CLASSES, &["nobody"]);
    assert!(received.all.iter().any(|l| l.contains("SETUP")));
}

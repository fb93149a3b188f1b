//! The simulator's text wire, turned into director events and back. No decision is made here.

use shalewall::*;
use shalewall_director_config::{
    DirectorConfig, FARTHEST_MICROS, Names, apply_load_value, time_delta_from_millis, title_id,
};
use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// What is wrong with the input: line number, field, and a plain word on it.
#[derive(Debug, PartialEq)]
pub struct Fault {
    pub line: u64,
    pub field: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, field {}: {}", self.line, self.field, self.what)
    }
}

/// One instance: a director and the names that its settings use.
struct Instance {
    director: Director,
    names: Names,
}

/// A line of a process-wide list, with the names as they came.
#[derive(Clone)]
struct Node {
    server: ServerId,
    zone: String,
    kind: String,
    cell: u64,
    state: EndpointState,
    weight: f64,
    came_up: Option<Micros>,
}

/// Reads lines and collects the reply of each batch.
#[derive(Default)]
pub struct Link {
    number: u64,
    clock: Option<Micros>,
    lists: BTreeMap<u64, Vec<Node>>,
    /// The list being read, and how many of its lines are still to come.
    reading: Option<(u64, u64)>,
    instances: BTreeMap<String, Instance>,
    actions: Vec<Action>,
    /// Reply lines of the batch being read.
    reply: String,
}

type Read<T> = Result<T, Fault>;

/// The values of a line, taken in order.
struct Parts<'a> {
    line: u64,
    rest: std::str::Split<'a, char>,
}

impl<'a> Parts<'a> {
    fn fault(&self, field: &str, what: &str) -> Fault {
        Fault {
            line: self.line,
            field: field.into(),
            what: what.into(),
        }
    }

    fn text(&mut self, field: &str) -> Read<&'a str> {
        let next = self.rest.next().filter(|t| !t.is_empty());
        next.ok_or_else(|| self.fault(field, "is missing"))
    }

    fn opt(&mut self, field: &str) -> Read<Option<&'a str>> {
        Ok(Some(self.text(field)?).filter(|t| *t != "-"))
    }

    fn int(&mut self, field: &str) -> Read<u64> {
        let text = self.text(field)?;
        text.parse()
            .map_err(|_| self.fault(field, &format!("'{text}' is not a whole number")))
    }

    fn opt_int(&mut self, field: &str) -> Read<Option<u64>> {
        match self.opt(field)? {
            None => Ok(None),
            Some(text) => {
                let bad = |_| self.fault(field, &format!("'{text}' is not a whole number"));
                text.parse().map(Some).map_err(bad)
            }
        }
    }

    fn hex(&mut self, field: &str) -> Read<u64> {
        match self.opt(field)? {
            None => Ok(0),
            Some(text) => u64::from_str_radix(text, 16)
                .map_err(|_| self.fault(field, &format!("'{text}' is not a key of hex digits"))),
        }
    }

    fn opt_number(&mut self, field: &str) -> Read<Option<f64>> {
        match self.opt(field)? {
            None => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(x) => Ok(Some(x)),
                Err(_) => Err(self.fault(field, &format!("'{text}' is not a number"))),
            },
        }
    }

    fn number(&mut self, field: &str) -> Read<f64> {
        let found = self.opt_number(field)?;
        found.ok_or_else(|| self.fault(field, "is absent"))
    }

    fn time(&mut self, field: &str) -> Read<Micros> {
        let ms = self.number(field)?;
        if ms.is_finite() {
            Ok(time_delta_from_millis(ms).as_micros())
        } else {
            Err(self.fault(field, "is not a time"))
        }
    }

    fn opt_time(&mut self, field: &str) -> Read<Option<Micros>> {
        Ok(self
            .opt_number(field)?
            .filter(|t| t.is_finite())
            .map(|millis| time_delta_from_millis(millis).as_micros()))
    }

    fn outcome(&mut self) -> Read<Outcome> {
        let field = "StateCode";
        Ok(match self.text(field)? {
            "GOOD" => Outcome::Success,
            "FULL" => Outcome::Rejected,
            "LATE" => Outcome::TimedOut,
            "NOCONN" => Outcome::ConnectionFailed,
            "RST" => Outcome::ConnectionReset,
            "CXL" => Outcome::Cancelled,
            "NOP" => Outcome::NotSent,
            // BAD, and any code that is not known: it may have run.
            _ => Outcome::Error,
        })
    }

    /// The load report, which older senders may leave out altogether.
    fn load(&mut self) -> Read<LoadReport> {
        let mut load = LoadReport::default();
        let text = self.rest.next().unwrap_or("-");
        if text == "-" || text.is_empty() {
            return Ok(load);
        }
        for pair in text.split(',') {
            let Some((name, value)) = pair.split_once(':') else {
                return Err(self.fault("Stats", &format!("'{pair}' is not a name and a value")));
            };
            let bad = |_| self.fault("Stats", &format!("'{value}' is not a number"));
            apply_load_value(&mut load, name, value).map_err(bad)?;
        }
        Ok(load)
    }
}

fn ms(t: Micros) -> f64 {
    t as f64 / 1000.0
}

impl Link {
    pub fn fault(&self, field: &str, what: &str) -> Fault {
        Fault {
            line: self.number,
            field: field.into(),
            what: what.into(),
        }
    }

    /// A line that is not UTF-8 text.
    pub fn bad_text(&mut self) -> Fault {
        self.number += 1;
        self.fault("line", "is not UTF-8 text")
    }

    /// The input has ended; a batch cut short is a fault.
    pub fn end(&self) -> Read<()> {
        match self.clock {
            None => Ok(()),
            Some(_) => Err(self.fault("COMMIT", "the input ends inside a batch")),
        }
    }

    /// Takes one line. True when it ends a batch: `reply` then holds the whole answer.
    pub fn line(&mut self, line: &str, reply: &mut String) -> Read<bool> {
        self.number += 1;
        let mut parts = Parts {
            line: self.number,
            rest: line.split(' '),
        };
        if line.trim().is_empty() {
            return Ok(false);
        }
        let word = parts.text("message")?;
        if let Some((slot, left)) = self.reading {
            if word != "NODE" {
                return Err(self.fault("message", "a NODE line is missing from the list"));
            }
            let node = read_node(&mut parts)?;
            self.lists.entry(slot).or_default().push(node);
            self.reading = (left > 1).then_some((slot, left - 1));
            return Ok(false);
        }
        if word == "SYNC" {
            if self.clock.is_some() {
                return Err(self.fault("message", "a batch begins inside a batch"));
            }
            self.clock = Some(parts.time("clock")?);
            return Ok(false);
        }
        let Some(now) = self.clock else {
            return Err(self.fault("message", &format!("'{word}' comes outside a batch")));
        };
        match word {
            "COMMIT" => {
                self.clock = None;
                reply.push_str(&std::mem::take(&mut self.reply));
                reply.push_str("ACK\n");
                return Ok(true);
            }
            "LIST" => {
                let slot = parts.int("Slot")?;
                let count = parts.int("MembersList")?;
                self.lists.insert(slot, Vec::new());
                self.reading = (count > 0).then_some((slot, count));
            }
            "BEGIN" => {
                let name = parts.text("Director")?;
                let seed = parts.text("Seed")?;
                // Seeds may use the whole range of either sign; only their bits matter.
                let seed = seed
                    .parse::<u64>()
                    .or_else(|_| seed.parse::<i64>().map(|s| s as u64));
                let seed = seed.map_err(|_| self.fault("Seed", "is not a whole number"))?;
                let text = parts.rest.collect::<Vec<_>>().join(" ");
                let v = serde_json::from_str(&text)
                    .map_err(|e| self.fault("Setup", &format!("is not JSON: {e}")))?;
                let given = DirectorConfig::from_json(&v)
                    .map_err(|error| self.fault(&error.path, &error.problem.to_string()))?;
                let director =
                    Director::new(seed, given.settings, shalewall::Timestamp::from_micros(now));
                self.instances.insert(
                    name.into(),
                    Instance {
                        director,
                        names: given.names,
                    },
                );
            }
            "RETIRE" => {
                self.instances.remove(parts.text("Director")?);
            }
            _ => self.event(word, now, parts)?,
        }
        Ok(false)
    }

    fn event(&mut self, word: &str, now: Micros, mut p: Parts) -> Read<()> {
        let known = [
            "ANNOUNCE",
            "SUBMIT",
            "CARRIED",
            "HEADERS",
            "HINT_UPDATE",
            "FINISHED",
            "WITHDRAWN",
            "BELL",
            "PROBE_RESULT",
            "DATAGRAM",
        ];
        if !known.contains(&word) {
            return Err(self.fault("message", &format!("'{word}' is not known")));
        }
        let name = p.text("Director")?;
        let names = match self.instances.get(name) {
            Some(i) => &i.names,
            None => &Names::default(),
        };
        let event = match word {
            "ANNOUNCE" => {
                let form = p.int("Form")?;
                p.opt_int("SeqNo")?;
                let news = match form {
                    1 => EndpointUpdate::Full,
                    2 => EndpointUpdate::Cached,
                    3 => EndpointUpdate::Failed,
                    4 => EndpointUpdate::Delta,
                    _ => return Err(p.fault("Form", &format!("'{form}' is not a kind of news"))),
                };
                let mut lines = Vec::new();
                if news != EndpointUpdate::Failed {
                    let slot = p.int("Slot")?;
                    let Some(list) = self.lists.get(&slot) else {
                        return Err(p.fault("Slot", &format!("no list {slot} has come")));
                    };
                    lines.extend(list.iter().map(|n| listed(n, names)));
                }
                Some(Event::EndpointsUpdated {
                    update: news,
                    endpoints: lines,
                })
            }
            "SUBMIT" => Some(Event::RequestReceived(read_request(&mut p, names)?)),
            "CARRIED" => {
                let request = read_request(&mut p, names)?;
                Some(Event::SessionTransferred(request, ServerId(p.int("Node")?)))
            }
            "HEADERS" => Some(Event::SessionStarted {
                session: SessionId(p.int("OpId")?),
                attempt: p.int("Copy")? as u32,
                server: ServerId(p.int("Node")?),
                setup_time: shalewall::TimeDelta::from_micros(
                    p.opt_time("DelaySeen")?.unwrap_or(0),
                ),
            }),
            "HINT_UPDATE" => {
                let session = SessionId(p.int("OpId")?);
                let attempt = p.int("Copy")? as u32;
                let value = p.number("Value")?;
                let server = ServerId(p.int("Node")?);
                let note = match p.int("Sort")? {
                    1 => Some(Notification::DeliveredFraction(value)),
                    2 => Some(Notification::CurrentRung(value.max(0.0) as usize)),
                    3 => Some(Notification::LinkUtilization(value)),
                    4 => Some(Notification::UplinkUtilization(value)),
                    _ => None,
                };
                note.map(|note| Event::Notified {
                    session,
                    attempt,
                    server,
                    notification: note,
                })
            }
            "FINISHED" => {
                let session = SessionId(p.int("OpId")?);
                let outcome = p.outcome()?;
                p.opt_time("DelaySeen")?;
                let server = ServerId(p.int("Node")?);
                let attempt = p.int("Copy")? as u32;
                let closed = p.int("Last")? != 0;
                let load = p.load()?;
                Some(Event::AttemptFinished {
                    session,
                    attempt,
                    server,
                    outcome,
                    is_answered: closed,
                    load_report: load,
                })
            }
            "WITHDRAWN" => Some(Event::RequestWithdrawn(SessionId(p.int("OpId")?))),
            // A token that is no number was never set by a director here.
            "BELL" => p.text("Ref")?.parse().ok().map(Event::TimerFired),
            "PROBE_RESULT" => {
                let server = ServerId(p.int("Node")?);
                let outcome = p.outcome()?;
                p.opt_time("DelaySeen")?;
                Some(Event::HealthCheckFinished {
                    server,
                    outcome,
                    load_report: p.load()?,
                })
            }
            _ => {
                let from = p.int("Author")? as u32;
                let text = p.opt("Body")?.unwrap_or("");
                let body = bytes(text).ok_or_else(|| p.fault("Body", "is not hex digits"))?;
                Some(Event::PeerMessage { from, body })
            }
        };
        let (Some(event), Some(instance)) = (event, self.instances.get_mut(name)) else {
            return Ok(());
        };
        self.actions.clear();
        instance.director.handle(
            shalewall::Timestamp::from_micros(now),
            event,
            &mut self.actions,
        );
        for action in &self.actions {
            write_action(name, action, &mut self.reply);
        }
        Ok(())
    }
}

fn bytes(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs
        .map(|pair| {
            let pair = std::str::from_utf8(pair).ok().filter(|p| p.len() == 2)?;
            u8::from_str_radix(pair, 16).ok()
        })
        .collect()
}

fn read_node(p: &mut Parts) -> Read<Node> {
    let server = ServerId(p.int("Node")?);
    let zone = p.text("Locality")?.to_string();
    let kind = p.text("ClassOfHost")?.to_string();
    let cell = p.opt_int("Position")?.unwrap_or(u64::MAX);
    let state = match p.int("Availability")? {
        0 => EndpointState::Gone,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(p.fault("Availability", &format!("'{other}' is not a state"))),
    };
    let weight = p.opt_number("Rating")?.unwrap_or(1.0);
    let came_up = p.opt_time("CameUp")?.filter(|t| *t != 0);
    Ok(Node {
        server,
        zone,
        kind,
        cell,
        state,
        weight,
        came_up,
    })
}

fn listed(node: &Node, names: &Names) -> Endpoint {
    Endpoint {
        server: node.server,
        zone: names.zone_index(&node.zone),
        machine_kind: names.machine_kind_index(&node.kind),
        cell: node.cell,
        state: node.state,
        weight: node.weight,
        started_at: node.came_up.map(shalewall::Timestamp::from_micros),
        fleet: 0,
    }
}

fn read_request(p: &mut Parts, names: &Names) -> Read<Request> {
    let session = SessionId(p.int("OpId")?);
    let class = p.text("Priority")?;
    let class = names.class_index(class).unwrap_or(usize::MAX);
    let tenant = p.opt("Party")?.and_then(|t| names.tenant_index(t));
    let viewer = p.hex("Subject")?;
    let title = title_id(p.hex("Item")?, class);
    let deadline = p.opt_time("ClientDeadline")?.unwrap_or(FARTHEST_MICROS);
    let hint = p.opt_time("WorkHint")?;
    let home = p.opt_int("Home")?.unwrap_or(0);
    let spread = p.opt_int("Spread")?.unwrap_or(0);
    let top = p.opt_int("MaxRung")?.unwrap_or(0) as usize;
    let marks = p.opt_int("Marks")?.unwrap_or(0);
    let hint = hint.filter(|_| marks & 1 != 0);
    let again = marks & (8 | 16) != 0;
    Ok(Request {
        session,
        class,
        tenant,
        viewer,
        title,
        deadline: shalewall::Timestamp::from_micros(deadline),
        duration_hint: hint.map(shalewall::TimeDelta::from_micros),
        first_cell: home,
        replica_cells: spread,
        highest_rung: top,
        is_retry: again,
        fleet: 0,
    })
}

fn write_action(name: &str, action: &Action, out: &mut String) {
    let written = match action {
        Action::StartAttempt {
            session,
            server,
            attempt_timeout: patience,
        } => {
            let cap = patience.map_or("-".to_string(), |p| ms(p.as_micros()).to_string());
            writeln!(out, "TRANSMIT {name} {} {} {cap}", session.0, server.0)
        }
        Action::SetRung { session, rung } => writeln!(out, "STEP_TO {name} {} {rung}", session.0),
        Action::Reject {
            session,
            retry_after: come_back,
        } => {
            let advice = come_back.map_or("-".to_string(), |t| ms(t.as_micros()).to_string());
            writeln!(out, "OVERLOAD_REPLY {name} {} {advice}", session.0)
        }
        Action::Fail { session } => writeln!(out, "END_FAILED {name} {}", session.0),
        Action::CancelAttempt { session, attempt } => {
            writeln!(out, "RECALL {name} {} {attempt}", session.0)
        }
        Action::Redirect { session } => writeln!(out, "GO_AWAY {name} {}", session.0),
        // Asked for by nobody here: the simulator moves sessions by ending them.
        Action::Migrate { .. } => Ok(()),
        Action::SetTimer { after, token } => {
            writeln!(out, "SLEEP {name} {} {token}", ms((*after).as_micros()))
        }
        Action::CheckHealth { server } => writeln!(out, "PING {name} {}", server.0),
        Action::PollEndpoints => writeln!(out, "FETCH {name}"),
        Action::WatchEndpoints(on) => writeln!(out, "STREAM_CHANGES {name} {}", u8::from(*on)),
        Action::CloseIdleConnections { server } => writeln!(out, "FREE_LINKS {name} {}", server.0),
        Action::SendToPeer { to, body } => {
            let to = to.map_or("*".to_string(), |n| n.to_string());
            let hex: String = body.iter().map(|b| format!("{b:02x}")).collect();
            let hex = if hex.is_empty() { "-" } else { &hex };
            writeln!(out, "WRITE_PEER {name} {to} {hex}")
        }
        Action::Log(text) => writeln!(out, "RECORD {name} {}", text.replace(['\n', '\r'], " ")),
    };
    debug_assert!(written.is_ok(), "writing to a string does not fail");
}

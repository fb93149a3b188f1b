//! Recordings: one JSON object a line, each with its time in microseconds on the clock of the machine.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// What a node made of a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The session plays there.
    Plays,
    /// Turned away with the proof that nothing ran.
    TurnedAway,
    /// The front closed its connection, or the node died, before it was answered.
    Given,
    /// Told to end before it began.
    Ended,
}

/// One thing that passed on a socket, as its end on the nodes', the list's or the viewers' side saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Record {
    // ---- nodes ------------------------------------------------------------------------------
    /// A node's process began, with so many places; cold unless `warm`.
    NodeUp {
        t: i64,
        node: u64,
        places: f64,
        warm: bool,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cell: Option<u64>,
    },
    /// A node's process died. `fell`: it was pushed over.
    NodeDown {
        t: i64,
        node: u64,
        fell: bool,
    },
    /// A set-up arrived whole.
    SetUp {
        t: i64,
        node: u64,
        director: u32,
        session: u64,
        attempt: u32,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<String>,
        class: String,
        title: String,
        rung: usize,
    },
    /// A set-up is over: answered, or its connection closed.
    SetUpDone {
        t: i64,
        node: u64,
        session: u64,
        attempt: u32,
        ran: Ran,
    },
    /// Part of a request came, and then its connection broke; what its start line said, if that came.
    Partial {
        t: i64,
        node: u64,
        bytes: usize,
        session: Option<u64>,
        attempt: Option<u32>,
    },
    /// A session's rung was changed.
    Rung {
        t: i64,
        node: u64,
        session: u64,
        rung: usize,
    },
    /// A session has ended at its node.
    Over {
        t: i64,
        node: u64,
        session: u64,
        attempt: u32,
    },

    /// A hand-over arrived whole: a session that plays elsewhere is to be made ready.
    HandIn {
        t: i64,
        node: u64,
        director: u32,
        session: u64,
        attempt: u32,
        epoch: u32,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<String>,
        class: String,
        title: String,
        rung: usize,
    },
    /// It is ready there.
    HandInDone {
        t: i64,
        node: u64,
        session: u64,
        attempt: u32,
        epoch: u32,
        ran: Ran,
    },
    /// Its player has fetched it there.
    Fetched {
        t: i64,
        node: u64,
        session: u64,
        attempt: u32,
        epoch: u32,
    },
    /// A node's process stands still, and goes on.
    Froze {
        t: i64,
        node: u64,
    },
    Thawed {
        t: i64,
        node: u64,
    },
    /// What is asked of a node's link and uplink over what they give, and the part of its places that is taken.
    Load {
        t: i64,
        node: u64,
        link: f64,
        uplink: f64,
        streams: f64,
    },

    // ---- list -------------------------------------------------------------------------------
    /// A director was told how a node stands: `ready`, `draining` or `gone`, and of a start of its process.
    Told {
        t: i64,
        director: u32,
        node: u64,
        standing: String,
        came_up: Option<i64>,
    },

    // ---- viewers ----------------------------------------------------------------------------
    /// A viewer's request was sent whole.
    Asked {
        t: i64,
        director: u32,
        ask: u64,
        key: String,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<String>,
        class: String,
        title: String,
        wait: i64,
    },
    /// Its answer was read whole. `session`: it plays.
    Answered {
        t: i64,
        ask: u64,
        status: u16,
        session: Option<u64>,
    },
    /// The connection ended without an answer.
    Unanswered {
        t: i64,
        ask: u64,
    },
    /// The viewer closed the connection before an answer came.
    Left {
        t: i64,
        ask: u64,
    },
    /// What a viewer got of a session: for so long, bytes received and bytes that full rates would have been,
    /// and for how long each rung was in force.
    Watched {
        t: i64,
        ask: u64,
        session: u64,
        micros: i64,
        got: u64,
        due: u64,
        rungs: Vec<(usize, i64)>,
    },

    /// The picture stood still for so long, from `t` on.
    Gap {
        t: i64,
        ask: u64,
        session: u64,
        micros: i64,
    },

    // ---- directors --------------------------------------------------------------------------
    DirectorUp {
        t: i64,
        director: u32,
    },
    DirectorKilled {
        t: i64,
        director: u32,
    },
    /// It was stopped until `until`, from outside.
    DirectorStalled {
        t: i64,
        director: u32,
        until: i64,
    },
}

impl Record {
    pub fn time(&self) -> i64 {
        use Record::*;
        match self {
            NodeUp { t, .. } | NodeDown { t, .. } | SetUp { t, .. } | SetUpDone { t, .. } => *t,
            Partial { t, .. }
            | Rung { t, .. }
            | Over { t, .. }
            | Told { t, .. }
            | Asked { t, .. } => *t,
            Answered { t, .. } | Unanswered { t, .. } | Left { t, .. } | Watched { t, .. } => *t,
            HandIn { t, .. } | HandInDone { t, .. } | Fetched { t, .. } | Froze { t, .. } => *t,
            Thawed { t, .. } | Load { t, .. } | Gap { t, .. } => *t,
            DirectorUp { t, .. } | DirectorKilled { t, .. } | DirectorStalled { t, .. } => *t,
        }
    }
}

/// The figures by which a recording is judged; times in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    pub classes: BTreeMap<String, ClassRule>,
    /// Classes of tenants that have their own.
    #[serde(default)]
    pub tenants: BTreeMap<String, BTreeMap<String, ClassRule>>,
    pub drain_within: i64,
    pub answer_slack: i64,
    pub warm_after: i64,
    pub start_capacity: f64,
    pub overload_factor: f64,
    pub fall: i64,
    pub further: Option<Further>,
    /// Cells, and the first and the number of those that hold each title.
    #[serde(default)]
    pub cells: u64,
    #[serde(default)]
    pub titles: BTreeMap<String, (u64, u64)>,
    /// What passes on one machine may be seen so much later, or in another order.
    pub transit: i64,
}

impl Rules {
    /// What holds for a class as a tenant's viewers name it.
    pub fn class(&self, tenant: Option<&str>, class: &str) -> Option<&ClassRule> {
        let own = tenant.and_then(|t| self.tenants.get(t));
        own.unwrap_or(&self.classes).get(class)
    }

    /// The tenant, where its classes are its own: its sessions have no seats in common with others'.
    pub fn owner(&self, tenant: Option<&String>) -> Option<String> {
        tenant.filter(|t| self.tenants.contains_key(*t)).cloned()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRule {
    pub paid: bool,
    pub floor: usize,
    pub seats: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Further {
    pub free: f64,
    pub per_request: f64,
    pub span: i64,
}

/// Appends records to a file.
pub struct Writer(BufWriter<File>);

impl Writer {
    pub fn create(path: &Path) -> io::Result<Writer> {
        Ok(Writer(BufWriter::new(File::create(path)?)))
    }

    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        serde_json::to_writer(&mut self.0, record)?;
        self.0.write_all(b"\n")
    }

    pub fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// All recordings of a folder (`*.jsonl`), in order of time. What can't be read is an error that names file
/// and line: a recording with a hole proves nothing.
pub fn read(dir: &Path) -> io::Result<Vec<Record>> {
    let mut files: Vec<_> = std::fs::read_dir(dir)?.collect::<Result<Vec<_>, _>>()?;
    files.retain(|f| f.path().extension().is_some_and(|e| e == "jsonl"));
    files.sort_by_key(std::fs::DirEntry::path);
    let mut records = Vec::new();
    for file in files {
        for (number, line) in BufReader::new(File::open(file.path())?).lines().enumerate() {
            let record = serde_json::from_str(&line?).map_err(|e| {
                io::Error::other(format!("{}:{}: {e}", file.path().display(), number + 1))
            })?;
            records.push(record);
        }
    }
    records.sort_by_key(Record::time);
    Ok(records)
}

/// The rules that a day wrote beside its recordings.
pub fn read_rules(dir: &Path) -> io::Result<Rules> {
    let path = dir.join("rules.json");
    let text = std::fs::read_to_string(&path)?;
    serde_json::from_str(&text).map_err(|e| io::Error::other(format!("{}: {e}", path.display())))
}

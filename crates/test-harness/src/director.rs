//! A process of `shalewall direct` that can be started, signalled, killed and restarted.

use crate::journal::{HostEntry, HostList};
use crate::recorder::Recorder;
use crate::{free_port, now};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use shalewall_audit::{Record, Timestamp};
use std::fs::File;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a director has to listen after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest time that viewers wait in the usual settings, in milliseconds.
pub const LONGEST_WAIT_MS: u64 = 1_200;

/// The platform's settings object, with the same parameters as [`crate::recorder::rules`].
pub fn settings(number: u32, directors: u32, longest_wait_ms: u64) -> Value {
    json!({ "Balancers": directors, "MyNumber": number, "Categories": [
        { "Name": "paid", "Effect": "at_most_once", "Target": 500.0, "GiveUp": longest_wait_ms, "Value": 2.0 },
        { "Name": "free", "Effect": "idempotent", "Target": 400.0, "GiveUp": longest_wait_ms, "Value": 1.0 }],
        "FailureDomains": ["north"], "Shapes": ["small"], "Zone": "north", "WeightSource": "silent", "Step": 1.0,
        "Contract": { "AnswerSlack": 5.0, "ExtraPerRequest": 0.3, "MinExtra": 3.0, "ResendSpan": 10000.0,
            "MustAskIn": 10000.0, "StopSendingWithin": 250.0, "WarmAfter": 4000.0, "StartCapacity": 0.4,
            "OverloadFactor": 2.0, "Fall": 1000.0 },
        "Deductions": { "Handshake": 0.08, "Probe": 0.08 },
        "Limits": { "MaxAttempts": 4, "MayCancel": true, "RetryAfter": true, "MaxRetryAfter": 1000.0,
            "ConnectTimeout": 250.0, "ConnIdle": 15000.0, "Probes": true },
        "Specifics": { "Places": 6, "Cabinets": 2, "PlacesByKind": [60], "RungKb": [200, 600, 1200],
            "RungWorth": [0.4, 0.7, 1.0], "HighestRung": [2, 2], "LowestRung": [1, 0], "ClassScale": [1.0, 1.0],
            "KbPerWeight": 90000.0, "FleetKb": 540000.0, "RackLinkKb": 400000.0, "ToldEvery": 1000.0,
            "ToldLate": 100.0, "StallCost": 7.0, "SwitchS": 0.25 } })
}

/// A director process, which can be restarted at the same port.
pub struct Director {
    /// Number of the director.
    pub number: u32,
    /// Port on which it listens.
    pub port: u16,
    /// The longest time that viewers wait, in milliseconds.
    pub longest_wait_ms: u64,
    binary: PathBuf,
    dir: PathBuf,
    recorder: Recorder,
    child: Option<Child>,
    stopped_at: Option<i64>,
}

impl Director {
    /// Creates a director on a free port without starting its process.
    pub fn new(binary: &Path, dir: &Path, number: u32, recorder: Recorder) -> io::Result<Director> {
        let (binary, dir) = (binary.to_path_buf(), dir.to_path_buf());
        Ok(Director {
            number,
            port: free_port()?,
            longest_wait_ms: LONGEST_WAIT_MS,
            binary,
            dir,
            recorder,
            child: None,
            stopped_at: None,
        })
    }

    /// Writes the configuration file.
    pub fn write_config(
        &self,
        journal: u16,
        known: &HostList,
        directors: u32,
    ) -> io::Result<PathBuf> {
        let members: Vec<Value> = known.hosts.iter().map(HostEntry::json).collect();
        let config = json!({ "name": format!("n{}", self.number), "listen": format!("127.0.0.1:{}", self.port),
            "seed": format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64 ^ u64::from(self.number)),
            "limits": { "sockets": 256 }, "journal": format!("127.0.0.1:{journal}"),
            "known": { "pos": known.position, "entries": [{ "pos": known.position,
                "hosts": { "revision": 1, "complete": true, "members": members } }] },
            "settings": settings(self.number, directors, self.longest_wait_ms) });
        let file = self.dir.join(format!("n{}.json", self.number));
        std::fs::write(&file, config.to_string())?;
        Ok(file)
    }

    /// Starts the process and waits until it listens.
    pub fn start(&mut self, journal: u16, known: &HostList, directors: u32) -> io::Result<()> {
        let file = self.write_config(journal, known, directors)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())?;
        let child = Command::new(&self.binary)
            .arg("direct")
            .env("ROUTER_CONFIG", file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        let started = Instant::now();
        while TcpStream::connect(("127.0.0.1", self.port)).is_err() {
            if started.elapsed() > START_TIMEOUT {
                return Err(io::Error::other(format!(
                    "director {} does not listen",
                    self.number
                )));
            }
            thread::sleep(Duration::from_millis(10));
        }
        let t = now();
        if let Some(from) = self.stopped_at.take() {
            self.recorder
                .lock()
                .downtimes
                .entry(self.number)
                .or_default()
                .push((from, t));
        }
        self.recorder.record(Record::DirectorStarted {
            time: Timestamp::from_micros(t),
            director: self.number,
        });
        Ok(())
    }

    /// File with the director's standard error.
    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("n{}.log", self.number))
    }

    /// Kills the process with SIGKILL, and records it.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let t = now();
        self.stopped_at = Some(t);
        self.recorder.record(Record::DirectorKilled {
            time: Timestamp::from_micros(t),
            director: self.number,
        });
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Kills the process without a record, so that the audit sees a director that exits with requests in flight.
    pub fn crash(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Sends SIGTERM. Returns whether the process exited successfully within `timeout`.
    pub fn stop_gracefully(&mut self, timeout: Duration) -> bool {
        self.signal(Signal::TERM);
        self.kill_after(Instant::now(), timeout)
    }

    /// Waits until `timeout` after SIGTERM, then sends SIGKILL. Returns whether the process exited successfully before.
    pub fn kill_after(&mut self, signalled_at: Instant, timeout: Duration) -> bool {
        let Some(mut child) = self.child.take() else {
            return true;
        };
        self.stopped_at = Some(now());
        while signalled_at.elapsed() < timeout {
            if let Ok(Some(status)) = child.try_wait() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(1));
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

//! Directors of a day, each a child process that is started, suspended and killed by its process id.

use crate::emulation::Emulation;
use crate::error::DayError;
use async_channel::Sender;
use rustix::process::{Pid, Signal, kill_process};
use shalewall_audit::Record;
use shalewall_emulator::recorder::Recorder;
use shalewall_emulator::viewers::Viewers;
use shalewall_settings::{DayPlan, DirectorSettings, Hosting, ServerConfig};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::Duration;

/// Time within which a director has to report its listening address.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Session limit of a director on a day without a hosted service.
const MAX_SESSIONS: usize = 100_000;
/// Limit of viewer connections of each director.
const MAX_CONNECTIONS: usize = 20_000;
/// Time without any byte after which a director treats a node's event stream as broken.
const STREAM_TIMEOUT_MS: u64 = 3_000;

/// The directors of a day.
pub struct DirectorProcesses {
    program: PathBuf,
    out: PathBuf,
    plans: Vec<ServerConfig>,
    running: RefCell<BTreeMap<u32, Child>>,
    recorder: Recorder,
    viewers: Viewers,
}

impl DirectorProcesses {
    /// Creates the directors of a day without starting them.
    pub fn new(
        plan: &DayPlan,
        program: &Path,
        out: &Path,
        emulation: &Emulation,
        hosting: Option<Hosting>,
    ) -> DirectorProcesses {
        // Directors receive the tenants of a hosted service by roll-out only, not from their settings.
        let mut site = plan.site.clone();
        site.tenants.retain(|_, _| hosting.is_none());
        let plans = (0..plan.day.directors).map(|number| ServerConfig {
            front: director_settings(plan, emulation, number),
            hosting: hosting.clone(),
            site: site.clone(),
        });
        DirectorProcesses {
            program: program.to_path_buf(),
            out: out.to_path_buf(),
            plans: plans.collect(),
            running: RefCell::default(),
            recorder: emulation.recorder.clone(),
            viewers: emulation.viewers.clone(),
        }
    }

    /// Numbers of the directors in a zone, or of all directors without one.
    pub fn numbers(&self, zone: Option<&str>) -> Vec<u32> {
        let directors = self.plans.iter().map(|plan| &plan.front);
        directors
            .filter(|director| zone.is_none() || director.zone.as_deref() == zone)
            .map(|director| director.number)
            .collect()
    }

    /// Starts a director and waits until it listens.
    pub async fn start(&self, number: u32) -> Result<(), DayError> {
        let settings = self.out.join(format!("director-{number}.hcl"));
        let plan = &self.plans[number as usize];
        std::fs::write(&settings, hcl::to_string(plan)?)?;
        let mut child = self.spawn_process(&settings)?;
        let stderr = child.stderr.take().ok_or(DayError::NoDirectorLog)?;
        let log = self.open_log(number)?;
        let (sender, address) = async_channel::bounded(1);
        std::thread::spawn(move || copy_log(stderr, log, &sender));
        self.running.borrow_mut().insert(number, child);
        let listening = shalewall_http::client::with_timeout(START_TIMEOUT, address.recv()).await;
        let Some(Ok(address)) = listening else {
            return Err(DayError::DirectorNotListening { number });
        };
        self.recorder.record(Record::DirectorStarted {
            time: shalewall_clock::now(),
            director: number,
        });
        self.viewers.set_director(number, address);
        Ok(())
    }

    fn spawn_process(&self, settings: &Path) -> io::Result<Child> {
        Command::new(&self.program)
            .args(["serve", "--with-parent", "--config"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
    }

    fn open_log(&self, number: u32) -> io::Result<File> {
        let file = self.out.join(format!("director-{number}.log"));
        let mut options = std::fs::OpenOptions::new();
        options.create(true).append(true).open(file)
    }

    /// Kills a director with SIGKILL.
    pub fn kill(&self, number: u32) -> io::Result<()> {
        let Some(mut child) = self.running.borrow_mut().remove(&number) else {
            return Ok(());
        };
        self.recorder.record(Record::DirectorKilled {
            time: shalewall_clock::now(),
            director: number,
        });
        child.kill()?;
        child.wait().map(|_| ())
    }

    /// Sends a signal to a director. Returns whether it was delivered to a running process.
    fn signal(&self, number: u32, signal: Signal) -> bool {
        let running = self.running.borrow();
        let child = running.get(&number);
        let pid = child.and_then(|child| Pid::from_raw(child.id() as i32));
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Suspends a director's process for a duration.
    pub async fn stall(&self, number: u32, time: Duration) {
        let stopped_at = shalewall_clock::now();
        if !self.signal(number, Signal::STOP) {
            return;
        }
        async_io::Timer::after(time).await;
        self.signal(number, Signal::CONT);
        let until = shalewall_clock::now();
        self.recorder.record(Record::DirectorStalled {
            time: stopped_at,
            director: number,
            until,
        });
    }

    /// Kills all directors.
    pub fn stop(&self) {
        for (_, mut child) in std::mem::take(&mut *self.running.borrow_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for DirectorProcesses {
    fn drop(&mut self) {
        self.stop();
    }
}

fn director_settings(plan: &DayPlan, emulation: &Emulation, number: u32) -> DirectorSettings {
    let zones = &plan.site.zones;
    let hosted = plan.hosted.as_ref();
    DirectorSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        endpoint_list: emulation.list_address,
        number,
        director_count: plan.day.directors,
        zone: zones.get(number as usize % zones.len().max(1)).cloned(),
        seed: plan.day.seed ^ (u64::from(number) << 32),
        max_sessions: hosted.map_or(MAX_SESSIONS, |hosted| hosted.max_sessions),
        max_connections: MAX_CONNECTIONS,
        stream_timeout_ms: STREAM_TIMEOUT_MS,
        shutdown_grace_s: 0.0,
        ticket_key_file: emulation.migration_key_file.clone(),
    }
}

/// Copies a director's standard error to its log file, and sends the address on which it listens.
fn copy_log(stderr: ChildStderr, mut log: File, address: &Sender<SocketAddr>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        let _ = writeln!(log, "{line}");
        if let Some(listening) = listening_address(&line) {
            let _ = address.try_send(listening);
        }
    }
}

/// Parses the address from the `listening` log event of a director.
fn listening_address(line: &str) -> Option<SocketAddr> {
    let event: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = &event["fields"];
    if fields["message"] != "listening" {
        return None;
    }
    fields["address"].as_str()?.parse().ok()
}

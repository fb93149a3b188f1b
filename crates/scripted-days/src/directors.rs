//! Directors of a day: processes of their own, started, stopped, killed by their own id.

use crate::World;
use rustix::process::{Pid, Signal, kill_process};
use shalewall_audit::Record;
use shalewall_emulator::recorder::Recorder;
use shalewall_emulator::viewers::Viewers;
use shalewall_settings::{DayPlan, Front, FrontPlan, Hosting};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub struct Directors {
    program: PathBuf,
    out: PathBuf,
    plans: Vec<FrontPlan>,
    running: RefCell<BTreeMap<u32, Child>>,
    recorder: Recorder,
    viewers: Viewers,
}

/// A director has to listen within this.
const STARTS_WITHIN: Duration = Duration::from_secs(10);

impl Directors {
    pub fn new(
        plan: &DayPlan,
        program: &Path,
        out: &Path,
        world: &World,
        hosting: Option<Hosting>,
    ) -> Directors {
        // Of hosted tenants fronts hear by roll-out alone.
        let mut site = plan.site.clone();
        site.tenant.retain(|_, _| hosting.is_none());
        let most_sessions = plan.hosted.as_ref().map_or(100_000, |h| h.most_sessions);
        let zones = &plan.site.zones;
        let front = |number: u32| Front {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            list: world.list_address,
            number,
            directors: plan.day.directors,
            zone: zones.get(number as usize % zones.len().max(1)).cloned(),
            seed: plan.day.seed ^ u64::from(number) << 32,
            most_sessions,
            most_connections: 20_000,
            silence_ms: 3_000,
            leave_s: 0.0,
            move_key_file: world.key_file.clone(),
        };
        let plans = (0..plan.day.directors).map(|n| FrontPlan {
            front: front(n),
            hosting: hosting.clone(),
            site: site.clone(),
        });
        Directors {
            program: program.to_path_buf(),
            out: out.to_path_buf(),
            plans: plans.collect(),
            running: RefCell::default(),
            recorder: world.recorder.clone(),
            viewers: world.viewers.clone(),
        }
    }

    /// Numbers of those that are of this zone, or all.
    pub fn numbers(&self, zone: Option<&str>) -> Vec<u32> {
        let of = |p: &&FrontPlan| zone.is_none() || p.front.zone.as_deref() == zone;
        self.plans
            .iter()
            .filter(of)
            .map(|p| p.front.number)
            .collect()
    }

    /// Starts one and waits until it listens.
    pub async fn start(&self, number: u32) -> io::Result<()> {
        let plan = &self.plans[number as usize];
        let file = self.out.join(format!("director-{number}.hcl"));
        std::fs::write(&file, hcl::to_string(plan).map_err(io::Error::other)?)?;
        let mut child = Command::new(&self.program)
            .args(["serve", "--with-parent", "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let told = child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("no log of a director"))?;
        let log = self.out.join(format!("director-{number}.log"));
        let mut log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let (sender, address) = async_channel::bounded(1);
        std::thread::spawn(move || {
            for line in BufReader::new(told).lines().map_while(Result::ok) {
                let _ = writeln!(log, "{line}");
                let said: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
                if said["fields"]["message"] == "listening"
                    && let Some(at) = said["fields"]["address"]
                        .as_str()
                        .and_then(|a| a.parse().ok())
                {
                    let _ = sender.try_send(at);
                }
            }
        });
        self.running.borrow_mut().insert(number, child);
        let listens = shalewall_http::client::in_time(STARTS_WITHIN, address.recv()).await;
        let Some(Ok(address)) = listens else {
            return Err(io::Error::other(format!(
                "director {number} does not listen: see its log"
            )));
        };
        self.recorder.note(Record::DirectorUp {
            t: shalewall_clock::now().as_micros(),
            director: number,
        });
        self.viewers.set_front(number, address);
        Ok(())
    }

    /// Kills one outright.
    pub fn kill(&self, number: u32) -> io::Result<()> {
        let Some(mut child) = self.running.borrow_mut().remove(&number) else {
            return Ok(());
        };
        self.recorder.note(Record::DirectorKilled {
            t: shalewall_clock::now().as_micros(),
            director: number,
        });
        child.kill()?;
        child.wait().map(|_| ())
    }

    fn signal(&self, number: u32, signal: Signal) -> bool {
        let running = self.running.borrow();
        let pid = running
            .get(&number)
            .and_then(|c| Pid::from_raw(c.id() as i32));
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Lets one stand still for a while.
    pub async fn stall(&self, number: u32, time: Duration) {
        let t = shalewall_clock::now().as_micros();
        if !self.signal(number, Signal::STOP) {
            return;
        }
        async_io::Timer::after(time).await;
        self.signal(number, Signal::CONT);
        let until = shalewall_clock::now().as_micros();
        self.recorder.note(Record::DirectorStalled {
            t,
            director: number,
            until,
        });
    }

    /// Ends all of them.
    pub fn stop(&self) {
        for (_, mut child) in std::mem::take(&mut *self.running.borrow_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Directors {
    fn drop(&mut self) {
        self.stop();
    }
}

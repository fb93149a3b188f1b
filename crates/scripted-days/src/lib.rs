//! Whole days: stand-ins in this process, each director a process of its own, troubles by the script, and the
//! rules judged from the recordings.

mod directors;
mod import;
mod rig;
mod service;
mod summary;
mod troubles;

use crate::directors::Directors;
use crate::rig::Lacked;
use async_executor::LocalExecutor;
use async_io::Timer;
use shalewall_audit::{ClassRule, Further, Rules, Verdict, judge};
use shalewall_emulator::list::{Line, List};
use shalewall_emulator::nodes::{Nodes, Telling};
use shalewall_emulator::recorder::Recorder;
use shalewall_emulator::viewers::Viewers;
use shalewall_fleet_model::fleet::Fleet;
use shalewall_migration::ticket::TicketKey;
use shalewall_settings::{DayPlan, us};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use import::{Imported, import};
pub use summary::Summary;

/// What may be seen later, or in another order, than it was sent: loopback, and turns of busy processes.
const TRANSIT: i64 = 100_000;
/// Directors that one machine runs as processes.
const MOST_DIRECTORS: u32 = 64;
/// Sessions that still play at the end may end by themselves for so long.
const GRACE: Duration = Duration::from_secs(6);

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// The rules as the auditor wants them.
pub fn rules(plan: &DayPlan) -> Rules {
    let r = &plan.site.rules;
    let class = |c: &shalewall_settings::Class| ClassRule {
        paid: c.paid,
        floor: c.floor,
        seats: c.seats,
    };
    let further = |f: &shalewall_settings::Further| Further {
        free: f.free,
        per_request: f.per_request,
        span: us(f.span_ms),
    };
    let classes: BTreeMap<_, _> = plan
        .site
        .class
        .iter()
        .map(|(n, c)| (n.clone(), class(c)))
        .collect();
    let hosted = plan.site.tenant.keys().filter(|_| plan.hosted.is_some());
    Rules {
        tenants: hosted.map(|name| (name.clone(), classes.clone())).collect(),
        classes,
        drain_within: us(r.drain_within_ms),
        answer_slack: us(r.answer_slack_ms),
        warm_after: us(r.warm_after_ms),
        start_capacity: r.start_capacity,
        overload_factor: r.overload_factor,
        fall: us(r.fall_ms),
        further: r.further.as_ref().map(further),
        transit: TRANSIT,
        cells: plan.site.layout.cells,
        titles: plan
            .site
            .title
            .iter()
            .map(|(name, t)| (name.clone(), (t.home, t.spread)))
            .collect(),
    }
}

/// The stand-ins of a day, under way.
pub struct World {
    pub ex: Rc<LocalExecutor<'static>>,
    pub nodes: Nodes,
    pub list: List,
    pub list_address: std::net::SocketAddr,
    /// Where the key of hand-overs is, where sessions are moved.
    pub key_file: Option<std::path::PathBuf>,
    pub viewers: Viewers,
    pub recorder: Recorder,
}

/// What the list says of a node that is up.
pub fn line(nodes: &Nodes, id: u64, standing: &'static str) -> Option<Line> {
    let machine = nodes.machine(id)?;
    let started = nodes.up_since(id).filter(|(_, warm)| !warm).map(|(t, _)| t);
    Some(Line {
        server: id,
        address: nodes.address(id)?.to_string(),
        zone: machine.zone,
        kind: machine.kind,
        cell: machine.cell,
        standing,
        weight: machine.weight,
        started,
    })
}

/// A key for the day's hand-overs, in a file for its fronts.
fn move_key(plan: &DayPlan, out: &Path) -> io::Result<Option<(std::path::PathBuf, TicketKey)>> {
    if plan.site.moves.is_none() {
        return Ok(None);
    }
    let file = out.join("move.key");
    let bytes: [u8; 32] = rand::random();
    std::fs::write(
        &file,
        bytes.iter().map(|b| format!("{b:02x}")).collect::<String>(),
    )?;
    Ok(Some((file, TicketKey::new(bytes))))
}

/// Starts nodes and list, and readies the viewers.
pub fn world(
    ex: &Rc<LocalExecutor<'static>>,
    plan: &DayPlan,
    recorder: Recorder,
    key: Option<(std::path::PathBuf, TicketKey)>,
) -> io::Result<World> {
    let (site, fleet) = (&plan.site, &plan.fleet);
    let (physics, machines) = shalewall_simulation::plan::fleet(plan);
    let telling = Telling {
        every: ms(site.notes.every_ms),
        late: ms(site.notes.late_ms),
        fraction: plan.day.media_fraction,
        key: key.as_ref().map(|(_, key)| key.clone()),
        loads: plan.load.follow > 0.0,
    };
    let nodes = Nodes::new(
        ex.clone(),
        Fleet::new(physics, plan.day.seed ^ 1),
        recorder.clone(),
        telling,
    );
    let late = ms(fleet.list_late_ms);
    let (list, list_address) = List::start(ex.clone(), recorder.clone(), late)?;
    for machine in machines {
        let id = machine.id;
        nodes.start(machine, true)?;
        line(&nodes, id, "ready")
            .into_iter()
            .for_each(|l| list.tell(l));
    }
    let crowd = shalewall_simulation::plan::crowd(plan);
    let arrivals = shalewall_simulation::plan::arrivals(plan);
    let viewers = Viewers::new(
        ex.clone(),
        recorder.clone(),
        crowd,
        arrivals,
        plan.day.seed ^ 3,
    );
    let key_file = key.map(|(file, _)| file);
    Ok(World {
        ex: ex.clone(),
        nodes,
        list,
        list_address,
        key_file,
        viewers,
        recorder,
    })
}

/// Runs a day and judges it. `program`: the binary whose `serve` is each director. Recordings, settings and
/// logs of the directors and the summary are left in `out`. `progress`: told each second.
pub fn run(
    plan: &DayPlan,
    program: &Path,
    out: &Path,
    mut progress: impl FnMut(&str),
) -> io::Result<Summary> {
    if plan.day.directors > MOST_DIRECTORS {
        let what =
            format!("{MOST_DIRECTORS} directors at most can be run as processes of one machine");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, what));
    }
    rig::allow(plan)?;
    std::fs::create_dir_all(out)?;
    for old in std::fs::read_dir(out)? {
        // What an earlier day left would be judged with this one's.
        let old = old?.path();
        if old.extension().is_some_and(|e| e == "jsonl") {
            std::fs::remove_file(old)?;
        }
    }
    let rules = rules(plan);
    std::fs::write(
        out.join("rules.json"),
        serde_json::to_string_pretty(&rules)?,
    )?;
    let recorder = Recorder::file(&out.join("day.jsonl"))?;
    let ex = Rc::new(LocalExecutor::new());
    let (count, lacked) = async_io::block_on(ex.run(async {
        let world = Rc::new(world(&ex, plan, recorder.clone(), move_key(plan, out)?)?);
        let hosting = plan
            .hosted
            .as_ref()
            .map(|hosted| service::host(&ex, plan, hosted, out))
            .transpose()?;
        let directors = Rc::new(Directors::new(plan, program, out, &world, hosting));
        for number in 0..plan.day.directors {
            directors.start(number).await?;
        }
        // The list has to have come before the first viewer does.
        Timer::after(Duration::from_millis(500)).await;
        for (name, trouble) in &plan.trouble {
            let play = troubles::play(world.clone(), directors.clone(), plan, name, trouble);
            ex.spawn(play).detach();
        }
        let viewers = world.viewers.clone();
        let time = Duration::from_secs_f64(plan.day.seconds);
        let arrivals = ex.spawn(async move { viewers.arrive(time).await });
        let began = Instant::now();
        let (mut over, mut lag) = (None, Duration::ZERO);
        loop {
            let due = Instant::now() + Duration::from_secs(1);
            Timer::at(due).await;
            lag = lag.max(due.elapsed());
            let count = world.viewers.count.borrow().tallies.all.clone();
            progress(&format!(
                "{:>4.0} s  {} asked, {} play now, {} refused, {} failed, {} without an answer",
                began.elapsed().as_secs_f64(),
                count.asked,
                world.nodes.playing(),
                count.refused,
                count.failed,
                count.unanswered
            ));
            if arrivals.is_finished() {
                let over = *over.get_or_insert_with(Instant::now);
                if world.viewers.here() == 0 || over.elapsed() >= GRACE {
                    break;
                }
            }
        }
        directors.stop();
        let mut count = world.viewers.count.borrow().clone();
        count.lag = world.viewers.lag.get();
        let lag = lag.max(Duration::from_micros(count.lag.max(0) as u64));
        let connections = world.nodes.lacked() + world.viewers.lacked.get();
        Ok::<_, io::Error>((count, Lacked { lag, connections }))
    }))?;
    recorder.flush()?;
    let records = shalewall_audit::read(out)?;
    let verdict = judge(&records, &rules);
    let moves = (plan.load.follow > 0.0).then(|| shalewall_audit::moves(&records, &rules));
    let summary = Summary::new(&count, &verdict, moves, &lacked);
    std::fs::write(
        out.join("summary.json"),
        serde_json::to_string_pretty(&summary)?,
    )?;
    std::fs::write(out.join("summary.txt"), summary.to_string())?;
    Ok(summary)
}

/// Judges the recordings of a folder.
pub fn audit(dir: &Path) -> io::Result<Verdict> {
    Ok(judge(
        &shalewall_audit::read(dir)?,
        &shalewall_audit::read_rules(dir)?,
    ))
}

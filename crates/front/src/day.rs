//! Whole days: stand-ins in this process, each director a process of its own, troubles by the script, and the
//! rules judged from the recordings.

mod directors;
mod import;
mod summary;
mod troubles;

use crate::day::directors::Directors;
use async_executor::LocalExecutor;
use async_io::Timer;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall_audit::{ClassRule, Further, Rules, Verdict, judge};
use shalewall_settings::{DayPlan, us};
use shalewall_standins::list::{Line, List};
use shalewall_standins::nodes::{Nodes, Telling};
use shalewall_standins::physics::{Fleet, Machine, Physics};
use shalewall_standins::recorder::Recorder;
use shalewall_standins::viewers::{Class, Crowd, Viewers};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use import::{Imported, import};
pub use summary::Summary;

/// What may be seen later, or in another order, than it was sent: loopback, and turns of busy processes.
const TRANSIT: i64 = 100_000;
/// Sessions that still play at the end may end by themselves for so long.
const GRACE: Duration = Duration::from_secs(6);

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// The rules as the auditor wants them.
pub fn rules(plan: &DayPlan) -> Rules {
    let r = &plan.site.rules;
    let class = |c: &shalewall_settings::Class| ClassRule { paid: c.paid, floor: c.floor, seats: c.seats };
    let further = |f: &shalewall_settings::Further| Further {
        free: f.free,
        per_request: f.per_request,
        span: us(f.span_ms),
    };
    Rules {
        classes: plan.site.class.iter().map(|(name, c)| (name.clone(), class(c))).collect(),
        drain_within: us(r.drain_within_ms),
        answer_slack: us(r.answer_slack_ms),
        warm_after: us(r.warm_after_ms),
        start_capacity: r.start_capacity,
        overload_factor: r.overload_factor,
        fall: us(r.fall_ms),
        further: r.further.as_ref().map(further),
        transit: TRANSIT,
    }
}

/// The stand-ins of a day, under way.
pub struct World {
    pub ex: Rc<LocalExecutor<'static>>,
    pub nodes: Nodes,
    pub list: List,
    pub list_address: std::net::SocketAddr,
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

/// The machines of a day: as told, or spread over zones, kinds and cells in turn.
fn machines(plan: &DayPlan, mut stray: impl FnMut(f64) -> f64) -> Vec<Machine> {
    let (site, fleet) = (&plan.site, &plan.fleet);
    let places = |kind: &str| site.kind.get(kind).map_or(1e6, |k| k.places);
    if !fleet.machine.is_empty() {
        let told = |(name, m): (&String, &shalewall_settings::Machine)| Machine {
            id: name.parse().unwrap_or_default(),
            zone: m.zone.clone(),
            kind: m.kind.clone(),
            cell: m.cell,
            weight: m.weight,
            places: places(&m.kind),
            link_kb: m.link_kb * stray(fleet.link_stray),
        };
        return fleet.machine.iter().map(told).collect();
    }
    let kinds: Vec<&String> = site.kind.keys().collect();
    let machine = |id: u64| {
        let kind = kinds.get(id as usize % kinds.len().max(1)).map_or("", |k| k.as_str());
        Machine {
            id: id + 1,
            zone: site.zones.get(id as usize % site.zones.len().max(1)).cloned().unwrap_or_default(),
            kind: kind.to_string(),
            cell: id % site.layout.cells,
            weight: 1.0,
            places: places(kind),
            link_kb: fleet.link_kb * stray(fleet.link_stray),
        }
    };
    (0..fleet.nodes).map(machine).collect()
}

/// Starts nodes and list, and readies the viewers.
pub fn world(ex: &Rc<LocalExecutor<'static>>, plan: &DayPlan, recorder: Recorder) -> io::Result<World> {
    let (site, fleet) = (&plan.site, &plan.fleet);
    let mut dice = ChaCha8Rng::seed_from_u64(plan.day.seed);
    let mut stray = |part: f64| 1.0 + part * (2.0 * dice.random::<f64>() - 1.0);
    let racks = if fleet.uplink_kb > 0.0 { site.layout.racks } else { 0 };
    let physics = Physics {
        rate_stray: fleet.rate_stray,
        set_up: us(fleet.set_up_ms),
        refresh: us(fleet.refresh_ms).max(1),
        noise: fleet.noise,
        full_from: fleet.full_from,
        warm_after: us(site.rules.warm_after_ms),
        start_capacity: site.rules.start_capacity,
        overload_factor: site.rules.overload_factor,
        fall: us(site.rules.fall_ms),
        uplinks: match &fleet.uplinks_kb[..] {
            [] => (0..racks).map(|_| fleet.uplink_kb * stray(fleet.link_stray)).collect(),
            told => told.to_vec(),
        },
    };
    let telling = Telling {
        every: ms(site.notes.every_ms),
        late: ms(site.notes.late_ms),
        fraction: plan.day.media_fraction,
    };
    let nodes = Nodes::new(ex.clone(), Fleet::new(physics, plan.day.seed ^ 1), recorder.clone(), telling);
    let late = ms(fleet.list_late_ms);
    let (list, list_address) = List::start(ex.clone(), recorder.clone(), late)?;
    for machine in machines(plan, stray) {
        let id = machine.id;
        nodes.start(machine, true)?;
        line(&nodes, id, "ready").into_iter().for_each(|l| list.tell(l));
    }
    let load = &plan.load;
    let class = |(name, part): (&String, &f64)| {
        let c = &site.class[name];
        Class {
            name: name.clone(),
            part: *part,
            give_up: ms(c.give_up_ms),
            aim: ms(c.aim_ms),
            worth: c.worth,
            top: c.top.unwrap_or(site.ladder.len() - 1),
        }
    };
    let crowd = Crowd {
        per_s: load.per_s,
        classes: load.mix.iter().map(class).collect(),
        titles: site.title.keys().cloned().collect(),
        skew: load.skew,
        shortest: Duration::from_secs_f64(load.shortest_s),
        longest: Duration::from_secs_f64(load.longest_s),
        weak: load.weak,
        come_again: load.come_again,
        pause: ms(load.pause_ms),
        worth: site.ladder.iter().map(|r| r.worth).collect(),
        stall_cost: site.costs.stall,
    };
    let viewers = Viewers::new(ex.clone(), recorder.clone(), crowd, plan.day.seed ^ 2);
    Ok(World { ex: ex.clone(), nodes, list, list_address, viewers, recorder })
}

/// Runs a day and judges it. `program`: the binary whose `serve` is each director. Recordings, settings and
/// logs of the directors and the summary are left in `out`. `progress`: told each second.
pub fn run(
    plan: &DayPlan,
    program: &Path,
    out: &Path,
    mut progress: impl FnMut(&str),
) -> io::Result<Summary> {
    std::fs::create_dir_all(out)?;
    for old in std::fs::read_dir(out)? {
        // What an earlier day left would be judged with this one's.
        let old = old?.path();
        if old.extension().is_some_and(|e| e == "jsonl") {
            std::fs::remove_file(old)?;
        }
    }
    let rules = rules(plan);
    std::fs::write(out.join("rules.json"), serde_json::to_string_pretty(&rules)?)?;
    let recorder = Recorder::file(&out.join("day.jsonl"))?;
    let ex = Rc::new(LocalExecutor::new());
    let count = async_io::block_on(ex.run(async {
        let world = Rc::new(world(&ex, plan, recorder.clone())?);
        let directors = Rc::new(Directors::new(plan, program, out, &world));
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
        let mut over = None;
        loop {
            Timer::after(Duration::from_secs(1)).await;
            let count = world.viewers.count.borrow().clone();
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
        Ok::<_, io::Error>(world.viewers.count.borrow().clone())
    }))?;
    recorder.flush()?;
    let verdict = audit(out)?;
    let summary = Summary::new(&count, &verdict);
    std::fs::write(out.join("summary.json"), serde_json::to_string_pretty(&summary)?)?;
    std::fs::write(out.join("summary.txt"), summary.to_string())?;
    Ok(summary)
}

/// Judges the recordings of a folder.
pub fn audit(dir: &Path) -> io::Result<Verdict> {
    Ok(judge(&shalewall_audit::read(dir)?, &shalewall_audit::read_rules(dir)?))
}

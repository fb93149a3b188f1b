//! Running a day from its beginning to its summary, and judging recordings again.

use crate::director_processes::DirectorProcesses;
use crate::emulation::{Emulation, MoveKey};
use crate::error::DayError;
use crate::host_resources::{Shortfall, reserve_descriptors};
use crate::summary::Summary;
use crate::{MAX_DIRECTORS, faults, hosted_service, rules};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use shalewall_audit::{Verdict, judge, review_migrations};
use shalewall_emulator::recorder::Recorder;
use shalewall_emulator::viewers::Count;
use shalewall_settings::DayPlan;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Sessions that still play at the end may end by themselves for so long.
const GRACE: Duration = Duration::from_secs(6);
/// Directors have the endpoint list after this; no viewer comes before.
const LIST_DELIVERY: Duration = Duration::from_millis(500);
/// Between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a day and judges it. `program`: the binary whose `serve` is each director. Recordings, settings and
/// logs of the directors and the summary are left in `out`. `progress`: told each second.
pub fn run(
    plan: &DayPlan,
    program: &Path,
    out: &Path,
    mut progress: impl FnMut(&str),
) -> Result<Summary, DayError> {
    if plan.day.directors > MAX_DIRECTORS {
        let limit = MAX_DIRECTORS;
        return Err(DayError::TooManyDirectors { limit });
    }
    reserve_descriptors(plan)?;
    std::fs::create_dir_all(out)?;
    remove_recordings(out)?;
    let rules = rules(plan);
    let rules_text = serde_json::to_string_pretty(&rules)?;
    std::fs::write(out.join("rules.json"), rules_text)?;
    let recorder = Recorder::file(&out.join("day.jsonl"))?;
    let executor = Rc::new(LocalExecutor::new());
    let day = play(plan, program, out, &executor, &recorder, &mut progress);
    let played = async_io::block_on(executor.run(day))?;
    recorder.flush()?;
    let records = shalewall_audit::read(out)?;
    let verdict = judge(&records, &rules);
    let moves = (plan.load.migratable_fraction > 0.0).then(|| review_migrations(&records, &rules));
    let summary = Summary::new(&played.count, &verdict, moves, &played.shortfall);
    let summary_text = serde_json::to_string_pretty(&summary)?;
    std::fs::write(out.join("summary.json"), summary_text)?;
    std::fs::write(out.join("summary.txt"), summary.to_string())?;
    Ok(summary)
}

/// Judges the recordings of a folder.
pub fn audit(dir: &Path) -> io::Result<Verdict> {
    let records = shalewall_audit::read(dir)?;
    let rules = shalewall_audit::read_rules(dir)?;
    Ok(judge(&records, &rules))
}

/// What an earlier day left would be judged with this one's.
fn remove_recordings(out: &Path) -> io::Result<()> {
    for entry in std::fs::read_dir(out)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "jsonl")
        {
            std::fs::remove_file(path)?;
        }
    }
    Ok(())
}

/// What a day came to before it is judged.
struct Played {
    count: Count,
    shortfall: Shortfall,
}

async fn play(
    plan: &DayPlan,
    program: &Path,
    out: &Path,
    executor: &Rc<LocalExecutor<'static>>,
    recorder: &Recorder,
    progress: &mut impl FnMut(&str),
) -> Result<Played, DayError> {
    let move_key = MoveKey::create(plan, out)?;
    let emulation = Emulation::start(executor, plan, recorder.clone(), move_key)?;
    let emulation = Rc::new(emulation);
    let hosting = match &plan.hosted {
        None => None,
        Some(hosted) => Some(hosted_service::start(executor, plan, hosted, out)?),
    };
    let directors = DirectorProcesses::new(plan, program, out, &emulation, hosting);
    let directors = Rc::new(directors);
    for number in 0..plan.day.directors {
        directors.start(number).await?;
    }
    Timer::after(LIST_DELIVERY).await;
    for (name, fault) in &plan.faults {
        let seed = faults::seed(plan.day.seed, name);
        let injection = faults::inject(emulation.clone(), directors.clone(), fault.clone(), seed);
        executor.spawn(injection).detach();
    }
    let viewers = emulation.viewers.clone();
    let length = Duration::from_secs_f64(plan.day.seconds);
    let arrivals = executor.spawn(async move { viewers.arrive(length).await });
    let timer_delay = watch_day(&emulation, &arrivals, progress).await;
    directors.stop();
    Ok(played(&emulation, timer_delay))
}

/// Waits until the day is over. Returns by how much a timer of its own was late at most.
async fn watch_day(
    emulation: &Emulation,
    arrivals: &Task<()>,
    progress: &mut impl FnMut(&str),
) -> Duration {
    let began = Instant::now();
    let mut arrivals_over = None;
    let mut max_delay = Duration::ZERO;
    loop {
        let due = Instant::now() + PROGRESS_INTERVAL;
        Timer::at(due).await;
        max_delay = max_delay.max(due.elapsed());
        progress(&progress_line(emulation, began.elapsed()));
        if arrivals.is_finished() {
            let over = *arrivals_over.get_or_insert_with(Instant::now);
            if emulation.viewers.here() == 0 || over.elapsed() >= GRACE {
                return max_delay;
            }
        }
    }
}

fn progress_line(emulation: &Emulation, elapsed: Duration) -> String {
    let count = emulation.viewers.count.borrow().tallies.all.clone();
    format!(
        "{:>4.0} s  {} asked, {} play now, {} refused, {} failed, {} without an answer",
        elapsed.as_secs_f64(),
        count.requested,
        emulation.nodes.playing(),
        count.rejected,
        count.failed,
        count.unanswered
    )
}

fn played(emulation: &Emulation, timer_delay: Duration) -> Played {
    let mut count = emulation.viewers.count.borrow().clone();
    count.lag = emulation.viewers.lag.get();
    let viewer_delay = Duration::from_micros(count.lag.max(0) as u64);
    let shortfall = Shortfall {
        timer_delay: timer_delay.max(viewer_delay),
        failed_connections: emulation.nodes.lacked() + emulation.viewers.lacked.get(),
    };
    Played { count, shortfall }
}

//! Runs a day from its start to its summary, and judges existing recordings.

use crate::director_processes::DirectorProcesses;
use crate::emulation::{Emulation, MigrationKey};
use crate::error::DayError;
use crate::host_resources::{Shortfall, reserve_descriptors};
use crate::summary::Summary;
use crate::{MAX_DIRECTORS, faults, hosted_service, rules};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use shalewall_audit::{Verdict, judge, review_migrations};
use shalewall_emulator::recorder::Recorder;
use shalewall_emulator::viewers::ViewerResults;
use shalewall_settings::DayPlan;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after the last arrival in which playing sessions may end by themselves.
const SESSION_END_GRACE: Duration = Duration::from_secs(6);
/// Time for directors to receive the endpoint list before the first viewer arrives.
const LIST_DELIVERY: Duration = Duration::from_millis(500);
/// Interval between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a day and judges it. `program` is the binary whose `serve` command runs each director. Recordings, settings
/// and logs of the directors and the summary are written to `out`. `progress` receives a line each second.
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
    let day = play_day(plan, program, out, &executor, &recorder, &mut progress);
    let played = async_io::block_on(executor.run(day))?;
    recorder.flush()?;
    let records = shalewall_audit::read(out)?;
    let verdict = judge(&records, &rules);
    let migrations =
        (plan.load.migratable_fraction > 0.0).then(|| review_migrations(&records, &rules));
    let summary = Summary::new(
        &played.viewer_results,
        &verdict,
        migrations,
        &played.shortfall,
    );
    let summary_text = serde_json::to_string_pretty(&summary)?;
    std::fs::write(out.join("summary.json"), summary_text)?;
    std::fs::write(out.join("summary.txt"), summary.to_string())?;
    Ok(summary)
}

/// Judges the recordings in a directory.
pub fn audit(dir: &Path) -> io::Result<Verdict> {
    let records = shalewall_audit::read(dir)?;
    let rules = shalewall_audit::read_rules(dir)?;
    Ok(judge(&records, &rules))
}

/// Removes recordings of an earlier day, which would otherwise be judged together with this one's.
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

/// Results of a day before it is judged.
struct DayResults {
    viewer_results: ViewerResults,
    shortfall: Shortfall,
}

async fn play_day(
    plan: &DayPlan,
    program: &Path,
    out: &Path,
    executor: &Rc<LocalExecutor<'static>>,
    recorder: &Recorder,
    progress: &mut impl FnMut(&str),
) -> Result<DayResults, DayError> {
    let migration_key = MigrationKey::create(plan, out)?;
    let emulation = Emulation::start(executor, plan, recorder.clone(), migration_key)?;
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
    let arrivals = executor.spawn(async move { viewers.run_arrivals(length).await });
    let timer_delay = watch_day(&emulation, &arrivals, progress).await;
    directors.stop();
    Ok(day_results(&emulation, timer_delay))
}

/// Waits until the day is over. Returns the largest delay of its own timers.
async fn watch_day(
    emulation: &Emulation,
    arrivals: &Task<()>,
    progress: &mut impl FnMut(&str),
) -> Duration {
    let started_at = Instant::now();
    let mut arrivals_over = None;
    let mut max_delay = Duration::ZERO;
    loop {
        let due = Instant::now() + PROGRESS_INTERVAL;
        Timer::at(due).await;
        max_delay = max_delay.max(due.elapsed());
        progress(&progress_line(emulation, started_at.elapsed()));
        if arrivals.is_finished() {
            let arrivals_ended = *arrivals_over.get_or_insert_with(Instant::now);
            if emulation.viewers.active_viewers() == 0
                || arrivals_ended.elapsed() >= SESSION_END_GRACE
            {
                return max_delay;
            }
        }
    }
}

fn progress_line(emulation: &Emulation, elapsed: Duration) -> String {
    let totals = emulation.viewers.results.borrow().totals.all.clone();
    format!(
        "{:>4.0} s  {} requests, {} playing, {} rejected, {} failed, {} without a response",
        elapsed.as_secs_f64(),
        totals.requested,
        emulation.nodes.session_count(),
        totals.rejected,
        totals.failed,
        totals.unanswered
    )
}

fn day_results(emulation: &Emulation, timer_delay: Duration) -> DayResults {
    let mut viewer_results = emulation.viewers.results.borrow().clone();
    viewer_results.max_timer_delay_us = emulation.viewers.max_timer_delay_us.get();
    let viewer_delay = Duration::from_micros(viewer_results.max_timer_delay_us.max(0) as u64);
    let shortfall = Shortfall {
        timer_delay: timer_delay.max(viewer_delay),
        failed_connections: emulation.nodes.local_resource_errors()
            + emulation.viewers.local_resource_errors.get(),
    };
    DayResults {
        viewer_results,
        shortfall,
    }
}

//! `shalewall-lab`: simulates scenes and prints their results as a table.

use clap::Parser;
use shalewall_fleet_model::totals::ViewerTotals;
use shalewall_settings::DayPlan;
use shalewall_simulation::world::{Policy, Report, run};
use shalewall_simulation::{scenes, totals::INTERVAL_S};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::ExitCode;

/// Simulates scenes of a fleet that starts empty and prints a row of results for each.
#[derive(Parser)]
#[command(name = "shalewall-lab", version)]
struct Cli {
    /// The plan from which the scenes are derived.
    #[arg(long, value_name = "FILE", default_value = "days/fill-2.hcl")]
    plan: PathBuf,
    /// Run only scenes whose names start with this; may be repeated.
    #[arg(long, value_name = "NAME")]
    only: Vec<String>,
    /// Number of seeds to run, from the plan's own upwards; the results are means over them.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Use the baseline policy in place of the decision module.
    #[arg(long)]
    plain: bool,
    /// Also print the results for each interval of ten seconds.
    #[arg(long)]
    spans: bool,
}

fn print_intervals(report: &Report) {
    for (i, s) in report.totals.intervals.iter().enumerate() {
        let all: f64 = s.seconds_by_rung.values().sum();
        let rungs = s
            .seconds_by_rung
            .iter()
            .map(|(r, t)| format!("{r}:{:.0}%", t * 100.0 / all.max(1e-9)));
        println!(
            "  {:>5.0} s  asked {:>4}  refused {:>4}  plays {:>6.1}  worth {:.3} of {:.3}  {}",
            i as f64 * INTERVAL_S,
            s.requested,
            s.rejected,
            all / INTERVAL_S,
            s.worth_earned / s.worth_offered.max(1e-9),
            s.worth_bound / s.worth_offered.max(1e-9),
            rungs.collect::<Vec<_>>().join(" ")
        );
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let base: DayPlan = match shalewall_settings::read(&cli.plan) {
        Ok(plan) => plan,
        Err(errors) => {
            errors.iter().for_each(|e| eprintln!("shalewall-lab: {e}"));
            return ExitCode::from(2);
        }
    };
    let policy = if cli.plain {
        Policy::Baseline
    } else {
        Policy::Module
    };
    println!(
        "| scene | asked | refused | never watched | worth | best one rung | most | steps a minute | pushed over |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for scene in scenes::all(&base) {
        if !cli.only.is_empty() && !cli.only.iter().any(|o| scene.name.starts_with(o.as_str())) {
            continue;
        }
        let mut reports = Vec::new();
        for seed in 0..cli.seeds.max(1) {
            let mut plan = scene.plan.clone();
            plan.day.seed += seed;
            match run(&plan, policy) {
                Ok(report) => reports.push(report),
                Err(e) => {
                    eprintln!("shalewall-lab: {}: {e}", scene.name);
                    return ExitCode::from(2);
                }
            }
        }
        let mean =
            |f: &dyn Fn(&Report) -> f64| reports.iter().map(f).sum::<f64>() / reports.len() as f64;
        println!(
            "| {} | {:.0} | {:.1}% | {:.1}% | {:.3} | {:.3} | {:.3} | {:.2} | {:.1} |",
            scene.name,
            mean(&|r| r.totals.viewer_totals.all.requested as f64),
            mean(&|r| r.totals.viewer_totals.all.rejected_fraction()) * 100.0,
            mean(&|r| r.totals.viewer_totals.all.unserved_fraction()) * 100.0,
            mean(&|r| r.totals.viewer_totals.all.worth()),
            mean(&|r| r.bounds.best_rung().1 / r.totals.viewer_totals.all.worth_offered.max(1e-9)),
            mean(&|r| r.bounds.maximum / r.totals.viewer_totals.all.worth_offered.max(1e-9)),
            mean(&|r| r.totals.viewer_totals.all.rung_changes_per_minute()),
            mean(&|r| r.totals.overloaded_nodes as f64),
        );
        for tenant in reports
            .iter()
            .flat_map(|r| r.totals.viewer_totals.tenants.keys())
            .collect::<BTreeSet<_>>()
        {
            let of = |f: &dyn Fn(&ViewerTotals) -> f64| {
                mean(&|r| f(&r.totals.viewer_totals.tenants[tenant]))
            };
            println!(
                "| {}: {tenant} | {:.0} | {:.1}% | {:.1}% | {:.3} | - | - | {:.2} | - |",
                scene.name,
                of(&|t| t.requested as f64),
                of(&ViewerTotals::rejected_fraction) * 100.0,
                of(&ViewerTotals::unserved_fraction) * 100.0,
                of(&ViewerTotals::worth),
                of(&ViewerTotals::rung_changes_per_minute),
            );
        }
        if cli.spans {
            reports.iter().for_each(print_intervals);
        }
    }
    ExitCode::SUCCESS
}

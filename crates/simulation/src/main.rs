//! `shalewall-lab`: scenes in simulated time, as a table.

use clap::Parser;
use shalewall_fleet_model::totals::ViewerTotals;
use shalewall_settings::DayPlan;
use shalewall_simulation::world::{Policy, Report, run};
use shalewall_simulation::{count::SPAN, scenes};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs scenes of a fleet that fills, in simulated time, and prints what came of each.
#[derive(Parser)]
#[command(name = "shalewall-lab", version)]
struct Cli {
    /// The plan that scenes are made from.
    #[arg(long, value_name = "FILE", default_value = "days/fill-2.hcl")]
    plan: PathBuf,
    /// Only scenes whose name begins so.
    #[arg(long, value_name = "NAME")]
    only: Vec<String>,
    /// Seeds beside the plan's own; figures are means over them.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The textbook form in place of the decision module.
    #[arg(long)]
    plain: bool,
    /// Also what came of each span of ten seconds.
    #[arg(long)]
    spans: bool,
}

fn print_spans(report: &Report) {
    for (i, s) in report.count.spans.iter().enumerate() {
        let all: f64 = s.rungs.values().sum();
        let rungs = s
            .rungs
            .iter()
            .map(|(r, t)| format!("{r}:{:.0}%", t * 100.0 / all.max(1e-9)));
        println!(
            "  {:>5.0} s  asked {:>4}  refused {:>4}  plays {:>6.1}  worth {:.3} of {:.3}  {}",
            i as f64 * SPAN,
            s.asked,
            s.refused,
            all / SPAN,
            s.got / s.wanted.max(1e-9),
            s.bound / s.wanted.max(1e-9),
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
        Policy::Plain
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
            mean(&|r| r.count.tallies.all.requested as f64),
            mean(&|r| r.count.tallies.all.rejected_fraction()) * 100.0,
            mean(&|r| r.count.tallies.all.unserved_fraction()) * 100.0,
            mean(&|r| r.count.tallies.all.worth()),
            mean(&|r| r.bounds.best_rung().1 / r.count.tallies.all.worth_offered.max(1e-9)),
            mean(&|r| r.bounds.most / r.count.tallies.all.worth_offered.max(1e-9)),
            mean(&|r| r.count.tallies.all.rung_changes_per_minute()),
            mean(&|r| r.count.fell as f64),
        );
        for tenant in reports
            .iter()
            .flat_map(|r| r.count.tallies.tenants.keys())
            .collect::<BTreeSet<_>>()
        {
            let of =
                |f: &dyn Fn(&ViewerTotals) -> f64| mean(&|r| f(&r.count.tallies.tenants[tenant]));
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
            reports.iter().for_each(print_spans);
        }
    }
    ExitCode::SUCCESS
}

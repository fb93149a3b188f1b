//! Runs a case of the review, or a media node of one. Started from the repository's root.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod json;
mod node;
mod platform;
mod record;
mod settings;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let is_broken = match args.first().map(String::as_str) {
        Some("node") => {
            return if node::run(&args[1..]).is_some() {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(2)
            };
        }
        Some("1") => cases::handed_over::run("review/1/record.txt"),
        Some("2") => cases::wrong_lengths::run("review/2/record.txt"),
        Some("3") => cases::late_restart::run("review/3/record.txt"),
        Some("cut-off") => cases::cut_off::run("review/standin/target/cut-off.txt"),
        Some("slow-journal") => cases::slow_journal::run("review/standin/target/slow-journal.txt"),
        Some("stalled-drain") => {
            cases::stalled_drain::run("review/standin/target/stalled-drain.txt")
        }
        _ => None,
    };
    match is_broken {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => {
            println!("the case could not run");
            ExitCode::from(2)
        }
    }
}

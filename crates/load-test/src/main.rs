//! Measures a front from outside: nodes that answer at once on one thread, a load on another, the front a
//! process of its own. `measure run --front target/release/shalewall`. Loopback only, bounded in time.

mod hyper_front;
mod load;
mod nodes;
mod tenants;

use clap::{Parser, Subcommand};
use load::{Outcome, Plan};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

#[derive(Parser)]
#[command(about = "What the front costs, beside the same exchange on hyper")]
struct Cli {
    #[command(subcommand)]
    command: What,
}

#[derive(Subcommand)]
enum What {
    /// Measure both fronts, and the nodes alone.
    Run {
        /// The program whose `serve` is measured.
        #[arg(long)]
        front: PathBuf,
        /// Seconds for each figure.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        /// Sessions held for the memory figures.
        #[arg(long, value_delimiter = ',', default_values_t = [1_000, 10_000, 50_000])]
        held: Vec<usize>,
        /// Sessions held while a front is loaded.
        #[arg(long, default_value_t = 0)]
        beside: usize,
        /// How often the two are measured in turn.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Measure what a quiet tenant notices of its neighbours on a shared front.
    Tenants {
        #[arg(long)]
        front: PathBuf,
        /// Seconds for each figure.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        #[arg(long, default_value_t = 2)]
        rounds: usize,
    },
    /// The front to compare with: the same exchange, a random holder, no decisions.
    HyperFront {
        #[arg(long, value_delimiter = ',')]
        nodes: Vec<SocketAddr>,
    },
}

/// A front under measurement; ended with this.
struct Front {
    child: Child,
    address: SocketAddr,
}

impl Front {
    fn start(command: &mut Command) -> std::io::Result<Front> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = child
            .stderr
            .take()
            .ok_or_else(|| std::io::Error::other("no log"))?;
        let mut lines = BufReader::new(log).lines();
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            let said: serde_json::Value = serde_json::from_str(&line).ok()?;
            let fields = &said["fields"];
            (fields["message"] == "listening").then(|| fields["address"].as_str()?.parse().ok())?
        });
        // Its log is read on, or it would stand still when the pipe is full.
        std::thread::spawn(move || lines.for_each(drop));
        match address {
            Some(address) => Ok(Front { child, address }),
            None => Err(std::io::Error::other("the front does not listen")),
        }
    }

    /// Memory in use, kB (1,024 bytes), as the system counts it.
    fn memory(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = status
            .lines()
            .find(|l| l.starts_with("VmRSS:"))
            .unwrap_or_default();
        line.split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse().ok())
            .unwrap_or(f64::NAN)
    }

    /// Processor time used so far, seconds.
    fn cpu(&self) -> f64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or_default();
        let field = |n: usize| {
            after
                .split_whitespace()
                .nth(n)
                .and_then(|t| t.parse::<f64>().ok())
        };
        // User and system time, in the hundredths of a second that the kernel counts in.
        (field(11).unwrap_or(f64::NAN) + field(12).unwrap_or(f64::NAN)) / 100.0
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn ours(program: &Path, world: &nodes::Addresses) -> std::io::Result<Front> {
    let file = std::env::temp_dir().join(format!("shalewall-load-test-{}.hcl", std::process::id()));
    std::fs::write(&file, nodes::front_settings(world.list)?)?;
    let front = Front::start(
        Command::new(program)
            .arg("serve")
            .arg("--config")
            .arg(&file),
    );
    std::fs::remove_file(&file)?;
    let front = front?;
    // The list has to have come.
    std::thread::sleep(Duration::from_millis(700));
    Ok(front)
}

fn hyper(world: &nodes::Addresses) -> std::io::Result<Front> {
    let nodes: Vec<String> = world.nodes.iter().map(ToString::to_string).collect();
    Front::start(
        Command::new(std::env::current_exe()?)
            .arg("hyper-front")
            .arg("--nodes")
            .arg(nodes.join(",")),
    )
}

fn report(name: &str, rate: &str, outcome: &Outcome, cpu: f64) {
    let us = |q: f64| outcome.waits.value_at_quantile(q) as f64;
    println!(
        "| {name} | {rate} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {} |",
        outcome.set_ups as f64 / outcome.time.as_secs_f64(),
        us(0.5),
        us(0.99),
        us(0.999),
        cpu * 1e6 / outcome.set_ups.max(1) as f64,
        outcome.wrong
    );
}

fn run(
    program: &Path,
    seconds: u64,
    held: &[usize],
    beside: usize,
    rounds: usize,
) -> std::io::Result<()> {
    let world = nodes::start()?;
    let time = Duration::from_secs(seconds);
    println!(
        "| front | load, set-ups a second | done | p50 us | p99 us | p99.9 us | CPU us a set-up | wrong |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for _ in 0..rounds {
        for name in ["shalewall", "hyper"] {
            let front = if name == "hyper" {
                hyper(&world)?
            } else {
                ours(program, &world)?
            };
            if beside > 0 {
                load::hold(front.address, 0, beside);
            }
            let measured = |rate: Option<f64>| {
                let before = front.cpu();
                let outcome = load::run(&Plan {
                    front: front.address,
                    rate,
                    time,
                    connections: 64,
                    tenant: None,
                });
                (outcome, front.cpu() - before)
            };
            let (most, cpu) = measured(None);
            report(name, "as many as it takes", &most, cpu);
            let limit = most.set_ups as f64 / most.time.as_secs_f64();
            for part in [0.1, 0.25, 0.5, 0.75] {
                let (outcome, cpu) = measured(Some(limit * part));
                report(
                    name,
                    &format!("{:.0} ({:.0}% of that)", limit * part, part * 100.0),
                    &outcome,
                    cpu,
                );
            }
        }
    }
    let direct = load::run_direct(world.nodes[0], time, 500.0);
    report("none: straight to a node", "500", &direct, f64::NAN);
    println!("\n| front | sessions held | memory kB | kB a session |\n| --- | --- | --- | --- |");
    for name in ["shalewall", "hyper"] {
        let front = if name == "hyper" {
            hyper(&world)?
        } else {
            ours(program, &world)?
        };
        let empty = front.memory();
        println!("| {name} | 0 | {empty:.0} | |");
        let mut so_far = 0;
        for count in held {
            load::hold(front.address, so_far, *count);
            so_far = *count;
            let now = front.memory();
            println!(
                "| {name} | {count} | {now:.0} | {:.2} |",
                (now - empty) / *count as f64
            );
        }
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    match Cli::parse().command {
        What::Run {
            front,
            seconds,
            held,
            beside,
            rounds,
        } => run(&front, seconds, &held, beside, rounds),
        What::Tenants {
            front,
            seconds,
            rounds,
        } => tenants::run(&front, seconds, rounds),
        What::HyperFront { nodes } => hyper_front::run(nodes),
    }
}

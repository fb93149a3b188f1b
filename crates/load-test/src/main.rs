//! Measures a director from outside: nodes that answer without delay on one thread, a load on another, and the director
//! as a process of its own, on the loopback interface only. Usage: `measure run --front target/release/shalewall`.

mod hyper_server;
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
#[command(about = "Measure the cost of a director, compared with the same exchange on hyper")]
struct Cli {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Measure the director, the server on hyper and the nodes alone.
    Run {
        /// Program whose `serve` command is measured.
        #[arg(long)]
        front: PathBuf,
        /// Seconds for each figure.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        /// Numbers of held sessions at which memory is measured.
        #[arg(long, value_delimiter = ',', default_values_t = [1_000, 10_000, 50_000])]
        held: Vec<usize>,
        /// Sessions that are held while the load runs.
        #[arg(long, default_value_t = 0)]
        beside: usize,
        /// Number of times that both are measured in turn.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Measure the effect of other tenants on a quiet tenant of the same director.
    Tenants {
        #[arg(long)]
        front: PathBuf,
        /// Seconds for each figure.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        #[arg(long, default_value_t = 2)]
        rounds: usize,
    },
    /// Run the server to compare with: the same exchange on hyper, with a random node for each session.
    HyperFront {
        #[arg(long, value_delimiter = ',')]
        nodes: Vec<SocketAddr>,
    },
}

/// A server process under measurement, killed on drop.
struct ServerProcess {
    child: Child,
    address: SocketAddr,
}

impl ServerProcess {
    fn start(command: &mut Command) -> std::io::Result<ServerProcess> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = child
            .stderr
            .take()
            .ok_or_else(|| std::io::Error::other("the server has no standard error stream"))?;
        let mut lines = BufReader::new(log).lines();
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            let record: serde_json::Value = serde_json::from_str(&line).ok()?;
            let fields = &record["fields"];
            (fields["message"] == "listening").then(|| fields["address"].as_str()?.parse().ok())?
        });
        // Keeps reading the log: with a full pipe the process would block on writing to it.
        std::thread::spawn(move || lines.for_each(drop));
        match address {
            Some(address) => Ok(ServerProcess { child, address }),
            None => Err(std::io::Error::other(
                "the server logged no listening address",
            )),
        }
    }

    /// Resident memory in units of 1,024 bytes, as in `/proc`.
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
        let fields_after_name = stat.rsplit(')').next().unwrap_or_default();
        let field = |n: usize| {
            fields_after_name
                .split_whitespace()
                .nth(n)
                .and_then(|t| t.parse::<f64>().ok())
        };
        // User and system time, which the kernel reports in hundredths of a second.
        (field(11).unwrap_or(f64::NAN) + field(12).unwrap_or(f64::NAN)) / 100.0
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_shalewall(program: &Path, addresses: &nodes::Addresses) -> std::io::Result<ServerProcess> {
    let file = std::env::temp_dir().join(format!("shalewall-load-test-{}.hcl", std::process::id()));
    std::fs::write(&file, nodes::director_settings(addresses.list)?)?;
    let server = ServerProcess::start(
        Command::new(program)
            .arg("serve")
            .arg("--config")
            .arg(&file),
    );
    std::fs::remove_file(&file)?;
    let server = server?;
    // Gives the endpoint list time to arrive.
    std::thread::sleep(Duration::from_millis(700));
    Ok(server)
}

fn start_hyper(addresses: &nodes::Addresses) -> std::io::Result<ServerProcess> {
    let nodes: Vec<String> = addresses.nodes.iter().map(ToString::to_string).collect();
    ServerProcess::start(
        Command::new(std::env::current_exe()?)
            .arg("hyper-front")
            .arg("--nodes")
            .arg(nodes.join(",")),
    )
}

fn print_row(name: &str, rate: &str, outcome: &Outcome, cpu: f64) {
    let latency_us = |q: f64| outcome.latencies_us.value_at_quantile(q) as f64;
    println!(
        "| {name} | {rate} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {} |",
        outcome.set_ups as f64 / outcome.duration.as_secs_f64(),
        latency_us(0.5),
        latency_us(0.99),
        latency_us(0.999),
        cpu * 1e6 / outcome.set_ups.max(1) as f64,
        outcome.errors
    );
}

fn run(
    program: &Path,
    seconds: u64,
    held: &[usize],
    beside: usize,
    rounds: usize,
) -> std::io::Result<()> {
    let addresses = nodes::start()?;
    let duration = Duration::from_secs(seconds);
    println!(
        "| front | load, set-ups a second | done | p50 us | p99 us | p99.9 us | CPU us a set-up | wrong |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for _ in 0..rounds {
        for name in ["shalewall", "hyper"] {
            let server = if name == "hyper" {
                start_hyper(&addresses)?
            } else {
                start_shalewall(program, &addresses)?
            };
            if beside > 0 {
                load::hold_sessions(server.address, 0, beside);
            }
            let measure = |rate: Option<f64>| {
                let before = server.cpu();
                let outcome = load::run(&Plan {
                    director: server.address,
                    rate,
                    duration,
                    connections: 64,
                    tenant: None,
                });
                (outcome, server.cpu() - before)
            };
            let (saturated, cpu) = measure(None);
            print_row(name, "as many as it takes", &saturated, cpu);
            let saturated_rate = saturated.set_ups as f64 / saturated.duration.as_secs_f64();
            for fraction in [0.1, 0.25, 0.5, 0.75] {
                let (outcome, cpu) = measure(Some(saturated_rate * fraction));
                print_row(
                    name,
                    &format!(
                        "{:.0} ({:.0}% of that)",
                        saturated_rate * fraction,
                        fraction * 100.0
                    ),
                    &outcome,
                    cpu,
                );
            }
        }
    }
    let direct = load::run_direct(addresses.nodes[0], duration, 500.0);
    print_row("none: straight to a node", "500", &direct, f64::NAN);
    println!("\n| front | sessions held | memory kB | kB a session |\n| --- | --- | --- | --- |");
    for name in ["shalewall", "hyper"] {
        let server = if name == "hyper" {
            start_hyper(&addresses)?
        } else {
            start_shalewall(program, &addresses)?
        };
        let memory_at_start = server.memory();
        println!("| {name} | 0 | {memory_at_start:.0} | |");
        let mut already_held = 0;
        for count in held {
            load::hold_sessions(server.address, already_held, *count);
            already_held = *count;
            let memory = server.memory();
            println!(
                "| {name} | {count} | {memory:.0} | {:.2} |",
                (memory - memory_at_start) / *count as f64
            );
        }
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    match Cli::parse().command {
        Action::Run {
            front,
            seconds,
            held,
            beside,
            rounds,
        } => run(&front, seconds, &held, beside, rounds),
        Action::Tenants {
            front,
            seconds,
            rounds,
        } => tenants::run(&front, seconds, rounds),
        Action::HyperFront { nodes } => hyper_server::run(nodes),
    }
}

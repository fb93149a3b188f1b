//! Measures the effect of other tenants on a quiet tenant of the same director, one neighbour at a time, and the cost
//! of idle tenants.

use crate::load::{self, Outcome, Plan};
use crate::{ServerProcess, nodes};
use shalewall_http::Limits;
use shalewall_http::client::Call;
use shalewall_http::pool::Pool;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Configured capacity of the director; each of the two tenants has half of it.
const SET_UPS_PER_S: f64 = 2000.0;
/// The quiet tenant's load, a quarter of its share.
const QUIET_SET_UPS_PER_S: f64 = 250.0;

/// The administration service and a director that gets its tenants from there.
struct Service {
    admin: ServerProcess,
    director: ServerProcess,
    token: String,
    _dir: TemporaryDirectory,
}

/// A directory that is removed on drop.
struct TemporaryDirectory(std::path::PathBuf);

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn call_admin(
    to: SocketAddr,
    token: &str,
    method: &str,
    target: &str,
    body: &str,
) -> std::io::Result<u16> {
    let pool = Pool::new(to, Limits::default(), Duration::ZERO, 0);
    let authorization = format!("Bearer {token}");
    let fields = [("Authorization", authorization.as_str()), ("If-Match", "*")];
    let call = Call::new(method, target, "admin").fields(&fields);
    let call = if body.is_empty() {
        call
    } else {
        call.json(body.as_bytes())
    };
    let answer = async_io::block_on(pool.call(&call));
    answer
        .map(|a| a.head.status)
        .map_err(|e| std::io::Error::other(e.to_string()))
}

impl Service {
    fn start(program: &Path, addresses: &nodes::Addresses) -> std::io::Result<Service> {
        let dir = std::env::temp_dir().join(format!("shalewall-tenants-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let directory = TemporaryDirectory(dir.clone());
        let (store, file) = (dir.join("tenants.redb"), dir.join("token"));
        let output = Command::new(program)
            .args(["store", "token"])
            .arg(&store)
            .arg("operator")
            .output()?;
        let token = String::from_utf8_lossy(&output.stdout).trim().to_string();
        std::fs::write(&file, &token)?;
        let config = dir.join("admin.hcl");
        std::fs::write(
            &config,
            format!("admin {{\n  listen = \"127.0.0.1:0\"\n  store = {store:?}\n}}\n"),
        )?;
        let admin = ServerProcess::start(
            Command::new(program)
                .arg("admin")
                .arg("--config")
                .arg(&config),
        )?;
        let hosting = format!(
            "hosting {{\n  admin = \"{}\"\n  token_file = {file:?}\n  set_ups_per_s = {SET_UPS_PER_S}\n}}\n",
            admin.address
        );
        let config = dir.join("front.hcl");
        std::fs::write(
            &config,
            nodes::director_settings(addresses.list)? + &hosting,
        )?;
        let director = ServerProcess::start(
            Command::new(program)
                .arg("serve")
                .arg("--config")
                .arg(&config),
        )?;
        let service = Service {
            admin,
            director,
            token,
            _dir: directory,
        };
        service.create(&["quiet".to_string(), "loud".to_string()], 1.0)?;
        thread::sleep(Duration::from_millis(700));
        Ok(service)
    }

    fn create(&self, ids: &[String], share: f64) -> std::io::Result<()> {
        for id in ids {
            let class = r#"{ "paid": true, "aim_ms": 1000, "give_up_ms": 4000, "worth": 2 }"#;
            let terms = format!(
                r#"{{ "display_name": "{id}", "share": {share}, "classes": {{ "report": {class} }} }}"#
            );
            let body = format!(r#"{{ "id": "{id}", "terms": {terms} }}"#);
            let status = call_admin(self.admin.address, &self.token, "POST", "/tenants", &body)?;
            if status != 201 {
                return Err(std::io::Error::other(format!("{id}: {status}")));
            }
        }
        Ok(())
    }

    fn measure_quiet_tenant(&self, seconds: u64) -> (Outcome, f64) {
        let before = self.director.cpu();
        let duration = Duration::from_secs(seconds);
        let plan = Plan {
            director: self.director.address,
            rate: Some(QUIET_SET_UPS_PER_S),
            duration,
            connections: 16,
            tenant: Some("quiet"),
        };
        let outcome = load::run(&plan);
        (outcome, (self.director.cpu() - before) / seconds as f64)
    }
}

/// Calls `work` in a loop on each of some threads until `stop` is set.
fn spawn_neighbour(
    stop: &Arc<AtomicBool>,
    threads: usize,
    work: impl Fn(&AtomicBool) + Send + Sync + 'static,
) {
    let work = Arc::new(work);
    for _ in 0..threads {
        let (stop, work) = (stop.clone(), work.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                work(&stop);
            }
        });
    }
}

/// Holds 200 connections open for 3.5 s: half of them send a request head byte by byte, half send a body without end.
fn hold_connections(director: SocketAddr, stop: &AtomicBool) {
    let mut streams: Vec<TcpStream> = Vec::new();
    let body = "POST /sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 65000\r\n\r\n";
    for i in 0..200 {
        let Ok(mut stream) = TcpStream::connect(director) else {
            break;
        };
        let _ = stream.set_nonblocking(true);
        let _ = stream.write_all(if i % 2 == 0 { b"G" } else { body.as_bytes() });
        streams.push(stream);
    }
    let deadline = Instant::now() + Duration::from_millis(3500);
    while Instant::now() < deadline && !stop.load(Ordering::Relaxed) {
        for (i, stream) in streams.iter_mut().enumerate() {
            let bytes: &[u8] = if i % 2 == 0 { b"E" } else { &[b'x'; 8000] };
            let _ = stream.write(bytes);
            let _ = stream.read(&mut [0; 512]);
        }
        thread::sleep(Duration::from_millis(500));
    }
}

/// Measures the quiet tenant alone and beside each neighbour, in turn, for some rounds.
pub fn run(program: &Path, seconds: u64, rounds: usize) -> std::io::Result<()> {
    let addresses = nodes::start()?;
    let service = Service::start(program, &addresses)?;
    let director = service.director.address;
    println!(
        "| quiet tenant, {QUIET_SET_UPS_PER_S} a second | done | not played | p50 us | p99 us | front's CPU |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let print_row = |name: &str, (outcome, cpu): (Outcome, f64)| {
        let latency_us = |q: f64| outcome.latencies_us.value_at_quantile(q);
        let total = outcome.set_ups + outcome.errors;
        println!(
            "| {name} | {} | {:.2}% | {} | {} | {:.0}% |",
            outcome.set_ups,
            outcome.errors as f64 * 100.0 / total.max(1) as f64,
            latency_us(0.5),
            latency_us(0.99),
            cpu * 100.0
        );
    };
    // Idle tenants come first, while the director has held nothing else in memory yet.
    print_row("among 2 tenants", service.measure_quiet_tenant(seconds));
    let memory_at_start = service.director.memory();
    let started_at = Instant::now();
    // A thousandth of a share each, so that the two other tenants keep a third of the capacity each.
    service.create(
        &(0..1000).map(|i| format!("idle-{i}")).collect::<Vec<_>>(),
        0.001,
    )?;
    println!(
        "\n1,000 tenants made in {:.1} s, one call and one transaction each",
        started_at.elapsed().as_secs_f64()
    );
    thread::sleep(Duration::from_millis(500));
    let memory_with_idle_tenants = service.director.memory();
    print_row("among 1,002 tenants", service.measure_quiet_tenant(seconds));
    print_row("among 1,002 tenants", service.measure_quiet_tenant(seconds));
    println!(
        "front's memory: {memory_at_start:.0} kB among 2 tenants, {memory_with_idle_tenants:.0} kB among 1,002"
    );
    let measure_beside = |name: &str, begin: &dyn Fn(&Arc<AtomicBool>)| {
        print_row("alone", service.measure_quiet_tenant(seconds));
        let stop = Arc::new(AtomicBool::new(false));
        begin(&stop);
        thread::sleep(Duration::from_millis(500));
        print_row(name, service.measure_quiet_tenant(seconds));
        stop.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(4500));
    };
    for _ in 0..rounds {
        measure_beside("beside one at ten times its share", &|stop| {
            spawn_neighbour(stop, 1, move |_| {
                let (rate, duration) = (Some(10.0 * SET_UPS_PER_S / 2.0), Duration::from_secs(1));
                load::run(&Plan {
                    director,
                    rate,
                    duration,
                    connections: 64,
                    tenant: Some("loud"),
                });
            });
        });
        measure_beside(
            "beside 800 connections, slow heads, bodies without end",
            &|stop| {
                spawn_neighbour(stop, 4, move |stop| hold_connections(director, stop));
            },
        );
        measure_beside("beside one that hammers the administration", &|stop| {
            let (admin, token) = (service.admin.address, service.token.clone());
            spawn_neighbour(stop, 1, move |_| {
                drop(call_admin(admin, &token, "GET", "/tenants/loud", ""))
            });
        });
    }
    Ok(())
}

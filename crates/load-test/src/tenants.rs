//! What a quiet tenant of a shared front notices of the others, each beside it alone in one run; and what idle
//! tenants cost.

use crate::load::{self, Outcome, Plan};
use crate::{Front, nodes};
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

/// What the front is told that it can do; each of the two tenants has half of it.
const SET_UPS: f64 = 2000.0;
/// The quiet tenant's rate, a quarter of its half.
const QUIET: f64 = 250.0;

struct Service {
    admin: Front,
    front: Front,
    token: String,
    _dir: Files,
}

/// A folder of this run's own, removed with it.
struct Files(std::path::PathBuf);

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn call(
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
    fn start(program: &Path, world: &nodes::Addresses) -> std::io::Result<Service> {
        let dir = std::env::temp_dir().join(format!("shalewall-tenants-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let files = Files(dir.clone());
        let (store, file) = (dir.join("tenants.redb"), dir.join("token"));
        let shown = Command::new(program)
            .args(["store", "token"])
            .arg(&store)
            .arg("operator")
            .output()?;
        let token = String::from_utf8_lossy(&shown.stdout).trim().to_string();
        std::fs::write(&file, &token)?;
        let plan = dir.join("admin.hcl");
        std::fs::write(
            &plan,
            format!("admin {{\n  listen = \"127.0.0.1:0\"\n  store = {store:?}\n}}\n"),
        )?;
        let admin = Front::start(
            Command::new(program)
                .arg("admin")
                .arg("--config")
                .arg(&plan),
        )?;
        let hosting = format!(
            "hosting {{\n  admin = \"{}\"\n  token_file = {file:?}\n  set_ups_per_s = {SET_UPS}\n}}\n",
            admin.address
        );
        let plan = dir.join("front.hcl");
        std::fs::write(&plan, nodes::front_settings(world.list)? + &hosting)?;
        let front = Front::start(
            Command::new(program)
                .arg("serve")
                .arg("--config")
                .arg(&plan),
        )?;
        let service = Service {
            admin,
            front,
            token,
            _dir: files,
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
            let status = call(self.admin.address, &self.token, "POST", "/tenants", &body)?;
            if status != 201 {
                return Err(std::io::Error::other(format!("{id}: {status}")));
            }
        }
        Ok(())
    }

    fn quiet(&self, seconds: u64) -> (Outcome, f64) {
        let before = self.front.cpu();
        let time = Duration::from_secs(seconds);
        let plan = Plan {
            front: self.front.address,
            rate: Some(QUIET),
            time,
            connections: 16,
            tenant: Some("quiet"),
        };
        let outcome = load::run(&plan);
        (outcome, (self.front.cpu() - before) / seconds as f64)
    }
}

/// A neighbour that goes on until it is told to stop; `work` is called again and again.
fn neighbour(
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

/// Connections held open: one byte of a head a second, or a body that never ends.
fn hold(front: SocketAddr, stop: &AtomicBool) {
    let mut open: Vec<TcpStream> = Vec::new();
    let body = "POST /sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 65000\r\n\r\n";
    for i in 0..200 {
        let Ok(mut stream) = TcpStream::connect(front) else {
            break;
        };
        let _ = stream.set_nonblocking(true);
        let _ = stream.write_all(if i % 2 == 0 { b"G" } else { body.as_bytes() });
        open.push(stream);
    }
    let until = Instant::now() + Duration::from_millis(3500);
    while Instant::now() < until && !stop.load(Ordering::Relaxed) {
        for (i, stream) in open.iter_mut().enumerate() {
            let bytes: &[u8] = if i % 2 == 0 { b"E" } else { &[b'x'; 8000] };
            let _ = stream.write(bytes);
            let _ = stream.read(&mut [0; 512]);
        }
        thread::sleep(Duration::from_millis(500));
    }
}

/// Rounds of the quiet tenant alone and beside each neighbour, in turn.
pub fn run(program: &Path, seconds: u64, rounds: usize) -> std::io::Result<()> {
    let world = nodes::start()?;
    let service = Service::start(program, &world)?;
    let front = service.front.address;
    println!(
        "| quiet tenant, {QUIET} a second | done | not played | p50 us | p99 us | front's CPU |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let row = |name: &str, (outcome, cpu): (Outcome, f64)| {
        let us = |q: f64| outcome.waits.value_at_quantile(q);
        let all = outcome.set_ups + outcome.wrong;
        println!(
            "| {name} | {} | {:.2}% | {} | {} | {:.0}% |",
            outcome.set_ups,
            outcome.wrong as f64 * 100.0 / all.max(1) as f64,
            us(0.5),
            us(0.99),
            cpu * 100.0
        );
    };
    // Idle tenants first, in a front that has done nothing else yet.
    row("among 2 tenants", service.quiet(seconds));
    let empty = service.front.memory();
    let began = Instant::now();
    // With a thousandth of a share each, so that the two keep a third of the front each.
    service.create(
        &(0..1000).map(|i| format!("idle-{i}")).collect::<Vec<_>>(),
        0.001,
    )?;
    println!(
        "\n1,000 tenants made in {:.1} s, one call and one transaction each",
        began.elapsed().as_secs_f64()
    );
    thread::sleep(Duration::from_millis(500));
    let now = service.front.memory();
    row("among 1,002 tenants", service.quiet(seconds));
    row("among 1,002 tenants", service.quiet(seconds));
    println!("front's memory: {empty:.0} kB among 2 tenants, {now:.0} kB among 1,002");
    let beside = |name: &str, begin: &dyn Fn(&Arc<AtomicBool>)| {
        row("alone", service.quiet(seconds));
        let stop = Arc::new(AtomicBool::new(false));
        begin(&stop);
        thread::sleep(Duration::from_millis(500));
        row(name, service.quiet(seconds));
        stop.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(4500));
    };
    for _ in 0..rounds {
        beside("beside one at ten times its share", &|stop| {
            neighbour(stop, 1, move |_| {
                let (rate, time) = (Some(10.0 * SET_UPS / 2.0), Duration::from_secs(1));
                load::run(&Plan {
                    front,
                    rate,
                    time,
                    connections: 64,
                    tenant: Some("loud"),
                });
            });
        });
        beside(
            "beside 800 connections, slow heads, bodies without end",
            &|stop| {
                neighbour(stop, 4, move |stop| hold(front, stop));
            },
        );
        beside("beside one that hammers the administration", &|stop| {
            let (admin, token) = (service.admin.address, service.token.clone());
            neighbour(stop, 1, move |_| {
                drop(call(admin, &token, "GET", "/tenants/loud", ""))
            });
        });
    }
    Ok(())
}

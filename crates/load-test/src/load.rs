//! The load: set-ups, each followed by the session's end, on persistent connections. At a fixed rate, latency is
//! measured from the time at which a set-up was due rather than sent, so that the delay of a director that falls behind
//! is not omitted.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use hdrhistogram::Histogram;
use shalewall_http::Limits;
use shalewall_http::client::{Call, Connection};
use shalewall_http::pool::Pool;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A load on one director.
pub struct Plan {
    pub director: SocketAddr,
    /// Set-ups a second over all connections. Without a rate each connection sends its next set-up as soon as the last
    /// session has ended.
    pub rate: Option<f64>,
    pub duration: Duration,
    pub connections: usize,
    /// The tenant that the viewers belong to, on a director with tenants.
    pub tenant: Option<&'static str>,
}

/// Results of a load.
pub struct Outcome {
    pub set_ups: u64,
    /// Set-ups that got a status other than 201 or no answer.
    pub errors: u64,
    /// Latency of all set-ups, errors included.
    pub latencies_us: Histogram<u64>,
    pub duration: Duration,
}

impl Outcome {
    fn new() -> Outcome {
        let latencies_us = Histogram::new_with_bounds(1, 60_000_000, 3)
            .expect("bounds of a minute at three digits are valid");
        Outcome {
            set_ups: 0,
            errors: 0,
            latencies_us,
            duration: Duration::ZERO,
        }
    }
}

type ClientConnection = Connection<Async<TcpStream>>;

async fn connect(to: SocketAddr) -> Option<ClientConnection> {
    Pool::new(to, Limits::default(), Duration::ZERO, 0)
        .connect()
        .await
        .ok()
}

/// Sets one session up and returns its number; nothing if that failed.
async fn set_up(
    director: &mut ClientConnection,
    viewer: &str,
    tenant: Option<&str>,
) -> Option<u64> {
    let tenant_field = tenant.map_or(String::new(), |t| format!("\"tenant\":\"{t}\","));
    let body = format!(
        "{{{tenant_field}\"viewer\":\"{viewer}\",\"class\":\"report\",\"title\":\"t\",\"wait_ms\":4000}}"
    );
    let field = tenant.map(|name| ("Shalewall-Tenant", name));
    let call = Call::new("POST", "/sessions", "front")
        .fields(field.as_slice())
        .json(body.as_bytes());
    let answer = director.call(&call).await.ok()?;
    let reply: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    (answer.head.status == 201).then(|| reply["session"].as_u64())?
}

async fn run_connection(
    plan: Rc<Plan>,
    number: usize,
    started_at: Instant,
    outcome: Rc<RefCell<Outcome>>,
) {
    let Some(mut director) = connect(plan.director).await else {
        return;
    };
    let mut sent = 0u64;
    loop {
        let due = match plan.rate {
            None => Instant::now(),
            Some(rate) => {
                let sequence_number = sent * plan.connections as u64 + number as u64;
                let due = started_at + Duration::from_secs_f64(sequence_number as f64 / rate);
                Timer::at(due).await;
                due
            }
        };
        if due.duration_since(started_at) >= plan.duration {
            return;
        }
        let session = set_up(&mut director, &format!("v{number}-{sent}"), plan.tenant).await;
        sent += 1;
        let latency_us = due.elapsed().as_micros() as u64;
        {
            let mut outcome = outcome.borrow_mut();
            outcome.set_ups += u64::from(session.is_some());
            outcome.errors += u64::from(session.is_none());
            outcome.latencies_us.saturating_record(latency_us);
        }
        if let Some(session) = session {
            let target = format!("/sessions/{session}");
            let end_call = Call::new("DELETE", &target, "front");
            let _ = director.call(&end_call).await;
        }
        if !director.reusable() {
            let Some(next) = connect(plan.director).await else {
                return;
            };
            director = next;
        }
    }
}

/// Runs a load against a director.
pub fn run(plan: &Plan) -> Outcome {
    let Plan {
        director,
        rate,
        duration,
        connections,
        tenant,
    } = *plan;
    let plan = Rc::new(Plan {
        director,
        rate,
        duration,
        connections,
        tenant,
    });
    let executor = LocalExecutor::new();
    let outcome = Rc::new(RefCell::new(Outcome::new()));
    let started_at = Instant::now() + Duration::from_millis(20);
    let tasks: Vec<_> = (0..connections)
        .map(|n| executor.spawn(run_connection(plan.clone(), n, started_at, outcome.clone())))
        .collect();
    async_io::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    let mut outcome = outcome.replace(Outcome::new());
    outcome.duration = started_at.elapsed();
    outcome
}

/// Sends the same set-ups straight to a node, to measure the share of nodes and load generator in the latency.
pub fn run_direct(node: SocketAddr, duration: Duration, rate: f64) -> Outcome {
    let mut outcome = Outcome::new();
    let started_at = Instant::now();
    async_io::block_on(async {
        let Some(mut node) = connect(node).await else {
            return;
        };
        let body = b"{\"director\":0,\"class\":\"report\",\"title\":\"t\",\"rung\":1,\"kb\":900.0}";
        for sent in 0.. {
            let due = started_at + Duration::from_secs_f64(f64::from(sent) / rate);
            Timer::at(due).await;
            if due.duration_since(started_at) >= duration {
                return;
            }
            let target = format!("/sessions/{sent}/0");
            let call = Call::new("PUT", &target, "node").json(&body[..]);
            let ok = node.call(&call).await.is_ok();
            outcome.set_ups += u64::from(ok);
            outcome.errors += u64::from(!ok);
            outcome
                .latencies_us
                .saturating_record(due.elapsed().as_micros() as u64);
        }
    });
    outcome.duration = started_at.elapsed();
    outcome
}

/// Sets sessions up and leaves them playing: viewers `from` to `to`, exclusive.
pub fn hold_sessions(director: SocketAddr, from: usize, to: usize) {
    let executor = LocalExecutor::new();
    let next = Rc::new(RefCell::new(from));
    let tasks: Vec<_> = (0..32)
        .map(|_| {
            let next = next.clone();
            executor.spawn(async move {
                let Some(mut director) = connect(director).await else {
                    return;
                };
                loop {
                    let number = next.replace_with(|n| *n + 1);
                    if number >= to
                        || set_up(&mut director, &format!("held-{number}"), None)
                            .await
                            .is_none()
                    {
                        return;
                    }
                }
            })
        })
        .collect();
    async_io::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
}

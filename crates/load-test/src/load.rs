//! The load: set-ups, each followed by its end, on kept connections. At a stated rate the wait is counted
//! from when a set-up was due, not from when it could be sent, so that a front that falls behind shows it.

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

pub struct Plan {
    pub front: SocketAddr,
    /// Set-ups a second; absent: each connection sends its next when the last is answered.
    pub rate: Option<f64>,
    pub time: Duration,
    pub connections: usize,
    /// Whose viewers these are, on a front that is shared.
    pub tenant: Option<&'static str>,
}

pub struct Outcome {
    pub set_ups: u64,
    /// Answers that were not 201, or none.
    pub wrong: u64,
    /// Microseconds.
    pub waits: Histogram<u64>,
    pub time: Duration,
}

impl Outcome {
    fn new() -> Outcome {
        let waits = Histogram::new_with_bounds(1, 60_000_000, 3).expect("a minute at three digits");
        Outcome {
            set_ups: 0,
            wrong: 0,
            waits,
            time: Duration::ZERO,
        }
    }
}

type Kept = Connection<Async<TcpStream>>;

async fn connect(to: SocketAddr) -> Option<Kept> {
    Pool::new(to, Limits::default(), Duration::ZERO, 0)
        .connect()
        .await
        .ok()
}

/// One set-up; its session, where it plays.
async fn set_up(front: &mut Kept, viewer: &str, tenant: Option<&str>) -> Option<u64> {
    let named = tenant.map_or(String::new(), |t| format!("\"tenant\":\"{t}\","));
    let body = format!(
        "{{{named}\"viewer\":\"{viewer}\",\"class\":\"report\",\"title\":\"t\",\"wait_ms\":4000}}"
    );
    let field = tenant.map(|name| ("Shalewall-Tenant", name));
    let call = Call::new("POST", "/sessions", "front")
        .fields(field.as_slice())
        .json(body.as_bytes());
    let answer = front.call(&call).await.ok()?;
    let said: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    (answer.head.status == 201).then(|| said["session"].as_u64())?
}

async fn one(plan: Rc<Plan>, number: usize, began: Instant, outcome: Rc<RefCell<Outcome>>) {
    let Some(mut front) = connect(plan.front).await else {
        return;
    };
    let mut sent = 0u64;
    loop {
        let due = match plan.rate {
            None => Instant::now(),
            Some(rate) => {
                let place = sent * plan.connections as u64 + number as u64;
                let due = began + Duration::from_secs_f64(place as f64 / rate);
                Timer::at(due).await;
                due
            }
        };
        if due.duration_since(began) >= plan.time {
            return;
        }
        let session = set_up(&mut front, &format!("v{number}-{sent}"), plan.tenant).await;
        sent += 1;
        let waited = due.elapsed().as_micros() as u64;
        {
            let mut outcome = outcome.borrow_mut();
            outcome.set_ups += u64::from(session.is_some());
            outcome.wrong += u64::from(session.is_none());
            outcome.waits.saturating_record(waited);
        }
        if let Some(session) = session {
            let target = format!("/sessions/{session}");
            let end = Call::new("DELETE", &target, "front");
            let _ = front.call(&end).await;
        }
        if !front.reusable() {
            let Some(next) = connect(plan.front).await else {
                return;
            };
            front = next;
        }
    }
}

/// Loads a front.
pub fn run(plan: &Plan) -> Outcome {
    let Plan {
        front,
        rate,
        time,
        connections,
        tenant,
    } = *plan;
    let plan = Rc::new(Plan {
        front,
        rate,
        time,
        connections,
        tenant,
    });
    let ex = LocalExecutor::new();
    let outcome = Rc::new(RefCell::new(Outcome::new()));
    let began = Instant::now() + Duration::from_millis(20);
    let all: Vec<_> = (0..connections)
        .map(|n| ex.spawn(one(plan.clone(), n, began, outcome.clone())))
        .collect();
    async_io::block_on(ex.run(async {
        for one in all {
            one.await;
        }
    }));
    let mut outcome = outcome.replace(Outcome::new());
    outcome.time = began.elapsed();
    outcome
}

/// The same set-ups without a front, for what the nodes and this load take by themselves.
pub fn run_direct(node: SocketAddr, time: Duration, rate: f64) -> Outcome {
    let mut outcome = Outcome::new();
    let began = Instant::now();
    async_io::block_on(async {
        let Some(mut node) = connect(node).await else {
            return;
        };
        let body = b"{\"director\":0,\"class\":\"report\",\"title\":\"t\",\"rung\":1,\"kb\":900.0}";
        for sent in 0.. {
            let due = began + Duration::from_secs_f64(f64::from(sent) / rate);
            Timer::at(due).await;
            if due.duration_since(began) >= time {
                return;
            }
            let target = format!("/sessions/{sent}/0");
            let call = Call::new("PUT", &target, "node").json(&body[..]);
            let ok = node.call(&call).await.is_ok();
            outcome.set_ups += u64::from(ok);
            outcome.wrong += u64::from(!ok);
            outcome
                .waits
                .saturating_record(due.elapsed().as_micros() as u64);
        }
    });
    outcome.time = began.elapsed();
    outcome
}

/// Sets sessions up and leaves them playing, from number `from` to `to`.
pub fn hold(front: SocketAddr, from: usize, to: usize) {
    let ex = LocalExecutor::new();
    let next = Rc::new(RefCell::new(from));
    let all: Vec<_> = (0..32)
        .map(|_| {
            let next = next.clone();
            ex.spawn(async move {
                let Some(mut front) = connect(front).await else {
                    return;
                };
                loop {
                    let number = next.replace_with(|n| *n + 1);
                    if number >= to
                        || set_up(&mut front, &format!("held-{number}"), None)
                            .await
                            .is_none()
                    {
                        return;
                    }
                }
            })
        })
        .collect();
    async_io::block_on(ex.run(async {
        for one in all {
            one.await;
        }
    }));
}

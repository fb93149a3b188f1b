//! Fronts that are wrong on purpose, driven over sockets against the stand-ins: the auditor convicts each of
//! just the rule that it breaks, and finds nothing on the one that is not.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use serde_json::{Value, json};
use shalewall_audit::{Record, Rule, judge};
use shalewall_emulator::recorder::Recorder;
use shalewall_http::Limits;
use shalewall_http::client::{Call, Connection, Events, in_time};
use shalewall_http::pool::Pool;
use shalewall_http::server::{Reply, Request, serve};
use shalewall_scripted_days::{Emulation, endpoint, rules};
use shalewall_settings::{DayPlan, read};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Wrong {
    Nothing,
    /// Holds every third request for ever.
    Loses,
    /// Sets some paid sessions up at two nodes, one after the other.
    PaysTwice,
    /// Goes on sending to a node that it was told is draining.
    IgnoresDrains,
    /// Sends everything to a node that has just started.
    PushesCold,
    /// Plays paid sessions below their floor.
    UnderFloor,
    /// Gives every harmless set-up up once before it tries again.
    WastesAttempts,
}

struct Front {
    wrong: Wrong,
    nodes: Vec<SocketAddr>,
    next: Cell<u64>,
}

/// One set-up, given up after a millisecond where it is to be wasted. The media URL, if it plays.
async fn set_up(
    node: SocketAddr,
    session: u64,
    attempt: u32,
    ask: &Value,
    rung: usize,
    waste: bool,
) -> Option<String> {
    let pool = Pool::new(node, Limits::default(), Duration::ZERO, 0);
    let body = json!({ "director": 0, "class": ask["class"], "title": ask["title"], "rung": rung, "kb": 300.0 });
    let body = body.to_string();
    let (target, host) = (format!("/sessions/{session}/{attempt}"), node.to_string());
    let call = Call::new("PUT", &target, &host).json(body.as_bytes());
    let patience = Duration::from_millis(if waste { 5 } else { 3000 });
    let answer = in_time(patience, pool.call(&call)).await?.ok()?;
    let said: Value = serde_json::from_slice(&answer.body).ok()?;
    (answer.head.status == 201).then(|| said["media"].as_str().map(str::to_string))?
}

async fn answer(front: Rc<Front>, request: Request) -> Reply {
    if request.head.method != "POST" {
        return Reply::new(204);
    }
    let ask: Value = serde_json::from_slice(&request.body).unwrap();
    let session = front.next.get();
    front.next.set(session + 1);
    let paid = ask["class"] == "report";
    let at = |i: u64| front.nodes[(session + i) as usize % front.nodes.len()];
    let mut media = None;
    match front.wrong {
        Wrong::Loses if session.is_multiple_of(3) => futures_lite::future::pending().await,
        Wrong::PaysTwice if paid && session.is_multiple_of(3) => {
            media = set_up(at(0), session, 0, &ask, 1, false).await;
            // Time enough that the first is known to have been answered.
            Timer::after(Duration::from_millis(20)).await;
            media = set_up(at(1), session, 1, &ask, 1, false).await.or(media);
        }
        Wrong::WastesAttempts if !paid => {
            set_up(at(0), session, 0, &ask, 1, true).await;
            Timer::after(Duration::from_millis(30)).await;
            media = set_up(at(1), session, 1, &ask, 1, false).await;
        }
        Wrong::IgnoresDrains | Wrong::PushesCold => {
            media = set_up(front.nodes[0], session, 0, &ask, 1, false).await
        }
        Wrong::UnderFloor => media = set_up(at(0), session, 0, &ask, 0, false).await,
        _ => media = set_up(at(0), session, 0, &ask, 1, false).await,
    }
    match media {
        Some(media) => Reply::json(
            201,
            json!({ "session": session, "rung": 1, "media": media }).to_string(),
        ),
        None => Reply::json(502, json!({ "session": session }).to_string()),
    }
}

async fn run(ex: Rc<LocalExecutor<'static>>, emulation: &Emulation, wrong: Wrong) {
    let listener = Async::new(TcpListener::bind("127.0.0.1:0").unwrap()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    // Told of the list like any front, so that the list's side records what it was told.
    let pool = Pool::new(emulation.list_address, Limits::default(), Duration::ZERO, 0);
    let connection: Connection<_> = pool.connect().await.unwrap();
    let call = Call::new("GET", "/servers?director=0", "list");
    let (_, incoming) = connection.stream(&call).await.unwrap();
    ex.spawn(async move {
        let mut events = Events::new(incoming, 1 << 20);
        while events.next(Duration::from_secs(5)).await.is_some() {}
    })
    .detach();
    let ids = emulation.nodes.running();
    if wrong == Wrong::PushesCold {
        emulation.nodes.crash(ids[0]);
        // Until its socket is closed.
        Timer::after(Duration::from_millis(50)).await;
        emulation
            .nodes
            .start(emulation.nodes.machine(ids[0]).unwrap(), false)
            .unwrap();
        emulation
            .list
            .publish_now(endpoint(&emulation.nodes, ids[0], "ready").unwrap());
    }
    if wrong == Wrong::IgnoresDrains {
        emulation
            .list
            .publish_now(endpoint(&emulation.nodes, ids[0], "draining").unwrap());
    }
    let nodes = ids
        .iter()
        .map(|id| emulation.nodes.address(*id).unwrap())
        .collect();
    let front = Rc::new(Front {
        wrong,
        nodes,
        next: Cell::new(1),
    });
    let spawner = ex.clone();
    ex.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let front = front.clone();
            let served = async move {
                serve(stream, &Limits::default(), |r| answer(front.clone(), r)).await;
            };
            spawner.spawn(served).detach();
        }
    })
    .detach();
    // As the day does: the director is up, and its node streams stand in for its lease.
    emulation.recorder.record(Record::DirectorStarted {
        time: shalewall_clock::now(),
        director: 0,
    });
    emulation.viewers.set_director(0, address);
    emulation.viewers.run_arrivals(Duration::from_secs(3)).await;
    Timer::after(Duration::from_millis(5500)).await;
}

fn findings(wrong: Wrong) -> Vec<Rule> {
    let file = Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../days/short-bad-day.hcl"
    ));
    let mut plan: DayPlan = read(file).unwrap();
    (plan.day.directors, plan.load.per_s) = (1, 25.0);
    (
        plan.load.min_length_s,
        plan.load.max_length_s,
        plan.load.retry_fraction,
    ) = (0.5, 1.5, 0.0);
    // Seats are not what these fronts are wrong about.
    plan.site
        .classes
        .get_mut("report")
        .unwrap()
        .session_limit_per_title = 0;
    plan.site.classes.get_mut("report").unwrap().deadline_ms = 2000.0;
    plan.site.classes.get_mut("room").unwrap().deadline_ms = 2000.0;
    let recorder = Recorder::memory();
    let ex = Rc::new(LocalExecutor::new());
    async_io::block_on(ex.run(async {
        let emulation = Emulation::start(&ex, &plan, recorder.clone(), None).unwrap();
        run(ex.clone(), &emulation, wrong).await;
    }));
    let verdict = judge(&recorder.records(), &rules(&plan));
    let mut found: Vec<Rule> = verdict.findings.iter().map(|f| f.rule).collect();
    println!("{wrong:?}\n{verdict}");
    found.sort();
    found.dedup();
    found
}

#[test]
fn each_wrong_front_is_convicted_of_just_its_rule() {
    let table = [
        (Wrong::Nothing, vec![]),
        (Wrong::Loses, vec![Rule::OneAnswer]),
        (Wrong::PaysTwice, vec![Rule::NoDuplicateSetUp]),
        (Wrong::IgnoresDrains, vec![Rule::Draining]),
        (Wrong::PushesCold, vec![Rule::SlowStart]),
        (Wrong::UnderFloor, vec![Rule::FloorsAndSeats]),
        (Wrong::WastesAttempts, vec![Rule::RetryBudget]),
    ];
    let runs: Vec<_> = table
        .into_iter()
        .map(|(wrong, rules)| (wrong, rules, std::thread::spawn(move || findings(wrong))))
        .collect();
    for (wrong, rules, run) in runs {
        assert_eq!(run.join().unwrap(), rules, "{wrong:?}");
    }
}

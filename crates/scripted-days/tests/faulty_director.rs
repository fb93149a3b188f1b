//! Directors with an injected fault run against the emulated nodes: the audit must report exactly the rule that the
//! fault violates, and no violation for a director without a fault.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use serde_json::{Value, json};
use shalewall_audit::{Record, Rule, judge};
use shalewall_emulator::recorder::Recorder;
use shalewall_http::Limits;
use shalewall_http::client::{Call, Connection, EventStream, with_timeout};
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
enum DirectorFault {
    Faultless,
    /// Never answers every third request.
    DropsAnswers,
    /// Sets up some paid sessions at two nodes, one after the other.
    DuplicatesPaidSetUps,
    /// Keeps sending to a node after the notification that it is draining.
    IgnoresDraining,
    /// Sends everything to a node that has just started.
    OverloadsColdNode,
    /// Plays paid sessions below the floor of their class.
    IgnoresRungFloor,
    /// Abandons the first attempt of every idempotent set-up and retries it.
    WastesAttempts,
}

struct FaultyDirector {
    fault: DirectorFault,
    nodes: Vec<SocketAddr>,
    next: Cell<u64>,
}

/// Sends one set-up, and with `abandon` closes it after 5 ms. Returns the media URL if the session plays.
async fn set_up(
    node: SocketAddr,
    session: u64,
    attempt: u32,
    request_body: &Value,
    rung: usize,
    abandon: bool,
) -> Option<String> {
    let pool = Pool::new(node, Limits::default(), Duration::ZERO, 0);
    let body = json!({
        "director": 0, "class": request_body["class"], "title": request_body["title"], "rung": rung, "kb": 300.0,
    });
    let body = body.to_string();
    let (target, host) = (format!("/sessions/{session}/{attempt}"), node.to_string());
    let call = Call::new("PUT", &target, &host).json(body.as_bytes());
    let timeout = Duration::from_millis(if abandon { 5 } else { 3000 });
    let response = with_timeout(timeout, pool.call(&call)).await?.ok()?;
    let response_body: Value = serde_json::from_slice(&response.body).ok()?;
    (response.head.status == 201).then(|| response_body["media"].as_str().map(str::to_string))?
}

async fn handle_request(faulty_director: Rc<FaultyDirector>, request: Request) -> Reply {
    if request.head.method != "POST" {
        return Reply::new(204);
    }
    let request_body: Value = serde_json::from_slice(&request.body).unwrap();
    let session = faulty_director.next.get();
    faulty_director.next.set(session + 1);
    let paid = request_body["class"] == "report";
    let node_at =
        |i: u64| faulty_director.nodes[(session + i) as usize % faulty_director.nodes.len()];
    let mut media = None;
    match faulty_director.fault {
        DirectorFault::DropsAnswers if session.is_multiple_of(3) => {
            futures_lite::future::pending().await
        }
        DirectorFault::DuplicatesPaidSetUps if paid && session.is_multiple_of(3) => {
            media = set_up(node_at(0), session, 0, &request_body, 1, false).await;
            // Lets the first response be recorded before the second set-up.
            Timer::after(Duration::from_millis(20)).await;
            media = set_up(node_at(1), session, 1, &request_body, 1, false)
                .await
                .or(media);
        }
        DirectorFault::WastesAttempts if !paid => {
            set_up(node_at(0), session, 0, &request_body, 1, true).await;
            Timer::after(Duration::from_millis(30)).await;
            media = set_up(node_at(1), session, 1, &request_body, 1, false).await;
        }
        DirectorFault::IgnoresDraining | DirectorFault::OverloadsColdNode => {
            media = set_up(
                faulty_director.nodes[0],
                session,
                0,
                &request_body,
                1,
                false,
            )
            .await
        }
        DirectorFault::IgnoresRungFloor => {
            media = set_up(node_at(0), session, 0, &request_body, 0, false).await
        }
        _ => media = set_up(node_at(0), session, 0, &request_body, 1, false).await,
    }
    match media {
        Some(media) => Reply::json(
            201,
            json!({ "session": session, "rung": 1, "media": media }).to_string(),
        ),
        None => Reply::json(502, json!({ "session": session }).to_string()),
    }
}

async fn run_day(
    executor: Rc<LocalExecutor<'static>>,
    emulation: &Emulation,
    fault: DirectorFault,
) {
    let listener = Async::new(TcpListener::bind("127.0.0.1:0").unwrap()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    // Subscribes to the endpoint list like any director, so that the list records its notifications.
    let pool = Pool::new(emulation.list_address, Limits::default(), Duration::ZERO, 0);
    let connection: Connection<_> = pool.connect().await.unwrap();
    let call = Call::new("GET", "/servers?director=0", "list");
    let (_, incoming) = connection.stream(&call).await.unwrap();
    executor
        .spawn(async move {
            let mut events = EventStream::new(incoming, 1 << 20);
            while events.next(Duration::from_secs(5)).await.is_some() {}
        })
        .detach();
    let ids = emulation.nodes.running();
    if fault == DirectorFault::OverloadsColdNode {
        emulation.nodes.crash(ids[0]);
        // Waits until its socket is closed.
        Timer::after(Duration::from_millis(50)).await;
        emulation
            .nodes
            .start(emulation.nodes.machine(ids[0]).unwrap(), false)
            .unwrap();
        emulation
            .list
            .publish_now(endpoint(&emulation.nodes, ids[0], "ready").unwrap());
    }
    if fault == DirectorFault::IgnoresDraining {
        emulation
            .list
            .publish_now(endpoint(&emulation.nodes, ids[0], "draining").unwrap());
    }
    let nodes = ids
        .iter()
        .map(|id| emulation.nodes.address(*id).unwrap())
        .collect();
    let faulty_director = Rc::new(FaultyDirector {
        fault,
        nodes,
        next: Cell::new(1),
    });
    let connection_executor = executor.clone();
    executor
        .spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let faulty_director = faulty_director.clone();
                let served = async move {
                    serve(stream, &Limits::default(), |r| {
                        handle_request(faulty_director.clone(), r)
                    })
                    .await;
                };
                connection_executor.spawn(served).detach();
            }
        })
        .detach();
    // Records the start of the director, as a scripted day does. It opens no event stream at the nodes, so none of its
    // leases expires there.
    emulation.recorder.record(Record::DirectorStarted {
        time: shalewall_clock::now(),
        director: 0,
    });
    emulation.viewers.set_director(0, address);
    emulation.viewers.run_arrivals(Duration::from_secs(3)).await;
    Timer::after(Duration::from_millis(5500)).await;
}

fn violated_rules(fault: DirectorFault) -> Vec<Rule> {
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
    // These faults do not concern seats.
    plan.site
        .classes
        .get_mut("report")
        .unwrap()
        .session_limit_per_title = 0;
    plan.site.classes.get_mut("report").unwrap().deadline_ms = 2000.0;
    plan.site.classes.get_mut("room").unwrap().deadline_ms = 2000.0;
    let recorder = Recorder::memory();
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let emulation = Emulation::start(&executor, &plan, recorder.clone(), None).unwrap();
        run_day(executor.clone(), &emulation, fault).await;
    }));
    let verdict = judge(&recorder.records(), &rules(&plan));
    let mut violated: Vec<Rule> = verdict.findings.iter().map(|f| f.rule).collect();
    println!("{fault:?}\n{verdict}");
    violated.sort();
    violated.dedup();
    violated
}

#[test]
fn the_audit_reports_only_the_rule_that_a_faulty_director_violates() {
    let table = [
        (DirectorFault::Faultless, vec![]),
        (DirectorFault::DropsAnswers, vec![Rule::OneAnswer]),
        (
            DirectorFault::DuplicatesPaidSetUps,
            vec![Rule::NoDuplicateSetUp],
        ),
        (DirectorFault::IgnoresDraining, vec![Rule::Draining]),
        (DirectorFault::OverloadsColdNode, vec![Rule::SlowStart]),
        (DirectorFault::IgnoresRungFloor, vec![Rule::FloorsAndSeats]),
        (DirectorFault::WastesAttempts, vec![Rule::RetryBudget]),
    ];
    let runs: Vec<_> = table
        .into_iter()
        .map(|(fault, rules)| {
            (
                fault,
                rules,
                std::thread::spawn(move || violated_rules(fault)),
            )
        })
        .collect();
    for (fault, rules, handle) in runs {
        assert_eq!(handle.join().unwrap(), rules, "{fault:?}");
    }
}

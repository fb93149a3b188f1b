//! Nodes that answer at once, and a list that names them, on a thread of their own.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{StreamExt, future, stream};
use shalewall_http::Limits;
use shalewall_http::server::{Reply, Request, serve};
use shalewall_http::sse;
use shalewall_settings::{ServerConfig, parse};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

const NODES: usize = 4;

pub struct Addresses {
    pub nodes: Vec<SocketAddr>,
    pub list: SocketAddr,
}

/// A stream of this event and then of beats.
fn events(first: &str, data: &str) -> Reply {
    let mut bytes = Vec::new();
    sse::write_event(&mut bytes, first, data);
    let beats = stream::unfold((), |()| async {
        Timer::after(Duration::from_millis(500)).await;
        Some((sse::KEEP_ALIVE.to_vec(), ()))
    });
    Reply::new(200)
        .with_field("Content-Type", "text/event-stream")
        .stream(stream::once(bytes).chain(beats))
}

async fn node(request: Request) -> Reply {
    let head = &request.head;
    match (head.method.as_str(), head.path()) {
        ("PUT", path) => {
            let text = format!("{{\"media\":\"http://127.0.0.1:9{path}/media\"}}");
            Reply::json(201, text)
                .with_field("Shalewall-Load", "streams=5, link=0.1000, uplink=0.1000")
        }
        ("GET", "/events") => events("held", "[]"),
        _ => Reply::new(204).with_field("Shalewall-Load", "streams=5, link=0.1000, uplink=0.1000"),
    }
}

fn list(nodes: &[SocketAddr]) -> String {
    let line = |(i, a): (usize, &SocketAddr)| {
        format!(
            "{{\"server\":{i},\"address\":\"{a}\",\"kind\":\"box\",\"cell\":{i},\"standing\":\"ready\"}}"
        )
    };
    let lines: Vec<_> = nodes.iter().enumerate().map(line).collect();
    format!("[{}]", lines.join(","))
}

pub fn start() -> std::io::Result<Addresses> {
    let listeners: Vec<_> = (0..=NODES)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let mut nodes: Vec<SocketAddr> = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<_, _>>()?;
    let list_address = nodes.remove(0);
    let told = list(&nodes);
    let (ready, wait) = mpsc::channel();
    std::thread::spawn(move || {
        let ex = Rc::new(LocalExecutor::new());
        for (i, listener) in listeners.into_iter().enumerate() {
            let (spawner, told) = (ex.clone(), told.clone());
            let accept = async move {
                let listener = Async::new(listener).expect("a listener can be polled");
                let limits = Rc::new(Limits::default());
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.get_ref().set_nodelay(true);
                    let (limits, told) = (limits.clone(), told.clone());
                    let served = async move {
                        serve(stream, &limits, |request| {
                            let told = told.clone();
                            async move {
                                if i == 0 {
                                    events("full", &told)
                                } else {
                                    node(request).await
                                }
                            }
                        })
                        .await;
                    };
                    spawner.spawn(served).detach();
                }
            };
            ex.spawn(accept).detach();
        }
        let _ = ready.send(());
        async_io::block_on(ex.run(future::pending::<()>()));
    });
    let _ = wait.recv();
    Ok(Addresses {
        nodes,
        list: list_address,
    })
}

/// A site that turns nobody away, so that all that is asked is set up.
pub fn front_settings(list: SocketAddr) -> std::io::Result<String> {
    let text = format!(
        r#"
        front {{
          listen = "127.0.0.1:0"
          list = "{list}"
          number = 0
          directors = 1
          most_sessions = 1000000
        }}
        site {{
          kind "box" {{ places = 1000000 }}
          class "report" {{
            paid = true
            aim_ms = 1000
            give_up_ms = 4000
            worth = 1
          }}
          ladder = [{{ kb = 300, worth = 0.4 }}, {{ kb = 900, worth = 1 }}]
          layout {{ cells = {NODES} }}
          link {{ kb_per_weight = 1000000000 }}
          rules {{
            drain_within_ms = 250
            answer_slack_ms = 50
            warm_after_ms = 1
            start_capacity = 1
            overload_factor = 3
            fall_ms = 1000
          }}
          limits {{ max_attempts = 3 }}
          title "t" {{
            home = 0
            spread = {NODES}
          }}
        }}
        "#
    );
    let plan: ServerConfig = parse("measure", &text).map_err(|e| {
        std::io::Error::other(
            e.iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("; "),
        )
    })?;
    hcl::to_string(&plan).map_err(std::io::Error::other)
}

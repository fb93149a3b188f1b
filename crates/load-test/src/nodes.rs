//! Media nodes that answer without delay, and the endpoint list that names them, on a thread of their own.

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

const NODE_COUNT: usize = 4;

/// Addresses of the nodes and of the endpoint list.
pub struct Addresses {
    pub nodes: Vec<SocketAddr>,
    pub list: SocketAddr,
}

/// An event stream of one event, followed by keep-alives.
fn event_stream(event: &str, data: &str) -> Reply {
    let mut bytes = Vec::new();
    sse::write_event(&mut bytes, event, data);
    let keep_alives = stream::unfold((), |()| async {
        Timer::after(Duration::from_millis(500)).await;
        Some((sse::KEEP_ALIVE.to_vec(), ()))
    });
    Reply::new(200)
        .with_field("Content-Type", "text/event-stream")
        .stream(stream::once(bytes).chain(keep_alives))
}

async fn answer_as_node(request: Request) -> Reply {
    let head = &request.head;
    match (head.method.as_str(), head.path()) {
        ("PUT", path) => {
            let text = format!("{{\"media\":\"http://127.0.0.1:9{path}/media\"}}");
            Reply::json(201, text)
                .with_field("Shalewall-Load", "streams=5, link=0.1000, uplink=0.1000")
        }
        ("GET", "/events") => event_stream("held", "[]"),
        _ => Reply::new(204).with_field("Shalewall-Load", "streams=5, link=0.1000, uplink=0.1000"),
    }
}

fn endpoint_list(nodes: &[SocketAddr]) -> String {
    let entry = |(i, a): (usize, &SocketAddr)| {
        format!(
            "{{\"server\":{i},\"address\":\"{a}\",\"kind\":\"box\",\"cell\":{i},\"standing\":\"ready\"}}"
        )
    };
    let entries: Vec<_> = nodes.iter().enumerate().map(entry).collect();
    format!("[{}]", entries.join(","))
}

/// Starts the nodes and the endpoint list and returns once they accept connections.
pub fn start() -> std::io::Result<Addresses> {
    let listeners: Vec<_> = (0..=NODE_COUNT)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let mut nodes: Vec<SocketAddr> = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<_, _>>()?;
    let list_address = nodes.remove(0);
    let entries = endpoint_list(&nodes);
    let (ready_sender, ready_receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        for (i, listener) in listeners.into_iter().enumerate() {
            let (spawner, entries) = (executor.clone(), entries.clone());
            let accept = async move {
                let listener = Async::new(listener).expect("a listener can be polled");
                let limits = Rc::new(Limits::default());
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.get_ref().set_nodelay(true);
                    let (limits, entries) = (limits.clone(), entries.clone());
                    let served = async move {
                        serve(stream, &limits, |request| {
                            let entries = entries.clone();
                            async move {
                                if i == 0 {
                                    event_stream("full", &entries)
                                } else {
                                    answer_as_node(request).await
                                }
                            }
                        })
                        .await;
                    };
                    spawner.spawn(served).detach();
                }
            };
            executor.spawn(accept).detach();
        }
        let _ = ready_sender.send(());
        async_io::block_on(executor.run(future::pending::<()>()));
    });
    let _ = ready_receiver.recv();
    Ok(Addresses {
        nodes,
        list: list_address,
    })
}

/// Settings of a director whose site has capacity for all requests, so that none is rejected.
pub fn director_settings(list: SocketAddr) -> std::io::Result<String> {
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
          layout {{ cells = {NODE_COUNT} }}
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
            spread = {NODE_COUNT}
          }}
        }}
        "#
    );
    let config: ServerConfig = parse("measure", &text).map_err(|e| {
        std::io::Error::other(
            e.iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("; "),
        )
    })?;
    hcl::to_string(&config).map_err(std::io::Error::other)
}

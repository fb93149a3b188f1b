//! The same exchange on hyper: a viewer's request, a set-up at a random node, and the answer. It has no decision logic,
//! no load accounting and no timers, so its cost is a lower bound for a director on hyper.

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::RngExt;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

struct State {
    nodes: Vec<SocketAddr>,
    client: Client<HttpConnector, Full<Bytes>>,
    /// The node of each session.
    sessions: RefCell<HashMap<u64, SocketAddr>>,
    next_session: RefCell<u64>,
}

fn answer(status: u16, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

async fn call(state: &State, method: Method, uri: String, body: String) -> Option<Value> {
    let request = Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let response = state.client.request(request).await.ok()?;
    let ok = response.status().is_success();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    ok.then(|| serde_json::from_slice(&body).unwrap_or_default())
}

async fn serve(
    state: Rc<State>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let path = request.uri().path().to_string();
    let is_post = request.method() == Method::POST;
    let body = request.into_body().collect().await?.to_bytes();
    if is_post {
        let Ok(viewer_request) = serde_json::from_slice::<Value>(&body) else {
            return Ok(answer(422, String::new()));
        };
        let session = state.next_session.replace_with(|n| *n + 1);
        let node = state.nodes[rand::rng().random_range(0..state.nodes.len())];
        let body = serde_json::json!({ "director": 0, "class": viewer_request["class"], "title": viewer_request["title"],
            "rung": 1, "kb": 900.0 });
        let uri = format!("http://{node}/sessions/{session}/0");
        let Some(reply) = call(&state, Method::PUT, uri, body.to_string()).await else {
            return Ok(answer(502, String::new()));
        };
        state.sessions.borrow_mut().insert(session, node);
        let body = serde_json::json!({ "session": session, "rung": 1, "media": reply["media"] });
        return Ok(answer(201, body.to_string()));
    }
    let session = path
        .strip_prefix("/sessions/")
        .and_then(|s| s.parse::<u64>().ok());
    let node = session.and_then(|s| state.sessions.borrow_mut().remove(&s));
    if let (Some(session), Some(node)) = (session, node) {
        let uri = format!("http://{node}/sessions/{session}/0");
        // Like the director, it answers the viewer without waiting for the node.
        let state = state.clone();
        tokio::task::spawn_local(async move {
            call(&state, Method::DELETE, uri, String::new()).await;
        });
    }
    Ok(answer(204, String::new()))
}

/// Serves until it is killed, and logs the listening address as the director does.
pub fn run(nodes: Vec<SocketAddr>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        eprintln!(
            "{}",
            serde_json::json!({ "fields": { "message": "listening", "address": address.to_string() } })
        );
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        let state = Rc::new(State { nodes, client, sessions: RefCell::default(), next_session: RefCell::new(1) });
        loop {
            let (stream, _) = listener.accept().await?;
            let _ = stream.set_nodelay(true);
            let state = state.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(move |request| serve(state.clone(), request));
                let builder = hyper::server::conn::http1::Builder::new();
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

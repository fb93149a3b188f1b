//! The API on a socket of its own.

use crate::api::Api;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future;
use rand::RngExt;
use shalewall_http::Limits;
use shalewall_http::server::{Reply, Request, serve};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Connections at most; further ones are closed at once.
const CONNECTIONS: usize = 1024;
/// A call for changes is held so long at most.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// The wall clock, milliseconds since 1970.
pub fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Listens, and answers for as long as the executor runs. Returns the address.
pub fn start(
    ex: &Rc<LocalExecutor<'static>>,
    listen: SocketAddr,
    api: Rc<Api>,
) -> std::io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(listen)?;
    let changed = Rc::new(Event::new());
    let address = listener.get_ref().local_addr()?;
    let (burying, wake) = (api.clone(), changed.clone());
    ex.spawn(async move {
        loop {
            Timer::after(Duration::from_secs(1)).await;
            match burying.bury(now()) {
                Ok(0) => {}
                Ok(buried) => {
                    tracing::info!(buried, "deleted tenants are gone, their ids are free");
                    wake.notify(usize::MAX);
                }
                Err(e) => tracing::error!(error = %e, "deleted tenants could not be looked at"),
            }
        }
    })
    .detach();
    let spawner = ex.clone();
    ex.spawn(async move {
        // A document with a hundred thousand titles is some 6 MB.
        let limits = Rc::new(Limits {
            body: 8 << 20,
            ..Limits::default()
        });
        let open = Rc::new(Cell::new(0usize));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(50)).await;
                continue;
            };
            if open.get() >= CONNECTIONS {
                continue;
            }
            open.set(open.get() + 1);
            let (api, limits, open, changed) =
                (api.clone(), limits.clone(), open.clone(), changed.clone());
            spawner
                .spawn(async move {
                    let answer = |request| answer(api.clone(), changed.clone(), request);
                    serve(stream, &limits, answer).await;
                    open.set(open.get() - 1);
                })
                .detach();
        }
    })
    .detach();
    Ok(address)
}

/// Answers a call. One for changes that names a `wait_ms` is held until there are some, for that time at most.
async fn answer(api: Rc<Api>, changed: Rc<Event>, request: Request) -> Reply {
    let wait = request
        .head
        .query("wait_ms")
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait).min(LONGEST_WAIT);
    let after = request
        .head
        .query("after")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let reply = loop {
        let news = changed.listen();
        let reply = api.answer(&request, now(), rand::rng().random());
        let waits = request.head.path() == "/changes" && reply.status == 200;
        if !waits
            || Instant::now() >= until
            || api
                .store
                .last_change_number()
                .is_ok_and(|last| last > after)
        {
            break reply;
        }
        let timer = async {
            Timer::at(until).await;
        };
        future::or(news, timer).await;
    };
    if request.head.method != "GET" && request.head.path() != "/usage" {
        changed.notify(usize::MAX);
    }
    tracing::info!(
        method = request.head.method,
        path = request.head.path(),
        status = reply.status,
        "administration"
    );
    reply
}

//! The API on a socket of its own.

use crate::api::Api;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use rand::RngExt;
use shalewall_http::Limits;
use shalewall_http::server::serve;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Connections at most; further ones are closed at once.
const CONNECTIONS: usize = 256;

/// The wall clock, milliseconds since 1970.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Listens, and answers for as long as the executor runs. Returns the address.
pub fn start(
    ex: &Rc<LocalExecutor<'static>>,
    listen: SocketAddr,
    api: Rc<Api>,
) -> std::io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(listen)?;
    let address = listener.get_ref().local_addr()?;
    let spawner = ex.clone();
    ex.spawn(async move {
        // A document with a hundred thousand titles is some 6 MB.
        let limits = Rc::new(Limits { body: 8 << 20, ..Limits::default() });
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
            let (api, limits, open) = (api.clone(), limits.clone(), open.clone());
            spawner
                .spawn(async move {
                    let answer = |request| {
                        let reply = api.answer(&request, now(), rand::rng().random());
                        tracing::info!(
                            method = request.head.method,
                            path = request.head.path(),
                            status = reply.status,
                            "administration"
                        );
                        std::future::ready(reply)
                    };
                    serve(stream, &limits, answer).await;
                    open.set(open.get() - 1);
                })
                .detach();
        }
    })
    .detach();
    Ok(address)
}

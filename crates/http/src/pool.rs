//! Kept connections to one peer.

use crate::Limits;
use crate::client::{Call, Connection, Failure, Response, Unconnected};
use async_io::Async;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Connections to one address that may be used again. Each carries one call at a time.
pub struct Pool {
    address: SocketAddr,
    limits: Limits,
    /// Idle connections are kept so long, and so many of them.
    idle_time: Duration,
    most_idle: usize,
    idle: RefCell<Vec<(Instant, Connection<Async<TcpStream>>)>>,
}

impl Pool {
    pub fn new(address: SocketAddr, limits: Limits, idle_time: Duration, most_idle: usize) -> Pool {
        Pool {
            address,
            limits,
            idle_time,
            most_idle,
            idle: RefCell::default(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes what is idle.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// A new connection, for content without an end.
    pub async fn connect(&self) -> Result<Connection<Async<TcpStream>>, Failure> {
        let made = Async::<TcpStream>::connect(self.address).await;
        let stream = made.map_err(|e| {
            Failure::NotConnected(Unconnected::of(&e), format!("no connection: {e}"))
        })?;
        // Small requests and answers: waiting to fill a segment would only add delay.
        let _ = stream.get_ref().set_nodelay(true);
        Ok(Connection::new(stream, self.limits.clone()))
    }

    async fn take(&self) -> Result<Connection<Async<TcpStream>>, Failure> {
        loop {
            let Some((since, mut kept)) = self.idle.borrow_mut().pop() else {
                return self.connect().await;
            };
            if since.elapsed() < self.idle_time && !kept.stale().await {
                return Ok(kept);
            }
        }
    }

    /// One call, on a kept connection where there is one. It is never sent twice: a kept connection that
    /// breaks under it is a failure like any other.
    pub async fn call(&self, call: &Call<'_>) -> Result<Response, Failure> {
        let mut connection = self.take().await?;
        let response = connection.call(call).await?;
        let mut idle = self.idle.borrow_mut();
        if connection.reusable() && idle.len() < self.most_idle {
            idle.push((Instant::now(), connection));
        }
        Ok(response)
    }
}

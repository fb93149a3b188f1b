//! A pool of idle connections to one address.

use crate::Limits;
use crate::client::{Call, CallError, ConnectErrorKind, Connection, Response};
use async_io::Async;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Reuses connections to one address. Each connection carries one call at a time.
pub struct Pool {
    address: SocketAddr,
    limits: Limits,
    /// How long an idle connection is kept.
    idle_timeout: Duration,
    /// Maximum number of idle connections.
    max_idle: usize,
    idle: RefCell<Vec<(Instant, Connection<Async<TcpStream>>)>>,
}

impl Pool {
    pub fn new(
        address: SocketAddr,
        limits: Limits,
        idle_timeout: Duration,
        max_idle: usize,
    ) -> Pool {
        Pool {
            address,
            limits,
            idle_timeout,
            max_idle,
            idle: RefCell::default(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Opens a new connection outside the pool, for content without an end.
    pub async fn connect(&self) -> Result<Connection<Async<TcpStream>>, CallError> {
        let connected = Async::<TcpStream>::connect(self.address).await;
        let stream = connected.map_err(|e| {
            CallError::NotConnected(ConnectErrorKind::of(&e), format!("connect failed: {e}"))
        })?;
        // Requests and answers are small, so Nagle's algorithm would only add latency.
        let _ = stream.get_ref().set_nodelay(true);
        Ok(Connection::new(stream, self.limits.clone()))
    }

    async fn checkout(&self) -> Result<Connection<Async<TcpStream>>, CallError> {
        loop {
            let Some((idle_since, mut connection)) = self.idle.borrow_mut().pop() else {
                return self.connect().await;
            };
            if idle_since.elapsed() < self.idle_timeout && !connection.is_closed_by_peer().await {
                return Ok(connection);
            }
        }
    }

    /// Executes one call, on an idle connection if there is one. The call is never sent twice: a reused connection
    /// that breaks during the call fails it like a new one.
    pub async fn call(&self, call: &Call<'_>) -> Result<Response, CallError> {
        let mut connection = self.checkout().await?;
        let response = connection.call(call).await?;
        let mut idle = self.idle.borrow_mut();
        if connection.reusable() && idle.len() < self.max_idle {
            idle.push((Instant::now(), connection));
        }
        Ok(response)
    }
}

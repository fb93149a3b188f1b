//! Drives the door: bytes from sockets, bytes to sockets, timers. One thread, no locks.

use crate::guard::{alone, caught};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use event_listener::{Event, IntoNotification};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use shalewall_clock::{TimeoutDriver, now};
use shalewall_http::client::{Unconnected, in_time};
use shalewall_platform_proto::{ConnectError, ConnectionId, DirectorProtocol, Output, Transmit};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, trace, warn};

/// So much is read at once.
const READ: usize = 4 * 1024;
/// Pause where a connection could not be taken.
const SHORT: Duration = Duration::from_millis(20);
/// A connection that takes no more is read so long at most: what came before its end is there, and so is the end.
const READ_OUT: Duration = Duration::from_secs(1);

/// Reads on into the room that is left for as long as there is something to read: what has come together is judged
/// together, before anything of it is passed on. Says how much there is now, and whether the connection broke.
fn more(mut stream: &TcpStream, buf: &mut [u8], mut filled: usize) -> (usize, bool) {
    while filled < buf.len() {
        match stream.read(&mut buf[filled..]) {
            // The end is read again, and found by whoever waits for more.
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => break,
            Err(_) => return (filled, true),
        }
    }
    (filled, false)
}

/// Whether nothing waits to be read: what a close would destroy.
fn quiet(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != ErrorKind::Interrupted,
    }
}

/// An open connection: what wakes its writer, and its task.
struct Open {
    kick: Rc<Event>,
    _task: Task<()>,
}

pub(crate) struct Hub {
    ex: Rc<LocalExecutor<'static>>,
    protocol: RefCell<DirectorProtocol>,
    conns: RefCell<BTreeMap<ConnectionId, Open>>,
    timeout_driver: TimeoutDriver,
}

impl Hub {
    pub fn new(ex: Rc<LocalExecutor<'static>>, protocol: DirectorProtocol) -> Rc<Hub> {
        let hub = Rc::new(Hub {
            ex: ex.clone(),
            protocol: RefCell::new(protocol),
            conns: RefCell::default(),
            timeout_driver: TimeoutDriver::default(),
        });
        ex.spawn(hub.clone().ring()).detach();
        hub
    }

    /// Works on the door, and carries out what it says then.
    pub fn with<T>(self: &Rc<Hub>, work: impl FnOnce(&mut DirectorProtocol) -> T) -> T {
        let done = work(&mut self.protocol.borrow_mut());
        self.pump();
        self.timeout_driver.update(self.next_timeout());
        done
    }

    fn pump(self: &Rc<Hub>) {
        loop {
            // Bound to a name, so that the borrow ends before the output is carried out.
            let output = self.protocol.borrow_mut().poll_output();
            match output {
                None => return,
                Some(Output::Open {
                    connection: conn,
                    address,
                    timeout: within,
                }) => {
                    let within = Duration::from_micros(within.max(0) as u64);
                    self.spawn(conn, |hub, kick| hub.node(conn, address, within, kick));
                }
                Some(Output::Write(conn)) => {
                    if let Some(open) = self.conns.borrow().get(&conn) {
                        open.kick.notify(1.relaxed());
                    }
                }
                // Dropping its task closes the socket.
                Some(Output::Close(conn)) => {
                    let open = self.conns.borrow_mut().remove(&conn);
                    drop(open);
                }
                Some(Output::Log(text)) => debug!(text, "door"),
            }
        }
    }

    fn spawn<F: Future<Output = ()> + 'static>(
        self: &Rc<Hub>,
        conn: ConnectionId,
        task: impl FnOnce(Rc<Hub>, Rc<Event>) -> F,
    ) {
        let kick = Rc::new(Event::new());
        let (hub, task) = (self.clone(), task(self.clone(), kick.clone()));
        let task = self.ex.spawn(async move {
            if alone(task).await.is_none() {
                caught(|| {
                    hub.with(|protocol| protocol.connection_closed(now().as_micros(), conn, false))
                });
            }
        });
        self.conns
            .borrow_mut()
            .insert(conn, Open { kick, _task: task });
    }

    /// Takes viewers' connections for as long as the process runs.
    pub async fn accept(self: Rc<Hub>, listener: Async<TcpListener>) {
        loop {
            let (stream, peer) = match listener.accept().await {
                Ok(taken) => taken,
                Err(e) => {
                    // Out of descriptors, most likely: what is open goes on, and this passes.
                    warn!(error = %e, "a connection could not be taken");
                    Timer::after(SHORT).await;
                    continue;
                }
            };
            // A crowd of connections is taken one by one: whoever is connected already has a turn in between.
            future::yield_now().await;
            let _ = stream.get_ref().set_nodelay(true);
            if let Some(conn) = caught(|| {
                self.with(|protocol| protocol.accept_viewer(now().as_micros(), peer.ip()))
            })
            .flatten()
            {
                self.spawn(conn, |hub, kick| hub.serve(conn, stream, kick));
            }
        }
    }

    /// A connection to a node, from its first packet on.
    async fn node(
        self: Rc<Hub>,
        conn: ConnectionId,
        address: SocketAddr,
        within: Duration,
        kick: Rc<Event>,
    ) {
        let failed =
            |why| self.with(|protocol| protocol.node_connect_failed(now().as_micros(), conn, why));
        match in_time(within, Async::<TcpStream>::connect(address)).await {
            Some(Ok(stream)) => {
                let _ = stream.get_ref().set_nodelay(true);
                self.with(|protocol| protocol.node_connected(now().as_micros(), conn));
                self.clone().serve(conn, stream, kick).await;
            }
            Some(Err(e)) => failed(match Unconnected::of(&e) {
                Unconnected::Refused => ConnectError::Refused,
                Unconnected::Own => ConnectError::LocalShortage,
                Unconnected::Unknown => ConnectError::Unreachable,
            }),
            None => failed(ConnectError::Unreachable),
        }
    }

    /// Carries bytes both ways until either side closes.
    async fn serve(self: Rc<Hub>, conn: ConnectionId, stream: Async<TcpStream>, kick: Rc<Event>) {
        let reads = async {
            let mut buf = [0; READ];
            let mut stream = &stream;
            loop {
                match stream.read(&mut buf).await {
                    Ok(0) => return true,
                    Err(_) => return false,
                    Ok(n) => {
                        let (n, broken) = more(stream.get_ref(), &mut buf, n);
                        trace!(?conn, bytes = %String::from_utf8_lossy(&buf[..n]), "heard");
                        self.with(|protocol| {
                            protocol.handle_bytes(now().as_micros(), conn, &buf[..n])
                        });
                        if broken {
                            return false;
                        }
                    }
                }
                // Who sends without a pause leaves turns to the others.
                future::yield_now().await;
            }
        };
        let broken = Cell::new(false);
        let writes = async {
            if self.write(conn, &stream, &kick).await {
                return true;
            }
            // It takes no more, and what came before that is still there: a client that says goodbye in many words and goes
            // resets the connection by the first answer. It is read to its end, which is there by now.
            broken.set(true);
            Timer::after(READ_OUT).await;
            false
        };
        let clean = future::or(reads, writes).await && !broken.get();
        debug!(?conn, clean, "closed");
        self.with(|protocol| protocol.connection_closed(now().as_micros(), conn, clean));
    }

    /// Writes what there is to say until this side is to close. False: the connection takes no more.
    async fn write(
        self: &Rc<Hub>,
        conn: ConnectionId,
        mut stream: &Async<TcpStream>,
        kick: &Event,
    ) -> bool {
        loop {
            let kicked = kick.listen();
            match self.with(|protocol| protocol.poll_transmit(now().as_micros(), conn)) {
                Transmit::Close => return true,
                Transmit::Wait => kicked.await,
                Transmit::CloseIfQuiet if quiet(stream.get_ref()) => return true,
                // What waits there is read in its turn.
                Transmit::CloseIfQuiet => kicked.await,
                Transmit::Finish => match stream.get_ref().shutdown(Shutdown::Write) {
                    Ok(()) => return future::pending().await,
                    Err(_) => return false,
                },
                Transmit::Bytes(bytes) => {
                    let sent = match stream.get_ref().write(&bytes) {
                        Ok(sent) => sent,
                        Err(e)
                            if matches!(
                                e.kind(),
                                ErrorKind::WouldBlock | ErrorKind::Interrupted
                            ) =>
                        {
                            self.with(|protocol| {
                                protocol.return_unwritten(now().as_micros(), conn, bytes)
                            });
                            if stream.writable().await.is_err() {
                                return false;
                            }
                            continue;
                        }
                        Err(_) => return false,
                    };
                    trace!(?conn, bytes = %String::from_utf8_lossy(&bytes), "said");
                    if sent < bytes.len() {
                        self.with(|protocol| protocol.partially_written(now().as_micros(), conn));
                    }
                    if stream.write_all(&bytes[sent..]).await.is_err() {
                        return false;
                    }
                }
            }
        }
    }

    fn next_timeout(&self) -> Option<shalewall::Timestamp> {
        let next = self.protocol.borrow().poll_timeout();
        next.map(shalewall::Timestamp::from_micros)
    }

    /// Rings the door's timers when they are due.
    async fn ring(self: Rc<Hub>) {
        let ring = || {
            caught(|| self.with(|protocol| protocol.handle_timeout(now().as_micros())));
        };
        self.timeout_driver.run(|| self.next_timeout(), ring).await;
    }
}

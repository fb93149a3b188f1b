//! The event loop: owner of the protocol's state machine and of the connections. One thread, no locks.
//!
//! Whoever has something for the state machine, be it a connection's bytes or a signal, gives it by
//! [`EventLoop::with_protocol`]. The loop then carries out what the state machine wants done: connections opened,
//! written or closed.

use crate::connection::{Connection, connect_node};
use crate::panics::{catch_panic, catch_task_panic};
use crate::protocol_log::log_protocol_event;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use event_listener::{Event, IntoNotification};
use shalewall::{TimeDelta, Timestamp};
use shalewall_clock::{TimeoutDriver, now, to_duration};
use shalewall_platform_proto::{ConnectionId, DirectorProtocol, Output};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};

/// The state machine, its connections and its timers.
pub(crate) struct EventLoop {
    /// Runs the connections' tasks. Owned by whoever runs the director: tasks hold the event loop, and an executor
    /// that it held would never be dropped, nor would they.
    executor: Weak<LocalExecutor<'static>>,
    protocol: RefCell<DirectorProtocol>,
    connections: RefCell<BTreeMap<ConnectionId, ConnectionHandle>>,
    timeout_driver: TimeoutDriver,
}

/// An open connection. Dropping it closes the socket.
struct ConnectionHandle {
    /// Wakes the connection when there is something to write.
    write_ready: Rc<Event>,
    _task: Task<()>,
}

impl EventLoop {
    pub fn new(executor: &Rc<LocalExecutor<'static>>, protocol: DirectorProtocol) -> Rc<EventLoop> {
        Rc::new(EventLoop {
            executor: Rc::downgrade(executor),
            protocol: RefCell::new(protocol),
            connections: RefCell::default(),
            timeout_driver: TimeoutDriver::default(),
        })
    }

    /// Gives the state machine something, and carries out what it wants done then.
    pub fn with_protocol<T>(
        self: &Rc<EventLoop>,
        work: impl FnOnce(&mut DirectorProtocol) -> T,
    ) -> T {
        let result = work(&mut self.protocol.borrow_mut());
        self.process_outputs();
        self.timeout_driver.update(self.next_timeout());
        result
    }

    /// Handles the state machine's timers when they are due, for as long as it is polled.
    pub async fn drive_timeouts(self: Rc<EventLoop>) {
        let handle_timeout = || {
            // A panic is in the log; the timer that it happened in does not come again.
            let _ = catch_panic(|| {
                self.with_protocol(|protocol| protocol.handle_timeout(now()));
            });
        };
        self.timeout_driver
            .run(|| self.next_timeout(), handle_timeout)
            .await;
    }

    /// Carries bytes between a viewer's connection and the state machine until either side closes it.
    pub fn serve_viewer(self: &Rc<EventLoop>, id: ConnectionId, stream: Async<TcpStream>) {
        let event_loop = self.clone();
        self.spawn_connection(id, |write_ready| {
            Connection::new(event_loop, id, stream, write_ready).run()
        });
    }

    fn next_timeout(&self) -> Option<Timestamp> {
        self.protocol.borrow().poll_timeout()
    }

    fn process_outputs(self: &Rc<EventLoop>) {
        loop {
            // A binding of its own ends the borrow before the output is carried out.
            let output = self.protocol.borrow_mut().poll_output();
            match output {
                None => return,
                Some(Output::Connect {
                    connection,
                    address,
                    timeout,
                }) => self.open_node_connection(connection, address, timeout),
                Some(Output::Write(id)) => self.notify_writer(id),
                Some(Output::Close(id)) => self.close_connection(id),
                Some(Output::Log(event)) => log_protocol_event(event),
            }
        }
    }

    fn open_node_connection(
        self: &Rc<EventLoop>,
        id: ConnectionId,
        address: SocketAddr,
        timeout: TimeDelta,
    ) {
        let event_loop = self.clone();
        self.spawn_connection(id, |write_ready| {
            connect_node(event_loop, id, address, to_duration(timeout), write_ready)
        });
    }

    fn notify_writer(&self, id: ConnectionId) {
        if let Some(handle) = self.connections.borrow().get(&id) {
            handle.write_ready.notify(1.relaxed());
        }
    }

    fn close_connection(&self, id: ConnectionId) {
        // A binding of its own ends the borrow before the task is dropped.
        let handle = self.connections.borrow_mut().remove(&id);
        drop(handle);
    }

    fn spawn_connection<F: Future<Output = ()> + 'static>(
        self: &Rc<EventLoop>,
        id: ConnectionId,
        task: impl FnOnce(Rc<Event>) -> F,
    ) {
        let Some(executor) = self.executor.upgrade() else {
            return; // The director is being dropped.
        };
        let write_ready = Rc::new(Event::new());
        let event_loop = self.clone();
        let task = task(write_ready.clone());
        let task = executor.spawn(async move {
            if catch_task_panic(task).await.is_err() {
                event_loop.report_closed_after_panic(id);
            }
        });
        let handle = ConnectionHandle {
            write_ready,
            _task: task,
        };
        self.connections.borrow_mut().insert(id, handle);
    }

    /// The connection is of no more use. A second panic on the way is in the log, too.
    fn report_closed_after_panic(self: &Rc<EventLoop>, id: ConnectionId) {
        let _ = catch_panic(|| {
            self.with_protocol(|protocol| {
                protocol.connection_closed(now(), id, false);
            });
        });
    }
}

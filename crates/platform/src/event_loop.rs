//! The event loop: owns the protocol's state machine and the connections. Single-threaded, without locks.
//!
//! All inputs for the state machine, such as received bytes or signals, go through [`EventLoop::with_protocol`]. The
//! loop then executes the outputs of the state machine: it opens, writes or closes connections.

use crate::connection::{Connection, connect_node};
use crate::panics::{catch_panic, catch_task_panic};
use crate::protocol_log::log_protocol_event;
use crate::receive::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use async_lock::Mutex;
use event_listener::{Event, IntoNotification};
use futures_lite::future;
use shalewall::{TimeDelta, Timestamp};
use shalewall_clock::{LoopClock, TimeoutDriver, now, to_duration};
use shalewall_platform_proto::{ConnectionId, DirectorProtocol, Output};
use std::cell::{Cell, RefCell, RefMut};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::rc::{Rc, Weak};

/// Number of bytes that are read at once.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// The state machine, its connections and its timers.
pub(crate) struct EventLoop {
    /// Runs the connections' tasks. A weak reference, because tasks hold the event loop: with a strong one the executor
    /// and its tasks would never be dropped.
    executor: Weak<LocalExecutor<'static>>,
    protocol: RefCell<DirectorProtocol>,
    connections: RefCell<BTreeMap<ConnectionId, ConnectionHandle>>,
    timeout_driver: TimeoutDriver,
    loop_clock: LoopClock,
    /// Held by the connection whose backlog is read next.
    backlog_turn: Mutex<()>,
    /// Shared by all connections, each of which handles what it reads at once.
    read_buffer: RefCell<Box<[u8; READ_BUFFER_BYTES]>>,
    /// The greatest age of received bytes since the previous call of [`EventLoop::take_lateness`].
    oldest_read: Cell<TimeDelta>,
}

/// How late the process handled events, for the log.
pub(crate) struct Lateness {
    /// The greatest age of bytes when they were read.
    pub oldest_read: TimeDelta,
    /// The longest time for which the process did not run, as far as a timer showed it.
    pub longest_pause: TimeDelta,
}

/// An open connection. Dropping it closes the socket.
struct ConnectionHandle {
    /// Wakes the connection when there may be bytes to write.
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
            loop_clock: LoopClock::new(now()),
            backlog_turn: Mutex::new(()),
            read_buffer: RefCell::new(Box::new([0; READ_BUFFER_BYTES])),
            oldest_read: Cell::new(TimeDelta::ZERO),
        })
    }

    /// Passes an input to the state machine, then executes its outputs and updates the timer.
    pub fn with_protocol<T>(
        self: &Rc<EventLoop>,
        work: impl FnOnce(&mut DirectorProtocol) -> T,
    ) -> T {
        let result = work(&mut self.protocol.borrow_mut());
        self.process_outputs();
        self.timeout_driver.update(self.next_timeout());
        result
    }

    /// Handles the state machine's timers when they are due, for as long as the future is polled.
    pub async fn drive_timeouts(self: Rc<EventLoop>) {
        let handle_timeout = || {
            // A panic is logged; the timer in which it occurred has been removed and does not fire again.
            let _ = catch_panic(|| {
                self.with_protocol(|protocol| protocol.handle_timeout(now()));
            });
        };
        self.timeout_driver
            .run(|| self.next_timeout(), handle_timeout)
            .await;
    }

    /// Polls a future that runs all tasks, and records the time of each turn.
    pub async fn record_turns<F: Future>(self: &Rc<EventLoop>, tasks: F) -> F::Output {
        let mut tasks = pin!(tasks);
        poll_fn(|context| {
            if self.loop_clock.begin_turn(now(), self.next_timeout()) {
                self.with_protocol(|protocol| protocol.begin_catch_up(now()));
            }
            let result = tasks.as_mut().poll(context);
            self.loop_clock.end_turn(now());
            result
        })
        .await
    }

    /// Time since which the events that are handled now may have happened.
    pub fn unseen_since(&self) -> Timestamp {
        self.loop_clock.unseen_since()
    }

    /// Waits until a connection may go on to read its backlog. Between two such reads, of any connections, all other
    /// tasks run that are ready: peers that send faster than they are read share the time of one.
    pub async fn wait_for_backlog_turn(&self) {
        let _turn = self.backlog_turn.lock().await;
        future::yield_now().await;
    }

    /// The buffer for a read. It must not be kept across a point at which other tasks may run.
    pub fn read_buffer(&self) -> RefMut<'_, [u8]> {
        RefMut::map(self.read_buffer.borrow_mut(), |buffer| {
            buffer.as_mut_slice()
        })
    }

    /// Records the age of bytes that were read.
    pub fn record_read(&self, age: TimeDelta) {
        self.oldest_read.set(self.oldest_read.get().max(age));
    }

    /// Returns the lateness since the previous call.
    pub fn take_lateness(&self) -> Lateness {
        Lateness {
            oldest_read: self.oldest_read.replace(TimeDelta::ZERO),
            longest_pause: self.loop_clock.take_longest_pause(),
        }
    }

    /// Transfers bytes between a viewer's connection and the state machine until either side closes it.
    pub fn serve_viewer(
        self: &Rc<EventLoop>,
        id: ConnectionId,
        stream: Async<TcpStream>,
        receiver: Receiver,
    ) {
        let event_loop = self.clone();
        self.spawn_connection(id, |write_ready| {
            Connection::new(event_loop, id, stream, receiver, write_ready).run()
        });
    }

    fn next_timeout(&self) -> Option<Timestamp> {
        self.protocol.borrow().poll_timeout()
    }

    fn process_outputs(self: &Rc<EventLoop>) {
        loop {
            // The separate binding ends the borrow before the output is executed.
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
        // The separate binding ends the borrow before the task is dropped.
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

    /// Reports a connection whose task panicked as closed. A second panic is only logged.
    fn report_closed_after_panic(self: &Rc<EventLoop>, id: ConnectionId) {
        let _ = catch_panic(|| {
            self.with_protocol(|protocol| {
                protocol.connection_closed(now(), id, false);
            });
        });
    }
}

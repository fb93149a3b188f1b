//! The endpoint list as an HTTP server: changes are pushed to every director with a delay, and outages can be injected.

use crate::recorder::Recorder;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::{Event, IntoNotification};
use futures_lite::{StreamExt, future, stream};
use serde::Serialize;
use shalewall_audit::{Record, Timestamp};
use shalewall_http::server::{Reply, Request, serve};
use shalewall_http::{Limits, sse};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Entry of the endpoint list, in its wire format.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EndpointEntry {
    /// Node id.
    pub server: u64,
    /// Socket address.
    pub address: String,
    /// Name of the zone.
    pub zone: String,
    /// Name of the machine kind.
    pub kind: String,
    /// Cell of the machine.
    pub cell: u64,
    /// `ready`, `draining` or `gone`.
    pub standing: &'static str,
    /// Load balancing weight.
    pub weight: f64,
    /// Unix time of the node's last start in microseconds; absent if the node has been warm from its start.
    pub started: Option<i64>,
}

type ListUpdate = (&'static str, Vec<EndpointEntry>);

struct Inner {
    entries: BTreeMap<u64, EndpointEntry>,
    subscribers: Vec<Sender<ListUpdate>>,
    is_down: bool,
}

/// Server of the endpoint list; clones share the same list.
#[derive(Clone)]
pub struct EndpointList {
    executor: Rc<LocalExecutor<'static>>,
    inner: Rc<RefCell<Inner>>,
    restored: Rc<Event>,
    recorder: Recorder,
    delay: Duration,
}

/// Interval at which an idle event stream carries a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

impl EndpointList {
    /// Starts the server on a free port.
    pub fn start(
        executor: Rc<LocalExecutor<'static>>,
        recorder: Recorder,
        delay: Duration,
    ) -> std::io::Result<(EndpointList, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let inner = Inner {
            entries: BTreeMap::new(),
            subscribers: Vec::new(),
            is_down: false,
        };
        let inner = Rc::new(RefCell::new(inner));
        let list = EndpointList {
            executor: executor.clone(),
            inner,
            restored: Rc::new(Event::new()),
            recorder,
            delay,
        };
        let accepting = list.clone();
        executor
            .spawn(async move {
                let limits = Rc::new(Limits::default());
                while let Ok((stream, _)) = listener.accept().await {
                    let (list, limits) = (accepting.clone(), limits.clone());
                    let served = async move {
                        serve(stream, &limits, |request| {
                            list.clone().handle_request(request)
                        })
                        .await;
                    };
                    accepting.executor.spawn(served).detach();
                }
            })
            .detach();
        Ok((list, address))
    }

    /// Adds or changes an entry after the list's delay.
    pub fn publish(&self, entry: EndpointEntry) {
        let list = self.clone();
        let delay = self.delay;
        self.executor
            .spawn(async move {
                Timer::after(delay).await;
                list.publish_now(entry);
            })
            .detach();
    }

    /// Adds or changes an entry without delay, for nodes that are known before the day begins.
    pub fn publish_now(&self, entry: EndpointEntry) {
        let mut inner = self.inner.borrow_mut();
        inner.entries.insert(entry.server, entry.clone());
        if !inner.is_down {
            inner
                .subscribers
                .retain(|f| f.try_send(("delta", vec![entry.clone()])).is_ok());
        }
    }

    /// Starts or ends an outage. At its end every subscriber is sent the complete list.
    pub fn set_outage(&self, is_down: bool) {
        let mut inner = self.inner.borrow_mut();
        inner.is_down = is_down;
        if !is_down {
            let entries: Vec<EndpointEntry> = inner
                .entries
                .values()
                .filter(|l| l.standing != "gone")
                .cloned()
                .collect();
            inner
                .subscribers
                .retain(|f| f.try_send(("full", entries.clone())).is_ok());
            self.restored.notify(usize::MAX.relaxed());
        }
    }

    async fn handle_request(self, request: Request) -> Reply {
        let head = &request.head;
        let director = head.query("director").and_then(|d| d.parse().ok());
        let ("GET", "/servers", Some(director)) = (head.method.as_str(), head.path(), director)
        else {
            return Reply::problem(404, "GET /servers?director=N is what is known here");
        };
        self.wait_until_reachable().await;
        let (sender, updates) = async_channel::bounded(1000);
        let full: Vec<EndpointEntry> = {
            let mut inner = self.inner.borrow_mut();
            inner.subscribers.push(sender);
            inner
                .entries
                .values()
                .filter(|l| l.standing != "gone")
                .cloned()
                .collect()
        };
        let first = self.encode_event(director, &("full", full));
        let rest = stream::unfold((self, updates), move |(list, updates)| async move {
            let event = list.next_event(director, &updates).await?;
            Some((event, (list, updates)))
        });
        Reply::new(200)
            .with_field("Content-Type", "text/event-stream")
            .stream(stream::once(first).chain(rest))
    }

    async fn wait_until_reachable(&self) {
        loop {
            let restored = self.restored.listen();
            if !self.inner.borrow().is_down {
                return;
            }
            restored.await;
        }
    }

    async fn next_event(&self, director: u32, updates: &Receiver<ListUpdate>) -> Option<Vec<u8>> {
        let beat = async {
            Timer::after(HEARTBEAT_INTERVAL).await;
            self.wait_until_reachable().await;
            Some(None)
        };
        let update = async {
            let update = updates.recv().await.ok()?;
            self.wait_until_reachable().await;
            Some(Some(update))
        };
        let update = future::or(update, beat).await?;
        Some(update.map_or(sse::KEEP_ALIVE.to_vec(), |update| {
            self.encode_event(director, &update)
        }))
    }

    /// Encodes an event, and records that the director is notified now.
    fn encode_event(&self, director: u32, (kind, entries): &ListUpdate) -> Vec<u8> {
        let time = shalewall_clock::now();
        for entry in entries {
            let (node, standing) = (entry.server, entry.standing.to_string());
            self.recorder.record(Record::EndpointNotified {
                time,
                director,
                node,
                standing,
                node_started: entry.started.map(Timestamp::from_micros),
            });
        }
        let mut event = Vec::new();
        sse::write_event(
            &mut event,
            kind,
            &serde_json::to_string(entries).unwrap_or_default(),
        );
        event
    }
}

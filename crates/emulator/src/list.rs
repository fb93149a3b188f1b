//! The list of servers on a socket: pushed to every front, late, and at times out of reach.

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

/// One line, as it goes over the wire.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    pub server: u64,
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    /// `ready`, `draining` or `gone`.
    pub standing: &'static str,
    pub weight: f64,
    /// Unix time of its last start, microseconds; absent: long past.
    pub started: Option<i64>,
}

type News = (&'static str, Vec<Line>);

struct Inner {
    lines: BTreeMap<u64, Line>,
    fronts: Vec<Sender<News>>,
    out: bool,
}

/// The list; clones are the same one.
#[derive(Clone)]
pub struct List {
    ex: Rc<LocalExecutor<'static>>,
    inner: Rc<RefCell<Inner>>,
    back: Rc<Event>,
    recorder: Recorder,
    late: Duration,
}

const BEAT: Duration = Duration::from_millis(500);

impl List {
    /// Listens on a free port.
    pub fn start(
        ex: Rc<LocalExecutor<'static>>,
        recorder: Recorder,
        late: Duration,
    ) -> std::io::Result<(List, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let inner = Inner {
            lines: BTreeMap::new(),
            fronts: Vec::new(),
            out: false,
        };
        let inner = Rc::new(RefCell::new(inner));
        let list = List {
            ex: ex.clone(),
            inner,
            back: Rc::new(Event::new()),
            recorder,
            late,
        };
        let accepting = list.clone();
        ex.spawn(async move {
            let limits = Rc::new(Limits::default());
            while let Ok((stream, _)) = listener.accept().await {
                let (list, limits) = (accepting.clone(), limits.clone());
                let served = async move {
                    serve(stream, &limits, |request| list.clone().answer(request)).await;
                };
                accepting.ex.spawn(served).detach();
            }
        })
        .detach();
        Ok((list, address))
    }

    /// A line is new or has changed: known at once here, told after the list's delay.
    pub fn change(&self, line: Line) {
        let list = self.clone();
        let late = self.late;
        self.ex
            .spawn(async move {
                Timer::after(late).await;
                list.tell(line);
            })
            .detach();
    }

    /// The same without delay: what discovery knew before anything began.
    pub fn tell(&self, line: Line) {
        let mut inner = self.inner.borrow_mut();
        inner.lines.insert(line.server, line.clone());
        if !inner.out {
            inner
                .fronts
                .retain(|f| f.try_send(("delta", vec![line.clone()])).is_ok());
        }
    }

    /// Out of reach, or back: then everyone is sent the whole list.
    pub fn out(&self, out: bool) {
        let mut inner = self.inner.borrow_mut();
        inner.out = out;
        if !out {
            let lines: Vec<Line> = inner
                .lines
                .values()
                .filter(|l| l.standing != "gone")
                .cloned()
                .collect();
            inner
                .fronts
                .retain(|f| f.try_send(("full", lines.clone())).is_ok());
            self.back.notify(usize::MAX.relaxed());
        }
    }

    async fn answer(self, request: Request) -> Reply {
        let head = &request.head;
        let director = head.query("director").and_then(|d| d.parse().ok());
        let ("GET", "/servers", Some(director)) = (head.method.as_str(), head.path(), director)
        else {
            return Reply::problem(404, "GET /servers?director=N is what is known here");
        };
        self.reachable().await;
        let (sender, receiver) = async_channel::bounded(1000);
        let full: Vec<Line> = {
            let mut inner = self.inner.borrow_mut();
            inner.fronts.push(sender);
            inner
                .lines
                .values()
                .filter(|l| l.standing != "gone")
                .cloned()
                .collect()
        };
        let first = self.bytes(director, &("full", full));
        let rest = stream::unfold((self, receiver), move |(list, receiver)| async move {
            let out = list.next(director, &receiver).await?;
            Some((out, (list, receiver)))
        });
        Reply::new(200)
            .with_field("Content-Type", "text/event-stream")
            .stream(stream::once(first).chain(rest))
    }

    async fn reachable(&self) {
        loop {
            let back = self.back.listen();
            if !self.inner.borrow().out {
                return;
            }
            back.await;
        }
    }

    async fn next(&self, director: u32, receiver: &Receiver<News>) -> Option<Vec<u8>> {
        let beat = async {
            Timer::after(BEAT).await;
            self.reachable().await;
            Some(None)
        };
        let news = async {
            let news = receiver.recv().await.ok()?;
            self.reachable().await;
            Some(Some(news))
        };
        let news = future::or(news, beat).await?;
        Some(news.map_or(sse::KEEP_ALIVE.to_vec(), |news| self.bytes(director, &news)))
    }

    /// The event, and the record that this director is told of it now.
    fn bytes(&self, director: u32, (kind, lines): &News) -> Vec<u8> {
        let time = shalewall_clock::now();
        for line in lines {
            let (node, standing) = (line.server, line.standing.to_string());
            self.recorder.note(Record::EndpointNotified {
                time,
                director,
                node,
                standing,
                node_started: line.started.map(Timestamp::from_micros),
            });
        }
        let mut out = Vec::new();
        sse::write_event(
            &mut out,
            kind,
            &serde_json::to_string(lines).unwrap_or_default(),
        );
        out
    }
}

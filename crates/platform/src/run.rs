//! One director from its start to its end.

use crate::guard;
use crate::hub::Hub;
use crate::journal::{Place, follow};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use event_listener::Event;
use futures_lite::{StreamExt, future};
use shalewall_clock::now;
use shalewall_platform_proto::DirectorProtocol;
use shalewall_platform_proto::config::Config;
use shalewall_platform_proto::endpoint_watch::KnownEvents;
use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Requests come until then after the word to end, and are still to be answered.
const LATE_COMERS: Duration = Duration::from_millis(900);
/// How often the state is logged.
const SECOND: Duration = Duration::from_secs(1);
/// How often is looked whether everything is answered.
const LOOK: Duration = Duration::from_millis(20);
/// At the end viewers' connections are closed in two steps, and waited for so long: the kill comes 0.7 s after the longest
/// wait, and that ends 0.55 s after it.
const CLOSING: Duration = Duration::from_millis(60);
/// A file that can't be read is tried again so often and after so long.
const REREADS: u32 = 10;
const REREAD: Duration = Duration::from_millis(100);

fn wrong(what: impl std::fmt::Display) -> io::Error {
    io::Error::other(what.to_string())
}

fn read(file: &Path) -> io::Result<Config> {
    let text = std::fs::read(file).map_err(|e| wrong(format!("{}: {e}", file.display())))?;
    Config::read(&text).map_err(|e| wrong(format!("{}: {e}", file.display())))
}

/// Serves as a director by the configuration in `file`, until told to end (SIGTERM or SIGINT). SIGHUP: the file is
/// read anew.
pub fn run(file: &Path) -> io::Result<()> {
    // Before anything else: a signal that nobody waits for would end the process.
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    guard::tell();
    let mut config = read(file)?;
    let protocol = DirectorProtocol::new(&config, now().as_micros())
        .map_err(|e| wrong(format!("{}: settings: {e}", file.display())))?;
    let listener = Async::new(TcpListener::bind(config.listen)?)?;
    let ex = Rc::new(LocalExecutor::new());
    let hub = Hub::new(ex.clone(), protocol);
    let place = Rc::new(Place {
        address: Cell::new(config.journal),
        moved: Event::new(),
    });
    let (own, at) = (hub.clone(), place.clone());
    ex.spawn(async move {
        while guard::alone(follow(own.clone(), at.clone()))
            .await
            .is_none()
        {
            Timer::after(SECOND).await;
        }
    })
    .detach();
    ex.spawn(hub.clone().accept(listener)).detach();
    info!(name = config.name, address = %config.listen, nodes = hub.with(|d| d.connection_counts().2), "listening");
    // Its events are taken; the rest is compared with what a signal brings.
    config.known = KnownEvents::default();
    let given = Rc::new(config);
    ex.spawn(guard::alone(tell(hub.clone()))).detach();
    async_io::block_on(ex.run(async {
        let mut leaving: Option<Task<()>> = None;
        let mut rereads: Option<Task<()>> = None;
        loop {
            let left = async {
                match &mut leaving {
                    Some(task) => task.await,
                    None => future::pending().await,
                }
                None
            };
            match future::or(async { signals.next().await }, left)
                .await
                .transpose()?
            {
                // What one signal began to read the next one reads anew.
                Some(Signal::Hup) => {
                    let reread = reread(
                        file.to_path_buf(),
                        hub.clone(),
                        place.clone(),
                        given.clone(),
                    );
                    drop(rereads.replace(ex.spawn(reread)));
                }
                Some(_) if leaving.is_none() => leaving = Some(ex.spawn(leave(hub.clone()))),
                // Told so once more by whoever ends it in an orderly way, it is on its way already; at a terminal it is
                // to end at once.
                Some(Signal::Term) => info!("leaving already"),
                Some(_) | None => return Ok(()),
            }
        }
    }))
}

/// Reads the file anew: where the journal service is, and events that were not heard yet.
async fn reread(file: PathBuf, hub: Rc<Hub>, place: Rc<Place>, given: Rc<Config>) {
    for tries in 0..REREADS {
        match read(&file) {
            // One that lies in the wrong place names another fleet's service and nodes: nothing of it is taken.
            Ok(config) if config.name != given.name => {
                let (own, other) = (&given.name, &config.name);
                warn!(
                    own,
                    other, "the new configuration is another director's, and all is kept as it was"
                );
                return;
            }
            Ok(config) => {
                for other in given.other(&config) {
                    warn!(
                        other,
                        "the new configuration differs in what is kept as at the start"
                    );
                }
                hub.with(|protocol| protocol.apply_known_events(&config, now().as_micros()));
                place.address.set(config.journal);
                place.moved.notify(usize::MAX);
                return;
            }
            Err(e) if tries == 0 => warn!(error = %e, "the configuration is kept as it was"),
            Err(_) => {}
        }
        // Whoever replaces a file by writing it over may be in the middle of it.
        Timer::after(REREAD).await;
    }
}

/// Answers what was taken, holds what stands for as long as there is time, and closes what was said to.
async fn leave(hub: Rc<Hub>) {
    hub.with(|protocol| protocol.begin_shutdown(now().as_micros()));
    info!(held = ?hub.with(|d| d.session_counts()), "leaving");
    let begun = Instant::now();
    let most =
        Duration::from_micros(hub.with(|d| d.shutdown_time_limit()).max(0) as u64).max(LATE_COMERS);
    while begun.elapsed() < most {
        let (waiting, standing) = hub.with(|d| d.session_counts());
        if begun.elapsed() >= LATE_COMERS
            && waiting + standing == 0
            && !hub.with(|d| d.has_pending_writes())
        {
            break;
        }
        Timer::after(LOOK).await;
    }
    hub.with(|protocol| protocol.close_viewers(now().as_micros()));
    let closing = Instant::now();
    while closing.elapsed() < CLOSING
        && hub.with(|d| d.has_pending_writes() || d.connection_counts().0 > 0)
    {
        Timer::after(LOOK).await;
    }
    if hub.with(|d| d.has_pending_writes()) {
        warn!("ending with words that were not taken");
    }
}

/// Logs once a second what this director holds and believes, and what it takes of the machine.
async fn tell(hub: Rc<Hub>) {
    loop {
        Timer::after(SECOND).await;
        let s = hub.with(DirectorProtocol::status);
        // Pages of 4 KiB; 0 where the system does not tell.
        let pages = std::fs::read_to_string("/proc/self/statm").ok();
        let pages = pages
            .and_then(|t| t.split(' ').nth(1)?.parse::<u64>().ok())
            .unwrap_or(0);
        let files = std::fs::read_dir("/proc/self/fd").map_or(0, |dir| dir.count());
        let (waiting, standing, viewers, links, nodes) =
            (s.waiting, s.standing, s.viewers, s.links, s.nodes);
        let (worst, ended, late_us, resident_kb) = (s.worst, s.ended, s.late, pages * 4);
        let (opened, lost, left, sent_for_left) = (s.opened, s.lost, s.left, s.sent_for_left);
        info!(
            waiting,
            standing,
            viewers,
            links,
            nodes,
            worst,
            ended,
            opened,
            lost,
            left,
            sent_for_left,
            late_us,
            resident_kb,
            files,
            "state"
        );
    }
}

//! One director from its start to its end.

use crate::guard;
use crate::hub::Hub;
use crate::journal::{Place, follow};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use event_listener::Event;
use futures_lite::{StreamExt, future};
use shalewall_clock::now;
use shalewall_platform_proto::Door;
use shalewall_platform_proto::config::Config;
use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Requests come until then after the word to end, and are still to be answered.
const LATE_COMERS: Duration = Duration::from_millis(900);
/// How often the state is logged.
const SECOND: Duration = Duration::from_secs(1);
/// How often is looked whether everything is answered.
const LOOK: Duration = Duration::from_millis(20);

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
    let config = read(file)?;
    let door = Door::new(&config, now()).map_err(|e| wrong(format!("{}: settings: {e}", file.display())))?;
    let listener = Async::new(TcpListener::bind(config.listen)?)?;
    let ex = Rc::new(LocalExecutor::new());
    let hub = Hub::new(ex.clone(), door);
    let place = Rc::new(Place { address: Cell::new(config.journal), moved: Event::new() });
    let (own, at) = (hub.clone(), place.clone());
    ex.spawn(async move {
        while guard::alone(follow(own.clone(), at.clone())).await.is_none() {
            Timer::after(SECOND).await;
        }
    })
    .detach();
    ex.spawn(hub.clone().accept(listener)).detach();
    info!(name = config.name, address = %config.listen, nodes = hub.with(|d| d.sizes().2), "listening");
    drop(config);
    ex.spawn(guard::alone(tell(hub.clone()))).detach();
    async_io::block_on(ex.run(async {
        while let Some(signal) = signals.next().await {
            match signal? {
                Signal::Hup => match read(file) {
                    Ok(config) => {
                        hub.with(|door| door.known(&config, now()));
                        place.address.set(config.journal);
                        place.moved.notify(usize::MAX);
                    }
                    Err(e) => warn!(error = %e, "the configuration is kept as it was"),
                },
                _ => break,
            }
        }
        hub.with(Door::leave);
        info!(held = ?hub.with(|d| d.held()), "leaving");
        let begun = std::time::Instant::now();
        let leave = Duration::from_micros(hub.with(|d| d.leave_within()).max(0) as u64).max(LATE_COMERS);
        let emptied = async {
            loop {
                let (waiting, standing) = hub.with(|d| d.held());
                let patient = begun.elapsed() < leave;
                if begun.elapsed() >= LATE_COMERS && waiting == 0 && (standing == 0 || !patient) {
                    return;
                }
                Timer::after(LOOK).await;
            }
        };
        future::or(emptied, async {
            // A file that is read anew matters no more; told to end once more, it ends at once.
            while let Some(Ok(Signal::Hup)) = signals.next().await {}
        })
        .await;
        Timer::after(LOOK).await;
        io::Result::Ok(())
    }))
}

/// Logs once a second what this director holds and believes, and what it takes of the machine.
async fn tell(hub: Rc<Hub>) {
    loop {
        Timer::after(SECOND).await;
        let s = hub.with(Door::status);
        // Pages of 4 KiB; 0 where the system does not tell.
        let pages = std::fs::read_to_string("/proc/self/statm").ok();
        let pages = pages.and_then(|t| t.split(' ').nth(1)?.parse::<u64>().ok()).unwrap_or(0);
        let files = std::fs::read_dir("/proc/self/fd").map_or(0, |dir| dir.count());
        let (waiting, standing, viewers, links, nodes) = (s.waiting, s.standing, s.viewers, s.links, s.nodes);
        let (worst, ended, late_us, resident_kb) = (s.worst, s.ended, s.late, pages * 4);
        let (opened, lost) = (s.opened, s.lost);
        info!(
            waiting,
            standing, viewers, links, nodes, worst, ended, opened, lost, late_us, resident_kb, files, "state"
        );
    }
}

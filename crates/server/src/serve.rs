//! One front: its sockets, put together from its settings.

use crate::hub::Hub;
use crate::keeper::Keeper;
use crate::tenants::{Door, Tenants};
use crate::{api, list, tenants};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use shalewall_engine::Engine;
use shalewall_http::Limits;
use shalewall_http::server::{serve, serve_at};
use shalewall_migration::ticket::{InvalidTicketKey, TicketKey};
use shalewall_settings::FrontPlan;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// A front that listens.
pub struct Serving {
    pub hub: Rc<Hub>,
    pub address: SocketAddr,
    accepts: Task<()>,
    leave: Duration,
}

impl Serving {
    /// Serves until the process is told to end (SIGTERM or SIGINT); told twice, it ends at once. It takes nothing
    /// new then, answers every request that waits, and gives sessions that play their time.
    pub async fn until_told(self) -> std::io::Result<()> {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        signals.next().await;
        let Serving {
            hub,
            accepts,
            leave,
            ..
        } = self;
        hub.leave();
        accepts.cancel().await;
        info!(held = ?hub.held(), "leaving");
        let until = std::time::Instant::now() + leave;
        let emptied = async {
            loop {
                let held = hub.held();
                let patient = std::time::Instant::now() < until;
                if held.waiting == 0
                    && (held.playing + held.leaving + held.unconfirmed_ends == 0 || !patient)
                {
                    return;
                }
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        futures_lite::future::or(emptied, async {
            signals.next().await;
        })
        .await;
        // The last answers are on their way out.
        Timer::after(Duration::from_millis(50)).await;
        info!(held = ?hub.held(), "left");
        Ok(())
    }
}

/// Starts a front on an executor; it runs as long as that does.
pub fn start(ex: &Rc<LocalExecutor<'static>>, plan: &FrontPlan) -> std::io::Result<Serving> {
    let now = shalewall_clock::now().as_micros();
    // Starts within some hours of each other differ in their seconds.
    let incarnation = ((now / 1_000_000) & 0x3fff) as u16;
    let listener = TcpListener::bind(plan.front.listen)?;
    let address = listener.local_addr()?;
    let listener = Async::new(listener)?;
    let mut engine = Engine::new(plan.site.config(&plan.front, incarnation), now);
    let hosted = match &plan.hosting {
        None => None,
        Some(hosting) => {
            let token = std::fs::read_to_string(&hosting.token_file)?;
            let tenants = Tenants::new(
                hosting.set_ups_per_s,
                plan.front.most_sessions,
                plan.front.most_connections,
            );
            engine.set_admission_control(Box::new(Door(tenants.clone())));
            Some((tenants, hosting.clone(), token))
        }
    };
    let key = plan
        .front
        .move_key_file
        .as_deref()
        .filter(|_| plan.site.moves.is_some());
    let key = key.map(read_key).transpose()?;
    let silence = Duration::from_millis(plan.front.silence_ms);
    let hub = Hub::new(
        ex.clone(),
        engine,
        plan.front.number,
        Limits::default(),
        silence,
    );
    key.into_iter().for_each(|key| drop(hub.key.set(key)));
    ex.spawn(list::watch(hub.clone(), plan.front.list)).detach();
    if let Some((tenants, hosting, token)) = hosted {
        let _ = hub.tenants.set(tenants.clone());
        let report = tenants::report(hub.clone(), tenants.clone(), hosting.clone(), token.clone());
        ex.spawn(report).detach();
        ex.spawn(tenants::follow(hub.clone(), tenants, hosting, token))
            .detach();
    }
    let accepts = ex.spawn(accept(hub.clone(), listener, plan.front.most_connections));
    let leave = Duration::from_secs_f64(plan.front.leave_s);
    info!(address = %address, number = plan.front.number, "listening");
    Ok(Serving {
        hub,
        address,
        accepts,
        leave,
    })
}

/// The key of tickets: 32 bytes in hexadecimal.
fn read_key(file: &std::path::Path) -> std::io::Result<TicketKey> {
    let wrong = |what: String| std::io::Error::other(format!("{}: {what}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| wrong(e.to_string()))?;
    text.trim()
        .parse()
        .map_err(|e: InvalidTicketKey| wrong(e.to_string()))
}

async fn accept(hub: Rc<Hub>, listener: Async<TcpListener>, most: usize) {
    let open = Rc::new(Cell::new(0usize));
    let keeper = hub.tenants.get().cloned().map(Keeper::new);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of descriptors, most likely: what is open goes on, and this passes.
                warn!(error = %e, "a connection could not be taken");
                async_io::Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        // A crowd of connections is taken one by one: whoever is connected already has a turn in between.
        futures_lite::future::yield_now().await;
        let _ = stream.get_ref().set_nodelay(true);
        if let Some(keeper) = &keeper {
            let Some(mut kept) = keeper.open() else {
                continue;
            };
            let (hub, ticket) = (hub.clone(), kept.ticket);
            let ex = hub.ex.clone();
            let task = ex.spawn(async move {
                let limits = hub.limits.clone();
                serve_at(stream, &limits, &mut kept, |request| {
                    api::answer(hub.clone(), request)
                })
                .await;
            });
            keeper.serves(ticket, task);
            continue;
        }
        if open.get() >= most {
            continue; // closed at once: bounded memory before anything else
        }
        open.set(open.get() + 1);
        let (hub, open) = (hub.clone(), open.clone());
        let ex = hub.ex.clone();
        ex.spawn(async move {
            let limits = hub.limits.clone();
            serve(stream, &limits, |request| api::answer(hub.clone(), request)).await;
            open.set(open.get() - 1);
        })
        .detach();
    }
}

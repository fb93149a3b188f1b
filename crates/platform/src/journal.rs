//! The connection to the journal service: opened anew whenever it breaks, goes silent, or lies elsewhere.

use crate::hub::Hub;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use shalewall_clock::now;
use shalewall_http::client::in_time;
use shalewall_platform_proto::journal::{Frame, Frames, SILENCE};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Pauses between tries; what the service would have told counts as told 2 s after a break.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Where the service is, and what tells that it has moved.
pub(crate) struct Place {
    pub address: Cell<SocketAddr>,
    pub moved: Event,
}

pub(crate) async fn follow(hub: Rc<Hub>, place: Rc<Place>) {
    let mut pause = PAUSE;
    loop {
        let moved = place.moved.listen();
        let address = place.address.get();
        let work = async {
            let heard = listen(&hub, address).await;
            pause = if heard { PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
            Timer::after(pause).await;
        };
        let told = async {
            moved.await;
            info!("the journal service has moved");
        };
        future::or(told, work).await;
    }
}

/// Listens until the connection is of no use. True where it brought anything.
async fn listen(hub: &Rc<Hub>, address: SocketAddr) -> bool {
    let silence = Duration::from_micros(SILENCE as u64);
    let mut stream = match in_time(silence, Async::<TcpStream>::connect(address)).await {
        Some(Ok(stream)) => stream,
        Some(Err(e)) => {
            warn!(error = %e, "no connection to the journal service");
            return false;
        }
        None => return false,
    };
    let position = hub.with(|door| door.position());
    if stream.write_all(&position.to_be_bytes()).await.is_err() {
        return false;
    }
    let mut frames = Frames::default();
    let mut buf = [0; 4096];
    let mut heard = false;
    loop {
        match in_time(silence, stream.read(&mut buf)).await {
            Some(Ok(n)) if n > 0 => frames.push(&buf[..n]),
            _ => return heard,
        }
        loop {
            match frames.frame() {
                Ok(None) => break,
                Ok(Some(Frame::Nothing(_))) => heard = true,
                Ok(Some(Frame::News(news))) => {
                    heard = true;
                    // A gap: what is missing is asked for on a new connection.
                    if news.number > hub.with(|door| door.position()) + 1 {
                        warn!(number = news.number, "the journal service left events out");
                        return heard;
                    }
                    hub.with(|door| door.journal(now(), &news));
                }
                Err(why) => {
                    warn!(%why, "the journal service can't be read");
                    return false;
                }
            }
        }
    }
}

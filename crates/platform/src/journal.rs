//! The connection to the journal service: opened anew whenever it breaks, goes silent, or lies elsewhere.

use crate::hub::Hub;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use shalewall_clock::now;
use shalewall_http::client::in_time;
use shalewall_platform_proto::endpoint_watch::{FrameDecoder, SILENCE_TIMEOUT};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Pauses between tries; what the service would have told counts as told 2 s after a break.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// A connection that is not up and told the position within this is none. With the silence before it, which begins at
/// the last word, and the pause, the next one speaks within the 4 s in which news counts as told.
const CONNECT: Duration = Duration::from_millis(700);

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
            pause = if heard {
                PAUSE
            } else {
                (pause * 2).min(LONGEST_PAUSE)
            };
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
    let silence = Duration::from_micros(SILENCE_TIMEOUT as u64);
    let connected = async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        let position = hub.with(|protocol| protocol.watch_position());
        stream.write_all(&position.to_be_bytes()).await?;
        io::Result::Ok(stream)
    };
    let mut stream = match in_time(CONNECT, connected).await {
        Some(Ok(stream)) => stream,
        Some(Err(e)) => {
            warn!(error = %e, "no connection to the journal service");
            return false;
        }
        None => {
            warn!("no connection to the journal service in time");
            return false;
        }
    };
    let mut frames = FrameDecoder::default();
    let mut buf = [0; 4096];
    let mut heard = false;
    // Only a whole frame is a word: one that drips in byte by byte tells nothing.
    let mut last_word = Instant::now();
    loop {
        match in_time(
            silence.saturating_sub(last_word.elapsed()),
            stream.read(&mut buf),
        )
        .await
        {
            Some(Ok(n)) if n > 0 => frames.push(&buf[..n]),
            Some(Ok(_)) => return heard,
            Some(Err(e)) => {
                warn!(error = %e, "the journal service broke off");
                return heard;
            }
            None => {
                warn!("the journal service is silent");
                return heard;
            }
        }
        loop {
            match frames.frame() {
                Ok(None) => break,
                Ok(Some(frame)) => {
                    last_word = Instant::now();
                    // What is missing is asked for on a new connection.
                    if let Err(why) =
                        hub.with(|protocol| protocol.handle_watch_frame(now().as_micros(), &frame))
                    {
                        warn!(%why, "the journal service");
                        return heard;
                    }
                    heard = true;
                }
                Err(why) => {
                    warn!(%why, "the journal service can't be read");
                    return false;
                }
            }
        }
    }
}

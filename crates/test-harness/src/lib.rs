//! Several processes of `shalewall direct` among stand-ins of the platform: media nodes, the journal service and
//! viewers, with kills and cuts between them. What passed on the sockets is taped and judged from the tape alone.
//!
//! What this crate may know: the platform's protocol as its pages tell it (`docs/platform.md`), and the auditor's
//! records. What it must not: the door, the decisions; it meets a director only as a process and over sockets. All
//! draws come from ChaCha8 with a stated seed; times are the machine's.

pub mod day;
pub mod director;
pub mod faulty_director;
pub mod journal;
pub mod node;
pub mod recorder;
pub mod rtsp;
pub mod viewer;

use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};

/// The present time, in microseconds from 1970 on.
pub(crate) fn now() -> i64 {
    shalewall_clock::now().as_micros()
}

const PORTS: u32 = 18_000;

/// A port of this machine's loopback that is free and stays so: below those that the system gives out by itself, and
/// handed out once by this process. Tests of several processes begin at different ones.
pub fn free_port() -> std::io::Result<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(257);
    for _ in 0..PORTS {
        let port =
            12_000 + (first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
    Err(std::io::Error::other("no port is free"))
}

/// A node's id as the platform writes it.
pub fn name(node: u32) -> String {
    format!("s-{node:08x}")
}

/// The director that a request was for: tags carry it.
pub fn director_of(tag: u64) -> u32 {
    (tag >> 48) as u32
}

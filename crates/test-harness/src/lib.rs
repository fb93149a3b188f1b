//! Integration test harness: several processes of `shalewall direct` in an emulated platform of media nodes, journal
//! service and viewers, with fault injection. Events on the sockets are recorded, and the audit uses this recording
//! only.
//!
//! The crate depends on the platform's protocol (`docs/platform.md`) and on the audit's records, not on the code of the
//! director; it meets a director only as a process and over sockets. All random numbers come from ChaCha8 with a given
//! seed; times are real time.

pub mod day;
pub mod director;
pub mod faulty_director;
pub mod journal;
pub mod node;
pub mod recorder;
pub mod rtsp;
pub mod soak;
pub mod viewer;

use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, socket_with};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicU32, Ordering};

/// Current Unix time in microseconds.
pub(crate) fn now() -> i64 {
    shalewall_clock::now().as_micros()
}

/// Number of ports from which [`free_port`] chooses.
const PORT_COUNT: u32 = 18_000;

/// A free loopback port that stays free: below the ephemeral ports of the system, and returned only once by this
/// process. Processes start at different ports.
pub fn free_port() -> std::io::Result<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(257);
    for _ in 0..PORT_COUNT {
        let port =
            12_000 + (first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT) as u16;
        if is_free(port)? {
            return Ok(port);
        }
    }
    Err(std::io::Error::other(
        "no free port in the range of the test harness",
    ))
}

/// Whether nobody listens on a port. The socket that finds out does not listen either: a process that another thread is
/// starting holds it for a moment, and would accept connections, or keep the port from its user.
fn is_free(port: u16) -> std::io::Result<bool> {
    let socket = socket_with(
        AddressFamily::INET,
        SocketType::STREAM,
        SocketFlags::CLOEXEC,
        None,
    )?;
    set_socket_reuseaddr(&socket, true)?;
    Ok(bind(&socket, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)).is_ok())
}

/// A node's id in the form of the platform.
pub fn node_name(node: u32) -> String {
    format!("s-{node:08x}")
}

/// The director of a request, which is part of the tag.
pub fn director_of(tag: u64) -> u32 {
    (tag >> 48) as u32
}

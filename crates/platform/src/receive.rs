//! Reads from sockets, with the time at which the bytes arrived.
//!
//! The kernel's time stamp is that of the last byte of a read. Without one, the bytes arrived after the socket was last
//! found empty, and after the event loop last polled it.

use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use shalewall::{TimeDelta, Timestamp};
use shalewall_clock::now;
use shalewall_platform_proto::Arrival;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSliceMut, Read};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Tolerance for reading two clocks one after the other.
const CLOCK_TOLERANCE: TimeDelta = TimeDelta::from_millis(1);

/// Requests time stamps for received bytes; connections inherit the option from their listener. Returns whether the
/// system provides them.
pub(crate) fn enable_timestamps(socket: &impl AsFd) -> bool {
    setsockopt(socket, sockopt::ReceiveTimestampns, &true).is_ok()
}

/// The receiving side of one connection.
pub(crate) struct Receiver {
    has_timestamps: bool,
    control_buffer: RefCell<Vec<u8>>,
    /// Time at which the socket was last found without unread bytes.
    empty_at: Cell<Timestamp>,
}

/// Result of a read.
#[derive(Clone, Copy)]
pub(crate) struct ReadBytes {
    pub count: usize,
    /// The kernel's time stamp of the last byte.
    timestamp: Option<Timestamp>,
}

impl Receiver {
    /// `empty_at`: a time at which nothing had arrived yet.
    pub fn new(has_timestamps: bool, empty_at: Timestamp) -> Receiver {
        let control_buffer = if has_timestamps {
            nix::cmsg_space!(TimeSpec)
        } else {
            Vec::new()
        };
        Receiver {
            has_timestamps,
            control_buffer: RefCell::new(control_buffer),
            empty_at: Cell::new(empty_at),
        }
    }

    /// Reads without blocking.
    pub fn read(&self, mut stream: &TcpStream, buffer: &mut [u8]) -> io::Result<ReadBytes> {
        // Taken before the read: the process may be suspended behind it.
        let started_at = now();
        let result = if self.has_timestamps {
            self.read_with_timestamp(stream, buffer)
        } else {
            stream.read(buffer).map(|count| ReadBytes {
                count,
                timestamp: None,
            })
        };
        if let Err(error) = &result
            && error.kind() == io::ErrorKind::WouldBlock
        {
            self.empty_at.set(started_at);
        }
        result
    }

    fn read_with_timestamp(&self, stream: &TcpStream, buffer: &mut [u8]) -> io::Result<ReadBytes> {
        let mut control_buffer = self.control_buffer.borrow_mut();
        let mut slices = [IoSliceMut::new(buffer)];
        let message = recvmsg::<()>(
            stream.as_raw_fd(),
            &mut slices,
            Some(&mut control_buffer),
            MsgFlags::empty(),
        )?;
        let timestamp = message.cmsgs().ok().and_then(|mut controls| {
            controls.find_map(|control| match control {
                ControlMessageOwned::ScmTimestampns(time) => Some(time),
                _ => None,
            })
        });
        Ok(ReadBytes {
            count: message.bytes,
            timestamp: timestamp.and_then(to_timestamp),
        })
    }

    /// Time at which the socket was last found empty.
    pub fn empty_at(&self) -> Timestamp {
        self.empty_at.get()
    }
}

impl ReadBytes {
    /// Arrival of bytes on a socket that was empty at `empty_at`. `unseen_since` is the time since which the loop may
    /// not have polled the socket. A time stamp that contradicts the clock is ignored.
    pub fn arrival(self, empty_at: Timestamp, unseen_since: Timestamp, now: Timestamp) -> Arrival {
        let earliest = empty_at.max(unseen_since).min(now);
        let last_byte = self
            .timestamp
            .filter(|time| *time >= empty_at - CLOCK_TOLERANCE && *time <= now + CLOCK_TOLERANCE)
            .map_or(earliest, |time| time.min(now));
        Arrival {
            earliest: earliest.min(last_byte),
            last_byte,
        }
    }
}

/// Converts a time stamp of the system's clock to the program's clock, which may differ after the former was set.
fn to_timestamp(time: TimeSpec) -> Option<Timestamp> {
    // In this order a pause between the two readings makes the bytes look older, not younger.
    let now = now();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let age = micros(since_epoch) - micros(Duration::from(time));
    Some(now - TimeDelta::from_micros(age))
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

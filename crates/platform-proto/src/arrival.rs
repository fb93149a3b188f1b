//! Arrival times of received bytes, from which the deadlines of requests are counted.

use shalewall::Timestamp;

/// When the bytes of one read arrived at their socket. A process that was suspended, or had to wait for a processor,
/// reads them later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// No byte arrived before this time.
    pub earliest: Timestamp,
    /// Time at which the last byte arrived; the earliest possible one if it is not known.
    pub last_byte: Timestamp,
}

impl Arrival {
    /// Bytes that arrived when they were read.
    pub fn at(time: Timestamp) -> Arrival {
        Arrival {
            earliest: time,
            last_byte: time,
        }
    }

    /// Arrival of a message that ends inside these bytes, or with them.
    pub(crate) fn of_message(self, ends_with_last_byte: bool) -> Timestamp {
        if ends_with_last_byte {
            self.last_byte
        } else {
            self.earliest
        }
    }
}

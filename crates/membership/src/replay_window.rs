//! Tracks a sender's sequence numbers to reject replays, as in RFC 4303, section 3.4.3.

/// Number of sequence numbers that are tracked, up to the highest received one.
const WINDOW_SIZE: u64 = 64;

/// The window up to the highest received sequence number.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit n is set if `highest - n` was received.
    seen: u64,
}

impl ReplayWindow {
    /// Records a sequence number and returns whether it is new. Numbers start at 1. One below the window cannot be
    /// distinguished from a replay and is treated as one.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            self.advance_to(sequence);
            return true;
        }
        let behind = self.highest - sequence;
        if sequence == 0 || behind >= WINDOW_SIZE {
            return false;
        }
        let bit = 1 << behind;
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }

    fn advance_to(&mut self, sequence: u64) {
        let ahead = sequence - self.highest;
        self.seen = if ahead < WINDOW_SIZE {
            self.seen << ahead | 1
        } else {
            1
        };
        self.highest = sequence;
    }
}

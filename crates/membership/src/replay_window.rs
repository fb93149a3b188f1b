//! Which sequence numbers of a sender have come, so that none is taken twice (as RFC 4303, section 3.4.3).

/// Sequence numbers that are remembered, up to the highest that has come.
const WINDOW: u64 = 64;

/// The window below the highest sequence number.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit n: the number n below the highest has come.
    seen: u64,
}

impl ReplayWindow {
    /// Whether a number, from 1 on, comes for the first time. One that is below the window can't be distinguished from a
    /// replay, and is taken for one.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            self.advance_to(sequence);
            return true;
        }
        let behind = self.highest - sequence;
        if sequence == 0 || behind >= WINDOW {
            return false;
        }
        let bit = 1 << behind;
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }

    fn advance_to(&mut self, sequence: u64) {
        let ahead = sequence - self.highest;
        self.seen = if ahead < WINDOW {
            self.seen << ahead | 1
        } else {
            1
        };
        self.highest = sequence;
    }
}

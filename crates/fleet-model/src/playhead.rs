//! A player's buffer and playhead: what it has received, what it has shown, and each time the picture stood still.
//!
//! Positions in a title are lengths of time from its begin, so they are [`TimeDelta`]s.

use shalewall::{TimeDelta, Timestamp};

/// Where the playhead is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Nothing is shown before the start threshold is buffered.
    Buffering,
    /// At position `from` at the time `since`.
    Playing { since: Timestamp, from: TimeDelta },
    /// The buffer is empty and the picture has stood still since then.
    Stalled { since: Timestamp },
}

/// A stretch in which the picture stood still, or that was left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// When it began.
    pub at: Timestamp,
    /// How long it was.
    pub length: TimeDelta,
}

/// Buffer and playhead of one player.
#[derive(Clone, Debug)]
pub struct Playhead {
    state: State,
    first_position: TimeDelta,
    start_threshold: TimeDelta,
    received_to: TimeDelta,
    gaps: Vec<Gap>,
}

impl Playhead {
    /// A player that begins at a position once it has buffered so much.
    pub fn new(first_position: TimeDelta, start_threshold: TimeDelta) -> Playhead {
        Playhead {
            state: State::Buffering,
            first_position,
            start_threshold,
            received_to: first_position,
            gaps: Vec::new(),
        }
    }

    /// Position up to which media have been received.
    pub fn received_to(&self) -> TimeDelta {
        self.received_to
    }

    /// What is buffered and not shown yet.
    pub fn buffered(&self, now: Timestamp) -> TimeDelta {
        match self.state {
            State::Buffering => self.received_to - self.first_position,
            State::Playing { since, from } => {
                let shown = now - since;
                (self.received_to - from - shown).max(TimeDelta::ZERO)
            }
            State::Stalled { .. } => TimeDelta::ZERO,
        }
    }

    /// When the buffer runs dry, if nothing more is received.
    pub fn dry_at(&self) -> Option<Timestamp> {
        match self.state {
            State::Playing { since, from } => Some(since + (self.received_to - from)),
            State::Buffering | State::Stalled { .. } => None,
        }
    }

    /// Since when the picture stands still.
    pub fn stalled_since(&self) -> Option<Timestamp> {
        match self.state {
            State::Stalled { since } => Some(since),
            State::Buffering | State::Playing { .. } => None,
        }
    }

    /// Whether the first picture has been shown.
    pub fn has_started(&self) -> bool {
        self.state != State::Buffering
    }

    /// Time passes.
    pub fn advance(&mut self, now: Timestamp) {
        if let Some(dry) = self.dry_at().filter(|dry| *dry < now) {
            self.state = State::Stalled { since: dry };
        }
    }

    /// A frame is received. What overlaps earlier frames is not shown twice; what is missing before it is left out
    /// and counts as a gap.
    pub fn receive(&mut self, now: Timestamp, position: TimeDelta, length: TimeDelta) {
        self.advance(now);
        let before = self.received_to;
        let missing = (position - before).max(TimeDelta::ZERO);
        self.received_to = before.max(position + length.max(TimeDelta::ZERO));
        if self.received_to == before {
            return; // nothing new
        }
        match self.state {
            State::Buffering => self.receive_while_buffering(now, missing),
            State::Stalled { since } => {
                self.gaps.push(Gap {
                    at: since,
                    length: now - since,
                });
                self.state = State::Playing {
                    since: now,
                    from: before + missing,
                };
            }
            State::Playing { since, from } if missing > TimeDelta::ZERO => {
                self.gaps.push(Gap {
                    at: now,
                    length: missing,
                });
                self.state = State::Playing {
                    since,
                    from: from + missing,
                };
            }
            State::Playing { .. } => {}
        }
    }

    fn receive_while_buffering(&mut self, now: Timestamp, missing: TimeDelta) {
        let buffered = self.received_to - self.first_position - missing;
        if buffered >= self.start_threshold {
            self.state = State::Playing {
                since: now,
                from: self.first_position,
            };
        } else {
            self.first_position += missing;
        }
    }

    /// Takes the gaps that have ended since the last call.
    pub fn take_gaps(&mut self) -> Vec<Gap> {
        std::mem::take(&mut self.gaps)
    }
}

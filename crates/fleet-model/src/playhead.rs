//! A player's buffer and playhead: media received, media shown, and playback gaps.
//!
//! Positions in a title are durations from its start, so they are [`TimeDelta`]s.

use shalewall::{TimeDelta, Timestamp};

/// State of the playhead.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Playback has not started: less than the start threshold is buffered.
    Buffering,
    /// Playing; the playhead was at position `from` at time `since`.
    Playing { since: Timestamp, from: TimeDelta },
    /// Rebuffering: the buffer has been empty since this time.
    Stalled { since: Timestamp },
}

/// A stall of the playback, or a missing part of the title that was skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Start time.
    pub at: Timestamp,
    /// Duration.
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
    /// Creates a player that starts at `first_position` once `start_threshold` is buffered.
    pub fn new(first_position: TimeDelta, start_threshold: TimeDelta) -> Playhead {
        Playhead {
            state: State::Buffering,
            first_position,
            start_threshold,
            received_to: first_position,
            gaps: Vec::new(),
        }
    }

    /// Position up to which media has been received.
    pub fn received_to(&self) -> TimeDelta {
        self.received_to
    }

    /// Duration of the media that is buffered and not shown yet.
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

    /// When the buffer becomes empty if nothing more is received; `None` if playback has not started or is stalled.
    pub fn underrun_at(&self) -> Option<Timestamp> {
        match self.state {
            State::Playing { since, from } => Some(since + (self.received_to - from)),
            State::Buffering | State::Stalled { .. } => None,
        }
    }

    /// Start of the current stall, if playback is stalled.
    pub fn stalled_since(&self) -> Option<Timestamp> {
        match self.state {
            State::Stalled { since } => Some(since),
            State::Buffering | State::Playing { .. } => None,
        }
    }

    /// Whether playback has started.
    pub fn has_started(&self) -> bool {
        self.state != State::Buffering
    }

    /// Advances the playhead to `now`; playback stalls if the buffer became empty before.
    pub fn advance(&mut self, now: Timestamp) {
        if let Some(underrun_at) = self.underrun_at().filter(|underrun_at| *underrun_at < now) {
            self.state = State::Stalled { since: underrun_at };
        }
    }

    /// Adds a received frame to the buffer. A part that overlaps earlier frames is ignored; a missing part before it is
    /// skipped and counts as a gap.
    pub fn receive(&mut self, now: Timestamp, position: TimeDelta, length: TimeDelta) {
        self.advance(now);
        let before = self.received_to;
        let missing = (position - before).max(TimeDelta::ZERO);
        self.received_to = before.max(position + length.max(TimeDelta::ZERO));
        if self.received_to == before {
            return; // duplicate of media received before
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

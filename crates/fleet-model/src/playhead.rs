//! A player's buffer and playhead: what has come, what has been shown, and every time that the picture stood still.

use crate::Micros;

/// Where the playhead is. Positions and times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Nothing is shown before so much has come.
    Fills,
    /// At `from` at the time `since`.
    Plays { since: Micros, from: Micros },
    /// The picture stands still since then.
    Dry { since: Micros },
}

/// A stretch in which the picture stood still, or that was left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    pub at: Micros,
    pub length: Micros,
}

#[derive(Clone, Debug)]
pub struct Playhead {
    state: State,
    begin: Micros,
    start: Micros,
    received: Micros,
    gaps: Vec<Gap>,
}

impl Playhead {
    /// From this position on, once so much of it has come.
    pub fn new(begin: Micros, start: Micros) -> Playhead {
        Playhead {
            state: State::Fills,
            begin,
            start,
            received: begin,
            gaps: Vec::new(),
        }
    }

    /// Up to where media have come.
    pub fn received(&self) -> Micros {
        self.received
    }

    /// What is left to be shown.
    pub fn buffer(&self, now: Micros) -> Micros {
        match self.state {
            State::Fills => self.received - self.begin,
            State::Plays { since, from } => (self.received - from - (now - since)).max(0),
            State::Dry { .. } => 0,
        }
    }

    /// When the buffer runs dry, if nothing more comes.
    pub fn dry_at(&self) -> Option<Micros> {
        match self.state {
            State::Plays { since, from } => Some(since + self.received - from),
            State::Fills | State::Dry { .. } => None,
        }
    }

    /// Since when the picture stands still.
    pub fn dry_since(&self) -> Option<Micros> {
        match self.state {
            State::Dry { since } => Some(since),
            _ => None,
        }
    }

    pub fn begun(&self) -> bool {
        self.state != State::Fills
    }

    /// Time passes.
    pub fn advance(&mut self, now: Micros) {
        if let Some(dry) = self.dry_at().filter(|dry| *dry < now) {
            self.state = State::Dry { since: dry };
        }
    }

    /// A frame has come. What it overlaps with what came before is not shown twice; what is missing before it is
    /// left out, and counts as a stretch without a picture.
    pub fn take(&mut self, now: Micros, position: Micros, span: Micros) {
        self.advance(now);
        let missing = (position - self.received).max(0);
        let before = self.received;
        self.received = self.received.max(position + span.max(0));
        if self.received == before {
            return; // nothing new
        }
        match self.state {
            State::Fills if self.received - self.begin - missing >= self.start => {
                self.state = State::Plays {
                    since: now,
                    from: self.begin,
                };
            }
            State::Fills => self.begin += missing,
            State::Dry { since } => {
                self.gaps.push(Gap {
                    at: since,
                    length: now - since,
                });
                self.state = State::Plays {
                    since: now,
                    from: before + missing,
                };
            }
            State::Plays { since, from } if missing > 0 => {
                self.gaps.push(Gap {
                    at: now,
                    length: missing,
                });
                self.state = State::Plays {
                    since,
                    from: from + missing,
                };
            }
            State::Plays { .. } => {}
        }
    }

    /// Gaps that have ended since the last call.
    pub fn gaps(&mut self) -> Vec<Gap> {
        std::mem::take(&mut self.gaps)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    /// Frames of 100 ms, from the first to before the last, at once.
    fn feed(head: &mut Playhead, now: Micros, frames: std::ops::Range<i64>) {
        frames.for_each(|n| head.take(now, n * 100 * MS, 100 * MS));
    }

    #[test]
    fn it_stands_still_for_as_long_as_nothing_comes_behind_its_buffer() {
        let mut head = Playhead::new(0, 300 * MS);
        feed(&mut head, 0, 0..2);
        assert!(!head.begun());
        feed(&mut head, 50 * MS, 2..4);
        assert_eq!((head.begun(), head.buffer(150 * MS)), (true, 300 * MS));
        assert_eq!(head.dry_at(), Some(450 * MS));
        // 137 ms too late, and then in time again.
        feed(&mut head, 587 * MS, 4..6);
        assert_eq!(
            head.gaps(),
            [Gap {
                at: 450 * MS,
                length: 137 * MS
            }]
        );
        assert_eq!(head.buffer(600 * MS), 187 * MS);
        feed(&mut head, 700 * MS, 6..20);
        head.advance(2 * 1000 * MS);
        assert_eq!((head.gaps(), head.dry_since()), (vec![], None));
        head.advance(3 * 1000 * MS);
        assert_eq!(head.dry_since(), Some(2187 * MS));
    }

    #[test]
    fn what_comes_twice_is_shown_once_and_what_is_left_out_is_a_gap() {
        let mut head = Playhead::new(0, 100 * MS);
        feed(&mut head, 0, 0..5);
        feed(&mut head, 100 * MS, 2..6);
        assert_eq!(head.buffer(100 * MS), 500 * MS);
        feed(&mut head, 100 * MS, 8..9);
        assert_eq!(
            head.gaps(),
            [Gap {
                at: 100 * MS,
                length: 200 * MS
            }]
        );
        assert_eq!(
            head.buffer(100 * MS),
            600 * MS,
            "what is missing is not there to be shown"
        );
    }
}

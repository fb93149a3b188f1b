//! A front's part in the moves of one session: one move at a time, every step repeated until it is answered, the
//! source released last.

use crate::Epoch;
use crate::node::{Cancelled, Held};
use shalewall::{Micros, ServerId};
use std::collections::{BTreeMap, VecDeque};

/// A step that has no answer is repeated after this.
pub const REPEAT: Micros = 100_000;
/// A session that nobody serves any more is given up after this: its player's buffer has run dry by then. Until
/// then it can be handed over yet, since the booking is the front's.
pub const ORPHANED: Micros = 3_000_000;

/// What a front hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The target is ready, or won't be.
    Prepared {
        node: u64,
        epoch: Epoch,
    },
    Refused {
        node: u64,
        epoch: Epoch,
    },
    /// The player has fetched there.
    Serving {
        node: u64,
        epoch: Epoch,
    },
    /// The player has taken this epoch's picture.
    Playing {
        epoch: Epoch,
    },
    /// The player had no picture of this epoch in time, and takes none of it any more.
    Declined {
        epoch: Epoch,
    },
    Cancelled {
        node: u64,
        epoch: Epoch,
        how: Cancelled,
    },
    Released {
        node: u64,
        epoch: Epoch,
    },
    /// The node's process is gone, and what it held with it.
    Dead {
        node: u64,
    },
    /// The viewer has left.
    Left,
}

/// What a front has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send the target a ticket.
    Prepare {
        from: u64,
        to: u64,
        epoch: Epoch,
    },
    /// Tell the player where it may fetch.
    Offer {
        node: u64,
        epoch: Epoch,
    },
    Cancel {
        node: u64,
        epoch: Epoch,
    },
    Release {
        node: u64,
        epoch: Epoch,
    },
    /// The move is over: the session plays at its target.
    Moved {
        from: u64,
        to: u64,
    },
    /// The move is over: the session is where it was.
    Stayed {
        to: u64,
    },
    /// Where it plays is gone: it is to be handed over at once, or it will be lost.
    Orphaned,
    /// Nothing holds the session any more, and no move came in time.
    Lost,
}

/// How far a move is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The target has been asked.
    Preparing,
    /// It is ready, and the player has been told.
    Offered,
    /// It took too long, or is not wanted any more: the target says whether it happened.
    Cancelling,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Move {
    to: u64,
    epoch: Epoch,
    step: Step,
    /// Given up then, unless the player has fetched.
    until: Micros,
    /// The target says that the player has fetched there.
    fetched: bool,
}

/// One session's moves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handover {
    /// Where the session plays as far as is known, and under which epoch.
    at: u64,
    epoch: Epoch,
    /// The greatest epoch ever used.
    last: Epoch,
    going: Option<Move>,
    /// Releases owed to nodes, up to which epoch each, until they confirm.
    owed: BTreeMap<u64, Epoch>,
    gone: bool,
    /// Where it plays is dead: whatever has not taken it over by then comes too late.
    dead: Option<Micros>,
    repeat: Option<Micros>,
    out: VecDeque<Output>,
}

impl Handover {
    /// A session that plays where it was set up.
    pub fn new(at: ServerId) -> Handover {
        Handover {
            at: at.0,
            epoch: Epoch(0),
            last: Epoch(0),
            going: None,
            owed: BTreeMap::new(),
            gone: false,
            dead: None,
            repeat: None,
            out: VecDeque::new(),
        }
    }

    /// A front that begins anew finds what nodes hold of a session; none where nobody serves it. What was prepared
    /// and not fetched is cancelled, what is served under an earlier epoch stays until its player has said that it
    /// plays the later one. `last`: an epoch that no move of it has passed; where that is not known, one far above
    /// those found.
    pub fn found(held: &[(ServerId, Held)], last: Epoch, now: Micros) -> Option<Handover> {
        let serving = held
            .iter()
            .filter_map(|(node, h)| Some((h.serving?, node.0)));
        let (epoch, at) = serving.max()?;
        let mut found = Handover::new(ServerId(at));
        (found.epoch, found.last) = (epoch, last.max(epoch));
        // The player may be at any of those that serve: it is told of the latest, and says so.
        let older = held
            .iter()
            .filter_map(|(n, h)| Some((h.serving?, n.0)))
            .filter(|(_, n)| *n != at)
            .max();
        let prepared = held
            .iter()
            .filter_map(|(n, h)| Some((h.prepared?, n.0)))
            .max();
        if let Some((older, node)) = older {
            (found.at, found.epoch) = (node, older);
            found.adopt(now, at, epoch);
        } else if let Some((prepared, to)) = prepared {
            // Whether it happened is the target's to say.
            found.last = found.last.max(prepared);
            let step = Step::Cancelling;
            found.going = Some(Move {
                to,
                epoch: prepared,
                step,
                until: now,
                fetched: false,
            });
            found.out.push_back(Output::Cancel {
                node: to,
                epoch: prepared,
            });
        }
        found.repeat = found.going.map(|_| now + REPEAT);
        Some(found)
    }

    /// Where it plays as far as is known.
    pub fn at(&self) -> ServerId {
        ServerId(self.at)
    }

    /// Under which epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Where it is being moved to.
    pub fn target(&self) -> Option<ServerId> {
        self.going.map(|m| ServerId(m.to))
    }

    pub fn moving(&self) -> bool {
        self.going.is_some()
    }

    /// Nothing is under way or owed.
    pub fn settled(&self) -> bool {
        self.going.is_none() && self.owed.is_empty() && (self.dead.is_none() || self.gone)
    }

    pub fn over(&self) -> bool {
        self.gone
    }

    /// Nobody serves it, as far as is known.
    pub fn orphaned(&self) -> bool {
        self.dead.is_some() && !self.gone
    }

    /// The greatest epoch that it was ever moved under.
    pub fn last(&self) -> Epoch {
        self.last
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    pub fn poll_timeout(&self) -> Option<Micros> {
        self.repeat
    }

    /// Begins a move; false: one is under way, or there is nothing to move. `until`: given up then.
    pub fn begin(&mut self, now: Micros, to: ServerId, until: Micros) -> bool {
        if self.gone || self.going.is_some() || to.0 == self.at || self.owed.contains_key(&to.0) {
            return false;
        }
        self.prepare(now, to.0, until);
        true
    }

    /// The player says which epoch it plays. One that is not known here is of a node that an earlier process had moved
    /// it to and that has not told of it: the session is to be moved under a greater one, since it never goes back.
    pub fn player_plays(&mut self, epoch: Epoch) {
        let known = epoch <= self.epoch || self.going.is_some_and(|m| m.epoch == epoch);
        self.last = self.last.max(epoch);
        if !known && !self.gone {
            self.out.push_back(Output::Orphaned);
        }
    }

    /// The target is not wanted any more. Where its player has heard of it, the move goes on.
    pub fn unwanted(&mut self, now: Micros) {
        if self
            .going
            .is_some_and(|m| m.step == Step::Preparing && !m.fetched)
        {
            self.abandon();
            self.repeat = Some(now + REPEAT);
        }
    }

    fn prepare(&mut self, now: Micros, to: u64, until: Micros) {
        self.last = self.last.next();
        let epoch = self.last;
        self.going = Some(Move {
            to,
            epoch,
            step: Step::Preparing,
            until,
            fetched: false,
        });
        self.out.push_back(Output::Prepare {
            from: self.at,
            to,
            epoch,
        });
        self.repeat = Some(now + REPEAT);
    }

    fn owe(&mut self, node: u64, epoch: Epoch) {
        let to = self.owed.entry(node).or_insert(epoch);
        *to = (*to).max(epoch);
        self.out.push_back(Output::Release { node, epoch: *to });
    }

    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Prepared { node, epoch } => {
                let Some(m) = self
                    .going
                    .as_mut()
                    .filter(|m| (m.to, m.epoch) == (node, epoch))
                else {
                    return;
                };
                if m.step == Step::Preparing {
                    m.step = Step::Offered;
                    self.out.push_back(Output::Offer { node, epoch });
                }
            }
            Input::Refused { node, epoch } => {
                let here = self
                    .going
                    .as_mut()
                    .filter(|m| (m.to, m.epoch) == (node, epoch) && !m.fetched);
                match here {
                    Some(m) if m.step == Step::Preparing => self.abandon(),
                    // Another ticket for it may have been taken meanwhile: only the answer to a cancelling is final.
                    Some(m) => {
                        m.step = Step::Cancelling;
                        self.out.push_back(Output::Cancel { node, epoch });
                    }
                    None => {}
                }
            }
            Input::Serving { node, epoch } => {
                let known = self
                    .going
                    .as_mut()
                    .filter(|m| (m.to, m.epoch) == (node, epoch));
                if let Some(m) = known {
                    (m.fetched, m.step) = (true, Step::Offered);
                } else if epoch < self.epoch {
                    self.owe(node, epoch);
                } else if epoch > self.epoch && self.going.is_none() && !self.gone {
                    // A move of the process before this one, which happened after all.
                    self.adopt(now, node, epoch);
                }
            }
            Input::Playing { epoch } => {
                let Some(m) = self.going.filter(|m| m.epoch == epoch) else {
                    return;
                };
                let from = std::mem::replace(&mut self.at, m.to);
                let before = std::mem::replace(&mut self.epoch, epoch);
                self.going = None;
                if from != m.to && self.dead.is_none() {
                    self.owe(from, before);
                }
                self.dead = None;
                self.out.push_back(Output::Moved { from, to: m.to });
            }
            // Its word is final: whatever the target has of it, nobody will play.
            Input::Declined { epoch } => {
                if self.going.is_some_and(|m| m.epoch == epoch) {
                    self.abandon();
                }
            }
            Input::Cancelled { node, epoch, how } => {
                let here = self
                    .going
                    .filter(|m| (m.to, m.epoch) == (node, epoch) && m.step == Step::Cancelling);
                match (here, how) {
                    (Some(_), Cancelled::Never) => self.stay(node),
                    (_, Cancelled::Serves) => self.handle(now, Input::Serving { node, epoch }),
                    (None, Cancelled::Never) => {}
                }
            }
            Input::Released { node, epoch } => {
                if self.owed.get(&node).is_some_and(|to| *to <= epoch) {
                    self.owed.remove(&node);
                }
            }
            Input::Dead { node } => self.on_dead(now, node),
            Input::Left => {
                self.gone = true;
                let all = self.last;
                let target = self.going.take().map(|m| m.to);
                let nodes: Vec<u64> = target.into_iter().chain([self.at]).collect();
                nodes.into_iter().for_each(|node| self.owe(node, all));
            }
        }
        if self.settled() {
            self.repeat = None;
        } else if self.repeat.is_none() {
            self.repeat = Some(now + REPEAT);
        }
    }

    /// The player has fetched there: it is told until it says that it plays.
    fn adopt(&mut self, now: Micros, to: u64, epoch: Epoch) {
        self.last = self.last.max(epoch);
        self.going = Some(Move {
            to,
            epoch,
            step: Step::Offered,
            until: now + 10 * REPEAT,
            fetched: true,
        });
        self.out.push_back(Output::Offer { node: to, epoch });
    }

    /// The player will not go there: it was never told of it, or says so. The target is told until it answers, and
    /// the next move need not wait for that.
    fn abandon(&mut self) {
        let Some(m) = self.going else { return };
        self.stay(m.to);
        if m.to != self.at {
            self.owe(m.to, m.epoch);
        }
    }

    /// The move did not happen.
    fn stay(&mut self, to: u64) {
        self.going = None;
        self.out.push_back(Output::Stayed { to });
        if self.dead.is_some() {
            self.out.push_back(Output::Orphaned);
        }
    }

    fn on_dead(&mut self, now: Micros, node: u64) {
        self.owed.remove(&node);
        if self.gone {
            return;
        }
        if self.at == node && self.dead.is_none() {
            self.dead = Some(now + ORPHANED);
            // The target may have it yet: nothing is lost before that is known.
            if self.going.is_none() {
                self.out.push_back(Output::Orphaned);
            }
        }
        match self.going {
            Some(m) if m.to == node && m.fetched && self.dead.is_none() => {
                // The player may have gone over to it: it is offered the source anew, under an epoch of its own.
                self.out.push_back(Output::Stayed { to: node });
                self.prepare(now, self.at, m.until.max(now + 10 * REPEAT));
            }
            Some(m) if m.to == node => self.stay(node),
            _ => {}
        }
    }

    /// Repeats what has no answer, and gives up what took too long.
    pub fn handle_timeout(&mut self, now: Micros) {
        let late = self.going.as_mut().filter(|m| now >= m.until && !m.fetched);
        match late {
            // The player has never heard of it.
            Some(m) if m.step == Step::Preparing => self.abandon(),
            Some(m) => m.step = Step::Cancelling,
            None => {}
        }
        if self.going.is_none() && !self.gone && self.dead.is_some_and(|until| now >= until) {
            self.gone = true;
            self.out.push_back(Output::Lost);
        }
        if let Some(m) = &mut self.going {
            let Move {
                to: node,
                epoch,
                step,
                ..
            } = *m;
            self.out.push_back(match step {
                Step::Preparing => Output::Prepare {
                    from: self.at,
                    to: node,
                    epoch,
                },
                Step::Offered => Output::Offer { node, epoch },
                Step::Cancelling => Output::Cancel { node, epoch },
            });
        }
        self.out
            .extend(self.owed.iter().map(|(node, epoch)| Output::Release {
                node: *node,
                epoch: *epoch,
            }));
        self.repeat = (!self.settled()).then_some(now + REPEAT);
    }
}

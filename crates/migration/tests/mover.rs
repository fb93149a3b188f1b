//! When sessions are moved: each cause, what each is worth, the bounds, and what is no cause.

use shalewall::{Micros, ServerId, SessionId};
use shalewall_migration::mover::{Mover, Terms, Why};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn terms() -> Terms {
    Terms {
        takes: 600 * MS,
        again: 15 * S,
        lasts: 6 * S,
        at_node: 4,
        at_front: 6,
        costs_s: 1.0,
    }
}

/// A mover, and the time that its look has been rung up to.
struct Desk {
    mover: Mover,
    now: Micros,
}

impl Desk {
    /// So many sessions at each of two nodes: 0.. at node 1, 100.. at node 2.
    fn new(sessions: u64) -> Desk {
        let mut mover = Mover::new(terms(), 1);
        for id in 0..sessions {
            mover.plays(0, SessionId(id), ServerId(1), Some(600 * S));
            mover.plays(0, SessionId(100 + id), ServerId(2), Some(600 * S));
        }
        Desk { mover, now: 0 }
    }

    fn wait(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(due) = self.mover.poll_timeout().filter(|due| *due <= until) {
            self.now = due;
            self.mover.handle_timeout(due);
        }
        self.now = until;
    }

    fn wishes(&mut self) -> Vec<(u64, Why)> {
        self.mover
            .wishes(self.now)
            .into_iter()
            .map(|(s, why)| (s.0, why))
            .collect()
    }

    /// Moves all that are wished for to node 3; how many.
    fn move_all(&mut self) -> usize {
        let wishes = self.wishes();
        for (id, _) in &wishes {
            self.mover.began(SessionId(*id), ServerId(3));
        }
        for (id, _) in &wishes {
            self.mover.ended(self.now, SessionId(*id), true);
        }
        wishes.len()
    }
}

#[test]
fn a_node_that_drains_is_emptied_within_the_bounds() {
    let mut desk = Desk::new(10);
    desk.mover.drains(0, ServerId(1), true);
    let mut rounds = Vec::new();
    while let n @ 1.. = desk.move_all() {
        rounds.push(n);
    }
    assert_eq!(rounds, [4, 4, 2], "four from one node at once");
    // With moves under way there is room for fewer.
    let mut desk = Desk::new(10);
    (1..=2).for_each(|node| desk.mover.drains(0, ServerId(node), true));
    let first = desk.wishes();
    assert_eq!(first.len(), 6, "six of this front");
    first
        .iter()
        .for_each(|(id, _)| desk.mover.began(SessionId(*id), ServerId(9)));
    assert_eq!(desk.wishes(), []);
    assert!(
        !desk.mover.may_take(ServerId(9)),
        "six are on their way there"
    );
    desk.mover.ended(0, SessionId(first[0].0), true);
    assert_eq!(desk.wishes().len(), 1);
}

#[test]
fn what_ends_soon_is_not_worth_a_move() {
    let mut desk = Desk::new(0);
    desk.mover
        .plays(0, SessionId(1), ServerId(1), Some(800 * MS));
    desk.mover.plays(0, SessionId(2), ServerId(1), Some(8 * S));
    desk.mover.drains(0, ServerId(1), true);
    assert_eq!(desk.wishes(), [(2, Why::Drains)]);
}

#[test]
fn one_player_alone_that_hears_nothing_is_no_cause_and_most_of_them_are() {
    let mut desk = Desk::new(4);
    desk.mover.silent(0, SessionId(0), 300 * MS);
    assert_eq!(desk.wishes(), [], "its own network, most likely");
    desk.mover.silent(0, SessionId(1), 200 * MS);
    assert_eq!(
        desk.wishes(),
        [(1, Why::Silent), (0, Why::Silent)],
        "whose buffer runs dry first"
    );
    assert_eq!(desk.mover.silent_nodes(), [ServerId(1)]);
    // The words are old when nobody says them again.
    desk.wait(S);
    assert_eq!(desk.wishes(), []);
    assert_eq!(desk.mover.silent_nodes(), []);
}

#[test]
fn a_buffer_that_lasts_longer_than_a_move_takes_waits() {
    let mut desk = Desk::new(1);
    desk.mover.silent(0, SessionId(0), 900 * MS);
    assert_eq!(desk.wishes(), [], "it may pass yet");
    desk.wait(300 * MS);
    assert_eq!(desk.wishes(), [(0, Why::Silent)]);
}

#[test]
fn nothing_heard_in_a_stall_of_its_own_is_a_cause() {
    let mut desk = Desk::new(3);
    desk.wait(S);
    // It stood still for two seconds; words that waited meanwhile are read now.
    desk.now += 2 * S;
    for id in 0..3 {
        desk.mover.silent(desk.now, SessionId(id), 100 * MS);
    }
    assert_eq!(desk.wishes(), []);
    desk.wait(600 * MS);
    for id in 0..3 {
        desk.mover.silent(desk.now, SessionId(id), 100 * MS);
    }
    assert_eq!(desk.wishes().len(), 3, "said again, it counts");
}

#[test]
fn a_node_that_stands_still_again_and_again_costs_a_session_one_move_a_time() {
    // All players of both nodes say so each second for a minute: no session moves twice within the time.
    let mut desk = Desk::new(2);
    let mut last = [-100 * S; 2];
    for _ in 0..60 {
        for id in 0..2u64 {
            desk.mover.silent(desk.now, SessionId(id), 300 * MS);
        }
        for (id, _) in desk.wishes().into_iter().filter(|(id, _)| *id < 2) {
            assert!(desk.now - last[id as usize] >= 15 * S);
            last[id as usize] = desk.now;
            desk.mover.began(
                SessionId(id),
                ServerId(3 + (desk.now / (15 * S)) as u64 % 3),
            );
            desk.mover.ended(desk.now, SessionId(id), true);
        }
        desk.wait(S);
    }
    assert!(last[0] > 30 * S);
}

#[test]
fn a_shortage_has_to_last_and_to_cost_more_than_the_move() {
    let mut desk = Desk::new(3);
    let mut moved = 0;
    for second in 0..30 {
        desk.mover.delivers(desk.now, ServerId(1), 0.5);
        let wishes = desk.wishes();
        assert!(second >= 6 || wishes.is_empty());
        assert!(
            wishes
                .iter()
                .all(|(id, why)| *id < 100 && *why == Why::Short)
        );
        for (id, _) in wishes {
            desk.mover.began(SessionId(id), ServerId(3));
            desk.mover.ended(desk.now, SessionId(id), true);
            moved += 1;
        }
        desk.wait(S);
    }
    assert!(moved >= 2, "{moved}");
    // Of a session with 8 s to go a tenth is less than what a move costs.
    let mut desk = Desk::new(0);
    desk.mover.plays(0, SessionId(1), ServerId(1), Some(15 * S));
    for _ in 0..14 {
        desk.mover.delivers(desk.now, ServerId(1), 0.9);
        assert_eq!(desk.wishes(), []);
        desk.wait(S);
    }
}

#[test]
fn an_orphan_goes_first_and_at_once_also_right_after_a_move() {
    let mut desk = Desk::new(2);
    desk.mover.drains(0, ServerId(1), true);
    desk.mover.began(SessionId(0), ServerId(3));
    desk.mover.ended(0, SessionId(0), true);
    desk.mover.orphaned(0, SessionId(0));
    assert_eq!(desk.wishes(), [(0, Why::Orphaned), (1, Why::Drains)]);
    assert_eq!(desk.wishes(), [(0, Why::Orphaned), (1, Why::Drains)]);
    // Without room it is looked for again soon, not at once.
    desk.mover.no_room(0, SessionId(0));
    assert_eq!(desk.wishes(), [(1, Why::Drains)]);
    desk.wait(300 * MS);
    assert!(desk.wishes().contains(&(0, Why::Orphaned)));
}

#[test]
fn a_drain_is_no_guess_and_binds_also_right_after_a_move() {
    let mut desk = Desk::new(1);
    desk.mover.began(SessionId(0), ServerId(3));
    desk.mover.ended(0, SessionId(0), true);
    desk.mover.silent(0, SessionId(0), 100 * MS);
    assert_eq!(desk.wishes(), [], "moved just now");
    desk.mover.drains(0, ServerId(3), true);
    assert_eq!(desk.wishes(), [(0, Why::Drains)]);
}

#[test]
fn a_move_that_did_not_happen_is_tried_again_and_an_end_in_its_middle_frees_its_place() {
    let mut desk = Desk::new(1);
    desk.mover.drains(0, ServerId(1), true);
    desk.mover.began(SessionId(0), ServerId(3));
    assert_eq!(desk.wishes(), []);
    desk.mover.ended(0, SessionId(0), false);
    desk.wait(200 * MS);
    assert_eq!(desk.wishes(), [(0, Why::Drains)]);
    for id in 0..50 {
        desk.mover.plays(desk.now, SessionId(id), ServerId(1), None);
        desk.mover.began(SessionId(id), ServerId(3));
        desk.mover.over(SessionId(id));
    }
    desk.mover.plays(desk.now, SessionId(60), ServerId(1), None);
    assert_eq!(desk.wishes().len(), 1, "nothing is under way any more");
}

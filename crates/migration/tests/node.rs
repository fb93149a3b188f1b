//! Tickets at a node: twice, late, for another, of an earlier process, after the end.

use shalewall::{ServerId, SessionId};
use shalewall_migration::Epoch;
use shalewall_migration::node::{Cancelled, Held, Holds, Refusal};
use shalewall_migration::ticket::{Key, Ticket};

const ME: ServerId = ServerId(4);
const SESSION: SessionId = SessionId(9);

fn key() -> Key {
    Key::new([3; 32])
}

/// Good from 1000 to 2000.
fn ticket(epoch: u32) -> Ticket {
    key().issue(SESSION, Epoch(epoch), ServerId(1), ME, 1000..2000)
}

fn ready() -> Holds {
    let mut node = Holds::new(900);
    assert_eq!(node.prepare(ME, &key(), 1100, &ticket(1)), Ok(()));
    node
}

#[test]
fn the_same_ticket_again_has_the_same_answer_before_and_after_it_is_fetched() {
    let mut node = ready();
    assert_eq!(node.prepare(ME, &key(), 1200, &ticket(1)), Ok(()));
    assert_eq!(node.fetch(SESSION, Epoch(1)), Ok(()));
    // Also when its time is over: what it was for has been done.
    assert_eq!(node.prepare(ME, &key(), 5000, &ticket(1)), Ok(()));
    assert_eq!(
        node.held(SESSION),
        Held {
            serving: Some(Epoch(1)),
            prepared: None
        }
    );
}

#[test]
fn late_for_another_forged_or_older_than_the_process_it_is_not_good() {
    let refused = |node: &mut Holds, me, now, t: &Ticket| {
        node.prepare(me, &key(), now, t) == Err(Refusal::NotGood)
    };
    let mut node = Holds::new(900);
    assert!(refused(&mut node, ME, 2000, &ticket(1)), "late");
    assert!(
        refused(&mut node, ServerId(5), 1100, &ticket(1)),
        "another node's"
    );
    let mut forged: Ticket = ticket(1);
    forged.epoch = Epoch(7);
    assert!(refused(&mut node, ME, 1100, &forged));
    assert!(
        refused(&mut Holds::new(1001), ME, 1100, &ticket(1)),
        "issued before the process began"
    );
    assert_eq!(
        node.held(SESSION),
        Held::default(),
        "nothing came of any of them"
    );
}

#[test]
fn after_the_end_and_after_a_later_epoch_it_is_over() {
    let mut node = ready();
    assert_eq!(node.fetch(SESSION, Epoch(1)), Ok(()));
    node.release(SESSION, Epoch(1));
    assert_eq!(
        node.prepare(ME, &key(), 1100, &ticket(1)),
        Err(Refusal::Over)
    );
    assert_eq!(node.fetch(SESSION, Epoch(1)), Err(Refusal::Over));
    // It may come back under a later one.
    assert_eq!(node.prepare(ME, &key(), 1100, &ticket(2)), Ok(()));
    assert_eq!(
        node.prepare(ME, &key(), 1100, &ticket(1)),
        Err(Refusal::Over)
    );
    // The whole session is over: no epoch is good any more.
    node.release(SESSION, Epoch(u32::MAX));
    assert_eq!(
        node.prepare(ME, &key(), 1100, &ticket(3)),
        Err(Refusal::Over)
    );
}

#[test]
fn fetched_or_cancelled_whichever_comes_first() {
    let mut node = ready();
    assert_eq!(node.cancel(SESSION, Epoch(1)), Cancelled::Never);
    assert_eq!(node.fetch(SESSION, Epoch(1)), Err(Refusal::Over));
    assert_eq!(
        node.prepare(ME, &key(), 1100, &ticket(1)),
        Err(Refusal::Over),
        "nor by a ticket that comes late"
    );
    let mut node = ready();
    assert_eq!(node.fetch(SESSION, Epoch(1)), Ok(()));
    assert_eq!(node.cancel(SESSION, Epoch(1)), Cancelled::Serves);
    assert_eq!(
        node.cancel(SESSION, Epoch(1)),
        Cancelled::Serves,
        "and again"
    );
    // Something that was never here can be cancelled before it comes.
    let mut node = Holds::new(900);
    assert_eq!(node.cancel(SESSION, Epoch(1)), Cancelled::Never);
    assert_eq!(
        node.prepare(ME, &key(), 1100, &ticket(1)),
        Err(Refusal::Over)
    );
}

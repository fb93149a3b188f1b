//! Tickets at a node: repeated, expired, for another node, older than the process, and after the session's end.

use shalewall::{ServerId, SessionId};
use shalewall_migration::Epoch;
use shalewall_migration::node::{
    CancelOutcome, FetchError, NodeSessions, PrepareError, SessionEpochs,
};
use shalewall_migration::ticket::{Ticket, TicketKey, UnixMillis, Validity};

const OWN_ID: ServerId = ServerId(4);
const SESSION: SessionId = SessionId(9);
const VALIDITY: Validity = Validity {
    issued_at: 1000,
    expires_at: 2000,
};

fn key() -> TicketKey {
    TicketKey::new([3; 32])
}

fn ticket(epoch: u32) -> Ticket {
    key().issue(SESSION, Epoch(epoch), ServerId(1), OWN_ID, VALIDITY)
}

fn prepare(node: &mut NodeSessions, now: UnixMillis, epoch: u32) -> Result<(), PrepareError> {
    node.prepare(OWN_ID, &key(), now, &ticket(epoch))
}

/// A node that has prepared epoch 1.
fn prepared_node() -> NodeSessions {
    let mut node = NodeSessions::new(900);
    assert_eq!(prepare(&mut node, 1100, 1), Ok(()));
    node
}

#[test]
fn repeated_ticket_has_the_same_answer_before_and_after_the_fetch() {
    let mut node = prepared_node();
    assert_eq!(prepare(&mut node, 1200, 1), Ok(()));
    assert_eq!(node.fetch(SESSION, Epoch(1)), Ok(()));
    // An expired ticket is accepted too, since its epoch has already been fetched.
    assert_eq!(prepare(&mut node, 5000, 1), Ok(()));
    assert_eq!(
        node.epochs(SESSION),
        SessionEpochs {
            serving: Some(Epoch(1)),
            prepared: None
        }
    );
}

#[test]
fn expired_foreign_forged_and_outdated_tickets_are_invalid() {
    let is_invalid = |node: &mut NodeSessions, own_id, now, ticket: &Ticket| {
        node.prepare(own_id, &key(), now, ticket) == Err(PrepareError::InvalidTicket)
    };
    let mut node = NodeSessions::new(900);
    assert!(is_invalid(&mut node, OWN_ID, 2000, &ticket(1)), "expired");
    assert!(
        is_invalid(&mut node, ServerId(5), 1100, &ticket(1)),
        "for another node"
    );
    let mut forged: Ticket = ticket(1);
    forged.epoch = Epoch(7);
    assert!(is_invalid(&mut node, OWN_ID, 1100, &forged));
    assert!(
        is_invalid(&mut NodeSessions::new(1001), OWN_ID, 1100, &ticket(1)),
        "issued before the process started"
    );
    assert_eq!(
        node.epochs(SESSION),
        SessionEpochs::default(),
        "invalid tickets do not change the state"
    );
}

#[test]
fn a_ticket_after_the_end_or_after_a_later_epoch_is_rejected() {
    let mut node = prepared_node();
    assert_eq!(node.fetch(SESSION, Epoch(1)), Ok(()));
    node.release(SESSION, Epoch(1));
    assert_eq!(prepare(&mut node, 1100, 1), Err(PrepareError::EpochEnded));
    assert_eq!(node.fetch(SESSION, Epoch(1)), Err(FetchError::EpochEnded));
    // The session may return under a later epoch.
    assert_eq!(prepare(&mut node, 1100, 2), Ok(()));
    assert_eq!(prepare(&mut node, 1100, 1), Err(PrepareError::EpochEnded));
    // After the end of the session, no epoch can be prepared any more.
    node.release(SESSION, Epoch(u32::MAX));
    assert_eq!(prepare(&mut node, 1100, 3), Err(PrepareError::EpochEnded));
}

#[test]
fn an_epoch_is_fetched_or_cancelled_whichever_comes_first() {
    let mut node = prepared_node();
    assert_eq!(node.cancel(SESSION, Epoch(1)), CancelOutcome::Cancelled);
    assert_eq!(node.fetch(SESSION, Epoch(1)), Err(FetchError::EpochEnded));
    assert_eq!(
        prepare(&mut node, 1100, 1),
        Err(PrepareError::EpochEnded),
        "a delayed ticket does not prepare a cancelled epoch"
    );
    let mut node = prepared_node();
    assert_eq!(node.fetch(SESSION, Epoch(1)), Ok(()));
    assert_eq!(
        node.cancel(SESSION, Epoch(1)),
        CancelOutcome::AlreadyServing
    );
    assert_eq!(
        node.cancel(SESSION, Epoch(1)),
        CancelOutcome::AlreadyServing,
        "cancellation is idempotent"
    );
    // An epoch can be cancelled before the request to prepare it arrives.
    let mut node = NodeSessions::new(900);
    assert_eq!(node.cancel(SESSION, Epoch(1)), CancelOutcome::Cancelled);
    assert_eq!(prepare(&mut node, 1100, 1), Err(PrepareError::EpochEnded));
}

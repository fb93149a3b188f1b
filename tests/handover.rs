//! Sessions handed over while they play: where to, at which rung, and what is held at both servers meanwhile.

mod common;
use common::*;
use shalewall::*;

/// A session that plays, and where.
fn plays(desk: &mut Desk, id: u64, class: usize) -> ServerId {
    let server = sent_to(&desk.ask(id, class)).expect("room");
    desk.start(id, 0, server);
    server
}

/// Asks for a session to be handed over: where to, and at which rung.
fn hand_over(desk: &mut Desk, id: u64) -> Option<(ServerId, usize)> {
    let out = desk.tell(Event::MigrationRequested(SessionId(id)));
    out.iter().find_map(|a| match a {
        Action::Migrate {
            session,
            server,
            rung,
        } if session.0 == id => Some((*server, *rung)),
        _ => None,
    })
}

fn over(desk: &mut Desk, id: u64, moved: bool) {
    desk.tell(Event::MigrationFinished {
        session: SessionId(id),
        migrated: moved,
    });
}

/// A director over servers whose links are all that counts.
fn desk(servers: u64) -> Desk {
    Desk::new(
        Settings {
            rack_uplink_kb_s: 0.0,
            ..settings()
        },
        servers,
    )
}

#[test]
fn another_holder_is_found_and_never_the_one_where_it_plays() {
    let mut desk = desk(2);
    let from = plays(&mut desk, 1, HARMLESS);
    let (to, rung) = hand_over(&mut desk, 1).expect("room");
    assert_ne!(to, from);
    assert_eq!(rung, 4, "the asked rung, on an empty link");
    // One move at a time; once it is over the other way is open.
    assert_eq!(hand_over(&mut desk, 1), None);
    over(&mut desk, 1, true);
    assert_eq!(hand_over(&mut desk, 1).map(|(to, _)| to), Some(from));
}

#[test]
fn what_drains_is_gone_or_silent_takes_nothing_over() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut desk = desk(2);
        let from = plays(&mut desk, 1, HARMLESS);
        desk.list(
            EndpointUpdate::Delta,
            vec![Endpoint {
                state,
                ..line(3 - from.0)
            }],
        );
        assert_eq!(hand_over(&mut desk, 1), None);
    }
    let mut desk = desk(2);
    let other = ServerId(3 - plays(&mut desk, 1, PAID).0);
    desk.tell(Event::ServerSilent(other));
    assert_eq!(hand_over(&mut desk, 1), None, "it has just failed");
    // Nothing is set up by a hand-over: it tries a failing server as harmless set-ups do, and clears it.
    desk.now += 2 * S;
    desk.tell(Event::ServerSilent(ServerId(3 - other.0)));
    assert_eq!(hand_over(&mut desk, 1).map(|(to, _)| to), Some(other));
    over(&mut desk, 1, true);
    assert_eq!(
        sent_to(&desk.ask(2, PAID)),
        Some(other),
        "it takes paid set-ups again"
    );
}

/// The same where every session wants the top rung and nothing less: four to a link.
fn whole(servers: u64) -> Desk {
    let mut set = Settings {
        rack_uplink_kb_s: 0.0,
        ..settings()
    };
    set.classes[HARMLESS].lowest_rung = 4;
    Desk::new(set, servers)
}

/// How many of these viewers play.
fn fill(desk: &mut Desk, ids: std::ops::Range<u64>) -> usize {
    let mut playing = 0;
    for id in ids {
        if let Some(server) = sent_to(&desk.ask(id, HARMLESS)) {
            desk.start(id, 0, server);
            playing += 1;
        }
    }
    playing
}

#[test]
fn a_rate_counts_at_both_until_the_move_is_over() {
    let mut desk = whole(2);
    let from = plays(&mut desk, 1, HARMLESS);
    hand_over(&mut desk, 1).expect("room");
    assert_eq!(
        fill(&mut desk, 10..100),
        6,
        "two of eight places are its own"
    );
    over(&mut desk, 1, true);
    assert_eq!(
        fill(&mut desk, 100..200),
        1,
        "one came free where it played"
    );
    assert_eq!(
        hand_over(&mut desk, 1),
        None,
        "there is no room for another move"
    );
    // It is accounted where it plays now: its end there frees that.
    desk.finish(1, 0, ServerId(3 - from.0), Outcome::Success);
    assert_eq!(fill(&mut desk, 200..300), 1);
}

#[test]
fn a_move_that_did_not_happen_leaves_nothing_behind() {
    let mut desk = desk(2);
    plays(&mut desk, 1, PAID);
    for _ in 0..50 {
        hand_over(&mut desk, 1).expect("room each time");
        over(&mut desk, 1, false);
    }
    // Seats of the paid class: 3. The session has one of them, whatever was tried.
    assert!(sent_to(&desk.ask(2, PAID)).is_some());
    assert!(sent_to(&desk.ask(3, PAID)).is_some());
    assert_eq!(sent_to(&desk.ask(4, PAID)), None);
}

#[test]
fn its_own_seat_is_no_hindrance_and_no_seat_is_given_while_it_may_be_at_both() {
    let mut desk = desk(2);
    for id in 1..=3 {
        plays(&mut desk, id, PAID);
    }
    assert!(
        hand_over(&mut desk, 1).is_some(),
        "all seats are taken, one of them by itself"
    );
    over(&mut desk, 1, true);
    desk.finish(2, 0, ServerId(1), Outcome::Success);
    hand_over(&mut desk, 3).expect("room");
    assert_eq!(sent_to(&desk.ask(9, PAID)), None, "may be at both");
    over(&mut desk, 3, true);
    assert!(sent_to(&desk.ask(10, PAID)).is_some());
}

#[test]
fn an_end_in_the_middle_of_a_move_frees_both() {
    let mut desk = desk(2);
    let from = plays(&mut desk, 1, PAID);
    hand_over(&mut desk, 1).expect("room");
    desk.finish(1, 0, from, Outcome::Success);
    over(&mut desk, 1, false);
    let playing = (2..10)
        .filter(|id| sent_to(&desk.ask(*id, PAID)).is_some())
        .count();
    assert_eq!(playing, 3, "all seats");
}

#[test]
fn hand_overs_keep_a_cold_servers_pace() {
    let mut desk = desk(2);
    let ids: Vec<u64> = (1..=8).collect();
    desk.list(
        EndpointUpdate::Delta,
        vec![Endpoint {
            state: EndpointState::Draining,
            ..line(2)
        }],
    );
    ids.iter()
        .for_each(|id| assert_eq!(plays(&mut desk, *id, HARMLESS), ServerId(1)));
    // The other comes back cold: 30 places over 12 s at 0.4, twice that, half of it used: 2 in 2 s.
    desk.now += S;
    desk.list(
        EndpointUpdate::Delta,
        vec![Endpoint {
            started_at: Some(desk.now),
            ..line(2)
        }],
    );
    let moved = ids
        .iter()
        .filter(|id| hand_over(&mut desk, **id).is_some())
        .count();
    assert!(moved <= 2, "{moved}");
}

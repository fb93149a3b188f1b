//! Demand as a flow, and room made by own sessions that step down: a fleet that fills from empty.

mod common;
use common::*;
use shalewall::*;

/// One server, and on it so many sessions at the top rung that fill its link.
fn full_of_top_rungs(sessions: u64, hint: TimeDelta) -> Desk {
    let mut set = settings();
    (
        set.rack_count,
        set.rack_uplink_kb_s,
        set.link_kb_s_per_weight,
    ) = (0, 0.0, 2_000.0 * sessions as f64);
    let mut desk = Desk::new(set, 1);
    for id in 1..=sessions {
        let req = Request {
            duration_hint: Some(hint),
            ..request(id, HARMLESS, desk.now)
        };
        desk.tell(Event::SessionTransferred(req, ServerId(1)));
        desk.note(id, ServerId(1), Notification::CurrentRung(4));
    }
    desk.note(1, ServerId(1), Notification::LinkUtilization(0.95));
    desk
}

fn asked(desk: &mut Desk, id: u64, hint: TimeDelta) -> Vec<Action> {
    let req = Request {
        duration_hint: Some(hint),
        ..request(id, HARMLESS, desk.now)
    };
    desk.tell(Event::RequestReceived(req))
}

fn stepped(out: &[Action], new: u64) -> Vec<u64> {
    let other = |a: &Action| match a {
        Action::SetRung { session, .. } if session.0 != new => Some(session.0),
        _ => None,
    };
    out.iter().filter_map(other).collect()
}

#[test]
fn a_request_that_would_be_turned_away_has_own_top_rungs_step_down_for_it() {
    let mut desk = full_of_top_rungs(4, 600 * S);
    let out = asked(&mut desk, 9, 600 * S);
    assert_eq!(sent_to(&out), Some(ServerId(1)));
    assert_eq!(
        stepped(&out, 9).len(),
        1,
        "one top rung makes more room than it needs: {out:?}"
    );
    // The steps come before the set-up that they make room for.
    let send = out
        .iter()
        .position(|a| matches!(a, Action::StartAttempt { .. }));
    assert!(out.iter().position(|a| matches!(a, Action::SetRung { .. })) < send);
}

#[test]
fn a_short_visit_does_not_pay_for_a_step() {
    // Scene 'peeks': a crowd whose sessions last 5 s must not push everyone down.
    let mut desk = full_of_top_rungs(4, 600 * S);
    let out = asked(&mut desk, 9, 3 * S / 2);
    assert!(refused(&out) && stepped(&out, 9).is_empty());
}

#[test]
fn the_same_session_does_not_step_again_before_it_has_been_calm() {
    let mut desk = full_of_top_rungs(1, 600 * S);
    assert_eq!(stepped(&asked(&mut desk, 9, 600 * S), 9), vec![1]);
    desk.note(1, ServerId(1), Notification::LinkUtilization(0.97));
    assert!(refused(&asked(&mut desk, 10, 600 * S)));
    // Time for reports to show what the step has freed; then it may.
    desk.wait(5 * S);
    desk.note(1, ServerId(1), Notification::LinkUtilization(0.94));
    assert_eq!(
        stepped(&asked(&mut desk, 11, 600 * S), 11).first(),
        Some(&1)
    );
}

#[test]
fn no_room_is_made_where_a_shortage_is_told_or_the_viewer_could_not_be_served_anyway() {
    let mut desk = full_of_top_rungs(4, 600 * S);
    desk.note(1, ServerId(1), Notification::DeliveredFraction(0.9));
    assert!(refused(&asked(&mut desk, 9, 600 * S)));
    // A player that can't show the class's lowest rung.
    let mut desk = full_of_top_rungs(4, 600 * S);
    let req = Request {
        highest_rung: 0,
        duration_hint: Some(600 * S),
        ..request(9, PAID, desk.now)
    };
    let out = desk.tell(Event::RequestReceived(req));
    assert!(refused(&out) && stepped(&out, 9).is_empty());
}

/// What viewers that come each second get, the first of them on an empty link that carries 14 top rungs. They
/// say that they stay for `hint`, and leave after `stay`.
fn rungs_from_empty(hint: TimeDelta, stay: u64, again: bool, viewers: u64) -> Vec<usize> {
    let mut set = settings();
    (
        set.rack_count,
        set.rack_uplink_kb_s,
        set.link_kb_s_per_weight,
    ) = (0, 0.0, 30_000.0);
    let ladder = set.ladder.clone();
    let mut desk = Desk::new(set, 1);
    let (mut given, mut held) = (Vec::new(), std::collections::BTreeMap::new());
    for id in 1..=viewers {
        desk.wait(S);
        let req = Request {
            duration_hint: Some(hint),
            is_retry: again,
            ..request(id, HARMLESS, desk.now)
        };
        let out = desk.tell(Event::RequestReceived(req));
        assert!(!refused(&out), "viewer {id}");
        for action in &out {
            if let Action::SetRung { session, rung } = action {
                held.insert(session.0, *rung);
            }
        }
        given.push(held[&id]);
        desk.start(id, 0, ServerId(1));
        if id > stay {
            desk.finish(id - stay, 0, ServerId(1), Outcome::Success);
            held.remove(&(id - stay));
        }
        let kb: f64 = held.values().map(|r| ladder[*r].rate_kb_s).sum();
        desk.note(
            id,
            ServerId(1),
            Notification::LinkUtilization(kb / 30_000.0),
        );
    }
    given
}

#[test]
fn a_fleet_that_fills_gives_rungs_for_those_who_will_be_there() {
    // One a second for two minutes each are 120 sessions.
    let long = rungs_from_empty(120 * S, 120, false, 40);
    assert_eq!(long[..3], [4; 3], "a few viewers are no flow");
    assert!(long[13..].iter().all(|r| *r < 4), "{long:?}");
    // The same for five seconds each are five at a time, and all may have the top.
    assert_eq!(rungs_from_empty(5 * S, 5, false, 40), [4; 40]);
}

#[test]
fn viewers_that_come_again_are_no_new_demand() {
    let tops = |again| {
        rungs_from_empty(120 * S, 120, again, 40)
            .iter()
            .filter(|r| **r == 4)
            .count()
    };
    assert!(
        tops(true) > tops(false),
        "{} against {}",
        tops(true),
        tops(false)
    );
}

#[test]
fn hints_that_lie_are_found_out_by_how_sessions_end() {
    // They last 10 s and say 100: believed at first, and once some have ended they count for a part of that.
    let sums = |hint, from: usize| {
        let rungs = rungs_from_empty(hint, 10, false, 120);
        rungs[from..from + 20].iter().sum::<usize>()
    };
    assert!(
        sums(100 * S, 15) + 3 <= sums(10 * S, 15),
        "{} {}",
        sums(100 * S, 15),
        sums(10 * S, 15)
    );
    assert!(
        sums(100 * S, 90) + 10 >= sums(10 * S, 90),
        "{} {}",
        sums(100 * S, 90),
        sums(10 * S, 90)
    );
}

/// Seen on sockets: a director back from a restart is met by the viewers that the next one's restart sends off. It
/// had nothing that it grew from, took the fleet for hundreds of times as full and gave all of them the lowest rung.
#[test]
fn a_crowd_at_a_director_that_is_just_back_does_not_fill_the_fleet() {
    let mut set = settings();
    (set.director_count, set.rules.warm_up, set.rack_uplink_kb_s) = (2, TimeDelta::ZERO, 200_000.0);
    set.link_kb_s_per_weight = 100_000.0;
    let mut desk = Desk {
        director: Director::new(1, set, Timestamp::ZERO + 60 * S),
        now: Timestamp::ZERO + 60 * S,
    };
    desk.list(EndpointUpdate::Full, (1..=4).map(line).collect());
    desk.now += S;
    for id in 1..=40 {
        desk.now += 10 * MS;
        let server = sent_to(&desk.ask(id, HARMLESS)).unwrap();
        desk.start(id, 0, server);
        desk.report(id, server, 0.2, 0.2); // what both directors' viewers ask
    }
    assert!(rung(&desk.ask(99, HARMLESS)) >= Some(3));
}

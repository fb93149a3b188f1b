//! The running counts beside the plain walks over all sessions that they stand for, on random events.

use super::*;

#[rustfmt::skip] // formatted with the tests, which have no limit of lines
#[path = "../../tests/common/mod.rs"]
mod common;
use common::{Dice, MS, S, line};

fn settings() -> Settings {
    let mut set =
        Settings { director_count: 3, cell_count: 6, rack_uplink_kb_s: 25_000.0, ..common::settings() };
    set.classes[common::PAID].session_limit_per_title = 4;
    set.rules.warm_up = 8 * S;
    set.rules.retry_budget = Some(RetryBudget { base: 2.0, per_request: 0.2, window: 10 * S });
    set
}

/// What `settled` stands for: every session that is due, by itself.
fn plainly_settled(d: &Director) -> BTreeMap<SessionId, usize> {
    let mut steps = BTreeMap::new();
    for (id, t) in &d.held.live {
        if t.state != State::Plays || d.now < t.due {
            continue;
        }
        let Some(s) = d.servers.get(&t.server).filter(|s| !s.short) else { continue };
        let (req, class) = (&t.ask.req, t.ask.req.class);
        let (Some(terms), Some(top)) = (d.set.classes.get(class), d.set.top(req)) else { continue };
        let told = s.link.reported.is_some_and(|r| r >= t.sent);
        if !told || d.uplink_of(s).is_some_and(|u| u.reported.is_none()) || top <= t.rung {
            continue;
        }
        let (fuller, part) = (d.fuller(s), draw(id.0));
        let group =
            Group { server: t.server, class, rung: t.rung, top: req.highest_rung, tenant: req.tenant };
        let Some(top) = (t.rung + 1..=top).rev().find(|r| d.common(&group, *r, part, fuller)) else {
            continue;
        };
        let Some(rung) = d.rung_at(s, req, terms.lowest_rung, top, t.kb).filter(|r| *r > t.rung) else {
            continue;
        };
        let left = req.duration_hint.map_or(f64::INFINITY, |h| (h - (d.now - t.sent)).as_secs_f64());
        if left * (d.set.ladder[rung].utility - d.set.ladder[t.rung].utility) > d.set.rung_change_cost_s {
            steps.insert(*id, rung);
        }
    }
    steps
}

fn compare(d: &Director) {
    let live = || d.held.live.values();
    for class in 0..3 {
        let count = live().filter(|l| l.ask.req.class == class).count();
        assert_eq!(d.held.by_class.get(&class).copied().unwrap_or(0), count);
    }
    for title in (0..6).map(TitleId) {
        let count = live().filter(|l| l.ask.req.title == title).count();
        assert_eq!(d.held.by_title.get(&title).copied().unwrap_or(0), count);
    }
    let of = |tenant| live().filter(move |l| l.ask.req.tenant == Some(tenant)).map(|l| l.kb);
    for tenant in 0..3 {
        let (sessions, kb) = d.held.by_tenant.get(&tenant).copied().unwrap_or_default();
        assert!((kb - of(tenant).sum::<f64>()).abs() < 1e-6);
        assert_eq!(sessions, of(tenant).count());
        assert_eq!(d.held.by_tenant.contains_key(&tenant), sessions > 0);
    }
    assert!((d.held.tenants_kb - (0..3).flat_map(of).sum::<f64>()).abs() < 1e-6);
    for ago in [TimeDelta::ZERO, S, 2 * S, 3 * S, 10 * S] {
        let than = d.now - ago;
        assert_eq!(later(&d.held.sent, than), live().filter(|l| l.sent > than).count());
        for server in (1..=6).map(ServerId) {
            let count = live().filter(|l| l.server == server && l.sent > than).count();
            assert_eq!(d.held.at.get(&server).map_or(0, |at| later(at, than)), count);
        }
    }
    for server in (1..=6).map(ServerId) {
        let out = live().filter(|l| l.server == server && l.state != State::Plays).count();
        assert_eq!(d.held.out.get(&server).copied().unwrap_or(0), out);
        assert_eq!(d.held.at.contains_key(&server), live().any(|l| l.server == server));
    }
    let due: usize = d.held.due.values().map(BTreeSet::len).sum();
    assert_eq!(due, live().filter(|l| l.state == State::Plays).count());
    assert_eq!(d.settled(), plainly_settled(d));
}

fn listed(id: u64, state: EndpointState) -> Endpoint {
    Endpoint { state, ..line(id) }
}

fn request(dice: &mut Dice, id: u64, now: Timestamp) -> Request {
    Request {
        session: SessionId(id),
        class: dice.roll(2) as usize,
        tenant: Some(dice.roll(4) as usize).filter(|t| *t < 3),
        viewer: dice.roll(80),
        title: TitleId(dice.roll(6)),
        deadline: now + 4 * S,
        duration_hint: (dice.roll(3) > 0).then_some(40 * S),
        first_cell: dice.roll(6),
        replica_cells: 3,
        highest_rung: dice.roll(6) as usize,
        is_retry: false,
        fleet: 0,
    }
}

#[test]
fn running_counts_are_what_plain_walks_find() {
    let mut settled = 0;
    for seed in 1..=8u64 {
        let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let tenants = [0.2, 0.8, 0.0]
            .map(|part| TenantSettings { fleet_quota: part, ..TenantSettings::default() })
            .to_vec();
        let set = Settings { tenants, ..settings() };
        let (mut d, mut out, mut now) =
            (Director::new(seed, set, Timestamp::ZERO), Vec::new(), Timestamp::ZERO);
        let lines = (1..=6).map(|id| listed(id, EndpointState::Ready)).collect();
        d.handle(now, Event::EndpointsUpdated { update: EndpointUpdate::Full, endpoints: lines }, &mut out);
        for id in 0..40 {
            let req = request(&mut dice, id, now);
            d.handle(now, Event::SessionTransferred(req, ServerId(1 + dice.roll(6))), &mut out);
        }
        for id in 40..1200 {
            now += dice.roll(80) as i64 * MS;
            let some = |dice: &mut Dice, d: &Director| {
                let n = d.held.live.len().max(1) as u64;
                d.held
                    .live
                    .values()
                    .nth(dice.roll(n) as usize)
                    .map(|l| (l.ask.req.session, l.ask.attempts - 1, l.server, l.state == State::Pending))
            };
            let event = match (dice.roll(10), some(&mut dice, &d)) {
                (0..=2, _) => Event::RequestReceived(request(&mut dice, id, now)),
                (3..=4, Some((session, attempt, server, true))) => {
                    Event::SessionStarted { session, attempt, server, setup_time: 80 * MS }
                }
                (3..=5, Some((session, attempt, server, _))) if dice.roll(2) == 0 => {
                    let outcomes =
                        [Outcome::Success, Outcome::ConnectionReset, Outcome::Rejected, Outcome::TimedOut];
                    let outcome = outcomes[dice.roll(4) as usize];
                    let load = LoadReport {
                        link_utilization: Some(dice.roll(12) as f64 / 10.0),
                        ..LoadReport::default()
                    };
                    Event::AttemptFinished {
                        session,
                        attempt,
                        server,
                        outcome,
                        is_answered: dice.roll(2) == 0,
                        load_report: load,
                    }
                }
                (6..=7, Some((session, attempt, server, false))) => {
                    let note = match dice.roll(5) {
                        0 => Notification::DeliveredFraction(if dice.roll(2) == 0 { 0.6 } else { 1.0 }),
                        1 => Notification::CurrentRung(dice.roll(6) as usize),
                        2 => Notification::LinkUtilization(dice.roll(10) as f64 / 10.0),
                        _ => Notification::UplinkUtilization(dice.roll(10) as f64 / 10.0),
                    };
                    Event::Notified { session, attempt, server, notification: note }
                }
                (8, Some((session, ..))) if dice.roll(4) == 0 => Event::RequestWithdrawn(session),
                (9, _) if dice.roll(8) == 0 => {
                    let state = if dice.roll(2) == 0 { EndpointState::Gone } else { EndpointState::Ready };
                    Event::EndpointsUpdated {
                        update: EndpointUpdate::Delta,
                        endpoints: vec![listed(1 + dice.roll(6), state)],
                    }
                }
                _ => Event::TimerFired(TICK_TOKEN),
            };
            d.handle(now, event, &mut out);
            compare(&d);
            settled += d.settled().len();
        }
    }
    assert!(settled > 20, "the runs have to bring sessions that may step up: {settled}");
}

//! Compares the running counts with a full scan of all sessions, on random events.

mod common;

use common::{AT_MOST_ONCE, MILLISECOND, RandomNumbers, SECOND, endpoint};
use shalewall::inspection::{Inspection, SessionRecord, TenantRecord};
use shalewall::{
    Director, Endpoint, EndpointState, EndpointUpdate, Event, LoadReport, Notification, Outcome,
    Request, RetryBudget, ServerId, SessionId, Settings, TenantSettings, TimeDelta, Timestamp,
    TitleId,
};
use std::collections::BTreeMap;

const CLASSES: usize = 3;
const TENANTS: usize = 3;
const TITLES: u64 = 6;
const SERVERS: u64 = 6;
/// Token of the director's periodic timer.
const TICK_TOKEN: u64 = u64::MAX;

fn settings() -> Settings {
    let mut settings = Settings {
        director_count: 3,
        cell_count: 6,
        rack_uplink_kb_s: 25_000.0,
        ..common::settings()
    };
    settings.classes[AT_MOST_ONCE].session_limit_per_title = 4;
    settings.rules.warm_up = 8 * SECOND;
    settings.rules.retry_budget = Some(RetryBudget {
        base: 2.0,
        per_request: 0.2,
        window: 10 * SECOND,
    });
    settings.tenants = [0.2, 0.8, 0.0]
        .map(|fleet_quota| TenantSettings {
            fleet_quota,
            ..TenantSettings::default()
        })
        .to_vec();
    settings
}

/// The upgrade of one session, computed without groups.
fn upgrade_of(director: &Inspection, session: &SessionRecord) -> Option<usize> {
    if !session.is_playing() || director.now() < session.reconsider_at() {
        return None;
    }
    let reported_at = director.usable_report_at(session.server())?;
    let settings = director.settings();
    let request = session.request();
    let class = settings.classes.get(request.class)?;
    let top = settings.ladder.len().checked_sub(1)?;
    let highest = request.highest_rung.min(class.highest_rung).min(top);
    let is_unreported = director.has_unreported_uplink(session.server());
    if reported_at < session.sent_at() || is_unreported || highest <= session.rung() {
        return None;
    }
    let fraction = director.upgrade_draw(request.session);
    let mut higher = (session.rung() + 1..=highest).rev();
    let preferred = higher.find(|rung| director.is_affordable(session, *rung, fraction))?;
    let rung = director.choose_rung(session, preferred)?;
    if rung <= session.rung() {
        return None;
    }
    let remaining = request
        .duration_hint
        .map(|hint| hint - (director.now() - session.sent_at()));
    let remaining_s = remaining.map_or(f64::INFINITY, |remaining| remaining.as_secs_f64());
    let gained = settings.ladder[rung].utility - settings.ladder[session.rung()].utility;
    (remaining_s * gained > settings.rung_change_cost_s).then_some(rung)
}

/// The expected result of [`Inspection::upgrades`], computed for each session on its own.
fn upgrades_by_scan(director: &Inspection) -> BTreeMap<SessionId, usize> {
    let upgrade = |session: SessionRecord| {
        let rung = upgrade_of(director, &session)?;
        Some((session.request().session, rung))
    };
    director.sessions().filter_map(upgrade).collect()
}

/// Number of sessions that match a predicate.
fn count(director: &Inspection, is_counted: impl Fn(&SessionRecord) -> bool) -> usize {
    director.sessions().filter(is_counted).count()
}

fn compare_classes_and_titles(director: &Inspection) {
    for class in 0..CLASSES {
        let scanned = count(director, |session| session.request().class == class);
        assert_eq!(director.count_of_class(class), scanned);
    }
    for title in (0..TITLES).map(TitleId) {
        let scanned = count(director, |session| session.request().title == title);
        assert_eq!(director.count_of_title(title), scanned);
    }
}

fn compare_tenants(director: &Inspection) {
    let rate_kb_s = |tenant| -> f64 {
        let sessions = director.sessions();
        let own = sessions.filter(|session| session.request().tenant == Some(tenant));
        own.map(|session| session.rate_kb_s()).sum()
    };
    for tenant in 0..TENANTS {
        let scanned = count(director, |session| session.request().tenant == Some(tenant));
        let counted = director.tenant(tenant);
        assert_eq!(counted.is_some(), scanned > 0);
        let counted = counted.unwrap_or(TenantRecord {
            sessions: 0,
            rate_kb_s: 0.0,
        });
        assert_eq!(counted.sessions, scanned);
        assert!((counted.rate_kb_s - rate_kb_s(tenant)).abs() < 1e-6);
    }
    let scanned: f64 = (0..TENANTS).map(rate_kb_s).sum();
    assert!((director.tenants_rate_kb_s() - scanned).abs() < 1e-6);
}

fn compare_servers(director: &Inspection) {
    for ago in [TimeDelta::ZERO, SECOND, 2 * SECOND, 3 * SECOND, 10 * SECOND] {
        let time = director.now() - ago;
        let scanned = count(director, |session| session.sent_at() > time);
        assert_eq!(director.count_sent_after(time), scanned);
        for server in (1..=SERVERS).map(ServerId) {
            let scanned = count(director, |session| {
                session.server() == server && session.sent_at() > time
            });
            assert_eq!(director.count_sent_to_after(server, time), scanned);
        }
    }
    for server in (1..=SERVERS).map(ServerId) {
        let scanned = count(director, |session| {
            session.server() == server && !session.is_playing()
        });
        assert_eq!(director.count_not_playing_at(server), scanned);
        let session_count = count(director, |session| session.server() == server);
        assert_eq!(director.has_sessions_at(server), session_count > 0);
    }
}

fn compare(director: &Inspection) {
    compare_classes_and_titles(director);
    compare_tenants(director);
    compare_servers(director);
    assert_eq!(
        director.count_playing(),
        count(director, |session| session.is_playing())
    );
    assert_eq!(director.upgrades(), upgrades_by_scan(director));
}

fn listed(id: u64, state: EndpointState) -> Endpoint {
    Endpoint {
        state,
        ..endpoint(id)
    }
}

fn viewer_request(random: &mut RandomNumbers, id: u64, now: Timestamp) -> Request {
    Request {
        session: SessionId(id),
        class: random.below(2) as usize,
        tenant: Some(random.below(4) as usize).filter(|t| *t < 3),
        viewer: random.below(80),
        title: TitleId(random.below(6)),
        deadline: now + 4 * SECOND,
        duration_hint: (random.below(3) > 0).then_some(40 * SECOND),
        first_cell: random.below(6),
        replica_cells: 3,
        highest_rung: random.below(6) as usize,
        is_retry: false,
        fleet: 0,
    }
}

/// A randomly drawn session for an event.
struct DrawnSession {
    session: SessionId,
    attempt: u32,
    server: ServerId,
    awaits_answer: bool,
}

fn draw_session(random: &mut RandomNumbers, director: &Director) -> Option<DrawnSession> {
    let session_count = director.inspect().sessions().count().max(1) as u64;
    let record = director
        .inspect()
        .sessions()
        .nth(random.below(session_count) as usize)?;
    Some(DrawnSession {
        session: record.request().session,
        attempt: record.attempt(),
        server: record.server(),
        awaits_answer: record.awaits_answer(),
    })
}

fn draw_end(random: &mut RandomNumbers, drawn: DrawnSession) -> Event {
    let outcomes = [
        Outcome::Success,
        Outcome::ConnectionReset,
        Outcome::Rejected,
        Outcome::TimedOut,
    ];
    let outcome = outcomes[random.below(4) as usize];
    let load_report = LoadReport {
        link_utilization: Some(random.below(12) as f64 / 10.0),
        ..LoadReport::default()
    };
    Event::AttemptFinished {
        session: drawn.session,
        attempt: drawn.attempt,
        server: drawn.server,
        outcome,
        is_answered: random.below(2) == 0,
        load_report,
    }
}

fn draw_notification(random: &mut RandomNumbers) -> Notification {
    match random.below(5) {
        0 => Notification::DeliveredFraction(if random.below(2) == 0 { 0.6 } else { 1.0 }),
        1 => Notification::CurrentRung(random.below(6) as usize),
        2 => Notification::LinkUtilization(random.below(10) as f64 / 10.0),
        _ => Notification::UplinkUtilization(random.below(10) as f64 / 10.0),
    }
}

fn draw_event(random: &mut RandomNumbers, director: &Director, id: u64, now: Timestamp) -> Event {
    match (random.below(10), draw_session(random, director)) {
        (0..=2, _) => Event::RequestReceived(viewer_request(random, id, now)),
        (3..=4, Some(drawn)) if drawn.awaits_answer => Event::SessionStarted {
            session: drawn.session,
            attempt: drawn.attempt,
            server: drawn.server,
            setup_time: 80 * MILLISECOND,
        },
        (3..=5, Some(drawn)) if random.below(2) == 0 => draw_end(random, drawn),
        (6..=7, Some(drawn)) if !drawn.awaits_answer => Event::Notified {
            session: drawn.session,
            attempt: drawn.attempt,
            server: drawn.server,
            notification: draw_notification(random),
        },
        (8, Some(drawn)) if random.below(4) == 0 => Event::RequestWithdrawn(drawn.session),
        (9, _) if random.below(8) == 0 => {
            let state = if random.below(2) == 0 {
                EndpointState::Gone
            } else {
                EndpointState::Ready
            };
            Event::EndpointsUpdated {
                update: EndpointUpdate::Delta,
                endpoints: vec![listed(1 + random.below(6), state)],
            }
        }
        _ => Event::TimerFired(TICK_TOKEN),
    }
}

#[test]
fn running_counts_match_a_full_scan() {
    let mut upgraded = 0;
    for seed in 1..=8u64 {
        let mut random = RandomNumbers(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut now = Timestamp::ZERO;
        let mut out = Vec::new();
        let mut director = Director::new(seed, settings(), now);
        let endpoints = (1..=SERVERS)
            .map(|id| listed(id, EndpointState::Ready))
            .collect();
        director.handle(
            now,
            Event::EndpointsUpdated {
                update: EndpointUpdate::Full,
                endpoints,
            },
            &mut out,
        );
        for id in 0..40 {
            let request = viewer_request(&mut random, id, now);
            director.handle(
                now,
                Event::SessionTransferred(request, ServerId(1 + random.below(6))),
                &mut out,
            );
        }
        for id in 40..1200 {
            now += random.below(80) as i64 * MILLISECOND;
            let event = draw_event(&mut random, &director, id, now);
            director.handle(now, event, &mut out);
            compare(&director.inspect());
            upgraded += director.inspect().upgrades().len();
        }
    }
    assert!(upgraded > 20, "the runs must include upgrades: {upgraded}");
}

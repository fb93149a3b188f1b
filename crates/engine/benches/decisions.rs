//! Time that the decision module takes for a request and for a tick, by the number of sessions held, with 3
//! directors and 15 servers. Run with `cargo bench -p shalewall-engine`.

#[path = "../../../tests/common/mod.rs"]
mod common;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use shalewall::{
    Action, ClassSettings, Director, Endpoint, EndpointState, EndpointUpdate, Event, LoadReport,
    Notification, Outcome, Request, ServerId, SessionId, Settings, TenantSettings, TimeDelta,
    Timestamp, TitleId,
};
use shalewall_migration::planner::{MigrationPlanner, MigrationPolicy};
use std::hint::black_box;

const SECOND: TimeDelta = TimeDelta::from_secs(1);
/// Time between two requests.
const REQUEST_INTERVAL: TimeDelta = TimeDelta::from_millis(30);

/// Token of the decision module's periodic timer.
const TICK_TOKEN: u64 = u64::MAX;

/// Creates a director that holds `count` sessions, all set up longer ago than it remembers set-ups, on links that are
/// large enough for them.
fn director_holding(count: u64) -> (Director, Timestamp) {
    let link = 2000.0 * (count as f64 / 15.0 + 100.0) * 2.0;
    let mut settings = Settings {
        director_count: 3,
        cell_count: 15,
        stream_capacity_by_kind: vec![1e6],
        link_kb_s_per_weight: link,
        rack_uplink_kb_s: link * 7.0,
        ..common::settings()
    };
    let paid = &mut settings.classes[common::AT_MOST_ONCE];
    (paid.session_limit_per_title, paid.lowest_rung) = (1_000_000, 0);
    settings.rules.warm_up = 10 * SECOND;
    settings.rules.retry_budget = None;
    let mut director = Director::new(1, settings, Timestamp::ZERO);
    let mut actions = Vec::new();
    let endpoint = |id| Endpoint {
        server: ServerId(id),
        machine_kind: Some(0),
        cell: id,
        state: EndpointState::Ready,
        weight: 1.0,
        ..Default::default()
    };
    director.handle(
        Timestamp::ZERO,
        Event::EndpointsUpdated {
            update: EndpointUpdate::Full,
            endpoints: (0..15).map(endpoint).collect(),
        },
        &mut actions,
    );
    for id in 0..count {
        actions.clear();
        let request = request(id, Timestamp::ZERO);
        director.handle(
            Timestamp::ZERO,
            Event::SessionTransferred(request, ServerId(request.first_cell + id % 5)),
            &mut actions,
        );
    }
    let now = Timestamp::ZERO + 60 * SECOND;
    // Utilization of every link and uplink, as node notifications report it.
    for id in 0..count.min(100) {
        let session = SessionId(id);
        let server = ServerId(request(id, Timestamp::ZERO).first_cell + id % 5);
        for notification in [
            Notification::LinkUtilization(0.4),
            Notification::UplinkUtilization(0.5),
        ] {
            director.handle(
                now,
                Event::Notified {
                    session,
                    attempt: 0,
                    server,
                    notification,
                },
                &mut actions,
            );
        }
    }
    director.handle(now, Event::TimerFired(TICK_TOKEN), &mut actions);
    (director, now)
}

fn request(id: u64, now: Timestamp) -> Request {
    Request {
        session: SessionId(id),
        class: (id % 2) as usize,
        tenant: None,
        viewer: id,
        title: TitleId(id % 50),
        deadline: now + 4 * SECOND,
        duration_hint: Some(40 * SECOND),
        first_cell: id % 10,
        replica_cells: 5,
        highest_rung: 4,
        is_retry: false,
        fleet: 0,
    }
}

/// Runs one session from request to end, so that the number of held sessions stays the same.
fn run_one_session(
    director: &mut Director,
    now: Timestamp,
    request: Request,
    actions: &mut Vec<Action>,
) -> usize {
    actions.clear();
    director.handle(now, Event::RequestReceived(request), actions);
    let placement = actions.iter().find_map(|action| match action {
        Action::StartAttempt {
            session, server, ..
        } => Some((*session, *server)),
        _ => None,
    });
    let (session, server) = placement.expect("a server has capacity");
    let (attempt, setup_time) = (0, TimeDelta::from_millis(50));
    director.handle(
        now,
        Event::SessionStarted {
            session,
            attempt,
            server,
            setup_time,
        },
        actions,
    );
    let (outcome, is_answered, load_report) = (Outcome::Success, true, LoadReport::default());
    director.handle(
        now,
        Event::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            is_answered,
            load_report,
        },
        actions,
    );
    actions.len()
}

fn decisions(c: &mut Criterion) {
    for held in [100, 1_000, 10_000, 50_000] {
        let (mut director, mut now) = director_holding(held);
        let mut actions = Vec::new();
        let mut id = held;
        c.bench_with_input(
            BenchmarkId::new("request, set up and ended", held),
            &held,
            |b, _| {
                b.iter(|| {
                    (id, now) = (id + 1, now + REQUEST_INTERVAL);
                    black_box(run_one_session(
                        &mut director,
                        now,
                        request(id, now),
                        &mut actions,
                    ))
                })
            },
        );
        c.bench_with_input(BenchmarkId::new("tick", held), &held, |b, _| {
            b.iter(|| {
                now += TimeDelta::from_millis(200);
                actions.clear();
                director.handle(now, Event::TimerFired(TICK_TOKEN), &mut actions);
                black_box(actions.len())
            })
        });
    }
}

/// One session with a varying number of tenants, each with its own class, of which at most ten hold sessions.
fn tenants(c: &mut Criterion) {
    for count in [1usize, 10, 1_000] {
        let (mut director, mut now) = director_holding(1_000);
        let mut actions = Vec::new();
        let class = |i: usize| ClassSettings {
            priority_weight: 1.0 + i as f64 / 1e4,
            ..common::settings().classes[common::IDEMPOTENT]
        };
        let classes = common::settings()
            .classes
            .into_iter()
            .chain((0..count).map(class))
            .collect();
        let fleet_quota = 1.0 / count as f64;
        let tenants = vec![
            TenantSettings {
                fleet_quota,
                ..TenantSettings::default()
            };
            count
        ];
        director.handle(
            now,
            Event::SettingsUpdated { classes, tenants },
            &mut actions,
        );
        let mut id = 1_000u64;
        c.bench_with_input(
            BenchmarkId::new("request of a tenant among", count),
            &count,
            |b, _| {
                b.iter(|| {
                    (id, now) = (id + 1, now + REQUEST_INTERVAL);
                    let tenant = (id % 10) as usize % count;
                    let request = Request {
                        tenant: Some(tenant),
                        class: 2 + tenant,
                        ..request(id, now)
                    };
                    black_box(run_one_session(&mut director, now, request, &mut actions))
                })
            },
        );
    }
}

/// Migration planning: a silence report and the plan that follows, by the number of sessions at 100 nodes.
fn migrations(c: &mut Criterion) {
    for held in [1_000u64, 100_000] {
        let policy = MigrationPolicy {
            duration: TimeDelta::from_millis(700),
            cooldown: TimeDelta::from_secs(15),
            min_shortage: TimeDelta::from_secs(6),
            max_per_node: 16,
            max_per_director: 64,
            cost_s: 1.0,
        };
        let mut planner = MigrationPlanner::new(policy, 1);
        for id in 0..held {
            planner.add_session(Timestamp::ZERO, SessionId(id), ServerId(id % 100), None);
        }
        let mut now = Timestamp::ZERO + SECOND;
        planner.handle_timeout(now);
        let step = TimeDelta::from_millis(100);
        let buffer = TimeDelta::from_millis(300);
        let mut id = 0;
        c.bench_with_input(
            BenchmarkId::new("silence report and plan among", held),
            &held,
            |b, _| {
                b.iter(|| {
                    id = (id + 7) % held;
                    now += step;
                    planner.handle_timeout(now);
                    planner.report_silence(now, SessionId(id), buffer);
                    black_box(planner.due_migrations(now).len())
                })
            },
        );
        let mut director = director_holding(held.min(50_000)).0;
        let (mut actions, mut at) = (Vec::new(), Timestamp::ZERO + 100 * SECOND);
        c.bench_with_input(
            BenchmarkId::new(
                "migration target found and finished, among",
                held.min(50_000),
            ),
            &held,
            |b, _| {
                b.iter(|| {
                    (id, at) = ((id + 7) % held.min(50_000), at + REQUEST_INTERVAL);
                    actions.clear();
                    director.handle(at, Event::MigrationRequested(SessionId(id)), &mut actions);
                    director.handle(
                        at,
                        Event::MigrationFinished {
                            session: SessionId(id),
                            migrated: false,
                        },
                        &mut actions,
                    );
                    black_box(actions.len())
                })
            },
        );
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).warm_up_time(std::time::Duration::from_millis(500))
        .measurement_time(std::time::Duration::from_secs(2));
    targets = decisions, tenants, migrations
}
criterion_main!(benches);

//! When sessions are migrated: each reason, the cost of a migration, the limits, and what does not cause migrations.

use shalewall::{ServerId, SessionId, TimeDelta, Timestamp};
use shalewall_migration::planner::{
    DueMigration, MigrationPlanner, MigrationPolicy, MigrationReason,
};

const fn millis(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

const fn secs(seconds: i64) -> TimeDelta {
    TimeDelta::from_secs(seconds)
}

fn policy() -> MigrationPolicy {
    MigrationPolicy {
        duration: millis(600),
        cooldown: secs(15),
        min_shortage: secs(6),
        max_per_node: 4,
        max_per_director: 6,
        cost_s: 1.0,
    }
}

fn due(session: u64, reason: MigrationReason) -> DueMigration {
    DueMigration {
        session: SessionId(session),
        reason,
    }
}

/// A planner with a simulated clock.
struct Harness {
    planner: MigrationPlanner,
    now: Timestamp,
}

impl Harness {
    /// Adds `sessions` sessions at each of two nodes: ids from 0 at node 1, and from 100 at node 2.
    fn new(sessions: u64) -> Harness {
        let mut harness = Harness {
            planner: MigrationPlanner::new(policy(), 1),
            now: Timestamp::ZERO,
        };
        for id in 0..sessions {
            harness.add_session(id, 1, Some(secs(600)));
            harness.add_session(100 + id, 2, Some(secs(600)));
        }
        harness
    }

    fn add_session(&mut self, session: u64, node: u64, duration: Option<TimeDelta>) {
        let ends_at = duration.map(|duration| self.now + duration);
        self.planner
            .add_session(self.now, SessionId(session), ServerId(node), ends_at);
    }

    fn drain(&mut self, node: u64) {
        self.planner.set_draining(self.now, ServerId(node), true);
    }

    fn report_silence(&mut self, session: u64, buffer: TimeDelta) {
        self.planner
            .report_silence(self.now, SessionId(session), buffer);
    }

    fn report_delivery(&mut self, node: u64, delivered_fraction: f64) {
        self.planner
            .report_delivery(self.now, ServerId(node), delivered_fraction);
    }

    fn start(&mut self, session: u64, target: u64) {
        self.planner
            .migration_started(SessionId(session), ServerId(target));
    }

    fn finish(&mut self, session: u64, migrated: bool) {
        self.planner
            .migration_finished(self.now, SessionId(session), migrated);
    }

    /// Advances time, and fires the timers that are due.
    fn wait(&mut self, span: TimeDelta) {
        let until = self.now + span;
        while let Some(due) = self.planner.poll_timeout().filter(|due| *due <= until) {
            self.now = due;
            self.planner.handle_timeout(due);
        }
        self.now = until;
    }

    fn due_migrations(&mut self) -> Vec<DueMigration> {
        self.planner.due_migrations(self.now)
    }

    /// Migrates all due sessions to node 3. Returns their number.
    fn migrate_all(&mut self) -> usize {
        let due = self.due_migrations();
        for migration in &due {
            self.start(migration.session.0, 3);
        }
        for migration in &due {
            self.finish(migration.session.0, true);
        }
        due.len()
    }
}

#[test]
fn a_draining_node_is_emptied_within_the_limits() {
    let mut harness = Harness::new(10);
    harness.drain(1);
    let mut rounds = Vec::new();
    while let migrated @ 1.. = harness.migrate_all() {
        rounds.push(migrated);
    }
    assert_eq!(rounds, [4, 4, 2], "at most four at once from one node");
    // Migrations in progress count towards the limits.
    let mut harness = Harness::new(10);
    harness.drain(1);
    harness.drain(2);
    let first = harness.due_migrations();
    assert_eq!(first.len(), 6, "at most six at once of this director");
    for migration in &first {
        harness.start(migration.session.0, 9);
    }
    assert_eq!(harness.due_migrations(), []);
    assert!(
        !harness.planner.can_accept(ServerId(9)),
        "the limit of the target is reached"
    );
    harness.finish(first[0].session.0, true);
    assert_eq!(harness.due_migrations().len(), 1);
}

#[test]
fn a_session_that_ends_soon_is_not_worth_a_migration() {
    let mut harness = Harness::new(0);
    harness.add_session(1, 1, Some(millis(800)));
    harness.add_session(2, 1, Some(secs(8)));
    harness.drain(1);
    assert_eq!(
        harness.due_migrations(),
        [due(2, MigrationReason::NodeDraining)]
    );
}

#[test]
fn silence_of_most_players_but_not_of_one_causes_migrations() {
    let mut harness = Harness::new(4);
    harness.report_silence(0, millis(300));
    assert_eq!(
        harness.due_migrations(),
        [],
        "a single silent player does not indicate a fault of the node"
    );
    harness.report_silence(1, millis(200));
    assert_eq!(
        harness.due_migrations(),
        [
            due(1, MigrationReason::NodeSilent),
            due(0, MigrationReason::NodeSilent)
        ],
        "ordered by the time at which the buffer is empty"
    );
    assert_eq!(harness.planner.silent_nodes(), [ServerId(1)]);
    // Reports that are not repeated expire.
    harness.wait(secs(1));
    assert_eq!(harness.due_migrations(), []);
    assert_eq!(harness.planner.silent_nodes(), []);
}

#[test]
fn a_player_is_not_migrated_while_its_buffer_outlasts_a_migration() {
    let mut harness = Harness::new(1);
    harness.report_silence(0, millis(900));
    assert_eq!(
        harness.due_migrations(),
        [],
        "the buffer outlasts a migration"
    );
    harness.wait(millis(300));
    assert_eq!(
        harness.due_migrations(),
        [due(0, MigrationReason::NodeSilent)]
    );
}

#[test]
fn silence_reports_after_a_stall_of_this_process_are_ignored() {
    let mut harness = Harness::new(3);
    harness.wait(secs(1));
    // The process was stalled for two seconds, and now reads the reports that arrived in the meantime.
    harness.now += secs(2);
    for id in 0..3 {
        harness.report_silence(id, millis(100));
    }
    assert_eq!(harness.due_migrations(), []);
    harness.wait(millis(600));
    for id in 0..3 {
        harness.report_silence(id, millis(100));
    }
    assert_eq!(
        harness.due_migrations().len(),
        3,
        "reports that are repeated after the stall count"
    );
}

#[test]
fn repeated_stalls_of_a_node_cause_one_migration_per_cooldown() {
    // All players of both nodes report silence each second for a minute: no session migrates twice within the cooldown.
    let mut harness = Harness::new(2);
    let cooldown = policy().cooldown;
    let mut last_migration = [Timestamp::ZERO - secs(100); 2];
    for _ in 0..60 {
        for id in 0..2 {
            harness.report_silence(id, millis(300));
        }
        for migration in harness.due_migrations() {
            let id = migration.session.0;
            if id >= 2 {
                continue;
            }
            let last = &mut last_migration[id as usize];
            assert!(harness.now - *last >= cooldown);
            *last = harness.now;
            let periods = harness.now.as_micros() / cooldown.as_micros();
            harness.start(id, 3 + periods as u64 % 3);
            harness.finish(id, true);
        }
        harness.wait(secs(1));
    }
    assert!(last_migration[0] > Timestamp::ZERO + secs(30));
}

#[test]
fn a_shortage_has_to_last_and_to_cost_more_than_the_migration() {
    let mut harness = Harness::new(3);
    let mut migrated = 0;
    for second in 0..30 {
        harness.report_delivery(1, 0.5);
        let due = harness.due_migrations();
        assert!(second >= 6 || due.is_empty());
        for migration in due {
            assert!(migration.session.0 < 100);
            assert_eq!(migration.reason, MigrationReason::NodeShort);
            harness.start(migration.session.0, 3);
            harness.finish(migration.session.0, true);
            migrated += 1;
        }
        harness.wait(secs(1));
    }
    assert!(migrated >= 2, "{migrated}");
    // When the shortage has lasted long enough, a tenth of the remaining 9 s is less than the cost of a migration.
    let mut harness = Harness::new(0);
    harness.add_session(1, 1, Some(secs(15)));
    for _ in 0..14 {
        harness.report_delivery(1, 0.9);
        assert_eq!(harness.due_migrations(), []);
        harness.wait(secs(1));
    }
}

#[test]
fn an_orphan_is_migrated_first_and_without_cooldown() {
    let mut harness = Harness::new(2);
    harness.drain(1);
    harness.start(0, 3);
    harness.finish(0, true);
    harness.planner.mark_orphaned(Timestamp::ZERO, SessionId(0));
    let orphan = due(0, MigrationReason::Orphaned);
    let draining = due(1, MigrationReason::NodeDraining);
    assert_eq!(harness.due_migrations(), [orphan, draining]);
    assert_eq!(harness.due_migrations(), [orphan, draining]);
    // Without capacity, the migration is retried after a delay.
    harness
        .planner
        .defer_migration(Timestamp::ZERO, SessionId(0));
    assert_eq!(harness.due_migrations(), [draining]);
    harness.wait(millis(300));
    assert!(harness.due_migrations().contains(&orphan));
}

#[test]
fn a_draining_node_causes_migrations_during_the_cooldown() {
    let mut harness = Harness::new(1);
    harness.start(0, 3);
    harness.finish(0, true);
    harness.report_silence(0, millis(100));
    assert_eq!(harness.due_migrations(), [], "the cooldown is not over");
    harness.drain(3);
    assert_eq!(
        harness.due_migrations(),
        [due(0, MigrationReason::NodeDraining)]
    );
}

#[test]
fn an_aborted_migration_is_retried_and_a_removed_session_frees_its_slot() {
    let mut harness = Harness::new(1);
    harness.drain(1);
    harness.start(0, 3);
    assert_eq!(harness.due_migrations(), []);
    harness.finish(0, false);
    harness.wait(millis(200));
    assert_eq!(
        harness.due_migrations(),
        [due(0, MigrationReason::NodeDraining)]
    );
    for id in 0..50 {
        harness.add_session(id, 1, None);
        harness.start(id, 3);
        harness.planner.remove_session(SessionId(id));
    }
    harness.add_session(60, 1, None);
    assert_eq!(
        harness.due_migrations().len(),
        1,
        "the removed sessions no longer count towards the limits"
    );
}

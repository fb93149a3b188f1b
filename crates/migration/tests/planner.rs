//! When sessions are migrated: each reason, what each is worth, the limits, and what is no reason.

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

/// A planner, and the time up to which its timers have run.
struct Harness {
    planner: MigrationPlanner,
    now: Timestamp,
}

impl Harness {
    /// So many sessions at each of two nodes: 0.. at node 1, 100.. at node 2.
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

    fn add_session(&mut self, session: u64, node: u64, lasts: Option<TimeDelta>) {
        let ends_at = lasts.map(|lasts| self.now + lasts);
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

    /// Lets time pass, and runs the timers that are due.
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

    /// Migrates all that are due to node 3; how many.
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
    assert_eq!(rounds, [4, 4, 2], "four from one node at once");
    // With migrations under way there is capacity for fewer.
    let mut harness = Harness::new(10);
    harness.drain(1);
    harness.drain(2);
    let first = harness.due_migrations();
    assert_eq!(first.len(), 6, "six of this director");
    for migration in &first {
        harness.start(migration.session.0, 9);
    }
    assert_eq!(harness.due_migrations(), []);
    assert!(
        !harness.planner.can_accept(ServerId(9)),
        "six are on their way there"
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
fn one_silent_player_alone_is_no_reason_and_most_of_them_are() {
    let mut harness = Harness::new(4);
    harness.report_silence(0, millis(300));
    assert_eq!(harness.due_migrations(), [], "its own network, most likely");
    harness.report_silence(1, millis(200));
    assert_eq!(
        harness.due_migrations(),
        [
            due(1, MigrationReason::NodeSilent),
            due(0, MigrationReason::NodeSilent)
        ],
        "whose buffer is empty first"
    );
    assert_eq!(harness.planner.silent_nodes(), [ServerId(1)]);
    // The reports are old when nobody repeats them.
    harness.wait(secs(1));
    assert_eq!(harness.due_migrations(), []);
    assert_eq!(harness.planner.silent_nodes(), []);
}

#[test]
fn a_player_whose_buffer_lasts_longer_than_a_migration_takes_waits() {
    let mut harness = Harness::new(1);
    harness.report_silence(0, millis(900));
    assert_eq!(harness.due_migrations(), [], "it may pass yet");
    harness.wait(millis(300));
    assert_eq!(
        harness.due_migrations(),
        [due(0, MigrationReason::NodeSilent)]
    );
}

#[test]
fn silence_reported_after_a_stall_of_this_process_is_no_reason() {
    let mut harness = Harness::new(3);
    harness.wait(secs(1));
    // It stood still for two seconds; reports that waited meanwhile are read now.
    harness.now += secs(2);
    for id in 0..3 {
        harness.report_silence(id, millis(100));
    }
    assert_eq!(harness.due_migrations(), []);
    harness.wait(millis(600));
    for id in 0..3 {
        harness.report_silence(id, millis(100));
    }
    assert_eq!(harness.due_migrations().len(), 3, "repeated, it counts");
}

#[test]
fn a_node_that_stalls_again_and_again_costs_a_session_one_migration_per_cooldown() {
    // All players of both nodes report each second for a minute: no session migrates twice within the cooldown.
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
    // A tenth of what is left of a session, 8 s, is less than what a migration costs.
    let mut harness = Harness::new(0);
    harness.add_session(1, 1, Some(secs(15)));
    for _ in 0..14 {
        harness.report_delivery(1, 0.9);
        assert_eq!(harness.due_migrations(), []);
        harness.wait(secs(1));
    }
}

#[test]
fn an_orphan_goes_first_and_at_once_also_right_after_a_migration() {
    let mut harness = Harness::new(2);
    harness.drain(1);
    harness.start(0, 3);
    harness.finish(0, true);
    harness.planner.mark_orphaned(Timestamp::ZERO, SessionId(0));
    let orphan = due(0, MigrationReason::Orphaned);
    let draining = due(1, MigrationReason::NodeDraining);
    assert_eq!(harness.due_migrations(), [orphan, draining]);
    assert_eq!(harness.due_migrations(), [orphan, draining]);
    // Without capacity it is looked for again soon, not at once.
    harness
        .planner
        .defer_migration(Timestamp::ZERO, SessionId(0));
    assert_eq!(harness.due_migrations(), [draining]);
    harness.wait(millis(300));
    assert!(harness.due_migrations().contains(&orphan));
}

#[test]
fn a_drain_is_no_suspicion_and_holds_also_right_after_a_migration() {
    let mut harness = Harness::new(1);
    harness.start(0, 3);
    harness.finish(0, true);
    harness.report_silence(0, millis(100));
    assert_eq!(harness.due_migrations(), [], "migrated just now");
    harness.drain(3);
    assert_eq!(
        harness.due_migrations(),
        [due(0, MigrationReason::NodeDraining)]
    );
}

#[test]
fn an_aborted_migration_is_retried_and_an_end_in_its_middle_frees_its_capacity() {
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
    assert_eq!(harness.due_migrations().len(), 1, "nothing is under way");
}

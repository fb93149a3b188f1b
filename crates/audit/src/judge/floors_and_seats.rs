//! Rule: sessions stay at or above the lowest rung of their class, and directors within the number of sessions per
//! title (seats) that the class allows.

use super::Judge;
use super::attempts::{Attempt, AttemptId};
use crate::rules::Rules;
use crate::verdict::Rule;
use shalewall::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Key by which seats are counted.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SeatKey {
    director: u32,
    /// The tenant, if it has its own classes.
    owner: Option<String>,
    class: String,
    title: String,
}

impl SeatKey {
    fn new(rules: &Rules, attempt: &Attempt) -> SeatKey {
        SeatKey {
            director: attempt.route.director,
            owner: rules.seat_owner(attempt.tenant.as_deref()),
            class: attempt.class.clone(),
            title: attempt.title.clone(),
        }
    }
}

/// Sessions that occupy a seat.
#[derive(Default)]
pub(super) struct Seats {
    taken: BTreeMap<SeatKey, BTreeSet<AttemptId>>,
}

impl Seats {
    /// Occupies a seat. Returns the number of occupied seats.
    fn take(&mut self, key: SeatKey, id: AttemptId) -> u32 {
        let taken = self.taken.entry(key).or_default();
        taken.insert(id);
        taken.len() as u32
    }

    fn free(&mut self, key: &SeatKey, id: AttemptId) {
        if let Some(taken) = self.taken.get_mut(key) {
            taken.remove(&id);
        }
    }

    /// Frees all seats of a director that restarted and lost its sessions.
    pub fn clear(&mut self, director: u32) {
        self.taken.retain(|key, _| key.director != director);
    }
}

impl Judge<'_> {
    pub(super) fn check_floor(
        &mut self,
        time: Timestamp,
        session: u64,
        tenant: Option<&str>,
        class: &str,
        rung: usize,
    ) {
        let class_rule = self.rules.class(tenant, class);
        let floor = class_rule.map_or(0, |class_rule| class_rule.floor);
        if floor == 0 {
            return;
        }
        let utilization = if rung == floor { 1.0 } else { 0.0 };
        self.verdict
            .record_check(Rule::FloorsAndSeats, tenant, utilization);
        if rung < floor {
            let evidence = format!("session {session} of {class} at rung {rung}, floor {floor}");
            self.verdict
                .record_violation(Rule::FloorsAndSeats, tenant, time, evidence);
        }
    }

    /// Handles a node that holds a session after a set-up or a migration: the session occupies a seat.
    pub(super) fn hold(&mut self, id: AttemptId, node: u64, time: Timestamp) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.holders.insert(node);
        attempt.released_at = None;
        let key = SeatKey::new(self.rules, attempt);
        let count = self.seats.take(key.clone(), id);
        let tenant = attempt.tenant.clone();
        self.check_seats(time, &key, count, tenant.as_deref());
    }

    /// Handles a node that no longer holds a session: the seat is freed when no other node holds it.
    pub(super) fn release(&mut self, id: AttemptId, node: u64, time: Timestamp) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.holders.remove(&node);
        if !attempt.holders.is_empty() {
            return;
        }
        attempt.released_at.get_or_insert(time);
        let key = SeatKey::new(self.rules, attempt);
        self.seats.free(&key, id);
    }

    fn check_seats(&mut self, time: Timestamp, key: &SeatKey, count: u32, tenant: Option<&str>) {
        let class_rule = self.rules.class(tenant, &key.class);
        let seats = class_rule.map_or(0, |class_rule| class_rule.seats);
        if seats == 0 {
            return;
        }
        let utilization = f64::from(count) / f64::from(seats);
        self.verdict
            .record_check(Rule::FloorsAndSeats, tenant, utilization);
        if count > seats {
            let evidence = format!(
                "director {} holds {count} sessions of {} in {}, seats {seats}",
                key.director, key.title, key.class
            );
            self.verdict
                .record_violation(Rule::FloorsAndSeats, tenant, time, evidence);
        }
    }
}

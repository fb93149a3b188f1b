//! Exceptions: playing sessions are downgraded where a server has a shortage (delivers less than its
//! sessions' rates), or to free capacity for a request that would be rejected. Sessions of the tenant with
//! the highest quota debt are downgraded first, then those that lose the least utility per rate.

use super::admission::UTILIZATION_LIMIT;
use crate::director::Director;
use crate::hash::draw;
use crate::interface::{LoadReport, ServerId};
use crate::state::link_estimate::LinkEstimate;
use crate::state::records::{CapacityNeed, Downgrade, FreedCapacity, ReportSource, RungChange};
use crate::state::servers::Server;
use crate::state::sessions::{PendingRequest, SessionGroup, SessionsByTime};
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// Delivered fraction of the rate from which on a server has no shortage.
const FULL_DELIVERY_FRACTION: f64 = 0.98;
/// Delivered fraction of the rate that downgrades for a shortage aim to restore.
const DELIVERY_TARGET: f64 = 0.97;
/// Factor on the rate that is still missing when a downgrade is drawn, so that downgrades free too much
/// rather than too little: a shortage costs more than unused capacity.
const SHORTAGE_DOWNGRADE_FACTOR: f64 = 2.0;
/// Shortest time between downgrades for a shortage of one server: the effect must show in its reports first.
const SHORTAGE_DOWNGRADE_INTERVAL: TimeDelta = TimeDelta::from_secs(2);
/// Time after a change of a session's rung during which it is neither upgraded nor downgraded to free
/// capacity. Downgrades for a shortage do not wait for it.
pub(crate) const RECONSIDER_INTERVAL: TimeDelta = TimeDelta::from_secs(4);

impl Director {
    /// When the rung of a new session may first be reconsidered: at once if its link has no report yet.
    pub(crate) fn initial_reconsider_at(&self, server: ServerId) -> Timestamp {
        let is_unreported = self.servers.get(&server).is_some_and(|s| s.link.reported_at.is_none());
        self.now + if is_unreported { TimeDelta::ZERO } else { RECONSIDER_INTERVAL }
    }

    /// Possible downgrades of the groups at these servers, in the order in which they should be applied.
    fn cheapest_downgrades(
        &self,
        servers: &[ServerId],
        target_rung: impl Fn(&SessionGroup) -> Option<usize>,
    ) -> Vec<Downgrade> {
        let downgrade = |(group, _): (&SessionGroup, _)| {
            let rung = target_rung(group)?;
            let freed_kb_s =
                self.settings.rate(group.class, group.rung) - self.settings.rate(group.class, rung);
            let lost_utility = self.settings.utility_loss(group.class, group.rung, rung)?;
            let utility_per_kb = lost_utility / freed_kb_s.max(1.0);
            Some(Downgrade { utility_per_kb, group: *group, rung, freed_kb_s, lost_utility })
        };
        let groups = servers.iter().flat_map(|server| self.sessions.groups_at(*server));
        let mut downgrades: Vec<_> = groups.filter_map(downgrade).collect();
        let debt = |downgrade: &Downgrade| self.quota_debt(downgrade.group.tenant);
        downgrades.sort_by(|a, b| {
            let by_utility = a.utility_per_kb.total_cmp(&b.utility_per_kb);
            debt(b).total_cmp(&debt(a)).then(by_utility).then(a.group.cmp(&b.group))
        });
        downgrades
    }

    /// Records the fraction of its sessions' rates that a server delivers. A server with a shortage reports
    /// it each second.
    pub(crate) fn record_delivery(&mut self, id: ServerId, delivered: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let shortage = &mut server.shortage;
        if delivered >= FULL_DELIVERY_FRACTION {
            return shortage.clear();
        }
        // If the link is not full, the shortage is on the uplink, whose utilization follows from the
        // fraction.
        let is_uplink_short =
            server.link.reported_at.is_some() && server.link.utilization < UTILIZATION_LIMIT;
        let penalty = self.settings.stall_penalty;
        shortage.lost_utility_s += (penalty * (FULL_DELIVERY_FRACTION - delivered)).clamp(0.0, 1.0);
        shortage.is_short = true;
        shortage.reported_at = self.now;
        let is_paused = shortage.downgraded_at.is_some_and(|at| self.now - at < SHORTAGE_DOWNGRADE_INTERVAL);
        let is_lasting = shortage.lost_utility_s >= self.settings.rung_change_cost_s;
        if penalty > 0.0 && is_lasting && !is_paused {
            shortage.lost_utility_s = 0.0;
            shortage.downgraded_at = Some(self.now);
            self.downgrade_for_shortage(id, delivered);
        }
        let uplink_utilization = is_uplink_short.then_some(1.0 / delivered);
        let report = LoadReport { uplink_utilization, ..LoadReport::default() };
        self.record_load(id, report, ReportSource::Shortage);
    }

    /// Downgrades this director's sessions at a server whose shortage has cost each of them as much utility
    /// as a change of rung. They free their share of the missing rate; other directors do the same.
    fn downgrade_for_shortage(&mut self, server: ServerId, delivered: f64) {
        let group_kb_s = |(group, sessions): (&SessionGroup, &SessionsByTime)| {
            self.settings.rate(group.class, group.rung) * sessions.len() as f64
        };
        let own_kb_s: f64 = self.sessions.groups_at(server).map(group_kb_s).sum();
        let mut missing_kb_s = own_kb_s * (1.0 - delivered.max(0.0) / DELIVERY_TARGET);
        let rung_below = |group: &SessionGroup| {
            group.rung.checked_sub(1).filter(|rung| *rung >= self.settings.lowest_rung(group.class))
        };
        for Downgrade { group, rung, freed_kb_s, .. } in self.cheapest_downgrades(&[server], rung_below) {
            let sessions = self.sessions.playing.get(&group).into_iter().flatten();
            let sessions: BTreeSet<_> = sessions.map(|(_, id)| *id).collect();
            for session in sessions {
                // If many directors have one session each at the server and all downgraded it, they would
                // free several times the missing rate. So a downgrade that frees much more than is still
                // missing is applied only with a probability in proportion to the missing rate.
                let seed = self.seed ^ session.0 ^ self.now.as_micros() as u64;
                if draw(seed) * freed_kb_s < SHORTAGE_DOWNGRADE_FACTOR * missing_kb_s {
                    self.change_rung(session, rung);
                }
                missing_kb_s -= freed_kb_s;
                if missing_kb_s <= 0.0 {
                    return;
                }
            }
        }
    }

    /// Frees capacity for a request that would otherwise be rejected, and returns whether it did. It
    /// downgrades this director's sessions at a server that hosts the title (or in its rack, if only the
    /// uplink is full) to the rung that all viewers there could have, if the request's utility exceeds their
    /// loss and the cost of the changes.
    pub(crate) fn free_capacity(&mut self, pending: &PendingRequest) -> bool {
        let Some(need) = self.capacity_need(pending) else { return false };
        let mut considered_racks = BTreeSet::new();
        let candidates = self.candidates(pending).into_iter();
        let mut healthy =
            candidates.filter(|server| !server.shortage.is_short && !server.health.is_failing());
        let found = healthy.find_map(|server| self.downgrades_at(server, &need, &mut considered_racks));
        let is_freed = found.is_some();
        found.into_iter().flatten().for_each(|change| self.change_rung(change.session, change.rung));
        is_freed
    }

    /// The capacity that a request needs; `None` if it could not be set up even with enough capacity.
    fn capacity_need(&self, pending: &PendingRequest) -> Option<CapacityNeed> {
        let request = &pending.request;
        let class = self.settings.classes.get(request.class)?;
        if !self.allows_attempt(pending) || self.settings.highest_rung(request) < Some(class.lowest_rung) {
            return None;
        }
        let utility = self.settings.ladder.get(class.lowest_rung).map_or(0.0, |rung| rung.utility);
        let duration_s = self.remaining_seconds(request, TimeDelta::ZERO);
        let limit = self.quota_limit(request);
        Some(CapacityNeed {
            utilization_limit: limit.limit_scale * UTILIZATION_LIMIT,
            kb_s: self.settings.rate(request.class, class.lowest_rung) + limit.reserved_kb_s,
            debt: self.quota_debt(request.tenant),
            gained_utility_s: class.priority_weight * utility * duration_s,
        })
    }

    /// The downgrades that make a request fit at one server; `None` if they do not suffice or cost more
    /// utility than the request gains.
    fn downgrades_at(
        &self,
        server: &Server,
        need: &CapacityNeed,
        considered_racks: &mut BTreeSet<u64>,
    ) -> Option<Vec<RungChange>> {
        let missing = |estimate: &LinkEstimate, utilization: f64| {
            (utilization + estimate.fraction(need.kb_s) - need.utilization_limit) * estimate.capacity_kb_s
        };
        let link_kb_s = missing(&server.link, self.link_utilization(server));
        let uplink = self.uplink_of(server);
        let uplink_kb_s = uplink.map_or(0.0, |uplink| missing(uplink, self.uplink_utilization(server)));
        let rack = self.settings.rack_of_cell(server.endpoint.cell).filter(|_| link_kb_s <= 0.0);
        if rack.is_some_and(|rack| !considered_racks.insert(rack)) {
            return None; // The sessions of this rack have been considered already.
        }
        let servers = self.servers_sharing(server, rack);
        let missing_kb_s = link_kb_s.max(uplink_kb_s);
        let freed = self.cheapest_capacity(&servers, need.debt, missing_kb_s);
        // Capacity freed beyond the need serves later requests, so only the needed part of the loss counts.
        let is_worth_it = freed.lost_utility_s * missing_kb_s < need.gained_utility_s * freed.kb_s;
        (freed.kb_s >= missing_kb_s && is_worth_it).then_some(freed.changes)
    }

    /// The cheapest downgrades at these servers that free `missing_kb_s` together, or all if they do not
    /// suffice.
    fn cheapest_capacity(&self, servers: &[ServerId], debt: f64, missing_kb_s: f64) -> FreedCapacity {
        let mut freed = FreedCapacity::default();
        for downgrade in self.cheapest_downgrades(servers, |group| self.affordable_rung(group, debt)) {
            let group = &downgrade.group;
            let weight = self.settings.classes[group.class].priority_weight;
            let change_cost = self.settings.rung_change_cost_s * weight;
            let sessions = self.sessions.playing[group].iter();
            let due = sessions.take_while(|(reconsider_at, _)| *reconsider_at <= self.now);
            for session in due.filter_map(|(_, id)| self.sessions.get(*id)) {
                if freed.kb_s >= missing_kb_s {
                    break;
                }
                let age = self.now - session.sent_at;
                let remaining_s = self.remaining_seconds(&session.pending.request, age);
                let lost_utility_s = freed.lost_utility_s + downgrade.lost_utility * remaining_s;
                freed.lost_utility_s = lost_utility_s + change_cost;
                freed.kb_s += downgrade.freed_kb_s;
                let session = session.pending.request.session;
                freed.changes.push(RungChange { session, rung: downgrade.rung });
            }
        }
        freed
    }

    /// The rung that a group may be downgraded to: the highest lower one that all viewers at its server could
    /// have, else the lowest. `None` if there is no lower one, or if its tenant has less quota debt than the
    /// request's.
    fn affordable_rung(&self, group: &SessionGroup, debt: f64) -> Option<usize> {
        let lowest = self.settings.lowest_rung(group.class);
        if group.rung <= lowest || self.quota_debt(group.tenant) < debt {
            return None;
        }
        let load_ratio = self.load_ratio(&self.servers[&group.server]);
        let mut lower = (lowest..group.rung).rev();
        Some(lower.find(|rung| self.is_affordable(group, *rung, 1.0, load_ratio)).unwrap_or(lowest))
    }
}

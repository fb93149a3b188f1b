//! Exception: a playing session is upgraded if the load has decreased since its rung was chosen. Once link
//! and uplink have reports, its rung is chosen as for a new session, upwards only, if the utility gained over
//! its remaining time exceeds the cost of the change.

use crate::director::Director;
use crate::hash::draw;
use crate::interface::SessionId;
use crate::state::records::UpgradeContext;
use crate::state::sessions::SessionGroup;
use std::collections::BTreeMap;

impl Director {
    /// The sessions to upgrade now, with their new rungs.
    pub(crate) fn find_upgrades(&self) -> BTreeMap<SessionId, usize> {
        let mut upgrades = BTreeMap::new();
        for (group, sessions) in &self.sessions.playing {
            let Some(context) = self.upgrade_context(group) else { continue };
            for (_, id) in sessions.iter().take_while(|(reconsider_at, _)| *reconsider_at <= self.now) {
                if let Some(rung) = self.find_upgrade(group, &context, *id) {
                    upgrades.insert(*id, rung);
                }
            }
        }
        upgrades
    }

    /// What the upgrades of a group's sessions have in common; `None` if none of them can be upgraded, so
    /// that they need not be checked one by one.
    fn upgrade_context(&self, group: &SessionGroup) -> Option<UpgradeContext<'_>> {
        let server = self.servers.get(&group.server).filter(|server| !server.shortage.is_short)?;
        let class = self.settings.classes.get(group.class)?;
        let reported_at = server.link.reported_at?;
        let highest_rung = group.highest_rung.min(class.highest_rung).min(self.settings.top_rung()?);
        if self.uplink_of(server).is_some_and(|uplink| uplink.reported_at.is_none()) {
            return None;
        }
        let load_ratio = self.load_ratio(server);
        let is_affordable = |rung, fraction| self.is_affordable(group, rung, fraction, load_ratio);
        let mut higher = group.rung + 1..=highest_rung;
        let is_possible = higher.any(|rung| is_affordable(rung, 0.0) || is_affordable(rung, 1.0));
        let lowest_rung = class.lowest_rung;
        let current_kb_s = self.settings.rate(group.class, group.rung);
        is_possible.then_some(UpgradeContext {
            server,
            reported_at,
            lowest_rung,
            highest_rung,
            load_ratio,
            current_kb_s,
        })
    }

    /// The rung to upgrade a session to, if any.
    fn find_upgrade(&self, group: &SessionGroup, context: &UpgradeContext, id: SessionId) -> Option<usize> {
        let session = self.sessions.get(id).filter(|session| context.reported_at >= session.sent_at)?;
        let request = &session.pending.request;
        // All directors decide at the same time, so the criterion is not the link's current utilization but
        // the rate that all viewers there would need at the rung. If only a fraction can have it, a draw
        // selects them.
        let fraction = draw(id.0);
        let mut higher = (group.rung + 1..=context.highest_rung).rev();
        let preferred = higher.find(|rung| self.is_affordable(group, *rung, fraction, context.load_ratio))?;
        let rung =
            self.choose_rung(context.server, request, context.lowest_rung, preferred, context.current_kb_s)?;
        if rung <= group.rung {
            return None;
        }
        let gained_utility = self.settings.ladder[rung].utility - self.settings.ladder[group.rung].utility;
        let remaining = request.duration_hint.map(|hint| hint - (self.now - session.sent_at));
        let remaining_s = remaining.map_or(f64::INFINITY, |remaining| remaining.as_secs_f64());
        (remaining_s * gained_utility > self.settings.rung_change_cost_s).then_some(rung)
    }
}

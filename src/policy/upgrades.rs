//! Exception: a playing session's rung was decided for a load that may have changed. Once link and uplink are
//! reported it is decided like a new one, upwards only, if what remains of it is worth more than the change.

use crate::director::Director;
use crate::hash::draw;
use crate::interface::SessionId;
use crate::state::records::UpgradeContext;
use crate::state::sessions::SessionGroup;
use std::collections::BTreeMap;

impl Director {
    /// The sessions to be upgraded now, and their rungs.
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

    /// None where no session of the group can be upgraded, so that they need not be looked at one by one.
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

    /// The rung that a session is to be upgraded to.
    fn find_upgrade(&self, group: &SessionGroup, context: &UpgradeContext, id: SessionId) -> Option<usize> {
        let session = self.sessions.get(id).filter(|session| context.reported_at >= session.sent_at)?;
        let request = &session.pending.request;
        // All other directors decide theirs at the same time: what counts is not how full the link is now but
        // what all viewers there would ask at that rung. If only a part can have it, that part does, by draw.
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

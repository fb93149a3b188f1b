//! A view of a director's state, for tests that compare its running counts and decisions with a full scan of
//! all sessions. It is not part of the public interface and may change at any time.

use crate::director::Director;
use crate::hash::draw;
use crate::interface::{Request, ServerId, SessionId, Settings, TitleId};
use crate::state::sessions::{ActiveSession, SessionGroup, count_after};
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// The state of one director.
pub struct Inspection<'a> {
    director: &'a Director,
}

/// One session of a director.
pub struct SessionRecord<'a> {
    session: &'a ActiveSession,
}

/// Running totals of a tenant's sessions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantRecord {
    /// Number of sessions.
    pub sessions: usize,
    /// Sum of their rates, kB/s.
    pub rate_kb_s: f64,
}

impl SessionRecord<'_> {
    /// The request that started it.
    pub fn request(&self) -> &Request {
        &self.session.pending.request
    }

    /// Number of its latest attempt, from 0.
    pub fn attempt(&self) -> u32 {
        self.session.pending.attempts - 1
    }

    /// Where it plays, or is being set up.
    pub fn server(&self) -> ServerId {
        self.session.server
    }

    /// Its rung.
    pub fn rung(&self) -> usize {
        self.session.rung
    }

    /// Its rate, kB/s.
    pub fn rate_kb_s(&self) -> f64 {
        self.session.rate_kb_s
    }

    /// When its latest attempt was sent.
    pub fn sent_at(&self) -> Timestamp {
        self.session.sent_at
    }

    /// Earliest time at which its rung may be reconsidered.
    pub fn reconsider_at(&self) -> Timestamp {
        self.session.reconsider_at
    }

    /// Whether its attempt is still unanswered.
    pub fn awaits_answer(&self) -> bool {
        self.session.awaits_answer()
    }

    /// Whether it plays.
    pub fn is_playing(&self) -> bool {
        self.session.is_playing()
    }
}

impl Director {
    /// A view of the records, for tests.
    #[doc(hidden)]
    pub fn inspect(&self) -> Inspection<'_> {
        Inspection { director: self }
    }
}

impl<'a> Inspection<'a> {
    /// Time of the last event.
    pub fn now(&self) -> Timestamp {
        self.director.now
    }

    /// The settings in force.
    pub fn settings(&self) -> &'a Settings {
        &self.director.settings
    }

    /// All sessions, in order of their ids.
    pub fn sessions(&self) -> impl Iterator<Item = SessionRecord<'a>> {
        self.director.sessions.iter().map(|session| SessionRecord { session })
    }

    /// Running count of a class's sessions.
    pub fn count_of_class(&self, class: usize) -> usize {
        self.director.sessions.by_class.get(&class).copied().unwrap_or(0)
    }

    /// Running count of a title's sessions.
    pub fn count_of_title(&self, title: TitleId) -> usize {
        self.director.sessions.by_title.get(&title).copied().unwrap_or(0)
    }

    /// Running totals of a tenant's sessions; `None` if it has no sessions.
    pub fn tenant(&self, tenant: usize) -> Option<TenantRecord> {
        let usage = self.director.sessions.by_tenant.get(&tenant)?;
        Some(TenantRecord { sessions: usage.sessions, rate_kb_s: usage.rate_kb_s })
    }

    /// Running sum of the rates of all sessions that have a tenant, kB/s.
    pub fn tenants_rate_kb_s(&self) -> f64 {
        self.director.sessions.tenants_rate_kb_s
    }

    /// Sessions sent after a time.
    pub fn count_sent_after(&self, time: Timestamp) -> usize {
        count_after(&self.director.sessions.by_send_time, time)
    }

    /// Sessions sent to a server after a time.
    pub fn count_sent_to_after(&self, server: ServerId, time: Timestamp) -> usize {
        let sessions = self.director.sessions.by_server.get(&server);
        sessions.map_or(0, |sessions| count_after(sessions, time))
    }

    /// Whether the index of sessions by server has an entry for a server.
    pub fn has_sessions_at(&self, server: ServerId) -> bool {
        self.director.sessions.by_server.contains_key(&server)
    }

    /// Running count of sessions at a server that do not play.
    pub fn count_not_playing_at(&self, server: ServerId) -> usize {
        self.director.sessions.not_playing.get(&server).copied().unwrap_or(0)
    }

    /// Number of sessions that the index lists as playing.
    pub fn count_playing(&self) -> usize {
        self.director.sessions.playing.values().map(|sessions| sessions.len()).sum()
    }

    /// The upgrades that are due now, as the director finds them: by groups of sessions.
    pub fn upgrades(&self) -> BTreeMap<SessionId, usize> {
        self.director.find_upgrades()
    }

    /// When a server's link was last reported. `None` if there is no current report, or if the server is
    /// unknown or has a shortage.
    pub fn usable_report_at(&self, server: ServerId) -> Option<Timestamp> {
        let server = self.director.servers.get(&server).filter(|server| !server.shortage.is_short)?;
        server.link.reported_at
    }

    /// Whether a server's rack has an uplink without a current report.
    pub fn has_unreported_uplink(&self, server: ServerId) -> bool {
        let server = &self.director.servers[&server];
        self.director.uplink_of(server).is_some_and(|uplink| uplink.reported_at.is_none())
    }

    /// The session's draw, from 0 to 1, which decides whether it is upgraded when only a fraction can be.
    pub fn upgrade_draw(&self, session: SessionId) -> f64 {
        draw(session.0)
    }

    /// Whether a fraction of all viewers could have this rung at the session's server.
    pub fn is_affordable(&self, session: &SessionRecord, rung: usize, fraction: f64) -> bool {
        let group = SessionGroup::of(session.session);
        let load_ratio = self.director.load_ratio(&self.director.servers[&session.server()]);
        self.director.is_affordable(&group, rung, fraction, load_ratio)
    }

    /// The rung that the placement rule gives the session at its server for a preferred rung.
    pub fn choose_rung(&self, session: &SessionRecord, preferred: usize) -> Option<usize> {
        let server = &self.director.servers[&session.server()];
        let lowest = self.director.settings.lowest_rung(session.request().class);
        self.director.choose_rung(server, session.request(), lowest, preferred, session.rate_kb_s())
    }
}

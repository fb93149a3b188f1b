//! A view of a director's records, for tests that compare its running counts and decisions with plain walks over all
//! sessions. It is no part of the interface and may change at any time.

use crate::director::Director;
use crate::hash::draw;
use crate::interface::{Request, ServerId, SessionId, Settings, TitleId};
use crate::state::sessions::{ActiveSession, SessionGroup, count_after};
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// The records of one director.
pub struct Inspection<'a> {
    director: &'a Director,
}

/// One session that a director holds.
pub struct SessionRecord<'a> {
    session: &'a ActiveSession,
}

/// What a tenant's sessions hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantRecord {
    /// Number of sessions.
    pub sessions: usize,
    /// Their rates together, kB a second.
    pub rate_kb_s: f64,
}

impl SessionRecord<'_> {
    /// The request that it came from.
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

    /// Its rate, kB a second.
    pub fn rate_kb_s(&self) -> f64 {
        self.session.rate_kb_s
    }

    /// When its latest attempt was sent.
    pub fn sent_at(&self) -> Timestamp {
        self.session.sent_at
    }

    /// From when on its rung may be decided anew.
    pub fn reconsider_at(&self) -> Timestamp {
        self.session.reconsider_at
    }

    /// Whether an answer to its attempt is awaited.
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

    /// All sessions held, by id.
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

    /// Running sums of a tenant's sessions; none where it has none.
    pub fn tenant(&self, tenant: usize) -> Option<TenantRecord> {
        let usage = self.director.sessions.by_tenant.get(&tenant)?;
        Some(TenantRecord { sessions: usage.sessions, rate_kb_s: usage.rate_kb_s })
    }

    /// Running sum of the rates of all sessions that have a tenant, kB a second.
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

    /// Whether the index has an entry for a server.
    pub fn has_sessions_at(&self, server: ServerId) -> bool {
        self.director.sessions.by_server.contains_key(&server)
    }

    /// Running count of sessions at a server that do not play.
    pub fn count_not_playing_at(&self, server: ServerId) -> usize {
        self.director.sessions.not_playing.get(&server).copied().unwrap_or(0)
    }

    /// Sessions that the index has as playing.
    pub fn count_playing(&self) -> usize {
        self.director.sessions.playing.values().map(|sessions| sessions.len()).sum()
    }

    /// The upgrades that are due now, found by groups of sessions.
    pub fn upgrades(&self) -> BTreeMap<SessionId, usize> {
        self.director.find_upgrades()
    }

    /// When a server's link was last reported; none where it was not, or the server is unknown or delivers short.
    pub fn usable_report_at(&self, server: ServerId) -> Option<Timestamp> {
        let server = self.director.servers.get(&server).filter(|server| !server.shortage.is_short)?;
        server.link.reported_at
    }

    /// Whether a server's rack has an uplink of which no report counts.
    pub fn has_unreported_uplink(&self, server: ServerId) -> bool {
        let server = &self.director.servers[&server];
        self.director.uplink_of(server).is_some_and(|uplink| uplink.reported_at.is_none())
    }

    /// The draw, from 0 to 1, by which a session takes part in what only a part can have.
    pub fn upgrade_draw(&self, session: SessionId) -> f64 {
        draw(session.0)
    }

    /// Whether this part of all viewers like the session's could have a rung at its server.
    pub fn is_affordable(&self, session: &SessionRecord, rung: usize, fraction: f64) -> bool {
        let group = SessionGroup::of(session.session);
        let load_ratio = self.director.load_ratio(&self.director.servers[&session.server()]);
        self.director.is_affordable(&group, rung, fraction, load_ratio)
    }

    /// The rung that D(C0) gives the session at its server if it asks for this one.
    pub fn choose_rung(&self, session: &SessionRecord, preferred: usize) -> Option<usize> {
        let server = &self.director.servers[&session.server()];
        let lowest = self.director.settings.lowest_rung(session.request().class);
        self.director.choose_rung(server, session.request(), lowest, preferred, session.rate_kb_s())
    }
}

//! Reports the director's sessions by tenant to the administration API.

use crate::admin_client::AdminClient;
use crate::event_loop::EventLoop;
use crate::tenants::Tenants;
use async_io::Timer;
use serde::Deserialize;
use shalewall_engine::SessionSummary;
use shalewall_http::Limits;
use shalewall_settings::Hosting;
use shalewall_tenancy::usage::ReportedSession;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of sessions listed in one report.
const MAX_LISTED_SESSIONS: usize = 1000;

/// The API's answer: what the next report should list.
#[derive(Default, Deserialize)]
struct ReportAnswer {
    /// Tenants whose sessions to list, because a user of the API is viewing them.
    sessions_of: Vec<String>,
}

/// Periodically reports the director's sessions by tenant to the API.
pub struct UsageReporter {
    event_loop: Rc<EventLoop>,
    tenants: Rc<Tenants>,
    admin: AdminClient,
}

impl UsageReporter {
    /// `token` is the director's bearer token for the API.
    pub fn new(
        event_loop: Rc<EventLoop>,
        tenants: Rc<Tenants>,
        hosting: &Hosting,
        token: &str,
    ) -> UsageReporter {
        UsageReporter {
            event_loop,
            tenants,
            admin: AdminClient::new(hosting, token, Limits::default().body),
        }
    }

    /// Sends reports forever.
    pub async fn run(self) {
        let mut requested = ReportAnswer::default();
        loop {
            Timer::after(REPORT_INTERVAL).await;
            let report = self.report(&requested.sessions_of);
            // A lost report is superseded by the next one, and tenant sync logs when the API is unreachable.
            let answer = self.admin.post("/usage", &report, REPORT_TIMEOUT).await;
            let answer = answer.ok();
            requested = answer
                .and_then(|answer| serde_json::from_slice(&answer.body).ok())
                .unwrap_or_default();
        }
    }

    fn report(&self, listed_tenants: &[String]) -> String {
        let report = serde_json::json!({
            "front": self.event_loop.director.number,
            "number": self.tenants.change_number(),
            "held": self.tenants.session_counts(),
            "sessions": self.listed_sessions(listed_tenants),
        });
        report.to_string()
    }

    fn listed_sessions(&self, tenants: &[String]) -> BTreeMap<String, Vec<ReportedSession>> {
        let mut sessions = BTreeMap::new();
        let mut remaining = MAX_LISTED_SESSIONS;
        for tenant in tenants {
            let summaries = self.event_loop.sessions_of(tenant, remaining).into_iter();
            let listed: Vec<_> = summaries.map(reported_session).collect();
            remaining -= listed.len();
            sessions.insert(tenant.clone(), listed);
        }
        sessions
    }
}

fn reported_session(summary: SessionSummary) -> ReportedSession {
    ReportedSession {
        session: summary.session.0,
        class: summary.class,
        title: summary.title,
        node: summary.server.map(|server| server.0),
        rung: summary.rung,
        is_playing: summary.is_playing,
    }
}

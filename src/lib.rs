//! shalewall is the decision logic of a load balancer for media servers with shared links: on which server a
//! session is set up, at which rung of the ladder of rates, and when a request is rejected.
//!
//! A [`Director`] takes timestamped events and returns actions. It reads no clock, does no I/O and shares no
//! state, and it is deterministic: equal events give equal actions. Decisions are in `policy`, records in
//! `state`; the public types are all exported here.
//!
//! ```
//! use shalewall::{
//!     Action, ClassSettings, Director, Endpoint, EndpointState, EndpointUpdate, Event, Idempotency, Limits,
//!     LoadReport, Outcome, Request, Rung, ServerId, SessionId, Settings, TimeDelta, Timestamp, TitleId,
//! };
//!
//! let second = TimeDelta::from_secs(1);
//! let start = Timestamp::ZERO;
//! let settings = Settings {
//!     director_count: 1,
//!     classes: vec![ClassSettings {
//!         idempotency: Idempotency::Idempotent, latency_objective: second, priority_weight: 1.0,
//!         rate_scale: 1.0, highest_rung: 1, ..ClassSettings::default()
//!     }],
//!     ladder: vec![Rung { rate_kb_s: 300.0, utility: 0.4 }, Rung { rate_kb_s: 900.0, utility: 1.0 }],
//!     cell_count: 1,
//!     link_kb_s_per_weight: 10_000.0,
//!     weight_is_capacity: true,
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut out = Vec::new();
//! let mut director = Director::new(7, settings, start);
//! let server_1 = ServerId(1);
//! director.handle(start, Event::EndpointsUpdated { update: EndpointUpdate::Full, endpoints: vec![Endpoint {
//!     server: server_1, zone: None, machine_kind: None, cell: 0, state: EndpointState::Ready, weight: 1.0,
//!     started_at: None,
//!     fleet: 0,
//! }] }, &mut out);
//!
//! out.clear();
//! let session = SessionId(42);
//! director.handle(start + second, Event::RequestReceived(Request {
//!     session, class: 0, tenant: None, viewer: 5, title: TitleId(9), deadline: start + 4 * second,
//!     duration_hint: None, first_cell: 0, replica_cells: 1, highest_rung: 1, is_retry: false, fleet: 0,
//! }), &mut out);
//! assert!(out.contains(&Action::SetRung { session, rung: 1 }));
//! assert!(out.iter().any(|a| matches!(a, Action::StartAttempt { server, .. } if *server == server_1)));
//!
//! out.clear();
//! director.handle(start + second + TimeDelta::from_millis(80), Event::SessionStarted {
//!     session, attempt: 0, server: server_1, setup_time: TimeDelta::from_millis(80) }, &mut out);
//! director.handle(start + 30 * second, Event::AttemptFinished {
//!     session, attempt: 0, server: server_1, outcome: Outcome::Success, is_answered: true,
//!     load_report: LoadReport::default() }, &mut out);
//! assert!(!out.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })));
//! ```

#![deny(missing_docs)]

mod director;
mod hash;
#[doc(hidden)]
pub mod inspection;
mod interface;
mod policy;
mod server_estimate;
mod state;
mod time;

pub use director::Director;
pub use interface::{
    Action, ClassSettings, Endpoint, EndpointState, EndpointUpdate, Event, Idempotency, Limits, LoadReport,
    Micros, Notification, Outcome, Request, RetryBudget, RuleSettings, Rung, ServerId, SessionId, Settings,
    TenantSettings, TitleId,
};
pub use server_estimate::ServerEstimate;
pub use time::{TimeDelta, Timestamp};

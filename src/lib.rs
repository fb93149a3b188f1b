//! shalewall decides for a front of media servers with shared links: which server a session is set
//! up on, at which rung of the ladder of rates, and when a viewer is turned away.
//!
//! A [`Director`] is fed what happens, with the time, and answers with what to do. It keeps no
//! clock, opens no connection and shares nothing; equal events give equal actions.
//!
//! ```
//! use shalewall::*;
//!
//! let second = 1_000_000;
//! let settings = Settings {
//!     directors: 1,
//!     classes: vec![ClassTerms {
//!         effect: Effect::Harmless, aim: second, worth: 1.0, scale: 1.0, top: 1,
//!         ..ClassTerms::default()
//!     }],
//!     ladder: vec![Rung { kb: 300.0, worth: 0.4 }, Rung { kb: 900.0, worth: 1.0 }],
//!     cells: 1,
//!     link_kb_per_weight: 10_000.0,
//!     weights_tell_size: true,
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut out = Vec::new();
//! let mut director = Director::new(7, settings, 0);
//! let box_1 = ServerId(1);
//! director.handle(0, Event::List { news: ListNews::Full, lines: vec![Listed {
//!     server: box_1, zone: None, kind: None, cell: 0, state: Standing::Ready, weight: 1.0,
//!     came_up: None,
//!     fleet: 0,
//! }] }, &mut out);
//!
//! out.clear();
//! let session = SessionId(42);
//! director.handle(second, Event::Asked(Request {
//!     session, class: 0, tenant: None, viewer: 5, title: TitleId(9), deadline: 4 * second,
//!     hint: None, home: 0, spread: 1, top: 1, again: false, fleet: 0,
//! }), &mut out);
//! assert!(out.contains(&Action::SetRung { session, rung: 1 }));
//! assert!(out.iter().any(|a| matches!(a, Action::Send { server, .. } if *server == box_1)));
//!
//! out.clear();
//! director.handle(second + 80_000, Event::Started {
//!     session, attempt: 0, server: box_1, waited: 80_000 }, &mut out);
//! director.handle(30 * second, Event::Finished {
//!     session, attempt: 0, server: box_1, outcome: Outcome::Good, closed: true,
//!     load: Load::default() }, &mut out);
//! assert!(!out.iter().any(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })));
//! ```

// The helpers of the tests name the crate from outside.
#[cfg(test)]
extern crate self as shalewall;

mod control;
mod interface;

pub use control::Director;
pub use control::belief::Belief;
pub use interface::*;

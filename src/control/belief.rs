//! What a director believes of the servers, for whoever watches it. Nothing is decided here.

use super::Director;
use crate::interface::*;

/// What is believed of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    pub server: ServerId,
    /// Asked of its link over what that gives, and the same of its rack's uplink.
    pub link: f64,
    pub uplink: f64,
    /// Failures since its last sign of life.
    pub fails: u32,
    /// It is paced as one that has just started.
    pub cold: bool,
    /// It is told to deliver short.
    pub short: bool,
}

impl Director {
    /// The servers listed, by id.
    pub fn beliefs(&self) -> impl Iterator<Item = Belief> + '_ {
        self.servers.values().map(|s| Belief {
            server: s.listed.server,
            link: self.link_share(s),
            uplink: self.uplink_share(s),
            fails: s.fails,
            cold: self.now < s.cold_until,
            short: s.short,
        })
    }
}

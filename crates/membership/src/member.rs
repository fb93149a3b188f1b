//! A director as the others know it.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A director. The order of the fields is that of the datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name in the fleet.
    pub name: String,
    /// Grows with each start of the process, and when a running one was declared down.
    pub incarnation: u64,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
}

/// Of two members of one name the one with the higher incarnation is in the fleet.
impl Identity for Member {
    type Addr = String;

    fn renew(&self) -> Option<Member> {
        Some(Member {
            incarnation: self.incarnation + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.incarnation, self.address) > (other.incarnation, other.address)
    }
}

//! The description of a director that members exchange.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A director in the fleet. The order of the fields is that of the encoding in datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name in the fleet.
    pub name: String,
    /// Increases with each start of the process, and when a running process was declared down.
    pub incarnation: u64,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
}

/// Of two members with the same name, the one with the higher incarnation is in the fleet.
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

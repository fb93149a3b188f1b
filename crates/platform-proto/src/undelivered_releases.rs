//! Owner of the releases that could not be sent because their viewer had no connection.

use shalewall::{TimeDelta, Timestamp};
use std::collections::VecDeque;
use std::net::IpAddr;

/// Maximum number of releases that are kept.
const MAX_UNDELIVERED_RELEASES: usize = 4096;
/// Time for which a release is kept: a later one is useless to the viewer.
const UNDELIVERED_RELEASE_TIMEOUT: TimeDelta = TimeDelta::from_secs(8);

struct UndeliveredRelease {
    expires_at: Timestamp,
    address: IpAddr,
    bytes: Vec<u8>,
}

/// Releases in the order in which they were to be sent.
#[derive(Default)]
pub(crate) struct UndeliveredReleases(VecDeque<UndeliveredRelease>);

impl UndeliveredReleases {
    /// Keeps a release for the next connection from this address.
    pub(crate) fn keep(&mut self, address: IpAddr, bytes: Vec<u8>, now: Timestamp) {
        if self.0.len() >= MAX_UNDELIVERED_RELEASES {
            self.0.pop_front();
        }
        self.0.push_back(UndeliveredRelease {
            expires_at: now + UNDELIVERED_RELEASE_TIMEOUT,
            address,
            bytes,
        });
    }

    /// Removes expired releases.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while self
            .0
            .front()
            .is_some_and(|release| release.expires_at <= now)
        {
            self.0.pop_front();
        }
    }

    /// Takes the encoded releases for this address.
    pub(crate) fn take(&mut self, address: IpAddr) -> Vec<Vec<u8>> {
        let mut taken = Vec::new();
        self.0.retain_mut(|release| {
            let is_for_another = release.address != address;
            if !is_for_another {
                taken.push(std::mem::take(&mut release.bytes));
            }
            is_for_another
        });
        taken
    }
}

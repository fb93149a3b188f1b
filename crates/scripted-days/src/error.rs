//! Why a day could not be run.

use shalewall_store::StoreError;
use std::io;
use thiserror::Error;

/// Why a day could not be run.
#[derive(Debug, Error)]
pub enum DayError {
    /// The day has more directors than one machine runs as processes.
    #[error("{limit} directors at most can be run as processes of one machine")]
    TooManyDirectors {
        /// How many it runs.
        limit: u32,
    },
    /// This process may not have as many descriptors as the day needs.
    #[error("the day needs some {needed} descriptors, and this process may have {available}")]
    TooFewDescriptors {
        /// What the day needs at the most that it lets expect.
        needed: u64,
        /// What this process may have.
        available: u64,
    },
    /// A director's process did not say in time where it listens.
    #[error("director {number} does not listen: see its log")]
    DirectorNotListening {
        /// Its number.
        number: u32,
    },
    /// A director's process has no standard error to read.
    #[error("no log of a director")]
    NoDirectorLog,
    /// A director's settings can't be written as a file.
    #[error(transparent)]
    Settings(#[from] hcl::Error),
    /// The store of the hosted service failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A tenant of the plan can't be one of the service.
    #[error("tenant {name}: {reason}")]
    Tenant {
        /// Its name in the plan.
        name: String,
        /// What the service says of it.
        reason: String,
    },
    /// Files, sockets or processes failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Rules or the summary can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

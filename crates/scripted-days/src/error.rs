//! Errors of running a day.

use shalewall_store::StoreError;
use std::io;
use thiserror::Error;

/// Error of running a day.
#[derive(Debug, Error)]
pub enum DayError {
    /// The day has more directors than one machine can run as processes.
    #[error("at most {limit} directors can run as processes on one machine")]
    TooManyDirectors {
        /// Maximum number of directors.
        limit: u32,
    },
    /// The descriptor limit of this process is too low for the day.
    #[error(
        "the day needs up to {needed} file descriptors, but the limit of this process is {available}"
    )]
    TooFewDescriptors {
        /// Estimated upper bound of the descriptors that the day needs.
        needed: u64,
        /// Descriptor limit of this process.
        available: u64,
    },
    /// A director's process did not report its listening address in time.
    #[error("director {number} did not report its listening address: see its log")]
    DirectorNotListening {
        /// Its number.
        number: u32,
    },
    /// A director's process has no standard error to read.
    #[error("standard error of a director process is not available")]
    NoDirectorLog,
    /// A director's settings could not be serialized.
    #[error(transparent)]
    Settings(#[from] hcl::Error),
    /// The store of the hosted service failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The hosted service rejected a tenant of the plan.
    #[error("tenant {name}: {reason}")]
    Tenant {
        /// Name of the tenant in the plan.
        name: String,
        /// Error of the service.
        reason: String,
    },
    /// Error of a file, socket or process.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Rules or the summary could not be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

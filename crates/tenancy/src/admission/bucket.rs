//! Token buckets for set-ups, and an estimate of the rate at which sessions end.

use shalewall::{TimeDelta, Timestamp};

/// Capacity of a token bucket, in seconds of its fill rate: the size of the burst that is admitted at once.
const BURST_S: f64 = 2.0;
/// Approximate window over which session ends are counted, seconds.
const END_WINDOW_S: f64 = 30.0;

/// Capacity of a bucket that is filled at a rate; at least one token.
pub(super) fn burst_size(rate_per_s: f64) -> f64 {
    (rate_per_s * BURST_S).max(1.0)
}

/// Seconds from one time to another; 0 if they are out of order.
fn elapsed_s(from: Timestamp, to: Timestamp) -> f64 {
    (to - from).max(TimeDelta::ZERO).as_secs_f64()
}

/// A token bucket for set-ups. Its level may be negative, which is a debt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenBucket {
    pub level: f64,
    updated_at: Timestamp,
}

impl TokenBucket {
    pub fn new(now: Timestamp, level: f64) -> TokenBucket {
        TokenBucket {
            level,
            updated_at: now,
        }
    }

    /// Creates a full bucket for a fill rate.
    pub fn full(now: Timestamp, rate_per_s: f64) -> TokenBucket {
        TokenBucket::new(now, rate_per_s * BURST_S)
    }

    pub fn refill(&mut self, now: Timestamp, rate_per_s: f64) {
        let filled = self.level + rate_per_s * elapsed_s(self.updated_at, now);
        self.level = filled.min(burst_size(rate_per_s));
        self.updated_at = self.updated_at.max(now);
    }
}

/// Counts session ends, with older ones decaying.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndRate {
    count: f64,
    updated_at: Timestamp,
}

impl EndRate {
    pub fn new(now: Timestamp) -> EndRate {
        EndRate {
            count: 0.0,
            updated_at: now,
        }
    }

    /// Records the time of a request: the count does not decay for the time before it.
    pub fn touch(&mut self, now: Timestamp) {
        self.updated_at = self.updated_at.max(now);
    }

    pub fn record_end(&mut self, now: Timestamp) {
        let faded = self.count / (1.0 + elapsed_s(self.updated_at, now) / END_WINDOW_S);
        self.count = faded + 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    pub fn per_second(&self) -> f64 {
        self.count / END_WINDOW_S
    }
}

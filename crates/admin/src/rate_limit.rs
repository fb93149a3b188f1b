//! Counts the calls of each tenant's users in the current minute, for rate limiting.

use shalewall_tenancy::UnixMillis;
use shalewall_tenancy::tenant::TenantId;
use std::collections::BTreeMap;

const MILLIS_PER_SECOND: u64 = 1000;
const SECONDS_PER_MINUTE: u64 = 60;

/// Counts calls in fixed windows of one minute.
#[derive(Default)]
pub(crate) struct CallCounter {
    windows: BTreeMap<TenantId, Window>,
}

struct Window {
    /// Minutes since 1970.
    minute: u64,
    calls: u32,
}

impl CallCounter {
    /// Counts a call. Returns the number of the tenant's calls in this minute, including this one.
    pub fn count(&mut self, tenant: &TenantId, now: UnixMillis) -> u32 {
        let minute = now / MILLIS_PER_SECOND / SECONDS_PER_MINUTE;
        self.windows.retain(|_, window| window.minute == minute);
        let empty = Window { minute, calls: 0 };
        let window = self.windows.entry(tenant.clone()).or_insert(empty);
        window.calls += 1;
        window.calls
    }
}

/// Seconds until the next minute begins.
pub(crate) fn seconds_to_next_minute(now: UnixMillis) -> u64 {
    SECONDS_PER_MINUTE - now / MILLIS_PER_SECOND % SECONDS_PER_MINUTE
}

//! Who is taken and who is turned away when a front is short, so that no tenant starves another.
//!
//! Two things of a front can run out: set-ups a second and sessions held. Of both each tenant has its part, by its
//! share over the sum of shares. What others leave unused goes to whoever wants it, but for a small reserve; a
//! tenant within its part may use that reserve too, so one that comes back finds room at once, and from then on
//! every session that ends makes room for it first.
//!
//! A tenant that is turned away within its part claims a place for each such viewer: what ends is kept for it, beside
//! the reserve, until it has taken as many or has not come for a while. So it has its part when as many sessions of others have ended:
//! seconds where they come and go steadily, and at the worst the length of one, since nobody's session is ended for
//! another's.
//!
//! Cost of a request: a look-up, whatever the number of tenants, and a glance at those with claims. Times in microseconds, on any clock that does
//! not go back.

use crate::model::{Limits, TenantId};
use std::collections::BTreeMap;

pub type Micros = i64;

/// A tenant's part is saved up for so long: a crowd of that many seconds' worth is taken at once.
const SAVED_S: f64 = 2.0;
/// Part of the front that only tenants within their part may use.
const RESERVE: f64 = 0.05;
/// One beyond its part may owe so many seconds of it; the more it owes, the more has to be free for it.
const OWED_S: f64 = 8.0;
/// A claim lasts so long after the tenant last came.
const CLAIM: Micros = 30_000_000;
/// Ends of sessions are counted over about so long.
const ENDS_S: f64 = 30.0;
/// Advice where nothing is known, and the bounds of all advice.
const SHORTEST: Micros = 200_000;
const LONGEST: Micros = 60_000_000;

/// What the front can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    pub set_ups_per_s: f64,
    pub sessions: f64,
}

/// What is decided of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It counts as a set-up and as a session held until [`Shares::ended`].
    Take,
    TurnAway {
        cause: Cause,
        come_back: Micros,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Nobody's, or a tenant that takes nothing new.
    NoSuchTenant,
    /// Above the tenant's own limit.
    OwnSetUps,
    OwnSessions,
    /// The front is short, and the tenant has had its part.
    SetUps,
    Sessions,
}

/// A bucket of set-ups: filled at a rate up to a depth.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    level: f64,
    at: Micros,
}

impl Bucket {
    fn fill(&mut self, now: Micros, rate: f64, depth: f64) {
        let since = (now - self.at).max(0) as f64 / 1e6;
        self.level = (self.level + rate * since).min(depth);
        self.at = self.at.max(now);
    }
}

#[derive(Clone, Debug, Default)]
struct Book {
    takes: bool,
    share: f64,
    limits: Limits,
    /// Its part of the set-ups, and what its own limit leaves.
    part: Bucket,
    own: Bucket,
    held: usize,
}

/// The tenants' parts of one front.
#[derive(Debug)]
pub struct Shares {
    capacity: Capacity,
    tenants: BTreeMap<TenantId, Book>,
    all_shares: f64,
    /// Set-ups that the front can still make.
    free: Bucket,
    held: usize,
    /// Ends of sessions a second, faded.
    ends: Bucket,
    /// Tenants turned away within their part of the sessions: when they last came, and how many places they claim.
    claims: BTreeMap<TenantId, (Micros, usize)>,
}

impl Shares {
    pub fn new(capacity: Capacity, now: Micros) -> Shares {
        let free = Bucket {
            level: capacity.set_ups_per_s * SAVED_S,
            at: now,
        };
        let ends = Bucket {
            level: 0.0,
            at: now,
        };
        Shares {
            capacity,
            tenants: BTreeMap::new(),
            all_shares: 0.0,
            free,
            held: 0,
            ends,
            claims: BTreeMap::new(),
        }
    }

    /// A tenant's terms, from now on. `takes`: new sessions are wanted. What it holds it holds, also above a
    /// part that has become smaller: it gets nothing new until it is within it.
    pub fn agree(
        &mut self,
        now: Micros,
        tenant: &TenantId,
        takes: bool,
        share: f64,
        limits: &Limits,
    ) {
        let known = self.tenants.contains_key(tenant);
        let book = self.tenants.entry(tenant.clone()).or_default();
        self.all_shares +=
            if takes { share } else { 0.0 } - if book.takes { book.share } else { 0.0 };
        (book.takes, book.share, book.limits) = (takes, share, limits.clone());
        if !known {
            let rate = self.capacity.set_ups_per_s * share / self.all_shares.max(share);
            book.part = Bucket {
                level: rate * SAVED_S,
                at: now,
            };
            book.own = Bucket {
                level: limits.set_ups_per_s.unwrap_or(0.0) * SAVED_S,
                at: now,
            };
        }
    }

    /// A tenant is gone. What it still holds counts until it has ended.
    pub fn forget(&mut self, tenant: &TenantId) {
        if let Some(book) = self.tenants.get_mut(tenant) {
            self.all_shares -= if book.takes { book.share } else { 0.0 };
            book.takes = false;
        }
        self.drop_if_empty(tenant);
    }

    fn drop_if_empty(&mut self, tenant: &TenantId) {
        if self
            .tenants
            .get(tenant)
            .is_some_and(|b| !b.takes && b.held == 0)
        {
            self.tenants.remove(tenant);
        }
    }

    /// Sessions that a tenant holds.
    pub fn held(&self, tenant: &TenantId) -> usize {
        self.tenants.get(tenant).map_or(0, |b| b.held)
    }

    /// Tenants that hold sessions, and how many.
    pub fn holding(&self) -> impl Iterator<Item = (&TenantId, usize)> {
        self.tenants
            .iter()
            .filter(|(_, b)| b.held > 0)
            .map(|(id, b)| (id, b.held))
    }

    /// A tenant's part of all sessions held.
    pub fn part(&self, tenant: &TenantId) -> f64 {
        let share = self
            .tenants
            .get(tenant)
            .filter(|b| b.takes)
            .map_or(0.0, |b| b.share);
        self.capacity.sessions * share / self.all_shares.max(f64::MIN_POSITIVE)
    }

    /// Sessions that are kept for others than this tenant.
    fn claimed(&mut self, now: Micros, tenant: &TenantId) -> f64 {
        if self.claims.is_empty() {
            return 0.0;
        }
        self.claims
            .retain(|_, (last, places)| *places > 0 && now - *last < CLAIM);
        let others = self.claims.iter().filter(|(t, _)| *t != tenant);
        let claim = |(t, (_, places)): (&TenantId, &(Micros, usize))| {
            (self.part(t) - self.held(t) as f64).clamp(0.0, *places as f64)
        };
        others.map(claim).sum()
    }

    /// A viewer of a tenant asks.
    pub fn ask(&mut self, now: Micros, tenant: &TenantId) -> Verdict {
        let away = |cause, seconds: f64| {
            let come_back = ((seconds * 1e6) as Micros).clamp(SHORTEST, LONGEST);
            Verdict::TurnAway { cause, come_back }
        };
        let (capacity, all) = (self.capacity, self.all_shares);
        let sessions = self.part(tenant);
        let claimed = self.claimed(now, tenant);
        let Some(book) = self.tenants.get_mut(tenant).filter(|b| b.takes) else {
            return away(Cause::NoSuchTenant, LONGEST as f64 / 1e6);
        };
        let rate = capacity.set_ups_per_s * book.share / all.max(f64::MIN_POSITIVE);
        book.part.fill(now, rate, (rate * SAVED_S).max(1.0));
        self.free.fill(
            now,
            capacity.set_ups_per_s,
            (capacity.set_ups_per_s * SAVED_S).max(1.0),
        );
        self.ends.fill(now, 0.0, f64::INFINITY);

        // The tenant's own limits, whatever is free.
        if let Some(most) = book.limits.set_ups_per_s {
            book.own.fill(now, most, (most * SAVED_S).max(1.0));
            if book.own.level < 1.0 {
                return away(Cause::OwnSetUps, (1.0 - book.own.level) / most.max(1e-6));
            }
        }
        if book
            .limits
            .sessions
            .is_some_and(|most| book.held >= most as usize)
        {
            return away(Cause::OwnSessions, LONGEST as f64 / 4e6);
        }

        // Sessions held: beyond its part a tenant leaves the reserve alone.
        // Parts are rounded down, or their sum would be more than there is.
        let within = book.held as f64 + 1.0 <= sessions.max(1.0);
        let most = if within {
            capacity.sessions
        } else {
            capacity.sessions * (1.0 - RESERVE) - claimed
        };
        if self.held as f64 + 1.0 > most {
            if within {
                let claim = self.claims.entry(tenant.clone()).or_default();
                *claim = (now, claim.1 + 1);
            }
            let too_many = self.held as f64 + 1.0 - most;
            let rate = self.ends.level / ENDS_S;
            return away(
                Cause::Sessions,
                if rate > 0.0 { too_many / rate } else { 1.0 },
            );
        }

        // Set-ups: its part as saved up, else what others leave; the more it owes, the more has to be free.
        let depth = (capacity.set_ups_per_s * SAVED_S).max(1.0);
        let owed = (-book.part.level / (rate * OWED_S).max(1.0)).clamp(0.0, 1.0);
        let keep = if book.part.level >= 1.0 {
            f64::NEG_INFINITY
        } else {
            depth * (RESERVE + owed * 0.5)
        };
        if self.free.level - 1.0 < keep {
            let part = (1.0 - book.part.level) / rate.max(1e-6);
            let free = (keep + 1.0 - self.free.level) / capacity.set_ups_per_s.max(1e-6);
            return away(Cause::SetUps, part.min(free.max(0.0)));
        }
        book.part.level = (book.part.level - 1.0).max(-(rate * OWED_S).max(1.0));
        book.own.level -= 1.0;
        self.free.level -= 1.0;
        book.held += 1;
        self.held += 1;
        if let Some(claim) = self.claims.get_mut(tenant) {
            *claim = (now, claim.1.saturating_sub(1));
        }
        Verdict::Take
    }

    /// A session that was taken is over, or its set-up came to nothing.
    pub fn ended(&mut self, now: Micros, tenant: &TenantId) {
        let Some(book) = self.tenants.get_mut(tenant).filter(|b| b.held > 0) else {
            return;
        };
        book.held -= 1;
        self.held -= 1;
        let since = (now - self.ends.at).max(0) as f64 / 1e6;
        self.ends.level = self.ends.level / (1.0 + since / ENDS_S) + 1.0;
        self.ends.at = self.ends.at.max(now);
        self.drop_if_empty(tenant);
    }

    /// Tenants that are known or still hold something.
    pub fn known(&self) -> usize {
        self.tenants.len()
    }
}

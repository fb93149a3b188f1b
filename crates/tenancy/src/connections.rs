//! Whose connections a front keeps open, so that neither one tenant nor those who say nothing hold them all.
//!
//! A connection is nobody's until the head of a request names a tenant. Those that are nobody's have a quarter of
//! the front; when it is full, the one that has been silent longest is closed for a new one, so slow heads cost
//! those who send them. The rest goes to tenants by share: unused parts to whoever wants them, but for a reserve;
//! when it is full, a tenant within its part gets the place of the longest idle connection of whoever is farthest
//! above. A connection on which a whole request waits for its answer is never closed for another; one on which
//! only part of a request has come is idle: content that never ends costs who sends it.
//!
//! Cost of a request: look-ups, whatever the number of tenants; a walk over them only when the front is full.

use crate::model::{Limits, TenantId};
use std::collections::{BTreeMap, BTreeSet};

/// Numbers a connection. Later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Part of the front's connections that those who have named no tenant may hold.
const NOBODYS: f64 = 0.25;
/// Part of the rest that only tenants within their part may use.
const RESERVE: f64 = 0.05;

/// Why a connection may not go on under a tenant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// There is no such tenant.
    Unknown,
    /// Above the tenant's own limit.
    Own,
    /// The front is full, and the tenant has its part.
    Part,
}

#[derive(Debug, Default)]
struct Book {
    known: bool,
    share: f64,
    limits: Limits,
    open: usize,
    /// Idle ones, by when they became so.
    idle: BTreeSet<(u64, Ticket)>,
}

#[derive(Debug, Default)]
struct Open {
    of: Option<TenantId>,
    /// When it became idle.
    idle: Option<u64>,
}

/// The connections of one front.
#[derive(Debug)]
pub struct Connections {
    most: usize,
    tenants: BTreeMap<TenantId, Book>,
    all_shares: f64,
    open: BTreeMap<Ticket, Open>,
    /// Those that are nobody's, and the idle ones of them by when they became so.
    nobodys: usize,
    silent: BTreeSet<(u64, Ticket)>,
    /// Counts connections and what becomes idle: an order in time.
    count: u64,
}

impl Connections {
    /// `most`: connections at most.
    pub fn new(most: usize) -> Connections {
        Connections {
            most,
            tenants: BTreeMap::new(),
            all_shares: 0.0,
            open: BTreeMap::new(),
            nobodys: 0,
            silent: BTreeSet::new(),
            count: 0,
        }
    }

    /// A tenant's terms, from now on. What it holds it holds, also above a limit that has become smaller.
    pub fn agree(&mut self, tenant: &TenantId, share: f64, limits: &Limits) {
        let book = self.tenants.entry(tenant.clone()).or_default();
        self.all_shares += share - if book.known { book.share } else { 0.0 };
        (book.known, book.share, book.limits) = (true, share, limits.clone());
    }

    /// A tenant is gone: its name opens nothing any more.
    pub fn forget(&mut self, tenant: &TenantId) {
        let Some(book) = self.tenants.get_mut(tenant).filter(|b| b.known) else {
            return;
        };
        book.known = false;
        self.all_shares -= book.share;
        self.drop_if_empty(tenant);
    }

    fn drop_if_empty(&mut self, tenant: &TenantId) {
        if self
            .tenants
            .get(tenant)
            .is_some_and(|b| !b.known && b.open == 0)
        {
            self.tenants.remove(tenant);
        }
    }

    /// What is agreed with a tenant; nothing where there is none.
    pub fn limits(&self, tenant: &TenantId) -> Option<&Limits> {
        self.tenants
            .get(tenant)
            .filter(|b| b.known)
            .map(|b| &b.limits)
    }

    fn nobodys_most(&self) -> usize {
        ((self.most as f64 * NOBODYS) as usize).max(1)
    }

    fn named_most(&self) -> usize {
        self.most.saturating_sub(self.nobodys_most()).max(1)
    }

    fn named(&self) -> usize {
        self.open.len() - self.nobodys
    }

    /// A tenant's part of the named connections.
    pub fn part(&self, tenant: &TenantId) -> f64 {
        let share = self
            .tenants
            .get(tenant)
            .filter(|b| b.known)
            .map_or(0.0, |b| b.share);
        self.named_most() as f64 * share / self.all_shares.max(f64::MIN_POSITIVE)
    }

    /// Connections that are open, and a tenant's.
    pub fn open_now(&self) -> usize {
        self.open.len()
    }

    pub fn held(&self, tenant: &TenantId) -> usize {
        self.tenants.get(tenant).map_or(0, |b| b.open)
    }

    fn next(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// A connection has come. With it, perhaps, one that is to be closed for it; none: it is to be closed itself,
    /// since all that are nobody's are at work.
    pub fn open(&mut self) -> Option<(Ticket, Option<Ticket>)> {
        let full = self.nobodys >= self.nobodys_most();
        let victim = if full {
            Some(self.silent.first()?.1)
        } else {
            None
        };
        victim.into_iter().for_each(|v| self.close(v));
        let now = self.next();
        let ticket = Ticket(now);
        self.open.insert(
            ticket,
            Open {
                of: None,
                idle: Some(now),
            },
        );
        self.nobodys += 1;
        self.silent.insert((now, ticket));
        Some((ticket, victim))
    }

    /// The head of a request has come, and names a tenant. With leave to go on, perhaps, a connection that is to
    /// be closed for it. Turned away, the connection is nobody's again.
    pub fn name(&mut self, ticket: Ticket, tenant: &TenantId) -> Result<Option<Ticket>, Turned> {
        let Some(before) = self.open.get(&ticket) else {
            return Err(Turned::Unknown);
        };
        if before.of.as_ref() == Some(tenant) && self.tenants.get(tenant).is_some_and(|b| b.known) {
            self.idle(ticket);
            return Ok(None);
        }
        self.unname(ticket);
        let part = self.part(tenant);
        let full = self.named_most() as f64;
        let Some(book) = self.tenants.get(tenant).filter(|b| b.known) else {
            return Err(Turned::Unknown);
        };
        let victim = if book
            .limits
            .connections
            .is_some_and(|most| book.open >= most as usize)
        {
            // Its own idle ones make room for those that it uses.
            Some(book.idle.first().map(|(_, t)| *t).ok_or(Turned::Own)?)
        } else {
            let within = book.open as f64 + 1.0 <= part.max(1.0);
            let most = if within {
                full
            } else {
                (full * (1.0 - RESERVE)).max(1.0)
            };
            if self.named() as f64 + 1.0 <= most {
                None
            } else {
                Some(self.farthest_above(tenant).ok_or(Turned::Part)?)
            }
        };
        victim.into_iter().for_each(|v| self.close(v));
        self.nobodys -= 1;
        self.open.entry(ticket).or_default().of = Some(tenant.clone());
        self.tenants.entry(tenant.clone()).or_default().open += 1;
        self.idle(ticket);
        Ok(victim)
    }

    /// The longest idle connection of who is farthest above its part, if that is as far as this tenant with one
    /// more.
    fn farthest_above(&self, tenant: &TenantId) -> Option<Ticket> {
        let above = |id: &TenantId, open: f64| open / self.part(id).max(1e-9);
        let own = above(tenant, self.held(tenant) as f64 + 1.0);
        let idle = self.tenants.iter().filter(|(_, b)| !b.idle.is_empty());
        let found = idle
            .map(|(id, b)| (above(id, b.open as f64), b))
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .filter(|(far, _)| *far >= own)?;
        found.1.idle.first().map(|(_, ticket)| *ticket)
    }

    /// A request has come whole, and is owed an answer: it is not closed for another. Until then nothing is.
    pub fn busy(&mut self, ticket: Ticket) {
        let Some(open) = self.open.get_mut(&ticket) else {
            return;
        };
        let Some(since) = open.idle.take() else {
            return;
        };
        let idle = match &open.of {
            None => Some(&mut self.silent),
            Some(tenant) => self.tenants.get_mut(tenant).map(|b| &mut b.idle),
        };
        idle.into_iter().for_each(|idle| {
            idle.remove(&(since, ticket));
        });
    }

    /// Its request has been answered, and another may follow; or only part of one has come.
    pub fn idle(&mut self, ticket: Ticket) {
        self.busy(ticket);
        let now = self.next();
        let Some(open) = self.open.get_mut(&ticket) else {
            return;
        };
        open.idle = Some(now);
        let idle = match &open.of {
            None => &mut self.silent,
            Some(tenant) => &mut self.tenants.entry(tenant.clone()).or_default().idle,
        };
        idle.insert((now, ticket));
    }

    /// It is nobody's again, and at work.
    fn unname(&mut self, ticket: Ticket) {
        self.busy(ticket);
        let Some(open) = self.open.get_mut(&ticket) else {
            return;
        };
        let Some(tenant) = open.of.take() else { return };
        self.nobodys += 1;
        self.tenants
            .get_mut(&tenant)
            .into_iter()
            .for_each(|b| b.open -= 1);
        self.drop_if_empty(&tenant);
    }

    /// It is closed.
    pub fn close(&mut self, ticket: Ticket) {
        self.unname(ticket);
        if self.open.remove(&ticket).is_some() {
            self.nobodys -= 1;
        }
    }
}

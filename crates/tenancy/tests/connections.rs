//! Connections by tenant: bounds hold in any order of events, quotas are met, and no busy connection is evicted.

mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shalewall_tenancy::connections::{AssignError, ConnectionId, Connections};
use shalewall_tenancy::terms::Limits;
use std::collections::{BTreeMap, BTreeSet};
use support::id;

fn connection_limit(connections: Option<u32>) -> Limits {
    Limits {
        connections,
        ..Limits::default()
    }
}

/// Opens a connection on which a complete request of a tenant arrives.
fn connect(connections: &mut Connections, tenant: &str) -> Result<ConnectionId, AssignError> {
    let connection = connections
        .open()
        .expect("an unassigned connection is idle or free")
        .id;
    match connections.assign(connection, &id(tenant)) {
        Ok(_) => {
            connections.mark_busy(connection);
            Ok(connection)
        }
        Err(error) => {
            connections.close(connection);
            Err(error)
        }
    }
}

fn two_tenants(capacity: usize) -> Connections {
    let mut connections = Connections::new(capacity);
    connections.set_tenant(&id("loud"), 1.0, &Limits::default());
    connections.set_tenant(&id("quiet"), 1.0, &Limits::default());
    connections
}

#[test]
fn connections_without_a_tenant_evict_each_other_only() {
    let mut connections = two_tenants(400);
    let of_quiet: Vec<_> = (0..50)
        .map(|_| connect(&mut connections, "quiet").unwrap())
        .collect();
    // 1,000 connections that never name a tenant.
    let mut closed = 0;
    for _ in 0..1000 {
        let opened = connections
            .open()
            .expect("the unassigned connections are idle");
        let is_other = |evicted| !of_quiet.contains(&evicted);
        closed += u32::from(opened.evicted.is_some_and(is_other));
    }
    assert_eq!(closed, 900);
    assert_eq!(
        connections.open_count(),
        150,
        "a quarter of the connections may be unassigned"
    );
    assert_eq!(connections.tenant_open_count(&id("quiet")), 50);
    assert!(connect(&mut connections, "quiet").is_ok());
}

#[test]
fn a_tenant_within_its_quota_evicts_idle_but_not_busy_connections_of_one_above_it() {
    let mut connections = two_tenants(400);
    let loud: Vec<_> = std::iter::from_fn(|| connect(&mut connections, "loud").ok()).collect();
    assert_eq!(
        loud.len(),
        285,
        "all but the reserve, if no other tenant uses them"
    );
    for connection in &loud[..200] {
        connections.mark_idle(*connection);
    }
    let mut evicted = Vec::new();
    for i in 0..150 {
        let connection = connections.open().expect("a connection is available").id;
        let assigned = connections.assign(connection, &id("quiet"));
        evicted.extend(assigned.unwrap_or_else(|error| panic!("{i}: {error:?}")));
        connections.mark_busy(connection);
    }
    // 15 connections of the reserve, then the slots of idle ones, the longest idle first.
    assert_eq!(evicted, loud[..135]);
    assert_eq!(connections.tenant_open_count(&id("quiet")), 150);
    assert_eq!(connections.tenant_open_count(&id("loud")), 150);
    // Above its quota it gets no more connections while the other tenant is at its quota.
    assert_eq!(connect(&mut connections, "quiet"), Err(AssignError::Quota));
    // A tenant may use its own idle connections again.
    assert_eq!(connections.assign(loud[140], &id("loud")), Ok(None));
}

#[test]
fn limits_reassignment_and_removal_of_tenants() {
    let mut connections = two_tenants(100);
    connections.set_tenant(&id("loud"), 1.0, &connection_limit(Some(2)));
    let first = connect(&mut connections, "loud").unwrap();
    let second = connect(&mut connections, "loud").unwrap();
    assert_eq!(
        connect(&mut connections, "loud"),
        Err(AssignError::TenantLimit)
    );
    connections.mark_idle(first);
    let third = connections.open().expect("a connection is available").id;
    assert_eq!(
        connections.assign(third, &id("loud")),
        Ok(Some(first)),
        "the tenant's own idle connection is evicted"
    );
    assert_eq!(
        connect(&mut connections, "nobody"),
        Err(AssignError::UnknownTenant)
    );
    // A connection that names another tenant counts for that one, until the tenant is removed.
    assert_eq!(connections.assign(second, &id("quiet")), Ok(None));
    assert_eq!(connections.tenant_open_count(&id("loud")), 1);
    assert_eq!(connections.tenant_open_count(&id("quiet")), 1);
    connections.remove_tenant(&id("quiet"));
    assert_eq!(
        connections.assign(second, &id("quiet")),
        Err(AssignError::UnknownTenant)
    );
    connections.close(second);
    connections.close(second);
    assert_eq!(connections.open_count(), 1);
    assert_eq!(connections.tenant_open_count(&id("quiet")), 0);
}

#[test]
fn busy_unassigned_connections_are_not_evicted() {
    let mut connections = two_tenants(40);
    let busy: Vec<_> = (0..10)
        .map(|_| connections.open().expect("a quarter may be unassigned").id)
        .collect();
    for connection in &busy {
        connections.mark_busy(*connection);
    }
    assert_eq!(connections.open(), None, "no busy connection is evicted");
    connections.mark_idle(busy[3]);
    let opened = connections.open().expect("a connection is idle");
    assert_eq!(opened.evicted, Some(busy[3]));
    assert!(
        connections.assign(busy[0], &id("quiet")).is_ok(),
        "an assigned connection no longer counts as unassigned"
    );
    assert!(connections.open().is_some());
}

const TENANTS: [&str; 3] = ["a", "b", "c"];

/// The expected state of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Expected {
    /// The tenant's index in [`TENANTS`].
    tenant: Option<usize>,
    is_busy: bool,
}

/// Connections of three tenants, the last of which has a limit of five, with the expected state of each.
struct Model {
    connections: Connections,
    open: BTreeMap<ConnectionId, Expected>,
}

impl Model {
    fn new(capacity: usize) -> Model {
        let mut connections = Connections::new(capacity);
        for (i, tenant) in TENANTS.iter().enumerate() {
            let limits = connection_limit((i == 2).then_some(5));
            connections.set_tenant(&id(tenant), 1.0 + i as f64, &limits);
        }
        Model {
            connections,
            open: BTreeMap::new(),
        }
    }

    fn evict(&mut self, evicted: Option<ConnectionId>) {
        if let Some(evicted) = evicted {
            self.open.remove(&evicted);
        }
    }

    fn open(&mut self) -> Result<(), TestCaseError> {
        let unassigned_idle = Expected {
            tenant: None,
            is_busy: false,
        };
        let Some(opened) = self.connections.open() else {
            let all_in_use = self.open.values().all(|c| c.tenant.is_some() || c.is_busy);
            prop_assert!(all_in_use);
            return Ok(());
        };
        if let Some(evicted) = opened.evicted {
            prop_assert!(self.open[&evicted] == unassigned_idle);
        }
        self.open.insert(opened.id, unassigned_idle);
        self.evict(opened.evicted);
        Ok(())
    }

    fn assign(&mut self, connection: ConnectionId, tenant: usize) -> Result<(), TestCaseError> {
        let name = TENANTS[tenant];
        let held = self.connections.tenant_open_count(&id(name)) as f64;
        let quota = self.connections.quota(&id(name));
        match self.connections.assign(connection, &id(name)) {
            Ok(evicted) => {
                if let Some(evicted) = evicted {
                    prop_assert!(
                        evicted != connection && !self.open[&evicted].is_busy,
                        "busy"
                    );
                }
                let assigned = Expected {
                    tenant: Some(tenant),
                    is_busy: false,
                };
                self.open.insert(connection, assigned);
                self.evict(evicted);
            }
            Err(error) => {
                let other_is_idle = self
                    .open
                    .values()
                    .any(|c| c.tenant.is_some_and(|other| other != tenant) && !c.is_busy);
                let any_above_quota = TENANTS.iter().any(|name| {
                    let held = self.connections.tenant_open_count(&id(name)) as f64;
                    held > self.connections.quota(&id(name)).max(1.0)
                });
                let is_starved = error == AssignError::Quota
                    && held + 1.0 <= quota
                    && other_is_idle
                    && !any_above_quota;
                prop_assert!(!is_starved, "{name}: {held} of {quota}");
                let unassigned_busy = Expected {
                    tenant: None,
                    is_busy: true,
                };
                self.open.insert(connection, unassigned_busy);
            }
        }
        Ok(())
    }

    fn mark_busy(&mut self, connection: ConnectionId) {
        self.connections.mark_busy(connection);
        self.open.entry(connection).and_modify(|c| c.is_busy = true);
    }

    fn mark_idle(&mut self, connection: ConnectionId) {
        self.connections.mark_idle(connection);
        self.open
            .entry(connection)
            .and_modify(|c| c.is_busy = false);
    }

    fn close(&mut self, connection: ConnectionId) {
        self.connections.close(connection);
        self.open.remove(&connection);
    }

    fn check(&self, capacity: usize) -> Result<(), TestCaseError> {
        let open_count = self.connections.open_count();
        prop_assert_eq!(open_count, self.open.len());
        prop_assert!(open_count <= capacity.max(2));
        for (i, name) in TENANTS.iter().enumerate() {
            let expected = self.open.values().filter(|c| c.tenant == Some(i)).count();
            prop_assert_eq!(self.connections.tenant_open_count(&id(name)), expected);
        }
        let distinct: BTreeSet<_> = self.open.keys().collect();
        prop_assert_eq!(distinct.len(), self.open.len());
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// In any sequence of events, the bound holds, the counts match the open connections, no busy connection is
    /// evicted, and a tenant within its quota is rejected only while all connections above quotas are busy.
    #[test]
    fn bounds_hold_in_any_sequence_of_events(
        capacity in 4usize..60,
        steps in prop::collection::vec((0u8..6, 0u8..4, any::<u8>()), 1..400),
    ) {
        let mut model = Model::new(capacity);
        for (step, tenant, which) in steps {
            let count = model.open.len().max(1);
            let connection = model.open.keys().nth(which as usize % count).copied();
            match (step, connection) {
                (0..=1, _) => model.open()?,
                (2..=3, Some(connection)) if tenant < 3 => {
                    model.assign(connection, tenant as usize)?;
                }
                (2..=3, Some(connection)) => model.mark_busy(connection),
                (4, Some(connection)) => model.mark_idle(connection),
                (5, Some(connection)) => model.close(connection),
                _ => {}
            }
            model.check(capacity)?;
        }
    }
}

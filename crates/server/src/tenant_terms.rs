//! Converts a tenant's terms from the administration API to the engine's types.

use shalewall::{ClassSettings, Idempotency, ServerId, TimeDelta};
use shalewall_engine::{ClassTerms, TenantTerms, TenantUpdate, TitlePlacement};
use shalewall_tenancy::tenant::{Tenant, TenantState};
use shalewall_tenancy::terms::{Class, Fleet};
use std::collections::BTreeMap;

/// Converts a tenant of the administration API to an update for the engine.
pub fn tenant_update(tenant: &Tenant) -> TenantUpdate {
    let is_deleted = matches!(tenant.state, TenantState::Deleted { .. });
    TenantUpdate {
        tenant: tenant.id.to_string(),
        terms: (!is_deleted).then(|| tenant_terms(tenant)),
    }
}

fn tenant_terms(tenant: &Tenant) -> TenantTerms {
    let terms = &tenant.terms;
    let classes = terms.classes.iter();
    let quota = tenant.state.accepts_sessions().then_some(terms.share);
    TenantTerms {
        quota,
        classes: classes
            .map(|(name, class)| (name.clone(), class_terms(class)))
            .collect(),
        titles: placements(tenant),
        nodes: match &terms.fleet {
            Fleet::Pool => Vec::new(),
            Fleet::Own(nodes) => nodes.iter().map(|node| ServerId(*node)).collect(),
        },
    }
}

fn placements(tenant: &Tenant) -> BTreeMap<String, TitlePlacement> {
    let titles = tenant.terms.titles.iter();
    let placement = |(name, title): (&String, &shalewall_tenancy::terms::Title)| {
        let placement = TitlePlacement {
            first_cell: title.first_cell,
            replica_cells: title.replica_cells,
        };
        (name.clone(), placement)
    };
    titles.map(placement).collect()
}

fn class_terms(class: &Class) -> ClassTerms {
    let idempotency = if class.paid {
        Idempotency::AtMostOnce
    } else {
        Idempotency::Idempotent
    };
    let highest_rung = class.highest_rung;
    let settings = ClassSettings {
        idempotency,
        latency_objective: TimeDelta::from_millis(class.latency_objective_ms.into()),
        priority_weight: class.priority_weight,
        rate_scale: 1.0,
        lowest_rung: class.lowest_rung as usize,
        highest_rung: highest_rung.map_or(usize::MAX, |rung| rung as usize),
        session_limit_per_title: class.session_limit_per_title,
        is_live: false,
    };
    ClassTerms {
        settings,
        max_wait: TimeDelta::from_millis(class.deadline_ms.into()),
    }
}

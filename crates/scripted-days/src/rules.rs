//! The rules of a day as the auditor wants them.

use shalewall_audit::{ClassRule, Further, Rules};
use shalewall_settings::{Class, DayPlan, us};
use std::collections::BTreeMap;

/// What may be seen later, or in another order, than it was sent: loopback, and turns of busy processes. Microseconds.
const TRANSIT_US: i64 = 100_000;

/// The rules that a day's recordings are judged by.
pub fn rules(plan: &DayPlan) -> Rules {
    let site = &plan.site;
    let classes = site.class.iter();
    let classes: BTreeMap<_, _> = classes
        .map(|(name, class)| (name.clone(), class_rule(class)))
        .collect();
    let hosted_tenants = site.tenant.keys().filter(|_| plan.hosted.is_some());
    let titles = site.title.iter();
    Rules {
        tenants: hosted_tenants
            .map(|name| (name.clone(), classes.clone()))
            .collect(),
        classes,
        drain_within: us(site.rules.drain_within_ms),
        answer_slack: us(site.rules.answer_slack_ms),
        warm_after: us(site.rules.warm_after_ms),
        start_capacity: site.rules.start_capacity,
        overload_factor: site.rules.overload_factor,
        fall: us(site.rules.fall_ms),
        further: site.rules.further.as_ref().map(retry_rule),
        transit: TRANSIT_US,
        cells: site.layout.cells,
        titles: titles
            .map(|(name, title)| (name.clone(), (title.home, title.spread)))
            .collect(),
    }
}

fn class_rule(class: &Class) -> ClassRule {
    ClassRule {
        paid: class.paid,
        floor: class.floor,
        seats: class.seats,
    }
}

fn retry_rule(budget: &shalewall_settings::Further) -> Further {
    Further {
        free: budget.free,
        per_request: budget.per_request,
        span: us(budget.span_ms),
    }
}

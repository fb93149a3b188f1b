//! The rules of a day as the auditor wants them.

use shalewall_audit::{ClassRule, Placement, RetryBudget, Rules, TimeDelta};
use shalewall_settings::{Class, DayPlan, Title, us};
use std::collections::BTreeMap;

/// What may be seen later, or in another order, than it was sent: loopback, and turns of busy processes.
const TRANSIT: TimeDelta = TimeDelta::from_millis(100);

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
        drain_within: length(site.rules.drain_within_ms),
        answer_slack: length(site.rules.answer_slack_ms),
        warm_after: length(site.rules.warm_after_ms),
        start_capacity: site.rules.start_capacity,
        overload_factor: site.rules.overload_factor,
        overload_window: length(site.rules.fall_ms),
        retry_budget: site.rules.further.as_ref().map(retry_rule),
        transit: TRANSIT,
        cells: site.layout.cells,
        titles: titles
            .map(|(name, title)| (name.clone(), placement(title)))
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

fn length(millis: f64) -> TimeDelta {
    TimeDelta::from_micros(us(millis))
}

fn placement(title: &Title) -> Placement {
    Placement {
        home: title.home,
        spread: title.spread,
    }
}

fn retry_rule(budget: &shalewall_settings::Further) -> RetryBudget {
    RetryBudget {
        free: budget.free,
        per_request: budget.per_request,
        window: length(budget.span_ms),
    }
}

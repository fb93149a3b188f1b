//! Converts the rules of a day's plan to the form that the audit uses.

use shalewall_audit::{ClassRule, Placement, RetryBudget, Rules, TimeDelta};
use shalewall_settings::{Class, DayPlan, Title, micros_from_millis};
use std::collections::BTreeMap;

/// Tolerance for events that are seen late or reordered, because of loopback sockets and busy processes.
const TRANSIT: TimeDelta = TimeDelta::from_millis(100);

/// The rules that a day's recordings are judged by.
pub fn rules(plan: &DayPlan) -> Rules {
    let site = &plan.site;
    let classes = site.classes.iter();
    let classes: BTreeMap<_, _> = classes
        .map(|(name, class)| (name.clone(), class_rule(class)))
        .collect();
    let hosted_tenants = site.tenants.keys().filter(|_| plan.hosted.is_some());
    let titles = site.titles.iter();
    Rules {
        tenants: hosted_tenants
            .map(|name| (name.clone(), classes.clone()))
            .collect(),
        classes,
        drain_within: time_delta(site.rules.drain_grace_ms),
        answer_slack: time_delta(site.rules.answer_slack_ms),
        warm_after: time_delta(site.rules.warm_up_ms),
        start_capacity: site.rules.initial_capacity,
        overload_factor: site.rules.overload_factor,
        overload_window: time_delta(site.rules.overload_window_ms),
        retry_budget: site.rules.retry_budget.as_ref().map(retry_rule),
        transit: TRANSIT,
        cells: site.layout.cell_count,
        titles: titles
            .map(|(name, title)| (name.clone(), placement(title)))
            .collect(),
    }
}

fn class_rule(class: &Class) -> ClassRule {
    ClassRule {
        paid: class.paid,
        floor: class.lowest_rung,
        seats: class.session_limit_per_title,
    }
}

fn time_delta(millis: f64) -> TimeDelta {
    TimeDelta::from_micros(micros_from_millis(millis))
}

fn placement(title: &Title) -> Placement {
    Placement {
        home: title.first_cell,
        spread: title.replica_cells,
    }
}

fn retry_rule(budget: &shalewall_settings::RetryBudget) -> RetryBudget {
    RetryBudget {
        free: budget.base,
        per_request: budget.per_request,
        window: time_delta(budget.window_ms),
    }
}

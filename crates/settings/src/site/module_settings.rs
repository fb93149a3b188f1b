//! Converts a site's settings to those of the decision module and the engine.

use super::Site;
use super::capacity::Title;
use super::policy::RetryBudget;
use super::traffic::{Class, Tenant};
use crate::migration::MigrationSettings;
use crate::server::DirectorSettings;
use crate::units::from_millis;
use shalewall::{
    ClassSettings, Idempotency, RuleSettings, Rung, Settings, TenantSettings, TimeDelta,
};
use shalewall_engine::{Config, NamedClass, TitlePlacement};

impl Site {
    /// Classes in the order of the module's indices, with the longest wait of their viewers.
    pub fn classes(&self) -> Vec<NamedClass> {
        let classes = self.classes.iter();
        classes
            .map(|(name, class)| NamedClass {
                name: name.clone(),
                max_wait: from_millis(class.deadline_ms),
            })
            .collect()
    }

    /// The engine's configuration for one director. `incarnation` distinguishes this start of the director from others.
    pub fn config(&self, director: &DirectorSettings, incarnation: u16) -> Config {
        let titles = self.titles.iter();
        Config {
            seed: director.seed,
            settings: self.settings(director),
            classes: self.classes(),
            tenants: self.tenants.keys().cloned().collect(),
            zones: self.zones.clone(),
            machine_kinds: self.kinds.keys().cloned().collect(),
            titles: titles
                .map(|(name, title)| (name.clone(), title.placement()))
                .collect(),
            max_sessions: director.max_sessions,
            incarnation,
            migration: self.moves.as_ref().map(MigrationSettings::policy),
        }
    }

    /// The decision module's settings for one director.
    pub fn settings(&self, director: &DirectorSettings) -> Settings {
        let highest_rung = self.ladder.len().saturating_sub(1);
        let classes = self.classes.values();
        let all_shares: f64 = self.tenants.values().map(|tenant| tenant.share).sum();
        let tenants = self.tenants.values();
        Settings {
            director_index: director.number,
            director_count: director.director_count,
            zone: self.zone_index(director),
            classes: classes.map(|class| class.settings(highest_rung)).collect(),
            tenants: tenants.map(|tenant| tenant.settings(all_shares)).collect(),
            ladder: self.rungs(),
            cell_count: self.layout.cell_count,
            rack_count: self.layout.rack_count,
            stream_capacity_by_kind: self
                .kinds
                .values()
                .map(|kind| kind.stream_capacity)
                .collect(),
            weight_is_capacity: self.link.weight_is_capacity,
            link_kb_s_per_weight: self.link.kb_s_per_weight,
            fleet_kb_s: self.link.fleet_kb_s,
            rack_uplink_kb_s: self.link.rack_uplink_kb_s,
            join_rate_fraction: self.link.join_rate_fraction,
            notification_delay: from_millis(self.notifications.delay_ms),
            notification_interval: from_millis(self.notifications.interval_ms),
            stall_penalty: self.costs.stall_penalty,
            rung_change_cost_s: self.costs.rung_change_s,
            zone_crossing_price: self.costs.zone_crossing,
            over_quota_weight: self.costs.over_quota_weight,
            rules: self.rule_settings(),
            limits: self.limit_settings(),
            must_poll_endpoints: false,
        }
    }

    fn zone_index(&self, director: &DirectorSettings) -> Option<usize> {
        let zone = director.zone.as_ref()?;
        self.zones.iter().position(|name| name == zone)
    }

    fn rungs(&self) -> Vec<Rung> {
        let steps = self.ladder.iter();
        steps
            .map(|step| Rung {
                rate_kb_s: step.rate_kb_s,
                utility: step.utility,
            })
            .collect()
    }

    fn rule_settings(&self) -> RuleSettings {
        RuleSettings {
            warm_up: from_millis(self.rules.warm_up_ms),
            initial_capacity: self.rules.initial_capacity,
            overload_factor: self.rules.overload_factor,
            overload_window: from_millis(self.rules.overload_window_ms),
            poll_deadline: TimeDelta::from_micros(0),
            retry_budget: self.rules.retry_budget.as_ref().map(RetryBudget::settings),
        }
    }

    fn limit_settings(&self) -> shalewall::Limits {
        shalewall::Limits {
            max_attempts: self.limits.max_attempts,
            can_cancel: self.limits.can_cancel,
            can_check_health: self.limits.can_check_health,
            health_check_price: self.costs.health_check,
            max_retry_after: from_millis(self.limits.max_retry_after_ms),
            min_batch_interval: from_millis(self.limits.min_batch_interval_ms),
        }
    }
}

impl Class {
    /// Converts the class; `highest_rung` is that of the ladder.
    fn settings(&self, highest_rung: usize) -> ClassSettings {
        let idempotency = if self.paid {
            Idempotency::AtMostOnce
        } else {
            Idempotency::Idempotent
        };
        ClassSettings {
            idempotency,
            latency_objective: from_millis(self.latency_objective_ms),
            priority_weight: self.priority_weight,
            rate_scale: self.rate_scale,
            lowest_rung: self.lowest_rung,
            highest_rung: self.highest_rung.unwrap_or(highest_rung),
            session_limit_per_title: self.session_limit_per_title,
            is_live: self.is_live,
        }
    }
}

impl Tenant {
    /// Converts the tenant; `all_shares` is the sum of the shares of the site's tenants.
    fn settings(&self, all_shares: f64) -> TenantSettings {
        let fleet_quota = if all_shares > 0.0 {
            self.share / all_shares
        } else {
            0.0
        };
        TenantSettings {
            request_quota_per_s: self.request_quota_per_s,
            fleet_quota,
        }
    }
}

impl RetryBudget {
    fn settings(&self) -> shalewall::RetryBudget {
        shalewall::RetryBudget {
            base: self.base,
            per_request: self.per_request,
            window: from_millis(self.window_ms),
        }
    }
}

impl Title {
    fn placement(&self) -> TitlePlacement {
        TitlePlacement {
            first_cell: self.first_cell,
            replica_cells: self.replica_cells,
        }
    }
}

//! A site as the decision module and the engine are told of it.

use super::Site;
use super::capacity::Title;
use super::policy::Further;
use super::traffic::{Class, Tenant};
use crate::moves::Moves;
use crate::server::Front;
use crate::units::{from_millis, us};
use shalewall::{
    ClassSettings, Idempotency, RetryBudget, RuleSettings, Rung, Settings, TenantSettings,
    TimeDelta,
};
use shalewall_engine::{Config, NamedClass, TitlePlacement};

impl Site {
    /// Classes in the order of the module's indices, with how long their viewers wait.
    pub fn classes(&self) -> Vec<NamedClass> {
        let classes = self.class.iter();
        classes
            .map(|(name, class)| NamedClass {
                name: name.clone(),
                max_wait: TimeDelta::from_micros(us(class.give_up_ms)),
            })
            .collect()
    }

    /// What the engine of one director is told. `incarnation` distinguishes this start of the director from others.
    pub fn config(&self, front: &Front, incarnation: u16) -> Config {
        let titles = self.title.iter();
        Config {
            seed: front.seed,
            settings: self.settings(front),
            classes: self.classes(),
            tenants: self.tenant.keys().cloned().collect(),
            zones: self.zones.clone(),
            machine_kinds: self.kind.keys().cloned().collect(),
            titles: titles
                .map(|(name, title)| (name.clone(), title.place()))
                .collect(),
            max_sessions: front.most_sessions,
            incarnation,
            migration: self.moves.as_ref().map(Moves::policy),
        }
    }

    /// What the module of one director is told.
    pub fn settings(&self, front: &Front) -> Settings {
        let highest_rung = self.ladder.len().saturating_sub(1);
        let classes = self.class.values();
        let all_shares: f64 = self.tenant.values().map(|tenant| tenant.share).sum();
        let tenants = self.tenant.values();
        Settings {
            director_index: front.number,
            director_count: front.directors,
            zone: self.zone_index(front),
            classes: classes.map(|class| class.settings(highest_rung)).collect(),
            tenants: tenants.map(|tenant| tenant.settings(all_shares)).collect(),
            ladder: self.rungs(),
            cell_count: self.layout.cells,
            rack_count: self.layout.racks,
            stream_capacity_by_kind: self.kind.values().map(|kind| kind.places).collect(),
            weight_is_capacity: self.link.weights_tell_size,
            link_kb_s_per_weight: self.link.kb_per_weight,
            fleet_kb_s: self.link.fleet_kb,
            rack_uplink_kb_s: self.link.uplink_kb,
            join_rate_fraction: self.link.join_adds,
            notification_delay: from_millis(self.notes.late_ms),
            notification_interval: from_millis(self.notes.every_ms),
            stall_penalty: self.costs.stall,
            rung_change_cost_s: self.costs.switch_s,
            zone_crossing_price: self.costs.cross,
            over_quota_weight: self.costs.over_share_worth,
            rules: self.rule_settings(),
            limits: self.limit_settings(),
            must_poll_endpoints: false,
        }
    }

    fn zone_index(&self, front: &Front) -> Option<usize> {
        let zone = front.zone.as_ref()?;
        self.zones.iter().position(|name| name == zone)
    }

    fn rungs(&self) -> Vec<Rung> {
        let steps = self.ladder.iter();
        steps
            .map(|step| Rung {
                rate_kb_s: step.kb,
                utility: step.worth,
            })
            .collect()
    }

    fn rule_settings(&self) -> RuleSettings {
        RuleSettings {
            warm_up: from_millis(self.rules.warm_after_ms),
            initial_capacity: self.rules.start_capacity,
            overload_factor: self.rules.overload_factor,
            overload_window: from_millis(self.rules.fall_ms),
            poll_deadline: TimeDelta::from_micros(0),
            retry_budget: self.rules.further.as_ref().map(Further::settings),
        }
    }

    fn limit_settings(&self) -> shalewall::Limits {
        shalewall::Limits {
            max_attempts: self.limits.max_attempts,
            can_cancel: self.limits.may_cancel,
            can_check_health: self.limits.may_probe,
            health_check_price: self.costs.probe,
            max_retry_after: from_millis(self.limits.max_come_back_ms),
            min_batch_interval: from_millis(self.limits.step_ms),
        }
    }
}

impl Class {
    /// As the module is told; `highest_rung`: that of the ladder.
    fn settings(&self, highest_rung: usize) -> ClassSettings {
        let idempotency = if self.paid {
            Idempotency::AtMostOnce
        } else {
            Idempotency::Idempotent
        };
        ClassSettings {
            idempotency,
            latency_objective: from_millis(self.aim_ms),
            priority_weight: self.worth,
            rate_scale: self.scale,
            lowest_rung: self.floor,
            highest_rung: self.top.unwrap_or(highest_rung),
            session_limit_per_title: self.seats,
            is_live: self.live,
        }
    }
}

impl Tenant {
    /// As the module is told; `all_shares`: the sum over the site's tenants.
    fn settings(&self, all_shares: f64) -> TenantSettings {
        let fleet_quota = if all_shares > 0.0 {
            self.share / all_shares
        } else {
            0.0
        };
        TenantSettings {
            request_quota_per_s: self.allowance_per_s,
            fleet_quota,
        }
    }
}

impl Further {
    fn settings(&self) -> RetryBudget {
        RetryBudget {
            base: self.free,
            per_request: self.per_request,
            window: from_millis(self.span_ms),
        }
    }
}

impl Title {
    fn place(&self) -> TitlePlacement {
        TitlePlacement {
            first_cell: self.home,
            replica_cells: self.spread,
        }
    }
}

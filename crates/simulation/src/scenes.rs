//! Scenes: days that each test one situation, derived from a plan by changing its load and faults.

use shalewall_settings::{DayPlan, Fault, FaultKind, Tenant};

/// A scene: its name, the situation that it tests, and its plan.
pub struct Scene {
    pub name: String,
    pub description: &'static str,
    pub plan: DayPlan,
}

/// The usual load: arrivals a second at which the uplinks, at full utilization, carry all viewers at the ladder's
/// middle rung in the steady state.
fn usual_arrivals_per_s(plan: &DayPlan) -> f64 {
    let ladder = &plan.site.ladder;
    let racks = plan.site.layout.rack_count as f64;
    let mean_s = (plan.load.min_length_s + plan.load.max_length_s) / 2.0;
    racks * plan.fleet.uplink_kb_s / ladder[ladder.len() / 2].rate_kb_s / mean_s
}

/// Sets sessions of about half an hour in a day of one hour.
fn use_long_sessions(plan: &mut DayPlan) {
    (
        plan.load.min_length_s,
        plan.load.max_length_s,
        plan.day.seconds,
    ) = (1500.0, 2100.0, 3600.0);
}

/// Multiplies the size of the fleet and the load by `times` and sets the number of directors.
fn scale_fleet(plan: &mut DayPlan, times: u64, directors: u32) {
    plan.day.directors = directors;
    plan.fleet.node_count *= times;
    plan.site.layout.cell_count *= times;
    plan.site.layout.rack_count *= times;
    plan.site.link.fleet_kb_s *= times as f64;
    plan.load.per_s *= times as f64;
    for title in plan.site.titles.values_mut() {
        (title.first_cell, title.replica_cells) =
            (title.first_cell * times, title.replica_cells * times);
    }
}

/// All scenes, derived from a plan whose fleet starts empty.
pub fn all(base: &DayPlan) -> Vec<Scene> {
    let mut scenes = Vec::new();
    let mut add_scene = |name: &str, description: &'static str, change: &dyn Fn(&mut DayPlan)| {
        let mut plan = base.clone();
        plan.day.seconds = 180.0;
        plan.load.per_s = usual_arrivals_per_s(&plan);
        change(&mut plan);
        scenes.push(Scene {
            name: name.to_string(),
            description,
            plan,
        });
    };
    for per_s in [2.0, 3.0] {
        add_scene(
            &format!("fill-{per_s}"),
            "an empty start, 100 s, no retries",
            &|p| {
                (p.day.seconds, p.load.per_s) = (100.0, per_s);
            },
        );
    }
    for times in [0.5, 1.0, 1.5, 2.0] {
        add_scene(
            &format!("empty-{times}"),
            "an empty start, sessions of 60 to 120 s",
            &|p| p.load.per_s *= times,
        );
        add_scene(
            &format!("long-{times}"),
            "an empty start, sessions of half an hour",
            &|p| {
                use_long_sessions(p);
                p.load.per_s = times * usual_arrivals_per_s(p);
            },
        );
    }
    let enable_retries =
        |p: &mut DayPlan| (p.load.retry_fraction, p.load.retry_pause_ms) = (0.9, 1500.0);
    add_scene(
        "half",
        "half of the nodes crash and restart cold after 30 s",
        &|p| {
            enable_retries(p);
            let fault = Fault {
                fraction: 0.5,
                ..Fault::new(FaultKind::Crash, 90.0, 30.0)
            };
            p.faults.insert("half".into(), fault);
        },
    );
    add_scene(
        "half-long",
        "the same with sessions of half an hour and a restart after 60 s",
        &|p| {
            use_long_sessions(p);
            enable_retries(p);
            p.load.per_s = usual_arrivals_per_s(p);
            let fault = Fault {
                fraction: 0.5,
                ..Fault::new(FaultKind::Crash, 1800.0, 60.0)
            };
            p.faults.insert("half".into(), fault);
        },
    );
    add_scene(
        "tripled",
        "two thirds of the usual load, tripled until the end",
        &|p| {
            p.load.per_s *= 2.0 / 3.0;
            let fault = Fault {
                size: 3.0,
                ..Fault::new(FaultKind::Burst, 90.0, 90.0)
            };
            p.faults.insert("more".into(), fault);
        },
    );
    add_scene("tripled-long", "the same, sessions of half an hour", &|p| {
        use_long_sessions(p);
        p.load.per_s = usual_arrivals_per_s(p) * 2.0 / 3.0;
        let fault = Fault {
            size: 3.0,
            ..Fault::new(FaultKind::Burst, 1800.0, 1800.0)
        };
        p.faults.insert("more".into(), fault);
    });
    add_scene(
        "falls",
        "twice the usual load for 150 s, then a third of the usual load",
        &|p| {
            (p.day.seconds, p.load.per_s) = (360.0, p.load.per_s / 3.0);
            let fault = Fault {
                size: 6.0,
                ..Fault::new(FaultKind::Burst, 0.0, 150.0)
            };
            p.faults.insert("more".into(), fault);
        },
    );
    add_scene(
        "peeks",
        "ten times the usual rate of additional viewers whose sessions last about 5 s",
        &|p| {
            let mut peek = p.site.classes["room"].clone();
            peek.paid = false;
            p.site.classes.insert("peek".into(), peek);
            p.load.class_mix.insert("peek".into(), 0.0);
            p.load.length_s_by_class.insert("peek".into(), (4.0, 6.0));
            let name = Some("peek".to_string());
            let fault = Fault {
                size: 10.0,
                target_name: name,
                ..Fault::new(FaultKind::ClassFlood, 60.0, 20.0)
            };
            p.faults.insert("peeks".into(), fault);
        },
    );
    for (name, times) in [("hints-10", 10.0), ("hints-0.1", 0.1), ("no-hints", 0.0)] {
        add_scene(
            name,
            "an empty start with wrong duration hints or none",
            &|p| {
                p.load.per_s *= 1.5;
                p.load.hint_factor = times;
            },
        );
    }
    add_scene("flood", "one class adds three times the usual rate", &|p| {
        let name = Some("report".to_string());
        let fault = Fault {
            size: 3.0,
            target_name: name,
            ..Fault::new(FaultKind::ClassFlood, 60.0, 60.0)
        };
        p.faults.insert("flood".into(), fault);
    });
    add_scene("hot", "half of all viewers request one title", &|p| {
        (p.load.per_s, p.load.skew) = (p.load.per_s * 0.5, 0.0);
        let name = Some("garden".to_string());
        let fault = Fault {
            size: 1.0,
            target_name: name,
            ..Fault::new(FaultKind::HotTitle, 0.0, 180.0)
        };
        p.faults.insert("hot".into(), fault);
    });
    add_scene(
        "at-once",
        "four times the usual load; rejected viewers retry after a short delay",
        &|p| {
            p.load.per_s *= 4.0;
            (p.load.retry_fraction, p.load.retry_pause_ms) = (1.0, 200.0);
            p.site.limits.max_retry_after_ms = 400.0;
        },
    );
    add_scene(
        "directors",
        "one of three directors is down for 60 s",
        &|p| {
            enable_retries(p);
            let fault = Fault {
                targets: Some(vec![1]),
                ..Fault::new(FaultKind::DirectorKill, 60.0, 60.0)
            };
            p.faults.insert("lost".into(), fault);
        },
    );
    add_scene(
        "swing",
        "load alternates between a tenth of the usual and twice the usual every 45 s",
        &|p| {
            (p.day.seconds, p.load.per_s) = (450.0, p.load.per_s * 0.1);
            for i in 0..5 {
                let fault = Fault {
                    size: 20.0,
                    ..Fault::new(FaultKind::Burst, 90.0 * f64::from(i), 45.0)
                };
                p.faults.insert(format!("swing {i}"), fault);
            }
        },
    );
    // Isolation of tenants: a quiet one whose load is two thirds of what its share carries at the top rungs, and a loud
    // one at ten times its own share, each alone and both together, with and without shares.
    for (name, quiet, loud, share) in [
        ("quiet-alone", 0.1, 0.0, 1.0),
        ("quiet-beside", 0.1, 5.0, 1.0),
        ("quiet-shareless", 0.1, 5.0, 0.0),
        ("loud-alone", 0.0, 5.0, 1.0),
        ("loud-shareless", 0.0, 5.0, 0.0),
    ] {
        add_scene(name, "two tenants with half of the fleet each", &|p| {
            enable_retries(p);
            for (tenant, times) in [("quiet", quiet), ("loud", loud)] {
                p.site.tenants.insert(
                    tenant.into(),
                    Tenant {
                        request_quota_per_s: 0.0,
                        share,
                    },
                );
                if times > 0.0 {
                    p.load.tenant_rates.insert(tenant.into(), times);
                }
            }
        });
    }
    add_scene(
        "large-1",
        "an empty start: 100 directors, 150 nodes",
        &|p| scale_fleet(p, 10, 100),
    );
    add_scene("large-2", "the same at twice the usual load", &|p| {
        scale_fleet(p, 10, 100);
        p.load.per_s *= 2.0;
    });
    add_scene(
        "large-tripled",
        "100 directors, two thirds of the usual load, tripled until the end",
        &|p| {
            scale_fleet(p, 10, 100);
            p.load.per_s *= 2.0 / 3.0;
            let fault = Fault {
                size: 3.0,
                ..Fault::new(FaultKind::Burst, 90.0, 90.0)
            };
            p.faults.insert("more".into(), fault);
        },
    );
    scenes
}

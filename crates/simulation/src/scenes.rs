//! Days that show one thing, made from a plan by changing its load and troubles.

use shalewall_settings::{DayPlan, Fault, FaultKind, Tenant};

/// A scene: its name, what it shows, and its day.
pub struct Scene {
    pub name: String,
    pub shows: &'static str,
    pub plan: DayPlan,
}

/// Arrivals a second at which the fleet's uplinks carry all viewers at the ladder's middle rung, once a
/// session's length has passed.
fn usual(plan: &DayPlan) -> f64 {
    let ladder = &plan.site.ladder;
    let racks = plan.site.layout.rack_count as f64;
    let mean_s = (plan.load.min_length_s + plan.load.max_length_s) / 2.0;
    racks * plan.fleet.uplink_kb_s / ladder[ladder.len() / 2].rate_kb_s / mean_s
}

/// Sessions of half an hour, and a day of an hour.
fn long(plan: &mut DayPlan) {
    (
        plan.load.min_length_s,
        plan.load.max_length_s,
        plan.day.seconds,
    ) = (1500.0, 2100.0, 3600.0);
}

/// A fleet so many times as large, with as many more viewers, under so many directors.
fn grow(plan: &mut DayPlan, times: u64, directors: u32) {
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

/// All scenes, from a plan of a fleet that fills from empty.
pub fn all(base: &DayPlan) -> Vec<Scene> {
    let mut scenes = Vec::new();
    let mut scene = |name: &str, shows: &'static str, change: &dyn Fn(&mut DayPlan)| {
        let mut plan = base.clone();
        plan.day.seconds = 180.0;
        plan.load.per_s = usual(&plan);
        change(&mut plan);
        scenes.push(Scene {
            name: name.to_string(),
            shows,
            plan,
        });
    };
    for per_s in [2.0, 3.0] {
        scene(
            &format!("fill-{per_s}"),
            "an empty start, 100 s, nobody comes again",
            &|p| {
                (p.day.seconds, p.load.per_s) = (100.0, per_s);
            },
        );
    }
    for times in [0.5, 1.0, 1.5, 2.0] {
        scene(
            &format!("empty-{times}"),
            "an empty start, sessions of 60 to 120 s",
            &|p| p.load.per_s *= times,
        );
        scene(
            &format!("long-{times}"),
            "an empty start, sessions of half an hour",
            &|p| {
                long(p);
                p.load.per_s = times * usual(p);
            },
        );
    }
    let again = |p: &mut DayPlan| (p.load.retry_fraction, p.load.retry_pause_ms) = (0.9, 1500.0);
    scene(
        "half",
        "half of the nodes die and come back cold after 30 s",
        &|p| {
            again(p);
            let t = Fault {
                fraction: 0.5,
                ..Fault::new(FaultKind::Crash, 90.0, 30.0)
            };
            p.faults.insert("half".into(), t);
        },
    );
    scene(
        "half-long",
        "the same, sessions of half an hour, back after a minute",
        &|p| {
            long(p);
            again(p);
            p.load.per_s = usual(p);
            let t = Fault {
                fraction: 0.5,
                ..Fault::new(FaultKind::Crash, 1800.0, 60.0)
            };
            p.faults.insert("half".into(), t);
        },
    );
    scene(
        "tripled",
        "two thirds of the usual load, tripled for good",
        &|p| {
            p.load.per_s *= 2.0 / 3.0;
            let t = Fault {
                size: 3.0,
                ..Fault::new(FaultKind::Burst, 90.0, 90.0)
            };
            p.faults.insert("more".into(), t);
        },
    );
    scene("tripled-long", "the same, sessions of half an hour", &|p| {
        long(p);
        p.load.per_s = usual(p) * 2.0 / 3.0;
        let t = Fault {
            size: 3.0,
            ..Fault::new(FaultKind::Burst, 1800.0, 1800.0)
        };
        p.faults.insert("more".into(), t);
    });
    scene(
        "falls",
        "twice the usual load for a while, then a third of it",
        &|p| {
            (p.day.seconds, p.load.per_s) = (360.0, p.load.per_s / 3.0);
            let t = Fault {
                size: 6.0,
                ..Fault::new(FaultKind::Burst, 0.0, 150.0)
            };
            p.faults.insert("more".into(), t);
        },
    );
    scene(
        "peeks",
        "a crowd of ten times the rate whose sessions last 5 s",
        &|p| {
            let mut peek = p.site.classes["room"].clone();
            peek.paid = false;
            p.site.classes.insert("peek".into(), peek);
            p.load.class_mix.insert("peek".into(), 0.0);
            p.load.length_s_by_class.insert("peek".into(), (4.0, 6.0));
            let name = Some("peek".to_string());
            let t = Fault {
                size: 10.0,
                target_name: name,
                ..Fault::new(FaultKind::ClassFlood, 60.0, 20.0)
            };
            p.faults.insert("peeks".into(), t);
        },
    );
    for (name, times) in [("hints-10", 10.0), ("hints-0.1", 0.1), ("no-hints", 0.0)] {
        scene(name, "an empty start with hints that lie, or none", &|p| {
            p.load.per_s *= 1.5;
            p.load.hint_factor = times;
        });
    }
    scene(
        "flood",
        "one class floods at three times the usual rate",
        &|p| {
            let name = Some("report".to_string());
            let t = Fault {
                size: 3.0,
                target_name: name,
                ..Fault::new(FaultKind::ClassFlood, 60.0, 60.0)
            };
            p.faults.insert("flood".into(), t);
        },
    );
    scene("hot", "half of all viewers come for one title", &|p| {
        (p.load.per_s, p.load.skew) = (p.load.per_s * 0.5, 0.0);
        let name = Some("garden".to_string());
        let t = Fault {
            size: 1.0,
            target_name: name,
            ..Fault::new(FaultKind::HotTitle, 0.0, 180.0)
        };
        p.faults.insert("hot".into(), t);
    });
    scene(
        "at-once",
        "four times the load; those turned away come again at once",
        &|p| {
            p.load.per_s *= 4.0;
            (p.load.retry_fraction, p.load.retry_pause_ms) = (1.0, 200.0);
            p.site.limits.max_retry_after_ms = 400.0;
        },
    );
    scene(
        "directors",
        "a director of three is lost for a minute",
        &|p| {
            again(p);
            let t = Fault {
                targets: Some(vec![1]),
                ..Fault::new(FaultKind::DirectorKill, 60.0, 60.0)
            };
            p.faults.insert("lost".into(), t);
        },
    );
    scene(
        "swing",
        "load from none to twice the usual and back, as long as a session",
        &|p| {
            (p.day.seconds, p.load.per_s) = (450.0, p.load.per_s * 0.1);
            for i in 0..5 {
                let t = Fault {
                    size: 20.0,
                    ..Fault::new(FaultKind::Burst, 90.0 * f64::from(i), 45.0)
                };
                p.faults.insert(format!("swing {i}"), t);
            }
        },
    );
    // Neighbours: a quiet tenant at two thirds of what its share carries at the top rungs, and one at ten times
    // its own, each alone and beside the other.
    for (name, quiet, loud, share) in [
        ("quiet-alone", 0.1, 0.0, 1.0),
        ("quiet-beside", 0.1, 5.0, 1.0),
        ("quiet-shareless", 0.1, 5.0, 0.0),
        ("loud-alone", 0.0, 5.0, 1.0),
        ("loud-shareless", 0.0, 5.0, 0.0),
    ] {
        scene(name, "two tenants with half of the fleet each", &|p| {
            again(p);
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
    scene(
        "large-1",
        "an empty start: 100 directors, 150 nodes",
        &|p| grow(p, 10, 100),
    );
    scene("large-2", "the same at twice the usual load", &|p| {
        grow(p, 10, 100);
        p.load.per_s *= 2.0;
    });
    scene(
        "large-tripled",
        "100 directors, two thirds of the usual load, tripled for good",
        &|p| {
            grow(p, 10, 100);
            p.load.per_s *= 2.0 / 3.0;
            let t = Fault {
                size: 3.0,
                ..Fault::new(FaultKind::Burst, 90.0, 90.0)
            };
            p.faults.insert("more".into(), t);
        },
    );
    scenes
}

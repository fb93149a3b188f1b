//! What goes wrong on a day, done to the stand-ins and the directors' processes.

use crate::{World, directors::Directors, line};
use async_io::Timer;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall_fleet_model::crowd::Draw;
use shalewall_settings::{DayPlan, Trouble, TroubleKind};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

/// Those that a trouble meets: as told, or its part of them, at least one.
fn met<T: Copy + Into<u64>>(of: &[T], trouble: &Trouble, dice: &mut ChaCha8Rng) -> Vec<T> {
    let mut all = of.to_vec();
    if let Some(on) = &trouble.on {
        all.retain(|x| on.contains(&(*x).into()));
        return all;
    }
    all.shuffle(dice);
    all.truncate(((trouble.part * of.len() as f64).round() as usize).max(1));
    all
}

/// Plays one trouble, from its beginning to its end.
pub fn play(
    world: Rc<World>,
    directors: Rc<Directors>,
    plan: &DayPlan,
    name: &str,
    trouble: &Trouble,
) -> impl Future<Output = ()> + 'static {
    let salt = name.bytes().fold(plan.day.seed, |h, b| {
        h.wrapping_mul(31).wrapping_add(u64::from(b))
    });
    let trouble = trouble.clone();
    async move {
        let mut dice = ChaCha8Rng::seed_from_u64(salt);
        Timer::after(secs(trouble.at_s)).await;
        let name = trouble.name.as_deref();
        match trouble.kind {
            TroubleKind::Crash => {
                let ids = met(&world.nodes.running(), &trouble, &mut dice);
                down_and_up(&world, &ids, &trouble).await;
            }
            TroubleKind::Vanish => {
                let ids = met(&world.nodes.running(), &trouble, &mut dice);
                ids.iter().for_each(|id| world.nodes.freeze(*id));
                // Gone without a word: the list hears late, and what comes back is new.
                ids.iter().for_each(|id| told(&world, *id, "gone"));
                Timer::after(secs(trouble.len_s)).await;
                ids.iter().for_each(|id| world.nodes.crash(*id));
                // Its sockets are closed by then, and its address is free.
                Timer::after(secs(0.1)).await;
                ids.iter().for_each(|id| up(&world, *id));
            }
            TroubleKind::Hang => {
                let ids = met(&world.nodes.running(), &trouble, &mut dice);
                ids.iter().for_each(|id| world.nodes.freeze(*id));
                Timer::after(secs(trouble.len_s)).await;
                ids.iter().for_each(|id| world.nodes.thaw(*id));
            }
            TroubleKind::Neighbour => {
                let ids = met(&world.nodes.running(), &trouble, &mut dice);
                let mut left = trouble.len_s;
                while left > 0.0 {
                    let spell = (0.5 + 1.5 * dice.random::<f64>()).min(left);
                    let taken = if dice.random::<f64>() < 0.7 {
                        trouble.size
                    } else {
                        0.0
                    };
                    world.nodes.change(|fleet| {
                        for id in &ids {
                            fleet
                                .nodes
                                .get_mut(id)
                                .into_iter()
                                .for_each(|n| n.neighbour = taken);
                        }
                    });
                    Timer::after(secs(spell)).await;
                    left -= spell;
                }
                world
                    .nodes
                    .change(|fleet| fleet.nodes.values_mut().for_each(|n| n.neighbour = 0.0));
            }
            TroubleKind::SharedSlow => {
                world.nodes.change(|fleet| fleet.slow_links = trouble.size);
                Timer::after(secs(trouble.len_s)).await;
                world.nodes.change(|fleet| fleet.slow_links = 1.0);
            }
            TroubleKind::Ageing => {
                let ids = met(&world.nodes.running(), &trouble, &mut dice);
                let steps = 10;
                for step in 1..=steps {
                    let slow =
                        1.0 + (trouble.size - 1.0).max(0.0) * f64::from(step) / f64::from(steps);
                    world.nodes.change(|fleet| {
                        for id in &ids {
                            fleet
                                .nodes
                                .get_mut(id)
                                .into_iter()
                                .for_each(|n| n.slow = slow);
                        }
                    });
                    Timer::after(secs(trouble.len_s / 2.0 / f64::from(steps))).await;
                }
                let rest = Trouble {
                    len_s: trouble.len_s / 2.0,
                    ..trouble.clone()
                };
                down_and_up(&world, &ids, &rest).await;
            }
            TroubleKind::Preempt => preempt(&world, &trouble, &mut dice).await,
            TroubleKind::ZoneLoss => {
                let zone = name.unwrap_or_default();
                let there = |id: &u64| world.nodes.machine(*id).is_some_and(|m| m.zone == zone);
                let ids: Vec<u64> = world.nodes.running().into_iter().filter(there).collect();
                let lost = if trouble.directors {
                    directors.numbers(name)
                } else {
                    Vec::new()
                };
                kill(&directors, &lost);
                down_and_up(&world, &ids, &trouble).await;
                start(&directors, &lost).await;
            }
            TroubleKind::ListOut => {
                world.list.out(true);
                Timer::after(secs(trouble.len_s)).await;
                world.list.out(false);
            }
            TroubleKind::TenantBurst if !world.viewers.crowd().tenants.is_empty() => {
                let tenant = name.unwrap_or_default();
                world.viewers.set_tenant_burst(tenant, trouble.size);
                Timer::after(secs(trouble.len_s)).await;
                world.viewers.set_tenant_burst(tenant, 1.0);
            }
            // Where viewers name no tenant, one tenant's crowd is a crowd.
            TroubleKind::Burst | TroubleKind::TenantBurst => {
                world.viewers.set_burst(trouble.size);
                Timer::after(secs(trouble.len_s)).await;
                world.viewers.set_burst(1.0);
            }
            TroubleKind::HotTitle | TroubleKind::ClassFlood => {
                let crowd = world.viewers.crowd();
                let class = || {
                    crowd
                        .classes
                        .iter()
                        .position(|c| name == Some(c.name.as_str()))
                };
                let draw = match trouble.kind {
                    TroubleKind::HotTitle => name.map(|n| Draw::Title(n.to_string())),
                    _ => class().map(Draw::Class),
                };
                world.viewers.set_extra(draw.map(|d| (d, trouble.size)));
                Timer::after(secs(trouble.len_s)).await;
                world.viewers.set_extra(None);
            }
            TroubleKind::DirectorKill => {
                let numbers = met(&directors.numbers(None), &trouble, &mut dice);
                kill(&directors, &numbers);
                Timer::after(secs(trouble.len_s)).await;
                start(&directors, &numbers).await;
            }
            TroubleKind::DirectorStall => {
                let numbers = met(&directors.numbers(None), &trouble, &mut dice);
                let stall = secs(trouble.stall_ms / 1000.0);
                let mut left = trouble.len_s;
                while left > 0.0 {
                    let all = numbers.iter().map(|n| {
                        let (directors, n) = (directors.clone(), *n);
                        world
                            .ex
                            .spawn(async move { directors.stall(n, stall).await })
                    });
                    for one in all.collect::<Vec<_>>() {
                        one.await;
                    }
                    let pause = stall.mul_f64(1.0 + dice.random::<f64>());
                    Timer::after(pause).await;
                    left -= (stall + pause).as_secs_f64();
                }
            }
        }
    }
}

fn kill(directors: &Directors, numbers: &[u32]) {
    for number in numbers {
        if let Err(e) = directors.kill(*number) {
            tracing::warn!(number, error = %e, "a director could not be killed");
        }
    }
}

async fn start(directors: &Directors, numbers: &[u32]) {
    for number in numbers {
        if let Err(e) = directors.start(*number).await {
            tracing::warn!(number, error = %e, "a director could not be started again");
        }
    }
}

/// The list's news of a node, late as always.
fn told(world: &World, id: u64, standing: &'static str) {
    line(&world.nodes, id, standing)
        .into_iter()
        .for_each(|l| world.list.change(l));
}

fn up(world: &World, id: u64) {
    let Some(machine) = world.nodes.machine(id) else {
        return;
    };
    match world.nodes.start(machine, false) {
        Ok(_) => told(world, id, "ready"),
        Err(e) => tracing::warn!(node = id, error = %e, "a node could not be started again"),
    }
}

async fn down_and_up(world: &World, ids: &[u64], trouble: &Trouble) {
    ids.iter().for_each(|id| world.nodes.crash(*id));
    ids.iter().for_each(|id| told(world, *id, "gone"));
    Timer::after(secs(trouble.len_s)).await;
    ids.iter().for_each(|id| up(world, *id));
}

/// Taken away in waves: listed as draining, dead soon after, replaced by new machines that are cold.
async fn preempt(world: &Rc<World>, trouble: &Trouble, dice: &mut ChaCha8Rng) {
    let ids = met(&world.nodes.running(), trouble, dice);
    let waves = ids.chunks(ids.len().div_ceil(trouble.waves as usize).max(1));
    let gap = secs(trouble.len_s / 2.0 / f64::from(trouble.waves));
    for wave in waves {
        for id in wave {
            // A notice is news at once: the list has it from who takes the machines away.
            line(&world.nodes, *id, "draining")
                .into_iter()
                .for_each(|l| world.list.tell(l));
        }
        let (world, wave) = (world.clone(), wave.to_vec());
        let (notice, back) = (secs(trouble.notice_ms / 1000.0), secs(trouble.len_s / 2.0));
        let ex = world.ex.clone();
        ex.spawn(async move {
            Timer::after(notice).await;
            wave.iter().for_each(|id| world.nodes.crash(*id));
            wave.iter().for_each(|id| told(&world, *id, "gone"));
            Timer::after(back).await;
            for id in wave {
                // Another machine in the same cell.
                let Some(mut machine) = world.nodes.machine(id) else {
                    continue;
                };
                machine.id = id + 1000;
                let new = machine.id;
                match world.nodes.start(machine, false) {
                    Ok(_) => told(&world, new, "ready"),
                    Err(e) => {
                        tracing::warn!(node = new, error = %e, "a replacement could not be started")
                    }
                }
            }
        })
        .detach();
        Timer::after(gap).await;
    }
}
